"""The rate-limited log: lines beyond the limit are counted, and debug lines do not displace other levels."""

from __future__ import annotations

import io
import json
import os

from peattrestle.platform import log
from peattrestle.runtime.virtual import Network, VirtualKernel

SECOND = 1_000_000_000


def test_debug_lines_do_not_displace_warnings_and_dropped_lines_are_counted() -> None:
    kernel, output = VirtualKernel(1, Network()), io.StringIO()
    logger = log.Logger(kernel, output)
    for number in range(log.MAX_DEBUG_LINES + 5):
        logger("debug", "final answer", reference=f"{number:016x}")
    logger("warning", "connection lost")
    kernel.call_at(kernel.now() + SECOND, lambda: None)
    kernel.run(kernel.now() + SECOND)
    logger("debug", "final answer")
    written = [json.loads(line) for line in output.getvalue().splitlines()]
    assert len(written) == log.MAX_DEBUG_LINES + 2
    assert written[-2]["text"] == "connection lost" and "lines_dropped" not in written[-2]
    assert written[-1]["lines_dropped"] == 5


def test_a_shutdown_raises_the_limit_of_debug_lines() -> None:
    logger = log.Logger(VirtualKernel(1, Network()), output := io.StringIO())
    logger.stopping = True
    for _ in range(log.MAX_DEBUG_LINES + 5):
        logger("debug", "final answer")
    assert len(output.getvalue().splitlines()) == log.MAX_DEBUG_LINES + 5


def test_a_full_pipe_does_not_block_the_agent() -> None:
    reader, writer = os.pipe()
    with os.fdopen(reader, "rb") as unread, os.fdopen(writer, "w") as output:
        logger = log.Logger(VirtualKernel(1, Network()), output, debug_lines=100_000)
        for number in range(20_000):
            logger("debug", "final answer", reference=f"{number:016x}")
        logger("warning", "connection lost", why="x" * 9_000)
        os.set_blocking(unread.fileno(), False)
        lines = unread.read().splitlines()
    assert 100 < len(lines) < 20_000
    assert all(json.loads(line) for line in lines)


def test_a_line_too_long_for_a_pipe_is_cut() -> None:
    logger = log.Logger(VirtualKernel(1, Network()), output := io.StringIO())
    logger("warning", "connection lost", why="x" * 9_000)
    (line,) = output.getvalue().splitlines()
    assert len(line) <= log.MAX_LINE_BYTES and json.loads(line)["cut"]
