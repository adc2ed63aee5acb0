"""Stand-in callers over SIP, as PROTOCOL.md describes them."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from dataclasses import dataclass, field

from standins.record import Record

IDLE_TIME = 4.0  # seconds, after which a connection with no call on it is closed


@dataclass
class Call:
    """One call as its caller sees it. Times in seconds of the record; None: not yet."""

    tag: str
    destination: int
    status: int | None = None
    answered_at: float | None = None
    released_at: float | None = None
    release_reason: str = ""
    answers: int = 0
    answered: asyncio.Event = field(default_factory=asyncio.Event)


class CallerConnection:
    """One connection to the call agent; closed after `IDLE_TIME` without a set-up, unless it is kept."""

    def __init__(self, callers: Callers, name: str, kept: bool) -> None:
        self.callers, self.name, self.kept = callers, name, kept
        self.waiting: dict[str, Call] = {}
        self.used_at = 0.0
        self.is_open = False

    async def open(self) -> None:
        """Connects. Raises OSError."""
        host, _, port = self.callers.agent_address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.is_open, self.used_at = True, self.callers.record.now()
        self.callers.record.line(self.name, "opened")
        self.tasks = [asyncio.create_task(self._read())]
        if not self.kept:
            self.tasks.append(asyncio.create_task(self._close_when_idle()))

    def set_up(self, destination: int, patience: float = 3.0) -> Call:
        """Sends a set-up; `patience` is how long the caller waits for the answer, in seconds.

        The number called begins with the number of its exchange as two hexadecimal digits.
        """
        call = Call(secrets.token_hex(8), destination)
        self.callers.calls[call.tag] = self.waiting[call.tag] = call
        body = f"{call.tag}\r\nc=IN IP4 127.0.0.7\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
        self._send(
            "INVITE",
            call.tag,
            f"X-Cos: {self.callers.bearer_type}\r\nX-Timer-Ms: {round(patience * 1000)}\r\n"
            f"X-Legs: dest:{destination};width:1;via:-1\r\n",
            body,
            f"{destination:02x}3a9c21e0b4d655",
        )
        self.callers.record.line(self.name, f"set-up {call.tag} to exchange number {destination}")
        return call

    def _send(
        self, method: str, tag: str, more: str = "", body: str = "", number: str = "003a9c21e0b4d655"
    ) -> None:
        self.used_at = self.callers.record.now()
        self.writer.write(
            (
                f"{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {tag}\r\n"
                f"CSeq: 1 {'INVITE' if method == 'ACK' else method}\r\n{more}"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
        )

    async def _read(self) -> None:
        why = "closed by the call agent"
        try:
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.split("\r\n")
                fields = {
                    name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
                }
                body = await self.reader.readexactly(int(fields.get("content-length", "0")))
                self._handle(first, fields, body.decode())
        except asyncio.IncompleteReadError:
            pass
        except OSError as error:
            why = f"lost: {error}"
        self._ended(why)

    def _handle(self, first: str, fields: dict[str, str], body: str) -> None:
        record, call = self.callers.record, self.callers.calls.get(fields.get("call-id", ""))
        if call is None:
            return
        if first.startswith("BYE "):
            record.line(self.name, f"release {call.tag} from the call agent, {fields.get('reason')}")
            if call.released_at is None:
                call.released_at, call.release_reason = record.now(), fields.get("reason", "")
            self.writer.write(
                f"SIP/2.0 200 OK\r\nVia: {fields.get('via', '')}\r\nCall-ID: {call.tag}\r\n"
                f"CSeq: {fields.get('cseq', '')}\r\nContent-Length: 0\r\n\r\n".encode()
            )
        elif first.startswith("SIP/2.0 ") and fields.get("cseq", "").endswith("INVITE"):
            status = int(first.split(" ")[1])
            if status < 200:
                return
            call.status, call.answered_at = status, record.now()
            call.answers += 1
            self.waiting.pop(call.tag, None)
            self.used_at = record.now()
            record.line(self.name, f"answer {call.tag}: {first[8:]} {body.split(chr(13))[0]}")
            self._send("ACK", call.tag)
            call.answered.set()

    async def _close_when_idle(self) -> None:
        while self.waiting or self.callers.record.now() < self.used_at + IDLE_TIME:
            await asyncio.sleep(0.05)
        self.close()

    def close(self) -> None:
        """The caller closes the connection."""
        self._ended("closed by the caller")

    def _ended(self, why: str) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.callers.record.line(self.name, why)
        for task in self.tasks:
            if task is not asyncio.current_task():
                task.cancel()
        self.writer.close()


class Callers:
    """All callers of one call agent; `calls` are by Call-ID."""

    def __init__(self, record: Record, agent_address: str, bearer_type: str) -> None:
        self.record, self.agent_address, self.bearer_type = record, agent_address, bearer_type
        self.calls: dict[str, Call] = {}
        self.opened = 0

    async def connect(self, kept: bool = False) -> CallerConnection:
        """Opens a connection; `kept`: this client keeps its connection for good. Raises OSError."""
        self.opened += 1
        connection = CallerConnection(self, f"caller conn {chr(64 + self.opened)}", kept)
        await connection.open()
        return connection

    async def passes_test(self) -> bool:
        """Whether the call agent passes its test (OPTIONS)."""
        host, _, port = self.agent_address.rpartition(":")
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: ping\r\n"
                b"CSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
            )
            head = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return head.startswith(b"SIP/2.0 200")
        return False
