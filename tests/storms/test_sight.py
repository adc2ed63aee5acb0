"""First and further tries, by the mark and by what was asked."""

from __future__ import annotations

import pytest

from peattrestle.storms.sight import FIRST, FURTHER, MOST_ALIKE, RETURNED, Key, Sight

MS = 1_000_000
KEY: Key = ("<g1>", "line", 5, "dn.5.1")
LASTING = 9_000 * MS


def sight(most: int = 100) -> Sight:
    return Sight(LASTING, most)


def turned_away(one: Sight, at: int, key: Key = KEY, come_back: int = 0, marked: bool = False) -> None:
    one.unserved(at, key, one.asked(at, key, marked, False), come_back)


@pytest.mark.parametrize(
    ("before", "at", "key", "marked", "cut", "kind", "first_at"),
    [
        pytest.param([], 0, KEY, False, False, FIRST, 0, id="the first of all"),
        pytest.param([100], 500, KEY, False, False, FURTHER, 100, id="the same again, no marks"),
        pytest.param([100], 500, ("<g2>", *KEY[1:]), False, False, FIRST, 500, id="another gateway"),
        pytest.param([100], 500, (*KEY[:3], "dn.5.2"), False, False, FIRST, 500, id="another number"),
        pytest.param([100], 9099, KEY, False, False, FURTHER, 100, id="just before it gives up"),
        pytest.param([100], 9100, KEY, False, False, FIRST, 9100, id="its caller has given up"),
        pytest.param([], 500, KEY, True, False, FURTHER, -1, id="marked, nothing known: after a restart"),
        pytest.param([100], 500, KEY, True, False, FURTHER, 100, id="marked and known"),
        pytest.param([100], 500, KEY, False, True, RETURNED, 500, id="cut calls are no repeats"),
    ],
)
def test_kinds(
    before: list[int], at: int, key: Key, marked: bool, cut: bool, kind: str, first_at: int
) -> None:
    one = sight()
    for earlier in before:
        turned_away(one, earlier * MS)
    seen = one.asked(at * MS, key, marked, cut)
    assert (seen.kind, seen.first_at) == (kind, first_at * MS if first_at >= 0 else -1)


def test_each_that_was_turned_away_explains_one_further_try() -> None:
    one = sight()
    assert [one.asked(at, KEY, False, False).kind for at in range(3)] == [FIRST] * 3  # a popular number
    turned_away(one, 10)
    assert [one.asked(at, KEY, False, False).kind for at in (20, 21)] == [FURTHER, FIRST]


def test_tries_and_advice_are_carried_along() -> None:
    one = sight()
    turned_away(one, 0, come_back=500)
    again = one.asked(300, KEY, False, False)
    assert (again.tries, again.told_at, again.due_at) == (2, 0, 500)
    one.unserved(300, KEY, again, 0)
    third = one.asked(900, KEY, False, False)
    assert (third.tries, third.first_at, third.due_at) == (3, 0, 0)


def test_a_caller_gives_up_for_good_however_late_its_last_try_was() -> None:
    one = sight()
    turned_away(one, 0)
    turned_away(one, 5000 * MS)
    assert one.asked(9500 * MS, KEY, False, False).kind == FIRST


def test_unmarked_calls_of_a_gateway_that_marks_are_first_ones() -> None:
    one = sight()
    turned_away(one, 0, marked=True)
    assert one.asked(10, KEY, False, False).kind == FIRST
    assert one.asked(20, KEY, True, False).first_at == 0


def test_bounds() -> None:
    one = sight(most=50)
    for at in range(1000):
        turned_away(one, at * MS, ("g", "line", 5, str(at)))
    assert one.held <= 50
    assert one.asked(1000 * MS, ("g", "line", 5, "999"), False, False).kind == FURTHER
    assert one.asked(1000 * MS, ("g", "line", 5, "10"), False, False).kind == FIRST  # forgotten
    for at in range(100):
        one.unserved(1000 * MS + at, KEY, one.asked(0, ("g", "line", 5, "x"), False, False), 0)
    kinds = [one.asked(1001 * MS, KEY, False, False).kind for _ in range(20)]
    assert kinds.count(FURTHER) == MOST_ALIKE
    one.asked(20_000 * MS, KEY, False, False)
    assert one.held == 0
