"""The exchange list derived from registry changes: drains, flaps, invalid entries, mass loss."""

from __future__ import annotations

import json
from typing import Any

import pytest

from peattrestle.membership.entries import BadEntry, parse_entry
from peattrestle.membership.exchange_list import MembershipTracker, MembershipUpdate

SECOND = 1_000_000_000
PREFIX = b"/hubs/"


class PublishedList:
    """Applies changes to a tracker and keeps the exchange list that results: number and state by name."""

    def __init__(self) -> None:
        self.membership = MembershipTracker(PREFIX)
        self.revision = 0
        self.list: dict[str, tuple[int, str]] = {}

    def apply(self, seconds: float, **entries: Any) -> MembershipUpdate:
        """Applies changes at a time in seconds: NAME=None deletes a key, NAME={...} puts it."""
        changes = []
        for name, value in entries.items():
            self.revision += 1
            data = (
                None if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
            )
            changes.append((PREFIX + name.encode(), data, self.revision))
        return self.record(self.membership.apply(round(seconds * SECOND), changes))

    def advance(self, seconds: float) -> MembershipUpdate:
        return self.record(self.membership.advance(round(seconds * SECOND)))

    def record(self, update: MembershipUpdate) -> MembershipUpdate:
        for member in update.members:
            self.list[member.name] = (member.entry.number, member.entry.state)
        return update

    def states(self) -> dict[str, str]:
        return {name: state for name, (_, state) in self.list.items()}


def ready_exchanges(count: int, **fields: Any) -> dict[str, Any]:
    return {f"x{number}": {"number": number} | fields for number in range(count)}


@pytest.mark.parametrize(
    ("value", "error"),
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
def test_valid_entries_are_parsed_and_invalid_ones_name_the_fault(value: bytes, error: str) -> None:
    if error:
        with pytest.raises(BadEntry, match=error):
            parse_entry(PREFIX, PREFIX + b"x4", value)
    else:
        name, entry = parse_entry(PREFIX, PREFIX + b"x4", value)
        assert (name, entry.number) == ("x4", 4)


def test_keys_without_a_valid_exchange_name_are_rejected() -> None:
    for key in (b"/hubs/", b"/hubs/a/b", b"/other/x", b"/hubs/" + b"x" * 65, b"/hubs/\xff"):
        with pytest.raises(BadEntry):
            parse_entry(PREFIX, key, b'{"number": 1}')


def test_drains_and_removals_take_effect_at_once_and_only_changes_are_published() -> None:
    exchange_list = PublishedList()
    exchange_list.apply(0, **ready_exchanges(5))
    assert set(exchange_list.states().values()) == {"ready"}
    update = exchange_list.apply(1, x1={"number": 1, "state": "draining"})
    assert [(member.name, member.entry.state) for member in update.members] == [("x1", "draining")]
    assert exchange_list.apply(2, x2=None).members[0].entry.state == "gone"
    assert exchange_list.apply(3, x3={"number": 3}).members == ()  # written again without a change
    assert (
        exchange_list.apply(4, x3={"number": 3, "address": "127.0.0.1:9"}).members[0].entry.address
        == "127.0.0.1:9"
    )
    assert exchange_list.apply(4, x3={"number": 3, "started": 5.0}).members[0].entry.started == 5.0


def test_an_invalid_entry_neither_removes_nor_adds_an_exchange() -> None:
    exchange_list = PublishedList()
    exchange_list.apply(0, **ready_exchanges(3))
    update = exchange_list.apply(1, x1=b"{", x9=b"{", x2={"number": 2, "state": "draining"})
    assert exchange_list.states() == {"x0": "ready", "x1": "ready", "x2": "draining"}
    assert len(update.log_messages) == 2 and "its last valid entry stays in force" in update.log_messages[0]
    assert exchange_list.apply(2, x1=b"{").log_messages == ()  # logged once
    assert "valid again" in exchange_list.apply(3, x1={"number": 1}).log_messages[0]
    exchange_list.apply(4, x1=b"{")
    exchange_list.apply(5, x1=None)
    assert exchange_list.states()["x1"] == "gone"


def test_of_two_exchanges_with_one_number_the_newer_has_it_while_it_is_ready() -> None:
    exchange_list = PublishedList()
    exchange_list.apply(0, old={"number": 4})
    update = exchange_list.apply(1, new={"number": 4})
    assert (
        exchange_list.states() == {"old": "draining", "new": "ready"}
        and "both claim number 4" in update.log_messages[0]
    )
    exchange_list.apply(2, new={"number": 4, "state": "draining"})
    assert exchange_list.states() == {"old": "ready", "new": "draining"}


@pytest.mark.parametrize(
    ("count", "lost", "kept"), [(8, 5, True), (8, 4, False), (3, 3, True), (2, 2, False)]
)
def test_a_loss_of_more_than_half_and_at_least_three_exchanges_takes_effect_after_30_s(
    count: int, lost: int, kept: bool
) -> None:
    exchange_list = PublishedList()
    exchange_list.apply(0, **ready_exchanges(count))
    update = exchange_list.apply(1, **{f"x{number}": None for number in range(lost)})
    gone = [name for name, state in exchange_list.states().items() if state == "gone"]
    assert (gone == []) is kept and bool(update.log_messages) is kept
    exchange_list.advance(30.5)
    assert (exchange_list.states()["x0"] == "gone") is not kept
    exchange_list.advance(31)  # the loss is confirmed after 30 s
    assert exchange_list.states()["x0"] == "gone"


def test_removals_in_quick_succession_count_as_one_loss() -> None:
    exchange_list = PublishedList()
    exchange_list.apply(0, **ready_exchanges(8))
    for number in range(8):
        exchange_list.apply(1 + number / 10, **{f"x{number}": None})
    assert list(exchange_list.states().values()).count("gone") == 4  # the fifth makes it a mass loss


def test_a_doubtful_exchange_can_drain_and_return() -> None:
    exchange_list = PublishedList()
    exchange_list.apply(0, **ready_exchanges(6))
    exchange_list.apply(1, x5={"number": 5, "state": "draining"})
    exchange_list.apply(2, **{f"x{number}": None for number in range(6)})
    assert exchange_list.states()["x5"] == "gone" and exchange_list.states()["x0"] == "ready"
    exchange_list.apply(3, x0={"number": 0, "state": "draining"}, x1={"number": 1})
    assert exchange_list.states()["x0"] == "draining" and exchange_list.states()["x1"] == "ready"
    exchange_list.advance(40)
    assert exchange_list.states() == {
        "x0": "draining", "x1": "ready", "x2": "gone", "x3": "gone", "x4": "gone", "x5": "gone",
    }  # fmt: skip


def test_a_flapping_exchange_is_readmitted_with_growing_delay_but_drains_at_once() -> None:
    exchange_list, now, delays = PublishedList(), 0.0, []
    exchange_list.apply(0, **ready_exchanges(4))
    for _ in range(9):
        now += 1
        exchange_list.apply(now, x1=None)
        assert exchange_list.states()["x1"] == "gone"
        now += 1
        returned_at = now
        exchange_list.apply(now, x1={"number": 1})
        while exchange_list.states()["x1"] != "ready":
            now += 0.5
            exchange_list.advance(now)
        delays.append(now - returned_at)
    assert delays[:4] == [0, 1, 2, 4] and max(delays) == 60 and delays == sorted(delays)
    assert exchange_list.membership.next_due_at() == -1
    exchange_list.apply(now + 200, x1=None)
    exchange_list.apply(now + 300, x1={"number": 1})
    assert exchange_list.states()["x1"] == "ready"  # a return after a long absence is no flap


def test_an_exchange_deleted_and_put_again_in_one_batch_is_present() -> None:
    exchange_list = PublishedList()
    exchange_list.apply(0, **ready_exchanges(2))
    put = b'{"number": 1, "address": "127.0.0.1:9"}'
    key = PREFIX + b"x1"
    exchange_list.record(exchange_list.membership.apply(SECOND, [(key, None, 0), (key, put, 9)]))
    assert exchange_list.states()["x1"] == "ready"
    exchange_list.record(exchange_list.membership.apply(SECOND, [(key, put, 9), (key, None, 0)]))
    assert exchange_list.states()["x1"] == "gone"


def test_removed_exchanges_are_forgotten_and_the_last_confirmation_is_recorded() -> None:
    exchange_list = PublishedList()
    assert exchange_list.membership.confirmed_at == -1
    exchange_list.apply(0, **ready_exchanges(4))
    exchange_list.membership.confirm(7 * SECOND)
    assert exchange_list.membership.confirmed_at == 7 * SECOND
    exchange_list.apply(8, x1=None)
    exchange_list.advance(8 + 61)
    assert set(exchange_list.membership.exchanges) == {"x0", "x2", "x3"}


def test_exchanges_above_the_limit_are_ignored_and_logged() -> None:
    exchange_list = PublishedList()
    exchange_list.membership.MAX_EXCHANGES = 4
    update = exchange_list.apply(0, **ready_exchanges(6))
    assert set(exchange_list.states()) == {"x0", "x1", "x2", "x3"} and len(update.log_messages) == 2
    exchange_list.apply(1, x3={"number": 3, "state": "draining"})
    assert exchange_list.states()["x3"] == "draining"


def test_an_exchange_that_leaves_twice_is_counted_once_in_a_mass_loss() -> None:
    exchange_list = PublishedList()
    exchange_list.apply(0, **ready_exchanges(4))
    exchange_list.apply(1, x0=None)
    exchange_list.apply(1.2, x0={"number": 0})
    assert exchange_list.apply(1.4, x0=None, x1=None).log_messages == ()
