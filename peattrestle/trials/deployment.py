"""What one trial runs on: addresses, time limits, and the configuration file of each call agent."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

MS = 1_000_000
US = 1_000
BEARER_TYPE = "line"
LONGEST_DEADLINE_COUNTED = 3_000 * MS
KILL_DELAY = 700 * MS
FALL_WINDOW = 1_000 * MS
COLD_TIME = 14_000 * MS
FIRST_EXCHANGE_NET, FIRST_FEED_NET = 100, 200


@dataclass(slots=True, frozen=True)
class Deployment:
    """Times in nanoseconds. `deadline` is the longest time that a caller waits for its answer."""

    agents: int = 1
    exchanges: int = 3
    deadline: int = 3_000 * MS
    target: int = 400 * MS
    holding: int = 1_500 * MS
    release_time: int = 150 * MS
    drain_grace: int = 1_000 * MS
    dial_timeout: int = 500 * MS
    sockets: int = 256
    network: int = 10
    port: int = 3868

    @property
    def kill_after(self) -> int:
        """Earliest SIGKILL after SIGTERM (DAYS.md, "New configurations and restarts")."""
        return min(self.deadline, LONGEST_DEADLINE_COUNTED) + KILL_DELAY

    def agent_address(self, agent: int) -> str:
        return f"127.{self.network}.0.{agent + 1}:{self.port}"

    def exchange_address(self, number: int, agent: int) -> str:
        """Each agent reaches every party at an address that is its own alone (BENCH.md)."""
        return f"127.{self.network}.{FIRST_EXCHANGE_NET + agent}.{number + 1}:{self.port}"

    def feed_address(self, place: int, agent: int) -> str:
        return f"127.{self.network}.{FIRST_FEED_NET + agent}.{place + 1}:{self.port}"

    def settings(self, own_number: int) -> dict[str, Any]:
        """The settings as the platform writes them; times in microseconds."""
        return {
            "Caps": {
                "AttemptsCap": 6,
                "DialTimeoutUs": self.dial_timeout // US,
                "MaxRetryAfterUs": 2_000_000,
                "RetryAfter": True,
            },
            "Classes": [
                {
                    "Name": BEARER_TYPE,
                    "AimUs": self.target // US,
                    "HardLimitUs": self.deadline // US,
                    "Worth": 1.0,
                    "Semantics": "read_like",
                }
            ],
            "Discovery": "pushed",
            "FamilyInfo": {
                "ClearWaitUs": self.release_time // US,
                "HoldingUs": [self.holding // US],
                "OwnNumber": own_number,
                "Topology": "mesh",
            },
            "NInstances": self.agents,
            "Report": {"Fields": ["free", "size", "pending", "can_take"]},
            "Rules": {
                "ColdFrom": 0.3,
                "ColdUs": COLD_TIME // US,
                "FallUs": FALL_WINDOW // US,
                "OverloadFactor": 2.0,
                "StopSendingWithinUs": self.drain_grace // US,
            },
            "StepUs": 1000,
        }

    def write_configuration(
        self, path: Path, agent: int, seed: int, known: dict[str, Any], feed: str
    ) -> None:
        """Replaces the configuration file of one agent in one step."""
        tree = {
            "name": f"n{agent}",
            "listen": self.agent_address(agent),
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "feed": feed,
            "known": known,
            "settings": self.settings(agent),
        }
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(tree))
        fresh.replace(path)
