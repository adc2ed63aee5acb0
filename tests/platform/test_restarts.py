"""The verdict on a call for every order of the agent's start, restarts, their news, and namings."""

from __future__ import annotations

import itertools

import pytest

from peattrestle.platform.restarts import RETURN_TIME, UNHEARD_START_AGE, ExchangeRestarts

SECOND = 1_000_000_000
AGENT_START = 100 * SECOND
OFFSETS = (-60, -5, -1, 0, 1, 5, 9, 30, 31)  # seconds from the agent's start


def is_lost(named_at: int, starts: list[tuple[int, int]]) -> bool:
    """The verdict on a call of s1 first named at `named_at`; `starts` are starts and when the list told them.

    The call is judged at each time from its naming on, as the agent does.
    """
    restarts = ExchangeRestarts(AGENT_START)
    latest_set_up = restarts.latest_set_up(named_at)
    lost = False
    told = sorted(starts, key=lambda start: start[1])
    for started_at, told_at in told:
        if told_at <= AGENT_START:
            restarts.on_start_told("s1", started_at // 1_000_000, started_at, AGENT_START)
    restarts.on_known_starts_applied()
    for started_at, told_at in told:
        if told_at > AGENT_START:
            if told_at > named_at:
                lost |= restarts.is_lost("s1", latest_set_up)
            restarts.on_start_told("s1", started_at // 1_000_000, started_at, told_at)
    return lost or restarts.is_lost("s1", latest_set_up)


def expected_verdict(named_at: int, started_at: int, told_at: int) -> bool:
    """The table of docs/incidents/review-9-calls-named-after-a-restart.md, row by row."""
    if named_at < started_at:
        return True
    if named_at >= AGENT_START + RETURN_TIME:
        return False
    if started_at >= AGENT_START or told_at > AGENT_START:
        return True
    return started_at >= AGENT_START - UNHEARD_START_AGE


def times() -> list[int]:
    return [AGENT_START + offset * SECOND for offset in OFFSETS]


def test_one_restart_in_every_order_gets_the_verdict_of_the_table() -> None:
    for started_at, told_at, named_at in itertools.product(times(), times(), times()):
        if told_at >= started_at and named_at >= AGENT_START:
            verdict = is_lost(named_at, [(started_at, told_at)])
            assert verdict == expected_verdict(named_at, started_at, told_at), (started_at, told_at, named_at)


def test_of_two_restarts_each_gets_the_verdict_of_the_table() -> None:
    for first, second, named_at in itertools.product(times(), times(), times()):
        if not first < second or named_at < AGENT_START:
            continue
        for first_told, second_told in itertools.product(times(), times()):
            if not first <= first_told < second_told >= second:
                continue
            verdict = is_lost(named_at, [(first, first_told), (second, second_told)])
            expected = expected_verdict(named_at, first, first_told)
            expected |= expected_verdict(named_at, second, second_told)
            assert verdict == expected, (first, first_told, second, second_told, named_at)


@pytest.mark.parametrize("delay", [0, 1, 40 * SECOND])
def test_a_call_that_this_run_set_up_at_or_after_a_start_is_not_lost(delay: int) -> None:
    for started_at, told_at in itertools.product(times(), times()):
        restarts = ExchangeRestarts(AGENT_START)
        if told_at > AGENT_START:
            restarts.on_known_starts_applied()
        restarts.on_start_told("s1", started_at // 1_000_000, started_at, max(told_at, AGENT_START))
        assert not restarts.is_lost("s1", max(started_at, AGENT_START) + delay)


def test_a_start_in_the_future_loses_no_call_that_is_named_after_the_news() -> None:
    # The clocks of the machines may differ.
    restarts = ExchangeRestarts(AGENT_START)
    restarts.on_known_starts_applied()
    now = AGENT_START + 20 * SECOND
    restarts.on_start_told("s1", (now + SECOND) // 1_000_000, now + SECOND, now)
    assert not restarts.is_lost("s1", restarts.latest_set_up(now))


def test_a_process_seen_to_end_loses_what_was_set_up_before() -> None:
    restarts = ExchangeRestarts(AGENT_START)
    restarts.on_process_gone("s1", AGENT_START + SECOND)
    assert restarts.is_lost("s1", restarts.latest_set_up(AGENT_START + 2 * SECOND))
    assert not restarts.is_lost("s1", AGENT_START + SECOND)
    assert not restarts.is_lost("s2", AGENT_START)
    restarts.forget("s1")
    assert not restarts.is_lost("s1", AGENT_START)
