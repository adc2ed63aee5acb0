"""Releases of calls that stood, on their way to callers (RFC 3261, 15: a BYE and its 200).

A standing call belongs to no connection. Its release goes out on its own connection, else on the last one on
which a call stood, else on the next such one: who only sends what can't be used is no way to the callers. One
written to a connection that is then reset may have been lost with it, and is sent once more elsewhere.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from peattrestle.platform.connections import Caller
from peattrestle.runtime import Kernel

MS = 1_000_000
OWED_FOR = 8_000 * MS  # the platform's bound for a release that could not be sent
UNCONFIRMED_FOR = 1_000 * MS
MOST_OWED = 2_000


@dataclass(slots=True)
class Release:
    """One BYE. `caller`: the connection it was written to last, and `at` when; None while it is owed."""

    call_id: str
    data: bytes
    at: int
    caller: Caller | None = None


class CallerReleases:
    """Sends releases; `held` are the callers' connections in use."""

    def __init__(self, kernel: Kernel, held: OrderedDict[Caller, None]) -> None:
        self.kernel, self.held = kernel, held
        self.latest: Caller | None = None  # on which a call stood
        self.owed: deque[Release] = deque(maxlen=MOST_OWED)
        self.unconfirmed: OrderedDict[str, Release] = OrderedDict()

    def send(self, call_id: str, data: bytes, own: Caller | None) -> None:
        """`own`: the connection of the call's set-up."""
        self._write(Release(call_id, data, self.kernel.now()), own)

    def _write(self, release: Release, own: Caller | None) -> None:
        caller = own if own in self.held else self.latest
        if caller is None:
            self.owed.append(release)
            return
        caller.stream.write(release.data)
        release.caller, release.at = caller, self.kernel.now()
        self.unconfirmed[release.call_id] = release
        if len(self.unconfirmed) > MOST_OWED:
            self.unconfirmed.popitem(last=False)

    def stood_on(self, caller: Caller) -> None:
        """A call stands on this connection: what is owed goes out there."""
        if caller not in self.held:
            return
        self.latest = caller
        while self.owed:
            self._write(self.owed.popleft(), caller)

    def confirmed(self, call_id: str) -> None:
        self.unconfirmed.pop(call_id, None)

    def connection_ended(self, caller: Caller) -> None:
        """To be called when a connection is no longer held."""
        if self.latest is caller:
            self.latest = None
        written = [one for one in self.unconfirmed.values() if one.caller is caller]
        for release in written:
            del self.unconfirmed[release.call_id]
            if caller.was_reset:
                release.caller = None
                self._write(release, None)

    def expire(self, now: int) -> None:
        """Forgets what was owed or unconfirmed for too long."""
        while self.owed and self.owed[0].at < now - OWED_FOR:
            self.owed.popleft()
        while self.unconfirmed and next(iter(self.unconfirmed.values())).at < now - UNCONFIRMED_FOR:
            self.unconfirmed.popitem(last=False)
