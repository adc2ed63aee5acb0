"""Follows all keys with a prefix: a whole read, then a watch from the next revision on, for ever.

What may be lost or doubled on the way is decided here. `held` is what the registry had at `revision`, every
revision's effect applied once and in order. The states:

| state | means | ends by |
| --- | --- | --- |
| away | no answer under way; a wait is | `due` |
| reading | a whole read was asked for | its answer, a failure, a break |
| watching | a watch from `revision` + 1 was asked for | cancelled, compacted, a break |
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from peattrestle.registry.etcd import Event, Failed, News, Range
from peattrestle.registry.http import BadAnswer

SECOND = 1_000_000_000
AWAY, READING, WATCHING = "away", "reading", "watching"


@dataclass(slots=True, frozen=True)
class Change:
    """A key's new value, None where it was deleted. `created`: the revision that it has existed from."""

    key: bytes
    value: bytes | None
    revision: int
    created: int = 0


@dataclass(slots=True, frozen=True)
class Read:
    """Ask for all keys as they are now."""


@dataclass(slots=True, frozen=True)
class Watch:
    """Ask for every change from this revision on."""

    since: int


@dataclass(slots=True, frozen=True)
class Wait:
    """Call `due` after so many nanoseconds."""

    length: int


@dataclass(slots=True, frozen=True)
class Apply:
    """The changes of one or more revisions, all of them up to `revision`.

    `whole`: found by a whole read, so that what lies between is not known; `strange`: of a registry that
    went back, or is another one.
    """

    changes: tuple[Change, ...]
    revision: int
    whole: bool = False
    strange: str = ""


@dataclass(slots=True, frozen=True)
class Vouch:
    """Nothing has changed up to `revision`: what is held is good as of now."""

    revision: int


Do = Read | Watch | Wait | Apply | Vouch


@dataclass(slots=True)
class Held:
    value: bytes
    revision: int
    created: int


@dataclass(slots=True)
class Counts:
    applied: int = 0
    doubled: int = 0
    overtaken: int = 0
    reads: int = 0
    watches: int = 0
    breaks: int = 0
    compacted: int = 0


class Follower:
    """`least`, `most`: waits after a break, doubling, each drawn from half of it to all of it."""

    MOST_PARTS = 100_000  # events of one fragmented message
    MOST_RECENT = 10_000  # events remembered, to tell one sent twice from one that was overtaken

    def __init__(self, least: int = SECOND // 10, most: int = 5 * SECOND) -> None:
        self.least, self.most = least, most
        self.state = AWAY
        self.cluster = self.revision = 0
        self.held: dict[bytes, Held] = {}
        self.counts = Counts()
        self._wait = least
        self._parts: list[Event] = []
        self._recent: OrderedDict[tuple[bytes, int], None] = OrderedDict()
        self._read_next = True  # else the watch is taken up where it was

    def due(self) -> list[Do]:
        """The wait is over, or the very start."""
        self._parts.clear()
        if self._read_next:
            self.state = READING
            self.counts.reads += 1
            return [Read()]
        self.state = WATCHING
        self.counts.watches += 1
        return [Watch(self.revision + 1)]

    def broken(self, chance: float) -> list[Do]:
        """The connection ended, the answer was illegal, or none came. `chance` is drawn from 0 to 1."""
        self.counts.breaks += 1
        self.state = AWAY
        self._parts.clear()
        length = round(self._wait * (1 + chance) / 2)
        self._wait = min(2 * self._wait, self.most)
        return [Wait(length)]

    def failed(self, fault: Failed, chance: float) -> list[Do]:
        """The registry named an error. What is compacted is read anew at once, the rest waited for."""
        if fault.compacted and self.state == WATCHING:
            return self._read_anew()
        return self.broken(chance)

    def _read_anew(self) -> list[Do]:
        self.counts.compacted += 1
        self._read_next = True
        return self.due()

    def read(self, answer: Range) -> list[Do]:
        """A whole read: only what differs from what is held is told, then watched on from there."""
        if self.state != READING:
            raise BadAnswer("an answer to a read that was not asked for")
        if answer.more:
            raise BadAnswer("range: more keys than were sent")
        strange = self._strange(answer.header.cluster_id, answer.header.revision)
        if strange:
            self._recent.clear()  # its revisions are not those that were applied
        present = {one.key: one for one in answer.kvs}
        changes = [Change(key, None, answer.header.revision) for key in self.held if key not in present]
        for key, one in present.items():
            before = self.held.get(key)
            if before is None or (before.value, before.created) != (one.value, one.create_revision):
                changes.append(Change(key, one.value, one.mod_revision, one.create_revision))
            self.held[key] = Held(one.value, one.mod_revision, one.create_revision)
        for change in changes:
            if change.value is None:
                del self.held[change.key]
        changes.sort(key=lambda change: change.revision)
        self.cluster, self.revision = answer.header.cluster_id, answer.header.revision
        self.counts.applied += len(changes)
        self._read_next, self._wait = False, self.least
        return [Apply(tuple(changes), self.revision, True, strange), *self.due()]

    def _strange(self, cluster: int, revision: int) -> str:
        if self.cluster and cluster != self.cluster:
            return f"cluster {cluster} in place of {self.cluster}"
        if revision < self.revision:
            return f"revision {revision} after {self.revision}"
        return ""

    def news(self, news: News, chance: float) -> list[Do]:
        """One message of the watch. Raises BadAnswer for what no watch may say."""
        if self.state != WATCHING:
            raise BadAnswer("news of a watch that was not asked for")
        if news.canceled:
            return self._read_anew() if news.compact_revision else self.broken(chance)
        if self._strange(news.header.cluster_id, news.header.revision):
            # Another registry answers, or an older copy: what it has is not what ours went on to have.
            return self._read_anew()
        if news.created:
            return []  # its header tells how far the registry is, not how far this watch is
        self._wait = self.least
        if news.fragment:
            self._parts += news.events
            if len(self._parts) > self.MOST_PARTS:
                raise BadAnswer(f"watch: more than {self.MOST_PARTS} events in one message")
            return []
        events, self._parts = [*self._parts, *news.events], []
        if not events:
            self.revision = max(self.revision, news.header.revision)
            return [Vouch(self.revision)]
        changes: list[Change] = []
        before = self.revision
        self.revision = max(before, events[-1].kv.mod_revision)
        for event in events:
            one = event.kv
            if one.mod_revision <= before:
                if (one.key, one.mod_revision) not in self._recent:
                    # It was overtaken on its way: what else was, nothing tells.
                    self.counts.overtaken += 1
                    return [*self._told(changes), *self._read_anew()]
                self.counts.doubled += 1
                continue
            self._recent[one.key, one.mod_revision] = None
            if event.type == "DELETE":
                if self.held.pop(one.key, None) is not None:
                    changes.append(Change(one.key, None, one.mod_revision))
            else:
                self.held[one.key] = Held(one.value, one.mod_revision, one.create_revision)
                changes.append(Change(one.key, one.value, one.mod_revision, one.create_revision))
        while len(self._recent) > self.MOST_RECENT:
            self._recent.popitem(last=False)
        return self._told(changes)

    def _told(self, changes: list[Change]) -> list[Do]:
        self.counts.applied += len(changes)
        return [Apply(tuple(changes), self.revision)] if changes else []
