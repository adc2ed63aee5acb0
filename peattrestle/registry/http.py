"""One HTTP/1.1 conversation as a client: bytes in, pieces of answers out. h11 knows the protocol.

Source: RFC 9112. Bounded: a head by h11's 16 KiB, what an answer holds by whoever collects it.
"""

from __future__ import annotations

from dataclasses import dataclass

import h11


class BadAnswer(Exception):
    """The registry said what its protocol does not allow; the text names what and where."""


@dataclass(slots=True, frozen=True)
class Head:
    """The begin of an answer."""

    status: int


@dataclass(slots=True, frozen=True)
class Part:
    """Some of its body."""

    data: bytes


@dataclass(slots=True, frozen=True)
class End:
    """Its end."""


Piece = Head | Part | End


class Conversation:
    """One request and its answer. `host` and `agent` go into its Host and User-Agent fields."""

    def __init__(self, host: str, agent: str = "peattrestle") -> None:
        self.host, self.agent = host, agent
        self._connection = h11.Connection(h11.CLIENT)

    def post(self, target: str, body: bytes) -> bytes:
        """The bytes of a request with a JSON body."""
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
        """What the bytes complete; empty bytes say that the connection has ended. Raises BadAnswer, and
        BadAnswer again for anything after that."""
        out: list[Piece] = []
        try:
            self._connection.receive_data(data)
            while True:
                event = self._connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return out
                if isinstance(event, h11.Response):
                    out.append(Head(event.status_code))
                elif isinstance(event, h11.Data):
                    out.append(Part(bytes(event.data)))
                elif isinstance(event, h11.EndOfMessage):
                    out.append(End())
                    return out
        except h11.RemoteProtocolError as fault:
            raise BadAnswer(f"not HTTP as published: {fault}") from None


class Lines:
    """A body of JSON values, one a line, as watches and leases stream them."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._held = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Whole lines. Raises BadAnswer where one is longer than `most` bytes."""
        self._held += data
        *lines, rest = bytes(self._held).split(b"\n")
        self._held = bytearray(rest)
        if len(rest) > self.most or any(len(line) > self.most for line in lines):
            raise BadAnswer(f"a line longer than {self.most} bytes")
        return [line for line in lines if line.strip()]

    def end(self) -> bytes:
        """What came after the last newline: a whole value where the stream ended in good order."""
        rest, self._held = bytes(self._held), bytearray()
        return rest.strip()
