"""A stand-in control feed: numbered events as server-sent events, and a comment each second."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from standins.record import Record

COMMENT_INTERVAL = 1.0  # seconds


class Feed:
    """Serves `GET /v1/events`: all events after `Last-Event-ID`, then each new one as it is published.

    `answer_delay`: seconds from a request to the first byte of its answer.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.address = ""
        self.answer_delay = 0.0
        self.subscribers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()

    async def open(self) -> None:
        """Listens on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    async def publish(self, hosts: list[dict[str, Any]], whole: bool = False) -> None:
        """Adds an event with these exchanges and sends it to all subscribers."""
        number = len(self.events) + 1
        self.events.append({"n": number, "members": {"seq": number, "whole": whole, "hosts": hosts}})
        text = ", ".join(f"{host['host']} {host['health']} born_ms {host['born_ms']}" for host in hosts)
        self.record.line("feed", f"event {number}: {text}")
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def known(self) -> dict[str, Any]:
        """The events up to now, as the configuration holds them under `known`."""
        return {"n": len(self.events), "events": list(self.events)}

    def break_off(self) -> None:
        """Ends the connections of all subscribers."""
        self.record.line("feed", f"BREAKS OFF, and answers calls after {self.answer_delay} s from now on")
        for writer in self.subscribers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            last = 0
            for line in head.split("\r\n"):
                if line.startswith("last-event-id:"):
                    last = int(line.partition(":")[2])
            self.subscribers.add(writer)
            if self.answer_delay:
                self.record.line("feed", f"is asked from {last} on")
                await asyncio.sleep(self.answer_delay)
            if writer.is_closing() or reader.at_eof() or reader.exception() is not None:
                self.record.line("feed", "the caller has left before its answer")
                raise ConnectionResetError
            if self.answer_delay:
                self.record.line("feed", f"answers the call from {last} on")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while True:
                changed = self._changed
                for event in self.events[last:]:
                    writer.write(f"id: {event['n']}\ndata: {json.dumps(event)}\n\n".encode())
                last = len(self.events)
                writer.write(b": alive\n\n")
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), COMMENT_INTERVAL)
        self.subscribers.discard(writer)
        writer.close()
