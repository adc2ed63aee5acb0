"""Structured logs through structlog: one JSON object per line."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def logger(level: str, file: str, **bound: Any) -> Callable[..., None]:
    """Returns a function `log(level, text, **fields)` that drops entries below `level`.

    Appends to `file`, or writes to standard error if it is empty; `bound` are fields of every entry. Raises
    OSError if the file can't be opened. The file is not reopened after a log rotation.
    """
    sink: TextIO = open(file, "a", encoding="utf-8", buffering=1) if file else sys.stderr  # noqa: SIM115
    log = structlog.wrap_logger(
        structlog.PrintLogger(sink),
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
    ).bind(**bound)
    methods = {name: getattr(log, name) for name in LEVELS}

    def write(level: str, text: str, **fields: Any) -> None:
        methods[level](text, **fields)

    return write
