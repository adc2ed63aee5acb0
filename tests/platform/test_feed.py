"""The feed client with a slow or silent feed, on virtual time."""

from __future__ import annotations

import pytest

from peattrestle.runtime import Coroutine, Stream
from tests.platform.test_agent import DRAINING_EVENT, Feed, Harness

MS = 1_000_000


class SlowFeed(Feed):
    """Responds to each request but the first only after `delay` nanoseconds."""

    delay = 0

    def serve(self, stream: Stream) -> Coroutine[None]:
        if self.requested_from:  # the first request, at the agent's start, is served at once
            yield from self.harness.kernel.sleep(self.delay)
        yield from super().serve(stream)


@pytest.mark.parametrize("delay_ms", [300, 2_400, 3_500])
def test_a_change_from_a_slow_feed_is_applied_in_time(delay_ms: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.platform.test_agent.Feed", SlowFeed)
    monkeypatch.setattr(SlowFeed, "delay", delay_ms * MS)
    harness = Harness()
    assert harness.agent.follower is not None and harness.agent.follower.stream is not None
    harness.feed.script = [[DRAINING_EVENT, 60_000 * MS]] * 4
    harness.agent.follower.stream.abort()
    harness.advance(2_600 + delay_ms + 500)
    assert harness.agent.members["s1"].state == "draining"


def test_an_unanswered_request_is_abandoned_and_the_feed_followed_within_6_s() -> None:
    harness = Harness()
    follower = harness.agent.follower
    assert follower is not None and follower.stream is not None
    harness.feed.script += [[60_000 * MS], [60_000 * MS], [DRAINING_EVENT, 60_000 * MS], [DRAINING_EVENT]]
    follower.stream.abort()
    harness.advance(100)
    recovers_after_ms = 2_600  # a second request has just been left unanswered when the feed recovers
    harness.advance(recovers_after_ms + 6_000)
    assert harness.agent.members["s1"].state == "draining"
