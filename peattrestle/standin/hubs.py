"""The exchange list in a stand-in registry: a key for each exchange."""

from __future__ import annotations

import json

from peattrestle.runtime import Kernel
from peattrestle.standin.exchange import StandinExchange
from peattrestle.standin.record import Record
from peattrestle.standin.registry import StandinRegistry

PREFIX = "/peattrestle/exchanges/"


class HubRegistry:
    """The same to a rehearsal as `ListSource`. Here the registry itself learns late, and tells at once."""

    def __init__(self, kernel: Kernel, record: Record, address: str, late_least: int, late_most: int) -> None:
        self.kernel, self.record = kernel, record
        self.late_least, self.late_most = late_least, late_most
        self.draw = kernel.chance("hub registry")
        self.exchanges: dict[str, tuple[StandinExchange, str]] = {}
        self.regions: dict[int, str] = {}
        self.registry = StandinRegistry(kernel, address)
        self.registry.on_told = self.told
        self.address = self.registry.address
        self._last: dict[str, int] = {}

    def set_state(self, exchange: StandinExchange, state: str) -> None:
        known = exchange.name in self.exchanges
        self.exchanges[exchange.name] = (exchange, state)
        if not known:
            self.write(exchange, state)
            return
        # Later words of one exchange never overtake earlier ones.
        at = self.kernel.now() + self.draw.randint(self.late_least, self.late_most)
        at = self._last[exchange.name] = max(at, self._last.get(exchange.name, 0) + 1)
        self.kernel.at(at, lambda: self.write(exchange, state))

    def write(self, exchange: StandinExchange, state: str) -> None:
        if state == "gone":
            self.registry.delete(PREFIX + exchange.name)
            return
        started = 0.0
        if exchange.started_at >= 0:
            started = (self.kernel.wall() - (self.kernel.now() - exchange.started_at)) / 1e9
        value = {
            "number": exchange.number,
            "state": state,
            "address": exchange.address,
            "zone": self.regions.get(exchange.number, ""),
            "started": started,
        }
        self.registry.put(PREFIX + exchange.name, json.dumps(value).encode())

    def told(self, agent: str, key: bytes, value: bytes | None) -> None:
        name = key.decode().removeprefix(PREFIX)
        state = "gone" if value is None else json.loads(value)["state"]
        self.record.add(self.kernel.now(), "told", "registry", agent, text=f"{name} {state}")

    def go_down(self) -> None:
        self.registry.leave()

    def recover(self) -> None:
        self.registry.come_back()
