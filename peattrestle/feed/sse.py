"""Incremental parser for server-sent events (HTML standard, section 9.2.6). No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 1_048_576  # the full list of a large fleet is a single event


class BadFeed(Exception):
    """The feed violates its format; the text says where."""


@dataclass(slots=True, frozen=True)
class ServerSentEvent:
    """One complete event: its `id`, '' if none was sent, and its `data`."""

    id: str
    data: bytes


class EventStreamParser:
    """Parses a byte stream into events; an incomplete event at the end of the stream is never returned."""

    def __init__(self) -> None:
        self._buffer = b""
        self._id = ""
        self._data: list[bytes] = []
        self._event_bytes = 0

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Returns the events that these bytes complete.

        Raises BadFeed for an event longer than `MAX_EVENT_BYTES` or an id that is not UTF-8.
        """
        events: list[ServerSentEvent] = []
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        self._event_bytes += len(data)
        for line in lines:
            line = line.removesuffix(b"\r")
            if not line:
                if self._data:
                    events.append(ServerSentEvent(self._id, b"\n".join(self._data)))
                self._data, self._event_bytes = [], len(self._buffer)
                continue
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                self._data.append(value)
            elif name == b"id":
                try:
                    self._id = value.decode()
                except UnicodeDecodeError:
                    raise BadFeed("event id: not UTF-8") from None
            elif not name and not self._data:
                self._event_bytes = len(self._buffer)  # comments are discarded and do not count
        if self._event_bytes > MAX_EVENT_BYTES:
            raise BadFeed(f"event longer than {MAX_EVENT_BYTES} bytes")
        return events
