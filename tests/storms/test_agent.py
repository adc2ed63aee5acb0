"""The storm parts in an agent, from its callers' port: restarts, notices, shares, come-back times."""

from __future__ import annotations

from typing import Any

import pytest

from peattrestle import interface as api
from peattrestle.h248 import package, text
from peattrestle.h248.package import BadValue, Notice
from peattrestle.h248.session import Session
from peattrestle.h248.transactions import Answered, New
from peattrestle.runtime import Coroutine
from peattrestle.settings.agent import Limits
from tests.agent.test_bounds import Town

MS = 1_000_000
SECOND = 1_000_000_000


def services(heard: Any) -> dict[str, str]:
    found = package.first_command(heard.reply.actions)
    inside = found[1].find("Services") if found else None
    return {one.name: one.value or "" for one in (inside.items or ())} if inside else {}


def test_restarts_at_once_are_told_when_to_come_and_are_taken_then() -> None:
    town = Town(Limits(restarts=10))
    greeted: list[int] = []

    def again(session: Session) -> None:
        session.request("hello", lambda number: package.service_change_text(number, "Restart", "901"))

    def gateway(name: str) -> Coroutine[None]:
        session, stream = yield from town.gateway(name)
        while data := (yield from stream.read()):
            for heard in session.feed(town.kernel.now(), data):
                if not isinstance(heard, Answered) or heard.kept != "hello":
                    continue
                said = services(heard)
                if "ptl/wai" in said:
                    town.kernel.at(
                        town.kernel.now() + int(said["ptl/wai"]),
                        lambda: again(session),
                    )
                else:
                    greeted.append(town.kernel.now())
                    assert int(said["ptl/mwd"]) > 0

    def body() -> Coroutine[None]:
        yield from town.kernel.sleep(SECOND)
        for number in range(20):
            town.kernel.spawn(gateway(f"g{number}"), f"g{number}", watch=False)
        yield from town.kernel.sleep(4 * SECOND)

    town.run(body())
    assert len(greeted) == 20
    within = [sum(1 for at in greeted if begin <= at < begin + SECOND) for begin in greeted]
    assert max(within) <= 13  # ten a second and the burst
    assert town.agent.counts.values["restarts_held_back"] >= 18


def test_a_gateway_that_sends_far_too_much_is_told_a_rate_and_later_freed() -> None:
    town = Town(Limits())
    notices: list[Notice] = []
    codes: list[tuple[int, int]] = []

    def listen(session: Any, stream: Any) -> Coroutine[None]:
        while data := (yield from stream.read()):
            for heard in session.feed(town.kernel.now(), data):
                if isinstance(heard, New):
                    found = package.first_command(heard.request.actions)
                    assert found is not None
                    notice = package.read_rate(found[1])
                    if notice is not None:
                        notices.append(notice)
                    session.reply(
                        heard.request.id, package.command_reply(heard.request.id, "-", "Notify", "ROOT")
                    )
                elif isinstance(heard, Answered) and isinstance(heard.kept, int):
                    outcome = package.read_outcome(heard.reply)
                    codes.append((outcome.code, outcome.come_back))

    handle, held = town.agent.controller.handle, list[int]()

    def spied(now: int, events: Any) -> Any:
        events = list(events)
        held.extend(one.call for one in events if isinstance(one, api.CallArrived) and one.held)
        return handle(now, events)

    town.agent.controller.handle = spied  # type: ignore[method-assign]

    def body() -> Coroutine[None]:
        yield from town.kernel.sleep(SECOND)
        session, stream = yield from town.gateway()
        town.kernel.spawn(listen(session, stream), "listen", watch=False)
        for number in range(300):  # 200 a second; the group has a few circuits
            town.call(session, number)
            yield from town.kernel.sleep(5 * MS)
        yield from town.kernel.sleep(10 * SECOND)

    town.run(body())
    assert len(codes) == 300  # one final answer each, held at the door or behind it
    assert len(held) == town.agent.counts.values["held_to_share"] > 10
    assert all(come_back > 0 for code, come_back in codes if code == package.REFUSED)
    assert notices[0].lifetime > 0 and notices[0].rate < 200
    assert notices[-1].lifetime == 0  # lifted
    assert [one.number for one in notices] == sorted({one.number for one in notices})


def test_a_gateway_that_answers_no_notice_ends_nobody_elses() -> None:
    town = Town(Limits(open_requests=1))
    town.agent.storms.door.notices = lambda: {"<g0>": town.kernel.now() / SECOND}  # type: ignore[method-assign]

    def body() -> Coroutine[None]:
        yield from town.kernel.sleep(SECOND)
        _, stream = yield from town.gateway()
        yield from town.kernel.sleep(5 * SECOND)
        stream.close()

    town.run(body())
    assert town.agent.counts.values["notices"] > 2 and town.kernel.crashes == []


@pytest.mark.parametrize(
    ("event", "fault"),
    [
        ("ptl/rat{cps=12.500,val=2000000000,seq=7}", ""),
        ("ptl/rat{cps=-1,val=1,seq=7}", "cps"),
        ("ptl/rat{cps=1e9,val=1,seq=7}", "cps"),
        ("ptl/rat{val=1,seq=7}", "cps"),
        ("ptl/rat{cps=1,seq=7}", "val"),
        ("ptl/rat{cps=1,val=-5,seq=7}", "val"),
        ("ptl/rat{cps=1,val=5}", "seq"),
    ],
)
def test_a_notice_as_bytes(event: str, fault: str) -> None:
    message = text.parse(
        b"MEGACO/1 <a1>\nTransaction=3{Context=-{Notify=ROOT{ObservedEvents=0{" + event.encode() + b"}}}}"
    )
    request = message.parts[0]
    assert isinstance(request, text.Request)
    command = request.actions[0].commands[0]
    if fault:
        with pytest.raises(BadValue, match=fault):
            package.read_rate(command)
    else:
        assert package.read_rate(command) == Notice(12.5, 2 * SECOND, 7)
        assert package.rate_event(Notice(12.5, 2 * SECOND, 7)) == event
