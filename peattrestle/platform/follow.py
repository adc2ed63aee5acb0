"""Client of the control feed: requests the event stream, reads it, and reconnects.

Decoding and ordering of events are in `peattrestle.feed`. Times are nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable

import h11

from peattrestle.feed.sse import BadFeed, EventStreamParser
from peattrestle.feed.state import Change, FeedState, ResumeRequired
from peattrestle.runtime import ConnectFailed, ConnectionLost, Coroutine, Kernel, Stream, Task
from peattrestle.runtime.supervise import supervised

MS = 1_000_000  # nanoseconds
MIN_RETRY_DELAY, MAX_RETRY_DELAY = 50 * MS, 1000 * MS
DIAL_TIMEOUT = 500 * MS
IDLE_TIMEOUT = 2500 * MS  # the feed sends a comment each second, so at least two are missing
SLOW_RESPONSE_TIMEOUT = 4000 * MS  # after a request without response: the feed may be slow rather than down
PATH = "/v1/events"


class Follower:
    """Follows the feed at `address` and passes each change once, in order, to `on_change`."""

    def __init__(
        self,
        kernel: Kernel,
        state: FeedState,
        address: str,
        on_change: Callable[[Change], None],
        log: Callable[..., None],
    ) -> None:
        self.kernel, self.state, self.address, self.on_change, self.log = (
            kernel,
            state,
            address,
            on_change,
            log,
        )
        self.rng = kernel.random_for("feed")
        self.stream: Stream | None = None
        self.last_byte_at = 0
        self.idle_timeout = IDLE_TIMEOUT  # without a byte, before a request is given up
        self.address_changed = False
        self.task: Task[None] = kernel.spawn(supervised(kernel, self.run, "feed"), "feed")

    def set_address(self, address: str) -> None:
        """Reconnects to another address of the feed; event numbers continue."""
        if address != self.address:
            self.address, self.address_changed = address, True
            if self.stream is not None:
                self.stream.abort()

    def run(self) -> Coroutine[None]:
        """Requests and reads the feed until the task is cancelled."""
        delay = MIN_RETRY_DELAY
        while True:
            self.address_changed = False
            last = self.state.last
            try:
                stream = yield from self.kernel.connect(self.address, DIAL_TIMEOUT)
            except (ConnectFailed, ValueError) as error:
                why = str(error)
            else:
                self.stream = stream
                try:
                    why = "address changed" if self.address_changed else (yield from self.read(stream))
                finally:
                    stream.abort()
                    self.stream = None
            if self.address_changed:
                delay = MIN_RETRY_DELAY
                continue
            if self.state.last > last:
                delay = MIN_RETRY_DELAY
            self.log("warning", "control feed connection ended", why=why, last=self.state.last)
            # The first retry follows quickly; repeated failures back off exponentially with jitter.
            yield from self.kernel.sleep(round(delay * (1 + self.rng.random()) / 2))
            delay = min(2 * delay, MAX_RETRY_DELAY)

    def read(self, stream: Stream) -> Coroutine[str]:
        """Requests the events after the last one applied and reads them; returns why the stream ended."""
        http, parser = h11.Connection(h11.CLIENT), EventStreamParser()
        self.last_byte_at = self.kernel.now()
        watchdog = self.kernel.spawn(self.watch_idle(stream), "feed watchdog")
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
                self.last_byte_at = self.kernel.now()
                http.receive_data(data)
                while (event := http.next_event()) is not h11.NEED_DATA:
                    if isinstance(event, h11.Response):
                        if event.status_code != 200:
                            return f"HTTP status {event.status_code}"
                        self.idle_timeout = IDLE_TIMEOUT
                        self.log("info", "control feed connected", address=self.address, last=self.state.last)
                    if isinstance(event, h11.Data):
                        for server_event in parser.feed(bytes(event.data)):
                            change = self.state.apply(server_event)
                            if change is not None:
                                self.on_change(change)
                    elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)) or event is h11.PAUSED:
                        return "the feed ended the response"
        except (ConnectionLost, BadFeed, ResumeRequired, h11.RemoteProtocolError) as error:
            return str(error)
        finally:
            watchdog.cancel()

    def watch_idle(self, stream: Stream) -> Coroutine[None]:
        """Aborts the connection when no byte arrives for the idle timeout."""
        while True:
            remaining = self.last_byte_at + self.idle_timeout - self.kernel.now()
            if remaining <= 0:
                self.idle_timeout = SLOW_RESPONSE_TIMEOUT
                stream.abort()
                return
            yield from self.kernel.sleep(remaining)
