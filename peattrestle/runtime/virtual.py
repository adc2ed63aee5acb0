"""The kernel without clock and sockets: time jumps to the next event, streams are pipes with drawn delays.

A run is a function of its seed. Each connection draws its delay, and each piece of bytes how it is cut up;
pieces of one direction never overtake one another. `Network` breaks connections as a script or a seed says.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from peattrestle.runtime.kernel import MS, Coroutine, Kernel, Listener, Lost, Refused, Stream, Timer, Waiter


@dataclass(slots=True)
class Network:
    """What connections are like, and what is broken now.

    `delay_least`, `delay_most`: one way, nanoseconds. `cut_up`: chance that a piece arrives in several.
    `window`: bytes a peer may have unread before the writer's bytes stay with the writer.
    `cut(source, address)`: whether nothing passes between these two now; bytes wait until it heals.
    """

    delay_least: int = MS // 5
    delay_most: int = 2 * MS
    cut_up: float = 0.1
    window: int = 262144
    cut: Callable[[str, str], bool] = lambda source, address: False
    cut_poll: int = 20 * MS


class VirtualStream(Stream):
    def __init__(self, kernel: VirtualKernel, source: str, peer: str) -> None:
        self.kernel, self.source, self.peer = kernel, source, peer
        self.other: VirtualStream = self
        self.delay = kernel.draw.randint(kernel.network.delay_least, kernel.network.delay_most)
        self.unsent = 0
        self._out: deque[memoryview] = deque()  # not yet under way: the peer's window is full
        self._under_way = 0
        self._arrived: deque[bytes] = deque()
        self._unread = 0
        self._ended = False  # the peer's side is closed and all of it has arrived
        self._reader: Waiter | None = None
        self._drainers: list[tuple[int, Waiter]] = []
        self._finished = self._closed = False
        self._lost = ""
        self._last_arrival = 0

    # Writing side.

    def write(self, data: bytes) -> None:
        if self._closed or self._finished or not data:
            return
        self._out.append(memoryview(data))
        self.unsent += len(data)
        self._push()

    def _push(self) -> None:
        network = self.kernel.network
        while self._out:
            room = network.window - self.other._unread - self._under_way
            if room < min(len(self._out[0]), network.window // 2):
                break  # no tiny pieces: a window opens by half or not at all
            data = self._out.popleft()
            if len(data) > room:
                self._out.appendleft(data[room:])
                data = data[:room]
            self.unsent -= len(data)
            pieces = [bytes(data)]
            if len(data) > 1 and self.kernel.draw.random() < network.cut_up:
                at = self.kernel.draw.randint(1, len(data) - 1)
                pieces = [bytes(data[:at]), bytes(data[at:])]
            for piece in pieces:
                self._under_way += len(piece)
                self._later(partial(self._deliver, piece))
        for below, waiter in self._drainers:
            if self.unsent < below:
                waiter.set()
        self._drainers = [row for row in self._drainers if not row[1].done]

    def _later(self, action: Callable[[], None]) -> None:
        at = max(self.kernel.now() + self.delay, self._last_arrival)
        self._last_arrival = at + 1

        def arrive() -> None:
            if self._lost or self._closed and self.other._closed:
                return
            if self.kernel.network.cut(self.source, self.peer):
                self._last_arrival = self.kernel.now() + self.kernel.network.cut_poll
                self.kernel.at(self._last_arrival, arrive)
            else:
                action()

        self.kernel.at(at, arrive)

    def _deliver(self, piece: bytes) -> None:
        other = self.other
        self._under_way -= len(piece)
        if other._closed:
            # Bytes for a socket that is gone come back as a reset.
            self.kernel.at(self.kernel.now() + self.delay, lambda: self._reset("peer closed"))
            return
        other._arrived.append(piece)
        other._unread += len(piece)
        other._wake()

    def drain(self, below: int = 65536) -> Coroutine[None]:
        if self.unsent >= below and not self._closed:
            waiter = Waiter(self.kernel)
            self._drainers.append((below, waiter))
            yield waiter
        if self._lost:
            raise Lost(self._lost)

    def finish(self) -> None:
        if not self._finished and not self._closed:
            self._finished = True
            self._later(self._end_of_stream)

    def _end_of_stream(self) -> None:
        if self._out or self._under_way:
            self._later(self._end_of_stream)
            return
        self.other._ended = True
        self.other._wake()

    # Reading side.

    def _wake(self) -> None:
        if self._reader is not None:
            reader, self._reader = self._reader, None
            reader.set()

    def read(self, most: int = 65536) -> Coroutine[bytes]:
        while True:
            if self._closed:
                raise Lost(self._lost or "closed here")
            if self._arrived:
                data = self._arrived.popleft()
                if len(data) > most:
                    self._arrived.appendleft(data[most:])
                    data = data[:most]
                self._unread -= len(data)
                self.other._push()
                return data
            if self._ended:
                return b""
            if self._reader is not None:
                raise RuntimeError("two coroutines read one stream")
            waiter = self._reader = Waiter(self.kernel)
            try:
                yield waiter
            finally:
                if self._reader is waiter:
                    self._reader = None

    # Ends.

    def _shut(self, why: str) -> None:
        if self._closed:
            return
        self._closed, self._lost = True, why
        self._out.clear()
        self.unsent = 0
        error = Lost(why)
        if self._reader is not None:
            self._reader.fail(error)
            self._reader = None
        for _, waiter in self._drainers:
            waiter.fail(error)
        self._drainers = []

    def _reset(self, why: str) -> None:
        self._shut(why)

    def close(self) -> None:
        if not self._closed:
            while self._out:
                piece = bytes(self._out.popleft())
                self._under_way += len(piece)
                self._later(partial(self._deliver, piece))
            self.finish()
            self._shut("")
            self._lost = ""

    def abort(self) -> None:
        if not self._closed:
            other = self.other
            self.kernel.at(self.kernel.now() + self.delay, lambda: other._reset("reset by peer"))
            self._shut("aborted here")


class VirtualListener(Listener):
    def __init__(self, kernel: VirtualKernel, address: str, backlog: int) -> None:
        self.kernel, self.address, self.backlog = kernel, address, backlog
        self.line: deque[VirtualStream] = deque()
        self.adopt: Callable[[VirtualStream], None] = lambda stream: None
        self._waiter: Waiter | None = None
        self.shed = 0
        self._closed = False

    def take(self, stream: VirtualStream) -> None:
        self.line.append(stream)
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.set()

    def accept(self) -> Coroutine[Stream]:
        while not self.line:
            if self._closed:
                raise Lost("closed here")
            waiter = self._waiter = Waiter(self.kernel)
            try:
                yield waiter
            finally:
                self._waiter = None
        stream = self.line.popleft()
        self.adopt(stream)
        return stream

    def close(self) -> None:
        self._closed = True
        if self.kernel.listeners.get(self.address) is self:
            del self.kernel.listeners[self.address]
        if self._waiter is not None:
            self._waiter.fail(Lost("closed here"))
            self._waiter = None
        for stream in self.line:
            stream.abort()

    def close_and_take(self) -> list[Stream]:
        taken: list[Stream] = list(self.line)
        for stream in self.line:
            self.adopt(stream)
        self.line.clear()
        self.close()
        return taken


class VirtualKernel(Kernel):
    def __init__(self, seed: int, network: Network | None = None) -> None:
        super().__init__(seed)
        self.network = network or Network()
        self.draw = self.chance("network")
        self.listeners: dict[str, VirtualListener] = {}
        self._now = 1_000_000 * MS  # not 0, so that a missing time is not taken for the start
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
            raise OSError(98, f"{address} is taken")
        listener = self.listeners[address] = VirtualListener(self, address, backlog)
        return listener

    def connect(self, address: str, within: int, source: str = "") -> Coroutine[Stream]:
        self._port += 1
        here = VirtualStream(self, source, address)
        yield from self.sleep(min(2 * here.delay, within))
        if self.network.cut(source, address):
            yield from self.sleep(max(0, within - 2 * here.delay))
            raise Refused(f"{address}: no answer")
        listener = self.listeners.get(address)
        if listener is None or len(listener.line) >= listener.backlog:
            raise Refused(f"{address}: ECONNREFUSED")
        there = VirtualStream(self, address, source or f"127.0.0.1:{self._port}")
        there.delay = here.delay
        here.other, there.other = there, here
        listener.take(there)
        return here

    def run(self, until: int | None = None) -> None:
        while not self.stopped:
            self.run_ready()
            at = self.next_due()
            if at is None or until is not None and at > until:
                if until is not None:
                    self._now = max(self._now, until)
                return
            self._now = max(self._now, at)
            self.steps += 1
            self.due(self._now)


class VirtualProcess(Kernel):
    """A process on a virtual kernel: the same time and network, and an end that it does not see coming.

    After `kill` nothing of it runs any more: tasks stop where they are, timers never fire, connections are
    reset, ports are free.
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

    def at(self, at: int, action: Callable[[], None]) -> Timer:
        def fire() -> None:
            if self.alive:
                action()

        return self.parent.at(at, fire)

    def at_turn_end(self, action: Callable[[], None]) -> None:
        def act() -> None:
            if self.alive:
                action()

        self.parent.at_turn_end(act)

    def listen(self, address: str, backlog: int = 512) -> VirtualListener:
        listener = self.parent.listen(address, backlog)
        listener.adopt = self._streams.append
        self._listeners.append(listener)
        return listener

    def connect(self, address: str, within: int, source: str = "") -> Coroutine[Stream]:
        stream = yield from self.parent.connect(address, within, source)
        assert isinstance(stream, VirtualStream)
        self._streams = [one for one in self._streams if not one._closed]
        self._streams.append(stream)
        return stream

    def kill(self) -> None:
        self.alive = False
        for listener in self._listeners:
            listener.close()
        for stream in self._streams:
            stream.abort()
        for task in list(self.tasks):
            task.done = True
            task.body.close()  # its last words reach neither a stream nor a timer
        self.tasks.clear()
