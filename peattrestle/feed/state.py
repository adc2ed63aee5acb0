"""What of the control feed has been applied. Events are numbered; each counts once, in order.

The state knows members as the feed tells them and says what an event has changed. Repeats are passed over; a
gap is asked for again, and taken as it is only when the source, asked from the last number applied, starts
behind it once more: it has no more to tell. An event that cannot be read is asked for once more in the same
way, then passed over, so that one spoilt event never hides those behind it. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from peattrestle.feed.sse import BadFeed, Sent

READY, DRAINING, GONE = "ready", "draining", "gone"
STATES = {"SERVING": READY, "DRAINING": DRAINING, "DELETED": GONE}
MOST_MEMBERS = 10_000


class Host(msgspec.Struct, frozen=True):
    """A member as the feed writes it; `block` is the exchange's number, `born_ms` its late start, else 0."""

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


class _Known(msgspec.Struct):
    n: int
    events: list[_Event]


@dataclass(slots=True, frozen=True)
class Member:
    """One exchange; `born_ms`: the Unix millisecond of a late start, else 0."""

    exchange: str
    number: int
    state: str
    address: str
    zone: str
    born_ms: int


@dataclass(slots=True, frozen=True)
class Change:
    """What one event has told: the whole list, or what of it has changed."""

    whole: bool
    members: tuple[Member, ...]


class AskAgain(Exception):
    """The feed is to be asked again from `State.last`; the text says why."""


_event: msgspec.json.Decoder[_Event] = msgspec.json.Decoder(_Event)


def _change(event: _Event) -> Change | None:
    told = event.members
    if told is None:
        return None
    if len(told.hosts) > MOST_MEMBERS:
        raise BadFeed(f"more than {MOST_MEMBERS} members")
    members = []
    for host in told.hosts:
        state = STATES.get(host.health)
        if state is None or not host.host or not 0 <= host.block < 1 << 31 or not 0 <= host.born_ms < 1 << 53:
            raise BadFeed(f"member '{host.host}' can't be read")
        members.append(Member(host.host, host.block, state, host.dial, host.site, host.born_ms))
    return Change(told.whole, tuple(members))


class State:
    """`last`: the number of the last event applied; what `Last-Event-ID` is to be."""

    def __init__(self) -> None:
        self.last = 0
        self._asked_from = -1  # the feed was asked again from here
        self._asking = False

    def known(self, tree: Any) -> list[Change]:
        """The events of a configuration's `known` not yet applied. Raises BadFeed, and then none is."""
        try:
            known = msgspec.convert(tree, _Known)
        except msgspec.ValidationError as fault:
            raise BadFeed(f"known: {fault}") from None
        fresh = [(event.n, _change(event)) for event in known.events if event.n > self.last]
        self.last = max(self.last, known.n, *(n for n, _ in fresh)) if fresh else max(self.last, known.n)
        return [change for _, change in fresh if change is not None]

    def asked(self) -> None:
        """The feed is being asked from `last`: its first event shows whether there is a gap."""
        self._asking = True

    def take(self, sent: Sent) -> Change | None:
        """The change that an event makes; None for a repeat or one that tells nothing of members.

        Raises AskAgain for a gap, or an event that can't be read, the first time.
        """
        again = self._asked_from == self.last
        try:
            event = _event.decode(sent.data)
            if sent.id and sent.id != str(event.n):
                raise BadFeed(f"event {event.n} under the id '{sent.id[:20]}'")
            if event.n <= self.last:
                return None
            change = _change(event)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, BadFeed) as fault:
            number = int(sent.id) if sent.id.isascii() and sent.id.isdigit() and len(sent.id) < 16 else -1
            if 0 <= number <= self.last:
                return None
            if again and number == self.last + 1:
                self.last = number  # read twice and spoilt twice
                return None
            self._asked_from = self.last
            raise AskAgain(f"an event that can't be read: {fault}") from None
        if event.n > self.last + 1 and not (again and self._asking):
            self._asked_from = self.last
            raise AskAgain(f"event {event.n} after {self.last}")
        self._asking = False
        self.last = event.n
        return change
