"""The log of the agent in service: one JSON object a line on standard error, bounded by level and second.

Writing never holds the agent up: where standard error is a pipe that nobody empties, lines are dropped.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import stat
import struct
import sys
import termios
from typing import Any, TextIO

from peattrestle.runtime import Kernel
from peattrestle.runtime.kernel import SECOND

MAIN_LINES = 40  # a second, of every level above debug
DEBUG_LINES = 60  # a second, of the life of single calls
DEBUG_LINES_STOPPING = 600  # a second, during a shutdown, which lasts seconds
LONGEST_LINE = 4_000  # bytes; a pipe with a free page takes one at once


def pipe_size(output: TextIO) -> int:
    """The bytes that the pipe behind `output` can hold; 0 where there is no pipe."""
    with contextlib.suppress(OSError, ValueError):
        descriptor = output.fileno()
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return fcntl.fcntl(descriptor, fcntl.F_GETPIPE_SZ)
    return 0


class Logger:
    """Writes `at` (Unix seconds), `level`, `text` and the given fields.

    Lines beyond a second's bound are not written; the next line of that kind has their number as
    `lines_dropped`. `stopping` raises the bound for debug lines.
    """

    def __init__(self, kernel: Kernel, output: TextIO | None = None, debug_lines: int = DEBUG_LINES) -> None:
        self.kernel, self.debug_lines = kernel, debug_lines
        self.output = output or sys.stderr
        self.stopping = False
        self._pipe_size = pipe_size(self.output)
        self._second = 0
        self._written = {True: 0, False: 0}
        self._dropped = {True: 0, False: 0}

    def __call__(self, level: str, text: str, **fields: Any) -> None:
        debug = level == "debug"
        if not self._admits(debug) or self._would_block():
            self._dropped[debug] += 1
            return
        if self._dropped[debug]:
            fields["lines_dropped"], self._dropped[debug] = self._dropped[debug], 0
        at = round(self.kernel.wall() / SECOND, 3)
        entry = {"at": at, "level": level, "text": text} | fields
        line = json.dumps(entry, default=str)
        if len(line) > LONGEST_LINE:
            line = json.dumps({"at": at, "level": level, "text": text, "cut": line[: LONGEST_LINE // 4]})
        with contextlib.suppress(OSError):
            self.output.write(line + "\n")
            self.output.flush()

    def _would_block(self) -> bool:
        """A pipe's pages are at least half full of lines, so below half of its size one is free."""
        if not self._pipe_size:
            return False
        try:
            unread = fcntl.ioctl(self.output.fileno(), termios.FIONREAD, b"\0\0\0\0")
        except OSError:
            return False
        waiting: int = struct.unpack("i", unread)[0]
        return waiting > self._pipe_size // 2 - 2 * LONGEST_LINE

    def _admits(self, debug: bool) -> bool:
        second = self.kernel.now() // SECOND
        if second != self._second:
            self._second, self._written = second, {True: 0, False: 0}
        self._written[debug] += 1
        return self._written[debug] <= self._bound(debug)

    def _bound(self, debug: bool) -> int:
        if not debug:
            return MAIN_LINES
        return max(self.debug_lines, DEBUG_LINES_STOPPING) if self.stopping else self.debug_lines
