"""Compares variants of the retry storm control on the virtual kernel, on the same seeds, with error bars.

    python benchmarks/storms.py sides     [--seeds 20]   all parts, off, no advice, waits at callers
    python benchmarks/storms.py parts     [--seeds 20]   each part disabled alone
    python benchmarks/storms.py guards    [--seeds 20]   parts that bring no revenue in the main case
    python benchmarks/storms.py quiet     [--seeds 20]   runs without trouble, all parts and off
    python benchmarks/storms.py seeds SCRIPT [--seeds 20]  one script with its own checks
    python benchmarks/storms.py size      [--exchanges 60]  600 calls a second for a minute
    python benchmarks/storms.py report SCRIPT FOLDER [--variant off]  one run's report, for `peattrestle plot`
    python benchmarks/storms.py cost                     microseconds for each event, by gateways and calls

The variant "ours" has all parts; "off" has none, and refused callers get one fixed wait. `VARIANTS` lists the
others. A part is disabled by replacing its function with one that does nothing, in this file only.
"""

from __future__ import annotations

import os
import random
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from peattrestle import control
from peattrestle import interface as api
from peattrestle.agent import storms as agent_storms
from peattrestle.rehearsal import report as reports
from peattrestle.rehearsal import script as scripts
from peattrestle.rehearsal.play import Player, Result
from peattrestle.standin.callers import service
from peattrestle.storms import gateway_admission, retry_detection, storm_detection

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds


# Each function disables one part of the control in this process.


def without_first_try_priority() -> None:
    """First tries get no priority over further tries that come late."""

    def revenue_only(self: Any, arrival: api.CallArrived, attempt: Any) -> float:
        return float(self.revenue.get(arrival.bearer_type, 1.0) / self.mean_revenue)

    control.CallRouter.relative_revenue = revenue_only  # type: ignore[method-assign]


def without_retry_slots() -> None:
    """Refused callers are all advised to retry after the same time, a third of the GoS target."""

    def fixed_wait(self: Any, arrival: Any, attempt: Any, max_delay: int) -> int:
        return int(self.target // 3)

    control.CallRouter.retry_delay = fixed_wait  # type: ignore[method-assign]


def without_gateway_admission() -> None:
    """Gateways are not limited to their shares."""
    gateway_admission.Demand.set_share = lambda self, now, share: None  # type: ignore[method-assign]


def without_notices() -> None:
    """Gateways are not notified of their limits."""
    gateway_admission.GatewayAdmission.limits_to_announce = lambda self: {}  # type: ignore[method-assign]


def without_restart_pacing() -> None:
    """Gateways may register and restart at any rate."""
    agent_storms.Storms.restart_after = lambda self, requester: 0  # type: ignore[method-assign]
    agent_storms.Storms.waiting_delay = lambda self, gateway_count: 0  # type: ignore[method-assign]


def without_slow_start() -> None:
    """The agent's own exchange gets an unlimited window as soon as it is listed."""
    original = control.Exchange.apply_list_entry

    def open_window(self: Any, entry: api.Entry) -> None:
        original(self, entry)
        if self.number == self.router.own_number and not self.outstanding:
            self.window = float("inf")

    control.Exchange.apply_list_entry = open_window  # type: ignore[method-assign]


def without_retry_budget() -> None:
    """Each first route try allows a whole further one, not only a share of it."""
    control.CallRouter.RETRY_CREDIT = 1.0


# By the names that the commands take and print.
PARTS = {
    "fresh first": without_first_try_priority,
    "slots": without_retry_slots,
    "door": without_gateway_admission,
    "notices": without_notices,
    "gate": without_restart_pacing,
    "slow start": without_slow_start,
    "budget": without_retry_budget,
}


def off() -> None:
    """Disables all parts; refused callers get one fixed wait."""
    for part in PARTS.values():
        part()


def without_advice() -> None:
    """Disables all parts; refused callers get no advice when to retry."""
    off()
    control.CallRouter.retry_delay = lambda self, arrival, attempt, max_delay: 0  # type: ignore[method-assign]


def with_backoff_at_callers() -> None:
    """Agents refuse without advice; callers back off by themselves, exponentially and with jitter."""
    without_advice()
    from peattrestle.standin import callers

    def back_off(self: Any, call: Any, retry_after: int) -> None:
        behaviour = self.traffic.behaviour
        if call.tries > behaviour.redials or self.is_closing:
            return
        wait = round(behaviour.redial_least * 2**call.tries * self.rng.uniform(0.5, 1.0))
        now = self.kernel.now()
        if now + wait < call.first_at + self.bearer(call).abandon_time:
            if not self.ready:
                call.tries += 1
            self.kernel.call_at(now + wait, lambda: None if self.is_closing else self.dial(call, call.cut))

    callers.Gateway.redial = back_off  # type: ignore[method-assign]


VARIANTS = {"off": off, "no advice": without_advice, "waits at callers": with_backoff_at_callers} | {
    f"without {name}": part for name, part in PARTS.items()
}


def load(path: str) -> scripts.Script:
    """Reads a script. Raises ClickException with the errors in it and their places."""
    script, errors = scripts.load(path)
    if script is None:
        raise click.ClickException("; ".join(str(error) for error in errors))
    return script


def play(job: tuple[str, scripts.Script]) -> dict[str, float]:
    """Plays a script with a variant and returns its measurements by label.

    "most hellos/s" is the peak rate of gateway registrations divided by the number of exchanges, "beside" the
    service of the gateways that share their number with one that floods, "took" the seconds that it ran.
    """
    variant, script = job
    if variant in VARIANTS:
        VARIANTS[variant]()
    started = time.perf_counter()
    player = Player(script, "virtual")
    result = player.play()
    measured = measurements(script, result) | {"took": time.perf_counter() - started}
    registrations: dict[int, int] = {}
    for gateway in player.world.gateways:
        for at in gateway.registration_times:
            if at > player.started:
                registrations[at // SECOND] = registrations.get(at // SECOND, 0) + 1
    measured["most hellos/s"] = float(max(registrations.values(), default=0)) / script.fleet.exchanges
    if any(gateway.has_flooded for gateway in player.world.gateways):
        first = player.started + min(trouble.at for trouble in script.trouble)
        until = player.started + max(trouble.at + trouble.length for trouble in script.trouble)
        flooded_numbers = {gateway.number for gateway in player.world.gateways if gateway.has_flooded}
        neighbours = [
            gateway
            for gateway in player.world.gateways
            if gateway.number in flooded_numbers and not gateway.has_flooded
        ]
        served = service(neighbours, first, until)
        measured["beside"] = served.earned / served.offered
    return measured


def measurements(script: scripts.Script, result: Result) -> dict[str, float]:
    """Returns what one run gave, by label.

    "pressed" is the peak load of the worst exchange relative to its capacity, "useful" the mean share of
    useful work. "before", "10 s after" and "later" are the service around the trouble, "back s" the seconds
    until service is at 95% of "before".
    """
    series, seconds = result.series, script.length // SECOND
    rules_broken = sum(verdict.broken for verdict in result.verdicts)
    measured = {
        "service": result.service,
        "rules broken": float(rules_broken),
        "checks failed": float(sum(not check.passed for check in result.checks)),
        "dials": float(sum(series.dials)),
        "most dials/s": float(max(series.dials)),
        "pressed": max(series.pressed),
        "wait ms": max(series.wait_ms),
        "useful": sum(series.useful) / len(series.useful),
    }
    if script.trouble:
        first = min(trouble.at for trouble in script.trouble) // SECOND
        ended = -(-max(trouble.at + trouble.length for trouble in script.trouble) // SECOND)
        before = series.mean_service(max(0, first - 10), first)
        recovery = series.recovery_seconds(before, 0.95, ended, 5)
        measured |= {
            "before": before,
            "10 s after": series.mean_service(ended, min(seconds, ended + 10)),
            "later": series.mean_service(min(seconds, ended + 10), seconds),
            "back s": float(recovery if recovery >= 0 else seconds - ended),
        }
    return measured


def play_all(jobs: list[tuple[str, scripts.Script]]) -> list[dict[str, float]]:
    """Plays each job in a process of its own, as a variant replaces functions in its process for good."""
    with ProcessPoolExecutor(os.cpu_count() or 1, max_tasks_per_child=1) as pool:
        return list(pool.map(play, jobs))


def mean_with_interval(values: list[float]) -> str:
    """Returns the mean and half the 95% confidence interval by Student's t; assumes roughly normal means."""
    mean = statistics.mean(values)
    if len(values) < 2:
        return f"{mean:.3f}"
    t = {5: 2.78, 10: 2.26, 20: 2.09}.get(len(values), 2.0)  # by number of values
    return f"{mean:.3f} ±{t * statistics.stdev(values) / len(values) ** 0.5:.3f}"


def compare_variants(script: scripts.Script, variants: list[str], seeds: int, rows: list[str]) -> None:
    """Prints a table row for each variant, with its difference in service from "ours" on the same seeds.

    `rows`: labels of the measurements to print, one column each.
    """
    jobs = [(variant, replace(script, seed=seed)) for variant in variants for seed in range(1, seeds + 1)]
    played = play_all(jobs)
    by_variant = {
        variant: played[index * seeds : (index + 1) * seeds] for index, variant in enumerate(variants)
    }
    click.echo(f"\n{script.title}: {seeds} seeds")
    click.echo("| variant | " + " | ".join(rows) + " | service less ours, paired |")
    click.echo("|" + " --- |" * (len(rows) + 2))
    for variant, results in by_variant.items():
        cells = [mean_with_interval([result[row] for result in results]) for row in rows]
        pairs = zip(results, by_variant["ours"], strict=True)
        paired = mean_with_interval([result["service"] - ours["service"] for result, ours in pairs])
        click.echo(f"| {variant} | " + " | ".join(cells) + f" | {paired if variant != 'ours' else '-'} |")


ROWS = [
    "service", "before", "10 s after", "later", "back s", "dials", "most dials/s", "pressed", "wait ms",
    "useful", "rules broken",
]  # fmt: skip


@click.group()
def cli() -> None:
    pass


@cli.command()
@click.option("--seeds", default=20)
@click.argument("paths", nargs=-1)
def sides(seeds: int, paths: tuple[str, ...]) -> None:
    """Compares all parts with off, no advice and waits at callers."""
    for path in paths or ("examples/storms/restored.hcl", "examples/storms/jam.hcl"):
        compare_variants(load(path), ["ours", "off", "no advice", "waits at callers"], seeds, ROWS)


@cli.command()
@click.option("--seeds", default=20)
@click.argument("paths", nargs=-1)
def parts(seeds: int, paths: tuple[str, ...]) -> None:
    """Compares all parts with variants that have one part disabled."""
    for path in paths or ("examples/storms/restored.hcl", "examples/storms/agents-restarted.hcl"):
        names = ["ours"] + [f"without {name}" for name in PARTS]
        compare_variants(load(path), names, seeds, ROWS)


@cli.command()
@click.option("--seeds", default=20)
def guards(seeds: int) -> None:
    """Special cases for parts that bring no revenue while gateways follow advice and none floods."""
    flood = load("examples/storms/flood.hcl")
    compare_variants(flood, ["ours", "without door"], seeds, ["service", "beside", "dials", "rules broken"])
    no_notices = load("examples/storms/honour-100.hcl")
    no_notices = replace(no_notices, title="no notices", callers=replace(no_notices.callers, follows=False))
    rows = ["service", "dials", "most dials/s", "rules broken"]
    compare_variants(no_notices, ["ours", "without slots"], seeds, rows)
    compare_variants(load("examples/storms/in-step.hcl"), ["ours", "without slots"], seeds, rows)
    reconnect = load("examples/storms/reconnect.hcl")
    fleet = replace(reconnect.fleet, gateways=200)
    reconnect = replace(reconnect, title="200 gateways an agent reconnect in 50 ms", fleet=fleet)
    compare_variants(reconnect, ["ours", "without gate"], seeds, ["service", "most hellos/s", "rules broken"])


@cli.command()
@click.option("--seeds", default=20)
def quiet(seeds: int) -> None:
    """Runs without trouble: the control must cost nothing."""
    script = load("examples/storms/honest-surge.hcl")
    for level in (0.6, 1.0):
        steps = (scripts.Load(at=0, level=level),)
        untroubled = replace(script, title=f"no trouble, {level:.0%} of plan", trouble=(), load=steps)
        rows = ["service", "dials", "wait ms", "useful", "rules broken"]
        compare_variants(untroubled, ["ours", "off"], seeds, rows)


@cli.command("seeds")
@click.option("--seeds", default=20)
@click.argument("path")
def run_seeds(seeds: int, path: str) -> None:
    """One script with its own checks."""
    script = load(path)
    played = play_all([("ours", replace(script, seed=seed)) for seed in range(1, seeds + 1)])
    for row in ROWS:
        if row in played[0]:
            values = [result[row] for result in played]
            click.echo(
                f"{row:14} {mean_with_interval(values):18} worst {min(values):.3f} to {max(values):.3f}"
            )
    failed = [
        seed for seed, result in enumerate(played, 1) if result["checks failed"] or result["rules broken"]
    ]
    click.echo(f"{seeds} seeds, failed: {failed or 'none'}")


@cli.command()
@click.option("--exchanges", default=60)
@click.option("--seed", default=1)
@click.option("--variants", default="ours,off")
def size(exchanges: int, seed: int, variants: str) -> None:
    """One run at 600 calls a second for each variant."""
    script = load("examples/storms/restored.hcl")
    fleet = replace(script.fleet, exchanges=exchanges, calls_a_second=600 / exchanges / 1.2)
    script = replace(script, title="at size", fleet=fleet, seed=seed, must=scripts.Must())
    names = variants.split(",")
    for name, result in zip(names, play_all([(name, script) for name in names]), strict=True):
        click.echo(f"{name}: " + ", ".join(f"{key} {value:.3f}" for key, value in result.items()))


@cli.command()
@click.argument("path")
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--variant", default="ours")
@click.option("--seed", default=1)
def report(path: str, folder: Path, variant: str, seed: int) -> None:
    """One run's report, for `peattrestle plot`."""
    if variant in VARIANTS:
        VARIANTS[variant]()
    reports.write(Player(replace(load(path), seed=seed), "virtual").play(), folder)


@cli.command()
def cost() -> None:
    """Time that storm detection and gateway admission take for one call."""
    for gateways, remembered in ((1, 0), (1, 20_000), (100, 20_000), (1000, 20_000)):
        detector, storm_detector, admission = (
            retry_detection.RetryDetector(9 * SECOND),
            storm_detection.StormDetector(),
            gateway_admission.GatewayAdmission(),
        )
        rng = random.Random(1)
        for number in range(remembered):
            key = (f"<g{number % gateways}>", "line", 5, f"n{number}")
            detector.record_unserved(0, key, detector.classify(0, key, False, False), 500 * MS)
        events, best_seconds = 20_000, 1e9
        for _ in range(3):
            started = time.perf_counter()
            for number in range(events):
                now = number * MS // 10
                name = f"<g{number % gateways}>"
                key = (name, "line", 5, f"n{number % 40_000}")
                attempt = detector.classify(now, key, False, False)
                storm_detector.count_call(now, attempt)
                if not admission.admits(now, name, 1.0, rng.random()) or number % 2:
                    detector.record_unserved(now, key, attempt, 500 * MS)
                    admission.count_refused(now)
                else:
                    admission.count_answered(now)
            best_seconds = min(best_seconds, time.perf_counter() - started)
        click.echo(
            f"{gateways:5d} gateways, {remembered:6d} remembered: {best_seconds / events * 1e6:.1f} us a call"
        )


if __name__ == "__main__":
    cli()
