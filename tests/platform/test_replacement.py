"""An exchange replaced by another one at the same address, on virtual time."""

from __future__ import annotations

import pytest

from tests.platform.test_agent import MS, Exchange, Harness, apply_feed_event, event, host, invite

OLD_CALL, NEW_CALL = "00000000000000b1", "00000000000000b2"


def restart(harness: Harness) -> int:
    """The first exchange vanishes and a new process of it listens; returns its start in Unix milliseconds."""
    for stream in list(harness.exchanges[1].streams):
        stream.abort()
    harness.exchanges[1].streams.clear()
    started_ms = int(harness.kernel.wall_time()) // MS
    harness.advance(300)
    assert harness.agent.links["s1"].is_up
    return started_ms


def remove_from_list(harness: Harness, is_whole: bool) -> None:
    """The list loses the first exchange, by an entry or by a full list without it."""
    if not is_whole:
        apply_feed_event(harness, 2, host("s1", 1, "DELETED"))
        return
    whole = event(2, host("s0", 0), host("s2", 2), whole=True)
    for change in harness.agent.feed_state.apply_known({"n": 2, "events": [whole]}):
        harness.agent.apply_change(change)


@pytest.mark.parametrize("is_whole", [False, True])
def test_calls_of_a_vanished_exchange_are_released_though_it_left_the_list_before_it_was_listed_anew(
    is_whole: bool,
) -> None:
    # Guards against a restart that was only seen while the exchange's earlier entry was still in the list.
    harness = Harness()
    caller = harness.caller(invite(OLD_CALL))
    started_ms = restart(harness)
    remove_from_list(harness, is_whole)
    harness.advance(1000)
    assert caller.release_reasons() == []  # nothing shows yet whether the call still stands
    apply_feed_event(harness, 3, host("s1", 1, born_ms=started_ms))
    harness.advance(100)
    assert caller.release_reasons() == ["Q.850;cause=41"]
    harness.assert_idle()


def test_a_call_at_the_new_process_survives_the_news_of_its_start() -> None:
    # The agent reaches the new process before the list names it.
    harness = Harness()
    started_ms = restart(harness)
    caller = harness.caller(invite(NEW_CALL))
    assert caller.statuses() == [200]
    remove_from_list(harness, is_whole=False)
    for number, state in ((3, "SERVING"), (4, "DRAINING"), (5, "DELETED"), (6, "SERVING")):
        apply_feed_event(harness, number, host("s1", 1, state, born_ms=started_ms))
        harness.advance(500)
    assert caller.release_reasons() == [] and NEW_CALL in harness.agent.calls_by_tag


def test_a_call_whose_set_up_waited_for_the_new_process_survives_the_news_of_its_start() -> None:
    # Guards against a set-up that counts as sent when it began to wait for a connection.
    harness = Harness()
    exchange, link = harness.exchanges[1], harness.agent.links["s1"]
    exchange.silent = True
    for stream in list(exchange.streams):
        stream.abort()
    while link.is_up:
        harness.advance(0.1)
    caller = harness.caller(invite(NEW_CALL))
    assert list(link.waiting) == [NEW_CALL]
    started_ms = int(harness.kernel.wall_time()) // MS
    harness.advance(20)
    exchange.silent = False
    exchange.send(exchange.streams[-1], verb="LOAD", opts={"load": exchange.load})
    harness.advance(30)
    assert caller.statuses() == [200] and NEW_CALL in exchange.stream_of
    apply_feed_event(harness, 2, host("s1", 1, born_ms=started_ms))
    harness.advance(500)
    assert caller.release_reasons() == [] and NEW_CALL in harness.agent.calls_by_tag


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


def test_a_set_up_that_another_exchange_answered_at_a_reused_address_is_released_there() -> None:
    # Guards against a call that stands at a new process, taken for the old one, and runs elsewhere too.
    harness = Harness()
    exchange = harness.exchanges[1]
    exchange.on_set_up = lambda stream, line: None
    harness.caller(invite(OLD_CALL, X_Timer_Ms="3000"))
    assert OLD_CALL in exchange.stream_of
    apply_feed_event(harness, 2, host("s9", 1))
    harness.advance(300)
    assert ("FINISH", OLD_CALL) in [(line.verb, line.tag) for line in exchange.lines]


def test_a_call_at_a_reused_address_is_released_there_too() -> None:
    # The list may be late: calls set up at the new process under the old name would stand there alone.
    harness = Harness()
    caller = harness.caller(invite(OLD_CALL))
    apply_feed_event(harness, 2, host("s9", 1))
    harness.advance(300)
    assert caller.release_reasons() == ["Q.850;cause=41"]
    assert ("FINISH", OLD_CALL) in [(line.verb, line.tag) for line in harness.exchanges[1].lines]


def test_set_ups_for_an_exchange_at_a_new_address_do_not_go_to_its_old_one() -> None:
    # Guards against work sent to whatever answers at the address that the exchange has left.
    harness = Harness()
    moved = Exchange(harness, 7)
    apply_feed_event(harness, 2, host("s1", 1, dial="127.0.1.7:3868"))
    harness.advance(300)
    caller = harness.caller(invite(NEW_CALL))
    assert caller.statuses() == [200]
    assert NEW_CALL in moved.stream_of and NEW_CALL not in harness.exchanges[1].stream_of


def test_a_connection_that_comes_up_at_the_old_address_is_not_used() -> None:
    # The address may change at any moment while a connection to the old one is being made.
    for moved_after_ms in range(30):
        harness = Harness()
        harness.exchanges[1].crash()
        old, moved = Exchange(harness, 1), Exchange(harness, 7)
        harness.advance(moved_after_ms)
        apply_feed_event(harness, 2, host("s1", 1, dial="127.0.1.7:3868"))
        harness.advance(500)
        caller = harness.caller(invite(NEW_CALL))
        assert caller.statuses() == [200]
        assert NEW_CALL in moved.stream_of and NEW_CALL not in old.stream_of
