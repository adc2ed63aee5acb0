"""Closing of caller connections: their open calls are answered first, on virtual time."""

from __future__ import annotations

import pytest

from peattrestle.exchangeline.lines import Line
from tests.platform.test_agent import Harness, invite

FIRST, SECOND_TAG = "00000000000000a1", "00000000000000a2"


@pytest.mark.parametrize(
    "rest", [b"noise\r\n\r\n", invite(SECOND_TAG)[:-9]], ids=["bad message", "message that does not end"]
)
def test_an_open_call_is_answered_before_its_connection_is_closed(rest: bytes) -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    exchange.on_set_up = lambda stream, line: None
    caller = harness.caller(invite(FIRST, X_Timer_Ms="9000"))
    caller.send(rest)
    harness.advance(5000)
    exchange.answer_call(exchange.stream_of[FIRST], Line("START", FIRST))
    harness.advance(300)
    assert sorted(message.status for message in caller.messages if message.status) in ([200, 400], [200, 408])
    assert caller.closed_at
    assert harness.agent.counts.values.get("left", 0) == 0


def test_a_later_message_on_a_connection_may_take_longer() -> None:
    harness = Harness()
    caller = harness.caller(invite(FIRST))
    caller.send(invite(SECOND_TAG)[:40])
    harness.advance(2500)
    caller.send(invite(SECOND_TAG)[40:])
    harness.advance(100)
    assert caller.statuses() == [200, 200] and not caller.closed_at
