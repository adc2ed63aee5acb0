"""A stand-in registry in etcd's published JSON form: revisions, history, watches, compaction, faults.

It stands on bytes and JSON alone and shares nothing with the client but the kernel.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from peattrestle.runtime import Coroutine, Kernel, Listener, Lost, Stream

MS = 1_000_000


@dataclass(slots=True)
class Faults:
    """What is wrong with it now. `cut_after`: bytes of the next answers after which the connection is reset;
    -1 for never. `doubled`: news are sent twice. `late`: nanoseconds each answer is held back."""

    away: bool = False
    mute: bool = False
    cut_after: int = -1
    doubled: bool = False
    late: int = 0
    error: int = 0
    news_stuck: bool = False


@dataclass(slots=True)
class Watcher:
    stream: Stream
    low: bytes
    high: bytes
    agent: str = ""
    queue: list[dict[str, Any]] = field(default_factory=list)


class StandinRegistry:
    def __init__(self, kernel: Kernel, address: str, cluster: int = 4711) -> None:
        self.kernel, self.cluster = kernel, cluster
        self.revision, self.compacted = 1, 0
        self.keys: dict[bytes, dict[str, Any]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.watchers: list[Watcher] = []
        self.faults = Faults()
        self.streams: list[Stream] = []
        # Told to whom (its User-Agent), of which key, and its value or None: as the bytes are sent.
        self.on_told: Callable[[str, bytes, bytes | None], None] = lambda agent, key, value: None
        self.listener: Listener = kernel.listen(address)
        self.address = self.listener.address
        kernel.spawn(self.run(), "registry")

    # What operators do.

    def put(self, key: str, value: bytes) -> int:
        name = key.encode()
        self.revision += 1
        old = self.keys.get(name)
        self.keys[name] = {
            "key": base64.b64encode(name).decode(),
            "create_revision": old["create_revision"] if old else str(self.revision),
            "mod_revision": str(self.revision),
            "version": str(int(old["version"]) + 1 if old else 1),
            "value": base64.b64encode(value).decode(),
        }
        self._changed(name, {"kv": dict(self.keys[name])})
        return self.revision

    def delete(self, key: str) -> int:
        name = key.encode()
        if self.keys.pop(name, None) is None:
            return self.revision
        self.revision += 1
        kv = {"key": base64.b64encode(name).decode(), "mod_revision": str(self.revision)}
        self._changed(name, {"type": "DELETE", "kv": kv})
        return self.revision

    def compact(self) -> None:
        self.compacted = self.revision
        self.history.clear()

    def leave(self) -> None:
        """Unreachable: connections end, new ones are reset."""
        self.faults.away = True
        for stream in list(self.streams):
            stream.abort()

    def come_back(self) -> None:
        self.faults.away = False

    def restore(self, keys: dict[bytes, dict[str, Any]], revision: int, cluster: int) -> None:
        """From an older copy, or as another registry."""
        self.keys, self.revision, self.cluster = dict(keys), revision, cluster
        self.compacted = revision
        self.history.clear()
        for stream in list(self.streams):
            stream.abort()

    def _changed(self, name: bytes, event: dict[str, Any]) -> None:
        self.history.append((self.revision, event))
        for one in list(self.watchers):
            if one.low <= name < one.high:
                self._news(one, [event])

    # The wire.

    def header(self) -> dict[str, str]:
        return {
            "cluster_id": str(self.cluster),
            "member_id": "1",
            "revision": str(self.revision),
            "raft_term": "2",
        }

    def run(self) -> Coroutine[None]:
        while True:
            try:
                stream = yield from self.listener.accept()
            except Lost:
                return
            self.kernel.spawn(self.serve(stream), f"registry < {stream.peer}")

    def serve(self, stream: Stream) -> Coroutine[None]:
        held = b""
        self.streams.append(stream)
        try:
            while not self.faults.away:
                data = yield from stream.read()
                if not data:
                    return
                held += data
                head, gap, body = held.partition(b"\r\n\r\n")
                if not gap:
                    continue
                first, *fields = head.split(b"\r\n")
                length = next(
                    (int(one.split(b":")[1]) for one in fields if one.lower().startswith(b"content-length")),
                    0,
                )
                if len(body) < length:
                    continue
                held = body[length:]
                target = first.split(b" ")[1].decode()
                agent = next(
                    (one.partition(b":")[2] for one in fields if one.lower().startswith(b"user-agent")), b""
                ).decode("ascii", "replace")
                agent = agent.strip().removeprefix("peattrestle/")
                if self.faults.late:
                    yield from self.kernel.sleep(self.faults.late)
                if not self.faults.mute:
                    self.answer(stream, agent, target, json.loads(body[:length] or b"{}"))
            stream.abort()
        except Lost:
            pass
        finally:
            self.streams.remove(stream)
            self.watchers = [one for one in self.watchers if one.stream is not stream]
            stream.close()

    def write(self, stream: Stream, data: bytes) -> None:
        cut = self.faults.cut_after
        if 0 <= cut < len(data):
            self.faults.cut_after = -1
            stream.write(data[:cut])
            self.kernel.at(self.kernel.now() + 5 * MS, stream.abort)
        else:
            self.faults.cut_after = cut - len(data) if cut >= 0 else cut
            stream.write(data)

    def whole(self, stream: Stream, status: str, body: dict[str, Any]) -> None:
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        self.write(stream, head.encode() + data)

    def answer(self, stream: Stream, agent: str, target: str, asked: dict[str, Any]) -> None:
        if self.faults.error:
            self.whole(stream, f"{self.faults.error} Broken", {"error": "no leader", "code": 14})
        elif target == "/v3/kv/range":
            low, high = base64.b64decode(asked["key"]), base64.b64decode(asked["range_end"])
            found = [kv for name, kv in sorted(self.keys.items()) if low <= name < high]
            for kv in found:
                self.on_told(agent, base64.b64decode(kv["key"]), base64.b64decode(kv["value"]))
            self.whole(stream, "200 OK", {"header": self.header(), "kvs": found, "count": str(len(found))})
        elif target == "/v3/watch":
            self.watch(stream, agent, asked["create_request"])
        else:
            self.whole(stream, "404 Not Found", {"error": "not here", "code": 5})

    def watch(self, stream: Stream, agent: str, asked: dict[str, Any]) -> None:
        since = int(asked.get("start_revision", self.revision + 1))
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.write(stream, head)
        self.line(stream, {"header": self.header(), "created": True})
        if since <= self.compacted:
            gone = {"canceled": True, "compact_revision": str(self.compacted)}
            self.line(stream, {"header": self.header(), **gone})
            self.write(stream, b"0\r\n\r\n")
            return
        low, high = base64.b64decode(asked["key"]), base64.b64decode(asked["range_end"])
        one = Watcher(stream, low, high, agent)
        self.watchers.append(one)
        missed = [event for at, event in self.history if at >= since]
        mine = [event for event in missed if low <= base64.b64decode(event["kv"]["key"]) < high]
        if mine:
            self._news(one, mine)

    def _news(self, one: Watcher, events: list[dict[str, Any]]) -> None:
        one.queue += events
        if self.faults.news_stuck or self.faults.away:
            return  # held up, in order: a watch never leaves one out
        events, one.queue = one.queue, []
        for event in events:
            value = base64.b64decode(event["kv"]["value"]) if "value" in event["kv"] else None
            self.on_told(one.agent, base64.b64decode(event["kv"]["key"]), value)
        for _ in range(2 if self.faults.doubled else 1):
            self.line(one.stream, {"header": self.header(), "events": events})

    def progress(self) -> None:
        """Every watch is told that it has seen all there is."""
        for one in self.watchers:
            self.line(one.stream, {"header": self.header()})

    def line(self, stream: Stream, result: dict[str, Any]) -> None:
        data = json.dumps({"result": result}).encode() + b"\n"
        self.write(stream, f"{len(data):x}\r\n".encode() + data + b"\r\n")
