"""Simulated callers and their gateway: patience, redialling, marked retries, and counts of their own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from peattrestle.h248 import package
from peattrestle.h248.package import SetUpRequest
from peattrestle.h248.session import ProtocolViolation, Session
from peattrestle.h248.transactions import NewRequest, ReplyReceived, Transactions, UnknownTransaction
from peattrestle.runtime import (
    ConnectFailed,
    ConnectionLost,
    Coroutine,
    Event,
    Kernel,
    Stream,
    TimedOut,
    Timer,
)
from peattrestle.standin.record import Record

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds


@dataclass(slots=True)
class CallerCall:
    """The call that one caller wants, over all its attempts. Times in nanoseconds; -1 for never.

    `cut`: the established call was cut. `reestablished`: it was set up again after that.
    """

    bearer_type: str
    destination: int
    number: str
    first_at: int
    tries: int = 0
    established_at: int = -1
    cut: bool = False
    reestablished: bool = False


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller.

    `state` is 'asked' (set-up sent), 'left' (given up before an answer), 'crossed' (given up, and the answer
    came all the same), 'stands' (established), 'ending' (release sent) or 'over'.
    """

    call: CallerCall
    termination: str
    transaction_id: int
    sent_at: int
    abandon_at: int
    state: str = "asked"
    timer: Timer | None = None


@dataclass(slots=True)
class CallerBehaviour:
    """Behaviour of callers and gateways; shares from 0 to 1, times in nanoseconds."""

    patience_least: float = 0.30  # of the bearer type's abandon time
    patience_most: float = 0.40
    redials: int = 2  # further attempts of a call
    redial_least: int = 300 * MS  # wait before such an attempt
    redial_most: int = 1200 * MS
    honours: float = 0.7  # share of refusals whose advice on when to retry is followed
    marks: bool = True  # further attempts carry ptc/rpt
    repeats: float = 0.0  # share of requests that the gateway sends twice
    leaves_early: float = 0.0  # share of attempts given up long before the abandon time
    return_least: int = 440 * MS  # wait before a cut call is dialled again
    return_most: int = 2600 * MS
    restart_least: int = 50 * MS  # wait of a gateway before it reconnects
    restart_most: int = 250 * MS
    avalanche: bool = True  # plus a random part of the agent's announced delay, cut short by a call
    follows: bool = True  # gateways respect rate notices


@dataclass(slots=True)
class BearerProfile:
    """A bearer type as callers use it: its share of calls, its times in nanoseconds and its revenue.

    `late_revenue`: share of the revenue for a call established after `gos_target`. `width`: circuits of a
    call.
    """

    name: str
    share: float
    gos_target: int
    abandon_time: int
    holding: int
    revenue: float
    late_revenue: float
    width: int = 1


@dataclass(slots=True)
class Traffic:
    """The calls that a gateway's callers make; changed while a rehearsal runs.

    `rate`: calls a second. `destinations`: weight by exchange number. `hot_number`: a number, its exchange
    and the share of calls to it.
    """

    rate: float
    destinations: dict[int, float]
    bearers: list[BearerProfile]
    behaviour: CallerBehaviour
    hot_number: tuple[str, int, float] | None = None


class LeakyBucket:
    """A leaky bucket for the rate that a notice allows; independent of the agent's code, to test it."""

    def __init__(self) -> None:
        self.rate, self.valid_until, self.notice_number = 0.0, 0, -1
        self.level, self.updated_at = 0.0, 0

    def update(self, now: int, notice: package.Notice) -> None:
        """Applies a notice, unless a later one has been applied."""
        if notice.number > self.notice_number:
            if now >= self.valid_until:
                self.level, self.updated_at = 0.0, now
            self.notice_number, self.rate, self.valid_until = (
                notice.number,
                notice.rate,
                now + notice.lifetime,
            )

    def admits(self, now: int, max_level: float) -> bool:
        """Whether a call may be sent now; `max_level`: how many calls it may hold before."""
        if now >= self.valid_until:
            return True
        self.level = max(0.0, self.level - self.rate * (now - self.updated_at) / SECOND)
        self.updated_at = now
        if self.level > max_level:
            return False
        self.level += 1
        return True


class Gateway:
    """A gateway with its callers, connected to one agent.

    `number`: its exchange. `address`: gives the agent's address for each connection. `index`: its index among
    the gateways of that exchange.
    """

    def __init__(
        self,
        kernel: Kernel,
        record: Record,
        number: int,
        agent: str,
        address: Callable[[], str],
        traffic: Traffic,
        index: int = 0,
    ) -> None:
        self.kernel, self.record, self.number, self.agent = kernel, record, number, agent
        self.address, self.traffic = address, traffic
        self.label = f"{number}" + (f".{index}" if index else "")
        self.name = f"gateway {self.label}"
        self.mid = f"<g{self.label}>"  # H.248 message identifier
        self.rng = kernel.random_for(self.name)
        self.transactions = Transactions(1, 100_000, 10_000)
        self.session: Session | None = None
        self.stream: Stream | None = None
        self.ready = False
        self.agent_run = ""
        self.attempts: dict[str, Attempt] = {}  # by termination id
        self.terminations: dict[int, str] = {}  # by transaction id, to recognise a second answer
        self.pending_releases: list[str] = []  # calls to release once connected again
        self.calls: list[CallerCall] = []
        self.counts: dict[str, int] = {}
        self.attempt_count = 0
        self.replies_after_abandon = 0
        self.is_closing = False
        self.failed_connections = 0
        self.bucket = LeakyBucket()
        self.waiting_delay = 0  # maximum restart delay announced by the agent (H.248.1), nanoseconds
        self.dial_requested = Event(kernel)  # set when a caller dials without a connection
        self.rate_multiple = 1.0  # of its usual share of the exchange's calls
        self.registration_times: list[int] = []  # when the agent accepted its registrations
        self.has_flooded = False  # has ignored all advice at some time
        self.is_flooding = False  # ignores all advice from the agent now
        kernel.spawn(self.connect(), self.name)

    def count(self, name: str) -> None:
        """Adds one to a count of the report."""
        self.counts[name] = self.counts.get(name, 0) + 1

    # Connection to the agent.

    def connect(self) -> Coroutine[None]:
        """Keeps the gateway connected until it is closed."""
        while not self.is_closing:
            try:
                stream = yield from self.kernel.connect(self.address(), SECOND, self.name)
                yield from self.run_session(stream)
            except (ConnectFailed, ConnectionLost, ProtocolViolation):
                self.failed_connections += 1
            self.on_connection_lost()
            behaviour = self.traffic.behaviour
            yield from self.kernel.sleep(self.rng.randint(behaviour.restart_least, behaviour.restart_most))
            if behaviour.avalanche and not self.is_flooding and self.waiting_delay:
                # H.248.1 restart avalanche procedure: a random delay that ends early when a caller dials.
                self.dial_requested = Event(self.kernel)
                try:
                    delay = self.rng.randint(0, self.waiting_delay)
                    yield from self.kernel.with_timeout(delay, self.dial_requested.wait())
                except TimedOut:
                    pass

    def run_session(self, stream: Stream) -> Coroutine[None]:
        """Registers with the agent and handles what it sends until the connection ends."""
        self.stream = stream
        self.session = session = Session(self.mid, self.transactions, stream.write)
        self.send_registration(session)
        try:
            while data := (yield from stream.read()):
                for event in session.feed(self.kernel.now(), data):
                    if isinstance(event, ReplyReceived):
                        self.handle_reply(event)
                    elif isinstance(event, NewRequest):
                        self.handle_request(event)
                    elif isinstance(event, UnknownTransaction) and event.id in self.terminations:
                        self.record.add(
                            self.kernel.now(),
                            "answered",
                            self.name,
                            self.agent,
                            self.terminations[event.id],
                            text="again",
                        )
        finally:
            stream.close()

    def send_registration(self, session: Session) -> None:
        """Registers with a ServiceChange: Restart at first, Disconnected after a lost connection."""
        method = "Disconnected" if self.agent_run else "Restart"
        session.request(
            "hello",
            lambda transaction_id: package.service_change_text(
                transaction_id, method, "900 Service Restored"
            ),
        )

    def register_later(self, session: Session, wait: int) -> None:
        """Registers again after `wait` nanoseconds, as the agent asked, unless the connection has changed."""
        self.count("restarts_held_back")
        self.kernel.call_at(
            self.kernel.now() + wait,
            lambda: self.send_registration(session) if self.session is session else None,
        )

    def on_connection_lost(self) -> None:
        """Ends the attempts that were not answered, which are lost with the connection; callers redial."""
        self.session = self.stream = None
        self.ready = False
        self.bucket = LeakyBucket()  # notices apply to one connection only
        self.transactions.close_all()
        for attempt in [attempt for attempt in self.attempts.values() if attempt.state == "ending"]:
            self.pending_releases.append(attempt.termination)
            self.finish(attempt)
        for attempt in [
            attempt for attempt in self.attempts.values() if attempt.state in ("asked", "left", "crossed")
        ]:
            self.record.add(self.kernel.now(), "dropped", self.name, self.agent, attempt.termination)
            self.pending_releases.append(attempt.termination)  # its answer may be what was lost
            if attempt.state == "asked":
                self.count("dropped")
            self.finish(attempt)
            self.redial(attempt.call, 0)

    def on_registered(self, agent_run: str) -> None:
        """Handles the accepted registration; after a restart of the agent the established calls are cut."""
        if self.agent_run and agent_run != self.agent_run:
            for attempt in [attempt for attempt in self.attempts.values() if attempt.state == "stands"]:
                self.on_call_cut(attempt)
        self.agent_run = agent_run
        self.ready = True
        self.registration_times.append(self.kernel.now())
        releases, self.pending_releases = self.pending_releases[-10_000:], []
        for termination in releases:
            self.send_pending_release(termination)

    def send_pending_release(self, termination: str) -> None:
        """Releases a call that ended while there was no connection."""
        if self.session is not None:
            self.session.request(
                None, lambda transaction_id: package.subtract_text(transaction_id, "*", termination)
            )

    # Calls.

    def generate_calls(self) -> Coroutine[None]:
        """Generates new calls as a Poisson process at the present rate of the traffic."""
        while not self.is_closing:
            rate = self.traffic.rate
            wait = self.rng.expovariate(rate) if rate > 0 else 0.1
            yield from self.kernel.sleep(min(round(wait * SECOND), SECOND))
            if rate > 0 and wait <= 1.0 and not self.is_closing:
                self.start_call()

    def start_call(self) -> CallerCall:
        """Draws a new call and makes its first attempt."""
        traffic, rng = self.traffic, self.rng
        bearer = rng.choices(traffic.bearers, [bearer.share for bearer in traffic.bearers])[0]
        if (
            traffic.hot_number is not None
            and traffic.hot_number[1] != self.number
            and rng.random() < traffic.hot_number[2]
        ):
            number, destination = traffic.hot_number[0], traffic.hot_number[1]
        else:
            destination = rng.choices(list(traffic.destinations), list(traffic.destinations.values()))[0]
            number = f"dn.{destination}.{rng.randrange(10_000)}"
        call = CallerCall(bearer.name, destination, number, self.kernel.now())
        self.calls.append(call)
        self.dial(call)
        return call

    def bearer(self, call: CallerCall) -> BearerProfile:
        """The properties of the call's bearer type."""
        return next(bearer for bearer in self.traffic.bearers if bearer.name == call.bearer_type)

    def earned_revenue(self, call: CallerCall) -> float:
        """Revenue earned by a call: in full within the GoS target of its first attempt, in part later.

        Nothing is earned by a call that was never established, or was cut and not set up again.
        """
        bearer = self.bearer(call)
        if call.established_at < 0 or (call.cut and not call.reestablished):
            return 0.0
        in_time = call.established_at - call.first_at <= bearer.gos_target
        return bearer.revenue * (1.0 if in_time else bearer.late_revenue)

    def dial(self, call: CallerCall, again_after_cut: bool = False) -> None:
        """Makes an attempt: sends a set-up, or redials later where the gateway may not or cannot send.

        `again_after_cut`: the call was established before and was cut.
        """
        now, bearer, behaviour = self.kernel.now(), self.bearer(call), self.traffic.behaviour
        if self.session is None or not self.ready:
            self.count("no_connection")
            self.dial_requested.set()
            self.redial(call, 0)
            return
        if (
            behaviour.follows
            and not self.is_flooding
            and not self.bucket.admits(now, self.max_bucket_level(call))
        ):
            self.count("held_by_notice")
            call.tries += 1
            self.redial(call, 0)
            return
        abandon_after = round(
            bearer.abandon_time * self.rng.uniform(behaviour.patience_least, behaviour.patience_most)
        )
        give_up_after = abandon_after
        if behaviour.leaves_early and self.rng.random() < behaviour.leaves_early:
            give_up_after = round(abandon_after * self.rng.uniform(0.1, 0.5))
        self.attempt_count += 1
        call.tries += 1
        termination = f"c/{self.attempt_count}"
        request = SetUpRequest(
            termination,
            call.bearer_type,
            call.destination,
            abandon_after,
            call.number,
            bearer.width,
            repeat=behaviour.marks and call.tries > 1,
            cut_before=again_after_cut,
            reference=f"g{self.label}/{self.attempt_count}",
        )
        attempt = Attempt(call, termination, 0, now, now + abandon_after)
        attempt.transaction_id = self.session.request(
            attempt, lambda transaction_id: package.add_text(transaction_id, request)
        )
        self.attempts[termination] = attempt
        if behaviour.repeats and self.rng.random() < behaviour.repeats:
            self.kernel.call_at(now + 50 * MS, lambda: self.resend(attempt, request))
        self.terminations[attempt.transaction_id] = termination
        if len(self.terminations) > 20_000:
            del self.terminations[next(iter(self.terminations))]
        self.count("asked")
        self.record.add(
            now, "asked", self.name, self.agent, termination, request.reference, value=now + abandon_after
        )
        attempt.timer = self.kernel.call_at(now + give_up_after, lambda: self.abandon(attempt))

    def max_bucket_level(self, call: CallerCall) -> float:
        """How many calls the bucket may hold before this one: late calls may not use the burst allowance."""
        is_late = self.kernel.now() - call.first_at > self.bearer(call).gos_target
        return 0.0 if is_late else 2.0

    def resend(self, attempt: Attempt, request: SetUpRequest) -> None:
        """Sends the same request again, as on a lossy network; the reply may come twice, unchanged."""
        if self.session is not None and attempt.state in ("asked", "stands"):
            self.record.add(self.kernel.now(), "repeated", self.name, self.agent, attempt.termination)
            self.session.send(package.add_text(attempt.transaction_id, request))

    def handle_reply(self, event: ReplyReceived) -> None:
        """Handles a reply from the agent."""
        now, pending = self.kernel.now(), event.attachment
        if pending == "hello":
            first_command = package.first_command(event.reply.actions)
            services = first_command[1].find("Services") if first_command else None
            wait = services.find("ptl/wai") if services else None
            if wait is not None and self.session is not None:
                self.register_later(self.session, int(wait.value or 0))
                return
            delay = services.find("ptl/mwd") if services else None
            self.waiting_delay = int(delay.value or 0) if delay else 0
            agent_run = services.find("ptc/run") if services else None
            self.on_registered(agent_run.value or "" if agent_run else "")
        elif isinstance(pending, Attempt):
            outcome = package.read_outcome(event.reply)
            self.record.add(now, "answered", self.name, self.agent, pending.termination, code=outcome.code)
            count_name = {0: "stood", package.REFUSED: "refused"}.get(outcome.code, "failed")
            if pending.state == "left":
                self.replies_after_abandon += 1  # the answer crossed the caller's release
                self.count(count_name)
                pending.state = "crossed"
            elif pending.state == "asked":
                self.count(count_name)
                if outcome.code == 0:
                    self.on_established(pending)
                else:
                    self.finish(pending)
                    self.redial(pending.call, outcome.retry_after)
        elif isinstance(pending, str) and pending in self.attempts:
            attempt = self.attempts[pending]
            self.record.add(now, "confirmed", self.name, self.agent, pending)
            if attempt.state == "left":
                self.count("left")
            self.finish(attempt)

    def on_established(self, attempt: Attempt) -> None:
        """Handles an answer with which the call is established, and draws its duration."""
        now, call = self.kernel.now(), attempt.call
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.state = "stands"
        if call.established_at < 0 or not call.cut:
            call.established_at = now
        call.reestablished = call.cut
        duration = round(self.rng.expovariate(1 / self.bearer(call).holding))
        attempt.timer = self.kernel.call_at(now + duration, lambda: self.hang_up(attempt))

    def abandon(self, attempt: Attempt) -> None:
        """Gives up an attempt that has not been answered."""
        if attempt.state == "asked":
            attempt.state = "left"
            self.send_release(attempt)
            self.redial(attempt.call, 0)

    def hang_up(self, attempt: Attempt) -> None:
        """Ends an established call."""
        if attempt.state == "stands":
            attempt.state = "ending"
            self.send_release(attempt)

    def send_release(self, attempt: Attempt) -> None:
        """Sends the release of an attempt, or keeps it until there is a connection."""
        self.record.add(self.kernel.now(), "subtracted", self.name, self.agent, attempt.termination)
        if self.session is not None:
            self.session.request(
                attempt.termination,
                lambda transaction_id: package.subtract_text(transaction_id, "*", attempt.termination),
            )
        else:
            self.pending_releases.append(attempt.termination)
            self.finish(attempt)

    def finish(self, attempt: Attempt) -> None:
        """Forgets an attempt."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.state = "over"
        self.attempts.pop(attempt.termination, None)

    def handle_request(self, event: NewRequest) -> None:
        """Handles a request from the agent: a rate notice, or that a call was cut."""
        first_command = package.first_command(event.request.actions)
        assert first_command is not None and self.session is not None
        action, command = first_command
        notice = package.read_rate(command) if command.name == "Notify" else None
        if notice is not None:
            self.count("notices" if notice.lifetime else "notices_lifted")
            self.bucket.update(self.kernel.now(), notice)
        if command.name == "Notify" and package.is_cut(command):
            attempt = self.attempts.get(command.termination)
            if attempt is not None and attempt.state == "stands":
                self.on_call_cut(attempt)
        self.session.reply(
            event.request.id,
            package.command_reply(event.request.id, action.context, command.name, command.termination),
        )

    def on_call_cut(self, attempt: Attempt) -> None:
        """Handles a cut call: its caller dials again after a random wait."""
        call, behaviour = attempt.call, self.traffic.behaviour
        self.count("cut")
        self.finish(attempt)
        call.cut, call.reestablished, call.tries = True, False, 0
        wait = self.rng.randint(behaviour.return_least, behaviour.return_most)
        self.kernel.call_at(
            self.kernel.now() + wait, lambda: None if self.is_closing else self.dial(call, True)
        )

    def redial(self, call: CallerCall, retry_after: int) -> None:
        """Schedules the caller's next attempt, unless the caller gives up first.

        `retry_after`: nanoseconds after which the agent advises to try again; 0 for no advice.
        """
        behaviour = self.traffic.behaviour
        if call.tries > behaviour.redials or self.is_closing:
            return
        wait = self.rng.randint(behaviour.redial_least, behaviour.redial_most)
        if retry_after and not self.is_flooding and self.rng.random() < behaviour.honours:
            wait = retry_after
        if self.kernel.now() + wait < call.first_at + self.bearer(call).abandon_time:
            if not self.ready:
                call.tries += 1  # an attempt without a connection counts too, so that redialling ends
            self.kernel.call_at(
                self.kernel.now() + wait, lambda: None if self.is_closing else self.dial(call, call.cut)
            )

    # Faults and shutdown.

    def reset(self) -> None:
        """Resets the connection."""
        if self.stream is not None:
            self.stream.abort()

    def close(self) -> None:
        """Stops new connections and attempts."""
        self.is_closing = True

    def open_attempts(self) -> int:
        """Attempts that have no answer yet."""
        return sum(1 for attempt in self.attempts.values() if attempt.state in ("asked", "left"))


@dataclass(slots=True)
class Service:
    """Revenue earned and offered, and the set-up delays of established calls in nanoseconds."""

    offered: float = 0.0
    earned: float = 0.0
    delays: list[int] = field(default_factory=list)


def service(gateways: list[Gateway], since: int = 0, until: int = 1 << 62) -> Service:
    """Service of the calls that began in [`since`, `until`), in nanoseconds; see `Gateway.earned_revenue`."""
    total = Service()
    for gateway in gateways:
        for call in gateway.calls:
            if not since <= call.first_at < until:
                continue
            total.offered += gateway.bearer(call).revenue
            total.earned += gateway.earned_revenue(call)
            if call.established_at >= 0:
                total.delays.append(call.established_at - call.first_at)
    return total
