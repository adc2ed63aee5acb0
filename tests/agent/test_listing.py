"""Lines of the exchange list, and the list saved over restarts."""

from __future__ import annotations

from pathlib import Path

import pytest

from peattrestle.agent.listing import BadLine, FileStore, Row, pack, read_line, unpack


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"{",
        b'{"form": "whole"}',
        b'{"form": "full", "entries": [{"exchange": "x", "number": 1}]}',
        b'{"form": "full", "entries": [{"exchange": "", "number": 1, "state": "ready"}]}',
        b'{"form": "full", "entries": [{"exchange": "x", "number": -1, "state": "ready"}]}',
        b'{"form": "full", "entries": [{"exchange": "x", "number": 1, "state": "asleep"}]}',
        b"\xff\xfe",
    ],
)
def test_an_invalid_line_is_rejected(line: bytes) -> None:
    with pytest.raises(BadLine):
        read_line(line)


@pytest.mark.parametrize(
    ("age", "elapsed", "expected"),
    [(5, 10, 15), (-1, 10, -1), (5, -10, -1), (5, 86_400_000_000_001, -1)],  # clock reset; over a day
)
def test_the_saved_list_ages(age: int, elapsed: int, expected: int) -> None:
    rows = unpack(1000 + elapsed, pack(1000, [Row("x1", 1, "ready", "127.0.0.1:1", "", age)]))
    assert rows is not None and rows[0].age == expected


@pytest.mark.parametrize("data", [b"", b"{", b'{"at": 1, "entries": [], "version": 2}', b"\x00" * 50])
def test_a_damaged_list_or_one_of_another_version_is_ignored(data: bytes) -> None:
    assert unpack(0, data) is None


def test_a_file_store_replaces_the_list_and_leaves_no_other_file(tmp_path: Path) -> None:
    store = FileStore(str(tmp_path / "state"))
    assert store.load() == b""
    store.save(b"one")
    store.save(b"two")
    assert store.load() == b"two"
    assert [path.name for path in (tmp_path / "state").iterdir()] == ["exchanges.json"]
