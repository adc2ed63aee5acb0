"""Case 1: callers have a connection open and in use, and get no release of calls that are over.

A quiet agent beside one of eight exchanges, the others s1 to s7. Two calls stand at s1, one at s2, all set up
on connection A, which the callers close 4 s after its last set-up. s1 vanishes for 16 s, which ends its two
calls. Callers go on calling s1 on connection B, once a second, until over 8 s after it is back. Checked: each
call that is over is released to its caller within 1 s of its exchange's release or, where none could be sent,
within 8 s of its end.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins.callers import Callers
from standins.deployment import CallAgent, CannotRun, senegal_render
from standins.exchange import Exchange
from standins.feed import Feed
from standins.play import play
from standins.record import Record

EXCHANGES = 8  # the own one included
SLACK = 0.05  # seconds, "each time limit 50 ms longer"
AFTER_RELEASE, AFTER_END = 1.0, 8.0  # seconds
VANISHED_FOR = 16.0  # seconds
SPARE = 0.25  # seconds, for the stand-ins' own delays; on top of the bounds


async def case(record: Record, trouble: bool) -> None:
    """Plays the case and notes breaks of the rule."""
    feed = Feed(record)
    await feed.open()
    exchanges = [Exchange(record, f"s{n}", n, holding_time=10.0) for n in range(EXCHANGES)]
    for exchange in exchanges:
        exchange.open()
        exchange.network = {other.number: other for other in exchanges}
    await feed.publish([exchange.host() for exchange in exchanges], whole=True)
    agent = CallAgent(record, feed, senegal_render(EXCHANGES))
    try:
        agent.start()
        callers = Callers(record, agent.address, "line-render")
        await agent.wait_until_ready(callers)
        s1 = exchanges[1]
        a = await callers.connect()
        first = [a.set_up(1), a.set_up(1), a.set_up(2)]
        await asyncio.wait_for(asyncio.gather(*(call.answered.wait() for call in first)), 3)
        if any(call.status != 200 for call in first):
            raise CannotRun("the first calls did not stand")
        await asyncio.sleep(2.5)
        if trouble:
            s1.vanish()
            back = asyncio.create_task(come_back(s1, feed))
        await asyncio.sleep(2.0)
        if a.is_open:
            raise CannotRun("connection A was not closed after 4 s")
        b = await callers.connect()
        for _ in range(26):
            if not b.is_open:
                b = await callers.connect()
            b.set_up(1)
            await asyncio.sleep(1.0)
        if trouble:
            await back
        check(record, callers, exchanges)
    finally:
        agent.close()


async def come_back(exchange: Exchange, feed: Feed) -> None:
    """The exchange starts anew after its time, and the list tells it 1 s later."""
    await asyncio.sleep(VANISHED_FOR)
    await exchange.come_back()
    await asyncio.sleep(1.0)
    await feed.publish([exchange.host()])


def check(record: Record, callers: Callers, exchanges: list[Exchange]) -> None:
    """Each call that stood and is over has been released to its caller in time."""
    now = record.now()
    for exchange in exchanges:
        for standing in exchange.calls.values():
            call = callers.calls.get(standing.tag)
            if call is None or call.status != 200 or standing.ended_at is None:
                continue
            allowed = AFTER_END if standing.why == "the machine vanished" else AFTER_RELEASE
            # The excuse "if no release could be sent" is granted to all: 8 s from the end.
            due = standing.ended_at + max(allowed, AFTER_END) + SLACK + SPARE
            if now < due:
                continue
            if call.released_at is None:
                record.breaks(
                    f"call {call.tag} at {exchange.name} was over at {standing.ended_at:.3f} s "
                    f"({standing.why}) and is not released to its caller at {now:.3f} s"
                )
            elif call.released_at > due:
                record.breaks(
                    f"call {call.tag} at {exchange.name} was over at {standing.ended_at:.3f} s "
                    f"({standing.why}) and was released to its caller only at {call.released_at:.3f} s"
                )


if __name__ == "__main__":
    raise SystemExit(play(Path(__file__).resolve().parent, case))
