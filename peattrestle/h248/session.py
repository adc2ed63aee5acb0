"""One connection's conversation without I/O: bytes in, outcomes out; bytes to send go to `write`.

Garbled messages are answered with an error by themselves; repeats are answered from what is kept. Frames that
are none, a peer that changes its name, or too many garbled messages in a row raise `BadPeer`: close then.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from peattrestle.h248 import text, tpkt
from peattrestle.h248.transactions import Again, Answered, New, Slow, Stray, Transactions

MOST_GARBLED = 20


class BadPeer(Exception):
    """The conversation can't go on."""


@dataclass(slots=True)
class Garbled:
    """A message that could be framed but not read; its error has been sent."""

    fault: text.Malformed


Heard = New | Answered | Slow | Stray | Garbled


class Session:
    """`bind` is given the peer's message identifier once it is known, and may hand over the transactions that
    are remembered for it from an earlier connection."""

    def __init__(
        self,
        mid: str,
        transactions: Transactions,
        write: Callable[[bytes], None],
        most: int = text.MOST_BYTES,
        bind: Callable[[str], Transactions | None] | None = None,
    ) -> None:
        self.mid, self.transactions, self.most = mid, transactions, most
        self.peer = ""
        self.garbled = 0
        self.messages_in = self.messages_out = 0
        self._write, self._bind = write, bind
        self._framer = tpkt.Framer(most)
        self._head = f"MEGACO/{text.VERSION} {mid}\n".encode()

    def feed(self, now: int, data: bytes) -> list[Heard]:
        """Raises BadPeer."""
        try:
            messages = self._framer.feed(data)
        except tpkt.BadFrame as fault:
            raise BadPeer(str(fault)) from None
        heard: list[Heard] = []
        for message in messages:
            self.messages_in += 1
            try:
                parsed = text.parse(message, self.most)
            except text.Malformed as fault:
                self._answer_garbled(fault)
                heard.append(Garbled(fault))
                continue
            self.garbled = 0
            if parsed.mid != self.peer:
                self._name(parsed.mid)
            for part in parsed.parts:
                outcome = self.transactions.receive(now, part)
                if isinstance(outcome, Again):
                    self.send(outcome.text)
                elif outcome is not None:
                    heard.append(outcome)
        return heard

    def peek(self, data: bytes) -> list[text.Message]:
        """The messages that these bytes complete, with nothing done about them, when it is over.

        Raises BadPeer and Malformed.
        """
        try:
            return [text.parse(message, self.most) for message in self._framer.feed(data)]
        except tpkt.BadFrame as fault:
            raise BadPeer(str(fault)) from None

    def _name(self, mid: str) -> None:
        if self.peer:
            raise BadPeer(f"the peer was {self.peer} and now says that it is {mid}")
        self.peer = mid
        if self._bind is not None:
            self.transactions = self._bind(mid) or self.transactions

    def _answer_garbled(self, fault: text.Malformed) -> None:
        self.garbled += 1
        if self.garbled > MOST_GARBLED:
            raise BadPeer(f"{self.garbled} garbled messages in a row")
        error = text.error_text((fault.code, str(fault).replace('"', "'")))
        # A reply where its transaction is known, so that the asker need not wait; else for the message.
        known = fault.transaction
        if known is not None and known not in self.transactions.served:
            self.send(f"Reply={known}{{{error}}}")
        elif known is None:
            self.send(error)

    def send(self, parts: str) -> None:
        self.messages_out += 1
        message = self._head + self.transactions.acks().encode() + parts.encode()
        self._write(tpkt.frame(message))

    def request(self, kept: Any, build: Callable[[int], str]) -> int:
        """Sends a request and returns its id. Raises Full, and ValueError where it can't be written."""
        number = self.transactions.begin(kept)
        try:
            self.send(build(number))
        except ValueError:
            self.transactions.give_up(number)
            raise
        return number

    def reply(self, number: int, parts: str) -> None:
        self.transactions.answer(number, parts)
        self.send(parts)
