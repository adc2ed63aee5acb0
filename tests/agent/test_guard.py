"""The guard: each rule is enforced at its exact time limit, for set-ups and final answers."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from peattrestle.calls.guard import Guard

MS = 1_000_000  # nanoseconds


def make_guard() -> Guard:
    """A guard that knows two ready exchanges, and call 1 with an abandon time of 5 s."""
    guard = Guard(250 * MS, 300 * MS, 1000 * MS, 2.0, 14_000 * MS)
    guard.on_exchange_state(0, "x1", "ready", 0)
    guard.on_exchange_state(0, "x2", "ready", 0)
    guard.on_call_arrived(1, 5000 * MS)
    return guard


@pytest.mark.parametrize(
    ("rule", "before", "at", "exchange"),
    [
        ("", lambda guard: None, 10, "x1"),
        ("rule 1", lambda guard: guard.check_answer(5 * MS, 1), 10, "x1"),
        ("rule 1", lambda guard: None, 5000, "x1"),
        ("rule 1", lambda guard: guard.on_call_over(1), 10, "x1"),
        ("rule 2", lambda guard: guard.check_set_up(5 * MS, 1, "x2"), 10, "x1"),
        ("rule 3", lambda guard: guard.on_exchange_state(5 * MS, "x1", "draining", 0), 256, "x1"),
        ("", lambda guard: guard.on_exchange_state(5 * MS, "x1", "draining", 0), 255, "x1"),
        (
            "rule 3",
            lambda guard: (
                guard.on_exchange_state(5 * MS, "x1", "gone", 0),
                guard.on_exchange_state(200 * MS, "x1", "draining", 0),
            ),
            256,
            "x1",
        ),
        (
            "",
            lambda guard: (
                guard.on_exchange_state(0, "x1", "gone", 0),
                guard.on_exchange_state(200 * MS, "x1", "ready", 0),
            ),
            900,
            "x1",
        ),
        ("rule 3", lambda guard: None, 10, "x9"),
        ("rule 5", lambda guard: guard.on_try_ended(5 * MS, 1, True), 304, "x1"),
        ("", lambda guard: guard.on_try_ended(5 * MS, 1, True), 305, "x1"),
        ("", lambda guard: guard.on_try_ended(5 * MS, 1, False), 6, "x1"),
    ],
)
def test_a_set_up_is_refused_exactly_when_it_breaks_a_rule(
    rule: str, before: Callable[[Guard], object], at: int, exchange: str
) -> None:
    guard = make_guard()
    before(guard)
    violation = guard.check_set_up(at * MS, 1, exchange)
    assert violation.startswith(rule) and bool(violation) == bool(rule)
    assert sum(guard.refusals.values()) == bool(rule)


@pytest.mark.parametrize(("at", "times", "refused"), [(10, 1, 0), (10, 2, 1), (5000, 1, 0), (5001, 1, 1)])
def test_a_second_answer_or_one_after_the_abandon_time_is_refused(at: int, times: int, refused: int) -> None:
    guard = make_guard()
    for _ in range(times):
        guard.check_answer(at * MS, 1)
    assert sum(guard.refusals.values()) == refused


def test_one_agent_alone_does_not_overload_a_cold_exchange() -> None:
    guard = make_guard()
    guard.warm_capacity = 5 / (1000 * MS)  # five set-ups a second; the limit is twice that
    guard.on_exchange_state(0, "x1", "ready", 1 * MS)
    violations = []
    for call in range(2, 20):
        guard.on_call_arrived(call, 60_000 * MS)
        violations.append(guard.check_set_up((100 + call) * MS, call, "x1"))
    assert [bool(violation) for violation in violations] == [False] * 10 + [True] * 8
    guard.on_call_arrived(50, 60_000 * MS)
    assert guard.check_set_up(2000 * MS, 50, "x1") == ""
