"""The program as a process on loopback: start, SIGHUP during a call, SIGTERM, invalid configuration."""

from __future__ import annotations

import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.platform.test_agent import (
    ANSWER_DESCRIPTION,
    DESCRIPTION,
    LOAD,
    TAG,
    config_text,
    event,
    host,
    invite,
    request,
)

TIMEOUT = 20.0  # seconds; reached only if the program hangs


def listening(address: str = "127.0.3.1") -> tuple[socket.socket, str]:
    """Returns a listening socket and its address with port."""
    sock = socket.create_server((address, 0))
    sock.settimeout(TIMEOUT)
    return sock, f"{address}:{sock.getsockname()[1]}"


def read_until(sock: socket.socket, end: bytes) -> bytes:
    data = b""
    while end not in data:
        piece = sock.recv(65536)
        assert piece, data
        data += piece
    return data


StartedProcess = tuple[subprocess.Popen[bytes], str, Path, list[socket.socket]]


@pytest.fixture
def started(tmp_path: Path) -> Iterator[StartedProcess]:
    """A process with the default limits, see `start_process`."""
    with start_process(tmp_path) as process:
        yield process


@contextlib.contextmanager
def start_process(tmp_path: Path, **more: Any) -> Iterator[StartedProcess]:
    """Starts the process; `more` replaces keys of its configuration.

    Yields the process, its address, its configuration file, and the sockets of two feeds and an exchange.
    """
    sockets = [listening() for _ in range(4)]
    feed, new_feed, exchange, own = sockets
    own[0].close()
    members = event(1, host("s0", 0), host("s1", 1, dial=exchange[1]), whole=True)
    texts = [
        config_text(listen=own[1], feed=feed_address[1], known={"n": 1, "events": [members]}, **more)
        for feed_address in (feed, new_feed)
    ]
    path = tmp_path / "config.json"
    path.write_text(texts[0])
    (tmp_path / "moved.json").write_text(texts[1])
    process = subprocess.Popen(
        [sys.executable, "-m", "peattrestle.platform"], env=os.environ | {"LB_CONFIG": str(path)},
        stderr=subprocess.PIPE,
    )  # fmt: skip
    try:
        yield process, own[1], path, [feed[0], new_feed[0], exchange[0]]
    finally:
        if process.poll() is None:
            process.kill()
        process.communicate()
        for sock, _ in sockets:
            sock.close()


def test_a_call_through_sighup_and_sigterm(started: StartedProcess) -> None:
    process, address, path, (feed, new_feed, exchange) = started
    connections = [exchange.accept()[0] for _ in range(2)]
    for connection in connections:
        connection.settimeout(TIMEOUT)
        connection.sendall(json.dumps({"verb": "LOAD", "opts": {"load": LOAD}}).encode() + b"\n")
    assert b"last-event-id: 1\r\n" in read_until(feed.accept()[0], b"\r\n\r\n").lower()
    name, port = address.split(":")
    caller = socket.create_connection((name, int(port)), TIMEOUT)
    caller.sendall(request("OPTIONS"))
    while b" 200 " not in read_until(caller, b"\r\n\r\n"):
        caller.sendall(request("OPTIONS"))

    caller.sendall(invite(X_Timer_Ms="60000"))
    connection = select.select(connections, [], [], TIMEOUT)[0][0]
    start = json.loads(read_until(connection, b"\n"))
    assert (start["verb"], start["tag"], start["blob"]) == ("START", TAG, DESCRIPTION)

    path.write_text((path.parent / "moved.json").read_text())
    process.send_signal(signal.SIGHUP)
    feed_connection = new_feed.accept()[0]
    assert b"last-event-id: 1\r\n" in read_until(feed_connection, b"\r\n\r\n").lower()
    path.write_text("{")
    process.send_signal(signal.SIGHUP)
    caller.sendall(request("OPTIONS"))
    assert b" 200 " in read_until(caller, b"\r\n\r\n")

    connection.sendall(
        json.dumps({"verb": "STARTED", "tag": TAG, "blob": ANSWER_DESCRIPTION}).encode() + b"\n"
    )
    assert read_until(caller, ANSWER_DESCRIPTION.encode()).startswith(b"SIP/2.0 200 ")
    process.send_signal(signal.SIGTERM)
    caller.sendall(request("OPTIONS"))
    while b" 503 " not in read_until(caller, b"\r\n\r\n"):
        caller.sendall(request("OPTIONS"))
    connection.sendall(json.dumps({"verb": "FINISH", "tag": TAG, "rc": 16}).encode() + b"\n")
    assert read_until(caller, b"\r\n\r\n").startswith(b"BYE ")
    assert process.wait(TIMEOUT) == 0
    assert process.stderr is not None
    logged = [json.loads(line) for line in process.stderr.read().splitlines()]
    assert [entry["text"] for entry in logged if entry["level"] == "error"] == [
        "invalid configuration, keeping the old one"
    ]


@pytest.mark.parametrize(
    "number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT], ids=lambda number: number.name
)
def test_signals_in_the_last_moments_of_a_stop_do_not_end_the_process(
    started: StartedProcess, number: signal.Signals
) -> None:
    # Guards against the default action of a signal that arrives while the interpreter ends.
    process, address, _, _ = started
    name, port = address.split(":")
    caller = None
    while caller is None:
        with contextlib.suppress(ConnectionRefusedError):
            caller = socket.create_connection((name, int(port)), TIMEOUT)
    caller.sendall(request("OPTIONS"))
    while b" 200 " not in read_until(caller, b"\r\n\r\n"):
        caller.sendall(request("OPTIONS"))
    caller.close()
    process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + TIMEOUT
    while process.poll() is None and time.monotonic() < deadline:
        process.send_signal(number)
        time.sleep(0.0005)
    assert process.returncode == 0


@pytest.mark.parametrize("text", ["{", None])
def test_an_invalid_configuration_is_reported_on_one_line_with_exit_code_2(
    text: str | None, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    ended = subprocess.run(
        [sys.executable, "-m", "peattrestle.platform"], env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True, timeout=TIMEOUT,
    )  # fmt: skip
    assert ended.returncode == 2 and ended.stdout == b""
    (line,) = ended.stderr.decode().splitlines()
    assert str(path) in line


def test_the_platform_agent_imports_no_unneeded_package() -> None:
    code = "import sys, peattrestle.platform.agent; print(' '.join(sys.modules))"
    names = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True).stdout
    assert "peattrestle.control" in names.split()
    unwanted = (
        "hcl2",
        "lark",
        "click",
        "matplotlib",
        "structlog",
        "asyncio",
        "peattrestle.h248",
        "peattrestle.agent",
    )
    assert [name for name in names.split() if name.startswith(unwanted)] == []
