"""Decides which established calls an exchange lost when its process restarted. No I/O and no clock.

A restart ends the calls that were set up before it. The exchange list tells of it, late; the end of the old
process may show on its connections before that. When a call was set up is known exactly only if this run of
the agent did it. For a call that a caller names, there is only a latest time:

- A call that is named within `RETURN_TIME` of the agent's start is taken for one of an earlier run, whose
  callers have come back: it was set up before this run started.
- A call that is named later was set up through another agent, at any time until it was named.

A start that precedes the agent's own one does not tell whether an earlier run was still there to end the
calls. It counts as unknown to that run if the list told of it only after the agent's start, or if it came
within `UNHEARD_START_AGE` before that. Then it ends all calls of the earlier run.

Times are integer nanoseconds of the agent's clock, unless a name ends in `_ms`.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000  # nanoseconds
RETURN_TIME = 8_000 * MS  # a call that ended earlier cannot be released within the time limit any more
UNHEARD_START_AGE = 2_000 * MS  # time to tell of a start, and to start a killed agent again


@dataclass(slots=True)
class _Restarts:
    """What is known of one exchange.

    `born_ms` is its latest start in Unix milliseconds, as the list tells it, 0 for long ago. Calls that were
    set up before `lost_before` are over.
    """

    born_ms: int = 0
    lost_before: int = 0


class ExchangeRestarts:
    """The known restarts of each exchange, for an agent that started at `agent_started_at`."""

    def __init__(self, agent_started_at: int) -> None:
        self.agent_started_at = agent_started_at
        self._known_starts_applied = False
        self._exchanges: dict[str, _Restarts] = {}

    def latest_set_up(self, named_at: int) -> int:
        """Returns the latest time at which a call was set up that is first named at `named_at`."""
        if named_at < self.agent_started_at + RETURN_TIME:
            return self.agent_started_at - 1
        return named_at

    def on_known_starts_applied(self) -> None:
        """Notes that the list tells only changes from now on that came after the agent's start."""
        self._known_starts_applied = True

    def on_start_told(self, exchange: str, born_ms: int, started_at: int, now: int) -> bool:
        """Records a start that the list tells; returns False if none or no later one than before.

        `started_at` is the time of `born_ms` on the agent's clock.
        """
        restarts = self._exchanges.setdefault(exchange, _Restarts())
        if born_ms <= restarts.born_ms:
            return False
        restarts.born_ms = born_ms
        lost_before = min(started_at, now)  # the clocks may differ, but nothing starts in the future
        is_recent = started_at >= self.agent_started_at - UNHEARD_START_AGE
        if self._known_starts_applied or is_recent:
            lost_before = max(lost_before, self.agent_started_at)
        restarts.lost_before = max(restarts.lost_before, lost_before)
        return True

    def on_process_gone(self, exchange: str, now: int) -> None:
        """Records that the exchange's process has ended, with all calls that were set up before `now`."""
        restarts = self._exchanges.setdefault(exchange, _Restarts())
        restarts.lost_before = max(restarts.lost_before, now)

    def is_lost(self, exchange: str, latest_set_up: int) -> bool:
        """Whether a call that was set up at `latest_set_up` or before was lost by its exchange."""
        restarts = self._exchanges.get(exchange)
        return restarts is not None and latest_set_up < restarts.lost_before

    def forget(self, exchange: str) -> None:
        """Drops what is known of an exchange that has no calls and has left the list."""
        self._exchanges.pop(exchange, None)
