from __future__ import annotations

from collections.abc import Callable

import pytest

from peattrestle.calls.guard import Guard

MS = 1_000_000


def guard() -> Guard:
    one = Guard(250 * MS, 300 * MS, 1000 * MS, 2.0, 14_000 * MS)
    one.told(0, "x1", "ready", 0)
    one.told(0, "x2", "ready", 0)
    one.arrived(1, 5000 * MS)
    return one


@pytest.mark.parametrize(
    ("rule", "before", "at", "exchange"),
    [
        ("", lambda one: None, 10, "x1"),
        ("rule 1", lambda one: one.answer(5 * MS, 1), 10, "x1"),
        ("rule 1", lambda one: None, 5000, "x1"),
        ("rule 1", lambda one: one.over(1), 10, "x1"),
        ("rule 2", lambda one: one.set_up(5 * MS, 1, "x2"), 10, "x1"),
        ("rule 3", lambda one: one.told(5 * MS, "x1", "draining", 0), 256, "x1"),
        ("", lambda one: one.told(5 * MS, "x1", "draining", 0), 255, "x1"),
        (
            "rule 3",
            lambda one: (one.told(5 * MS, "x1", "gone", 0), one.told(200 * MS, "x1", "draining", 0)),
            256,
            "x1",
        ),
        ("", lambda one: (one.told(0, "x1", "gone", 0), one.told(200 * MS, "x1", "ready", 0)), 900, "x1"),
        ("rule 3", lambda one: None, 10, "x9"),
        ("rule 5", lambda one: one.try_ended(5 * MS, 1, True), 304, "x1"),
        ("", lambda one: one.try_ended(5 * MS, 1, True), 305, "x1"),
        ("", lambda one: one.try_ended(5 * MS, 1, False), 6, "x1"),
    ],
)
def test_set_ups(rule: str, before: Callable[[Guard], object], at: int, exchange: str) -> None:
    one = guard()
    before(one)
    said = one.set_up(at * MS, 1, exchange)
    assert said.startswith(rule) and bool(said) == bool(rule)
    assert sum(one.refusals.values()) == bool(rule)


@pytest.mark.parametrize(("at", "times", "refused"), [(10, 1, 0), (10, 2, 1), (5000, 1, 0), (5001, 1, 1)])
def test_answers(at: int, times: int, refused: int) -> None:
    one = guard()
    for _ in range(times):
        one.answer(at * MS, 1)
    assert sum(one.refusals.values()) == refused


def test_one_agent_alone_does_not_push_a_cold_exchange_over() -> None:
    one = guard()
    one.carried = 5 / (1000 * MS)  # five set-ups a second; twice that is the most
    one.told(0, "x1", "ready", 1 * MS)
    said = []
    for call in range(2, 20):
        one.arrived(call, 60_000 * MS)
        said.append(one.set_up((100 + call) * MS, call, "x1"))
    assert [bool(text) for text in said] == [False] * 10 + [True] * 8
    one.arrived(50, 60_000 * MS)
    assert one.set_up(2000 * MS, 50, "x1") == ""
