"""Event loops ("kernels") for generator-based coroutines: `EpollKernel` uses real sockets, `VirtualKernel`
simulates time and network from a seed."""

from peattrestle.runtime.kernel import (
    Cancelled,
    ConnectFailed,
    ConnectionLost,
    Coroutine,
    Event,
    Kernel,
    Listener,
    Queue,
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
    "ConnectionLost",
    "Queue",
    "ConnectFailed",
    "Stream",
    "Task",
    "TimedOut",
    "Timer",
    "Waiter",
]
