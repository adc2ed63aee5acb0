"""Decoder and encoders for the JSON-lines protocol of exchanges: one object per line.

A line carries its type (verb), the call's id (tag), options, cause and description. It is limited to
`MAX_LINE_BYTES`, also while incomplete. No I/O, no clock.
"""

from __future__ import annotations

import msgspec

MAX_LINE_BYTES = 16_384

# Q.850 causes; 102 is recovery on timer expiry.
NORMAL, BUSY, FULL, RESET, OUT_OF_ORDER, TIMER_EXPIRED = 16, 17, 34, 41, 47, 102
ERROR_CAUSES = (BUSY, OUT_OF_ORDER)


class BadLine(Exception):
    """A line violates the protocol; the rest of its connection's input is not usable either."""


class Line(msgspec.Struct, gc=False):
    """One line; `verb` is its type, `tag` the call's id, `rc` the cause, `blob` the description.

    Absent fields have their defaults.
    """

    verb: str
    tag: str = ""
    opts: dict[str, str | int | float] = msgspec.field(default_factory=dict)
    rc: int | float | None = None
    blob: str | None = None


_decoder: msgspec.json.Decoder[Line] = msgspec.json.Decoder(Line)
_encoder = msgspec.json.Encoder()


class Reader:
    """Incremental decoder: takes bytes, returns lines. Unusable after it raised `BadLine`."""

    def __init__(self) -> None:
        self._buffer = b""
        self._position = 0  # of the next line in the buffer

    def feed(self, data: bytes) -> None:
        """Appends received bytes to the buffer."""
        self._buffer = self._buffer[self._position :] + data
        self._position = 0

    def next(self) -> Line | None:
        """Returns the next complete line, None if more bytes are needed. Raises BadLine."""
        while True:
            end = self._buffer.find(b"\n", self._position)
            if end < 0:
                if len(self._buffer) - self._position > MAX_LINE_BYTES:
                    raise BadLine(f"line longer than {MAX_LINE_BYTES} bytes")
                return None
            start, self._position = self._position, end + 1
            if end - start > MAX_LINE_BYTES:
                raise BadLine(f"line longer than {MAX_LINE_BYTES} bytes")
            if end == start:
                continue
            try:
                return _decoder.decode(self._buffer[start:end])
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
                raise BadLine(str(error)) from None


def encode_set_up(tag: str, bearer_type: str, number: str, timeout_ms: int, description: str) -> bytes:
    """Encodes START, a set-up; `timeout_ms` is how long the agent waits for the answer."""
    opts = {"class": bearer_type, "key": number, "left": str(timeout_ms)}
    return _encoder.encode({"verb": "START", "tag": tag, "opts": opts, "blob": description}) + b"\n"


def encode_release(tag: str, cause: int) -> bytes:
    """Encodes FINISH: cancels a set-up (cause 16) or releases an established call."""
    return _encoder.encode({"verb": "FINISH", "tag": tag, "opts": {}, "rc": cause}) + b"\n"


def encode_probe(tag: str) -> bytes:
    """Encodes ECHO with cause 0: a liveness probe that requests no load report."""
    return _encoder.encode({"verb": "ECHO", "tag": tag, "opts": {}, "rc": 0}) + b"\n"


def encode_probe_reply(tag: str) -> bytes:
    """Encodes ECHOED, the response to a probe."""
    return _encoder.encode({"verb": "ECHOED", "tag": tag, "opts": {}, "rc": 1}) + b"\n"


def parse_report(text: str | int | float) -> dict[str, float]:
    """Parses a load report such as 'x0:12;x1:40' into values by name. Raises BadLine."""
    if not isinstance(text, str):
        raise BadLine(f"load report: {text!r} is not a string")
    values: dict[str, float] = {}
    if not text:
        return values
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        try:
            parsed = float(value)
        except ValueError:
            raise BadLine(f"load report: '{part[:40]}' is not name:number") from None
        if not colon or not name or not -1e15 < parsed < 1e15:
            raise BadLine(f"load report: '{part[:40]}' is not name:number")
        values[name] = parsed
    return values
