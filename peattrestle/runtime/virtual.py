"""The event loop without clock and sockets: time jumps to the next timer, streams have random delays.

A run is determined by its seed. The delay of each connection and the splitting of each write into segments
are random; segments of one direction are delivered in order. `Network` sets these properties and cuts
connections.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from peattrestle.runtime.kernel import (
    MS,
    ConnectFailed,
    ConnectionLost,
    Coroutine,
    Kernel,
    Listener,
    Stream,
    Timer,
    Waiter,
)


@dataclass(slots=True)
class Network:
    """The properties of simulated connections, and which of them are cut now.

    `min_delay`, `max_delay`: one-way delay in nanoseconds. `split_probability`: probability that a segment is
    split in two. `window`: bytes that a peer may have unread before further ones stay with the writer.
    `is_cut(source, address)`: whether the two are cut off from each other now; bytes wait until they are not.
    `cut_check_interval`: nanoseconds between checks whether a cut has ended.
    """

    min_delay: int = MS // 5
    max_delay: int = 2 * MS
    split_probability: float = 0.1
    window: int = 262144
    is_cut: Callable[[str, str], bool] = lambda source, address: False
    cut_check_interval: int = 20 * MS


class VirtualStream(Stream):
    """One side of a simulated connection; `other` is the other side."""

    def __init__(self, kernel: VirtualKernel, source: str, peer: str) -> None:
        self.kernel, self.source, self.peer = kernel, source, peer
        self.other: VirtualStream = self
        self.delay = kernel.rng.randint(kernel.network.min_delay, kernel.network.max_delay)
        self.unsent = 0
        self._send_buffer: deque[memoryview] = deque()  # not yet sent: the peer's window is full
        self._in_flight = 0
        self._received: deque[bytes] = deque()
        self._unread = 0
        self._at_end = False  # the peer has closed its side, and all its bytes have been received
        self._reader: Waiter | None = None
        self._drainers: list[tuple[int, Waiter]] = []
        self._write_closed = self._closed = False
        self._lost_reason = ""
        self._last_arrival = 0

    # Writing side.

    def write(self, data: bytes) -> None:
        if self._closed or self._write_closed or not data:
            return
        self._send_buffer.append(memoryview(data))
        self.unsent += len(data)
        self._transmit()

    def _transmit(self) -> None:
        network = self.kernel.network
        while self._send_buffer:
            free = network.window - self.other._unread - self._in_flight
            if free < min(len(self._send_buffer[0]), network.window // 2):
                break  # avoids tiny segments: the window opens by half or not at all
            data = self._send_buffer.popleft()
            if len(data) > free:
                self._send_buffer.appendleft(data[free:])
                data = data[:free]
            self.unsent -= len(data)
            segments = [bytes(data)]
            if len(data) > 1 and self.kernel.rng.random() < network.split_probability:
                split_at = self.kernel.rng.randint(1, len(data) - 1)
                segments = [bytes(data[:split_at]), bytes(data[split_at:])]
            for segment in segments:
                self._in_flight += len(segment)
                self._schedule(partial(self._deliver, segment))
        for below, waiter in self._drainers:
            if self.unsent < below:
                waiter.set()
        self._drainers = [drainer for drainer in self._drainers if not drainer[1].done]

    def _schedule(self, action: Callable[[], None]) -> None:
        arrival = max(self.kernel.now() + self.delay, self._last_arrival)
        self._last_arrival = arrival + 1

        def arrive() -> None:
            if self._lost_reason or self._closed and self.other._closed:
                return
            if self.kernel.network.is_cut(self.source, self.peer):
                self._last_arrival = self.kernel.now() + self.kernel.network.cut_check_interval
                self.kernel.call_at(self._last_arrival, arrive)
            else:
                action()

        self.kernel.call_at(arrival, arrive)

    def _deliver(self, segment: bytes) -> None:
        other = self.other
        self._in_flight -= len(segment)
        if other._closed:
            # As with TCP, bytes sent to a closed socket are answered with a reset.
            self.kernel.call_at(self.kernel.now() + self.delay, lambda: self._reset("peer closed"))
            return
        other._received.append(segment)
        other._unread += len(segment)
        other._wake()

    def drain(self, below: int = 65536) -> Coroutine[None]:
        if self.unsent >= below and not self._closed:
            waiter = Waiter(self.kernel)
            self._drainers.append((below, waiter))
            yield waiter
        if self._lost_reason:
            raise ConnectionLost(self._lost_reason)

    def close_write(self) -> None:
        if not self._write_closed and not self._closed:
            self._write_closed = True
            self._schedule(self._end_of_stream)

    def _end_of_stream(self) -> None:
        if self._send_buffer or self._in_flight:
            self._schedule(self._end_of_stream)
            return
        self.other._at_end = True
        self.other._wake()

    # Reading side.

    def _wake(self) -> None:
        if self._reader is not None:
            reader, self._reader = self._reader, None
            reader.set()

    def read(self, max_bytes: int = 65536) -> Coroutine[bytes]:
        while True:
            if self._closed:
                raise ConnectionLost(self._lost_reason or "closed here")
            if self._received:
                data = self._received.popleft()
                if len(data) > max_bytes:
                    self._received.appendleft(data[max_bytes:])
                    data = data[:max_bytes]
                self._unread -= len(data)
                self.other._transmit()
                return data
            if self._at_end:
                return b""
            if self._reader is not None:
                raise RuntimeError(f"{self.peer}: two coroutines read one stream")
            waiter = self._reader = Waiter(self.kernel)
            try:
                yield waiter
            finally:
                if self._reader is waiter:
                    self._reader = None

    def peer_has_closed(self) -> bool:
        return self._closed or self._at_end

    def has_unread_input(self) -> bool:
        return not self._closed and (bool(self._received) or self._at_end)

    # Closing.

    def _shut(self, reason: str) -> None:
        if self._closed:
            return
        self._closed, self._lost_reason = True, reason
        self._send_buffer.clear()
        self.unsent = 0
        error = ConnectionLost(reason)
        if self._reader is not None:
            self._reader.fail(error)
            self._reader = None
        for _, waiter in self._drainers:
            waiter.fail(error)
        self._drainers = []

    def _reset(self, reason: str) -> None:
        self._shut(reason)

    def close(self) -> None:
        if not self._closed:
            while self._send_buffer:
                segment = bytes(self._send_buffer.popleft())
                self._in_flight += len(segment)
                self._schedule(partial(self._deliver, segment))
            self.close_write()
            self._shut("")
            self._lost_reason = ""

    def abort(self) -> None:
        if not self._closed:
            other = self.other
            self.kernel.call_at(self.kernel.now() + self.delay, lambda: other._reset("reset by peer"))
            self._shut("aborted here")


class VirtualListener(Listener):
    """A simulated listening port. `adopt` is called with each accepted stream."""

    def __init__(self, kernel: VirtualKernel, address: str, backlog: int) -> None:
        self.kernel, self.address, self.backlog = kernel, address, backlog
        self.pending: deque[VirtualStream] = deque()
        self.adopt: Callable[[VirtualStream], None] = lambda stream: None
        self._waiter: Waiter | None = None
        self.shed_count = 0
        self._closed = False

    def enqueue(self, stream: VirtualStream) -> None:
        """Adds a connection that waits to be accepted."""
        self.pending.append(stream)
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.set()

    def accept(self) -> Coroutine[Stream]:
        while not self.pending:
            if self._closed:
                raise ConnectionLost("closed here")
            waiter = self._waiter = Waiter(self.kernel)
            try:
                yield waiter
            finally:
                self._waiter = None
        stream = self.pending.popleft()
        self.adopt(stream)
        return stream

    def close(self) -> None:
        self._closed = True
        if self.kernel.listeners.get(self.address) is self:
            del self.kernel.listeners[self.address]
        if self._waiter is not None:
            self._waiter.fail(ConnectionLost("closed here"))
            self._waiter = None
        for stream in self.pending:
            stream.abort()

    def close_and_accept_pending(self) -> list[Stream]:
        accepted: list[Stream] = list(self.pending)
        for stream in self.pending:
            self.adopt(stream)
        self.pending.clear()
        self.close()
        return accepted


class VirtualKernel(Kernel):
    """The event loop with simulated time and network; `steps` counts its turns."""

    def __init__(self, seed: int, network: Network | None = None) -> None:
        super().__init__(seed)
        self.network = network or Network()
        self.rng = self.random_for("network")
        self.listeners: dict[str, VirtualListener] = {}
        self._now = 1_000_000 * MS  # not 0, so that an unset time of 0 is not mistaken for the start
        self._port = 40000
        self.steps = 0

    def now(self) -> int:
        return self._now

    def listen(self, address: str, backlog: int = 512) -> VirtualListener:
        host, _, port = address.rpartition(":")
        if port == "0":
            self._port += 1
            address = f"{host}:{self._port}"
        if address in self.listeners:
            raise OSError(98, f"{address} is in use")
        listener = self.listeners[address] = VirtualListener(self, address, backlog)
        return listener

    def connect(self, address: str, timeout: int, source: str = "") -> Coroutine[Stream]:
        self._port += 1
        here = VirtualStream(self, source, address)
        yield from self.sleep(min(2 * here.delay, timeout))
        if self.network.is_cut(source, address):
            yield from self.sleep(max(0, timeout - 2 * here.delay))
            raise ConnectFailed(f"{address}: no answer")
        listener = self.listeners.get(address)
        if listener is None or len(listener.pending) >= listener.backlog:
            raise ConnectFailed(f"{address}: ECONNREFUSED")
        there = VirtualStream(self, address, source or f"127.0.0.1:{self._port}")
        there.delay = here.delay
        here.other, there.other = there, here
        listener.enqueue(there)
        return here

    def run(self, until: int | None = None) -> None:
        while not self.stopped:
            self.run_ready()
            next_at = self.next_timer_at()
            if next_at is None or until is not None and next_at > until:
                if until is not None:
                    self._now = max(self._now, until)
                return
            self._now = max(self._now, next_at)
            self.steps += 1
            self.fire_timers(self._now)


class VirtualProcess(Kernel):
    """A simulated process on a virtual kernel, with the kernel's time and network, that can be killed.

    After `kill` nothing of it runs: its tasks stop where they are, its timers never fire, its connections are
    reset and its ports are free.
    """

    def __init__(self, parent: VirtualKernel, seed: int) -> None:
        super().__init__(seed)
        self.parent = parent
        self.alive = True
        self.ready = parent.ready
        self._streams: list[VirtualStream] = []
        self._listeners: list[VirtualListener] = []

    def now(self) -> int:
        return self.parent.now()

    def call_at(self, at: int, action: Callable[[], None]) -> Timer:
        def fire_if_alive() -> None:
            if self.alive:
                action()

        return self.parent.call_at(at, fire_if_alive)

    def at_turn_end(self, action: Callable[[], None]) -> None:
        def act_if_alive() -> None:
            if self.alive:
                action()

        self.parent.at_turn_end(act_if_alive)

    def listen(self, address: str, backlog: int = 512) -> VirtualListener:
        listener = self.parent.listen(address, backlog)
        listener.adopt = self._streams.append
        self._listeners.append(listener)
        return listener

    def connect(self, address: str, timeout: int, source: str = "") -> Coroutine[Stream]:
        stream = yield from self.parent.connect(address, timeout, source)
        assert isinstance(stream, VirtualStream)
        self._streams = [open_stream for open_stream in self._streams if not open_stream._closed]
        self._streams.append(stream)
        return stream

    def kill(self) -> None:
        """Ends the process without warning."""
        self.alive = False
        for listener in self._listeners:
            listener.close()
        for stream in self._streams:
            stream.abort()
        for task in list(self.tasks):
            task.done = True
            task.body.close()  # its cleanup code can use neither streams nor timers any more
        self.tasks.clear()
