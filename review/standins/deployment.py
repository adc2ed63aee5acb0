"""A small deployment: the call agent as a process, started by the deploy file's command, and its settings."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from standins.callers import Callers
from standins.feed import Feed
from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIME = 10.0  # seconds


class CannotRun(Exception):
    """The case could not be played."""


def settings(
    bearer_types: list[tuple[str, int, int]],
    agents: int,
    release_us: int,
    drain_grace_us: int,
    overload_factor: float,
    fall_us: int,
) -> dict[str, Any]:
    """The settings as WIRE describes them; `bearer_types`: name, aim and mean holding time, times in us."""
    return {
        "Areas": ["east"],
        "Caps": {
            "AttemptsCap": 6,
            "Cancel": True,
            "DialTimeoutUs": 500_000,
            "KeepaliveUs": 600_000_000,
            "MaxOpen": 20_000,
            "MaxRetryAfterUs": 2_000_000,
            "MayTell": False,
            "ParallelTries": False,
            "Probing": True,
            "RetryAfter": True,
            "StreamsPerConn": 1_048_576,
        },
        "Classes": [
            {
                "AimUs": aim,
                "Group": "all",
                "HardLimitUs": 9_000_000,
                "LateWorth": 0.1,
                "Name": name,
                "Semantics": "read_like",
                "Streaming": True,
                "WindowUs": 5_000_000,
                "Worth": 1.0,
            }
            for name, aim, _ in bearer_types
        ],
        "Clients": {"MarksRetry": False},
        "Discovery": "pushed",
        "FamilyInfo": {
            "Advice": False,
            "AllowedPools": [],
            "ClassWidth": [1] * len(bearer_types),
            "ClearWaitUs": release_us,
            "HoldingUs": [holding for _, _, holding in bearer_types],
            "OwnNumber": 0,
            "RemoteLoad": "inline",
            "ResendUs": 0,
            "TellsWait": False,
            "Topology": "mesh",
        },
        "KindOfService": "trunks",
        "MachineTypes": ["single-core"],
        "Me": 0,
        "MyZone": "east",
        "NInstances": agents,
        "OverShareWorth": 0.1,
        "Projects": [],
        "Report": {"Fields": ["free", "size", "pending", "can_take"], "How": "inline"},
        "Rules": {
            "AnswerSlackUs": 20_000,
            "AskWithinUs": 10_000_000,
            "ColdFrom": 0.3,
            "ColdUs": 14_000_000,
            "FallUs": fall_us,
            "OverloadFactor": overload_factor,
            "StopSendingWithinUs": drain_grace_us,
        },
        "StepUs": 5_000,
        "Tier": 0,
        "Tiers": ["hubs"],
        "Weights": "off",
        "WorthBy": "request",
    }


def senegal_render(agents: int) -> dict[str, Any]:
    """Settings like those of senegal-render."""
    types = [("line-render", 1_500_000, 10_500_000), ("reel-render", 1_500_000, 12_600_000)]
    return settings(types, agents, 300_000, 1_000_000, 2.0, 1_000_000)


class CallAgent:
    """One call agent as a process; its output goes to a file in a temporary folder."""

    def __init__(self, record: Record, feed: Feed, agent_settings: dict[str, Any]) -> None:
        self.record, self.feed, self.settings = record, feed, agent_settings
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = "{}:{}".format(*free.getsockname())
        self.folder = tempfile.TemporaryDirectory()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process with the command `run` of the deploy file. Raises OSError."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as source:
            command = tomllib.load(source)["run"]
        folder = Path(self.folder.name)
        (folder / "tmp").mkdir(exist_ok=True)
        configuration = {
            "name": "n0",
            "listen": self.address,
            "seed": f"{time.time_ns() & 0xFFFFFFFFFFFFFFFF:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "feed": self.feed.address,
            "known": self.feed.known(),
            "settings": self.settings,
        }
        (folder / "config.json").write_text(json.dumps(configuration))
        environment = os.environ | {
            "LB_CONFIG": str(folder / "config.json"),
            "LB_NAME": "n0",
            "LB_LISTEN": self.address,
            "TMPDIR": str(folder / "tmp"),
            "PEATTRESTLE_DEBUG_LINES": "5000",
        }
        with (folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.line("call agent", f"started: {command}")

    async def wait_until_ready(self, callers: Callers) -> None:
        """Waits until the call agent passes its test. Raises CannotRun."""
        until = self.record.now() + READY_TIME
        while self.record.now() < until:
            if self.process is None or self.process.poll() is not None:
                break
            if await callers.passes_test():
                self.record.line("call agent", "passed its test")
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the call agent was not ready in 10 s")

    def close(self) -> None:
        """Ends the process, and copies its log to the end of the record."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        log = Path(self.folder.name) / "log"
        if log.exists():
            self.record.output.write("\nThe call agent's own log (not used by the check):\n")
            for line in log.read_text(errors="replace").splitlines():
                self.record.output.write(f"{line[:300]}\n")
        self.record.output.flush()
        self.folder.cleanup()
