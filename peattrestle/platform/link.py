"""The connections to one exchange: made, tested where they are quiet, made again after growing, drawn waits.

What a connection tells is the owner's to use; this keeps only whether there is one, and whether the exchange
speaks on it. A release with an error is no sign of life: whatever stands before a vanished machine goes on
answering so to set-ups that nobody could use.

There are two, so that one that is spoilt, reset or forgotten on its way takes only its part of the open
set-ups with it. A connection may go silent while its exchange is well. How long it may be quiet is measured:
many times the usual gap between two signs of life, or less where the other one hears reports that both must
hear. It is then tested, and given up where no sign follows. The next one is dialled at once, and where there
is no other, set-ups of that moment wait for it: that a connection was lost says nothing of the exchange,
that none can be made does.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from peattrestle.exchangeline import lines
from peattrestle.runtime import Coroutine, Kernel, Lost, Refused, Stream
from peattrestle.runtime.supervise import supervised

if TYPE_CHECKING:
    from peattrestle.platform.agent import Try

MS = 1_000_000
CONNECTIONS = 2
RETRY_LEAST, RETRY_MOST = 40 * MS, 250 * MS
GAP_FIRST = 100 * MS
GAPS = 10  # of the usual length without a sign of life, within the two below: it is tested
QUIET_LEAST, QUIET_MOST = 100 * MS, 1000 * MS
SILENT = 300 * MS  # none for so long after a test: it is given up
MISSED, MISSED_QUIET, MISSED_SILENT = 4, 50 * MS, 150 * MS  # where the other connection hears reports
MOST_UNREAD = 262_144
UNCONFIRMED_FOR = 3_000 * MS  # longer than a silent connection goes unnoticed


class Owner(Protocol):
    """What a link tells the agent."""

    def link_up(self, link: Link) -> None: ...
    def link_lost(
        self, link: Link, tries: list[Try], unconfirmed: list[tuple[str, bytes]], why: str
    ) -> None: ...
    def link_refused(self, link: Link, gone: bool) -> None: ...
    def link_heard(self, link: Link, connection: LinkConnection, line: lines.Line) -> None: ...


class LinkConnection:
    """One connection, or the next one in its place. `out`: how many set-ups are out on it."""

    def __init__(self, link: Link, place: int) -> None:
        self.link, self.kernel = link, link.kernel
        self.stream: Stream | None = None
        self.spoke = False
        self.out = self.missed = 0
        self.alive_at = self.asked_at = 0
        self.gap = GAP_FIRST
        self.draw = self.kernel.chance(f"link/{link.exchange}/{place}")
        self.start()

    def start(self) -> None:
        name = f"link {self.link.exchange}"
        self.task = self.kernel.spawn(supervised(self.kernel, self.run, name), name)

    @property
    def up(self) -> bool:
        """There is a connection, and the exchange has spoken on it: its report comes first on each."""
        return self.stream is not None and self.spoke

    def run(self) -> Coroutine[None]:
        link, wait = self.link, RETRY_LEAST
        while not link.ending:
            began = self.kernel.now()
            spoke = False
            try:
                stream = yield from self.kernel.connect(link.address, link.dial_timeout)
            except (Refused, ValueError) as fault:
                link.failed = True
                link.owner.link_refused(link, "ECONNREFUSED" in str(fault))
            else:
                try:
                    why = "not wanted any more" if link.ending else (yield from self.converse(stream))
                except Exception:
                    self.lost(stream, "a fault of this program")
                    raise
                spoke = self.lost(stream, why)
            if spoke and self.kernel.now() - began > RETRY_MOST:
                wait = RETRY_LEAST
            elif not link.ending:
                yield from self.kernel.sleep(round(wait * (1 + self.draw.random()) / 2))
                wait = min(2 * wait, RETRY_MOST)

    def lost(self, stream: Stream, why: str) -> bool:
        """The connection has ended; whether the exchange had spoken on it."""
        stream.abort()
        spoke, self.stream, self.spoke = self.spoke, None, False
        self.link.failed = self.link.failed or not spoke
        self.link.lost(self, why)
        return spoke

    def converse(self, stream: Stream) -> Coroutine[str]:
        self.stream, self.spoke = stream, False
        self.alive_at, self.asked_at, self.missed = self.kernel.now(), 0, 0
        reader = lines.Reader()
        keeper = self.kernel.spawn(self.keep(stream), f"keeper {self.link.exchange}")
        try:
            while True:
                data = yield from stream.read()
                if not data:
                    return "the exchange closed the connection"
                reader.feed(data)
                while (line := reader.next()) is not None:
                    if line.verb != "FINISH" or line.rc not in lines.ERROR_CAUSES:
                        self.alive(line.verb == "LOAD")
                    self.link.owner.link_heard(self.link, self, line)
                if stream.unsent > MOST_UNREAD:
                    return f"it left {stream.unsent} bytes unread"
                if len(data) == 65536:
                    yield from self.kernel.sleep(0)  # one that sends without end leaves others their turn
        except Lost as fault:
            return str(fault)
        except lines.BadLine as fault:
            return f"bad line: {fault}"
        finally:
            keeper.cancel()

    def alive(self, report: bool) -> None:
        now = self.kernel.now()
        self.gap += (min(now - self.alive_at, QUIET_MOST) - self.gap) // 8
        self.alive_at, self.asked_at, self.missed = now, 0, 0
        fresh, self.spoke = not self.spoke, True
        self.link.alive(self, report, fresh)

    def write(self, data: bytes) -> None:
        if self.stream is not None:
            self.stream.write(data)

    def misses(self) -> None:
        """Another connection has heard a report that goes out on all."""
        self.missed += 1
        quiet = self.kernel.now() - self.alive_at
        if self.missed >= MISSED and quiet >= MISSED_QUIET and not self.asked_at and self.stream is not None:
            self.ask(self.stream, MISSED_SILENT)

    def ask(self, stream: Stream, wait: int) -> None:
        """Tests the connection; without a sign of life after `wait` it is given up."""
        asked_at = self.asked_at = self.kernel.now()
        stream.write(lines.encode_probe(f"{asked_at & 0xFFFFFFFFFFFFFFFF:016x}"))

        def look() -> None:
            if self.stream is stream and self.asked_at == asked_at:
                stream.abort()

        self.kernel.at(asked_at + wait, look)

    def keep(self, stream: Stream) -> Coroutine[None]:
        """A machine that vanished gives no sign, nor does a connection that was forgotten on its way."""
        while True:
            quiet = min(QUIET_MOST, max(QUIET_LEAST, GAPS * self.gap))
            left = self.alive_at + quiet - self.kernel.now()
            if left <= 0 and not self.asked_at:
                self.ask(stream, SILENT)
            yield from self.kernel.sleep(left if left > 0 else QUIET_LEAST)


@dataclass(slots=True, frozen=True)
class Unconfirmed:
    """A release written to `connection` at `at`, of which the exchange has not said that it heard it."""

    connection: LinkConnection
    data: bytes
    at: int


class Link:
    """`tries`: the set-ups out there, by the call's id on the wire; `waiting`: those that wait for a
    connection, with their bytes; `unconfirmed`: releases that the exchange has not said it heard.
    `address` is where the next connection is made; `alive_at`: the last sign of life."""

    def __init__(self, kernel: Kernel, owner: Owner, exchange: str, address: str, dial_timeout: int) -> None:
        self.kernel, self.owner, self.exchange, self.address = kernel, owner, exchange, address
        self.dial_timeout = dial_timeout
        self.failed = self.closing = self.retired = False
        self.tries: dict[str, Try] = {}
        self.waiting: dict[str, bytes] = {}
        self.unconfirmed: dict[str, Unconfirmed] = {}
        self.alive_at = kernel.now()
        self.connections = [LinkConnection(self, place) for place in range(CONNECTIONS)]

    @property
    def up(self) -> bool:
        return any(connection.up for connection in self.connections)

    def revive(self, address: str) -> None:
        """The exchange is back, or elsewhere: connections are made again, from now on there."""
        self.address, self.retired = address, False
        for connection in self.connections:
            if connection.task.done:
                connection.start()

    @property
    def ending(self) -> bool:
        return self.closing or self.retired

    @property
    def coming(self) -> bool:
        """No attempt to make a connection has failed since there was one."""
        return not self.failed and not self.ending

    @property
    def first(self) -> LinkConnection | None:
        """The connection whose reports count: two would overtake one another."""
        return next((connection for connection in self.connections if connection.up), None)

    def alive(self, connection: LinkConnection, report: bool, fresh: bool) -> None:
        self.alive_at, self.failed = connection.alive_at, False
        if fresh:
            self.owner.link_up(self)
        if report:
            for other in self.connections:
                if other is not connection:
                    other.misses()

    def lost(self, connection: LinkConnection, why: str) -> None:
        connection.out = 0
        tries = [one for one in self.tries.values() if one.connection is connection]
        lost = [(tag, one.data) for tag, one in self.unconfirmed.items() if one.connection is connection]
        for tag, _ in lost:
            del self.unconfirmed[tag]
        self.owner.link_lost(self, tries, lost, why)

    def set_up(self, one: Try, tag: str, data: bytes) -> None:
        """On the connection with the fewest out, of those the one that spoke last; else it waits."""
        connections = [connection for connection in self.connections if connection.up]
        self.tries[tag] = one
        if not connections:
            self.waiting[tag] = data
            return
        one.connection = min(connections, key=lambda connection: (connection.out, -connection.alive_at))
        one.connection.out += 1
        one.connection.write(data)

    def over(self, one: Try, tag: str, data: bytes) -> None:
        """A set-up is out no more; `data`, where there is any, tells the exchange on the same connection."""
        if self.tries.get(tag) is not one:
            return
        del self.tries[tag]
        self.waiting.pop(tag, None)
        if one.connection is not None:
            one.connection.out = max(0, one.connection.out - 1)
            one.connection.write(data)

    def release(self, tag: str, data: bytes) -> bool:
        """The release of a call that stands, on the connection that spoke last; False where there is none.

        A connection that is cut off takes bytes for a while that nobody reads, so the release is kept until
        the exchange has heard it, and handed back when the connection is lost before."""
        connections = [connection for connection in self.connections if connection.up]
        if not connections:
            return False
        connection = max(connections, key=lambda one: one.alive_at)
        connection.write(data)
        self.unconfirmed[tag] = Unconfirmed(connection, data, self.kernel.now())
        return True

    def forget_unconfirmed(self, now: int) -> None:
        """An exchange need not say that it heard a release."""
        for tag in [tag for tag, one in self.unconfirmed.items() if one.at < now - UNCONFIRMED_FOR]:
            del self.unconfirmed[tag]

    def close(self) -> None:
        self.closing = True
        for connection in self.connections:
            if connection.stream is not None:
                connection.stream.close()
                connection.stream = None
            connection.task.cancel()
