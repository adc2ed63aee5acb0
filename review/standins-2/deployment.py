"""Stand-ins for the cases of the second review: exchanges, control feed, callers, and the agent as a process.

They follow PROTOCOL.md and DEPLOY.md and use nothing but Python's library. Every address is a loopback
address. Times are seconds of the monotonic clock, counted from the start of the script, unless a name ends
in `_ms`. What is sent, answered and run goes to `record.txt` in the folder of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
SLACK = 0.05  # seconds that the pages add to each time limit on sockets
MAX_LINE_BYTES = 16_384
SOCKETS = 256  # descriptors of the agent; DAYS.md: 256 to 1,024


def joined(address: tuple[str, int]) -> str:
    """Returns the address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


class NotRun(Exception):
    """The case could not run; the text says why."""


class Record:
    """Writes `record.txt`: one line an event, with its time in seconds."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self.began

    def __call__(self, who: str, what: str) -> None:
        self.file.write(f"{self.now():8.3f} {who}: {what}\n")
        self.file.flush()


class Call:
    """A set-up of a caller: when it was sent, its answers (time, status, description), and its releases."""

    def __init__(self, call_id: str, sent_at: float, timer: float, destination: int) -> None:
        self.call_id, self.sent_at, self.timer, self.destination = call_id, sent_at, timer, destination
        self.answers: list[tuple[float, int, str]] = []
        self.released: list[float] = []
        self.given_up = False
        self.exchange = ""  # where it stands, by the exchange's own account

    @property
    def stands(self) -> bool:
        """Whether the caller was told that it stands, and not that it is over."""
        return any(status == 200 for _, status, _ in self.answers) and not self.released


class ExchangeConnection(asyncio.Protocol):
    """One connection of the call agent to an exchange."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange, self.buffer = exchange, b""
        self.pending: dict[str, asyncio.TimerHandle] = {}
        self.dead = False  # cut off, or its machine has vanished: nothing is read or written
        self.held: list[bytes] = []  # written while it was cut off

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.exchange.connections.append(self)
        self.exchange.on_connected(self)

    def send(self, line: dict[str, Any]) -> None:
        """Writes one line."""
        data = json.dumps({"opts": {}} | line).encode() + b"\n"
        if self.dead:
            self.held.append(data)
        else:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.dead:
            return
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.exchange.on_line(self, line)

    def connection_lost(self, error: Exception | None) -> None:
        for timer in self.pending.values():  # set-ups open on a connection are given up when it closes
            timer.cancel()
        for tag in self.pending:
            self.exchange.log(f"set-up {tag} given up, its connection closed")
        self.pending.clear()
        if self in self.exchange.connections:
            self.exchange.connections.remove(self)


class Exchange:
    """An exchange: answers set-ups, holds calls, releases them, and may vanish, hang or come back.

    `hold` is how long a call stands. `calls` holds when each standing call ends, by its id. `set_ups` are the
    times and ids of the set-ups that arrived. `answers_set_up(connection, line)` may take over a set-up: it
    returns True if it did.
    """

    def __init__(self, world: World, name: str, number: int, address: tuple[str, int]) -> None:
        self.world, self.name, self.number, self.address = world, name, number, address
        self.born_ms = 0
        self.hold, self.delay = 3.0, 0.02
        self.reports = True
        self.connections: list[ExchangeConnection] = []
        self.calls: dict[str, asyncio.TimerHandle] = {}
        self.repeat: list[str] = []  # releases sent again on the next connection opened
        self.set_ups: list[tuple[float, str]] = []
        self.server: asyncio.Server | None = None
        self.blockers: list[socket.socket] = []
        self.answers_set_up: Callable[[ExchangeConnection, dict[str, Any]], bool] = lambda *_: False
        self.reporter: asyncio.Task[None] | None = None

    def log(self, text: str) -> None:
        """Records an event of this exchange."""
        self.world.record(self.name, text)

    async def open(self) -> None:
        """Listens, and reports its load to each open connection four times a second."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: ExchangeConnection(self), *self.address, reuse_address=True
        )
        if self.reporter is None:
            self.reporter = loop.create_task(self.report())

    async def report(self) -> None:
        """Sends load reports until the script ends."""
        while True:
            await asyncio.sleep(0.25)
            for connection in self.connections if self.reports else []:
                connection.send({"verb": "LOAD", "opts": {"load": self.load()}})

    def load(self) -> str:
        """Returns its load report: free circuits, size of the group, queue, set-ups a second."""
        return f"x0:{120 - len(self.calls)};x1:120;queue:0;qps:60"

    def on_connected(self, connection: ExchangeConnection) -> None:
        """Sends the report that comes first on each connection, and releases owed on the next one opened."""
        connection.send({"verb": "LOAD", "opts": {"load": self.load()}})
        for tag in self.repeat:
            connection.send({"verb": "FINISH", "tag": tag, "rc": 16})
        self.repeat.clear()

    def on_line(self, connection: ExchangeConnection, data: bytes) -> None:
        """Handles one line; closes the connection on one that it can't read."""
        try:
            line = json.loads(data)
            if len(data) > MAX_LINE_BYTES:
                raise ValueError(f"{len(data)} bytes")
        except ValueError as error:
            self.log(f"closes a connection with {len(connection.pending)} set-ups open: bad line, {error}")
            connection.transport.close()
            return
        tag = line.get("tag", "")
        match line["verb"]:
            case "START":
                self.set_ups.append((self.world.record.now(), tag))
                self.log(f"set-up {tag}, left {line['opts']['left']} ms")
                for other in self.world.exchanges:
                    pending = any(tag in link.pending for link in other.connections if not link.dead)
                    if pending or tag in other.calls and other.server is not None:
                        self.world.unsolicited.append(
                            f"{self.name}: set-up {tag} while one is out at {other.name}"
                        )
                if tag not in self.world.calls:
                    self.world.unsolicited.append(f"{self.name}: set-up {tag} that no caller sent")
                if not self.answers_set_up(connection, line):
                    self.answer_later(connection, tag, self.delay)
            case "FINISH":
                self.log(f"agent releases {tag}, cause {line.get('rc')}")
                timer = connection.pending.pop(tag, None) or self.calls.pop(tag, None)
                if timer is not None:
                    timer.cancel()
                connection.send({"verb": "FINISHED", "tag": tag})
            case "ECHO":
                self.log(f"test, cause {line.get('rc')}")
                reply = {"opts": {"load": self.load()}} if line.get("rc") == 1 else {}
                connection.send({"verb": "ECHOED", "tag": tag, "rc": 1} | reply)

    def answer_later(self, connection: ExchangeConnection, tag: str, delay: float) -> None:
        """Answers the set-up after `delay` seconds, unless it is given up by then."""
        loop = asyncio.get_running_loop()
        connection.pending[tag] = loop.call_later(delay, self.answer, connection, tag)

    def answer(self, connection: ExchangeConnection, tag: str) -> None:
        """The call stands from now on."""
        if connection.pending.pop(tag, None) is None or connection.dead:
            return
        description = f"{random.getrandbits(64):016x}\r\nc=IN IP4 127.9.9.9\r\nm=audio 31000 RTP/AVP 0\r\n"
        self.world.descriptions.setdefault(tag, set()).add(description)
        connection.send({"verb": "STARTED", "tag": tag, "blob": description})
        self.log(f"answers {tag}")
        loop = asyncio.get_running_loop()
        self.calls[tag] = loop.call_later(
            self.hold * random.uniform(0.8, 1.2), self.end_call, connection, tag
        )
        if tag in self.world.calls:
            self.world.calls[tag].exchange = self.name

    def end_call(self, connection: ExchangeConnection, tag: str) -> None:
        """Releases a call: on its connection, else on another one, and also on the next one opened."""
        if self.calls.pop(tag, None) is None:
            return
        self.log(f"releases {tag}")
        self.world.ended[tag] = self.world.record.now()
        if connection not in self.connections:
            connection = self.connections[0] if self.connections else connection
        if connection in self.connections:
            connection.send({"verb": "FINISH", "tag": tag, "rc": 16})
        self.repeat.append(tag)

    def vanish(self) -> None:
        """Its machine vanishes: open connections stay silent, new ones never come up, its calls are over."""
        self.log(f"vanishes with {len(self.calls)} calls")
        self.end_all()
        self.cut_off()

    def die(self) -> None:
        """Its process dies: the port closes, connections are reset, its calls are cut."""
        self.log(f"its process dies with {len(self.calls)} calls")
        self.stop_listening()
        self.end_all()
        for connection in list(self.connections):
            connection.transport.abort()

    def stop_listening(self) -> None:
        """New connections are refused from now on."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def end_all(self) -> None:
        """All its calls are over, and it will tell nobody."""
        for tag, timer in self.calls.items():
            timer.cancel()
            self.world.ended[tag] = self.world.record.now()
        self.calls.clear()

    def cut_off(self) -> None:
        """No byte passes from or to it; calls and set-ups stay as they are."""
        for connection in self.connections:
            connection.dead = True
            connection.transport.pause_reading()
        self.stop_listening()
        blocker = socket.socket()
        blocker.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        blocker.bind(self.address)
        blocker.listen(0)
        self.blockers = [blocker]
        for _ in range(4):  # the queue of connections is full: the answer to a further one never comes
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(self.address)
            self.blockers.append(client)

    async def come_back(self) -> None:
        """Its machine is up again with a new, cold process: it knows nothing of before."""
        self.born_ms = int(time.time() * 1000)
        for connection in list(self.connections):
            connection.transport.abort()
        self.connections.clear()
        self.repeat.clear()
        for blocker in self.blockers:
            blocker.close()
        self.blockers = []
        self.log("is back, cold")
        await self.open()

    def entry(self, state: str = "SERVING") -> dict[str, Any]:
        """Returns it as the list has it."""
        return {
            "host": self.name,
            "dial": joined(self.address),
            "site": "dakar",
            "class": "single-core",
            "block": self.number,
            "health": state,
            "share": 1,
            "born_ms": self.born_ms,
        }


class Feed:
    """A control feed: numbered events, and a comment each second."""

    def __init__(self, world: World, address: tuple[str, int]) -> None:
        self.world, self.address = world, address
        self.writers: dict[asyncio.StreamWriter, int] = {}
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one request until its connection ends: the events after its last, a comment each second."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            last = int(head.partition("last-event-id:")[2].split("\r\n")[0].strip() or 0)
            self.world.record("feed", f"{self.address[0]} asked from {last}")
            closed = asyncio.ensure_future(self.wait_for_end(reader))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self.writers[writer] = last
            self.push()
            while not closed.done():
                if writer in self.writers:
                    writer.write(b": alive\n\n")
                await asyncio.wait([closed], timeout=1.0)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def wait_for_end(self, reader: asyncio.StreamReader) -> None:
        """Returns when the agent has ended the connection."""
        with contextlib.suppress(ConnectionError):
            await reader.read()

    def push(self) -> None:
        """Sends each subscriber the events that it does not have."""
        for writer, last in list(self.writers.items()):
            for event in self.world.events:
                if event["n"] > last:
                    writer.write(f"id: {event['n']}\ndata: {json.dumps(event)}\n\n".encode())
                    self.writers[writer] = event["n"]
                    self.world.record("feed", f"{self.address[0]} tells event {event['n']}")


class CallerConnection(asyncio.Protocol):
    """One connection of callers to the call agent."""

    def __init__(self, world: World) -> None:
        self.world, self.buffer, self.open = world, b"", True
        self.pings: list[asyncio.Future[int]] = []

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            first, *rows = self.buffer[:end].decode().split("\r\n")
            fields = {
                name.strip().lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)
            }
            length = int(fields["content-length"])
            if len(self.buffer) < end + 4 + length:
                return
            body = self.buffer[end + 4 : end + 4 + length].decode()
            self.buffer = self.buffer[end + 4 + length :]
            self.handle(first, fields, body)

    def handle(self, first: str, fields: dict[str, str], body: str) -> None:
        """Handles a message of the agent."""
        call = self.world.calls.get(fields.get("call-id", ""))
        now = self.world.record.now()
        if first.startswith("BYE"):
            self.world.record(
                "caller", f"call {fields['call-id']} released by the agent: {fields.get('reason')}"
            )
            self.transport.write(message("200", fields["call-id"], "2 BYE"))
            if call is not None:
                call.released.append(now)
        elif first.startswith("SIP/2.0"):
            status = int(first.split()[1])
            if fields["cseq"].endswith("OPTIONS"):
                for ping in self.pings:
                    if not ping.done():
                        ping.set_result(status)
            elif status >= 200 and fields["cseq"].endswith("INVITE") and call is not None:
                call.answers.append((now, status, body))
                self.world.record(
                    "caller", f"call {call.call_id} answered {status} after {now - call.sent_at:.3f} s"
                )
                self.transport.write(message("ACK", call.call_id, "1 ACK"))


def message(method: str, call_id: str, cseq: str, fields: str = "", body: bytes = b"") -> bytes:
    """Returns a SIP request, or a response where `method` is a status code."""
    first = f"SIP/2.0 {method} OK" if method.isdigit() else f"{method} sip:7f3a9c21e0b4d655@net SIP/2.0"
    return (
        f"{first}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\nCSeq: {cseq}\r\n{fields}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class World:
    """One agent with all that it talks to. `calls` are the callers' set-ups by id, `events` the feed's."""

    def __init__(self, folder: Path, exchanges: int = 4) -> None:
        self.folder, self.record = folder, Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.calls: dict[str, Call] = {}
        self.descriptions: dict[str, set[str]] = {}
        self.ended: dict[str, float] = {}  # when calls ended, by the exchanges' account
        self.unsolicited: list[str] = []
        self.events: list[dict[str, Any]] = []
        network = random.randrange(16, 250)
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]
        self.listen = (f"127.{network}.0.1", port)
        self.feed = Feed(self, (f"127.{network}.2.1", port))
        self.exchanges = [
            Exchange(self, f"s-00c41f{number:02x}", number, (f"127.{network}.1.{number + 1}", port))
            for number in range(exchanges)
        ]  # the first one is the agent's own
        self.process: subprocess.Popen[bytes] | None = None
        self.processes: list[subprocess.Popen[bytes]] = []

    # The agent.

    def settings(self) -> dict[str, Any]:
        """Returns settings like those of a small deployment of the brief; times in microseconds."""
        return {
            "Areas": ["dakar"],
            "MyZone": "dakar",
            "KindOfService": "trunks",
            "Tier": 0,
            "Tiers": ["hubs"],
            "Me": 0,
            "NInstances": len(self.exchanges),
            "Discovery": "pushed",
            "MachineTypes": ["single-core"],
            "Caps": {
                "AttemptsCap": 6,
                "Cancel": True,
                "CpuUsPerS": 300000,
                "DialTimeoutUs": 500000,
                "KeepaliveUs": 600000000,
                "MaxOpen": 20000,
                "MaxRetryAfterUs": 2000000,
                "ParallelTries": False,
                "Probing": True,
                "RetryAfter": True,
            },
            "Classes": [
                {
                    "Name": "line-render",
                    "AimUs": 1500000,
                    "HardLimitUs": 9000000,
                    "LateWorth": 0.1,
                    "Group": "all",
                    "WindowUs": 5000000,
                    "Worth": 1.0,
                    "Streaming": True,
                    "Semantics": "read_like",
                }
            ],
            "FamilyInfo": {
                "Advice": False,
                "ClassWidth": [1],
                "ClearWaitUs": 300000,
                "HoldingUs": [10500000],
                "OwnNumber": 0,
                "RemoteLoad": "inline",
                "ResendUs": 0,
                "Topology": "mesh",
            },
            "Report": {"Fields": ["free", "size", "pending", "can_take"], "How": "inline"},
            "Rules": {
                "AnswerSlackUs": 20000,
                "ColdFrom": 0.3,
                "ColdUs": 14000000,
                "FallUs": 1000000,
                "OverloadFactor": 2.0,
                "StopSendingWithinUs": 1000000,
            },
            "StepUs": 5000,
            "Weights": "off",
            "WorthBy": "request",
        }

    def write_configuration(self, known: list[dict[str, Any]] | None = None) -> None:
        """Replaces the configuration file in one step; `known` are all events of the feed unless given."""
        events = self.events if known is None else known
        configuration = {
            "name": "n0",
            "listen": joined(self.listen),
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            "feed": joined(self.feed.address),
            "known": {"n": events[-1]["n"], "events": events},
            "settings": self.settings(),
        }
        path = self.temporary / "config.json"
        path.with_suffix(".new").write_text(json.dumps(configuration))
        path.with_suffix(".new").replace(path)

    async def start_agent(self) -> None:
        """Starts the agent by `run` of the deploy file and waits until it passes a test. Raises NotRun."""
        self.write_configuration()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = os.environ | {
            "LB_CONFIG": str(self.temporary / "config.json"),
            "LB_NAME": "n0",
            "LB_LISTEN": joined(self.listen),
            "TMPDIR": str(self.temporary),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self.temporary / "agent.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f"ulimit -n {SOCKETS}; {command}"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.processes.append(self.process)
        self.record("agent", f"started by: {command}")
        for _ in range(300):
            await asyncio.sleep(0.05)
            if self.process.poll() is not None:
                raise NotRun(f"the agent ended with code {self.process.returncode}")
            if await self.passes_test():
                self.record("agent", "ready")
                return
        raise NotRun("the agent was not ready within 15 s")

    async def restart_agent(self, down: float = 1.0) -> None:
        """Kills the agent outright and starts it again after `down` seconds. Raises NotRun."""
        assert self.process is not None
        self.signal_agent(signal.SIGKILL)
        self.process.wait()
        for call in self.calls.values():
            call.given_up = call.given_up or not call.answers  # what a killed agent held is not its duty
        await asyncio.sleep(down)
        await self.start_agent()

    async def passes_test(self) -> bool:
        """Returns whether the agent answers OPTIONS with 200."""
        try:
            connection = await self.connect()
        except OSError:
            return False
        ping: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        connection.pings.append(ping)
        connection.transport.write(
            message("OPTIONS", "ping", "1 OPTIONS").replace(b"7f3a9c21e0b4d655@", b"ping@")
        )
        try:
            return await asyncio.wait_for(ping, 1.0) == 200
        except TimeoutError:
            return False
        finally:
            connection.transport.close()

    def signal_agent(self, number: signal.Signals) -> None:
        """Sends a signal to the program that `run` started."""
        assert self.process is not None
        self.record("agent", f"gets {number.name}")
        self.process.send_signal(number)

    # The list.

    def publish(self, *entries: dict[str, Any], whole: bool = False, push: bool = True) -> None:
        """Puts an event into the feed."""
        number = len(self.events) + 1
        self.events.append({"n": number, "members": {"seq": number, "whole": whole, "hosts": list(entries)}})
        brief = [(entry["host"], entry["health"], entry["born_ms"]) for entry in entries]
        self.record("feed", f"event {number}: {brief}")
        if push:
            self.feed.push()

    async def open(self) -> None:
        """Opens exchanges and feed, and starts the agent."""
        for exchange in self.exchanges:
            await exchange.open()
        await self.feed.open()
        self.publish(*(exchange.entry() for exchange in self.exchanges), whole=True)
        await self.start_agent()

    # The callers.

    async def connect(self) -> CallerConnection:
        """Opens a connection to the agent. Raises OSError."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(lambda: CallerConnection(self), *self.listen)
        return protocol

    def invite(
        self, connection: CallerConnection, destination: int, timer: float = 3.0, body: bytes = b""
    ) -> Call:
        """Sends a set-up whose caller waits `timer` seconds for its answer."""
        call_id = f"{random.getrandbits(64):016x}"
        call = self.calls[call_id] = Call(call_id, self.record.now(), timer, destination)
        fields = (
            f"X-Cos: line-render\r\nX-Timer-Ms: {round(timer * 1000)}\r\n"
            f"X-Legs: dest:{destination};width:1;via:-1\r\n"
        )
        body = body or f"{call_id}\r\nc=IN IP4 127.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n".encode()
        connection.transport.write(message("INVITE", call_id, "1 INVITE", fields, body))
        self.record("caller", f"set-up {call_id} to {destination}, {len(body)} bytes")
        return call

    def name_standing_calls(self, connection: CallerConnection) -> list[str]:
        """Names the calls that stand to an agent that has started anew; returns their ids."""
        standing = [call for call in self.calls.values() if call.stands]
        for call in standing:
            fields = (
                f"X-Cos: line-render\r\nX-Timer-Ms: 1000\r\n"
                f"X-Legs: dest:{call.destination};width:1;via:-1;at:{call.exchange}\r\n"
            )
            body = f"{call.call_id}\r\nc=IN IP4 127.4.7.9\r\n".encode()
            connection.transport.write(message("INVITE", call.call_id, "1 INVITE", fields, body))
            self.record("caller", f"names call {call.call_id}, which stands at {call.exchange}")
        return [call.call_id for call in standing]

    async def call_steadily(
        self, seconds: float, rate: float, destinations: list[int], timer: float = 3.0
    ) -> None:
        """Sends set-ups for `seconds` on one connection, `rate` a second, and opens it anew when it ends."""
        connection = None
        until = self.record.now() + seconds
        while self.record.now() < until:
            if connection is None or not connection.open:
                try:
                    connection = await self.connect()
                except OSError:
                    await asyncio.sleep(0.1)
                    continue
            self.invite(connection, random.choice(destinations), timer)
            await asyncio.sleep(1 / rate)

    # The rules that every case checks.

    def lost_calls(self) -> list[str]:
        """Returns the set-ups without exactly one answer in time (half a second more counts as late only)."""
        problems = []
        for call in self.calls.values():
            due = call.sent_at + call.timer + 0.5 + SLACK
            if len(call.answers) > 1:
                problems.append(f"call {call.call_id} has {len(call.answers)} answers")
            elif not call.answers and not call.given_up and self.record.now() > due:
                problems.append(f"call {call.call_id} has no answer")
            for at, status, body in call.answers:
                if at > due:
                    problems.append(f"call {call.call_id} answered late")
                if status == 200 and body not in self.descriptions.get(call.call_id, ()):
                    problems.append(f"call {call.call_id} answered with something no exchange made for it")
        return problems

    def calls_left_standing(self) -> list[str]:
        """Returns the calls that are over and whose caller was not released within 8 s of the end."""
        now, problems = self.record.now(), []
        for tag, ended in self.ended.items():
            call = self.calls.get(tag)
            if call is None or not any(status == 200 for _, status, _ in call.answers):
                continue
            due = ended + 8.0 + SLACK
            if not call.released and now > due:
                problems.append(f"call {tag} over at {ended:.3f}, not released by {now:.3f}")
            elif call.released and call.released[0] > due:
                problems.append(f"call {tag} over at {ended:.3f}, released at {call.released[0]:.3f}")
        return problems

    def close(self) -> None:
        """Ends the processes that this script started and removes the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        log = self.temporary / "agent.log"
        if log.exists():
            for line in log.read_text(errors="replace").splitlines():
                if '"level": "debug"' not in line:
                    self.record.file.write(f"agent log: {line}\n")
        self.record.file.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(
    script: Callable[[World], Awaitable[list[str]]],
    limit: float = 110.0,
    exchanges: int = 4,
) -> int:
    """Runs a case, where `script(world)` returns what broke the rule. Returns the exit code of the case."""
    folder = Path(sys.argv[0]).resolve().parent
    world = World(folder, exchanges)

    async def body() -> list[str]:
        return await asyncio.wait_for(script(world), limit)

    problems: list[str] = []
    try:
        problems = asyncio.run(body())
        if world.process is not None and world.process.poll() is not None:
            problems.append(f"the agent crashed, code {world.process.returncode}")
    except (NotRun, OSError, TimeoutError) as error:
        world.record("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        for problem in problems:
            world.record("case", f"BROKEN {problem}")
        world.close()
    print(f"TROUBLE={int(TROUBLE)}: " + (f"broken, {len(problems)}: {problems[0]}" if problems else "held"))
    return BROKEN if problems else HELD
