"""A fault of the program ends one connection or one turn, never what the agent lives by; on virtual time."""

from __future__ import annotations

import pytest

from peattrestle.feed.state import Change
from peattrestle.platform.agent import Agent
from peattrestle.platform.link import Link, LinkConnection
from tests.platform.test_agent import DRAINS, Town, invite

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
