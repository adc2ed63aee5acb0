"""A fault of the program ends one connection or one turn, never what the agent lives by; on virtual time."""

from __future__ import annotations

import pytest

from peattrestle.exchangeline.lines import Line
from peattrestle.feed.state import Change
from peattrestle.platform.agent import Agent
from peattrestle.platform.connections import Caller
from peattrestle.platform.link import Link, LinkConnection
from peattrestle.sip import text as sip
from tests.platform.test_agent import DRAINS, TAG, Town, invite

OTHER = "00000000000000d2"


def test_a_change_of_the_list_that_raises_does_not_end_the_feed(monkeypatch: pytest.MonkeyPatch) -> None:
    town = Town.__new__(Town)
    heard: list[Change] = []

    def raises_once(self: Agent, change: Change) -> None:
        heard.append(change)
        if len(heard) == 2:
            raise KeyError("one fault")
        told(self, change)

    told = Agent.told
    monkeypatch.setattr(Agent, "told", raises_once)
    Town.__init__(town)
    town.feed.script = [[DRAINS]]
    stream = town.agent.follower.stream if town.agent.follower is not None else None
    assert stream is not None
    stream.abort()
    town.pass_time(1500)
    assert len(town.feed.asked_from) >= 3
    assert len(town.kernel.crashes) == 1


def test_a_line_that_raises_ends_one_connection_which_is_made_again(monkeypatch: pytest.MonkeyPatch) -> None:
    town = Town()
    exchange = town.exchanges[1]
    heard = Agent.link_heard

    def raises_for_one(self: Agent, link: Link, connection: LinkConnection, line: object) -> None:
        if getattr(line, "tag", "") == OTHER:
            raise TypeError("one fault")
        heard(self, link, connection, line)  # type: ignore[arg-type]

    monkeypatch.setattr(Agent, "link_heard", raises_for_one)
    caller = town.caller(invite(OTHER))
    town.pass_time(1000)
    assert len(caller.statuses()) == 1 and caller.statuses() != [200]
    assert sum(connection.up for connection in town.agent.links["s1"].connections) == 2
    assert len(exchange.streams) == 3 and len(town.kernel.crashes) == 1
    assert town.caller(invite()).statuses() == [200]


def test_a_message_that_raises_costs_no_other_call_on_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    town = Town()
    town.exchanges[1].manner = lambda stream, line: None
    heard = Agent.heard

    def raises_for_one(self: Agent, caller: Caller, message: sip.Message) -> None:
        if message.call_id == OTHER:
            raise TypeError("one fault")
        heard(self, caller, message)

    monkeypatch.setattr(Agent, "heard", raises_for_one)
    caller = town.caller(invite(), invite(OTHER))
    assert caller.statuses() == [500]
    exchange = town.exchanges[1]
    exchange.stands(exchange.where[TAG], Line("START", TAG))
    town.pass_time(50)
    assert caller.statuses() == [500, 200] and not caller.closed_at


def test_a_fault_in_a_shutdown_does_not_keep_it_from_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    town = Town()
    town.exchanges[1].manner = lambda stream, line: None
    caller = town.caller(invite(X_Timer_Ms="9000"))
    raised: list[str] = []
    give_up = Agent.answer_all_open

    def raises_once(self: Agent, why: str) -> None:
        if not raised:
            raised.append(why)
            raise KeyError("one fault")
        give_up(self, why)

    monkeypatch.setattr(Agent, "answer_all_open", raises_once)
    town.agent.stop()
    town.pass_time(3_700)
    assert raised and town.ended and caller.statuses() == [408]
