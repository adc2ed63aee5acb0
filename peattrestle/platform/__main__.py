"""python -m peattrestle.platform: one call agent as the platform starts it.

`LB_CONFIG` names its configuration; `PEATTRESTLE_DEBUG_LINES` bounds the debug lines of a second.
Exit codes: 0 ended as asked, 2 the configuration can't be used, 3 it could not listen.
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
from peattrestle.platform.log import DEBUG_LINES, Logger
from peattrestle.runtime.epoll import EpollKernel


def debug_lines() -> int:
    """The bound that the environment sets, the usual one where it sets none."""
    text = os.environ.get("PEATTRESTLE_DEBUG_LINES", "")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 7 else DEBUG_LINES


def main() -> int:
    path = os.environ.get("LB_CONFIG", "")
    try:
        if not path:
            raise BadConfig("LB_CONFIG names no file")
        config = configuration.load(path)
    except BadConfig as fault:
        print(f"peattrestle: {fault}", file=sys.stderr)
        return 2
    kernel = EpollKernel(config.seed)
    log = Logger(kernel, debug_lines=debug_lines())
    agent = Agent(kernel, config, log, kernel.stop)

    def crashed(name: str, error: BaseException) -> None:
        where = "".join(traceback.format_tb(error.__traceback__)[-3:])
        log("error", "a coroutine raised", name=name, error=repr(error), where=where)

    def signalled(number: int) -> None:
        log("info", "signal", name=signal.Signals(number).name)
        if number != signal.SIGHUP:
            log.stopping = True
            agent.stop()
            return
        try:
            agent.reload(configuration.load(path))
        except (BadConfig, BadFeed) as fault:
            log("error", "the configuration can't be used; the old one stays", fault=str(fault))

    kernel.on_crash = crashed
    kernel.on_signals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP), signalled)
    try:
        agent.start()
    except OSError as fault:
        print(f"peattrestle: {config.listen}: {fault.strerror}", file=sys.stderr)
        return 3
    gc.collect()
    gc.freeze()
    kernel.run()
    kernel.close()
    return 0


raise SystemExit(main())
