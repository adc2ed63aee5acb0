"""Carries out a shutdown plan: callers are answered, then their connections are closed, then it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from peattrestle.platform.connections import LINGER
from peattrestle.policy.shutdown import ANSWER_BEFORE_CLOSE, ShutdownPlan
from peattrestle.runtime import Coroutine

if TYPE_CHECKING:
    from peattrestle.platform.agent import Agent

MS = 1_000_000
POLL = 10 * MS


def carry_out(agent: Agent, plan: ShutdownPlan) -> Coroutine[None]:
    """Ends the agent at `plan.close_at`, or earlier where nothing is held and nobody calls."""
    kernel = agent.kernel
    while not plan.may_end(kernel.now() + ANSWER_BEFORE_CLOSE, agent.last_set_up_at, len(agent.calls)):
        yield from kernel.sleep(POLL)
    agent.connections.stop_listening()
    agent.refusing = True
    agent.log("info", "refusing", calls=len(agent.calls), connections=len(agent.connections.held))
    yield from kernel.sleep(ANSWER_BEFORE_CLOSE)
    agent.answer_all_open("the shutdown's time is up")
    agent.connections.end_all("shutdown")
    agent.log("info", "closing", calls=len(agent.calls))
    until = kernel.now() + 2 * LINGER
    while not agent.connections.all_closed and kernel.now() < until:
        yield from kernel.sleep(POLL)
    agent.log("info", "ended", **agent.counts.values)
    agent.ended()
