"""Restarts and reconnections paced: the gate of whoever is restarted to, the wait of whoever restarts.

Source of the wait: the restart avalanche procedure of H.248.1 (RFC 3525, section 9.2): whoever restarts waits
a time drawn evenly from nothing to the maximum waiting delay before its ServiceChange, and no longer where
its own users ask for something or the controller does. The same text sizes the delay for trunk gateways by
what they handle; here the gate tells it, from the number of gateways that it knows.
"""

from __future__ import annotations

from collections import OrderedDict

from peattrestle.storms.measure import SECOND


def waiting_delay(gateways: int, rate: float) -> int:
    """Maximum waiting delay in nanoseconds for that many gateways at `rate` restarts a second."""
    return round(gateways / rate * SECOND)


class Gate:
    """Lets restarts through at `rate` a second, `burst` at once; the others each get a slot of their own.

    At quiet times each comes straight through. Were the evidence false, and all the restarts wanted at once,
    the last of `most` gateways would wait `most` / `rate` seconds and no longer: a slot once given is kept
    for its gateway, so that coming early, or again and again, gains nothing and costs it nothing.
    """

    def __init__(self, rate: float, burst: int, most: int) -> None:
        self.burst, self.most = burst, most
        self.each = round(SECOND / rate)
        self.next_at = -(1 << 62)
        self.slots: OrderedDict[str, int] = OrderedDict()

    def comes(self, now: int, gateway: str) -> int:
        """0: go on; else nanoseconds after which to come again."""
        slot = self.slots.get(gateway)
        if slot is not None:
            if now >= slot:
                del self.slots[gateway]
                return 0
            return slot - now
        self.next_at = max(self.next_at, now - (self.burst - 1) * self.each)
        slot = min(self.next_at, now + self.most * self.each)  # names without end push it no further
        self.next_at = slot + self.each
        if slot <= now:
            return 0
        while len(self.slots) >= self.most:
            self.slots.popitem(last=False)
        self.slots[gateway] = slot
        return slot - now
