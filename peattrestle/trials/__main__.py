"""python -m peattrestle.trials: runs random fault trials of real agent processes on loopback.

Exit codes: 0 no trial failed, 1 a trial failed, 2 the arguments are wrong.
"""

from __future__ import annotations

import argparse

from peattrestle.trials.soak import TrialResult, run_trials

MAX_PRINTED_VIOLATIONS = 5


def parse_seeds(text: str) -> list[int]:
    """Parses '7', '1-50' or '3,8,20-25'. Raises ValueError."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.partition("-")
        seeds += range(int(first), int(last) + 1) if dash else [int(first)]
    return seeds


def print_result(result: TrialResult, timeline: bool) -> None:
    """Prints one result with its first violations and, if `timeline` is set, what happened in the trial."""
    status = "passed" if result.passed else "FAILED"
    figures = f"{result.requests} requests, {result.established} stood, {result.attempts} attempts"
    figures += f", stand-ins {result.observer_lag // 1_000_000} ms late at most"
    print(f"seed {result.seed}: {status}, {figures}; {', '.join(result.troubles)}", flush=True)
    if result.error:
        print(f"    could not be run: {result.error}")
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"    {violation.rule}: {violation.text[:300]}")
    if len(result.violations) > MAX_PRINTED_VIOLATIONS:
        print(f"    and {len(result.violations) - MAX_PRINTED_VIOLATIONS} more")
    if result.directory:
        print(f"    logs: {result.directory}")
    if timeline:
        print("\n".join(f"    {line}" for line in result.timeline))


def main() -> int:
    """Runs the trials that the arguments ask for; returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m peattrestle.trials", description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="as 7, 1-50 or 3,8,20-25 (default 1-10)")
    parser.add_argument("--jobs", type=int, default=3, help="trials at the same time (default 3)")
    parser.add_argument("--timeline", action="store_true", help="print what happened in each failed trial")
    arguments = parser.parse_args()
    try:
        seeds = parse_seeds(arguments.seeds)
    except ValueError:
        parser.error(f"--seeds {arguments.seeds!r} is not a list of seeds")
    if not seeds or arguments.jobs < 1:
        parser.error(f"--seeds {arguments.seeds!r} names no seed, or --jobs {arguments.jobs} is less than 1")
    failed = 0
    for result in run_trials(seeds, arguments.jobs):
        failed += not result.passed
        print_result(result, arguments.timeline)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
