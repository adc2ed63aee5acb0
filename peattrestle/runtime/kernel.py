"""What both kernels share: tasks, timers, waits, queues, cancellation.

A coroutine is a generator that yields one kind of thing, a `Waiter`, and is resumed with its value or its
error. All that can be waited for (readable, writable, a time, a queue, a child) is a waiter that somebody
else sets. Times are whole nanoseconds of the kernel's clock.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, Generic, TypeVar

T = TypeVar("T")
MS = 1_000_000
SECOND = 1_000_000_000


class Cancelled(BaseException):
    """Thrown into a coroutine at its yield; not an `Exception`, so that no broad handler swallows it."""


class Lost(Exception):
    """The connection was reset, or its peer vanished."""


class Refused(Exception):
    """No connection could be made."""


class TimedOut(Exception):
    """What was waited for did not come in time."""


class Waiter:
    """A wait that ends once: with a value or an error. Setting it a second time does nothing."""

    __slots__ = ("kernel", "task", "done", "value", "error")

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.task: Task[Any] | None = None
        self.done = False
        self.value: Any = None
        self.error: BaseException | None = None

    def set(self, value: Any = None) -> None:
        if not self.done:
            self.done, self.value = True, value
            if self.task is not None:
                self.kernel.ready.append(self.task)

    def fail(self, error: BaseException) -> None:
        if not self.done:
            self.done, self.error = True, error
            if self.task is not None:
                self.kernel.ready.append(self.task)


Coroutine = Generator[Waiter, Any, T]


class Task(Generic[T]):
    """A coroutine under way. `watch` names its fate when it raises: kept, or handed to the kernel."""

    __slots__ = (
        "kernel",
        "name",
        "body",
        "waiter",
        "done",
        "result",
        "error",
        "ended",
        "cancelling",
        "watch",
    )

    def __init__(self, kernel: Kernel, body: Coroutine[T], name: str, watch: bool) -> None:
        self.kernel, self.body, self.name, self.watch = kernel, body, name, watch
        self.waiter: Waiter | None = None
        self.done = False
        self.result: T | None = None
        self.error: BaseException | None = None
        self.ended: list[Waiter] = []
        self.cancelling = False

    def cancel(self) -> None:
        """Throws `Cancelled` at the yield where it waits, at the kernel's next turn; once is enough."""
        if not self.done and not self.cancelling:
            self.cancelling = True
            self.kernel.ready.append(self)

    def join(self) -> Coroutine[T | None]:
        """Waits for its end. Raises what it raised; None if it was cancelled."""
        if not self.done:
            waiter = Waiter(self.kernel)
            self.ended.append(waiter)
            yield waiter
        if self.error is not None and not isinstance(self.error, Cancelled):
            raise self.error
        return self.result

    def step(self) -> None:
        if self.done:
            return
        waiter = self.waiter
        try:
            if self.cancelling and not (waiter is not None and isinstance(waiter.error, Cancelled)):
                # The wait is left behind: whoever sets it later wakes nobody.
                self.cancelling = False
                if waiter is not None:
                    waiter.task, waiter.done = None, True
                following = self.body.throw(Cancelled())
            elif waiter is None:
                following = next(self.body)
            elif not waiter.done:
                return  # a second entry in the ready line for a wake-up already taken
            elif waiter.error is not None:
                following = self.body.throw(waiter.error)
            else:
                following = self.body.send(waiter.value)
        except StopIteration as stop:
            self._end(stop.value, None)
        except Cancelled as error:
            self._end(None, error)
        except Exception as error:
            self._end(None, error)
        else:
            self.waiter = following
            if following.done:
                self.kernel.ready.append(self)
            else:
                following.task = self

    def _end(self, result: T | None, error: BaseException | None) -> None:
        self.done, self.result, self.error, self.waiter = True, result, error, None
        self.kernel.tasks.pop(self, None)
        for waiter in self.ended:
            waiter.set()
        if error is not None and not isinstance(error, Cancelled) and self.watch and not self.ended:
            self.kernel.crashed(self, error)


class Timer:
    """A call due at a time; `cancel` makes it do nothing."""

    __slots__ = ("at", "action", "kernel")

    def __init__(self, kernel: Kernel, at: int, action: Callable[[], None]) -> None:
        self.kernel, self.at = kernel, at
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        if self.action is not None:
            self.action = None
            self.kernel.timer_cancelled()


class Event:
    """Set once; all who wait go on. Waiting on a set one does not wait."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.is_set = False
        self._waiting: list[Waiter] = []

    def set(self) -> None:
        self.is_set = True
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            waiter.set()

    def wait(self) -> Coroutine[None]:
        if not self.is_set:
            waiter = Waiter(self.kernel)
            self._waiting.append(waiter)
            yield waiter


class Queue(Generic[T]):
    """Bounded. `offer` says whether there was room; `put` waits for it. Nothing taken out is ever lost.

    A getter is only woken and looks again, so one that is cancelled between wake-up and turn takes nothing.
    """

    def __init__(self, kernel: Kernel, most: int) -> None:
        self.kernel, self.most = kernel, most
        self.items: deque[T] = deque()
        self._getters: deque[Waiter] = deque()
        self._putters: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self.items)

    @staticmethod
    def _wake(line: deque[Waiter]) -> None:
        while line:
            waiter = line.popleft()
            if not waiter.done:
                waiter.set()
                return

    def offer(self, item: T) -> bool:
        if len(self.items) >= self.most:
            return False
        self.items.append(item)
        self._wake(self._getters)
        return True

    def put(self, item: T) -> Coroutine[None]:
        while not self.offer(item):
            waiter = Waiter(self.kernel)
            self._putters.append(waiter)
            try:
                yield waiter
            except Cancelled:
                self._wake(self._putters)  # the room it was woken for goes to the next
                raise

    def get(self) -> Coroutine[T]:
        while not self.items:
            waiter = Waiter(self.kernel)
            self._getters.append(waiter)
            try:
                yield waiter
            except Cancelled:
                if self.items:
                    self._wake(self._getters)
                raise
        item = self.items.popleft()
        self._wake(self._putters)
        return item


class Stream:
    """A connection: bytes both ways. One reader at a time; writes never wait, `drain` does."""

    peer: str = ""
    unsent: int = 0  # bytes written here and not yet taken by the peer's side

    def read(self, most: int = 65536) -> Coroutine[bytes]:
        """Some bytes, b'' once the peer has closed its side. Raises `Lost`."""
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        """Takes all bytes at once; after a loss they are thrown away. Watch `unsent`, or use `drain`."""
        raise NotImplementedError

    def drain(self, below: int = 65536) -> Coroutine[None]:
        """Waits until fewer than `below` bytes are unsent. Raises `Lost`."""
        raise NotImplementedError

    def finish(self) -> None:
        """Closes this side after what is unsent; the peer may still write."""
        raise NotImplementedError

    def close(self) -> None:
        """Gives the connection up; what is unsent is still offered to the peer where that needs no wait."""
        raise NotImplementedError

    def abort(self) -> None:
        """Resets the connection: the peer sees `Lost`."""
        raise NotImplementedError


class Listener:
    """A port that takes connections."""

    address: str = ""
    shed: int = 0  # connections closed at once because descriptors had run out

    def accept(self) -> Coroutine[Stream]:
        raise NotImplementedError

    def close(self) -> None:
        raise NotImplementedError

    def close_and_take(self) -> list[Stream]:
        """Closes the port and returns the connections that waited to be accepted."""
        raise NotImplementedError


class Kernel:
    """Runs tasks and timers. Clock, chance and connections come from here and from nowhere else.

    In each turn: all tasks that are ready, then what was asked for by `at_turn_end`, then time or sockets.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.ready: deque[Task[Any]] = deque()
        self.tasks: dict[Task[Any], None] = {}  # in order: a set's would differ from run to run
        self.stopped = False
        self.crashes: list[tuple[str, BaseException]] = []
        self.on_crash: Callable[[str, BaseException], None] | None = None
        self._heap: list[tuple[int, int, Timer]] = []
        self._order = 0
        self._dead_timers = 0
        self._turn_end: list[Callable[[], None]] = []

    # Clock and chance.

    def now(self) -> int:
        raise NotImplementedError

    def wall(self) -> int:
        """Nanoseconds since 1970 where the kernel knows them; it may be set, so nothing is timed by it."""
        return self.now()

    def chance(self, name: str) -> random.Random:
        """A generator of its own for each purpose, so that one more draw here changes nothing there."""
        return random.Random(f"{self.seed}/{name}")

    # Tasks and timers.

    def spawn(self, body: Coroutine[T], name: str, watch: bool = True) -> Task[T]:
        """Starts a coroutine at the next turn. If it raises and nobody joins it, `crashed` is told."""
        task = Task(self, body, name, watch)
        self.tasks[task] = None
        self.ready.append(task)
        return task

    def crashed(self, task: Task[Any], error: BaseException) -> None:
        self.crashes.append((task.name, error))
        del self.crashes[:-100]
        if self.on_crash is not None:
            self.on_crash(task.name, error)

    def at(self, at: int, action: Callable[[], None]) -> Timer:
        """Calls `action` at the first turn at or after `at`; in the order of `at`, then of asking."""
        timer = Timer(self, at, action)
        self._order += 1
        heapq.heappush(self._heap, (at, self._order, timer))
        return timer

    def timer_cancelled(self) -> None:
        self._dead_timers += 1
        if self._dead_timers > 1000 and self._dead_timers * 2 > len(self._heap):
            self._heap = [row for row in self._heap if row[2].action is not None]
            heapq.heapify(self._heap)
            self._dead_timers = 0

    def at_turn_end(self, action: Callable[[], None]) -> None:
        """Calls `action` once when all that is ready now has run, before the kernel looks at time again."""
        self._turn_end.append(action)

    def sleep(self, length: int) -> Coroutine[None]:
        waiter = Waiter(self)
        timer = self.at(self.now() + length, waiter.set)
        try:
            yield waiter
        finally:
            timer.cancel()

    def within(self, length: int, body: Coroutine[T], name: str = "within") -> Coroutine[T]:
        """The coroutine's result, or `TimedOut` after `length`; then it has been cancelled and has ended."""
        task = self.spawn(body, name, watch=False)
        timer = self.at(self.now() + length, task.cancel)
        try:
            result = yield from task.join()
        except Cancelled:
            task.cancel()
            raise
        finally:
            timer.cancel()
        if task.error is not None:
            raise TimedOut(name)
        return result  # type: ignore[return-value]

    # The loop.

    def run_ready(self) -> None:
        while self.ready or self._turn_end:
            while self.ready:
                self.ready.popleft().step()
            ending, self._turn_end = self._turn_end, []
            for action in ending:
                action()

    def due(self, now: int) -> None:
        """Fires what is due; actions that are due because of those fire in the next turn."""
        heap, firing = self._heap, []
        while heap and heap[0][0] <= now:
            firing.append(heapq.heappop(heap)[2])
        for timer in firing:
            if timer.action is None:
                self._dead_timers -= 1
            else:
                action, timer.action = timer.action, None
                action()

    def next_due(self) -> int | None:
        while self._heap and self._heap[0][2].action is None:
            heapq.heappop(self._heap)
            self._dead_timers -= 1
        return self._heap[0][0] if self._heap else None

    def stop(self) -> None:
        self.stopped = True

    def run(self, until: int | None = None) -> None:
        """Runs until `stop`, until the time `until`, or until nothing can happen any more."""
        raise NotImplementedError

    def close(self) -> None:
        """Cancels all tasks and lets them end."""
        for task in list(self.tasks):
            task.cancel()
        for _ in range(10 * len(self.tasks) + 1000):  # one that will not end is left behind
            if not self.ready:
                break
            self.ready.popleft().step()

    # Connections.

    def listen(self, address: str, backlog: int = 512) -> Listener:
        raise NotImplementedError

    def connect(self, address: str, within: int, source: str = "") -> Coroutine[Stream]:
        """Raises `Refused`, also when `within` has passed."""
        raise NotImplementedError
