"""The control feed: parsing the event stream, and applying each event once despite repeats and corruption."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peattrestle.feed.sse import MAX_EVENT_BYTES, BadFeed, EventStreamParser, ServerSentEvent
from peattrestle.feed.state import Change, FeedState, Member, ResumeRequired


def host(name: str, state: str = "SERVING", **more: Any) -> dict[str, Any]:
    return {"host": name, "dial": "127.0.0.9:1", "block": 2, "health": state, "site": "east"} | more


def event(n: int, *hosts: dict[str, Any], whole: bool = False) -> dict[str, Any]:
    return {"n": n, "members": {"seq": n, "whole": whole, "hosts": list(hosts)}}


def feed_event(n: int, *hosts: dict[str, Any], **more: Any) -> ServerSentEvent:
    return ServerSentEvent(str(n), json.dumps(event(n, *hosts, **more)).encode())


STREAM = b'id: 4\ndata: {"a":\ndata: 1}\n\n: still here\n\r\nid:5\r\ndata:b\r\n\r\nid: 6\ndata: half\n'
EXPECTED_EVENTS = [ServerSentEvent("4", b'{"a":\n1}'), ServerSentEvent("5", b"b")]


def test_events_are_parsed_however_the_bytes_are_split_and_incomplete_ones_never() -> None:
    for at in range(len(STREAM)):
        parser = EventStreamParser()
        assert parser.feed(STREAM[:at]) + parser.feed(STREAM[at:]) == EXPECTED_EVENTS


@pytest.mark.parametrize(
    "data", [b"data: " + b"a" * MAX_EVENT_BYTES, b"data: a\n" * (MAX_EVENT_BYTES // 8 + 1), b"id: \xff\n"]
)
def test_an_event_that_is_too_long_or_not_utf8_raises(data: bytes) -> None:
    with pytest.raises(BadFeed):
        EventStreamParser().feed(data)


def test_any_number_of_comments_is_ignored() -> None:
    parser = EventStreamParser()
    for _ in range(40):
        assert parser.feed(b": " + b"c" * 50_000 + b"\n\n") == []


def state_after_known_events(last: int = 3) -> FeedState:
    """Returns a state with the events 1 to `last` applied, after a request for the next ones."""
    state = FeedState()
    state.apply_known(
        {"n": last, "events": [event(n, host(f"s{n}"), whole=n == 1) for n in range(1, last + 1)]}
    )
    state.on_request()
    return state


def test_known_events_are_applied_once() -> None:
    state = FeedState()
    tree = {"n": 2, "events": [event(1, host("a", born_ms=5), whole=True), event(2, host("a", "DRAINING"))]}
    first, second = state.apply_known(tree)
    assert first == Change(True, (Member("a", 2, "ready", "127.0.0.9:1", "east", 5),))
    assert (second.is_full, second.members[0].state, state.last) == (False, "draining", 2)
    assert state.apply_known(tree) == []
    assert (
        state.apply_known({"n": 4, "events": [event(4, host("b", "DELETED"))]})[0].members[0].state == "gone"
    )


@pytest.mark.parametrize(
    "tree",
    [None, {}, {"n": 1}, {"n": "1", "events": []}, {"n": 1, "events": [event(1, host("a", "ASLEEP"))]},
     {"n": 1, "events": [event(1, {"host": "a"})]}, {"n": 1, "events": [event(1, host("a", block=-1))]}],
)  # fmt: skip
def test_invalid_known_events_are_rejected_and_none_is_applied(tree: Any) -> None:
    state = FeedState()
    with pytest.raises(BadFeed):
        state.apply_known(tree)
    assert state.last == 0


def test_a_repeat_changes_nothing() -> None:
    state = state_after_known_events()
    assert state.apply(feed_event(3, host("a", "DELETED"))) is None
    assert state.apply(feed_event(4, host("a"))) is not None
    assert state.apply(feed_event(4, host("a", "DELETED"))) is None
    assert state.apply(ServerSentEvent("4", b"spoilt")) is None and state.last == 4


def test_a_gap_is_requested_again_and_accepted_if_the_source_has_no_more() -> None:
    state = state_after_known_events()
    with pytest.raises(ResumeRequired):
        state.apply(feed_event(5, host("a")))
    assert state.last == 3
    state.on_request()
    assert state.apply(feed_event(4, host("a"))) is not None  # sent in the meantime
    assert state.apply(feed_event(5, host("a"))) is not None
    with pytest.raises(ResumeRequired):
        state.apply(feed_event(9, host("a")))
    state.on_request()
    assert state.apply(feed_event(9, host("a"))) is not None and state.last == 9


@pytest.mark.parametrize(
    "corrupt",
    [b"", b"{", b'{"n":4}x', b'{"n":4,"members":{"hosts":[{}]}}', b'{"n":40}', b"\xff", b"[" * 5000,
     json.dumps(event(4, host("a", "ASLEEP"))).encode()],
)  # fmt: skip
def test_a_corrupt_event_is_requested_once_more_then_skipped(corrupt: bytes) -> None:
    state = state_after_known_events()
    with pytest.raises(ResumeRequired):
        state.apply(ServerSentEvent("4", corrupt))
    assert state.last == 3
    state.on_request()
    assert state.apply(ServerSentEvent("4", corrupt)) is None and state.last == 4
    assert state.apply(feed_event(5, host("a"))) is not None


def test_a_corrupt_event_that_is_valid_the_second_time_is_applied() -> None:
    state = state_after_known_events()
    with pytest.raises(ResumeRequired):
        state.apply(ServerSentEvent("4", b"{"))
    state.on_request()
    assert state.apply(feed_event(4, host("a"))) is not None


@given(st.lists(st.tuples(st.text(max_size=5), st.binary(max_size=80)), max_size=8))
def test_any_input_is_applied_ignored_or_requested_again(rows: list[tuple[str, bytes]]) -> None:
    state = state_after_known_events()
    for number, data in rows:
        try:
            state.apply(ServerSentEvent(number, data))
        except ResumeRequired:
            state.on_request()
    assert state.last >= 3
