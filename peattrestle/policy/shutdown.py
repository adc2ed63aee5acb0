"""Deadlines of a graceful shutdown, and which calls are still accepted after SIGTERM.

The platform may kill the process from a known time on. By then every accepted call must be answered and every
connection closed. So calls are abandoned at the latest when the last answers are due, and a call that can no
longer be set up in time is refused at once, before anything is sent for it. Times are nanoseconds on the
clock that `now` is read from.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000  # nanoseconds

# All in nanoseconds.
MAX_COUNTED_DEADLINE = 3_000 * MS  # the platform counts a longer deadline as this
KILL_DELAY = 700 * MS  # from SIGTERM to the earliest kill, beyond the longest deadline
CLOSE_MARGIN = 200 * MS  # before the kill: set-ups may cross the close for 50 ms, and a busy core delays it
ANSWER_BEFORE_CLOSE = 20 * MS  # from the last answers to the close
QUIET_TIME = 500 * MS  # without a set-up, before an agent without calls ends early
MIN_SHUTDOWN_TIME = 1_000 * MS  # new connections and set-ups on them arrive until 0.6 s after SIGTERM

RETRY_DELAY_DIVISOR = 3  # a refused caller is advised to retry after a third of the GoS target


@dataclass(slots=True, frozen=True)
class ShutdownPlan:
    """The times of one shutdown: last answers are due at `answer_by`, connections close at `close_at`."""

    began_at: int
    answer_by: int
    close_at: int

    @classmethod
    def begin(cls, now: int, longest_deadline: int) -> ShutdownPlan:
        """Plans the shutdown when SIGTERM arrives; `longest_deadline`: of all bearer types, in ns."""
        counted = min(longest_deadline, MAX_COUNTED_DEADLINE)
        close_at = now + counted + KILL_DELAY - CLOSE_MARGIN
        return cls(now, close_at - ANSWER_BEFORE_CLOSE, close_at)

    def accepts(self, now: int, patience: int, target: int) -> bool:
        """Whether a call that arrives now can still be set up within its GoS target, `target`."""
        return now + min(patience, target) <= self.answer_by

    def abandon_at(self, requested: int) -> int:
        """The abandon time of a call: `requested`, but no later than the last answers are due."""
        return min(requested, self.answer_by)

    def can_end(self, now: int, last_set_up_at: int, open_calls: int) -> bool:
        """Whether the shutdown may end now; `open_calls`: calls that are being set up or in progress."""
        if now >= self.close_at:
            return True
        return (
            not open_calls and now >= self.began_at + MIN_SHUTDOWN_TIME and now >= last_set_up_at + QUIET_TIME
        )


def retry_delay(target: int, longest: int, allowed: bool, in_transit: bool) -> int:
    """Nanoseconds after which a caller refused during a shutdown should retry; 0: no advice.

    target: the call's GoS target. longest: upper limit from the settings. allowed: whether the settings allow
    such advice at all; a call in transit gets none.
    """
    if not allowed or in_transit:
        return 0
    return min(longest, target // RETRY_DELAY_DIVISOR)
