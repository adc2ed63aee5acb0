"""Decides which exchanges the router may use, from the changes in a key-value registry.

The rules, each argued in docs/membership.md:

- Draining and removal take effect at once. A return to ready may be delayed: an exchange that flaps is
  readmitted after an exponentially growing delay, up to `MAX_READMISSION_DELAY_NS`.
- An entry that can't be parsed is logged and ignored. The last valid entry of that exchange stays in force
  until the key can be parsed again or is deleted, so a typing error neither removes an exchange nor adds one.
- Of two ready exchanges that claim the same number, the one whose key was created later gets it. The other
  one is published as draining.
- A registry that loses more than half of the exchanges at once, and at least three, is presumed faulty. The
  missing exchanges stay published as doubtful until the registry has reported them missing for
  `REMOVAL_CONFIRMATION_NS`, lists them again, or reports one of them as draining. Draining exchanges are
  never kept in this way.
- At most `MAX_EXCHANGES` exchanges are accepted. Further ones are logged and ignored.
- `confirmed_at` is the time at which the registry last confirmed the list.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from msgspec import structs

from peattrestle.membership.entries import BadEntry, Entry, parse_entry

SECOND = 1_000_000_000  # nanoseconds


@dataclass(slots=True, frozen=True)
class Member:
    """An exchange with its entry in force. `created`: the registry revision that created its key."""

    name: str
    entry: Entry
    created: int = 0


@dataclass(slots=True, frozen=True)
class MembershipUpdate:
    """Changes to publish: `members` whose entry changed (removed ones have the state 'gone'), and
    `log_messages`, the messages for the log."""

    members: tuple[Member, ...] = ()
    log_messages: tuple[str, ...] = ()


@dataclass(slots=True)
class _TrackedExchange:
    """Times are nanoseconds of the caller's clock."""

    member: Member
    published: Entry
    doubtful_since: int = -1  # -1: not missing from the registry
    flap_count: int = 0
    left_at: int = 0  # when it stopped being ready
    readmit_at: int = 0  # a ready exchange is not published as ready before this


class MembershipTracker:
    """Tracks the exchanges in the registry and returns the changes to publish.

    Times are nanoseconds of the caller's clock. `prefix`: the common prefix of the exchanges' keys.
    `confirmed_at`: when the registry last confirmed the list, -1 for never. `invalid_entries`: for each
    exchange whose entry is invalid, the error.
    """

    REMOVAL_CONFIRMATION_NS = 30 * SECOND
    MAX_EXCHANGES = 10_000
    MIN_MASS_LOSS = 3  # exchanges
    MASS_LOSS_SHARE = 0.5  # of the exchanges that were ready
    MASS_LOSS_WINDOW_NS = 2 * SECOND  # removals within this time count as simultaneous
    FLAP_WINDOW_NS = 60 * SECOND  # a return within this time after leaving is a flap
    FIRST_READMISSION_DELAY_NS, MAX_READMISSION_DELAY_NS = 1 * SECOND, 60 * SECOND

    def __init__(self, prefix: bytes) -> None:
        self.prefix = prefix
        self.confirmed_at = -1
        self.exchanges: dict[str, _TrackedExchange] = {}
        self.invalid_entries: dict[str, str] = {}
        self._recent_removals: list[tuple[int, str]] = []

    def confirm(self, now: int) -> None:
        """Records that the registry confirmed at `now` that nothing has changed."""
        self.confirmed_at = now

    def apply(self, now: int, changes: Iterable[tuple[bytes, bytes | None, int]]) -> MembershipUpdate:
        """Applies changes that arrived together, and returns what to publish.

        Each change is the key, its value (None if deleted) and the revision that created the key.
        """
        log_messages: list[str] = []
        gone: dict[str, None] = {}
        for key, value, created in changes:
            name = key[len(self.prefix) :].decode("ascii", "replace")
            if value is None:
                self.invalid_entries.pop(name, None)
                if name in self.exchanges:
                    gone[name] = None
                continue
            try:
                name, entry = parse_entry(self.prefix, key, value)
            except BadEntry as error:
                if self.invalid_entries.get(name) != str(error):
                    if len(self.invalid_entries) < 1000:  # others are logged each time
                        self.invalid_entries[name] = str(error)
                    kept = "; its last valid entry stays in force" if name in self.exchanges else ""
                    log_messages.append(f"invalid entry ignored: {error}{kept}")
                continue
            if name not in self.exchanges and len(self.exchanges) >= self.MAX_EXCHANGES:
                log_messages.append(
                    f"{name}: ignored, the limit of {self.MAX_EXCHANGES} exchanges is reached"
                )
                continue
            if self.invalid_entries.pop(name, None) is not None:
                log_messages.append(f"{name}: entry is valid again")
            if name in gone:  # deleted and put again within one batch: it left and is present
                del gone[name]
                self._mark_gone(now, self.exchanges[name])
            self._update(now, Member(name, entry, created), log_messages)
        self._remove(now, list(gone), log_messages)
        self.confirmed_at = now
        return self.advance(now, log_messages)

    def _update(self, now: int, member: Member, log_messages: list[str]) -> None:
        exchange = self.exchanges.get(member.name)
        if exchange is None:
            self.exchanges[member.name] = _TrackedExchange(member, Entry(member.entry.number, "gone"))
            return
        was_not_ready = exchange.doubtful_since < 0 and exchange.member.entry.state != "ready"
        if exchange.doubtful_since >= 0:
            log_messages.append(f"{member.name}: listed by the registry again")
            exchange.doubtful_since = -1
        elif was_not_ready and member.entry.state == "ready":
            self._record_return(now, exchange, log_messages)
        elif exchange.member.entry.state == "ready" and member.entry.state != "ready":
            exchange.left_at = now
        exchange.member = member

    def _record_return(self, now: int, exchange: _TrackedExchange, log_messages: list[str]) -> None:
        """Counts a return within `FLAP_WINDOW_NS` as a flap and delays readmission from the second on."""
        if now - exchange.left_at >= self.FLAP_WINDOW_NS:
            exchange.flap_count = 0
            return
        exchange.flap_count += 1
        if exchange.flap_count > 1:
            delay = min(
                self.MAX_READMISSION_DELAY_NS,
                self.FIRST_READMISSION_DELAY_NS << min(exchange.flap_count - 2, 10),
            )
            exchange.readmit_at = now + delay
            log_messages.append(
                f"{exchange.member.name}: flapping, returned {exchange.flap_count} times; "
                f"readmitted in {delay / SECOND:g} s"
            )

    def _remove(self, now: int, gone: list[str], log_messages: list[str]) -> None:
        """Removes the exchanges named in `gone`, or keeps the ready ones as doubtful after a mass loss."""
        self._recent_removals = [
            (removed_at, name)
            for removed_at, name in self._recent_removals
            if removed_at > now - self.MASS_LOSS_WINDOW_NS
        ]
        ready = [name for name in gone if self.exchanges[name].member.entry.state == "ready"]
        now_ready = {
            name for name, exchange in self.exchanges.items() if exchange.member.entry.state == "ready"
        }
        recently_removed = {name for _, name in self._recent_removals}
        lost, total = len(recently_removed.union(ready)), len(recently_removed | now_ready)
        mass_loss = bool(ready) and lost >= self.MIN_MASS_LOSS and lost > self.MASS_LOSS_SHARE * total
        for name in gone:
            exchange = self.exchanges[name]
            if mass_loss and name in ready:
                if exchange.doubtful_since < 0:
                    exchange.doubtful_since = now
            else:
                self._mark_gone(now, exchange)
        self._recent_removals += [(now, name) for name in ready]
        if mass_loss:
            log_messages.append(
                f"the registry lost {lost} of {total} exchanges at once: kept as doubtful "
                f"until confirmed for {self.REMOVAL_CONFIRMATION_NS // SECOND} s"
            )

    def _mark_gone(self, now: int, exchange: _TrackedExchange) -> None:
        if exchange.member.entry.state == "ready":
            exchange.left_at = now
        exchange.doubtful_since = -1
        exchange.member = replace(exchange.member, entry=structs.replace(exchange.member.entry, state="gone"))

    def advance(self, now: int, log_messages: list[str] | None = None) -> MembershipUpdate:
        """Returns the changes to publish at `now`, with removals confirmed and readmissions due by then."""
        changed, log_messages = [], log_messages if log_messages is not None else []
        for exchange in self.exchanges.values():
            if 0 <= exchange.doubtful_since <= now - self.REMOVAL_CONFIRMATION_NS:
                log_messages.append(
                    f"{exchange.member.name}: removed, missing from the registry "
                    f"for {self.REMOVAL_CONFIRMATION_NS // SECOND} s"
                )
                self._mark_gone(now, exchange)
        owners = self._number_owners(log_messages)
        for name, exchange in self.exchanges.items():
            entry = exchange.member.entry
            if entry.state == "ready" and now < exchange.readmit_at and exchange.published.state != "ready":
                entry = structs.replace(entry, state=exchange.published.state)
            elif entry.state == "ready" and owners[entry.number] != name:
                entry = structs.replace(entry, state="draining")
            if entry != exchange.published:
                exchange.published = entry
                changed.append(replace(exchange.member, entry=entry))
        for name in [name for name, exchange in self.exchanges.items() if self._is_expired(now, exchange)]:
            del self.exchanges[name]
        return MembershipUpdate(tuple(changed), tuple(log_messages))

    def _is_expired(self, now: int, exchange: _TrackedExchange) -> bool:
        """Whether a removed exchange can be forgotten: a later return would not be a flap."""
        return exchange.member.entry.state == "gone" and now - exchange.left_at > self.FLAP_WINDOW_NS

    def _number_owners(self, log_messages: list[str]) -> dict[int, str]:
        """Maps each number to the ready exchange with the newest key; of equally new ones, the last name."""
        owners: dict[int, str] = {}
        for name, exchange in self.exchanges.items():
            if exchange.member.entry.state != "ready":
                continue
            other = owners.get(exchange.member.entry.number)
            if other is None or (exchange.member.created, name) > (
                self.exchanges[other].member.created,
                other,
            ):
                owners[exchange.member.entry.number] = name
                loser = other
            else:
                loser = name
            if loser is not None and self.exchanges[loser].published.state == "ready":
                winner = owners[exchange.member.entry.number]
                log_messages.append(
                    f"{loser} and {winner} both claim number {exchange.member.entry.number}: "
                    f"the key of {winner} is newer"
                )
        return owners

    def next_due_at(self) -> int:
        """When `advance` must be called even without a change; -1 if nothing is pending."""
        due_times = [
            exchange.doubtful_since + self.REMOVAL_CONFIRMATION_NS
            for exchange in self.exchanges.values()
            if exchange.doubtful_since >= 0
        ]
        due_times += [
            exchange.readmit_at
            for exchange in self.exchanges.values()
            if exchange.member.entry.state == "ready"
            and exchange.published.state != "ready"
            and exchange.readmit_at
        ]
        return min(due_times, default=-1)
