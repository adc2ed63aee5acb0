"""A stand-in control feed: numbered events as server-sent events, with outages."""

from __future__ import annotations

import enum
import json
from dataclasses import dataclass
from typing import Any

from peattrestle.runtime import Coroutine, Kernel, Lost, Stream

MS = 1_000_000
COMMENT_INTERVAL = 1_000 * MS
HANG = 60_000 * MS  # a call that met silence never hears more


class FeedState(enum.Enum):
    """What a call to the feed meets."""

    UP = "up"
    DOWN = "down"
    SILENT = "silent"
    REFUSING = "refusing"


@dataclass(slots=True)
class Event:
    """One published event and when the feed had it."""

    number: int
    text: bytes
    at: int


class StandInFeed:
    """Serves every event after `Last-Event-ID`, then each new one and a comment each second."""

    def __init__(self, kernel: Kernel, addresses: list[str]) -> None:
        self.kernel, self.addresses = kernel, addresses
        self.events: list[Event] = []
        self.tree: list[dict[str, Any]] = []
        self.state = FeedState.UP
        self.place = 0
        self.outage_began = 0
        self.watchers: dict[Stream, int] = {}
        self.open()

    @property
    def address(self) -> str:
        return self.addresses[self.place]

    @property
    def speaking(self) -> bool:
        return self.state is not FeedState.SILENT

    def open(self) -> None:
        self.listener = self.kernel.listen(self.address)
        self.kernel.spawn(self.accept(), "feed")

    def accept(self) -> Coroutine[None]:
        listener = self.listener
        while True:
            try:
                stream = yield from listener.accept()
            except Lost:
                return
            self.kernel.spawn(self.serve(stream), "watcher of the feed")

    def serve(self, stream: Stream) -> Coroutine[None]:
        try:
            yield from self.converse(stream)
        except Lost:
            pass
        finally:
            self.watchers.pop(stream, None)
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
                stream.write(event.text)
                self.watchers[stream] = event.number

    def publish(self, hosts: list[dict[str, Any]], whole: bool = False) -> int:
        """The feed has one more event from now on; returns when the agents count as told of it."""
        number = len(self.events) + 1
        tree = {"n": number, "members": {"seq": number, "whole": whole, "hosts": hosts}}
        self.tree.append(tree)
        text = f"id: {number}\ndata: {json.dumps(tree)}\n\n".encode()
        now = self.kernel.now()
        self.events.append(Event(number, text, now))
        if self.state is FeedState.UP:
            for stream in list(self.watchers):
                self.send(stream)
        return now

    def known(self) -> dict[str, Any]:
        return {"n": len(self.events), "events": list(self.tree)}

    def fail(self, state: FeedState) -> None:
        """An outage begins."""
        self.state, self.outage_began = state, self.kernel.now()
        if state is FeedState.DOWN:
            self.listener.close()
            for stream in list(self.watchers):
                stream.abort()

    def recover(self) -> None:
        """It can be reached again; calls that met the outage stay as they are."""
        state, self.state = self.state, FeedState.UP
        if state is FeedState.DOWN:
            self.open()
        for stream in list(self.watchers) if state is FeedState.SILENT else []:
            del self.watchers[stream]  # a call that fell silent tells nothing more

    def move(self) -> str:
        """The feed is at the next address from now on; the old one tells nothing more."""
        self.listener.close()
        for stream in list(self.watchers):
            self.watchers.pop(stream)
            self.kernel.at(self.kernel.now() + 1_500 * MS, stream.close)
        self.place = (self.place + 1) % len(self.addresses)
        self.open()
        return self.address
