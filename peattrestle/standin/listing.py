"""The stand-in exchange list: pushes to every agent, late, and knows only whether a processor runs."""

from __future__ import annotations

import json

from peattrestle.runtime import Coroutine, Kernel, Listener, Lost, Stream
from peattrestle.standin.exchange import StandinExchange
from peattrestle.standin.record import Record


class ListSource:
    """`late_least`, `late_most`: how much later than the fact an agent is told, drawn for each agent."""

    def __init__(self, kernel: Kernel, record: Record, address: str, late_least: int, late_most: int) -> None:
        self.kernel, self.record = kernel, record
        self.late_least, self.late_most = late_least, late_most
        self.draw = kernel.chance("list source")
        self.exchanges: dict[str, tuple[StandinExchange, str]] = {}
        self.regions: dict[int, str] = {}
        self.followers: dict[str, Stream] = {}
        self.present = True
        self.listener: Listener = kernel.listen(address)
        self.address = self.listener.address
        kernel.spawn(self.run(), "list source")

    def run(self) -> Coroutine[None]:
        while True:
            try:
                stream = yield from self.listener.accept()
            except Lost:
                return
            self.kernel.spawn(self.follower(stream), f"list < {stream.peer}")

    def follower(self, stream: Stream) -> Coroutine[None]:
        name = ""
        try:
            held = b""
            while b"\n" not in held:
                data = yield from stream.read()
                if not data or not self.present:
                    return
                held += data
            name = held.split(b"\n")[0].decode("ascii", "replace")[:64]
            self.followers[name] = stream
            self.send(name, stream, "full", list(self.exchanges))
            while (yield from stream.read()):
                pass
        except Lost:
            pass
        finally:
            stream.close()
            if self.followers.get(name) is stream:
                del self.followers[name]

    def send(self, name: str, stream: Stream, form: str, exchanges: list[str]) -> None:
        now, rows = self.kernel.now(), []
        for one in exchanges:
            exchange, state = self.exchanges[one]
            age = now - exchange.started_at if exchange.started_at >= 0 else -1
            rows.append(
                {
                    "exchange": one,
                    "number": exchange.number,
                    "state": state,
                    "address": exchange.address,
                    "zone": self.regions.get(exchange.number, ""),
                    "age": age,
                }
            )
            self.record.add(now, "told", "list", name, text=f"{one} {state}")
        stream.write(json.dumps({"form": form, "entries": rows}).encode() + b"\n")

    def set_state(self, exchange: StandinExchange, state: str) -> None:
        """What the list knows from now on; agents are told later, each at its own time."""
        self.exchanges[exchange.name] = (exchange, state)
        for name in list(self.followers):
            late = self.draw.randint(self.late_least, self.late_most)

            def tell(name: str = name) -> None:
                stream = self.followers.get(name)
                if stream is not None and self.present:
                    self.send(name, stream, "delta", [exchange.name])

            self.kernel.at(self.kernel.now() + late, tell)

    def go_down(self) -> None:
        """Unreachable: connections end, and new ones are closed at once."""
        self.present = False
        for stream in list(self.followers.values()):
            stream.close()

    def recover(self) -> None:
        self.present = True
