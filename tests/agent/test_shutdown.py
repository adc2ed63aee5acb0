"""Shutdown of the H.248 agent on the virtual kernel: open calls are answered, no others are taken."""

from __future__ import annotations

import pytest

from peattrestle.runtime import ConnectFailed, Coroutine
from peattrestle.settings.agent import Limits
from tests.agent.test_bounds import SECOND, AgentHarness

REFUSED = 510


def test_calls_open_at_a_shutdown_are_answered_and_later_ones_refused_at_once() -> None:
    harness = AgentHarness(Limits())
    ended: list[int] = []

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        session, stream = yield from harness.gateway()
        harness.kernel.spawn(harness.listen(session, stream), "listen")
        harness.call(session, 1)
        while not harness.agent.calls:
            yield from harness.kernel.sleep(SECOND // 10_000)
        assert harness.answers() == {}
        harness.agent.drain(lambda: ended.append(harness.kernel.now()))
        harness.call(session, 2)
        while 2 not in harness.answers():
            yield from harness.kernel.sleep(SECOND // 10_000)
        assert harness.answers()[2][0] == REFUSED
        with pytest.raises(ConnectFailed):
            yield from harness.gateway("g1")
        yield from harness.kernel.sleep(4 * SECOND)

    harness.run(body())
    assert harness.answers()[1][0] == 0 and len(ended) == 1
