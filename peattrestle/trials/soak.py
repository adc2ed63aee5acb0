"""Soak test: runs many random trials in parallel processes and checks each one."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from peattrestle.trials.random_trial import Trial
from peattrestle.trials.rule_checker import Violation

MS = 1_000_000  # nanoseconds
BURST_SEED_INTERVAL = 5  # seeds divisible by this run with set-ups in bursts


@dataclass(slots=True)
class TrialResult:
    """The result of one trial; `directory` holds the agents' logs if it failed.

    `established` counts set-ups answered with 200, `observer_lag` is that of `Record` in nanoseconds, `error`
    is what kept the trial from running to its end.
    """

    seed: int
    requests: int = 0
    established: int = 0
    attempts: int = 0
    observer_lag: int = 0
    troubles: list[str] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    timeline: list[str] = field(default_factory=list)
    directory: str = ""
    error: str = ""

    @property
    def passed(self) -> bool:
        """Whether the trial ran to its end and broke no rule."""
        return not self.violations and not self.error


def run_trial(seed: int) -> TrialResult:
    """Runs and checks one trial. One that raises an exception counts as failed."""
    directory = Path(tempfile.mkdtemp(prefix=f"trial-{seed}-"))
    trial = Trial(seed, directory, in_bursts=seed % BURST_SEED_INTERVAL == 0)
    result = TrialResult(seed, troubles=[planned.name for planned in trial.plan])
    try:
        trial.run()
        result.violations = trial.environment.check_rules()
    except Exception as error:
        result.error = repr(error)
    finally:
        trial.environment.close()
    record = trial.environment.record
    started_at = record.agent_runs[0].started_at if record.agent_runs else 0
    result.observer_lag = record.observer_lag
    result.requests, result.attempts = len(record.requests), len(record.attempts)
    result.established = sum(
        1 for request in record.requests.values() if request.answers and request.answers[0].status == 200
    )
    if result.passed:
        shutil.rmtree(directory)
        return result
    result.directory = str(directory)
    events = record.events + [
        (violation.at, f"VIOLATION {violation.rule}: {violation.text}") for violation in result.violations
    ]
    result.timeline = [f"{(at - started_at) / 1000 / MS:8.3f} {text}" for at, text in sorted(events)]
    return result


def run_trials(seeds: Iterable[int], jobs: int) -> Iterator[TrialResult]:
    """Runs up to `jobs` trials at the same time and yields the results in the order of the seeds."""
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(run_trial, seeds)
