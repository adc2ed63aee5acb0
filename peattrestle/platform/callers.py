"""Callers' connections: what each holds, which are closed when, and what a set-up must look like.

A caller is anybody who connects. A message that can't be framed ends its connection, one that can be framed
and not used gets an error; neither harms another call.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from peattrestle.runtime import Stream
from peattrestle.sip import text as sip

if TYPE_CHECKING:
    from peattrestle.platform.agent import SipCall

MS = 1_000_000
UNFINISHED = 1500 * MS  # a message begun and not ended in this time
UNSPOKEN = 2000 * MS  # a connection without a whole message in this time
MOST_UNREAD = 131_072
MOST_TIMER = 600_000
MOST_WIDTH = 1_000

_call_id = re.compile("[0-9a-f]{16}")
_uri = re.compile("sips?:([0-9A-Za-z._+-]{1,64})@[0-9A-Za-z.:-]{1,255}")
_exchange = re.compile("[0-9A-Za-z._:-]{1,64}")


class BadSetUp(Exception):
    """A set-up that can't be used; the text names field and fault."""


class Caller:
    """One connection; `open` are the calls on it that await their answer."""

    __slots__ = ("stream", "reader", "open", "came_at", "unfinished_at", "spoken")

    def __init__(self, stream: Stream, now: int) -> None:
        self.stream, self.reader = stream, sip.Reader()
        self.open: dict[str, SipCall] = {}
        self.came_at, self.unfinished_at = now, 0
        self.spoken = False  # a whole message has come

    def late(self, now: int) -> bool:
        """It owes the rest of a message, or a first one, for too long."""
        if self.unfinished_at:
            return now - self.unfinished_at > UNFINISHED
        return not self.spoken and now - self.came_at > UNSPOKEN


@dataclass(slots=True, frozen=True)
class Asked:
    """A set-up as a caller has sent it; `patience` in nanoseconds; `at`: where it stands already."""

    tag: str
    bearer_type: str
    number: str
    patience: int
    destination: int
    width: int
    via: int
    transit: bool
    again: bool
    at: str
    description: str


def _whole(text: str, name: str, least: int, most: int) -> int:
    if len(text) > 12 or not text.isascii() or not text.removeprefix("-").isdigit():
        raise BadSetUp(f"{name} is no whole number")
    value = int(text)
    if not least <= value <= most:
        raise BadSetUp(f"{name} is not from {least} to {most}")
    return value


def read_set_up(message: sip.Message, bearer_types: frozenset[str]) -> Asked:
    """Raises BadSetUp."""
    fields = message.fields
    tag = message.call_id
    if _call_id.fullmatch(tag) is None:
        raise BadSetUp("Call-ID is not 16 hexadecimal digits")
    if not fields.get("cseq", "").endswith(" INVITE"):
        raise BadSetUp("CSeq is not of an INVITE")
    uri = _uri.fullmatch(message.uri)
    if uri is None:
        raise BadSetUp("the address is not sip:NUMBER@HOST")
    bearer_type = fields.get("x-cos", "")
    if bearer_type not in bearer_types:
        raise BadSetUp("X-Cos names no bearer type")
    legs: dict[str, str] = {}
    for part in fields.get("x-legs", "").split(";"):
        name, colon, value = part.strip().partition(":")
        if not colon or name in legs:
            raise BadSetUp("X-Legs is not a row of name:value")
        legs[name] = value
    at = legs.get("at", "")
    if at and _exchange.fullmatch(at) is None:
        raise BadSetUp("X-Legs: at is no exchange")
    try:
        description = message.body.decode()
    except UnicodeDecodeError:
        raise BadSetUp("the description is not UTF-8") from None
    if not description:
        raise BadSetUp("no description")
    return Asked(
        tag,
        bearer_type,
        uri[1],
        _whole(fields.get("x-timer-ms", ""), "X-Timer-Ms", 1, MOST_TIMER) * MS,
        _whole(legs.get("dest", ""), "X-Legs: dest", 0, 1 << 31),
        _whole(legs.get("width", "1"), "X-Legs: width", 1, MOST_WIDTH),
        _whole(legs.get("via", "-1"), "X-Legs: via", -1, 1 << 31),
        _whole(legs.get("transit", "0"), "X-Legs: transit", 0, 1) == 1,
        _whole(legs.get("again", "0"), "X-Legs: again", 0, 1) == 1,
        at,
        description,
    )
