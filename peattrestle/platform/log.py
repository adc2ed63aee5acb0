"""Log of the platform's call agent: JSON lines on standard error, rate-limited per second and level.

Logging never blocks the agent: when standard error is a pipe whose reader is slow, lines are dropped.
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

MAX_LINES = 40  # per second, of all levels above debug
MAX_DEBUG_LINES = 60  # per second; debug lines trace single calls
MAX_DEBUG_LINES_STOPPING = 600  # per second, during a shutdown, which is short
MAX_LINE_BYTES = 4_000  # a pipe with one free page accepts a line at once


def pipe_size(output: TextIO) -> int:
    """Returns the capacity in bytes of the pipe behind `output`, 0 if it is not a pipe."""
    with contextlib.suppress(OSError, ValueError):
        descriptor = output.fileno()
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return fcntl.fcntl(descriptor, fcntl.F_GETPIPE_SZ)
    return 0


class Logger:
    """Writes `at` (Unix seconds), `level`, `text` and the given fields as one JSON object per line.

    Lines beyond the limit of a second are dropped. Debug lines and all others have limits of their own; the
    next line written of the same kind has the number of dropped lines as `lines_dropped`. `stopping` raises
    the limit for debug lines.
    """

    def __init__(
        self, kernel: Kernel, output: TextIO | None = None, debug_lines: int = MAX_DEBUG_LINES
    ) -> None:
        self.kernel, self.debug_lines = kernel, debug_lines
        self.output = output or sys.stderr
        self.stopping = False
        self._pipe_size = pipe_size(self.output)
        self._second = 0
        # Numbers of lines by whether they are debug lines.
        self._written = {True: 0, False: 0}
        self._dropped = {True: 0, False: 0}

    def __call__(self, level: str, text: str, **fields: Any) -> None:
        """Writes one line, or drops it if it is beyond the limit or would block."""
        debug = level == "debug"
        if not self._is_within_limit(debug) or self._would_block():
            self._dropped[debug] += 1
            return
        if self._dropped[debug]:
            fields["lines_dropped"], self._dropped[debug] = self._dropped[debug], 0
        at = round(self.kernel.wall_time() / SECOND, 3)
        entry = {"at": at, "level": level, "text": text} | fields
        line = json.dumps(entry, default=str)
        if len(line) > MAX_LINE_BYTES:
            line = json.dumps({"at": at, "level": level, "text": text, "cut": line[: MAX_LINE_BYTES // 4]})
        with contextlib.suppress(OSError):
            self.output.write(line + "\n")
            self.output.flush()

    def _would_block(self) -> bool:
        """Whether the pipe may be full.

        Lines fill each page of a pipe at least half, so with less than half of its capacity used a page is
        free.
        """
        if not self._pipe_size:
            return False
        try:
            unread = fcntl.ioctl(self.output.fileno(), termios.FIONREAD, b"\0\0\0\0")
        except OSError:
            return False
        waiting: int = struct.unpack("i", unread)[0]
        return waiting > self._pipe_size // 2 - 2 * MAX_LINE_BYTES

    def _is_within_limit(self, debug: bool) -> bool:
        second = self.kernel.now() // SECOND
        if second != self._second:
            self._second, self._written = second, {True: 0, False: 0}
        self._written[debug] += 1
        return self._written[debug] <= self._limit(debug)

    def _limit(self, debug: bool) -> int:
        if not debug:
            return MAX_LINES
        return max(self.debug_lines, MAX_DEBUG_LINES_STOPPING) if self.stopping else self.debug_lines
