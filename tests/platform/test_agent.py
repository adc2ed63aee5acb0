"""A day in small: the call agent in service between scripted callers, exchanges and feed, on virtual time."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any

import pytest

from peattrestle import interface as api
from peattrestle.exchangeline import lines
from peattrestle.exchangeline.lines import Line
from peattrestle.platform import config as configuration
from peattrestle.platform.agent import Agent
from peattrestle.runtime import Coroutine, Lost, Stream
from peattrestle.runtime.epoll import EpollKernel
from peattrestle.runtime.virtual import Network, VirtualKernel
from peattrestle.sip import text as sip

MS = 1_000_000
SECOND = 1_000_000_000
DESCRIPTION = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n"
ANSWERED = '77aa\r\nc=IN IP4 10.9.9.9\r\n\u00e9\\"\r\n'
TAG = "9b1f03aa5c7e2d41"
LOAD = "x0:30;x1:30;queue:0;qps:100"

SETTINGS: dict[str, Any] = {
    "Caps": {"AttemptsCap": 6, "DialTimeoutUs": 500_000, "MaxRetryAfterUs": 2_000_000, "RetryAfter": True},
    "Classes": [
        {"Name": "line", "AimUs": 380_000, "HardLimitUs": 3_000_000, "Worth": 1.0, "Semantics": "read_like"}
    ],
    "Discovery": "pushed",
    "FamilyInfo": {
        "ClearWaitUs": 150_000, "HoldingUs": [2_100_000], "OwnNumber": 0, "Topology": "mesh",
    },
    "NInstances": 3,
    "Report": {"Fields": ["free", "size", "pending", "can_take"]},
    "Rules": {
        "ColdFrom": 0.3, "ColdUs": 14_000_000, "FallUs": 1_000_000, "OverloadFactor": 2.0,
        "StopSendingWithinUs": 1_000_000,
    },
    "StepUs": 1000,
}  # fmt: skip


def host(name: str, number: int, state: str = "SERVING", **more: Any) -> dict[str, Any]:
    return {"host": name, "dial": f"127.0.1.{number}:3868", "block": number, "health": state} | more


def event(n: int, *hosts: dict[str, Any], whole: bool = False) -> dict[str, Any]:
    return {"n": n, "members": {"seq": n, "whole": whole, "hosts": list(hosts)}}


def config_text(**more: Any) -> str:
    members = event(1, host("s0", 0), host("s1", 1), host("s2", 2), whole=True)
    tree = {
        "name": "n0", "listen": "127.0.0.1:3868", "seed": "8c1f", "limits": {"sockets": 96},
        "feed": "127.0.2.1:9092", "known": {"n": 1, "events": [members]}, "settings": SETTINGS,
    }  # fmt: skip
    return json.dumps(tree | more)


def invite(
    tag: str = TAG, legs: str = "dest:1;width:1;via:-1", body: str = DESCRIPTION, **more: str
) -> bytes:
    fields = {
        "Via": "SIP/2.0/TCP peer", "Call-ID": tag, "CSeq": "1 INVITE", "X-Cos": "line", "X-Timer-Ms": "1200",
        "X-Legs": legs, "Content-Length": str(len(body.encode())),
    } | {name.replace("_", "-"): value for name, value in more.items()}  # fmt: skip
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"INVITE sip:7f3a@net SIP/2.0\r\n{head}\r\n{body}".encode()


def request(method: str, tag: str = TAG, more: str = "") -> bytes:
    return (
        f"{method} sip:7f3a@net SIP/2.0\r\nCall-ID: {tag}\r\nCSeq: 2 {method}\r\n{more}"
        "Content-Length: 0\r\n\r\n"
    ).encode()


class Exchange:
    """Scripted: `manner` gets each set-up with its stream; the default answers that the call stands."""

    def __init__(self, town: Town, number: int) -> None:
        self.town = town
        self.lines: list[Line] = []
        self.streams: list[Stream] = []
        self.manner: Callable[[Stream, Line], None] = self.stands
        self.load = LOAD
        self.silent = False
        self.dead: list[Stream] = []  # connections that are silent while others are not
        self.where: dict[str, Stream] = {}  # the connection of each set-up
        self.listener = town.kernel.listen(f"127.0.1.{number}:{town.port}")
        self.task = town.kernel.spawn(self.run(), f"exchange {number}")

    def run(self) -> Coroutine[None]:
        while True:
            try:
                stream = yield from self.listener.accept()
            except Lost:
                return
            self.streams.append(stream)
            self.town.kernel.spawn(self.serve(stream), "exchange's connection", watch=False)

    def serve(self, stream: Stream) -> Coroutine[None]:
        reader = lines.Reader()
        if not self.silent:
            self.say(stream, verb="LOAD", opts={"load": self.load})
        while data := (yield from stream.read()):
            reader.feed(data)
            while (line := reader.next()) is not None:
                self.lines.append(line)
                if line.verb == "START":
                    self.where[line.tag] = stream
                    self.manner(stream, line)
                elif line.verb == "ECHO" and not self.silent and stream not in self.dead:
                    self.say(stream, verb="ECHOED", tag=line.tag, rc=1)

    def say(self, stream: Stream, **more: Any) -> None:
        stream.write(json.dumps({"opts": {}} | more).encode() + b"\n")

    def stands(self, stream: Stream, line: Line) -> None:
        self.say(stream, verb="STARTED", tag=line.tag, blob=ANSWERED)

    def ends(self, rc: int, note: str = "") -> Callable[[Stream, Line], None]:
        opts = {"note": note} if note else {}
        return lambda stream, line: self.say(stream, verb="FINISH", tag=line.tag, rc=rc, opts=opts)

    def verbs(self) -> list[str]:
        return [line.verb for line in self.lines if line.verb != "ECHO"]

    def die(self) -> None:
        self.listener.close()
        for stream in self.streams:
            stream.abort()


class Caller:
    """A hand-made caller: what it was sent, as messages."""

    def __init__(self, town: Town) -> None:
        self.town = town
        self.heard: list[sip.Message] = []
        self.closed_at = 0
        self.stream: Stream

    def run(self) -> Coroutine[None]:
        reader = sip.Reader()
        try:
            while data := (yield from self.stream.read()):
                reader.feed(data)
                while (message := reader.next()) is not None:
                    self.heard.append(message)
        except Lost:
            pass
        self.closed_at = self.town.kernel.now()

    def says(self, *data: bytes) -> None:
        for one in data:
            self.stream.write(one)

    def statuses(self, method: str = "INVITE") -> list[int]:
        return [m.status for m in self.heard if m.status and m.fields.get("cseq", "").endswith(method)]

    def released(self) -> list[str]:
        return [m.fields["reason"] for m in self.heard if m.method == "BYE"]


class Feed:
    """A scripted feed: `script` is what each connection is sent, in pieces with waits between them."""

    def __init__(self, town: Town, address: str = "127.0.2.1:9092") -> None:
        self.town = town
        self.asked_from: list[int] = []
        self.script: list[list[bytes | int]] = []
        self.listener = town.kernel.listen(address)
        town.kernel.spawn(self.run(), "feed")

    def run(self) -> Coroutine[None]:
        while True:
            try:
                stream = yield from self.listener.accept()
            except Lost:
                return
            self.town.kernel.spawn(self.serve(stream), "feed's connection", watch=False)

    def serve(self, stream: Stream) -> Coroutine[None]:
        data = b""
        while b"\r\n\r\n" not in data:
            data += yield from stream.read()
        asked = next(row for row in data.decode().split("\r\n") if row.lower().startswith("last-event-id"))
        self.asked_from.append(int(asked.split(":")[1]))
        stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        for piece in self.script.pop(0) if self.script else [b""]:
            if isinstance(piece, int):
                yield from self.town.kernel.sleep(piece)
            else:
                stream.write(piece)
        if self.script:
            stream.close()
            return
        while True:
            yield from self.town.kernel.sleep(SECOND)
            stream.write(b": still here\n\n")


def written(n: int, *hosts: dict[str, Any]) -> bytes:
    return f"id: {n}\ndata: {json.dumps(event(n, *hosts))}\n\n".encode()


DRAINS = written(2, host("s1", 1, "DRAINING"))


class Town:
    port = 3868

    def __init__(self, seed: int = 1, **more: Any) -> None:
        self.kernel: Any = VirtualKernel(seed, Network(cut_up=0.3))
        self.open(more)

    def open(self, more: dict[str, Any]) -> None:
        self.logs: list[tuple[str, str]] = []
        self.ended = False
        self.exchanges = {number: Exchange(self, number) for number in (1, 2)}
        self.feed = Feed(self, more.get("feed", "127.0.2.1:9092"))
        config = configuration.read(config_text(**more))
        self.agent = Agent(self.kernel, config, self.log, self.end)
        self.agent.start()
        self.pass_time(100)

    def log(self, level: str, text: str, **fields: Any) -> None:
        self.logs.append((level, text))

    def end(self) -> None:
        self.ended = True

    def pass_time(self, ms: float) -> None:
        self.kernel.run(self.kernel.now() + round(ms * MS))

    def caller(self, *data: bytes) -> Caller:
        caller = Caller(self)

        def come() -> Coroutine[None]:
            caller.stream = yield from self.kernel.connect(f"127.0.0.1:{self.port}", SECOND)
            self.kernel.spawn(caller.run(), "caller", watch=False)
            caller.says(*data)

        self.kernel.spawn(come(), "caller comes")
        self.pass_time(60)
        return caller

    def at_rest(self) -> None:
        """Nothing is kept of what is over, no coroutine raised, the guard had nothing to refuse."""
        agent = self.agent
        assert (agent.calls, agent.tags, agent.standing, agent.guard.calls) == ({}, {}, {}, {})
        assert all(not link.tries for link in agent.links.values())
        assert agent.guard.refusals == {} and self.kernel.crashes == []
        assert not [text for level, text in self.logs if level == "error"]


def test_a_call_stands_and_ends_where_the_exchange_says() -> None:
    town = Town()
    caller = town.caller(invite())
    (one,) = town.exchanges[1].lines
    assert (one.verb, one.tag, one.blob, one.rc) == ("START", TAG, DESCRIPTION, None)
    assert (one.opts["class"], one.opts["key"]) == ("line", "7f3a")
    assert 1000 <= int(one.opts["left"]) < 1200
    assert caller.statuses() == [200] and caller.heard[0].body == ANSWERED.encode()
    caller.says(request("ACK"))
    town.exchanges[1].say(town.exchanges[1].streams[0], verb="FINISH", tag=TAG, rc=16)
    town.pass_time(50)
    assert caller.released() == ["Q.850;cause=16"]
    town.at_rest()


@pytest.mark.parametrize(
    ("rc", "note", "result", "cause"),
    [
        (34, "congestion", "full", "no_circuit"),
        (34, "crankback", "full", "turned_back"),
        (34, "remote_throttled", "full", "beyond_full"),
        (34, "throttled", "full", "processor_full"),
        (34, "", "full", ""),
        (17, "engaged", "error", "lines_busy"),
        (47, "", "error", ""),
        (102, "congestion", "moot", "no_circuit"),
        (41, "", "reset", ""),
        (16, "", "reset", ""),
        (99, "noise", "reset", ""),
    ],
)
def test_each_refusal_is_the_modules_result_and_the_call_is_answered_once(
    rc: int, note: str, result: str, cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    town = Town()
    ended: list[Any] = []
    post = town.agent.post

    def keep(one: Any) -> None:
        ended.append(one)
        post(one)

    monkeypatch.setattr(town.agent, "post", keep)
    for one in town.exchanges.values():
        one.manner = one.ends(rc, note)
    caller = town.caller(invite())
    town.pass_time(1200)
    first = next(one for one in ended if type(one).__name__ == "TryEnded")
    assert (first.result, first.cause) == (result, cause)
    assert len(caller.statuses()) == 1 and caller.statuses()[0] >= 400
    if caller.statuses() == [503]:
        assert int(caller.heard[0].fields["x-pause"]) > 0
    town.at_rest()


def test_a_silent_exchange_costs_no_answer_and_is_told_that_the_try_is_given_up() -> None:
    town = Town()
    town.exchanges[1].manner = lambda stream, line: None
    came = town.kernel.now()
    caller = town.caller(invite(X_Timer_Ms="400"))
    while not caller.statuses() and town.kernel.now() < came + 2 * SECOND:
        town.pass_time(5)
    assert town.kernel.now() - came < 400 * MS and len(caller.statuses()) == 1
    town.pass_time(1000)
    assert town.exchanges[1].verbs() == ["START", "FINISH"] and town.exchanges[1].lines[1].rc == 16
    town.at_rest()


@pytest.mark.parametrize(
    "data",
    [
        b"noise\n",
        b"a" * 40_000,
        b'{"verb":"STARTED"',
        b'{"verb":"STARTED","tag":"%b","opts":{"load":"x0:a"},"blob":"a"}\n' % TAG.encode(),
        b'{"verb":"FINISH","tag":"%b","opts":{}}\n' % TAG.encode(),
        b'{"verb":"STARTED","tag":"%b","opts":{}}\n' % TAG.encode(),  # no description: nothing to pass on
        b"",
    ],
)
def test_a_spoilt_connection_is_given_up_and_the_release_time_awaited(data: bytes) -> None:
    town = Town()
    exchange = town.exchanges[1]
    sent_at: list[int] = []
    standing = town.caller(invite("00000000000000aa"))
    assert standing.statuses() == [200]

    def spoils(stream: Stream, line: Line) -> None:
        sent_at.append(town.kernel.now())
        stream.write(data)
        if data in (b"", b'{"verb":"STARTED"'):
            stream.abort()

    exchange.manner = spoils
    caller = town.caller(invite())
    town.pass_time(30)

    def notes(stream: Stream, line: Line) -> None:
        sent_at.append(town.kernel.now())
        exchange.stands(stream, line)

    exchange.manner = notes
    town.pass_time(1500)
    assert all(later - sooner >= 150 * MS for sooner, later in zip(sent_at, sent_at[1:], strict=False))
    assert len(caller.statuses()) == 1
    # What stands goes on: its end is heard on the connection that came after.
    exchange.say(exchange.streams[-1], verb="FINISH", tag="00000000000000aa", rc=16)
    town.pass_time(50)
    assert standing.released() == ["Q.850;cause=16"]


@pytest.mark.parametrize("late", [False, True])
def test_second_late_and_unknown_answers_change_nothing(late: bool) -> None:
    town = Town()
    exchange = town.exchanges[1]

    def answers(stream: Stream, line: Line) -> None:
        exchange.say(stream, verb="STARTED", tag="ffffffffffffffff", blob="x")
        exchange.say(stream, verb="PENDING", tag=line.tag)
        exchange.say(stream, verb="FINISH", tag="ffffffffffffffff", rc=16)
        if late:
            town.kernel.at(town.kernel.now() + 2 * SECOND, lambda: exchange.stands(stream, line))
        else:
            exchange.stands(stream, line)
            exchange.stands(stream, line)
            exchange.say(stream, verb="STARTED", tag=line.tag, blob="other")

    exchange.manner = answers
    caller = town.caller(invite())
    town.pass_time(4000)
    assert len(caller.statuses()) == 1
    assert not late or caller.statuses()[0] >= 400
    assert [m.body for m in caller.heard if m.status == 200] == ([] if late else [ANSWERED.encode()])
    if not late:
        exchange.say(exchange.streams[0], verb="FINISH", tag=TAG, rc=41)
        town.pass_time(50)
        assert caller.released() == ["Q.850;cause=41"]
    town.at_rest()


def test_a_caller_releases_on_any_connection() -> None:
    town = Town()
    town.caller(invite())
    other = town.caller(request("BYE", more="Reason: Q.850;cause=31\r\n"), request("BYE"))
    assert other.statuses("BYE") == [200, 481]
    assert town.exchanges[1].verbs() == ["START", "FINISH"] and town.exchanges[1].lines[1].rc == 31
    town.at_rest()


def test_a_call_taken_back_is_given_up_at_the_exchange() -> None:
    town = Town()
    town.exchanges[1].manner = lambda stream, line: None
    caller = town.caller(invite())
    caller.says(request("CANCEL"))
    town.pass_time(50)
    assert (caller.statuses("CANCEL"), caller.statuses()) == ([200], [487])
    assert town.exchanges[1].verbs() == ["START", "FINISH"]
    town.exchanges[1].stands(town.exchanges[1].where[TAG], Line("START", TAG))
    town.pass_time(2000)
    assert caller.statuses() == [487]
    town.at_rest()


@pytest.mark.parametrize("tell_first", [False, True])
def test_a_call_that_stands_already_is_taken_over_and_only_released(tell_first: bool) -> None:
    town = Town()
    exchange = town.exchanges[1]
    finish = {"verb": "FINISH", "tag": TAG, "rc": 16}
    if tell_first:
        exchange.say(exchange.streams[0], **finish)
        town.pass_time(50)
    caller = town.caller(invite(legs="dest:1;width:1;via:-1;at:s1"))
    assert caller.statuses() == [] and exchange.lines == []
    if not tell_first:
        exchange.say(exchange.streams[0], **finish)
        town.pass_time(50)
    assert caller.released() == ["Q.850;cause=16"]
    town.at_rest()


def test_a_release_waits_for_a_connection_of_a_caller() -> None:
    town = Town()
    caller = town.caller(invite())
    caller.stream.close()
    town.pass_time(50)
    exchange = town.exchanges[1]
    exchange.say(exchange.streams[0], verb="FINISH", tag=TAG, rc=16)
    town.pass_time(500)
    other = town.caller(invite("00000000000000aa"))
    assert other.released() == ["Q.850;cause=16"] and other.statuses() == [200]


def test_calls_of_a_dead_exchange_are_released() -> None:
    town = Town()
    caller = town.caller(invite())
    town.exchanges[1].die()
    town.pass_time(1000)
    assert caller.released() == ["Q.850;cause=41"]
    town.at_rest()


@pytest.mark.parametrize("errors_go_on", [False, True])
def test_an_exchange_cut_off_is_found_silent_and_its_calls_released_in_time(errors_go_on: bool) -> None:
    town = Town()
    caller = town.caller(invite())
    exchange = town.exchanges[1]
    if errors_go_on:  # seen on the platform: set-ups of bad callers get errors while the machine is away
        exchange.silent = True
        for ms in range(0, 8000, 300):
            town.kernel.at(
                town.kernel.now() + ms * MS,
                lambda: exchange.say(exchange.streams[-1], verb="FINISH", tag="00000000000000bb", rc=47),
            )
    else:
        town.kernel.network.cut = lambda source, address: "127.0.1.1:3868" in (source, address)
    town.pass_time(2700)
    if errors_go_on:
        assert len(exchange.streams) > 2  # the first ones were given up
    town.pass_time(300)
    assert not town.agent.links["s1"].up and caller.released() == []
    town.pass_time(5000)
    assert caller.released() == ["Q.850;cause=41"]
    town.kernel.network.cut = lambda source, address: False
    exchange.silent = False
    town.pass_time(1500)
    assert town.agent.links["s1"].up
    town.at_rest()


BAD = {
    "no Call-ID": (invite(Call_ID=""), 400),
    "Call-ID of another form": (invite("9B1F03AA5C7E2D41"), 400),
    "no class": (invite(X_Cos=""), 400),
    "unknown class": (invite(X_Cos="gold"), 400),
    "no timer": (invite(X_Timer_Ms=""), 400),
    "timer no number": (invite(X_Timer_Ms="1e3"), 400),
    "timer out of range": (invite(X_Timer_Ms="99999999999999999999"), 400),
    "timer negative": (invite(X_Timer_Ms="-5"), 400),
    "no destination": (invite(legs="width:1"), 400),
    "destination no number": (invite(legs="dest:x"), 400),
    "destination unknown": (invite(legs="dest:77"), 503),
    "width out of range": (invite(legs="dest:1;width:0"), 400),
    "figures twice": (invite(legs="dest:1;dest:2"), 400),
    "at no exchange": (invite(legs="dest:1;at:a b"), 400),
    "no description": (invite(body=""), 400),
    "another method in CSeq": (invite(CSeq="1 BYE"), 400),
    "wrong length": (invite(Content_Length="x"), 400),
    "huge length": (invite(Content_Length="60000000"), 413),
    "noise": (b"\x00\x01\x02\r\n\r\n", 400),
    "unknown method": (request("SUBSCRIBE"), 501),
    "release of nothing": (request("BYE"), 481),
    "taking back nothing": (request("CANCEL"), 481),
    "no end": (b"INVITE sip:a@net SIP/2.0\r\nX: ", 408),
    "half a body": (invite()[:-5], 408),
    "silence": (b"", 408),
}


@pytest.mark.parametrize(("data", "status"), BAD.values(), ids=BAD)
def test_bad_input_gets_one_error_within_3_s_and_harms_no_other_call(data: bytes, status: int) -> None:
    town = Town()
    good = town.caller(invite("00000000000000aa"))
    bad = town.caller(data)
    town.pass_time(2700)
    assert [m.status for m in bad.heard] == [status]
    assert [one.tag for one in town.exchanges[1].lines if one.verb != "ECHO"] == ["00000000000000aa"]
    assert good.statuses() == [200] and good.released() == []
    assert town.kernel.crashes == []


def test_an_open_id_again_changes_nothing_for_the_first() -> None:
    town = Town()
    exchange = town.exchanges[1]
    exchange.manner = lambda stream, line: None
    first = town.caller(invite())
    second = town.caller(invite(body="other"), invite(body="other"))
    assert second.statuses() == [482, 482] and first.statuses() == []
    exchange.stands(exchange.where[TAG], Line("START", TAG))
    town.pass_time(50)
    assert first.statuses() == [200] and len(exchange.lines) == 1


def test_hundreds_of_silent_callers_starve_nobody_and_are_closed() -> None:
    town = Town()
    crowd = []
    for _ in range(300):
        crowd.append(caller := Caller(town))

        def come(caller: Caller = caller) -> Coroutine[None]:
            caller.stream = yield from town.kernel.connect("127.0.0.1:3868", SECOND)
            yield from caller.run()

        town.kernel.spawn(come(), "one of a crowd", watch=False)
    town.pass_time(50)
    assert len(town.agent.connections.held) <= 64
    assert town.caller(invite()).statuses() == [200]
    town.pass_time(2500)
    assert all(one.closed_at for one in crowd) and len(town.agent.connections.held) == 1


def test_a_caller_who_leaves_takes_its_open_call_back() -> None:
    town = Town()
    town.exchanges[1].manner = lambda stream, line: None
    town.caller(invite()).stream.abort()
    town.pass_time(50)
    assert town.exchanges[1].verbs() == ["START", "FINISH"]
    town.at_rest()


def test_the_readiness_test_waits_for_the_exchanges_but_not_for_ever() -> None:
    town = Town()
    assert town.caller(request("OPTIONS")).statuses("OPTIONS") == [200]
    silent = Town.__new__(Town)
    silent.kernel = VirtualKernel(1)
    silent.logs, silent.exchanges = [], {1: Exchange(silent, 1)}
    silent.exchanges[1].silent = True
    silent.agent = Agent(silent.kernel, configuration.read(config_text()), silent.log, lambda: None)
    silent.agent.start()
    silent.pass_time(100)
    assert silent.caller(request("OPTIONS")).statuses("OPTIONS") == [503]
    silent.pass_time(700)
    assert silent.caller(request("OPTIONS")).statuses("OPTIONS") == [200]


@pytest.mark.parametrize(
    ("script", "asked_from", "state"),
    [
        ([[DRAINS]], [1], "draining"),
        ([[written(1, host("s1", 1, "DELETED")), DRAINS]], [1], "draining"),
        ([[DRAINS[:-9]], [DRAINS]], [1, 1], "draining"),
        ([[written(3, host("s1", 1))], [DRAINS]], [1, 1], "draining"),
        ([[b"id: 2\ndata: {\n\n"], [DRAINS]], [1, 1], "draining"),
        ([[4 * SECOND], [DRAINS]], [1, 1], "draining"),
        ([[DRAINS], [written(2, host("s1", 1)), b""]], [1, 2], "draining"),
    ],
    ids=["told", "repeated", "half", "gap", "spoilt", "stopped", "broken off"],
)  # fmt: skip
def test_the_feed_is_followed(script: list[list[bytes | int]], asked_from: list[int], state: str) -> None:
    town = Town()
    other = Feed(town, "127.0.2.2:9092")
    other.script = script
    town.agent.reload(configuration.read(config_text(feed="127.0.2.2:9092")))
    town.pass_time(3500)
    assert other.asked_from[: len(asked_from)] == asked_from
    assert town.agent.members["s1"].state == state
    town.caller(invite())
    assert "START" not in town.exchanges[1].verbs()


def test_an_address_taken_over_gets_no_call_meant_for_the_old_one() -> None:
    town = Town()
    town.caller(invite("00000000000000aa"))
    town.exchanges[1].die()
    new = town.exchanges[1] = Exchange(town, 1)
    change = town.agent.state.apply_known(
        {"n": 2, "events": [event(2, host("s1", 1, "DELETED"), host("s9", 1))]}
    )
    town.agent.told(change[0])
    town.pass_time(300)
    assert set(town.agent.links) == {"s2", "s9"} and len(new.streams) == 2
    assert town.caller(invite()).statuses() == [200]
    assert [line.tag for line in new.lines if line.verb == "START"] == [TAG]
    assert "s1" not in town.agent.guard.exchanges and "s1" not in town.agent.sizes


def test_a_new_configuration_moves_the_feed_and_touches_no_call() -> None:
    town = Town()
    town.exchanges[1].manner = lambda stream, line: None
    caller = town.caller(invite())
    moved = Feed(town, "127.0.2.2:9092")
    town.agent.reload(configuration.read(config_text(feed="127.0.2.2:9092")))
    town.pass_time(100)
    assert moved.asked_from == [1] and caller.statuses() == []
    town.exchanges[1].stands(town.exchanges[1].where[TAG], Line("START", TAG))
    town.pass_time(50)
    assert caller.statuses() == [200]


@pytest.mark.parametrize("ends", [True, False])
def test_after_a_stop_calls_are_answered_and_it_ends_when_none_is_left(ends: bool) -> None:
    town = Town()
    exchange = town.exchanges[1]
    exchange.manner = lambda stream, line: None
    town.agent.stop()
    town.pass_time(300)
    caller = town.caller(invite(), request("OPTIONS"))
    assert caller.statuses("OPTIONS") == [503]
    town.pass_time(690)
    assert not town.ended
    exchange.stands(exchange.where[TAG], Line("START", TAG))
    town.pass_time(1000)
    assert caller.statuses() == [200] and not town.ended  # until its release, or until late
    if ends:
        exchange.say(exchange.streams[0], verb="FINISH", tag=TAG, rc=16)
    town.pass_time(100)
    assert town.ended == ends
    town.pass_time(1500)
    assert town.ended


def test_nothing_is_kept_of_many_calls() -> None:
    town = Town()
    exchange = town.exchanges[1]
    for number in range(400):
        caller = town.caller(invite(f"{number:016x}"))
        exchange.say(exchange.streams[0], verb="FINISH", tag=f"{number:016x}", rc=16)
        town.pass_time(10)
        caller.stream.close()
    town.pass_time(1000)
    town.at_rest()
    assert not town.agent.connections.held and not town.agent.releases.owed
    assert not town.agent.ended_at


@pytest.mark.parametrize(("dead", "within"), [(1, 300), (2, 700)])
def test_a_connection_that_goes_silent_is_soon_given_up_and_the_exchange_not_blamed(
    dead: int, within: int
) -> None:
    town = Town()
    exchange = town.exchanges[1]

    def reports() -> None:
        for stream in exchange.streams:
            if stream not in exchange.dead:
                exchange.say(stream, verb="LOAD", opts={"load": LOAD})

    for number in range(70):
        town.kernel.at(town.kernel.now() + number * 20 * MS, reports)
    town.pass_time(600)
    exchange.dead = exchange.streams[:dead]
    exchange.manner = lambda stream, line: None if stream in exchange.dead else exchange.stands(stream, line)
    caller = town.caller(invite("00000000000000aa"), invite("00000000000000bb"))  # one on each connection
    town.pass_time(within - 60)
    assert len(exchange.streams) == 2 + dead
    assert len(caller.statuses()) == 2 and caller.statuses().count(200) == 2 - dead
    assert [text for _, text in town.logs if "pressed" in text] == []
    assert town.caller(invite()).statuses() == [200]


@pytest.mark.parametrize(("state", "sent"), [("SERVING", True), ("DRAINING", False)])
def test_set_ups_wait_for_a_connection_lost_just_now(state: str, sent: bool) -> None:
    town = Town()
    exchange, link = town.exchanges[1], town.agent.links["s1"]
    town.pass_time(500)

    def lose() -> None:
        for stream in exchange.streams:
            stream.abort()
        while link.up:
            town.pass_time(0.1)

    lose()
    assert town.caller(invite()).statuses() == [200]
    town.pass_time(500)
    # And where the exchange has begun to leave meanwhile, they are not sent there.
    exchange.silent = True
    lose()
    town.caller(invite("00000000000000aa"))
    assert list(link.waiting) == ["00000000000000aa"]
    change = town.agent.state.apply_known({"n": 2, "events": [event(2, host("s1", 1, state))]})
    town.agent.told(change[0])
    exchange.say(exchange.streams[-1], verb="LOAD", opts={"load": LOAD})
    town.pass_time(30)
    assert ("00000000000000aa" in exchange.where) == sent


def test_a_late_answer_to_an_earlier_try_is_not_taken_for_the_next_ones() -> None:
    town = Town()
    exchange, link = town.exchanges[1], town.agent.links["s1"]
    exchange.manner = lambda stream, line: None
    caller = town.caller(invite())
    first = exchange.where[TAG]
    exchange.stands(next(one for one in exchange.streams if one is not first), Line("START", TAG))
    town.pass_time(30)
    assert caller.statuses() == [] and len(link.tries) == 1
    exchange.stands(first, Line("START", TAG))
    town.pass_time(30)
    assert caller.statuses() == [200]


def test_an_exchange_where_no_connection_can_be_made_is_told_at_once() -> None:
    town = Town()
    town.exchanges[1].die()
    town.pass_time(200)
    assert not town.agent.links["s1"].coming
    came = town.kernel.now()
    caller = town.caller(invite())
    assert len(caller.statuses()) == 1 and town.kernel.now() - came < 100 * MS


def test_a_fault_of_the_module_ends_neither_the_agent_nor_a_call(monkeypatch: pytest.MonkeyPatch) -> None:
    town = Town()
    handle = town.agent.controller.handle

    def raises(now: int, events: Any) -> Any:
        if any(getattr(one, "number", "") == "7f3a" for one in events):
            raise ZeroDivisionError
        return handle(now, events)

    monkeypatch.setattr(town.agent.controller, "handle", raises)
    caller = town.caller(invite(X_Timer_Ms="300"))
    town.pass_time(300)
    assert caller.statuses() == [500]
    monkeypatch.undo()
    assert town.caller(invite("00000000000000aa")).statuses() == [200]
    assert [text for level, text in town.logs if level == "error"] == [
        "controller raised an exception",
        "controller left a call unanswered",
    ]


def test_a_standing_call_named_again_belongs_to_the_new_connection() -> None:
    town = Town()
    town.caller(invite()).stream.close()
    town.pass_time(50)
    other = town.caller(invite(legs="dest:1;at:s1"))
    third = town.caller(invite("00000000000000aa"))
    exchange = town.exchanges[1]
    exchange.say(exchange.streams[0], verb="FINISH", tag=TAG, rc=16)
    town.pass_time(50)
    assert (other.released(), third.released()) == (["Q.850;cause=16"], [])


@pytest.mark.parametrize(("sockets", "exchanges", "most"), [(96, 2, 64), (256, 66, 108), (256, 100, 85)])
def test_callers_leave_descriptors_for_the_exchanges(sockets: int, exchanges: int, most: int) -> None:
    members = [host(f"s{n}", n, dial=f"127.0.4.{n}:1") for n in range(exchanges + 1)]
    known = {"n": 1, "events": [event(1, *members, whole=True)]}
    town = Town(limits={"sockets": sockets}, known=known)
    assert town.agent.most_callers() == most


def test_a_busy_connection_may_always_end_within_a_message() -> None:
    town = Town()
    caller = town.caller()
    data = b"".join(invite(f"{number:016x}") for number in range(9))
    for at in range(0, len(data), len(data) // 10 + 1):  # the end of one message and the begin of the next
        caller.says(data[at : at + len(data) // 10 + 1])
        town.pass_time(400)
    assert caller.statuses() == [200] * 9 and not caller.closed_at


def test_what_the_list_tells_goes_to_the_module_before_the_calls_of_the_same_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    town = Town()
    seen: list[Any] = []

    def handle(now: int, events: list[api.Event]) -> list[api.Action]:
        seen.extend(events)
        return []

    monkeypatch.setattr(town.agent.controller, "handle", handle)
    town.agent.post(api.TimerDue("a"))
    town.agent.post(api.Listed("delta"))
    town.agent.post(api.CallerLeft(1))
    town.pass_time(1)
    assert seen == [api.Listed("delta"), api.TimerDue("a"), api.CallerLeft(1)]


def test_a_call_that_the_module_leaves_unanswered_is_answered_and_leaves_its_books(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    town = Town()
    controller = town.agent.controller
    handle = controller.handle

    def idle(now: int, events: list[api.Event]) -> list[api.Action]:
        handle(now, events)
        return []

    monkeypatch.setattr(controller, "handle", idle)
    caller = town.caller(invite(X_Timer_Ms="300"))
    town.pass_time(300)
    assert caller.statuses() == [500] and controller._home.calls == {}


def told(town: Town, n: int, *hosts: dict[str, Any]) -> None:
    for change in town.agent.state.apply_known({"n": n, "events": [event(n, *hosts)]}):
        town.agent.told(change)


def test_one_connection_refused_cuts_no_call_while_the_other_speaks() -> None:
    town = Town()
    town.pass_time(500)
    exchange, link = town.exchanges[1], town.agent.links["s1"]
    caller = town.caller(invite())
    exchange.listener.close()  # it takes no more connections, and goes on with those it has
    next(one for one in exchange.streams if one is not exchange.where[TAG]).abort()
    town.pass_time(1000)
    assert [connection.up for connection in link.connections].count(True) == 1 and caller.released() == []
    exchange.say(exchange.where[TAG], verb="FINISH", tag=TAG, rc=16)
    town.pass_time(50)
    assert caller.released() == ["Q.850;cause=16"]


@pytest.mark.parametrize("lost", ["after", "before"])
def test_an_exchange_that_is_gone_and_comes_back_is_called_again(lost: str) -> None:
    town = Town()
    exchange = town.exchanges[1]
    town.caller(invite())
    told(town, 2, host("s1", 1, "DELETED"))
    town.pass_time(5)
    if lost == "before":
        for stream in exchange.streams:
            stream.abort()
        town.pass_time(5)
    assert "s1" in town.agent.links
    told(town, 3, host("s1", 1))
    exchange.say(exchange.where[TAG], verb="FINISH", tag=TAG, rc=16)
    town.pass_time(5)
    for stream in exchange.streams:
        stream.abort()
    town.pass_time(500)
    assert town.caller(invite("00000000000000aa")).statuses() == [200]
    assert "00000000000000aa" in exchange.where  # and not by a tandem
    town.exchanges[1].die()
    told(town, 4, host("s1", 1, "DELETED"))
    town.pass_time(500)
    assert "s1" not in town.agent.links and "s1" not in town.agent.guard.exchanges


def test_an_address_taken_over_stays_with_the_new_exchange_whatever_is_told_of_the_old() -> None:
    town = Town()
    town.exchanges[1].die()
    new = town.exchanges[1] = Exchange(town, 1)
    told(town, 2, host("s9", 9, dial="127.0.1.1:3868"))
    town.pass_time(500)
    assert len(town.caller(invite("00000000000000aa", legs="dest:1")).statuses()) == 1
    assert town.agent.guard.refusals == {}
    told(town, 3, host("s1", 1, "DRAINING"))
    told(town, 4, host("s1", 1))
    town.pass_time(500)
    # The old one is listed, but nowhere to be reached: no fault of the module, and nothing for the guard.
    assert set(town.agent.links) == {"s2", "s9"} and town.agent.links["s9"].up
    assert len(town.caller(invite(legs="dest:1")).statuses()) == 1
    assert town.agent.guard.refusals == {}
    assert TAG not in [one.tag for one in new.lines if one.blob]


class RealTown(Town):
    """The same over real sockets: all of it on one kernel, on a port that is free on loopback."""

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.kernel = EpollKernel(1)
        hosts = [host(f"s{n}", n, dial=f"127.0.1.{n}:{self.port}") for n in range(3)]
        known = {"n": 1, "events": [event(1, *hosts, whole=True)]}
        addresses = {"listen": f"127.0.0.1:{self.port}", "feed": f"127.0.2.1:{self.port}"}
        self.open({"known": known} | addresses)

    def until(self, holds: Callable[[], Any]) -> None:
        end = self.kernel.now() + 20 * SECOND  # only a hang takes so long
        while not holds():
            assert self.kernel.now() < end
            self.pass_time(10)


def test_a_day_over_real_sockets() -> None:
    town = RealTown()
    exchange, agent = town.exchanges[1], town.agent
    town.until(lambda: all(link.up for link in agent.links.values()))
    first = town.caller(invite("00000000000000aa"))
    town.until(lambda: first.statuses() == [200])
    # What can't be used gets its error, each, while the first call stands.
    bad = [(town.caller(data), status) for data, status in BAD.values()]
    town.until(lambda: all([m.status for m in one.heard] == [status] for one, status in bad))
    again = town.caller(invite("00000000000000aa"))
    town.until(lambda: again.statuses() == [482])
    # A spoilt line ends both connections' open tries; what stands is released on the next one.
    exchange.manner = lambda stream, line: stream.write(b"noise\n")
    lost = town.caller(invite("00000000000000bb", X_Timer_Ms="5000"))
    town.until(lambda: len(exchange.streams) > 2 and len(lost.statuses()) == 1)
    exchange.manner = exchange.stands
    town.until(lambda: agent.links["s1"].up)
    second = town.caller(invite("00000000000000cc"))
    town.until(lambda: second.statuses() == [200])
    exchange.say(exchange.streams[-1], verb="FINISH", tag="00000000000000aa", rc=16)
    town.until(lambda: first.released() == ["Q.850;cause=16"])
    # The feed moves, breaks within an event, and tells it whole when asked again.
    moved = Feed(town, f"127.0.2.2:{town.port}")
    drains = written(2, host("s1", 1, "DRAINING", dial=f"127.0.1.1:{town.port}"))
    moved.script = [[drains[:-9]], [drains]]
    known = {"n": 1, "events": []}
    agent.reload(configuration.read(config_text(feed=f"127.0.2.2:{town.port}", known=known)))
    town.until(lambda: agent.members["s1"].state == "draining")
    assert moved.asked_from == [1, 1]
    # The exchange dies: what stood there is released.
    exchange.die()
    town.until(lambda: second.released() == ["Q.850;cause=41"])
    agent.stop()
    town.until(lambda: town.ended)
    assert agent.calls == {} and agent.guard.refusals == {} and town.kernel.crashes == []
    town.kernel.close()
