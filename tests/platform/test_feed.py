"""The feed client with a slow or silent feed, on virtual time."""

from __future__ import annotations

import pytest

from peattrestle.feed.state import Change
from peattrestle.platform import config as configuration
from peattrestle.runtime import Coroutine, Stream
from tests.platform.test_agent import DRAINING_EVENT, Feed, Harness, config_text

MS = 1_000_000


class SlowFeed(Feed):
    """Responds to each request but the first only after `delay` nanoseconds."""

    delay = 0

    def serve(self, stream: Stream) -> Coroutine[None]:
        if self.requested_from:  # the first request, at the agent's start, is served at once
            yield from self.harness.kernel.sleep(self.delay)
        yield from super().serve(stream)


@pytest.mark.parametrize("delay_ms", [300, 2_400, 3_500, 4_400, 6_000, 8_000, 12_000])
def test_a_change_from_a_slow_feed_is_applied_in_time(delay_ms: int, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a feed that is never heard since each request is given up before it is answered.
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


@pytest.mark.parametrize("delay_ms", [2_600, 4_400, 12_000])
def test_a_slow_feed_has_two_requests_at_most_and_each_event_is_applied_once(
    delay_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.platform.test_agent.Feed", SlowFeed)
    harness = Harness()
    monkeypatch.setattr(SlowFeed, "delay", delay_ms * MS)
    follower = harness.agent.follower
    assert follower is not None and follower.stream is not None
    changes: list[Change] = []
    original = follower.on_change

    def record_change(change: Change) -> None:
        changes.append(change)
        original(change)

    follower.on_change = record_change
    harness.feed.script = [[DRAINING_EVENT, 60_000 * MS]] * 10
    follower.stream.abort()
    for _ in range(400):
        harness.advance(50)
        assert len(follower.requests) <= 2
    assert len(changes) == 1 and harness.agent.members["s1"].state == "draining"
    harness.assert_idle()


def test_a_slow_request_to_a_feed_that_has_moved_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.platform.test_agent.Feed", SlowFeed)
    harness = Harness()
    monkeypatch.setattr(SlowFeed, "delay", 60_000 * MS)
    follower = harness.agent.follower
    assert follower is not None and follower.stream is not None
    follower.stream.abort()
    harness.advance(4_000)
    assert len(follower.requests) == 2
    moved = Feed(harness, "127.0.2.2:9092")
    moved.script = [[DRAINING_EVENT]]
    harness.agent.reload(configuration.read(config_text(feed="127.0.2.2:9092")))
    harness.advance(200)
    assert harness.agent.members["s1"].state == "draining" and len(follower.requests) == 1
