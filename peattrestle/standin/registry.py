"""A simulated registry that speaks etcd's JSON gateway: revisions, history, watches, compaction and faults.

It is built from bytes and JSON alone, and shares no code with the client that it tests but the kernel.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from peattrestle.runtime import ConnectionLost, Coroutine, Kernel, Listener, Stream

MS = 1_000_000  # nanoseconds


@dataclass(slots=True)
class Faults:
    """Faults that are active now.

    `unreachable`: connections are reset. `mute`: requests are read and not answered. `reset_after_bytes`: the
    connection is reset after so many bytes of the following answers; -1 for never. `duplicate_events`: events
    are sent twice. `reply_delay`: nanoseconds by which each answer is delayed. `error`: the HTTP status of
    every answer; 0 for none. `hold_events`: events are held back, in order.
    """

    unreachable: bool = False
    mute: bool = False
    reset_after_bytes: int = -1
    duplicate_events: bool = False
    reply_delay: int = 0
    error: int = 0
    hold_events: bool = False


@dataclass(slots=True)
class Watcher:
    """A watch of the keys in [`start_key`, `end_key`); `queue` holds the events not yet sent."""

    stream: Stream
    start_key: bytes
    end_key: bytes
    agent: str = ""
    queue: list[dict[str, Any]] = field(default_factory=list)


class SimulatedRegistry:
    """An etcd-like key-value store and its listening socket; `cluster` is its cluster id."""

    def __init__(self, kernel: Kernel, address: str, cluster: int = 4711) -> None:
        self.kernel, self.cluster = kernel, cluster
        self.revision, self.compacted = 1, 0
        self.keys: dict[bytes, dict[str, Any]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.watchers: list[Watcher] = []
        self.faults = Faults()
        self.streams: list[Stream] = []
        # Called as a key is sent to a client: its User-Agent, the key, and the value or None for a deletion.
        self.on_sent: Callable[[str, bytes, bytes | None], None] = lambda agent, key, value: None
        self.listener: Listener = kernel.listen(address)
        self.address = self.listener.address
        kernel.spawn(self.run(), "registry")

    # Changes by an operator.

    def put(self, key: str, value: bytes) -> int:
        """Sets a key and returns the new revision."""
        name = key.encode()
        self.revision += 1
        previous = self.keys.get(name)
        self.keys[name] = {
            "key": base64.b64encode(name).decode(),
            "create_revision": previous["create_revision"] if previous else str(self.revision),
            "mod_revision": str(self.revision),
            "version": str(int(previous["version"]) + 1 if previous else 1),
            "value": base64.b64encode(value).decode(),
        }
        self._append_event(name, {"kv": dict(self.keys[name])})
        return self.revision

    def delete(self, key: str) -> int:
        """Deletes a key, if present, and returns the revision."""
        name = key.encode()
        if self.keys.pop(name, None) is None:
            return self.revision
        self.revision += 1
        kv = {"key": base64.b64encode(name).decode(), "mod_revision": str(self.revision)}
        self._append_event(name, {"type": "DELETE", "kv": kv})
        return self.revision

    def compact(self) -> None:
        """Drops the history, so that a watch from an older revision is cancelled."""
        self.compacted = self.revision
        self.history.clear()

    def go_down(self) -> None:
        """Makes the registry unreachable: connections are reset, new ones too."""
        self.faults.unreachable = True
        for stream in list(self.streams):
            stream.abort()

    def recover(self) -> None:
        """Makes the registry reachable again."""
        self.faults.unreachable = False

    def restore(self, keys: dict[bytes, dict[str, Any]], revision: int, cluster: int) -> None:
        """Replaces the contents, as by a restored backup or another cluster; connections are reset."""
        self.keys, self.revision, self.cluster = dict(keys), revision, cluster
        self.compacted = revision
        self.history.clear()
        for stream in list(self.streams):
            stream.abort()

    def _append_event(self, name: bytes, event: dict[str, Any]) -> None:
        """Keeps an event in the history and sends it to the watches it concerns."""
        self.history.append((self.revision, event))
        for watcher in list(self.watchers):
            if watcher.start_key <= name < watcher.end_key:
                self._send_events(watcher, [event])

    # HTTP and JSON.

    def header(self) -> dict[str, str]:
        """The header of each response."""
        return {
            "cluster_id": str(self.cluster),
            "member_id": "1",
            "revision": str(self.revision),
            "raft_term": "2",
        }

    def run(self) -> Coroutine[None]:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                stream = yield from self.listener.accept()
            except ConnectionLost:
                return
            self.kernel.spawn(self.serve(stream), f"registry < {stream.peer}")

    def serve(self, stream: Stream) -> Coroutine[None]:
        """Handles the requests of one connection."""
        buffer = b""
        self.streams.append(stream)
        try:
            while not self.faults.unreachable:
                data = yield from stream.read()
                if not data:
                    return
                buffer += data
                head, separator, body = buffer.partition(b"\r\n\r\n")
                if not separator:
                    continue
                request_line, *headers = head.split(b"\r\n")
                length = next(
                    (
                        int(header.split(b":")[1])
                        for header in headers
                        if header.lower().startswith(b"content-length")
                    ),
                    0,
                )
                if len(body) < length:
                    continue
                buffer = body[length:]
                target = request_line.split(b" ")[1].decode()
                agent = next(
                    (
                        header.partition(b":")[2]
                        for header in headers
                        if header.lower().startswith(b"user-agent")
                    ),
                    b"",
                ).decode("ascii", "replace")
                agent = agent.strip().removeprefix("peattrestle/")
                if self.faults.reply_delay:
                    yield from self.kernel.sleep(self.faults.reply_delay)
                if not self.faults.mute:
                    self.handle_request(stream, agent, target, json.loads(body[:length] or b"{}"))
            stream.abort()
        except ConnectionLost:
            pass
        finally:
            self.streams.remove(stream)
            self.watchers = [watcher for watcher in self.watchers if watcher.stream is not stream]
            stream.close()

    def write(self, stream: Stream, data: bytes) -> None:
        """Writes data, subject to the fault `reset_after_bytes`."""
        limit = self.faults.reset_after_bytes
        if 0 <= limit < len(data):
            self.faults.reset_after_bytes = -1
            stream.write(data[:limit])
            self.kernel.call_at(self.kernel.now() + 5 * MS, stream.abort)
        else:
            self.faults.reset_after_bytes = limit - len(data) if limit >= 0 else limit
            stream.write(data)

    def send_response(self, stream: Stream, status: str, body: dict[str, Any]) -> None:
        """Sends a complete response."""
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        self.write(stream, head.encode() + data)

    def handle_request(self, stream: Stream, agent: str, target: str, request: dict[str, Any]) -> None:
        """Handles a request: a range, a watch, or an unknown target."""
        if self.faults.error:
            self.send_response(stream, f"{self.faults.error} Broken", {"error": "no leader", "code": 14})
        elif target == "/v3/kv/range":
            start_key, end_key = base64.b64decode(request["key"]), base64.b64decode(request["range_end"])
            found = [kv for name, kv in sorted(self.keys.items()) if start_key <= name < end_key]
            for kv in found:
                self.on_sent(agent, base64.b64decode(kv["key"]), base64.b64decode(kv["value"]))
            self.send_response(
                stream, "200 OK", {"header": self.header(), "kvs": found, "count": str(len(found))}
            )
        elif target == "/v3/watch":
            self.start_watch(stream, agent, request["create_request"])
        else:
            self.send_response(stream, "404 Not Found", {"error": "not here", "code": 5})

    def start_watch(self, stream: Stream, agent: str, request: dict[str, Any]) -> None:
        """Starts a watch and sends the events since the revision it starts from."""
        since = int(request.get("start_revision", self.revision + 1))
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.write(stream, head)
        self.send_chunk(stream, {"header": self.header(), "created": True})
        if since <= self.compacted:
            cancelled = {"canceled": True, "compact_revision": str(self.compacted)}
            self.send_chunk(stream, {"header": self.header(), **cancelled})
            self.write(stream, b"0\r\n\r\n")
            return
        start_key, end_key = base64.b64decode(request["key"]), base64.b64decode(request["range_end"])
        watcher = Watcher(stream, start_key, end_key, agent)
        self.watchers.append(watcher)
        missed = [event for at, event in self.history if at >= since]
        matching = [event for event in missed if start_key <= base64.b64decode(event["kv"]["key"]) < end_key]
        if matching:
            self._send_events(watcher, matching)

    def _send_events(self, watcher: Watcher, events: list[dict[str, Any]]) -> None:
        """Queues events for a watch, and sends all that are queued unless a fault holds them back."""
        watcher.queue += events
        if self.faults.hold_events or self.faults.unreachable:
            return  # kept in order, as a watch never skips an event
        events, watcher.queue = watcher.queue, []
        for event in events:
            value = base64.b64decode(event["kv"]["value"]) if "value" in event["kv"] else None
            self.on_sent(watcher.agent, base64.b64decode(event["kv"]["key"]), value)
        for _ in range(2 if self.faults.duplicate_events else 1):
            self.send_chunk(watcher.stream, {"header": self.header(), "events": events})

    def send_progress(self) -> None:
        """Sends every watch a progress notification: the present revision, without events."""
        for watcher in self.watchers:
            self.send_chunk(watcher.stream, {"header": self.header()})

    def send_chunk(self, stream: Stream, result: dict[str, Any]) -> None:
        """Sends one JSON line of a watch as an HTTP chunk."""
        data = json.dumps({"result": result}).encode() + b"\n"
        self.write(stream, f"{len(data):x}\r\n".encode() + data + b"\r\n")
