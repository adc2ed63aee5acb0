"""Decoder and encoder for the subset of SIP used between callers and call agents, over a byte stream.

Source: RFC 3261, sections 7 and 18.3 (framing by Content-Length on streams). A message, also an incomplete
one, is limited to `MAX_MESSAGE_BYTES` and `MAX_FIELDS` header fields. No I/O, no clock.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

MAX_MESSAGE_BYTES = 16_384
MAX_FIELDS = 64
# Compact header field names (RFC 3261, section 7.3.3).
COMPACT_NAMES = {"i": "call-id", "l": "content-length", "v": "via", "f": "from", "t": "to", "m": "contact"}


class BadMessage(Exception):
    """The bytes are not a valid message, so the stream cannot be decoded further.

    `status` is the status code to answer with.
    """

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request, with `method` and `uri`, or a response, with `status`.

    `fields` are the header fields by lower-case name.
    """

    method: str = ""
    uri: str = ""
    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def call_id(self) -> str:
        """The Call-ID, '' if there is none."""
        return self.fields.get("call-id", "")


def _parse_head(text: str) -> Message:
    lines = text.split("\r\n")
    parts = lines[0].split(" ", 2)
    if len(parts) == 3 and parts[0] == "SIP/2.0" and len(parts[1]) == 3 and _is_digits(parts[1]):
        message = Message(status=int(parts[1]))
    elif len(parts) == 3 and parts[2] == "SIP/2.0" and parts[0].isalpha() and parts[0].isupper() and parts[1]:
        message = Message(parts[0], parts[1])
    else:
        raise BadMessage(f"first line: '{lines[0][:40]}' is neither a request line nor a status line")
    if len(lines) - 1 > MAX_FIELDS:
        raise BadMessage(f"more than {MAX_FIELDS} header fields")
    fields = message.fields
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        name = name.rstrip(" \t").lower()
        if not colon or not name or name[0] in " \t":
            raise BadMessage(f"header field without a name: '{line[:40]}'")
        name = COMPACT_NAMES.get(name, name)
        value = value.strip(" \t")
        if name in ("call-id", "content-length", "cseq") and fields.get(name, value) != value:
            raise BadMessage(f"{name}: two different values, '{fields[name][:20]}' and '{value[:20]}'")
        fields[name] = value
    return message


def _is_digits(text: str) -> bool:
    return text.isascii() and text.isdigit()


_cause_pattern = re.compile(r"Q\.850\s*;(?:.*;)?\s*cause\s*=\s*([0-9]{1,3})(?![0-9])", re.IGNORECASE)


def cause_of(message: Message, default: int = 16) -> int:
    """Returns the Q.850 cause (1 to 127) in the Reason field (RFC 3326), `default` if there is none."""
    match = _cause_pattern.search(message.fields.get("reason", ""))
    cause = int(match[1]) if match else default
    return cause if 0 < cause < 128 else default


class Reader:
    """Incremental decoder: takes bytes, returns messages. Unusable after it raised `BadMessage`.

    An incomplete message is kept as the bytes received, so that what a reader holds is what it was sent.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0  # buffered bytes in which the end of the header was not found
        self._size = 0  # of the first message, once its header is complete

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message is buffered."""
        return bool(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes buffered."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Appends received bytes to the buffer."""
        self._buffer += data

    def clear(self) -> None:
        """Drops what is buffered."""
        self._buffer = bytearray()
        self._searched = self._size = 0

    def next(self) -> Message | None:
        """Returns the next complete message, None if more bytes are needed. Raises BadMessage."""
        buffer = self._buffer
        if len(buffer) < self._size:
            return None
        while buffer[:2] == b"\r\n":  # RFC 3261, section 7.5: empty lines before a message are ignored
            del buffer[:2]
        end = buffer.find(b"\r\n\r\n", max(0, self._searched - 3))
        if end < 0:
            self._searched = len(buffer)
            if len(buffer) > MAX_MESSAGE_BYTES:
                raise BadMessage(f"header longer than {MAX_MESSAGE_BYTES} bytes", 413)
            return None
        message, size = self._parse(end)
        if len(buffer) < size:
            self._searched, self._size = end, size
            return None
        self._searched = self._size = 0
        message.body = bytes(buffer[end + 4 : size])
        del buffer[:size]
        return message

    def _parse(self, end: int) -> tuple[Message, int]:
        """Decodes the header that ends at `end`; returns it and the size of the whole message."""
        if end + 4 > MAX_MESSAGE_BYTES:
            raise BadMessage(f"header longer than {MAX_MESSAGE_BYTES} bytes", 413)
        try:
            message = _parse_head(self._buffer[:end].decode())
        except UnicodeDecodeError:
            raise BadMessage("header: not UTF-8") from None
        length = message.fields.get("content-length", "")
        if not _is_digits(length):
            raise BadMessage(f"Content-Length: '{length[:20]}' is not a length")
        if len(length) > 6 or end + 4 + int(length) > MAX_MESSAGE_BYTES:
            raise BadMessage(f"message longer than {MAX_MESSAGE_BYTES} bytes", 413)
        return message, end + 4 + int(length)


# Reason phrases by status code (RFC 3261, section 21).
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


# Header fields that a response takes from its request (RFC 3261, section 8.2.6.2), as they are written.
RESPONSE_FIELDS = {"via": "Via", "from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq"}


def response_fields(request_fields: dict[str, str]) -> dict[str, str]:
    """Returns only those header fields of a request that its response needs."""
    return {name: request_fields[name] for name in RESPONSE_FIELDS if name in request_fields}


def answer(status: int, request_fields: dict[str, str], body: bytes = b"", retry_after_ms: int = 0) -> bytes:
    """Encodes a response to the request with these header fields.

    `retry_after_ms` above 0 asks the caller to wait so long before it calls again.
    """
    lines = [f"SIP/2.0 {status} {REASONS[status]}"]
    for name, header in RESPONSE_FIELDS.items():
        if name in request_fields:
            lines.append(f"{header}: {request_fields[name]}")
    if retry_after_ms > 0:
        lines.append(f"X-Pause: {retry_after_ms}")
    lines.append(f"Content-Length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode() + body


def bye(call_id: str, number: str, label: str, cause: int) -> bytes:
    """Encodes the release of an established call with its Q.850 cause (RFC 6432).

    `label` is the sender's name in the Via field.
    """
    return (
        f"BYE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP {label}\r\nCall-ID: {call_id}\r\nCSeq: 2 BYE\r\n"
        f"Reason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
    ).encode()
