"""A simulated exchange list that sends changes to each agent after a random delay."""

from __future__ import annotations

import json

from peattrestle.runtime import ConnectionLost, Coroutine, Kernel, Listener, Stream
from peattrestle.standin.exchange import SimulatedExchange
from peattrestle.standin.record import Record


class ListSource:
    """Serves the exchange list to agents as JSON lines.

    An exchange that runs and answers nothing stays listed as ready. `min_delay`, `max_delay`: bounds in
    nanoseconds of the random delay with which each agent learns of a change.
    """

    def __init__(self, kernel: Kernel, record: Record, address: str, min_delay: int, max_delay: int) -> None:
        self.kernel, self.record = kernel, record
        self.min_delay, self.max_delay = min_delay, max_delay
        self.rng = kernel.random_for("list source")
        self.exchanges: dict[str, tuple[SimulatedExchange, str]] = {}
        self.regions: dict[int, str] = {}
        self.subscribers: dict[str, Stream] = {}
        self.available = True
        self.listener: Listener = kernel.listen(address)
        self.address = self.listener.address
        kernel.spawn(self.run(), "list source")

    def run(self) -> Coroutine[None]:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                stream = yield from self.listener.accept()
            except ConnectionLost:
                return
            self.kernel.spawn(self.serve_subscriber(stream), f"list < {stream.peer}")

    def serve_subscriber(self, stream: Stream) -> Coroutine[None]:
        """Reads the name of an agent, sends it the full list and keeps the connection for changes."""
        name = ""
        try:
            buffer = b""
            while b"\n" not in buffer:
                data = yield from stream.read()
                if not data or not self.available:
                    return
                buffer += data
            name = buffer.split(b"\n")[0].decode("ascii", "replace")[:64]
            self.subscribers[name] = stream
            self.send(name, stream, "full", list(self.exchanges))
            while (yield from stream.read()):
                pass
        except ConnectionLost:
            pass
        finally:
            stream.close()
            if self.subscribers.get(name) is stream:
                del self.subscribers[name]

    def send(self, name: str, stream: Stream, form: str, exchanges: list[str]) -> None:
        """Sends the state of some exchanges to an agent; `form` is 'full' or 'delta'."""
        now, rows = self.kernel.now(), []
        for exchange_name in exchanges:
            exchange, state = self.exchanges[exchange_name]
            age = now - exchange.started_at if exchange.started_at >= 0 else -1
            rows.append(
                {
                    "exchange": exchange_name,
                    "number": exchange.number,
                    "state": state,
                    "address": exchange.address,
                    "zone": self.regions.get(exchange.number, ""),
                    "age": age,
                }
            )
            self.record.add(now, "told", "list", name, text=f"{exchange_name} {state}")
        stream.write(json.dumps({"form": form, "entries": rows}).encode() + b"\n")

    def set_state(self, exchange: SimulatedExchange, state: str) -> None:
        """Sets the state of an exchange; connected agents learn of it later, each after its own delay."""
        self.exchanges[exchange.name] = (exchange, state)
        for name in list(self.subscribers):
            delay = self.rng.randint(self.min_delay, self.max_delay)

            def send_change(name: str = name) -> None:
                stream = self.subscribers.get(name)
                if stream is not None and self.available:
                    self.send(name, stream, "delta", [exchange.name])

            self.kernel.call_at(self.kernel.now() + delay, send_change)

    def go_down(self) -> None:
        """Makes the list unreachable: connections end, and new ones are closed at once."""
        self.available = False
        for stream in list(self.subscribers.values()):
            stream.close()

    def recover(self) -> None:
        """Makes the list reachable again."""
        self.available = True
