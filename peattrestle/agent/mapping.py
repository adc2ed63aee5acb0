"""The agent's settings as the module's flat map, and replies as the module's outcomes: tables only."""

from __future__ import annotations

from typing import Any

from peattrestle.h248.package import REFUSED, Outcome
from peattrestle.settings.agent import Agent

# Cause in a refusal -> result of the route try. A set-up without circuits held nothing: it was never sent on.
RESULTS = {
    "no_circuit": "moot",
    "turned_back": "full",
    "beyond_full": "full",
    "processor_full": "full",
    "lines_busy": "error",
}


def module_settings(agent: Agent) -> dict[str, Any]:
    rules = agent.rules
    flat: dict[str, Any] = {
        "agents": agent.agents,
        "own_number": agent.number,
        "topology": "mesh",
        "discovery": "push",
        "step": rules.answer_margin,
        "release_time": rules.release_time,
        "drain_grace": rules.drain_grace,
        "route_try_limit": rules.route_try_limit,
        "come_back": rules.come_back_limit > 0,
        "come_back_limit": rules.come_back_limit,
        "cold_from": rules.cold_from,
        "cold_time": rules.cold_time,
        "fall_time": rules.fall_time,
        "fall_multiple": rules.fall_multiple,
        "repeat_gap": agent.repeat_gap,
        "bearer_types": tuple(one.label for one in agent.bearer),
    }
    for one in agent.bearer:
        flat[f"gos_target:{one.label}"] = one.gos_target
        flat[f"abandon_time:{one.label}"] = one.abandon_time
        flat[f"revenue:{one.label}"] = one.revenue
        flat[f"late_revenue:{one.label}"] = one.late_revenue
        flat[f"holding:{one.label}"] = one.holding
        flat[f"effect:{one.label}"] = one.effect
    return flat


def result_of(outcome: Outcome) -> tuple[str, str]:
    """Result and cause of a route try that was refused or failed."""
    if outcome.code == REFUSED:
        return RESULTS.get(outcome.cause, "full"), outcome.cause
    return "error", outcome.cause
