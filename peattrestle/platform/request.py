"""Validates the set-up requests (INVITE) of callers: required header fields, formats and ranges.

A message that can be framed but is not a valid set-up is answered with an error; other calls are not
affected.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from peattrestle.sip import text as sip

MS = 1_000_000  # nanoseconds
MAX_TIMER_MS = 600_000
MAX_WIDTH = 1_000  # circuits

_call_id_pattern = re.compile("[0-9a-f]{16}")
_uri_pattern = re.compile("sips?:([0-9A-Za-z._+-]{1,64})@[0-9A-Za-z.:-]{1,255}")
_exchange_pattern = re.compile("[0-9A-Za-z._:-]{1,64}")


def is_call_id(text: str) -> bool:
    """Whether this is a Call-ID of the platform: 16 lower-case hexadecimal digits."""
    return _call_id_pattern.fullmatch(text) is not None


class BadSetUp(Exception):
    """An invalid set-up request; the text names the header field and what is wrong with it."""


@dataclass(slots=True, frozen=True)
class SetUpRequest:
    """A caller's set-up request.

    `tag` is its Call-ID and `patience` the time in nanoseconds that the caller waits for the final answer.
    `established_exchange` is the exchange where the call is established already, '' for a new call.
    `description` is the body in UTF-8, b"" once it is no longer needed. The other fields have the same
    meaning as in `interface.CallArrived`.
    """

    tag: str
    bearer_type: str
    number: str
    patience: int
    destination: int
    width: int
    via: int
    transit: bool
    cut_before: bool
    established_exchange: str
    description: bytes


def _parse_integer(text: str, name: str, minimum: int, maximum: int) -> int:
    if len(text) > 12 or not text.isascii() or not text.removeprefix("-").isdigit():
        raise BadSetUp(f"{name}: '{text[:20]}' is not an integer")
    value = int(text)
    if not minimum <= value <= maximum:
        raise BadSetUp(f"{name}: {value} is not from {minimum} to {maximum}")
    return value


def read_set_up(message: sip.Message, bearer_types: frozenset[str]) -> SetUpRequest:
    """Returns the set-up request in an INVITE. Raises BadSetUp if a field is missing or invalid."""
    fields = message.fields
    tag = message.call_id
    if not is_call_id(tag):
        raise BadSetUp(f"Call-ID: '{tag[:20]}' is not 16 lower-case hexadecimal digits")
    if not fields.get("cseq", "").endswith(" INVITE"):
        raise BadSetUp(f"CSeq: the method in '{fields.get('cseq', '')[:20]}' is not INVITE")
    uri = _uri_pattern.fullmatch(message.uri)
    if uri is None:
        raise BadSetUp(f"request URI: '{message.uri[:40]}' is not sip:NUMBER@HOST")
    bearer_type = fields.get("x-cos", "")
    if bearer_type not in bearer_types:
        raise BadSetUp(f"X-Cos: '{bearer_type[:20]}' is not a bearer type")
    legs: dict[str, str] = {}
    for part in fields.get("x-legs", "").split(";"):
        name, colon, value = part.strip().partition(":")
        if not colon or name in legs:
            raise BadSetUp(f"X-Legs: '{part[:40]}' is not name:value with a new name")
        legs[name] = value
    established_exchange = legs.get("at", "")
    if established_exchange and _exchange_pattern.fullmatch(established_exchange) is None:
        raise BadSetUp(f"X-Legs: at: '{established_exchange[:40]}' is not the name of an exchange")
    try:
        message.body.decode()
    except UnicodeDecodeError:
        raise BadSetUp("body: not UTF-8") from None
    if not message.body:
        raise BadSetUp("body: no description")
    return SetUpRequest(
        tag,
        bearer_type,
        uri[1],
        _parse_integer(fields.get("x-timer-ms", ""), "X-Timer-Ms", 1, MAX_TIMER_MS) * MS,
        _parse_integer(legs.get("dest", ""), "X-Legs: dest", 0, 1 << 31),
        _parse_integer(legs.get("width", "1"), "X-Legs: width", 1, MAX_WIDTH),
        _parse_integer(legs.get("via", "-1"), "X-Legs: via", -1, 1 << 31),
        _parse_integer(legs.get("transit", "0"), "X-Legs: transit", 0, 1) == 1,
        _parse_integer(legs.get("again", "0"), "X-Legs: again", 0, 1) == 1,
        established_exchange,
        message.body,
    )
