"""An exchange replaced by another one at the same address, on virtual time."""

from __future__ import annotations

from tests.platform.test_agent import Harness, apply_feed_event, host, invite

OLD_CALL, NEW_CALL = "00000000000000b1", "00000000000000b2"


def test_calls_of_a_replaced_exchange_are_released_though_another_listens_at_its_address() -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    caller = harness.caller(invite(OLD_CALL))
    assert caller.statuses() == [200]
    for stream in list(exchange.streams):
        stream.abort()
    harness.advance(300)  # the agent reconnects to the address, where another exchange listens now
    assert harness.agent.links["s1"].is_up
    apply_feed_event(harness, 2, host("s1", 1, "DELETED"))
    apply_feed_event(harness, 3, host("s9", 1))
    harness.advance(1000)
    assert caller.release_reasons() == ["Q.850;cause=41"]
    assert "s1" not in harness.agent.links
    assert harness.caller(invite(NEW_CALL)).statuses() == [200]
    assert harness.agent.guard.refusals == {} and harness.kernel.crashes == []


def test_a_pending_try_at_a_reused_address_ends_as_reset() -> None:
    harness = Harness()
    harness.exchanges[1].on_set_up = lambda stream, line: None
    caller = harness.caller(invite(OLD_CALL, X_Timer_Ms="3000"))
    apply_feed_event(harness, 2, host("s1", 1, "DELETED"))
    apply_feed_event(harness, 3, host("s9", 1))
    harness.advance(100)
    assert "s1" not in harness.agent.links
    assert all(
        call.pending_try is None or call.pending_try.exchange != "s1" for call in harness.agent.calls.values()
    )
    harness.advance(3000)
    assert len(caller.statuses()) == 1 and caller.statuses() != [200]
    harness.assert_idle()
