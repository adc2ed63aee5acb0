"""The TCP connections to one exchange: connecting, liveness probes, and reconnecting with random backoff.

A link only tracks whether it is connected and whether the exchange sends on the connection; the lines
received go to the observer. A release with an error cause does not count as a sign of life, because a proxy
in front of a vanished machine keeps answering invalid set-ups with such errors.

A link has two connections, so that a corrupted, reset or silently dropped one affects only its part of the
pending set-ups. A connection may go silent while its exchange is healthy. It is probed after being quiet for
a multiple of its average gap between signs of life, or earlier when the other connection receives load
reports, which are sent on both; it is closed if the probe gets no response. Reconnecting starts at once.
Set-ups that find no connection wait for the new one: a lost connection says nothing about the exchange, a
failed connect does. All times are nanoseconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from peattrestle.calls.core import RouteTry
from peattrestle.exchangeline import lines
from peattrestle.runtime import ConnectFailed, ConnectionLost, Coroutine, Kernel, Stream
from peattrestle.runtime.supervise import supervised

MS = 1_000_000  # nanoseconds
CONNECTIONS_PER_LINK = 2
MIN_RETRY_DELAY, MAX_RETRY_DELAY = 40 * MS, 250 * MS
INITIAL_GAP = 100 * MS  # average gap between signs of life assumed for a new connection
QUIET_GAPS = 10  # a connection quiet for so many average gaps, within the limits below, is probed
MIN_QUIET, MAX_QUIET = 100 * MS, 1000 * MS
PROBE_TIMEOUT = 300 * MS  # without a sign of life after a probe
# A connection that has missed so many reports that the other one received, and has been quiet for so long, is
# probed early, with this probe timeout.
MISSED_REPORTS, MISSED_REPORTS_QUIET, MISSED_REPORTS_PROBE_TIMEOUT = 4, 50 * MS, 150 * MS
MAX_UNSENT_BYTES = 262_144
UNCONFIRMED_RETENTION = 3_000 * MS  # longer than it takes to detect a silent connection


class ConnectionEnd(enum.Enum):
    """How the last connection ended that was up.

    `CLOSED`: by an exchange that is alive, in order, or by the agent for what the exchange sent or left
    unread. It may refuse new ones for as long as it holds as many as it accepts. `BROKEN`: reset, as by a
    dying process, or given up as silent.
    """

    NONE = "none"
    CLOSED = "closed"
    BROKEN = "broken"


@dataclass(slots=True, kw_only=True)
class LinkTry(RouteTry):
    """A route try on a link; `connection` is None while its set-up waits for one.

    `latest_set_up` is the latest time at which the call was set up, as far as is known.
    """

    link: Link
    latest_set_up: int
    connection: LinkConnection | None = None


class LinkObserver(Protocol):
    """Callbacks of a link."""

    def on_link_up(self, link: Link) -> None:
        """Handles the first line on a new connection."""
        ...

    def on_link_lost(
        self, link: Link, tries: list[LinkTry], unconfirmed: list[tuple[str, bytes]], why: str
    ) -> None:
        """Handles a lost connection with its pending tries and its unconfirmed releases (tag, line)."""
        ...

    def on_link_refused(self, link: Link, nothing_listens: bool) -> None:
        """Handles a failed connection attempt; `nothing_listens`: the address refused it."""
        ...

    def on_line(self, link: Link, connection: LinkConnection, line: lines.Line) -> None:
        """Handles one line from the exchange. Raises BadLine if its content is invalid."""
        ...


class LinkConnection:
    """One of the link's connections, replaced when it is lost.

    `pending_count` is the number of set-ups pending on it, `probed_at` the time of the unanswered probe, 0
    without one, `average_gap` the moving average of the time between signs of life. `missed_reports` counts
    the load reports that only the other connection received since its last sign of life. `is_closed`: the
    current connection ends as `ConnectionEnd.CLOSED`.
    """

    def __init__(self, link: Link, index: int) -> None:
        self.link, self.kernel = link, link.kernel
        self.stream: Stream | None = None
        self.has_received = self.is_closed = False
        self.pending_count = self.missed_reports = 0
        self.last_received_at = self.probed_at = 0
        self.average_gap = INITIAL_GAP
        self.rng = self.kernel.random_for(f"link/{link.exchange}/{index}")
        self.start()

    def start(self) -> None:
        """Starts the task that keeps this connection established."""
        name = f"link {self.link.exchange}"
        self.task = self.kernel.spawn(supervised(self.kernel, self.run, name), name)

    @property
    def is_up(self) -> bool:
        """Whether the exchange has sent a line, first of all its load report, on the current connection."""
        return self.stream is not None and self.has_received

    def run(self) -> Coroutine[None]:
        """Connects and reads until the link is closed; failed attempts are repeated with backoff."""
        link, delay = self.link, MIN_RETRY_DELAY
        while not link.is_closing:
            started_at = self.kernel.now()
            has_received, address = False, link.address
            try:
                stream = yield from self.kernel.connect(address, link.dial_timeout)
            except (ConnectFailed, ValueError) as error:
                link.connect_failed = True
                link.observer.on_link_refused(link, "ECONNREFUSED" in str(error))
            else:
                if link.address != address:  # another process may listen there now
                    stream.abort()
                    continue
                try:
                    why = "link closed" if link.is_closing else (yield from self.receive_lines(stream))
                except Exception:
                    self.on_lost(stream, "internal error")
                    raise
                has_received = self.on_lost(stream, why)
            if has_received and self.kernel.now() - started_at > MAX_RETRY_DELAY:
                delay = MIN_RETRY_DELAY
            elif not link.is_closing:
                yield from self.kernel.sleep(round(delay * (1 + self.rng.random()) / 2))
                delay = min(2 * delay, MAX_RETRY_DELAY)

    def on_lost(self, stream: Stream, why: str) -> bool:
        """Handles the end of the connection; returns whether the exchange had sent anything on it."""
        stream.abort()
        has_received, self.stream, self.has_received = self.has_received, None, False
        if has_received:
            self.link.last_end = ConnectionEnd.CLOSED if self.is_closed else ConnectionEnd.BROKEN
        self.link.connect_failed = self.link.connect_failed or not has_received
        self.link.on_lost(self, why)
        return has_received

    def receive_lines(self, stream: Stream) -> Coroutine[str]:
        """Reads lines until the connection ends; returns the reason."""
        self.stream, self.has_received, self.is_closed = stream, False, False
        self.last_received_at, self.probed_at, self.missed_reports = self.kernel.now(), 0, 0
        reader = lines.Reader()
        watchdog = self.kernel.spawn(self.watch_silence(stream), f"watchdog {self.link.exchange}")
        try:
            while True:
                data = yield from stream.read()
                if not data:
                    self.is_closed = True
                    return "the exchange closed the connection"
                reader.feed(data)
                while (line := reader.next()) is not None:
                    if line.verb != "FINISH" or line.rc not in lines.ERROR_CAUSES:
                        self.on_received(line.verb == "LOAD")
                    self.link.observer.on_line(self.link, self, line)
                if stream.unsent > MAX_UNSENT_BYTES:
                    self.is_closed = True
                    return f"the exchange left {stream.unsent} bytes unread"
                if len(data) == 65536:
                    yield from self.kernel.sleep(0)  # lets other tasks run while a peer sends without pause
        except ConnectionLost as error:
            return str(error)
        except lines.BadLine as error:
            self.is_closed = True
            return f"bad line: {error}"
        finally:
            watchdog.cancel()

    def on_received(self, report: bool) -> None:
        """Records a sign of life. `report`: the line is a load report."""
        now = self.kernel.now()
        self.average_gap += (min(now - self.last_received_at, MAX_QUIET) - self.average_gap) // 8
        self.last_received_at, self.probed_at, self.missed_reports = now, 0, 0
        is_first, self.has_received = not self.has_received, True
        self.link.on_received(self, report, is_first)

    def write(self, data: bytes) -> None:
        """Sends bytes; does nothing without a connection."""
        if self.stream is not None:
            self.stream.write(data)

    def on_report_missed(self) -> None:
        """Counts a load report that only the other connection has received."""
        self.missed_reports += 1
        quiet = self.kernel.now() - self.last_received_at
        if (
            self.missed_reports >= MISSED_REPORTS
            and quiet >= MISSED_REPORTS_QUIET
            and not self.probed_at
            and self.stream is not None
        ):
            self.probe(self.stream, MISSED_REPORTS_PROBE_TIMEOUT)

    def probe(self, stream: Stream, timeout: int) -> None:
        """Sends an echo request; the connection is aborted without a sign of life within `timeout`."""
        probed_at = self.probed_at = self.kernel.now()
        stream.write(lines.encode_probe(f"{probed_at & 0xFFFFFFFFFFFFFFFF:016x}"))

        def check_probe() -> None:
            if self.stream is stream and self.probed_at == probed_at:
                stream.abort()

        self.kernel.call_at(probed_at + timeout, check_probe)

    def watch_silence(self, stream: Stream) -> Coroutine[None]:
        """Probes a quiet connection, since a vanished host or a dropped flow produces no TCP error."""
        while True:
            quiet = min(MAX_QUIET, max(MIN_QUIET, QUIET_GAPS * self.average_gap))
            remaining = self.last_received_at + quiet - self.kernel.now()
            if remaining <= 0 and not self.probed_at:
                self.probe(stream, PROBE_TIMEOUT)
            yield from self.kernel.sleep(remaining if remaining > 0 else MIN_QUIET)


@dataclass(slots=True, frozen=True)
class UnconfirmedRelease:
    """A release written to `connection` at `sent_at` that the exchange has not confirmed."""

    connection: LinkConnection
    data: bytes
    sent_at: int


class Link:
    """The connections to one exchange, and the set-ups and releases pending on them.

    `tries` are the pending set-ups by the call's id in the protocol, `waiting` the encoded set-ups that wait
    for a connection. `unconfirmed` are the releases that the exchange has not confirmed, including those of
    set-ups that were given up. New connections go to `address`. `connect_failed`: a connection attempt has
    failed since a line was last received. `last_end` is how the connection ended that was lost last.
    `retired`: the exchange left the list and is not connected to again.
    """

    def __init__(
        self, kernel: Kernel, observer: LinkObserver, exchange: str, address: str, dial_timeout: int
    ) -> None:
        self.kernel, self.observer, self.exchange, self.address = kernel, observer, exchange, address
        self.dial_timeout = dial_timeout
        self.connect_failed = self.closing = self.retired = False
        self.last_end = ConnectionEnd.NONE
        self.tries: dict[str, LinkTry] = {}
        self.waiting: dict[str, bytes] = {}
        self.unconfirmed: dict[str, UnconfirmedRelease] = {}
        self.last_received_at = kernel.now()
        self.connections = [LinkConnection(self, index) for index in range(CONNECTIONS_PER_LINK)]

    @property
    def is_up(self) -> bool:
        """Whether any connection is up."""
        return any(connection.is_up for connection in self.connections)

    @property
    def is_in_use(self) -> bool:
        """Whether a set-up is pending, or a release that may have to be sent again."""
        return bool(self.tries or self.unconfirmed)

    def reconnect(self, address: str) -> None:
        """Connects to `address` from now on, also after the link was retired.

        Connections to another address are given up, since another process may answer there now.
        """
        if address != self.address:
            for connection in self.connections:
                if connection.stream is not None:
                    connection.stream.abort()
        self.address, self.retired = address, False
        for connection in self.connections:
            if connection.task.done:
                connection.start()

    @property
    def is_closing(self) -> bool:
        """Whether lost connections are not replaced any more."""
        return self.closing or self.retired

    @property
    def may_connect(self) -> bool:
        """Whether a connection can be expected soon: no attempt has failed since the last one was up."""
        return not self.connect_failed and not self.is_closing

    @property
    def reporting_connection(self) -> LinkConnection | None:
        """The connection whose load reports are used; reports of two connections could be reordered."""
        return next((connection for connection in self.connections if connection.is_up), None)

    def on_received(self, connection: LinkConnection, report: bool, is_first: bool) -> None:
        """Handles a sign of life. `is_first`: the first one on a new connection."""
        self.last_received_at, self.connect_failed = connection.last_received_at, False
        if is_first:
            self.observer.on_link_up(self)
        if report:
            for other in self.connections:
                if other is not connection:
                    other.on_report_missed()

    def on_lost(self, connection: LinkConnection, why: str) -> None:
        """Passes the tries and unconfirmed releases of a lost connection to the observer."""
        connection.pending_count = 0
        tries = [route_try for route_try in self.tries.values() if route_try.connection is connection]
        lost = [
            (tag, release.data)
            for tag, release in self.unconfirmed.items()
            if release.connection is connection
        ]
        for tag, _ in lost:
            del self.unconfirmed[tag]
        self.observer.on_link_lost(self, tries, lost, why)

    def send_set_up(self, route_try: LinkTry, tag: str, data: bytes) -> None:
        """Sends a set-up, or queues it without a connection.

        Uses the connection with the fewest pending set-ups, among equals the one heard from last.
        """
        connections = [connection for connection in self.connections if connection.is_up]
        self.tries[tag] = route_try
        self.unconfirmed.pop(tag, None)  # sent again it would end this set-up
        if not connections:
            self.waiting[tag] = data
            return
        route_try.connection = min(
            connections, key=lambda connection: (connection.pending_count, -connection.last_received_at)
        )
        route_try.connection.pending_count += 1
        route_try.latest_set_up = self.kernel.now()
        route_try.connection.write(data)

    def remove_try(self, route_try: LinkTry, tag: str, data: bytes) -> None:
        """Removes a set-up that is no longer pending; `data`, its release or b"", is sent on its connection.

        The exchange may have answered the set-up already, so the release is kept like that of a call.
        """
        if self.tries.get(tag) is not route_try:
            return
        del self.tries[tag]
        self.waiting.pop(tag, None)
        if route_try.connection is not None:
            route_try.connection.pending_count = max(0, route_try.connection.pending_count - 1)
            route_try.connection.write(data)
            if data:
                self.unconfirmed[tag] = UnconfirmedRelease(route_try.connection, data, self.kernel.now())

    def send_release(self, tag: str, data: bytes) -> bool:
        """Sends the release of an established call on the connection heard from last; False without one.

        A connection that is cut off still accepts bytes for a while. The release is therefore kept until the
        exchange confirms it, and given back to the observer if the connection is lost before that.
        """
        connections = [connection for connection in self.connections if connection.is_up]
        if not connections:
            return False
        connection = max(connections, key=lambda connection: connection.last_received_at)
        connection.write(data)
        self.unconfirmed[tag] = UnconfirmedRelease(connection, data, self.kernel.now())
        return True

    def expire_unconfirmed(self, now: int) -> None:
        """Drops old unconfirmed releases, since exchanges are not required to confirm them."""
        for tag in [
            tag for tag, release in self.unconfirmed.items() if release.sent_at < now - UNCONFIRMED_RETENTION
        ]:
            del self.unconfirmed[tag]

    def close(self) -> None:
        """Closes the connections for good."""
        self.closing = True
        for connection in self.connections:
            if connection.stream is not None:
                connection.stream.close()
                connection.stream = None
            connection.task.cancel()
