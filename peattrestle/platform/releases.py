"""Delivers the releases of established calls to callers (RFC 3261, section 15: a BYE and its 200).

An established call is not bound to a connection. Its release is sent on the connection of its set-up if that
is still open, else on another one that is known to be a caller's (`CallerEvidence.PROVEN`). It stays owed
until a caller confirms it or its retention time has passed, and is sent again when the connection it was
written to is reset, or is closed while the release may still have been in flight.

Without such a connection every connection that has sent a valid set-up is a candidate: it may be a caller's
whose set-ups are refused, or an abusive peer's that ignores or confirms whatever it gets. Candidates get the
release in rounds of doubling size, so that all of them have it within a second, and a caller among the first
costs little. Connections that become candidates later get it as well. Peers that only send invalid messages
are no callers. Times are nanoseconds.
"""

from __future__ import annotations

import itertools
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from peattrestle.calls.core import Counts, Log
from peattrestle.platform.connections import MAX_UNSENT_BYTES, Caller, CallerEvidence
from peattrestle.runtime import Kernel

MS = 1_000_000  # nanoseconds
STATUS_OK = 200
UNDELIVERED_RETENTION = 60_000 * MS  # after the end of a call whose callers have no connection
UNCONFIRMED_RETENTION = 8_000 * MS  # after it was sent
CLOSE_CROSSING_TIME = 250 * MS  # a release written so shortly before an orderly close may not have been read
OWN_CONNECTION_WAIT = 200 * MS  # for a confirmation on the call's own connection, before others get it
ROUND_INTERVAL = 75 * MS  # ten rounds reach 1,023 candidates within 0.7 s
MIN_ROUND_GAP = 35 * MS  # of one release; rounds are common to all releases
MAX_UNREAD_BYTES = MAX_UNSENT_BYTES // 2  # left by a connection that gets releases as a candidate
MAX_WRITES_PER_CONNECTION = 256  # in a round; so many bytes that a peer that reads has them before the next
MAX_WRITES_PER_ROUND = 4_000  # of all releases together, since other work waits meanwhile
MAX_STORED_RELEASES = 8_000  # undelivered and unconfirmed ones together, within the memory limit


@dataclass(slots=True)
class Release:
    """One BYE.

    `owed_since` is when its call ended. `caller` is the connection of its call, or one known to be a
    caller's, that it was last written to; None without one. `sent_at` is when it was last written, 0: never.
    Candidates from the number `next_candidate` on have not got it; the next round has `round_size` of them,
    at `round_at` at the earliest. `confirmed`: a candidate has confirmed it.
    """

    call_id: str
    data: bytes
    owed_since: int
    caller: Caller | None = None
    sent_at: int = 0
    next_candidate: int = 0
    round_size: int = 1
    round_at: int = 0
    confirmed: bool = False


class CallerReleases:
    """Sends releases; `active` are the open connections from callers.

    At most `max_stored()` releases are kept. `undelivered` are those that no connection known to be a
    caller's has got, `unconfirmed` those that were delivered to one, by Call-ID and the oldest one first.
    Every step of a release is counted in `counts`, and logged with the call's id.
    """

    def __init__(
        self,
        kernel: Kernel,
        active: OrderedDict[Caller, None],
        counts: Counts,
        log: Log,
        max_stored: Callable[[], int],
    ) -> None:
        self.kernel, self.active, self.counts, self.log = kernel, active, counts, log
        self.max_stored = max_stored
        self.undelivered: OrderedDict[str, Release] = OrderedDict()
        self.unconfirmed: OrderedDict[str, Release] = OrderedDict()
        self._candidates: dict[int, Caller] = {}  # by number, in ascending order
        self._number_of: dict[Caller, int] = {}
        self._last_number = 0
        self._stalled: dict[Caller, None] = {}  # no candidates while they leave much unread
        self._numbers: list[int] = []  # candidates of the present round
        self._written: dict[int, int] = {}  # releases written to each of them
        self._proven: OrderedDict[Caller, None] = OrderedDict()  # the last one to show it comes last
        self._round_is_scheduled = False

    def send(self, call_id: str, data: bytes, own_connection: Caller | None) -> None:
        """Sends a BYE. `own_connection`: the connection of the call's set-up, if it may still be open."""
        release = Release(call_id, data, self.kernel.now())
        own = own_connection if own_connection in self.active else None
        if own is not None and own.stream.peer_has_closed():
            own = None
        if own is not None and not own.close_reason and own.evidence is not CallerEvidence.PROVEN:
            self._write(release, own)
            self.log("debug", "release sent", reference=call_id)
            release.caller, release.round_at = own, self.kernel.now() + OWN_CONNECTION_WAIT
            self._store(release)
            return
        if own is None or own.close_reason:
            # One that is about to be closed is used if there is no other: its caller still reads.
            own = self._proven_connection() or own
        self._deliver_or_store(release, own)

    def send_again_if_owed(self, call_id: str, caller: Caller) -> bool:
        """Sends a release that is still owed on this connection; False if none is owed for the call."""
        release = self.undelivered.get(call_id) or self.unconfirmed.get(call_id)
        if release is None:
            return False
        if release.caller is not caller and not caller.stream.peer_has_closed():
            self._forget(call_id)
            self._deliver(release, caller)
        return True

    def on_caller_seen(self, caller: Caller) -> None:
        """Handles a valid set-up, or further evidence, on a connection: waiting releases are sent on it."""
        if caller not in self.active or caller.close_reason or caller.stream.peer_has_closed():
            return
        if caller not in self._number_of and caller not in self._stalled:
            self._add_candidate(caller)
        if caller.evidence is CallerEvidence.PROVEN:
            self._proven[caller] = None
            self._proven.move_to_end(caller)
            if self.undelivered:
                self._deliver_undelivered(caller)

    def on_response(self, call_id: str, status: int, caller: Caller) -> None:
        """Handles a response to a BYE.

        Only a connection known to be a caller's, or the one chosen for this release, confirms it. A candidate
        may be a peer that confirms what is not its own, so other candidates get the release all the same,
        also later ones, until its caller must have had it.
        """
        is_proven = caller.evidence is CallerEvidence.PROVEN
        if status != STATUS_OK and not is_proven:
            return
        release = self.undelivered.get(call_id) or self.unconfirmed.get(call_id)
        if release is None:
            return
        if is_proven or release.caller is caller:
            self._forget(call_id)
            self.counts.add("releases_confirmed")
        else:
            release.confirmed = True

    def on_connection_ended(self, caller: Caller) -> None:
        """Handles a closed connection: releases that its caller may not have read are sent on another one."""
        self._proven.pop(caller, None)
        self._stalled.pop(caller, None)
        self._candidates.pop(self._number_of.pop(caller, 0), None)
        read_before = self.kernel.now() - CLOSE_CROSSING_TIME
        written = [release for release in self.unconfirmed.values() if release.caller is caller]
        for release in written:
            was_read = not caller.was_reset and release.sent_at < read_before
            if was_read and caller.evidence is CallerEvidence.PROVEN:
                continue
            self._forget(release.call_id)
            self._deliver_or_store(release, self._proven_connection())

    def expire(self, now: int) -> None:
        """Drops releases that have been owed for too long."""
        for release in list(self.undelivered.values()):
            if release.confirmed and release.owed_since < now - UNCONFIRMED_RETENTION:
                self._forget(release.call_id)
                self.counts.add("releases_confirmed")
            elif release.owed_since < now - UNDELIVERED_RETENTION:
                self._drop(release, "no connection known to be a caller's")
        while self.unconfirmed:
            release = next(iter(self.unconfirmed.values()))
            if release.sent_at >= now - UNCONFIRMED_RETENTION:
                break
            if release.caller is not None and release.caller.evidence is not CallerEvidence.PROVEN:
                self._drop(release, "no caller confirmed it")
            else:
                self._forget(release.call_id)

    # Sending.

    def _proven_connection(self) -> Caller | None:
        """Returns the open connection that was last shown to be a caller's, None without one."""
        for caller in reversed(self._proven):
            if not caller.close_reason and not caller.stream.peer_has_closed():
                return caller
        return None

    def _deliver_or_store(self, release: Release, caller: Caller | None) -> None:
        """Delivers the release to a caller's connection, or keeps it and sends it to the candidates."""
        if caller is not None:
            self._deliver(release, caller)
            return
        release.caller = None
        self.counts.add("releases_waiting")
        self.log("debug", "release waiting", reference=release.call_id, open=len(self.active))
        self._store(release)

    def _store(self, release: Release) -> None:
        self._make_room()
        self.undelivered[release.call_id] = release
        if release.round_at <= self.kernel.now():
            self._send_to_candidates(release)
        if not self._has_all(release):
            self._schedule_round()

    def _deliver(self, release: Release, caller: Caller) -> None:
        """Writes the release to the connection, unless it was, and keeps it until it is confirmed."""
        if release.owed_since < self.kernel.now() - UNDELIVERED_RETENTION:
            self._log_dropped(release, "not confirmed in time")
            return
        number = self._number_of.get(caller, release.next_candidate)
        if release.caller is not caller and number >= release.next_candidate:
            self._write(release, caller)
            self.log("debug", "release sent", reference=release.call_id)
        release.caller = caller
        self._make_room()
        self.unconfirmed[release.call_id] = release

    def _write(self, release: Release, caller: Caller) -> None:
        caller.stream.write(release.data)
        self.counts.add("releases_sent_again" if release.sent_at else "releases_sent")
        release.sent_at = self.kernel.now()

    # Candidates.

    def _schedule_round(self) -> None:
        if not self._round_is_scheduled:
            self._round_is_scheduled = True
            self.kernel.call_at(self.kernel.now() + ROUND_INTERVAL, self._send_round)

    def _send_round(self) -> None:
        """Sends each undelivered release to the next candidates, if its next round is due."""
        self._round_is_scheduled = False
        caller = self._proven_connection()
        if caller is not None:
            self._deliver_undelivered(caller)
            return
        now, writes = self.kernel.now(), 0
        self._begin_round()
        if not self.undelivered:
            return
        for release in list(self.undelivered.values()):
            if now >= release.round_at and writes < MAX_WRITES_PER_ROUND:
                writes += self._send_to_candidates(release)
        if self._stalled or not all(map(self._has_all, self.undelivered.values())):
            self._schedule_round()

    def _begin_round(self) -> None:
        """Lists the candidates: without those that leave much unread, and with those that read on."""
        self._written.clear()
        for number, caller in list(self._candidates.items()):
            if caller.stream.unsent >= MAX_UNREAD_BYTES:
                del self._candidates[number], self._number_of[caller]
                self._stalled[caller] = None
        for caller in [caller for caller in self._stalled if caller.stream.unsent < MAX_UNREAD_BYTES]:
            del self._stalled[caller]
            self._add_candidate(caller)
        self._numbers = list(self._candidates)

    def _add_candidate(self, caller: Caller) -> None:
        """Gives a connection the next number, so that it gets every undelivered release."""
        self._last_number += 1
        self._number_of[caller] = self._last_number
        self._candidates[self._last_number] = caller
        self._numbers.append(self._last_number)
        if self.undelivered:
            self._schedule_round()

    def _deliver_undelivered(self, caller: Caller) -> None:
        """Delivers the waiting releases to a connection known to be a caller's, some at once, some later."""
        for release in list(itertools.islice(self.undelivered.values(), MAX_WRITES_PER_CONNECTION)):
            self._forget(release.call_id)
            self._deliver(release, caller)
        if self.undelivered:
            self._schedule_round()

    def _send_to_candidates(self, release: Release) -> int:
        """Sends a release to its next candidates of this round; returns how many there were."""
        start = bisect_left(self._numbers, release.next_candidate)
        sent = 0
        for number in self._numbers[start : start + release.round_size]:
            if self._written.get(number, 0) >= MAX_WRITES_PER_CONNECTION:
                break  # it has the rest in later rounds
            caller = self._candidates.get(number)
            if caller is not None and caller is not release.caller and not caller.stream.peer_has_closed():
                self._write(release, caller)
            self._written[number] = self._written.get(number, 0) + 1
            release.next_candidate = number + 1
            sent += 1
        if sent:
            release.round_size *= 2
            release.round_at = self.kernel.now() + MIN_ROUND_GAP
            fields = {"reference": release.call_id, "connections": sent}
            self.log("debug", "release sent to candidates", **fields)
        return sent

    def _has_all(self, release: Release) -> bool:
        """Whether all present candidates have got the release."""
        return not self._candidates or release.next_candidate > next(reversed(self._candidates))

    # Dropping.

    def _forget(self, call_id: str) -> None:
        self.undelivered.pop(call_id, None)
        self.unconfirmed.pop(call_id, None)

    def _make_room(self) -> None:
        """Drops the oldest release at the limit: one that was delivered, else one that waits."""
        limit = min(MAX_STORED_RELEASES, self.max_stored())
        if len(self.undelivered) + len(self.unconfirmed) >= limit:
            oldest = next(iter((self.unconfirmed or self.undelivered).values()))
            self._drop(oldest, "too many releases")

    def _drop(self, release: Release, why: str) -> None:
        self._forget(release.call_id)
        self._log_dropped(release, why)

    def _log_dropped(self, release: Release, why: str) -> None:
        self.counts.add("releases_dropped")
        age_ms = (self.kernel.now() - release.owed_since) // MS
        was_sent = bool(release.sent_at)
        self.log(
            "warning", "release dropped", reference=release.call_id, why=why, sent=was_sent, age_ms=age_ms
        )
