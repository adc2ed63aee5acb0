"""The roll of exchanges: what a registry's changes mean for the list that the module is told.

Decided here, each argued in docs/membership.md:

- a drain and a removal count at once, a return may be delayed: an exchange that flaps is taken back later
  and later, up to `MOST_DELAY`;
- what can't be read is named and kept out; where it was good before, what it was goes on until it can be
  read or is deleted: a slip of the pen must not take an exchange away, nor bring one;
- of two that claim one number, the one created later has it, if ready; the other counts as draining;
- a registry that loses at once more than half of the exchanges, three at least, is taken for broken, not
  for a word that they are gone: they are kept as doubtful until the registry says the same for `DOUBT` on,
  has them again, or says of one by itself that it drains. Draining ones are never kept;
- more than `MOST` exchanges are not taken in, and named;
- how old the list is known to be goes with it (`vouched_at`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from msgspec import structs

from peattrestle.membership.entries import BadEntry, Entry, read

SECOND = 1_000_000_000


@dataclass(slots=True, frozen=True)
class Member:
    """An exchange as it counts now. `created`: the revision that its key has existed from."""

    name: str
    entry: Entry
    created: int = 0


@dataclass(slots=True, frozen=True)
class Told:
    """What to tell: `members` whose word has changed, gone ones with state 'gone'; `notes` for the log."""

    members: tuple[Member, ...] = ()
    notes: tuple[str, ...] = ()


@dataclass(slots=True)
class _Known:
    member: Member
    counts: Entry  # what the module was told
    doubtful_since: int = -1
    flaps: int = 0
    left_at: int = 0
    back_at: int = 0  # not taken back before this


class Roll:
    """All times are nanoseconds. `prefix` is the keys' common begin."""

    DOUBT = 30 * SECOND
    MOST = 10_000  # exchanges
    FEWEST_LOST = 3
    LOST_SHARE = 0.5
    LOST_WITHIN = 2 * SECOND  # removals in this time count as at once
    FLAP_WITHIN = 60 * SECOND  # a return sooner after leaving than this is a flap
    FIRST_DELAY, MOST_DELAY = 1 * SECOND, 60 * SECOND

    def __init__(self, prefix: bytes) -> None:
        self.prefix = prefix
        self.vouched_at = -1
        self.known: dict[str, _Known] = {}
        self.bad: dict[str, str] = {}
        self._removed: list[tuple[int, str]] = []

    def vouch(self, now: int) -> None:
        """The registry has said, now, that what is held is all there is."""
        self.vouched_at = now

    def apply(self, now: int, changes: Iterable[tuple[bytes, bytes | None, int]]) -> Told:
        """Changes of one moment: key, value or None where deleted, revision of creation."""
        notes: list[str] = []
        gone: dict[str, None] = {}
        for key, value, created in changes:
            name = key[len(self.prefix) :].decode("ascii", "replace")
            if value is None:
                self.bad.pop(name, None)
                if name in self.known:
                    gone[name] = None
                continue
            try:
                name, entry = read(self.prefix, key, value)
            except BadEntry as fault:
                if self.bad.get(name) != str(fault):
                    if len(self.bad) < 1000:
                        self.bad[name] = str(fault)
                    kept = "; what it was goes on" if name in self.known else ""
                    notes.append(f"unreadable: {fault}{kept}")
                continue
            if name not in self.known and len(self.known) >= self.MOST:
                notes.append(f"{name}: kept out, there are {self.MOST} exchanges")
                continue
            if self.bad.pop(name, None) is not None:
                notes.append(f"{name}: readable again")
            if name in gone:  # deleted and put again in one moment: it left, and it is here
                del gone[name]
                self._leave(now, self.known[name])
            self._take(now, Member(name, entry, created), notes)
        self._remove(now, list(gone), notes)
        self.vouched_at = now
        return self.look(now, notes)

    def _take(self, now: int, member: Member, notes: list[str]) -> None:
        one = self.known.get(member.name)
        if one is None:
            self.known[member.name] = _Known(member, Entry(member.entry.number, "gone"))
            return
        was_away = one.doubtful_since < 0 and one.member.entry.state != "ready"
        if one.doubtful_since >= 0:
            notes.append(f"{member.name}: there again")
            one.doubtful_since = -1
        elif was_away and member.entry.state == "ready":
            self._returns(now, one, notes)
        elif one.member.entry.state == "ready" and member.entry.state != "ready":
            one.left_at = now
        one.member = member

    def _returns(self, now: int, one: _Known, notes: list[str]) -> None:
        """A return soon after leaving is a flap, unless the exchange started anew in between."""
        if now - one.left_at >= self.FLAP_WITHIN:
            one.flaps = 0
            return
        one.flaps += 1
        if one.flaps > 1:
            delay = min(self.MOST_DELAY, self.FIRST_DELAY << min(one.flaps - 2, 10))
            one.back_at = now + delay
            notes.append(f"{one.member.name}: back {one.flaps} times, taken back in {delay / SECOND:g} s")

    def _remove(self, now: int, gone: list[str], notes: list[str]) -> None:
        self._removed = [(at, name) for at, name in self._removed if at > now - self.LOST_WITHIN]
        ready = [name for name in gone if self.known[name].member.entry.state == "ready"]
        now_ready = {name for name, one in self.known.items() if one.member.entry.state == "ready"}
        before = {name for _, name in self._removed}
        lost, there = len(before.union(ready)), len(before | now_ready)
        broken = bool(ready) and lost >= self.FEWEST_LOST and lost > self.LOST_SHARE * there
        for name in gone:
            one = self.known[name]
            if broken and name in ready:
                if one.doubtful_since < 0:
                    one.doubtful_since = now
            else:
                self._leave(now, one)
        self._removed += [(now, name) for name in ready]
        if broken:
            notes.append(f"the registry lost {lost} of {there} exchanges at once: kept as doubtful")

    def _leave(self, now: int, one: _Known) -> None:
        if one.member.entry.state == "ready":
            one.left_at = now
        one.doubtful_since = -1
        one.member = replace(one.member, entry=structs.replace(one.member.entry, state="gone"))

    def look(self, now: int, notes: list[str] | None = None) -> Told:
        """What is to be told by now; also what became due since: doubt that has lasted, returns."""
        out, notes = [], notes if notes is not None else []
        for one in self.known.values():
            if 0 <= one.doubtful_since <= now - self.DOUBT:
                notes.append(
                    f"{one.member.name}: gone, the registry has said so for {self.DOUBT // SECOND} s"
                )
                self._leave(now, one)
        holders = self._holders(notes)
        for name, one in self.known.items():
            entry = one.member.entry
            if entry.state == "ready" and now < one.back_at and one.counts.state != "ready":
                entry = structs.replace(entry, state=one.counts.state)
            elif entry.state == "ready" and holders[entry.number] != name:
                entry = structs.replace(entry, state="draining")
            if entry != one.counts:
                one.counts = entry
                out.append(replace(one.member, entry=entry))
        for name in [name for name, one in self.known.items() if self._forgettable(now, one)]:
            del self.known[name]
        return Told(tuple(out), tuple(notes))

    def _forgettable(self, now: int, one: _Known) -> bool:
        return one.member.entry.state == "gone" and now - one.left_at > self.FLAP_WITHIN

    def _holders(self, notes: list[str]) -> dict[int, str]:
        """Whose each number is: of those ready the one created last, by name where that is the same."""
        out: dict[int, str] = {}
        for name, one in self.known.items():
            if one.member.entry.state != "ready":
                continue
            other = out.get(one.member.entry.number)
            if other is None or (one.member.created, name) > (self.known[other].member.created, other):
                out[one.member.entry.number] = name
                loser = other
            else:
                loser = name
            if loser is not None and self.known[loser].counts.state == "ready":
                winner = out[one.member.entry.number]
                notes.append(f"{loser} and {winner} both claim {one.member.entry.number}: {winner} is newer")
        return out

    def due(self) -> int:
        """When `look` may have something to tell though nothing came; -1 for never."""
        times = [one.doubtful_since + self.DOUBT for one in self.known.values() if one.doubtful_since >= 0]
        times += [
            one.back_at
            for one in self.known.values()
            if one.member.entry.state == "ready" and one.counts.state != "ready" and one.back_at
        ]
        return min(times, default=-1)
