"""Transactions between two ends of a connection (H.248.1 clause 8 and Annex D), without I/O or clock.

One `Transactions` serves one peer, over all its connections: what was carried out is remembered for the long
timer, so a request that is repeated, also over a new connection, gets the same reply and is not carried out
again. Bytes to send are returned, never written; times are nanoseconds given by the caller.

Bounds, and what happens there: open requests (`Full` is raised), remembered replies (the oldest is forgotten:
its request, repeated after that, would be carried out again, so the bound is far above what one long timer
sees), acknowledgements held back (sent with the next message).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from peattrestle.h248.text import Ack, Pending, Reply, Request

SECOND = 1_000_000_000
LONG_TIMER = 30 * SECOND  # H.248.1 D.1.1: how long a reply is kept for a repeated request
MOST_ID = (1 << 32) - 1


class Full(Exception):
    """As many requests are open to this peer as may be."""


@dataclass(slots=True)
class Served:
    """A request of the peer's: `reply` is None while it is carried out."""

    at: int
    reply: str | None = None
    pending_said: bool = False


@dataclass(slots=True)
class New:
    """Carry this request out, then call `answer`."""

    request: Request


@dataclass(slots=True)
class Again:
    """A request seen before: send this (its reply, or that it is pending). Nothing is carried out."""

    text: str


@dataclass(slots=True)
class Answered:
    """The peer's reply to our request, with what was kept for it."""

    kept: Any
    reply: Reply


@dataclass(slots=True)
class Slow:
    """The peer says that it is still at our request."""

    kept: Any


@dataclass(slots=True)
class Stray:
    """A reply, or a word of pending, to nothing that is open: late, doubled, or wrong."""

    id: int


Outcome = New | Again | Answered | Slow | Stray | None


class Transactions:
    def __init__(self, first: int = 1, most_open: int = 10_000, most_kept: int = 100_000) -> None:
        """`first`: the first id used. An end that restarts starts elsewhere, or says so by ServiceChange."""
        self._next = first % MOST_ID or 1
        self.most_open, self.most_kept = most_open, most_kept
        self.open: dict[int, Any] = {}
        self.served: OrderedDict[int, Served] = OrderedDict()
        self.forgotten_early = 0
        self._acks: list[int] = []

    # Our requests.

    def begin(self, kept: Any) -> int:
        """An id for a new request; `kept` comes back with its reply. Raises Full."""
        if len(self.open) >= self.most_open:
            raise Full(f"{self.most_open} requests are open")
        while self._next in self.open:
            self._next = self._next % MOST_ID + 1
        number = self._next
        self._next = number % MOST_ID + 1
        self.open[number] = kept
        return number

    def give_up(self, number: int) -> None:
        """Its reply, should it still come, is a stray."""
        self.open.pop(number, None)

    def lost(self) -> list[Any]:
        """The connection is gone: all that was open ends here. What was kept for each, oldest first."""
        kept, self.open = list(self.open.values()), {}
        return kept

    def acks(self) -> str:
        """Acknowledgements for replies that came, as a text to go before the next message's parts."""
        if len(self._acks) < 32:
            return ""
        ranges: list[list[int]] = []
        for number in sorted(self._acks):
            if ranges and ranges[-1][1] + 1 == number:
                ranges[-1][1] = number
            else:
                ranges.append([number, number])
        self._acks = []
        rows = ",".join(str(low) if low == high else f"{low}-{high}" for low, high in ranges)
        return f"TransactionResponseAck{{{rows}}}"

    # What came in.

    def receive(self, now: int, part: Request | Reply | Pending | Ack) -> Outcome:
        if isinstance(part, Reply):
            if part.id not in self.open:
                return Stray(part.id)
            self._acks.append(part.id)
            return Answered(self.open.pop(part.id), part)
        if isinstance(part, Request):
            return self._requested(now, part)
        if isinstance(part, Pending):
            return Slow(self.open[part.id]) if part.id in self.open else Stray(part.id)
        for low, high in part.ranges:
            if high - low < len(self.served):
                numbers = [number for number in range(low, high + 1) if number in self.served]
            else:
                numbers = [number for number in self.served if low <= number <= high]
            for number in numbers:
                if self.served[number].reply is not None:
                    self.served[number].reply = ""  # known to have been carried out; the words may go
        return None

    def _requested(self, now: int, request: Request) -> Outcome:
        self.forget(now)
        served = self.served.get(request.id)
        if served is None:
            if len(self.served) >= self.most_kept:
                self.served.popitem(last=False)
                self.forgotten_early += 1
            self.served[request.id] = Served(now)
            return New(request)
        if served.reply is None:
            return Again(f"Pending={request.id}{{}}")
        return Again(served.reply) if served.reply else None

    def answer(self, number: int, text: str) -> None:
        """Keeps the reply that the caller now sends. Answering twice is a fault: raises KeyError."""
        served = self.served.get(number)
        if served is None:
            return  # the long timer has passed: the reply is sent, and not kept
        if served.reply is not None:
            raise KeyError(f"transaction {number} has been answered")
        served.reply = text

    def owes(self, number: int) -> bool:
        """Whether the peer's request is still without its reply."""
        served = self.served.get(number)
        return served is not None and served.reply is None

    def forget(self, now: int) -> None:
        """Drops what is older than the long timer; one still being carried out is kept."""
        old = now - LONG_TIMER
        while self.served:
            number, served = next(iter(self.served.items()))
            if served.at > old:
                return
            if served.reply is None:
                # Still carried out: it moves to the young end, as its repeat must not start it anew.
                self.served.move_to_end(number)
                served.at = now
            else:
                del self.served[number]

    def restarted(self) -> None:
        """The peer said that it started anew: its ids may come again for other requests."""
        self.served.clear()
