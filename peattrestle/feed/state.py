"""Applies the numbered events of the control feed exactly once and in order.

The state decides for each event whether it is a duplicate, the next one, or not usable yet:

- duplicates are ignored;
- after a gap in the numbers, the feed is requested once more from the last event applied; if its first event
  leaves the same gap, the source does not have the missing events, and the gap is accepted;
- after an event that cannot be decoded, the feed is requested once more in the same way, and the event is
  skipped if it fails again, so that a corrupt event never blocks the ones after it.

No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from peattrestle.feed.sse import BadFeed, ServerSentEvent

READY, DRAINING, GONE = "ready", "draining", "gone"
STATES = {"SERVING": READY, "DRAINING": DRAINING, "DELETED": GONE}
MAX_MEMBERS = 10_000


class Host(msgspec.Struct, frozen=True):
    """A member as encoded in the feed.

    `host` is the exchange's name, `dial` its address, `block` its number, `health` a key of `STATES`, `site`
    its zone, `born_ms` as in `Member`.
    """

    host: str
    dial: str
    block: int
    health: str
    site: str = ""
    born_ms: int = 0


class _Members(msgspec.Struct):
    hosts: list[Host]
    whole: bool = False


class _Event(msgspec.Struct):
    n: int
    members: _Members | None = None


class _KnownEvents(msgspec.Struct):
    n: int
    events: list[_Event]


@dataclass(slots=True, frozen=True)
class Member:
    """One exchange; `born_ms` is its start in Unix milliseconds if it started late, else 0."""

    exchange: str
    number: int
    state: str
    address: str
    zone: str
    born_ms: int


@dataclass(slots=True, frozen=True)
class Change:
    """The update in one event: the full list of members if `is_full`, else only the changed members."""

    is_full: bool
    members: tuple[Member, ...]


class ResumeRequired(Exception):
    """The feed must be requested again from `FeedState.last`; the text says why."""


_event_decoder: msgspec.json.Decoder[_Event] = msgspec.json.Decoder(_Event)


def _change_from(event: _Event) -> Change | None:
    update = event.members
    if update is None:
        return None
    if len(update.hosts) > MAX_MEMBERS:
        raise BadFeed(f"event {event.n}: more than {MAX_MEMBERS} members")
    members = []
    for host in update.hosts:
        state = STATES.get(host.health)
        if state is None or not host.host or not 0 <= host.block < 1 << 31 or not 0 <= host.born_ms < 1 << 53:
            raise BadFeed(
                f"member '{host.host:.40}': invalid name, health '{host.health:.20}', block {host.block} "
                f"or born_ms {host.born_ms}"
            )
        members.append(Member(host.host, host.block, state, host.dial, host.site, host.born_ms))
    return Change(update.whole, tuple(members))


class FeedState:
    """The position in the feed; `last` is the number of the last event applied, sent as `Last-Event-ID`."""

    def __init__(self) -> None:
        self.last = 0
        self._resumed_from = -1  # `last` at the time of the last repeated request
        self._awaiting_first_event = False

    def apply_known(self, tree: Any) -> list[Change]:
        """Applies the events of a configuration's `known` and returns the changes of those that are new.

        Raises BadFeed if one is invalid; no event is then applied.
        """
        try:
            known = msgspec.convert(tree, _KnownEvents)
        except msgspec.ValidationError as error:
            raise BadFeed(f"known: {error}") from None
        new_events = [(event.n, _change_from(event)) for event in known.events if event.n > self.last]
        self.last = (
            max(self.last, known.n, *(n for n, _ in new_events)) if new_events else max(self.last, known.n)
        )
        return [change for _, change in new_events if change is not None]

    def on_request(self) -> None:
        """Notes that the feed is requested from `last`: the first event then shows whether a gap remains."""
        self._awaiting_first_event = True

    def apply(self, server_event: ServerSentEvent) -> Change | None:
        """Applies an event; returns its change, None for a duplicate or an event without members.

        Raises ResumeRequired for a gap, or an event that cannot be decoded, the first time.
        """
        resumed = self._resumed_from == self.last
        try:
            event = _event_decoder.decode(server_event.data)
            if server_event.id and server_event.id != str(event.n):
                raise BadFeed(f"event {event.n} has the id '{server_event.id[:20]}'")
            if event.n <= self.last:
                return None
            change = _change_from(event)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, BadFeed) as error:
            number = (
                int(server_event.id)
                if server_event.id.isascii() and server_event.id.isdigit() and len(server_event.id) < 16
                else -1
            )
            if 0 <= number <= self.last:
                return None
            if resumed and number == self.last + 1:
                self.last = number  # corrupt in both responses: skipped
                return None
            self._resumed_from = self.last
            raise ResumeRequired(f"invalid event: {error}") from None
        if event.n > self.last + 1 and not (resumed and self._awaiting_first_event):
            self._resumed_from = self.last
            raise ResumeRequired(f"gap: event {event.n} after {self.last}")
        self._awaiting_first_event = False
        self.last = event.n
        return change
