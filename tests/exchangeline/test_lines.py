"""The JSON-lines codec against hand-written bytes split at every position, and against arbitrary input."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peattrestle.exchangeline.lines import (
    MAX_LINE_BYTES,
    BadLine,
    Line,
    Reader,
    encode_probe,
    encode_probe_reply,
    encode_release,
    encode_set_up,
    parse_report,
)

encode_probe.__test__ = encode_probe_reply.__test__ = False  # type: ignore[attr-defined]

STARTED = b'{"verb":"STARTED","tag":"9b1f03aa5c7e2d41","opts":{"load":"x0:12;x1:40"},"blob":"a\\r\\n"}\n'
FINISH = b'{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{"note":"crankback"},"rc":34}\r\n'
LOAD = b' {"opts":{"load":"x0:1","more":2.5},"verb":"LOAD"}\n\n'
VALID_LINES = [
    (STARTED, Line("STARTED", "9b1f03aa5c7e2d41", {"load": "x0:12;x1:40"}, None, "a\r\n")),
    (FINISH, Line("FINISH", "9b1f03aa5c7e2d41", {"note": "crankback"}, 34)),
    (LOAD, Line("LOAD", "", {"load": "x0:1", "more": 2.5})),
]


def read(*pieces: bytes) -> list[Line]:
    reader, out = Reader(), []
    for piece in pieces:
        reader.feed(piece)
        while (line := reader.next()) is not None:
            out.append(line)
    return out


@pytest.mark.parametrize(("data", "line"), VALID_LINES)
def test_a_line_is_decoded_however_the_bytes_are_split(data: bytes, line: Line) -> None:
    for at in range(len(data)):
        assert read(data[:at], data[at:]) == [line]


def test_consecutive_lines_are_separated() -> None:
    together = b"".join(row[0] for row in VALID_LINES)
    for at in range(len(together)):
        assert read(together[:at], together[at:]) == [row[1] for row in VALID_LINES]


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\n",
        b"[]\n",
        b'{"tag":"x"}\n',
        b'{"verb":3}\n',
        b'{"verb":"LOAD","opts":[]}\n',
        b'{"verb":"LOAD","opts":{"a":{}}}\n',
        b'{"verb":"FINISH","rc":"34"}\n',
        b'{"verb":"STARTED","blob":"\xff"}\n',
        b'{"verb":"STARTED","blob":"a\n',
        b"[" * 5000 + b"\n",
        b"a" * (MAX_LINE_BYTES + 1),
        b'{"verb":"' + b"a" * MAX_LINE_BYTES + b'"}\n',
    ],
)
def test_an_invalid_line_raises_bad_line(data: bytes) -> None:
    with pytest.raises(BadLine):
        read(data)


@pytest.mark.parametrize(
    ("text", "expected"),
    [("", {}), ("x0:12", {"x0": 12.0}), ("x0:12;qps:-1;queue:1.5", {"x0": 12.0, "qps": -1.0, "queue": 1.5})],
)
def test_a_load_report_is_parsed_into_values_by_name(text: str, expected: dict[str, float]) -> None:
    assert parse_report(text) == expected


@pytest.mark.parametrize("text", ["x0", "x0:", ":1", "x0:a", "x0:nan", "x0:inf", "x0:1e99", ";", 12])
def test_an_invalid_load_report_raises_bad_line(text: str) -> None:
    with pytest.raises(BadLine):
        parse_report(text)


@given(
    st.lists(st.one_of(st.binary(max_size=200), st.sampled_from([row[0] for row in VALID_LINES])), max_size=6)
)
def test_any_input_yields_lines_or_bad_line(pieces: list[bytes]) -> None:
    try:
        read(*pieces)
    except BadLine:
        return


def test_messages_are_encoded_byte_for_byte() -> None:
    assert encode_set_up("9b", "voice", "7f", 1500, 'a\r\n"é') == (
        b'{"verb":"START","tag":"9b","opts":{"class":"voice","key":"7f","left":"1500"},'
        b'"blob":"a\\r\\n\\"\xc3\xa9"}\n'
    )
    assert encode_release("9b", 34) == b'{"verb":"FINISH","tag":"9b","opts":{},"rc":34}\n'
    assert encode_probe("9b") == b'{"verb":"ECHO","tag":"9b","opts":{},"rc":0}\n'
    assert encode_probe_reply("9b") == b'{"verb":"ECHOED","tag":"9b","opts":{},"rc":1}\n'
