"""Restarts coroutines that must run as long as their process does when they raise."""

from __future__ import annotations

from collections.abc import Callable

from peattrestle.runtime.kernel import MS, Coroutine, Kernel

RESTART_DELAY = 100 * MS  # nanoseconds


def supervised(
    kernel: Kernel, body: Callable[[], Coroutine[None]], name: str, delay: int = RESTART_DELAY
) -> Coroutine[None]:
    """Runs `body()` until it returns. If it raises, the error is reported to `on_crash` and it runs again.

    `delay`: nanoseconds before it runs again, so that one that raises at once does not occupy a core.
    """
    while True:
        task = kernel.spawn(body(), name, report_errors=False)
        try:
            yield from task.join()
            return
        except Exception as error:
            kernel.report_crash(task, error)
            yield from kernel.sleep(delay)
        finally:
            task.cancel()
