"""One JSON object a line, as exchanges speak: type, id, fields, cause and description.

No I/O, no clock. Bounded: a line by `MOST_LINE`, also one that does not end.
"""

from __future__ import annotations

import msgspec

MOST_LINE = 16_384

# Q.850 causes; 102: recovery on timer.
NORMAL, BUSY, FULL, RESET, OUT_OF_ORDER, MOOT = 16, 17, 34, 41, 47, 102
ERRORS = (BUSY, OUT_OF_ORDER)


class BadLine(Exception):
    """A line is not as published; what follows it on that connection can't be trusted either."""


class Line(msgspec.Struct, gc=False):
    """`rc` is the cause, `blob` the description; what is absent has its default."""

    verb: str
    tag: str = ""
    opts: dict[str, str | int | float] = msgspec.field(default_factory=dict)
    rc: int | float | None = None
    blob: str | None = None


_decoder: msgspec.json.Decoder[Line] = msgspec.json.Decoder(Line)
_encoder = msgspec.json.Encoder()


class Reader:
    """Bytes in, lines out. After `BadLine` it is of no further use."""

    def __init__(self) -> None:
        self._held = b""
        self._at = 0

    def feed(self, data: bytes) -> None:
        self._held = self._held[self._at :] + data
        self._at = 0

    def next(self) -> Line | None:
        """The next whole line, None where more bytes are wanted. Raises BadLine."""
        while True:
            end = self._held.find(b"\n", self._at)
            if end < 0:
                if len(self._held) - self._at > MOST_LINE:
                    raise BadLine(f"a line longer than {MOST_LINE} bytes")
                return None
            start, self._at = self._at, end + 1
            if end - start > MOST_LINE:
                raise BadLine(f"a line longer than {MOST_LINE} bytes")
            if end == start:
                continue
            try:
                return _decoder.decode(self._held[start:end])
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
                raise BadLine(str(fault)) from None


def set_up(tag: str, bearer_type: str, number: str, left_ms: int, description: str) -> bytes:
    """START; `left_ms`: how long the call agent will wait for the answer."""
    opts = {"class": bearer_type, "key": number, "left": str(left_ms)}
    return _encoder.encode({"verb": "START", "tag": tag, "opts": opts, "blob": description}) + b"\n"


def release(tag: str, cause: int) -> bytes:
    """FINISH: a set-up is given up (cause 16), or a call that stands is released."""
    return _encoder.encode({"verb": "FINISH", "tag": tag, "opts": {}, "rc": cause}) + b"\n"


def test(tag: str) -> bytes:
    """ECHO with cause 0: a test that asks for no report."""
    return _encoder.encode({"verb": "ECHO", "tag": tag, "opts": {}, "rc": 0}) + b"\n"


def test_passed(tag: str) -> bytes:
    return _encoder.encode({"verb": "ECHOED", "tag": tag, "opts": {}, "rc": 1}) + b"\n"


def figures(text: str | int | float) -> dict[str, float]:
    """A report as 'x0:12;x1:40'. Raises BadLine."""
    if not isinstance(text, str):
        raise BadLine("a report that is no text")
    out: dict[str, float] = {}
    if not text:
        return out
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        try:
            figure = float(value)
        except ValueError:
            raise BadLine("a report with a figure that is none") from None
        if not colon or not name or not -1e15 < figure < 1e15:
            raise BadLine("a report with a figure that is none")
        out[name] = figure
    return out
