"""The final answer of a call when the agent is late or the controller fails, on virtual time."""

from __future__ import annotations

from peattrestle.exchangeline.lines import Line
from tests.platform.test_agent import TAG, Harness, invite


def test_a_call_established_too_late_is_answered_as_failed_and_released() -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    exchange.on_set_up = lambda stream, line: None
    caller = harness.caller(invite())
    (call,) = harness.agent.calls.values()
    harness.agent.guard.calls[
        call.id
    ].abandon_at = harness.kernel.now()  # as if the event loop had been delayed
    exchange.answer_call(exchange.stream_of[TAG], Line("START", TAG))
    harness.advance(100)
    assert caller.statuses() == [408]
    assert exchange.received_verbs() == ["START", "FINISH"]
    assert (harness.agent.calls, harness.agent.calls_by_tag, harness.agent.exchange_calls.by_exchange) == (
        {},
        {},
        {},
    )


def test_a_call_whose_try_ended_in_the_same_turn_is_answered_by_the_controller() -> None:
    harness = Harness()
    harness.exchanges[1].on_set_up = lambda stream, line: None
    caller = harness.caller(invite())
    (call,) = harness.agent.calls.values()
    assert call.pending_try is not None
    harness.agent.fail_try(call.pending_try, "full", send_release=False, cut_off=False, cause="lines_busy")
    harness.agent.on_answer_overdue(call)
    harness.advance(100)
    assert caller.statuses() == [503]
    harness.assert_idle()


def test_a_call_that_the_controller_forgot_is_answered_in_the_turn_it_is_overdue() -> None:
    harness = Harness()
    harness.exchanges[1].on_set_up = lambda stream, line: None
    caller = harness.caller(invite())
    (call,) = harness.agent.calls.values()
    harness.agent.on_answer_overdue(call)
    harness.advance(30)
    assert caller.statuses() == [500]
    assert harness.agent.calls == {}
