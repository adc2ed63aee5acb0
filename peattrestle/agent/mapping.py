"""Translates settings and replies into the terms of the routing module (`interface`, `control`)."""

from __future__ import annotations

from typing import Any

from peattrestle.h248.package import REFUSED, Outcome
from peattrestle.settings.agent import Agent

# Cause of a refusal -> result of the route try. 'moot': without a free circuit the set-up was never sent on,
# and nothing is held for it.
RESULT_BY_CAUSE = {
    "no_circuit": "moot",
    "turned_back": "full",
    "beyond_full": "full",
    "processor_full": "full",
    "lines_busy": "error",
}


def module_settings(settings: Agent) -> dict[str, Any]:
    """The routing module's flat settings of an agent."""
    rules = settings.rules
    flat_settings: dict[str, Any] = {
        "agents": settings.agents,
        "own_number": settings.number,
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
        "repeat_gap": settings.repeat_gap,
        "bearer_types": tuple(bearer.label for bearer in settings.bearer),
    }
    for bearer in settings.bearer:
        flat_settings[f"gos_target:{bearer.label}"] = bearer.gos_target
        flat_settings[f"abandon_time:{bearer.label}"] = bearer.abandon_time
        flat_settings[f"revenue:{bearer.label}"] = bearer.revenue
        flat_settings[f"late_revenue:{bearer.label}"] = bearer.late_revenue
        flat_settings[f"holding:{bearer.label}"] = bearer.holding
        flat_settings[f"effect:{bearer.label}"] = bearer.effect
    return flat_settings


def result_of(outcome: Outcome) -> tuple[str, str]:
    """Result and cause of a route try that was refused or failed."""
    if outcome.code == REFUSED:
        return RESULT_BY_CAUSE.get(outcome.cause, "full"), outcome.cause
    return "error", outcome.cause
