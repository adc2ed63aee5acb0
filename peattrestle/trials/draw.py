"""Trials drawn from a seed: a small deployment and a handful of troubles that overlap."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from peattrestle.runtime import Coroutine
from peattrestle.trials.caller import ABUSE, AbusiveCaller, Habits
from peattrestle.trials.deployment import Deployment
from peattrestle.trials.exchange import Manner, StandInExchange
from peattrestle.trials.feed import FeedState
from peattrestle.trials.world import World, free_port

MS = 1_000_000
SECOND = 1_000 * MS
DEADLINES = (100 * MS, 300 * MS, 1_000 * MS, 3_000 * MS)
FIRST_NETWORK = 20
NETWORKS = 200
LENGTH = 9 * SECOND
SETTLE = 1 * SECOND
LONGEST_RESTART_SERIES = 25 * SECOND
CROWD_AT_ONCE = 25
SILENT_CROWD = 150

OUTAGES = (FeedState.DOWN, FeedState.SILENT, FeedState.REFUSING, FeedState.SLOW)
SPOILT = (Manner.SPOIL, Manner.STOP_SHORT, Manner.TWICE, Manner.STRAY_FIRST, Manner.SLOW_WRITER)
BROKEN = (Manner.NEVER, Manner.RESET, Manner.CLOSE, Manner.FULL, Manner.ERROR)

Trouble = Callable[["Trial"], Coroutine[None]]


@dataclass(slots=True, frozen=True)
class Planned:
    """One trouble and when it begins, in nanoseconds from the time all agents are in service."""

    name: str
    at: int


def deployment_of(seed: int, chance: random.Random) -> Deployment:
    deadline = chance.choice(DEADLINES)
    return Deployment(
        agents=chance.choice((1, 2, 3)),
        exchanges=chance.choice((3, 4)),
        deadline=deadline,
        target=round(deadline * chance.choice((0.2, 0.4, 0.9))),
        holding=chance.choice((300, 1_500)) * MS,
        release_time=min(150 * MS, deadline // 4),
        sockets=chance.choice((256, 640)),
        network=FIRST_NETWORK + seed % NETWORKS,
        port=free_port(),
    )


class Trial:
    """One drawn trial. The seed draws what happens; the moments depend on real time."""

    def __init__(self, seed: int, folder: Path, crowd: bool = False) -> None:
        self.seed, self.chance = seed, random.Random(f"trial/{seed}")
        deployment = deployment_of(seed, self.chance)
        habits = Habits(
            interval=self.chance.choice((10, 25, 60)) * MS,
            connections=self.chance.choice((1, 3, 6)),
            pieces=self.chance.choice((0.0, 0.1, 0.4)),
            gives_up=self.chance.choice((0.0, 0.05, 0.3)),
            repeats=self.chance.choice((0.0, 0.3, 0.8)),
            leaves=self.chance.choice((0.0, 0.2)),
            at_once=CROWD_AT_ONCE if crowd else 1,
        )
        self.world = World(deployment, folder, seed, habits)
        for exchange in self.world.exchanges.values():
            self.set_manners(exchange)
        self.plan = self.draw_plan()

    def draw_plan(self) -> list[Planned]:
        """Restarts always; of the others some, each within the first two thirds of the trial."""
        names = self.chance.sample(sorted(set(TROUBLES) - {"restarts"}), self.chance.randint(3, 6))
        at = [self.chance.randint(0, LENGTH * 2 // 3 // MS) * MS for _ in names]
        plan = [Planned(name, when) for name, when in zip(names, at, strict=True)]
        plan.append(Planned("restarts", self.chance.randint(500, 2_500) * MS))
        return sorted(plan, key=lambda one: one.at)

    def set_manners(self, exchange: StandInExchange) -> None:
        deadline = self.world.deployment.deadline
        most = round(deadline * self.chance.choice((0.1, 0.3, 0.6)))
        exchange.delay = (min(2 * MS, most), most)
        drawn = self.chance.sample(SPOILT, 2) + self.chance.sample(BROKEN, 2)
        exchange.late_connections = self.chance.choice((0.0, 0.3))
        share = self.chance.choice((0.0, 0.01, 0.05))
        exchange.manners = dict.fromkeys(drawn, share)

    def play(self) -> None:
        """Raises RuntimeError where the agents do not come up or the trial does not end."""
        world = self.world
        if not world.play(world.bring_up_all(), 30 * SECOND):
            raise RuntimeError("the agents did not come up")
        tasks = [world.kernel.spawn(self.begin(one), one.name) for one in self.plan]
        world.run(LENGTH)
        until = world.kernel.now() + LONGEST_RESTART_SERIES
        while not all(task.done for task in tasks) and world.kernel.now() < until:
            world.run(50 * MS)
        world.quiet()
        world.run(world.deployment.deadline + SETTLE)

    def begin(self, planned: Planned) -> Coroutine[None]:
        yield from self.world.kernel.sleep(planned.at)
        self.world.record.note(self.world.kernel.now(), f"trouble: {planned.name}")
        yield from TROUBLES[planned.name](self)

    # Drawn parties.

    def exchange(self) -> StandInExchange:
        return self.chance.choice(list(self.world.exchanges.values()))

    def wait(self, least_ms: int, most_ms: int) -> Coroutine[None]:
        yield from self.world.kernel.sleep(self.chance.randint(least_ms, most_ms) * MS)


def restarts(trial: Trial) -> Coroutine[None]:
    """All agents one after the other, at times all at once."""
    world = trial.world
    agents = list(range(world.deployment.agents))
    if trial.chance.random() < 0.25:
        tasks = [world.kernel.spawn(world.planned_restart(agent), "restart") for agent in agents]
        for task in tasks:
            yield from task.join()
        return
    for agent in agents:
        yield from world.planned_restart(agent)


def crash(trial: Trial) -> Coroutine[None]:
    agent = trial.chance.randrange(trial.world.deployment.agents)
    yield from trial.world.crash(agent)


def hang(trial: Trial) -> Coroutine[None]:
    """An exchange hangs, at times for the length of a shutdown."""
    exchange = trial.exchange()
    exchange.silent = True
    yield from trial.wait(500, 5_000)
    exchange.silent = False


def replacements(trial: Trial) -> Coroutine[None]:
    """Exchanges vanish and others take their addresses, in series."""
    for _ in range(trial.chance.randint(1, 3)):
        trial.world.replace(trial.exchange().name)
        yield from trial.wait(100, 1_000)


def drain(trial: Trial) -> Coroutine[None]:
    """An exchange drains, goes, and another one comes in its place."""
    exchange = trial.exchange()
    trial.world.drain(exchange.name)
    yield from trial.wait(100, 2_500)
    if exchange.name in trial.world.exchanges:
        trial.world.replace(exchange.name)


def feed_outage(trial: Trial) -> Coroutine[None]:
    """The feed is away; an exchange drains close to its return."""
    world = trial.world
    if world.feed.state is not FeedState.UP:
        return
    world.fail_feed(trial.chance.choice(OUTAGES))
    yield from trial.wait(300, 4_000)
    before = trial.chance.random() < 0.5
    if before:
        world.drain(trial.exchange().name)
    yield from trial.wait(0, 200)
    world.recover_feed()
    if not before:
        yield from trial.wait(0, 500)
        world.drain(trial.exchange().name)


def configurations(trial: Trial) -> Coroutine[None]:
    """New configurations in quick succession."""
    for _ in range(trial.chance.randint(1, 3)):
        if trial.world.feed.state is FeedState.UP:
            trial.world.move_feed()
        yield from trial.wait(5, 700)
    if trial.chance.random() < 0.5:
        trial.world.drain(trial.exchange().name)


def abuse(trial: Trial) -> Coroutine[None]:
    """Bad callers at every agent that is in service."""
    world = trial.world
    for _ in range(trial.chance.randint(3, 10)):
        agent = trial.chance.randrange(world.deployment.agents)
        if world.agents[agent].in_service:
            address = world.deployment.agent_address(agent)
            AbusiveCaller(world.kernel, world.record, address, trial.chance.choice(ABUSE))
        yield from trial.wait(1, 150)


def silent_crowd(trial: Trial) -> Coroutine[None]:
    """Many connect and say nothing."""
    world = trial.world
    agent = trial.chance.randrange(world.deployment.agents)
    if world.agents[agent].in_service:
        for _ in range(SILENT_CROWD):
            AbusiveCaller(world.kernel, world.record, world.deployment.agent_address(agent), b"")
    yield from trial.wait(1, 10)


def resets(trial: Trial) -> Coroutine[None]:
    """Connections to exchanges and from callers are reset under what is open on them."""
    for _ in range(trial.chance.randint(2, 12)):
        if trial.chance.random() < 0.6:
            trial.exchange().end_one(by_reset=trial.chance.random() < 0.5)
        else:
            trial.chance.choice(trial.world.callers).reset_one()
        yield from trial.wait(10, 400)


def worse_exchanges(trial: Trial) -> Coroutine[None]:
    """All exchanges change their manners at once, then back to answers."""
    for exchange in trial.world.exchanges.values():
        exchange.manners = dict.fromkeys(trial.chance.sample([*SPOILT, *BROKEN], 4), 0.12)
    yield from trial.wait(500, 3_000)
    for exchange in trial.world.exchanges.values():
        exchange.manners = {}


TROUBLES: dict[str, Trouble] = {
    "restarts": restarts,
    "crash": crash,
    "hang": hang,
    "replacements": replacements,
    "drain": drain,
    "feed outage": feed_outage,
    "configurations": configurations,
    "abuse": abuse,
    "silent crowd": silent_crowd,
    "resets": resets,
    "worse exchanges": worse_exchanges,
}
