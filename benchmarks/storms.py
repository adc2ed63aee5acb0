"""The storm parts side by side, on the virtual kernel, the same seeds for each, with error bars.

    python benchmarks/storms.py sides     [--seeds 20]   ours, off (one fixed time), no advice, own waits
    python benchmarks/storms.py parts     [--seeds 20]   each part taken out alone
    python benchmarks/storms.py guards    [--seeds 20]   what parts guard that earn nothing in the main case
    python benchmarks/storms.py quiet     [--seeds 20]   days without trouble, off and ours
    python benchmarks/storms.py seeds SCRIPT [--seeds 20]  one script with its own checks
    python benchmarks/storms.py size      [--exchanges 60]  600 calls a second for a minute
    python benchmarks/storms.py report SCRIPT FOLDER [--variant off]  one run's report, for `peattrestle plot`
    python benchmarks/storms.py cost                     microseconds for each event, by gateways and calls

A part is taken out by putting something idle in its place, here and nowhere in the program.
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
from peattrestle.storms import shares, sight, watch

MS = 1_000_000
SECOND = 1_000_000_000


# Parts, each as it is without.


def without_fresh_first() -> None:
    def worth(self: Any, asked: api.CallArrived, seen: Any) -> float:
        return float(self.revenue.get(asked.bearer_type, 1.0) / self.mean_revenue)

    control.Home.worth = worth  # type: ignore[method-assign]


def without_slots() -> None:
    def come_back(self: Any, asked: Any, seen: Any, most: int) -> int:
        return int(self.target // 3)

    control.Home.come_back = come_back  # type: ignore[method-assign]


def without_door() -> None:
    shares.Demand.divide = lambda self, now, share: None  # type: ignore[method-assign]


def without_notices() -> None:
    shares.Door.notices = lambda self: {}  # type: ignore[method-assign]


def without_gate() -> None:
    agent_storms.Storms.restart_after = lambda self, asker: 0  # type: ignore[method-assign]
    agent_storms.Storms.waiting_delay = lambda self, known: 0  # type: ignore[method-assign]


def without_slow_start() -> None:
    told = control.Exchange.told

    def at_once(self: Any, entry: api.Entry) -> None:
        told(self, entry)
        if self.number == self.home.own_number and not self.out:
            self.window = float("inf")

    control.Exchange.told = at_once  # type: ignore[method-assign]


def without_budget() -> None:
    control.Home.FURTHER = 1.0


PARTS = {
    "fresh first": without_fresh_first,
    "slots": without_slots,
    "door": without_door,
    "notices": without_notices,
    "gate": without_gate,
    "slow start": without_slow_start,
    "budget": without_budget,
}


def off() -> None:
    for part in PARTS.values():
        part()


def no_advice() -> None:
    off()
    control.Home.come_back = lambda self, asked, seen, most: 0  # type: ignore[method-assign]


def at_callers() -> None:
    """Nothing at the agents but refusals without advice; callers wait by themselves, doubling, drawn."""
    no_advice()
    from peattrestle.standin import callers

    def redial(self: Any, sale: Any, come_back: int) -> None:
        habits = self.traffic.habits
        if sale.tries > habits.redials or self.closing:
            return
        wait = round(habits.redial_least * 2**sale.tries * self.draw.uniform(0.5, 1.0))
        now = self.kernel.now()
        if now + wait < sale.first_at + self.bearer(sale).abandon_time:
            if not self.ready:
                sale.tries += 1
            self.kernel.at(now + wait, lambda: None if self.closing else self.dial(sale, sale.cut))

    callers.Gateway.redial = redial  # type: ignore[method-assign]


VARIANTS = {"off": off, "no advice": no_advice, "waits at callers": at_callers} | {
    f"without {name}": part for name, part in PARTS.items()
}


def load(path: str) -> scripts.Script:
    read, faults = scripts.load(path)
    if read is None:
        raise click.ClickException("; ".join(str(fault) for fault in faults))
    return read


def play(job: tuple[str, scripts.Script]) -> dict[str, float]:
    variant, script = job
    if variant in VARIANTS:
        VARIANTS[variant]()
    started = time.perf_counter()
    player = Player(script, "virtual")
    result = player.play()
    out = figures(script, result) | {"took": time.perf_counter() - started}
    hellos: dict[int, int] = {}
    for gateway in player.world.gateways:
        for at in gateway.greetings:
            if at > player.started:
                hellos[at // SECOND] = hellos.get(at // SECOND, 0) + 1
    out["most hellos/s"] = float(max(hellos.values(), default=0)) / script.fleet.exchanges
    if any(gateway.flooded for gateway in player.world.gateways):
        first = player.started + min(one.at for one in script.trouble)
        until = player.started + max(one.at + one.length for one in script.trouble)
        hit = {gateway.number for gateway in player.world.gateways if gateway.flooded}
        beside = [one for one in player.world.gateways if one.number in hit and not one.flooded]
        served = service(beside, first, until)
        out["beside"] = served.earned / served.offered
    return out


def figures(script: scripts.Script, result: Result) -> dict[str, float]:
    series, seconds = result.series, script.length // SECOND
    rules = sum(one.broken for one in result.verdicts)
    out = {
        "service": result.service,
        "rules broken": float(rules),
        "checks failed": float(sum(not one.passed for one in result.checks)),
        "dials": float(sum(series.dials)),
        "most dials/s": float(max(series.dials)),
        "pressed": max(series.pressed),
        "wait ms": max(series.wait_ms),
        "useful": sum(series.useful) / len(series.useful),
    }
    if script.trouble:
        first = min(one.at for one in script.trouble) // SECOND
        healed = -(-max(one.at + one.length for one in script.trouble) // SECOND)
        before = series.over(max(0, first - 10), first)
        back = series.back_after(before, 0.95, healed, 5)
        out |= {
            "before": before,
            "10 s after": series.over(healed, min(seconds, healed + 10)),
            "later": series.over(min(seconds, healed + 10), seconds),
            "back s": float(back if back >= 0 else seconds - healed),
        }
    return out


def many(jobs: list[tuple[str, scripts.Script]]) -> list[dict[str, float]]:
    """A process for each: what a variant takes out stays out in it."""
    with ProcessPoolExecutor(os.cpu_count() or 1, max_tasks_per_child=1) as pool:
        return list(pool.map(play, jobs))


def bar(values: list[float]) -> str:
    """Mean and half a 95% interval by Student's t; assumes means near to normal."""
    mean = statistics.mean(values)
    if len(values) < 2:
        return f"{mean:.3f}"
    t = {5: 2.78, 10: 2.26, 20: 2.09}.get(len(values), 2.0)
    return f"{mean:.3f} ±{t * statistics.stdev(values) / len(values) ** 0.5:.3f}"


def side_by_side(script: scripts.Script, variants: list[str], seeds: int, rows: list[str]) -> None:
    jobs = [(one, replace(script, seed=seed)) for one in variants for seed in range(1, seeds + 1)]
    played = many(jobs)
    by = {one: played[at * seeds : (at + 1) * seeds] for at, one in enumerate(variants)}
    click.echo(f"\n{script.title}: {seeds} seeds")
    click.echo("| variant | " + " | ".join(rows) + " | service less ours, paired |")
    click.echo("|" + " --- |" * (len(rows) + 2))
    for one, results in by.items():
        cells = [bar([result[row] for result in results]) for row in rows]
        pairs = zip(results, by["ours"], strict=True)
        paired = bar([mine["service"] - ours["service"] for mine, ours in pairs])
        click.echo(f"| {one} | " + " | ".join(cells) + f" | {paired if one != 'ours' else '-'} |")


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
    for path in paths or ("examples/storms/restored.hcl", "examples/storms/jam.hcl"):
        side_by_side(load(path), ["ours", "off", "no advice", "waits at callers"], seeds, ROWS)


@cli.command()
@click.option("--seeds", default=20)
@click.argument("paths", nargs=-1)
def parts(seeds: int, paths: tuple[str, ...]) -> None:
    for path in paths or ("examples/storms/restored.hcl", "examples/storms/agents-restarted.hcl"):
        names = ["ours"] + [f"without {name}" for name in PARTS]
        side_by_side(load(path), names, seeds, ROWS)


@cli.command()
@click.option("--seeds", default=20)
def guards(seeds: int) -> None:
    """What each part guards that earns nothing where gateways heed and nothing floods."""
    flood = load("examples/storms/flood.hcl")
    side_by_side(flood, ["ours", "without door"], seeds, ["service", "beside", "dials", "rules broken"])
    deaf = load("examples/storms/honour-100.hcl")
    deaf = replace(deaf, title="no notices", callers=replace(deaf.callers, follows=False))
    rows = ["service", "dials", "most dials/s", "rules broken"]
    side_by_side(deaf, ["ours", "without slots"], seeds, rows)
    side_by_side(load("examples/storms/in-step.hcl"), ["ours", "without slots"], seeds, rows)
    reconnect = load("examples/storms/reconnect.hcl")
    fleet = replace(reconnect.fleet, gateways=200)
    reconnect = replace(reconnect, title="200 gateways an agent reconnect in 50 ms", fleet=fleet)
    side_by_side(reconnect, ["ours", "without gate"], seeds, ["service", "most hellos/s", "rules broken"])


@cli.command()
@click.option("--seeds", default=20)
def quiet(seeds: int) -> None:
    script = load("examples/storms/honest-surge.hcl")
    for level in (0.6, 1.0):
        steps = (scripts.Load(at=0, level=level),)
        calm = replace(script, title=f"no trouble, {level:.0%} of plan", trouble=(), load=steps)
        rows = ["service", "dials", "wait ms", "useful", "rules broken"]
        side_by_side(calm, ["ours", "off"], seeds, rows)


@cli.command("seeds")
@click.option("--seeds", default=20)
@click.argument("path")
def seeds_of(seeds: int, path: str) -> None:
    script = load(path)
    played = many([("ours", replace(script, seed=seed)) for seed in range(1, seeds + 1)])
    for row in ROWS:
        if row in played[0]:
            values = [one[row] for one in played]
            click.echo(f"{row:14} {bar(values):18} worst {min(values):.3f} to {max(values):.3f}")
    failed = [seed for seed, one in enumerate(played, 1) if one["checks failed"] or one["rules broken"]]
    click.echo(f"{seeds} seeds, not held: {failed or 'none'}")


@cli.command()
@click.option("--exchanges", default=60)
@click.option("--seed", default=1)
@click.option("--variants", default="ours,off")
def size(exchanges: int, seed: int, variants: str) -> None:
    script = load("examples/storms/restored.hcl")
    fleet = replace(script.fleet, exchanges=exchanges, calls_a_second=600 / exchanges / 1.2)
    script = replace(script, title="at size", fleet=fleet, seed=seed, must=scripts.Must())
    names = variants.split(",")
    for name, result in zip(names, many([(name, script) for name in names]), strict=True):
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
    """Sight, watch and door for one call, as the agent asks them."""
    for gateways, held in ((1, 0), (1, 20_000), (100, 20_000), (1000, 20_000)):
        one, seen_by, door = sight.Sight(9 * SECOND), watch.Watch(), shares.Door()
        draw = random.Random(1)
        for number in range(held):
            key = (f"<g{number % gateways}>", "line", 5, f"n{number}")
            one.unserved(0, key, one.asked(0, key, False, False), 500 * MS)
        events, best = 20_000, 1e9
        for _ in range(3):
            started = time.perf_counter()
            for number in range(events):
                now = number * MS // 10
                name = f"<g{number % gateways}>"
                key = (name, "line", 5, f"n{number % 40_000}")
                seen = one.asked(now, key, False, False)
                seen_by.call(now, seen)
                if not door.lets(now, name, 1.0, draw.random()) or number % 2:
                    one.unserved(now, key, seen, 500 * MS)
                    door.refused(now)
                else:
                    door.stood(now)
            best = min(best, time.perf_counter() - started)
        click.echo(f"{gateways:5d} gateways, {held:6d} kept: {best / events * 1e6:.1f} us a call")


if __name__ == "__main__":
    cli()
