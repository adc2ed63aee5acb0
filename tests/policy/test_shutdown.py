"""The shutdown plan keeps to the times that the platform documents, for any deadline."""

from __future__ import annotations

import pytest

from peattrestle.policy.shutdown import ShutdownPlan, retry_delay

MS = 1_000_000
SECOND = 1_000 * MS
CROSSING_TIME = 50 * MS  # set-ups may cross the close for this long


@pytest.mark.parametrize(
    ("deadline", "earliest_kill"),
    [(100, 800), (300, 1_000), (1_000, 1_700), (3_000, 3_700), (60_000, 3_700)],
)
def test_all_is_answered_and_closed_before_the_earliest_kill(deadline: int, earliest_kill: int) -> None:
    plan = ShutdownPlan.begin(SECOND, deadline * MS)
    assert SECOND < plan.answer_by < plan.close_at <= SECOND + earliest_kill * MS - CROSSING_TIME
    assert plan.abandon_at(SECOND + 70_000 * MS) == plan.answer_by
    assert plan.abandon_at(SECOND + 1) == SECOND + 1
    assert plan.can_end(plan.close_at, plan.close_at, open_calls=5)


def test_a_call_is_accepted_as_long_as_it_can_be_answered_within_its_gos_target() -> None:
    plan = ShutdownPlan.begin(0, 1_000 * MS)
    target, patience = 400 * MS, 900 * MS
    assert plan.accepts(plan.answer_by - target, patience, target)
    assert not plan.accepts(plan.answer_by - target + 1, patience, target)
    assert plan.accepts(plan.answer_by - 100 * MS, 100 * MS, target)


def test_the_shutdown_ends_early_only_without_calls_and_set_ups() -> None:
    plan = ShutdownPlan.begin(0, 3_000 * MS)
    assert plan.can_end(SECOND, 400 * MS, open_calls=0)
    assert not plan.can_end(SECOND, 400 * MS, open_calls=1)
    assert not plan.can_end(SECOND, 600 * MS, open_calls=0)
    assert not plan.can_end(900 * MS, 0, open_calls=0)


def test_the_retry_delay_keeps_to_the_settings() -> None:
    assert retry_delay(300 * MS, 2 * SECOND, allowed=True, in_transit=False) == 100 * MS
    assert retry_delay(300 * MS, 50 * MS, allowed=True, in_transit=False) == 50 * MS
    assert retry_delay(300 * MS, 2 * SECOND, allowed=False, in_transit=False) == 0
    assert retry_delay(300 * MS, 2 * SECOND, allowed=True, in_transit=True) == 0
