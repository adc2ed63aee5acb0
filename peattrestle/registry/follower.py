"""Decides how to follow all keys with a prefix: one full read, then a watch from the next revision on.

`contents` is the registry's content at `revision`. When a connection breaks, the watch resumes after
`revision`, so that every revision is applied once and in order. Where that is not possible, a full read
finds what differs from `contents`. The states:

| state | meaning | ends with |
| --- | --- | --- |
| away | no request is open; a retry delay is running | `start_request` |
| reading | a full read was requested | its answer, an error, a lost connection |
| watching | a watch from `revision` + 1 was requested | cancelled, compacted, a lost connection |
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from peattrestle.registry.etcd import ErrorAnswer, Event, Range, WatchResponse
from peattrestle.registry.http import BadAnswer

SECOND = 1_000_000_000  # nanoseconds
AWAY, READING, WATCHING = "away", "reading", "watching"


@dataclass(slots=True, frozen=True)
class Change:
    """A key's new value, None if it was deleted. `created`: the revision that created the key."""

    key: bytes
    value: bytes | None
    revision: int
    created: int = 0


@dataclass(slots=True, frozen=True)
class RequestRead:
    """Action: request all keys as they are now."""


@dataclass(slots=True, frozen=True)
class RequestWatch:
    """Action: request every change from the revision `since` on."""

    since: int


@dataclass(slots=True, frozen=True)
class Wait:
    """Action: call `start_request` after `length` nanoseconds."""

    length: int


@dataclass(slots=True, frozen=True)
class Apply:
    """Action: apply the changes of one or more revisions, complete up to `revision`.

    `is_full_read`: they come from a full read, so the revisions in between are unknown. `replaced_reason`:
    how the registry differs from the one followed before (its revision went back, or it is another cluster);
    empty if it is the same.
    """

    changes: tuple[Change, ...]
    revision: int
    is_full_read: bool = False
    replaced_reason: str = ""


@dataclass(slots=True, frozen=True)
class ConfirmUnchanged:
    """Action: record that nothing changed up to `revision`, so that the content held is current."""

    revision: int


Action = RequestRead | RequestWatch | Wait | Apply | ConfirmUnchanged


@dataclass(slots=True)
class HeldValue:
    """The value held for a key, with the revisions that wrote the value and created the key."""

    value: bytes
    revision: int
    created: int


@dataclass(slots=True)
class Counts:
    """Counters of a follower.

    `applied`: changes applied. `doubled`: events received twice. `overtaken`: events received out of order.
    `reads`, `watches`: requests sent. `breaks`: lost connections, illegal answers, errors and timeouts.
    `compacted`: watches given up for a full read, for compaction or because they can't be continued.
    """

    applied: int = 0
    doubled: int = 0
    overtaken: int = 0
    reads: int = 0
    watches: int = 0
    breaks: int = 0
    compacted: int = 0


class Follower:
    """Takes the registry's answers and returns the actions to carry out.

    `min_retry_delay`, `max_retry_delay`: bounds of the retry delay in nanoseconds. The delay doubles with
    each failure, and the time actually waited is drawn from half of it to all of it.
    """

    MAX_FRAGMENTED_EVENTS = 100_000  # events of one fragmented message
    MAX_RECENT_EVENTS = 10_000  # events remembered, to tell a repeated event from one delivered out of order

    def __init__(self, min_retry_delay: int = SECOND // 10, max_retry_delay: int = 5 * SECOND) -> None:
        self.min_retry_delay, self.max_retry_delay = min_retry_delay, max_retry_delay
        self.state = AWAY
        self.cluster = self.revision = 0
        self.contents: dict[bytes, HeldValue] = {}
        self.counts = Counts()
        self._retry_delay = min_retry_delay
        self._fragments: list[Event] = []
        self._recent_events: OrderedDict[tuple[bytes, int], None] = OrderedDict()
        self._needs_read = True  # otherwise the watch resumes after `revision`

    def start_request(self) -> list[Action]:
        """Starts the next request: at the start, and when a `Wait` has passed."""
        self._fragments.clear()
        if self._needs_read:
            self.state = READING
            self.counts.reads += 1
            return [RequestRead()]
        self.state = WATCHING
        self.counts.watches += 1
        return [RequestWatch(self.revision + 1)]

    def on_connection_lost(self, jitter: float) -> list[Action]:
        """Handles a lost connection, an illegal answer or a timeout.

        `jitter`: a random number from 0 to 1 that spreads the retry delay.
        """
        self.counts.breaks += 1
        self.state = AWAY
        self._fragments.clear()
        length = round(self._retry_delay * (1 + jitter) / 2)
        self._retry_delay = min(2 * self._retry_delay, self.max_retry_delay)
        return [Wait(length)]

    def on_error(self, error: ErrorAnswer, jitter: float) -> list[Action]:
        """Handles an error answer. A compacted watch is followed by a full read at once; after any other
        error the follower waits as in `on_connection_lost`."""
        if error.compacted and self.state == WATCHING:
            return self._restart_with_read()
        return self.on_connection_lost(jitter)

    def _restart_with_read(self) -> list[Action]:
        self.counts.compacted += 1
        self._needs_read = True
        return self.start_request()

    def on_read(self, answer: Range) -> list[Action]:
        """Applies the differences between a full read and the content held, then watches from there on.

        Raises `BadAnswer` for an answer that was not requested or is not complete.
        """
        if self.state != READING:
            raise BadAnswer("range: an answer to a read that was not requested")
        if answer.more:
            raise BadAnswer("range: the answer is incomplete, there are more keys")
        replaced_reason = self._replacement_reason(answer.header.cluster_id, answer.header.revision)
        if replaced_reason:
            self._recent_events.clear()  # revision numbers of another history
        present = {pair.key: pair for pair in answer.kvs}
        changes = [Change(key, None, answer.header.revision) for key in self.contents if key not in present]
        for key, pair in present.items():
            held = self.contents.get(key)
            if held is None or (held.value, held.created) != (pair.value, pair.create_revision):
                changes.append(Change(key, pair.value, pair.mod_revision, pair.create_revision))
            self.contents[key] = HeldValue(pair.value, pair.mod_revision, pair.create_revision)
        for change in changes:
            if change.value is None:
                del self.contents[change.key]
        changes.sort(key=lambda change: change.revision)
        self.cluster, self.revision = answer.header.cluster_id, answer.header.revision
        self.counts.applied += len(changes)
        self._needs_read, self._retry_delay = False, self.min_retry_delay
        return [Apply(tuple(changes), self.revision, True, replaced_reason), *self.start_request()]

    def _replacement_reason(self, cluster: int, revision: int) -> str:
        """How an answer shows another registry or an older copy of it; empty if it does not."""
        if self.cluster and cluster != self.cluster:
            return f"cluster {cluster} in place of {self.cluster}"
        if revision < self.revision:
            return f"revision {revision} after {self.revision}"
        return ""

    def on_watch_message(self, response: WatchResponse, jitter: float) -> list[Action]:
        """Handles one message of the watch. Raises `BadAnswer` if it was not requested or is too long."""
        if self.state != WATCHING:
            raise BadAnswer("watch: a message of a watch that was not requested")
        if response.canceled:
            return self._restart_with_read() if response.compact_revision else self.on_connection_lost(jitter)
        if self._replacement_reason(response.header.cluster_id, response.header.revision):
            # Another registry or an older copy answers: its changes don't follow on the content held.
            return self._restart_with_read()
        if response.created:
            return []  # its header has the registry's revision, not the progress of this watch
        self._retry_delay = self.min_retry_delay
        if response.fragment:
            self._fragments += response.events
            if len(self._fragments) > self.MAX_FRAGMENTED_EVENTS:
                raise BadAnswer(f"watch: more than {self.MAX_FRAGMENTED_EVENTS} events in one message")
            return []
        events, self._fragments = [*self._fragments, *response.events], []
        if not events:
            self.revision = max(self.revision, response.header.revision)
            return [ConfirmUnchanged(self.revision)]
        changes: list[Change] = []
        previous_revision = self.revision
        self.revision = max(previous_revision, events[-1].kv.mod_revision)
        for event in events:
            pair = event.kv
            if pair.mod_revision <= previous_revision:
                if (pair.key, pair.mod_revision) not in self._recent_events:
                    # It arrived out of order. Other events may be missing too, so everything is read again.
                    self.counts.overtaken += 1
                    return [*self._apply(changes), *self._restart_with_read()]
                self.counts.doubled += 1
                continue
            self._recent_events[pair.key, pair.mod_revision] = None
            if event.type == "DELETE":
                if self.contents.pop(pair.key, None) is not None:
                    changes.append(Change(pair.key, None, pair.mod_revision))
            else:
                self.contents[pair.key] = HeldValue(pair.value, pair.mod_revision, pair.create_revision)
                changes.append(Change(pair.key, pair.value, pair.mod_revision, pair.create_revision))
        while len(self._recent_events) > self.MAX_RECENT_EVENTS:
            self._recent_events.popitem(last=False)
        return self._apply(changes)

    def _apply(self, changes: list[Change]) -> list[Action]:
        self.counts.applied += len(changes)
        return [Apply(tuple(changes), self.revision)] if changes else []
