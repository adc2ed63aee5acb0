"""A stand-in control feed: numbered events as server-sent events, with outages."""

from __future__ import annotations

import enum
import json
from dataclasses import dataclass
from typing import Any

from peattrestle.runtime import ConnectionLost, Coroutine, Kernel, Listener, Stream
from peattrestle.trials.deployment import Deployment

MS = 1_000_000  # nanoseconds
COMMENT_INTERVAL = 1_000 * MS
SILENT_DURATION = 60_000 * MS  # a connection opened during a silent outage gets nothing for so long


class FeedState(enum.Enum):
    """How the feed treats its subscribers."""

    UP = "up"
    DOWN = "down"
    SILENT = "silent"
    REFUSING = "refusing"
    SLOW = "slow"


@dataclass(slots=True, frozen=True)
class Host:
    """An exchange as the feed lists it.

    `address_index` selects the address on which it listens, `born_ms` is a late start in Unix milliseconds.
    """

    name: str
    number: int
    address_index: int
    state: str = "SERVING"
    born_ms: int = 0

    def payload(self, address: str) -> dict[str, Any]:
        """Returns the exchange as it is encoded in an event."""
        return {
            "host": self.name,
            "dial": address,
            "block": self.number,
            "health": self.state,
            "born_ms": self.born_ms,
        }


@dataclass(slots=True)
class Event:
    """A published event: the hosts that have changed, or all of them in a `snapshot`."""

    number: int
    hosts: list[Host]
    snapshot: bool


class StandInFeed:
    """Serves server-sent events: all after `Last-Event-ID`, then each new one and a comment each second."""

    def __init__(self, kernel: Kernel, deployment: Deployment, address_count: int) -> None:
        self.kernel, self.deployment, self.address_count = kernel, deployment, address_count
        self.events: list[Event] = []
        self.rng = kernel.random_for("feed")
        self.state = FeedState.UP
        self.address_index = 0
        self.outage_began = 0
        self.subscribers: dict[Stream, int] = {}
        self.agent_by_stream: dict[Stream, int] = {}
        self.listeners: list[Listener] = []
        self.open()

    def address(self, agent: int) -> str:
        """Returns the present address of the feed for one agent."""
        return self.deployment.feed_address(self.address_index, agent)

    @property
    def sends_events(self) -> bool:
        """Whether subscribers get events and comments at present."""
        return self.state is not FeedState.SILENT

    def open(self) -> None:
        """Listens on the present address of each agent. Raises OSError."""
        self.listeners = [self.kernel.listen(self.address(agent)) for agent in range(self.deployment.agents)]
        for agent, listener in enumerate(self.listeners):
            self.kernel.spawn(self.accept(listener, agent), "feed")

    def accept(self, listener: Listener, agent: int) -> Coroutine[None]:
        """Accepts connections of one agent until the listener is closed."""
        while True:
            try:
                stream = yield from listener.accept()
            except ConnectionLost:
                return
            self.agent_by_stream[stream] = agent
            self.kernel.spawn(self.serve(stream), "feed subscriber")

    def serve(self, stream: Stream) -> Coroutine[None]:
        """Serves one subscriber until its connection ends."""
        try:
            yield from self.handle_request(stream)
        except ConnectionLost:
            pass
        finally:
            self.subscribers.pop(stream, None)
            self.agent_by_stream.pop(stream, None)
            stream.close()

    def handle_request(self, stream: Stream) -> Coroutine[None]:
        """Reads the request and responds as the state of the feed requires."""
        request = b""
        while b"\r\n\r\n" not in request:
            data = yield from stream.read()
            if not data:
                return
            request += data
        if self.state is FeedState.REFUSING:
            stream.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return
        if self.state is FeedState.SILENT:
            yield from self.kernel.sleep(SILENT_DURATION)
            return
        if self.state is FeedState.SLOW:
            yield from self.kernel.sleep(self.rng.randint(300, 3_500) * MS)
        header_lines = request.decode().lower().split("\r\n")
        last_event_header = next(
            (line for line in header_lines if line.startswith("last-event-id:")), "last-event-id: 0"
        )
        self.subscribers[stream] = int(last_event_header.partition(":")[2])
        stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        while stream in self.subscribers:
            if self.sends_events:
                self.send(stream)
                stream.write(b": alive\n\n")
            yield from self.kernel.sleep(COMMENT_INTERVAL)
        yield from self.kernel.sleep(SILENT_DURATION)

    def send(self, stream: Stream) -> None:
        """Sends a subscriber the events that it has not got yet."""
        last = self.subscribers[stream]
        for event in self.events:
            if event.number > last:
                payload = json.dumps(self.payload(event, self.agent_by_stream[stream]))
                stream.write(f"id: {event.number}\ndata: {payload}\n\n".encode())
                self.subscribers[stream] = event.number

    def payload(self, event: Event, agent: int) -> dict[str, Any]:
        """Returns an event as it is encoded for one agent, with the addresses that this agent uses."""
        hosts = [
            host.payload(self.deployment.exchange_address(host.address_index, agent)) for host in event.hosts
        ]
        members = {"seq": event.number, "whole": event.snapshot, "hosts": hosts}
        return {"n": event.number, "members": members}

    def publish(self, hosts: list[Host], snapshot: bool = False) -> int:
        """Publishes an event and returns its time in nanoseconds."""
        now = self.kernel.now()
        self.events.append(Event(len(self.events) + 1, hosts, snapshot))
        if self.state in (FeedState.UP, FeedState.SLOW):
            for stream in list(self.subscribers):
                self.send(stream)
        return now

    def known_events(self, agent: int) -> dict[str, Any]:
        """Returns the events up to now in the form of an agent's configuration."""
        return {"n": len(self.events), "events": [self.payload(event, agent) for event in self.events]}

    def start_outage(self, state: FeedState) -> None:
        """Puts the feed into the outage `state`."""
        self.state, self.outage_began = state, self.kernel.now()
        if state is FeedState.DOWN:
            self.close_listeners()
        if state in (FeedState.DOWN, FeedState.SLOW):
            for stream in list(self.subscribers):
                stream.abort()

    def end_outage(self) -> None:
        """Makes the feed available again; connections that fell silent stay silent."""
        state, self.state = self.state, FeedState.UP
        if state is FeedState.DOWN:
            self.open()
        for stream in list(self.subscribers) if state is FeedState.SILENT else []:
            del self.subscribers[stream]  # a connection that fell silent sends nothing more

    def close_listeners(self) -> None:
        """Refuses new connections; open ones stay."""
        for listener in self.listeners:
            listener.close()

    def move_to_next_address(self) -> None:
        """Moves the feed to its next address; old connections get nothing more and close after 1.5 s."""
        self.close_listeners()
        for stream in list(self.subscribers):
            self.subscribers.pop(stream)
            self.kernel.call_at(self.kernel.now() + 1_500 * MS, stream.close)
        self.address_index = (self.address_index + 1) % self.address_count
        self.open()
