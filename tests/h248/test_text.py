"""The text codec against hand-written byte vectors, malformed messages and random input."""

from __future__ import annotations

import string

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from peattrestle.h248 import text
from peattrestle.h248.text import Ack, Action, Command, Item, Malformed, Message, Pending, Reply, Request

ADD = Request(
    7,
    [
        Action(
            "$",
            [
                Command(
                    "Add",
                    "c/1",
                    [Item("Media", None, [Item("LocalControl", None, [Item("ptc/brt", "line")])])],
                )
            ],
        )
    ],
)

VECTORS: list[tuple[bytes, Message]] = [
    (
        b"MEGACO/1 <a1>\nTransaction=7{Context=${Add=c/1{Media{LocalControl{ptc/brt=line}}}}}",
        Message("<a1>", [ADD]),
    ),
    (b"!/1 <a1> T=7{C=${A=c/1{M{O{PTC/BRT=line}}}}}", Message("<a1>", [ADD])),  # short tokens, any case
    (
        b'megaco/1 <a1>\r\n ; a comment, {"\r\n tRaNsAcTiOn = 7 {\tcontext=$ {add= c/1 { media'
        b"{localcontrol{ptc/brt "
        b'="line" } } } } ; end\n }\n',
        Message("<a1>", [ADD]),
    ),
    (
        b"MEGACO/1 [127.0.0.1]:2944 Reply=1{Context=-{ServiceChange=ROOT}}",
        Message("[127.0.0.1]:2944", [Reply(1, [Action("-", [Command("ServiceChange", "ROOT")])])]),
    ),
    (
        b"MEGACO/1 gw/1@x P=1{IA,C=9{S=t/1{SA{ptg/fre=3}},N=t/2}}",
        Message(
            "gw/1@x",
            [
                Reply(
                    1,
                    [
                        Action(
                            "9",
                            [
                                Command(
                                    "Subtract", "t/1", [Item("Statistics", None, [Item("ptg/fre", "3")])]
                                ),
                                Command("Notify", "t/2"),
                            ],
                        )
                    ],
                    ack_required=True,
                )
            ],
        ),
    ),
    (b'!/1 a ER=400{"no, sense {"}', Message("a", [], (400, "no, sense {"))),
    (b'!/1 a P=3{ER=406{"x"}}', Message("a", [Reply(3, [], (406, "x"))])),
    (
        b'!/1 a P=3{C=1{A=t{ER=510{"full"}}}}',
        Message(
            "a", [Reply(3, [Action("1", [Command("Add", "t", [Item("Error", "510", [Item('"full"')])])])])]
        ),
    ),
    (b"!/1 a PN=3{}PN=4{}", Message("a", [Pending(3), Pending(4)])),
    (b"!/1 a K{1-5,7}", Message("a", [Ack([(1, 5), (7, 7)])])),
    (
        b"!/1 a T=1{C=*{O-W-MF=*{E=1{al/of{strict=state}}}}}",
        Message(
            "a",
            [
                Request(
                    1,
                    [
                        Action(
                            "*",
                            [
                                Command(
                                    "Modify",
                                    "*",
                                    [Item("Events", "1", [Item("al/of", None, [Item("strict", "state")])])],
                                    True,
                                    True,
                                )
                            ],
                        )
                    ],
                )
            ],
        ),
    ),
    (
        b"!/1 a T=1{C=-{AV=ROOT{AT{M,PG}}}}",
        Message(
            "a",
            [
                Request(
                    1,
                    [
                        Action(
                            "-",
                            [
                                Command(
                                    "AuditValue",
                                    "ROOT",
                                    [Item("Audit", None, [Item("Media"), Item("Packages")])],
                                )
                            ],
                        )
                    ],
                )
            ],
        ),
    ),
]


@pytest.mark.parametrize(("data", "message"), VECTORS)
def test_hand_written_messages_parse_and_read_back(data: bytes, message: Message) -> None:
    def plain(message: Message) -> str:
        return repr(message)

    assert plain(text.parse(data)) == plain(message)
    for short in (False, True):
        assert plain(text.parse(text.write(message, short))) == plain(message)


def test_written_with_long_and_short_tokens() -> None:
    message = Message("<a1>", [ADD, Pending(2), Ack([(1, 2), (9, 9)])])
    assert text.write(message) == (
        b"MEGACO/1 <a1>\nTransaction=7{Context=${Add=c/1{Media{LocalControl{ptc/brt=line}}}}}"
        b"Pending=2{}TransactionResponseAck{1-2,9}"
    )
    assert text.write(message, True) == b"!/1 <a1>\nT=7{C=${A=c/1{M{O{ptc/brt=line}}}}}PN=2{}K{1-2,9}"


@pytest.mark.parametrize(
    ("data", "code", "line", "column", "expected", "transaction"),
    [
        (b"", 400, 1, 1, "message identifier", None),
        (b"HELO there\n", 400, 1, 1, "message identifier", None),
        (b"MEGACO/2 <a> T=1{C=-{S=x}}", 406, 1, 8, "version 1", None),
        (b"MEGACO/1 <a>\n", 400, 2, 1, "a transaction", None),
        (b"MEGACO/1 <a>\nT=1{\n C=-{\n  Dance=x}}", 443, 4, 3, "a command", 1),
        (b"MEGACO/1 <a>\nT=1{C=-{A=x{Local{v=0}}}}", 444, 2, 13, "a descriptor", 1),
        (b"MEGACO/1 <a> T=1{C=-{A=x{M,M}}}", 448, 1, 28, "each descriptor once", 1),
        (b"MEGACO/1 <a> T=1{C=-{A}}", 442, 1, 23, "a termination", 1),
        (b"MEGACO/1 <a> T=1{C=-{S=x}", 400, 1, 26, "'}'", 1),
        (b"MEGACO/1 <a> T=1{C=-{S=x}}}", 400, 1, 27, "a transaction", 1),
        (b"MEGACO/1 <a> T=1{C=-{S=x,}}", 400, 1, 26, "a name", 1),
        (b'MEGACO/1 <a> T=1{C=-{S="x}}', 400, 1, 24, "a value", 1),
        (b"MEGACO/1 <a> T=0{C=-{S=x}}", 403, 1, 16, "above 0", None),
        (b"MEGACO/1 <a> T=4294967296{C=-{S=x}}", 403, 1, 16, "a number up to 4294967295", None),
        (b"MEGACO/1 <a> T{C=-{S=x}}", 403, 1, 15, "a transaction id", None),
        (b"MEGACO/1 <a> T=1{C=q{S=x}}", 422, 1, 20, "a context's number", 1),
        (b"MEGACO/1 <a> K{5-2}", 403, 1, 16, "a rising range", None),
        (b"MEGACO/1 <a> T=1{C=-{S=\x01}}", 400, 1, 24, "a value", 1),
        (b"MEGACO/1 <a> T=1{C=-{S=\xff}}", 400, 1, 24, "UTF-8", 1),
        (b"MEGACO/1 <a> T=1{C=-{S=x y}}", 400, 1, 26, "','", 1),
        (b"MEGACO/1 <a> " + b"T=1{C=-{A=x{M{" + b"ST=1{" * 20, 400, 1, 62, "levels", 1),
    ],
)
def test_malformed_messages_name_the_error_and_its_place(
    data: bytes, code: int, line: int, column: int, expected: str, transaction: int | None
) -> None:
    with pytest.raises(Malformed) as caught:
        text.parse(data)
    error = caught.value
    assert (error.code, error.line, error.column, error.transaction) == (code, line, column, transaction)
    assert expected in error.expected


@pytest.mark.parametrize(
    "data",
    [
        b"MEGACO/1 <a> " + b"T=1{C=-{S=x}}" * 5000,
        b"MEGACO/1 <a> K{" + b"1," * 6000 + b"1}",
        b"MEGACO/1 <a> " + b"{" * 10000,
        b"MEGACO/1 <a> " + b" " * 16000,
        b"MEGACO/1 <a> " + b";\n" * 8000,
    ],
)
def test_messages_beyond_a_size_limit_are_malformed(data: bytes) -> None:
    with pytest.raises(Malformed):
        text.parse(data)


@given(st.binary(max_size=300))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_any_bytes_end_in_a_message_or_in_one_error(data: bytes) -> None:
    for whole in (data, b"MEGACO/1 <a> " + data):
        try:
            text.parse(whole)
        except Malformed as fault:
            assert fault.line >= 1 and fault.column >= 1


@given(
    st.sampled_from([data for data, _ in VECTORS]),
    st.integers(0, 300),
    st.integers(0, 40),
    st.binary(max_size=4),
)
@settings(max_examples=600, deadline=None, derandomize=True)
def test_a_message_with_a_piece_exchanged(data: bytes, at: int, length: int, piece: bytes) -> None:
    at %= len(data)
    try:
        read = text.parse(data[:at] + piece + data[at + length :])
    except Malformed:
        return
    assert repr(text.parse(text.write(read))) == repr(read)


VALUES = st.text(
    st.characters(codec="utf-8", exclude_characters='"', exclude_categories=["Cc", "Cs"]), max_size=20
)
PARAMETERS = st.lists(
    st.builds(
        Item,
        st.text(string.ascii_lowercase, min_size=3, max_size=6).map(lambda name: f"zz/{name}"),
        st.none() | VALUES,
    ),
    min_size=1,
    max_size=4,
)
COMMANDS = st.builds(
    Command,
    st.sampled_from(["Add", "Modify", "Subtract", "Notify"]),
    st.text(string.ascii_letters + "/*$", min_size=1, max_size=10),
    PARAMETERS.map(lambda items: [Item("Media", None, [Item("LocalControl", None, items)])]) | st.just([]),
)
REQUESTS = st.builds(
    Request,
    st.integers(1, (1 << 32) - 1),
    st.lists(
        st.builds(Action, st.sampled_from(["$", "*", "-", "77"]), st.lists(COMMANDS, min_size=1, max_size=3)),
        min_size=1,
        max_size=2,
    ),
)


@given(st.lists(REQUESTS | st.builds(Pending, st.integers(1, 9)), min_size=1, max_size=3), st.booleans())
@settings(max_examples=200, deadline=None, derandomize=True)
def test_what_is_written_reads_back(parts: list[Request | Pending], short: bool) -> None:
    message = Message("<a1>", list(parts))
    assert repr(text.parse(text.write(message, short))) == repr(message)


@pytest.mark.parametrize("value", ['a"b', "a\x00", "a\x1f"])
def test_values_that_can_not_be_written(value: str) -> None:
    with pytest.raises(ValueError):
        text.quoted(value)
