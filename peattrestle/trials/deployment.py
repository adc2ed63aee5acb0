"""The deployment of one trial: addresses, time limits and the configuration file of each call agent."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

MS = 1_000_000  # nanoseconds
US = 1_000  # nanoseconds
BEARER_TYPE = "line"
MAX_COUNTED_DEADLINE = 3_000 * MS  # the platform counts a longer deadline as this
KILL_GRACE = 700 * MS  # from SIGTERM to the earliest SIGKILL, beyond the counted deadline
FALL_WINDOW = 1_000 * MS  # in which set-ups to a cold exchange are counted
COLD_TIME = 14_000 * MS  # after its start, an exchange counts as cold for this long
# Third byte of the loopback addresses that the first agent uses.
FIRST_EXCHANGE_SUBNET, FIRST_FEED_SUBNET = 100, 200


@dataclass(slots=True, frozen=True)
class Deployment:
    """Sizes, limits and addresses. Times are in nanoseconds.

    `deadline` is the longest time that a caller waits for its answer, `answer_target` the time aimed at,
    `memory_limit_mb` is in MiB, `network` the second byte of the loopback addresses.
    """

    agents: int = 1
    exchanges: int = 3
    deadline: int = 3_000 * MS
    answer_target: int = 400 * MS
    holding_time: int = 1_500 * MS
    release_time: int = 150 * MS
    drain_grace: int = 1_000 * MS
    connect_timeout: int = 500 * MS
    socket_limit: int = 256
    memory_limit_mb: int = 192
    network: int = 10
    port: int = 3868

    @property
    def kill_delay(self) -> int:
        """Time from SIGTERM to the earliest SIGKILL (DAYS.md, "New configurations and restarts")."""
        return min(self.deadline, MAX_COUNTED_DEADLINE) + KILL_GRACE

    def agent_address(self, agent: int) -> str:
        """Returns the address on which an agent serves its callers."""
        return f"127.{self.network}.0.{agent + 1}:{self.port}"

    def exchange_address(self, number: int, agent: int) -> str:
        """Returns an exchange's address for one agent; no two agents use the same one (BENCH.md)."""
        return f"127.{self.network}.{FIRST_EXCHANGE_SUBNET + agent}.{number + 1}:{self.port}"

    def feed_address(self, address_index: int, agent: int) -> str:
        """Returns one of the feed's addresses for one agent; no two agents use the same one."""
        return f"127.{self.network}.{FIRST_FEED_SUBNET + agent}.{address_index + 1}:{self.port}"

    def settings(self, own_number: int) -> dict[str, Any]:
        """Returns the settings as the platform writes them; times are in microseconds."""
        return {
            "Caps": {
                "AttemptsCap": 6,
                "DialTimeoutUs": self.connect_timeout // US,
                "MaxRetryAfterUs": 2_000_000,
                "RetryAfter": True,
            },
            "Classes": [
                {
                    "Name": BEARER_TYPE,
                    "AimUs": self.answer_target // US,
                    "HardLimitUs": self.deadline // US,
                    "Worth": 1.0,
                    "Semantics": "read_like",
                }
            ],
            "Discovery": "pushed",
            "FamilyInfo": {
                "ClearWaitUs": self.release_time // US,
                "HoldingUs": [self.holding_time // US],
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
        self, path: Path, agent: int, seed: int, known_events: dict[str, Any], feed: str
    ) -> None:
        """Replaces the configuration file of one agent atomically. Raises OSError."""
        configuration = {
            "name": f"n{agent}",
            "listen": self.agent_address(agent),
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_limit_mb, "sockets": self.socket_limit},
            "feed": feed,
            "known": known_events,
            "settings": self.settings(agent),
        }
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(configuration))
        temporary.replace(path)
