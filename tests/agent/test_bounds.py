"""Limits on the callers' port, slow calls, connection resets and log lines, on the virtual kernel."""

from __future__ import annotations

import contextlib
from dataclasses import replace
from typing import Any

import pytest

from peattrestle.agent.agent import CallAgent
from peattrestle.h248 import package
from peattrestle.h248.package import SetUpRequest
from peattrestle.h248.session import Session, SessionEvent
from peattrestle.h248.transactions import PendingReceived, ReplyReceived, Transactions
from peattrestle.rehearsal.script import Bearer, Fleet, Script
from peattrestle.rehearsal.world import World
from peattrestle.runtime import ConnectionLost, Coroutine, Stream
from peattrestle.runtime.virtual import Network, VirtualKernel
from peattrestle.settings.agent import Limits

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds
SCRIPT = Script(
    length=SECOND, fleet=Fleet(exchanges=2, regions=("a",), no_group=0.0), bearer=(Bearer(label="line"),)
)


class AgentHarness:
    """Two exchanges, an agent beside the first, and gateways that the test drives by hand."""

    def __init__(self, limits: Limits, log_level: str = "info") -> None:
        self.kernel = VirtualKernel(1, Network(window=8192))
        self.world = World(self.kernel, SCRIPT)
        self.logs: list[tuple[str, str, dict[str, Any]]] = []
        settings = replace(self.world.agent_settings(0, "127.0.0.1:2944"), limits=limits, log_level=log_level)
        self.agent = CallAgent(
            self.kernel, settings, lambda level, text, **fields: self.logs.append((level, text, fields))
        )
        self.agent.start()
        self.events: list[SessionEvent] = []

    def gateway(self, name: str = "g0", first_transaction_id: int = 1) -> Coroutine[tuple[Session, Stream]]:
        """Connects a gateway and registers it; its calls and replies go over the session returned."""
        stream = yield from self.kernel.connect("127.0.0.1:2944", SECOND, name)
        session = Session(f"<{name}>", Transactions(first_transaction_id), stream.write)
        session.request(
            "hello", lambda transaction_id: package.service_change_text(transaction_id, "Restart", "901")
        )
        return session, stream

    def listen(self, session: Session, stream: Stream) -> Coroutine[None]:
        """Collects what a gateway receives in `events` until its connection ends."""
        while data := (yield from stream.read()):
            self.events += session.feed(self.kernel.now(), data)

    def call(self, session: Session, number: int) -> None:
        """Sends a set-up to the second exchange; `number` identifies the call in `answers`."""
        request = SetUpRequest(f"c/{number}", "line", 1, 3 * SECOND, reference=f"g0/{number}")
        session.request(number, lambda transaction_id: package.add_text(transaction_id, request))

    def run(self, body: Coroutine[Any]) -> Any:
        """Runs `body` for up to 20 s of virtual time, by when it must have ended; raises its error."""
        task = self.kernel.spawn(body, "test", report_errors=False)
        self.kernel.run(self.kernel.now() + 20 * SECOND)
        assert task.done
        if task.error is not None:
            raise task.error
        return task.result

    def answers(self) -> dict[int, tuple[int, int]]:
        """Error code (0: established) and retry advice in nanoseconds of each answer, by call number."""
        outcomes = {}
        for event in self.events:
            if isinstance(event, ReplyReceived) and isinstance(event.attachment, int):
                outcome = package.read_outcome(event.reply)
                outcomes[event.attachment] = (outcome.code, outcome.retry_after)
        return outcomes


def test_calls_beyond_the_limit_are_refused_at_once_with_retry_advice() -> None:
    harness = AgentHarness(Limits(calls=2))

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        session, stream = yield from harness.gateway()
        harness.kernel.spawn(harness.listen(session, stream), "listen")
        for number in range(4):
            harness.call(session, number)
        yield from harness.kernel.sleep(10 * MS)
        assert harness.answers() == {2: (510, 2 * SECOND), 3: (510, 2 * SECOND)}
        yield from harness.kernel.sleep(2 * SECOND)

    harness.run(body())
    assert [harness.answers()[number][0] for number in (0, 1)] == [0, 0]
    assert harness.agent.counts.values["refused_at_bound"] == 2


def test_a_connection_beyond_the_limit_is_closed_and_the_first_stays_open() -> None:
    harness = AgentHarness(Limits(connections=1))

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        session, stream = yield from harness.gateway()
        harness.kernel.spawn(harness.listen(session, stream), "listen")
        _, second = yield from harness.gateway("g1")
        with contextlib.suppress(ConnectionLost):  # sending to the closed port may end in a reset
            assert (yield from second.read()) == b""
        harness.call(session, 1)
        yield from harness.kernel.sleep(2 * SECOND)

    harness.run(body())
    assert harness.answers()[1][0] == 0


def test_a_gateway_that_never_reads_is_disconnected_and_delays_no_other() -> None:
    harness = AgentHarness(Limits(unread=4096))

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        stalled, stalled_stream = yield from harness.gateway("stalled")
        session, stream = yield from harness.gateway()
        harness.kernel.spawn(harness.listen(session, stream), "listen")
        for number in range(2000):
            stalled.request(
                None, lambda number: f"Transaction={number}{{Context=-{{AuditValue=ROOT{{Audit{{}}}}}}}}"
            )
            if number % 50 == 0:
                yield from harness.kernel.sleep(5 * MS)
        harness.call(session, 1)
        yield from harness.kernel.sleep(2 * SECOND)
        with pytest.raises(ConnectionLost):
            while (yield from stalled_stream.read()):
                pass

    harness.run(body())
    assert harness.answers()[1][0] == 0
    assert any(text == "gateway gone" and "unread" in fields["why"] for _, text, fields in harness.logs)


@pytest.mark.parametrize(
    "garbage", [b"GET / HTTP/1.1\r\n\r\n", b"\x03\x00\x00\x00", b"\x03\x00\xff\xff" + b"x" * 99]
)
def test_garbage_on_one_connection_does_not_affect_other_gateways(garbage: bytes) -> None:
    harness = AgentHarness(Limits())

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        session, stream = yield from harness.gateway()
        harness.kernel.spawn(harness.listen(session, stream), "listen")
        garbage_stream = yield from harness.kernel.connect("127.0.0.1:2944", SECOND)
        garbage_stream.write(garbage)
        harness.call(session, 1)
        yield from harness.kernel.sleep(2 * SECOND)

    harness.run(body())
    assert harness.answers()[1][0] == 0
    assert harness.agent.counts.values["bad_peers"] == 1


def test_a_slow_call_gets_one_pending_and_then_its_answer() -> None:
    harness = AgentHarness(Limits(pending_after=200 * MS))

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        harness.world.network.exchanges[1].processor.silent = True
        session, stream = yield from harness.gateway()
        harness.kernel.spawn(harness.listen(session, stream), "listen")
        harness.call(session, 1)
        yield from harness.kernel.sleep(3 * SECOND)

    harness.run(body())
    kinds = [type(event).__name__ for event in harness.events if getattr(event, "attachment", None) == 1]
    assert kinds == [PendingReceived.__name__, ReplyReceived.__name__]
    assert harness.answers()[1][0] == 510  # the try timed out; a set-up that is safe to repeat is refused


def test_debug_lines_carry_call_route_try_and_exchange() -> None:
    harness = AgentHarness(Limits(), "debug")

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        session, stream = yield from harness.gateway()
        harness.kernel.spawn(harness.listen(session, stream), "listen")
        harness.call(session, 1)
        yield from harness.kernel.sleep(2 * SECOND)

    harness.run(body())
    lines = [(text, fields) for level, text, fields in harness.logs if level == "debug"]
    assert [text for text, _ in lines][:4] == ["call taken", "set-up", "stands", "final answer"]
    assert lines[1][1]["exchange"] == "x1" and lines[1][1]["route_try"] == 0
    assert {fields["reference"] for _, fields in lines[:4]} == {"g0/1"}


@pytest.mark.parametrize("side", ["exchange", "gateway"])
@pytest.mark.parametrize("state", ["sent", "out", "stands", "releasing"])
def test_a_connection_reset_in_each_state_of_a_call(side: str, state: str) -> None:
    """At most one final answer, none to a gateway that has gone, and no circuit or call left at the end."""
    harness = AgentHarness(Limits())
    exchange = harness.world.network.exchanges[1]

    def reset(stream: Stream) -> None:
        if side == "gateway":
            stream.abort()
        else:
            for connection in list(exchange.connections):
                connection.stream.abort()

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        session, stream = yield from harness.gateway()
        harness.kernel.spawn(harness.listen(session, stream), "listen", report_errors=False)
        yield from harness.kernel.sleep(20 * MS)
        harness.call(session, 1)
        if state == "sent":  # and perhaps not yet received by the agent
            reset(stream)
        elif state == "out":
            yield from harness.kernel.sleep(10 * MS)
            assert exchange.agents["a0"].calls
            reset(stream)
        while state in ("stands", "releasing") and not harness.answers():
            yield from harness.kernel.sleep(MS)
        if state == "releasing":
            session.request("end", lambda transaction_id: package.subtract_text(transaction_id, "*", "c/1"))
            yield from harness.kernel.sleep(2 * MS)
        if state in ("stands", "releasing"):
            reset(stream)
        yield from harness.kernel.sleep(SECOND)
        # The gateway comes back without its calls, as after a restart.
        new_session, new_stream = yield from harness.gateway(first_transaction_id=1000)
        harness.kernel.spawn(harness.listen(new_session, new_stream), "listen", report_errors=False)
        yield from harness.kernel.sleep(3 * SECOND)

    harness.run(body())
    answers = [
        event for event in harness.events if isinstance(event, ReplyReceived) and event.attachment == 1
    ]
    expected = {"gateway": {"sent": 0, "out": 0}}.get(side, {}).get(state, 1)
    assert len(answers) == expected
    assert harness.agent.calls == {} and harness.agent.terminations == {}
    assert not exchange.agents["a0"].calls and harness.world.network.leaks() == 0
    assert all(group.in_use == 0 for group in harness.world.network.groups.values())
    assert harness.agent.guard.refusals == {} and harness.kernel.crashes == []


def test_a_call_cancelled_in_the_batch_that_requests_it_is_no_module_fault() -> None:
    harness = AgentHarness(Limits())

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        harness.kernel.network.split_probability = 0.0
        session, stream = yield from harness.gateway()
        harness.kernel.spawn(harness.listen(session, stream), "listen")
        yield from harness.kernel.sleep(20 * MS)
        parts: list[bytes] = []
        session._write = parts.append
        harness.call(session, 1)
        session.request("end", lambda transaction_id: package.subtract_text(transaction_id, "*", "c/1"))
        stream.write(b"".join(parts))  # in one write, so that both are in one batch
        yield from harness.kernel.sleep(2 * SECOND)

    harness.run(body())
    assert harness.answers() == {}
    assert harness.agent.counts.values.get("guard_refusals", 0) == 0
    assert harness.agent.calls == {} and harness.world.network.leaks() == 0


def test_requests_that_a_gateway_left_unread_are_not_sent_on() -> None:
    # Guards against set-ups for a gateway whose connection has ended; a repeat is told that they failed.
    harness = AgentHarness(Limits())

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        session, stream = yield from harness.gateway()
        harness.kernel.spawn(harness.listen(session, stream), "listen")
        yield from harness.kernel.sleep(20 * MS)
        (requester,) = harness.agent.requesters.known.values()
        assert requester.stream is not None
        requester.stream.peer_has_closed = lambda: True  # type: ignore[method-assign]
        harness.call(session, 1)
        yield from harness.kernel.sleep(2 * SECOND)
        repeat = SetUpRequest("c/1", "line", 1, 3 * SECOND, reference="g0/1")
        transaction_id = max(session.transactions.open)
        session.send(package.add_text(transaction_id, repeat))
        yield from harness.kernel.sleep(100 * MS)

    harness.run(body())
    assert harness.answers() == {1: (package.FAILED, 0)}
    assert harness.agent.counts.values.get("route_tries", 0) == 0 and harness.agent.calls == {}


def test_an_unanswered_hello_is_repeated_until_the_restart_is_known() -> None:
    """Guards against a lost hello reply: the agent misses the restart and keeps transit calls for ever."""
    harness = AgentHarness(Limits())
    exchange = harness.world.network.exchanges[0]  # the agent's own
    cold_until: list[int] = []

    def body() -> Coroutine[None]:
        yield from harness.kernel.sleep(SECOND)
        exchange.restart_cold()
        exchange.socket_faults.mute = True  # accepts connections but does not answer the hello
        yield from harness.kernel.sleep(600 * MS)
        exchange.socket_faults.mute = False
        before = harness.agent.guard.exchanges[exchange.name].cold_until
        yield from harness.kernel.sleep(3 * SECOND)
        cold_until.extend((before, harness.agent.guard.exchanges[exchange.name].cold_until))

    harness.run(body())
    assert cold_until[0] == 0 and cold_until[1] > 0
