"""Storm detection, admission by fair shares, pacing of restarts, and notices to gateways."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peattrestle.storms.decaying_statistics import DecayingCounter, Histogram
from peattrestle.storms.gateway_admission import GatewayAdmission, max_min
from peattrestle.storms.notice import Notices
from peattrestle.storms.restarts import RestartPacer, waiting_delay
from peattrestle.storms.retry_detection import FIRST, FURTHER, RETURNED, CallerAttempt
from peattrestle.storms.storm_detection import RECONNECT, RETRY, RETURN, StormDetector

MS = 1_000_000
SECOND = 1_000_000_000


def test_counters_and_histograms_decay() -> None:
    counter = DecayingCounter(SECOND)
    for at in range(0, 20_000, 100):
        counter.add(at * MS)
    assert counter.rate(20_000 * MS) == pytest.approx(10, rel=0.1)
    assert counter.rate(21_000 * MS) == pytest.approx(5, rel=0.1)
    histogram = Histogram((1, 2), SECOND)
    histogram.add(0, 1)
    histogram.add(0, 5)
    assert histogram.bins == [1, 0, 1] and histogram.format(0, " s") == "<=1 s 1, more 1"
    histogram.add(1000 * MS, 1)
    assert histogram.bins == [1.5, 0, 0.5]
    assert histogram.format(100_000 * MS) == ""


def detected_storms(seconds: list[tuple[int, int, int, int]]) -> list[tuple[str, float, bool]]:
    """Storms that started or ended: kind, time in seconds, and whether it ended.

    `seconds`: for each second the number of first, further and returned calls, and of connections (from 20
    gateways).
    """
    detector, changes = StormDetector(), []
    attempts = {
        FIRST: CallerAttempt(FIRST, 0),
        FURTHER: CallerAttempt(FURTHER, 0, 2),
        RETURNED: CallerAttempt(RETURNED, 0),
    }
    for second, counts in enumerate(seconds):
        for step in range(20):
            now = second * SECOND + step * 50 * MS
            for kind, count in zip((FIRST, FURTHER, RETURNED), counts[:3], strict=True):
                for _ in range(count * (step + 1) // 20 - count * step // 20):
                    detector.count_call(now, attempts[kind])
            for _ in range(counts[3] * (step + 1) // 20 - counts[3] * step // 20):
                detector.count_connection(now, 20, 500 * MS)
            for storm in detector.update(now):
                changes.append((storm.kind, now / SECOND, storm.ended_at > 0))
    return changes


@pytest.mark.parametrize(
    ("seconds", "kinds"),
    [
        pytest.param([(10, 1, 0, 0)] * 20, [], id="a quiet day"),
        pytest.param([(10, 0, 0, 0)] * 5 + [(60, 20, 0, 0)] * 15, [], id="a surge of first calls"),
        pytest.param([(10, 1, 0, 0)] * 5 + [(10, 40, 0, 0)] * 5, [(RETRY, False)], id="repeats"),
        pytest.param(
            [(10, 40, 0, 0)] * 5 + [(10, 6, 0, 0)] * 8, [(RETRY, False)], id="fewer repeats: it goes on"
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
    assert [(kind, over) for kind, _, over in detected_storms(seconds)] == kinds


def test_a_storm_is_detected_within_two_seconds() -> None:
    (_, at, _), *_ = detected_storms([(10, 0, 0, 0)] * 10 + [(10, 60, 0, 0)] * 10)
    assert 10 < at < 12


def test_a_storm_reports_its_size_and_evidence() -> None:
    detector = StormDetector()
    for at in range(0, 4000, 20):
        detector.count_call(at * MS, CallerAttempt(FURTHER, 0, 3, 1, 500 * MS))
        detector.update(at * MS)
    storm = detector.states[RETRY].storm
    assert storm is not None and storm.size > 100 and storm.peak > 40
    assert "further tries" in storm.evidence and "without repeats" in storm.evidence


@given(
    st.dictionaries(st.text(max_size=3), st.floats(0, 1000), max_size=12),
    st.floats(0, 2000),
    st.randoms(use_true_random=False),
)
def test_max_min_gives_no_more_than_offered_and_divides_the_whole_total(
    offered: dict[str, float], total: float, rng: random.Random
) -> None:
    weights = {name: rng.uniform(0.1, 5) for name in offered}
    parts = max_min(offered, weights, total)
    assert all(0 <= parts[name] <= offered[name] + 1e-6 for name in offered)
    assert sum(parts.values()) == pytest.approx(min(total, sum(offered.values())), rel=1e-6, abs=1e-6)
    limited = [parts[name] / weights[name] for name in offered if parts[name] < offered[name] - 1e-6]
    unlimited = [parts[name] / weights[name] for name in offered if parts[name] >= offered[name] - 1e-6]
    assert not limited or max(limited) - min(limited) < 1e-6 * max(limited) + 1e-6  # equal shares
    assert not limited or all(share <= max(limited) + 1e-6 for share in unlimited)  # no larger shares


class Simulation:
    """Gateways that offer calls at set rates; `capacity` of the admitted calls per second are answered."""

    def __init__(self, capacity: float) -> None:
        self.admission, self.capacity, self.rng = GatewayAdmission(), capacity, random.Random(3)
        self.now = 0
        self.tokens = 0.0

    def run(
        self, seconds: float, rates: dict[str, list[tuple[float, float]]]
    ) -> dict[tuple[str, float], float]:
        """Fraction of the calls that is admitted, by gateway and revenue, over the second half of the time.

        `rates`: for each gateway, pairs of revenue and calls per second.
        """
        offered: dict[tuple[str, float], int] = {}
        admitted: dict[tuple[str, float], int] = {}
        until, half = self.now + round(seconds * SECOND), self.now + round(seconds * SECOND / 2)
        while self.now < until:
            self.now += 10 * MS
            self.tokens = min(self.capacity, self.tokens + self.capacity * 0.01)
            for name, pairs in rates.items():
                for revenue, rate in pairs:
                    if self.rng.random() >= rate * 0.01:
                        continue
                    is_admitted = self.admission.admits(self.now, name, revenue, self.rng.random())
                    if self.now > half:
                        offered[name, revenue] = offered.get((name, revenue), 0) + 1
                        admitted[name, revenue] = admitted.get((name, revenue), 0) + is_admitted
                    if is_admitted and self.tokens >= 1:
                        self.tokens -= 1
                        self.admission.count_answered(self.now)
                    elif is_admitted:
                        self.admission.count_refused(self.now)
        return {key: admitted.get(key, 0) / count for key, count in offered.items()}


def test_no_gateway_is_limited_while_few_calls_are_refused() -> None:
    simulation = Simulation(capacity=40)
    shares = simulation.run(20, {"a": [(1.0, 30)], "b": [(1.0, 5)]})
    assert (
        not simulation.admission.is_limiting
        and set(shares.values()) == {1.0}
        and simulation.admission.limits_to_announce() == {}
    )


def test_a_flooding_gateway_is_limited_to_its_share_and_the_others_are_not() -> None:
    simulation = Simulation(capacity=20)
    simulation.run(20, {"a": [(1.0, 6)], "b": [(1.0, 6)], "c": [(1.0, 6)]})
    shares = simulation.run(20, {"a": [(1.0, 6)], "b": [(1.0, 6)], "c": [(1.0, 90)]})
    assert shares["a", 1.0] > 0.95 and shares["b", 1.0] > 0.95 and shares["c", 1.0] < 0.4
    rate_limits = simulation.admission.limits_to_announce()
    assert rate_limits["c"] < 40 and rate_limits["a"] >= 6


def test_no_gateway_is_limited_for_growth_that_all_share() -> None:
    simulation = Simulation(capacity=30)
    usual_rates = {name: [(1.0, 8.0)] for name in "abc"}
    simulation.run(10, usual_rates)
    shares = simulation.run(20, {name: [(1.0, 30.0)] for name in "abc"})
    assert simulation.admission.is_limiting and min(shares.values()) > 0.95


def test_calls_of_higher_revenue_go_first_where_the_total_is_limited() -> None:
    simulation = Simulation(capacity=10)
    simulation.run(10, {"a": [(1.0, 8)]})
    shares = simulation.run(20, {"a": [(1.0, 8), (0.1, 300)]})
    assert shares["a", 1.0] > 0.9 and shares["a", 0.1] < 0.4


def test_a_big_gateway_keeps_its_usual_rate() -> None:
    simulation = Simulation(capacity=50)
    simulation.run(30, {"big": [(1.0, 40)], "small": [(1.0, 4)]})
    shares = simulation.run(15, {"big": [(1.0, 44)], "small": [(1.0, 60)]})
    assert shares["big", 1.0] > 0.9 and shares["small", 1.0] < 0.6


def test_limits_end_after_the_overload() -> None:
    simulation = Simulation(capacity=20)
    simulation.run(10, {"a": [(1.0, 60)], "b": [(1.0, 5)]})
    assert simulation.admission.is_limiting
    simulation.run(10, {"a": [(1.0, 8)], "b": [(1.0, 5)]})
    assert not simulation.admission.is_limiting and simulation.admission.limits_to_announce() == {}


def test_limits_end_where_nobody_calls_any_more() -> None:
    simulation = Simulation(capacity=20)
    simulation.run(10, {"a": [(1.0, 60)], "b": [(1.0, 5)]})
    assert simulation.admission.is_limiting
    for step in range(60):
        simulation.admission.update(simulation.now + step * 250 * MS)
    assert not simulation.admission.is_limiting


def test_first_calls_are_not_limited_where_refusals_have_another_cause_than_load() -> None:
    """No call is answered, as the exchanges are unreachable: the usual rates are still admitted."""
    simulation = Simulation(capacity=30)
    simulation.run(20, {"a": [(1.0, 10)], "b": [(1.0, 10)]})
    simulation.capacity = simulation.tokens = 0.0
    shares = simulation.run(15, {"a": [(1.0, 10)], "b": [(1.0, 10)]})
    assert simulation.admission.is_limiting and min(shares.values()) > 0.95


def test_a_disconnected_gateway_takes_no_share() -> None:
    simulation = Simulation(capacity=10)
    simulation.run(10, {"a": [(1.0, 30)], "b": [(1.0, 30)]})
    simulation.admission.remove_gateway("b")
    simulation.run(0.5, {"a": [(1.0, 30)]})
    assert set(simulation.admission.limits_to_announce()) == {"a"}


def test_the_number_of_remembered_usual_rates_is_bounded() -> None:
    admission = GatewayAdmission()
    for number in range(12_000):
        admission.admits(number * 250 * MS, f"g{number}", 1.0, 0.5)
        admission.update((number + 1) * 250 * MS)
        admission.remove_gateway(f"g{number}")
    assert 0 < len(admission.usual_rates) <= admission.MAX_USUAL_RATES


def test_restarts_are_admitted_at_the_rate_and_a_slot_is_kept() -> None:
    pacer = RestartPacer(rate=10, burst=2, max_slots=100)
    waits = [pacer.wait_for(0, f"g{number}") for number in range(50)]
    assert waits[:2] == [0, 0] and waits[2:5] == [100 * MS, 200 * MS, 300 * MS]
    assert pacer.wait_for(50 * MS, "g2") == 50 * MS  # early: the rest of its wait, and no new slot
    assert pacer.wait_for(100 * MS, "g2") == 0
    admitted = sum(pacer.wait_for(100 * MS * (number - 1), f"g{number}") == 0 for number in range(3, 50))
    assert admitted == 47
    assert [pacer.wait_for(SECOND * at, "x") for at in range(20, 24)] == [
        0,
        0,
        0,
        0,
    ]  # no wait at quiet times


def test_slots_and_waits_of_restarts_are_bounded() -> None:
    pacer = RestartPacer(rate=10, burst=1, max_slots=20)
    for number in range(1000):
        pacer.wait_for(0, f"g{number}")
    assert len(pacer.slots) <= 20
    assert pacer.wait_for(0, "one more") <= 20 * 100 * MS  # no longer than all slots take
    assert waiting_delay(100, 50) == 2 * SECOND


def test_notices_are_renewed_changed_and_lifted() -> None:
    notices = Notices()
    assert notices.due_notices(0, {}) == {}
    first = notices.due_notices(0, {"a": 10.0})["a"]
    assert first.rate == 10.0 and first.lifetime == notices.LIFETIME
    assert notices.due_notices(100 * MS, {"a": 20.0}) == {}  # too soon after the last notice
    assert notices.due_notices(500 * MS, {"a": 10.5}) == {}  # changed by less than 20 %
    assert notices.due_notices(500 * MS, {"a": 20.0})["a"].number > first.number
    assert notices.due_notices(1500 * MS, {"a": 20.0})["a"].rate == 20.0  # renewed at half its lifetime
    lifted = notices.due_notices(1600 * MS, {})["a"]
    assert lifted.lifetime == 0 and notices.due_notices(1700 * MS, {}) == {}
    notices.due_notices(2000 * MS, {"a": 5.0})
    notices.remove_gateway("a")
    assert notices.due_notices(2100 * MS, {}) == {}
