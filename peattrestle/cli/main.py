"""The `peattrestle` command: agent run, config check, config show, rehearse, nights, night, plot, call."""

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

SUCCESS, CHECK_FAILED, INVALID_INPUT, CANNOT_RUN = 0, 1, 2, 3  # exit codes


def fail(code: int, *lines: object) -> NoReturn:
    """Prints error messages and exits with `code`."""
    for line in lines:
        click.echo(f"peattrestle: {line}", err=True)
    raise SystemExit(code)


def exit_with_faults(faults: list[Fault]) -> NoReturn:
    """Prints the faults of a settings file and exits with `INVALID_INPUT`."""
    for fault in faults:
        click.echo(str(fault), err=True)
    raise SystemExit(INVALID_INPUT)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def cli() -> None:
    """A call router for a network of exchanges."""


@cli.group()
def config() -> None:
    """Checks and shows settings files."""


@config.command("check")
@click.argument("path", metavar="CONFIG")
def config_check(path: str) -> None:
    """Reports all faults of an agent's settings, each with file and line."""
    from peattrestle.settings.agent import load

    settings, faults = load(path)
    if settings is None:
        exit_with_faults(faults)
    click.echo(f"{path}: agent {settings.label}, no fault")


@config.command("show")
@click.argument("path", metavar="CONFIG")
def config_show(path: str) -> None:
    """Prints all settings in force, defaults included, as a valid settings file."""
    from peattrestle.settings.agent import load

    settings, faults = load(path)
    if settings is None:
        exit_with_faults(faults)
    click.echo(schema.to_hcl(settings, "agent"))


@cli.group()
def agent() -> None:
    """Runs the call agent."""


@agent.command("run")
@click.argument("path", metavar="CONFIG")
@click.option(
    "--while-stdin", is_flag=True, help="Stop when standard input ends, as when the parent process does."
)
def agent_run(path: str, while_stdin: bool) -> None:
    """Runs a call agent until SIGTERM or SIGINT, and then until every call in progress is answered. A second
    signal stops it at once. Does not start with an invalid settings file."""
    from peattrestle.agent.agent import CallAgent
    from peattrestle.agent.listing import FileStore, Store
    from peattrestle.cli.logs import logger
    from peattrestle.runtime.epoll import EpollKernel
    from peattrestle.settings.agent import load

    settings, faults = load(path)
    if settings is None:
        exit_with_faults(faults)
    seed = settings.seed or int.from_bytes(os.urandom(7), "big")
    try:
        log = logger(settings.log_level, settings.log_file, agent=settings.label)
    except OSError as error:
        fail(CANNOT_RUN, f"log file {settings.log_file}: {error.strerror}")
    kernel = EpollKernel(seed ^ os.getpid() << 20)
    store = FileStore(settings.state) if settings.state else Store()
    call_agent = CallAgent(kernel, settings, log, store, seed)
    fatal_errors: list[BaseException] = []

    def on_crash(name: str, error: BaseException) -> None:
        log("error", "coroutine raised an exception", task=name, error=repr(error))
        if name == f"agent {settings.label}":  # without its listening port the agent can't work
            fatal_errors.append(error)
            kernel.stop()

    kernel.on_crash = on_crash

    def on_signal(number: int) -> None:
        if call_agent.draining:
            kernel.stop()
        else:
            call_agent.drain(kernel.stop)

    kernel.on_signals((signal.SIGTERM, signal.SIGINT), on_signal)
    if while_stdin:
        kernel.add_reader(0, lambda: kernel.stop() if not os.read(0, 4096) else None)
    call_agent.start()
    kernel.run()
    call_agent.stop()
    log("info", "stopped", **call_agent.counts.values)
    if settings.counts_file:
        Path(settings.counts_file).write_text(json.dumps(call_agent.counts.values), encoding="utf-8")
    kernel.close()
    if fatal_errors:
        fail(CANNOT_RUN, f"{settings.callers}: {fatal_errors[0]}")


@cli.command()
@click.argument("path", metavar="SCRIPT")
@click.option(
    "--kernel",
    type=click.Choice(["epoll", "virtual"]),
    help="epoll: real sockets; virtual: simulated ones. Default: the script's.",
)
@click.option("--seed", type=click.IntRange(0), help="Overrides the script's seed.")
@click.option(
    "--report", type=click.Path(file_okay=False), help="Folder for the report and the traffic record."
)
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
def rehearse(path: str, kernel: str | None, seed: int | None, report: str | None, as_json: bool) -> None:
    """Runs SCRIPT with agents and simulated peers, and checks every rule against the recorded traffic."""
    from peattrestle.rehearsal import play, script
    from peattrestle.rehearsal import report as reports

    loaded, faults = script.load(path)
    if loaded is None:
        exit_with_faults(faults)
    if seed is not None:
        loaded = replace(loaded, seed=seed)

    def print_progress(text: str) -> None:
        click.echo(f"peattrestle: {text}", err=True)

    def on_sigterm(*_: object) -> NoReturn:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, on_sigterm)
    try:
        with tempfile.TemporaryDirectory(prefix="peattrestle-") as folder:
            result = play.play(loaded, kernel or loaded.kernel, Path(folder), report_progress=print_progress)
    except play.CouldNotRun as error:
        fail(CANNOT_RUN, error)
    except KeyboardInterrupt:
        fail(CANNOT_RUN, "interrupted; all processes that were started have been stopped")
    if report:
        reports.write(result, Path(report))
    click.echo(json.dumps(reports.as_json(result)) if as_json else reports.table(result))
    raise SystemExit(SUCCESS if result.passed else CHECK_FAILED)


@cli.command()
@click.option("--first", type=click.IntRange(0), default=1, help="First seed.")
@click.option("--count", type=click.IntRange(1), default=200, help="Number of nights.")
@click.option("--jobs", type=click.IntRange(0), default=0, help="Number of processes; 0: one per core.")
def nights(first: int, count: int, jobs: int) -> None:
    """Runs random rehearsals (nights) on the virtual kernel, and prints the seeds of those that fail."""
    from peattrestle.rehearsal.nights import play_many

    failures, calls, examined = 0, 0, dict[str, int]()
    for night in play_many(range(first, first + count), jobs):
        calls += night.calls
        for rule, number in night.examined.items():
            examined[rule] = examined.get(rule, 0) + number
        if not night.passed:
            failures += 1
            click.echo(f"seed {night.seed}: " + "; ".join(night.faults))
            click.echo(f"  to repeat: peattrestle night {night.seed}")
    for rule, number in examined.items():
        click.echo(f"{rule}: {number} examined" + ("" if number else ", NOT JUDGED"))
    click.echo(f"{count} nights, {calls} calls, {failures} failed")
    raise SystemExit(CHECK_FAILED if failures or not all(examined.values()) else SUCCESS)


@cli.command()
@click.argument("seed", type=click.IntRange(0))
@click.option(
    "--report", type=click.Path(file_okay=False), help="Folder for the report and the traffic record."
)
def night(seed: int, report: str | None) -> None:
    """Repeats the night drawn from SEED, and prints its full report."""
    from peattrestle.rehearsal import nights as random_nights
    from peattrestle.rehearsal import play
    from peattrestle.rehearsal import report as reports

    result = play.play(random_nights.random_script(seed), "virtual")
    if report:
        reports.write(result, Path(report))
    click.echo(reports.table(result))
    raise SystemExit(SUCCESS if result.passed else CHECK_FAILED)


@cli.command()
@click.argument("reports", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--out", required=True, type=click.Path(dir_okay=False, path_type=Path), help="Image file to write."
)
def plot(reports: tuple[Path, ...], out: Path) -> None:
    """Plots load and service over time, side by side, from REPORTS: folders of `rehearse --report`."""
    from peattrestle.rehearsal import plot as plots

    try:
        runs = [(folder.name or str(folder), plots.read(folder)) for folder in reports]
        plots.draw(runs, out)
    except plots.NotAReport as error:
        fail(INVALID_INPUT, error)
    except ImportError:
        fail(CANNOT_RUN, "plots need matplotlib: pip install -r requirements-plot.txt")
    except (OSError, ValueError) as error:
        fail(CANNOT_RUN, f"{out}: {error}")


@cli.command()
@click.argument("address", metavar="ADDRESS")
@click.argument("destination", type=click.IntRange(0), metavar="EXCHANGE")
@click.argument("bearer", metavar="BEARER")
@click.option("--number", default="", help="Called number.")
@click.option("--patience", default="5s", help="Give up after this time.")
@click.option("--hold", default="0s", help="Release the call this long after it is established.")
@click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON.")
def call(
    address: str, destination: int, bearer: str, number: str, patience: str, hold: str, as_json: bool
) -> None:
    """Requests one call to EXCHANGE from the agent at ADDRESS, and prints the answer."""
    from peattrestle.cli.caller import request_call
    from peattrestle.h248.package import SetUpRequest
    from peattrestle.runtime.epoll import split_address

    try:
        split_address(address)
        patience_ns, hold_ns = schema.parse_duration(patience), schema.parse_duration(hold)
    except ValueError as error:
        fail(INVALID_INPUT, error)
    request = SetUpRequest(
        f"cli/{os.getpid()}", bearer, destination, patience_ns, number, reference=f"cli/{os.getpid()}"
    )
    answer = request_call(address, request, hold_ns)
    if as_json:
        click.echo(json.dumps(answer))
    else:
        click.echo(
            answer["answer"]
            + (f": {answer['text']}" if answer["text"] else "")
            + (f", come back in {answer['come_back_ms']} ms" if answer["come_back_ms"] else "")
        )
    raise SystemExit(
        {"stands": SUCCESS, "no connection": CANNOT_RUN}.get(str(answer["answer"]), CHECK_FAILED)
    )


def main() -> None:
    """Runs the command line, with the package's exit codes for errors in the arguments."""
    try:
        cli(standalone_mode=False)
    except click.ClickException as error:
        error.show(sys.stderr)
        raise SystemExit(INVALID_INPUT) from None
    except click.Abort:
        raise SystemExit(CANNOT_RUN) from None
