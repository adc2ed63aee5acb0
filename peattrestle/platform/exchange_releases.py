"""Releases to and from exchanges that cannot be processed yet. No I/O and no clock.

`UndeliveredReleases` are owed to exchanges without a connection. `EarlyReleases` came from exchanges for
calls that are not known here; a caller may name such a call later. Times are integer nanoseconds.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass

SECOND = 1_000_000_000  # nanoseconds
EARLY_RELEASE_RETENTION = 60 * SECOND


@dataclass(slots=True, frozen=True)
class ExchangeRelease:
    """The release of a call that is owed to an exchange; `data` is its encoded line."""

    exchange: str
    call_id: str
    data: bytes


class UndeliveredReleases:
    """Releases that wait for a connection, in `queues` by exchange, the oldest first."""

    def __init__(self) -> None:
        self.queues: dict[str, deque[ExchangeRelease]] = {}

    def __len__(self) -> int:
        return sum(map(len, self.queues.values()))

    def add(self, release: ExchangeRelease, limit: int) -> ExchangeRelease | None:
        """Adds a release; at `limit` of them the oldest of the longest queue is dropped and returned."""
        dropped = None
        if len(self) >= limit:
            longest = max(self.queues, key=lambda exchange: len(self.queues[exchange]))
            dropped = self.queues[longest].popleft()
        self.queues.setdefault(release.exchange, deque()).append(release)
        return dropped

    def take(self, exchange: str) -> list[ExchangeRelease]:
        """Removes and returns the releases owed to an exchange."""
        return list(self.queues.pop(exchange, ()))


class EarlyReleases:
    """Releases by exchange and Call-ID with the time at which they came; iterates over these pairs."""

    def __init__(self) -> None:
        self._received_at: OrderedDict[tuple[str, str], int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._received_at)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self._received_at)

    def add(self, exchange: str, call_id: str, now: int, limit: int) -> bool:
        """Adds a release; returns whether the oldest one was dropped, beyond `limit` of them."""
        self._received_at[exchange, call_id] = now
        if len(self._received_at) <= limit:
            return False
        self._received_at.popitem(last=False)
        return True

    def take(self, exchange: str, call_id: str) -> bool:
        """Removes the release of a call; returns whether there was one."""
        return self._received_at.pop((exchange, call_id), None) is not None

    def expire(self, now: int) -> None:
        """Drops releases whose retention time has passed."""
        while self._received_at and next(iter(self._received_at.values())) < now - EARLY_RELEASE_RETENTION:
            self._received_at.popitem(last=False)
