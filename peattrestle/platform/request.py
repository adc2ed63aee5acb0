"""What a caller's set-up must look like: its fields checked, within bounds.

A set-up that can be framed and not used gets an error, and harms no other call.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from peattrestle.sip import text as sip

MS = 1_000_000
MOST_TIMER = 600_000
MOST_WIDTH = 1_000

_call_id = re.compile("[0-9a-f]{16}")
_uri = re.compile("sips?:([0-9A-Za-z._+-]{1,64})@[0-9A-Za-z.:-]{1,255}")
_exchange = re.compile("[0-9A-Za-z._:-]{1,64}")


class BadSetUp(Exception):
    """A set-up that can't be used; the text names field and fault."""


@dataclass(slots=True, frozen=True)
class SetUpRequest:
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


def read_set_up(message: sip.Message, bearer_types: frozenset[str]) -> SetUpRequest:
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
    return SetUpRequest(
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
