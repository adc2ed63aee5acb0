"""Detection of storms of repeated calls and connections: kind, start, end, size and evidence.

Each of the three kinds starts when its share passes a threshold for a minimum time, and ends when the share
stays below a lower threshold for a minimum time:

- retry: further tries outnumber first ones. A surge of first calls is no storm, however high, unless so many
  calls are refused that the repeats outnumber them: with two redials per caller, about six calls in ten.
- return: callers whose calls were cut call again.
- reconnect: many of the known gateways connect at once.

The work per event is constant for any number of gateways, calls and exchanges.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from peattrestle.storms.decaying_statistics import SECOND, DecayingCounter, Histogram
from peattrestle.storms.retry_detection import FIRST, FURTHER, CallerAttempt

RETRY, RETURN, RECONNECT = "retry", "return", "reconnect"
HALF_LIFE = SECOND  # ns, of the rates: a storm is detected within a second or two


@dataclass(slots=True, frozen=True)
class Thresholds:
    """Thresholds of one kind of storm.

    start_share, end_share: fractions, see `StormDetector.share`.
    min_rate: events per second below which no storm starts; a storm ends below half of it.
    start_after, end_after: ns for which a threshold must be passed.
    """

    start_share: float
    end_share: float
    min_rate: float
    start_after: int
    end_after: int


THRESHOLDS = {
    RETRY: Thresholds(0.5, 0.25, 3.0, SECOND // 2, 2 * SECOND),
    RETURN: Thresholds(0.3, 0.1, 3.0, 0, 2 * SECOND),
    RECONNECT: Thresholds(0.3, 0.05, 2.0, 0, 2 * SECOND),
}


@dataclass(slots=True)
class Storm:
    """A detected storm; times in nanoseconds, `ended_at` is 0 while it lasts.

    evidence: the figures at its start, for a log line. size: events so far. peak: most events per second.
    """

    kind: str
    started_at: int
    evidence: str
    size: int = 0
    peak: float = 0.0
    ended_at: int = 0


@dataclass(slots=True)
class _KindState:
    storm: Storm | None = None
    passed_at: int = -1  # since when the threshold that would change the state has been passed; -1: it is not


class StormDetector:
    """Detects storms from the calls and connections counted; `update` may be called at any interval."""

    def __init__(self) -> None:
        self.first, self.further = DecayingCounter(HALF_LIFE), DecayingCounter(HALF_LIFE)
        self.returned, self.connects = DecayingCounter(HALF_LIFE), DecayingCounter(HALF_LIFE)
        self.tries = Histogram((1, 2, 3, 5, 8), 4 * SECOND)  # tries of the caller up to this call
        self.retry_times = Histogram((0.5, 0.9, 1.1, 2.0), 4 * SECOND)  # as fractions of the advised time
        self.disconnections = Histogram((0.1, 0.5, 2.0, 10.0), 4 * SECOND)  # seconds that they lasted
        self.returns = Histogram((0.5, 1.0, 2.0, 5.0), 4 * SECOND)  # seconds from a cut to the next call
        self._last_cuts: OrderedDict[str, int] = OrderedDict()  # ns, by gateway
        self.gateways = 0
        self.states = {kind: _KindState() for kind in THRESHOLDS}

    MAX_CUTS = 1000  # gateways

    def record_cut(self, now: int, gateway: str) -> None:
        """Remembers that a call of this gateway was cut.

        At the limit the gateway whose last cut is longest ago is forgotten.
        """
        self._last_cuts[gateway] = now
        self._last_cuts.move_to_end(gateway)
        if len(self._last_cuts) > self.MAX_CUTS:
            self._last_cuts.popitem(last=False)

    def count_call(self, now: int, attempt: CallerAttempt, gateway: str = "") -> None:
        """Counts a call by its classification."""
        if attempt.kind == FIRST:
            self.first.add(now)
        elif attempt.kind == FURTHER:
            self.further.add(now)
            self._count_in_storm(RETRY)
            if attempt.due_at and attempt.first_at >= 0:
                advised = max(1, attempt.due_at - attempt.advised_at)
                self.retry_times.add(now, (now - attempt.advised_at) / advised)
        else:
            self.returned.add(now)
            self._count_in_storm(RETURN)
            if gateway in self._last_cuts:
                self.returns.add(now, (now - self._last_cuts[gateway]) / SECOND)
        self.tries.add(now, attempt.tries)

    def count_connection(self, now: int, gateways: int, disconnected_for: int) -> None:
        """Counts a connection of a gateway.

        gateways: number of gateways known now. disconnected_for: ns since its last connection ended, -1 for
        a new gateway.
        """
        self.gateways = gateways
        self.connects.add(now)
        self._count_in_storm(RECONNECT)
        if disconnected_for >= 0:
            self.disconnections.add(now, disconnected_for / SECOND)

    def _count_in_storm(self, kind: str) -> None:
        storm = self.states[kind].storm
        if storm is not None:
            storm.size += 1

    def offered(self, now: int) -> float:
        """Calls per second of all kinds."""
        return self.first.rate(now) + self.further.rate(now) + self.returned.rate(now)

    def rate_without_repeats(self, now: int) -> float:
        """Calls per second without the further tries."""
        return self.first.rate(now) + self.returned.rate(now)

    def share(self, now: int, kind: str) -> tuple[float, float]:
        """Share and rate of a kind of storm.

        The share is a fraction of the calls, for `RECONNECT` of the known gateways; the rate is in events per
        second.
        """
        if kind == RECONNECT:
            rate = self.connects.rate(now)
            # One event counts as a rate of ln 2, about 0.7, per half-life. Divided by that, the share is 1
            # when all gateways connect at once.
            return rate / max(1, self.gateways) / 0.7, rate
        rate = (self.further if kind == RETRY else self.returned).rate(now)
        return rate / max(1e-9, self.offered(now)), rate

    def update(self, now: int) -> list[Storm]:
        """Storms that have started (`ended_at` 0) or ended since the last call."""
        changes = []
        for kind, state in self.states.items():
            thresholds, (share, rate) = THRESHOLDS[kind], self.share(now, kind)
            if state.storm is None:
                past_threshold, min_duration = (
                    share >= thresholds.start_share and rate >= thresholds.min_rate,
                    thresholds.start_after,
                )
            else:
                state.storm.peak = max(state.storm.peak, rate)
                past_threshold, min_duration = (
                    share < thresholds.end_share or rate < thresholds.min_rate / 2,
                    thresholds.end_after,
                )
            if not past_threshold:
                state.passed_at = -1
                continue
            if state.passed_at < 0:
                state.passed_at = now
            if now - state.passed_at < min_duration:
                continue
            state.passed_at = -1
            if state.storm is None:
                state.storm = Storm(kind, now, self.evidence(now, kind), peak=rate)
                changes.append(state.storm)
            else:
                state.storm.ended_at = now
                changes.append(state.storm)
                state.storm = None
        return changes

    def evidence(self, now: int, kind: str) -> str:
        """The figures that show the storm, for a log line."""
        share, rate = self.share(now, kind)
        if kind == RECONNECT:
            disconnected = self.disconnections.format(now, " s")
            return (
                f"{rate:.1f} connections a second from {self.gateways} known gateways; "
                f"disconnected for {disconnected or '-'}"
            )
        repeats = "further tries" if kind == RETRY else "calls after a cut"
        return (
            f"{share:.0%} of {self.offered(now):.1f} calls a second are {repeats}, "
            f"{self.rate_without_repeats(now):.1f} without repeats; tries {self.tries.format(now)}; "
            f"retried at {self.retry_times.format(now) or '-'} of the advised time, "
            f"after cuts within {self.returns.format(now, ' s') or '-'}"
        )
