"""Many drawn trials: played in processes of their own, each judged, with one line for each seed."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from peattrestle.trials.draw import Trial
from peattrestle.trials.judge import Breach

MS = 1_000_000
CROWD_EVERY = 5


@dataclass(slots=True)
class Outcome:
    """What one seed gave. `folder` has the agents' logs where a rule was broken."""

    seed: int
    requests: int = 0
    stood: int = 0
    attempts: int = 0
    observer_lag: int = 0
    troubles: list[str] = field(default_factory=list)
    breaches: list[Breach] = field(default_factory=list)
    timeline: list[str] = field(default_factory=list)
    folder: str = ""
    fault: str = ""

    @property
    def passed(self) -> bool:
        return not self.breaches and not self.fault


def play_one(seed: int) -> Outcome:
    """A trial that can't be played has failed like one that breaks a rule."""
    folder = Path(tempfile.mkdtemp(prefix=f"trial-{seed}-"))
    trial = Trial(seed, folder, crowd=seed % CROWD_EVERY == 0)
    outcome = Outcome(seed, troubles=[one.name for one in trial.plan])
    try:
        trial.play()
        outcome.breaches = trial.world.verdict()
    except Exception as fault:
        outcome.fault = repr(fault)
    finally:
        trial.world.close()
    record = trial.world.record
    began = record.lives[0].started_at if record.lives else 0
    outcome.observer_lag = record.observer_lag
    outcome.requests, outcome.attempts = len(record.requests), len(record.attempts)
    outcome.stood = sum(1 for one in record.requests.values() if one.answers and one.answers[0].status == 200)
    if outcome.passed:
        shutil.rmtree(folder)
        return outcome
    outcome.folder = str(folder)
    events = record.notes + [(one.at, f"BREACH {one.rule}: {one.text}") for one in outcome.breaches]
    outcome.timeline = [f"{(at - began) / 1000 / MS:8.3f} {text}" for at, text in sorted(events)]
    return outcome


def play_many(seeds: Iterable[int], jobs: int) -> Iterator[Outcome]:
    """In the order of the seeds."""
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play_one, seeds)
