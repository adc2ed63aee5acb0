"""Follows the exchange list in a key-value registry (etcd) over HTTP.

This module only does the I/O. `Follower` decides what to read and watch, and `MembershipTracker` which
changes of the list take effect. There is one connection at a time; after a failure the next endpoint is
tried, in an order that each agent shuffles for itself.
"""

from __future__ import annotations

from collections.abc import Callable

from peattrestle.membership.exchange_list import MembershipTracker, MembershipUpdate
from peattrestle.registry import etcd
from peattrestle.registry.follower import (
    Action,
    Apply,
    ConfirmUnchanged,
    Follower,
    RequestRead,
    RequestWatch,
    Wait,
)
from peattrestle.registry.http import BadAnswer, End, Head, HttpRequest, LineSplitter, Part
from peattrestle.runtime import ConnectFailed, ConnectionLost, Coroutine, Kernel, Stream, TimedOut

Log = Callable[..., None]
MAX_BODY_BYTES = 8 << 20  # of the answer to a read
MAX_LINE_BYTES = 4 << 20  # of one message of a watch


class RegistryClient:
    """The registry client of one agent. All times are nanoseconds.

    `on_update(is_full, update)` receives the changes of the list in order; the first complete list is full.
    `count(name)` increments a counter. `label` names the agent to the registry.

    `dial_timeout`: connect timeout. `answer_timeout`: timeout of a read. `idle_timeout`: idle timeout of a
    watch; it is resumed on a new connection without losing a change, since a half-open connection is detected
    in no other way. `min_retry_wait` and `max_retry_wait`: first and longest wait of the backoff after a
    failure.
    """

    def __init__(
        self,
        kernel: Kernel,
        endpoints: tuple[str, ...],
        prefix: str,
        on_update: Callable[[bool, MembershipUpdate], None],
        log: Log,
        count: Callable[[str], None],
        label: str,
        dial_timeout: int,
        answer_timeout: int,
        idle_timeout: int,
        min_retry_wait: int,
        max_retry_wait: int,
    ) -> None:
        self.kernel, self.on_update, self.log, self.count, self.label = kernel, on_update, log, count, label
        self.dial_timeout, self.answer_timeout, self.idle_timeout = dial_timeout, answer_timeout, idle_timeout
        self.prefix = prefix.encode()
        self.follower, self.membership = (
            Follower(min_retry_wait, max_retry_wait),
            MembershipTracker(self.prefix),
        )
        self.rng = kernel.random_for("registry")
        self.endpoints = list(endpoints)
        self.rng.shuffle(self.endpoints)
        self.initial_read_done = False

    def run(self) -> Coroutine[None]:
        """Follows the registry for ever."""
        # Jitter: agents that start together should not read at the same time.
        yield from self.kernel.sleep(self.rng.randint(0, self.follower.min_retry_delay))
        self.kernel.spawn(self.publish_due_changes(), "roll")
        steps = self.follower.start_request()
        while True:
            remote_step = self.run_local_steps(steps)
            try:
                steps = yield from self.perform_remote_step(remote_step)
            except (ConnectFailed, ConnectionLost, TimedOut) as error:
                steps = self.on_failure(str(error) or "timed out waiting for an answer")
            except BadAnswer as error:
                self.count("registry_bad_answers")
                steps = self.on_failure(f"bad answer: {error}")

    def on_failure(self, reason: str) -> list[Action]:
        """Logs a failure and moves on to the next endpoint; returns the follower's next steps."""
        self.log(
            "warning",
            "registry lost",
            endpoint=self.endpoints[0],
            why=reason,
            revision=self.follower.revision,
        )
        self.endpoints.append(self.endpoints.pop(0))
        return self.follower.on_connection_lost(self.rng.random())

    def run_local_steps(self, steps: list[Action]) -> Action:
        """Applies the steps that need no connection, and returns the last one, which always does."""
        for step in steps[:-1]:
            self.apply_step(step)
        return steps[-1]

    def apply_step(self, step: Action) -> None:
        """Applies changes, or the confirmation that nothing has changed, to the membership."""
        now = self.kernel.now()
        if isinstance(step, ConfirmUnchanged):
            self.membership.confirm(now)
        elif isinstance(step, Apply):
            if step.replaced_reason:
                self.log("warning", "connected to another registry than before", why=step.replaced_reason)
            changes = [(change.key, change.value, change.created) for change in step.changes]
            self.publish(
                self.membership.apply(now, changes), step.is_full_read and not self.initial_read_done
            )
            self.initial_read_done |= step.is_full_read

    def publish(self, update: MembershipUpdate, is_full: bool) -> None:
        """Logs the tracker's warnings and passes on its changes, if any."""
        for warning in update.log_messages:
            self.log("warning", warning, origin="registry")
        if update.members or is_full:
            self.on_update(is_full, update)

    def publish_due_changes(self) -> Coroutine[None]:
        """Publishes changes that come due with time: doubtful removals and delayed returns."""
        while True:
            yield from self.kernel.sleep(250_000_000)
            due = self.membership.next_due_at()
            if 0 <= due <= self.kernel.now():
                self.publish(self.membership.advance(self.kernel.now()), False)

    def perform_remote_step(self, step: Action) -> Coroutine[list[Action]]:
        """Waits, reads or watches; returns the next steps.

        Raises ConnectFailed, ConnectionLost, TimedOut, BadAnswer.
        """
        if isinstance(step, Wait):
            yield from self.kernel.sleep(step.length)
            return self.follower.start_request()
        endpoint = self.endpoints[0]
        stream = yield from self.kernel.connect(endpoint, self.dial_timeout, self.label)
        try:
            http_request = HttpRequest(endpoint, f"peattrestle/{self.label}")
            if isinstance(step, RequestRead):
                stream.write(http_request.post(etcd.RANGE, etcd.range_request(self.prefix)))
                result = yield from self.kernel.with_timeout(
                    self.answer_timeout,
                    self.read_answer(stream, http_request),
                    "timed out waiting for the registry's answer",
                )
                if isinstance(result, etcd.ErrorAnswer):
                    return self.follower.on_error(result, self.rng.random())
                return self.follower.on_read(etcd.read_range(result))
            assert isinstance(step, RequestWatch)
            stream.write(http_request.post(etcd.WATCH, etcd.watch_request(self.prefix, step.since)))
            return (yield from self.follow_watch(stream, http_request))
        finally:
            stream.close()

    def read_answer(self, stream: Stream, http_request: HttpRequest) -> Coroutine[bytes | etcd.ErrorAnswer]:
        """Reads a complete answer, or the error that the registry named. Raises ConnectionLost, BadAnswer."""
        body, status = bytearray(), 0
        while True:
            data = yield from stream.read()
            for piece in http_request.feed(data):
                if isinstance(piece, Head):
                    status = piece.status
                elif isinstance(piece, Part):
                    body += piece.data
                    if len(body) > MAX_BODY_BYTES:
                        raise BadAnswer(f"answer longer than {MAX_BODY_BYTES} bytes")
                elif isinstance(piece, End):
                    return bytes(body) if status == 200 else etcd.read_error(bytes(body))
            if not data:
                raise ConnectionLost("connection closed before the end of the answer")

    def follow_watch(self, stream: Stream, http_request: HttpRequest) -> Coroutine[list[Action]]:
        """Follows a watch until it ends; returns the next steps.

        Raises ConnectionLost, TimedOut, BadAnswer.
        """
        lines, status = LineSplitter(MAX_LINE_BYTES), 0
        while True:
            try:
                data = yield from self.kernel.with_timeout(
                    self.idle_timeout, stream.read(), "timed out waiting for the watch"
                )
            except TimedOut:
                if status != 200:
                    raise
                self.count("registry_quiet")
                return self.follower.start_request()
            for piece in http_request.feed(data):
                if isinstance(piece, Head):
                    status = piece.status
                elif isinstance(piece, Part):
                    for line in lines.feed(piece.data):
                        steps = self.handle_watch_line(line, status)
                        if steps:
                            return steps
                elif isinstance(piece, End):
                    rest = lines.end()
                    steps = self.handle_watch_line(rest, status) if rest else []
                    if steps:
                        return steps
                    raise ConnectionLost("the registry ended the watch")
            if not data:
                raise ConnectionLost("connection closed during the watch")

    def handle_watch_line(self, line: bytes, status: int) -> list[Action]:
        """Applies one message of the watch; returned steps end the watch. Raises BadAnswer."""
        if status != 200:
            return self.follower.on_error(etcd.read_error(line), self.rng.random())
        message = etcd.read_watch_response(line)
        if isinstance(message, etcd.ErrorAnswer):
            return self.follower.on_error(message, self.rng.random())
        steps = self.follower.on_watch_message(message, self.rng.random())
        for index, step in enumerate(steps):
            if isinstance(step, RequestRead | RequestWatch | Wait):
                return steps[index:]
            self.apply_step(step)
        return []
