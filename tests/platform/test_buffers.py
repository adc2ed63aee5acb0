"""Buffers of callers' connections are bounded together, and connections in use are kept at their limit."""

from __future__ import annotations

from tests.platform.test_agent import TAG, Harness, invite, request

MS = 1_000_000  # nanoseconds
LIMITS = {"sockets": 512, "memory_mb": 22}
STRANGERS = 150


def tag(number: int) -> str:
    """Returns the Call-ID with this number."""
    return f"{number:016x}"


def test_unfinished_messages_of_hundreds_are_bounded_together_and_callers_served() -> None:
    # Guards against a process killed for memory by clients that stop half way through large requests.
    harness = Harness(limits=LIMITS)
    connections = harness.agent.connections
    half = invite(tag(1), body="d" * 15_000)[:-100]
    strangers = [harness.caller(request("OPTIONS"), half) for _ in range(STRANGERS)]
    held = sum(caller.reader.buffered_bytes for caller in connections.active)
    assert held <= harness.agent.memory_plan.buffers < STRANGERS * len(half)
    assert connections.buffered_bytes == held
    assert harness.caller(invite(TAG)).statuses() == [200]
    harness.advance(5_000)
    assert connections.buffered_bytes == 0
    assert all(stranger.closed_at for stranger in strangers)


def test_a_header_of_very_many_fields_is_held_as_the_bytes_received() -> None:
    # Guards against header fields kept as objects, many times their size, while the body is on its way.
    harness = Harness(limits=LIMITS)
    fields = "".join(f"X-{number}: b\r\n" for number in range(50))
    head = f"INVITE sip:a@net SIP/2.0\r\n{fields}Content-Length: 100\r\n\r\n".encode()
    harness.caller(request("OPTIONS"), head)
    (caller,) = harness.agent.connections.active
    assert caller.reader.buffered_bytes == len(head)


def test_buffers_of_an_ended_connection_are_not_held_by_its_call() -> None:
    # Guards against memory held for as long as a call stands, by the connection it was set up on.
    harness = Harness()
    caller = harness.caller(invite(TAG))
    call = harness.agent.calls_by_tag[TAG]
    caller.send(invite(tag(2), body="d" * 15_000)[:-100])
    harness.advance(50)
    assert call.caller is not None and call.caller.reader.buffered_bytes > 15_000
    caller.stream.close()
    harness.advance(50)
    assert call.caller.reader.buffered_bytes == 0


def test_strangers_give_way_to_new_connections_before_a_callers_idle_one() -> None:
    # Guards against callers that lose their connection, and what is on its way there, to a crowd.
    harness = Harness(limits={"sockets": 96, "memory_mb": 64})
    caller = harness.caller(invite(TAG))
    crowd = [harness.caller(request("OPTIONS"), b"INVITE sip:a@net") for _ in range(80)]
    harness.advance(300)
    assert not caller.closed_at and any(stranger.closed_at for stranger in crowd)
    caller.send(invite(tag(2)))
    harness.advance(100)
    assert caller.statuses() == [200, 200]


def test_a_connection_with_unread_input_is_not_closed_at_the_limit() -> None:
    # Guards against a set-up that is lost though it came before the close: the agent was late to read it.
    harness = Harness(limits={"sockets": 96, "memory_mb": 64})
    harness.caller(request("OPTIONS"))
    (caller,) = harness.agent.connections.active
    caller.stream.has_unread_input = lambda: True  # type: ignore[method-assign]
    harness.advance(1_000)
    assert not harness.agent.connections.close_idle()
    caller.partial_since = harness.kernel.now() - 4_100 * MS
    harness.agent.connections.close_late(harness.kernel.now())
    assert not caller.close_reason
    caller.stream.has_unread_input = lambda: False  # type: ignore[method-assign]
    assert harness.agent.connections.close_idle()


def test_a_connection_that_sends_empty_lines_without_end_is_closed_in_3_s() -> None:
    # Guards against a peer that is never late since it always has something unread.
    harness = Harness()
    peer = harness.caller(b"\r\n")
    (caller,) = harness.agent.connections.active
    caller.stream.has_unread_input = lambda: True  # type: ignore[method-assign]
    for _ in range(28):
        peer.send(b"\r\n" * 100)
        harness.advance(100)
    assert peer.closed_at


def test_strangers_whose_input_never_ends_do_not_keep_new_callers_out() -> None:
    harness = Harness(limits={"sockets": 96, "memory_mb": 64})
    for _ in range(64):
        harness.caller(request("OPTIONS"))
    for caller in harness.agent.connections.active:
        caller.stream.has_unread_input = lambda: True  # type: ignore[method-assign]
    harness.advance(3_100)
    assert harness.caller(invite(TAG)).statuses() == [200]
