"""Transactions between two ends of a connection (H.248.1 clause 8 and Annex D), without I/O or clock.

One `Transactions` serves one peer, over all its connections. Replies are kept for the long timer, so that a
repeated request, also over a new connection, gets the same reply and is carried out only once. Text to send
is returned, never written; times are nanoseconds passed in as `now`.

Limits, and what happens there: open requests (`TooManyOpenRequests` is raised); kept replies (the oldest is
evicted, and its request, if repeated after that, is carried out again, so the limit is far above what one
long timer sees); acknowledgements held back (sent with the next message).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from peattrestle.h248.text import Ack, Pending, Reply, Request

SECOND = 1_000_000_000  # nanoseconds
LONG_TIMER = 30 * SECOND  # nanoseconds; H.248.1 D.1.1: how long a reply is kept for a repeated request
MAX_ID = (1 << 32) - 1  # of a transaction


class TooManyOpenRequests(Exception):
    """The limit of open requests to this peer is reached."""


@dataclass(slots=True)
class ServedRequest:
    """A request received from the peer.

    `received_at`: in nanoseconds. `reply` is None while it is carried out, and empty once the peer has
    acknowledged the reply.
    """

    received_at: int
    reply: str | None = None
    pending_sent: bool = False


@dataclass(slots=True)
class NewRequest:
    """A new request: carry it out, then call `answer`."""

    request: Request


@dataclass(slots=True)
class DuplicateRequest:
    """A repeated request: send `text` (its reply, or Pending), and do not carry it out again."""

    text: str


@dataclass(slots=True)
class ReplyReceived:
    """The peer's reply to a request of ours; `attachment` is what was given to `begin`."""

    attachment: Any
    reply: Reply


@dataclass(slots=True)
class PendingReceived:
    """The peer sent Pending for a request of ours; `attachment` is what was given to `begin`."""

    attachment: Any


@dataclass(slots=True)
class UnknownTransaction:
    """A Reply or Pending for a transaction that is not open: late, repeated, or wrong."""

    id: int


ReceiveResult = NewRequest | DuplicateRequest | ReplyReceived | PendingReceived | UnknownTransaction | None


class Transactions:
    """The requests to and from one peer.

    `open` has what was attached to each open request of ours, by id; `received_requests` the peer's requests
    of the last long timer, by id. `evicted_early` counts replies evicted before the long timer had passed.
    """

    def __init__(
        self, first_id: int = 1, max_open_requests: int = 10_000, max_kept_replies: int = 100_000
    ) -> None:
        """`first_id`: the first id used; after a restart another one, unless a ServiceChange announces it."""
        self._next_id = first_id % MAX_ID or 1
        self.max_open_requests, self.max_kept_replies = max_open_requests, max_kept_replies
        self.open: dict[int, Any] = {}
        self.received_requests: OrderedDict[int, ServedRequest] = OrderedDict()
        self.evicted_early = 0
        self._acks: list[int] = []

    # Requests to the peer.

    def begin(self, attachment: Any) -> int:
        """Opens a request and returns its id; `attachment` is returned with the reply.

        Raises TooManyOpenRequests.
        """
        if len(self.open) >= self.max_open_requests:
            raise TooManyOpenRequests(f"{self.max_open_requests} requests are open")
        while self._next_id in self.open:
            self._next_id = self._next_id % MAX_ID + 1
        transaction_id = self._next_id
        self._next_id = transaction_id % MAX_ID + 1
        self.open[transaction_id] = attachment
        return transaction_id

    def close(self, transaction_id: int) -> None:
        """Closes an open request; a later reply to it is an `UnknownTransaction`."""
        self.open.pop(transaction_id, None)

    def close_all(self) -> list[Any]:
        """Closes all open requests after a lost connection; returns their attachments, oldest first."""
        attachments, self.open = list(self.open.values()), {}
        return attachments

    def acks(self) -> str:
        """The acknowledgements of received replies, to prepend to the next message.

        Empty while there are fewer than 32.
        """
        if len(self._acks) < 32:
            return ""
        ranges: list[list[int]] = []
        for transaction_id in sorted(self._acks):
            if ranges and ranges[-1][1] + 1 == transaction_id:
                ranges[-1][1] = transaction_id
            else:
                ranges.append([transaction_id, transaction_id])
        self._acks = []
        texts = ",".join(str(low) if low == high else f"{low}-{high}" for low, high in ranges)
        return f"TransactionResponseAck{{{texts}}}"

    # Received parts.

    def receive(self, now: int, part: Request | Reply | Pending | Ack) -> ReceiveResult:
        """What a received part means; None where nothing is to be done."""
        if isinstance(part, Reply):
            if part.id not in self.open:
                return UnknownTransaction(part.id)
            self._acks.append(part.id)
            return ReplyReceived(self.open.pop(part.id), part)
        if isinstance(part, Request):
            return self._receive_request(now, part)
        if isinstance(part, Pending):
            return (
                PendingReceived(self.open[part.id]) if part.id in self.open else UnknownTransaction(part.id)
            )
        for low, high in part.ranges:
            if high - low < len(self.received_requests):
                transaction_ids = [
                    transaction_id
                    for transaction_id in range(low, high + 1)
                    if transaction_id in self.received_requests
                ]
            else:
                transaction_ids = [
                    transaction_id
                    for transaction_id in self.received_requests
                    if low <= transaction_id <= high
                ]
            for transaction_id in transaction_ids:
                if self.received_requests[transaction_id].reply is not None:
                    self.received_requests[transaction_id].reply = ""  # only the id is still needed
        return None

    def _receive_request(self, now: int, request: Request) -> ReceiveResult:
        self.expire(now)
        served = self.received_requests.get(request.id)
        if served is None:
            if len(self.received_requests) >= self.max_kept_replies:
                self.received_requests.popitem(last=False)
                self.evicted_early += 1
            self.received_requests[request.id] = ServedRequest(now)
            return NewRequest(request)
        if served.reply is None:
            return DuplicateRequest(f"Pending={request.id}{{}}")
        return DuplicateRequest(served.reply) if served.reply else None

    def answer(self, transaction_id: int, reply: str) -> None:
        """Keeps the reply for a repeat of the request; it is sent elsewhere.

        Raises KeyError where the request has a reply already.
        """
        served = self.received_requests.get(transaction_id)
        if served is None:
            return  # the long timer has passed: the reply need not be kept
        if served.reply is not None:
            raise KeyError(f"transaction {transaction_id} already has a reply")
        served.reply = reply

    def is_unanswered(self, transaction_id: int) -> bool:
        """Whether the peer's request has no reply yet."""
        served = self.received_requests.get(transaction_id)
        return served is not None and served.reply is None

    def expire(self, now: int) -> None:
        """Forgets requests older than the long timer, except those still being carried out."""
        cutoff = now - LONG_TIMER
        while self.received_requests:
            transaction_id, served = next(iter(self.received_requests.items()))
            if served.received_at > cutoff:
                return
            if served.reply is None:
                # Still being carried out: kept as if new, since a repeat must not start it again.
                self.received_requests.move_to_end(transaction_id)
                served.received_at = now
            else:
                del self.received_requests[transaction_id]

    def peer_restarted(self) -> None:
        """Forgets the peer's requests after its restart, since it may use their ids again."""
        self.received_requests.clear()
