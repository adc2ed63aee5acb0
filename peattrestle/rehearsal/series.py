"""The course of a rehearsal by the second: load, service, and the load of the exchanges."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from peattrestle.rehearsal.world import World
from peattrestle.runtime import Coroutine
from peattrestle.standin.callers import Gateway

SECOND = 1_000_000_000  # nanoseconds


@dataclass(slots=True)
class Series:
    """One value for each second from the first call on; written to `report.json`.

    - service: revenue earned over revenue offered by callers who began in that second; -1 where none did
    - firsts, dials: callers who began, and all set-ups sent to agents
    - stood: calls established
    - wait_ms: longest wait at the processor of any exchange, in milliseconds
    - pressed: set-ups sent to the most loaded exchange over what it can process in a second
    - useful: share of the exchanges' work for calls that were established, at the work of a direct call each;
      at most 1, as the work of a second may be for calls established in the next
    """

    service: list[float] = field(default_factory=list)
    firsts: list[int] = field(default_factory=list)
    dials: list[int] = field(default_factory=list)
    stood: list[int] = field(default_factory=list)
    wait_ms: list[float] = field(default_factory=list)
    pressed: list[float] = field(default_factory=list)
    useful: list[float] = field(default_factory=list)

    def mean_service(self, since: int, until: int) -> float:
        """Service of the callers who began in the seconds [`since`, `until`), weighted by their number."""
        pairs = [
            (value, weight)
            for value, weight in zip(self.service[since:until], self.firsts[since:until], strict=True)
            if value >= 0
        ]
        total = sum(weight for _, weight in pairs)
        return sum(value * weight for value, weight in pairs) / total if total else -1.0

    def recovery_seconds(self, service_before: float, share: float, ended: int, span: int) -> int:
        """Seconds from second `ended` until service is back, or -1 if it never is.

        It is back at the first of `span` seconds that together have at least `share` of `service_before`.
        """
        for at in range(ended, len(self.service) - span + 1):
            if self.mean_service(at, at + span) >= share * service_before:
                return at - ended
        return -1


class Sampler:
    """Samples the exchanges each second, and adds what the gateways and the record know."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.samples: list[tuple[float, float, float]] = []  # wait in ms, peak load, completed work
        self._set_ups_received: dict[str, int] = {}
        self._completed_work = 0

    def run(self) -> Coroutine[None]:
        """Takes a sample each second until the kernel stops."""
        kernel, network = self.world.kernel, self.world.network
        for exchange in network.exchanges.values():
            self._set_ups_received[exchange.name] = exchange.processor.set_ups_received
        self._completed_work = sum(
            exchange.processor.completed_work for exchange in network.exchanges.values()
        )
        while True:
            yield from kernel.sleep(SECOND)
            longest_wait, peak_load, completed_work = 0, 0.0, 0
            for exchange in network.exchanges.values():
                processor = exchange.processor
                longest_wait = max(longest_wait, processor.expected_wait())
                received = processor.set_ups_received - self._set_ups_received.get(exchange.name, 0)
                self._set_ups_received[exchange.name] = processor.set_ups_received
                peak_load = max(peak_load, received / processor.set_up_rate())
                completed_work += processor.completed_work
            self.samples.append(
                (longest_wait / 1_000_000, peak_load, float(completed_work - self._completed_work))
            )
            self._completed_work = completed_work

    def series(self, gateways: Iterable[Gateway], started: int, seconds: int) -> Series:
        """The series of the `seconds` after `started`, a time of the kernel in nanoseconds."""
        series = Series()
        offered, earned = [0.0] * seconds, [0.0] * seconds
        series.firsts, series.stood, series.dials = [0] * seconds, [0] * seconds, [0] * seconds
        for gateway in gateways:
            for call in gateway.calls:
                second = (call.first_at - started) // SECOND
                if 0 <= second < seconds:
                    bearer = gateway.bearer(call)
                    series.firsts[second] += 1
                    offered[second] += bearer.revenue
                    earned[second] += gateway.earned_revenue(call)
                established_second = (call.established_at - started) // SECOND
                if call.established_at >= 0 and 0 <= established_second < seconds:
                    series.stood[established_second] += 1
        for row in self.world.record.rows:
            if row.kind == "asked" and row.place.startswith("gateway"):
                second = (row.at - started) // SECOND
                if 0 <= second < seconds:
                    series.dials[second] += 1
        series.service = [
            round(earned_amount / offered_amount, 4) if offered_amount else -1.0
            for earned_amount, offered_amount in zip(earned, offered, strict=True)
        ]
        processor_settings = self.world.network.processor_settings
        work_per_call = (
            2 * processor_settings.set_up_work
            + processor_settings.answer_work
            + processor_settings.routing_work
            + processor_settings.release_work
        )
        for second, (wait, peak_load, completed_work) in enumerate(self.samples[:seconds]):
            series.wait_ms.append(round(wait, 1))
            series.pressed.append(round(peak_load, 3))
            series.useful.append(
                round(min(1.0, series.stood[second] * work_per_call / completed_work), 3)
                if completed_work
                else 1.0
            )
        return series
