"""The control feed over its connection: asked, read, asked again. What an event means is `feed.state`'s."""

from __future__ import annotations

from collections.abc import Callable

import h11

from peattrestle.feed.sse import BadFeed, EventStreamParser
from peattrestle.feed.state import Change, FeedState, ResumeRequired
from peattrestle.runtime import Coroutine, Kernel, Lost, Refused, Stream, Task
from peattrestle.runtime.supervise import supervised

MS = 1_000_000
RETRY_LEAST, RETRY_MOST = 50 * MS, 1000 * MS
DIAL = 500 * MS
SILENT = 2500 * MS  # a comment comes each second: without two of them it has stopped
SLOW = 4000 * MS  # for the answer to a call after one that had none: the feed may be slow, not away
PATH = "/v1/events"


class Follower:
    """Follows the feed at `address` for as long as it runs; `told` gets each change once, in order."""

    def __init__(
        self,
        kernel: Kernel,
        state: FeedState,
        address: str,
        told: Callable[[Change], None],
        log: Callable[..., None],
    ) -> None:
        self.kernel, self.state, self.address, self.told, self.log = kernel, state, address, told, log
        self.draw = kernel.chance("feed")
        self.stream: Stream | None = None
        self.heard_at = 0
        self.patience = SILENT  # without a byte, before a call is given up
        self.moved = False
        self.task: Task[None] = kernel.spawn(supervised(kernel, self.run, "feed"), "feed")

    def move(self, address: str) -> None:
        """The feed is elsewhere from now on; the numbers go on."""
        if address != self.address:
            self.address, self.moved = address, True
            if self.stream is not None:
                self.stream.abort()

    def run(self) -> Coroutine[None]:
        wait = RETRY_LEAST
        while True:
            self.moved = False
            last = self.state.last
            try:
                stream = yield from self.kernel.connect(self.address, DIAL)
            except (Refused, ValueError) as fault:
                why = str(fault)
            else:
                self.stream = stream
                try:
                    why = "moved" if self.moved else (yield from self.read(stream))
                finally:
                    stream.abort()
                    self.stream = None
            if self.moved:
                wait = RETRY_LEAST
                continue
            if self.state.last > last:
                wait = RETRY_LEAST
            self.log("warning", "the control feed broke off", why=why, last=self.state.last)
            # Asked again at once after a break; a source that refuses is asked ever more seldom, apart.
            yield from self.kernel.sleep(round(wait * (1 + self.draw.random()) / 2))
            wait = min(2 * wait, RETRY_MOST)

    def read(self, stream: Stream) -> Coroutine[str]:
        http, events = h11.Connection(h11.CLIENT), EventStreamParser()
        self.heard_at = self.kernel.now()
        keeper = self.kernel.spawn(self.keep(stream), "feed keeper")
        self.state.on_request()
        fields = [
            ("Host", self.address),
            ("Accept", "text/event-stream"),
            ("Last-Event-ID", str(self.state.last)),
        ]
        try:
            stream.write(http.send(h11.Request(method="GET", target=PATH, headers=fields)) or b"")
            stream.write(http.send(h11.EndOfMessage()) or b"")
            while True:
                data = yield from stream.read()
                self.heard_at = self.kernel.now()
                http.receive_data(data)
                while (event := http.next_event()) is not h11.NEED_DATA:
                    if isinstance(event, h11.Response):
                        if event.status_code != 200:
                            return f"status {event.status_code}"
                        self.patience = SILENT
                        self.log(
                            "info", "the control feed answers", address=self.address, last=self.state.last
                        )
                    if isinstance(event, h11.Data):
                        for sent in events.feed(bytes(event.data)):
                            change = self.state.apply(sent)
                            if change is not None:
                                self.told(change)
                    elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)) or event is h11.PAUSED:
                        return "it ended"
        except (Lost, BadFeed, ResumeRequired, h11.RemoteProtocolError) as fault:
            return str(fault)
        finally:
            keeper.cancel()

    def keep(self, stream: Stream) -> Coroutine[None]:
        while True:
            left = self.heard_at + self.patience - self.kernel.now()
            if left <= 0:
                self.patience = SLOW
                stream.abort()
                return
            yield from self.kernel.sleep(left)
