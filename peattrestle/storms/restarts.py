"""Pacing of restarts and reconnections: admission at the agent, and the maximum waiting delay of gateways.

The delay follows the restart avalanche procedure of H.248.1 (RFC 3525, section 9.2): a gateway that restarts
waits a random time, uniform between 0 and the maximum waiting delay, before its ServiceChange, and less where
one of its users or the controller asks for something earlier. That text derives the delay of trunk gateways
from the calls they handle; here the agent derives it from the number of gateways it knows, and tells them.
"""

from __future__ import annotations

from collections import OrderedDict

from peattrestle.storms.decaying_statistics import SECOND


def waiting_delay(gateways: int, rate: float) -> int:
    """Maximum waiting delay in nanoseconds for that many gateways at `rate` restarts per second."""
    return round(gateways / rate * SECOND)


class RestartPacer:
    """Admits restarts at `rate` per second, `burst` at once; each of the others gets a time slot of its own.

    At quiet times every restart is admitted at once. Where `max_slots` gateways restart together, the last
    one waits `max_slots` / `rate` seconds; no gateway waits longer, however many there are. A slot once given
    is kept for its gateway, so asking early or repeatedly neither shortens nor lengthens its wait. At most
    `max_slots` slots are kept.
    """

    def __init__(self, rate: float, burst: int, max_slots: int) -> None:
        self.burst, self.max_slots = burst, max_slots
        self.interval = round(SECOND / rate)  # ns between two slots
        self.next_at = -(1 << 62)  # ns, time of the next free slot
        self.slots: OrderedDict[str, int] = OrderedDict()  # ns, by gateway

    def wait_for(self, now: int, gateway: str) -> int:
        """Asks to admit a restart now: 0 if it is admitted, else nanoseconds after which to ask again."""
        slot = self.slots.get(gateway)
        if slot is not None:
            if now >= slot:
                del self.slots[gateway]
                return 0
            return slot - now
        self.next_at = max(self.next_at, now - (self.burst - 1) * self.interval)
        slot = min(self.next_at, now + self.max_slots * self.interval)  # bounded for any number of gateways
        self.next_at = slot + self.interval
        if slot <= now:
            return 0
        while len(self.slots) >= self.max_slots:
            self.slots.popitem(last=False)
        self.slots[gateway] = slot
        return slot - now
