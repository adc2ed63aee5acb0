"""Admission control for the calls of gateways, by fair shares of the rate that can be carried.

Shares are max-min fair, weighted by the rate that each gateway usually offers: no gateway gets more than it
offers, and what one leaves unused is divided among the others. Within a gateway's share the calls of higher
expected revenue go first, so repeats use a gateway's share only after its first calls.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from peattrestle.storms.decaying_statistics import SECOND, DecayingCounter

HALF_LIFE = SECOND  # ns, of the call rates


def max_min(offered: Mapping[str, float], weights: Mapping[str, float], total: float) -> dict[str, float]:
    """Weighted max-min fair division of `total` among the names in `offered`; no part exceeds the offer.

    The parts add up to `total` or to the sum of what is offered, whichever is less.
    """
    parts, remaining, remaining_weight = {}, max(0.0, total), sum(weights[name] for name in offered)
    for name in sorted(offered, key=lambda name: offered[name] / weights[name]):
        parts[name] = min(
            offered[name], remaining * weights[name] / remaining_weight if remaining_weight > 0 else remaining
        )
        remaining -= parts[name]
        remaining_weight -= weights[name]
    return parts


@dataclass(slots=True)
class Demand:
    """The calls that one gateway offers and the probability that they are admitted, by expected revenue.

    Expected revenue takes few values: for each bearer type one for calls in time, and one for late ones.
    """

    counters: dict[float, DecayingCounter] = field(default_factory=dict)
    admission_probability: dict[float, float] = field(default_factory=dict)

    MAX_REVENUES = 16  # distinct values counted

    def add(self, now: int, revenue: float) -> None:
        """Counts a call of this expected revenue."""
        counter = self.counters.get(revenue)
        if counter is None:
            if len(self.counters) >= self.MAX_REVENUES:
                return  # not counted, so it is admitted without limit
            counter = self.counters[revenue] = DecayingCounter(HALF_LIFE)
        counter.add(now)

    def offered(self, now: int) -> float:
        """Calls per second that the gateway offers."""
        return sum(counter.rate(now) for counter in self.counters.values())

    def set_share(self, now: int, share: float) -> None:
        """Limits the admitted calls to `share` calls per second, those of the highest revenue first.

        Calls of the revenue at which the share is used up are admitted with the probability that remains.
        """
        self.admission_probability, remaining = {}, share
        for revenue in sorted(self.counters, reverse=True):
            rate = self.counters[revenue].rate(now)
            self.admission_probability[revenue] = min(1.0, remaining / rate) if rate > 0 else 1.0
            remaining = max(0.0, remaining - rate)


class GatewayAdmission:
    """Limits gateways to their shares while many of the calls admitted here are refused by the controller.

    A gateway is limited for one of two reasons. Either all gateways together offer more than
    `MAX_OVERLOAD_FACTOR` times the best recent rate of answered calls: these are repeats that cannot be
    served, and most of them are kept away from the agent. Or this gateway's rate has grown more than that of
    the others: then it is limited to its weighted share, but never below `PEER_GROWTH_FACTOR` times their
    growth, so that in a storm of all gateways none is limited more than the rest.

    Where few calls are answered for another reason than load, such as unreachable exchanges, the limit stays
    at `MAX_OVERLOAD_FACTOR` times the best rate of the last minute, which is more than all first calls.
    """

    START_SHARE, END_SHARE = 0.3, 0.1  # fraction of the admitted calls that the controller refuses
    START_AFTER, END_AFTER = SECOND // 2, 2 * SECOND  # ns
    MAX_OVERLOAD_FACTOR = 4.0  # half of this would also limit first calls while a region is unreachable
    PEER_GROWTH_FACTOR = 1.5  # of the growth of the other gateways
    UPDATE_INTERVAL = SECOND // 4  # ns
    MIN_RATE = 2.0  # calls per second that are never limited
    BEST_RATE_HALF_LIFE = USUAL_RATE_HALF_LIFE = 30 * SECOND  # ns
    MAX_USUAL_RATES = 10_000  # gateways whose usual rate is remembered, also while they are disconnected

    def __init__(self) -> None:
        self.demands: dict[str, Demand] = {}
        self.usual_rates: dict[str, float] = {}  # calls per second by gateway, while none was limited
        self.rate_limits: dict[str, float] = {}  # calls per second by gateway, while any is limited
        self.answered, self.admitted, self.refused_calls = (
            DecayingCounter(2 * SECOND),
            DecayingCounter(HALF_LIFE),
            DecayingCounter(HALF_LIFE),
        )
        self.is_limiting = False
        self.refused_here = 0  # calls refused by this admission control
        self._best_rate, self._best_at = 0.0, 0
        self._threshold_passed_at = -1  # ns, since when `is_limiting` is due to change; -1: it is not
        self._next_update_at = 0

    def count_answered(self, now: int) -> None:
        """Counts a call that was answered."""
        self.answered.add(now)

    def count_refused(self, now: int) -> None:
        """Counts a call that was admitted here and refused by the controller."""
        self.refused_calls.add(now)

    def remove_gateway(self, gateway: str) -> None:
        """Forgets a gateway whose connection has ended; its share goes to the others at once."""
        self.demands.pop(gateway, None)
        self.rate_limits.pop(gateway, None)

    def admits(self, now: int, gateway: str, revenue: float, draw: float) -> bool:
        """Counts a call of `gateway` and decides whether to admit it.

        revenue: expected revenue relative to the mean. draw: random number in [0, 1).
        """
        demand = self.demands.get(gateway)
        if demand is None:
            demand = self.demands[gateway] = Demand()
        demand.add(now, revenue)
        self.update(now)
        if self.is_limiting and draw >= demand.admission_probability.get(revenue, 1.0):
            self.refused_here += 1
            return False
        self.admitted.add(now)
        return True

    def max_rate(self, now: int) -> float:
        """Calls per second of all gateways; what is offered above that can only be repeats."""
        self._best_rate *= 0.5 ** ((now - self._best_at) / self.BEST_RATE_HALF_LIFE)
        self._best_rate, self._best_at = max(self._best_rate, self.answered.rate(now)), now
        return max(self.MIN_RATE, self.MAX_OVERLOAD_FACTOR * self._best_rate)

    def update(self, now: int) -> None:
        """Starts or ends the limits and divides the shares anew, at most once per `UPDATE_INTERVAL`.

        The work grows with the number of gateways.
        """
        if now < self._next_update_at:
            return
        self._next_update_at = now + self.UPDATE_INTERVAL
        admitted = self.admitted.rate(now)
        refused_share = self.refused_calls.rate(now) / max(1e-9, admitted)
        if self.is_limiting:
            # Without calls this share does not change, so a low rate of calls ends the limits as well.
            past_threshold, min_duration = (
                refused_share < self.END_SHARE or admitted < self.MIN_RATE / 2,
                self.END_AFTER,
            )
        else:
            past_threshold, min_duration = (
                refused_share >= self.START_SHARE and admitted >= self.MIN_RATE,
                self.START_AFTER,
            )
        if not past_threshold:
            self._threshold_passed_at = -1
        elif self._threshold_passed_at < 0:
            self._threshold_passed_at = now
        if self._threshold_passed_at >= 0 and now - self._threshold_passed_at >= min_duration:
            self.is_limiting, self._threshold_passed_at = not self.is_limiting, -1
        offered = {name: demand.offered(now) for name, demand in self.demands.items()}
        max_rate = self.max_rate(now)
        if self.is_limiting:
            self._divide(now, offered, max_rate)
        else:
            self._learn_usual_rates(offered)

    def _learn_usual_rates(self, offered: dict[str, float]) -> None:
        self.rate_limits = {}
        weight = 1 - 0.5 ** (self.UPDATE_INTERVAL / self.USUAL_RATE_HALF_LIFE)
        for name, rate in offered.items():
            previous = self.usual_rates.get(name, rate)
            self.usual_rates[name] = previous + weight * (rate - previous)
            if rate <= 0.001:  # a silent gateway is forgotten
                del self.demands[name], self.usual_rates[name]
        if len(self.usual_rates) > self.MAX_USUAL_RATES:  # forgets the disconnected ones
            self.usual_rates = {name: self.usual_rates[name] for name in self.demands}

    def _divide(self, now: int, offered: dict[str, float], max_rate: float) -> None:
        self.rate_limits = {}
        known_rates = [self.usual_rates[name] for name in offered if name in self.usual_rates]
        mean_rate = max(0.1, sum(known_rates) / len(known_rates) if known_rates else 0.1)
        weights = {name: max(mean_rate / 2, self.usual_rates.get(name, mean_rate)) for name in offered}
        shares = max_min(offered, weights, max_rate)
        min_shares = max_min(offered, weights, max_rate * self.PEER_GROWTH_FACTOR / self.MAX_OVERLOAD_FACTOR)
        total_weight, total_offered = sum(weights.values()), sum(offered.values())
        for name, rate in offered.items():
            others_growth = (total_offered - rate) / max(1e-9, total_weight - weights[name])
            growth_share = (
                self.PEER_GROWTH_FACTOR * others_growth * weights[name] if len(offered) > 1 else rate
            )
            share = min(shares[name], max(min_shares[name], growth_share))
            self.demands[name].set_share(now, share)
            # A gateway that only the total limits is told its weighted part of the total. If its limit were
            # computed from what it offers now, it would shrink with each notice that the gateway obeys.
            part_of_total = 0.0 if share < shares[name] else max_rate * weights[name] / total_weight
            self.rate_limits[name] = max(share, part_of_total)

    def limits_to_announce(self) -> dict[str, float]:
        """Rate in calls per second that each gateway may offer; empty while none is limited."""
        return self.rate_limits
