"""A few drawn trials of real agent processes; `python -m peattrestle.trials --seeds N` plays one again."""

from __future__ import annotations

from peattrestle.trials.soak import play_many

SEEDS = (2, 6, 11, 28, 33, 41)  # long and short deadlines, every trouble among them
JOBS = 3


def test_drawn_trials_break_no_rule() -> None:
    outcomes = list(play_many(SEEDS, JOBS))
    found = [f"seed {one.seed}: {one.fault or one.breaches[:3]}" for one in outcomes if not one.passed]
    assert found == []
    assert all(one.stood for one in outcomes)
