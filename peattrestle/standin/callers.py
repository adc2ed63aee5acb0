"""Simulated callers and their gateway: patience, redialling, marked retries, and counts of their own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from peattrestle.h248 import package
from peattrestle.h248.package import SetUpAsked
from peattrestle.h248.session import BadPeer, Session
from peattrestle.h248.transactions import Answered, New, Stray, Transactions
from peattrestle.runtime import Coroutine, Event, Kernel, Lost, Refused, Stream, TimedOut, Timer
from peattrestle.standin.record import Record

MS = 1_000_000
SECOND = 1_000_000_000


@dataclass(slots=True)
class Sale:
    """The call that one caller wants, over all its attempts. Times in nanoseconds; -1 for never.

    `cut`: the established call was cut. `reestablished`: it was set up again after that.
    """

    bearer_type: str
    destination: int
    number: str
    first_at: int
    tries: int = 0
    stood_at: int = -1
    cut: bool = False
    returned: bool = False


@dataclass(slots=True)
class Dial:
    """One attempt of a caller.

    `state` is 'asked' (set-up sent), 'left' (given up before an answer), 'crossed' (given up, and the answer
    came all the same), 'stands' (established), 'ending' (release sent) or 'over'.
    """

    sale: Sale
    termination: str
    transaction: int
    asked_at: int
    abandon_at: int
    state: str = "asked"
    timer: Timer | None = None


@dataclass(slots=True)
class Habits:
    """Behaviour of callers and gateways; shares from 0 to 1, times in nanoseconds."""

    patience_least: float = 0.30  # of the bearer type's abandon time
    patience_most: float = 0.40
    redials: int = 2
    redial_least: int = 300 * MS
    redial_most: int = 1200 * MS
    honours: float = 0.7  # share of refusals whose come-back time is respected
    marks: bool = True  # further attempts carry ptc/rpt
    repeats: float = 0.0  # share of requests that the gateway sends twice
    leaves_early: float = 0.0  # share of attempts given up long before the abandon time
    return_least: int = 440 * MS  # wait before a cut call is dialled again
    return_most: int = 2600 * MS
    restart_least: int = 50 * MS  # wait of a gateway before it reconnects
    restart_most: int = 250 * MS
    avalanche: bool = True  # and also a random part of the agent's waiting delay, until a caller dials
    follows: bool = True  # gateways respect rate notices


@dataclass(slots=True)
class BearerFigures:
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
    bearers: list[BearerFigures]
    habits: Habits
    hot: tuple[str, int, float] | None = None


class LeakyBucket:
    """A leaky bucket for the rate that a notice allows.

    Implemented apart from the agent's own, so that it checks what the agent announces.
    """

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
        """Whether a call may be sent now; `max_level`: how full the bucket may be before it."""
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

    `number`: its exchange. `address`: gives the agent's address for each connection. `place`: index among the
    gateways of that exchange.
    """

    def __init__(
        self,
        kernel: Kernel,
        record: Record,
        number: int,
        agent: str,
        address: Callable[[], str],
        traffic: Traffic,
        place: int = 0,
    ) -> None:
        self.kernel, self.record, self.number, self.agent = kernel, record, number, agent
        self.address, self.traffic = address, traffic
        self.label = f"{number}" + (f".{place}" if place else "")
        self.name = f"gateway {self.label}"
        self.mid = f"<g{self.label}>"
        self.draw = kernel.chance(self.name)
        self.transactions = Transactions(1, 100_000, 10_000)
        self.session: Session | None = None
        self.stream: Stream | None = None
        self.ready = False
        self.run = ""
        self.dials: dict[str, Dial] = {}
        self.asks: dict[int, str] = {}  # the transaction of each try, so that a second answer is known
        self.owed: list[str] = []  # to be released when there is a connection again
        self.sales: list[Sale] = []
        self.counts: dict[str, int] = {}
        self.dialled = 0
        self.reply_after_leaving = 0
        self.closing = False
        self.refused_connections = 0
        self.bucket = LeakyBucket()
        self.waiting_delay = 0  # as the agent told it
        self.wanted = Event(kernel)  # a caller dials while there is no connection
        self.multiple = 1.0  # of its part of the exchange's calls
        self.greetings: list[int] = []  # when its restarts were taken
        self.flooded = False  # it has flooded at some time
        self.flood = False  # offers what it likes and heeds nothing
        kernel.spawn(self.connect(), self.name)

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    # The connection.

    def connect(self) -> Coroutine[None]:
        while not self.closing:
            try:
                stream = yield from self.kernel.connect(self.address(), SECOND, self.name)
                yield from self.converse(stream)
            except (Refused, Lost, BadPeer):
                self.refused_connections += 1
            self.lost()
            habits = self.traffic.habits
            yield from self.kernel.sleep(self.draw.randint(habits.restart_least, habits.restart_most))
            if habits.avalanche and not self.flood and self.waiting_delay:
                # H.248.1's procedure: a drawn wait, that a caller's wish ends.
                self.wanted = Event(self.kernel)
                try:
                    delay = self.draw.randint(0, self.waiting_delay)
                    yield from self.kernel.within(delay, self.wanted.wait())
                except TimedOut:
                    pass

    def converse(self, stream: Stream) -> Coroutine[None]:
        self.stream = stream
        self.session = session = Session(self.mid, self.transactions, stream.write)
        self.hello(session)
        try:
            while data := (yield from stream.read()):
                for heard in session.feed(self.kernel.now(), data):
                    if isinstance(heard, Answered):
                        self.answered(heard)
                    elif isinstance(heard, New):
                        self.asked(heard)
                    elif isinstance(heard, Stray) and heard.id in self.asks:
                        self.record.add(
                            self.kernel.now(),
                            "answered",
                            self.name,
                            self.agent,
                            self.asks[heard.id],
                            text="again",
                        )
        finally:
            stream.close()

    def hello(self, session: Session) -> None:
        method = "Disconnected" if self.run else "Restart"
        session.request(
            "hello", lambda number: package.service_change_text(number, method, "900 Service Restored")
        )

    def hello_later(self, session: Session, wait: int) -> None:
        self.count("restarts_held_back")
        self.kernel.at(
            self.kernel.now() + wait, lambda: self.hello(session) if self.session is session else None
        )

    def lost(self) -> None:
        """Calls that were not answered are lost with the connection; their callers dial again."""
        self.session = self.stream = None
        self.ready = False
        self.bucket = LeakyBucket()  # notices end with the connection
        self.transactions.lost()
        for dial in [one for one in self.dials.values() if one.state == "ending"]:
            self.owed.append(dial.termination)
            self.over(dial)
        for dial in [one for one in self.dials.values() if one.state in ("asked", "left", "crossed")]:
            self.record.add(self.kernel.now(), "dropped", self.name, self.agent, dial.termination)
            self.owed.append(dial.termination)  # it may stand there, with its answer lost
            if dial.state == "asked":
                self.count("dropped")
            self.over(dial)
            self.redial(dial.sale, 0)

    def greeted(self, run: str) -> None:
        """Another run of the agent knows nothing of what stood: those calls are cut."""
        if self.run and run != self.run:
            for dial in [one for one in self.dials.values() if one.state == "stands"]:
                self.cut(dial)
        self.run = run
        self.ready = True
        self.greetings.append(self.kernel.now())
        owed, self.owed = self.owed[-10_000:], []
        for termination in owed:
            self.release(termination)

    def release(self, termination: str) -> None:
        if self.session is not None:
            self.session.request(None, lambda number: package.subtract_text(number, "*", termination))

    # Calls.

    def arrivals(self) -> Coroutine[None]:
        """New sales as a Poisson stream at the traffic's present rate."""
        while not self.closing:
            rate = self.traffic.rate
            wait = self.draw.expovariate(rate) if rate > 0 else 0.1
            yield from self.kernel.sleep(min(round(wait * SECOND), SECOND))
            if rate > 0 and wait <= 1.0 and not self.closing:
                self.new_sale()

    def new_sale(self) -> Sale:
        traffic, draw = self.traffic, self.draw
        bearer = draw.choices(traffic.bearers, [one.share for one in traffic.bearers])[0]
        if traffic.hot is not None and traffic.hot[1] != self.number and draw.random() < traffic.hot[2]:
            number, destination = traffic.hot[0], traffic.hot[1]
        else:
            destination = draw.choices(list(traffic.destinations), list(traffic.destinations.values()))[0]
            number = f"dn.{destination}.{draw.randrange(10_000)}"
        sale = Sale(bearer.name, destination, number, self.kernel.now())
        self.sales.append(sale)
        self.dial(sale)
        return sale

    def bearer(self, sale: Sale) -> BearerFigures:
        return next(one for one in self.traffic.bearers if one.name == sale.bearer_type)

    def worth(self, sale: Sale) -> float:
        """What it earned: a call that stood within the GoS target of its first try, not cut for good."""
        bearer = self.bearer(sale)
        if sale.stood_at < 0 or (sale.cut and not sale.returned):
            return 0.0
        in_time = sale.stood_at - sale.first_at <= bearer.gos_target
        return bearer.revenue * (1.0 if in_time else bearer.late_revenue)

    def dial(self, sale: Sale, again_after_cut: bool = False) -> None:
        now, bearer, habits = self.kernel.now(), self.bearer(sale), self.traffic.habits
        if self.session is None or not self.ready:
            self.count("no_connection")
            self.wanted.set()
            self.redial(sale, 0)
            return
        if habits.follows and not self.flood and not self.bucket.admits(now, self.room(sale)):
            self.count("held_by_notice")
            sale.tries += 1
            self.redial(sale, 0)
            return
        patience = round(bearer.abandon_time * self.draw.uniform(habits.patience_least, habits.patience_most))
        leaves = patience
        if habits.leaves_early and self.draw.random() < habits.leaves_early:
            leaves = round(patience * self.draw.uniform(0.1, 0.5))
        self.dialled += 1
        sale.tries += 1
        termination = f"c/{self.dialled}"
        asked = SetUpAsked(
            termination,
            sale.bearer_type,
            sale.destination,
            patience,
            sale.number,
            bearer.width,
            repeat=habits.marks and sale.tries > 1,
            cut_before=again_after_cut,
            reference=f"g{self.label}/{self.dialled}",
        )
        dial = Dial(sale, termination, 0, now, now + patience)
        dial.transaction = self.session.request(dial, lambda number: package.add_text(number, asked))
        self.dials[termination] = dial
        if habits.repeats and self.draw.random() < habits.repeats:
            self.kernel.at(now + 50 * MS, lambda: self.repeat(dial, asked))
        self.asks[dial.transaction] = termination
        if len(self.asks) > 20_000:
            del self.asks[next(iter(self.asks))]
        self.count("asked")
        self.record.add(
            now, "asked", self.name, self.agent, termination, asked.reference, value=now + patience
        )
        dial.timer = self.kernel.at(now + leaves, lambda: self.leave(dial))

    def room(self, sale: Sale) -> float:
        """A first call may use the bucket's burst; one that can no longer stand in time may not."""
        late = self.kernel.now() - sale.first_at > self.bearer(sale).gos_target
        return 0.0 if late else 2.0

    def repeat(self, dial: Dial, asked: SetUpAsked) -> None:
        """The same request once more, as over a lossy way: it may be answered again, and alike."""
        if self.session is not None and dial.state in ("asked", "stands"):
            self.record.add(self.kernel.now(), "repeated", self.name, self.agent, dial.termination)
            self.session.send(package.add_text(dial.transaction, asked))

    def answered(self, heard: Answered) -> None:
        now, kept = self.kernel.now(), heard.kept
        if kept == "hello":
            found = package.first_command(heard.reply.actions)
            services = found[1].find("Services") if found else None
            wait = services.find("ptl/wai") if services else None
            if wait is not None and self.session is not None:
                self.hello_later(self.session, int(wait.value or 0))
                return
            delay = services.find("ptl/mwd") if services else None
            self.waiting_delay = int(delay.value or 0) if delay else 0
            run = services.find("ptc/run") if services else None
            self.greeted(run.value or "" if run else "")
        elif isinstance(kept, Dial):
            outcome = package.read_outcome(heard.reply)
            self.record.add(now, "answered", self.name, self.agent, kept.termination, code=outcome.code)
            kind = {0: "stood", package.REFUSED: "refused"}.get(outcome.code, "failed")
            if kept.state == "left":
                self.reply_after_leaving += 1  # it crossed the caller's own leaving
                self.count(kind)
                kept.state = "crossed"
            elif kept.state == "asked":
                self.count(kind)
                if outcome.code == 0:
                    self.stands(kept)
                else:
                    self.over(kept)
                    self.redial(kept.sale, outcome.come_back)
        elif isinstance(kept, str) and kept in self.dials:
            dial = self.dials[kept]
            self.record.add(now, "confirmed", self.name, self.agent, kept)
            if dial.state == "left":
                self.count("left")
            self.over(dial)

    def stands(self, dial: Dial) -> None:
        now, sale = self.kernel.now(), dial.sale
        if dial.timer is not None:
            dial.timer.cancel()
        dial.state = "stands"
        if sale.stood_at < 0 or not sale.cut:
            sale.stood_at = now
        sale.returned = sale.cut
        length = round(self.draw.expovariate(1 / self.bearer(sale).holding))
        dial.timer = self.kernel.at(now + length, lambda: self.hang_up(dial))

    def leave(self, dial: Dial) -> None:
        if dial.state == "asked":
            dial.state = "left"
            self.subtract(dial)
            self.redial(dial.sale, 0)

    def hang_up(self, dial: Dial) -> None:
        if dial.state == "stands":
            dial.state = "ending"
            self.subtract(dial)

    def subtract(self, dial: Dial) -> None:
        self.record.add(self.kernel.now(), "subtracted", self.name, self.agent, dial.termination)
        if self.session is not None:
            self.session.request(
                dial.termination, lambda number: package.subtract_text(number, "*", dial.termination)
            )
        else:
            self.owed.append(dial.termination)
            self.over(dial)

    def over(self, dial: Dial) -> None:
        if dial.timer is not None:
            dial.timer.cancel()
        dial.state = "over"
        self.dials.pop(dial.termination, None)

    def asked(self, heard: New) -> None:
        found = package.first_command(heard.request.actions)
        assert found is not None and self.session is not None
        action, command = found
        notice = package.read_rate(command) if command.name == "Notify" else None
        if notice is not None:
            self.count("notices" if notice.lifetime else "notices_lifted")
            self.bucket.update(self.kernel.now(), notice)
        if command.name == "Notify" and package.is_cut(command):
            dial = self.dials.get(command.termination)
            if dial is not None and dial.state == "stands":
                self.cut(dial)
        self.session.reply(
            heard.request.id,
            package.command_reply(heard.request.id, action.context, command.name, command.termination),
        )

    def cut(self, dial: Dial) -> None:
        sale, habits = dial.sale, self.traffic.habits
        self.count("cut")
        self.over(dial)
        sale.cut, sale.returned, sale.tries = True, False, 0
        wait = self.draw.randint(habits.return_least, habits.return_most)
        self.kernel.at(self.kernel.now() + wait, lambda: None if self.closing else self.dial(sale, True))

    def redial(self, sale: Sale, come_back: int) -> None:
        habits = self.traffic.habits
        if sale.tries > habits.redials or self.closing:
            return
        wait = self.draw.randint(habits.redial_least, habits.redial_most)
        if come_back and not self.flood and self.draw.random() < habits.honours:
            wait = come_back
        if self.kernel.now() + wait < sale.first_at + self.bearer(sale).abandon_time:
            if not self.ready:
                sale.tries += 1  # dialling without a line is a try too, or it would never end
            self.kernel.at(
                self.kernel.now() + wait, lambda: None if self.closing else self.dial(sale, sale.cut)
            )

    # Faults and the end.

    def reset(self) -> None:
        if self.stream is not None:
            self.stream.abort()

    def close(self) -> None:
        self.closing = True

    def open_dials(self) -> int:
        return sum(1 for one in self.dials.values() if one.state in ("asked", "left"))


@dataclass(slots=True)
class Service:
    """Revenue earned over revenue offered."""

    offered: float = 0.0
    earned: float = 0.0
    delays: list[int] = field(default_factory=list)


def service(gateways: list[Gateway], since: int = 0, until: int = 1 << 62) -> Service:
    """A call that stood within the GoS target of its first try, not cut for good, earns its revenue."""
    out = Service()
    for gateway in gateways:
        for sale in gateway.sales:
            if not since <= sale.first_at < until:
                continue
            out.offered += gateway.bearer(sale).revenue
            out.earned += gateway.worth(sale)
            if sale.stood_at >= 0:
                out.delays.append(sale.stood_at - sale.first_at)
    return out
