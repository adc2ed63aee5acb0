"""A stand-in exchange on JSON lines, as PROTOCOL.md describes it, on a loopback address of its own.

It reports its groups on every connection, answers set-ups, holds the calls and releases them: on the
set-up's connection, otherwise on any open one, and also on the next one opened.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import select
import socket
import struct
import time
from dataclasses import dataclass, field
from typing import Any

from standins.record import Record

MAX_CONNECTIONS = 4
REPORT_INTERVAL = 0.3  # seconds
ANSWER_DELAY = 0.02  # seconds


@dataclass
class StandingCall:
    """A call that stands here. Times in seconds of the record; `ended_at` is None while it stands."""

    tag: str
    description: str
    stood_at: float
    connection: Connection
    ended_at: float | None = None
    why: str = ""


@dataclass
class Connection:
    """One connection from the call agent."""

    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    open_set_ups: set[str] = field(default_factory=set)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)


class Exchange:
    """One exchange. `holding_time` is how long a call stands, in seconds.

    `silent`: it hangs, that is, it takes what it gets and sends nothing.
    """

    def __init__(self, record: Record, name: str, number: int, holding_time: float) -> None:
        self.record, self.name, self.number, self.holding_time = record, name, number, holding_time
        self.connections: list[Connection] = []
        self.calls: dict[str, StandingCall] = {}
        self.repeated: list[bytes] = []  # releases that go out again on the next connection
        self.set_ups: list[float] = []  # when each came, in seconds of the record
        self.silent = False
        self.vanished = False
        self.born_ms = 0
        self.network: dict[int, Exchange] = {}  # all exchanges by their numbers, for calls in transit
        self.address = ""
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        self._fillers: list[socket.socket] = []
        self._opened = 0

    def host(self, health: str = "SERVING") -> dict[str, Any]:
        """This exchange as the control feed lists it."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "east",
            "class": "std",
            "block": self.number,
            "health": health,
            "share": 1,
            "born_ms": self.born_ms,
        }

    def open(self) -> None:
        """Listens: on a free port the first time, on the same one later."""
        port = int(self.address.rpartition(":")[2] or 0)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(8)
        listener.setblocking(False)
        self._listener, self.address = listener, "{}:{}".format(*listener.getsockname())
        self._accepting = asyncio.create_task(self._accept(listener))

    def refuse_connections(self) -> None:
        """New connections are refused until `open` is called again; open ones stay."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
        self._accepting = self._listener = None

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(listener)
            if len(self.connections) >= MAX_CONNECTIONS:
                sock.close()
                continue
            reader, writer = await asyncio.open_connection(sock=sock)
            self._opened += 1
            connection = Connection(self._opened, reader, writer)
            self.connections.append(connection)
            self.record.line(self.name, f"connection {connection.number} opened")
            connection.tasks = [
                asyncio.create_task(self._serve(connection)),
                asyncio.create_task(self._report(connection)),
            ]

    async def _report(self, connection: Connection) -> None:
        self._send(connection, {"verb": "LOAD", "opts": {"load": self._load()}})
        repeated, self.repeated = self.repeated, []
        for data in repeated:
            self.record.line(self.name, f"connection {connection.number}: again {data.decode().strip()}")
            connection.writer.write(data)
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            self._send(connection, {"verb": "LOAD", "opts": {"load": self._load()}})

    def _load(self) -> str:
        free = 60 - sum(call.ended_at is None for call in self.calls.values())
        return f"x0:{free};x1:60;queue:0;qps:60"

    def _send(self, connection: Connection, line: dict[str, Any]) -> None:
        if not self.silent and not self.vanished:
            connection.writer.write(json.dumps(line).encode() + b"\n")

    async def _serve(self, connection: Connection) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await connection.reader.readline():
                self._handle(connection, json.loads(data))
        self._ended(connection, "ended by the call agent")

    def _ended(self, connection: Connection, why: str) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
            self.record.line(
                self.name,
                f"connection {connection.number} {why}, {len(connection.open_set_ups)} set-ups given up",
            )
        for task in connection.tasks:
            if task is not asyncio.current_task():
                task.cancel()
        connection.open_set_ups.clear()
        connection.writer.close()

    def _handle(self, connection: Connection, line: dict[str, Any]) -> None:
        verb, tag = line["verb"], line.get("tag", "")
        if verb == "START":
            self.set_ups.append(self.record.now())
            self.record.line(self.name, f"set-up {tag} on connection {connection.number}")
            connection.open_set_ups.add(tag)
            destination = self.network.get(int(line["opts"]["key"][:2], 16), self)
            connection.tasks.append(asyncio.create_task(self._answer(connection, tag, destination)))
        elif verb == "FINISH":
            self.record.line(self.name, f"release {tag} from the call agent, cause {line.get('rc')}")
            connection.open_set_ups.discard(tag)
            call = self.calls.get(tag)
            if call is not None and call.ended_at is None:
                call.ended_at, call.why = self.record.now(), "released by the call agent"
            self._send(connection, {"verb": "FINISHED", "tag": tag, "opts": {}})
        elif verb == "ECHO":
            self.record.line(self.name, f"test (ECHO) on connection {connection.number}")
            more = {"load": self._load()} if line.get("rc") == 1 else {}
            self._send(connection, {"verb": "ECHOED", "tag": tag, "opts": more, "rc": 1})

    async def _answer(self, connection: Connection, tag: str, destination: Exchange) -> None:
        """Answers a set-up; as tandem, turns it back where the destination can't be reached."""
        await asyncio.sleep(ANSWER_DELAY)
        if tag not in connection.open_set_ups or self.silent or self.vanished:
            return
        connection.open_set_ups.discard(tag)
        if destination is not self and (destination.vanished or destination.silent):
            self._send(connection, {"verb": "FINISH", "tag": tag, "opts": {"note": "crankback"}, "rc": 34})
            self.record.line(self.name, f"turns back {tag}: no way to {destination.name}")
            return
        description = f"{self.name}-{tag}\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0\r\n"
        call = self.calls[tag] = StandingCall(tag, description, self.record.now(), connection)
        self._send(
            connection, {"verb": "STARTED", "tag": tag, "opts": {"load": self._load()}, "blob": description}
        )
        self.record.line(self.name, f"answer {tag}: the call stands")
        asyncio.get_running_loop().call_later(self.holding_time, self._end, call)

    def _end(self, call: StandingCall) -> None:
        """The call has come to its end."""
        if call.ended_at is not None or self.calls.get(call.tag) is not call:
            return
        call.ended_at, call.why = self.record.now(), "its end"
        data = json.dumps({"verb": "FINISH", "tag": call.tag, "opts": {}, "rc": 16}).encode() + b"\n"
        self.repeated.append(data)
        open_connections = [call.connection] if call.connection in self.connections else self.connections[:1]
        for connection in open_connections:
            connection.writer.write(data)
        where = [connection.number for connection in open_connections]
        self.record.line(self.name, f"release {call.tag}, cause 16, on connections {where}")

    # Disruptions.

    def reset_connections(self) -> None:
        """Resets all open connections; calls go on standing."""
        for connection in list(self.connections):
            sock = connection.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._ended(connection, "reset by the exchange")
            connection.writer.transport.abort()

    def vanish(self) -> None:
        """The machine goes silent: open connections stay open and silent, new ones never come up.

        Its calls are over. New connections are kept from coming up by a full queue of the listener.
        """
        self.vanished = True
        for call in self.calls.values():
            if call.ended_at is None:
                call.ended_at, call.why = self.record.now(), "the machine vanished"
        standing = [call.tag for call in self.calls.values() if call.why == "the machine vanished"]
        self.record.line(self.name, f"VANISHES; calls that were cut: {standing}")
        for connection in self.connections:
            transport = connection.writer.transport
            assert isinstance(transport, asyncio.Transport)
            transport.pause_reading()
        if self._accepting is not None:
            self._accepting.cancel()
        assert self._listener is not None
        for _ in range(64):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)
            if not select.select([], [filler], [], 0.02)[1]:
                return
        raise RuntimeError("the listener's queue could not be filled")

    async def come_back(self) -> None:
        """A new process starts on the machine: it knows no call and no connection."""
        for connection in list(self.connections):
            connection.writer.transport.abort()
            self._ended(connection, "forgotten")
        self.refuse_connections()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.vanished, self.born_ms = False, time.time_ns() // 1_000_000
        self.repeated.clear()
        self.open()
        self.record.line(self.name, "is back, cold")
