"""Callers' connections: accepted within a bound, read, and ended so that what was taken on them is answered.

A connection is ended in order: no more is taken from it, the calls open on it get their answers, this side
is closed, and what still arrives is thrown away for a moment, since closing over unread bytes resets the
connection, and a reset may overtake the last answers.
"""

from __future__ import annotations

import traceback
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from peattrestle.calls.core import Counts, Log
from peattrestle.runtime import Coroutine, Kernel, Listener, Lost, Stream
from peattrestle.runtime.supervise import supervised
from peattrestle.sip import text as sip

if TYPE_CHECKING:
    from peattrestle.platform.agent import SipCall

MS = 1_000_000
FIRST_MESSAGE_WITHIN = 2_000 * MS
MESSAGE_WITHIN = 1_500 * MS  # from its first byte to its last, where none came whole before
LATER_MESSAGE_WITHIN = 4_000 * MS
MOST_UNSENT = 131_072
MOST_DISCARDED = 65_536
DISCARD_PAUSE = 10 * MS
READ_SIZE = 16_384
JUST_COME = 250 * MS
LINGER = 50 * MS  # as long as a set-up may cross a close


class Caller:
    """One connection; `open` are the calls on it that await their answer."""

    __slots__ = (
        "stream",
        "reader",
        "open",
        "came_at",
        "unfinished_at",
        "spoken",
        "ending",
        "discarded",
        "was_reset",
    )

    def __init__(self, stream: Stream, now: int) -> None:
        self.stream, self.reader = stream, sip.Reader()
        self.open: dict[str, SipCall] = {}
        self.came_at, self.unfinished_at = now, 0
        self.spoken = False  # a whole message has come
        self.ending = ""  # why nothing more is taken from it
        self.discarded = 0
        self.was_reset = False  # what was written last may not have been read

    def late(self, now: int) -> bool:
        """It owes the rest of a message, or a first one, for too long."""
        if self.ending:
            return False
        if self.unfinished_at:
            within = LATER_MESSAGE_WITHIN if self.spoken else MESSAGE_WITHIN
            return now - self.unfinished_at > within
        return not self.spoken and now - self.came_at > FIRST_MESSAGE_WITHIN


class Owner(Protocol):
    """What the connections tell the agent."""

    def heard(self, caller: Caller, message: sip.Message) -> None: ...
    def connection_ended(self, caller: Caller) -> None: ...


class CallerConnections:
    """`most()` is the bound on connections held; `held` has those in use, longest silent first."""

    def __init__(
        self, kernel: Kernel, owner: Owner, counts: Counts, log: Log, most: Callable[[], int]
    ) -> None:
        self.kernel, self.owner, self.counts, self.log, self.most = kernel, owner, counts, log, most
        self.held: OrderedDict[Caller, None] = OrderedDict()
        self.lingering: dict[Caller, None] = {}
        self.listener: Listener | None = None

    def listen(self, address: str) -> None:
        """Raises OSError where it can't listen."""
        self.listener = self.kernel.listen(address)
        listener = self.listener
        self.kernel.spawn(supervised(self.kernel, lambda: self.accept(listener), "callers"), "callers")

    def accept(self, listener: Listener) -> Coroutine[None]:
        while True:
            try:
                stream = yield from listener.accept()
            except Lost:
                return
            self.adopt(stream)

    def adopt(self, stream: Stream) -> None:
        if len(self.held) + len(self.lingering) >= self.most() and not self.close_idle():
            self.counts.add("connections_shed")
            self.log("warning", "a caller's connection shed", why="at the bound", held=len(self.held))
            stream.close()
            return
        caller = Caller(stream, self.kernel.now())
        self.held[caller] = None
        self.kernel.spawn(self.serve(caller), "caller")

    def close_idle(self) -> bool:
        """Closes the connection longest without a word on which no call awaits its answer: first one that
        never spoke, unless it has only just come; one within a message last."""
        new = self.kernel.now() - JUST_COME
        idle = [caller for caller in self.held if not caller.open]
        unspoken = (caller for caller in idle if not caller.spoken and caller.came_at < new)
        between = (caller for caller in idle if not caller.unfinished_at)
        caller = next(unspoken, None) or next(between, None) or next(iter(idle), None)
        if caller is None:
            return False
        self.counts.add("connections_closed")
        self.gone(caller, "closed for a new one at the bound")
        caller.stream.close()
        return True

    # Reading.

    def serve(self, caller: Caller) -> Coroutine[None]:
        stream = caller.stream
        why = "the caller closed it"
        try:
            while data := (yield from stream.read(READ_SIZE)):
                if caller.ending:
                    self.discard(caller, data)
                else:
                    self.take(caller, data)
                if stream.unsent > MOST_UNSENT:
                    why = f"it left {stream.unsent} bytes unread"
                    caller.was_reset = True
                    stream.abort()
                    break
                if len(data) == READ_SIZE:  # one that sends without end leaves others their turn
                    yield from self.kernel.sleep(DISCARD_PAUSE if caller.ending else 0)
        except Lost as fault:
            why = str(fault)
            caller.was_reset = True
        finally:
            self.gone(caller, caller.ending or why)
            self.lingering.pop(caller, None)
            stream.close()

    def take(self, caller: Caller, data: bytes) -> None:
        reader = caller.reader
        reader.feed(data)
        try:
            while not caller.ending and (message := reader.next()) is not None:
                caller.spoken, caller.unfinished_at = True, 0
                self.hear(caller, message)
        except sip.BadMessage as fault:
            self.counts.add("bad_messages")
            caller.stream.write(sip.answer(fault.status, {}))
            self.end(caller, f"bad message: {fault}")
            return
        if not reader.has_partial_message:
            caller.unfinished_at = 0
        elif not caller.unfinished_at:
            caller.unfinished_at = self.kernel.now()
        if caller in self.held:
            self.held.move_to_end(caller)

    def hear(self, caller: Caller, message: sip.Message) -> None:
        """A fault of the program costs one message, not the calls that are open on its connection."""
        try:
            self.owner.heard(caller, message)
        except Exception as fault:
            self.counts.add("message_faults")
            where = "".join(traceback.format_tb(fault.__traceback__)[-2:])
            fields = {"reference": message.call_id[:40], "error": repr(fault), "where": where}
            self.log("error", "a message raised", method=message.method, **fields)
            if message.method == "INVITE" and message.call_id not in caller.open:
                caller.stream.write(sip.answer(500, message.fields))

    def discard(self, caller: Caller, data: bytes) -> None:
        caller.discarded += len(data)
        if caller.discarded > MOST_DISCARDED and not caller.open:
            caller.stream.close()

    # Ending.

    def end(self, caller: Caller, why: str) -> None:
        """Takes nothing more from the connection and closes it when all on it is answered."""
        if not caller.ending:
            caller.ending = why
            self.close_if_done(caller)

    def close_if_done(self, caller: Caller) -> None:
        """To be called when a call on a connection got its answer."""
        if not caller.ending or caller.open or caller not in self.held:
            return
        self.gone(caller, caller.ending)
        self.lingering[caller] = None
        caller.stream.finish()
        self.kernel.at(self.kernel.now() + LINGER, caller.stream.close)

    def gone(self, caller: Caller, why: str) -> None:
        """The connection is of no further use; what is open on it needs no answer any more."""
        if caller not in self.held:
            return
        del self.held[caller]
        open_calls = list(caller.open)
        self.log("debug", "a caller's connection ended", why=why, peer=caller.stream.peer, open=open_calls)
        self.owner.connection_ended(caller)

    def end_late(self, now: int) -> None:
        """Ends those that owe a message, or the rest of one, for too long."""
        for caller in [one for one in self.held if one.late(now)]:
            self.counts.add("late_callers")
            caller.stream.write(sip.answer(408, {}))
            self.end(caller, "a message late to end" if caller.spoken else "no message in time")

    def stop_listening(self) -> None:
        """Takes the connections that wait to be accepted, and no more."""
        if self.listener is not None:
            for stream in self.listener.close_and_take():
                self.adopt(stream)
            self.listener = None

    def end_all(self, why: str) -> None:
        for caller in list(self.held):
            self.end(caller, why)

    @property
    def all_closed(self) -> bool:
        return not self.held and not self.lingering
