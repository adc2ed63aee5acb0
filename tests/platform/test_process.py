"""The program itself on loopback: start, SIGHUP with a call held, SIGTERM, a configuration it can't use."""

from __future__ import annotations

import json
import os
import select
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.platform.test_agent import (
    ANSWERED,
    DESCRIPTION,
    LOAD,
    TAG,
    config_text,
    event,
    host,
    invite,
    request,
)

PATIENCE = 20.0  # seconds; only a hang takes so long


def listening(address: str = "127.0.3.1") -> tuple[socket.socket, str]:
    sock = socket.create_server((address, 0))
    sock.settimeout(PATIENCE)
    return sock, f"{address}:{sock.getsockname()[1]}"


def read_until(sock: socket.socket, end: bytes) -> bytes:
    data = b""
    while end not in data:
        piece = sock.recv(65536)
        assert piece, data
        data += piece
    return data


@pytest.fixture
def started(tmp_path: Path) -> Iterator[tuple[subprocess.Popen[bytes], str, Path, list[socket.socket]]]:
    """The program, where it listens, its configuration, and what it connects to: two feeds, an exchange."""
    sockets = [listening() for _ in range(4)]
    feed, moved, exchange, own = sockets
    own[0].close()
    members = event(1, host("s0", 0), host("s1", 1, dial=exchange[1]), whole=True)
    texts = [
        config_text(listen=own[1], feed=one[1], known={"n": 1, "events": [members]}) for one in (feed, moved)
    ]
    path = tmp_path / "config.json"
    path.write_text(texts[0])
    (tmp_path / "moved.json").write_text(texts[1])
    process = subprocess.Popen(
        [sys.executable, "-m", "peattrestle.platform"], env=os.environ | {"LB_CONFIG": str(path)},
        stderr=subprocess.PIPE,
    )  # fmt: skip
    try:
        yield process, own[1], path, [feed[0], moved[0], exchange[0]]
    finally:
        if process.poll() is None:
            process.kill()
        process.communicate()
        for sock, _ in sockets:
            sock.close()


def test_a_call_through_sighup_and_sigterm(
    started: tuple[subprocess.Popen[bytes], str, Path, list[socket.socket]],
) -> None:
    process, address, path, (feed, moved, exchange) = started
    lanes = [exchange.accept()[0] for _ in range(2)]
    for lane in lanes:
        lane.settimeout(PATIENCE)
        lane.sendall(json.dumps({"verb": "LOAD", "opts": {"load": LOAD}}).encode() + b"\n")
    assert b"last-event-id: 1\r\n" in read_until(feed.accept()[0], b"\r\n\r\n").lower()
    name, port = address.split(":")
    caller = socket.create_connection((name, int(port)), PATIENCE)
    caller.sendall(request("OPTIONS"))
    while b" 200 " not in read_until(caller, b"\r\n\r\n"):
        caller.sendall(request("OPTIONS"))

    caller.sendall(invite(X_Timer_Ms="60000"))
    lane = select.select(lanes, [], [], PATIENCE)[0][0]
    start = json.loads(read_until(lane, b"\n"))
    assert (start["verb"], start["tag"], start["blob"]) == ("START", TAG, DESCRIPTION)

    path.write_text((path.parent / "moved.json").read_text())
    process.send_signal(signal.SIGHUP)
    asked = moved.accept()[0]
    assert b"last-event-id: 1\r\n" in read_until(asked, b"\r\n\r\n").lower()
    path.write_text("{")
    process.send_signal(signal.SIGHUP)
    caller.sendall(request("OPTIONS"))
    assert b" 200 " in read_until(caller, b"\r\n\r\n")

    lane.sendall(json.dumps({"verb": "STARTED", "tag": TAG, "blob": ANSWERED}).encode() + b"\n")
    assert read_until(caller, ANSWERED.encode()).startswith(b"SIP/2.0 200 ")
    process.send_signal(signal.SIGTERM)
    caller.sendall(request("OPTIONS"))
    while b" 503 " not in read_until(caller, b"\r\n\r\n"):
        caller.sendall(request("OPTIONS"))
    lane.sendall(json.dumps({"verb": "FINISH", "tag": TAG, "rc": 16}).encode() + b"\n")
    assert read_until(caller, b"\r\n\r\n").startswith(b"BYE ")
    assert process.wait(PATIENCE) == 0
    assert process.stderr is not None
    logged = [json.loads(line) for line in process.stderr.read().splitlines()]
    assert [one["text"] for one in logged if one["level"] == "error"] == [
        "invalid configuration, keeping the old one"
    ]


@pytest.mark.parametrize("text", ["{", None])
def test_a_configuration_it_cannot_use_is_one_line_and_code_2(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    ended = subprocess.run(
        [sys.executable, "-m", "peattrestle.platform"], env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True, timeout=PATIENCE,
    )  # fmt: skip
    assert ended.returncode == 2 and ended.stdout == b""
    (line,) = ended.stderr.decode().splitlines()
    assert str(path) in line


def test_it_imports_nothing_that_the_platform_has_no_use_for() -> None:
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
