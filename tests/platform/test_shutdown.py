"""The shutdown of the agent in service, on virtual time."""

from __future__ import annotations

from tests.platform.test_agent import SETTINGS, Town, invite

FIRST, SECOND_TAG = "00000000000000a1", "00000000000000a2"


def test_a_set_up_that_comes_as_a_shutdown_closes_is_refused_and_never_sent_on() -> None:
    town = Town()
    caller = town.caller(invite(FIRST))
    town.agent.stop()
    plan = town.agent.shutdown
    assert plan is not None
    town.kernel.run(plan.answer_by - 1_000_000)
    before = len(town.exchanges[1].verbs())
    caller.says(invite(SECOND_TAG, X_Timer_Ms="500"))
    town.pass_time(250)
    assert caller.statuses() == [200, 503] and town.ended
    assert town.exchanges[1].verbs()[before:] == []


def test_no_call_outlives_a_shutdown() -> None:
    town = Town()
    town.exchanges[1].manner = lambda stream, line: None
    caller = town.caller(invite(FIRST, X_Timer_Ms="60000"))
    town.agent.stop()
    plan = town.agent.shutdown
    assert plan is not None
    town.kernel.run(plan.close_at + 200_000_000)
    assert caller.statuses() == [408] and town.ended and caller.closed_at
    assert town.exchanges[1].verbs() == ["START", "FINISH"]
    town.at_rest()


def test_a_class_without_a_deadline_counts_with_its_target() -> None:
    classes = [{"Name": "line", "AimUs": 380_000, "Worth": 1.0, "Semantics": "read_like"}]
    town = Town(settings=SETTINGS | {"Classes": classes})
    town.agent.stop()
    plan = town.agent.shutdown
    assert plan is not None
    assert plan.close_at < plan.began_at + (380 + 700) * 1_000_000
