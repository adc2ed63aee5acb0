"""Drawn nights: a seed makes a small fleet, a load and a handful of troubles that may overlap."""

from __future__ import annotations

import os
import random
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from peattrestle.rehearsal.play import Player
from peattrestle.rehearsal.script import KINDS, Bearer, Callers, Fleet, Load, Script, Trouble
from peattrestle.settings.agent import Rules

MS = 1_000_000
SECOND = 1_000_000_000
# What `figure` means differs by kind; drawn from here where 0 to 0.5 would be mild or senseless.
FIGURES = {
    "slow": (1.5, 4.0),
    "flood": (2.0, 8.0),
    "surge": (1.2, 2.0),
    "late_replies": (0.05, 0.6),
    "circuits_lost": (0.3, 0.7),
    "hot_number": (0.1, 0.4),
    "garble": (0.02, 0.2),
    "double_replies": (0.1, 1.0),
}


def draw(seed: int) -> Script:
    """The night of a seed; the same for ever, as long as this function stays as it is."""
    chance = random.Random(f"night/{seed}")
    exchanges = chance.randint(3, 6)
    length = chance.randint(8, 12) * SECOND
    regions = ("east", "west") if exchanges > 3 else ("east", "west", "south")
    troubles = []
    for number in range(chance.randint(2, 6)):
        kind = chance.choice(KINDS)
        low, high = FIGURES.get(kind, (0.05, 0.5))
        troubles.append(
            Trouble(
                label=f"{number} {kind}",
                kind=kind,
                at=chance.randint(0, length // MS) * MS,
                length=chance.randint(300, 6000) * MS,
                share=chance.choice((0.2, 0.4, 0.8)),
                figure=round(chance.uniform(low, high), 3),
            )
        )
    return Script(
        title=f"night {seed}",
        seed=seed,
        length=length,
        fleet=Fleet(
            exchanges=exchanges,
            regions=regions,
            calls_a_second=chance.choice((3.0, 5.0, 8.0)),
            busy=chance.uniform(0.5, 0.9),
            no_group=chance.choice((0.0, 0.2, 0.4)),
            spare=chance.uniform(0.9, 1.5),
            wait_limit=chance.randint(800, 3000) * MS,
            urgent_first=chance.random() < 0.5,
            registry=chance.random() < 0.3,
        ),
        callers=Callers(redials=chance.randint(0, 3), honours=chance.choice((0.0, 0.5, 1.0))),
        rules=Rules(
            release_time=chance.choice((300, 500)) * MS,
            drain_grace=chance.choice((250, 1000, 2000)) * MS,
            cold_from=chance.uniform(0.29, 0.4),
            cold_time=chance.randint(5, 15) * SECOND,
            fall_multiple=chance.choice((2.0, 4.0)),
        ),
        load=(Load(at=0, level=chance.uniform(0.6, 1.2)),),
        bearer=(
            Bearer(label="line", share=3, holding=2 * SECOND),
            Bearer(label="reel", share=1, holding=3 * SECOND, revenue=2.0),
        ),
        trouble=tuple(troubles),
    )


@dataclass(slots=True)
class Night:
    seed: int
    passed: bool
    calls: int
    examined: dict[str, int]
    faults: list[str]
    trace: str


def play_one(seed: int) -> Night:
    """A raised exception is a fault like any other: the night has not passed."""
    try:
        result = Player(draw(seed), "virtual").play()
    except Exception as fault:
        return Night(seed, False, 0, {}, [repr(fault)], "")
    # In a short night it may be that a rule had nothing to examine; that is counted over all nights.
    faults = [f"{one.rule}: {one.breaches[0].text}" for one in result.verdicts if one.broken]
    faults += [f"{one.name}: {one.text}" for one in result.checks if not one.passed]
    if result.callers.get("dropped", 0) or result.troubles.get("kill_agent", 0):
        faults = [one for one in faults if not one.startswith("counts equal: 0 of")]
    examined = {one.rule: one.examined for one in result.verdicts}
    return Night(seed, not faults, result.calls, examined, faults, result.trace)


def play_many(seeds: Iterable[int], jobs: int = 0) -> Iterator[Night]:
    """In the order of the seeds, on all cores unless told."""
    with ProcessPoolExecutor(jobs or os.cpu_count() or 1) as pool:
        yield from pool.map(play_one, seeds, chunksize=4)
