"""Runs a script: starts agents and surroundings, offers calls, causes the troubles, checks the result."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from peattrestle.agent.agent import CallAgent
from peattrestle.rehearsal.hosts import AgentFactory, ProcessHosts, VirtualHosts
from peattrestle.rehearsal.judge import Judge, Limits, Verdict
from peattrestle.rehearsal.script import Script
from peattrestle.rehearsal.series import Sampler, Series
from peattrestle.rehearsal.trouble import Troubles
from peattrestle.rehearsal.world import World
from peattrestle.runtime import Coroutine
from peattrestle.runtime.epoll import EpollKernel
from peattrestle.runtime.virtual import VirtualKernel
from peattrestle.standin.callers import service

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds


class CouldNotRun(Exception):
    """The agents did not start; nothing was judged."""


@dataclass(slots=True)
class Check:
    """A requirement of the script beside the rules; `text` tells what was found."""

    name: str
    text: str
    passed: bool


@dataclass(slots=True)
class Result:
    """The result of a rehearsal, as written to `report.json`, but for the rows.

    `service`: revenue earned over revenue offered. `calls`: attempts sent by callers. `sales`: calls that
    callers wanted. `delays`: percentiles of the set-up delay in milliseconds. `callers`, `agents`: sums of
    their counts. `troubles`: how often each kind began. `trace`: a digest of the traffic, equal for equal
    runs.
    """

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
        """Whether all rules and checks hold."""
        return all(verdict.passed for verdict in self.verdicts) and all(check.passed for check in self.checks)


class Player:
    """One run of a script on the kernel named 'virtual' or 'epoll'.

    `folder`: for the files of agents that run as processes, needed with 'epoll'. `agent_factory`: builds an
    agent on the virtual kernel. `report_progress`: receives progress messages.
    """

    def __init__(
        self,
        script: Script,
        kernel: str,
        folder: Path | None = None,
        agent_factory: AgentFactory = CallAgent,
        report_progress: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.script, self.report_progress = script, report_progress
        self.kernel: VirtualKernel | EpollKernel
        self.kernel = VirtualKernel(script.seed) if kernel == "virtual" else EpollKernel(script.seed)
        self.world = World(self.kernel, script)
        self.hosts: VirtualHosts | ProcessHosts
        if isinstance(self.kernel, VirtualKernel):
            self.hosts = VirtualHosts(self.kernel, self.world, agent_factory)
        else:
            if folder is None:
                raise ValueError(f"kernel {kernel!r} runs agents as processes, which need a folder")
            self.hosts = ProcessHosts(self.world, folder)
        self.troubles = Troubles(self.world, self.hosts)
        self.agents: dict[int, dict[str, int]] = {}
        self.leaks = 0
        self.failure = ""
        self.sampler = Sampler(self.world)
        self.started = 0

    def play(self) -> Result:
        """Runs the script and returns its result. Raises CouldNotRun."""
        try:
            self.kernel.spawn(self.run_script(), "rehearsal")
            self.kernel.run()
            if self.failure:
                raise CouldNotRun(self.failure)
            return self.build_result()
        finally:
            self.hosts.stop()
            if isinstance(self.kernel, EpollKernel):
                self.kernel.close()

    def run_script(self) -> Coroutine[None]:
        """The course of a rehearsal: start, calls and troubles, the remaining calls, the end."""
        world, script, kernel = self.world, self.script, self.kernel
        for number in range(script.fleet.exchanges):
            self.hosts.start(number)
        for number in range(script.fleet.exchanges):
            world.add_gateways(number, self.hosts.address(number))
        deadline = kernel.now() + 60 * SECOND
        while not all(gateway.ready for gateway in world.gateways):
            yield from kernel.sleep(20 * MS)
            if kernel.now() > deadline or isinstance(self.hosts, ProcessHosts) and self.hosts.exited():
                self.failure = "not all agents became ready"
                kernel.stop()
                return
        yield from kernel.sleep(500 * MS)  # trunk groups are reported once the agents are connected
        started = self.started = kernel.now()
        kernel.spawn(self.sampler.run(), "sampler")
        self.report_progress(f"{script.fleet.exchanges} agents ready")
        for step in script.load:
            kernel.call_at(started + step.at, lambda step=step: self.set_level(step.level))  # type: ignore[misc]
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
        self.report_progress("all calls offered; waiting for them to end")
        troubles_end = max((trouble.at + trouble.length for trouble in script.trouble), default=0) + started
        deadline = max(kernel.now(), troubles_end) + 30 * SECOND
        while kernel.now() < deadline and (
            kernel.now() < troubles_end
            or any(gateway.open_attempts() or self.may_redial(gateway) for gateway in world.gateways)
        ):
            yield from kernel.sleep(100 * MS)
        for gateway in world.gateways:
            gateway.close()
            for attempt in list(gateway.attempts.values()):
                gateway.abandon(attempt)
                gateway.hang_up(attempt)
        yield from kernel.sleep(5 * SECOND)  # time for releases to be confirmed or repeated
        world.record_cold_load()
        self.leaks = world.network.leaks() + sum(
            1 for exchange in world.network.exchanges.values() for _ in exchange.circuits_in_use()
        )
        self.agents = self.hosts.counts()
        kernel.stop()

    def may_redial(self, gateway: Any) -> bool:
        """Whether a caller of the gateway may still redial."""
        abandon_time = max(bearer.abandon_time for bearer in self.script.bearer)
        last = gateway.calls[-1].first_at if gateway.calls else 0
        return bool(self.kernel.now() < last + abandon_time)

    def set_level(self, level: float) -> None:
        """Sets the load, as a multiple of the plan."""
        self.world.level = level
        self.world.set_rates()

    # Verdicts and checks.

    def build_result(self) -> Result:
        """Checks the rules and the requirements, and puts the result together."""
        world, rules = self.world, self.script.rules
        rows = world.record.rows
        verdicts = Judge(rows, Limits(rules.release_time, rules.drain_grace)).judge()
        total = service(world.gateways)
        delays = HdrHistogram(1, 60_000_000, 3)
        for delay in total.delays:
            delays.record_value(min(60_000_000, max(1, delay // 1000)))
        callers: dict[str, int] = {}
        for gateway in world.gateways:
            for name, value in gateway.counts.items():
                callers[name] = callers.get(name, 0) + value
        agents: dict[str, int] = {}
        for counts in self.agents.values():
            for name, value in counts.items():
                agents[name] = agents.get(name, 0) + value
        share = total.earned / total.offered if total.offered else 0.0
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
            self.build_checks(share, agents) + self.build_storm_checks(series, agents),
            share,
            total.offered,
            callers.get("asked", 0),
            sum(len(gateway.calls) for gateway in world.gateways),
            {f"p{percent}": delays.get_value_at_percentile(percent) / 1000 for percent in (50, 90, 99)}
            if total.delays
            else {},
            callers,
            agents,
            self.troubles.begun,
            digest.hexdigest(),
            rows,
            series,
        )

    def build_checks(self, share: float, agents: dict[str, int]) -> list[Check]:
        """The checks of a script's requirements but those on storms; `share`: revenue earned over offered."""
        requirements, checks = self.script.must, []
        if requirements.counts_equal:
            checks.append(self.check_counts_equal())
        if requirements.no_leaks:
            checks.append(Check("no circuit leaked", f"{self.leaks} taken at the end", self.leaks == 0))
        faults = agents.get("guard_refusals", 0) + agents.get("overdue", 0)
        checks.append(
            Check("no fault of the module", f"{faults} refusals of the guard or overdue answers", faults == 0)
        )
        crashes = self.kernel.crashes
        first = f": {crashes[0][0]}: {crashes[0][1]!r}" if crashes else ""
        checks.append(Check("no coroutine raised", f"{len(crashes)}{first}", not crashes))
        checks.append(
            Check(
                "service",
                f"{share:.3f}, at least {requirements.service_least:.3f}",
                share >= requirements.service_least,
            )
        )
        return checks

    def build_storm_checks(self, series: Series, agents: dict[str, int]) -> list[Check]:
        """The checks on recovery, on storms detected by agents and on the load of exchanges."""
        requirements, checks, troubles = self.script.must, [], self.script.trouble
        if requirements.back_to and troubles:
            first = min(trouble.at for trouble in troubles) // SECOND
            ended = -(-max(trouble.at + trouble.length for trouble in troubles) // SECOND)
            service_before = series.mean_service(max(0, first - 10), first)
            recovery = series.recovery_seconds(service_before, requirements.back_to, ended, 5)
            text = f"{recovery} s after the last trouble" if recovery >= 0 else "not at all"
            checks.append(
                Check(
                    f"back to {requirements.back_to:.0%}",
                    f"{text}, of {service_before:.3f} before; at most {requirements.back_within // SECOND} s",
                    0 <= recovery <= requirements.back_within // SECOND,
                )
            )
        for kind in requirements.storms:
            count = agents.get(f"storms_{kind}", 0)
            checks.append(Check(f"{kind} storm seen", f"{count} times, by all agents", count > 0))
        for kind in requirements.no_storms:
            count = agents.get(f"storms_{kind}", 0)
            checks.append(Check(f"no {kind} storm seen", f"{count} times, by all agents", count == 0))
        if requirements.pressed_most:
            peak = max(series.pressed, default=0.0)
            text = f"{peak:.2f} of what it can set up in a second"
            checks.append(Check("worst exchange", text, peak <= requirements.pressed_most))
        return checks

    def check_counts_equal(self) -> Check:
        """Compares the callers' counts with their agent's, for agents that were never killed."""
        compared, different = 0, []
        caller_counts: dict[int, dict[str, int]] = {}
        for gateway in self.world.gateways:
            sums = caller_counts.setdefault(gateway.number, {})
            for name, value in gateway.counts.items():
                sums[name] = sums.get(name, 0) + value
        for number, sums in caller_counts.items():
            counts = self.agents.get(number)
            if counts is None or number in self.hosts.killed or sums.get("dropped", 0):
                continue
            compared += 1
            for caller_key, agent_key in (
                ("asked", "taken"),
                ("stood", "stood"),
                ("refused", "refused"),
                ("failed", "failed"),
                ("left", "left"),
            ):
                if sums.get(caller_key, 0) != counts.get(agent_key, 0):
                    different.append(
                        f"a{number} {caller_key} {sums.get(caller_key, 0)} / {counts.get(agent_key, 0)}"
                    )
        text = f"{compared} of {len(caller_counts)} agents compared"
        return Check(
            "counts equal",
            text + (": " + ", ".join(different[:5]) if different else ""),
            compared > 0 and not different,
        )


def play(
    script: Script,
    kernel: str,
    folder: Path | None = None,
    agent_factory: AgentFactory = CallAgent,
    report_progress: Callable[[str], None] = lambda text: None,
    seed: int | None = None,
) -> Result:
    """Plays a script, with another seed where `seed` is given; see `Player`. Raises CouldNotRun."""
    if seed is not None:
        script = replace(script, seed=seed)
    return Player(script, kernel, folder, agent_factory, report_progress).play()
