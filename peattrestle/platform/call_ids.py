"""Remembers the Call-IDs of calls that were set up and are over, so that none is set up twice.

A Call-ID names one set-up for good (RFC 3261, section 8.1.1.4); a retry bears a new one. The same one may
come again from a client that left while its first request was on its way, or that ignores the rule. Its first
set-up may then still be out at an exchange. Times are nanoseconds.
"""

from __future__ import annotations

from collections import OrderedDict

SECOND = 1_000_000_000  # nanoseconds
RETENTION = 60 * SECOND


class RecentCallIds:
    """Call-IDs by the time at which their call ended, the oldest first."""

    def __init__(self) -> None:
        self._ended_at: OrderedDict[bytes, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._ended_at)

    def __contains__(self, call_id: str) -> bool:
        return bytes.fromhex(call_id) in self._ended_at

    def add(self, call_id: str, now: int, limit: int) -> None:
        """Remembers a Call-ID of hexadecimal digits; beyond `limit` of them the oldest is forgotten."""
        key = bytes.fromhex(call_id)
        self._ended_at[key] = now
        self._ended_at.move_to_end(key)
        while len(self._ended_at) > limit:
            self._ended_at.popitem(last=False)

    def expire(self, now: int) -> None:
        """Forgets those whose retention time has passed."""
        while self._ended_at and next(iter(self._ended_at.values())) < now - RETENTION:
            self._ended_at.popitem(last=False)
