"""A link to one exchange: made, kept alive, made again after growing, drawn waits."""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Callable
from typing import Protocol

from peattrestle.agent.calls import RouteTry
from peattrestle.h248 import package
from peattrestle.h248.session import BadPeer, Heard, Session
from peattrestle.h248.transactions import Full, Transactions
from peattrestle.runtime import Coroutine, Event, Kernel, Lost, Refused, Stream, TimedOut, Timer
from peattrestle.settings.agent import Agent as Settings

MOST_OWED = 10_000
RELEASE_REPEAT_MOST = 30_000_000_000


class Owner(Protocol):
    """What a link tells the agent."""

    def link_up(self, link: Link) -> None: ...
    def link_lost(self, link: Link, tries: list[RouteTry], why: str) -> None: ...
    def link_heard(self, link: Link, heard: Heard) -> None: ...


class Release:
    """A Subtract under way: kept until its reply has come, sent again, over a new connection if need be."""

    __slots__ = ("context", "termination", "call", "exchange", "sent", "timer", "transaction")

    def __init__(self, context: str, termination: str, call: int, exchange: str) -> None:
        self.context, self.termination = context, termination
        self.call, self.exchange = call, exchange
        self.sent = 0
        self.timer: Timer | None = None
        self.transaction = 0


class Link:
    """`address` may change while it lives; `ready` is set once the first attempt has ended either way."""

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        owner: Owner,
        exchange: str,
        address: str,
        mid: str,
        log: Callable[..., None],
        first: int,
        run: str,
    ) -> None:
        self.kernel, self.settings, self.owner = kernel, settings, owner
        self.exchange, self.address, self.mid, self.log = exchange, address, mid, log
        self.run_name = run
        limits = settings.limits
        self.transactions = Transactions(first, limits.open_requests, limits.kept_replies)
        self.session: Session | None = None
        self.stream: Stream | None = None
        self.up = self.tried = self.closing = False
        self.draw = kernel.chance(f"link/{exchange}")
        self.heard_at = self.greeted_at = 0
        self.audits = 0
        self.owed: deque[Release] = deque()
        self.releases: dict[int, Release] = {}
        self.wanted = Event(kernel)  # a call asks for it while it waits to be made
        self.task = kernel.spawn(self.run(), f"link {exchange}")

    def run(self) -> Coroutine[None]:
        links, wait = self.settings.links, self.settings.links.retry_least
        if links.restart_wait:
            # H.248.1's restart avalanche procedure: a drawn wait, ended by a user's wish.
            with contextlib.suppress(TimedOut):
                yield from self.kernel.within(self.draw.randint(0, links.restart_wait), self.wanted.wait())
        while not self.closing:
            why = ""
            try:
                stream = yield from self.kernel.connect(self.address, links.dial_timeout, self.settings.label)
            except (Refused, ValueError) as fault:
                why = str(fault)
            else:
                started = self.kernel.now()
                why = yield from self.converse(stream)
                stream.close()
                if self.kernel.now() - started > links.retry_most:
                    wait = links.retry_least
            self.tried = True
            self.down(why)
            if self.closing:
                return
            # Drawn from half to all of it: links that were lost together must not come back together.
            yield from self.kernel.sleep(round(wait * (1 + self.draw.random()) / 2))
            wait = min(2 * wait, links.retry_most)

    def converse(self, stream: Stream) -> Coroutine[str]:
        self.stream = stream
        self.session = session = Session(
            self.mid, self.transactions, stream.write, self.settings.limits.message
        )
        hello = session.request("hello", self.hello_text)
        self.kernel.at(
            self.kernel.now() + self.settings.links.release_repeat, lambda: self.hello_again(session, hello)
        )
        self.heard_at = self.greeted_at = self.kernel.now()
        self.audits = 0
        keeper = self.kernel.spawn(self.keep_alive(stream), f"keepalive {self.exchange}")
        try:
            while True:
                data = yield from stream.read()
                if not data:
                    return "the exchange closed the link"
                self.heard_at, self.audits = self.kernel.now(), 0
                heard = session.feed(self.heard_at, data)
                if not self.up:
                    self.up = self.tried = True
                    self.owner.link_up(self)
                    while self.owed:
                        self.send_release(self.owed.popleft())
                for one in heard:
                    self.owner.link_heard(self, one)
                if stream.unsent > self.settings.limits.unread:
                    stream.abort()
                    return f"it left {stream.unsent} bytes unread"
        except Lost as fault:
            return str(fault)
        except BadPeer as fault:
            return f"bad peer: {fault}"
        finally:
            keeper.cancel()

    def hello_text(self, number: int) -> str:
        return package.service_change_text(
            number,
            "Restart",
            "901 Cold Boot",
            f"Version=1,ptc/num={self.settings.number},ptc/run={self.run_name}",
        )

    def hello_again(self, session: Session, number: int) -> None:
        """Until it is answered: the answer alone tells that the exchange has started anew, and so that it is
        cold, and that what was set up before is gone. The same transaction: it is carried out once."""
        if self.session is session and self.transactions.open.get(number) == "hello":
            session.send(self.hello_text(number))
            again = self.kernel.now() + self.settings.links.release_repeat
            self.kernel.at(again, lambda: self.hello_again(session, number))

    def keep_alive(self, stream: Stream) -> Coroutine[None]:
        """Two audits without any answer end the link: a peer that accepts and never speaks is no link."""
        period = self.settings.links.keepalive
        while True:
            yield from self.kernel.sleep(period)
            if self.kernel.now() - self.heard_at < period:
                continue
            if self.audits >= 2:
                stream.abort()
                return
            self.audits += 1
            if self.session is not None:
                try:
                    self.session.request(
                        None,
                        lambda number: (f"Transaction={number}{{Context=-{{AuditValue=ROOT{{Audit{{}}}}}}}}"),
                    )
                except Full:
                    stream.abort()
                    return

    def down(self, why: str) -> None:
        self.session = self.stream = None
        tries = [kept for kept in self.transactions.lost() if isinstance(kept, RouteTry)]
        for release in self.releases.values():
            if release.timer is not None:
                release.timer.cancel()
            self.owe(release)
        self.releases.clear()
        was_up, self.up = self.up, False
        if was_up or tries:
            self.owner.link_lost(self, tries, why)

    # Set-ups and releases.

    def set_up(self, one: RouteTry, asked: package.SetUpAsked) -> bool:
        """False where the link is down or has no room: nothing was sent."""
        if self.session is None or not self.up:
            self.wanted.set()
            return False
        try:
            one.transaction = self.session.request(one, lambda number: package.add_text(number, asked))
        except Full:
            return False
        return True

    def release(self, context: str, termination: str, call: int) -> None:
        self.send_release(Release(context, termination, call, self.exchange))

    def send_release(self, release: Release) -> None:
        if self.session is None or not self.up:
            self.owe(release)
            return
        try:
            release.transaction = self.session.request(
                release, lambda number: package.subtract_text(number, release.context, release.termination)
            )
        except Full:
            self.owe(release)
            return
        self.releases[release.transaction] = release
        self.await_reply(release)

    def await_reply(self, release: Release) -> None:
        """It is asked again, ever more seldom, for as long as the link stands: what it frees is freed by
        nothing else, and a region may be cut off for long. The same transaction: it is carried out once."""
        wait = min(self.settings.links.release_repeat << min(release.sent, 10), RELEASE_REPEAT_MOST)
        release.sent += 1
        release.timer = self.kernel.at(self.kernel.now() + wait, lambda: self.unconfirmed(release))

    def unconfirmed(self, release: Release) -> None:
        if self.session is None or release.transaction not in self.releases:
            return
        self.session.send(package.subtract_text(release.transaction, release.context, release.termination))
        self.await_reply(release)

    def released(self, release: Release, code: int) -> None:
        """`code`: of the reply. What the exchange does not know is free; any other error is asked again."""
        if release.timer is not None:
            release.timer.cancel()
        self.releases.pop(release.transaction, None)
        if code not in (0, package.UNKNOWN_TERMINATION, package.UNKNOWN_CONTEXT):
            wait = min(self.settings.links.release_repeat << min(release.sent, 10), RELEASE_REPEAT_MOST)
            self.kernel.at(self.kernel.now() + wait, lambda: self.send_release(release))

    def owe(self, release: Release) -> None:
        release.sent = 0
        if len(self.owed) >= MOST_OWED:
            lost = self.owed.popleft()
            self.log(
                "warning",
                "too many releases are owed: one is dropped",
                exchange=self.exchange,
                termination=lost.termination,
            )
        self.owed.append(release)

    def close(self) -> None:
        self.closing = True
        if self.stream is not None:
            self.stream.close()
        self.task.cancel()
        for release in self.releases.values():
            if release.timer is not None:
                release.timer.cancel()
        self.releases.clear()
