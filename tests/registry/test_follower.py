"""The follower against an in-memory registry: lost connections, compaction, repeated events, replacement."""

from __future__ import annotations

import random

import pytest

from peattrestle.registry import etcd
from peattrestle.registry.etcd import ErrorAnswer, Event, Header, KeyValue, Range, WatchResponse
from peattrestle.registry.follower import (
    AWAY,
    WATCHING,
    Apply,
    Change,
    ConfirmUnchanged,
    Follower,
    RequestRead,
    RequestWatch,
    Wait,
)
from peattrestle.registry.http import BadAnswer


class Registry:
    """An in-memory registry: keys with revisions and a history that can be compacted."""

    def __init__(self, cluster: int = 7) -> None:
        self.cluster, self.revision, self.compacted = cluster, 1, 0
        self.keys: dict[bytes, KeyValue] = {}
        self.history: list[Event] = []

    def header(self) -> Header:
        return Header(self.cluster, 1, self.revision, 2)

    def put(self, key: bytes, value: bytes) -> None:
        self.revision += 1
        old = self.keys.get(key)
        created = old.create_revision if old else self.revision
        version = old.version + 1 if old else 1
        self.keys[key] = KeyValue(key, value, created, self.revision, version)
        self.history.append(Event(self.keys[key]))

    def delete(self, key: bytes) -> None:
        if key in self.keys:
            self.revision += 1
            del self.keys[key]
            self.history.append(Event(KeyValue(key, mod_revision=self.revision), "DELETE"))

    def compact(self) -> None:
        self.compacted = self.revision
        self.history.clear()

    def range(self) -> Range:
        return Range(self.header(), list(self.keys.values()))

    def since(self, revision: int) -> list[Event] | None:
        if revision <= self.compacted:
            return None
        return [event for event in self.history if event.kv.mod_revision >= revision]


class AppliedChanges:
    """Applies the follower's changes to a copy of the keys and counts how often each revision is applied."""

    def __init__(self) -> None:
        self.keys: dict[bytes, bytes] = {}
        self.application_counts: dict[tuple[bytes, int], int] = {}
        self.order: list[int] = []

    def apply(self, action: Apply) -> None:
        for change in action.changes:
            change_id = (change.key, change.revision)
            self.application_counts[change_id] = self.application_counts.get(change_id, 0) + 1
            if not action.is_full_read:
                self.order.append(change.revision)
            if change.value is None:
                del self.keys[change.key]  # raises KeyError if a key is deleted twice
            else:
                self.keys[change.key] = change.value


class FaultyConnection:
    """Connects a follower to a registry, with faults drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.registry, self.follower, self.applied = Registry(), Follower(), AppliedChanges()
        self.sent = 0  # the last revision sent to the watch
        self.perform(self.follower.start_request())

    def perform(self, actions: list) -> None:  # type: ignore[type-arg]
        for action in actions:
            match action:
                case RequestRead():
                    self.pending_read = self.registry.range() if self.random.random() < 0.9 else None
                case RequestWatch(since):
                    if self.registry.since(since) is None:
                        self.watch_compacted = True
                    self.sent = since - 1
                    self.undelivered = [WatchResponse(self.registry.header(), created=True)]
                case Apply():
                    self.applied.apply(action)
                case Wait() | ConfirmUnchanged():
                    pass

    pending_read: Range | None = None
    watch_compacted = False
    undelivered: list[WatchResponse] = []

    def step(self) -> None:
        """Delivers what is pending, or loses the connection."""
        chance = self.random.random()
        if self.follower.state == AWAY:
            self.perform(self.follower.start_request())
        elif self.follower.state == WATCHING:
            if self.watch_compacted:
                self.watch_compacted = False
                cancel = WatchResponse(
                    self.registry.header(), canceled=True, compact_revision=self.registry.compacted
                )
                self.perform(self.follower.on_watch_message(cancel, chance))
                return
            if chance < 0.1:
                self.undelivered = []
                self.perform(self.follower.on_connection_lost(chance))
                return
            events = self.registry.since(self.sent + 1)
            if events is None:
                self.watch_compacted = True
                return
            if events:
                self.sent = events[-1].kv.mod_revision
                self.undelivered.append(WatchResponse(self.registry.header(), events=events))
                if chance < 0.3:
                    self.undelivered.append(self.undelivered[-1])  # delivered twice
            elif chance < 0.4:
                self.undelivered.append(WatchResponse(self.registry.header()))
            responses, self.undelivered = self.undelivered, []
            for response in responses:
                if self.follower.state == WATCHING:
                    self.perform(self.follower.on_watch_message(response, chance))
        else:
            answer, self.pending_read = self.pending_read, None
            self.perform(
                self.follower.on_connection_lost(chance) if answer is None else self.follower.on_read(answer)
            )

    def change_registry(self) -> None:
        key = f"/x/{self.random.randrange(8)}".encode()
        if self.random.random() < 0.3:
            self.registry.delete(key)
        else:
            self.registry.put(key, str(self.random.randrange(5)).encode())
        if self.random.random() < 0.05:
            self.registry.compact()

    def deliver_pending(self) -> None:
        """Takes enough steps for the follower to catch up, faults included."""
        for _ in range(200):
            self.step()


@pytest.mark.parametrize("seed", range(20))
def test_no_change_is_missed_or_applied_twice(seed: int) -> None:
    connection = FaultyConnection(seed)
    for _ in range(40):
        for _ in range(connection.random.randrange(12)):
            connection.change_registry()
            if connection.random.random() < 0.6:
                connection.step()
        connection.deliver_pending()
        expected = {key: pair.value for key, pair in connection.registry.keys.items()}
        assert connection.applied.keys == expected
    assert connection.applied.order == sorted(connection.applied.order)
    assert max(connection.applied.application_counts.values()) == 1
    counts = connection.follower.counts
    assert counts.breaks > 5 and counts.compacted > 0 and counts.doubled > 0


def watching_follower(registry: Registry) -> Follower:
    """A follower that has read the whole registry and watches it."""
    follower = Follower()
    assert follower.start_request() == [RequestRead()]
    follower.on_read(registry.range())
    return follower


def test_an_event_out_of_order_causes_a_full_read() -> None:
    registry = Registry()
    registry.put(b"/x/1", b"a")
    follower = watching_follower(registry)
    registry.put(b"/x/1", b"b")
    registry.put(b"/x/2", b"c")
    first, second = registry.history[-2:]
    assert follower.on_watch_message(WatchResponse(registry.header(), events=[second]), 0.5) == [
        Apply((Change(b"/x/2", b"c", 4, 4),), 4)
    ]
    assert follower.on_watch_message(WatchResponse(registry.header(), events=[first]), 0.5) == [RequestRead()]
    (apply, watch) = follower.on_read(registry.range())
    assert apply == Apply((Change(b"/x/1", b"b", 3, 2),), 4, True) and watch == RequestWatch(5)


@pytest.mark.parametrize(
    ("change", "replaced_reason"),
    [({"cluster": 8}, "cluster 8 in place of 7"), ({"revision": 2}, "revision 2 after 4")],
)
def test_another_registry_or_an_older_copy_is_reported(change: dict[str, int], replaced_reason: str) -> None:
    registry = Registry()
    for number in range(3):
        registry.put(f"/x/{number}".encode(), b"a")
    follower = watching_follower(registry)
    other = Registry(change.get("cluster", 7))
    other.revision = change.get("revision", 50)
    assert follower.on_watch_message(WatchResponse(other.header(), created=True), 0.5) == [RequestRead()]
    apply = follower.on_read(other.range())[0]
    assert isinstance(apply, Apply) and apply.replaced_reason == replaced_reason
    assert [(applied.key, applied.value) for applied in apply.changes] == [
        (f"/x/{number}".encode(), None) for number in range(3)
    ]


def test_revisions_of_an_older_copy_are_not_taken_for_those_already_applied() -> None:
    registry = Registry()
    follower = watching_follower(registry)
    for key in (b"/x/1", b"/x/2"):
        registry.put(key, b"a")
    follower.on_watch_message(WatchResponse(registry.header(), events=registry.history), 0.5)
    copy = Registry()  # restored from a backup older than both changes
    assert follower.on_watch_message(WatchResponse(copy.header(), created=True), 0.5) == [RequestRead()]
    follower.on_read(copy.range())
    for key in (b"/x/1", b"/x/2"):
        copy.put(key, b"b")
    follower.on_watch_message(WatchResponse(copy.header(), events=copy.history[1:]), 0.5)
    # The first event arrives out of order. The same key and revision was applied before, but in the
    # history of the other registry, so it must not pass for a repeated event.
    assert follower.on_watch_message(WatchResponse(copy.header(), events=copy.history[:1]), 0.5) == [
        RequestRead()
    ]


def test_a_created_message_confirms_nothing_and_a_progress_message_does() -> None:
    registry = Registry()
    follower = watching_follower(registry)
    registry.put(b"/x/1", b"a")  # between the read and the watch
    assert follower.on_watch_message(WatchResponse(registry.header(), created=True), 0.5) == []
    follower.on_connection_lost(0.5)
    assert follower.start_request() == [RequestWatch(2)]  # not 3: nothing was delivered
    follower.on_watch_message(WatchResponse(registry.header(), events=registry.history), 0.5)
    assert follower.on_watch_message(WatchResponse(Header(7, 1, 9)), 0.5) == [ConfirmUnchanged(9)]
    follower.on_connection_lost(0.5)
    assert follower.start_request() == [RequestWatch(10)]


def test_fragments_are_applied_together_or_not_at_all() -> None:
    registry = Registry()
    follower = watching_follower(registry)
    registry.put(b"/x/1", b"a")
    registry.put(b"/x/2", b"b")
    assert (
        follower.on_watch_message(
            WatchResponse(registry.header(), events=registry.history[:1], fragment=True), 0.5
        )
        == []
    )
    follower.on_connection_lost(0.5)
    assert follower.start_request() == [RequestWatch(2)]
    assert (
        follower.on_watch_message(
            WatchResponse(registry.header(), events=registry.history[:1], fragment=True), 0.5
        )
        == []
    )
    (apply,) = follower.on_watch_message(WatchResponse(registry.header(), events=registry.history[1:]), 0.5)
    assert isinstance(apply, Apply) and len(apply.changes) == 2


def test_retry_delays_grow_are_drawn_and_restart_after_a_message() -> None:
    registry = Registry()
    follower = watching_follower(registry)
    waits = []
    for chance in (0.0, 1.0, 0.0, 1.0):
        (wait,) = follower.on_connection_lost(chance)
        assert isinstance(wait, Wait)
        waits.append(wait.length)
        follower.start_request()
    assert waits == [
        follower.min_retry_delay // 2,
        2 * follower.min_retry_delay,
        2 * follower.min_retry_delay,
        8 * follower.min_retry_delay,
    ]
    follower.on_watch_message(WatchResponse(registry.header()), 0.5)
    (wait,) = follower.on_connection_lost(1.0)
    assert wait == Wait(follower.min_retry_delay)
    follower.start_request()
    for _ in range(4):
        follower.on_connection_lost(1.0)
        follower.start_request()
    follower.on_error(ErrorAnswer(etcd.OUT_OF_RANGE, "compacted"), 0.5)
    follower.on_read(registry.range())
    assert follower.on_connection_lost(1.0) == [
        Wait(follower.min_retry_delay)
    ]  # a full read restarts them too
    follower.start_request()
    assert follower.on_error(ErrorAnswer(etcd.OUT_OF_RANGE, "compacted"), 0.5) == [RequestRead()]


HEADER = b'"header":{"cluster_id":"1","revision":"5"}'
ANSWERS = [
    (etcd.read_range, b"{", "not JSON"),
    (etcd.read_range, b"[]", "range"),
    (etcd.read_range, b'{"kvs":[]}', "header"),
    (etcd.read_range, b'{"header":{"revision":"5"}}', "without revision or cluster"),
    (etcd.read_range, b'{"header":{"cluster_id":"1","revision":"x"}}', "revision"),
    (etcd.read_range, b"{" + HEADER + b',"kvs":[{"key":"*","mod_revision":"1"}]}', "key"),
    (
        etcd.read_range,
        b"{" + HEADER + b',"kvs":[{"key":"YQ==","mod_revision":"6"}]}',
        "revision 6, the header 5",
    ),
    (etcd.read_watch_response, b"{}", "neither"),
    (
        etcd.read_watch_response,
        b'{"result":{' + HEADER + b',"events":[{"type":"ADD","kv":{"key":"YQ=="}}]}}',
        "type",
    ),
    (
        etcd.read_watch_response,
        b'{"result":{' + HEADER + b',"events":[{"kv":{"key":"YQ==","mod_revision":"4"}},'
        b'{"kv":{"key":"YQ==","mod_revision":"3"}}]}}',
        "3 after 4",
    ),
]


@pytest.mark.parametrize(("parse", "data", "error"), ANSWERS)
def test_illegal_answers_raise_bad_answer_with_the_place(parse, data: bytes, error: str) -> None:  # type: ignore[no-untyped-def]
    with pytest.raises(BadAnswer, match=error):
        parse(data)


def test_the_bytes_of_a_watch() -> None:
    assert etcd.watch_request(b"/x/", 9) == (
        b'{"create_request":{"key":"L3gv","range_end":"L3gw","start_revision":"9","progress_notify":true}}'
    )
    response = etcd.read_watch_response(
        b'{"result":{"header":{"cluster_id":"18446744073709551615","member_id":"2","revision":"12","raft_term":"3"},'
        b'"events":[{"kv":{"key":"L3gvMQ==","create_revision":"10","mod_revision":"11","version":"2","value":"e30="}},'
        b'{"type":"DELETE","kv":{"key":"L3gvMg==","mod_revision":"12"}}]}}'
    )
    assert isinstance(response, WatchResponse)
    assert [
        (event.type, event.kv.key, event.kv.value, event.kv.mod_revision) for event in response.events
    ] == [
        ("PUT", b"/x/1", b"{}", 11),
        ("DELETE", b"/x/2", b"", 12),
    ]
    failed = etcd.read_watch_response(
        b'{"error":{"grpc_code":11,"code":11,"message":"mvcc: required revision has been compacted"}}'
    )
    assert isinstance(failed, ErrorAnswer) and failed.compacted


@pytest.mark.parametrize(("prefix", "end"), [(b"/x/", b"/x0"), (b"a\xff", b"b"), (b"\xff\xff", b"\x00")])
def test_prefix_end(prefix: bytes, end: bytes) -> None:
    assert etcd.prefix_end(prefix) == end
