"""The exchange list of an agent: the JSON lines that its source pushes, and the copy saved over restarts.

A line: {"form": "full" | "delta" | "failed", "entries": [{"exchange", "number", "state", "address", "zone",
"age"}]}; `age` is nanoseconds since the exchange's start, -1 for long ago. A line that is invalid, or has an
invalid entry, raises `BadLine`: the caller closes the connection, and a new one starts with a full list.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Literal

import msgspec

MAX_LINE_BYTES = 1 << 20
MAX_ENTRIES = 10_000  # of one line


class Row(msgspec.Struct, forbid_unknown_fields=False):
    """An exchange of the list; `age` is nanoseconds since its start, -1 for long ago."""

    exchange: str
    number: int
    state: Literal["ready", "draining", "gone"]
    address: str = ""
    zone: str = ""
    age: int = -1


class ListLine(msgspec.Struct):
    """A line of the source: all exchanges, the changed ones, or that the list could not be read."""

    form: Literal["full", "delta", "failed"]
    entries: list[Row] = []


class BadLine(Exception):
    """A line of the list source is invalid."""


_decode: Callable[[bytes], ListLine] = msgspec.json.Decoder(ListLine).decode


def read_line(line: bytes) -> ListLine:
    """Parses and checks a line. Raises BadLine."""
    try:
        parsed = _decode(line)
    except msgspec.DecodeError as error:
        raise BadLine(str(error)) from None
    if len(parsed.entries) > MAX_ENTRIES:
        raise BadLine(f"{len(parsed.entries)} entries; the limit is {MAX_ENTRIES}")
    for row in parsed.entries:
        if not row.exchange or len(row.exchange) > 128 or not 0 <= row.number <= 1 << 31:
            raise BadLine(f"entry {row.exchange[:32]!r}: invalid exchange name or number {row.number}")
    return parsed


class SavedList(msgspec.Struct):
    """The list as saved; `at`: the kernel's clock then, in nanoseconds, which may have been reset since."""

    at: int
    entries: list[Row]
    version: int = 1


class Store:
    """Keeps the last list; this one in memory, as the disk of an agent on the virtual kernel."""

    def __init__(self) -> None:
        self.data = b""

    def load(self) -> bytes:
        """The saved data, empty where there is none or it can't be read."""
        return self.data

    def save(self, data: bytes) -> None:
        """Replaces the saved data. Raises OSError."""
        self.data = data


class FileStore(Store):
    """Keeps the list in `folder`.

    A temporary file is written and renamed, so that a crash leaves the old list or the new one.
    """

    def __init__(self, folder: str) -> None:
        super().__init__()
        self.path = Path(folder) / "exchanges.json"

    def load(self) -> bytes:
        try:
            return self.path.read_bytes()
        except OSError:
            return b""

    def save(self, data: bytes) -> None:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        descriptor, name = tempfile.mkstemp(dir=self.path.parent, prefix=".exchanges-")
        try:
            with os.fdopen(descriptor, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(name, self.path)
        except OSError:
            Path(name).unlink(missing_ok=True)
            raise


def pack(now: int, rows: list[Row]) -> bytes:
    """The list as data to save; `now`: the kernel's clock in nanoseconds."""
    data: bytes = msgspec.json.encode(SavedList(now, rows))
    return data


def unpack(now: int, data: bytes) -> list[Row] | None:
    """The saved rows with their ages at `now`, or None where the data is empty or unusable.

    Where the clock was reset since, or more than a day has passed, all exchanges count as started long ago.
    """
    if not data:
        return None
    try:
        saved: SavedList = msgspec.json.decode(data, type=SavedList)
    except msgspec.DecodeError:
        return None
    if saved.version != 1:
        return None
    elapsed = now - saved.at
    for row in saved.entries:
        row.age = row.age + elapsed if row.age >= 0 and 0 <= elapsed < 86_400_000_000_000 else -1
    return saved.entries
