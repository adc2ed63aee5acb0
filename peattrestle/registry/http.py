"""An HTTP/1.1 client connection without I/O: bytes in, parts of the answer out. The protocol is h11's.

Source: RFC 9112. h11 limits the head of an answer to 16 KiB; the caller limits the size of its body.
"""

from __future__ import annotations

from dataclasses import dataclass

import h11


class BadAnswer(Exception):
    """An answer that the registry's protocol does not allow; the message names the field or the place."""


@dataclass(slots=True, frozen=True)
class Head:
    """The head of an answer, with its status code."""

    status: int


@dataclass(slots=True, frozen=True)
class Part:
    """Some bytes of the answer's body."""

    data: bytes


@dataclass(slots=True, frozen=True)
class End:
    """The end of the answer."""


Piece = Head | Part | End


class HttpRequest:
    """One request and its answer. `host` and `agent` are the values of the Host and User-Agent fields."""

    def __init__(self, host: str, agent: str = "peattrestle") -> None:
        self.host, self.agent = host, agent
        self._connection = h11.Connection(h11.CLIENT)

    def post(self, target: str, body: bytes) -> bytes:
        """Returns the bytes of a POST request with the JSON body `body`."""
        headers = [
            ("Host", self.host),
            ("User-Agent", self.agent),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        events = (
            h11.Request(method="POST", target=target, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        return b"".join(self._connection.send(event) or b"" for event in events)

    def feed(self, data: bytes) -> list[Piece]:
        """Returns the parts of the answer that `data` completes; empty `data` means a closed connection.

        Raises `BadAnswer` if the bytes are not valid HTTP, and then for any further bytes too.
        """
        pieces: list[Piece] = []
        try:
            self._connection.receive_data(data)
            while True:
                event = self._connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return pieces
                if isinstance(event, h11.Response):
                    pieces.append(Head(event.status_code))
                elif isinstance(event, h11.Data):
                    pieces.append(Part(bytes(event.data)))
                elif isinstance(event, h11.EndOfMessage):
                    pieces.append(End())
                    return pieces
        except h11.RemoteProtocolError as error:
            raise BadAnswer(f"invalid HTTP: {error}") from None


class LineSplitter:
    """Splits a streamed body into lines, one JSON value each, as watches and leases send them.

    `max_line_bytes`: the maximum length of a line in bytes.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self.max_line_bytes = max_line_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the complete lines so far. Raises `BadAnswer` if one is longer than `max_line_bytes`."""
        self._buffer += data
        *lines, rest = bytes(self._buffer).split(b"\n")
        self._buffer = bytearray(rest)
        if len(rest) > self.max_line_bytes or any(len(line) > self.max_line_bytes for line in lines):
            raise BadAnswer(f"a line longer than {self.max_line_bytes} bytes")
        return [line for line in lines if line.strip()]

    def end(self) -> bytes:
        """Returns the bytes after the last newline: a complete value if the stream ended regularly."""
        rest, self._buffer = bytes(self._buffer), bytearray()
        return rest.strip()
