"""The five rules, once more, right in front of the socket.

The module keeps the rules by its own books; this keeps books of its own and refuses what would break one. A
refusal is a fault of the module: it is counted and logged, never silent. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LATE_ANSWER = "rule 1: a final answer after the abandon time"


@dataclass(slots=True)
class Held:
    """What the rules ask about one call."""

    abandon_at: int
    out: str = ""
    release_at: int = 0
    answered: bool = False


@dataclass(slots=True)
class Told:
    """What the list said of one exchange, and since when it is not ready."""

    leaving_at: int | None = None
    cold_until: int = 0
    sent: list[int] = field(default_factory=list)


class Guard:
    """`own_share`: set-ups that an exchange like the own one carries in a nanosecond, for rule 4.

    Rule 4 counts all agents, and an agent sees only itself: what is refused here is what one agent alone
    would push an exchange over with, were it as able as a warm one.
    """

    def __init__(
        self, drain_grace: int, release_time: int, fall_time: int, fall_multiple: float, cold_time: int
    ) -> None:
        self.drain_grace, self.release_time = drain_grace, release_time
        self.fall_time, self.fall_multiple, self.cold_time = fall_time, fall_multiple, cold_time
        self.carried = 0.0  # set-ups a nanosecond of an exchange like the own one; 0: not known
        self.calls: dict[int, Held] = {}
        self.exchanges: dict[str, Told] = {}
        self.refusals: dict[str, int] = {}

    def _refuse(self, rule: str) -> str:
        self.refusals[rule] = self.refusals.get(rule, 0) + 1
        return rule

    def told(self, now: int, exchange: str, state: str, started_at: int) -> None:
        one = self.exchanges.setdefault(exchange, Told())
        if state == "ready":
            one.leaving_at = None
        elif one.leaving_at is None:
            one.leaving_at = now
        if started_at:
            one.cold_until = max(one.cold_until, started_at + self.cold_time)

    def arrived(self, call: int, abandon_at: int) -> None:
        self.calls[call] = Held(abandon_at)

    def set_up(self, now: int, call: int, exchange: str) -> str:
        """'' and the try counts as out; or the rule that it would break."""
        held, told = self.calls.get(call), self.exchanges.get(exchange)
        if held is None or held.answered:
            return self._refuse("rule 1: a send for a call that has its final answer")
        if now >= held.abandon_at:
            return self._refuse("rule 1: a send after the abandon time")
        if held.out:
            return self._refuse("rule 2: a second route try")
        if told is None or told.leaving_at is not None and now > told.leaving_at + self.drain_grace:
            return self._refuse("rule 3: a set-up to an exchange that is draining, gone or not listed")
        if now < held.release_at:
            return self._refuse("rule 5: a send within the release time")
        if now < told.cold_until and self.carried:
            told.sent = [at for at in told.sent if at > now - self.fall_time]
            if len(told.sent) + 1 > max(4.0, self.fall_multiple * self.carried * self.fall_time):
                return self._refuse("rule 4: more set-ups to a cold exchange than a warm one stands")
            told.sent.append(now)
        held.out = exchange
        return ""

    def try_ended(self, now: int, call: int, cut_off: bool) -> None:
        """`cut_off`: it timed out, was reset or was cancelled."""
        held = self.calls.get(call)
        if held is not None:
            held.out = ""
            if cut_off:
                held.release_at = max(held.release_at, now + self.release_time)

    def answer(self, now: int, call: int) -> str:
        """'' and the call counts as answered; or the rule that the answer would break."""
        held = self.calls.get(call)
        if held is None or held.answered:
            return self._refuse("rule 1: a second final answer")
        if now > held.abandon_at:
            held.answered = True  # nothing may be sent for it any more
            return self._refuse(LATE_ANSWER)
        held.answered = True
        return ""

    def over(self, call: int) -> None:
        self.calls.pop(call, None)
