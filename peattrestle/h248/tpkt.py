"""TPKT framing (RFC 1006, H.248.1 Annex D): 3, 0, then two bytes of length that count these four."""

from __future__ import annotations

HEAD = 4
MOST = 65535


class BadFrame(Exception):
    """The bytes are not TPKT, or a frame is longer than allowed: nothing after it can be trusted."""


def frame(message: bytes) -> bytes:
    """Raises ValueError when the message does not fit a frame."""
    length = len(message) + HEAD
    if length > MOST:
        raise ValueError(f"{len(message)} bytes do not fit a frame")
    return b"\x03\x00" + length.to_bytes(2, "big") + message


class Framer:
    """Collects bytes in any pieces and gives whole messages; keeps at most one frame and one piece."""

    def __init__(self, most: int = MOST) -> None:
        self.most = min(most + HEAD, MOST)
        self._held = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Raises BadFrame; messages that were whole before the bad one are lost with it."""
        held = self._held
        held += data
        out, at = [], 0
        while len(held) - at >= HEAD:
            if held[at] != 3 or held[at + 1] != 0:
                raise BadFrame(f"a frame starts with {held[at]}, {held[at + 1]}; expected 3, 0")
            length = held[at + 2] << 8 | held[at + 3]
            if not HEAD < length <= self.most:
                raise BadFrame(f"a frame of {length} bytes; expected {HEAD + 1} to {self.most}")
            if len(held) - at < length:
                break
            out.append(bytes(held[at + HEAD : at + length]))
            at += length
        del held[:at]
        return out

    def pending(self) -> int:
        """Bytes of a message that is not whole yet."""
        return len(self._held)
