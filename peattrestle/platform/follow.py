"""Client of the control feed: requests the event stream, reads it, and reconnects.

A feed that is slow must be heard, and one that does not answer a request at all must be asked again. So while
a request is not answered, another one is made beside it, and the first of them that is answered is read. The
older request is kept for long, and the later one is replaced. Decoding and ordering of events are in
`peattrestle.feed`. Times are nanoseconds.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import h11

from peattrestle.feed.sse import BadFeed, EventStreamParser
from peattrestle.feed.state import Change, FeedState, ResumeRequired
from peattrestle.runtime import ConnectFailed, ConnectionLost, Coroutine, Event, Kernel, Stream, TimedOut
from peattrestle.runtime.supervise import supervised

MS = 1_000_000  # nanoseconds
MIN_RETRY_DELAY, MAX_RETRY_DELAY = 50 * MS, 1000 * MS
DIAL_TIMEOUT = 500 * MS
IDLE_TIMEOUT = 2500 * MS  # the feed sends a comment each second, so at least two are missing
SECOND_REQUEST_DELAY = 2500 * MS  # while the first one is not answered
REPLACEMENT_INTERVAL = 4000 * MS  # of the later request, while none is answered
MAX_RESPONSE_TIME = 30_000 * MS  # for the older request
MAX_REQUESTS = 2
PATH = "/v1/events"


class FeedRequest:
    """One request for the events after the last one applied, on a connection of its own.

    `is_answered`: its response has begun, and no other request is read.
    """

    def __init__(self, follower: Follower) -> None:
        self.follower, self.kernel = follower, follower.kernel
        self.started_at = self.last_byte_at = self.kernel.now()
        self.is_answered = False
        self.stream: Stream | None = None
        self.task = self.kernel.spawn(self.run(), "feed request", report_errors=False)

    def run(self) -> Coroutine[str]:
        """Connects, requests the stream and reads it; returns why it ended."""
        try:
            self.stream = yield from self.kernel.connect(self.follower.address, DIAL_TIMEOUT)
            return (yield from self.read(self.stream))
        except (ConnectFailed, ValueError) as error:
            return str(error)
        finally:
            if self.stream is not None:
                self.stream.abort()
            self.follower.requests_changed.set()

    def give_up(self) -> None:
        """Ends the request."""
        self.task.cancel()

    def read(self, stream: Stream) -> Coroutine[str]:
        """Sends the request and reads its response; returns why the stream ended."""
        http, parser, state = h11.Connection(h11.CLIENT), EventStreamParser(), self.follower.state
        watchdog = self.kernel.spawn(self.watch_idle(stream), "feed watchdog")
        state.on_request()
        fields = [
            ("Host", self.follower.address),
            ("Accept", "text/event-stream"),
            ("Last-Event-ID", str(state.last)),
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
                        if not self.follower.choose(self):
                            return "another request was answered"
                    if isinstance(event, h11.Data):
                        for server_event in parser.feed(bytes(event.data)):
                            change = state.apply(server_event)
                            if change is not None:
                                self.follower.on_change(change)
                    elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)) or event is h11.PAUSED:
                        return "the feed ended the response"
        except (ConnectionLost, BadFeed, ResumeRequired, h11.RemoteProtocolError) as error:
            return str(error)
        finally:
            watchdog.cancel()

    def watch_idle(self, stream: Stream) -> Coroutine[None]:
        """Aborts the connection when the response has begun and no byte arrives for the idle timeout."""
        while True:
            remaining = self.last_byte_at + IDLE_TIMEOUT - self.kernel.now()
            if remaining <= 0 and self.is_answered:
                stream.abort()
                return
            yield from self.kernel.sleep(remaining if remaining > 0 else IDLE_TIMEOUT)


class Follower:
    """Follows the feed at `address` and passes each change once, in order, to `on_change`.

    `requests` are open, the oldest first; `requests_changed` is set when one is answered or ends.
    """

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
        self.requests: list[FeedRequest] = []
        self.requests_changed = Event(kernel)
        self.address_changed = False
        self.task = kernel.spawn(supervised(kernel, self.run, "feed"), "feed")

    @property
    def stream(self) -> Stream | None:
        """The connection of the oldest request, None without one."""
        return self.requests[0].stream if self.requests else None

    def set_address(self, address: str) -> None:
        """Reconnects to another address of the feed; event numbers continue."""
        if address != self.address:
            self.address, self.address_changed = address, True
            self.give_up_requests()

    def give_up_requests(self) -> None:
        """Ends all requests."""
        for request in self.requests:
            request.give_up()

    def run(self) -> Coroutine[None]:
        """Requests and reads the feed until the task is cancelled."""
        delay = MIN_RETRY_DELAY
        while True:
            self.address_changed = False
            last = self.state.last
            try:
                why = yield from self.follow_one_response()
            finally:
                self.give_up_requests()
                self.requests = []
            if self.address_changed:
                delay = MIN_RETRY_DELAY
                continue
            if self.state.last > last:
                delay = MIN_RETRY_DELAY
            self.log("warning", "control feed connection ended", why=why, last=self.state.last)
            # The first retry follows quickly; repeated failures back off exponentially with jitter.
            yield from self.kernel.sleep(round(delay * (1 + self.rng.random()) / 2))
            delay = min(2 * delay, MAX_RETRY_DELAY)

    def follow_one_response(self) -> Coroutine[str]:
        """Makes requests until one is answered or all have ended; returns why the last one ended."""
        self.start_request()
        next_request_at = self.kernel.now() + SECOND_REQUEST_DELAY
        while True:
            yield from self.wait_for_requests(next_request_at - self.kernel.now())
            answered = [request for request in self.requests if request.is_answered]
            open_requests = [request for request in self.requests if not request.task.done]
            if answered or not open_requests:
                last = answered[0] if answered else self.requests[-1]
                return (yield from last.task.join()) or "given up"
            self.requests = open_requests
            if self.kernel.now() >= next_request_at:
                self.make_room_for_request()
                self.start_request()
                next_request_at = self.kernel.now() + REPLACEMENT_INTERVAL

    def wait_for_requests(self, timeout: int) -> Coroutine[None]:
        """Waits until a request is answered or ends, for `timeout` nanoseconds at most."""
        with contextlib.suppress(TimedOut):
            yield from self.kernel.with_timeout(timeout, self.requests_changed.wait())
        self.requests_changed = Event(self.kernel)

    def start_request(self) -> None:
        """Makes a request beside those that are open."""
        self.requests.append(FeedRequest(self))

    def make_room_for_request(self) -> None:
        """Gives up the later request if there are two, or the older one after its time."""
        if len(self.requests) < MAX_REQUESTS:
            return
        is_overdue = self.requests[0].started_at < self.kernel.now() - MAX_RESPONSE_TIME
        self.requests.pop(0 if is_overdue else -1).give_up()

    def choose(self, request: FeedRequest) -> bool:
        """Reads this request's response and ends the others; False if another one is read already."""
        if request not in self.requests or any(other.is_answered for other in self.requests):
            return False
        request.is_answered = True
        for other in self.requests:
            if other is not request:
                other.give_up()
        self.requests = [request]
        self.log("info", "control feed connected", address=self.address, last=self.state.last)
        self.requests_changed.set()
        return True
