"""Releases lost with their connection are sent again on another one, on virtual time."""

from __future__ import annotations

from tests.platform.test_agent import TAG, Harness, invite, request

OTHER = "00000000000000c2"


def test_a_release_written_to_a_connection_that_was_cut_off_reaches_the_exchange_on_another() -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    caller = harness.caller(invite())
    (link,) = [link for name, link in harness.agent.links.items() if name == "s1"]
    connection = max(
        (connection for connection in link.connections if connection.is_up),
        key=lambda connection: connection.last_received_at,
    )
    assert connection.stream is not None
    write, connection.stream.write = connection.stream.write, lambda data: None  # type: ignore[method-assign]
    caller.send(request("BYE"))
    harness.advance(50)
    assert "FINISH" not in exchange.received_verbs()
    connection.stream.write = write  # type: ignore[method-assign]
    connection.stream.abort()
    harness.advance(400)
    assert exchange.received_verbs().count("FINISH") == 1


def test_a_release_that_the_exchange_confirmed_is_not_repeated() -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    caller = harness.caller(invite())
    caller.send(request("BYE"))
    harness.advance(50)
    for stream in list(exchange.streams):
        exchange.send(stream, verb="FINISHED", tag=TAG)
    harness.advance(20)
    for stream in list(exchange.streams):
        stream.abort()
    harness.advance(400)
    assert exchange.received_verbs().count("FINISH") == 1
    assert not harness.agent.links["s1"].unconfirmed


def test_a_release_lost_with_its_callers_connection_is_sent_on_another() -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    first = harness.caller(invite())
    other = harness.caller(invite(OTHER))
    exchange.send(exchange.streams[0], verb="FINISH", tag=TAG, rc=16)
    first.stream.abort()
    harness.advance(100)
    assert other.release_reasons() == ["Q.850;cause=16"]
    harness.advance(3000)
    assert not harness.agent.releases.unconfirmed and not harness.agent.releases.undelivered


def test_a_release_that_its_caller_confirmed_is_not_repeated() -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    first = harness.caller(invite())
    other = harness.caller(invite(OTHER))
    exchange.send(exchange.streams[0], verb="FINISH", tag=TAG, rc=16)
    harness.advance(50)
    assert first.release_reasons() == ["Q.850;cause=16"]
    first.send(
        b"SIP/2.0 200 OK\r\nCall-ID: " + TAG.encode() + b"\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"
    )
    harness.advance(50)
    first.stream.abort()
    harness.advance(200)
    assert other.release_reasons() == []
