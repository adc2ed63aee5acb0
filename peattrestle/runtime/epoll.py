"""The event loop over `select.epoll` and real sockets; only loopback addresses, "127.a.b.c:port"."""

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

from peattrestle.runtime.kernel import (
    MS,
    SECOND,
    ConnectFailed,
    ConnectionLost,
    Coroutine,
    Kernel,
    Listener,
    Stream,
    Waiter,
)

READABLE, WRITABLE = select.EPOLLIN | select.EPOLLRDHUP, select.EPOLLOUT
HUNG_UP = select.EPOLLHUP | select.EPOLLERR
PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def split_address(address: str) -> tuple[str, int]:
    """Splits a loopback address into host and port. Raises ValueError."""
    host, colon, port = address.rpartition(":")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"'{address}' is not HOST:PORT")
    if not host.startswith("127.") or len(host.split(".")) != 4:
        raise ValueError(f"'{address}' is not a loopback address")
    return host, int(port)


class _BorrowedDescriptor:
    """A file descriptor that belongs to other code and is not closed here."""

    def __init__(self, fd: int) -> None:
        self.fd = fd

    def fileno(self) -> int:
        return self.fd

    def close(self) -> None:
        pass


class Handle:
    """A descriptor in the epoll set, with its event mask and the callback for its events."""

    __slots__ = ("kernel", "sock", "fd", "mask", "on_event")

    def __init__(self, kernel: EpollKernel, sock: Any, on_event: Callable[[int], None]) -> None:
        self.kernel, self.sock, self.fd, self.mask, self.on_event = kernel, sock, sock.fileno(), 0, on_event

    def set_mask(self, mask: int) -> None:
        """Sets the events to be notified of; 0 removes the descriptor from the epoll set."""
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
        """Removes the descriptor from the epoll set and closes it."""
        if self.fd >= 0:
            self.set_mask(0)
            self.fd = -1
            self.sock.close()


class EpollStream(Stream):
    """A connected TCP socket."""

    def __init__(self, kernel: EpollKernel, sock: socket.socket, peer: str) -> None:
        self.kernel, self.peer = kernel, peer
        self.handle = Handle(kernel, sock, self._on_event)
        self.unsent = 0
        self._send_buffer: list[bytes] = []
        self._reader: Waiter | None = None
        self._drainers: list[tuple[int, Waiter]] = []
        self._lost_reason: str = ""
        self._write_closed = False

    def _on_event(self, mask: int) -> None:
        if mask & (READABLE | HUNG_UP) and self._reader is not None:
            reader, self._reader = self._reader, None
            reader.set()
        if mask & (WRITABLE | HUNG_UP):
            self._flush()
        if mask & HUNG_UP and self._reader is None and not self._send_buffer:
            # Nobody waits for this socket: level-triggered epoll would report the hang-up in every turn.
            self.handle.set_mask(0)
        else:
            self._update_mask()

    def _update_mask(self) -> None:
        self.handle.set_mask(
            (READABLE if self._reader is not None else 0) | (WRITABLE if self._send_buffer else 0)
        )

    def read(self, max_bytes: int = 65536) -> Coroutine[bytes]:
        while True:
            if self.handle.fd < 0:
                raise ConnectionLost(self._lost_reason or "closed here")
            try:
                data: bytes = self.handle.sock.recv(max_bytes)
                return data
            except BlockingIOError:
                pass
            except OSError as error:
                self._handle_socket_error(error)
                raise ConnectionLost(self._lost_reason) from None
            if self._reader is not None:
                raise RuntimeError(f"{self.peer}: two coroutines read one stream")
            waiter = self._reader = Waiter(self.kernel)
            self._update_mask()
            try:
                yield waiter
            finally:
                if self._reader is waiter:
                    self._reader = None
                    self._update_mask()

    def peer_has_closed(self) -> bool:
        return self.handle.fd < 0 or self._is_ready(PEER_CLOSED)

    def has_unread_input(self) -> bool:
        return self.handle.fd >= 0 and self._is_ready(select.POLLIN)

    def _is_ready(self, mask: int) -> bool:
        """Whether one of these events of `select.poll` is pending; False where the system cannot tell."""
        poll = select.poll()
        poll.register(self.handle.fd, mask)
        try:
            return any(events & mask for _, events in poll.poll(0))
        except OSError:
            return False

    def write(self, data: bytes) -> None:
        if self.handle.fd < 0 or self._write_closed or not data:
            return
        self._send_buffer.append(data)
        self.unsent += len(data)
        if len(self._send_buffer) == 1:
            self.kernel.at_turn_end(self._flush)  # sends all writes of one turn in one system call

    def _flush(self) -> None:
        while self._send_buffer and self.handle.fd >= 0:
            data = self._send_buffer[0] if len(self._send_buffer) == 1 else b"".join(self._send_buffer)
            try:
                sent = self.handle.sock.send(data)
            except BlockingIOError:
                self._send_buffer = [data]
                break
            except OSError as error:
                self._handle_socket_error(error)
                return
            self.unsent -= sent
            self._send_buffer = [data[sent:]] if sent < len(data) else []
        if not self._send_buffer and self._write_closed and self.handle.fd >= 0:
            with contextlib.suppress(OSError):
                self.handle.sock.shutdown(socket.SHUT_WR)
        remaining = []
        for below, waiter in self._drainers:
            if self.unsent < below:
                waiter.set()
            else:
                remaining.append((below, waiter))
        self._drainers = remaining
        self._update_mask()

    def drain(self, below: int = 65536) -> Coroutine[None]:
        if self.unsent >= below:
            waiter = Waiter(self.kernel)
            self._drainers.append((below, waiter))
            yield waiter
        if self._lost_reason:
            raise ConnectionLost(self._lost_reason)

    def close_write(self) -> None:
        self._write_closed = True
        self.kernel.at_turn_end(self._flush)

    def _handle_socket_error(self, error: OSError) -> None:
        self._lost_reason = self._lost_reason or errno.errorcode.get(error.errno or 0, "lost")
        self._shut()

    def _shut(self) -> None:
        self.handle.close()
        self._send_buffer, self.unsent = [], 0
        error = ConnectionLost(self._lost_reason or "closed here")
        if self._reader is not None:
            self._reader.fail(error)
            self._reader = None
        for _, waiter in self._drainers:
            waiter.fail(error)
        self._drainers = []

    def close(self) -> None:
        if self.handle.fd >= 0:
            if self._send_buffer:
                self._flush()
            self._shut()

    def abort(self) -> None:
        if self.handle.fd >= 0:
            with contextlib.suppress(OSError):
                self.handle.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._lost_reason = self._lost_reason or "aborted here"
            self._shut()


class EpollListener(Listener):
    """A listening TCP socket.

    When the process has no file descriptors left, a spare one is released for a moment to accept and close
    the waiting connection, so that its peer notices at once. Accepting goes on after `ACCEPT_RETRY_DELAY`.
    """

    ACCEPT_RETRY_DELAY = 50 * MS  # nanoseconds

    def __init__(self, kernel: EpollKernel, sock: socket.socket) -> None:
        self.kernel = kernel
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        self.handle = Handle(kernel, sock, self._on_event)
        self.shed_count = 0
        self._waiter: Waiter | None = None
        self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)

    def _on_event(self, mask: int) -> None:
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.set()
        self.handle.set_mask(0)

    def accept(self) -> Coroutine[Stream]:
        while True:
            if self.handle.fd < 0:
                raise ConnectionLost("closed here")
            try:
                sock, (host, port) = self.handle.sock.accept()
            except BlockingIOError:
                waiter = self._waiter = Waiter(self.kernel)
                self.handle.set_mask(select.EPOLLIN)
                try:
                    yield waiter
                finally:
                    self._waiter = None
                    self.handle.set_mask(0)
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self._shed_connection()
                    yield from self.kernel.sleep(self.ACCEPT_RETRY_DELAY)
                elif error.errno not in (errno.ECONNABORTED, errno.EPROTO, errno.EINTR):
                    raise ConnectionLost(str(error)) from None
            else:
                return self.kernel.adopt(sock, f"{host}:{port}")

    def close_and_accept_pending(self) -> list[Stream]:
        accepted: list[Stream] = []
        while self.handle.fd >= 0:
            try:
                sock, (host, port) = self.handle.sock.accept()
            except OSError:
                break
            accepted.append(self.kernel.adopt(sock, f"{host}:{port}"))
        self.close()
        return accepted

    def _shed_connection(self) -> None:
        if self._spare_descriptor >= 0:
            os.close(self._spare_descriptor)
            self._spare_descriptor = -1
        with contextlib.suppress(OSError):
            self.handle.sock.accept()[0].close()
            self.shed_count += 1
        with contextlib.suppress(OSError):
            self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)

    def close(self) -> None:
        if self._waiter is not None:
            self._waiter.fail(ConnectionLost("closed here"))
            self._waiter = None
        self.handle.close()
        if self._spare_descriptor >= 0:
            os.close(self._spare_descriptor)
            self._spare_descriptor = -1


class EpollKernel(Kernel):
    """The event loop over real sockets and the monotonic clock."""

    MAX_POLL_NS = 1 * SECOND  # longest wait in epoll, so that signals and stops are noticed

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.epoll = select.epoll()
        self.handles: dict[int, Handle] = {}

    def now(self) -> int:
        return time.monotonic_ns()

    def wall_time(self) -> int:
        return time.time_ns()

    def adopt(self, sock: socket.socket, peer: str) -> EpollStream:
        """Returns a stream over a connected socket, and takes ownership of the socket."""
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return EpollStream(self, sock, peer)

    def listen(self, address: str, backlog: int = 512) -> EpollListener:
        """Opens a port. Raises OSError if it is in use, ValueError if the address is invalid."""
        host_port = split_address(address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(host_port)
            sock.listen(backlog)
        except OSError:
            sock.close()
            raise
        return EpollListener(self, sock)

    def connect(self, address: str, timeout: int, source: str = "") -> Coroutine[Stream]:
        host_port = split_address(address)
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            raise ConnectFailed(f"{address}: {error}") from None
        sock.setblocking(False)
        error_code = sock.connect_ex(host_port)
        if error_code == errno.EINPROGRESS:
            waiter = Waiter(self)
            handle = Handle(self, sock, waiter.set)
            timer = self.call_at(
                self.now() + timeout, lambda: waiter.fail(ConnectFailed(f"{address}: no answer"))
            )
            try:
                handle.set_mask(WRITABLE)
                yield waiter
                error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            except BaseException:
                handle.close()
                raise
            finally:
                timer.cancel()
            handle.set_mask(0)
        if error_code:
            sock.close()
            raise ConnectFailed(f"{address}: {errno.errorcode.get(error_code, error_code)}")
        return self.adopt(sock, address)

    def run(self, until: int | None = None) -> None:
        while not self.stopped:
            self.run_ready()
            now = self.now()
            if self.stopped or until is not None and now >= until:
                return
            next_at = self.next_timer_at()
            if next_at is None and not self.handles and not self.ready:
                return
            wait = self.MAX_POLL_NS if next_at is None else min(self.MAX_POLL_NS, max(0, next_at - now))
            if until is not None:
                wait = min(wait, max(0, until - now))
            # Rounded up to whole milliseconds, epoll's resolution: waking early would spin.
            for fd, mask in self.epoll.poll(-(-wait // MS) / 1000, 256):
                handle = self.handles.get(fd)
                if handle is not None:
                    handle.on_event(mask)
            self.fire_timers(self.now())

    def add_reader(self, fd: int, action: Callable[[], None]) -> None:
        """Calls `action` each time `fd` is readable, which includes its end of file."""
        handle = Handle(self, _BorrowedDescriptor(fd), lambda mask: action())
        handle.set_mask(select.EPOLLIN)

    def on_signals(self, numbers: tuple[int, ...], action: Callable[[int], None]) -> None:
        """Calls `action` from the event loop, not from a signal handler, when one of the signals arrives."""
        receiver, sender = socket.socketpair()
        receiver.setblocking(False)
        sender.setblocking(False)
        self._signal_sockets = (receiver, sender)
        signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)

        def on_readable() -> None:
            with contextlib.suppress(BlockingIOError):
                for number in receiver.recv(64):
                    if number in numbers:
                        action(number)

        self.add_reader(receiver.fileno(), on_readable)

    def close(self) -> None:
        super().close()
        for handle in list(self.handles.values()):
            handle.close()
        self.epoll.close()
