"""Connections from callers: accepted up to a limit, read, and closed only after their calls are answered.

An orderly close has four steps: nothing more is read as messages, the open calls get their answers, the
sending side is closed, and further input is discarded for a short time. Closing with unread input would reset
the connection, and the reset could overtake the last answers. Times are nanoseconds.
"""

from __future__ import annotations

import enum
import itertools
import traceback
from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

from peattrestle.calls.core import Counts, Log
from peattrestle.runtime import ConnectionLost, Coroutine, Kernel, Listener, Stream
from peattrestle.runtime.supervise import supervised
from peattrestle.sip import text as sip

MS = 1_000_000  # nanoseconds
FIRST_MESSAGE_TIMEOUT = 2_000 * MS  # for the first byte of a new connection
MESSAGE_TIMEOUT = 1_500 * MS  # first to last byte of a connection's first message
LATER_MESSAGE_TIMEOUT = 4_000 * MS  # first to last byte of any further message
MAX_UNSENT_BYTES = 131_072
MAX_DISCARDED_BYTES = 65_536
DISCARD_PAUSE = 10 * MS  # between full reads of discarded input
READ_SIZE = 16_384  # bytes
# Since a connection came up, or a message on it began, before it is closed at the limit.
UNFINISHED_MESSAGE_GRACE = 250 * MS
UNREAD_INPUT_GRACE = 500 * MS  # more for an overdue message while there is input to be read
STRANGER_TIME = 3_000 * MS  # without a valid set-up, before unread input keeps a connection no longer
MESSAGES_PER_TURN = 64  # of all connections together, if several wait with more than they can have
MAX_MESSAGES_PER_TURN = 8  # of one connection; at least one
ACCEPTS_PER_TURN = 16
IDLE_CHECKS = 16  # connections with the same evidence looked at for one to close
BUFFERS_KEPT = 0.75  # of the limit, when buffers are freed
LINGER_TIME = 50 * MS  # a set-up may still be in flight this long when we close


class CallerEvidence(enum.IntEnum):
    """What a connection has shown of its peer, in rising order.

    `SET_UP`: it has sent a valid set-up, which an abusive peer may do as well. `PROVEN`: a call was
    established on it, or the peer knew an established call.
    """

    NONE = 0
    SET_UP = 1
    PROVEN = 2


class Caller:
    """One connection from a caller.

    `open_calls` are the Call-IDs of the calls received on it that await their answer. `partial_since` is the
    time at which an incomplete message began, 0 without one. `evidence` tells whether a caller is behind it.
    `buffered_bytes` were counted for it last; `has_backlog`: whole messages wait in its buffer.
    """

    __slots__ = (
        "stream",
        "reader",
        "open_calls",
        "accepted_at",
        "partial_since",
        "has_sent_message",
        "close_reason",
        "discarded_bytes",
        "was_reset",
        "evidence",
        "buffered_bytes",
        "has_backlog",
    )

    def __init__(self, stream: Stream, now: int) -> None:
        self.stream, self.reader = stream, sip.Reader()
        self.open_calls: dict[str, None] = {}
        self.accepted_at, self.partial_since = now, 0
        self.has_sent_message = False  # at least one complete message
        self.close_reason = ""  # once set, further input is discarded
        self.discarded_bytes = 0
        self.was_reset = False  # the last bytes written may not have been read
        self.evidence = CallerEvidence.NONE
        self.buffered_bytes = 0
        self.has_backlog = False

    @property
    def has_unread_input(self) -> bool:
        """Whether the peer has sent something that was not processed."""
        return self.has_backlog or self.stream.has_unread_input()

    def is_late(self, now: int) -> bool:
        """Whether the first message, or the rest of one, is overdue."""
        if self.close_reason:
            return False
        if self.partial_since:
            timeout = LATER_MESSAGE_TIMEOUT if self.has_sent_message else MESSAGE_TIMEOUT
            return now - self.partial_since > timeout
        return not self.has_sent_message and now - self.accepted_at > FIRST_MESSAGE_TIMEOUT


class ConnectionObserver(Protocol):
    """Limits and callbacks of the connections."""

    def max_caller_connections(self) -> int:
        """Returns the limit of connections."""
        ...

    def max_buffered_bytes(self) -> int:
        """Returns the limit of bytes buffered for all connections together."""
        ...

    def handle_message(self, caller: Caller, message: sip.Message) -> None:
        """Handles one message from a caller."""
        ...

    def on_connection_ended(self, caller: Caller) -> None:
        """Handles the end of a connection, possibly with open calls."""
        ...


class CallerConnections:
    """All connections from callers, within the observer's limits.

    `active` are the connections in use, the longest silent one first; `lingering` are those whose sending
    side is closed. `buffered_bytes` were received and not processed, or written and not sent; `backlogs`
    counts the connections with whole messages in their buffers.
    """

    def __init__(self, kernel: Kernel, observer: ConnectionObserver, counts: Counts, log: Log) -> None:
        self.kernel, self.observer, self.counts, self.log = kernel, observer, counts, log
        self.buffered_bytes = self.backlogs = 0
        self.active: OrderedDict[Caller, None] = OrderedDict()
        # The same connections by their evidence, the longest silent one first.
        self._by_evidence: tuple[OrderedDict[Caller, None], ...] = tuple(
            OrderedDict() for _ in CallerEvidence
        )
        self.lingering: dict[Caller, None] = {}
        self.listener: Listener | None = None

    def listen(self, address: str) -> None:
        """Starts accepting connections. Raises OSError if it cannot listen on `address`."""
        self.listener = self.kernel.listen(address)
        listener = self.listener
        self.kernel.spawn(supervised(self.kernel, lambda: self.accept(listener), "callers"), "callers")

    def accept(self, listener: Listener) -> Coroutine[None]:
        """Accepts connections until the listener is closed; other work goes on while they never end."""
        accepted = 0
        while True:
            try:
                stream = yield from listener.accept()
            except ConnectionLost:
                return
            self.add_connection(stream)
            accepted += 1
            if accepted % ACCEPTS_PER_TURN == 0:
                yield from self.kernel.sleep(0)

    def add_connection(self, stream: Stream) -> None:
        """Serves a new connection; at the limit, closes an idle one first, or rejects the new one."""
        held = len(self.active) + len(self.lingering)
        if held >= self.observer.max_caller_connections() and not self.close_idle():
            self.counts.add("connections_shed")
            self.log(
                "warning", "caller connection rejected", why="connection limit reached", held=len(self.active)
            )
            stream.close()
            return
        caller = Caller(stream, self.kernel.now())
        self.active[caller] = self._by_evidence[caller.evidence][caller] = None
        self.kernel.spawn(self.serve(caller), "caller")

    def close_idle(self) -> bool:
        """Closes a connection that is not in use; False if there is none.

        Connections that have shown least of a caller go first, of equal ones the longest silent one. If all
        are in use, one goes all the same that has not sent a valid set-up: one that is new or within a
        message, else one that has been open for long.
        """
        strangers = self._by_evidence[CallerEvidence.NONE]
        caller = next(filter(None, map(self.find_idle, self._by_evidence)), None)
        caller = caller or self.find_idle(strangers, with_grace=False)
        opened_before = self.kernel.now() - STRANGER_TIME
        caller = caller or next((caller for caller in strangers if caller.accepted_at < opened_before), None)
        if caller is None:
            return False
        self.counts.add("connections_closed")
        self.remove(caller, "closed for a new connection at the limit")
        caller.stream.close()
        return True

    def find_idle(self, callers: Iterable[Caller], with_grace: bool = True) -> Caller | None:
        """Returns the first of some connections on which no set-up is open or on its way.

        `with_grace`: one without a message that is new, or within a message that began lately, is in use.
        """
        now = self.kernel.now()
        for caller in itertools.islice(callers, IDLE_CHECKS):
            began_at = caller.partial_since or (0 if caller.has_sent_message else caller.accepted_at)
            if with_grace and now - began_at < UNFINISHED_MESSAGE_GRACE:
                continue
            if not caller.open_calls and not caller.close_reason and not caller.has_unread_input:
                return caller
        return None

    def raise_evidence(self, caller: Caller, evidence: CallerEvidence) -> None:
        """Records what an open connection has shown to be."""
        if evidence > caller.evidence and caller in self.active:
            del self._by_evidence[caller.evidence][caller]
            caller.evidence = evidence
            self._by_evidence[evidence][caller] = None

    # Reading.

    def serve(self, caller: Caller) -> Coroutine[None]:
        """Reads one connection until it ends."""
        stream = caller.stream
        why = "closed by the caller"
        try:
            while data := (yield from stream.read(READ_SIZE)):
                if caller.close_reason:
                    self.discard(caller, data)
                else:
                    caller.reader.feed(data)
                    yield from self.process_input(caller)
                if stream.unsent > MAX_UNSENT_BYTES:
                    yield from self.kernel.sleep(0)  # what a turn has written is sent at its end
                if stream.unsent > MAX_UNSENT_BYTES:
                    why = f"the caller left {stream.unsent} bytes unread"
                    caller.was_reset = True
                    stream.abort()
                    break
                if len(data) == READ_SIZE:  # lets other tasks run while a peer sends without pause
                    yield from self.kernel.sleep(DISCARD_PAUSE if caller.close_reason else 0)
        except ConnectionLost as error:
            why = str(error)
            caller.was_reset = True
        finally:
            self.remove(caller, caller.close_reason or why)
            self.lingering.pop(caller, None)
            stream.close()

    def process_input(self, caller: Caller) -> Coroutine[None]:
        """Dispatches the messages in the buffer, some in each turn."""
        while self.dispatch_messages(caller):
            caller.has_backlog = True
            self.backlogs += 1
            try:
                yield from self.kernel.sleep(0)
            finally:
                self.backlogs -= 1
        caller.has_backlog = False
        if not caller.reader.has_partial_message:
            caller.partial_since = 0
        elif not caller.partial_since:
            caller.partial_since = self.kernel.now()
        if caller in self.active:
            self.active.move_to_end(caller)
            self._by_evidence[caller.evidence].move_to_end(caller)
        self.count_buffers(caller)
        if self.buffered_bytes > self.observer.max_buffered_bytes():
            self.free_buffers()

    def dispatch_messages(self, caller: Caller) -> bool:
        """Decodes and dispatches some messages; a malformed one ends the connection.

        Returns whether there may be more.
        """
        try:
            for _ in range(min(MAX_MESSAGES_PER_TURN, max(1, MESSAGES_PER_TURN // (self.backlogs + 1)))):
                message = caller.reader.next() if not caller.close_reason else None
                if message is None:
                    return False
                caller.has_sent_message, caller.partial_since = True, 0
                self.dispatch(caller, message)
        except sip.BadMessage as error:
            self.counts.add("bad_messages")
            caller.stream.write(sip.answer(error.status, {}))
            caller.reader.clear()
            self.begin_close(caller, f"bad message: {error}")
            return False
        return True

    def dispatch(self, caller: Caller, message: sip.Message) -> None:
        """Passes a message to the observer.

        An exception in the handler costs only this message, not the open calls of its connection.
        """
        try:
            self.observer.handle_message(caller, message)
        except Exception as error:
            self.counts.add("message_faults")
            where = "".join(traceback.format_tb(error.__traceback__)[-2:])
            fields = {"reference": message.call_id[:40], "error": repr(error), "where": where}
            self.log("error", "handling a message raised an exception", method=message.method, **fields)
            if message.method == "INVITE" and message.call_id not in caller.open_calls:
                caller.stream.write(sip.answer(500, message.fields))

    def discard(self, caller: Caller, data: bytes) -> None:
        """Ignores input of a closing connection; too much of it closes the connection at once."""
        caller.discarded_bytes += len(data)
        if caller.discarded_bytes > MAX_DISCARDED_BYTES and not caller.open_calls:
            caller.stream.close()

    # Memory.

    def count_buffers(self, caller: Caller) -> None:
        """Counts the bytes that are buffered for a connection now."""
        held = caller.reader.buffered_bytes + caller.stream.unsent if caller in self.active else 0
        self.buffered_bytes += held - caller.buffered_bytes
        caller.buffered_bytes = held

    def free_buffers(self) -> None:
        """Ends the connections that hold most, if all together are over the limit.

        One that does not read what it is sent is reset; of one that has sent part of a message that part is
        dropped, and it is closed once its open calls are answered.
        """
        for caller in self.active:
            self.count_buffers(caller)
        limit = self.observer.max_buffered_bytes()
        if self.buffered_bytes <= limit:
            return
        for caller in sorted(self.active, key=lambda caller: -caller.buffered_bytes):
            if self.buffered_bytes <= limit * BUFFERS_KEPT:
                break
            self.counts.add("connections_ended_for_memory")
            if caller.stream.unsent > caller.reader.buffered_bytes:
                caller.was_reset = True
                caller.stream.abort()
            else:
                caller.reader.clear()
                caller.stream.write(sip.answer(503, {}))
                self.begin_close(caller, "memory limit reached")
            self.count_buffers(caller)

    # Ending.

    def begin_close(self, caller: Caller, why: str) -> None:
        """Stops reading messages from the connection and closes it once its calls are answered."""
        if not caller.close_reason:
            caller.close_reason = why
            self.close_if_done(caller)

    def close_if_done(self, caller: Caller) -> None:
        """Closes a connection marked for closing once its calls are answered; called after each answer."""
        if not caller.close_reason or caller.open_calls or caller not in self.active:
            return
        self.remove(caller, caller.close_reason)
        self.lingering[caller] = None
        caller.stream.close_write()
        self.kernel.call_at(self.kernel.now() + LINGER_TIME, caller.stream.close)

    def remove(self, caller: Caller, why: str) -> None:
        """Removes a connection; its open calls need no answer any more."""
        if caller not in self.active:
            return
        del self.active[caller], self._by_evidence[caller.evidence][caller]
        caller.reader.clear()  # calls may refer to the connection for long
        self.count_buffers(caller)
        open_calls = list(caller.open_calls)
        self.log("debug", "caller connection ended", why=why, peer=caller.stream.peer, open=open_calls)
        self.observer.on_connection_ended(caller)

    def close_late(self, now: int) -> None:
        """Answers connections whose first or current message is overdue with 408, and closes them."""
        for caller in [caller for caller in self.active if caller.is_late(now)]:
            if caller.has_unread_input and not caller.is_late(now - UNREAD_INPUT_GRACE):
                continue  # the rest may be there: it is this agent that is late
            self.counts.add("late_callers")
            caller.stream.write(sip.answer(408, {}))
            self.begin_close(
                caller, "message not complete in time" if caller.has_sent_message else "no message in time"
            )

    def stop_listening(self) -> None:
        """Accepts the connections already in the backlog, and then closes the listener."""
        if self.listener is not None:
            for stream in self.listener.close_and_accept_pending():
                self.add_connection(stream)
            self.listener = None

    def begin_close_all(self, why: str) -> None:
        """Closes every connection once its calls are answered.

        All are marked first, so that nothing moves from one closing connection to the next.
        """
        callers = list(self.active)
        for caller in callers:
            caller.close_reason = caller.close_reason or why
        for caller in callers:
            self.close_if_done(caller)

    @property
    def all_closed(self) -> bool:
        """Whether no connection is left."""
        return not self.active and not self.lingering
