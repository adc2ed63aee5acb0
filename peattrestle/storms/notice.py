"""Notices to gateways of the rate they may offer, each with a lifetime.

In the manner of RFC 7339 (overload control: a value, a validity, a sequence number, lifted by a validity of
nothing) and RFC 7415 (the value is a rate, kept to by a leaky bucket at the sender). A notice is renewed at
half its lifetime; one that is not renewed, because its agent has died, ends by itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from peattrestle.storms.measure import SECOND


@dataclass(slots=True, frozen=True)
class Notice:
    """What a gateway may offer: `rate` calls a second for `lifetime` nanoseconds; a lifetime of 0 lifts it.
    Of two notices the one with the higher `number` holds."""

    rate: float
    lifetime: int
    number: int


@dataclass(slots=True)
class _Told:
    rate: float
    until: int
    renew_at: int


class Notices:
    """What each gateway has been told. `look` says what to tell now: a notice at most each `STEP` for each
    gateway, and none at all where there never was a reason for one."""

    LIFETIME = 2 * SECOND
    STEP = SECOND // 2
    CHANGE = 0.2  # a rate that changed by less is not told before it must be renewed

    def __init__(self, first: int = 1) -> None:
        self.number = first
        self.told: dict[str, _Told] = {}

    def look(self, now: int, shares: dict[str, float]) -> dict[str, Notice]:
        """`shares`: the rate of each gateway that is to be held now; all others are free."""
        out = {}
        for gateway, rate in shares.items():
            before = self.told.get(gateway)
            if before is not None:
                changed = abs(rate - before.rate) > self.CHANGE * before.rate
                soon = before.renew_at - self.LIFETIME // 2 + self.STEP
                if now < (soon if changed else before.renew_at):
                    continue
            self.told[gateway] = _Told(rate, now + self.LIFETIME, now + self.LIFETIME // 2)
            out[gateway] = self._next(rate, self.LIFETIME)
        for gateway in [one for one in self.told if one not in shares]:
            if self.told.pop(gateway).until > now:
                out[gateway] = self._next(0.0, 0)
        return out

    def gone(self, gateway: str) -> None:
        """Its connection has ended, and with it every notice."""
        self.told.pop(gateway, None)

    def _next(self, rate: float, lifetime: int) -> Notice:
        self.number += 1
        return Notice(rate, lifetime, self.number)
