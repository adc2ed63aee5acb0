"""One call from the command line, over a real connection."""

from __future__ import annotations

import os
from typing import Any

from peattrestle.h248 import package
from peattrestle.h248.session import BadPeer, Garbled, Session
from peattrestle.h248.transactions import Answered, Transactions
from peattrestle.runtime import Coroutine, Lost, Refused, TimedOut
from peattrestle.runtime.epoll import EpollKernel

SECOND = 1_000_000_000


def ask(address: str, asked: package.SetUpAsked, hold: int) -> dict[str, Any]:
    """The answer: 'stands', 'refused', 'failed', 'error', 'no answer' or 'no connection'."""
    kernel = EpollKernel()
    answer: dict[str, Any] = {"answer": "no connection", "text": "", "come_back_ms": 0, "ms": 0}

    def converse() -> Coroutine[None]:
        stream = yield from kernel.connect(address, 2 * SECOND)
        session = Session(f"<cli{os.getpid()}>", Transactions(), stream.write)
        answer["answer"] = "no answer"
        session.request(
            "hello", lambda number: package.service_change_text(number, "Restart", "900 Service Restored")
        )
        started = kernel.now()
        session.request("add", lambda number: package.add_text(number, asked))
        while data := (yield from stream.read()):
            for heard in session.feed(kernel.now(), data):
                if isinstance(heard, Garbled):
                    answer["text"] = str(heard.fault)
                elif isinstance(heard, Answered) and heard.kept == "add":
                    outcome = package.read_outcome(heard.reply)
                    word = {0: "stands", package.REFUSED: "refused", package.FAILED: "failed"}
                    answer.update(
                        answer=word.get(outcome.code, "error"),
                        text=outcome.text,
                        come_back_ms=outcome.come_back // 1_000_000,
                        ms=round((kernel.now() - started) / 1e6, 1),
                    )
                    if outcome.code == 0:
                        yield from kernel.sleep(hold)
                        session.request(
                            "end", lambda number: package.subtract_text(number, "*", asked.termination)
                        )
                        yield from stream.drain(1)
                    stream.close()
                    return

    def bounded() -> Coroutine[None]:
        try:
            yield from kernel.within(asked.patience + hold + 3 * SECOND, converse())
        except (Refused, Lost, BadPeer, TimedOut) as fault:
            answer["text"] = answer["text"] or str(fault)
        finally:
            kernel.stop()

    kernel.spawn(bounded(), "call")
    kernel.run()
    kernel.close()
    return answer
