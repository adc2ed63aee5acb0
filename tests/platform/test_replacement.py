"""Exchanges that are replaced at their address, on virtual time."""

from __future__ import annotations

from tests.platform.test_agent import Town, host, invite, told

OLD_CALL, NEW_CALL = "00000000000000b1", "00000000000000b2"


def test_calls_of_a_dead_exchange_are_released_though_another_answers_at_its_address() -> None:
    town = Town()
    exchange = town.exchanges[1]
    caller = town.caller(invite(OLD_CALL))
    assert caller.statuses() == [200]
    for stream in list(exchange.streams):
        stream.abort()
    town.pass_time(300)  # the agent is connected to the address again, where another exchange listens now
    assert town.agent.links["s1"].up
    told(town, 2, host("s1", 1, "DELETED"))
    told(town, 3, host("s9", 1))
    town.pass_time(1000)
    assert caller.released() == ["Q.850;cause=41"]
    assert "s1" not in town.agent.links
    assert town.caller(invite(NEW_CALL)).statuses() == [200]
    assert town.agent.guard.refusals == {} and town.kernel.crashes == []


def test_a_try_that_is_out_at_an_address_taken_over_ends_as_reset() -> None:
    town = Town()
    town.exchanges[1].manner = lambda stream, line: None
    caller = town.caller(invite(OLD_CALL, X_Timer_Ms="3000"))
    told(town, 2, host("s1", 1, "DELETED"))
    told(town, 3, host("s9", 1))
    town.pass_time(100)
    assert "s1" not in town.agent.links
    assert all(
        call.pending_try is None or call.pending_try.exchange != "s1" for call in town.agent.calls.values()
    )
    town.pass_time(3000)
    assert len(caller.statuses()) == 1 and caller.statuses() != [200]
    town.at_rest()
