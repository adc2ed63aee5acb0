"""Random scripts (nights): a seed determines a few exchanges, a load, and troubles that may overlap."""

from __future__ import annotations

import os
import random
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from peattrestle.rehearsal.play import Player
from peattrestle.rehearsal.script import KINDS, Bearer, Callers, Fleet, Load, Script, Trouble
from peattrestle.settings.agent import Rules

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds
# Ranges of `figure`, whose meaning depends on the kind, where 0 to 0.5 would be too mild or invalid.
FIGURE_RANGES = {
    "slow": (1.5, 4.0),
    "flood": (2.0, 8.0),
    "surge": (1.2, 2.0),
    "late_replies": (0.05, 0.6),
    "circuits_lost": (0.3, 0.7),
    "hot_number": (0.1, 0.4),
    "garble": (0.02, 0.2),
    "double_replies": (0.1, 1.0),
}


def random_script(seed: int) -> Script:
    """The random script of a seed. Any change to the order of draws here changes every night."""
    rng = random.Random(f"night/{seed}")
    exchanges = rng.randint(3, 6)
    length = rng.randint(8, 12) * SECOND
    regions = ("east", "west") if exchanges > 3 else ("east", "west", "south")
    troubles = []
    for number in range(rng.randint(2, 6)):
        kind = rng.choice(KINDS)
        low, high = FIGURE_RANGES.get(kind, (0.05, 0.5))
        troubles.append(
            Trouble(
                label=f"{number} {kind}",
                kind=kind,
                at=rng.randint(0, length // MS) * MS,
                length=rng.randint(300, 6000) * MS,
                share=rng.choice((0.2, 0.4, 0.8)),
                figure=round(rng.uniform(low, high), 3),
            )
        )
    return Script(
        title=f"night {seed}",
        seed=seed,
        length=length,
        fleet=Fleet(
            exchanges=exchanges,
            regions=regions,
            calls_a_second=rng.choice((3.0, 5.0, 8.0)),
            busy=rng.uniform(0.5, 0.9),
            no_group=rng.choice((0.0, 0.2, 0.4)),
            spare=rng.uniform(0.9, 1.5),
            wait_limit=rng.randint(800, 3000) * MS,
            urgent_first=rng.random() < 0.5,
            registry=rng.random() < 0.3,
        ),
        callers=Callers(redials=rng.randint(0, 3), honours=rng.choice((0.0, 0.5, 1.0))),
        rules=Rules(
            release_time=rng.choice((300, 500)) * MS,
            drain_grace=rng.choice((250, 1000, 2000)) * MS,
            cold_from=rng.uniform(0.29, 0.4),
            cold_time=rng.randint(5, 15) * SECOND,
            fall_multiple=rng.choice((2.0, 4.0)),
        ),
        load=(Load(at=0, level=rng.uniform(0.6, 1.2)),),
        bearer=(
            Bearer(label="line", share=3, holding=2 * SECOND),
            Bearer(label="reel", share=1, holding=3 * SECOND, revenue=2.0),
        ),
        trouble=tuple(troubles),
    )


@dataclass(slots=True)
class Night:
    """The outcome of a night; `examined` by rule, `faults` in words, `trace` the digest of the traffic."""

    seed: int
    passed: bool
    calls: int
    examined: dict[str, int]
    faults: list[str]
    trace: str


def play_night(seed: int) -> Night:
    """Plays the night of a seed; an exception counts as a fault."""
    try:
        result = Player(random_script(seed), "virtual").play()
    except Exception as error:
        return Night(seed, False, 0, {}, [repr(error)], "")
    # A short night may have nothing to examine for a rule; callers check the sum over all nights.
    faults = [f"{verdict.rule}: {verdict.breaches[0].text}" for verdict in result.verdicts if verdict.broken]
    faults += [f"{check.name}: {check.text}" for check in result.checks if not check.passed]
    # Agents that lost calls or were killed are not compared: with none left to compare, that is no fault.
    if result.callers.get("dropped", 0) or result.troubles.get("kill_agent", 0):
        faults = [fault for fault in faults if not fault.startswith("counts equal: 0 of")]
    examined = {verdict.rule: verdict.examined for verdict in result.verdicts}
    return Night(seed, not faults, result.calls, examined, faults, result.trace)


def play_many(seeds: Iterable[int], jobs: int = 0) -> Iterator[Night]:
    """Plays the nights of `seeds` in `jobs` processes (0: one for each core); results in that order."""
    with ProcessPoolExecutor(jobs or os.cpu_count() or 1) as pool:
        yield from pool.map(play_night, seeds, chunksize=4)
