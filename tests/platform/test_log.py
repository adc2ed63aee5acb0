"""The bounded log: what is beyond a second's bound is counted, and debug lines never crowd out the others."""

from __future__ import annotations

import io
import json

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
