"""Structured logs: one JSON object a line, by structlog."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def logger(level: str, file: str, **bound: Any) -> Callable[..., None]:
    """`log(level, text, **fields)`. Raises OSError where the file can't be opened. Appends; reopening is the
    business of whoever rotates."""
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
    names = {one: getattr(log, one) for one in LEVELS}

    def write(level: str, text: str, **fields: Any) -> None:
        names[level](text, **fields)

    return write
