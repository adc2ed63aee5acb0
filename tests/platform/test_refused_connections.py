"""Exchanges that refuse connections: what that shows of the calls that stand there, on virtual time."""

from __future__ import annotations

import pytest

from tests.platform.test_agent import TAG, Exchange, Harness, invite
from tests.platform.test_named_calls import (
    CUT,
    assert_stands,
    name_call,
    released_at_exchange,
)


class FullAtStart(Harness):
    """A harness whose first exchange refuses connections when the agent starts."""

    def advance(self, ms: float) -> None:
        if not hasattr(self, "is_refusing"):
            self.is_refusing = True
            self.exchanges[1].listener.close()
        super().advance(ms)


def stop_listening(harness: Harness, in_order: bool) -> None:
    """The first exchange ends its connections and refuses new ones."""
    exchange = harness.exchanges[1]
    exchange.listener.close()
    for stream in list(exchange.streams):
        if in_order:
            stream.close()
        else:
            stream.abort()
    exchange.streams.clear()


def listen_again(harness: Harness) -> None:
    """The first exchange accepts connections again."""
    old = harness.exchanges[1]
    harness.exchanges[1] = Exchange(harness, 1)
    harness.exchanges[1].lines = old.lines
    harness.advance(500)
    assert harness.agent.links["s1"].is_up


@pytest.mark.parametrize("refused_for_ms", [50, 1000, 4000])
def test_calls_survive_an_exchange_that_closes_its_connections_and_refuses_new_ones(
    refused_for_ms: int,
) -> None:
    # Guards against a refused connection taken for the end of a process that holds as many as it accepts.
    harness = Harness()
    harness.advance(500)
    caller = harness.caller(invite(TAG))
    stop_listening(harness, in_order=True)
    harness.advance(refused_for_ms)
    listen_again(harness)
    harness.advance(5000)
    assert_stands(harness, caller, TAG)


def test_calls_survive_an_exchange_that_writes_an_invalid_line_and_then_refuses_connections() -> None:
    # The agent ends these connections, so their end says nothing of the process.
    harness = Harness()
    harness.advance(500)
    caller = harness.caller(invite(TAG))
    exchange = harness.exchanges[1]
    exchange.listener.close()
    for stream in exchange.streams:
        stream.write(b"{\n")
    harness.advance(1000)
    assert not harness.agent.links["s1"].is_up
    listen_again(harness)
    harness.advance(5000)
    assert_stands(harness, caller, TAG)


def test_calls_at_an_exchange_that_refuses_connections_for_long_are_released_in_time() -> None:
    harness = Harness()
    harness.advance(500)
    caller = harness.caller(invite(TAG))
    stop_listening(harness, in_order=True)
    harness.advance(8000)
    assert caller.release_reasons() == CUT
    harness.assert_idle()


def test_calls_survive_an_exchange_that_refuses_a_new_agents_first_connections() -> None:
    # It may still count the connections of the agent's earlier run.
    harness = FullAtStart()
    caller = name_call(harness)
    harness.advance(1000)
    listen_again(harness)
    assert_stands(harness, caller)


def test_a_call_named_after_its_exchange_died_is_released_without_the_news_of_a_restart() -> None:
    # Guards against a sign that ends the calls held at that moment, and is forgotten before others are named.
    harness = Harness()
    harness.advance(500)
    stop_listening(harness, in_order=False)
    harness.advance(1000)
    listen_again(harness)
    caller = name_call(harness)
    assert caller.release_reasons() == CUT and released_at_exchange(harness)
    harness.assert_idle()


def test_a_call_named_to_an_agent_that_has_run_for_long_survives_the_end_of_an_earlier_process() -> None:
    harness = Harness()
    harness.advance(20_000)
    stop_listening(harness, in_order=False)
    harness.advance(1000)
    listen_again(harness)
    assert_stands(harness, name_call(harness))
