"""The exchange list out of a key-value registry: the client's decisions and the roll's, over streams.

One connection at a time, to one endpoint of those given; after a break the next, in an order of its own.
"""

from __future__ import annotations

from collections.abc import Callable

from peattrestle.membership.roll import Roll, Told
from peattrestle.registry import etcd
from peattrestle.registry.follower import Apply, Do, Follower, Read, Vouch, Wait, Watch
from peattrestle.registry.http import BadAnswer, Conversation, End, Head, Lines, Part
from peattrestle.runtime import Coroutine, Kernel, Lost, Refused, Stream, TimedOut

Log = Callable[..., None]
MOST_BODY = 8 << 20
MOST_LINE = 4 << 20


class Registry:
    """`tell(whole, told)` takes what the roll says, in order. Times in nanoseconds.

    `quiet`: a watch that has said nothing for so long is taken up anew from where it was: a half-open
    connection is told by nothing else, and no change is lost by it.
    """

    def __init__(
        self,
        kernel: Kernel,
        endpoints: tuple[str, ...],
        prefix: str,
        tell: Callable[[bool, Told], None],
        log: Log,
        count: Callable[[str], None],
        label: str,
        dial: int,
        answer: int,
        quiet: int,
        least: int,
        most: int,
    ) -> None:
        self.kernel, self.tell, self.log, self.count, self.label = kernel, tell, log, count, label
        self.dial, self.answer_time, self.quiet = dial, answer, quiet
        self.prefix = prefix.encode()
        self.follower, self.roll = Follower(least, most), Roll(self.prefix)
        self.draw = kernel.chance("registry")
        self.endpoints = list(endpoints)
        self.draw.shuffle(self.endpoints)
        self.was_read = False

    def run(self) -> Coroutine[None]:
        # Agents that start together do not read together.
        yield from self.kernel.sleep(self.draw.randint(0, self.follower.least))
        self.kernel.spawn(self.look(), "roll")
        todo = self.follower.due()
        while True:
            wanted = self.work(todo)
            try:
                todo = yield from self.perform(wanted)
            except (Refused, Lost, TimedOut) as fault:
                todo = self.broke(str(fault) or "no answer in time")
            except BadAnswer as fault:
                self.count("registry_bad_answers")
                todo = self.broke(f"bad answer: {fault}")

    def broke(self, why: str) -> list[Do]:
        self.log(
            "warning", "registry lost", endpoint=self.endpoints[0], why=why, revision=self.follower.revision
        )
        self.endpoints.append(self.endpoints.pop(0))
        return self.follower.broken(self.draw.random())

    def work(self, todo: list[Do]) -> Do:
        """Carries out what needs no registry; the last of it always does."""
        for one in todo[:-1]:
            self.carry_out(one)
        return todo[-1]

    def carry_out(self, one: Do) -> None:
        now = self.kernel.now()
        if isinstance(one, Vouch):
            self.roll.vouch(now)
        elif isinstance(one, Apply):
            if one.strange:
                self.log("warning", "the registry is another than before", why=one.strange)
            changes = [(change.key, change.value, change.created) for change in one.changes]
            self.say(self.roll.apply(now, changes), one.whole and not self.was_read)
            self.was_read |= one.whole

    def say(self, told: Told, whole: bool) -> None:
        for note in told.notes:
            self.log("warning", note, origin="registry")
        if told.members or whole:
            self.tell(whole, told)

    def look(self) -> Coroutine[None]:
        """Doubt that has lasted and returns that were put off."""
        while True:
            yield from self.kernel.sleep(250_000_000)
            due = self.roll.due()
            if 0 <= due <= self.kernel.now():
                self.say(self.roll.look(self.kernel.now()), False)

    def perform(self, wanted: Do) -> Coroutine[list[Do]]:
        if isinstance(wanted, Wait):
            yield from self.kernel.sleep(wanted.length)
            return self.follower.due()
        endpoint = self.endpoints[0]
        stream = yield from self.kernel.connect(endpoint, self.dial, self.label)
        try:
            talk = Conversation(endpoint, f"peattrestle/{self.label}")
            if isinstance(wanted, Read):
                stream.write(talk.post(etcd.RANGE, etcd.range_of(self.prefix)))
                body = yield from self.kernel.within(
                    self.answer_time, self.body(stream, talk), "registry answer"
                )
                if isinstance(body, etcd.Failed):
                    return self.follower.failed(body, self.draw.random())
                return self.follower.read(etcd.read_range(body))
            assert isinstance(wanted, Watch)
            stream.write(talk.post(etcd.WATCH, etcd.watch_of(self.prefix, wanted.since)))
            return (yield from self.watch(stream, talk))
        finally:
            stream.close()

    def body(self, stream: Stream, talk: Conversation) -> Coroutine[bytes | etcd.Failed]:
        """A whole answer. Raises Lost, BadAnswer."""
        held, status = bytearray(), 0
        while True:
            data = yield from stream.read()
            for piece in talk.feed(data):
                if isinstance(piece, Head):
                    status = piece.status
                elif isinstance(piece, Part):
                    held += piece.data
                    if len(held) > MOST_BODY:
                        raise BadAnswer(f"an answer of more than {MOST_BODY} bytes")
                elif isinstance(piece, End):
                    return bytes(held) if status == 200 else etcd.read_failed(bytes(held))
            if not data:
                raise Lost("closed in mid-answer")

    def watch(self, stream: Stream, talk: Conversation) -> Coroutine[list[Do]]:
        """Follows a watch until it ends; what comes after it is given back."""
        lines, status = Lines(MOST_LINE), 0
        while True:
            try:
                data = yield from self.kernel.within(self.quiet, stream.read(), "registry news")
            except TimedOut:
                if status != 200:
                    raise
                self.count("registry_quiet")
                return self.follower.due()
            for piece in talk.feed(data):
                if isinstance(piece, Head):
                    status = piece.status
                elif isinstance(piece, Part):
                    for line in lines.feed(piece.data):
                        todo = self.heard(line, status)
                        if todo:
                            return todo
                elif isinstance(piece, End):
                    rest = lines.end()
                    todo = self.heard(rest, status) if rest else []
                    if todo:
                        return todo
                    raise Lost("the watch ended")
            if not data:
                raise Lost("closed in mid-watch")

    def heard(self, line: bytes, status: int) -> list[Do]:
        """Carries one line out; what it gives back ends the watch."""
        if status != 200:
            return self.follower.failed(etcd.read_failed(line), self.draw.random())
        news = etcd.read_news(line)
        if isinstance(news, etcd.Failed):
            return self.follower.failed(news, self.draw.random())
        todo = self.follower.news(news, self.draw.random())
        for at, one in enumerate(todo):
            if isinstance(one, Read | Watch | Wait):
                return todo[at:]
            self.carry_out(one)
        return []
