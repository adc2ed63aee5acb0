"""The kernel over `select.epoll` and real sockets; addresses are "127.a.b.c:port", nothing else."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import signal
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from peattrestle.runtime.kernel import MS, SECOND, Coroutine, Kernel, Listener, Lost, Refused, Stream, Waiter

READ, WRITE = select.EPOLLIN | select.EPOLLRDHUP, select.EPOLLOUT
GONE = select.EPOLLHUP | select.EPOLLERR


def split(address: str) -> tuple[str, int]:
    """Host and port of a loopback address. Raises ValueError."""
    host, colon, port = address.rpartition(":")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"'{address}' is not HOST:PORT")
    if not host.startswith("127.") or len(host.split(".")) != 4:
        raise ValueError(f"'{address}' is not a loopback address")
    return host, int(port)


class _Plain:
    """A descriptor that is somebody else's to close."""

    def __init__(self, fd: int) -> None:
        self.fd = fd

    def fileno(self) -> int:
        return self.fd

    def close(self) -> None:
        pass


class Handle:
    """One descriptor in the epoll set, with what it is interested in."""

    __slots__ = ("kernel", "sock", "fd", "mask", "wake")

    def __init__(self, kernel: EpollKernel, sock: Any, wake: Callable[[int], None]) -> None:
        self.kernel, self.sock, self.fd, self.mask, self.wake = kernel, sock, sock.fileno(), 0, wake

    def want(self, mask: int) -> None:
        if self.fd < 0 or mask == self.mask or self.kernel.epoll.closed:
            return
        if self.mask == 0:
            self.kernel.epoll.register(self.fd, mask)
            self.kernel.handles[self.fd] = self
        elif mask == 0:
            self.kernel.epoll.unregister(self.fd)
            del self.kernel.handles[self.fd]
        else:
            self.kernel.epoll.modify(self.fd, mask)
        self.mask = mask

    def close(self) -> None:
        if self.fd >= 0:
            self.want(0)
            self.fd = -1
            self.sock.close()


class EpollStream(Stream):
    def __init__(self, kernel: EpollKernel, sock: socket.socket, peer: str) -> None:
        self.kernel, self.peer = kernel, peer
        self.handle = Handle(kernel, sock, self._wake)
        self.unsent = 0
        self._out: list[bytes] = []
        self._reader: Waiter | None = None
        self._drainers: list[tuple[int, Waiter]] = []
        self._lost: str = ""
        self._finishing = False

    def _wake(self, mask: int) -> None:
        if mask & (READ | GONE) and self._reader is not None:
            reader, self._reader = self._reader, None
            reader.set()
        if mask & (WRITE | GONE):
            self._flush()
        if mask & GONE and self._reader is None and not self._out:
            # Nobody reads and nothing is to be written: level-triggered, it would wake us for ever.
            self.handle.want(0)
        else:
            self._interest()

    def _interest(self) -> None:
        self.handle.want((READ if self._reader is not None else 0) | (WRITE if self._out else 0))

    def read(self, most: int = 65536) -> Coroutine[bytes]:
        while True:
            if self.handle.fd < 0:
                raise Lost(self._lost or "closed here")
            try:
                data: bytes = self.handle.sock.recv(most)
                return data
            except BlockingIOError:
                pass
            except OSError as fault:
                self._lose(fault)
                raise Lost(self._lost) from None
            if self._reader is not None:
                raise RuntimeError("two coroutines read one stream")
            waiter = self._reader = Waiter(self.kernel)
            self._interest()
            try:
                yield waiter
            finally:
                if self._reader is waiter:
                    self._reader = None
                    self._interest()

    def write(self, data: bytes) -> None:
        if self.handle.fd < 0 or self._finishing or not data:
            return
        self._out.append(data)
        self.unsent += len(data)
        if len(self._out) == 1:
            self.kernel.at_turn_end(self._flush)  # what one turn writes goes out in one call

    def _flush(self) -> None:
        while self._out and self.handle.fd >= 0:
            data = self._out[0] if len(self._out) == 1 else b"".join(self._out)
            try:
                sent = self.handle.sock.send(data)
            except BlockingIOError:
                self._out = [data]
                break
            except OSError as fault:
                self._lose(fault)
                return
            self.unsent -= sent
            self._out = [data[sent:]] if sent < len(data) else []
        if not self._out and self._finishing and self.handle.fd >= 0:
            with contextlib.suppress(OSError):
                self.handle.sock.shutdown(socket.SHUT_WR)
        still = []
        for below, waiter in self._drainers:
            if self.unsent < below:
                waiter.set()
            else:
                still.append((below, waiter))
        self._drainers = still
        self._interest()

    def drain(self, below: int = 65536) -> Coroutine[None]:
        if self.unsent >= below:
            waiter = Waiter(self.kernel)
            self._drainers.append((below, waiter))
            yield waiter
        if self._lost:
            raise Lost(self._lost)

    def finish(self) -> None:
        self._finishing = True
        self.kernel.at_turn_end(self._flush)

    def _lose(self, fault: OSError) -> None:
        self._lost = self._lost or errno.errorcode.get(fault.errno or 0, "lost")
        self._shut()

    def _shut(self) -> None:
        self.handle.close()
        self._out, self.unsent = [], 0
        error = Lost(self._lost or "closed here")
        if self._reader is not None:
            self._reader.fail(error)
            self._reader = None
        for _, waiter in self._drainers:
            waiter.fail(error)
        self._drainers = []

    def close(self) -> None:
        if self.handle.fd >= 0:
            if self._out:
                self._flush()
            self._shut()

    def abort(self) -> None:
        if self.handle.fd >= 0:
            with contextlib.suppress(OSError):
                self.handle.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._lost = self._lost or "aborted here"
            self._shut()


class EpollListener(Listener):
    """When descriptors run out, a spare one is given up for a moment: the waiting connection is taken and
    closed, so that its peer learns at once, and accepting goes on a little later."""

    PAUSE = 50 * MS

    def __init__(self, kernel: EpollKernel, sock: socket.socket) -> None:
        self.kernel = kernel
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        self.handle = Handle(kernel, sock, self._wake)
        self.shed = 0
        self._waiter: Waiter | None = None
        self._spare = os.open(os.devnull, os.O_RDONLY)

    def _wake(self, mask: int) -> None:
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.set()
        self.handle.want(0)

    def accept(self) -> Coroutine[Stream]:
        while True:
            if self.handle.fd < 0:
                raise Lost("closed here")
            try:
                sock, (host, port) = self.handle.sock.accept()
            except BlockingIOError:
                waiter = self._waiter = Waiter(self.kernel)
                self.handle.want(select.EPOLLIN)
                try:
                    yield waiter
                finally:
                    self._waiter = None
                    self.handle.want(0)
            except OSError as fault:
                if fault.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self._shed_one()
                    yield from self.kernel.sleep(self.PAUSE)
                elif fault.errno not in (errno.ECONNABORTED, errno.EPROTO, errno.EINTR):
                    raise Lost(str(fault)) from None
            else:
                return self.kernel.adopt(sock, f"{host}:{port}")

    def close_and_take(self) -> list[Stream]:
        taken: list[Stream] = []
        while self.handle.fd >= 0:
            try:
                sock, (host, port) = self.handle.sock.accept()
            except OSError:
                break
            taken.append(self.kernel.adopt(sock, f"{host}:{port}"))
        self.close()
        return taken

    def _shed_one(self) -> None:
        if self._spare >= 0:
            os.close(self._spare)
            self._spare = -1
        with contextlib.suppress(OSError):
            self.handle.sock.accept()[0].close()
            self.shed += 1
        with contextlib.suppress(OSError):
            self._spare = os.open(os.devnull, os.O_RDONLY)

    def close(self) -> None:
        if self._waiter is not None:
            self._waiter.fail(Lost("closed here"))
            self._waiter = None
        self.handle.close()
        if self._spare >= 0:
            os.close(self._spare)
            self._spare = -1


class EpollKernel(Kernel):
    LONGEST = 1 * SECOND  # no wait in epoll is longer, so that signals and stops are seen

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.epoll = select.epoll()
        self.handles: dict[int, Handle] = {}

    def now(self) -> int:
        return time.monotonic_ns()

    def wall(self) -> int:
        return time.time_ns()

    def adopt(self, sock: socket.socket, peer: str) -> EpollStream:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return EpollStream(self, sock, peer)

    def listen(self, address: str, backlog: int = 512) -> EpollListener:
        """Raises OSError when the port is taken, ValueError when the address is none."""
        where = split(address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(where)
            sock.listen(backlog)
        except OSError:
            sock.close()
            raise
        return EpollListener(self, sock)

    def connect(self, address: str, within: int, source: str = "") -> Coroutine[Stream]:
        where = split(address)
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as fault:
            raise Refused(f"{address}: {fault}") from None
        sock.setblocking(False)
        problem = sock.connect_ex(where)
        if problem == errno.EINPROGRESS:
            waiter = Waiter(self)
            handle = Handle(self, sock, waiter.set)
            timer = self.at(self.now() + within, lambda: waiter.fail(Refused(f"{address}: no answer")))
            try:
                handle.want(WRITE)
                yield waiter
                problem = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            except BaseException:
                handle.close()
                raise
            finally:
                timer.cancel()
            handle.want(0)
        if problem:
            sock.close()
            raise Refused(f"{address}: {errno.errorcode.get(problem, problem)}")
        return self.adopt(sock, address)

    def run(self, until: int | None = None) -> None:
        while not self.stopped:
            self.run_ready()
            now = self.now()
            if self.stopped or until is not None and now >= until:
                return
            at = self.next_due()
            if at is None and not self.handles and not self.ready:
                return
            wait = self.LONGEST if at is None else min(self.LONGEST, max(0, at - now))
            if until is not None:
                wait = min(wait, max(0, until - now))
            # Rounded up to the epoll's millisecond where it waits at all: waking early would spin.
            for fd, mask in self.epoll.poll(-(-wait // MS) / 1000, 256):
                handle = self.handles.get(fd)
                if handle is not None:
                    handle.wake(mask)
            self.due(self.now())

    def watch(self, fd: int, action: Callable[[], None]) -> None:
        """Calls `action` each time `fd` has something to read, its end among it."""
        watched = Handle(self, _Plain(fd), lambda mask: action())
        watched.want(select.EPOLLIN)

    def on_signals(self, numbers: tuple[int, ...], action: Callable[[int], None]) -> None:
        """Calls `action` in the loop, not in the middle of something, when one of the signals has come."""
        here, there = socket.socketpair()
        here.setblocking(False)
        there.setblocking(False)
        self._signal_ends = (here, there)
        signal.set_wakeup_fd(there.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)

        def came() -> None:
            with contextlib.suppress(BlockingIOError):
                for number in here.recv(64):
                    if number in numbers:
                        action(number)

        self.watch(here.fileno(), came)

    def close(self) -> None:
        super().close()
        for handle in list(self.handles.values()):
            handle.close()
        self.epoll.close()
