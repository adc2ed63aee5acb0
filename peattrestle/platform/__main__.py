"""python -m peattrestle.platform: runs one call agent under the platform.

`LB_CONFIG` is the path of the configuration; `PEATTRESTLE_DEBUG_LINES` limits the debug lines per second.
SIGHUP reloads the configuration; SIGTERM and SIGINT start an orderly shutdown.
Exit codes: 0 stopped by a signal, 2 invalid configuration, 3 cannot listen.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
import traceback

from peattrestle.feed.sse import BadFeed
from peattrestle.platform import config as configuration
from peattrestle.platform.agent import Agent
from peattrestle.platform.config import BadConfig
from peattrestle.platform.log import MAX_DEBUG_LINES, Logger
from peattrestle.platform.memory import resident_bytes
from peattrestle.runtime.epoll import EpollKernel

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def debug_lines() -> int:
    """Returns the limit of debug lines per second from the environment, or the default."""
    text = os.environ.get("PEATTRESTLE_DEBUG_LINES", "")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 7 else MAX_DEBUG_LINES


def ignore_signals() -> None:
    """Ignores the handled signals: the interpreter restores their default actions while it ends."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def main() -> int:
    """Runs the agent until it is stopped; returns the exit code."""
    path = os.environ.get("LB_CONFIG", "")
    try:
        if not path:
            raise BadConfig("LB_CONFIG is not set")
        config = configuration.load(path)
    except BadConfig as error:
        print(f"peattrestle: {error}", file=sys.stderr)
        return 2
    kernel = EpollKernel(config.seed)
    log = Logger(kernel, debug_lines=debug_lines())
    agent = Agent(kernel, config, log, kernel.stop, resident_bytes())

    def log_crash(name: str, error: BaseException) -> None:
        where = "".join(traceback.format_tb(error.__traceback__)[-3:])
        log("error", "coroutine raised an exception", name=name, error=repr(error), where=where)

    def handle_signal(number: int) -> None:
        log("info", "signal", name=signal.Signals(number).name)
        if number != signal.SIGHUP:
            log.stopping = True
            agent.stop()
            return
        try:
            agent.reload(configuration.load(path))
        except (BadConfig, BadFeed) as error:
            log("error", "invalid configuration, keeping the old one", fault=str(error))

    kernel.on_crash = log_crash
    kernel.on_signals(HANDLED_SIGNALS, handle_signal)
    try:
        agent.start()
    except OSError as error:
        print(f"peattrestle: {config.listen}: {error.strerror}", file=sys.stderr)
        return 3
    gc.collect()
    gc.freeze()
    kernel.run()
    ignore_signals()
    kernel.close()
    return 0


raise SystemExit(main())
