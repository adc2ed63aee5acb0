"""A link to one exchange: an H.248 connection that is kept alive and re-established when it is lost.

Reconnects use exponential backoff with jitter. Subtracts (releases) are sent until the exchange has confirmed
them, over a new connection if need be.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Callable
from typing import Protocol

from peattrestle.agent.calls import RouteTry
from peattrestle.h248 import package
from peattrestle.h248.session import ProtocolViolation, Session, SessionEvent
from peattrestle.h248.transactions import TooManyOpenRequests, Transactions
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
from peattrestle.settings.agent import Agent as Settings

MAX_PENDING_RELEASES = 10_000  # releases that wait for a connection, for one exchange
MAX_RELEASE_REPEAT_INTERVAL = 30_000_000_000  # nanoseconds


class LinkObserver(Protocol):
    """Receives the events of links: up, lost (with the route tries still open), and those of the session."""

    def on_link_up(self, link: Link) -> None: ...
    def on_link_lost(self, link: Link, route_tries: list[RouteTry], reason: str) -> None: ...
    def on_link_event(self, link: Link, event: SessionEvent) -> None: ...


class Release:
    """A Subtract that is sent again until it has a reply, over a new connection if need be.

    `transaction_id` is the id of its open request; `attempts` counts the times it was sent over this
    connection.
    """

    __slots__ = ("context", "termination", "call", "exchange", "attempts", "timer", "transaction_id")

    def __init__(self, context: str, termination: str, call: int, exchange: str) -> None:
        self.context, self.termination = context, termination
        self.call, self.exchange = call, exchange
        self.attempts = 0
        self.timer: Timer | None = None
        self.transaction_id = 0


class Link:
    """A link to the exchange named `exchange`; its task starts at once.

    `address` may change at any time and applies to the next connection attempt. `up`: the exchange has sent
    something over this connection. `first_attempt_done`: the first connection attempt succeeded or failed.
    `unused_since`: when the last call of a removed exchange was over, in nanoseconds; 0 before that.
    """

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        observer: LinkObserver,
        exchange: str,
        address: str,
        mid: str,
        log: Callable[..., None],
        first_transaction_id: int,
        run_id: str,
    ) -> None:
        self.kernel, self.settings, self.observer = kernel, settings, observer
        self.exchange, self.address, self.mid, self.log = exchange, address, mid, log
        self.run_id = run_id
        limits = settings.limits
        self.transactions = Transactions(first_transaction_id, limits.open_requests, limits.kept_replies)
        self.session: Session | None = None
        self.stream: Stream | None = None
        self.up = self.first_attempt_done = self.closing = False
        self.rng = kernel.random_for(f"link/{exchange}")
        self.last_received_at = self.hello_sent_at = self.unused_since = 0
        self.unanswered_audits = 0
        self.pending_releases: deque[Release] = deque()  # wait for a connection
        self.releases: dict[int, Release] = {}  # sent and not confirmed, by transaction id
        self.connect_requested = Event(kernel)  # set by a call that needs the link before its first attempt
        self.task = kernel.spawn(self.run(), f"link {exchange}")

    def run(self) -> Coroutine[None]:
        """Connects, and reconnects after each loss, until `close`."""
        links, wait = self.settings.links, self.settings.links.retry_least
        if links.restart_wait:
            # Restart avalanche procedure of H.248.1: a random wait, cut short when a call needs the link.
            with contextlib.suppress(TimedOut):
                yield from self.kernel.with_timeout(
                    self.rng.randint(0, links.restart_wait), self.connect_requested.wait()
                )
        while not self.closing:
            reason = ""
            try:
                stream = yield from self.kernel.connect(self.address, links.dial_timeout, self.settings.label)
            except (ConnectFailed, ValueError) as error:
                reason = str(error)
            else:
                started = self.kernel.now()
                reason = yield from self.run_session(stream)
                stream.close()
                if self.kernel.now() - started > links.retry_most:
                    wait = links.retry_least
            self.first_attempt_done = True
            self.on_disconnected(reason)
            if self.closing:
                return
            # Jitter, from half of the wait to all of it: links lost together must not reconnect together.
            yield from self.kernel.sleep(round(wait * (1 + self.rng.random()) / 2))
            wait = min(2 * wait, links.retry_most)

    def run_session(self, stream: Stream) -> Coroutine[str]:
        """Sends the hello and handles what is received until the connection ends; returns why it ended."""
        self.stream = stream
        self.session = session = Session(
            self.mid, self.transactions, stream.write, self.settings.limits.message
        )
        hello_id = session.request("hello", self.hello_text)
        self.kernel.call_at(
            self.kernel.now() + self.settings.links.release_repeat,
            lambda: self.resend_hello(session, hello_id),
        )
        self.last_received_at = self.hello_sent_at = self.kernel.now()
        self.unanswered_audits = 0
        keepalive_task = self.kernel.spawn(self.keep_alive(stream), f"keepalive {self.exchange}")
        try:
            while True:
                data = yield from stream.read()
                if not data:
                    return "the exchange closed the link"
                self.last_received_at, self.unanswered_audits = self.kernel.now(), 0
                events = session.feed(self.last_received_at, data)
                if not self.up:
                    self.up = self.first_attempt_done = True
                    self.observer.on_link_up(self)
                    while self.pending_releases:
                        self.send_release(self.pending_releases.popleft())
                for event in events:
                    self.observer.on_link_event(self, event)
                if stream.unsent > self.settings.limits.unread:
                    stream.abort()
                    return f"exchange left {stream.unsent} bytes unread"
        except ConnectionLost as error:
            return str(error)
        except ProtocolViolation as error:
            return f"bad peer: {error}"
        finally:
            keepalive_task.cancel()

    def hello_text(self, transaction_id: int) -> str:
        """The ServiceChange that opens a connection."""
        return package.service_change_text(
            transaction_id,
            "Restart",
            "901 Cold Boot",
            f"Version=1,ptc/num={self.settings.number},ptc/run={self.run_id}",
        )

    def resend_hello(self, session: Session, transaction_id: int) -> None:
        """Sends the hello again, every `release_repeat`, until it is answered.

        Only the answer says that the exchange has restarted: that it is cold and has lost its calls. The
        transaction id stays the same, so that the exchange carries it out once.
        """
        if self.session is session and self.transactions.open.get(transaction_id) == "hello":
            session.send(self.hello_text(transaction_id))
            resend_at = self.kernel.now() + self.settings.links.release_repeat
            self.kernel.call_at(resend_at, lambda: self.resend_hello(session, transaction_id))

    def keep_alive(self, stream: Stream) -> Coroutine[None]:
        """Audits an idle connection every `keepalive`, and aborts it after two audits without an answer.

        This detects a peer that accepts connections but never answers.
        """
        period = self.settings.links.keepalive
        while True:
            yield from self.kernel.sleep(period)
            if self.kernel.now() - self.last_received_at < period:
                continue
            if self.unanswered_audits >= 2:
                stream.abort()
                return
            self.unanswered_audits += 1
            if self.session is not None:
                try:
                    self.session.request(
                        None,
                        lambda transaction_id: (
                            f"Transaction={transaction_id}{{Context=-{{AuditValue=ROOT{{Audit{{}}}}}}}}"
                        ),
                    )
                except TooManyOpenRequests:
                    stream.abort()
                    return

    def on_disconnected(self, reason: str) -> None:
        """Queues unconfirmed releases for the next connection, and reports the open route tries as lost."""
        self.session = self.stream = None
        route_tries = [
            attachment for attachment in self.transactions.close_all() if isinstance(attachment, RouteTry)
        ]
        for release in self.releases.values():
            if release.timer is not None:
                release.timer.cancel()
            self.queue_release(release)
        self.releases.clear()
        was_up, self.up = self.up, False
        if was_up or route_tries:
            self.observer.on_link_lost(self, route_tries, reason)

    # Set-ups and releases.

    def set_up(self, route_try: RouteTry, request: package.SetUpRequest) -> bool:
        """Sends a set-up. False where the link is down or has too many open requests: nothing was sent."""
        if self.session is None or not self.up:
            self.connect_requested.set()
            return False
        try:
            route_try.transaction_id = self.session.request(
                route_try, lambda transaction_id: package.add_text(transaction_id, request)
            )
        except TooManyOpenRequests:
            return False
        return True

    @property
    def owes_releases(self) -> bool:
        """Whether a release is queued, or sent and not confirmed."""
        return bool(self.pending_releases or self.releases)

    def release(self, context: str, termination: str, call: int) -> None:
        """Releases a termination at the exchange; retries until the exchange confirms it."""
        self.send_release(Release(context, termination, call, self.exchange))

    def send_release(self, release: Release) -> None:
        """Sends a release as a new request, or queues it where that is not possible now."""
        if self.session is None or not self.up:
            self.queue_release(release)
            return
        try:
            release.transaction_id = self.session.request(
                release,
                lambda transaction_id: package.subtract_text(
                    transaction_id, release.context, release.termination
                ),
            )
        except TooManyOpenRequests:
            self.queue_release(release)
            return
        self.releases[release.transaction_id] = release
        self.schedule_resend(release)

    def schedule_resend(self, release: Release) -> None:
        """Schedules the next attempt of a sent release, with exponential backoff, while the link is up.

        Nothing else frees the circuits, and a region may be unreachable for long, so there is no limit on
        attempts. The transaction id stays the same, so that the exchange carries it out once.
        """
        wait = min(
            self.settings.links.release_repeat << min(release.attempts, 10), MAX_RELEASE_REPEAT_INTERVAL
        )
        release.attempts += 1
        release.timer = self.kernel.call_at(self.kernel.now() + wait, lambda: self.resend_release(release))

    def resend_release(self, release: Release) -> None:
        """Sends a release again that has had no reply."""
        if self.session is None or release.transaction_id not in self.releases:
            return
        self.session.send(package.subtract_text(release.transaction_id, release.context, release.termination))
        self.schedule_resend(release)

    def on_release_reply(self, release: Release, code: int) -> None:
        """Handles the reply to a release. `code`: its error code, 0 for success.

        A termination or context that the exchange does not know is free already; after any other error the
        release is sent again.
        """
        if release.timer is not None:
            release.timer.cancel()
        self.releases.pop(release.transaction_id, None)
        if code not in (0, package.UNKNOWN_TERMINATION, package.UNKNOWN_CONTEXT):
            wait = min(
                self.settings.links.release_repeat << min(release.attempts, 10), MAX_RELEASE_REPEAT_INTERVAL
            )
            self.kernel.call_at(self.kernel.now() + wait, lambda: self.send_release(release))

    def queue_release(self, release: Release) -> None:
        """Keeps a release for the next connection; drops the oldest one when the queue is full."""
        release.attempts = 0
        if len(self.pending_releases) >= MAX_PENDING_RELEASES:
            dropped = self.pending_releases.popleft()
            self.log(
                "warning",
                "release queue full: oldest release dropped",
                exchange=self.exchange,
                termination=dropped.termination,
            )
        self.pending_releases.append(release)

    def close(self) -> None:
        """Closes the connection and ends the link's task and its timers; releases still owed are dropped."""
        self.closing = True
        if self.owes_releases:
            count = len(self.pending_releases) + len(self.releases)
            self.log("warning", "releases dropped with their link", exchange=self.exchange, releases=count)
        if self.stream is not None:
            self.stream.close()
        self.task.cancel()
        for release in self.releases.values():
            if release.timer is not None:
                release.timer.cancel()
        self.releases.clear()
