"""Overload control of the call agent: storm detection, admission by fair share, rate notices, paced restarts.

A storm is a surge that feeds itself: callers retry calls that were refused (retry), cut calls come back at
once (return), or many gateways reconnect together (reconnect). Decided here, with the algorithms of the
package `peattrestle.storms`:

- whether a storm has started or ended, each logged with its evidence and counted (`StormDetector`);
- whether a gateway's call is admitted or exceeds the gateway's fair share (`GatewayAdmission`);
- which gateways are sent a notice of the rate that they may offer, and when it is renewed or lifted
  (`Notices`);
- when a gateway may restart, and the rate at which connections are accepted (`restarts.RestartPacer`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from peattrestle.agent.requester import Requester
from peattrestle.h248 import package
from peattrestle.runtime import Coroutine, Kernel
from peattrestle.settings.agent import Limits
from peattrestle.storms import restarts
from peattrestle.storms.gateway_admission import GatewayAdmission
from peattrestle.storms.notice import Notice, Notices
from peattrestle.storms.storm_detection import Storm, StormDetector

MS = 1_000_000  # nanoseconds
CHECK_INTERVAL = 250 * MS  # nanoseconds


class Storms:
    """The overload control of one agent.

    `count(name)` increments a counter; `gateways()` returns the requesters known now. All times are
    nanoseconds.
    """

    def __init__(
        self,
        kernel: Kernel,
        limits: Limits,
        log: Callable[..., None],
        count: Callable[[str], None],
        gateways: Callable[[], Iterable[Requester]],
    ) -> None:
        self.kernel, self.limits, self.log, self.count = kernel, limits, log, count
        self.gateways = gateways
        self.detector, self.admission = StormDetector(), GatewayAdmission()
        # Sequence numbers start from the clock: notices of a new run must count as newer than the last one's.
        self.notices = Notices(kernel.now() // MS)
        self.restart_limiter = restarts.RestartPacer(
            limits.restarts, max(1, limits.restarts // 4), limits.gateways
        )
        self.accept_limiter = restarts.RestartPacer(limits.accepts, limits.accepts, 1)
        self.rng = kernel.random_for("door")

    def run(self) -> Coroutine[None]:
        """Every `CHECK_INTERVAL`, logs storms and changes of the limiting, and sends rate notices."""
        while True:
            yield from self.kernel.sleep(CHECK_INTERVAL)
            now = self.kernel.now()
            for storm in self.detector.update(now):
                self.log_storm(storm)
            was_limiting = self.admission.is_limiting
            self.admission.update(now)
            if self.admission.is_limiting != was_limiting:
                self.log(
                    "warning" if self.admission.is_limiting else "info",
                    "gateways limited to their shares"
                    if self.admission.is_limiting
                    else "gateway limits lifted",
                    carried=round(self.admission.answered.rate(now), 1),
                    offered=round(self.detector.offered(now), 1),
                    turned_away=self.admission.refused_here,
                )
            self.send_notices(self.notices.due_notices(now, self.admission.limits_to_announce()))

    def log_storm(self, storm: Storm) -> None:
        """Logs the start or the end of a storm; a start is counted as well."""
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
        """Sends each connected gateway its notice; `notices` is by gateway name."""
        if not notices:
            return
        for requester in self.gateways():
            notice = notices.get(requester.name)
            if notice is not None and requester.session is not None:
                self.count("notices" if notice.lifetime else "notices_lifted")
                event = package.rate_event(notice)
                requester.notify(
                    lambda number, event=event: package.notify_text(number, "-", "ROOT", [event])  # type: ignore[misc]
                )

    def admit(self, gateway: str, revenue: float) -> bool:
        """Whether a call of `gateway` is within the gateway's share.

        `revenue`: the call's expected revenue; within a share, calls of higher revenue are admitted first.
        """
        if self.admission.admits(self.kernel.now(), gateway, revenue, self.rng.random()):
            return True
        self.count("held_to_share")
        return False

    def accept_after(self) -> int:
        """Nanoseconds to wait before the next connection is accepted; until then it stays in the backlog."""
        return self.accept_limiter.wait_for(self.kernel.now(), "")

    def on_gateway_connected(self, requester: Requester, gateway_count: int) -> None:
        """Records a reconnection. `gateway_count`: gateways known to the agent."""
        now = self.kernel.now()
        self.detector.count_connection(
            now, gateway_count, now - requester.disconnected_at if requester.disconnected_at else -1
        )

    def on_gateway_disconnected(self, requester: Requester) -> None:
        """Frees the gateway's share and forgets its rate notice."""
        self.admission.remove_gateway(requester.name)
        self.notices.remove_gateway(requester.name)

    def restart_after(self, requester: Requester) -> int:
        """0: the gateway may restart now; else nanoseconds after which it is to retry its ServiceChange."""
        wait = self.restart_limiter.wait_for(self.kernel.now(), requester.name)
        if wait:
            self.count("restarts_held_back")
        return wait

    def waiting_delay(self, gateway_count: int) -> int:
        """Maximum waiting delay of H.248.1's restart avalanche procedure, in nanoseconds.

        `gateway_count`: gateways known to the agent. Each draws the wait before its next restart from zero
        to this.
        """
        return restarts.waiting_delay(gateway_count, self.limits.restarts)
