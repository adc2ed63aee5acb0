"""The roll: what changes in a registry mean, and what they don't."""

from __future__ import annotations

import json
from typing import Any

import pytest

from peattrestle.membership.entries import BadEntry, read
from peattrestle.membership.roll import Roll, Told

SECOND = 1_000_000_000
PREFIX = b"/hubs/"


class Book:
    def __init__(self) -> None:
        self.roll = Roll(PREFIX)
        self.revision = 0
        self.list: dict[str, tuple[int, str]] = {}

    def at(self, seconds: float, **entries: Any) -> Told:
        """NAME=None deletes, a dict puts; what was told is laid on the list."""
        changes = []
        for name, value in entries.items():
            self.revision += 1
            data = (
                None if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
            )
            changes.append((PREFIX + name.encode(), data, self.revision))
        return self.lay(self.roll.apply(round(seconds * SECOND), changes))

    def look(self, seconds: float) -> Told:
        return self.lay(self.roll.look(round(seconds * SECOND)))

    def lay(self, told: Told) -> Told:
        for member in told.members:
            self.list[member.name] = (member.entry.number, member.entry.state)
        return told

    def states(self) -> dict[str, str]:
        return {name: state for name, (_, state) in self.list.items()}


def hubs(count: int, **more: Any) -> dict[str, Any]:
    return {f"x{number}": {"number": number} | more for number in range(count)}


@pytest.mark.parametrize(
    ("value", "fault"),
    [
        (b'{"number": 4}', ""),
        (b'{"number": 4, "state": "draining", "address": "127.0.0.1:2944", "later": [1]}', ""),
        (b"", "x4"),
        (b"[1]", "x4"),
        (b'{"state": "ready"}', "number"),
        (b'{"number": "4"}', "number"),
        (b'{"number": -4}', "-4"),
        (b'{"number": 4, "state": "ajar"}', "state"),
        (b'{"number": 4, "address": "nowhere"}', "host:port"),
        (b'{"number": 4, "address": "h:99999"}', "host:port"),
        (b'{"number": 4, "started": -1}', "started"),
        (b"\xff\xfe", "x4"),
        (b'{"number": 4, "zone": "' + b"z" * 5000 + b'"}', "at most"),
    ],
)
def test_entries(value: bytes, fault: str) -> None:
    if fault:
        with pytest.raises(BadEntry, match=fault):
            read(PREFIX, PREFIX + b"x4", value)
    else:
        name, entry = read(PREFIX, PREFIX + b"x4", value)
        assert (name, entry.number) == ("x4", 4)


def test_names_that_are_none() -> None:
    for key in (b"/hubs/", b"/hubs/a/b", b"/other/x", b"/hubs/" + b"x" * 65, b"/hubs/\xff"):
        with pytest.raises(BadEntry):
            read(PREFIX, key, b'{"number": 1}')


def test_drains_and_removals_count_at_once_and_only_what_changed_is_told() -> None:
    book = Book()
    book.at(0, **hubs(5))
    assert set(book.states().values()) == {"ready"}
    told = book.at(1, x1={"number": 1, "state": "draining"})
    assert [(one.name, one.entry.state) for one in told.members] == [("x1", "draining")]
    assert book.at(2, x2=None).members[0].entry.state == "gone"
    assert book.at(3, x3={"number": 3}).members == ()  # written again, as it was
    assert book.at(4, x3={"number": 3, "address": "127.0.0.1:9"}).members[0].entry.address == "127.0.0.1:9"
    assert book.at(4, x3={"number": 3, "started": 5.0}).members[0].entry.started == 5.0


def test_what_cannot_be_read_takes_nothing_away_and_brings_nothing() -> None:
    book = Book()
    book.at(0, **hubs(3))
    told = book.at(1, x1=b"{", x9=b"{", x2={"number": 2, "state": "draining"})
    assert book.states() == {"x0": "ready", "x1": "ready", "x2": "draining"}
    assert len(told.notes) == 2 and "what it was goes on" in told.notes[0]
    assert book.at(2, x1=b"{").notes == ()  # said once
    assert "readable again" in book.at(3, x1={"number": 1}).notes[0]
    book.at(4, x1=b"{")
    book.at(5, x1=None)
    assert book.states()["x1"] == "gone"


def test_of_two_that_claim_a_number_the_newer_has_it_while_it_is_ready() -> None:
    book = Book()
    book.at(0, old={"number": 4})
    told = book.at(1, new={"number": 4})
    assert book.states() == {"old": "draining", "new": "ready"} and "both claim 4" in told.notes[0]
    book.at(2, new={"number": 4, "state": "draining"})
    assert book.states() == {"old": "ready", "new": "draining"}


@pytest.mark.parametrize(
    ("count", "lost", "doubted"), [(8, 5, True), (8, 4, False), (3, 3, True), (2, 2, False)]
)
def test_a_registry_that_loses_most_at_once_is_doubted(count: int, lost: int, doubted: bool) -> None:
    book = Book()
    book.at(0, **hubs(count))
    told = book.at(1, **{f"x{number}": None for number in range(lost)})
    gone = [name for name, state in book.states().items() if state == "gone"]
    assert (gone == []) is doubted and bool(told.notes) is doubted
    book.look(30.5)
    assert (book.states()["x0"] == "gone") is not doubted
    book.look(31)  # it has said so for long enough
    assert book.states()["x0"] == "gone"


def test_one_by_one_is_the_same_as_at_once() -> None:
    book = Book()
    book.at(0, **hubs(8))
    for number in range(8):
        book.at(1 + number / 10, **{f"x{number}": None})
    assert list(book.states().values()).count("gone") == 4  # then it was too much to be believed


def test_a_doubted_exchange_can_drain_and_come_back() -> None:
    book = Book()
    book.at(0, **hubs(6))
    book.at(1, x5={"number": 5, "state": "draining"})
    book.at(2, **{f"x{number}": None for number in range(6)})
    assert book.states()["x5"] == "gone" and book.states()["x0"] == "ready"
    book.at(3, x0={"number": 0, "state": "draining"}, x1={"number": 1})
    assert book.states()["x0"] == "draining" and book.states()["x1"] == "ready"
    book.look(40)
    assert book.states() == {
        "x0": "draining", "x1": "ready", "x2": "gone", "x3": "gone", "x4": "gone", "x5": "gone",
    }  # fmt: skip


def test_an_exchange_that_flaps_is_taken_back_later_and_later_but_drains_at_once() -> None:
    book, now, delays = Book(), 0.0, []
    book.at(0, **hubs(4))
    for _ in range(9):
        now += 1
        book.at(now, x1=None)
        assert book.states()["x1"] == "gone"
        now += 1
        back = now
        book.at(now, x1={"number": 1})
        while book.states()["x1"] != "ready":
            now += 0.5
            book.look(now)
        delays.append(now - back)
    assert delays[:4] == [0, 1, 2, 4] and max(delays) == 60 and delays == sorted(delays)
    assert book.roll.due() == -1
    book.at(now + 200, x1=None)
    book.at(now + 300, x1={"number": 1})
    assert book.states()["x1"] == "ready"  # long away is no flap


def test_deleted_and_put_again_in_one_moment_is_there() -> None:
    book = Book()
    book.at(0, **hubs(2))
    put = b'{"number": 1, "address": "127.0.0.1:9"}'
    key = PREFIX + b"x1"
    book.lay(book.roll.apply(SECOND, [(key, None, 0), (key, put, 9)]))
    assert book.states()["x1"] == "ready"
    book.lay(book.roll.apply(SECOND, [(key, put, 9), (key, None, 0)]))
    assert book.states()["x1"] == "gone"


def test_gone_ones_are_forgotten_and_how_old_the_list_is_is_known() -> None:
    book = Book()
    assert book.roll.vouched_at == -1
    book.at(0, **hubs(4))
    book.roll.vouch(7 * SECOND)
    assert book.roll.vouched_at == 7 * SECOND
    book.at(8, x1=None)
    book.look(8 + 61)
    assert set(book.roll.known) == {"x0", "x2", "x3"}


def test_more_exchanges_than_can_be_are_kept_out_and_named() -> None:
    book = Book()
    book.roll.MOST = 4
    told = book.at(0, **hubs(6))
    assert set(book.states()) == {"x0", "x1", "x2", "x3"} and len(told.notes) == 2
    book.at(1, x3={"number": 3, "state": "draining"})
    assert book.states()["x3"] == "draining"


def test_one_that_leaves_twice_in_a_moment_is_one_that_left() -> None:
    book = Book()
    book.at(0, **hubs(4))
    book.at(1, x0=None)
    book.at(1.2, x0={"number": 0})
    assert book.at(1.4, x0=None, x1=None).notes == ()
