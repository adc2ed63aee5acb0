"""Some bad clients ask for the same again as soon as they are turned away, while a call of the others ends.

Its callers have a connection open and in use, and must be sent its release there within 1 s.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import SLACK, TROUBLE, ExchangeConnection, World, message, run_case  # noqa: E402

BAD_CLIENTS = 20  # connections; DAYS.md speaks of hundreds
IDLE = 4.0  # seconds after which callers close a connection with no call on it
PAUSE = 0.05  # seconds that a bad client takes to ask again
NOBODY = 77  # a number of an exchange that is in no list


class BadClient(asyncio.Protocol):
    """Asks for a number that no exchange has, and again when it is turned away; reads all it is sent."""

    def __init__(self, world: World) -> None:
        self.world = world

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        """Sends a set-up, if the connection is open."""
        if self.transport.is_closing():
            return
        call_id = f"{random.getrandbits(64):016x}"
        fields = f"X-Cos: line-render\r\nX-Timer-Ms: 3000\r\nX-Legs: dest:{NOBODY};width:1;via:-1\r\n"
        self.transport.write(message("INVITE", call_id, "1 INVITE", fields, b"v=0\r\n"))

    def data_received(self, data: bytes) -> None:
        if b"BYE sip:" in data:
            self.world.record("bad client", "gets a release and ignores it")
        if b"INVITE" in data:
            asyncio.get_running_loop().call_later(PAUSE, self.ask)


async def script(world: World) -> list[str]:
    """Sets up calls on one connection, goes on calling a busy number on another one, waits for the ends."""

    def busy(connection: ExchangeConnection, line: dict[str, Any]) -> bool:
        connection.send({"verb": "FINISH", "tag": line["tag"], "rc": 17, "opts": {"note": "engaged"}})
        return True

    for exchange in world.exchanges:
        exchange.hold = 10.0
    world.exchanges[1].answers_set_up = busy  # every line of the number called there is busy
    await world.open()
    first = await world.connect()
    calls = [world.invite(first, 2) for _ in range(4)]
    await asyncio.sleep(IDLE + 0.2)
    second = await world.connect()
    first.transport.close()
    if TROUBLE:
        loop = asyncio.get_running_loop()
        for _ in range(BAD_CLIENTS):
            await loop.create_connection(lambda: BadClient(world), *world.listen)
    for _ in range(22):  # one set-up a second, each of them refused
        world.invite(second, 1)
        await asyncio.sleep(1.0)
    if not second.open:
        return ["the agent closed a connection in use"]
    problems = []
    for call in calls:
        ended = world.ended.get(call.call_id)
        if ended is None:
            continue
        due = ended + 1.0 + SLACK
        if not call.released or call.released[0] > due:
            problems.append(f"call {call.call_id} over at {ended:.3f}, released at {call.released}")
    return problems + world.lost_calls() + world.unsolicited


sys.exit(run_case(script))
