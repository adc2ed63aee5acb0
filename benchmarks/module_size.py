"""Calls a second through `Controller.handle` alone, by number of exchanges.

Every call takes the direct route and is answered.

    python benchmarks/module_size.py

Absolute figures depend on the machine; compare the ratios to the first row.
"""

from __future__ import annotations

import time

from peattrestle import interface as api
from peattrestle.control import Controller

MS = 1_000_000  # nanoseconds


def calls_a_second(exchanges: int, calls: int = 20_000) -> float:
    """Returns the rate of handling calls that go to each exchange in turn, one every simulated millisecond.

    Each is answered, and its try ends, half a millisecond after it arrives.
    """
    settings = {
        "agents": exchanges,
        "own_number": 0,
        "step": 5 * MS,
        "release_time": 300 * MS,
        "route_try_limit": 6,
        "bearer_types": ("line",),
        "gos_target:line": 1500 * MS,
        "holding:line": 1000 * MS,
    }
    controller = Controller(7, settings)
    entries = tuple(api.Entry(f"x{number}", number, "ready") for number in range(exchanges))
    controller.handle(0, [api.ListUpdated("full", entries)])
    load = {"free": 4000, "size": 4000}
    controller.handle(
        0, [api.LoadReported(f"x{number}", "served", 0, load) for number in range(1, exchanges)]
    )
    started = time.perf_counter()
    for call in range(calls):
        now = call * MS
        destination = 1 + call % (exchanges - 1)
        actions = controller.handle(
            now, [api.CallArrived(call, "line", now + 3000 * MS, destination, f"n{call}")]
        )
        assert isinstance(actions[0], api.SetUp), actions
        controller.handle(
            now + MS // 2,
            [
                api.TryAnswered(call, f"x{destination}", MS // 2, 0),
                api.TryEnded(call, f"x{destination}", "served", MS // 2, 0, True, load=load),
            ],
        )
    return calls / (time.perf_counter() - started)


def main() -> None:
    rates = {exchanges: max(calls_a_second(exchanges) for _ in range(3)) for exchanges in (6, 66, 132)}
    for exchanges, rate in rates.items():
        print(f"{exchanges:4d} exchanges  {rate:8.0f} calls/s  cost {rates[6] / rate:.2f} of that with 6")


if __name__ == "__main__":
    main()
