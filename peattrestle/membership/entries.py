"""One exchange as a registry's value: JSON under PREFIX/NAME."""

from __future__ import annotations

import re
from typing import Literal

import msgspec

MOST_VALUE = 4096
NAME = re.compile(r"[A-Za-z0-9_.\-]{1,64}")
ADDRESS = re.compile(r"[A-Za-z0-9_.\-]{1,255}:[0-9]{1,5}")


class BadEntry(Exception):
    """The text names the key and what is wrong with it."""


class Entry(msgspec.Struct, frozen=True):
    """`started`: seconds since 1970 at which the exchange began to run, 0 for not known."""

    number: int
    state: Literal["ready", "draining", "gone"] = "ready"
    address: str = ""
    zone: str = ""
    started: float = 0.0


def read(prefix: bytes, key: bytes, value: bytes) -> tuple[str, Entry]:
    """The exchange's name and entry. Raises BadEntry. Fields that are not known are passed over."""
    name = key[len(prefix) :].decode("ascii", "replace")
    if not key.startswith(prefix) or NAME.fullmatch(name) is None:
        raise BadEntry(f"{key[:100]!r}: no name of an exchange")
    if len(value) > MOST_VALUE:
        raise BadEntry(f"{name}: {len(value)} bytes, at most {MOST_VALUE}")
    try:
        entry: Entry = msgspec.json.decode(value, type=Entry)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
        raise BadEntry(f"{name}: {fault}") from None
    if not 0 <= entry.number <= 1_000_000:
        raise BadEntry(f"{name}: number {entry.number}, from 0 to 1000000")
    if entry.address and (
        ADDRESS.fullmatch(entry.address) is None or not 0 < int(entry.address.rpartition(":")[2]) < 65536
    ):
        raise BadEntry(f"{name}: address {entry.address[:80]!r}, as host:port")
    if not 0 <= entry.started < 1e11:
        raise BadEntry(f"{name}: started {entry.started}, as seconds since 1970")
    return name, entry
