"""What peers make the agent hold is bounded by the memory limit of the configuration."""

from __future__ import annotations

import socket
import time
from pathlib import Path

import pytest

from peattrestle.platform import config as configuration
from peattrestle.platform.memory import MIB, plan_memory
from peattrestle.trials.overload import resident_mb
from tests.platform.test_agent import Harness, config_text, event, host, invite, request
from tests.platform.test_process import TIMEOUT, read_until, start_process

# One character beyond Latin-1: as a Python string it would need two bytes for each of its characters.
LARGE_DESCRIPTION = "v=0\r\ns=\u260e\r\n" + "a=rtpmap:96 opus/48000\r\n" * 650
LARGE_VIA = "v" * 15_000
ESTABLISHED = "dest:1;width:1;via:-1;at:s1"
SMALLEST_LIMIT_MB, LARGEST_LIMIT_MB = 32, 192
NAMED_CALLS = 3_000


def tag(number: int) -> str:
    """Returns the Call-ID with this number."""
    return f"{number:016x}"


def test_an_established_call_holds_neither_its_description_nor_its_header() -> None:
    # Guards against a process killed for memory: 8,000 calls may stand, each set up with 16 KiB.
    harness = Harness()
    description = LARGE_DESCRIPTION[:12_000]
    harness.caller(invite(tag(1), body=description), invite(tag(2), ESTABLISHED, description))
    harness.advance(200)
    for number in (1, 2):
        call = harness.agent.calls_by_tag[tag(number)]
        assert call.state == "stands"
        assert (call.request.description, call.fields, call.description) == (b"", {}, "")


def test_open_calls_are_refused_beyond_the_bytes_that_the_limit_allows() -> None:
    # Guards against a bound of calls that forgets their size: descriptions and header fields to be repeated.
    harness = Harness(limits={"sockets": 96, "memory_mb": 22})
    for exchange in harness.exchanges.values():
        exchange.load = "x0:3000;x1:3000;queue:0;qps:9000"
        exchange.on_set_up = lambda stream, line: None
    agent = harness.agent
    agent.accept_call = lambda call, arrived: agent.calls.update({call.id: call})  # type: ignore[method-assign]
    caller = harness.caller()
    for number in range(200):
        caller.send(invite(tag(number), Via=LARGE_VIA))
        harness.advance(10)
    assert agent.held_bytes <= agent.memory_plan.calls
    assert 0 < len(agent.calls) * len(LARGE_VIA) <= agent.memory_plan.calls
    assert caller.statuses().count(503) == 200 - len(agent.calls)


def test_a_peer_that_names_calls_without_end_displaces_its_own() -> None:
    # Guards against a bound that the first to come fill up for all others.
    harness = Harness(limits={"sockets": 96, "memory_mb": 22})
    agent = harness.agent
    most = agent.memory_plan.adopted_calls
    peer = harness.caller()
    for number in range(most + 50):
        peer.send(invite(tag(number), ESTABLISHED))
    harness.advance(500)
    assert len(agent.calls) == most
    harness.caller(*[invite(tag(10_000 + number), ESTABLISHED) for number in range(20)])
    harness.advance(100)
    assert all(tag(10_000 + number) in agent.calls_by_tag for number in range(20))
    assert len(agent.calls) == most
    harness.caller(invite(tag(20_000)))
    harness.advance(100)
    assert agent.calls_by_tag[tag(20_000)].state == "stands"  # room is left for new calls
    for call in list(agent.calls.values()):
        agent.release_call(call)
    assert (agent.held_bytes, len(agent.adopted_calls)) == (0, 0)
    harness.assert_idle()


@pytest.mark.parametrize("limit_mb", [SMALLEST_LIMIT_MB, LARGEST_LIMIT_MB])
def test_a_new_limit_is_obeyed_after_a_reload(limit_mb: int) -> None:
    harness = Harness()
    harness.agent.reload(configuration.read(config_text(limits={"sockets": 96, "memory_mb": limit_mb})))
    connections = harness.agent.max_caller_connections()
    assert harness.agent.memory_plan == plan_memory(limit_mb * MIB, harness.agent.resident, connections)


def test_a_process_with_the_smallest_limit_survives_calls_named_with_large_descriptions(
    tmp_path: Path,
) -> None:
    # Guards against calls that no exchange knows, kept with their descriptions until the process was killed.
    limits = {"sockets": 256, "memory_mb": SMALLEST_LIMIT_MB}
    with start_process(tmp_path, limits=limits) as (process, address, _, (_, _, exchange)):
        for _ in range(2):
            exchange.accept()[0].sendall(b'{"verb":"LOAD","opts":{"load":"x0:30;x1:30;queue:0;qps:100"}}\n')
        name, port = address.split(":")
        caller = socket.create_connection((name, int(port)), TIMEOUT)
        deadline = time.monotonic() + TIMEOUT
        while b" 200 " not in ask_readiness(caller) and time.monotonic() < deadline:
            time.sleep(0.02)
        before = resident_mb(process.pid)
        for number in range(NAMED_CALLS):
            caller.sendall(invite(tag(number), ESTABLISHED, LARGE_DESCRIPTION))
        assert b" 200 " in ask_readiness(caller)
        assert before < resident_mb(process.pid) < SMALLEST_LIMIT_MB


def ask_readiness(caller: socket.socket) -> bytes:
    """Asks the agent whether it is ready; its answer follows the work on all that was sent before."""
    caller.sendall(request("OPTIONS"))
    return read_until(caller, b"\r\n\r\n")


def test_calls_under_ever_new_numbers_are_remembered_within_the_limit() -> None:
    # Guards against memory that grows with each refused call of a client that never calls a number twice.
    harness = Harness(limits={"sockets": 96, "memory_mb": 22})
    for exchange in harness.exchanges.values():
        exchange.on_set_up = exchange.reject_with(34)
    caller = harness.caller()
    most = harness.agent.memory_plan.unserved_tries
    for number in range(most + 100):
        caller.send(invite(tag(number)).replace(b"sip:7f3a@", f"sip:{number:08x}@".encode()))
        harness.advance(1)
    harness.advance(300)
    assert caller.statuses().count(503) == most + 100
    assert 0 < harness.agent.controller.retry_detector.unserved_count <= most


def test_releases_of_unknown_calls_are_bounded_in_number_and_size() -> None:
    # Guards against memory that an exchange fills with releases under ever new, or very long, ids.
    harness = Harness(limits={"sockets": 96, "memory_mb": 22})
    exchange, agent = harness.exchanges[1], harness.agent
    for number in range(agent.memory_plan.releases + 50):
        exchange.send(exchange.streams[0], verb="FINISH", tag=tag(number), rc=16)
    exchange.send(exchange.streams[0], verb="FINISH", tag="f" * 16_000, rc=16)
    harness.advance(500)
    assert len(agent.early_releases) == agent.memory_plan.releases
    assert all(len(tag) == 16 for _, tag in agent.early_releases)


def test_releases_of_named_calls_that_their_exchange_has_lost_are_bounded() -> None:
    # Guards against memory that strangers fill by naming calls at an exchange that has restarted.
    harness = Harness(limits={"sockets": 96, "memory_mb": 22})
    agent = harness.agent
    started_ms = int(harness.kernel.wall_time()) // 1_000_000
    changes = agent.feed_state.apply_known({"n": 2, "events": [event(2, host("s1", 1, born_ms=started_ms))]})
    agent.apply_change(changes[0])
    most = agent.memory_plan.releases
    harness.caller(*(invite(tag(number), legs="dest:1;at:s1") for number in range(most + 50)))
    harness.advance(500)
    assert len(agent.links["s1"].unconfirmed) == most
    assert agent.counts.values["exchange_releases_dropped"] == 50


def test_releases_to_all_exchanges_are_bounded_together() -> None:
    # Guards against a bound for each exchange, which grows with their number.
    harness = Harness(limits={"sockets": 96, "memory_mb": 22})
    agent = harness.agent
    for exchange in harness.exchanges.values():
        exchange.crash()
    harness.advance(50)
    for number in range(agent.memory_plan.releases + 10):
        for link in agent.links.values():
            agent.release_at_exchange(link, tag(number), b"release\n")
    queues = agent.undelivered_releases.queues
    assert sum(map(len, queues.values())) == agent.memory_plan.releases
    assert all(abs(2 * len(queue) - agent.memory_plan.releases) <= 2 for queue in queues.values())
