"""Sets up one call from the command line, over a real connection."""

from __future__ import annotations

import os
from typing import Any

from peattrestle.h248 import package
from peattrestle.h248.session import MalformedMessage, ProtocolViolation, Session
from peattrestle.h248.transactions import ReplyReceived, Transactions
from peattrestle.runtime import ConnectFailed, ConnectionLost, Coroutine, TimedOut
from peattrestle.runtime.epoll import EpollKernel

SECOND = 1_000_000_000  # nanoseconds


def request_call(address: str, request: package.SetUpRequest, hold: int) -> dict[str, Any]:
    """Requests a call from the agent at `address`, and releases an established one after `hold` nanoseconds.

    Returns the fields of the result. `answer`: 'stands' (established), 'refused', 'failed', 'error',
    'no answer' or 'no connection'. `text`: the reason, if there is one. `come_back_ms`: milliseconds until a
    retry is allowed. `ms`: milliseconds from the request to the answer.
    """
    kernel = EpollKernel()
    answer: dict[str, Any] = {"answer": "no connection", "text": "", "come_back_ms": 0, "ms": 0}

    def run_call() -> Coroutine[None]:
        stream = yield from kernel.connect(address, 2 * SECOND)
        session = Session(f"<cli{os.getpid()}>", Transactions(), stream.write)
        answer["answer"] = "no answer"
        session.request(
            "hello", lambda number: package.service_change_text(number, "Restart", "900 Service Restored")
        )
        started = kernel.now()
        session.request("add", lambda number: package.add_text(number, request))
        while data := (yield from stream.read()):
            for message in session.feed(kernel.now(), data):
                if isinstance(message, MalformedMessage):
                    answer["text"] = str(message.error)
                elif isinstance(message, ReplyReceived) and message.attachment == "add":
                    outcome = package.read_outcome(message.reply)
                    answer_texts = {0: "stands", package.REFUSED: "refused", package.FAILED: "failed"}
                    answer.update(
                        answer=answer_texts.get(outcome.code, "error"),
                        text=outcome.text,
                        come_back_ms=outcome.retry_after // 1_000_000,
                        ms=round((kernel.now() - started) / 1e6, 1),
                    )
                    if outcome.code == 0:
                        yield from kernel.sleep(hold)
                        session.request(
                            "end", lambda number: package.subtract_text(number, "*", request.termination)
                        )
                        yield from stream.drain(1)
                    stream.close()
                    return

    def run_with_timeout() -> Coroutine[None]:
        try:
            yield from kernel.with_timeout(request.patience + hold + 3 * SECOND, run_call())
        except (ConnectFailed, ConnectionLost, ProtocolViolation, TimedOut) as error:
            answer["text"] = answer["text"] or str(error)
        finally:
            kernel.stop()

    kernel.spawn(run_with_timeout(), "call")
    kernel.run()
    kernel.close()
    return answer
