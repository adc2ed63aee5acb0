"""Runs a case within its time and turns its outcome into an exit code."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.record import Record

TIME_LIMIT = 110.0  # seconds

Case = Callable[[Record, bool], Awaitable[None]]


async def _play(record: Record, case: Case, trouble: bool) -> None:
    """Plays the case. Raises RuntimeError if a stand-in failed, CancelledError on SIGTERM."""
    loop, failures = asyncio.get_running_loop(), []

    def on_failure(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        if context.get("exception") is not None:
            failures.append(context)
            record.line("case", f"a stand-in failed: {context.get('message')} {context['exception']!r}")

    loop.set_exception_handler(on_failure)
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    async with asyncio.timeout(TIME_LIMIT):
        await case(record, trouble)
    gc.collect()  # tasks that failed unseen report it when they are collected
    if failures:
        raise RuntimeError(f"{len(failures)} failures in the stand-ins")


def play(folder: Path, case: Case) -> int:
    """Plays `case(record, trouble)`. Returns 0 if the rule held, 1 if it was broken, 2 if it could not run.

    The environment's `TROUBLE=0` leaves the disruption out.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line("case", f"{folder.name}, {'with' if trouble else 'without'} the disruption")
    try:
        asyncio.run(_play(record, case, trouble))
    except (Exception, asyncio.CancelledError) as error:
        last = traceback.extract_tb(error.__traceback__)[-1]
        record.line("case", f"could not run: {error!r} in {last.name}, line {last.lineno}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    for text in record.broken:
        print(f"rule broken: {text}")
    print("the rule was broken" if record.broken else "the rule held")
    return 1 if record.broken else 0
