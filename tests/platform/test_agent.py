"""The platform's call agent with scripted callers, exchanges and feed, on virtual time and on real sockets.

The harness and its peers are also used by the other tests of this package.
"""

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
from peattrestle.runtime import ConnectionLost, Coroutine, Stream
from peattrestle.runtime.epoll import EpollKernel
from peattrestle.runtime.virtual import Network, VirtualKernel
from peattrestle.sip import text as sip

MS = 1_000_000
SECOND = 1_000_000_000
DESCRIPTION = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n"
ANSWER_DESCRIPTION = '77aa\r\nc=IN IP4 10.9.9.9\r\n\u00e9\\"\r\n'
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
    """Returns an exchange as the feed encodes it."""
    return {"host": name, "dial": f"127.0.1.{number}:3868", "block": number, "health": state} | more


def event(n: int, *hosts: dict[str, Any], whole: bool = False) -> dict[str, Any]:
    """Returns the feed event `n` with these exchanges; `whole`: they are the full list."""
    return {"n": n, "members": {"seq": n, "whole": whole, "hosts": list(hosts)}}


def config_text(**more: Any) -> str:
    """Returns a valid configuration with the exchanges s0 (own number), s1 and s2; `more` replaces keys."""
    members = event(1, host("s0", 0), host("s1", 1), host("s2", 2), whole=True)
    tree = {
        "name": "n0", "listen": "127.0.0.1:3868", "seed": "8c1f", "limits": {"sockets": 96},
        "feed": "127.0.2.1:9092", "known": {"n": 1, "events": [members]}, "settings": SETTINGS,
    }  # fmt: skip
    return json.dumps(tree | more)


def invite(
    tag: str = TAG, legs: str = "dest:1;width:1;via:-1", body: str = DESCRIPTION, **more: str
) -> bytes:
    """Returns an INVITE; `more` replaces header fields, and '' leaves a field out."""
    fields = {
        "Via": "SIP/2.0/TCP peer", "Call-ID": tag, "CSeq": "1 INVITE", "X-Cos": "line", "X-Timer-Ms": "1200",
        "X-Legs": legs, "Content-Length": str(len(body.encode())),
    } | {name.replace("_", "-"): value for name, value in more.items()}  # fmt: skip
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"INVITE sip:7f3a@net SIP/2.0\r\n{head}\r\n{body}".encode()


def request(method: str, tag: str = TAG, more: str = "") -> bytes:
    """Returns a request without a body; `more` are further header lines."""
    return (
        f"{method} sip:7f3a@net SIP/2.0\r\nCall-ID: {tag}\r\nCSeq: 2 {method}\r\n{more}"
        "Content-Length: 0\r\n\r\n"
    ).encode()


class Exchange:
    """A scripted exchange.

    `on_set_up` is called with each set-up and its stream, and by default answers the call. `silent`: it sends
    nothing by itself; `silent_streams` are single connections that do not respond to probes. `stream_of` is
    the connection on which the set-up with a tag was received.
    """

    def __init__(self, harness: Harness, number: int) -> None:
        self.harness = harness
        self.lines: list[Line] = []
        self.streams: list[Stream] = []
        self.on_set_up: Callable[[Stream, Line], None] = self.answer_call
        self.load = LOAD
        self.silent = False
        self.silent_streams: list[Stream] = []
        self.stream_of: dict[str, Stream] = {}
        self.listener = harness.kernel.listen(f"127.0.1.{number}:{harness.port}")
        self.task = harness.kernel.spawn(self.run(), f"exchange {number}")

    def run(self) -> Coroutine[None]:
        while True:
            try:
                stream = yield from self.listener.accept()
            except ConnectionLost:
                return
            self.streams.append(stream)
            self.harness.kernel.spawn(self.serve(stream), "exchange's connection", report_errors=False)

    def serve(self, stream: Stream) -> Coroutine[None]:
        reader = lines.Reader()
        if not self.silent:
            self.send(stream, verb="LOAD", opts={"load": self.load})
        while data := (yield from stream.read()):
            reader.feed(data)
            while (line := reader.next()) is not None:
                self.lines.append(line)
                if line.verb == "START":
                    self.stream_of[line.tag] = stream
                    self.on_set_up(stream, line)
                elif line.verb == "ECHO" and not self.silent and stream not in self.silent_streams:
                    self.send(stream, verb="ECHOED", tag=line.tag, rc=1)

    def send(self, stream: Stream, **more: Any) -> None:
        stream.write(json.dumps({"opts": {}} | more).encode() + b"\n")

    def answer_call(self, stream: Stream, line: Line) -> None:
        """Answers the set-up in `line` on `stream`."""
        self.send(stream, verb="STARTED", tag=line.tag, blob=ANSWER_DESCRIPTION)

    def reject_with(self, rc: int, note: str = "") -> Callable[[Stream, Line], None]:
        """Returns a handler for `on_set_up` that releases each call with this cause and note."""
        opts = {"note": note} if note else {}
        return lambda stream, line: self.send(stream, verb="FINISH", tag=line.tag, rc=rc, opts=opts)

    def received_verbs(self) -> list[str]:
        """Returns the types of the lines received, without probes."""
        return [line.verb for line in self.lines if line.verb != "ECHO"]

    def crash(self) -> None:
        """Resets all connections and refuses new ones."""
        self.listener.close()
        for stream in self.streams:
            stream.abort()


class Caller:
    """A scripted caller; `messages` are the messages it received."""

    def __init__(self, harness: Harness) -> None:
        self.harness = harness
        self.messages: list[sip.Message] = []
        self.closed_at = 0
        self.stream: Stream

    def run(self) -> Coroutine[None]:
        reader = sip.Reader()
        try:
            while data := (yield from self.stream.read()):
                reader.feed(data)
                while (message := reader.next()) is not None:
                    self.messages.append(message)
        except ConnectionLost:
            pass
        self.closed_at = self.harness.kernel.now()

    def send(self, *data: bytes) -> None:
        for piece in data:
            self.stream.write(piece)

    def statuses(self, method: str = "INVITE") -> list[int]:
        """Returns the statuses of the responses to requests with this method."""
        return [m.status for m in self.messages if m.status and m.fields.get("cseq", "").endswith(method)]

    def release_reasons(self) -> list[str]:
        """Returns the Reason fields of the releases received."""
        return [m.fields["reason"] for m in self.messages if m.method == "BYE"]


class Feed:
    """A scripted feed: `script` has, for each connection, the bytes to send and the pauses in nanoseconds."""

    def __init__(self, harness: Harness, address: str = "127.0.2.1:9092") -> None:
        self.harness = harness
        self.requested_from: list[int] = []
        self.script: list[list[bytes | int]] = []
        self.listener = harness.kernel.listen(address)
        harness.kernel.spawn(self.run(), "feed")

    def run(self) -> Coroutine[None]:
        while True:
            try:
                stream = yield from self.listener.accept()
            except ConnectionLost:
                return
            self.harness.kernel.spawn(self.serve(stream), "feed's connection", report_errors=False)

    def serve(self, stream: Stream) -> Coroutine[None]:
        data = b""
        while b"\r\n\r\n" not in data:
            data += yield from stream.read()
        header = next(row for row in data.decode().split("\r\n") if row.lower().startswith("last-event-id"))
        self.requested_from.append(int(header.split(":")[1]))
        stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        for piece in self.script.pop(0) if self.script else [b""]:
            if isinstance(piece, int):
                yield from self.harness.kernel.sleep(piece)
            else:
                stream.write(piece)
        if self.script:
            stream.close()
            return
        while True:
            yield from self.harness.kernel.sleep(SECOND)
            stream.write(b": still here\n\n")


def encode_event(n: int, *hosts: dict[str, Any]) -> bytes:
    """Returns the feed event `n` as the bytes of a server-sent event."""
    return f"id: {n}\ndata: {json.dumps(event(n, *hosts))}\n\n".encode()


DRAINING_EVENT = encode_event(2, host("s1", 1, "DRAINING"))


class Harness:
    """An agent with two exchanges, a feed and a virtual network, started and run for 100 ms."""

    port = 3868

    def __init__(self, seed: int = 1, **more: Any) -> None:
        self.kernel: Any = VirtualKernel(seed, Network(split_probability=0.3))
        self.open(more)

    def open(self, more: dict[str, Any]) -> None:
        """Starts the peers and the agent; `more` replaces keys of the configuration."""
        self.logs: list[tuple[str, str]] = []
        self.ended = False
        self.exchanges = {number: Exchange(self, number) for number in (1, 2)}
        self.feed = Feed(self, more.get("feed", "127.0.2.1:9092"))
        config = configuration.read(config_text(**more))
        self.agent = Agent(self.kernel, config, self.log, self.end)
        self.agent.start()
        self.advance(100)

    def log(self, level: str, text: str, **fields: Any) -> None:
        self.logs.append((level, text))

    def end(self) -> None:
        self.ended = True

    def advance(self, ms: float) -> None:
        """Runs the kernel for a time in milliseconds."""
        self.kernel.run(self.kernel.now() + round(ms * MS))

    def caller(self, *data: bytes) -> Caller:
        """Connects a caller that sends these messages at once."""
        caller = Caller(self)

        def connect() -> Coroutine[None]:
            caller.stream = yield from self.kernel.connect(f"127.0.0.1:{self.port}", SECOND)
            self.kernel.spawn(caller.run(), "caller", report_errors=False)
            caller.send(*data)

        self.kernel.spawn(connect(), "caller connects")
        self.advance(60)
        return caller

    def assert_idle(self) -> None:
        """Checks that no state of calls is left, no coroutine raised, and the guard refused nothing."""
        agent = self.agent
        assert (agent.calls, agent.calls_by_tag, agent.exchange_calls.by_exchange, agent.guard.calls) == (
            {},
            {},
            {},
            {},
        )
        assert all(not link.tries for link in agent.links.values())
        assert agent.guard.refusals == {} and self.kernel.crashes == []
        assert not [text for level, text in self.logs if level == "error"]


def test_a_call_is_established_and_released_by_its_exchange() -> None:
    harness = Harness()
    caller = harness.caller(invite())
    (set_up,) = harness.exchanges[1].lines
    assert (set_up.verb, set_up.tag, set_up.blob, set_up.rc) == ("START", TAG, DESCRIPTION, None)
    assert (set_up.opts["class"], set_up.opts["key"]) == ("line", "7f3a")
    assert 1000 <= int(set_up.opts["left"]) < 1200
    assert caller.statuses() == [200] and caller.messages[0].body == ANSWER_DESCRIPTION.encode()
    caller.send(request("ACK"))
    harness.exchanges[1].send(harness.exchanges[1].streams[0], verb="FINISH", tag=TAG, rc=16)
    harness.advance(50)
    assert caller.release_reasons() == ["Q.850;cause=16"]
    harness.assert_idle()


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
def test_each_release_cause_is_mapped_for_the_controller_and_the_call_is_answered_once(
    rc: int, note: str, result: str, cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = Harness()
    posted: list[Any] = []
    post = harness.agent.post

    def record(event: Any) -> None:
        posted.append(event)
        post(event)

    monkeypatch.setattr(harness.agent, "post", record)
    for exchange in harness.exchanges.values():
        exchange.on_set_up = exchange.reject_with(rc, note)
    caller = harness.caller(invite())
    harness.advance(1200)
    first = next(event for event in posted if type(event).__name__ == "TryEnded")
    assert (first.result, first.cause) == (result, cause)
    assert len(caller.statuses()) == 1 and caller.statuses()[0] >= 400
    if caller.statuses() == [503]:
        assert int(caller.messages[0].fields["x-pause"]) > 0
    harness.assert_idle()


def test_a_call_at_a_silent_exchange_is_answered_and_its_try_released() -> None:
    harness = Harness()
    harness.exchanges[1].on_set_up = lambda stream, line: None
    sent_at = harness.kernel.now()
    caller = harness.caller(invite(X_Timer_Ms="400"))
    while not caller.statuses() and harness.kernel.now() < sent_at + 2 * SECOND:
        harness.advance(5)
    assert harness.kernel.now() - sent_at < 400 * MS and len(caller.statuses()) == 1
    harness.advance(1000)
    assert (
        harness.exchanges[1].received_verbs() == ["START", "FINISH"]
        and harness.exchanges[1].lines[1].rc == 16
    )
    harness.assert_idle()


@pytest.mark.parametrize(
    "data",
    [
        b"noise\n",
        b"a" * 40_000,
        b'{"verb":"STARTED"',
        b'{"verb":"STARTED","tag":"%b","opts":{"load":"x0:a"},"blob":"a"}\n' % TAG.encode(),
        b'{"verb":"FINISH","tag":"%b","opts":{}}\n' % TAG.encode(),
        b'{"verb":"STARTED","tag":"%b","opts":{}}\n' % TAG.encode(),  # no description to pass on
        b"",
    ],
)
def test_an_invalid_line_ends_the_connection_and_the_next_try_waits_for_the_release_time(data: bytes) -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    sent_at: list[int] = []
    established = harness.caller(invite("00000000000000aa"))
    assert established.statuses() == [200]

    def corrupt(stream: Stream, line: Line) -> None:
        sent_at.append(harness.kernel.now())
        stream.write(data)
        if data in (b"", b'{"verb":"STARTED"'):
            stream.abort()

    exchange.on_set_up = corrupt
    caller = harness.caller(invite())
    harness.advance(30)

    def answer_and_record(stream: Stream, line: Line) -> None:
        sent_at.append(harness.kernel.now())
        exchange.answer_call(stream, line)

    exchange.on_set_up = answer_and_record
    harness.advance(1500)
    assert all(later - sooner >= 150 * MS for sooner, later in zip(sent_at, sent_at[1:], strict=False))
    assert len(caller.statuses()) == 1
    # The established call continues; its release arrives on the new connection.
    exchange.send(exchange.streams[-1], verb="FINISH", tag="00000000000000aa", rc=16)
    harness.advance(50)
    assert established.release_reasons() == ["Q.850;cause=16"]


@pytest.mark.parametrize("late", [False, True])
def test_second_late_and_unknown_answers_change_nothing(late: bool) -> None:
    harness = Harness()
    exchange = harness.exchanges[1]

    def respond(stream: Stream, line: Line) -> None:
        exchange.send(stream, verb="STARTED", tag="ffffffffffffffff", blob="x")
        exchange.send(stream, verb="PENDING", tag=line.tag)
        exchange.send(stream, verb="FINISH", tag="ffffffffffffffff", rc=16)
        if late:
            harness.kernel.call_at(
                harness.kernel.now() + 2 * SECOND, lambda: exchange.answer_call(stream, line)
            )
        else:
            exchange.answer_call(stream, line)
            exchange.answer_call(stream, line)
            exchange.send(stream, verb="STARTED", tag=line.tag, blob="other")

    exchange.on_set_up = respond
    caller = harness.caller(invite())
    harness.advance(4000)
    assert len(caller.statuses()) == 1
    assert not late or caller.statuses()[0] >= 400
    assert [m.body for m in caller.messages if m.status == 200] == (
        [] if late else [ANSWER_DESCRIPTION.encode()]
    )
    if not late:
        exchange.send(exchange.streams[0], verb="FINISH", tag=TAG, rc=41)
        harness.advance(50)
        assert caller.release_reasons() == ["Q.850;cause=41"]
    harness.assert_idle()


def test_a_caller_releases_on_any_connection() -> None:
    harness = Harness()
    harness.caller(invite())
    other = harness.caller(request("BYE", more="Reason: Q.850;cause=31\r\n"), request("BYE"))
    assert other.statuses("BYE") == [200, 481]
    assert (
        harness.exchanges[1].received_verbs() == ["START", "FINISH"]
        and harness.exchanges[1].lines[1].rc == 31
    )
    harness.assert_idle()


def test_a_cancelled_call_is_released_at_the_exchange() -> None:
    harness = Harness()
    harness.exchanges[1].on_set_up = lambda stream, line: None
    caller = harness.caller(invite())
    caller.send(request("CANCEL"))
    harness.advance(50)
    assert (caller.statuses("CANCEL"), caller.statuses()) == ([200], [487])
    assert harness.exchanges[1].received_verbs() == ["START", "FINISH"]
    harness.exchanges[1].answer_call(harness.exchanges[1].stream_of[TAG], Line("START", TAG))
    harness.advance(2000)
    assert caller.statuses() == [487]
    harness.assert_idle()


@pytest.mark.parametrize("release_first", [False, True])
def test_an_established_call_is_adopted_and_only_released(release_first: bool) -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    finish = {"verb": "FINISH", "tag": TAG, "rc": 16}
    if release_first:
        exchange.send(exchange.streams[0], **finish)
        harness.advance(50)
    caller = harness.caller(invite(legs="dest:1;width:1;via:-1;at:s1"))
    assert caller.statuses() == [] and exchange.lines == []
    if not release_first:
        exchange.send(exchange.streams[0], **finish)
        harness.advance(50)
    assert caller.release_reasons() == ["Q.850;cause=16"]
    harness.assert_idle()


def test_a_release_waits_for_a_caller_connection() -> None:
    harness = Harness()
    caller = harness.caller(invite())
    caller.stream.close()
    harness.advance(50)
    exchange = harness.exchanges[1]
    exchange.send(exchange.streams[0], verb="FINISH", tag=TAG, rc=16)
    harness.advance(500)
    other = harness.caller(invite("00000000000000aa"))
    assert other.release_reasons() == ["Q.850;cause=16"] and other.statuses() == [200]


def test_calls_of_a_crashed_exchange_are_released() -> None:
    harness = Harness()
    caller = harness.caller(invite())
    harness.exchanges[1].crash()
    harness.advance(1000)
    assert caller.release_reasons() == ["Q.850;cause=41"]
    harness.assert_idle()


@pytest.mark.parametrize("errors_continue", [False, True])
def test_an_unreachable_exchange_is_detected_and_its_calls_released_in_time(errors_continue: bool) -> None:
    harness = Harness()
    caller = harness.caller(invite())
    exchange = harness.exchanges[1]
    if errors_continue:  # seen on the platform: invalid set-ups get errors while the host is down
        exchange.silent = True
        for ms in range(0, 8000, 300):
            harness.kernel.call_at(
                harness.kernel.now() + ms * MS,
                lambda: exchange.send(exchange.streams[-1], verb="FINISH", tag="00000000000000bb", rc=47),
            )
    else:
        harness.kernel.network.is_cut = lambda source, address: "127.0.1.1:3868" in (source, address)
    harness.advance(2700)
    if errors_continue:
        assert len(exchange.streams) > 2  # the first connections were closed
    harness.advance(300)
    assert not harness.agent.links["s1"].is_up and caller.release_reasons() == []
    harness.advance(5000)
    assert caller.release_reasons() == ["Q.850;cause=41"]
    harness.kernel.network.is_cut = lambda source, address: False
    exchange.silent = False
    harness.advance(1500)
    assert harness.agent.links["s1"].is_up
    harness.assert_idle()


INVALID_REQUESTS = {
    "no Call-ID": (invite(Call_ID=""), 400),
    "Call-ID of another form": (invite("9B1F03AA5C7E2D41"), 400),
    "no class": (invite(X_Cos=""), 400),
    "unknown class": (invite(X_Cos="gold"), 400),
    "no timer": (invite(X_Timer_Ms=""), 400),
    "timer not a number": (invite(X_Timer_Ms="1e3"), 400),
    "timer out of range": (invite(X_Timer_Ms="99999999999999999999"), 400),
    "timer negative": (invite(X_Timer_Ms="-5"), 400),
    "no destination": (invite(legs="width:1"), 400),
    "destination not a number": (invite(legs="dest:x"), 400),
    "destination unknown": (invite(legs="dest:77"), 503),
    "width out of range": (invite(legs="dest:1;width:0"), 400),
    "field of X-Legs twice": (invite(legs="dest:1;dest:2"), 400),
    "invalid exchange name": (invite(legs="dest:1;at:a b"), 400),
    "no description": (invite(body=""), 400),
    "another method in CSeq": (invite(CSeq="1 BYE"), 400),
    "wrong length": (invite(Content_Length="x"), 400),
    "huge length": (invite(Content_Length="60000000"), 413),
    "noise": (b"\x00\x01\x02\r\n\r\n", 400),
    "unknown method": (request("SUBSCRIBE"), 501),
    "release of an unknown call": (request("BYE"), 481),
    "cancel of an unknown call": (request("CANCEL"), 481),
    "incomplete header": (b"INVITE sip:a@net SIP/2.0\r\nX: ", 408),
    "incomplete body": (invite()[:-5], 408),
    "silence": (b"", 408),
}


@pytest.mark.parametrize(("data", "status"), INVALID_REQUESTS.values(), ids=INVALID_REQUESTS)
def test_invalid_input_gets_one_error_within_3_s_and_affects_no_other_call(data: bytes, status: int) -> None:
    harness = Harness()
    good = harness.caller(invite("00000000000000aa"))
    bad = harness.caller(data)
    harness.advance(2700)
    assert [m.status for m in bad.messages] == [status]
    assert [line.tag for line in harness.exchanges[1].lines if line.verb != "ECHO"] == ["00000000000000aa"]
    assert good.statuses() == [200] and good.release_reasons() == []
    assert harness.kernel.crashes == []


def test_a_second_set_up_with_an_open_call_id_is_rejected() -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    exchange.on_set_up = lambda stream, line: None
    first = harness.caller(invite())
    second = harness.caller(invite(body="other"), invite(body="other"))
    assert second.statuses() == [482, 482] and first.statuses() == []
    exchange.answer_call(exchange.stream_of[TAG], Line("START", TAG))
    harness.advance(50)
    assert first.statuses() == [200] and len(exchange.lines) == 1


def test_hundreds_of_silent_callers_block_no_other_and_are_closed() -> None:
    harness = Harness()
    silent_callers = []
    for _ in range(300):
        silent_callers.append(caller := Caller(harness))

        def connect(caller: Caller = caller) -> Coroutine[None]:
            caller.stream = yield from harness.kernel.connect("127.0.0.1:3868", SECOND)
            yield from caller.run()

        harness.kernel.spawn(connect(), "silent caller", report_errors=False)
    harness.advance(50)
    assert len(harness.agent.connections.active) <= 64
    assert harness.caller(invite()).statuses() == [200]
    harness.advance(2500)
    assert all(caller.closed_at for caller in silent_callers) and len(harness.agent.connections.active) == 1


def test_a_caller_that_disconnects_cancels_its_open_call() -> None:
    harness = Harness()
    harness.exchanges[1].on_set_up = lambda stream, line: None
    harness.caller(invite()).stream.abort()
    harness.advance(50)
    assert harness.exchanges[1].received_verbs() == ["START", "FINISH"]
    harness.assert_idle()


def test_readiness_waits_for_the_exchanges_up_to_a_timeout() -> None:
    harness = Harness()
    assert harness.caller(request("OPTIONS")).statuses("OPTIONS") == [200]
    silent = Harness.__new__(Harness)
    silent.kernel = VirtualKernel(1)
    silent.logs, silent.exchanges = [], {1: Exchange(silent, 1)}
    silent.exchanges[1].silent = True
    silent.agent = Agent(silent.kernel, configuration.read(config_text()), silent.log, lambda: None)
    silent.agent.start()
    silent.advance(100)
    assert silent.caller(request("OPTIONS")).statuses("OPTIONS") == [503]
    silent.advance(700)
    assert silent.caller(request("OPTIONS")).statuses("OPTIONS") == [200]


@pytest.mark.parametrize(
    ("script", "requested_from", "state"),
    [
        ([[DRAINING_EVENT]], [1], "draining"),
        ([[encode_event(1, host("s1", 1, "DELETED")), DRAINING_EVENT]], [1], "draining"),
        ([[DRAINING_EVENT[:-9]], [DRAINING_EVENT]], [1, 1], "draining"),
        ([[encode_event(3, host("s1", 1))], [DRAINING_EVENT]], [1, 1], "draining"),
        ([[b"id: 2\ndata: {\n\n"], [DRAINING_EVENT]], [1, 1], "draining"),
        ([[4 * SECOND], [DRAINING_EVENT]], [1, 1], "draining"),
        ([[DRAINING_EVENT], [encode_event(2, host("s1", 1)), b""]], [1, 2], "draining"),
    ],
    ids=["next event", "repeated", "truncated", "gap", "corrupt", "silent", "connection closed"],
)  # fmt: skip
def test_each_feed_event_is_applied_once_despite_faults_of_the_feed(
    script: list[list[bytes | int]], requested_from: list[int], state: str
) -> None:
    harness = Harness()
    other = Feed(harness, "127.0.2.2:9092")
    other.script = script
    harness.agent.reload(configuration.read(config_text(feed="127.0.2.2:9092")))
    harness.advance(3500)
    assert other.requested_from[: len(requested_from)] == requested_from
    assert harness.agent.members["s1"].state == state
    harness.caller(invite())
    assert "START" not in harness.exchanges[1].received_verbs()


def test_an_exchange_at_a_reused_address_gets_no_call_of_the_old_one() -> None:
    harness = Harness()
    harness.caller(invite("00000000000000aa"))
    harness.exchanges[1].crash()
    new = harness.exchanges[1] = Exchange(harness, 1)
    change = harness.agent.feed_state.apply_known(
        {"n": 2, "events": [event(2, host("s1", 1, "DELETED"), host("s9", 1))]}
    )
    harness.agent.apply_change(change[0])
    harness.advance(300)
    assert set(harness.agent.links) == {"s2", "s9"} and len(new.streams) == 2
    assert harness.caller(invite()).statuses() == [200]
    assert [line.tag for line in new.lines if line.verb == "START"] == [TAG]
    assert "s1" not in harness.agent.guard.exchanges and "s1" not in harness.agent.group_sizes


def test_a_new_configuration_changes_the_feed_and_no_call() -> None:
    harness = Harness()
    harness.exchanges[1].on_set_up = lambda stream, line: None
    caller = harness.caller(invite())
    new_feed = Feed(harness, "127.0.2.2:9092")
    harness.agent.reload(configuration.read(config_text(feed="127.0.2.2:9092")))
    harness.advance(100)
    assert new_feed.requested_from == [1] and caller.statuses() == []
    harness.exchanges[1].answer_call(harness.exchanges[1].stream_of[TAG], Line("START", TAG))
    harness.advance(50)
    assert caller.statuses() == [200]


@pytest.mark.parametrize("is_released", [True, False])
def test_after_a_stop_calls_are_answered_and_it_ends_when_none_is_left(is_released: bool) -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    exchange.on_set_up = lambda stream, line: None
    harness.agent.stop()
    harness.advance(300)
    caller = harness.caller(invite(), request("OPTIONS"))
    assert caller.statuses("OPTIONS") == [503]
    harness.advance(690)
    assert not harness.ended
    exchange.answer_call(exchange.stream_of[TAG], Line("START", TAG))
    harness.advance(1000)
    assert (
        caller.statuses() == [200] and not harness.ended
    )  # runs on until the call is released or the shutdown ends
    if is_released:
        exchange.send(exchange.streams[0], verb="FINISH", tag=TAG, rc=16)
    harness.advance(100)
    assert harness.ended == is_released
    harness.advance(1500)
    assert harness.ended


def test_no_state_remains_after_many_calls() -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    for number in range(400):
        caller = harness.caller(invite(f"{number:016x}"))
        exchange.send(exchange.streams[0], verb="FINISH", tag=f"{number:016x}", rc=16)
        harness.advance(10)
        caller.stream.close()
    harness.advance(61_000)
    harness.assert_idle()
    assert not harness.agent.connections.active
    assert not harness.agent.releases.undelivered and not harness.agent.releases.unconfirmed
    assert not harness.agent.early_releases


@pytest.mark.parametrize(("silent_count", "within_ms"), [(1, 300), (2, 700)])
def test_a_silent_connection_is_soon_closed_and_the_exchange_not_counted_as_failed(
    silent_count: int, within_ms: int
) -> None:
    harness = Harness()
    exchange = harness.exchanges[1]

    def send_reports() -> None:
        for stream in exchange.streams:
            if stream not in exchange.silent_streams:
                exchange.send(stream, verb="LOAD", opts={"load": LOAD})

    for number in range(70):
        harness.kernel.call_at(harness.kernel.now() + number * 20 * MS, send_reports)
    harness.advance(600)
    exchange.silent_streams = exchange.streams[:silent_count]
    exchange.on_set_up = (
        lambda stream, line: None if stream in exchange.silent_streams else exchange.answer_call(stream, line)
    )
    caller = harness.caller(invite("00000000000000aa"), invite("00000000000000bb"))  # one on each connection
    harness.advance(within_ms - 60)
    assert len(exchange.streams) == 2 + silent_count
    assert len(caller.statuses()) == 2 and caller.statuses().count(200) == 2 - silent_count
    assert [text for _, text in harness.logs if "overloaded" in text] == []
    assert harness.caller(invite()).statuses() == [200]


@pytest.mark.parametrize(("state", "sent"), [("SERVING", True), ("DRAINING", False)])
def test_set_ups_wait_while_a_lost_connection_is_replaced(state: str, sent: bool) -> None:
    harness = Harness()
    exchange, link = harness.exchanges[1], harness.agent.links["s1"]
    harness.advance(500)

    def lose_connections() -> None:
        for stream in exchange.streams:
            stream.abort()
        while link.is_up:
            harness.advance(0.1)

    lose_connections()
    assert harness.caller(invite()).statuses() == [200]
    harness.advance(500)
    # If the exchange has begun draining in the meantime, set-ups are not sent to it.
    exchange.silent = True
    lose_connections()
    harness.caller(invite("00000000000000aa"))
    assert list(link.waiting) == ["00000000000000aa"]
    change = harness.agent.feed_state.apply_known({"n": 2, "events": [event(2, host("s1", 1, state))]})
    harness.agent.apply_change(change[0])
    exchange.send(exchange.streams[-1], verb="LOAD", opts={"load": LOAD})
    harness.advance(30)
    assert ("00000000000000aa" in exchange.stream_of) == sent


def test_an_answer_on_another_connection_than_the_try_is_ignored() -> None:
    harness = Harness()
    exchange, link = harness.exchanges[1], harness.agent.links["s1"]
    exchange.on_set_up = lambda stream, line: None
    caller = harness.caller(invite())
    first = exchange.stream_of[TAG]
    exchange.answer_call(
        next(stream for stream in exchange.streams if stream is not first), Line("START", TAG)
    )
    harness.advance(30)
    assert caller.statuses() == [] and len(link.tries) == 1
    exchange.answer_call(first, Line("START", TAG))
    harness.advance(30)
    assert caller.statuses() == [200]


def test_a_try_fails_at_once_when_no_connection_can_be_made() -> None:
    harness = Harness()
    harness.exchanges[1].crash()
    harness.advance(200)
    assert not harness.agent.links["s1"].may_connect
    sent_at = harness.kernel.now()
    caller = harness.caller(invite())
    assert len(caller.statuses()) == 1 and harness.kernel.now() - sent_at < 100 * MS


def test_an_exception_in_the_controller_ends_neither_the_agent_nor_a_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = Harness()
    handle = harness.agent.controller.handle

    def raise_for_call(now: int, events: Any) -> Any:
        if any(getattr(event, "number", "") == "7f3a" for event in events):
            raise ZeroDivisionError
        return handle(now, events)

    monkeypatch.setattr(harness.agent.controller, "handle", raise_for_call)
    caller = harness.caller(invite(X_Timer_Ms="300"))
    harness.advance(300)
    assert caller.statuses() == [500]
    monkeypatch.undo()
    assert harness.caller(invite("00000000000000aa")).statuses() == [200]
    assert [text for level, text in harness.logs if level == "error"] == [
        "controller raised an exception",
        "controller left a call unanswered",
    ]


def test_an_established_call_announced_again_moves_to_the_new_connection() -> None:
    harness = Harness()
    harness.caller(invite()).stream.close()
    harness.advance(50)
    other = harness.caller(invite(legs="dest:1;at:s1"))
    third = harness.caller(invite("00000000000000aa"))
    exchange = harness.exchanges[1]
    exchange.send(exchange.streams[0], verb="FINISH", tag=TAG, rc=16)
    harness.advance(50)
    assert (other.release_reasons(), third.release_reasons()) == (["Q.850;cause=16"], [])


@pytest.mark.parametrize(("sockets", "exchanges", "limit"), [(96, 2, 64), (256, 66, 108), (256, 100, 85)])
def test_caller_connections_are_limited_to_leave_descriptors_for_the_exchanges(
    sockets: int, exchanges: int, limit: int
) -> None:
    members = [host(f"s{n}", n, dial=f"127.0.4.{n}:1") for n in range(exchanges + 1)]
    known = {"n": 1, "events": [event(1, *members, whole=True)]}
    harness = Harness(limits={"sockets": sockets}, known=known)
    assert harness.agent.max_caller_connections() == limit


def test_a_busy_connection_is_not_late_though_each_piece_ends_within_a_message() -> None:
    harness = Harness()
    caller = harness.caller()
    data = b"".join(invite(f"{number:016x}") for number in range(9))
    for at in range(0, len(data), len(data) // 10 + 1):  # each piece ends within a message
        caller.send(data[at : at + len(data) // 10 + 1])
        harness.advance(400)
    assert caller.statuses() == [200] * 9 and not caller.closed_at


def test_list_updates_reach_the_controller_before_other_events_of_the_same_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = Harness()
    seen: list[Any] = []

    def handle(now: int, events: list[api.Event]) -> list[api.Action]:
        seen.extend(events)
        return []

    monkeypatch.setattr(harness.agent.controller, "handle", handle)
    harness.agent.post(api.TimerDue("a"))
    harness.agent.post(api.ListUpdated("delta"))
    harness.agent.post(api.CallerLeft(1))
    harness.advance(1)
    assert seen == [api.ListUpdated("delta"), api.TimerDue("a"), api.CallerLeft(1)]


def test_a_call_that_the_controller_leaves_unanswered_is_answered_and_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = Harness()
    controller = harness.agent.controller
    handle = controller.handle

    def ignore(now: int, events: list[api.Event]) -> list[api.Action]:
        handle(now, events)
        return []

    monkeypatch.setattr(controller, "handle", ignore)
    caller = harness.caller(invite(X_Timer_Ms="300"))
    harness.advance(300)
    assert caller.statuses() == [500] and controller._router.calls == {}


def apply_feed_event(harness: Harness, n: int, *hosts: dict[str, Any]) -> None:
    """Applies the feed event `n` to the agent without its feed connection."""
    for change in harness.agent.feed_state.apply_known({"n": n, "events": [event(n, *hosts)]}):
        harness.agent.apply_change(change)


def test_a_refused_connection_ends_no_call_while_the_other_connection_is_up() -> None:
    harness = Harness()
    harness.advance(500)
    exchange, link = harness.exchanges[1], harness.agent.links["s1"]
    caller = harness.caller(invite())
    exchange.listener.close()  # refuses new connections, keeps the existing ones
    next(stream for stream in exchange.streams if stream is not exchange.stream_of[TAG]).abort()
    harness.advance(1000)
    assert [connection.is_up for connection in link.connections].count(
        True
    ) == 1 and caller.release_reasons() == []
    exchange.send(exchange.stream_of[TAG], verb="FINISH", tag=TAG, rc=16)
    harness.advance(50)
    assert caller.release_reasons() == ["Q.850;cause=16"]


@pytest.mark.parametrize("lost", ["after", "before"])
def test_an_exchange_that_leaves_the_list_and_returns_is_used_again(lost: str) -> None:
    harness = Harness()
    exchange = harness.exchanges[1]
    harness.caller(invite())
    apply_feed_event(harness, 2, host("s1", 1, "DELETED"))
    harness.advance(5)
    if lost == "before":
        for stream in exchange.streams:
            stream.abort()
        harness.advance(5)
    assert "s1" in harness.agent.links
    apply_feed_event(harness, 3, host("s1", 1))
    exchange.send(exchange.stream_of[TAG], verb="FINISH", tag=TAG, rc=16)
    harness.advance(5)
    for stream in exchange.streams:
        stream.abort()
    harness.advance(500)
    assert harness.caller(invite("00000000000000aa")).statuses() == [200]
    assert "00000000000000aa" in exchange.stream_of  # directly, not through a tandem
    harness.exchanges[1].crash()
    apply_feed_event(harness, 4, host("s1", 1, "DELETED"))
    harness.advance(500)
    assert "s1" not in harness.agent.links and "s1" not in harness.agent.guard.exchanges


def test_a_reused_address_stays_with_the_new_exchange_when_the_old_one_is_listed_again() -> None:
    harness = Harness()
    harness.exchanges[1].crash()
    new = harness.exchanges[1] = Exchange(harness, 1)
    apply_feed_event(harness, 2, host("s9", 9, dial="127.0.1.1:3868"))
    harness.advance(500)
    assert len(harness.caller(invite("00000000000000aa", legs="dest:1")).statuses()) == 1
    assert harness.agent.guard.refusals == {}
    apply_feed_event(harness, 3, host("s1", 1, "DRAINING"))
    apply_feed_event(harness, 4, host("s1", 1))
    harness.advance(500)
    # The old exchange is listed but unreachable; this is no fault, and the guard refuses nothing.
    assert set(harness.agent.links) == {"s2", "s9"} and harness.agent.links["s9"].is_up
    assert len(harness.caller(invite(legs="dest:1")).statuses()) == 1
    assert harness.agent.guard.refusals == {}
    assert TAG not in [line.tag for line in new.lines if line.blob]


class SocketHarness(Harness):
    """A harness on real loopback sockets, with all peers on one kernel."""

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.kernel = EpollKernel(1)
        hosts = [host(f"s{n}", n, dial=f"127.0.1.{n}:{self.port}") for n in range(3)]
        known = {"n": 1, "events": [event(1, *hosts, whole=True)]}
        addresses = {"listen": f"127.0.0.1:{self.port}", "feed": f"127.0.2.1:{self.port}"}
        self.open({"known": known} | addresses)

    def until(self, condition: Callable[[], Any]) -> None:
        """Runs the kernel until the condition is true; fails after 20 s."""
        end = self.kernel.now() + 20 * SECOND  # only a hang takes so long
        while not condition():
            assert self.kernel.now() < end
            self.advance(10)


def test_calls_over_real_sockets() -> None:
    harness = SocketHarness()
    exchange, agent = harness.exchanges[1], harness.agent
    harness.until(lambda: all(link.is_up for link in agent.links.values()))
    first = harness.caller(invite("00000000000000aa"))
    harness.until(lambda: first.statuses() == [200])
    # Each invalid request gets its error while the first call is established.
    invalid = [(harness.caller(data), status) for data, status in INVALID_REQUESTS.values()]
    harness.until(lambda: all([m.status for m in caller.messages] == [status] for caller, status in invalid))
    duplicate = harness.caller(invite("00000000000000aa"))
    harness.until(lambda: duplicate.statuses() == [482])
    # An invalid line ends the pending try; the established call is released on the next connection.
    exchange.on_set_up = lambda stream, line: stream.write(b"noise\n")
    failed = harness.caller(invite("00000000000000bb", X_Timer_Ms="5000"))
    harness.until(lambda: len(exchange.streams) > 2 and len(failed.statuses()) == 1)
    exchange.on_set_up = exchange.answer_call
    harness.until(lambda: agent.links["s1"].is_up)
    second = harness.caller(invite("00000000000000cc"))
    harness.until(lambda: second.statuses() == [200])
    exchange.send(exchange.streams[-1], verb="FINISH", tag="00000000000000aa", rc=16)
    harness.until(lambda: first.release_reasons() == ["Q.850;cause=16"])
    # The feed moves and breaks off within an event, which it sends again on the next request.
    new_feed = Feed(harness, f"127.0.2.2:{harness.port}")
    draining_event = encode_event(2, host("s1", 1, "DRAINING", dial=f"127.0.1.1:{harness.port}"))
    new_feed.script = [[draining_event[:-9]], [draining_event]]
    known = {"n": 1, "events": []}
    agent.reload(configuration.read(config_text(feed=f"127.0.2.2:{harness.port}", known=known)))
    harness.until(lambda: agent.members["s1"].state == "draining")
    assert new_feed.requested_from == [1, 1]
    # The exchange crashes: its established call is released.
    exchange.crash()
    harness.until(lambda: second.release_reasons() == ["Q.850;cause=41"])
    agent.stop()
    harness.until(lambda: harness.ended)
    assert agent.calls == {} and agent.guard.refusals == {} and harness.kernel.crashes == []
    harness.kernel.close()
