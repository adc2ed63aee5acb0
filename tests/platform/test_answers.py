"""The one final answer of a call, also where the agent is late; on virtual time."""

from __future__ import annotations

from peattrestle.exchangeline.lines import Line
from tests.platform.test_agent import TAG, Town, invite


def test_a_call_that_stands_too_late_is_answered_as_failed_and_released() -> None:
    town = Town()
    exchange = town.exchanges[1]
    exchange.manner = lambda stream, line: None
    caller = town.caller(invite())
    (call,) = town.agent.calls.values()
    town.agent.guard.calls[call.id].abandon_at = town.kernel.now()  # as if the loop had been held up
    exchange.stands(exchange.where[TAG], Line("START", TAG))
    town.pass_time(100)
    assert caller.statuses() == [408]
    assert exchange.verbs() == ["START", "FINISH"]
    assert (town.agent.calls, town.agent.tags, town.agent.standing) == ({}, {}, {})


def test_a_call_whose_try_ended_in_the_same_turn_is_left_to_the_module() -> None:
    town = Town()
    town.exchanges[1].manner = lambda stream, line: None
    caller = town.caller(invite())
    (call,) = town.agent.calls.values()
    assert call.pending_try is not None
    town.agent.try_over(call.pending_try, "full", tell=False, cut_off=False, cause="lines_busy")
    town.agent.on_answer_overdue(call)
    town.pass_time(100)
    assert caller.statuses() == [503]
    town.at_rest()


def test_a_call_that_the_module_forgot_is_answered_in_the_turn_it_is_overdue() -> None:
    town = Town()
    town.exchanges[1].manner = lambda stream, line: None
    caller = town.caller(invite())
    (call,) = town.agent.calls.values()
    town.agent.on_answer_overdue(call)
    town.pass_time(30)
    assert caller.statuses() == [500]
    assert town.agent.calls == {}
