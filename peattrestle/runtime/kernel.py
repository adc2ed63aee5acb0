"""What both event loops ("kernels") share: tasks, timers, waiters, queues and cancellation.

A coroutine is a generator that yields `Waiter` objects and is resumed with the waiter's value or error.
Everything that can be waited for (a readable or writable socket, a time, a queue, a child task) is a waiter
that is completed by other code. Times are integer nanoseconds of the kernel's clock.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, Generic, TypeVar

T = TypeVar("T")
MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds


class Cancelled(BaseException):
    """Thrown into a cancelled coroutine; not an `Exception`, so that no broad handler catches it."""


class ConnectionLost(Exception):
    """The connection was reset, or its peer vanished."""


class ConnectFailed(Exception):
    """No connection could be made."""


class TimedOut(Exception):
    """The time limit passed before a coroutine returned."""


class Waiter:
    """A one-shot result, a value or an error, that a task waits for. Completing it again does nothing."""

    __slots__ = ("kernel", "task", "done", "value", "error")

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.task: Task[Any] | None = None
        self.done = False
        self.value: Any = None
        self.error: BaseException | None = None

    def set(self, value: Any = None) -> None:
        """Completes the wait with a value, and makes the waiting task ready."""
        if not self.done:
            self.done, self.value = True, value
            if self.task is not None:
                self.kernel.ready.append(self.task)

    def fail(self, error: BaseException) -> None:
        """Completes the wait with an error, which is raised in the waiting task."""
        if not self.done:
            self.done, self.error = True, error
            if self.task is not None:
                self.kernel.ready.append(self.task)


Coroutine = Generator[Waiter, Any, T]


class Task(Generic[T]):
    """A running coroutine.

    `report_errors`: if it raises and nobody has joined it, the error is reported to the kernel; otherwise it
    is only kept in `error`.
    """

    __slots__ = (
        "kernel",
        "name",
        "body",
        "waiter",
        "done",
        "result",
        "error",
        "join_waiters",
        "cancel_pending",
        "report_errors",
    )

    def __init__(self, kernel: Kernel, body: Coroutine[T], name: str, report_errors: bool) -> None:
        self.kernel, self.body, self.name, self.report_errors = kernel, body, name, report_errors
        self.waiter: Waiter | None = None
        self.done = False
        self.result: T | None = None
        self.error: BaseException | None = None
        self.join_waiters: list[Waiter] = []
        self.cancel_pending = False

    def cancel(self) -> None:
        """Throws `Cancelled` at the coroutine's current yield in the kernel's next turn.

        A second call before that has no effect.
        """
        if not self.done and not self.cancel_pending:
            self.cancel_pending = True
            self.kernel.ready.append(self)

    def join(self) -> Coroutine[T | None]:
        """Waits until the task has ended. Returns its result, None if it was cancelled; raises its error."""
        if not self.done:
            waiter = Waiter(self.kernel)
            self.join_waiters.append(waiter)
            yield waiter
        if self.error is not None and not isinstance(self.error, Cancelled):
            raise self.error
        return self.result

    def step(self) -> None:
        """Runs the coroutine up to its next yield, if what it waits for is complete."""
        if self.done:
            return
        waiter = self.waiter
        try:
            if self.cancel_pending and not (waiter is not None and isinstance(waiter.error, Cancelled)):
                # The wait is abandoned: completing the waiter later must not wake the task.
                self.cancel_pending = False
                if waiter is not None:
                    waiter.task, waiter.done = None, True
                next_waiter = self.body.throw(Cancelled())
            elif waiter is None:
                next_waiter = next(self.body)
            elif not waiter.done:
                return  # a duplicate entry in the ready queue: this wake-up has been handled
            elif waiter.error is not None:
                next_waiter = self.body.throw(waiter.error)
            else:
                next_waiter = self.body.send(waiter.value)
        except StopIteration as stop:
            self._end(stop.value, None)
        except Cancelled as error:
            self._end(None, error)
        except Exception as error:
            self._end(None, error)
        else:
            self.waiter = next_waiter
            if next_waiter.done:
                self.kernel.ready.append(self)
            else:
                next_waiter.task = self

    def _end(self, result: T | None, error: BaseException | None) -> None:
        self.done, self.result, self.error, self.waiter = True, result, error, None
        self.kernel.tasks.pop(self, None)
        for waiter in self.join_waiters:
            waiter.set()
        if (
            error is not None
            and not isinstance(error, Cancelled)
            and self.report_errors
            and not self.join_waiters
        ):
            self.kernel.report_crash(self, error)


class Timer:
    """A callback scheduled for a time."""

    __slots__ = ("at", "action", "kernel")

    def __init__(self, kernel: Kernel, at: int, action: Callable[[], None]) -> None:
        self.kernel, self.at = kernel, at
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Prevents the callback from being called."""
        if self.action is not None:
            self.action = None
            self.kernel.on_timer_cancelled()


class Event:
    """A flag that tasks wait for. `set` wakes all of them; waiting for a set event returns at once."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.is_set = False
        self._waiters: list[Waiter] = []

    def set(self) -> None:
        """Sets the flag and wakes all waiting tasks."""
        self.is_set = True
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.set()

    def wait(self) -> Coroutine[None]:
        """Waits until the flag is set."""
        if not self.is_set:
            waiter = Waiter(self.kernel)
            self._waiters.append(waiter)
            yield waiter


class Queue(Generic[T]):
    """A bounded FIFO queue of at most `max_items` items. No item is lost when a getter is cancelled.

    A getter is only woken and then checks the queue again, so one that is cancelled after its wake-up takes
    no item.
    """

    def __init__(self, kernel: Kernel, max_items: int) -> None:
        self.kernel, self.max_items = kernel, max_items
        self.items: deque[T] = deque()
        self._getters: deque[Waiter] = deque()
        self._putters: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self.items)

    @staticmethod
    def _wake_next(waiters: deque[Waiter]) -> None:
        while waiters:
            waiter = waiters.popleft()
            if not waiter.done:
                waiter.set()
                return

    def offer(self, item: T) -> bool:
        """Adds an item without waiting. Returns false if the queue is full."""
        if len(self.items) >= self.max_items:
            return False
        self.items.append(item)
        self._wake_next(self._getters)
        return True

    def put(self, item: T) -> Coroutine[None]:
        """Adds an item, and waits while the queue is full."""
        while not self.offer(item):
            waiter = Waiter(self.kernel)
            self._putters.append(waiter)
            try:
                yield waiter
            except Cancelled:
                self._wake_next(self._putters)  # the free place it was woken for goes to the next putter
                raise

    def get(self) -> Coroutine[T]:
        """Removes and returns the oldest item, and waits while the queue is empty."""
        while not self.items:
            waiter = Waiter(self.kernel)
            self._getters.append(waiter)
            try:
                yield waiter
            except Cancelled:
                if self.items:
                    self._wake_next(self._getters)
                raise
        item = self.items.popleft()
        self._wake_next(self._putters)
        return item


class Stream:
    """A bidirectional byte stream. One reader at a time; `write` never waits, `drain` does."""

    peer: str = ""
    unsent: int = 0  # bytes written here and not yet accepted by the socket or the peer's window

    def read(self, max_bytes: int = 65536) -> Coroutine[bytes]:
        """Returns at least one byte and at most `max_bytes`, b'' once the peer has closed its side.

        Raises `ConnectionLost`.
        """
        raise NotImplementedError

    def peer_has_closed(self) -> bool:
        """Whether the peer is known to have closed or reset the connection, though bytes may be unread."""
        raise NotImplementedError

    def has_unread_input(self) -> bool:
        """Whether bytes of the peer, or the end of its side, have arrived that were not read."""
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        """Buffers all bytes; after the connection is lost they are discarded.

        The buffer is not bounded: check `unsent` or wait with `drain`.
        """
        raise NotImplementedError

    def drain(self, below: int = 65536) -> Coroutine[None]:
        """Waits until fewer than `below` bytes are unsent. Raises `ConnectionLost`."""
        raise NotImplementedError

    def close_write(self) -> None:
        """Closes this side for writing once all unsent bytes are sent; the peer may still write."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the connection; unsent bytes are sent only as far as that needs no wait."""
        raise NotImplementedError

    def abort(self) -> None:
        """Resets the connection: the peer's `read` raises `ConnectionLost`."""
        raise NotImplementedError


class Listener:
    """A listening port."""

    address: str = ""
    shed_count: int = 0  # connections closed at once because the process had no file descriptors left

    def accept(self) -> Coroutine[Stream]:
        """Waits for the next connection. Raises `ConnectionLost` once the port is closed."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the port and the connections that wait to be accepted."""
        raise NotImplementedError

    def close_and_accept_pending(self) -> list[Stream]:
        """Closes the port and returns the connections that waited to be accepted."""
        raise NotImplementedError


class Kernel:
    """An event loop. Clock, random numbers and connections come only from here, for reproducible tests.

    Each turn runs all ready tasks, then the `at_turn_end` callbacks, and then handles timers and sockets.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.ready: deque[Task[Any]] = deque()
        self.tasks: dict[Task[Any], None] = {}  # ordered, unlike a set, so that runs are reproducible
        self.stopped = False
        self.crashes: list[tuple[str, BaseException]] = []
        self.on_crash: Callable[[str, BaseException], None] | None = None
        self._heap: list[tuple[int, int, Timer]] = []
        self._timer_sequence = 0
        self._cancelled_timers = 0
        self._turn_end_actions: list[Callable[[], None]] = []

    # Clock and random numbers.

    def now(self) -> int:
        """Nanoseconds of a monotonic clock."""
        raise NotImplementedError

    def wall_time(self) -> int:
        """Wall-clock time in nanoseconds since 1970, if known. It may jump, so nothing is timed by it."""
        return self.now()

    def random_for(self, name: str) -> random.Random:
        """Returns a random generator for the purpose `name`.

        Each purpose has its own sequence, so an additional draw for one changes none of the others.
        """
        return random.Random(f"{self.seed}/{name}")

    # Tasks and timers.

    def spawn(self, body: Coroutine[T], name: str, report_errors: bool = True) -> Task[T]:
        """Starts a coroutine in the next turn.

        If it raises, nobody has joined it and `report_errors` is true, the error is passed to `on_crash`.
        """
        task = Task(self, body, name, report_errors)
        self.tasks[task] = None
        self.ready.append(task)
        return task

    def report_crash(self, task: Task[Any], error: BaseException) -> None:
        """Records an error that ended a task (the last 100 are kept) and calls `on_crash`."""
        self.crashes.append((task.name, error))
        del self.crashes[:-100]
        if self.on_crash is not None:
            self.on_crash(task.name, error)

    def call_at(self, at: int, action: Callable[[], None]) -> Timer:
        """Calls `action` in the first turn at or after the time `at`.

        Callbacks for the same time are called in the order of scheduling.
        """
        timer = Timer(self, at, action)
        self._timer_sequence += 1
        heapq.heappush(self._heap, (at, self._timer_sequence, timer))
        return timer

    def on_timer_cancelled(self) -> None:
        """Rebuilds the heap when most of its timers, and more than 1000, are cancelled."""
        self._cancelled_timers += 1
        if self._cancelled_timers > 1000 and self._cancelled_timers * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].action is not None]
            heapq.heapify(self._heap)
            self._cancelled_timers = 0

    def at_turn_end(self, action: Callable[[], None]) -> None:
        """Calls `action` once, after all ready tasks have run and before timers are checked again."""
        self._turn_end_actions.append(action)

    def sleep(self, length: int) -> Coroutine[None]:
        """Waits for `length` nanoseconds."""
        waiter = Waiter(self)
        timer = self.call_at(self.now() + length, waiter.set)
        try:
            yield waiter
        finally:
            timer.cancel()

    def with_timeout(self, length: int, body: Coroutine[T], name: str = "timed out") -> Coroutine[T]:
        """Runs a coroutine for at most `length` nanoseconds and returns its result.

        Raises `TimedOut` once the time has passed and the cancelled coroutine has ended. `name`: the name of
        the task and the text of the error.
        """
        task = self.spawn(body, name, report_errors=False)
        timer = self.call_at(self.now() + length, task.cancel)
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
        """Runs ready tasks and turn-end callbacks until there are none left."""
        while self.ready or self._turn_end_actions:
            while self.ready:
                self.ready.popleft().step()
            actions, self._turn_end_actions = self._turn_end_actions, []
            for action in actions:
                action()

    def fire_timers(self, now: int) -> None:
        """Calls the callbacks that are due. Timers that these set for now are fired in the next turn."""
        heap, due = self._heap, []
        while heap and heap[0][0] <= now:
            due.append(heapq.heappop(heap)[2])
        for timer in due:
            if timer.action is None:
                self._cancelled_timers -= 1
            else:
                action, timer.action = timer.action, None
                action()

    def next_timer_at(self) -> int | None:
        """The time of the earliest timer, None if there is none."""
        while self._heap and self._heap[0][2].action is None:
            heapq.heappop(self._heap)
            self._cancelled_timers -= 1
        return self._heap[0][0] if self._heap else None

    def stop(self) -> None:
        """Makes `run` return."""
        self.stopped = True

    def run(self, until: int | None = None) -> None:
        """Runs until `stop` is called, until the time `until`, or until nothing is left to wait for."""
        raise NotImplementedError

    def close(self) -> None:
        """Cancels all tasks and runs them until they end."""
        for task in list(self.tasks):
            task.cancel()
        for _ in range(10 * len(self.tasks) + 1000):  # bounded, so that a task that does not end is left
            if not self.ready:
                break
            self.ready.popleft().step()

    # Connections.

    def listen(self, address: str, backlog: int = 512) -> Listener:
        """Opens a port. Raises OSError if it is in use."""
        raise NotImplementedError

    def connect(self, address: str, timeout: int, source: str = "") -> Coroutine[Stream]:
        """Connects from `source` to `address`. Raises `ConnectFailed`, also after `timeout` nanoseconds."""
        raise NotImplementedError
