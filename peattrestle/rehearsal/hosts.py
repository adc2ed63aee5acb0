"""Where the agents of a rehearsal run: all on the virtual kernel, or each in a process of its own."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from peattrestle.agent.agent import CallAgent
from peattrestle.agent.listing import Store
from peattrestle.rehearsal.world import World
from peattrestle.runtime.virtual import VirtualKernel, VirtualProcess
from peattrestle.settings import schema

AgentFactory = Callable[..., CallAgent]


class VirtualHosts:
    """Runs the agents on the virtual kernel; `agent_factory` builds an agent, in tests a faulty one.

    `killed`: numbers of the agents that were killed at some time. `stores`: what agents have stored, kept
    over a restart. `logs`: time in nanoseconds, agent, level, text and fields of log lines above debug level.
    """

    def __init__(self, kernel: VirtualKernel, world: World, agent_factory: AgentFactory = CallAgent) -> None:
        self.kernel, self.world, self.agent_factory = kernel, world, agent_factory
        self.processes: dict[int, VirtualProcess] = {}
        self.agents: dict[int, CallAgent] = {}
        self.stores: dict[int, Store] = {}
        self.killed: set[int] = set()
        self.start_count = 0
        self.logs: list[tuple[int, str, str, str, dict[str, Any]]] = []

    def address(self, number: int) -> str:
        """The callers' address of an agent."""
        return f"127.2.{number // 250}.{number % 250 + 1}:2944"

    def start(self, number: int) -> None:
        """Starts an agent, if it does not run."""
        if number in self.agents:
            return
        self.start_count += 1
        seed = self.world.script.seed * 100_000 + self.start_count
        process = VirtualProcess(self.kernel, seed)
        process.on_crash = self.kernel.on_crash = lambda name, error: self.kernel.crashes.append(
            (name, error)
        )
        settings = self.world.agent_settings(number, self.address(number))

        def log(level: str, text: str, **fields: Any) -> None:
            if level != "debug" and len(self.logs) < 100_000:
                self.logs.append((self.kernel.now(), settings.label, level, text, fields))

        agent = self.agent_factory(process, settings, log, self.stores.setdefault(number, Store()), seed)
        self.processes[number], self.agents[number] = process, agent
        agent.start()

    def kill(self, number: int) -> None:
        """Kills an agent, as its process would be."""
        self.killed.add(number)
        if number in self.agents:
            self.processes[number].kill()
            del self.agents[number], self.processes[number]

    def counts(self) -> dict[int, dict[str, int]]:
        """The counts of each running agent, by its number."""
        return {number: dict(agent.counts.values) for number, agent in self.agents.items()}

    def stop(self) -> None:
        """Ends all agents."""
        for number in list(self.agents):
            self.processes[number].kill()


def free_address(host: str) -> str:
    """An address on `host` with a port that is free at the moment."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class ProcessHosts:
    """Runs each agent as a process `python -m peattrestle agent run`.

    An agent ends when its standard input is closed, so none outlives the rehearsal. Each has a folder below
    `folder` with its settings, state, log and counts.
    """

    def __init__(self, world: World, folder: Path) -> None:
        self.world, self.folder = world, folder
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.addresses: dict[int, str] = {}
        self.killed: set[int] = set()

    def address(self, number: int) -> str:
        """The callers' address of an agent, with a free port chosen at the first call."""
        if number not in self.addresses:
            self.addresses[number] = free_address(f"127.3.{number // 250}.{number % 250 + 1}")
        return self.addresses[number]

    def start(self, number: int) -> None:
        """Starts an agent, if it does not run."""
        if number in self.processes:
            return
        agent_folder = self.folder / f"a{number}"
        agent_folder.mkdir(parents=True, exist_ok=True)
        settings = self.world.agent_settings(number, self.address(number), str(agent_folder / "state"))
        text = schema.to_hcl(settings, "agent")
        text = text.replace('log_file = ""', f'log_file = "{agent_folder / "log"}"', 1)
        text = text.replace('counts_file = ""', f'counts_file = "{agent_folder / "counts.json"}"', 1)
        path = agent_folder / "agent.hcl"
        path.write_text(text + "\n", encoding="utf-8")
        self.processes[number] = subprocess.Popen(
            [sys.executable, "-m", "peattrestle", "agent", "run", "--while-stdin", str(path)],
            stdin=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            stderr=(agent_folder / "stderr").open("ab"),
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )

    def kill(self, number: int) -> None:
        """Kills an agent."""
        self.killed.add(number)
        self.end(number, signal.SIGKILL)

    def end(self, number: int, signal_number: int) -> None:
        """Sends a signal to an agent and waits; an agent that still runs after 5 s is killed."""
        process = self.processes.pop(number, None)
        if process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal_number)
        if process.stdin is not None:
            process.stdin.close()
        try:
            process.wait(5)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def exited(self) -> list[int]:
        """Numbers of the agents that have ended by themselves."""
        return [number for number, process in self.processes.items() if process.poll() is not None]

    def counts(self) -> dict[int, dict[str, int]]:
        """Ends the agents and returns their counts, which they write when they stop; by number."""
        counts = {}
        for number in list(self.processes):
            with contextlib.suppress(ProcessLookupError):
                self.processes[number].send_signal(signal.SIGTERM)
        for number in list(self.processes):
            self.end(number, signal.SIGTERM)
            with contextlib.suppress(OSError, ValueError):
                counts[number] = json.loads((self.folder / f"a{number}" / "counts.json").read_text())
        return counts

    def stop(self) -> None:
        """Kills all agents."""
        for number in list(self.processes):
            self.end(number, signal.SIGKILL)
