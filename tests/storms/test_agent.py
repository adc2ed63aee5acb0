"""Storm handling of an agent, through its port for gateways: restarts, notices, shares, retry delays."""

from __future__ import annotations

from typing import Any

import pytest

from peattrestle import interface as api
from peattrestle.h248 import package, text
from peattrestle.h248.package import BadValue, Notice
from peattrestle.h248.session import Session
from peattrestle.h248.transactions import NewRequest, ReplyReceived
from peattrestle.runtime import Coroutine
from peattrestle.settings.agent import Limits
from tests.agent.test_bounds import AgentHarness

MS = 1_000_000
SECOND = 1_000_000_000


def services(received: Any) -> dict[str, str]:
    """Items of the Services descriptor in the reply to a request."""
    command = package.first_command(received.reply.actions)
    descriptor = command[1].find("Services") if command else None
    return {item.name: item.value or "" for item in (descriptor.items or ())} if descriptor else {}


def test_simultaneous_restarts_get_a_waiting_delay_and_are_accepted_after_it() -> None:
    harness = AgentHarness(Limits(restarts=10))
    accepted_at: list[int] = []

    def restart_again(session: Session) -> None:
        session.request("hello", lambda number: package.service_change_text(number, "Restart", "901"))

    def gateway(name: str) -> Coroutine[None]:
        session, stream = yield from harness.gateway(name)
        while data := (yield from stream.read()):
            for message in session.feed(harness.kernel.now(), data):
                if not isinstance(message, ReplyReceived) or message.attachment != "hello":
                    continue
                reply_items = services(message)
                if "ptl/wai" in reply_items:
                    harness.kernel.call_at(
                        harness.kernel.now() + int(reply_items["ptl/wai"]),
                        lambda: restart_again(session),
                    )
                else:
                    accepted_at.append(harness.kernel.now())
                    assert int(reply_items["ptl/mwd"]) > 0

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        for number in range(20):
            harness.kernel.spawn(gateway(f"g{number}"), f"g{number}", report_errors=False)
        yield from harness.kernel.sleep(4 * SECOND)

    harness.run(body())
    assert len(accepted_at) == 20
    accepted_per_second = [
        sum(1 for at in accepted_at if begin <= at < begin + SECOND) for begin in accepted_at
    ]
    assert max(accepted_per_second) <= 13  # 10 a second and the burst
    assert harness.agent.counts.values["restarts_held_back"] >= 18


def test_a_gateway_that_floods_gets_a_rate_limit_that_is_lifted_later() -> None:
    harness = AgentHarness(Limits())
    notices: list[Notice] = []
    outcomes: list[tuple[int, int]] = []  # code and retry delay of each final answer

    def receive(session: Any, stream: Any) -> Coroutine[None]:
        while data := (yield from stream.read()):
            for message in session.feed(harness.kernel.now(), data):
                if isinstance(message, NewRequest):
                    command = package.first_command(message.request.actions)
                    assert command is not None
                    notice = package.read_rate(command[1])
                    if notice is not None:
                        notices.append(notice)
                    session.reply(
                        message.request.id, package.command_reply(message.request.id, "-", "Notify", "ROOT")
                    )
                elif isinstance(message, ReplyReceived) and isinstance(message.attachment, int):
                    outcome = package.read_outcome(message.reply)
                    outcomes.append((outcome.code, outcome.retry_after))

    handle, limited_calls = harness.agent.controller.handle, list[int]()

    def record_limited_calls(now: int, events: Any) -> Any:
        events = list(events)
        limited_calls.extend(
            event.call for event in events if isinstance(event, api.CallArrived) and event.over_share
        )
        return handle(now, events)

    harness.agent.controller.handle = record_limited_calls  # type: ignore[method-assign]

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        session, stream = yield from harness.gateway()
        harness.kernel.spawn(receive(session, stream), "receive", report_errors=False)
        for number in range(300):  # 200 a second; the trunk group has a few circuits
            harness.call(session, number)
            yield from harness.kernel.sleep(5 * MS)
        yield from harness.kernel.sleep(10 * SECOND)

    harness.run(body())
    assert len(outcomes) == 300  # one final answer each, limited or not
    assert len(limited_calls) == harness.agent.counts.values["held_to_share"] > 10
    assert all(retry_after > 0 for code, retry_after in outcomes if code == package.REFUSED)
    assert notices[0].lifetime > 0 and notices[0].rate < 200
    assert notices[-1].lifetime == 0  # lifted
    assert [notice.number for notice in notices] == sorted({notice.number for notice in notices})


def test_notices_go_on_where_a_gateway_does_not_reply_to_them() -> None:
    harness = AgentHarness(Limits(open_requests=1))
    harness.agent.storms.admission.limits_to_announce = lambda: {"<g0>": harness.kernel.now() / SECOND}  # type: ignore[method-assign]

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        _, stream = yield from harness.gateway()
        yield from harness.kernel.sleep(5 * SECOND)
        stream.close()

    harness.run(body())
    assert harness.agent.counts.values["notices"] > 2 and harness.kernel.crashes == []


@pytest.mark.parametrize(
    ("event", "error"),
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
def test_a_notice_is_encoded_and_decoded_and_errors_name_the_field(event: str, error: str) -> None:
    message = text.parse(
        b"MEGACO/1 <a1>\nTransaction=3{Context=-{Notify=ROOT{ObservedEvents=0{" + event.encode() + b"}}}}"
    )
    request = message.parts[0]
    assert isinstance(request, text.Request)
    command = request.actions[0].commands[0]
    if error:
        with pytest.raises(BadValue, match=error):
            package.read_rate(command)
    else:
        assert package.read_rate(command) == Notice(12.5, 2 * SECOND, 7)
        assert package.rate_event(Notice(12.5, 2 * SECOND, 7)) == event
