"""Server-sent events from bytes (the HTML standard, 9.2.6). No I/O, no clock; bounded by `MOST_EVENT`."""

from __future__ import annotations

from dataclasses import dataclass

MOST_EVENT = 1_048_576  # the whole list of a large fleet is one event


class BadFeed(Exception):
    """The feed says what it may not say; the text names what."""


@dataclass(slots=True, frozen=True)
class Sent:
    """One whole event: its `id` and its `data`."""

    id: str
    data: bytes


class Events:
    """Bytes in, whole events out; half an event is never one, however the stream ends."""

    def __init__(self) -> None:
        self._held = b""
        self._id = ""
        self._data: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> list[Sent]:
        """Raises BadFeed for what grows beyond the bound or is not UTF-8 where it must be."""
        out: list[Sent] = []
        *lines, self._held = (self._held + data).split(b"\n")
        self._size += len(data)
        for line in lines:
            line = line.removesuffix(b"\r")
            if not line:
                if self._data:
                    out.append(Sent(self._id, b"\n".join(self._data)))
                self._data, self._size = [], len(self._held)
                continue
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                self._data.append(value)
            elif name == b"id":
                try:
                    self._id = value.decode()
                except UnicodeDecodeError:
                    raise BadFeed("an id that is not UTF-8") from None
            elif not name and not self._data:
                self._size = len(self._held)  # a comment: nothing of it is kept
        if self._size > MOST_EVENT:
            raise BadFeed(f"an event longer than {MOST_EVENT} bytes")
        return out
