"""Coroutines that have to run for as long as their process does: started again when they raise."""

from __future__ import annotations

from collections.abc import Callable

from peattrestle.runtime.kernel import MS, Coroutine, Kernel

RESTART_DELAY = 100 * MS


def supervised(
    kernel: Kernel, body: Callable[[], Coroutine[None]], name: str, delay: int = RESTART_DELAY
) -> Coroutine[None]:
    """Runs `body()` until it returns; one that raises is told to the kernel's `on_crash` and run again.

    `delay`: nanoseconds before it is run again, so that one that raises at once takes no core for itself.
    """
    while True:
        task = kernel.spawn(body(), name, watch=False)
        try:
            yield from task.join()
            return
        except Exception as error:
            kernel.crashed(task, error)
            yield from kernel.sleep(delay)
        finally:
            task.cancel()
