"""TPKT framing (RFC 1006, H.248.1 Annex D).

A frame is a header of 4 bytes, then the message. The header is 3, 0, then the length of the frame, header
included, in two bytes.
"""

from __future__ import annotations

HEADER_BYTES = 4
MAX_FRAME_BYTES = 65535  # with the header


class BadFrame(Exception):
    """The bytes are not TPKT, or a frame is longer than allowed; the rest of the stream can't be framed."""


def frame(message: bytes) -> bytes:
    """The message with its header. Raises ValueError when it does not fit a frame."""
    length = len(message) + HEADER_BYTES
    if length > MAX_FRAME_BYTES:
        raise ValueError(f"message of {len(message)} bytes does not fit a frame of {MAX_FRAME_BYTES} bytes")
    return b"\x03\x00" + length.to_bytes(2, "big") + message


class Framer:
    """Splits a byte stream into messages of at most `max_message_bytes`.

    Buffers at most one incomplete frame and the last piece of input.
    """

    def __init__(self, max_message_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = min(max_message_bytes + HEADER_BYTES, MAX_FRAME_BYTES)
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that `data` completes. Raises BadFrame, and then returns none of the same call."""
        buffer = self._buffer
        buffer += data
        messages, offset = [], 0
        while len(buffer) - offset >= HEADER_BYTES:
            if buffer[offset] != 3 or buffer[offset + 1] != 0:
                raise BadFrame(f"a frame starts with {buffer[offset]}, {buffer[offset + 1]}; expected 3, 0")
            length = buffer[offset + 2] << 8 | buffer[offset + 3]
            if not HEADER_BYTES < length <= self.max_frame_bytes:
                raise BadFrame(
                    f"a frame of {length} bytes; expected {HEADER_BYTES + 1} to {self.max_frame_bytes}"
                )
            if len(buffer) - offset < length:
                break
            messages.append(bytes(buffer[offset + HEADER_BYTES : offset + length]))
            offset += length
        del buffer[:offset]
        return messages

    def buffered_bytes(self) -> int:
        """Bytes received of an incomplete frame."""
        return len(self._buffer)
