"""The contract of both kernels: the common tests run on real sockets and on the virtual kernel."""

from __future__ import annotations

import contextlib
import os
import resource
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

import pytest

from peattrestle.runtime import (
    Cancelled,
    ConnectFailed,
    ConnectionLost,
    Coroutine,
    Event,
    Kernel,
    Listener,
    Queue,
    Stream,
    TimedOut,
)
from peattrestle.runtime.epoll import EpollKernel, split_address
from peattrestle.runtime.virtual import Network, VirtualKernel, VirtualProcess

MS = 1_000_000  # nanoseconds


@pytest.fixture(params=["epoll", "virtual"])
def kernel(request: pytest.FixtureRequest) -> Iterator[Kernel]:
    instance: Kernel = EpollKernel(3) if request.param == "epoll" else VirtualKernel(3, Network(window=4096))
    yield instance
    instance.close()


def run(kernel: Kernel, body: Coroutine[Any]) -> Any:
    """Runs a coroutine and returns its result or raises its error; fails after 20 s of the kernel's time."""
    task = kernel.spawn(body, "test", report_errors=False)

    def end() -> Coroutine[None]:
        with contextlib.suppress(Exception):
            yield from task.join()
        kernel.stop()

    kernel.spawn(end(), "end")
    kernel.run(kernel.now() + 20_000 * MS)
    assert task.done, "the coroutine did not end within 20 s"
    if task.error is not None:
        raise task.error
    return task.result


def connected_pair(kernel: Kernel) -> Coroutine[tuple[Stream, Stream, Listener]]:
    """Both sides of a new connection, and the listener that accepted it."""
    listener = kernel.listen("127.0.0.1:0")
    accepting = kernel.spawn(listener.accept(), "accept")
    here = yield from kernel.connect(listener.address, 1000 * MS)
    there = yield from accepting.join()
    assert there is not None
    return here, there, listener


def read_all(stream: Stream) -> Coroutine[bytes]:
    out = []
    while data := (yield from stream.read()):
        out.append(data)
    return b"".join(out)


def test_wake_order_and_timers_due_at_the_same_time(kernel: Kernel) -> None:
    seen: list[str] = []

    def body() -> Coroutine[None]:
        at = kernel.now() + 2 * MS
        for name in "abc":
            kernel.call_at(at, lambda name=name: seen.append(name))  # type: ignore[misc]
        kernel.call_at(at - MS, lambda: seen.append("first"))
        kernel.call_at(at, lambda: seen.append("never")).cancel()
        kernel.at_turn_end(lambda: seen.append("turn"))
        yield from kernel.sleep(10 * MS)

    run(kernel, body())
    assert seen == ["turn", "first", "a", "b", "c"]


def test_cancelled_timers_leave_the_heap_and_the_others_fire(kernel: Kernel) -> None:
    fired: list[int] = []

    def body() -> Coroutine[None]:
        at = kernel.now() + 300 * MS
        timers = [kernel.call_at(at + n, partial(fired.append, n)) for n in range(50_000)]
        for number, timer in enumerate(timers):
            if number % 50:
                timer.cancel()
        assert len(kernel._heap) < 5_000
        yield from kernel.sleep(400 * MS)

    run(kernel, body())
    assert fired == list(range(0, 50_000, 50))


WAITS = ["sleep", "event", "queue get", "queue put", "read", "drain", "accept", "join"]


@pytest.mark.parametrize("where", WAITS)
def test_cancellation_at_every_kind_of_yield(kernel: Kernel, where: str) -> None:
    seen: list[str] = []

    def wait_until_cancelled() -> Coroutine[None]:
        here, there, listener = yield from connected_pair(kernel)
        queue: Queue[int] = Queue(kernel, 1)
        sleeper = kernel.spawn(kernel.sleep(5000 * MS), "sleeper")
        here.write(b"x" * 12_000_000)
        bodies: dict[str, Callable[[], Coroutine[Any]]] = {
            "sleep": lambda: kernel.sleep(5000 * MS),
            "event": Event(kernel).wait,
            "queue get": queue.get,
            "queue put": lambda: queue.put(2),
            "read": here.read,
            "drain": lambda: here.drain(1),
            "accept": listener.accept,
            "join": sleeper.join,
        }
        if where == "queue put":
            queue.offer(1)
        try:
            yield from bodies[where]()
            seen.append("not cancelled")
        except Cancelled:
            seen.append("cancelled")
            raise
        finally:
            there.abort()

    def body() -> Coroutine[None]:
        task = kernel.spawn(wait_until_cancelled(), "wait_until_cancelled")
        yield from kernel.sleep(50 * MS)
        task.cancel()
        task.cancel()
        yield from kernel.sleep(20 * MS)
        assert task.done

    run(kernel, body())
    assert seen == ["cancelled"]
    assert not kernel.crashes


def test_a_queue_is_bounded_and_loses_nothing_to_a_cancelled_getter(kernel: Kernel) -> None:
    def body() -> Coroutine[list[int]]:
        queue: Queue[int] = Queue(kernel, 2)
        getter = kernel.spawn(queue.get(), "getter")
        yield from kernel.sleep(MS)
        assert queue.offer(1)
        getter.cancel()  # woken, and cancelled before its turn
        yield from kernel.sleep(MS)
        assert queue.offer(2) and not queue.offer(3)
        putter = kernel.spawn(queue.put(4), "putter")
        yield from kernel.sleep(MS)
        assert not putter.done
        out = []
        for _ in range(3):
            out.append((yield from queue.get()))
        return out

    assert run(kernel, body()) == [1, 2, 4]


def test_an_error_of_a_child_reaches_its_joiner_or_the_kernel(kernel: Kernel) -> None:
    def raise_after_sleep() -> Coroutine[None]:
        yield from kernel.sleep(MS)
        raise KeyError("x")

    def body() -> Coroutine[None]:
        kernel.spawn(raise_after_sleep(), "alone")
        with pytest.raises(KeyError):
            yield from kernel.spawn(raise_after_sleep(), "joined").join()
        with pytest.raises(KeyError):
            yield from kernel.with_timeout(50 * MS, raise_after_sleep())
        with pytest.raises(TimedOut):
            yield from kernel.with_timeout(5 * MS, kernel.sleep(5000 * MS))

    run(kernel, body())
    assert [name for name, _ in kernel.crashes] == ["alone"]


def test_bytes_arrive_complete_and_in_order_through_a_full_window(kernel: Kernel) -> None:
    sent = os.urandom(100_000) * (120 if isinstance(kernel, EpollKernel) else 10)

    def body() -> Coroutine[bytes]:
        here, there, _ = yield from connected_pair(kernel)
        for offset in range(0, len(sent), 50_000):
            here.write(sent[offset : offset + 50_000])
        yield from kernel.sleep(50 * MS)
        assert here.unsent > 0  # bytes that the peer does not read stay with the writer
        here.close_write()
        received = yield from read_all(there)
        yield from here.drain(1)
        return received

    assert run(kernel, body()) == sent


def test_a_half_closed_connection_still_carries_the_answer(kernel: Kernel) -> None:
    def body() -> Coroutine[tuple[bytes, bytes]]:
        here, there, _ = yield from connected_pair(kernel)
        here.write(b"question")
        here.close_write()
        question = yield from read_all(there)
        there.write(b"answer")
        there.close_write()
        return question, (yield from read_all(here))

    assert run(kernel, body()) == (b"question", b"answer")


@pytest.mark.parametrize("how", ["abort", "close here", "write after the peer is gone"])
def test_a_connection_that_ends_during_a_read(kernel: Kernel, how: str) -> None:
    def body() -> Coroutine[None]:
        here, there, _ = yield from connected_pair(kernel)
        reader = kernel.spawn(here.read(), "reader", report_errors=False)
        yield from kernel.sleep(10 * MS)
        if how == "abort":
            there.abort()
        elif how == "close here":
            here.close()
        else:
            there.close()
            here.write(b"a")
            yield from kernel.sleep(20 * MS)
            here.write(b"b")
        yield from kernel.sleep(50 * MS)
        if how == "write after the peer is gone":
            assert reader.result == b""  # the end of the stream first, then the reset
            with pytest.raises(ConnectionLost):
                yield from here.read()
                yield from here.read()
        else:
            with pytest.raises(ConnectionLost):
                yield from reader.join()
        here.write(b"thrown away")
        assert here.unsent == 0

    run(kernel, body())


@pytest.mark.parametrize("who", ["nobody", "gone"])
def test_a_closed_port_refuses_connect_and_ends_accept(kernel: Kernel, who: str) -> None:
    def body() -> Coroutine[None]:
        listener = kernel.listen("127.0.0.1:0")
        address = listener.address
        listener.close()
        with pytest.raises(ConnectFailed):
            yield from kernel.connect(address, 500 * MS)
        with pytest.raises(ConnectionLost):
            yield from listener.accept()

    run(kernel, body())


def test_a_port_is_opened_only_once(kernel: Kernel) -> None:
    listener = kernel.listen("127.0.0.1:0")
    with pytest.raises(OSError):
        kernel.listen(listener.address)


# Tests of one kernel.


@pytest.mark.parametrize("address", ["10.0.0.1:1", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000", "::1:5"])
def test_only_loopback_addresses_are_accepted(address: str) -> None:
    with pytest.raises(ValueError):
        split_address(address)


def test_accept_continues_after_file_descriptors_ran_out() -> None:
    kernel = EpollKernel()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    def body() -> Coroutine[tuple[int, bytes]]:
        listener = kernel.listen("127.0.0.1:0")
        accepted: list[Stream] = []

        def serve() -> Coroutine[None]:
            while True:
                accepted.append((yield from listener.accept()))

        kernel.spawn(serve(), "serve")
        clients = []
        for _ in range(3):
            clients.append((yield from kernel.connect(listener.address, 500 * MS)))
        yield from kernel.sleep(20 * MS)
        # Uses up the free descriptors below the limit, then frees one for the next client's socket.
        top = max(map(int, os.listdir("/proc/self/fd")))
        fillers = [os.open(os.devnull, os.O_RDONLY)]
        while fillers[-1] <= top:
            fillers.append(os.open(os.devnull, os.O_RDONLY))
        resource.setrlimit(resource.RLIMIT_NOFILE, (fillers[-1] + 1, hard))
        os.close(fillers.pop())
        try:
            shed = yield from kernel.connect(listener.address, 500 * MS)
            end = yield from kernel.with_timeout(1000 * MS, shed.read())
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for filler in fillers:
                os.close(filler)
        yield from kernel.sleep(100 * MS)
        yield from kernel.connect(listener.address, 500 * MS)
        yield from kernel.sleep(100 * MS)
        assert len(accepted) == 4
        return listener.shed_count, end

    assert run(kernel, body()) == (1, b"")
    kernel.close()


def run_transfer(seed: int) -> tuple[list[bytes], int]:
    """The segments received in a virtual run, and the time at its end."""
    kernel = VirtualKernel(seed, Network(split_probability=0.5))
    received: list[bytes] = []

    def body() -> Coroutine[None]:
        here, there, _ = yield from connected_pair(kernel)
        for number in range(50):
            here.write(bytes([number]) * 100)
            yield from kernel.sleep(MS // 3)
        here.close_write()
        while data := (yield from there.read()):
            received.append(data)

    run(kernel, body())
    return received, kernel.now()


def test_a_virtual_run_is_determined_by_its_seed() -> None:
    assert run_transfer(5) == run_transfer(5)
    assert run_transfer(5) != run_transfer(6)


def test_a_killed_process_does_nothing_more() -> None:
    kernel = VirtualKernel(1)
    process = VirtualProcess(kernel, 2)
    seen: list[str] = []

    def child() -> Coroutine[None]:
        listener = process.listen("127.0.0.1:7000")
        process.call_at(process.now() + 50 * MS, lambda: seen.append("timer"))
        stream = yield from listener.accept()
        try:
            yield from stream.read()
        finally:
            stream.write(b"last words")
            process.call_at(process.now(), lambda: seen.append("last timer"))

    def body() -> Coroutine[None]:
        process.spawn(child(), "child")
        yield from kernel.sleep(MS)
        stream = yield from kernel.connect("127.0.0.1:7000", 100 * MS)
        yield from kernel.sleep(10 * MS)
        process.kill()
        with pytest.raises(ConnectionLost):
            yield from stream.read()
        with pytest.raises(ConnectFailed):
            yield from kernel.connect("127.0.0.1:7000", 100 * MS)
        yield from kernel.sleep(100 * MS)

    run(kernel, body())
    assert seen == []


def test_bytes_do_not_overtake_those_delayed_by_a_cut() -> None:
    kernel = VirtualKernel(4)

    def body() -> Coroutine[bytes]:
        here, there, _ = yield from connected_pair(kernel)
        kernel.network.is_cut = lambda source, address: True
        here.write(b"first")
        yield from kernel.sleep(30 * MS)
        kernel.network.is_cut = lambda source, address: False
        here.write(b"second")
        here.close_write()
        return (yield from read_all(there))

    assert run(kernel, body()) == b"firstsecond"
