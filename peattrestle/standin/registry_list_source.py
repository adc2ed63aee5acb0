"""The exchange list kept in a simulated registry, with one key for each exchange."""

from __future__ import annotations

import json

from peattrestle.runtime import Kernel
from peattrestle.standin.exchange import SimulatedExchange
from peattrestle.standin.record import Record
from peattrestle.standin.registry import SimulatedRegistry

PREFIX = "/peattrestle/exchanges/"


class RegistryListSource:
    """A replacement for `ListSource`: changes reach the registry late, and agents at once.

    `min_delay`, `max_delay`: bounds in nanoseconds of the random delay before a change is written.
    """

    def __init__(self, kernel: Kernel, record: Record, address: str, min_delay: int, max_delay: int) -> None:
        self.kernel, self.record = kernel, record
        self.min_delay, self.max_delay = min_delay, max_delay
        self.rng = kernel.random_for("hub registry")
        self.exchanges: dict[str, tuple[SimulatedExchange, str]] = {}
        self.regions: dict[int, str] = {}
        self.registry = SimulatedRegistry(kernel, address)
        self.registry.on_sent = self.record_sent
        self.address = self.registry.address
        self._last_change: dict[str, int] = {}  # time of the last write, by exchange

    def set_state(self, exchange: SimulatedExchange, state: str) -> None:
        """Sets the state of an exchange in the registry, after a random delay if it is known already."""
        is_known = exchange.name in self.exchanges
        self.exchanges[exchange.name] = (exchange, state)
        if not is_known:
            self.write(exchange, state)
            return
        # Changes of one exchange are never reordered.
        write_at = self.kernel.now() + self.rng.randint(self.min_delay, self.max_delay)
        write_at = self._last_change[exchange.name] = max(
            write_at, self._last_change.get(exchange.name, 0) + 1
        )
        self.kernel.call_at(write_at, lambda: self.write(exchange, state))

    def write(self, exchange: SimulatedExchange, state: str) -> None:
        """Writes the state of an exchange to the registry."""
        if state == "gone":
            self.registry.delete(PREFIX + exchange.name)
            return
        started = 0.0
        if exchange.started_at >= 0:
            started = (self.kernel.wall_time() - (self.kernel.now() - exchange.started_at)) / 1e9
        value = {
            "number": exchange.number,
            "state": state,
            "address": exchange.address,
            "zone": self.regions.get(exchange.number, ""),
            "started": started,
        }
        self.registry.put(PREFIX + exchange.name, json.dumps(value).encode())

    def record_sent(self, agent: str, key: bytes, value: bytes | None) -> None:
        """Records what an agent has been sent."""
        name = key.decode().removeprefix(PREFIX)
        state = "gone" if value is None else json.loads(value)["state"]
        self.record.add(self.kernel.now(), "told", "registry", agent, text=f"{name} {state}")

    def go_down(self) -> None:
        """Makes the registry unreachable."""
        self.registry.go_down()

    def recover(self) -> None:
        """Makes the registry reachable again."""
        self.registry.recover()
