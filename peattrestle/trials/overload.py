"""python -m peattrestle.trials.overload: plays loads of bad clients against one agent process each.

An agent serves regular callers while a process of bad clients loads it (`peattrestle.trials.bad_clients`).
The agent's resident memory is read all the time, and the callers' answers are judged as in every trial.
Exit codes: 0 no play failed, 1 a play failed, 2 the arguments are wrong.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from peattrestle.runtime import Coroutine
from peattrestle.trials.bad_clients import Load
from peattrestle.trials.caller import CallerBehaviour
from peattrestle.trials.deployment import Deployment
from peattrestle.trials.environment import TrialEnvironment, free_port
from peattrestle.trials.rule_checker import Violation

MS = 1_000_000  # nanoseconds
SECOND = 1_000 * MS
MIB = 1_048_576
START_TIMEOUT = 30 * SECOND
QUIET_TIME = 1 * SECOND  # before the load
SETTLING_TIME = 4 * SECOND  # after the load, until every answer is due
SAMPLE_INTERVAL = 20 * MS
NETWORK = 240  # second byte of the loopback addresses
# Loads by very many connections, which each do little, and loads by one connection at full speed.
CROWDS = (Load.SLOW_WRITERS, Load.HALF_REQUESTS, Load.MANY_FIELDS, Load.UNREAD_ANSWERS)
CROWD_SIZE = 700  # more than an agent accepts with the largest limit of descriptors
NAMING_CLIENTS = 20


@dataclass(slots=True, frozen=True)
class Limits:
    """The limits of the agent: memory in MiB, and file descriptors."""

    memory_mb: int
    sockets: int


@dataclass(slots=True)
class OverloadResult:
    """One play. Memory is in MiB, times in ms; `slowest_ms` is the longest that a caller waited."""

    load: Load
    limits: Limits
    clients: int
    idle_mb: float = 0.0
    peak_mb: float = 0.0
    sent_mb: float = 0.0
    connections: int = 0
    requests: int = 0
    established: int = 0
    refused: int = 0
    slowest_ms: int = 0
    violations: list[Violation] | None = None

    @property
    def passed(self) -> bool:
        """Whether no rule was broken and the agent stayed within its memory limit."""
        return not self.violations and self.peak_mb <= self.limits.memory_mb

    def __str__(self) -> str:
        status = "passed" if self.passed else "FAILED"
        return (
            f"{self.load.value}: {status}, limits {self.limits.memory_mb} MB, {self.limits.sockets} sockets, "
            f"{self.clients} clients sent {self.sent_mb:.1f} MB on {self.connections} connections; "
            f"memory {self.idle_mb:.1f} MB before, {self.peak_mb:.1f} MB at most; "
            f"{self.requests} requests, {self.established} stood, {self.refused} refused, "
            f"slowest answer {self.slowest_ms} ms"
        )


def resident_mb(process_id: int) -> float:
    """Returns the resident memory of a process in MiB, 0 if it has ended."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / MIB
    return 0.0


class OverloadTrial:
    """One agent with regular callers, and one load of bad clients for some seconds."""

    def __init__(self, load: Load, limits: Limits, seconds: float, directory: Path, clients: int = 0) -> None:
        self.load, self.seconds = load, seconds
        if not clients:
            clients = CROWD_SIZE if load in CROWDS else 1
            clients = NAMING_CLIENTS if load in (Load.NAMED_CALLS, Load.LARGE_SET_UPS) else clients
        self.result = OverloadResult(load, limits, clients)
        deployment = Deployment(
            socket_limit=limits.sockets,
            memory_limit_mb=limits.memory_mb,
            network=NETWORK,
            port=free_port(),
        )
        behaviour = CallerBehaviour(mean_interval=30 * MS, abandon_share=0.0, retry_share=0.0)
        self.environment = TrialEnvironment(deployment, directory, 1, behaviour)

    def run(self) -> OverloadResult:
        """Plays the load. Raises RuntimeError if the agent does not become ready."""
        environment = self.environment
        try:
            if not environment.run_script(environment.start_all_agents(), START_TIMEOUT):
                raise RuntimeError("the agent did not become ready")
            environment.kernel.spawn(self.watch_memory(), "memory")
            environment.run(QUIET_TIME)
            self.result.idle_mb = self.result.peak_mb
            self.play_load()
            environment.run(SETTLING_TIME)
            environment.stop_callers()
            environment.run(environment.deployment.deadline + SETTLING_TIME)
            self.summarize()
        finally:
            environment.close()
        return self.result

    def watch_memory(self) -> Coroutine[None]:
        """Records the highest resident memory of the agent."""
        process = self.environment.agents[0].process
        assert process is not None
        while True:
            self.result.peak_mb = max(self.result.peak_mb, resident_mb(process.pid))
            yield from self.environment.kernel.sleep(SAMPLE_INTERVAL)

    def play_load(self) -> None:
        """Runs the process of bad clients."""
        arguments = [self.load.value, self.environment.deployment.agent_address(0)]
        arguments += ["--clients", str(self.result.clients), "--seconds", str(self.seconds)]
        arguments += ["--exchange", next(name for name in self.environment.exchanges if name[1] != "0")]
        command = [sys.executable, "-m", "peattrestle.trials.bad_clients", *arguments]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as clients:
            deadline = self.environment.kernel.now() + round(self.seconds * SECOND) + START_TIMEOUT
            while clients.poll() is None:
                self.environment.run(SAMPLE_INTERVAL)
                if self.environment.kernel.now() > deadline:
                    clients.kill()
            output = clients.communicate()[0].split()
        self.result.sent_mb, self.result.connections = int(output[0]) / MIB, int(output[2])

    def summarize(self) -> None:
        """Fills in what the callers observed."""
        requests = self.environment.record.requests.values()
        answered = [(request, request.answers[0]) for request in requests if request.answers]
        self.result.requests = len(requests)
        self.result.established = sum(answer.status == 200 for _, answer in answered)
        self.result.refused = sum(answer.status == 503 for _, answer in answered)
        waits = [answer.at - request.sent_at for request, answer in answered]
        self.result.slowest_ms = max(waits, default=0) // MS
        self.result.violations = self.environment.check_rules()


def main() -> int:
    """Plays the loads that the arguments name; returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m peattrestle.trials.overload", description=__doc__)
    parser.add_argument("--loads", default=",".join(load.value for load in Load))
    parser.add_argument("--memory-mb", default="32,192", help="limits to play with (default 32,192)")
    parser.add_argument("--sockets", default="256,1024", help="limits to play with (default 256,1024)")
    parser.add_argument("--seconds", type=float, default=6.0, help="of each load (default 6)")
    parser.add_argument("--clients", type=int, default=0, help="connections (default: by load)")
    arguments = parser.parse_args()
    try:
        loads = [Load(name) for name in arguments.loads.split(",")]
        memory = [int(text) for text in arguments.memory_mb.split(",")]
        sockets = [int(text) for text in arguments.sockets.split(",")]
    except ValueError as error:
        parser.error(str(error))
    failed = 0
    for load in loads:
        for limits in [Limits(limit, count) for limit in memory for count in sockets]:
            with tempfile.TemporaryDirectory(prefix="overload-") as directory:
                trial = OverloadTrial(load, limits, arguments.seconds, Path(directory), arguments.clients)
                result = trial.run()
            failed += not result.passed
            print(result, flush=True)
            for violation in (result.violations or [])[:3]:
                print(f"    {violation.rule}: {violation.text[:200]}")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
