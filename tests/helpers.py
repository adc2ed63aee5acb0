"""A controller in a small network of exchanges; times are in milliseconds."""

from __future__ import annotations

from typing import Any

from peattrestle import interface as api
from peattrestle.control import Controller

MS = 1_000_000  # nanoseconds
SETTINGS: dict[str, Any] = {
    "agents": 4,
    "own_number": 0,
    "topology": "mesh",
    "step": 5 * MS,
    "release_time": 300 * MS,
    "route_try_limit": 6,
    "come_back": True,
    "come_back_limit": 2000 * MS,
    "cold_from": 0.3,
    "cold_time": 14_000 * MS,
    "fall_time": 1000 * MS,
    "fall_multiple": 2.0,
    "bearer_types": ("line",),
    "gos_target:line": 1500 * MS,
    "revenue:line": 1.0,
    "holding:line": 10_000 * MS,
    "effect:line": "safe",
}


class Agent:
    """Agent of exchange 0, with trunk groups of 30 circuits to all others, named 'x1' and so on.

    Each method passes an event to the controller and returns its actions.
    """

    def __init__(
        self,
        free: dict[int, int] | None = None,
        seed: int = 7,
        settings: dict[str, Any] | None = None,
        exchanges: int = 4,
    ) -> None:
        self.controller = Controller(seed, SETTINGS | (settings or {}))
        self.now = 0  # ns
        self.tries: dict[int, int] = {}  # index of the last try that ended, by call
        self.handle_at(
            0, api.ListUpdated("cached", tuple(api.Entry(f"x{n}", n, "ready") for n in range(exchanges)))
        )
        for number in range(1, exchanges):
            self.report_free(number, (free or {}).get(number, 30))

    def handle_at(self, ms: float, *events: api.Event) -> list[api.Action]:
        self.now = int(ms * MS)
        return self.controller.handle(self.now, list(events))

    def report_free(self, number: int, free: int) -> None:
        load = {"free": free, "size": 30}
        assert self.handle_at(self.now / MS, api.LoadReported(f"x{number}", "served", 0, load)) == []

    def call(
        self, ms: float, call: int, to: int = 1, patience: float = 3000, **overrides: Any
    ) -> list[api.Action]:
        """A call to the exchange with the number `to`, whose caller gives up after `patience`."""
        abandon_at = int((ms + patience) * MS)
        fields: dict[str, Any] = {"bearer_type": "line", "number": f"n{call}"} | overrides
        return self.handle_at(ms, api.CallArrived(call, abandon_at=abandon_at, destination=to, **fields))

    def try_ended(self, ms: float, call: int, number: int, result: str, **overrides: Any) -> list[api.Action]:
        fields: dict[str, Any] = {"delay": 50 * MS, "done": False} | overrides
        self.tries[call] = self.tries.get(call, -1) + 1
        return self.handle_at(
            ms, api.TryEnded(call, f"x{number}", result, route_try=self.tries[call], **fields)
        )

    def answered(self, ms: float, call: int, number: int, delay: float = 50) -> list[api.Action]:
        return self.handle_at(ms, api.TryAnswered(call, f"x{number}", int(delay * MS), 0))

    def set_state(self, ms: float, number: int, state: str, started: float = 0) -> list[api.Action]:
        entry = api.Entry(f"x{number}", number, state, int(started * MS))
        return self.handle_at(ms, api.ListUpdated("delta", (entry,)))


def set_up_routes(actions: list[api.Action]) -> list[str]:
    """Names of the exchanges that set-ups are sent to."""
    return [action.exchange for action in actions if isinstance(action, api.SetUp)]


def final_answers(actions: list[api.Action]) -> list[str]:
    """Types of the final answers: 'Block' or 'Abort'."""
    return [type(action).__name__ for action in actions if isinstance(action, (api.Block, api.Abort))]
