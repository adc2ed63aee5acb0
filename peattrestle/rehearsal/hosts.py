"""Where the agents of a rehearsal run: all in the virtual kernel, or each in a process of its own."""

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
    """`make` builds an agent; tests hand in one that is broken on purpose."""

    def __init__(self, kernel: VirtualKernel, world: World, agent_factory: AgentFactory = CallAgent) -> None:
        self.kernel, self.world, self.agent_factory = kernel, world, agent_factory
        self.processes: dict[int, VirtualProcess] = {}
        self.agents: dict[int, CallAgent] = {}
        self.stores: dict[int, Store] = {}
        self.killed: set[int] = set()
        self.runs = 0
        self.logs: list[tuple[int, str, str, str, dict[str, Any]]] = []

    def address(self, number: int) -> str:
        return f"127.2.{number // 250}.{number % 250 + 1}:2944"

    def start(self, number: int) -> None:
        if number in self.agents:
            return
        self.runs += 1
        seed = self.world.script.seed * 100_000 + self.runs
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
        self.killed.add(number)
        if number in self.agents:
            self.processes[number].kill()
            del self.agents[number], self.processes[number]

    def counts(self) -> dict[int, dict[str, int]]:
        return {number: dict(agent.counts.values) for number, agent in self.agents.items()}

    def stop(self) -> None:
        for number in list(self.agents):
            self.processes[number].kill()


def free_address(host: str) -> str:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class ProcessHosts:
    """Each agent is `python -m peattrestle agent run`, and ends when its standard input does: with us."""

    def __init__(self, world: World, folder: Path) -> None:
        self.world, self.folder = world, folder
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.addresses: dict[int, str] = {}
        self.killed: set[int] = set()

    def address(self, number: int) -> str:
        if number not in self.addresses:
            self.addresses[number] = free_address(f"127.3.{number // 250}.{number % 250 + 1}")
        return self.addresses[number]

    def start(self, number: int) -> None:
        if number in self.processes:
            return
        place = self.folder / f"a{number}"
        place.mkdir(parents=True, exist_ok=True)
        settings = self.world.agent_settings(number, self.address(number), str(place / "state"))
        text = schema.to_hcl(settings, "agent")
        text = text.replace('log_file = ""', f'log_file = "{place / "log"}"', 1)
        text = text.replace('counts_file = ""', f'counts_file = "{place / "counts.json"}"', 1)
        path = place / "agent.hcl"
        path.write_text(text + "\n", encoding="utf-8")
        self.processes[number] = subprocess.Popen(
            [sys.executable, "-m", "peattrestle", "agent", "run", "--while-stdin", str(path)],
            stdin=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            stderr=(place / "stderr").open("ab"),
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )

    def kill(self, number: int) -> None:
        self.killed.add(number)
        self.end(number, signal.SIGKILL)

    def end(self, number: int, how: int) -> None:
        process = self.processes.pop(number, None)
        if process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(how)
        if process.stdin is not None:
            process.stdin.close()
        try:
            process.wait(5)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def exited(self) -> list[int]:
        return [number for number, process in self.processes.items() if process.poll() is not None]

    def counts(self) -> dict[int, dict[str, int]]:
        """Ends the agents: they leave their counts as they stop."""
        out = {}
        for number in list(self.processes):
            with contextlib.suppress(ProcessLookupError):
                self.processes[number].send_signal(signal.SIGTERM)
        for number in list(self.processes):
            self.end(number, signal.SIGTERM)
            with contextlib.suppress(OSError, ValueError):
                out[number] = json.loads((self.folder / f"a{number}" / "counts.json").read_text())
        return out

    def stop(self) -> None:
        for number in list(self.processes):
            self.end(number, signal.SIGKILL)
