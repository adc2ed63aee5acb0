"""python -m peattrestle.trials.bad_clients: a process of clients that load a call agent without being of use.

It runs apart from the stand-ins, so that its work does not delay what they measure. Each load is bounded in
clients and time. Every client connects again when its connection ends. The line printed has the bytes sent
and received, and the connections, of all clients.
"""

from __future__ import annotations

import argparse
import enum
import selectors
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass

from peattrestle.trials.caller import bodyless_request, invite_message
from peattrestle.trials.record import STRANGER_PREFIX

MAX_QUEUED_BYTES = 65_536  # of one client, before it waits for the agent to read
READ_SIZE = 262_144  # bytes
PIECE_INTERVAL = 0.1  # seconds between the pieces of a slow writer
PIECE_SIZE = 600  # bytes
RECONNECT_DELAY = 0.05  # seconds
# One character beyond Latin-1, of two bytes each where text is kept as Python text.
LARGE_DESCRIPTION = "v=0\r\ns=\u260e\r\n" + "a=rtpmap:96 opus/48000\r\n" * 640
LARGE_SET_UP_DESCRIPTION = LARGE_DESCRIPTION[:13_000]  # within 16 KiB as a line to an exchange
SMALL_DESCRIPTION = "v=0\r\n"
TIMEOUT_MS = 1_000  # of set-ups


class Load(enum.Enum):
    """What the clients do."""

    SLOW_WRITERS = "slow-writers"
    HALF_REQUESTS = "half-requests"
    MANY_FIELDS = "many-fields"
    NAMED_CALLS = "named-calls"
    NAMED_AND_RELEASED = "named-and-released"
    LARGE_SET_UPS = "large-set-ups"
    SMALL_REQUESTS = "small-requests"
    UNSOUND_REQUESTS = "unsound-requests"
    NEW_NAMES = "new-names"
    TAKEN_BACK = "taken-back"
    UNREAD_ANSWERS = "unread-answers"
    EMPTY_LINES = "empty-lines"


@dataclass(slots=True)
class Totals:
    """What all clients did together; `connections` counts every one that came up."""

    sent_bytes: int = 0
    received_bytes: int = 0
    connections: int = 0


class Requests:
    """Endless requests of one client; ids and called numbers are new each time."""

    def __init__(self, client: int, exchange: str) -> None:
        self.client, self.count, self.exchange = client, 0, exchange

    def next_id(self) -> str:
        """Returns a Call-ID that no other request has."""
        self.count += 1
        return f"{STRANGER_PREFIX}{self.client:05x}{self.count:08x}"

    def name_call(self, call_id: str, description: str) -> bytes:
        """Returns a request that names a call as established."""
        return invite_message(call_id, "7f3a", TIMEOUT_MS, 1, description, self.exchange)

    def stream(self, load: Load) -> Iterator[bytes]:
        """Yields what the client sends, piece by piece."""
        while True:
            call_id = self.next_id()
            match load:
                case Load.NAMED_CALLS:
                    yield self.name_call(call_id, LARGE_DESCRIPTION)
                case Load.NAMED_AND_RELEASED:
                    yield self.name_call(call_id, SMALL_DESCRIPTION) + bodyless_request("BYE", call_id)
                case Load.LARGE_SET_UPS:
                    yield invite_message(call_id, "7f3a", TIMEOUT_MS, 1, LARGE_SET_UP_DESCRIPTION)
                case Load.NEW_NAMES:
                    yield invite_message(call_id, call_id, TIMEOUT_MS, 1, SMALL_DESCRIPTION)
                case Load.TAKEN_BACK:
                    yield invite_message(call_id, "7f3a", TIMEOUT_MS, 1, SMALL_DESCRIPTION)
                    yield bodyless_request("CANCEL", call_id)
                case Load.SMALL_REQUESTS | Load.UNREAD_ANSWERS:
                    yield bodyless_request("OPTIONS", call_id)
                case Load.UNSOUND_REQUESTS:
                    yield invite_message(call_id, "7f3a", -1, 1, SMALL_DESCRIPTION)
                case Load.EMPTY_LINES:
                    yield b"\r\n" * 512
                case Load.MANY_FIELDS:
                    yield b"INVITE sip:a@net SIP/2.0\r\n" + b"a:b\r\n" * 3_200
                    yield b""
                case Load.SLOW_WRITERS | Load.HALF_REQUESTS:
                    # A whole message first, so that the next one may take longer.
                    yield bodyless_request("OPTIONS", call_id)
                    yield self.name_call(call_id, LARGE_DESCRIPTION)[:-200]
                    yield b""


class Client:
    """One client, which connects again whenever its connection ends."""

    def __init__(self, number: int, arguments: argparse.Namespace, totals: Totals) -> None:
        self.load, self.totals = Load(arguments.load), totals
        host, _, port = arguments.address.rpartition(":")
        self.address = (host, int(port))
        self.requests = Requests(number, arguments.exchange)
        self.connect_at = 0.0
        self.sock: socket.socket | None = None
        self.pieces: Iterator[bytes] = iter(())
        self.queued = b""
        self.is_stopped = False  # half way through a request, for good
        self.next_piece_at = 0.0

    @property
    def wants_to_write(self) -> bool:
        """Whether the client would send more now."""
        return not self.is_stopped or bool(self.queued)

    def connect(self) -> socket.socket:
        """Opens a connection without waiting for it."""
        sock = self.sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.address)
        self.pieces, self.queued, self.is_stopped = self.requests.stream(self.load), b"", False
        self.totals.connections += 1
        return sock

    def write(self) -> None:
        """Sends as much as the agent takes. Raises OSError."""
        assert self.sock is not None
        while len(self.queued) < MAX_QUEUED_BYTES and not self.is_stopped:
            piece = next(self.pieces)
            self.queued += piece
            self.is_stopped = not piece
        size = len(self.queued)
        if self.load is Load.SLOW_WRITERS:
            if time.monotonic() < self.next_piece_at:
                return
            size, self.next_piece_at = PIECE_SIZE, time.monotonic() + PIECE_INTERVAL
        sent = self.sock.send(self.queued[:size])
        self.totals.sent_bytes += sent
        self.queued = self.queued[sent:]

    def read(self) -> bool:
        """Reads what has come; False once the agent has closed. Raises OSError."""
        assert self.sock is not None
        if self.load is Load.UNREAD_ANSWERS:
            return True
        data = self.sock.recv(READ_SIZE)
        self.totals.received_bytes += len(data)
        return bool(data)


def run(arguments: argparse.Namespace) -> Totals:
    """Runs all clients until their time is over."""
    totals = Totals()
    selector = selectors.DefaultSelector()
    clients = [Client(number, arguments, totals) for number in range(arguments.clients)]
    until = time.monotonic() + arguments.seconds
    while (now := time.monotonic()) < until:
        for client in clients:
            if client.sock is None and now >= client.connect_at:
                selector.register(client.connect(), selectors.EVENT_READ | selectors.EVENT_WRITE, client)
        for key, mask in selector.select(0.05):
            serve(selector, key.data, mask)
        if arguments.load == Load.SLOW_WRITERS.value:
            time.sleep(0.01)  # its sockets are writable all the time
    for client in clients:
        if client.sock is not None:
            client.sock.close()
    return totals


def serve(selector: selectors.BaseSelector, client: Client, mask: int) -> None:
    """Handles the events of one client's connection."""
    is_open = True
    try:
        if mask & selectors.EVENT_READ:
            is_open = client.read()
        if is_open and mask & selectors.EVENT_WRITE and client.wants_to_write:
            client.write()
    except BlockingIOError:
        pass
    except ConnectionError:
        is_open = False
    assert client.sock is not None
    if not is_open:
        selector.unregister(client.sock)
        client.sock.close()
        client.sock, client.connect_at = None, time.monotonic() + RECONNECT_DELAY
        return
    wanted = selectors.EVENT_READ | (selectors.EVENT_WRITE if client.wants_to_write else 0)
    selector.modify(client.sock, wanted, client)


def main() -> None:
    """Reads the arguments, runs the load and prints its totals."""
    parser = argparse.ArgumentParser(prog="python -m peattrestle.trials.bad_clients", description=__doc__)
    parser.add_argument("load", choices=[load.value for load in Load])
    parser.add_argument("address", help="of the agent, HOST:PORT")
    parser.add_argument("--exchange", default="s1", help="where calls are said to stand")
    parser.add_argument("--clients", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0)
    totals = run(parser.parse_args())
    print(totals.sent_bytes, totals.received_bytes, totals.connections, flush=True)


if __name__ == "__main__":
    main()
