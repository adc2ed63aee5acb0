"""Calls that callers name as standing at an exchange that has restarted, on virtual time."""

from __future__ import annotations

import pytest

from tests.platform.test_agent import (
    MS,
    Caller,
    Harness,
    apply_feed_event,
    event,
    host,
    invite,
)

NAMED_CALL, OTHER_CALL = "00000000000000c1", "00000000000000c2"
AT_EXCHANGE = "dest:1;width:1;via:-1;at:s1"
CUT = ["Q.850;cause=41"]


def restart_exchange(harness: Harness) -> int:
    """A new process of the first exchange answers at once; returns its start in Unix milliseconds."""
    for stream in list(harness.exchanges[1].streams):
        stream.abort()
    harness.exchanges[1].streams.clear()
    started_ms = int(harness.kernel.wall_time()) // MS
    harness.advance(300)
    return started_ms


def tell_start(harness: Harness, number: int, started_ms: int) -> None:
    """The list tells the start of the first exchange."""
    apply_feed_event(harness, number, host("s1", 1, born_ms=started_ms))
    harness.advance(100)


def name_call(harness: Harness, tag: str = NAMED_CALL) -> Caller:
    """A caller names a call that stands at the first exchange."""
    return harness.caller(invite(tag, legs=AT_EXCHANGE))


def released_at_exchange(harness: Harness, tag: str = NAMED_CALL) -> bool:
    """Whether the agent has released the call at the first exchange."""
    return any(line.verb == "FINISH" and line.tag == tag for line in harness.exchanges[1].lines)


def reasons_of(caller: Caller, tag: str) -> list[str]:
    """Returns the Reason fields of the releases of one call."""
    return [m.fields["reason"] for m in caller.messages if m.method == "BYE" and m.call_id == tag]


def assert_stands(harness: Harness, caller: Caller, tag: str = NAMED_CALL) -> None:
    """Checks that neither side was released, and that the exchange's release is passed on."""
    assert reasons_of(caller, tag) == [] and not released_at_exchange(harness, tag)
    exchange = harness.exchanges[1]
    exchange.send(exchange.streams[-1], verb="FINISH", tag=tag, rc=16)
    harness.advance(100)
    assert reasons_of(caller, tag) == ["Q.850;cause=16"]
    harness.assert_idle()


def harness_told_of_start(age_ms: int) -> Harness:
    """An agent whose configuration has a start of the first exchange `age_ms` before its own."""
    wall_ms = int(Harness().kernel.wall_time()) // MS - 100  # of a harness that has run for 100 ms
    members = event(1, host("s0", 0), host("s1", 1, born_ms=wall_ms - age_ms), host("s2", 2), whole=True)
    return Harness(known={"n": 1, "events": [members]})


@pytest.mark.parametrize("news_after_ms", [0, 1500, 6000])
def test_a_call_named_before_its_exchange_restarted_is_released(news_after_ms: int) -> None:
    harness = Harness()
    harness.advance(20_000)
    caller = name_call(harness)
    started_ms = restart_exchange(harness)
    harness.advance(news_after_ms)
    assert caller.release_reasons() == []
    tell_start(harness, 2, started_ms)
    assert caller.release_reasons() == CUT
    harness.assert_idle()


@pytest.mark.parametrize("news_after_ms", [0, 1500, 12_000])
def test_a_call_named_after_its_exchange_restarted_is_released_when_the_list_tells(
    news_after_ms: int,
) -> None:
    # Guards against calls of the agent's earlier run left standing, since they were named after the restart.
    harness = Harness()
    started_ms = restart_exchange(harness)
    harness.advance(1000)
    caller = name_call(harness)
    harness.advance(news_after_ms)
    assert caller.release_reasons() == []
    tell_start(harness, 2, started_ms)
    assert caller.release_reasons() == CUT and released_at_exchange(harness)
    harness.assert_idle()


@pytest.mark.parametrize("named_after_ms", [0, 2000, 6000])
def test_a_call_named_after_the_list_told_of_the_restart_is_released(named_after_ms: int) -> None:
    # Guards against the news of a restart that is forgotten before the call is named.
    harness = Harness()
    tell_start(harness, 2, restart_exchange(harness))
    harness.advance(named_after_ms)
    caller = name_call(harness)
    assert caller.release_reasons() == CUT and released_at_exchange(harness)
    harness.assert_idle()


@pytest.mark.parametrize("named_first", [True, False])
def test_a_call_named_to_an_agent_that_has_run_for_long_survives_an_earlier_restart(
    named_first: bool,
) -> None:
    # It was set up through another agent, and may stand at the new process.
    harness = Harness()
    harness.advance(20_000)
    started_ms = restart_exchange(harness)
    harness.advance(3000)
    if named_first:
        caller = name_call(harness)
        tell_start(harness, 2, started_ms)
    else:
        tell_start(harness, 2, started_ms)
        caller = name_call(harness)
    harness.advance(1000)
    assert_stands(harness, caller)


@pytest.mark.parametrize("second_start_told", [True, False])
def test_a_second_restart_ends_a_call_that_survived_the_first(second_start_told: bool) -> None:
    harness = Harness()
    harness.advance(20_000)
    tell_start(harness, 2, restart_exchange(harness))
    caller = name_call(harness)
    if not second_start_told:
        assert_stands(harness, caller)
        return
    tell_start(harness, 3, restart_exchange(harness))
    assert caller.release_reasons() == CUT
    harness.assert_idle()


def test_a_call_named_again_keeps_its_first_naming() -> None:
    harness = Harness()
    harness.advance(20_000)
    name_call(harness).stream.close()
    started_ms = restart_exchange(harness)
    caller = name_call(harness)
    tell_start(harness, 2, started_ms)
    assert caller.release_reasons() == CUT
    harness.assert_idle()


@pytest.mark.parametrize("age_ms", [100, 1500])
def test_a_restart_shortly_before_the_agents_start_ends_the_calls_named_to_it(age_ms: int) -> None:
    # The earlier run may have been killed before it was told, so nobody has released them.
    harness = harness_told_of_start(age_ms)
    caller = name_call(harness)
    assert caller.release_reasons() == CUT and released_at_exchange(harness)
    harness.assert_idle()


@pytest.mark.parametrize("age_ms", [3000, 60_000])
def test_a_restart_that_the_earlier_run_was_told_of_ends_no_call(age_ms: int) -> None:
    # The earlier run has released the calls that the restart ended, so those that are named came later.
    harness = harness_told_of_start(age_ms)
    assert_stands(harness, name_call(harness))


@pytest.mark.parametrize("named_first", [True, False])
def test_a_restart_before_the_agents_start_that_is_told_after_it_ends_the_calls_named_to_it(
    named_first: bool,
) -> None:
    # The earlier run cannot have been told.
    harness = Harness()
    started_ms = int(harness.kernel.wall_time()) // MS - 4000
    if named_first:
        caller = name_call(harness)
        tell_start(harness, 2, started_ms)
    else:
        tell_start(harness, 2, started_ms)
        caller = name_call(harness)
    assert caller.release_reasons() == CUT and released_at_exchange(harness)
    harness.assert_idle()


def test_a_restart_ends_no_call_that_this_run_set_up_after_it() -> None:
    harness = Harness()
    started_ms = restart_exchange(harness)
    caller = harness.caller(invite(OTHER_CALL))
    assert caller.statuses() == [200]
    named = name_call(harness)
    tell_start(harness, 2, started_ms)
    assert reasons_of(named, NAMED_CALL) == CUT
    assert_stands(harness, caller, OTHER_CALL)


def test_the_same_start_told_again_ends_no_call_named_later() -> None:
    harness = Harness()
    started_ms = restart_exchange(harness)
    tell_start(harness, 2, started_ms)
    harness.advance(20_000)
    caller = name_call(harness)
    for number, state in ((3, "DRAINING"), (4, "SERVING")):
        apply_feed_event(harness, number, host("s1", 1, state, born_ms=started_ms))
    harness.advance(1000)
    assert_stands(harness, caller)


def test_a_call_that_its_exchange_has_lost_is_released_though_no_further_one_can_be_held() -> None:
    # Guards against a bound of calls held that leaves one standing which needs no room.
    harness = Harness(limits={"sockets": 96, "memory_mb": 22})
    tell_start(harness, 2, restart_exchange(harness))
    most = harness.agent.memory_plan.adopted_calls
    names = [invite(f"{number:016x}", legs="dest:2;at:s2") for number in range(0x1000, 0x1000 + most + 10)]
    caller = harness.caller(*names)
    harness.advance(500)
    assert len(harness.agent.adopted_calls) == most
    caller.send(invite(NAMED_CALL, legs=AT_EXCHANGE))
    harness.advance(500)
    assert reasons_of(caller, NAMED_CALL) == CUT and len(harness.agent.adopted_calls) == most
