"""Executes a shutdown plan: answers all callers, closes their connections, then stops the agent."""

from __future__ import annotations

from collections.abc import Callable, Sized
from typing import Protocol

from peattrestle.calls.core import Counts, Log
from peattrestle.platform.connections import LINGER_TIME, CallerConnections
from peattrestle.platform.releases import CallerReleases
from peattrestle.policy.shutdown import ANSWER_BEFORE_CLOSE, ShutdownPlan
from peattrestle.runtime import Coroutine, Kernel

MS = 1_000_000  # nanoseconds
POLL_INTERVAL = 10 * MS  # nanoseconds


class Stoppable(Protocol):
    """What a shutdown needs of the agent.

    `last_set_up_at` is the time of the last set-up request. While `refusing_all`, each is refused.
    `on_stopped` is called at the end.
    """

    kernel: Kernel
    connections: CallerConnections
    releases: CallerReleases
    counts: Counts
    log: Log
    last_set_up_at: int
    refusing_all: bool
    on_stopped: Callable[[], None]

    @property
    def calls(self) -> Sized:
        """The calls held."""
        ...

    def fail_open_calls(self, why: str) -> None:
        """Answers every open call as failed."""
        ...


def run_shutdown(agent: Stoppable, plan: ShutdownPlan) -> Coroutine[None]:
    """Stops the agent at `plan.close_at`, or earlier when it holds no calls and receives no set-ups."""
    kernel = agent.kernel
    while not plan.can_end(kernel.now() + ANSWER_BEFORE_CLOSE, agent.last_set_up_at, len(agent.calls)):
        yield from kernel.sleep(POLL_INTERVAL)
    agent.connections.stop_listening()
    agent.refusing_all = True
    agent.log("info", "refusing", calls=len(agent.calls), connections=len(agent.connections.active))
    yield from kernel.sleep(ANSWER_BEFORE_CLOSE)
    agent.fail_open_calls("shutdown deadline reached")
    agent.connections.begin_close_all("shutdown")
    owed = len(agent.releases.undelivered)
    agent.log("info", "closing", calls=len(agent.calls), releases_waiting=owed)
    deadline = kernel.now() + 2 * LINGER_TIME
    while not agent.connections.all_closed and kernel.now() < deadline:
        yield from kernel.sleep(POLL_INTERVAL)
    agent.log("info", "ended", **agent.counts.values)
    agent.on_stopped()
