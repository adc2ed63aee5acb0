"""Bad clients name standing calls that no exchange knows, with large descriptions.

The agent may not go over its memory limit, over which the platform kills it.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import TROUBLE, NotRun, World, message, run_case  # noqa: E402

BAD_CLIENTS = 20  # DAYS.md: others connect by hundreds
REQUESTS = 450  # of each bad client; DAYS.md: hundreds of requests at once
LIMIT_MB = 192  # `limits.memory_mb` of the configuration; DEPLOY.md: no more than 192 on scored days
DESCRIPTION = ("v=0\r\ns=\u260e render\r\n" + "a=rtpmap:96 opus/48000\r\n" * 650).encode()  # under 16 KiB


class BadClient(asyncio.Protocol):
    """Sends its set-ups one after the other as fast as they are taken, and reads all it is sent."""

    def __init__(self, world: World) -> None:
        self.world, self.left = world, REQUESTS

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        asyncio.get_running_loop().call_soon(self.ask)

    def ask(self) -> None:
        """Sends the next set-ups while the agent takes them."""
        while self.left and not self.transport.is_closing():
            if self.transport.get_write_buffer_size() > 65_536:
                asyncio.get_running_loop().call_later(0.01, self.ask)
                return
            self.left -= 1
            exchange = random.choice(self.world.exchanges[1:]).name
            fields = (
                f"X-Cos: line-render\r\nX-Timer-Ms: 3000\r\nX-Legs: dest:1;width:1;via:-1;at:{exchange}\r\n"
            )
            call_id = f"{random.getrandbits(64):016x}"
            self.transport.write(message("INVITE", call_id, "1 INVITE", fields, DESCRIPTION))


def resident_mb(process_id: int) -> float:
    """Returns the resident memory of a process in MB (2^20 bytes). Raises NotRun."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise NotRun("no VmRSS")


async def script(world: World) -> list[str]:
    """Makes calls, lets the bad clients come for a while, and watches the memory of the agent."""
    await world.open()
    assert world.process is not None
    callers = asyncio.ensure_future(world.call_steadily(30.0, 10.0, [1, 2, 3]))
    await asyncio.sleep(4.0)
    if TROUBLE:
        loop = asyncio.get_running_loop()
        for _ in range(BAD_CLIENTS):
            await loop.create_connection(lambda: BadClient(world), *world.listen)
    highest = 0.0
    while not callers.done():
        await asyncio.sleep(0.5)
        resident = resident_mb(world.process.pid)
        world.record("platform", f"the agent holds {resident:.0f} MB of {LIMIT_MB}")
        highest = max(highest, resident)
    refused = sum(1 for call in world.calls.values() if call.answers and call.answers[0][1] == 503)
    world.record("caller", f"{refused} of {len(world.calls)} set-ups were refused")
    await asyncio.sleep(4.0)
    problems = world.lost_calls() + world.unsolicited
    if highest > LIMIT_MB:
        problems.insert(0, f"the agent held {highest:.0f} MB; over {LIMIT_MB} MB the platform kills it")
    return problems


sys.exit(run_case(script))
