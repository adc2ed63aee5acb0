"""Routing and admission decisions of the controller, event by event."""

from __future__ import annotations

from typing import Any

import pytest

from peattrestle import interface as api
from peattrestle.control import CallRouter, Controller, Exchange, RouteStatistics
from tests.helpers import MS, Agent, final_answers, set_up_routes


@pytest.mark.parametrize(
    ("free", "call", "expected"),
    [
        ({}, {}, ["x1"]),
        ({1: 0}, {}, ["x2"]),  # direct group full: the tandem with most free circuits
        ({1: 0, 2: 20}, {}, ["x3"]),
        ({1: 0, 2: 3, 3: 2}, {}, ["x2"]),  # reserved circuits: the width of the call and two more
        ({1: 0, 2: 2, 3: 2}, {}, []),
        ({1: 1}, {"width": 2}, ["x2"]),
        ({}, {"transit": True, "via": 2}, ["x1"]),  # in transit: directly to the destination or not at all
        ({1: 0}, {"transit": True, "via": 2}, []),
        ({}, {"destination": 0}, ["x1"]),  # its own number: never directly, so over a tandem
        ({}, {"destination": 9}, []),  # no such exchange
    ],
)
def test_route_of_a_call(free: dict[int, int], call: dict[str, Any], expected: list[str]) -> None:
    agent = Agent(free)
    to = call.pop("destination", 1)
    actions = agent.call(10, 1, to, **call)
    assert set_up_routes(actions) == expected
    assert final_answers(actions) == ([] if expected else ["Block"])


@pytest.mark.parametrize(
    ("agents", "free", "expected"),
    [
        (6, 2, []),
        (6, 3, ["x2"]),
        (28, 5, []),
        (28, 6, ["x2"]),
        (64, 8, []),
        (64, 9, ["x2"]),
    ],
)
def test_reserved_circuits_grow_with_the_number_of_agents(
    agents: int, free: int, expected: list[str]
) -> None:
    assert set_up_routes(Agent({1: 0, 2: free, 3: 0}, settings={"agents": agents}).call(10, 1)) == expected


@pytest.mark.parametrize(
    ("outcomes", "routes", "answer"),
    [
        ([("full", "turned_back"), ("full", "turned_back")], ["x3", "x2"], ["Block"]),  # two tandems at most
        ([("full", "beyond_full")], ["x3"], ["Block"]),  # the destination's processor: no route avoids it
        ([("full", "processor_full")], ["x3"], ["Block"]),  # the tandem's or the own: no more work for it
        ([("error", "lines_busy")], ["x3"], ["Block"]),
        ([("moot", "no_circuit"), ("moot", "no_circuit")], ["x3", "x2"], ["Block"]),
    ],
)
def test_a_blocked_call_tries_two_tandems(
    outcomes: list[tuple[str, str]], routes: list[str], answer: list[str]
) -> None:
    agent = Agent({1: 0, 2: 20})
    tried, actions = [], agent.call(10, 1)
    for step, (result, cause) in enumerate(outcomes):
        tried += set_up_routes(actions)
        assert final_answers(actions) == []
        actions = agent.try_ended(20 + step, 1, int(tried[-1][1]), result, cause=cause)
    assert (tried, final_answers(actions)) == (routes, answer)


@pytest.mark.parametrize(
    ("answered", "lost", "delay", "score"),
    [
        (0, 4, 0, 0),
        (0, 5, 0, 10),  # fewer than five set-ups score 0
        (8, 2, 0, 0),
        (79, 21, 0, 1),
        (5, 5, 0, 1),
        (49, 51, 0, 10),
        (5, 0, 1000, 0),
        (5, 0, 1001, 1),
        (5, 0, 3000, 1),
        (5, 0, 3001, 10),
        (0, 5, 3001, 20),
    ],
)
def test_route_score(answered: int, lost: int, delay: int, score: int) -> None:
    statistics = RouteStatistics()
    for setup in range(answered + lost):
        statistics.add(0, setup < answered, delay * MS)
    assert statistics.score(9_999 * MS) == score
    assert statistics.score(10_000 * MS) == 0  # the slot has left the statistics window


def test_tandems_are_ranked_by_score_before_free_circuits() -> None:
    agent = Agent({1: 0, 2: 20})
    for call in range(5):
        assert set_up_routes(agent.call(10, call)) == ["x3"]
        agent.try_ended(20, call, 3, "error")
        agent.handle_at(30, api.CallerLeft(call))
    assert set_up_routes(agent.call(40, 10)) == ["x2"]


@pytest.mark.parametrize(
    ("reached", "returning", "expected"),
    [
        ([2], [], "x2"),  # has reached the destination, though another tandem has more free circuits
        ([], [3], "x2"),  # x3 has just sent a call here, so it is paused
        ([3], [3], "x2"),
    ],
)
def test_a_tandem_known_to_reach_the_destination_is_tried_first(
    reached: list[int], returning: list[int], expected: str
) -> None:
    agent = Agent({1: 0, 2: 20})
    for tandem in reached:
        agent.report_free(5 - tandem, 0)
        agent.call(10, tandem)
        agent.answered(20, tandem, tandem)
        agent.report_free(5 - tandem, 30 if tandem == 2 else 20)
    for tandem in returning:  # a call in transit from there: it has no free circuits to the destination
        agent.call(30, 10 + tandem, via=tandem, transit=True)
    assert set_up_routes(agent.call(40, 20)) == [expected]


def test_a_tandem_that_never_reached_the_destination_is_paused_longer_each_time() -> None:
    agent = Agent({1: 0, 2: 2})
    tried = []
    for second in range(1, 100):
        if set_up_routes(agent.call(1000 * second, second)):
            agent.try_ended(1000 * second + 1, second, 3, "full", cause="turned_back")
            tried.append(second)
    assert tried == [1, 12, 33, 74]


@pytest.mark.parametrize(
    ("size", "late", "route", "expected"),
    [
        (30, 0, {}, 20),
        (30, 20, {}, 0),
        (0, 20, {}, 0),
        (0, 20, {"via": 3}, 20),
    ],
)
def test_calls_overflow_only_while_answers_come_in_time(
    size: int, late: int, route: dict[str, int], expected: int
) -> None:
    """Without a direct group a call needs a tandem, but while answers are late only one named by `via`."""
    agent = Agent({2: 0}, settings={"holding:line": 1000 * MS})
    for call in range(20):
        agent.call(call, call, 3)
        agent.answered(50, call, 3, 1400 if call < late else 50)
    agent.handle_at(60, api.LoadReported("x1", "served", 0, {"free": 0, "size": size}))
    for call in range(20):
        expected -= len(set_up_routes(agent.call(2000 + call, 100 + call, **route)))
        agent.answered(2000 + call, 100 + call, 3, 50)
    assert abs(expected) <= 4


def test_a_caller_who_gives_up_early_says_nothing_about_the_exchange() -> None:
    agent = Agent()
    for call in range(20):
        agent.call(100 * call, call, patience=60)
        agent.try_ended(100 * call + 50, call, 1, "timeout", delay=50 * MS, done=True)
    assert sum(len(set_up_routes(agent.call(2100, 100 + call))) for call in range(4)) == 4


def test_a_tandem_that_turned_a_call_back_is_paused_for_a_statistics_window() -> None:
    agent = Agent({1: 0, 2: 2})
    assert set_up_routes(agent.call(10, 1)) == ["x3"]
    agent.try_ended(20, 1, 3, "full", cause="turned_back")
    assert final_answers(agent.call(10_019, 2)) == ["Block"]
    assert set_up_routes(agent.call(10_020, 3)) == ["x3"]


def lose_two_setups(agent: Agent) -> None:
    """Loses one set-up at each of two exchanges, while a third one answers soon.

    An agent sees few losses at each single exchange, so it counts them over all exchanges.
    """
    for number in range(4):
        agent.call(10 * number, 100 + number, 3)
        agent.answered(10 * number + 9, 100 + number, 3, 9)
    for number in (1, 2):
        agent.call(40 + number, 200 + number, number)
        agent.try_ended(850 + number, 200 + number, number, "timeout", delay=800 * MS, done=True)


def test_no_early_time_out_where_no_set_up_was_lost() -> None:
    agent = Agent()
    for number in range(4):
        agent.call(number, 100 + number)
        agent.answered(10 + number, 100 + number, 1, 10)
    assert [action.patience for action in agent.call(100, 1) if isinstance(action, api.SetUp)] == [2990 * MS]


@pytest.mark.parametrize(
    ("call", "result", "effect", "resent"),
    [
        ({}, "timeout", "safe", True),
        ({}, "timeout", "unsafe", False),
        ({"transit": True}, "timeout", "safe", False),
        ({"patience": 1310}, "timeout", "safe", False),  # the release time would run past the abandon time
        ({}, "reset", "safe", False),
    ],
)
def test_a_lost_set_up_is_tried_again_after_the_release(
    call: dict[str, Any], result: str, effect: str, resent: bool
) -> None:
    agent = Agent(settings={"effect:line": effect})
    lose_two_setups(agent)
    actions = agent.call(1000, 1, 3, **call)
    early = 1300 if call.get("patience") else 1050
    assert [action.patience for action in actions if isinstance(action, api.SetUp)] == [early * MS]
    actions = agent.try_ended(2050, 1, 3, result, delay=1050 * MS)
    if not resent:
        assert final_answers(actions) == ["Block" if effect == "safe" else "Abort"]
        return
    assert actions == [api.SetTimer(2350 * MS, "1")]
    assert set_up_routes(agent.handle_at(2350, api.TimerDue("1"))) == ["x3"]
    assert agent.handle_at(2351, api.TimerDue("1")) == []  # not needed any more: never two tries at a time


def test_no_early_time_out_where_answers_are_slow() -> None:
    agent = Agent()
    for number in range(4):
        agent.call(0, 100 + number, 1)
        agent.answered(700, 100 + number, 1, 700)
    actions = agent.call(800, 1)
    assert [action.patience for action in actions if isinstance(action, api.SetUp)] == [2990 * MS]


@pytest.mark.parametrize("role", ["direct", "tandem", "transit"])
@pytest.mark.parametrize("state", ["draining", "gone"])
def test_no_set_up_goes_to_an_exchange_that_is_draining_or_gone(state: str, role: str) -> None:
    agent = Agent({1: 0, 2: 2} if role == "tandem" else {})
    leaving = 3 if role == "tandem" else 1
    agent.set_state(5, leaving, state)
    assert final_answers(agent.call(10, 1, transit=role == "transit")) == ["Block"]
    agent.set_state(20, leaving, "ready")
    assert len(set_up_routes(agent.call(30, 2, transit=role == "transit"))) == 1


def test_a_draining_own_exchange_still_serves_its_callers() -> None:
    agent = Agent()
    agent.set_state(5, 0, "draining")
    assert set_up_routes(agent.call(10, 1)) == ["x1"]


def test_an_exchange_missing_from_a_full_list_is_gone_and_another_takes_over_its_number() -> None:
    agent = Agent()
    entries = [api.Entry(f"x{n}", n, "ready") for n in (0, 2, 3)]
    agent.handle_at(5, api.ListUpdated("full", tuple(entries)))
    assert final_answers(agent.call(10, 1)) == ["Block"]
    agent.handle_at(20, api.ListUpdated("delta", (api.Entry("y1", 1, "ready"),)))
    assert set_up_routes(agent.call(30, 2)) == ["y1"]


@pytest.mark.parametrize(
    ("cold", "role", "expected"),
    [
        (1, "direct", 1),
        (0, "direct", 2),
        (1, "transit", 1),
        (3, "tandem", 1),
        (2, "direct", 4),
        (1, "behind tandem", 1),
    ],
)
def test_a_cold_exchange_gets_this_agents_share(cold: int, role: str, expected: int) -> None:
    """90 circuits held 10 s carry 9 set-ups a second; half of 2 x 0.3 of that is 2.7.

    That is the budget of the exchange's own agent, and for each of the three others 0.9. `role` is how the
    cold exchange is used; `expected` how many of four calls are set up early in the cold time.
    """
    agent = Agent(
        {1: 0, 2: 2} if role in ("tandem", "behind tandem") else {}, settings={"cold_time": 140_000 * MS}
    )
    agent.set_state(100, cold, "ready", started=100)

    def try_four(ms: float, first: int) -> int:
        actions = [agent.call(ms + number, first + number, transit=role == "transit") for number in range(4)]
        for number in range(4):
            agent.answered(ms + 10, first + number, 3 if role in ("tandem", "behind tandem") else 1)
        return sum(len(set_up_routes(call_actions)) for call_actions in actions)

    assert try_four(1300, 10) == expected
    assert try_four(1600, 20) == (4 if expected == 4 else 0)
    assert try_four(2500, 30) == expected
    assert try_four(139_000, 40) == (4 if cold == 0 else min(4, 2 * expected - 1))  # half of a linear growth
    assert try_four(140_101, 50) == 4  # the cold time is over


@pytest.mark.parametrize("agents", [6, 28, 68])
def test_all_agents_together_keep_to_the_budget_of_a_cold_exchange(agents: int) -> None:
    """The budget of all other agents is 2.7 set-ups a second; half of them learn of the start later."""
    times = []
    for seed in range(agents - 1):
        agent = Agent(seed=seed * 7919, settings={"agents": agents})
        start = 100 if seed % 2 else 3000
        agent.set_state(start, 1, "ready", started=100)
        for at in range(start, 14_000, 200):
            if set_up_routes(agent.call(at, at)):
                times.append(at)
                agent.answered(at + 10, at, 1)
    for at in times:  # set-up times are random: a window may hold twice the mean
        growth = (0.3 + 0.35 * (at + 900) / 14_000) / 0.3
        assert sum(at <= other < at + 1000 for other in times) <= 2 * 2.7 * growth + 2
    assert len(times) >= 0.8 * 2.7 * 14


@pytest.mark.parametrize(
    ("result", "cause"), [("timeout", ""), ("full", "processor_full"), ("connect_failed", "")]
)
def test_an_exchange_that_is_full_silent_or_unreachable_gets_few_calls(result: str, cause: str) -> None:
    agent = Agent()
    for call in range(20):
        at = call * 600
        if set_up_routes(agent.call(at, call)):
            agent.try_ended(at + 400, call, 1, result, cause=cause)
    trials = [trial for trial in range(50, 70) if set_up_routes(agent.call(12_000, trial))]
    assert len(trials) <= 4
    for trial in trials:
        agent.try_ended(13_000, trial, 1, result, cause=cause)
    assert set_up_routes(agent.call(40_000, 99)) == ["x1"]  # the window recovers without answers


@pytest.mark.parametrize(
    ("outcome", "delay", "min_count", "max_count"),
    [
        ("answered", 50, 39, 39),
        ("answered", 1400, 1, 8),
        ("left", 700, 39, 39),
        ("left", 1400, 1, 15),  # only a caller who leaves late counts as a late answer
    ],
)
def test_all_set_ups_are_limited_while_many_answers_are_late(
    outcome: str, delay: int, min_count: int, max_count: int
) -> None:
    """One late answer from each of many exchanges is enough, though none of them alone shows an overload."""
    agent = Agent(settings={"agents": 40}, exchanges=40)
    for number in range(200, 240):  # answers in time widen the own window
        agent.call(0, number, number - 199 if number < 239 else 1)
        agent.answered(50, number, 1)
    for number in range(240, 243):  # the weights of earlier answers halve
        agent.call(number * 20, number, 1)
        agent.answered(number * 20 + 50 + 5000 * (number - 240), number, 1)
    first = [number for number in range(1, 40) if set_up_routes(agent.call(20_000, number, number))]
    for number in first:
        if outcome == "left":
            agent.handle_at(20_000 + delay, api.CallerLeft(number))
        else:
            agent.answered(22_000, number, number, delay)
    again = [number for number in range(1, 40) if set_up_routes(agent.call(22_001, 100 + number, number))]
    assert (len(first), min_count <= len(again) <= max_count) == (39, True)


def test_a_failed_connection_closes_the_window_at_once() -> None:
    agent = Agent()
    agent.call(10, 1)
    agent.try_ended(20, 1, 1, "connect_failed")
    assert sum(len(set_up_routes(agent.call(30, 10 + call))) for call in range(10)) <= 2


@pytest.mark.parametrize(("answered", "min_count", "max_count"), [(True, 3, 5), (False, 0, 1)])
def test_lost_set_ups_are_not_taken_for_overload(answered: bool, min_count: int, max_count: int) -> None:
    """A set-up counts as lost if later ones were answered; without answers time-outs close the window."""
    agent = Agent()
    for step in range(8):
        at = 1000 * step
        if set_up_routes(agent.call(at, 10 * step)):
            for later in range(1, 5):
                if set_up_routes(agent.call(at + 100 * later, 10 * step + later)) and answered:
                    agent.answered(at + 100 * later + 50, 10 * step + later, 1, 50)
            agent.try_ended(at + 900, 10 * step, 1, "timeout", delay=900 * MS)
    sent_count = sum(len(set_up_routes(agent.call(8000, 100 + call))) for call in range(10))
    assert min_count <= sent_count <= max_count


def test_outstanding_set_ups_are_limited_more_for_calls_of_less_revenue() -> None:
    two_bearer_types: dict[str, Any] = {
        "bearer_types": ("line", "reel"),
        "gos_target:reel": 1500 * MS,
        "revenue:reel": 2.0,
    }
    sent_counts = {}
    for bearer_type in ("line", "reel"):
        agent = Agent(settings=two_bearer_types)
        sent_counts[bearer_type] = sum(
            len(set_up_routes(agent.call(10, call, bearer_type=bearer_type))) for call in range(20)
        )
    assert 2 <= sent_counts["line"] < sent_counts["reel"] <= 6


def test_calls_to_a_number_whose_lines_are_busy_are_refused_for_a_while() -> None:
    agent = Agent()
    agent.call(0, 1, number="hot")
    agent.try_ended(50, 1, 1, "error", cause="lines_busy")
    actions = agent.call(100, 2, number="hot")
    assert actions == [api.Block(2, 950 * MS)]
    assert set_up_routes(agent.call(100, 3, number="other")) == ["x1"]
    assert set_up_routes(agent.call(1050, 4, number="hot")) == ["x1"]


def test_late_and_repeated_events_do_nothing() -> None:
    agent = Agent()
    agent.call(0, 1)
    agent.handle_at(10, api.CallerLeft(1))
    assert agent.handle_at(20, api.CallerLeft(1), api.TimerDue("1"), api.TimerDue("x")) == []
    assert agent.try_ended(30, 1, 1, "full", cause="processor_full") == []
    assert agent.answered(40, 1, 1) == []
    agent.call(50, 2)
    agent.answered(60, 2, 1)
    assert agent.try_ended(9000, 2, 1, "reset", done=True) == []


def test_a_list_that_must_be_asked_for_is_followed_and_asked_for_again() -> None:
    controller = Controller(1, {"discovery": "ask"})
    assert controller.handle(0, [api.ListUpdated("cached")]) == [api.FollowList()]
    assert [type(action) for action in controller.handle(1, [api.ListUpdated("failed")])] == [api.SetTimer]
    assert controller.handle(2, [api.TimerDue("follow")]) == [api.FollowList()]


def test_a_call_overflows_to_the_pools_of_its_bearer_type() -> None:
    agent = Agent(settings={"topology": "pools", "own_number": -1, "pools:line": (1, 2)})
    agent.report_free(1, 0)
    assert set_up_routes(agent.call(10, 1)) == ["x2"]


def test_the_same_events_lead_to_the_same_actions() -> None:
    runs = [[Agent(seed=3).call(10, call) for call in range(30)] for _ in range(2)]
    assert runs[0] == runs[1]


@pytest.mark.parametrize(
    ("result", "cause", "done", "safe", "unsafe"),
    [
        ("served", "", True, [], []),
        ("error", "", False, ["Block"], ["Abort"]),
        ("full", "processor_full", False, ["Block"], ["Block"]),
        ("timeout", "", False, ["SetTimer"], ["Abort"]),
        ("connect_failed", "", False, ["Block"], ["Block"]),
        ("reset", "", False, ["Block"], ["Abort"]),
        ("cancelled", "", False, ["Block"], ["Abort"]),
        ("moot", "processor_full", False, ["Block"], ["Block"]),
    ],
)
@pytest.mark.parametrize("effect", ["safe", "unsafe"])
def test_each_outcome_of_a_direct_try(
    result: str, cause: str, done: bool, effect: str, safe: list[str], unsafe: list[str]
) -> None:
    agent = Agent({2: 0, 3: 0}, settings={"effect:line": effect})
    agent.call(0, 1)
    actions = agent.try_ended(50, 1, 1, result, cause=cause, done=done)
    names = [type(action).__name__ for action in actions if not isinstance(action, api.Log)]
    assert names == (safe if effect == "safe" else unsafe)
    assert set_up_routes(agent.handle_at(349, api.TimerDue("1"))) == []  # the release time is not over


@pytest.mark.parametrize(
    ("free", "end", "checks_all"),
    [
        (None, None, False),  # the direct group has free circuits: no other exchange is checked
        ({1: 0}, None, True),
        (None, ("moot", "no_circuit"), True),  # not sent: its tandems are needed now
        (None, ("full", "processor_full"), False),
    ],
)
def test_tandems_are_ranked_only_when_they_are_needed(
    free: dict[int, int] | None,
    end: tuple[str, str] | None,
    checks_all: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    agent, original = Agent(free, exchanges=20), Exchange.has_free_circuits
    checked_names: set[str] = set()

    def has_free_circuits(exchange: Exchange, circuits: int) -> bool:
        checked_names.add(exchange.name)
        return original(exchange, circuits)

    monkeypatch.setattr(Exchange, "has_free_circuits", has_free_circuits)
    routes = set_up_routes(agent.call(10, 1))
    if end is not None:
        routes += set_up_routes(agent.try_ended(20, 1, 1, end[0], cause=end[1]))
    assert (len(checked_names) > 15) == checks_all
    assert len(routes) == 1 + (checks_all and free is None)


@pytest.mark.parametrize(
    ("reported", "expected"),
    [
        (None, 10),  # 90 circuits over 10 s: 9 a second; times 2 s, 4, 0.3, and half for the own agent
        (9.0, 10),
        (2.0, 2),  # the reported rate of the processors is lower than that of the circuits
    ],
)
def test_the_cold_budget_is_bounded_by_what_processors_report(reported: float | None, expected: int) -> None:
    agent = Agent(
        settings={
            "fall_multiple": 4.0,
            "agents": 2,
            "holding:line": 10_000 * MS,
            "cold_time": 1_000_000 * MS,
            "fall_time": 2000 * MS,
        }
    )
    agent.handle_at(5, api.ListUpdated("delta", (api.Entry("x0", 0, "ready", 5 * MS),)))
    if reported is not None:
        agent.handle_at(6, api.LoadReported("x2", "served", 0, {"rate": reported}))
    agent.controller._router.exchanges_by_number[0].start_known_at = -(
        1 << 60
    )  # so the set-up that is assumed before it has left the window
    setups = 0
    for call in range(40):
        setups += len(set_up_routes(agent.call(10 + call, call, to=1 + call % 3)))
        agent.answered(10 + call, call, 1 + call % 3, delay=1)
    assert setups == expected


def test_a_restarted_agent_does_not_send_a_burst() -> None:
    """An agent restarted during a storm knows of no overload: without a limit it sends every call at once."""
    agent = Agent(settings={"agents": 40}, exchanges=40)
    assert 6 <= len([number for number in range(1, 40) if set_up_routes(agent.call(0, number, number))]) <= 10


@pytest.mark.parametrize(
    ("arrived_at", "marked", "late_revenue", "min_count", "max_count"),
    [
        (1600, False, 0.1, 0, 8),  # past the GoS target of 1.5 s since its first try
        (1600, True, 0.1, 0, 8),
        (1600, False, 1.0, 20, 40),  # a bearer type with full revenue for late calls
        (1400, False, 0.1, 20, 40),  # can still be answered within the GoS target
    ],
)
def test_a_late_further_try_counts_with_its_late_revenue(
    arrived_at: int, marked: bool, late_revenue: float, min_count: int, max_count: int
) -> None:
    sent_count = 0
    for seed in range(40):
        agent = Agent(seed=seed, settings={"late_revenue:line": late_revenue, "abandon_time:line": 9000 * MS})
        agent.set_state(0, 1, "draining")
        assert final_answers(agent.call(0, 1, 1, number="n")) == ["Block"]
        agent.set_state(10, 1, "ready")
        agent.call(arrived_at, 2, 1)
        agent.call(arrived_at, 3, 1)  # two of the window of four are outstanding
        sent_count += len(set_up_routes(agent.call(arrived_at, 4, 1, number="n", repeat=marked)))
    assert min_count <= sent_count <= max_count


def retry_delays(agent: Agent, at: int, calls: range, **fields: Any) -> list[int]:
    """Advised retry delays in ms of the calls that are refused."""
    delays = []
    for call in calls:
        actions = agent.call(at, call, 1, **fields)
        delays += [action.retry_after // MS for action in actions if isinstance(action, api.Block)]
    return delays


def test_a_caller_in_time_retries_soon_and_a_late_one_in_a_slot_of_its_own() -> None:
    settings = {"abandon_time:line": 20_000 * MS, "come_back_limit": 5000 * MS}
    agent = Agent(settings=settings)
    for call in range(1000, 1030):  # thirty calls answered lately: one slot a second
        agent.call(0, call)
        agent.answered(50, call, 1)
    agent.set_state(100, 1, "draining")
    delays_in_time = retry_delays(agent, 1000, range(100))
    assert min(delays_in_time) >= 400 and max(delays_in_time) <= 600 and len(set(delays_in_time)) > 50
    late_delays = []
    for call in range(300, 310):  # each a caller whose first try was two seconds ago
        late_delays += retry_delays(agent, 3000, range(call, call + 1), number=f"n{call - 280}")
    slots = late_delays[:4]
    assert slots == sorted(slots) and all(
        500 <= gap <= 1500 for gap in (slots[at + 1] - slots[at] for at in range(3))
    )
    assert max(late_delays) <= 5000 and min(late_delays) >= 400  # the rest at random times up to the limit


def test_a_call_over_its_gateways_share_is_refused_with_a_retry_delay() -> None:
    agent = Agent()
    (answer,) = agent.call(0, 1, 1, over_share=True)
    assert isinstance(answer, api.Block) and answer.retry_after > 0


@pytest.mark.parametrize(("late", "min_count", "max_count"), [(True, 5, 10), (False, 45, 60)])
def test_further_route_tries_have_a_budget_where_answers_are_late(
    monkeypatch: pytest.MonkeyPatch, late: bool, min_count: int, max_count: int
) -> None:
    monkeypatch.setattr(CallRouter, "RETRY_CREDIT", 0.0)  # only the budget that there is at the start
    agent = Agent({1: 0}, exchanges=6)
    further_tries = 0
    for call in range(60):
        for other in range(10):  # a tenth of them late
            agent.call(call * 20_000 - 3000, 1000 + other, 2)
            agent.answered(call * 20_000 - 2000, 1000 + other, 2, 1000 if late and other == 9 else 100)
        routes = set_up_routes(agent.call(call * 20_000, call, 1))
        if routes:
            next_routes = set_up_routes(
                agent.try_ended(call * 20_000 + 50, call, int(routes[0][1:]), "error")
            )
            further_tries += len(next_routes)
            if next_routes:
                agent.handle_at(call * 20_000 + 100, api.CallerLeft(call))
    assert min_count <= further_tries <= max_count


def test_the_retry_budget_is_refilled_by_first_tries() -> None:
    agent = Agent()
    router = agent.controller._router
    router.retry_budget = 0.0
    for call in range(20):
        agent.call(call * 100, call)
        agent.answered(call * 100 + 50, call, 1)
    assert 1.9 < router.retry_budget < 2.1


def test_a_replaced_exchange_is_dropped_and_its_circuits_count_once() -> None:
    agent = Agent()
    router = agent.controller._router
    circuits = router.circuits
    for number in range(30):
        agent.call(number * 1000, number, to=1)
        name = "x1" if number == 0 else f"r{number}"
        agent.handle_at(number * 1000 + 10, api.TryAnswered(number, name, 50 * MS, 0))
        new = f"r{number + 1}"
        agent.handle_at(number * 1000 + 20, api.ListUpdated("delta", (api.Entry(new, 1, "ready", 1),)))
        agent.handle_at(number * 1000 + 20, api.LoadReported(new, "served", 0, {"free": 30, "size": 30}))
        agent.handle_at(number * 1000 + 30, api.ListUpdated("delta", (api.Entry(name, 1, "gone"),)))
    agent.handle_at(40_000, api.ListUpdated("delta", ()))
    assert (len(router.exchanges), router.circuits) == (4, circuits)
    assert len(router.statistics) <= 1


@pytest.mark.parametrize(
    ("transit", "free", "routes"),
    [
        (False, {1: 10, 2: 20, 3: 30}, ["x3", "x2"]),  # from a caller whose own agent is away
        (False, {1: 0, 2: 0, 3: 0}, []),
        (True, {}, []),  # a call in transit does not go on from its destination
    ],
)
def test_a_call_for_the_own_exchange_goes_over_a_tandem(
    transit: bool, free: dict[int, int], routes: list[str]
) -> None:
    agent = Agent(free)
    actions = agent.call(0, 1, to=0, transit=transit, via=1 if transit else -1)
    for route in routes:
        assert set_up_routes(actions) == [route]
        actions = agent.try_ended(50, 1, int(route[1]), "full", cause="turned_back")
    assert set_up_routes(actions) == [] and final_answers(actions) == ["Block"]


@pytest.mark.parametrize(("ended_at", "waits"), [(289, True), (291, False)])
def test_a_call_waits_for_the_release_time_only_if_it_may_then_be_sent_again(
    ended_at: float, waits: bool
) -> None:
    agent = Agent()
    assert set_up_routes(agent.call(0, 1, patience=600)) == ["x1"]
    actions = agent.try_ended(ended_at, 1, 1, "timeout")
    assert final_answers(actions) == ([] if waits else ["Block"])
    assert any(isinstance(action, api.SetTimer) for action in actions) == waits
