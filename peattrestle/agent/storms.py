"""The storm decisions put to work in the agent: who asks them, and what is done with their answers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from peattrestle.agent.requester import Asker
from peattrestle.h248 import package
from peattrestle.runtime import Coroutine, Kernel
from peattrestle.settings.agent import Limits
from peattrestle.storms import restarts
from peattrestle.storms.notice import Notice, Notices
from peattrestle.storms.shares import Door
from peattrestle.storms.watch import Storm, Watch

MS = 1_000_000
LOOK = 250 * MS


class Storms:
    """`gateways` gives the askers known now. One for each agent."""

    def __init__(
        self,
        kernel: Kernel,
        limits: Limits,
        log: Callable[..., None],
        count: Callable[[str], None],
        gateways: Callable[[], Iterable[Asker]],
    ) -> None:
        self.kernel, self.limits, self.log, self.count = kernel, limits, log, count
        self.gateways = gateways
        self.watch, self.door = Watch(), Door()
        # Numbers begin with the clock: a new run's notices must pass for newer than the last one's.
        self.notices = Notices(kernel.now() // MS)
        self.gate = restarts.Gate(limits.restarts, max(1, limits.restarts // 4), limits.gateways)
        self.accepts = restarts.Gate(limits.accepts, limits.accepts, 1)
        self.draw = kernel.chance("door")

    def run(self) -> Coroutine[None]:
        while True:
            yield from self.kernel.sleep(LOOK)
            now = self.kernel.now()
            for storm in self.watch.look(now):
                self.tell_of(storm)
            held = self.door.held
            self.door.look(now)
            if self.door.held != held:
                self.log(
                    "warning" if self.door.held else "info",
                    "gateways held to their shares" if self.door.held else "gateways free again",
                    carried=round(self.door.stands.rate(now), 1),
                    offered=round(self.watch.offered(now), 1),
                    turned_away=self.door.turned_away,
                )
            self.send_notices(self.notices.look(now, self.door.notices()))

    def tell_of(self, storm: Storm) -> None:
        if not storm.ended_at:
            self.count(f"storms_{storm.kind}")
            self.log("warning", f"{storm.kind} storm", evidence=storm.evidence)
        else:
            self.log(
                "info",
                f"{storm.kind} storm over",
                seconds=round((storm.ended_at - storm.started_at) / (1000 * MS), 1),
                events=storm.size,
                peak_a_second=round(storm.peak, 1),
            )

    def send_notices(self, notices: dict[str, Notice]) -> None:
        if not notices:
            return
        for asker in self.gateways():
            notice = notices.get(asker.name)
            if notice is not None and asker.session is not None:
                self.count("notices" if notice.lifetime else "notices_lifted")
                event = package.rate_event(notice)
                asker.tell(lambda number, event=event: package.notify_text(number, "-", "ROOT", [event]))  # type: ignore[misc]

    def lets(self, gateway: str, worth: float) -> bool:
        if self.door.lets(self.kernel.now(), gateway, worth, self.draw.random()):
            return True
        self.count("held_to_share")
        return False

    def accept_after(self) -> int:
        """Nanoseconds to wait before the next connection is taken; those that wait are the system's."""
        return self.accepts.comes(self.kernel.now(), "")

    def connected(self, asker: Asker, known: int) -> None:
        now = self.kernel.now()
        self.watch.connected(now, known, now - asker.gone_at if asker.gone_at else -1)

    def gone(self, asker: Asker) -> None:
        self.door.gone(asker.name)
        self.notices.gone(asker.name)

    def restart_after(self, asker: Asker) -> int:
        """0: the gateway's ServiceChange is taken; else it is to come again after this."""
        wait = self.gate.comes(self.kernel.now(), asker.name)
        if wait:
            self.count("restarts_held_back")
        return wait

    def waiting_delay(self, known: int) -> int:
        """What a gateway is told to spread its next restart over."""
        return restarts.waiting_delay(known, self.limits.restarts)
