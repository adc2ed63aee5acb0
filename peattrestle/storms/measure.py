"""What storms are measured by: amounts that fade by half, and small halved histograms. Nanoseconds."""

from __future__ import annotations

from bisect import bisect_left

SECOND = 1_000_000_000
LN2 = 0.6931471805599453


class Faded:
    """An amount that fades to a half every `half` nanoseconds; constant work for each event."""

    __slots__ = ("half", "amount", "at")

    def __init__(self, half: int) -> None:
        self.half = half
        self.amount, self.at = 0.0, 0

    def add(self, now: int, amount: float = 1.0) -> None:
        self.amount = self.now(now) + amount
        self.at = now

    def now(self, now: int) -> float:
        passed: float = 0.5 ** ((now - self.at) / self.half)
        return self.amount * passed

    def rate(self, now: int) -> float:
        """A second. Of steady events it is their rate; after a change it is half way there in `half`."""
        return self.now(now) * LN2 * SECOND / self.half


class Histogram:
    """Counts between fixed edges, all halved every `half` nanoseconds, so that old ones fade."""

    __slots__ = ("edges", "half", "bins", "halve_at")

    def __init__(self, edges: tuple[float, ...], half: int) -> None:
        self.edges, self.half = edges, half
        self.bins = [0.0] * (len(edges) + 1)
        self.halve_at = 0

    def note(self, now: int, value: float) -> None:
        """`value` falls into the first bin whose edge it does not pass."""
        self._fade(now)
        self.bins[bisect_left(self.edges, value)] += 1

    def text(self, now: int, unit: str = "") -> str:
        """For a log line: '<=0.5s 3, <=1s 12, more 1'."""
        self._fade(now)
        names = [f"<={edge:g}{unit}" for edge in self.edges] + ["more"]
        pairs = zip(names, self.bins, strict=True)
        return ", ".join(f"{name} {weight:.0f}" for name, weight in pairs if weight >= 0.5)

    def _fade(self, now: int) -> None:
        if now >= self.halve_at:
            halvings = min(60, 1 + (now - self.halve_at) // self.half)
            self.bins = [one / 2**halvings for one in self.bins]
            self.halve_at = now + self.half
