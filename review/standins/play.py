"""Runs a case within its time and turns its outcome into an exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.deployment import CannotRun
from standins.record import Record

TIME_LIMIT = 110.0  # seconds


def play(folder: Path, case: Callable[[Record, bool], Awaitable[None]]) -> int:
    """Plays `case(record, trouble)`. Returns 0 if the rule held, 1 if it was broken, 2 if it could not run.

    The environment's `TROUBLE=0` leaves the disruption out.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line("case", f"{folder.name}, {'with' if trouble else 'without'} the disruption")
    try:
        asyncio.run(asyncio.wait_for(case(record, trouble), TIME_LIMIT))
    except (CannotRun, OSError, asyncio.TimeoutError, RuntimeError) as error:
        record.output.write(traceback.format_exc())
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    for text in record.broken:
        print(f"rule broken: {text}")
    print("the rule was broken" if record.broken else "the rule held")
    return 1 if record.broken else 0
