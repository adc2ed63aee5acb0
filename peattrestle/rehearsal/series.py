"""What a rehearsal was like second by second: load, service, and how hard the exchanges were pressed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from peattrestle.rehearsal.world import World
from peattrestle.runtime import Coroutine
from peattrestle.standin.callers import Gateway

SECOND = 1_000_000_000


@dataclass(slots=True)
class Series:
    """One figure for each second from the first call on.

    `service`: revenue earned over revenue offered by callers who began in it, -1 where none did.
    `firsts`, `dials`: callers who began, and all calls sent to agents. `stood`: calls that stood.
    `wait_ms`: longest wait at any exchange; `pressed`: set-ups sent to the worst exchange over what it can
    set up in a second; `useful`: share of the exchanges' work for calls that stood, counted as what a direct
    call needs for each; one at most, since work of a second may be for calls that stand in the next.
    """

    service: list[float] = field(default_factory=list)
    firsts: list[int] = field(default_factory=list)
    dials: list[int] = field(default_factory=list)
    stood: list[int] = field(default_factory=list)
    wait_ms: list[float] = field(default_factory=list)
    pressed: list[float] = field(default_factory=list)
    useful: list[float] = field(default_factory=list)

    def over(self, since: int, until: int) -> float:
        """Service of callers who began in [since, until) seconds, weighted by how many they were."""
        pairs = [
            (value, weight)
            for value, weight in zip(self.service[since:until], self.firsts[since:until], strict=True)
            if value >= 0
        ]
        total = sum(weight for _, weight in pairs)
        return sum(value * weight for value, weight in pairs) / total if total else -1.0

    def back_after(self, before: float, share: float, healed: int, span: int) -> int:
        """Seconds from `healed` to the first of `span` seconds together that serve `share` of `before`;
        -1 if there are none."""
        for at in range(healed, len(self.service) - span + 1):
            if self.over(at, at + span) >= share * before:
                return at - healed
        return -1


class Sampler:
    """Samples the exchanges each second, and lays what the gateways and the record know beside it."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.samples: list[tuple[float, float, float]] = []
        self._sent: dict[str, int] = {}
        self._done = 0

    def run(self) -> Coroutine[None]:
        kernel, fabric = self.world.kernel, self.world.fabric
        for exchange in fabric.exchanges.values():
            self._sent[exchange.name] = exchange.processor.set_ups_received
        self._done = sum(one.processor.completed_work for one in fabric.exchanges.values())
        while True:
            yield from kernel.sleep(SECOND)
            worst, pressed, done = 0, 0.0, 0
            for exchange in fabric.exchanges.values():
                processor = exchange.processor
                worst = max(worst, processor.expected_wait())
                sent = processor.set_ups_received - self._sent.get(exchange.name, 0)
                self._sent[exchange.name] = processor.set_ups_received
                pressed = max(pressed, sent / processor.set_up_rate())
                done += processor.completed_work
            self.samples.append((worst / 1_000_000, pressed, float(done - self._done)))
            self._done = done

    def series(self, gateways: Iterable[Gateway], started: int, seconds: int) -> Series:
        out = Series()
        offered, earned = [0.0] * seconds, [0.0] * seconds
        out.firsts, out.stood, out.dials = [0] * seconds, [0] * seconds, [0] * seconds
        for gateway in gateways:
            for call in gateway.calls:
                second = (call.first_at - started) // SECOND
                if 0 <= second < seconds:
                    bearer = gateway.bearer(call)
                    out.firsts[second] += 1
                    offered[second] += bearer.revenue
                    earned[second] += gateway.earned_revenue(call)
                stood = (call.established_at - started) // SECOND
                if call.established_at >= 0 and 0 <= stood < seconds:
                    out.stood[stood] += 1
        for row in self.world.record.rows:
            if row.kind == "asked" and row.place.startswith("gateway"):
                second = (row.at - started) // SECOND
                if 0 <= second < seconds:
                    out.dials[second] += 1
        out.service = [
            round(got / wanted, 4) if wanted else -1.0 for got, wanted in zip(earned, offered, strict=True)
        ]
        processor_settings = self.world.fabric.processor_settings
        work_per_call = (
            2 * processor_settings.set_up_work
            + processor_settings.answer_work
            + processor_settings.routing_work
            + processor_settings.release_work
        )
        for second, (wait, pressed, done) in enumerate(self.samples[:seconds]):
            out.wait_ms.append(round(wait, 1))
            out.pressed.append(round(pressed, 3))
            out.useful.append(round(min(1.0, out.stood[second] * work_per_call / done), 3) if done else 1.0)
        return out
