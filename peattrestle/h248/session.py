"""An H.248 session over one connection, without I/O: bytes in, events out; bytes to send go to `write`.

Malformed messages are answered with an error, and repeated requests with the kept reply, without the caller.
Invalid frames, a peer that changes its message identifier, or too many malformed messages in a row raise
`ProtocolViolation`: the caller is to close the connection.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from peattrestle.h248 import text, tpkt
from peattrestle.h248.transactions import (
    DuplicateRequest,
    NewRequest,
    PendingReceived,
    ReplyReceived,
    Transactions,
    UnknownTransaction,
)

MAX_MALFORMED_IN_A_ROW = 20


class ProtocolViolation(Exception):
    """The peer violates the protocol: the connection is to be closed."""


@dataclass(slots=True)
class MalformedMessage:
    """A message that could not be parsed; the error has been sent to the peer."""

    error: text.Malformed


SessionEvent = NewRequest | ReplyReceived | PendingReceived | UnknownTransaction | MalformedMessage


class Session:
    """A session with one peer; `mid` is the own message identifier, `peer` the peer's once it is known.

    `bind(peer)` is called once the peer's message identifier is known, and may return the transactions kept
    for it from an earlier connection.
    """

    def __init__(
        self,
        mid: str,
        transactions: Transactions,
        write: Callable[[bytes], None],
        max_message_bytes: int = text.MAX_MESSAGE_BYTES,
        bind: Callable[[str], Transactions | None] | None = None,
    ) -> None:
        self.mid, self.transactions, self.max_message_bytes = mid, transactions, max_message_bytes
        self.peer = ""
        self.malformed_in_a_row = 0
        self.messages_in = self.messages_out = 0
        self._write, self._bind = write, bind
        self._framer = tpkt.Framer(max_message_bytes)
        self._header = f"MEGACO/{text.VERSION} {mid}\n".encode()

    def feed(self, now: int, data: bytes) -> list[SessionEvent]:
        """The events of the messages that `data` completes; `now` in nanoseconds.

        Raises ProtocolViolation.
        """
        try:
            messages = self._framer.feed(data)
        except tpkt.BadFrame as error:
            raise ProtocolViolation(str(error)) from None
        events: list[SessionEvent] = []
        for message in messages:
            self.messages_in += 1
            try:
                parsed = text.parse(message, self.max_message_bytes)
            except text.Malformed as error:
                self._answer_malformed(error)
                events.append(MalformedMessage(error))
                continue
            self.malformed_in_a_row = 0
            if parsed.mid != self.peer:
                self._set_peer(parsed.mid)
            for part in parsed.parts:
                event = self.transactions.receive(now, part)
                if isinstance(event, DuplicateRequest):
                    self.send(event.text)
                elif event is not None:
                    events.append(event)
        return events

    def peek(self, data: bytes) -> list[text.Message]:
        """The messages that `data` completes, without handling them; for data left when a session has ended.

        Raises ProtocolViolation and Malformed.
        """
        try:
            return [text.parse(message, self.max_message_bytes) for message in self._framer.feed(data)]
        except tpkt.BadFrame as error:
            raise ProtocolViolation(str(error)) from None

    def _set_peer(self, mid: str) -> None:
        if self.peer:
            raise ProtocolViolation(f"the message identifier changed from {self.peer} to {mid}")
        self.peer = mid
        if self._bind is not None:
            self.transactions = self._bind(mid) or self.transactions

    def _answer_malformed(self, error: text.Malformed) -> None:
        self.malformed_in_a_row += 1
        if self.malformed_in_a_row > MAX_MALFORMED_IN_A_ROW:
            raise ProtocolViolation(f"{self.malformed_in_a_row} malformed messages in a row")
        error_descriptor = text.error_text((error.code, str(error).replace('"', "'")))
        # In a Reply where the transaction id is known, so that the peer need not wait for a timeout; else for
        # the whole message.
        transaction_id = error.transaction
        if transaction_id is not None and transaction_id not in self.transactions.received_requests:
            self.send(f"Reply={transaction_id}{{{error_descriptor}}}")
        elif transaction_id is None:
            self.send(error_descriptor)

    def send(self, parts: str) -> None:
        """Sends a message with these transaction parts. Raises ValueError where it does not fit a frame."""
        self.messages_out += 1
        message = self._header + self.transactions.acks().encode() + parts.encode()
        self._write(tpkt.frame(message))

    def request(self, attachment: Any, build: Callable[[int], str]) -> int:
        """Sends the request that `build` writes with its id, and returns the id.

        `attachment` is returned with the reply. Raises TooManyOpenRequests, and ValueError where the request
        can't be written.
        """
        transaction_id = self.transactions.begin(attachment)
        try:
            self.send(build(transaction_id))
        except ValueError:
            self.transactions.close(transaction_id)
            raise
        return transaction_id

    def reply(self, transaction_id: int, parts: str) -> None:
        """Sends a reply and keeps it for a repeat of the request."""
        self.transactions.answer(transaction_id, parts)
        self.send(parts)
