"""A new configuration moves discovery, and the new source is slow: its response begins after 3 s.

An exchange drains right after the move. What the source has to tell counts as told 4 s after SIGHUP; from the
grace on, nothing new may reach the exchange.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import SLACK, TROUBLE, World, run_case  # noqa: E402

TOLD_AFTER_SIGHUP = 4.0  # seconds; DAYS.md
GRACE = 1.0  # seconds; StopSendingWithinUs of the settings
SLOW = 3.0  # seconds until the response begins: the agent can be told 1 s before it counts as told


async def script(world: World) -> list[str]:
    """Moves discovery under load, lets exchange 1 drain, and looks for set-ups that reach it too late."""
    await world.open()
    callers = asyncio.ensure_future(world.call_steadily(12.0, 30.0, [1, 2, 3]))
    await asyncio.sleep(3.0)
    await world.feeds[1].open()
    world.feeds[1].response_delay = SLOW if TROUBLE else 0.0
    world.feeds[0].move_away()
    world.feed_index = 1
    world.write_configuration()
    moved_at = world.record.now()
    world.signal_agent(signal.SIGHUP)
    await asyncio.sleep(0.3)
    leaving = world.exchanges[1]
    world.publish(leaving.entry("DRAINING"))
    due = moved_at + TOLD_AFTER_SIGHUP + GRACE + SLACK
    await callers
    await asyncio.sleep(4.0)
    late = [
        f"set-up {tag} reached the draining exchange {at - due:.3f} s past the grace"
        for at, tag in leaving.set_ups
        if at > due
    ]
    return late + world.lost_calls() + world.unsolicited


sys.exit(run_case(script))
