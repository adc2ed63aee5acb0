"""A machine vanishes for 4.5 s and returns cold; the list, seconds late, removes it and then names it again.

The calls that stood there are over. Each must be released towards its caller within 8 s.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import TROUBLE, World, run_case  # noqa: E402

LOST = 4.5  # seconds; FLEET.md: a zone is lost for 5 s and returns cold
REMOVED = 5.5  # seconds after it vanished until the list says so; silent_notice_s of the site: 5.3 to 12
NAMED = 1.5  # seconds after its return until the list names it again; add_s of the site: 0.56 to 2


async def script(world: World) -> list[str]:
    """Sets up calls, lets exchange 1 vanish, and waits until each call must have been released."""
    for exchange in world.exchanges:
        exchange.hold = 10.0
    await world.open()
    lost = world.exchanges[1]
    callers = asyncio.ensure_future(world.call_steadily(24.0, 10.0, [1, 2, 3]))
    await asyncio.sleep(4.0)
    if TROUBLE:
        lost.vanish()
        over = list(world.ended)
        await asyncio.sleep(LOST)
        await lost.come_back()
        for tag in over:  # the 8 s are counted from its return, which is in the agent's favour
            if not world.calls[tag].released:
                world.ended[tag] = world.record.now()
        await asyncio.sleep(REMOVED - LOST)
        world.publish(lost.entry("DELETED"))
        await asyncio.sleep(LOST + NAMED - REMOVED)
        world.publish(lost.entry())
    await callers
    await asyncio.sleep(12.0 + 8.5)
    return world.calls_left_standing() + world.lost_calls() + world.unsolicited


sys.exit(run_case(script))
