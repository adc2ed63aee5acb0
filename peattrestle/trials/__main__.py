"""python -m peattrestle.trials: plays drawn fault trials of real agent processes on loopback.

Exit codes: 0 no rule was broken, 1 one was, 2 the arguments are wrong.
"""

from __future__ import annotations

import argparse

from peattrestle.trials.soak import Outcome, play_many

SHOWN_BREACHES = 5


def seeds_of(text: str) -> list[int]:
    """'7', '1-50' or '3,8,20-25'. Raises ValueError."""
    found: list[int] = []
    for part in text.split(","):
        first, dash, last = part.partition("-")
        found += range(int(first), int(last) + 1) if dash else [int(first)]
    return found


def show(outcome: Outcome, timeline: bool) -> None:
    verdict = "passed" if outcome.passed else "FAILED"
    figures = f"{outcome.requests} requests, {outcome.stood} stood, {outcome.attempts} attempts"
    figures += f", stand-ins {outcome.observer_lag // 1_000_000} ms late at most"
    print(f"seed {outcome.seed}: {verdict}, {figures}; {', '.join(outcome.troubles)}", flush=True)
    if outcome.fault:
        print(f"    could not be played: {outcome.fault}")
    for breach in outcome.breaches[:SHOWN_BREACHES]:
        print(f"    {breach.rule}: {breach.text[:300]}")
    if len(outcome.breaches) > SHOWN_BREACHES:
        print(f"    and {len(outcome.breaches) - SHOWN_BREACHES} more")
    if outcome.folder:
        print(f"    logs: {outcome.folder}")
    if timeline:
        print("\n".join(f"    {line}" for line in outcome.timeline))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m peattrestle.trials", description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="as 7, 1-50 or 3,8,20-25 (default 1-10)")
    parser.add_argument("--jobs", type=int, default=3, help="trials at the same time (default 3)")
    parser.add_argument("--timeline", action="store_true", help="print what happened in each failed trial")
    arguments = parser.parse_args()
    try:
        seeds = seeds_of(arguments.seeds)
    except ValueError:
        parser.error(f"--seeds {arguments.seeds!r} is no list of seeds")
    if not seeds or arguments.jobs < 1:
        parser.error("no seed, or fewer than one job")
    failed = 0
    for outcome in play_many(seeds, arguments.jobs):
        failed += not outcome.passed
        show(outcome, arguments.timeline)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
