"""The follower against a registry in memory: breaks, compactions, doubles, another registry."""

from __future__ import annotations

import random

import pytest

from peattrestle.registry import etcd
from peattrestle.registry.etcd import Event, Failed, Header, KeyValue, News, Range
from peattrestle.registry.follower import AWAY, WATCHING, Apply, Change, Follower, Read, Vouch, Wait, Watch
from peattrestle.registry.http import BadAnswer


class Registry:
    """Keys with revisions and a history that can be compacted."""

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
        return [one for one in self.history if one.kv.mod_revision >= revision]


class Applied:
    """Takes what the follower applies, as the module would, and counts each revision's effect."""

    def __init__(self) -> None:
        self.keys: dict[bytes, bytes] = {}
        self.effects: dict[tuple[bytes, int], int] = {}
        self.order: list[int] = []

    def take(self, one: Apply) -> None:
        for change in one.changes:
            effect = (change.key, change.revision)
            self.effects[effect] = self.effects.get(effect, 0) + 1
            if not one.whole:
                self.order.append(change.revision)
            if change.value is None:
                del self.keys[change.key]  # nothing is deleted twice
            else:
                self.keys[change.key] = change.value


class Line:
    """The way between both, with what goes wrong on it."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.registry, self.follower, self.applied = Registry(), Follower(), Applied()
        self.sent = 0  # the watch has been sent changes up to here
        self.do(self.follower.due())

    def do(self, actions: list) -> None:  # type: ignore[type-arg]
        for one in actions:
            match one:
                case Read():
                    self.reading = self.registry.range() if self.draw.random() < 0.9 else None
                case Watch(since):
                    if self.registry.since(since) is None:
                        self.refused = True
                    self.sent = since - 1
                    self.waiting = [News(self.registry.header(), created=True)]
                case Apply():
                    self.applied.take(one)
                case Wait() | Vouch():
                    pass

    reading: Range | None = None
    refused = False
    waiting: list[News] = []

    def step(self) -> None:
        """Delivers whatever is due, or breaks."""
        chance = self.draw.random()
        if self.follower.state == AWAY:
            self.do(self.follower.due())
        elif self.follower.state == WATCHING:
            if self.refused:
                self.refused = False
                cancel = News(self.registry.header(), canceled=True, compact_revision=self.registry.compacted)
                self.do(self.follower.news(cancel, chance))
                return
            if chance < 0.1:
                self.waiting = []
                self.do(self.follower.broken(chance))
                return
            events = self.registry.since(self.sent + 1)
            if events is None:
                self.refused = True
                return
            if events:
                self.sent = events[-1].kv.mod_revision
                self.waiting.append(News(self.registry.header(), events=events))
                if chance < 0.3:
                    self.waiting.append(self.waiting[-1])  # twice
            elif chance < 0.4:
                self.waiting.append(News(self.registry.header()))
            waiting, self.waiting = self.waiting, []
            for one in waiting:
                if self.follower.state == WATCHING:
                    self.do(self.follower.news(one, chance))
        else:
            answer, self.reading = self.reading, None
            self.do(self.follower.broken(chance) if answer is None else self.follower.read(answer))

    def change(self) -> None:
        key = f"/x/{self.draw.randrange(8)}".encode()
        if self.draw.random() < 0.3:
            self.registry.delete(key)
        else:
            self.registry.put(key, str(self.draw.randrange(5)).encode())
        if self.draw.random() < 0.05:
            self.registry.compact()

    def quiet(self) -> None:
        for _ in range(200):
            self.step()


@pytest.mark.parametrize("seed", range(20))
def test_nothing_is_missed_and_nothing_applied_twice(seed: int) -> None:
    line = Line(seed)
    for _ in range(40):
        for _ in range(line.draw.randrange(12)):
            line.change()
            if line.draw.random() < 0.6:
                line.step()
        line.quiet()
        there = {key: one.value for key, one in line.registry.keys.items()}
        assert line.applied.keys == there
    assert line.applied.order == sorted(line.applied.order)
    assert max(line.applied.effects.values()) == 1
    counts = line.follower.counts
    assert counts.breaks > 5 and counts.compacted > 0 and counts.doubled > 0


def following(registry: Registry) -> Follower:
    one = Follower()
    assert one.due() == [Read()]
    one.read(registry.range())
    return one


def test_an_event_that_was_overtaken_has_all_read_anew() -> None:
    registry = Registry()
    registry.put(b"/x/1", b"a")
    one = following(registry)
    registry.put(b"/x/1", b"b")
    registry.put(b"/x/2", b"c")
    first, second = registry.history[-2:]
    assert one.news(News(registry.header(), events=[second]), 0.5) == [
        Apply((Change(b"/x/2", b"c", 4, 4),), 4)
    ]
    assert one.news(News(registry.header(), events=[first]), 0.5) == [Read()]
    (apply, watch) = one.read(registry.range())
    assert apply == Apply((Change(b"/x/1", b"b", 3, 2),), 4, True) and watch == Watch(5)


@pytest.mark.parametrize(
    ("change", "strange"),
    [({"cluster": 8}, "cluster 8 in place of 7"), ({"revision": 2}, "revision 2 after 4")],
)
def test_another_registry_or_an_old_copy_is_named(change: dict[str, int], strange: str) -> None:
    registry = Registry()
    for number in range(3):
        registry.put(f"/x/{number}".encode(), b"a")
    one = following(registry)
    other = Registry(change.get("cluster", 7))
    other.revision = change.get("revision", 50)
    assert one.news(News(other.header(), created=True), 0.5) == [Read()]
    apply = one.read(other.range())[0]
    assert isinstance(apply, Apply) and apply.strange == strange
    assert [(each.key, each.value) for each in apply.changes] == [
        (f"/x/{number}".encode(), None) for number in range(3)
    ]


def test_an_older_copy_has_revisions_of_its_own() -> None:
    registry = Registry()
    one = following(registry)
    for key in (b"/x/1", b"/x/2"):
        registry.put(key, b"a")
    one.news(News(registry.header(), events=registry.history), 0.5)
    copy = Registry()  # restored from before both
    assert one.news(News(copy.header(), created=True), 0.5) == [Read()]
    one.read(copy.range())
    for key in (b"/x/1", b"/x/2"):
        copy.put(key, b"b")
    one.news(News(copy.header(), events=copy.history[1:]), 0.5)
    # The first was overtaken; that its namesake was applied once says nothing.
    assert one.news(News(copy.header(), events=copy.history[:1]), 0.5) == [Read()]


def test_created_vouches_for_nothing_and_progress_does() -> None:
    registry = Registry()
    one = following(registry)
    registry.put(b"/x/1", b"a")  # between the read and the watch
    assert one.news(News(registry.header(), created=True), 0.5) == []
    one.broken(0.5)
    assert one.due() == [Watch(2)]  # not 3: nothing was delivered
    one.news(News(registry.header(), events=registry.history), 0.5)
    assert one.news(News(Header(7, 1, 9)), 0.5) == [Vouch(9)]
    one.broken(0.5)
    assert one.due() == [Watch(10)]


def test_fragments_are_applied_together_or_not_at_all() -> None:
    registry = Registry()
    one = following(registry)
    registry.put(b"/x/1", b"a")
    registry.put(b"/x/2", b"b")
    assert one.news(News(registry.header(), events=registry.history[:1], fragment=True), 0.5) == []
    one.broken(0.5)
    assert one.due() == [Watch(2)]
    assert one.news(News(registry.header(), events=registry.history[:1], fragment=True), 0.5) == []
    (apply,) = one.news(News(registry.header(), events=registry.history[1:]), 0.5)
    assert isinstance(apply, Apply) and len(apply.changes) == 2


def test_waits_grow_are_drawn_and_start_anew_after_news() -> None:
    registry = Registry()
    one = following(registry)
    waits = []
    for chance in (0.0, 1.0, 0.0, 1.0):
        (wait,) = one.broken(chance)
        assert isinstance(wait, Wait)
        waits.append(wait.length)
        one.due()
    assert waits == [one.least // 2, 2 * one.least, 2 * one.least, 8 * one.least]
    one.news(News(registry.header()), 0.5)
    (wait,) = one.broken(1.0)
    assert wait == Wait(one.least)
    one.due()
    for _ in range(4):
        one.broken(1.0)
        one.due()
    one.failed(Failed(etcd.OUT_OF_RANGE, "compacted"), 0.5)
    one.read(registry.range())
    assert one.broken(1.0) == [Wait(one.least)]  # a read is news too
    one.due()
    assert one.failed(Failed(etcd.OUT_OF_RANGE, "compacted"), 0.5) == [Read()]


HEADER = b'"header":{"cluster_id":"1","revision":"5"}'
ANSWERS = [
    (etcd.read_range, b"{", "not JSON"),
    (etcd.read_range, b"[]", "range"),
    (etcd.read_range, b'{"kvs":[]}', "header"),
    (etcd.read_range, b'{"header":{"revision":"5"}}', "without revision or cluster"),
    (etcd.read_range, b'{"header":{"cluster_id":"1","revision":"x"}}', "revision"),
    (etcd.read_range, b"{" + HEADER + b',"kvs":[{"key":"*","mod_revision":"1"}]}', "key"),
    (etcd.read_range, b"{" + HEADER + b',"kvs":[{"key":"YQ==","mod_revision":"6"}]}', "6 in 5"),
    (etcd.read_news, b"{}", "neither"),
    (etcd.read_news, b'{"result":{' + HEADER + b',"events":[{"type":"ADD","kv":{"key":"YQ=="}}]}}', "type"),
    (
        etcd.read_news,
        b'{"result":{' + HEADER + b',"events":[{"kv":{"key":"YQ==","mod_revision":"4"}},'
        b'{"kv":{"key":"YQ==","mod_revision":"3"}}]}}',
        "3 after 4",
    ),
]


@pytest.mark.parametrize(("read", "data", "fault"), ANSWERS)
def test_illegal_answers_are_one_named_error(read, data: bytes, fault: str) -> None:  # type: ignore[no-untyped-def]
    with pytest.raises(BadAnswer, match=fault):
        read(data)


def test_a_watch_by_its_bytes() -> None:
    assert etcd.watch_of(b"/x/", 9) == (
        b'{"create_request":{"key":"L3gv","range_end":"L3gw","start_revision":"9","progress_notify":true}}'
    )
    news = etcd.read_news(
        b'{"result":{"header":{"cluster_id":"18446744073709551615","member_id":"2","revision":"12","raft_term":"3"},'
        b'"events":[{"kv":{"key":"L3gvMQ==","create_revision":"10","mod_revision":"11","version":"2","value":"e30="}},'
        b'{"type":"DELETE","kv":{"key":"L3gvMg==","mod_revision":"12"}}]}}'
    )
    assert isinstance(news, News)
    assert [(one.type, one.kv.key, one.kv.value, one.kv.mod_revision) for one in news.events] == [
        ("PUT", b"/x/1", b"{}", 11),
        ("DELETE", b"/x/2", b"", 12),
    ]
    failed = etcd.read_news(
        b'{"error":{"grpc_code":11,"code":11,"message":"mvcc: required revision has been compacted"}}'
    )
    assert isinstance(failed, Failed) and failed.compacted


@pytest.mark.parametrize(("prefix", "end"), [(b"/x/", b"/x0"), (b"a\xff", b"b"), (b"\xff\xff", b"\x00")])
def test_prefix_ends(prefix: bytes, end: bytes) -> None:
    assert etcd.prefix_end(prefix) == end
