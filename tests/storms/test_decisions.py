"""Watch, door, gate and notices: what each sees, holds and lets go."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peattrestle.storms.measure import Faded, Histogram
from peattrestle.storms.notice import Notices
from peattrestle.storms.restarts import Gate, waiting_delay
from peattrestle.storms.shares import Door, max_min
from peattrestle.storms.sight import FIRST, FURTHER, RETURNED, Seen
from peattrestle.storms.watch import RECONNECT, RETRY, RETURN, Watch

MS = 1_000_000
SECOND = 1_000_000_000


def test_what_fades() -> None:
    one = Faded(SECOND)
    for at in range(0, 20_000, 100):
        one.add(at * MS)
    assert one.rate(20_000 * MS) == pytest.approx(10, rel=0.1)
    assert one.rate(21_000 * MS) == pytest.approx(5, rel=0.1)
    bins = Histogram((1, 2), SECOND)
    bins.note(0, 1)
    bins.note(0, 5)
    assert bins.bins == [1, 0, 1] and bins.text(0, " s") == "<=1 s 1, more 1"
    bins.note(1000 * MS, 1)
    assert bins.bins == [1.5, 0, 0.5]
    assert bins.text(100_000 * MS) == ""


def day(seconds: list[tuple[int, int, int, int]]) -> list[tuple[str, float, bool]]:
    """Each second's first, further, returned calls and connections (of 20 gateways): what was seen when."""
    one, news = Watch(), []
    seen = {FIRST: Seen(FIRST, 0), FURTHER: Seen(FURTHER, 0, 2), RETURNED: Seen(RETURNED, 0)}
    for second, counts in enumerate(seconds):
        for step in range(20):
            now = second * SECOND + step * 50 * MS
            for kind, count in zip((FIRST, FURTHER, RETURNED), counts[:3], strict=True):
                for _ in range(count * (step + 1) // 20 - count * step // 20):
                    one.call(now, seen[kind])
            for _ in range(counts[3] * (step + 1) // 20 - counts[3] * step // 20):
                one.connected(now, 20, 500 * MS)
            for storm in one.look(now):
                news.append((storm.kind, now / SECOND, storm.ended_at > 0))
    return news


@pytest.mark.parametrize(
    ("seconds", "kinds"),
    [
        pytest.param([(10, 1, 0, 0)] * 20, [], id="a quiet day"),
        pytest.param([(10, 0, 0, 0)] * 5 + [(60, 20, 0, 0)] * 15, [], id="an honest surge, many turned away"),
        pytest.param([(10, 1, 0, 0)] * 5 + [(10, 40, 0, 0)] * 5, [(RETRY, False)], id="repeats"),
        pytest.param(
            [(10, 40, 0, 0)] * 5 + [(10, 6, 0, 0)] * 8, [(RETRY, False)], id="less, not gone: it goes on"
        ),
        pytest.param(
            [(10, 40, 0, 0)] * 5 + [(10, 1, 0, 0)] * 10, [(RETRY, False), (RETRY, True)], id="and it ends"
        ),
        pytest.param([(1, 2, 0, 0)] * 10, [], id="two a second are no storm"),
        pytest.param(
            [(10, 0, 30, 0)] * 2 + [(10, 0, 0, 0)] * 10, [(RETURN, False), (RETURN, True)], id="cut calls"
        ),
        pytest.param(
            [(10, 0, 0, 0)] + [(10, 0, 0, 20)] + [(10, 0, 0, 0)] * 12,
            [(RECONNECT, False), (RECONNECT, True)],
            id="all gateways reconnect",
        ),
        pytest.param([(10, 0, 0, 1)] * 20, [], id="one gateway a second is no storm"),
    ],
)
def test_storms_begin_and_end(
    seconds: list[tuple[int, int, int, int]], kinds: list[tuple[str, bool]]
) -> None:
    assert [(kind, over) for kind, _, over in day(seconds)] == kinds


def test_a_storm_is_seen_soon() -> None:
    (_, at, _), *_ = day([(10, 0, 0, 0)] * 10 + [(10, 60, 0, 0)] * 10)
    assert 10 < at < 12


def test_a_storm_says_its_size_and_evidence() -> None:
    one = Watch()
    for at in range(0, 4000, 20):
        one.call(at * MS, Seen(FURTHER, 0, 3, 1, 500 * MS))
        one.look(at * MS)
    storm = one.levels[RETRY].storm
    assert storm is not None and storm.size > 100 and storm.peak > 40
    assert "further tries" in storm.evidence and "without repeats" in storm.evidence


@given(
    st.dictionaries(st.text(max_size=3), st.floats(0, 1000), max_size=12),
    st.floats(0, 2000),
    st.randoms(use_true_random=False),
)
def test_max_min_gives_no_more_than_wanted_and_nothing_is_left_over(
    offered: dict[str, float], total: float, draw: random.Random
) -> None:
    weights = {name: draw.uniform(0.1, 5) for name in offered}
    parts = max_min(offered, weights, total)
    assert all(0 <= parts[name] <= offered[name] + 1e-6 for name in offered)
    assert sum(parts.values()) == pytest.approx(min(total, sum(offered.values())), rel=1e-6, abs=1e-6)
    held = [parts[name] / weights[name] for name in offered if parts[name] < offered[name] - 1e-6]
    free = [parts[name] / weights[name] for name in offered if parts[name] >= offered[name] - 1e-6]
    assert not held or max(held) - min(held) < 1e-6 * max(held) + 1e-6  # those held get alike
    assert not held or all(one <= max(held) + 1e-6 for one in free)  # and nobody gets more


class Played:
    """Gateways that offer calls at set rates; `carries` of those let through a second stand."""

    def __init__(self, carries: float) -> None:
        self.door, self.carries, self.draw = Door(), carries, random.Random(3)
        self.now = 0
        self.room = 0.0

    def run(
        self, seconds: float, rates: dict[str, list[tuple[float, float]]]
    ) -> dict[tuple[str, float], float]:
        """`rates`: for each gateway, pairs of worth and calls a second. The share let through by gateway and
        worth, over the last half of the time."""
        offered: dict[tuple[str, float], int] = {}
        let: dict[tuple[str, float], int] = {}
        until, half = self.now + round(seconds * SECOND), self.now + round(seconds * SECOND / 2)
        while self.now < until:
            self.now += 10 * MS
            self.room = min(self.carries, self.room + self.carries * 0.01)
            for name, pairs in rates.items():
                for worth, rate in pairs:
                    if self.draw.random() >= rate * 0.01:
                        continue
                    passed = self.door.lets(self.now, name, worth, self.draw.random())
                    if self.now > half:
                        offered[name, worth] = offered.get((name, worth), 0) + 1
                        let[name, worth] = let.get((name, worth), 0) + passed
                    if passed and self.room >= 1:
                        self.room -= 1
                        self.door.stood(self.now)
                    elif passed:
                        self.door.refused(self.now)
        return {key: let.get(key, 0) / count for key, count in offered.items()}


def test_nobody_is_held_while_little_is_turned_away() -> None:
    one = Played(carries=40)
    shares = one.run(20, {"a": [(1.0, 30)], "b": [(1.0, 5)]})
    assert not one.door.held and set(shares.values()) == {1.0} and one.door.notices() == {}


def test_a_flood_is_held_to_its_share_and_the_others_are_not() -> None:
    one = Played(carries=20)
    one.run(20, {"a": [(1.0, 6)], "b": [(1.0, 6)], "c": [(1.0, 6)]})
    shares = one.run(20, {"a": [(1.0, 6)], "b": [(1.0, 6)], "c": [(1.0, 90)]})
    assert shares["a", 1.0] > 0.95 and shares["b", 1.0] > 0.95 and shares["c", 1.0] < 0.4
    told = one.door.notices()
    assert told["c"] < 40 and told["a"] >= 6


def test_where_all_grow_alike_none_is_held_for_it() -> None:
    one = Played(carries=30)
    calm = {name: [(1.0, 8.0)] for name in "abc"}
    one.run(10, calm)
    shares = one.run(20, {name: [(1.0, 30.0)] for name in "abc"})
    assert one.door.held and min(shares.values()) > 0.95


def test_dearer_calls_go_first_where_a_total_must_be_held() -> None:
    one = Played(carries=10)
    one.run(10, {"a": [(1.0, 8)]})
    shares = one.run(20, {"a": [(1.0, 8), (0.1, 300)]})
    assert shares["a", 1.0] > 0.9 and shares["a", 0.1] < 0.4


def test_a_big_gateway_keeps_what_it_usually_has() -> None:
    one = Played(carries=50)
    one.run(30, {"big": [(1.0, 40)], "small": [(1.0, 4)]})
    shares = one.run(15, {"big": [(1.0, 44)], "small": [(1.0, 60)]})
    assert shares["big", 1.0] > 0.9 and shares["small", 1.0] < 0.6


def test_the_door_opens_again() -> None:
    one = Played(carries=20)
    one.run(10, {"a": [(1.0, 60)], "b": [(1.0, 5)]})
    assert one.door.held
    one.run(10, {"a": [(1.0, 8)], "b": [(1.0, 5)]})
    assert not one.door.held and one.door.notices() == {}


def test_the_door_opens_where_nobody_calls_any_more() -> None:
    one = Played(carries=20)
    one.run(10, {"a": [(1.0, 60)], "b": [(1.0, 5)]})
    assert one.door.held
    for step in range(60):
        one.door.look(one.now + step * 250 * MS)
    assert not one.door.held


def test_false_evidence_leaves_first_calls_alone() -> None:
    """Nothing stands because the exchanges are away: what used to be offered is still let through."""
    one = Played(carries=30)
    one.run(20, {"a": [(1.0, 10)], "b": [(1.0, 10)]})
    one.carries = one.room = 0.0
    shares = one.run(15, {"a": [(1.0, 10)], "b": [(1.0, 10)]})
    assert one.door.held and min(shares.values()) > 0.95


def test_a_gateway_that_is_gone_takes_no_share() -> None:
    one = Played(carries=10)
    one.run(10, {"a": [(1.0, 30)], "b": [(1.0, 30)]})
    one.door.gone("b")
    one.run(0.5, {"a": [(1.0, 30)]})
    assert set(one.door.notices()) == {"a"}


def test_the_usual_rates_remembered_are_bounded() -> None:
    door = Door()
    for number in range(12_000):
        door.lets(number * 250 * MS, f"g{number}", 1.0, 0.5)
        door.look((number + 1) * 250 * MS)
        door.gone(f"g{number}")
    assert 0 < len(door.usual) <= door.MOST_USUAL


def test_the_gate_lets_restarts_through_at_its_rate_and_a_slot_is_kept() -> None:
    gate = Gate(rate=10, burst=2, most=100)
    waits = [gate.comes(0, f"g{number}") for number in range(50)]
    assert waits[:2] == [0, 0] and waits[2:5] == [100 * MS, 200 * MS, 300 * MS]
    assert gate.comes(50 * MS, "g2") == 50 * MS  # early: what is left of it, and no new one
    assert gate.comes(100 * MS, "g2") == 0
    passed = sum(gate.comes(100 * MS * (number - 1), f"g{number}") == 0 for number in range(3, 50))
    assert passed == 47
    assert [gate.comes(SECOND * at, "x") for at in range(20, 24)] == [0, 0, 0, 0]  # a quiet day


def test_the_gate_is_bounded() -> None:
    gate = Gate(rate=10, burst=1, most=20)
    for number in range(1000):
        gate.comes(0, f"g{number}")
    assert len(gate.slots) <= 20
    assert gate.comes(0, "one more") <= 20 * 100 * MS  # and nobody waits longer than all of them take
    assert waiting_delay(100, 50) == 2 * SECOND


def test_notices_are_renewed_changed_and_lifted() -> None:
    one = Notices()
    assert one.look(0, {}) == {}
    first = one.look(0, {"a": 10.0})["a"]
    assert first.rate == 10.0 and first.lifetime == one.LIFETIME
    assert one.look(100 * MS, {"a": 20.0}) == {}  # not so often
    assert one.look(500 * MS, {"a": 10.5}) == {}  # hardly changed
    assert one.look(500 * MS, {"a": 20.0})["a"].number > first.number
    assert one.look(1500 * MS, {"a": 20.0})["a"].rate == 20.0  # renewed at half its life
    lifted = one.look(1600 * MS, {})["a"]
    assert lifted.lifetime == 0 and one.look(1700 * MS, {}) == {}
    one.look(2000 * MS, {"a": 5.0})
    one.gone("a")
    assert one.look(2100 * MS, {}) == {}
