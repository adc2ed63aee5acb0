"""The bounded log: what is beyond a second's bound is counted, and debug lines never crowd out the others."""

from __future__ import annotations

import io
import json
import os

from peattrestle.platform import log
from peattrestle.runtime.virtual import Network, VirtualKernel

SECOND = 1_000_000_000


def test_debug_lines_do_not_crowd_out_warnings_and_dropped_ones_are_counted() -> None:
    kernel, output = VirtualKernel(1, Network()), io.StringIO()
    logger = log.Logger(kernel, output)
    for number in range(log.DEBUG_LINES + 5):
        logger("debug", "final answer", reference=f"{number:016x}")
    logger("warning", "connection lost")
    kernel.at(kernel.now() + SECOND, lambda: None)
    kernel.run(kernel.now() + SECOND)
    logger("debug", "final answer")
    written = [json.loads(line) for line in output.getvalue().splitlines()]
    assert len(written) == log.DEBUG_LINES + 2
    assert written[-2]["text"] == "connection lost" and "lines_dropped" not in written[-2]
    assert written[-1]["lines_dropped"] == 5


def test_a_shutdown_may_write_more() -> None:
    logger = log.Logger(VirtualKernel(1, Network()), output := io.StringIO())
    logger.stopping = True
    for _ in range(log.DEBUG_LINES + 5):
        logger("debug", "final answer")
    assert len(output.getvalue().splitlines()) == log.DEBUG_LINES + 5


def test_a_pipe_that_nobody_empties_does_not_hold_the_agent_up() -> None:
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
    assert len(line) <= log.LONGEST_LINE and json.loads(line)["cut"]
