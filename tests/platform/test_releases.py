"""Releases whose connection is lost with them, on virtual time."""

from __future__ import annotations

from tests.platform.test_agent import TAG, Town, invite, request

OTHER = "00000000000000c2"


def test_a_release_written_to_a_connection_that_was_cut_off_reaches_the_exchange_on_another() -> None:
    town = Town()
    exchange = town.exchanges[1]
    caller = town.caller(invite())
    (link,) = [link for name, link in town.agent.links.items() if name == "s1"]
    connection = max((one for one in link.connections if one.up), key=lambda one: one.alive_at)
    assert connection.stream is not None
    write, connection.stream.write = connection.stream.write, lambda data: None  # type: ignore[method-assign]
    caller.says(request("BYE"))
    town.pass_time(50)
    assert "FINISH" not in exchange.verbs()
    connection.stream.write = write  # type: ignore[method-assign]
    connection.stream.abort()
    town.pass_time(400)
    assert exchange.verbs().count("FINISH") == 1


def test_a_release_that_the_exchange_has_heard_is_not_repeated() -> None:
    town = Town()
    exchange = town.exchanges[1]
    caller = town.caller(invite())
    caller.says(request("BYE"))
    town.pass_time(50)
    for stream in list(exchange.streams):
        exchange.say(stream, verb="FINISHED", tag=TAG)
    town.pass_time(20)
    for stream in list(exchange.streams):
        stream.abort()
    town.pass_time(400)
    assert exchange.verbs().count("FINISH") == 1
    assert not town.agent.links["s1"].unconfirmed


def test_a_release_lost_with_its_callers_connection_is_sent_on_another() -> None:
    town = Town()
    exchange = town.exchanges[1]
    first = town.caller(invite())
    other = town.caller(invite(OTHER))
    exchange.say(exchange.streams[0], verb="FINISH", tag=TAG, rc=16)
    first.stream.abort()
    town.pass_time(100)
    assert other.released() == ["Q.850;cause=16"]
    town.pass_time(3000)
    assert not town.agent.releases.unconfirmed and not town.agent.releases.owed


def test_a_release_that_its_caller_has_heard_is_not_repeated() -> None:
    town = Town()
    exchange = town.exchanges[1]
    first = town.caller(invite())
    other = town.caller(invite(OTHER))
    exchange.say(exchange.streams[0], verb="FINISH", tag=TAG, rc=16)
    town.pass_time(50)
    assert first.released() == ["Q.850;cause=16"]
    first.says(
        b"SIP/2.0 200 OK\r\nCall-ID: " + TAG.encode() + b"\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"
    )
    town.pass_time(50)
    first.stream.abort()
    town.pass_time(200)
    assert other.released() == []
