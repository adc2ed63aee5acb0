"""The call agent under trial as a process of its own: started, signalled, killed, its log read."""

from __future__ import annotations

import json
import os
import resource
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

from peattrestle.runtime import Coroutine, Kernel, Lost, Refused
from peattrestle.trials.caller import bare
from peattrestle.trials.deployment import Deployment
from peattrestle.trials.record import AgentLife, Record

MS = 1_000_000
POLL = 5 * MS
READY_WITHIN = 10_000 * MS
DEBUG_LINES = 5_000  # a second: the whole life of each call is wanted
DIAL = 500 * MS


class AgentProcess:
    """One call agent; `life` is its present or last run. `wrap` starts the program differently, for tests."""

    def __init__(
        self, kernel: Kernel, record: Record, deployment: Deployment, agent: int, folder: Path
    ) -> None:
        self.kernel, self.record, self.deployment, self.agent = kernel, record, deployment, agent
        self.configuration = folder / f"n{agent}.json"
        self.log_path = folder / f"n{agent}.log"
        self.log: IO[bytes] | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.life = AgentLife(agent, 0)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    @property
    def in_service(self) -> bool:
        """Ready, and neither told to end nor killed."""
        life = self.life
        return self.running and bool(life.ready_at) and not life.terminated_at and not life.killed_at

    def start(self) -> None:
        """Raises OSError where no process can be started."""
        limit = self.deployment.sockets

        def limits() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

        self.log = self.log_path.open("ab")
        environment = os.environ | {
            "LB_CONFIG": str(self.configuration),
            "LB_NAME": f"n{self.agent}",
            "PEATTRESTLE_DEBUG_LINES": str(DEBUG_LINES),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "peattrestle.platform"],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            preexec_fn=limits,
        )
        self.life = AgentLife(self.agent, self.kernel.now())
        self.record.lives.append(self.life)
        self.kernel.spawn(self.watch(self.process, self.life), "agent process")

    def watch(self, process: subprocess.Popen[bytes], life: AgentLife) -> Coroutine[None]:
        while process.poll() is None:
            yield from self.kernel.sleep(POLL)
        life.ended_at, life.exit_code = self.kernel.now(), process.returncode
        self.record.note(life.ended_at, f"n{self.agent} ended with code {process.returncode}")

    def until_ready(self) -> Coroutine[bool]:
        """Whether the readiness test passed within 10 s."""
        until = self.kernel.now() + READY_WITHIN
        while self.kernel.now() < until and self.running:
            if (yield from self.passes_test()):
                self.life.ready_at = self.kernel.now()
                self.record.note(self.life.ready_at, f"n{self.agent} ready")
                return True
            yield from self.kernel.sleep(20 * MS)
        return False

    def passes_test(self) -> Coroutine[bool]:
        try:
            stream = yield from self.kernel.connect(self.deployment.agent_address(self.agent), DIAL)
        except Refused:
            return False
        stream.write(bare("OPTIONS", "ping"))
        try:
            data = yield from stream.read()
        except Lost:
            data = b""
        stream.close()
        return data.startswith(b"SIP/2.0 200")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.note(self.kernel.now(), f"n{self.agent}: {number.name}")

    def terminate(self) -> None:
        """SIGTERM now, SIGKILL at the earliest moment that the pages allow."""
        self.life.terminated_at = self.kernel.now()
        self.signal(signal.SIGTERM)

    def kill_if_running(self) -> None:
        if self.running:
            self.life.killed_at = self.kernel.now()
            self.signal(signal.SIGKILL)

    def kill_without_warning(self) -> None:
        self.life.killed_without_warning = True
        self.kill_if_running()

    def errors(self) -> list[str]:
        """What the log has at level error, and whatever in it is no log line."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                found.append(line)
                continue
            if entry.get("level") == "error":
                found.append(line)
        return found

    def close(self) -> None:
        """Ends the process where it still runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
        if self.log is not None:
            self.log.close()
