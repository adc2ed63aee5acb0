"""Whether a storm is on, of which kind, since when, how large, and by what evidence.

Three kinds, each with a share at which it starts, a lower one at which it ends, and how long each must last:

- retry: further tries outnumber first ones. A surge of first calls, however high, is none, unless so many
  are turned away that the share of repeats tips: with a caller's two redials that takes six in ten.
- return: calls that were cut come again.
- reconnect: many of the gateways known make a connection at once.

Work for each event is constant, whatever the number of gateways, calls and exchanges.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from peattrestle.storms.measure import SECOND, Faded, Histogram
from peattrestle.storms.sight import FIRST, FURTHER, Seen

RETRY, RETURN, RECONNECT = "retry", "return", "reconnect"
HALF = SECOND  # rates fade by half in this: a storm is seen within a second or two


@dataclass(slots=True, frozen=True)
class Marks:
    """When a kind starts and ends. `least`: events a second below which nothing is a storm."""

    start: float
    end: float
    least: float
    start_after: int
    end_after: int


MARKS = {
    RETRY: Marks(0.5, 0.25, 3.0, SECOND // 2, 2 * SECOND),
    RETURN: Marks(0.3, 0.1, 3.0, 0, 2 * SECOND),
    RECONNECT: Marks(0.3, 0.05, 2.0, 0, 2 * SECOND),
}


@dataclass(slots=True)
class Storm:
    """`size`: events of its kind so far; `peak`: most of them a second."""

    kind: str
    started_at: int
    evidence: str
    size: int = 0
    peak: float = 0.0
    ended_at: int = 0


@dataclass(slots=True)
class _Level:
    storm: Storm | None = None
    passed_at: int = -1  # since when the share has been past the mark that would change the state


class Watch:
    """Told of every call and connection; asked by `look`, at any pace."""

    def __init__(self) -> None:
        self.first, self.further = Faded(HALF), Faded(HALF)
        self.returned, self.connects = Faded(HALF), Faded(HALF)
        self.tries = Histogram((1, 2, 3, 5, 8), 4 * SECOND)  # which try of its caller a call was
        self.kept = Histogram((0.5, 0.9, 1.1, 2.0), 4 * SECOND)  # when callers came, in shares of the advice
        self.away = Histogram((0.1, 0.5, 2.0, 10.0), 4 * SECOND)  # seconds a gateway was gone
        self.back = Histogram((0.5, 1.0, 2.0, 5.0), 4 * SECOND)  # seconds from a cut to a return
        self._cuts: OrderedDict[str, int] = OrderedDict()
        self.gateways = 0
        self.levels = {kind: _Level() for kind in MARKS}

    MOST_CUTS = 1000

    def cut(self, now: int, gateway: str) -> None:
        """A standing call of this gateway was cut. The gateway whose last cut is longest ago is forgotten."""
        self._cuts[gateway] = now
        self._cuts.move_to_end(gateway)
        if len(self._cuts) > self.MOST_CUTS:
            self._cuts.popitem(last=False)

    def call(self, now: int, seen: Seen, gateway: str = "") -> None:
        if seen.kind == FIRST:
            self.first.add(now)
        elif seen.kind == FURTHER:
            self.further.add(now)
            self._count(RETRY)
            if seen.due_at and seen.first_at >= 0:
                told = max(1, seen.due_at - seen.told_at)
                self.kept.note(now, (now - seen.told_at) / told)
        else:
            self.returned.add(now)
            self._count(RETURN)
            if gateway in self._cuts:
                self.back.note(now, (now - self._cuts[gateway]) / SECOND)
        self.tries.note(now, seen.tries)

    def connected(self, now: int, gateways: int, away: int) -> None:
        """A gateway made a connection. `gateways`: known now; `away`: since its last one ended, -1: new."""
        self.gateways = gateways
        self.connects.add(now)
        self._count(RECONNECT)
        if away >= 0:
            self.away.note(now, away / SECOND)

    def _count(self, kind: str) -> None:
        storm = self.levels[kind].storm
        if storm is not None:
            storm.size += 1

    def offered(self, now: int) -> float:
        """Calls a second, first and further."""
        return self.first.rate(now) + self.further.rate(now) + self.returned.rate(now)

    def without(self, now: int) -> float:
        """Calls a second that there would be without repeats."""
        return self.first.rate(now) + self.returned.rate(now)

    def share(self, now: int, kind: str) -> tuple[float, float]:
        """Share and events a second of a kind."""
        if kind == RECONNECT:
            rate = self.connects.rate(now)
            # Seen over two half-lives: all of them at once must read as all of them.
            return rate / max(1, self.gateways) / 0.7, rate
        rate = (self.further if kind == RETRY else self.returned).rate(now)
        return rate / max(1e-9, self.offered(now)), rate

    def look(self, now: int) -> list[Storm]:
        """Storms that have just begun (`ended_at` 0) or ended."""
        news = []
        for kind, level in self.levels.items():
            marks, (share, rate) = MARKS[kind], self.share(now, kind)
            if level.storm is None:
                crossed, lasting = share >= marks.start and rate >= marks.least, marks.start_after
            else:
                level.storm.peak = max(level.storm.peak, rate)
                crossed, lasting = share < marks.end or rate < marks.least / 2, marks.end_after
            if not crossed:
                level.passed_at = -1
                continue
            if level.passed_at < 0:
                level.passed_at = now
            if now - level.passed_at < lasting:
                continue
            level.passed_at = -1
            if level.storm is None:
                level.storm = Storm(kind, now, self.evidence(now, kind), peak=rate)
                news.append(level.storm)
            else:
                level.storm.ended_at = now
                news.append(level.storm)
                level.storm = None
        return news

    def evidence(self, now: int, kind: str) -> str:
        share, rate = self.share(now, kind)
        if kind == RECONNECT:
            gone = self.away.text(now, " s")
            return f"{rate:.1f} connections a second from {self.gateways} known gateways; gone {gone or '-'}"
        what = "further tries" if kind == RETRY else "cut calls again"
        return (
            f"{share:.0%} of {self.offered(now):.1f} calls a second are {what}, "
            f"{self.without(now):.1f} without repeats; tries {self.tries.text(now)}; "
            f"came at {self.kept.text(now) or '-'} of the time told, "
            f"after cuts {self.back.text(now, ' s') or '-'}"
        )
