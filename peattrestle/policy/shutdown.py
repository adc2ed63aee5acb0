"""What a call agent still takes on after SIGTERM, and by when it has to be done.

The platform may kill the process at a known earliest time. Everything taken has to be answered, and every
connection closed, before that time; so each call's time ends with the shutdown's, and a call that could no
longer be set up in time is refused at once, before anything is sent for it. Times are nanoseconds of the
caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
LONGEST_DEADLINE = 3_000 * MS  # the platform counts a longer one as this
KILL_DELAY = 700 * MS  # from SIGTERM, beyond the longest deadline
CLOSE_BEFORE_KILL = 200 * MS  # set-ups may cross the close for 50 ms, and a busy core delays it
ANSWER_BEFORE_CLOSE = 20 * MS
QUIET = 500 * MS  # without a set-up, before an agent that holds nothing ends early
EARLIEST_END = 1_000 * MS  # new connections and set-ups on them come until 0.6 s after SIGTERM
PAUSE_SHARE = 3  # a refused caller is told to come back after this part of the GoS target


@dataclass(slots=True, frozen=True)
class ShutdownPlan:
    """The times of one shutdown: last answers are due at `answer_by`, connections close at `close_at`."""

    began_at: int
    answer_by: int
    close_at: int

    @classmethod
    def begin(cls, now: int, longest_deadline: int) -> ShutdownPlan:
        """SIGTERM has come. `longest_deadline`: of all bearer types, in nanoseconds."""
        counted = min(longest_deadline, LONGEST_DEADLINE)
        close_at = now + counted + KILL_DELAY - CLOSE_BEFORE_KILL
        return cls(now, close_at - ANSWER_BEFORE_CLOSE, close_at)

    def takes(self, now: int, patience: int, target: int) -> bool:
        """Whether a call that comes now can still be set up within its GoS target."""
        return now + min(patience, target) <= self.answer_by

    def abandon_at(self, asked: int) -> int:
        """The call's abandon time, `asked` where the shutdown lasts longer."""
        return min(asked, self.answer_by)

    def may_end(self, now: int, last_set_up_at: int, held: int) -> bool:
        """Whether nothing is left to wait for. `held`: calls open or standing."""
        if now >= self.close_at:
            return True
        return not held and now >= self.began_at + EARLIEST_END and now >= last_set_up_at + QUIET


def pause(target: int, longest: int, allowed: bool, in_transit: bool) -> int:
    """How long a caller refused in a shutdown is to stay away; 0: no advice. `longest`: by the settings."""
    if not allowed or in_transit:
        return 0
    return min(longest, target // PAUSE_SHARE)
