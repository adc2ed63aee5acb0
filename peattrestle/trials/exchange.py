"""A stand-in exchange over JSON lines that can misbehave at each set-up."""

from __future__ import annotations

import enum
import json
import random
from typing import Any

from peattrestle.exchangeline import lines
from peattrestle.runtime import Coroutine, Kernel, Listener, Lost, Stream
from peattrestle.trials.record import Attempt, AttemptEnd, Record

MS = 1_000_000
REPORT_INTERVAL = 100 * MS
CIRCUITS = 200


class Manner(enum.Enum):
    """What the exchange does with a set-up."""

    ANSWER = "answer"
    FULL = "full"
    ERROR = "error"
    NEVER = "never answers"
    RESET = "resets the connection"
    CLOSE = "closes the connection"
    SPOIL = "writes noise"
    STOP_SHORT = "writes half an answer"
    TWICE = "answers twice"
    STRAY_FIRST = "answers an unknown call first"
    SLOW_WRITER = "writes its answer in pieces"


class StandInExchange:
    """`silent`: it accepts and says nothing, as a process that hangs; what it is sent is still recorded."""

    def __init__(
        self,
        kernel: Kernel,
        record: Record,
        name: str,
        addresses: list[str],
        chance: random.Random,
        holding: int,
    ) -> None:
        self.kernel, self.record, self.name = kernel, record, name
        self.chance, self.holding = chance, holding
        self.manners: dict[Manner, float] = {}
        self.delay = (2 * MS, 60 * MS)
        self.late_connections = 0.0  # share of connections that come up late
        self.silent = False
        self.alive = True
        self.streams: dict[Stream, int] = {}  # and the agent that made it
        self.standing: dict[str, tuple[Attempt, Stream]] = {}
        self.out: dict[tuple[Stream, str], Attempt] = {}
        self.owed: dict[int, list[tuple[Attempt, bytes]]] = {}
        self.listeners = [kernel.listen(address) for address in addresses]
        for agent, listener in enumerate(self.listeners):
            kernel.spawn(self.accept(listener, agent), f"exchange {name}")

    def accept(self, listener: Listener, agent: int) -> Coroutine[None]:
        while True:
            try:
                stream = yield from listener.accept()
            except Lost:
                return
            self.streams[stream] = agent
            self.kernel.spawn(self.serve(stream), f"connection of exchange {self.name}")

    def serve(self, stream: Stream) -> Coroutine[None]:
        reader = lines.Reader()
        reporter = self.kernel.spawn(self.report(stream), "reports")
        self.kernel.spawn(self.send_owed(stream), "releases once more")
        try:
            while True:
                data = yield from stream.read()
                if not data:
                    break
                reader.feed(data)
                while (line := reader.next()) is not None:
                    self.heard(stream, line)
        except Lost:
            pass
        except lines.BadLine as fault:
            self.record.unsolicited.append(f"{self.name} got an unreadable line: {fault}")
        finally:
            reporter.cancel()
            self.lost(stream)

    def lost(self, stream: Stream) -> None:
        self.streams.pop(stream, None)
        for key in [key for key in self.out if key[0] is stream]:
            self.end(self.out.pop(key), AttemptEnd.CUT)
        stream.close()

    def report(self, stream: Stream) -> Coroutine[None]:
        if self.chance.random() < self.late_connections:
            yield from self.kernel.sleep(self.chance.randint(50, 1_000) * MS)
        while True:
            if not self.silent:
                free = CIRCUITS - len(self.standing)
                load = ";".join(f"x{n}:{free}" for n in range(4)) + ";queue:0;qps:400"
                self.say(stream, {"verb": "LOAD", "opts": {"load": load}})
            yield from self.kernel.sleep(REPORT_INTERVAL)

    def send_owed(self, stream: Stream) -> Coroutine[None]:
        """A release is sent once more on the next connection that is opened."""
        yield from self.hang()
        for attempt, data in self.owed.pop(self.streams.get(stream, -1), []):
            attempt.released_at = self.kernel.now()
            stream.write(data)

    def say(self, stream: Stream, line: dict[str, Any]) -> None:
        if not self.silent:
            stream.write(json.dumps({"opts": {}} | line).encode() + b"\n")

    def heard(self, stream: Stream, line: lines.Line) -> None:
        if line.verb == "START":
            self.set_up(stream, line)
        elif line.verb == "FINISH":
            self.released(stream, line.tag)
        elif line.verb == "ECHO":
            self.say(stream, {"verb": "ECHOED", "tag": line.tag, "rc": 1})

    def set_up(self, stream: Stream, line: lines.Line) -> None:
        now = self.kernel.now()
        if line.tag not in self.record.requests:
            self.record.unsolicited.append(f"{self.name} got a set-up {line.tag} that no caller sent")
            return
        attempt = Attempt(line.tag, self.name, now)
        self.record.attempts.append(attempt)
        self.out[stream, line.tag] = attempt
        manner = self.draw_manner()
        delay = self.chance.randint(*self.delay)
        self.kernel.spawn(self.act(stream, attempt, manner, delay), "set-up")

    def draw_manner(self) -> Manner:
        point = self.chance.random()
        for manner, share in self.manners.items():
            point -= share
            if point < 0:
                return manner
        return Manner.ANSWER

    def act(self, stream: Stream, attempt: Attempt, manner: Manner, delay: int) -> Coroutine[None]:
        yield from self.kernel.sleep(delay)
        yield from self.hang()
        if self.out.get((stream, attempt.call_id)) is not attempt:
            return
        tag = attempt.call_id
        match manner:
            case Manner.FULL | Manner.ERROR:
                self.end(self.out.pop((stream, tag)), AttemptEnd.REFUSED)
                cause = lines.FULL if manner is Manner.FULL else lines.BUSY
                self.say(stream, {"verb": "FINISH", "tag": tag, "rc": cause})
            case Manner.NEVER:
                pass
            case Manner.RESET:
                stream.abort()
            case Manner.CLOSE:
                stream.close()
            case Manner.SPOIL:
                stream.write(b'{"verb":"STARTED","tag":\x00\xff\n')
            case Manner.STOP_SHORT:
                stream.write(b'{"verb":"STARTED","tag":"' + tag.encode())
            case _:
                yield from self.start(stream, attempt, manner)

    def hang(self) -> Coroutine[None]:
        while self.silent and self.alive:
            yield from self.kernel.sleep(20 * MS)

    def start(self, stream: Stream, attempt: Attempt, manner: Manner) -> Coroutine[None]:
        tag = attempt.call_id
        self.end(self.out.pop((stream, tag)), AttemptEnd.STARTED)
        attempt.description = f"{self.chance.getrandbits(64):016x}\r\nc=IN IP4 10.9.9.9\r\n"
        answer = {"verb": "STARTED", "tag": tag, "opts": {}, "blob": attempt.description}
        data = json.dumps(answer).encode() + b"\n"
        self.standing[tag] = attempt, stream
        if manner is Manner.STRAY_FIRST:
            stray = answer | {"tag": f"{self.chance.getrandbits(64):016x}"}
            stream.write(json.dumps(stray).encode() + b"\n")
        if manner is Manner.SLOW_WRITER:
            middle = self.chance.randrange(1, len(data))
            stream.write(data[:middle])
            yield from self.kernel.sleep(self.chance.randint(1, 40) * MS)
            data = data[middle:]
        stream.write(data)
        if manner is Manner.TWICE:
            yield from self.kernel.sleep(self.chance.randint(0, 5) * MS)
            stream.write(json.dumps(answer).encode() + b"\n")
        yield from self.kernel.sleep(round(self.holding * (0.5 + self.chance.random())))
        yield from self.hang()
        if self.standing.get(tag, (None,))[0] is attempt and self.alive:
            self.finish(tag)

    def finish(self, tag: str) -> None:
        """The call has come to its end: said on its own connection, else on another, and on the next one."""
        attempt, stream = self.standing.pop(tag)
        attempt.released_at = self.kernel.now()
        data = json.dumps({"verb": "FINISH", "tag": tag, "opts": {}, "rc": lines.NORMAL}).encode() + b"\n"
        agent = self.record.requests[tag].agent
        self.owed.setdefault(agent, []).append((attempt, data))
        others = [other for other, its_agent in self.streams.items() if its_agent == agent]
        if stream in others:
            stream.write(data)
        elif others:
            others[0].write(data)

    def released(self, stream: Stream, tag: str) -> None:
        attempt = self.out.pop((stream, tag), None)
        if attempt is not None:
            self.end(attempt, AttemptEnd.GIVEN_UP)
        self.standing.pop(tag, None)
        self.say(stream, {"verb": "FINISHED", "tag": tag})

    def end(self, attempt: Attempt, end: AttemptEnd) -> None:
        attempt.ended_at, attempt.end = self.kernel.now(), end

    def die(self) -> None:
        """The process ends: its connections are reset and nothing listens any more."""
        self.alive = False
        for listener in self.listeners:
            listener.close()
        for stream in list(self.streams):
            stream.abort()
        for attempt, _ in self.standing.values():
            attempt.cut_at = self.kernel.now()
        self.standing.clear()

    def end_one(self, by_reset: bool) -> None:
        """One connection is reset or closed under whatever is open on it."""
        if self.streams:
            stream = self.chance.choice(list(self.streams))
            if by_reset:
                stream.abort()
            else:
                stream.close()
