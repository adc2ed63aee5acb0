"""The control feed over its connection where it is slow or silent, on virtual time."""

from __future__ import annotations

import pytest

from peattrestle.runtime import Coroutine, Stream
from tests.platform.test_agent import DRAINS, Feed, Town

MS = 1_000_000


class SlowFeed(Feed):
    """Answers each call only after `delay`."""

    delay = 0

    def serve(self, stream: Stream) -> Coroutine[None]:
        if self.asked_from:  # the first call, of the agent's start, is answered at once
            yield from self.town.kernel.sleep(self.delay)
        yield from super().serve(stream)


@pytest.mark.parametrize("delay_ms", [300, 2_400, 3_500])
def test_a_feed_that_is_slow_to_answer_is_heard_in_time(
    delay_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.platform.test_agent.Feed", SlowFeed)
    monkeypatch.setattr(SlowFeed, "delay", delay_ms * MS)
    town = Town()
    assert town.agent.follower is not None and town.agent.follower.stream is not None
    town.feed.script = [[DRAINS, 60_000 * MS]] * 4
    town.agent.follower.stream.abort()
    town.pass_time(2_600 + delay_ms + 500)
    assert town.agent.members["s1"].state == "draining"


def test_a_call_that_is_never_answered_is_given_up_and_the_next_one_heard_within_6_s() -> None:
    town = Town()
    follower = town.agent.follower
    assert follower is not None and follower.stream is not None
    town.feed.script += [[60_000 * MS], [60_000 * MS], [DRAINS, 60_000 * MS], [DRAINS]]
    follower.stream.abort()
    town.pass_time(100)
    back_at = 2_600  # a second call has just met the silence when the feed is back
    town.pass_time(back_at + 6_000)
    assert town.agent.members["s1"].state == "draining"
