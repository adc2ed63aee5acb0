"""A stand-in exchange on the JSON lines protocol that can misbehave at each set-up."""

from __future__ import annotations

import enum
import json
import random
from typing import Any

from peattrestle.exchangeline import lines
from peattrestle.runtime import ConnectionLost, Coroutine, Kernel, Listener, Stream
from peattrestle.trials.record import STRANGER_PREFIX, Attempt, AttemptEnd, Record

MS = 1_000_000  # nanoseconds
REPORT_INTERVAL = 100 * MS
CIRCUIT_COUNT = 200  # reported as free by an exchange without calls


class Behaviour(enum.Enum):
    """What the exchange does with a set-up."""

    ANSWER = "answer"
    FULL = "full"
    ERROR = "error"
    NO_ANSWER = "never answers"
    RESET = "resets the connection"
    CLOSE = "closes the connection"
    GARBAGE = "writes garbage"
    TRUNCATED = "writes part of an answer"
    DUPLICATE = "answers twice"
    STRAY_ANSWER_FIRST = "answers an unknown call first"
    SLOW_WRITE = "writes its answer in pieces"


class StandInExchange:
    """An exchange that serves all agents, each on an address of its own.

    While `silent` it accepts connections and sends nothing, like a hanging process, but still records what it
    receives. `behaviours` has the share of set-ups for each misbehaviour, `delay` the bounds of the
    answer delay.
    """

    def __init__(
        self,
        kernel: Kernel,
        record: Record,
        name: str,
        addresses: list[str],
        rng: random.Random,
        holding_time: int,
    ) -> None:
        self.kernel, self.record, self.name = kernel, record, name
        self.rng, self.holding_time = rng, holding_time
        self.behaviours: dict[Behaviour, float] = {}
        self.delay = (2 * MS, 60 * MS)
        self.unanswered_strangers = 0.1  # share of the set-ups of strangers
        self.late_report_share = 0.0  # share of connections on which the first load report is late
        self.silent = False
        self.alive = True
        self.streams: dict[Stream, int] = {}  # the agent that opened each connection
        self.established: dict[str, tuple[Attempt, Stream]] = {}  # by Call-ID
        self.pending: dict[tuple[Stream, str], Attempt] = {}  # by connection and Call-ID
        self.repeated_releases: dict[int, list[tuple[Attempt, bytes]]] = {}  # by agent
        self.listeners = [kernel.listen(address) for address in addresses]
        for agent, listener in enumerate(self.listeners):
            kernel.spawn(self.accept(listener, agent), f"exchange {name}")

    def accept(self, listener: Listener, agent: int) -> Coroutine[None]:
        """Accepts connections of one agent until the listener is closed."""
        while True:
            try:
                stream = yield from listener.accept()
            except ConnectionLost:
                return
            self.streams[stream] = agent
            self.kernel.spawn(self.serve(stream), f"connection of exchange {self.name}")

    def serve(self, stream: Stream) -> Coroutine[None]:
        """Sends load reports and handles lines until the connection ends."""
        reader = lines.Reader()
        reporter = self.kernel.spawn(self.send_load_reports(stream), "load reports")
        self.kernel.spawn(self.repeat_releases(stream), "repeat releases")
        try:
            while True:
                data = yield from stream.read()
                if not data:
                    break
                reader.feed(data)
                while (line := reader.next()) is not None:
                    self.handle_line(stream, line)
        except ConnectionLost:
            pass
        except lines.BadLine as error:
            self.record.unsolicited.append(f"{self.name} got an unreadable line: {error}")
        finally:
            reporter.cancel()
            self.on_disconnect(stream)

    def on_disconnect(self, stream: Stream) -> None:
        """Ends the pending attempts of a connection that has ended."""
        self.streams.pop(stream, None)
        for key in [key for key in self.pending if key[0] is stream]:
            self.end_attempt(self.pending.pop(key), AttemptEnd.CONNECTION_ENDED)
        stream.close()

    def send_load_reports(self, stream: Stream) -> Coroutine[None]:
        """Sends a load report at each interval; the first one is late on some connections."""
        if self.rng.random() < self.late_report_share:
            yield from self.kernel.sleep(self.rng.randint(50, 1_000) * MS)
        while True:
            if not self.silent:
                free = CIRCUIT_COUNT - len(self.established)
                load = ";".join(f"x{n}:{free}" for n in range(4)) + ";queue:0;qps:400"
                self.send(stream, {"verb": "LOAD", "opts": {"load": load}})
            yield from self.kernel.sleep(REPORT_INTERVAL)

    def repeat_releases(self, stream: Stream) -> Coroutine[None]:
        """Sends releases again on the next connection that their agent opens."""
        yield from self.wait_while_silent()
        for attempt, data in self.repeated_releases.pop(self.streams.get(stream, -1), []):
            attempt.released_at = self.kernel.now()
            stream.write(data)

    def send(self, stream: Stream, line: dict[str, Any]) -> None:
        """Writes one line, unless the exchange is silent."""
        if not self.silent:
            stream.write(json.dumps({"opts": {}} | line).encode() + b"\n")

    def handle_line(self, stream: Stream, line: lines.Line) -> None:
        """Handles a set-up, a release or a probe."""
        if line.verb == "START":
            self.handle_set_up(stream, line)
        elif line.verb == "FINISH":
            self.handle_release(stream, line.tag)
        elif line.verb == "ECHO":
            self.send(stream, {"verb": "ECHOED", "tag": line.tag, "rc": 1})

    def handle_set_up(self, stream: Stream, line: lines.Line) -> None:
        """Records the attempt and reacts to it with a random behaviour."""
        now = self.kernel.now()
        if line.tag.startswith(STRANGER_PREFIX) and line.tag not in self.record.requests:
            self.handle_stranger(stream, line.tag)
            return
        if line.tag not in self.record.requests:
            self.record.unsolicited.append(f"{self.name} got a set-up {line.tag} that no caller sent")
            return
        attempt = Attempt(line.tag, self.name, now)
        self.record.attempts.append(attempt)
        self.pending[stream, line.tag] = attempt
        behaviour = self.random_behaviour()
        delay = self.rng.randint(*self.delay)
        self.kernel.spawn(self.perform(stream, attempt, behaviour, delay), "set-up")

    def handle_stranger(self, stream: Stream, tag: str) -> None:
        """Records the attempt of a client that is no caller, and refuses it as an error or never answers."""
        attempt = Attempt(tag, self.name, self.kernel.now())
        self.record.stranger_attempts.append(attempt)
        if self.rng.random() < self.unanswered_strangers:
            self.pending[stream, tag] = attempt
            return
        self.end_attempt(attempt, AttemptEnd.REFUSED)
        self.send(stream, {"verb": "FINISH", "tag": tag, "rc": lines.BUSY})

    def random_behaviour(self) -> Behaviour:
        """Returns a behaviour by its share, else ANSWER."""
        remaining = self.rng.random()
        for behaviour, share in self.behaviours.items():
            remaining -= share
            if remaining < 0:
                return behaviour
        return Behaviour.ANSWER

    def perform(self, stream: Stream, attempt: Attempt, behaviour: Behaviour, delay: int) -> Coroutine[None]:
        """Reacts to an attempt after `delay`, unless it has ended by then."""
        yield from self.kernel.sleep(delay)
        yield from self.wait_while_silent()
        if self.pending.get((stream, attempt.call_id)) is not attempt:
            return
        tag = attempt.call_id
        match behaviour:
            case Behaviour.FULL | Behaviour.ERROR:
                self.end_attempt(self.pending.pop((stream, tag)), AttemptEnd.REFUSED)
                cause = lines.FULL if behaviour is Behaviour.FULL else lines.BUSY
                self.send(stream, {"verb": "FINISH", "tag": tag, "rc": cause})
            case Behaviour.NO_ANSWER:
                pass
            case Behaviour.RESET:
                stream.abort()
            case Behaviour.CLOSE:
                stream.close()
            case Behaviour.GARBAGE:
                stream.write(b'{"verb":"STARTED","tag":\x00\xff\n')
            case Behaviour.TRUNCATED:
                stream.write(b'{"verb":"STARTED","tag":"' + tag.encode())
            case _:
                yield from self.answer_set_up(stream, attempt, behaviour)

    def wait_while_silent(self) -> Coroutine[None]:
        """Waits until the exchange is no longer silent, or has ended."""
        while self.silent and self.alive:
            yield from self.kernel.sleep(20 * MS)

    def answer_set_up(self, stream: Stream, attempt: Attempt, behaviour: Behaviour) -> Coroutine[None]:
        """Answers the set-up, holds the call for a random time and ends it."""
        tag = attempt.call_id
        self.end_attempt(self.pending.pop((stream, tag)), AttemptEnd.STARTED)
        attempt.description = f"{self.rng.getrandbits(64):016x}\r\nc=IN IP4 10.9.9.9\r\n"
        answer = {"verb": "STARTED", "tag": tag, "opts": {}, "blob": attempt.description}
        data = json.dumps(answer).encode() + b"\n"
        self.established[tag] = attempt, stream
        if behaviour is Behaviour.STRAY_ANSWER_FIRST:
            stray = answer | {"tag": f"{self.rng.getrandbits(64):016x}"}
            stream.write(json.dumps(stray).encode() + b"\n")
        if behaviour is Behaviour.SLOW_WRITE:
            middle = self.rng.randrange(1, len(data))
            stream.write(data[:middle])
            yield from self.kernel.sleep(self.rng.randint(1, 40) * MS)
            data = data[middle:]
        stream.write(data)
        if behaviour is Behaviour.DUPLICATE:
            yield from self.kernel.sleep(self.rng.randint(0, 5) * MS)
            stream.write(json.dumps(answer).encode() + b"\n")
        yield from self.kernel.sleep(round(self.holding_time * (0.5 + self.rng.random())))
        yield from self.wait_while_silent()
        if self.established.get(tag, (None,))[0] is attempt and self.alive:
            self.end_call(tag)

    def end_call(self, tag: str) -> None:
        """Releases the call on its connection or another one of its agent, and again on the next one."""
        attempt, stream = self.established.pop(tag)
        attempt.released_at = attempt.over_at = self.kernel.now()
        data = json.dumps({"verb": "FINISH", "tag": tag, "opts": {}, "rc": lines.NORMAL}).encode() + b"\n"
        agent = self.record.requests[tag].agent
        self.repeated_releases.setdefault(agent, []).append((attempt, data))
        others = [other for other, its_agent in self.streams.items() if its_agent == agent]
        if stream in others:
            stream.write(data)
        elif others:
            others[0].write(data)

    def handle_release(self, stream: Stream, tag: str) -> None:
        """The agent releases an established call or gives up a pending attempt."""
        attempt = self.pending.pop((stream, tag), None)
        if attempt is not None:
            self.end_attempt(attempt, AttemptEnd.GIVEN_UP)
        self.established.pop(tag, None)
        self.send(stream, {"verb": "FINISHED", "tag": tag})

    def end_attempt(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Records how and when an attempt ended."""
        attempt.ended_at, attempt.end = self.kernel.now(), end

    def terminate(self) -> None:
        """Ends the exchange: connections are reset and its listeners closed."""
        self.alive = False
        for listener in self.listeners:
            listener.close()
        for stream in list(self.streams):
            stream.abort()
        for attempt, _ in self.established.values():
            attempt.exchange_ended_at = attempt.over_at = self.kernel.now()
        self.established.clear()

    def end_random_connection(self, by_reset: bool) -> None:
        """Resets or closes one connection while calls may be pending on it."""
        if self.streams:
            stream = self.rng.choice(list(self.streams))
            if by_reset:
                stream.abort()
            else:
                stream.close()
