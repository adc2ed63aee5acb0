"""Fair shares of what can be carried, and who is let through the door by them.

Shares are max-min fair, weighted by what each gateway usually offers: nobody gets more than it offers, and
what one leaves is divided among the others. Within a gateway's share the dearer calls go first, so that a
gateway full of repeats spends its own share on them only when its first calls have had theirs.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from peattrestle.storms.measure import SECOND, Faded

HALF = SECOND


def max_min(offered: Mapping[str, float], weights: Mapping[str, float], total: float) -> dict[str, float]:
    """Each one's part of `total`; the sum is at most `total`, and all of it where it is wanted."""
    out, left, weight = {}, max(0.0, total), sum(weights[name] for name in offered)
    for name in sorted(offered, key=lambda name: offered[name] / weights[name]):
        out[name] = min(offered[name], left * weights[name] / weight if weight > 0 else left)
        left -= out[name]
        weight -= weights[name]
    return out


@dataclass(slots=True)
class Demand:
    """What one gateway offers, by worth; `worth` has few values: bearer types, in time or late."""

    by_worth: dict[float, Faded] = field(default_factory=dict)
    chances: dict[float, float] = field(default_factory=dict)

    MOST_WORTHS = 16

    def add(self, now: int, worth: float) -> None:
        one = self.by_worth.get(worth)
        if one is None:
            if len(self.by_worth) >= self.MOST_WORTHS:
                return  # its chance is that of no limit: an unknown worth is not held against a call
            one = self.by_worth[worth] = Faded(HALF)
        one.add(now)

    def offered(self, now: int) -> float:
        return sum(one.rate(now) for one in self.by_worth.values())

    def divide(self, now: int, share: float) -> None:
        """The share goes to the dearest first; what is left of it, as a chance, to the next."""
        self.chances, left = {}, share
        for worth in sorted(self.by_worth, reverse=True):
            rate = self.by_worth[worth].rate(now)
            self.chances[worth] = min(1.0, left / rate) if rate > 0 else 1.0
            left = max(0.0, left - rate)


class Door:
    """Holds gateways to their shares while many calls are turned away behind it, and only then.

    A gateway is held for two reasons. All of them together send more than `MOST` times what lately stood at
    best: repeats that nobody can serve, of which the agent is to be spared the most. Or it alone has grown by
    more than the others: then it is held to its weighted share, but never under `ALIKE` times their growth,
    so that a storm that all are in holds none of them harder than the rest.

    Were the evidence false, and calls stood seldom for another cause than load, such as exchanges cut off,
    the total would stay at `MOST` times the best of the last minute, which is more than first calls come to.
    """

    START, END = 0.3, 0.1  # share of the calls let through that are turned away behind the door
    START_AFTER, END_AFTER = SECOND // 2, 2 * SECOND
    MOST = 4.0  # measured: half of it and first calls are held as well while a region is away
    ALIKE = 1.5
    STEP = SECOND // 4
    LEAST = 2.0  # calls a second that are never too many
    BEST_HALF = USUAL_HALF = 30 * SECOND
    MOST_USUAL = 10_000  # gateways whose usual rate is remembered, those away too

    def __init__(self) -> None:
        self.demands: dict[str, Demand] = {}
        self.usual: dict[str, float] = {}  # calls a second of each gateway while none was held
        self.rates: dict[str, float] = {}  # what each is told that it may offer, while any is held
        self.stands, self.let, self.away = Faded(2 * SECOND), Faded(HALF), Faded(HALF)
        self.held = False
        self.turned_away = 0
        self._best, self._best_at = 0.0, 0
        self._passed_at = -1
        self._look_at = 0

    def stood(self, now: int) -> None:
        self.stands.add(now)

    def refused(self, now: int) -> None:
        """By the module, behind the door."""
        self.away.add(now)

    def gone(self, gateway: str) -> None:
        """Its connection has ended: its share is the others' at once."""
        self.demands.pop(gateway, None)
        self.rates.pop(gateway, None)

    def lets(self, now: int, gateway: str, worth: float, chance: float) -> bool:
        """Counts a call of `gateway`, and says whether it goes on to the module."""
        demand = self.demands.get(gateway)
        if demand is None:
            demand = self.demands[gateway] = Demand()
        demand.add(now, worth)
        self.look(now)
        if self.held and chance >= demand.chances.get(worth, 1.0):
            self.turned_away += 1
            return False
        self.let.add(now)
        return True

    def total(self, now: int) -> float:
        """Calls a second above which they are only repeats of each other."""
        self._best *= 0.5 ** ((now - self._best_at) / self.BEST_HALF)
        self._best, self._best_at = max(self._best, self.stands.rate(now)), now
        return max(self.LEAST, self.MOST * self._best)

    def look(self, now: int) -> None:
        """Takes the state and the shares anew, if `STEP` has passed; work by the number of gateways."""
        if now < self._look_at:
            return
        self._look_at = now + self.STEP
        let = self.let.rate(now)
        share = self.away.rate(now) / max(1e-9, let)
        if self.held:
            # Where nobody calls, the share stays what it was: then it is the calls that say that it is over.
            crossed, lasting = share < self.END or let < self.LEAST / 2, self.END_AFTER
        else:
            crossed, lasting = share >= self.START and let >= self.LEAST, self.START_AFTER
        if not crossed:
            self._passed_at = -1
        elif self._passed_at < 0:
            self._passed_at = now
        if self._passed_at >= 0 and now - self._passed_at >= lasting:
            self.held, self._passed_at = not self.held, -1
        offered = {name: one.offered(now) for name, one in self.demands.items()}
        total = self.total(now)
        if self.held:
            self._divide(now, offered, total)
        else:
            self._settle(offered)

    def _settle(self, offered: dict[str, float]) -> None:
        self.rates = {}
        part = 1 - 0.5 ** (self.STEP / self.USUAL_HALF)
        for name, rate in offered.items():
            before = self.usual.get(name, rate)
            self.usual[name] = before + part * (rate - before)
            if rate <= 0.001:  # one that went silent takes no place for ever
                del self.demands[name], self.usual[name]
        if len(self.usual) > self.MOST_USUAL:  # of those that are away nothing is kept any more
            self.usual = {name: self.usual[name] for name in self.demands}

    def _divide(self, now: int, offered: dict[str, float], total: float) -> None:
        self.rates = {}
        known = [self.usual[name] for name in offered if name in self.usual]
        mean = max(0.1, sum(known) / len(known) if known else 0.1)
        weights = {name: max(mean / 2, self.usual.get(name, mean)) for name in offered}
        wide = max_min(offered, weights, total)
        fair = max_min(offered, weights, total * self.ALIKE / self.MOST)
        weight, sum_of_all = sum(weights.values()), sum(offered.values())
        for name, rate in offered.items():
            others = (sum_of_all - rate) / max(1e-9, weight - weights[name])
            alike = self.ALIKE * others * weights[name] if len(offered) > 1 else rate
            share = min(wide[name], max(fair[name], alike))
            self.demands[name].divide(now, share)
            # One that is not singled out is told its part of the whole, and not of what it sends now: told
            # the latter, it would be told less each time.
            part = 0.0 if share < wide[name] else total * weights[name] / weight
            self.rates[name] = max(share, part)

    def notices(self) -> dict[str, float]:
        """The rate that each gateway is to offer; empty while none is held."""
        return self.rates
