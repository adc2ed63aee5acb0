"""Generators as coroutines on two kernels: `EpollKernel` (real sockets) and `VirtualKernel` (a seed)."""

from peattrestle.runtime.kernel import (
    Cancelled,
    Coroutine,
    Event,
    Kernel,
    Listener,
    Lost,
    Queue,
    Refused,
    Stream,
    Task,
    TimedOut,
    Timer,
    Waiter,
)

__all__ = [
    "Cancelled",
    "Coroutine",
    "Event",
    "Kernel",
    "Listener",
    "Lost",
    "Queue",
    "Refused",
    "Stream",
    "Task",
    "TimedOut",
    "Timer",
    "Waiter",
]
