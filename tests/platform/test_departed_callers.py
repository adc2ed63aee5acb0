"""Requests of callers that have left, which the agent reads only afterwards."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import struct
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.platform.test_agent import TAG, invite, request
from tests.platform.test_process import TIMEOUT, StartedProcess, read_until, start_process

READY = b'{"verb":"LOAD","opts":{"load":"x0:900;x1:900;queue:0;qps:9000"}}\n'
ESTABLISHED = "dest:1;width:1;via:-1;at:s1"
UNREAD_REQUESTS = 400
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER


def tag(number: int) -> str:
    """Returns the Call-ID with this number."""
    return f"{number:016x}"


def connect(address: str) -> socket.socket:
    """Connects to the agent."""
    name, port = address.split(":")
    return socket.create_connection((name, int(port)), TIMEOUT)


@contextlib.contextmanager
def ready_process(tmp_path: Path) -> Iterator[tuple[StartedProcess, list[socket.socket]]]:
    """Starts a process with an exchange; yields it and the exchange's connections."""
    with start_process(tmp_path) as started:
        _, address, _, (_, _, exchange) = started
        connections = [exchange.accept()[0] for _ in range(2)]
        for connection in connections:
            connection.sendall(READY)
        caller = connect(address)
        caller.sendall(request("OPTIONS"))
        while b" 200 " not in read_until(caller, b"\r\n\r\n"):
            time.sleep(0.02)
            caller.sendall(request("OPTIONS"))
        yield started, connections
        for connection in [caller, *connections]:
            connection.close()


def tags_of(verb: str, connections: list[socket.socket], seconds: float) -> list[str]:
    """Returns the Call-IDs of all lines of this type that the exchange gets within some seconds."""
    buffers = dict.fromkeys(connections, b"")
    tags = []
    until = time.monotonic() + seconds
    for connection in connections:
        connection.settimeout(0.02)
    while time.monotonic() < until:
        for connection in connections:
            with contextlib.suppress(TimeoutError):
                buffers[connection] += connection.recv(65_536)
            *complete, buffers[connection] = buffers[connection].split(b"\n")
            for line in map(json.loads, complete):
                if line["verb"] == "ECHO":
                    answer = {"verb": "ECHOED", "tag": line["tag"], "rc": 1, "opts": {}}
                    connection.sendall(json.dumps(answer).encode() + b"\n")
                if line["verb"] == verb:
                    tags.append(line["tag"])
    return tags


@pytest.mark.parametrize("by_reset", [False, True], ids=["closed", "reset"])
def test_requests_that_their_caller_left_unread_are_not_sent_on(tmp_path: Path, by_reset: bool) -> None:
    # Guards against set-ups for callers that have left, whose connection still held them unread.
    with ready_process(tmp_path) as ((process, address, *_), connections):
        process.send_signal(signal.SIGSTOP)
        leaving, staying = connect(address), connect(address)
        leaving.sendall(b"".join(invite(tag(number)) for number in range(UNREAD_REQUESTS)))
        if by_reset:
            leaving.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        leaving.close()
        staying.sendall(invite(TAG))
        process.send_signal(signal.SIGCONT)
        assert tags_of("START", connections, 1.5) == [TAG]


def test_what_ends_a_standing_call_counts_though_its_caller_has_left(tmp_path: Path) -> None:
    # A standing call belongs to no connection, so what concerns it is read to the end.
    with ready_process(tmp_path) as ((process, address, *_), connections):
        process.send_signal(signal.SIGSTOP)
        leaving = connect(address)
        leaving.sendall(invite(tag(1)) + invite(tag(2), ESTABLISHED) + request("BYE", tag(2)))
        leaving.close()
        process.send_signal(signal.SIGCONT)
        assert tags_of("FINISH", connections, 1.0) == [tag(2)]
