"""`peattrestle`: agent run, config check, config show, rehearse, call."""

from __future__ import annotations

import json
import os
import signal
import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import NoReturn

import click

from peattrestle import __version__
from peattrestle.settings import schema
from peattrestle.settings.hcl import Fault

HELD, BROKEN, WRONG, COULD_NOT = 0, 1, 2, 3


def fail(code: int, *lines: object) -> NoReturn:
    for line in lines:
        click.echo(f"peattrestle: {line}", err=True)
    raise SystemExit(code)


def faulty(faults: list[Fault]) -> NoReturn:
    for fault in faults:
        click.echo(str(fault), err=True)
    raise SystemExit(WRONG)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def cli() -> None:
    """A call router for a network of exchanges."""


@cli.group()
def config() -> None:
    """Settings files."""


@config.command("check")
@click.argument("path", metavar="CONFIG")
def config_check(path: str) -> None:
    """Says all faults of an agent's settings at once, each with file and line."""
    from peattrestle.settings.agent import load

    settings, faults = load(path)
    if settings is None:
        faulty(faults)
    click.echo(f"{path}: agent {settings.label}, no fault")


@config.command("show")
@click.argument("path", metavar="CONFIG")
def config_show(path: str) -> None:
    """Every setting as it is in force, defaults too, as a file that could be used."""
    from peattrestle.settings.agent import load

    settings, faults = load(path)
    if settings is None:
        faulty(faults)
    click.echo(schema.to_hcl(settings, "agent"))


@cli.group()
def agent() -> None:
    """The call agent."""


@agent.command("run")
@click.argument("path", metavar="CONFIG")
@click.option("--while-stdin", is_flag=True, help="End when standard input does: with whoever started this.")
def agent_run(path: str, while_stdin: bool) -> None:
    """Runs a call agent until SIGTERM or SIGINT, then until each call it holds is answered; a second signal
    ends it at once. Never starts on a faulty file."""
    from peattrestle.agent.agent import CallAgent
    from peattrestle.agent.listing import FileStore, Store
    from peattrestle.cli.logs import logger
    from peattrestle.runtime.epoll import EpollKernel
    from peattrestle.settings.agent import load

    settings, faults = load(path)
    if settings is None:
        faulty(faults)
    seed = settings.seed or int.from_bytes(os.urandom(7), "big")
    try:
        log = logger(settings.log_level, settings.log_file, agent=settings.label)
    except OSError as fault:
        fail(COULD_NOT, f"log file {settings.log_file}: {fault.strerror}")
    kernel = EpollKernel(seed ^ os.getpid() << 20)
    store = FileStore(settings.state) if settings.state else Store()
    running = CallAgent(kernel, settings, log, store, seed)
    problem: list[BaseException] = []

    def crashed(name: str, error: BaseException) -> None:
        log("error", "a coroutine raised", task=name, error=repr(error))
        if name == f"agent {settings.label}":  # without its port the agent is of no use
            problem.append(error)
            kernel.stop()

    kernel.on_crash = crashed

    def signalled(number: int) -> None:
        if running.draining:
            kernel.stop()
        else:
            running.drain(kernel.stop)

    kernel.on_signals((signal.SIGTERM, signal.SIGINT), signalled)
    if while_stdin:
        kernel.watch(0, lambda: kernel.stop() if not os.read(0, 4096) else None)
    running.start()
    kernel.run()
    running.stop()
    log("info", "stopped", **running.counts.values)
    if settings.counts_file:
        Path(settings.counts_file).write_text(json.dumps(running.counts.values), encoding="utf-8")
    kernel.close()
    if problem:
        fail(COULD_NOT, f"{settings.callers}: {problem[0]}")


@cli.command()
@click.argument("path", metavar="SCRIPT")
@click.option(
    "--kernel", type=click.Choice(["epoll", "virtual"]), help="Real sockets, or none; else the script says."
)
@click.option("--seed", type=click.IntRange(0), help="Another seed than the script's.")
@click.option(
    "--report", type=click.Path(file_okay=False), help="Folder for the report and the record of traffic."
)
@click.option("--json", "as_json", is_flag=True, help="The result as JSON.")
def rehearse(path: str, kernel: str | None, seed: int | None, report: str | None, as_json: bool) -> None:
    """Plays SCRIPT against agents and stand-ins, and judges every rule from the traffic."""
    from peattrestle.rehearsal import play, script
    from peattrestle.rehearsal import report as reports

    read, faults = script.load(path)
    if read is None:
        faulty(faults)
    if seed is not None:
        read = replace(read, seed=seed)

    def say(text: str) -> None:
        click.echo(f"peattrestle: {text}", err=True)

    def interrupted(*_: object) -> NoReturn:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupted)
    try:
        with tempfile.TemporaryDirectory(prefix="peattrestle-") as folder:
            result = play.play(read, kernel or read.kernel, Path(folder), say=say)
    except play.CouldNotRun as fault:
        fail(COULD_NOT, fault)
    except KeyboardInterrupt:
        fail(COULD_NOT, "interrupted; what was started has been ended")
    if report:
        reports.write(result, Path(report))
    click.echo(json.dumps(reports.as_json(result)) if as_json else reports.table(result))
    raise SystemExit(HELD if result.passed else BROKEN)


@cli.command()
@click.option("--first", type=click.IntRange(0), default=1, help="First seed.")
@click.option("--count", type=click.IntRange(1), default=200, help="How many nights.")
@click.option("--jobs", type=click.IntRange(0), default=0, help="Processes; 0: one for each core.")
def nights(first: int, count: int, jobs: int) -> None:
    """Plays drawn nights on the virtual kernel; a night that does not hold is named by its seed."""
    from peattrestle.rehearsal.nights import play_many

    bad, calls, examined = 0, 0, dict[str, int]()
    for night in play_many(range(first, first + count), jobs):
        calls += night.calls
        for rule, number in night.examined.items():
            examined[rule] = examined.get(rule, 0) + number
        if not night.passed:
            bad += 1
            click.echo(f"seed {night.seed}: " + "; ".join(night.faults))
            click.echo(f"  again: peattrestle night {night.seed}")
    for rule, number in examined.items():
        click.echo(f"{rule}: {number} examined" + ("" if number else ", NOT JUDGED"))
    click.echo(f"{count} nights, {calls} calls, {bad} that did not hold")
    raise SystemExit(BROKEN if bad or not all(examined.values()) else HELD)


@cli.command()
@click.argument("seed", type=click.IntRange(0))
@click.option("--report", type=click.Path(file_okay=False), help="Folder for the report and the traffic.")
def night(seed: int, report: str | None) -> None:
    """Plays one drawn night again, and reports it in full."""
    from peattrestle.rehearsal import nights as drawn
    from peattrestle.rehearsal import play
    from peattrestle.rehearsal import report as reports

    result = play.play(drawn.draw(seed), "virtual")
    if report:
        reports.write(result, Path(report))
    click.echo(reports.table(result))
    raise SystemExit(HELD if result.passed else BROKEN)


@cli.command()
@click.argument("reports", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--out", required=True, type=click.Path(dir_okay=False, path_type=Path), help="A picture.")
def plot(reports: tuple[Path, ...], out: Path) -> None:
    """Draws load and service over time from REPORTS, folders of `rehearse --report`, beside each other."""
    from peattrestle.rehearsal import plot as plots

    try:
        read = [(one.name or str(one), plots.read(one)) for one in reports]
        plots.draw(read, out)
    except plots.NotAReport as fault:
        fail(WRONG, fault)
    except ImportError:
        fail(COULD_NOT, "plots need matplotlib: pip install -r requirements-plot.txt")
    except (OSError, ValueError) as fault:
        fail(COULD_NOT, f"{out}: {fault}")


@cli.command()
@click.argument("address", metavar="ADDRESS")
@click.argument("destination", type=click.IntRange(0), metavar="EXCHANGE")
@click.argument("bearer", metavar="BEARER")
@click.option("--number", default="", help="Number called.")
@click.option("--patience", default="5s", help="Give up after this.")
@click.option("--hold", default="0s", help="Let the call stand this long before it is released.")
@click.option("--json", "as_json", is_flag=True, help="The answer as JSON.")
def call(
    address: str, destination: int, bearer: str, number: str, patience: str, hold: str, as_json: bool
) -> None:
    """Asks the agent at ADDRESS for one call to EXCHANGE, and says what the answer was."""
    from peattrestle.cli.caller import ask
    from peattrestle.h248.package import SetUpAsked
    from peattrestle.runtime.epoll import split

    try:
        split(address)
        length, standing = schema.parse_duration(patience), schema.parse_duration(hold)
    except ValueError as fault:
        fail(WRONG, fault)
    asked = SetUpAsked(
        f"cli/{os.getpid()}", bearer, destination, length, number, reference=f"cli/{os.getpid()}"
    )
    answer = ask(address, asked, standing)
    if as_json:
        click.echo(json.dumps(answer))
    else:
        click.echo(
            answer["answer"]
            + (f": {answer['text']}" if answer["text"] else "")
            + (f", come back in {answer['come_back_ms']} ms" if answer["come_back_ms"] else "")
        )
    raise SystemExit({"stands": HELD, "no connection": COULD_NOT}.get(str(answer["answer"]), BROKEN))


def main() -> None:
    try:
        cli(standalone_mode=False)
    except click.ClickException as fault:
        fault.show(sys.stderr)
        raise SystemExit(WRONG) from None
    except click.Abort:
        raise SystemExit(COULD_NOT) from None
