"""How callers' connections end: what was taken on them is answered first, on virtual time."""

from __future__ import annotations

import pytest

from peattrestle.exchangeline.lines import Line
from tests.platform.test_agent import Town, invite

FIRST, SECOND_TAG = "00000000000000a1", "00000000000000a2"


@pytest.mark.parametrize(
    "rest", [b"noise\r\n\r\n", invite(SECOND_TAG)[:-9]], ids=["bad message", "message that does not end"]
)
def test_a_call_open_on_a_connection_that_is_ended_gets_its_answer_first(rest: bytes) -> None:
    town = Town()
    exchange = town.exchanges[1]
    exchange.manner = lambda stream, line: None
    caller = town.caller(invite(FIRST, X_Timer_Ms="9000"))
    caller.says(rest)
    town.pass_time(5000)
    exchange.stands(exchange.where[FIRST], Line("START", FIRST))
    town.pass_time(300)
    assert sorted(message.status for message in caller.heard if message.status) in ([200, 400], [200, 408])
    assert caller.closed_at
    assert town.agent.counts.values.get("left", 0) == 0


def test_a_slow_writer_on_a_connection_in_use_has_time_for_a_whole_message() -> None:
    town = Town()
    caller = town.caller(invite(FIRST))
    caller.says(invite(SECOND_TAG)[:40])
    town.pass_time(2500)
    caller.says(invite(SECOND_TAG)[40:])
    town.pass_time(100)
    assert caller.statuses() == [200, 200] and not caller.closed_at
