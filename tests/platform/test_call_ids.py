"""Call-IDs that come again after their call is over."""

from __future__ import annotations

import pytest

from tests.platform.test_agent import TAG, Harness, invite, request


def tag(number: int) -> str:
    """Returns the Call-ID with this number."""
    return f"{number:016x}"


@pytest.mark.parametrize("answered", [False, True], ids=["given up", "ended"])
def test_a_call_id_that_comes_again_after_its_caller_left_does_not_run_twice(answered: bool) -> None:
    # Guards against two set-ups of one call out at once, or one within the release time of the other.
    harness = Harness()
    exchange = harness.exchanges[1]
    if not answered:
        exchange.on_set_up = lambda stream, line: None
    first = harness.caller(invite())
    first.stream.close()
    harness.advance(50)
    if answered:
        exchange.send(exchange.streams[0], verb="FINISH", tag=TAG, rc=16)
    harness.advance(50)
    again = harness.caller(invite())
    harness.advance(3_000)
    assert again.statuses() == [482]
    assert [line.verb for line in exchange.lines].count("START") == 1
    harness.assert_idle()


def test_a_call_id_that_was_refused_before_any_set_up_may_come_again() -> None:
    harness = Harness()
    harness.agent.refusing_all = True
    harness.agent.stop()
    caller = harness.caller(invite())
    assert caller.statuses() == [503]
    harness.agent.shutdown, harness.agent.refusing_all = None, False
    caller.send(invite())
    harness.advance(100)
    assert caller.statuses() == [503, 200]


def test_call_ids_are_remembered_for_a_minute_and_within_the_memory_limit() -> None:
    harness = Harness(limits={"sockets": 96, "memory_mb": 22})
    agent = harness.agent
    caller = harness.caller()
    most = agent.memory_plan.call_ids
    for number in range(most + 20):
        caller.send(invite(tag(number)))
        harness.advance(20)
        caller.send(request("BYE", tag(number)))
        harness.advance(20)
    assert len(agent.recent_call_ids) <= most
    harness.advance(61_000)
    assert len(agent.recent_call_ids) == 0
