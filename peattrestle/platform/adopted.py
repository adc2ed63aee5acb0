"""Calls that callers named as established, kept within a number that connections share fairly.

Nothing shows whether an exchange knows such a call, and only its release ends it. Where the bound is reached,
the connection that named most calls loses one, so that a peer that names calls without end displaces its own
and not those of callers that name the few they have.
"""

from __future__ import annotations

from peattrestle.platform.calls import SipCall
from peattrestle.platform.connections import Caller


class AdoptedCalls:
    """The adopted calls by the connection on which each was named."""

    def __init__(self) -> None:
        self._by_connection: dict[Caller, dict[int, SipCall]] = {}
        self._connection_of: dict[int, Caller] = {}

    def __len__(self) -> int:
        return len(self._connection_of)

    def __contains__(self, call: SipCall) -> bool:
        return call.id in self._connection_of

    def add(self, call: SipCall, connection: Caller) -> None:
        """Adds a call that was named on `connection`."""
        self._by_connection.setdefault(connection, {})[call.id] = call
        self._connection_of[call.id] = connection

    def discard(self, call: SipCall) -> None:
        """Removes a call that is over; does nothing if it was not adopted."""
        connection = self._connection_of.pop(call.id, None)
        if connection is None:
            return
        named_there = self._by_connection[connection]
        del named_there[call.id]
        if not named_there:
            del self._by_connection[connection]

    def call_to_displace(self, connection: Caller) -> SipCall | None:
        """Returns the call that gives way to another one named on `connection`.

        It is the latest one of the connection that named most calls. None if that is `connection` itself, or
        no connection named more than it.
        """
        if not self._by_connection:
            return None
        heaviest = max(self._by_connection, key=lambda other: len(self._by_connection[other]))
        named_there = self._by_connection[heaviest]
        if len(named_there) <= len(self._by_connection.get(connection, ())):
            return None
        return named_there[next(reversed(named_there))]
