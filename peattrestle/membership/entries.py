"""Parses a registry entry: one exchange as a JSON object, stored under the key PREFIX + NAME."""

from __future__ import annotations

import re
from typing import Literal

import msgspec

MAX_VALUE_BYTES = 4096
NAME_PATTERN = re.compile(r"[A-Za-z0-9_.\-]{1,64}")
ADDRESS_PATTERN = re.compile(r"[A-Za-z0-9_.\-]{1,255}:[0-9]{1,5}")


class BadEntry(Exception):
    """An entry that is not valid; the message names the exchange or key and the field at fault."""


class Entry(msgspec.Struct, frozen=True):
    """The value of one key: an exchange's number, state, address as host:port, zone and start time.

    `started`: when the exchange started, in seconds since 1970 (Unix time); 0 if not known.
    """

    number: int
    state: Literal["ready", "draining", "gone"] = "ready"
    address: str = ""
    zone: str = ""
    started: float = 0.0


def parse_entry(prefix: bytes, key: bytes, value: bytes) -> tuple[str, Entry]:
    """Returns the exchange's name and its entry; unknown fields are ignored. Raises `BadEntry`."""
    name = key[len(prefix) :].decode("ascii", "replace")
    if not key.startswith(prefix) or NAME_PATTERN.fullmatch(name) is None:
        raise BadEntry(f"{key[:100]!r}: no valid exchange name after the prefix {prefix!r}")
    if len(value) > MAX_VALUE_BYTES:
        raise BadEntry(f"{name}: value of {len(value)} bytes, at most {MAX_VALUE_BYTES}")
    try:
        entry: Entry = msgspec.json.decode(value, type=Entry)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadEntry(f"{name}: {error}") from None
    if not 0 <= entry.number <= 1_000_000:
        raise BadEntry(f"{name}: number {entry.number} is not from 0 to 1000000")
    if entry.address and (
        ADDRESS_PATTERN.fullmatch(entry.address) is None
        or not 0 < int(entry.address.rpartition(":")[2]) < 65536
    ):
        raise BadEntry(f"{name}: address {entry.address[:80]!r} is not host:port")
    if not 0 <= entry.started < 1e11:
        raise BadEntry(f"{name}: started {entry.started} is not a time in seconds since 1970")
    return name, entry
