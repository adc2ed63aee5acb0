"""Stand-in callers over SIP: connections that are used until their agent ends, usual and abusive ones."""

from __future__ import annotations

import random
from dataclasses import dataclass

from peattrestle.runtime import Coroutine, Kernel, Lost, Refused, Stream
from peattrestle.sip import text as sip
from peattrestle.trials.deployment import BEARER_TYPE, Deployment
from peattrestle.trials.record import Answer, CallerConnection, ConnectionEnd, Record, Request

MS = 1_000_000
DIAL = 1_000 * MS
OWED_ABUSIVE = 3_000 * MS


def invite(call_id: str, number: str, patience_ms: int, destination: int, description: str) -> bytes:
    body = description.encode()
    return (
        f"INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\n"
        f"CSeq: 1 INVITE\r\nX-Cos: {BEARER_TYPE}\r\nX-Timer-Ms: {patience_ms}\r\n"
        f"X-Legs: dest:{destination};width:1;via:-1\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def bare(method: str, call_id: str, number: str = "7f3a") -> bytes:
    """A request without a body."""
    return (
        f"{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\n"
        f"CSeq: 2 {method}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


@dataclass(slots=True, frozen=True)
class Habits:
    """How usual callers behave; shares are of set-ups, times in nanoseconds."""

    interval: int = 60 * MS
    connections: int = 3
    pieces: float = 0.1
    gives_up: float = 0.03
    repeats: float = 0.3
    leaves: float = 0.0
    at_once: int = 1


class CallerConnectionDriver:
    """One open connection of usual callers and what is open on it."""

    def __init__(self, group: CallerGroup, stream: Stream) -> None:
        self.group, self.stream = group, stream
        self.observed = CallerConnection(group.agent, group.kernel.now())
        self.open: dict[str, Request] = {}
        self.writing = False
        self.waiting: list[bytes] = []

    def say(self, data: bytes) -> None:
        """Whole messages: one that is being written in pieces comes to its end first."""
        if self.writing:
            self.waiting.append(data)
        else:
            self.stream.write(data)

    @property
    def usable(self) -> bool:
        return self.observed.end is ConnectionEnd.OPEN and not self.writing

    def read(self) -> Coroutine[None]:
        reader, end = sip.Reader(), ConnectionEnd.AGENT_CLOSED
        try:
            while data := (yield from self.stream.read()):
                self.observed.received += len(data)
                reader.feed(data)
                while (message := reader.next()) is not None:
                    self.group.heard(self, message)
        except Lost:
            end = ConnectionEnd.AGENT_RESET
        except sip.BadMessage as fault:
            self.group.record.unsolicited.append(f"a caller got an unreadable message: {fault}")
        self.ended(end)

    def ended(self, end: ConnectionEnd) -> None:
        if self.observed.end is ConnectionEnd.OPEN:
            self.observed.end, self.observed.ended_at = end, self.group.kernel.now()
        self.stream.close()
        self.group.connection_ended(self)

    def write_in_pieces(self, data: bytes, request: Request) -> Coroutine[None]:
        """Slow writers: the last byte follows the first one after up to 0.2 s."""
        chance = self.group.chance
        cuts = sorted(chance.sample(range(1, len(data)), 3))
        for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
            self.stream.write(data[start:end])
            if end == len(data):
                break
            yield from self.group.kernel.sleep(chance.randint(1, 60) * MS)
        self.writing = False
        if self.observed.end is ConnectionEnd.OPEN:
            request.sent_at = self.group.kernel.now()
        waiting, self.waiting = self.waiting, []
        for message in waiting:
            self.stream.write(message)


class CallerGroup:
    """All usual callers of one agent. `dialling`: new connections are made, as while it is in service."""

    def __init__(
        self,
        kernel: Kernel,
        record: Record,
        deployment: Deployment,
        agent: int,
        habits: Habits,
        chance: random.Random,
    ) -> None:
        self.kernel, self.record, self.deployment, self.agent = kernel, record, deployment, agent
        self.habits, self.chance = habits, chance
        self.connections: list[CallerConnectionDriver] = []
        self.sending = self.dialling = False
        kernel.spawn(self.drive(), f"callers of agent {agent}")

    def drive(self) -> Coroutine[None]:
        while True:
            yield from self.kernel.sleep(round(self.chance.expovariate(1 / self.habits.interval)))
            if not self.sending:
                continue
            usable = [one for one in self.connections if one.usable]
            if len(usable) < self.habits.connections and self.dialling:
                self.kernel.spawn(self.dial(), "caller dials")
            for _ in range(self.habits.at_once):
                usable = [one for one in usable if one.usable]
                if usable:
                    self.ask(self.chance.choice(usable))

    def dial(self) -> Coroutine[None]:
        try:
            stream = yield from self.kernel.connect(self.deployment.agent_address(self.agent), DIAL)
        except Refused:
            return
        driver = CallerConnectionDriver(self, stream)
        self.connections.append(driver)
        self.kernel.spawn(driver.read(), "caller reads")
        if self.sending:
            self.ask(driver)

    def ask(self, driver: CallerConnectionDriver) -> Request:
        patience = round(self.deployment.deadline * (0.7 + 0.3 * self.chance.random()))
        call_id = f"{self.chance.getrandbits(64):016x}"
        observed = driver.observed
        request = Request(call_id, self.agent, observed, observed.requests == 0, patience)
        observed.requests += 1
        self.record.requests[call_id] = request
        driver.open[call_id] = request
        others = [n for n in range(self.deployment.exchanges) if n != self.agent]
        destination = self.chance.choice(others)
        data = invite(call_id, "7f3a", patience // MS, destination, f"{call_id}\r\nc=IN IP4 10.4.7.9\r\n")
        if self.chance.random() < self.habits.pieces:
            driver.writing = True
            self.kernel.spawn(driver.write_in_pieces(data, request), "slow writer")
        else:
            driver.stream.write(data)
            request.sent_at = self.kernel.now()
        if self.chance.random() < self.habits.gives_up:
            wait = self.chance.randint(0, max(1, patience // 4))
            self.kernel.at(self.kernel.now() + wait, lambda: self.give_up(driver, request))
        return request

    def give_up(self, driver: CallerConnectionDriver, request: Request) -> None:
        if request.answers or driver.observed.end is not ConnectionEnd.OPEN or driver.writing:
            return
        request.given_up_at = self.kernel.now()
        if self.chance.random() < self.habits.leaves:
            for other in driver.open.values():
                other.given_up_at = other.given_up_at or self.kernel.now()
            driver.observed.end, driver.observed.ended_at = ConnectionEnd.CALLER, self.kernel.now()
            driver.stream.close()
        else:
            driver.say(bare("CANCEL", request.call_id))

    def heard(self, driver: CallerConnectionDriver, message: sip.Message) -> None:
        if message.method == "BYE":
            request = self.record.requests.get(message.call_id)
            if request is not None:
                request.released_at = request.released_at or self.kernel.now()
            driver.say(sip.answer(200, message.fields))
        elif message.status >= 200 and message.fields.get("cseq", "").endswith("INVITE"):
            self.answered(driver, message)

    def answered(self, driver: CallerConnectionDriver, message: sip.Message) -> None:
        request = self.record.requests.get(message.call_id)
        if request is None:
            self.record.unsolicited.append(f"an answer {message.status} for {message.call_id!r}, never asked")
            return
        request.answers.append(Answer(self.kernel.now(), message.status, message.body.decode()))
        driver.open.pop(request.call_id, None)
        if message.status != 200:
            if self.sending and driver.usable and self.chance.random() < self.habits.repeats:
                self.ask(driver)
            return
        driver.say(bare("ACK", request.call_id))
        if self.chance.random() < 0.5:
            wait = round(self.deployment.holding * self.chance.random())
            self.kernel.at(self.kernel.now() + wait, lambda: self.release(request))

    def release(self, request: Request) -> None:
        """The caller ends a call that stands, on any of its connections."""
        usable = [one for one in self.connections if one.usable]
        if request.released_at or not usable:
            return
        request.release_sent_at = self.kernel.now()
        self.chance.choice(usable).say(bare("BYE", request.call_id))

    def connection_ended(self, driver: CallerConnectionDriver) -> None:
        if driver in self.connections:
            self.connections.remove(driver)
        if self.sending and self.dialling:
            self.kernel.spawn(self.dial(), "caller comes again")

    def reset_one(self) -> None:
        """A network fault: one connection is reset under its requests."""
        if self.connections:
            driver = self.chance.choice(self.connections)
            driver.observed.end, driver.observed.ended_at = ConnectionEnd.INJECTED, self.kernel.now()
            driver.stream.abort()


ABUSE = (
    b"\x00\x01\x02\r\n\r\n",
    b"INVITE sip:a@net SIP/2.0\r\nX: ",
    b"",
    b"INVITE sip:a@net SIP/2.0\r\nContent-Length: 60000000\r\n\r\n",
    b"INVITE sip:a@net SIP/2.0\r\nContent-Length: -4\r\n\r\n",
    invite("zz", "7f3a", 500, 1, "x"),
    invite("00000000000000ff", "7f3a", -5, 1, "x"),
    b"A" * 40_000,
)


class AbusiveCaller:
    """Connects, sends what can't be used, and notes whether it gets an answer or a close within 3 s."""

    def __init__(self, kernel: Kernel, record: Record, address: str, data: bytes) -> None:
        self.kernel, self.record, self.address, self.data = kernel, record, address, data
        kernel.spawn(self.run(), "abusive caller")

    def run(self) -> Coroutine[None]:
        try:
            stream = yield from self.kernel.connect(self.address, DIAL)
        except Refused:
            return
        stream.write(self.data)
        answered = False
        reader = self.kernel.spawn(stream.read(), "abusive caller reads", watch=False)
        until = self.kernel.now() + OWED_ABUSIVE
        while self.kernel.now() < until and not answered:
            yield from self.kernel.sleep(20 * MS)
            answered = reader.done
        if not answered:
            self.record.abusive_unanswered.append(self.data[:30].hex())
        reader.cancel()
        stream.close()
