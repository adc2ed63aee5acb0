"""A controller with a small network around it; times are given in milliseconds."""

from __future__ import annotations

from typing import Any

from peattrestle import interface as api
from peattrestle.control import Controller

MS = 1_000_000
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
    """Exchange 0 with groups to all others, named 'x1' and so on, 30 circuits each."""

    def __init__(
        self,
        free: dict[int, int] | None = None,
        seed: int = 7,
        settings: dict[str, Any] | None = None,
        exchanges: int = 4,
    ) -> None:
        self.controller = Controller(seed, SETTINGS | (settings or {}))
        self.now = 0
        self.tries: dict[int, int] = {}
        self.at(0, api.Listed("cached", tuple(api.Entry(f"x{n}", n, "ready") for n in range(exchanges))))
        for number in range(1, exchanges):
            self.free(number, (free or {}).get(number, 30))

    def at(self, ms: float, *events: api.Event) -> list[api.Action]:
        self.now = int(ms * MS)
        return self.controller.handle(self.now, list(events))

    def free(self, number: int, free: int) -> None:
        load = {"free": free, "size": 30}
        assert self.at(self.now / MS, api.Reported(f"x{number}", "served", 0, load)) == []

    def call(
        self, ms: float, call: int, to: int = 1, patience: float = 3000, **more: Any
    ) -> list[api.Action]:
        abandon_at = int((ms + patience) * MS)
        fields: dict[str, Any] = {"bearer_type": "line", "number": f"n{call}"} | more
        return self.at(ms, api.CallArrived(call, abandon_at=abandon_at, destination=to, **fields))

    def ended(self, ms: float, call: int, by: int, result: str, **more: Any) -> list[api.Action]:
        fields: dict[str, Any] = {"delay": 50 * MS, "done": False} | more
        self.tries[call] = self.tries.get(call, -1) + 1
        return self.at(ms, api.TryEnded(call, f"x{by}", result, route_try=self.tries[call], **fields))

    def stood(self, ms: float, call: int, by: int, delay: float = 50) -> list[api.Action]:
        return self.at(ms, api.Stood(call, f"x{by}", int(delay * MS), 0))

    def state(self, ms: float, number: int, state: str, started: float = 0) -> list[api.Action]:
        entry = api.Entry(f"x{number}", number, state, int(started * MS))
        return self.at(ms, api.Listed("delta", (entry,)))


def sent(actions: list[api.Action]) -> list[str]:
    return [one.exchange for one in actions if isinstance(one, api.SetUp)]


def answers(actions: list[api.Action]) -> list[str]:
    return [type(one).__name__ for one in actions if isinstance(one, (api.Block, api.Abort))]
