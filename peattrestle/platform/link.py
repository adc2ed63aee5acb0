"""The connection to one exchange: made, tested where it is quiet, made again after growing, drawn waits.

What a connection tells is the owner's to use; this keeps only whether there is one, and whether the exchange
speaks on it. A release with an error is no sign of life: whatever stands before a vanished machine goes on
answering so to set-ups that nobody could use.

A connection may go silent while its exchange is well. How long it may be quiet is measured: many times the
usual gap between two signs of life. It is then tested, and given up where no sign follows. The next one is
dialled at once, and set-ups of that moment wait for it: that a connection was lost says nothing of the
exchange, that none can be made does.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from peattrestle.exchangeline import lines
from peattrestle.runtime import Coroutine, Kernel, Lost, Refused, Stream

if TYPE_CHECKING:
    from peattrestle.platform.agent import Try

MS = 1_000_000
RETRY_LEAST, RETRY_MOST = 40 * MS, 250 * MS
GAP_FIRST = 100 * MS
GAPS = 10  # of the usual length without a sign of life, within the two below: it is tested
QUIET_LEAST, QUIET_MOST = 100 * MS, 1000 * MS
SILENT = 300 * MS  # none for so long after a test: it is given up
MOST_UNREAD = 262_144


class Owner(Protocol):
    """What a link tells the agent."""

    def link_up(self, link: Link) -> None: ...
    def link_lost(self, link: Link, why: str) -> None: ...
    def link_refused(self, link: Link, gone: bool) -> None: ...
    def link_heard(self, link: Link, line: lines.Line) -> None: ...


class Link:
    """`tries`: the set-ups out on it, by the call's id on the wire; `waiting`: those that wait for the
    connection, with their bytes. `address` is where it is made next."""

    def __init__(self, kernel: Kernel, owner: Owner, exchange: str, address: str, dial_timeout: int) -> None:
        self.kernel, self.owner, self.exchange, self.address = kernel, owner, exchange, address
        self.dial_timeout = dial_timeout
        self.stream: Stream | None = None
        self.tried = self.spoke = self.closing = self.retired = False
        self.tries: dict[str, Try] = {}
        self.waiting: dict[str, bytes] = {}
        self.alive_at = self.asked_at = 0
        self.gap = GAP_FIRST
        self.draw = kernel.chance(f"link/{exchange}")
        self.task = kernel.spawn(self.run(), f"link {exchange}")

    @property
    def up(self) -> bool:
        """There is a connection, and the exchange has spoken on it: its report comes first on each."""
        return self.stream is not None and self.spoke

    @property
    def coming(self) -> bool:
        """None of the attempts since the last connection has failed so far."""
        return not self.tried and not self.retired and not self.closing

    def run(self) -> Coroutine[None]:
        wait = RETRY_LEAST
        self.alive_at = self.kernel.now()
        while not self.closing:
            began = self.kernel.now()
            try:
                stream = yield from self.kernel.connect(self.address, self.dial_timeout)
            except (Refused, ValueError) as fault:
                self.tried = True
                self.owner.link_refused(self, "ECONNREFUSED" in str(fault))
            else:
                why = yield from self.converse(stream)
                stream.abort()
                self.stream, self.tried = None, not self.spoke
                self.owner.link_lost(self, why)
                if self.spoke and self.kernel.now() - began > RETRY_MOST:
                    wait = RETRY_LEAST
                    if not self.retired:
                        continue
            if self.closing or self.retired:
                return
            yield from self.kernel.sleep(round(wait * (1 + self.draw.random()) / 2))
            wait = min(2 * wait, RETRY_MOST)

    def converse(self, stream: Stream) -> Coroutine[str]:
        self.stream, self.spoke = stream, False
        self.asked_at = 0
        reader = lines.Reader()
        keeper = self.kernel.spawn(self.keep(stream), f"keeper {self.exchange}")
        try:
            while True:
                data = yield from stream.read()
                if not data:
                    return "the exchange closed the connection"
                reader.feed(data)
                while (line := reader.next()) is not None:
                    if line.verb != "FINISH" or line.rc not in lines.ERRORS:
                        self.alive()
                    self.owner.link_heard(self, line)
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

    def alive(self) -> None:
        now = self.kernel.now()
        self.gap += (min(now - self.alive_at, QUIET_MOST) - self.gap) // 8
        self.alive_at, self.asked_at = now, 0
        if not self.spoke:
            self.spoke = self.tried = True
            self.owner.link_up(self)

    def keep(self, stream: Stream) -> Coroutine[None]:
        """A machine that vanished gives no sign, nor does a connection that was forgotten on its way."""
        began = self.kernel.now()
        while True:
            now = self.kernel.now()
            if self.asked_at:
                left = self.asked_at + SILENT - now
                if left <= 0:
                    stream.abort()
                    return
            else:
                quiet = min(QUIET_MOST, max(QUIET_LEAST, GAPS * self.gap))
                left = max(self.alive_at, began) + quiet - now
                if left <= 0:
                    self.asked_at, left = now, SILENT
                    stream.write(lines.test(f"{now & 0xFFFFFFFFFFFFFFFF:016x}", False))
            yield from self.kernel.sleep(left)

    def send(self, data: bytes) -> bool:
        if self.stream is None:
            return False
        self.stream.write(data)
        return True

    def close(self) -> None:
        self.closing = True
        if self.stream is not None:
            self.stream.close()
            self.stream = None
        self.task.cancel()
