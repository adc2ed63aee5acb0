"""Stand-in callers over SIP: regular ones, which use a connection until it ends, and abusive ones."""

from __future__ import annotations

import random
from dataclasses import dataclass

from peattrestle.runtime import ConnectFailed, ConnectionLost, Coroutine, Kernel, Stream
from peattrestle.sip import text as sip
from peattrestle.trials.deployment import BEARER_TYPE, Deployment
from peattrestle.trials.record import (
    STRANGER_PREFIX,
    Answer,
    CallerConnection,
    ConnectionEnd,
    Record,
    Request,
)

MS = 1_000_000  # nanoseconds
CONNECT_TIMEOUT = 1_000 * MS
IDLE_POLL_INTERVAL = 20 * MS
ABUSE_RESPONSE_TIMEOUT = 3_000 * MS
STRANGER_PAUSE = 50 * MS  # before it asks again
NAMING_TIME = 1_100 * MS  # for which a connection that names calls carries nothing else and stays open


def invite_message(
    call_id: str, number: str, timeout_ms: int, destination: int, description: str, established_at: str = ""
) -> bytes:
    """Returns an INVITE; `timeout_ms` is how long the caller waits, in milliseconds.

    With `established_at`, the exchange where the call stands already, it wants no answer.
    """
    body = description.encode()
    established = f";at:{established_at}" if established_at else ""
    return (
        f"INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\n"
        f"CSeq: 1 INVITE\r\nX-Cos: {BEARER_TYPE}\r\nX-Timer-Ms: {timeout_ms}\r\n"
        f"X-Legs: dest:{destination};width:1;via:-1{established}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def announcement(call_id: str, number: str, exchange: str) -> bytes:
    """Returns an INVITE for a call that stands at `exchange` already."""
    return invite_message(call_id, number, 1_000, 0, f"{call_id}\r\nc=IN IP4 10.4.7.9\r\n", exchange)


def bodyless_request(method: str, call_id: str, number: str = "7f3a") -> bytes:
    """Returns a SIP request without a body."""
    return (
        f"{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\n"
        f"CSeq: 2 {method}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


@dataclass(slots=True, frozen=True)
class CallerBehaviour:
    """How regular callers behave.

    Bursts of set-ups are sent at random intervals, on average `mean_interval` nanoseconds.
    Shares are of set-ups: written slowly, abandoned, and sent anew after a refusal. `disconnect_share` is the
    share of abandoned ones where the caller closes its connection instead of sending CANCEL. A connection is
    closed after `idle_timeout` nanoseconds without an open set-up or a message; 0: never.
    """

    mean_interval: int = 60 * MS
    max_connections: int = 3
    slow_write_share: float = 0.1
    abandon_share: float = 0.03
    retry_share: float = 0.3
    disconnect_share: float = 0.0
    burst_size: int = 1
    idle_timeout: int = 0


class CallerConnectionDriver:
    """Sends and receives on one connection of regular callers; `open_requests` are unanswered."""

    def __init__(self, group: CallerGroup, stream: Stream) -> None:
        self.group, self.stream = group, stream
        self.connection = CallerConnection(group.agent, group.kernel.now())
        self.open_requests: dict[str, Request] = {}
        self.writing = False
        self.queued: list[bytes] = []
        self.used_at = group.kernel.now()
        self.reserved_until = 0  # until then it carries namings and nothing else

    def send(self, data: bytes) -> None:
        """Sends a message after one that is still being written in pieces."""
        self.used_at = self.group.kernel.now()
        if self.writing:
            self.queued.append(data)
        else:
            self.stream.write(data)

    @property
    def usable(self) -> bool:
        """Whether a new request can be sent now."""
        return self.connection.end is ConnectionEnd.OPEN and not self.writing and not self.is_reserved

    @property
    def is_reserved(self) -> bool:
        """Whether it carries namings and nothing else, for the time being."""
        return self.group.kernel.now() < self.reserved_until

    def read_messages(self) -> Coroutine[None]:
        """Reads messages until the connection ends, and records who ended it."""
        reader, end = sip.Reader(), ConnectionEnd.AGENT_CLOSED
        try:
            while data := (yield from self.stream.read()):
                self.connection.received += len(data)
                reader.feed(data)
                while (message := reader.next()) is not None:
                    self.group.handle_message(self, message)
        except ConnectionLost:
            end = ConnectionEnd.AGENT_RESET
        except sip.BadMessage as error:
            self.group.record.unsolicited.append(f"a caller got an unreadable message: {error}")
        self.on_ended(end)

    def on_ended(self, end: ConnectionEnd) -> None:
        """Records the end of the connection, unless it is recorded already, and notifies the group."""
        if self.connection.end is ConnectionEnd.OPEN:
            self.connection.end, self.connection.ended_at = end, self.group.kernel.now()
        self.stream.close()
        self.group.on_connection_ended(self)

    def close_when_idle(self) -> Coroutine[None]:
        """Closes the connection once it has been idle for the callers' `idle_timeout`."""
        timeout = self.group.behaviour.idle_timeout
        while self.connection.end is ConnectionEnd.OPEN:
            idle_for = self.group.kernel.now() - self.used_at
            is_idle = idle_for >= timeout and not self.open_requests and not self.writing
            if is_idle and not self.is_reserved:
                self.end(by_reset=False)
                return
            yield from self.group.kernel.sleep(max(timeout - idle_for, IDLE_POLL_INTERVAL))

    def end(self, by_reset: bool) -> None:
        """The caller ends the connection, and gives up the requests that are open on it."""
        now = self.group.kernel.now()
        for request in self.open_requests.values():
            request.given_up_at = request.given_up_at or now
        self.connection.end, self.connection.ended_at = ConnectionEnd.CALLER, now
        if by_reset:
            self.stream.abort()
        else:
            self.stream.close()

    def write_in_pieces(self, data: bytes, request: Request) -> Coroutine[None]:
        """Writes a message in four pieces; the last byte follows the first one after up to 0.2 s."""
        rng = self.group.rng
        offsets = sorted(rng.sample(range(1, len(data)), 3))
        for start, end in zip([0, *offsets], [*offsets, len(data)], strict=True):
            self.stream.write(data[start:end])
            if end == len(data):
                break
            yield from self.group.kernel.sleep(rng.randint(1, 60) * MS)
        self.writing = False
        if self.connection.end is ConnectionEnd.OPEN:
            request.sent_at = self.group.kernel.now()
        queued, self.queued = self.queued, []
        for message in queued:
            self.stream.write(message)


class CallerGroup:
    """All regular callers of one agent.

    They send set-ups while `sending` and open new connections while `opens_connections`, that is, while the
    agent is in service. While `absent` they do neither.
    """

    def __init__(
        self,
        kernel: Kernel,
        record: Record,
        deployment: Deployment,
        agent: int,
        behaviour: CallerBehaviour,
        rng: random.Random,
    ) -> None:
        self.kernel, self.record, self.deployment, self.agent = kernel, record, deployment, agent
        self.behaviour, self.rng = behaviour, rng
        self.connections: list[CallerConnectionDriver] = []
        self.sending = self.opens_connections = self.absent = False
        kernel.spawn(self.send_periodically(), f"callers of agent {agent}")

    def send_periodically(self) -> Coroutine[None]:
        """Sends bursts of set-ups at random intervals."""
        while True:
            yield from self.kernel.sleep(round(self.rng.expovariate(1 / self.behaviour.mean_interval)))
            if not self.sending or self.absent:
                continue
            usable = [driver for driver in self.connections if driver.usable]
            if len(usable) < self.behaviour.max_connections and self.opens_connections:
                self.kernel.spawn(self.open_connection(), "open caller connection")
            for _ in range(self.behaviour.burst_size):
                usable = [driver for driver in usable if driver.usable]
                if usable:
                    self.send_invite(self.rng.choice(usable))

    def connect(self) -> Coroutine[CallerConnectionDriver | None]:
        """Opens a connection to the agent; None if that fails, or if the callers are absent by then."""
        try:
            stream = yield from self.kernel.connect(
                self.deployment.agent_address(self.agent), CONNECT_TIMEOUT
            )
        except ConnectFailed:
            return None
        if self.absent:
            stream.close()
            return None
        driver = CallerConnectionDriver(self, stream)
        self.connections.append(driver)
        self.record.caller_connections.append(driver.connection)
        self.kernel.spawn(driver.read_messages(), "caller reads")
        if self.behaviour.idle_timeout:
            self.kernel.spawn(driver.close_when_idle(), "caller closes")
        return driver

    def open_connection(self) -> Coroutine[None]:
        """Opens a connection and sends a first set-up on it; does nothing if that fails."""
        driver = yield from self.connect()
        if driver is not None and self.sending and driver.usable:
            self.send_invite(driver)

    def announce_established_calls(self) -> Coroutine[None]:
        """Names the calls that stand to the agent, which may have forgotten them, on a new connection."""
        driver = yield from self.connect()
        if driver is None:
            return
        driver.reserved_until = self.kernel.now() + NAMING_TIME
        for request in self.record.requests.values():
            if request.agent != self.agent or not request.stands:
                continue
            exchange = self.record.exchange_of(request)
            if exchange is None:
                continue
            driver.connection.requests += 1
            request.connection, request.announced_at = driver.connection, self.kernel.now()
            driver.send(announcement(request.call_id, "7f3a", exchange))

    def announce_elsewhere(self, agent: int, exchanges: set[str], duration: int) -> Coroutine[None]:
        """Names the calls that stand at `exchanges` to another agent.

        Reads what it sends for `duration` nanoseconds.
        """
        try:
            stream = yield from self.kernel.connect(self.deployment.agent_address(agent), CONNECT_TIMEOUT)
        except ConnectFailed:
            return
        driver = CallerConnectionDriver(self, stream)
        self.kernel.call_at(self.kernel.now() + duration, lambda: driver.end(by_reset=False))
        for request in list(self.record.requests.values()):
            exchange = self.record.exchange_of(request) if request.agent == self.agent else None
            if exchange in exchanges and request.stands:
                request.announced_elsewhere.append((agent, self.kernel.now()))
                driver.send(announcement(request.call_id, "7f3a", str(exchange)))
        yield from driver.read_messages()

    def send_invite(self, driver: CallerConnectionDriver) -> Request:
        """Sends a set-up for a random exchange and decides whether it is written slowly or abandoned."""
        answer_timeout = round(self.deployment.deadline * (0.7 + 0.3 * self.rng.random()))
        call_id = f"{self.rng.getrandbits(64):016x}"
        connection = driver.connection
        request = Request(call_id, self.agent, connection, connection.requests == 0, answer_timeout)
        connection.requests += 1
        self.record.requests[call_id] = request
        driver.open_requests[call_id] = request
        driver.used_at = self.kernel.now()
        others = [n for n in range(self.deployment.exchanges) if n != self.agent]
        destination = self.rng.choice(others)
        data = invite_message(
            call_id, "7f3a", answer_timeout // MS, destination, f"{call_id}\r\nc=IN IP4 10.4.7.9\r\n"
        )
        if self.rng.random() < self.behaviour.slow_write_share:
            driver.writing = True
            self.kernel.spawn(driver.write_in_pieces(data, request), "slow writer")
        else:
            driver.stream.write(data)
            request.sent_at = self.kernel.now()
        if self.rng.random() < self.behaviour.abandon_share:
            wait = self.rng.randint(0, max(1, answer_timeout // 4))
            self.kernel.call_at(self.kernel.now() + wait, lambda: self.abandon(driver, request))
        return request

    def abandon(self, driver: CallerConnectionDriver, request: Request) -> None:
        """Gives up an unanswered request: cancels it, or closes the connection with all its requests."""
        if request.answers or driver.connection.end is not ConnectionEnd.OPEN or driver.writing:
            return
        request.given_up_at = self.kernel.now()
        if self.rng.random() < self.behaviour.disconnect_share:
            driver.end(by_reset=False)
        else:
            driver.send(bodyless_request("CANCEL", request.call_id))

    def handle_message(self, driver: CallerConnectionDriver, message: sip.Message) -> None:
        """Handles a release or a final answer from the agent; other messages are ignored."""
        if message.method == "BYE":
            request = self.record.requests.get(message.call_id)
            if request is not None:
                request.released_at = request.released_at or self.kernel.now()
            driver.send(sip.answer(200, message.fields))
        elif message.status >= 200 and message.fields.get("cseq", "").endswith("INVITE"):
            self.handle_answer(driver, message)

    def handle_answer(self, driver: CallerConnectionDriver, message: sip.Message) -> None:
        """Records a final answer; may try again after a refusal, or release an established call later."""
        request = self.record.requests.get(message.call_id)
        if request is None:
            self.record.unsolicited.append(
                f"a final answer {message.status} for the unknown call {message.call_id!r}"
            )
            return
        request.answers.append(Answer(self.kernel.now(), message.status, message.body.decode()))
        driver.open_requests.pop(request.call_id, None)
        driver.used_at = self.kernel.now()
        if message.status != 200:
            if self.sending and driver.usable and self.rng.random() < self.behaviour.retry_share:
                self.send_invite(driver)
            return
        driver.send(bodyless_request("ACK", request.call_id))
        if self.rng.random() < 0.5:
            wait = round(self.deployment.holding_time * self.rng.random())
            self.kernel.call_at(self.kernel.now() + wait, lambda: self.release_call(request))

    def release_call(self, request: Request) -> None:
        """Releases an established call on any connection of the group."""
        usable = [driver for driver in self.connections if driver.usable]
        if request.released_at or not usable:
            return
        request.release_sent_at = self.kernel.now()
        self.rng.choice(usable).send(bodyless_request("BYE", request.call_id))

    def on_connection_ended(self, driver: CallerConnectionDriver) -> None:
        """Replaces an ended connection of the group while the agent is in service."""
        if driver not in self.connections:
            return
        self.connections.remove(driver)
        if self.sending and self.opens_connections and not self.absent:
            self.kernel.spawn(self.open_connection(), "reopen caller connection")

    def end_connections(self, by_reset: bool) -> None:
        """The callers end all their connections; calls that stand go on standing."""
        for driver in list(self.connections):
            if driver.connection.end is ConnectionEnd.OPEN:
                driver.end(by_reset)

    def reset_random_connection(self) -> None:
        """Injects a network fault: resets one connection while requests may be open on it."""
        if self.connections:
            driver = self.rng.choice(self.connections)
            driver.connection.end, driver.connection.ended_at = ConnectionEnd.INJECTED, self.kernel.now()
            driver.stream.abort()


class Stranger:
    """A client that is no caller: it sends valid set-ups that no exchange serves.

    `confirms`: it confirms every release it gets, else it ignores them.
    """

    def __init__(self, kernel: Kernel, record: Record, address: str, rng: random.Random) -> None:
        self.kernel, self.record, self.address, self.rng = kernel, record, address, rng
        self.confirms = rng.random() < 0.5

    def next_request(self) -> tuple[str, bytes]:
        """Returns a new Call-ID and its set-up."""
        call_id = f"{STRANGER_PREFIX}{self.rng.getrandbits(52):013x}"
        return call_id, invite_message(call_id, call_id, 1_000, self.rng.randint(0, 3), "v=0\r\n")

    def keep_asking(self, duration: int) -> Coroutine[None]:
        """Asks again whenever it is refused, for `duration` nanoseconds."""
        try:
            stream = yield from self.kernel.connect(self.address, CONNECT_TIMEOUT)
        except ConnectFailed:
            return
        reader, until = sip.Reader(), self.kernel.now() + duration
        self.kernel.call_at(until, stream.close)
        stream.write(self.next_request()[1])
        try:
            while data := (yield from stream.read()):
                reader.feed(data)
                while (message := reader.next()) is not None:
                    yield from self.respond(stream, message)
        except (ConnectionLost, sip.BadMessage):
            pass
        stream.close()

    def respond(self, stream: Stream, message: sip.Message) -> Coroutine[None]:
        """Asks again after an answer; confirms a release or ignores it."""
        if message.method == "BYE" and self.confirms:
            stream.write(sip.answer(200, message.fields))
        elif message.status and message.fields.get("cseq", "").endswith("INVITE"):
            yield from self.kernel.sleep(STRANGER_PAUSE)
            stream.write(self.next_request()[1])

    def leave_with_input_unread(self, requests: int) -> Coroutine[None]:
        """Sends many set-ups and leaves at once; sends some of them again on another connection."""
        sent = [self.next_request() for _ in range(requests)]
        for chosen in (sent, self.rng.sample(sent, requests // 4)):
            try:
                stream = yield from self.kernel.connect(self.address, CONNECT_TIMEOUT)
            except ConnectFailed:
                return
            stream.write(b"".join(data for _, data in chosen))
            yield from self.kernel.sleep(self.rng.randint(0, 20) * MS)
            if self.rng.random() < 0.5:
                stream.abort()
            else:
                stream.close()
            for call_id, _ in chosen:
                self.record.strangers_left[call_id] = self.kernel.now()


# Invalid, incomplete and missing messages; the agent has to answer each or to close its connection.
ABUSIVE_INPUTS = (
    b"\x00\x01\x02\r\n\r\n",
    b"INVITE sip:a@net SIP/2.0\r\nX: ",
    b"",
    b"INVITE sip:a@net SIP/2.0\r\nContent-Length: 60000000\r\n\r\n",
    b"INVITE sip:a@net SIP/2.0\r\nContent-Length: -4\r\n\r\n",
    invite_message("zz", "7f3a", 500, 1, "x"),
    invite_message("00000000000000ff", "7f3a", -5, 1, "x"),
    b"A" * 40_000,
)


class AbusiveCaller:
    """Connects, sends invalid data and records whether it gets an answer or a close within 3 s."""

    def __init__(self, kernel: Kernel, record: Record, address: str, data: bytes) -> None:
        self.kernel, self.record, self.address, self.data = kernel, record, address, data
        kernel.spawn(self.run(), "abusive caller")

    def run(self) -> Coroutine[None]:
        """Sends the data and records it if the agent neither answers nor closes the connection in time."""
        try:
            stream = yield from self.kernel.connect(self.address, CONNECT_TIMEOUT)
        except ConnectFailed:
            return
        stream.write(self.data)
        answered = False
        read_task = self.kernel.spawn(stream.read(), "abusive caller reads", report_errors=False)
        deadline = self.kernel.now() + ABUSE_RESPONSE_TIMEOUT
        while self.kernel.now() < deadline and not answered:
            yield from self.kernel.sleep(20 * MS)
            answered = read_task.done
        if not answered:
            self.record.abusive_unanswered.append(self.data[:30].hex())
        read_task.cancel()
        stream.close()
