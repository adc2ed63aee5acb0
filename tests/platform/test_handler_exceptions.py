"""Exceptions in handlers cost at most one connection or one message, never the agent; on virtual time."""

from __future__ import annotations

import pytest

from peattrestle.exchangeline.lines import Line
from peattrestle.feed.state import Change
from peattrestle.platform.agent import Agent
from peattrestle.platform.connections import Caller
from peattrestle.platform.link import Link, LinkConnection
from peattrestle.sip import text as sip
from tests.platform.test_agent import DRAINING_EVENT, TAG, Harness, invite

OTHER = "00000000000000d2"


def test_an_exception_in_a_list_change_does_not_end_the_feed(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = Harness.__new__(Harness)
    changes: list[Change] = []

    def raise_once(self: Agent, change: Change) -> None:
        changes.append(change)
        if len(changes) == 2:
            raise KeyError("injected")
        original(self, change)

    original = Agent.apply_change
    monkeypatch.setattr(Agent, "apply_change", raise_once)
    Harness.__init__(harness)
    harness.feed.script = [[DRAINING_EVENT]]
    stream = harness.agent.follower.stream if harness.agent.follower is not None else None
    assert stream is not None
    stream.abort()
    harness.advance(1500)
    assert len(harness.feed.requested_from) >= 3
    assert len(harness.kernel.crashes) == 1


def test_an_exception_for_a_line_ends_one_connection_which_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    original = Agent.on_line

    def raise_for_other_tag(self: Agent, link: Link, connection: LinkConnection, line: object) -> None:
        if getattr(line, "tag", "") == OTHER:
            raise TypeError("injected")
        original(self, link, connection, line)  # type: ignore[arg-type]

    monkeypatch.setattr(Agent, "on_line", raise_for_other_tag)
    caller = harness.caller(invite(OTHER))
    harness.advance(1000)
    assert len(caller.statuses()) == 1 and caller.statuses() != [200]
    assert sum(connection.is_up for connection in harness.agent.links["s1"].connections) == 2
    assert len(exchange.streams) == 3 and len(harness.kernel.crashes) == 1
    assert harness.caller(invite()).statuses() == [200]


def test_an_exception_for_a_message_affects_no_other_call_on_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = Harness()
    harness.exchanges[1].on_set_up = lambda stream, line: None
    original = Agent.handle_message

    def raise_for_other_tag(self: Agent, caller: Caller, message: sip.Message) -> None:
        if message.call_id == OTHER:
            raise TypeError("injected")
        original(self, caller, message)

    monkeypatch.setattr(Agent, "handle_message", raise_for_other_tag)
    caller = harness.caller(invite(), invite(OTHER))
    assert caller.statuses() == [500]
    exchange = harness.exchanges[1]
    exchange.answer_call(exchange.stream_of[TAG], Line("START", TAG))
    harness.advance(50)
    assert caller.statuses() == [500, 200] and not caller.closed_at


def test_an_exception_in_a_shutdown_does_not_prevent_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = Harness()
    harness.exchanges[1].on_set_up = lambda stream, line: None
    caller = harness.caller(invite(X_Timer_Ms="9000"))
    raised: list[str] = []
    original = Agent.fail_open_calls

    def raise_once(self: Agent, why: str) -> None:
        if not raised:
            raised.append(why)
            raise KeyError("injected")
        original(self, why)

    monkeypatch.setattr(Agent, "fail_open_calls", raise_once)
    harness.agent.stop()
    harness.advance(3_700)
    assert raised and harness.ended and caller.statuses() == [408]
