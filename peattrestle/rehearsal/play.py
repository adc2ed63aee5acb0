"""Plays a script: starts everything, offers calls, makes trouble, lets it end, judges."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from peattrestle.agent.agent import CallAgent
from peattrestle.rehearsal.hosts import Make, ProcessHosts, VirtualHosts
from peattrestle.rehearsal.judge import Judge, Limits, Verdict
from peattrestle.rehearsal.script import Script
from peattrestle.rehearsal.series import Sampler, Series
from peattrestle.rehearsal.trouble import Troubles
from peattrestle.rehearsal.world import World
from peattrestle.runtime import Coroutine
from peattrestle.runtime.epoll import EpollKernel
from peattrestle.runtime.virtual import VirtualKernel
from peattrestle.standin.callers import service

MS = 1_000_000
SECOND = 1_000_000_000


class CouldNotRun(Exception):
    """Agents or stand-ins did not come up; nothing was judged."""


@dataclass(slots=True)
class Check:
    name: str
    text: str
    passed: bool


@dataclass(slots=True)
class Result:
    title: str
    kernel: str
    seed: int
    verdicts: list[Verdict]
    checks: list[Check]
    service: float
    offered: float
    calls: int
    sales: int
    delays: dict[str, float]
    callers: dict[str, int]
    agents: dict[str, int]
    troubles: dict[str, int]
    trace: str
    rows: list[Any] = field(default_factory=list)
    series: Series = field(default_factory=Series)

    @property
    def passed(self) -> bool:
        return all(one.passed for one in self.verdicts) and all(one.passed for one in self.checks)


class Player:
    """One playing of a script. `make` builds the agents on the virtual kernel."""

    def __init__(
        self,
        script: Script,
        kernel: str,
        folder: Path | None = None,
        make: Make = CallAgent,
        say: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.script, self.say = script, say
        self.kernel: VirtualKernel | EpollKernel
        self.kernel = VirtualKernel(script.seed) if kernel == "virtual" else EpollKernel(script.seed)
        self.world = World(self.kernel, script)
        self.hosts: VirtualHosts | ProcessHosts
        if isinstance(self.kernel, VirtualKernel):
            self.hosts = VirtualHosts(self.kernel, self.world, make)
        else:
            if folder is None:
                raise ValueError("agents in processes need a folder")
            self.hosts = ProcessHosts(self.world, folder)
        self.troubles = Troubles(self.world, self.hosts)
        self.agents: dict[int, dict[str, int]] = {}
        self.leaks = 0
        self.failure = ""
        self.sampler = Sampler(self.world)
        self.started = 0

    def play(self) -> Result:
        """Raises CouldNotRun."""
        try:
            self.kernel.spawn(self.day(), "day")
            self.kernel.run()
            if self.failure:
                raise CouldNotRun(self.failure)
            return self.result()
        finally:
            self.hosts.stop()
            if isinstance(self.kernel, EpollKernel):
                self.kernel.close()

    def day(self) -> Coroutine[None]:
        world, script, kernel = self.world, self.script, self.kernel
        for number in range(script.fleet.exchanges):
            self.hosts.start(number)
        for number in range(script.fleet.exchanges):
            world.add_gateways(number, self.hosts.address(number))
        until = kernel.now() + 60 * SECOND
        while not all(gateway.ready for gateway in world.gateways):
            yield from kernel.sleep(20 * MS)
            if kernel.now() > until or isinstance(self.hosts, ProcessHosts) and self.hosts.died():
                self.failure = "not all agents came up"
                kernel.stop()
                return
        yield from kernel.sleep(500 * MS)  # groups are told once the links are up
        started = self.started = kernel.now()
        kernel.spawn(self.sampler.run(), "sampler")
        self.say(f"{script.fleet.exchanges} agents up")
        for step in script.load:
            kernel.at(started + step.at, lambda step=step: self.set_level(step.level))  # type: ignore[misc]
        world.set_rates()
        self.troubles.schedule(script.trouble, started)
        arrivals = [
            kernel.spawn(gateway.generate_calls(), f"arrivals {gateway.label}") for gateway in world.gateways
        ]
        while kernel.now() < started + script.length:
            yield from kernel.sleep(20 * MS if script.calls else 100 * MS)
            if script.calls and sum(len(gateway.calls) for gateway in world.gateways) >= script.calls:
                break
        for task in arrivals:
            task.cancel()
        self.say("calls have been offered; letting them end")
        latest = max((one.at + one.length for one in script.trouble), default=0) + started
        until = max(kernel.now(), latest) + 30 * SECOND
        while kernel.now() < until and (
            kernel.now() < latest
            or any(gateway.open_attempts() or self.pending(gateway) for gateway in world.gateways)
        ):
            yield from kernel.sleep(100 * MS)
        for gateway in world.gateways:
            gateway.close()
            for attempt in list(gateway.attempts.values()):
                gateway.abandon(attempt)
                gateway.hang_up(attempt)
        yield from kernel.sleep(5 * SECOND)  # releases are confirmed or sent again within this
        world.note_pressure()
        self.leaks = world.fabric.leaks() + sum(
            1 for exchange in world.fabric.exchanges.values() for _ in exchange.circuits_in_use()
        )
        self.agents = self.hosts.counts()
        kernel.stop()

    def pending(self, gateway: Any) -> bool:
        """Whether some caller may yet dial again."""
        longest = max(one.abandon_time for one in self.script.bearer)
        last = gateway.calls[-1].first_at if gateway.calls else 0
        return bool(self.kernel.now() < last + longest)

    def set_level(self, level: float) -> None:
        self.world.level = level
        self.world.set_rates()

    # Judging.

    def result(self) -> Result:
        world, rules = self.world, self.script.rules
        rows = world.record.rows
        verdicts = Judge(rows, Limits(rules.release_time, rules.drain_grace)).judge()
        earned = service(world.gateways)
        delays = HdrHistogram(1, 60_000_000, 3)
        for delay in earned.delays:
            delays.record_value(min(60_000_000, max(1, delay // 1000)))
        callers: dict[str, int] = {}
        for gateway in world.gateways:
            for name, value in gateway.counts.items():
                callers[name] = callers.get(name, 0) + value
        agents: dict[str, int] = {}
        for counts in self.agents.values():
            for name, value in counts.items():
                agents[name] = agents.get(name, 0) + value
        share = earned.earned / earned.offered if earned.offered else 0.0
        seconds = self.script.length // SECOND
        series = self.sampler.series(world.gateways, self.started, seconds)
        digest = hashlib.sha256()
        for row in rows:
            digest.update(repr(row).encode())
        return Result(
            self.script.title,
            type(self.kernel).__name__,
            self.script.seed,
            verdicts,
            self.checks(share, agents) + self.storm_checks(series, agents),
            share,
            earned.offered,
            callers.get("asked", 0),
            sum(len(one.calls) for one in world.gateways),
            {f"p{name}": delays.get_value_at_percentile(name) / 1000 for name in (50, 90, 99)}
            if earned.delays
            else {},
            callers,
            agents,
            self.troubles.played,
            digest.hexdigest(),
            rows,
            series,
        )

    def checks(self, share: float, agents: dict[str, int]) -> list[Check]:
        must, checks = self.script.must, []
        if must.counts_equal:
            checks.append(self.equal_counts())
        if must.no_leaks:
            checks.append(Check("no circuit leaked", f"{self.leaks} taken at the end", self.leaks == 0))
        faults = agents.get("guard_refusals", 0) + agents.get("overdue", 0)
        checks.append(
            Check("no fault of the module", f"{faults} refusals of the guard or overdue answers", faults == 0)
        )
        crashes = self.kernel.crashes
        first = f": {crashes[0][0]}: {crashes[0][1]!r}" if crashes else ""
        checks.append(Check("no coroutine raised", f"{len(crashes)}{first}", not crashes))
        checks.append(
            Check("service", f"{share:.3f}, at least {must.service_least:.3f}", share >= must.service_least)
        )
        return checks

    def storm_checks(self, series: Series, agents: dict[str, int]) -> list[Check]:
        must, checks, troubles = self.script.must, [], self.script.trouble
        if must.back_to and troubles:
            first = min(one.at for one in troubles) // SECOND
            healed = -(-max(one.at + one.length for one in troubles) // SECOND)
            before = series.over(max(0, first - 10), first)
            after = series.back_after(before, must.back_to, healed, 5)
            text = f"{after} s after the last trouble" if after >= 0 else "not at all"
            checks.append(
                Check(
                    f"back to {must.back_to:.0%}",
                    f"{text}, of {before:.3f} before; at most {must.back_within // SECOND} s",
                    0 <= after <= must.back_within // SECOND,
                )
            )
        for kind in must.storms:
            seen = agents.get(f"storms_{kind}", 0)
            checks.append(Check(f"{kind} storm seen", f"{seen} times, by all agents", seen > 0))
        for kind in must.no_storms:
            seen = agents.get(f"storms_{kind}", 0)
            checks.append(Check(f"no {kind} storm seen", f"{seen} times, by all agents", seen == 0))
        if must.pressed_most:
            most = max(series.pressed, default=0.0)
            text = f"{most:.2f} of what it can set up in a second"
            checks.append(Check("worst exchange", text, most <= must.pressed_most))
        return checks

    def equal_counts(self) -> Check:
        """Callers' own counts against their agent's, for each agent that was never killed."""
        compared, different = 0, []
        own: dict[int, dict[str, int]] = {}
        for gateway in self.world.gateways:
            sums = own.setdefault(gateway.number, {})
            for name, value in gateway.counts.items():
                sums[name] = sums.get(name, 0) + value
        for number, sums in own.items():
            counts = self.agents.get(number)
            if counts is None or number in self.hosts.killed or sums.get("dropped", 0):
                continue
            compared += 1
            for ours, theirs in (
                ("asked", "taken"),
                ("stood", "stood"),
                ("refused", "refused"),
                ("failed", "failed"),
                ("left", "left"),
            ):
                if sums.get(ours, 0) != counts.get(theirs, 0):
                    different.append(f"a{number} {ours} {sums.get(ours, 0)} / {counts.get(theirs, 0)}")
        text = f"{compared} of {len(own)} agents compared"
        return Check(
            "counts equal",
            text + (": " + ", ".join(different[:5]) if different else ""),
            compared > 0 and not different,
        )


def play(
    script: Script,
    kernel: str,
    folder: Path | None = None,
    make: Make = CallAgent,
    say: Callable[[str], None] = lambda text: None,
    seed: int | None = None,
) -> Result:
    """Raises CouldNotRun."""
    if seed is not None:
        script = replace(script, seed=seed)
    return Player(script, kernel, folder, make, say).play()
