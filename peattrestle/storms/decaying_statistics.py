"""Statistics that decay with a half-life: counters and small histograms. Times are nanoseconds."""

from __future__ import annotations

from bisect import bisect_left

SECOND = 1_000_000_000  # nanoseconds
LN2 = 0.6931471805599453  # natural logarithm of 2


class DecayingCounter:
    """An amount that halves every `half_life` nanoseconds; constant work per event."""

    __slots__ = ("half_life", "amount", "updated_at")

    def __init__(self, half_life: int) -> None:
        self.half_life = half_life
        self.amount, self.updated_at = 0.0, 0

    def add(self, now: int, amount: float = 1.0) -> None:
        """Adds `amount` to what is left of the earlier ones."""
        self.amount = self.value(now) + amount
        self.updated_at = now

    def value(self, now: int) -> float:
        """The decayed amount at `now`."""
        decay: float = 0.5 ** ((now - self.updated_at) / self.half_life)
        return self.amount * decay

    def rate(self, now: int) -> float:
        """Events per second at a steady rate; it follows a change of rate half way within `half_life`."""
        return self.value(now) * LN2 * SECOND / self.half_life


class Histogram:
    """Counts between fixed edges, all halved every `half_life` nanoseconds."""

    __slots__ = ("edges", "half_life", "bins", "next_halving_at")

    def __init__(self, edges: tuple[float, ...], half_life: int) -> None:
        self.edges, self.half_life = edges, half_life
        self.bins = [0.0] * (len(edges) + 1)
        self.next_halving_at = 0

    def add(self, now: int, value: float) -> None:
        """Counts `value` in the first bin whose upper edge is not below it."""
        self._decay(now)
        self.bins[bisect_left(self.edges, value)] += 1

    def format(self, now: int, unit: str = "") -> str:
        """The bins that are not empty, for a log line: '<=0.5s 3, <=1s 12, more 1'."""
        self._decay(now)
        names = [f"<={edge:g}{unit}" for edge in self.edges] + ["more"]
        pairs = zip(names, self.bins, strict=True)
        return ", ".join(f"{name} {weight:.0f}" for name, weight in pairs if weight >= 0.5)

    def _decay(self, now: int) -> None:
        if now >= self.next_halving_at:
            halvings = min(60, 1 + (now - self.next_halving_at) // self.half_life)
            self.bins = [weight / 2**halvings for weight in self.bins]
            self.next_halving_at = now + self.half_life
