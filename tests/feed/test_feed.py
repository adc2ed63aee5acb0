"""The control feed: events from bytes, and each applied once, whatever is repeated, cut or spoilt."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peattrestle.feed.sse import MOST_EVENT, BadFeed, Events, Sent
from peattrestle.feed.state import AskAgain, Change, Member, State


def host(name: str, state: str = "SERVING", **more: Any) -> dict[str, Any]:
    return {"host": name, "dial": "127.0.0.9:1", "block": 2, "health": state, "site": "east"} | more


def event(n: int, *hosts: dict[str, Any], whole: bool = False) -> dict[str, Any]:
    return {"n": n, "members": {"seq": n, "whole": whole, "hosts": list(hosts)}}


def sent(n: int, *hosts: dict[str, Any], **more: Any) -> Sent:
    return Sent(str(n), json.dumps(event(n, *hosts, **more)).encode())


STREAM = b'id: 4\ndata: {"a":\ndata: 1}\n\n: still here\n\r\nid:5\r\ndata:b\r\n\r\nid: 6\ndata: half\n'
READ = [Sent("4", b'{"a":\n1}'), Sent("5", b"b")]


def test_events_are_read_however_they_are_cut_and_half_ones_never() -> None:
    for at in range(len(STREAM)):
        events = Events()
        assert events.feed(STREAM[:at]) + events.feed(STREAM[at:]) == READ


@pytest.mark.parametrize(
    "data", [b"data: " + b"a" * MOST_EVENT, b"data: a\n" * (MOST_EVENT // 8 + 1), b"id: \xff\n"]
)
def test_an_event_without_end_is_the_named_error(data: bytes) -> None:
    with pytest.raises(BadFeed):
        Events().feed(data)


def test_comments_without_end_are_no_event() -> None:
    events = Events()
    for _ in range(40):
        assert events.feed(b": " + b"c" * 50_000 + b"\n\n") == []


def started(last: int = 3) -> State:
    state = State()
    state.known({"n": last, "events": [event(n, host(f"s{n}"), whole=n == 1) for n in range(1, last + 1)]})
    state.asked()
    return state


def test_known_gives_each_event_once() -> None:
    state = State()
    tree = {"n": 2, "events": [event(1, host("a", born_ms=5), whole=True), event(2, host("a", "DRAINING"))]}
    first, second = state.known(tree)
    assert first == Change(True, (Member("a", 2, "ready", "127.0.0.9:1", "east", 5),))
    assert (second.whole, second.members[0].state, state.last) == (False, "draining", 2)
    assert state.known(tree) == []
    assert state.known({"n": 4, "events": [event(4, host("b", "DELETED"))]})[0].members[0].state == "gone"


@pytest.mark.parametrize(
    "tree",
    [None, {}, {"n": 1}, {"n": "1", "events": []}, {"n": 1, "events": [event(1, host("a", "ASLEEP"))]},
     {"n": 1, "events": [event(1, {"host": "a"})]}, {"n": 1, "events": [event(1, host("a", block=-1))]}],
)  # fmt: skip
def test_known_that_cannot_be_read(tree: Any) -> None:
    state = State()
    with pytest.raises(BadFeed):
        state.known(tree)
    assert state.last == 0


def test_a_repeat_changes_nothing() -> None:
    state = started()
    assert state.take(sent(3, host("a", "DELETED"))) is None
    assert state.take(sent(4, host("a"))) is not None
    assert state.take(sent(4, host("a", "DELETED"))) is None
    assert state.take(Sent("4", b"spoilt")) is None and state.last == 4


def test_a_gap_is_asked_for_again_and_taken_if_the_source_has_no_more() -> None:
    state = started()
    with pytest.raises(AskAgain):
        state.take(sent(5, host("a")))
    assert state.last == 3
    state.asked()
    assert state.take(sent(4, host("a"))) is not None  # it was on its way
    assert state.take(sent(5, host("a"))) is not None
    with pytest.raises(AskAgain):
        state.take(sent(9, host("a")))
    state.asked()
    assert state.take(sent(9, host("a"))) is not None and state.last == 9


@pytest.mark.parametrize(
    "spoilt",
    [b"", b"{", b'{"n":4}x', b'{"n":4,"members":{"hosts":[{}]}}', b'{"n":40}', b"\xff", b"[" * 5000,
     json.dumps(event(4, host("a", "ASLEEP"))).encode()],
)  # fmt: skip
def test_a_spoilt_event_is_asked_for_once_more_then_passed_over(spoilt: bytes) -> None:
    state = started()
    with pytest.raises(AskAgain):
        state.take(Sent("4", spoilt))
    assert state.last == 3
    state.asked()
    assert state.take(Sent("4", spoilt)) is None and state.last == 4
    assert state.take(sent(5, host("a"))) is not None


def test_a_spoilt_event_that_comes_whole_the_second_time_counts() -> None:
    state = started()
    with pytest.raises(AskAgain):
        state.take(Sent("4", b"{"))
    state.asked()
    assert state.take(sent(4, host("a"))) is not None


@given(st.lists(st.tuples(st.text(max_size=5), st.binary(max_size=80)), max_size=8))
def test_anything_is_a_change_a_repeat_or_asked_again(rows: list[tuple[str, bytes]]) -> None:
    state = started()
    for number, data in rows:
        try:
            state.take(Sent(number, data))
        except AskAgain:
            state.asked()
    assert state.last >= 3
