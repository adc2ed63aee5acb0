"""Runs the call agent under trial as a process: starts, signals and kills it, and reads its log."""

from __future__ import annotations

import json
import os
import resource
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

from peattrestle.runtime import ConnectFailed, ConnectionLost, Coroutine, Kernel
from peattrestle.trials.caller import bodyless_request
from peattrestle.trials.deployment import Deployment
from peattrestle.trials.record import AgentRun, Record

MS = 1_000_000  # nanoseconds
POLL_INTERVAL = 5 * MS
READY_TIMEOUT = 10_000 * MS
DEBUG_LINES_PER_SECOND = 5_000  # high enough to log every step of each call
CONNECT_TIMEOUT = 500 * MS


class AgentProcess:
    """One call agent; `current_run` is its present or last run."""

    def __init__(
        self, kernel: Kernel, record: Record, deployment: Deployment, agent: int, directory: Path
    ) -> None:
        self.kernel, self.record, self.deployment, self.agent = kernel, record, deployment, agent
        self.configuration_path = directory / f"n{agent}.json"
        self.log_path = directory / f"n{agent}.log"
        self.log: IO[bytes] | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.current_run = AgentRun(agent, 0)

    @property
    def running(self) -> bool:
        """Whether the process exists and has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def in_service(self) -> bool:
        """Whether the agent is ready and got neither SIGTERM nor SIGKILL."""
        run = self.current_run
        return self.running and bool(run.ready_at) and not run.terminated_at and not run.killed_at

    def start(self) -> None:
        """Starts a run. Raises OSError if no process can be started."""
        limit = self.deployment.socket_limit

        def set_socket_limit() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

        self.log = self.log_path.open("ab")
        environment = os.environ | {
            "LB_CONFIG": str(self.configuration_path),
            "LB_NAME": f"n{self.agent}",
            "PEATTRESTLE_DEBUG_LINES": str(DEBUG_LINES_PER_SECOND),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "peattrestle.platform"],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            preexec_fn=set_socket_limit,
        )
        self.current_run = AgentRun(self.agent, self.kernel.now())
        self.record.agent_runs.append(self.current_run)
        self.kernel.spawn(self.watch(self.process, self.current_run), "agent process")

    def watch(self, process: subprocess.Popen[bytes], run: AgentRun) -> Coroutine[None]:
        """Waits for the process to end and records its exit code."""
        while process.poll() is None:
            yield from self.kernel.sleep(POLL_INTERVAL)
        run.ended_at, run.exit_code = self.kernel.now(), process.returncode
        self.record.add_event(run.ended_at, f"n{self.agent} ended with code {process.returncode}")

    def wait_until_ready(self) -> Coroutine[bool]:
        """Returns whether the agent passed its readiness test within 10 s."""
        deadline = self.kernel.now() + READY_TIMEOUT
        while self.kernel.now() < deadline and self.running:
            if (yield from self.answers_options()):
                self.current_run.ready_at = self.kernel.now()
                self.record.add_event(self.current_run.ready_at, f"n{self.agent} ready")
                return True
            yield from self.kernel.sleep(20 * MS)
        return False

    def answers_options(self) -> Coroutine[bool]:
        """Returns whether the agent answers OPTIONS with 200."""
        try:
            stream = yield from self.kernel.connect(
                self.deployment.agent_address(self.agent), CONNECT_TIMEOUT
            )
        except ConnectFailed:
            return False
        stream.write(bodyless_request("OPTIONS", "ping"))
        try:
            data = yield from stream.read()
        except ConnectionLost:
            data = b""
        stream.close()
        return data.startswith(b"SIP/2.0 200")

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process, if it still runs, and adds it to the timeline."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)
            self.record.add_event(self.kernel.now(), f"n{self.agent}: {signal_number.name}")

    def terminate(self) -> None:
        """Sends SIGTERM and records its time; SIGKILL is due `Deployment.kill_delay` later."""
        self.current_run.terminated_at = self.kernel.now()
        self.send_signal(signal.SIGTERM)

    def kill_if_running(self) -> None:
        """Sends SIGKILL and records its time."""
        if self.running:
            self.current_run.killed_at = self.kernel.now()
            self.send_signal(signal.SIGKILL)

    def kill_without_warning(self) -> None:
        """Sends SIGKILL to simulate a crash."""
        self.current_run.killed_without_warning = True
        self.kill_if_running()

    def error_lines(self) -> list[str]:
        """Returns the log lines at level error, and lines that are not log entries, such as tracebacks."""
        lines = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                lines.append(line)
                continue
            if entry.get("level") == "error":
                lines.append(line)
        return lines

    def close(self) -> None:
        """Kills the process if it still runs and closes its log."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
        if self.log is not None:
            self.log.close()
