"""SIP messages over a stream: the subset that callers and call agents of the platform speak.

Source: RFC 3261, sections 7 and 18.3 (framing by Content-Length on streams). No I/O, no clock. Bounded: a
message by `MOST_MESSAGE`, its header fields by `MOST_FIELDS`; what is not yet a whole message by the same.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

MOST_MESSAGE = 16_384
MOST_FIELDS = 64
COMPACT = {"i": "call-id", "l": "content-length", "v": "via", "f": "from", "t": "to", "m": "contact"}


class BadMessage(Exception):
    """The bytes are no message, and where the next one begins is not known. `status`: the answer it gets."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request has a `method` and a `uri`, an answer a `status`. Names of `fields` are in lower case."""

    method: str = ""
    uri: str = ""
    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def call_id(self) -> str:
        return self.fields.get("call-id", "")


def _head(text: str) -> Message:
    lines = text.split("\r\n")
    parts = lines[0].split(" ", 2)
    if len(parts) == 3 and parts[0] == "SIP/2.0" and len(parts[1]) == 3 and _digits(parts[1]):
        message = Message(status=int(parts[1]))
    elif len(parts) == 3 and parts[2] == "SIP/2.0" and parts[0].isalpha() and parts[0].isupper() and parts[1]:
        message = Message(parts[0], parts[1])
    else:
        raise BadMessage("the first line is neither a request's nor an answer's")
    if len(lines) - 1 > MOST_FIELDS:
        raise BadMessage(f"more than {MOST_FIELDS} header fields")
    fields = message.fields
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        name = name.rstrip(" \t").lower()
        if not colon or not name or name[0] in " \t":
            raise BadMessage("a header field without a name")
        name = COMPACT.get(name, name)
        value = value.strip(" \t")
        if name in ("call-id", "content-length", "cseq") and fields.get(name, value) != value:
            raise BadMessage(f"two fields {name}")
        fields[name] = value
    return message


def _digits(text: str) -> bool:
    return text.isascii() and text.isdigit()


_cause = re.compile(r"Q\.850\s*;(?:.*;)?\s*cause\s*=\s*([0-9]{1,3})(?![0-9])", re.IGNORECASE)


def cause_of(message: Message, default: int = 16) -> int:
    """The Q.850 cause in its Reason field (RFC 3326), the default where there is none from 1 to 127."""
    found = _cause.search(message.fields.get("reason", ""))
    cause = int(found[1]) if found else default
    return cause if 0 < cause < 128 else default


class Reader:
    """Bytes in, messages out. After `BadMessage` it is of no further use."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._looked = 0
        self._message: Message | None = None
        self._length = 0

    @property
    def partial(self) -> bool:
        """Part of a message is held."""
        return bool(self._held) or self._message is not None

    def feed(self, data: bytes) -> None:
        self._held += data

    def next(self) -> Message | None:
        """The next whole message, None where more bytes are wanted. Raises BadMessage."""
        held = self._held
        if self._message is None:
            while held[:2] == b"\r\n":  # RFC 3261, 7.5: empty lines before a message are passed over
                del held[:2]
            end = held.find(b"\r\n\r\n", max(0, self._looked - 3))
            if end < 0:
                self._looked = len(held)
                if len(held) > MOST_MESSAGE:
                    raise BadMessage(f"a head longer than {MOST_MESSAGE} bytes", 413)
                return None
            if end + 4 > MOST_MESSAGE:
                raise BadMessage(f"a head longer than {MOST_MESSAGE} bytes", 413)
            try:
                message = _head(held[:end].decode())
            except UnicodeDecodeError:
                raise BadMessage("the head is not UTF-8") from None
            length = message.fields.get("content-length", "")
            if not _digits(length):
                raise BadMessage("Content-Length is missing or no length")
            if len(length) > 6 or end + 4 + int(length) > MOST_MESSAGE:
                raise BadMessage(f"a message longer than {MOST_MESSAGE} bytes", 413)
            self._message, self._length, self._looked = message, int(length), 0
            del held[: end + 4]
        if len(held) < self._length:
            return None
        message, self._message = self._message, None
        message.body = bytes(held[: self._length])
        del held[: self._length]
        return message


REASONS = {
    200: "OK",
    400: "Bad Request",
    408: "Request Timeout",
    413: "Request Entity Too Large",
    480: "Temporarily Unavailable",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected",
    487: "Request Terminated",
    500: "Server Internal Error",
    501: "Not Implemented",
    503: "Service Unavailable",
}


def answer(status: int, asked: dict[str, str], body: bytes = b"", pause_ms: int = 0) -> bytes:
    """An answer to a request with these fields; `pause_ms` above 0 tells the caller to stay away so long."""
    lines = [f"SIP/2.0 {status} {REASONS[status]}"]
    for name, shown in (
        ("via", "Via"),
        ("from", "From"),
        ("to", "To"),
        ("call-id", "Call-ID"),
        ("cseq", "CSeq"),
    ):
        if name in asked:
            lines.append(f"{shown}: {asked[name]}")
    if pause_ms > 0:
        lines.append(f"X-Pause: {pause_ms}")
    lines.append(f"Content-Length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode() + body


def bye(call_id: str, number: str, label: str, cause: int) -> bytes:
    """The release of a call that stands, with its Q.850 cause (RFC 6432)."""
    return (
        f"BYE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP {label}\r\nCall-ID: {call_id}\r\nCSeq: 2 BYE\r\n"
        f"Reason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
    ).encode()
