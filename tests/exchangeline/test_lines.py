"""The exchanges' lines against bytes written by hand, cut at every place, and against anything at all."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peattrestle.exchangeline.lines import (
    MOST_LINE,
    BadLine,
    Line,
    Reader,
    figures,
    release,
    set_up,
    test,
    test_passed,
)

test.__test__ = test_passed.__test__ = False  # type: ignore[attr-defined]

STARTED = b'{"verb":"STARTED","tag":"9b1f03aa5c7e2d41","opts":{"load":"x0:12;x1:40"},"blob":"a\\r\\n"}\n'
FINISH = b'{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{"note":"crankback"},"rc":34}\r\n'
LOAD = b' {"opts":{"load":"x0:1","more":2.5},"verb":"LOAD"}\n\n'
GOOD = [
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


@pytest.mark.parametrize(("data", "line"), GOOD)
def test_a_line_is_read_however_it_is_cut(data: bytes, line: Line) -> None:
    for at in range(len(data)):
        assert read(data[:at], data[at:]) == [line]


def test_lines_that_run_together_are_told_apart() -> None:
    together = b"".join(row[0] for row in GOOD)
    for at in range(len(together)):
        assert read(together[:at], together[at:]) == [row[1] for row in GOOD]


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
        b"a" * (MOST_LINE + 1),
        b'{"verb":"' + b"a" * MOST_LINE + b'"}\n',
    ],
)
def test_what_is_no_line_is_the_one_named_error(data: bytes) -> None:
    with pytest.raises(BadLine):
        read(data)


@pytest.mark.parametrize(
    ("text", "expected"),
    [("", {}), ("x0:12", {"x0": 12.0}), ("x0:12;qps:-1;queue:1.5", {"x0": 12.0, "qps": -1.0, "queue": 1.5})],
)
def test_figures(text: str, expected: dict[str, float]) -> None:
    assert figures(text) == expected


@pytest.mark.parametrize("text", ["x0", "x0:", ":1", "x0:a", "x0:nan", "x0:inf", "x0:1e99", ";", 12])
def test_bad_figures(text: str) -> None:
    with pytest.raises(BadLine):
        figures(text)


@given(st.lists(st.one_of(st.binary(max_size=200), st.sampled_from([row[0] for row in GOOD])), max_size=6))
def test_anything_ends_in_lines_or_the_named_error(pieces: list[bytes]) -> None:
    try:
        read(*pieces)
    except BadLine:
        return


def test_what_is_written() -> None:
    assert set_up("9b", "voice", "7f", 1500, 'a\r\n"é') == (
        b'{"verb":"START","tag":"9b","opts":{"class":"voice","key":"7f","left":"1500"},'
        b'"blob":"a\\r\\n\\"\xc3\xa9"}\n'
    )
    assert release("9b", 34) == b'{"verb":"FINISH","tag":"9b","opts":{},"rc":34}\n'
    assert test("9b") == b'{"verb":"ECHO","tag":"9b","opts":{},"rc":0}\n'
    assert test_passed("9b") == b'{"verb":"ECHOED","tag":"9b","opts":{},"rc":1}\n'
