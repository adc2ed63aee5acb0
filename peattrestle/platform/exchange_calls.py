"""The established calls of each exchange, and which of them are over when it restarts. No I/O and no clock.

Times are integer nanoseconds of the agent's clock, unless a name ends in `_ms`.
"""

from __future__ import annotations

from peattrestle.platform.calls import SipCall
from peattrestle.platform.restarts import ExchangeRestarts


class ExchangeCalls:
    """Established calls, in `by_exchange` by exchange and Call-ID, and the `restarts` of the exchanges.

    The agent started at `agent_started_at`.
    """

    def __init__(self, agent_started_at: int) -> None:
        self.by_exchange: dict[str, dict[str, SipCall]] = {}
        self.restarts = ExchangeRestarts(agent_started_at)

    def add(self, exchange: str, call: SipCall) -> None:
        """Adds a call that stands at the exchange."""
        self.by_exchange.setdefault(exchange, {})[call.request.tag] = call

    def remove(self, exchange: str, call_id: str) -> None:
        """Removes a call that is over; does nothing if it is not held."""
        calls = self.by_exchange.get(exchange, {})
        if calls.pop(call_id, None) is not None and not calls:
            del self.by_exchange[exchange]

    def get(self, exchange: str, call_id: str) -> SipCall | None:
        """Returns the call with this Call-ID that stands at the exchange, None if none does."""
        return self.by_exchange.get(exchange, {}).get(call_id)

    def at(self, exchange: str) -> list[SipCall]:
        """Returns the calls that stand at the exchange."""
        return list(self.by_exchange.get(exchange, {}).values())

    def has_calls_at(self, exchange: str) -> bool:
        """Whether any call stands at the exchange."""
        return exchange in self.by_exchange

    def on_start_told(self, exchange: str, born_ms: int, started_at: int, now: int) -> list[SipCall]:
        """Records a start that the list tells, and returns the calls that the exchange has lost.

        See `ExchangeRestarts.on_start_told`.
        """
        if not self.restarts.on_start_told(exchange, born_ms, started_at, now):
            return []
        return [call for call in self.at(exchange) if self._is_lost(exchange, call)]

    def _is_lost(self, exchange: str, call: SipCall) -> bool:
        route_try = call.answered_try
        return route_try is not None and self.restarts.is_lost(exchange, route_try.latest_set_up)
