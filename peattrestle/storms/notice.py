"""Notices that tell gateways the rate at which they may offer calls, each with a lifetime.

They follow RFC 7339 (overload control: a value, its validity and a sequence number; a validity of 0 ends the
control) and RFC 7415 (the value is a rate, enforced by a leaky bucket at the sender). A notice is renewed at
half its lifetime; one that is not renewed, because its agent has failed, expires by itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from peattrestle.storms.decaying_statistics import SECOND


@dataclass(slots=True, frozen=True)
class Notice:
    """A limit on what a gateway may offer: `rate` calls per second for `lifetime` nanoseconds.

    A lifetime of 0 lifts the limit. Of two notices the one with the higher `number` applies.
    """

    rate: float
    lifetime: int
    number: int


@dataclass(slots=True)
class _SentNotice:
    rate: float
    until: int
    renew_at: int


class Notices:
    """Decides which notices to send; the first one gets the number `first` + 1.

    A gateway gets at most one notice per `MIN_CHANGE_INTERVAL`, and none at all if it was never limited.
    """

    LIFETIME = 2 * SECOND  # ns
    MIN_CHANGE_INTERVAL = SECOND // 2  # ns
    MIN_CHANGE = 0.2  # fraction; a rate that changed by less is not sent before the renewal

    def __init__(self, first: int = 1) -> None:
        self.number = first
        self.sent: dict[str, _SentNotice] = {}

    def due_notices(self, now: int, shares: dict[str, float]) -> dict[str, Notice]:
        """The notices to send now, by gateway.

        `shares`: rate in calls per second of each gateway that is limited now; all others are not limited.
        """
        due = {}
        for gateway, rate in shares.items():
            last = self.sent.get(gateway)
            if last is not None:
                changed = abs(rate - last.rate) > self.MIN_CHANGE * last.rate
                next_change_at = last.renew_at - self.LIFETIME // 2 + self.MIN_CHANGE_INTERVAL
                if now < (next_change_at if changed else last.renew_at):
                    continue
            self.sent[gateway] = _SentNotice(rate, now + self.LIFETIME, now + self.LIFETIME // 2)
            due[gateway] = self._next_notice(rate, self.LIFETIME)
        for gateway in [name for name in self.sent if name not in shares]:
            if self.sent.pop(gateway).until > now:
                due[gateway] = self._next_notice(0.0, 0)
        return due

    def remove_gateway(self, gateway: str) -> None:
        """Forgets the notices of a gateway whose connection has ended; they ended with it."""
        self.sent.pop(gateway, None)

    def _next_notice(self, rate: float, lifetime: int) -> Notice:
        self.number += 1
        return Notice(rate, lifetime, self.number)
