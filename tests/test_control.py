from __future__ import annotations

from typing import Any

import pytest

from peattrestle import interface as api
from peattrestle.control import Controller, Exchange, Home, RouteRecord
from tests.helpers import MS, Agent, answers, sent


@pytest.mark.parametrize(
    ("free", "call", "expected"),
    [
        ({}, {}, ["x1"]),
        ({1: 0}, {}, ["x2"]),  # own group full: the leg with most free circuits
        ({1: 0, 2: 20}, {}, ["x3"]),
        ({1: 0, 2: 3, 3: 2}, {}, ["x2"]),  # leg margin: width and two more
        ({1: 0, 2: 2, 3: 2}, {}, []),
        ({1: 1}, {"width": 2}, ["x2"]),
        ({}, {"transit": True, "via": 2}, ["x1"]),  # in transit: on, or back at once
        ({1: 0}, {"transit": True, "via": 2}, []),
        ({}, {"destination": 0}, ["x1"]),  # its own number: a fault if sent there, so by a tandem
        ({}, {"destination": 9}, []),  # nobody there
    ],
)
def test_the_way_of_a_call(free: dict[int, int], call: dict[str, Any], expected: list[str]) -> None:
    agent = Agent(free)
    to = call.pop("destination", 1)
    actions = agent.call(10, 1, to, **call)
    assert sent(actions) == expected
    assert answers(actions) == ([] if expected else ["Block"])


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
def test_the_leg_margin_grows_with_the_tandems_there_are(agents: int, free: int, expected: list[str]) -> None:
    assert sent(Agent({1: 0, 2: free, 3: 0}, settings={"agents": agents}).call(10, 1)) == expected


@pytest.mark.parametrize(
    ("outcomes", "ways", "answer"),
    [
        ([("full", "turned_back"), ("full", "turned_back")], ["x3", "x2"], ["Block"]),  # two tandems at most
        ([("full", "beyond_full")], ["x3"], ["Block"]),  # the destination's processor: no way round it
        ([("full", "processor_full")], ["x3"], ["Block"]),  # the tandem's or the own: no call for more work
        ([("error", "lines_busy")], ["x3"], ["Block"]),
        ([("moot", "no_circuit"), ("moot", "no_circuit")], ["x3", "x2"], ["Block"]),
    ],
)
def test_a_blocked_call_tries_two_tandems(
    outcomes: list[tuple[str, str]], ways: list[str], answer: list[str]
) -> None:
    agent = Agent({1: 0, 2: 20})
    seen, actions = [], agent.call(10, 1)
    for step, (result, cause) in enumerate(outcomes):
        seen += sent(actions)
        assert answers(actions) == []
        actions = agent.ended(20 + step, 1, int(seen[-1][1]), result, cause=cause)
    assert (seen, answers(actions)) == (ways, answer)


@pytest.mark.parametrize(
    ("stood", "lost", "delay", "score"),
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
def test_route_score(stood: int, lost: int, delay: int, score: int) -> None:
    record = RouteRecord()
    for one in range(stood + lost):
        record.note(0, one < stood, delay * MS)
    assert record.score(9_999 * MS) == score
    assert record.score(10_000 * MS) == 0  # the slot has rotated out


def test_tandems_are_ranked_by_score_before_free_circuits() -> None:
    agent = Agent({1: 0, 2: 20})
    for call in range(5):
        assert sent(agent.call(10, call)) == ["x3"]
        agent.ended(20, call, 3, "error")
        agent.at(30, api.CallerLeft(call))
    assert sent(agent.call(40, 10)) == ["x2"]


@pytest.mark.parametrize(
    ("stood", "back", "expected"),
    [
        ([2], [], "x2"),  # seen to reach it, though another leg has more free
        ([], [3], "x2"),
        ([3], [3], "x2"),
    ],
)
def test_a_tandem_seen_to_reach_the_destination_goes_first(
    stood: list[int], back: list[int], expected: str
) -> None:
    agent = Agent({1: 0, 2: 20})
    for one in stood:
        agent.free(5 - one, 0)
        agent.call(10, one)
        agent.stood(20, one, one)
        agent.free(5 - one, 30 if one == 2 else 20)
    for one in back:  # a call in transit from there: it has no room itself
        agent.call(30, 10 + one, via=one, transit=True)
    assert sent(agent.call(40, 20)) == [expected]


def test_a_tandem_that_never_reached_the_destination_waits_longer_each_time() -> None:
    agent = Agent({1: 0, 2: 2})
    tried = []
    for second in range(1, 100):
        if sent(agent.call(1000 * second, second)):
            agent.ended(1000 * second + 1, second, 3, "full", cause="turned_back")
            tried.append(second)
    assert tried == [1, 12, 33, 74]


@pytest.mark.parametrize(
    ("size", "late", "way", "sends"),
    [
        (30, 0, {}, 20),
        (30, 20, {}, 0),
        (0, 20, {}, 0),
        (0, 20, {"via": 3}, 20),
    ],
)
def test_calls_overflow_only_while_answers_come_in_time(
    size: int, late: int, way: dict[str, int], sends: int
) -> None:
    """A pair without a group has no other way than a tandem: its calls go on, but not blindly."""
    agent = Agent({2: 0}, settings={"holding:line": 1000 * MS})
    for one in range(20):
        agent.call(one, one, 3)
        agent.stood(50, one, 3, 1400 if one < late else 50)
    agent.at(60, api.Reported("x1", "served", 0, {"free": 0, "size": size}))
    for one in range(20):
        sends -= len(sent(agent.call(2000 + one, 100 + one, **way)))
        agent.stood(2000 + one, 100 + one, 3, 50)
    assert abs(sends) <= 4


def test_a_caller_without_time_tells_nothing_of_the_exchange() -> None:
    agent = Agent()
    for one in range(20):
        agent.call(100 * one, one, patience=60)
        agent.ended(100 * one + 50, one, 1, "timeout", delay=50 * MS, done=True)
    assert sum(len(sent(agent.call(2100, 100 + one))) for one in range(4)) == 4


def test_a_tandem_that_turned_back_is_left_out_for_a_span() -> None:
    agent = Agent({1: 0, 2: 2})
    assert sent(agent.call(10, 1)) == ["x3"]
    agent.ended(20, 1, 3, "full", cause="turned_back")
    assert answers(agent.call(10_019, 2)) == ["Block"]
    assert sent(agent.call(10_020, 3)) == ["x3"]


def lose_two(agent: Agent) -> None:
    """At two exchanges, once each, while a third answers soon: one agent sees little of each."""
    for one in range(4):
        agent.call(10 * one, 100 + one, 3)
        agent.stood(10 * one + 9, 100 + one, 3, 9)
    for one in (1, 2):
        agent.call(40 + one, 200 + one, one)
        agent.ended(850 + one, 200 + one, one, "timeout", delay=800 * MS, done=True)


def test_no_early_time_out_where_nothing_was_lost() -> None:
    agent = Agent()
    for one in range(4):
        agent.call(one, 100 + one)
        agent.stood(10 + one, 100 + one, 1, 10)
    assert [one.patience for one in agent.call(100, 1) if isinstance(one, api.SetUp)] == [2990 * MS]


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
    lose_two(agent)
    actions = agent.call(1000, 1, 3, **call)
    early = 1300 if call.get("patience") else 1050
    assert [one.patience for one in actions if isinstance(one, api.SetUp)] == [early * MS]
    actions = agent.ended(2050, 1, 3, result, delay=1050 * MS)
    if not resent:
        assert answers(actions) == ["Block" if effect == "safe" else "Abort"]
        return
    assert actions == [api.SetTimer(2350 * MS, "1")]
    assert sent(agent.at(2350, api.TimerDue("1"))) == ["x3"]
    assert agent.at(2351, api.TimerDue("1")) == []  # a timer no longer wanted: never two tries out


def test_patience_is_the_callers_own_where_answers_are_slow() -> None:
    agent = Agent()
    for one in range(4):
        agent.call(0, 100 + one, 1)
        agent.stood(700, 100 + one, 1, 700)
    actions = agent.call(800, 1)
    assert [one.patience for one in actions if isinstance(one, api.SetUp)] == [2990 * MS]


@pytest.mark.parametrize("role", ["direct", "tandem", "transit"])
@pytest.mark.parametrize("state", ["draining", "gone"])
def test_nothing_goes_to_an_exchange_that_leaves(state: str, role: str) -> None:
    agent = Agent({1: 0, 2: 2} if role == "tandem" else {})
    leaving = 3 if role == "tandem" else 1
    agent.state(5, leaving, state)
    assert answers(agent.call(10, 1, transit=role == "transit")) == ["Block"]
    agent.state(20, leaving, "ready")
    assert len(sent(agent.call(30, 2, transit=role == "transit"))) == 1


def test_a_draining_own_exchange_still_serves_its_callers() -> None:
    agent = Agent()
    agent.state(5, 0, "draining")
    assert sent(agent.call(10, 1)) == ["x1"]


def test_an_exchange_missing_from_a_full_list_is_gone_and_a_new_one_takes_its_number() -> None:
    agent = Agent()
    entries = [api.Entry(f"x{n}", n, "ready") for n in (0, 2, 3)]
    agent.at(5, api.Listed("full", tuple(entries)))
    assert answers(agent.call(10, 1)) == ["Block"]
    agent.at(20, api.Listed("delta", (api.Entry("y1", 1, "ready"),)))
    assert sent(agent.call(30, 2)) == ["y1"]


@pytest.mark.parametrize(
    ("cold", "role", "expected"),
    [
        (1, "direct", 1),
        (0, "direct", 2),
        (1, "transit", 1),
        (3, "tandem", 1),
        (2, "direct", 4),
        (1, "onward", 1),
    ],
)
def test_a_cold_exchange_gets_this_agents_share(cold: int, role: str, expected: int) -> None:
    """90 circuits held 10 s: 9 set-ups a second, times 2 x 0.3: 2.7 for the own agent, 0.9 for each other."""
    agent = Agent({1: 0, 2: 2} if role in ("tandem", "onward") else {}, settings={"cold_time": 140_000 * MS})
    agent.state(100, cold, "ready", started=100)

    def try_four(ms: float, first: int) -> int:
        actions = [agent.call(ms + one, first + one, transit=role == "transit") for one in range(4)]
        for one in range(4):
            agent.stood(ms + 10, first + one, 3 if role in ("tandem", "onward") else 1)
        return sum(len(sent(one)) for one in actions)

    assert try_four(1300, 10) == expected
    assert try_four(1600, 20) == (4 if expected == 4 else 0)
    assert try_four(2500, 30) == expected
    assert try_four(139_000, 40) == (4 if cold == 0 else min(4, 2 * expected - 1))  # half of a steady growth
    assert try_four(140_101, 50) == 4  # warm


@pytest.mark.parametrize("agents", [6, 28, 68])
def test_all_agents_together_keep_to_the_budget_of_a_cold_exchange(agents: int) -> None:
    """2.7 set-ups a second for all others; they are told at once, and half of them start only then."""
    times = []
    for seed in range(agents - 1):
        agent = Agent(seed=seed * 7919, settings={"agents": agents})
        start = 100 if seed % 2 else 3000
        agent.state(start, 1, "ready", started=100)
        for at in range(start, 14_000, 200):
            if sent(agent.call(at, at)):
                times.append(at)
                agent.stood(at + 10, at, 1)
    for at in times:  # starts are drawn: a window may hold twice the mean
        grown = (0.3 + 0.35 * (at + 900) / 14_000) / 0.3
        assert sum(at <= other < at + 1000 for other in times) <= 2 * 2.7 * grown + 2
    assert len(times) >= 0.8 * 2.7 * 14


@pytest.mark.parametrize(
    ("result", "cause"), [("timeout", ""), ("full", "processor_full"), ("connect_failed", "")]
)
def test_an_exchange_that_answers_full_or_not_at_all_gets_few_calls(result: str, cause: str) -> None:
    agent = Agent()
    for call in range(20):
        at = call * 600
        if sent(agent.call(at, call)):
            agent.ended(at + 400, call, 1, result, cause=cause)
    trials = [one for one in range(50, 70) if sent(agent.call(12_000, one))]
    assert len(trials) <= 4
    for one in trials:
        agent.ended(13_000, one, 1, result, cause=cause)
    assert sent(agent.call(40_000, 99)) == ["x1"]  # and reopens by itself


@pytest.mark.parametrize(
    ("how", "delay", "least", "most"),
    [
        ("stood", 50, 39, 39),
        ("stood", 1400, 1, 8),
        ("left", 700, 39, 39),
        ("left", 1400, 1, 15),  # who leaves early tells nothing, who leaves late does
    ],
)
def test_all_set_ups_are_held_while_many_answers_are_late(
    how: str, delay: int, least: int, most: int
) -> None:
    """One late answer from each of many tells what none of them tells alone."""
    agent = Agent(settings={"agents": 40}, exchanges=40)
    for one in range(200, 240):  # its own window opens as answers come in time
        agent.call(0, one, one - 199 if one < 239 else 1)
        agent.stood(50, one, 1)
    for one in range(240, 243):  # and what is past has faded
        agent.call(one * 20, one, 1)
        agent.stood(one * 20 + 50 + 5000 * (one - 240), one, 1)
    first = [one for one in range(1, 40) if sent(agent.call(20_000, one, one))]
    for one in first:
        if how == "left":
            agent.at(20_000 + delay, api.CallerLeft(one))
        else:
            agent.stood(22_000, one, one, delay)
    again = [one for one in range(1, 40) if sent(agent.call(22_001, 100 + one, one))]
    assert (len(first), least <= len(again) <= most) == (39, True)


def test_a_failed_connection_closes_the_window_at_once() -> None:
    agent = Agent()
    agent.call(10, 1)
    agent.ended(20, 1, 1, "connect_failed")
    assert sum(len(sent(agent.call(30, 10 + one))) for one in range(10)) <= 2


@pytest.mark.parametrize(("answered", "least", "most"), [(True, 3, 5), (False, 0, 1)])
def test_lost_set_ups_are_not_taken_for_pressure(answered: bool, least: int, most: int) -> None:
    """Lost means that set-ups sent later were answered; in silence the same time-outs close the window."""
    agent = Agent()
    for step in range(8):
        at = 1000 * step
        if sent(agent.call(at, 10 * step)):
            for later in range(1, 5):
                if sent(agent.call(at + 100 * later, 10 * step + later)) and answered:
                    agent.stood(at + 100 * later + 50, 10 * step + later, 1, 50)
            agent.ended(at + 900, 10 * step, 1, "timeout", delay=900 * MS)
    trials = sum(len(sent(agent.call(8000, 100 + one))) for one in range(10))
    assert least <= trials <= most


def test_set_ups_out_are_limited_and_cheaper_calls_more() -> None:
    rich: dict[str, Any] = {
        "bearer_types": ("line", "reel"),
        "gos_target:reel": 1500 * MS,
        "revenue:reel": 2.0,
    }
    sums = {}
    for kind in ("line", "reel"):
        agent = Agent(settings=rich)
        sums[kind] = sum(len(sent(agent.call(10, one, bearer_type=kind))) for one in range(20))
    assert 2 <= sums["line"] < sums["reel"] <= 6


def test_calls_to_a_number_whose_lines_are_busy_wait() -> None:
    agent = Agent()
    agent.call(0, 1, number="hot")
    agent.ended(50, 1, 1, "error", cause="lines_busy")
    actions = agent.call(100, 2, number="hot")
    assert actions == [api.Block(2, 950 * MS)]
    assert sent(agent.call(100, 3, number="other")) == ["x1"]
    assert sent(agent.call(1050, 4, number="hot")) == ["x1"]


def test_events_that_cross_or_repeat_do_nothing() -> None:
    agent = Agent()
    agent.call(0, 1)
    agent.at(10, api.CallerLeft(1))
    assert agent.at(20, api.CallerLeft(1), api.TimerDue("1"), api.TimerDue("x")) == []
    assert agent.ended(30, 1, 1, "full", cause="processor_full") == []
    assert agent.stood(40, 1, 1) == []
    agent.call(50, 2)
    agent.stood(60, 2, 1)
    assert agent.ended(9000, 2, 1, "reset", done=True) == []


def test_a_list_that_must_be_asked_for_is_followed_and_asked_again() -> None:
    controller = Controller(1, {"discovery": "ask"})
    assert controller.handle(0, [api.Listed("cached")]) == [api.FollowList()]
    assert [type(one) for one in controller.handle(1, [api.Listed("failed")])] == [api.SetTimer]
    assert controller.handle(2, [api.TimerDue("follow")]) == [api.FollowList()]


def test_pools_of_second_choice_stand_in() -> None:
    agent = Agent(settings={"topology": "pools", "own_number": -1, "pools:line": (1, 2)})
    agent.free(1, 0)
    assert sent(agent.call(10, 1)) == ["x2"]


def test_the_same_events_lead_to_the_same_actions() -> None:
    runs = [[Agent(seed=3).call(10, one) for one in range(30)] for _ in range(2)]
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
    actions = agent.ended(50, 1, 1, result, cause=cause, done=done)
    names = [type(one).__name__ for one in actions if not isinstance(one, api.Log)]
    assert names == (safe if effect == "safe" else unsafe)
    assert sent(agent.at(349, api.TimerDue("1"))) == []  # the release time is not over


@pytest.mark.parametrize(
    ("free", "end", "looked_at"),
    [
        (None, None, False),  # direct, and it has room: nobody else is looked at
        ({1: 0}, None, True),
        (None, ("moot", "no_circuit"), True),  # came back unsent: its tandems are wanted now
        (None, ("full", "processor_full"), False),
    ],
)
def test_tandems_are_ranked_only_when_a_call_is_blocked(
    free: dict[int, int] | None, end: tuple[str, str] | None, looked_at: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    agent, plain = Agent(free, exchanges=20), Exchange.has_room
    looked: set[str] = set()

    def has_room(one: Exchange, circuits: int) -> bool:
        looked.add(one.name)
        return plain(one, circuits)

    monkeypatch.setattr(Exchange, "has_room", has_room)
    sends = sent(agent.call(10, 1))
    if end is not None:
        sends += sent(agent.ended(20, 1, 1, end[0], cause=end[1]))
    assert (len(looked) > 15) == looked_at
    assert len(sends) == 1 + (looked_at and free is None)


@pytest.mark.parametrize(
    ("reported", "most"),
    [
        (None, 10),  # 90 circuits over 10 s: 9 a second; 2 s, four times, 0.3 of it, half for the own agent
        (9.0, 10),
        (2.0, 2),  # the groups are larger than the processors: what these have reported bounds it
    ],
)
def test_the_cold_budget_is_bounded_by_what_processors_report(reported: float | None, most: int) -> None:
    agent = Agent(
        settings={
            "fall_multiple": 4.0,
            "agents": 2,
            "holding:line": 10_000 * MS,
            "cold_time": 1_000_000 * MS,
            "fall_time": 2000 * MS,
        }
    )
    agent.at(5, api.Listed("delta", (api.Entry("x0", 0, "ready", 5 * MS),)))
    if reported is not None:
        agent.at(6, api.Reported("x2", "served", 0, {"rate": reported}))
    agent.controller._home.numbers[0].told_at = -(1 << 60)  # the drawn start of its window is long past
    sends = 0
    for call in range(40):
        sends += len(sent(agent.call(10 + call, call, to=1 + call % 3)))
        agent.stood(10 + call, call, 1 + call % 3, delay=1)
    assert sends == most


def test_an_agent_that_starts_anew_is_not_the_burst() -> None:
    """Half of them restarted in a storm knew of no pressure, and each sent what it was asked for."""
    agent = Agent(settings={"agents": 40}, exchanges=40)
    assert 6 <= len([one for one in range(1, 40) if sent(agent.call(0, one, one))]) <= 10


@pytest.mark.parametrize(
    ("came", "marked", "late_revenue", "least", "most"),
    [
        (1600, False, 0.1, 0, 8),  # past the GoS target of 1.5 s since its first try
        (1600, True, 0.1, 0, 8),
        (1600, False, 1.0, 20, 40),  # a bearer type that is worth as much late
        (1400, False, 0.1, 20, 40),  # it may still stand in time
    ],
)
def test_a_further_try_that_is_late_weighs_its_late_revenue(
    came: int, marked: bool, late_revenue: float, least: int, most: int
) -> None:
    through = 0
    for seed in range(40):
        agent = Agent(seed=seed, settings={"late_revenue:line": late_revenue, "abandon_time:line": 9000 * MS})
        agent.state(0, 1, "draining")
        assert answers(agent.call(0, 1, 1, number="n")) == ["Block"]
        agent.state(10, 1, "ready")
        agent.call(came, 2, 1)
        agent.call(came, 3, 1)  # two of the window of four are out
        through += len(sent(agent.call(came, 4, 1, number="n", repeat=marked)))
    assert least <= through <= most


def come_backs(agent: Agent, at: int, calls: range, **more: Any) -> list[int]:
    out = []
    for call in calls:
        actions = agent.call(at, call, 1, **more)
        out += [one.come_back // MS for one in actions if isinstance(one, api.Block)]
    return out


def test_who_may_stand_in_time_comes_back_soon_and_who_is_late_in_a_slot() -> None:
    settings = {"abandon_time:line": 20_000 * MS, "come_back_limit": 5000 * MS}
    agent = Agent(settings=settings)
    for call in range(1000, 1030):  # thirty have stood lately: a slot a second
        agent.call(0, call)
        agent.stood(50, call, 1)
    agent.state(100, 1, "draining")
    soon = come_backs(agent, 1000, range(100))
    assert min(soon) >= 400 and max(soon) <= 600 and len(set(soon)) > 50
    late = []
    for call in range(300, 310):  # each a caller whose first try was two seconds ago
        late += come_backs(agent, 3000, range(call, call + 1), number=f"n{call - 280}")
    slots = late[:4]
    assert slots == sorted(slots) and all(
        500 <= gap <= 1500 for gap in (slots[at + 1] - slots[at] for at in range(3))
    )
    assert max(late) <= 5000 and min(late) >= 400  # the rest anywhere up to the limit


def test_held_at_the_door_a_call_is_only_told_when_to_come_back() -> None:
    agent = Agent()
    (answer,) = agent.call(0, 1, 1, held=True)
    assert isinstance(answer, api.Block) and answer.come_back > 0


@pytest.mark.parametrize(("late", "least", "most"), [(True, 5, 10), (False, 45, 60)])
def test_further_route_tries_have_a_budget_where_answers_are_late(
    monkeypatch: pytest.MonkeyPatch, late: bool, least: int, most: int
) -> None:
    monkeypatch.setattr(Home, "FURTHER", 0.0)  # what was saved up at the start is all there is
    agent = Agent({1: 0}, exchanges=6)
    further = 0
    for call in range(60):
        for other in range(10):  # a tenth of them late
            agent.call(call * 20_000 - 3000, 1000 + other, 2)
            agent.stood(call * 20_000 - 2000, 1000 + other, 2, 1000 if late and other == 9 else 100)
        ways = sent(agent.call(call * 20_000, call, 1))
        if ways:
            more = sent(agent.ended(call * 20_000 + 50, call, int(ways[0][1:]), "error"))
            further += len(more)
            if more:
                agent.at(call * 20_000 + 100, api.CallerLeft(call))
    assert least <= further <= most


def test_the_budget_is_refilled_by_first_tries() -> None:
    agent = Agent()
    home = agent.controller._home
    home.further = 0.0
    for call in range(20):
        agent.call(call * 100, call)
        agent.stood(call * 100 + 50, call, 1)
    assert 1.9 < home.further < 2.1


def test_what_is_gone_and_replaced_is_dropped_and_its_circuits_counted_once() -> None:
    agent = Agent()
    home = agent.controller._home
    circuits = home.circuits
    for number in range(30):
        agent.call(number * 1000, number, to=1)
        name = "x1" if number == 0 else f"r{number}"
        agent.at(number * 1000 + 10, api.Stood(number, name, 50 * MS, 0))
        new = f"r{number + 1}"
        agent.at(number * 1000 + 20, api.Listed("delta", (api.Entry(new, 1, "ready", 1),)))
        agent.at(number * 1000 + 20, api.Reported(new, "served", 0, {"free": 30, "size": 30}))
        agent.at(number * 1000 + 30, api.Listed("delta", (api.Entry(name, 1, "gone"),)))
    agent.at(40_000, api.Listed("delta", ()))
    assert (len(home.exchanges), home.circuits) == (4, circuits)
    assert len(home.records) <= 1


@pytest.mark.parametrize(
    ("transit", "free", "ways"),
    [
        (False, {1: 10, 2: 20, 3: 30}, ["x3", "x2"]),  # its caller's own agent is away
        (False, {1: 0, 2: 0, 3: 0}, []),
        (True, {}, []),  # nobody sends a call on to where it is
    ],
)
def test_a_call_for_the_own_exchange_goes_over_a_tandem(
    transit: bool, free: dict[int, int], ways: list[str]
) -> None:
    agent = Agent(free)
    actions = agent.call(0, 1, to=0, transit=transit, via=1 if transit else -1)
    for way in ways:
        assert sent(actions) == [way]
        actions = agent.ended(50, 1, int(way[1]), "full", cause="turned_back")
    assert sent(actions) == [] and answers(actions) == ["Block"]


@pytest.mark.parametrize(("ended_at", "waits"), [(289, True), (291, False)])
def test_a_call_waits_for_the_release_time_only_if_it_may_then_be_sent_again(
    ended_at: float, waits: bool
) -> None:
    agent = Agent()
    assert sent(agent.call(0, 1, patience=600)) == ["x1"]
    actions = agent.ended(ended_at, 1, 1, "timeout")
    assert answers(actions) == ([] if waits else ["Block"])
    assert any(isinstance(action, api.SetTimer) for action in actions) == waits
