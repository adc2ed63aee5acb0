"""Shutdown of the H.248 agent on the virtual kernel: open calls are answered, no others are taken."""

from __future__ import annotations

import pytest

from peattrestle.runtime import Coroutine, Refused
from peattrestle.settings.agent import Limits
from tests.agent.test_bounds import SECOND, AgentHarness

REFUSED = 510


def test_calls_open_at_a_shutdown_are_answered_and_later_ones_refused_at_once() -> None:
    town = AgentHarness(Limits())
    ended: list[int] = []

    def body() -> Coroutine[None]:
        yield from town.kernel.sleep(SECOND)
        session, stream = yield from town.gateway()
        town.kernel.spawn(town.listen(session, stream), "listen")
        town.call(session, 1)
        while not town.agent.calls:
            yield from town.kernel.sleep(SECOND // 10_000)
        assert town.answers() == {}
        town.agent.drain(lambda: ended.append(town.kernel.now()))
        town.call(session, 2)
        while 2 not in town.answers():
            yield from town.kernel.sleep(SECOND // 10_000)
        assert town.answers()[2][0] == REFUSED
        with pytest.raises(Refused):
            yield from town.gateway("g1")
        yield from town.kernel.sleep(4 * SECOND)

    town.run(body())
    assert town.answers()[1][0] == 0 and len(ended) == 1
