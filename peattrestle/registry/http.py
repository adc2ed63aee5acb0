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
    reason: str
    kind: str  # content type


@dataclass(slots=True, frozen=True)
class Part:
    """Some of its body."""

    data: bytes


@dataclass(slots=True, frozen=True)
class End:
    """Its end; the connection may be used again where `again`."""

    again: bool


Piece = Head | Part | End


class Conversation:
    """Requests one after another over one connection. `host` and `agent` go into each request's Host and
    User-Agent fields."""

    def __init__(self, host: str, agent: str = "peattrestle") -> None:
        self.host, self.agent = host, agent
        self._connection = h11.Connection(h11.CLIENT)

    def request(
        self, method: str, target: str, body: bytes = b"", fields: tuple[tuple[str, str], ...] = ()
    ) -> bytes:
        """The bytes of a request. Raises BadAnswer where the last answer has not ended."""
        if self._connection.our_state is h11.DONE and self._connection.their_state is h11.DONE:
            self._connection.start_next_cycle()
        headers = [
            ("Host", self.host),
            ("User-Agent", self.agent),
            ("Content-Length", str(len(body))),
            *fields,
        ]
        if body:
            headers.append(("Content-Type", "application/json"))
        try:
            out = self._connection.send(h11.Request(method=method, target=target, headers=headers)) or b""
            if body:
                out += self._connection.send(h11.Data(data=body)) or b""
            return out + (self._connection.send(h11.EndOfMessage()) or b"")
        except h11.LocalProtocolError as fault:
            raise BadAnswer(f"no request can be sent now: {fault}") from None

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
                    kind = next((v for name, v in event.headers if name == b"content-type"), b"")
                    out.append(
                        Head(
                            event.status_code,
                            event.reason.decode("ascii", "replace"),
                            kind.decode("ascii", "replace"),
                        )
                    )
                elif isinstance(event, h11.Data):
                    out.append(Part(bytes(event.data)))
                elif isinstance(event, h11.EndOfMessage):
                    out.append(End(self._connection.their_state is h11.DONE))
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
