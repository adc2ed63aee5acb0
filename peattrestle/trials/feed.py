"""A stand-in control feed: numbered events as server-sent events, with outages."""

from __future__ import annotations

import enum
import json
from dataclasses import dataclass
from typing import Any

from peattrestle.runtime import Coroutine, Kernel, Listener, Lost, Stream
from peattrestle.trials.deployment import Deployment

MS = 1_000_000
COMMENT_INTERVAL = 1_000 * MS
HANG = 60_000 * MS  # a call that met silence never hears more


class FeedState(enum.Enum):
    """What a call to the feed meets."""

    UP = "up"
    DOWN = "down"
    SILENT = "silent"
    REFUSING = "refusing"
    SLOW = "slow"


@dataclass(slots=True, frozen=True)
class Host:
    """One exchange as the feed tells of it; `place` is where it listens."""

    name: str
    number: int
    place: int
    state: str = "SERVING"

    def tree(self, dial: str) -> dict[str, Any]:
        return {"host": self.name, "dial": dial, "block": self.number, "health": self.state, "born_ms": 0}


@dataclass(slots=True)
class Event:
    """One published event: the hosts that it tells of; `whole` where that is all of them."""

    number: int
    hosts: list[Host]
    whole: bool


class StandInFeed:
    """Serves every event after `Last-Event-ID`, then each new one and a comment each second."""

    def __init__(self, kernel: Kernel, deployment: Deployment, places: int) -> None:
        self.kernel, self.deployment, self.places = kernel, deployment, places
        self.events: list[Event] = []
        self.chance = kernel.chance("feed")
        self.state = FeedState.UP
        self.place = 0
        self.outage_began = 0
        self.watchers: dict[Stream, int] = {}
        self.agents: dict[Stream, int] = {}
        self.listeners: list[Listener] = []
        self.open()

    def address(self, agent: int) -> str:
        return self.deployment.feed_address(self.place, agent)

    @property
    def speaking(self) -> bool:
        return self.state is not FeedState.SILENT

    def open(self) -> None:
        self.listeners = [self.kernel.listen(self.address(agent)) for agent in range(self.deployment.agents)]
        for agent, listener in enumerate(self.listeners):
            self.kernel.spawn(self.accept(listener, agent), "feed")

    def accept(self, listener: Listener, agent: int) -> Coroutine[None]:
        while True:
            try:
                stream = yield from listener.accept()
            except Lost:
                return
            self.agents[stream] = agent
            self.kernel.spawn(self.serve(stream), "watcher of the feed")

    def serve(self, stream: Stream) -> Coroutine[None]:
        try:
            yield from self.converse(stream)
        except Lost:
            pass
        finally:
            self.watchers.pop(stream, None)
            self.agents.pop(stream, None)
            stream.close()

    def converse(self, stream: Stream) -> Coroutine[None]:
        head = b""
        while b"\r\n\r\n" not in head:
            data = yield from stream.read()
            if not data:
                return
            head += data
        if self.state is FeedState.REFUSING:
            stream.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return
        if self.state is FeedState.SILENT:
            yield from self.kernel.sleep(HANG)
            return
        if self.state is FeedState.SLOW:
            yield from self.kernel.sleep(self.chance.randint(300, 3_500) * MS)
        rows = head.decode().lower().split("\r\n")
        asked = next((row for row in rows if row.startswith("last-event-id:")), "last-event-id: 0")
        self.watchers[stream] = int(asked.partition(":")[2])
        stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        while stream in self.watchers:
            if self.speaking:
                self.send(stream)
                stream.write(b": alive\n\n")
            yield from self.kernel.sleep(COMMENT_INTERVAL)
        yield from self.kernel.sleep(HANG)

    def send(self, stream: Stream) -> None:
        last = self.watchers[stream]
        for event in self.events:
            if event.number > last:
                tree = json.dumps(self.tree(event, self.agents[stream]))
                stream.write(f"id: {event.number}\ndata: {tree}\n\n".encode())
                self.watchers[stream] = event.number

    def tree(self, event: Event, agent: int) -> dict[str, Any]:
        hosts = [one.tree(self.deployment.exchange_address(one.place, agent)) for one in event.hosts]
        members = {"seq": event.number, "whole": event.whole, "hosts": hosts}
        return {"n": event.number, "members": members}

    def publish(self, hosts: list[Host], whole: bool = False) -> int:
        """The feed has one more event from now on; returns the time."""
        now = self.kernel.now()
        self.events.append(Event(len(self.events) + 1, hosts, whole))
        if self.state in (FeedState.UP, FeedState.SLOW):
            for stream in list(self.watchers):
                self.send(stream)
        return now

    def known(self, agent: int) -> dict[str, Any]:
        """The events up to now, as the configuration of an agent has them."""
        return {"n": len(self.events), "events": [self.tree(event, agent) for event in self.events]}

    def fail(self, state: FeedState) -> None:
        """An outage begins."""
        self.state, self.outage_began = state, self.kernel.now()
        if state is FeedState.DOWN:
            self.close_listeners()
        if state in (FeedState.DOWN, FeedState.SLOW):
            for stream in list(self.watchers):
                stream.abort()

    def recover(self) -> None:
        """It can be reached again; calls that met the outage stay as they are."""
        state, self.state = self.state, FeedState.UP
        if state is FeedState.DOWN:
            self.open()
        for stream in list(self.watchers) if state is FeedState.SILENT else []:
            del self.watchers[stream]  # a call that fell silent tells nothing more

    def close_listeners(self) -> None:
        for listener in self.listeners:
            listener.close()

    def move(self) -> None:
        """The feed is at the next address from now on; the old one tells nothing more."""
        self.close_listeners()
        for stream in list(self.watchers):
            self.watchers.pop(stream)
            self.kernel.at(self.kernel.now() + 1_500 * MS, stream.close)
        self.place = (self.place + 1) % self.places
        self.open()
