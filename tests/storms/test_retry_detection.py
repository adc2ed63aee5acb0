"""Detection of first and further tries, by the gateway's mark and by the request."""

from __future__ import annotations

import pytest

from peattrestle.storms.retry_detection import (
    FIRST,
    FURTHER,
    MAX_PER_REQUEST,
    RETURNED,
    RequestKey,
    RetryDetector,
)

MS = 1_000_000
KEY: RequestKey = ("<g1>", "line", 5, "dn.5.1")
ABANDON_TIME = 9_000 * MS


def make_detector(max_unserved: int = 100) -> RetryDetector:
    return RetryDetector(ABANDON_TIME, max_unserved)


def refuse(
    detector: RetryDetector, at: int, key: RequestKey = KEY, retry_after: int = 0, marked: bool = False
) -> None:
    detector.record_unserved(at, key, detector.classify(at, key, marked, False), retry_after)


@pytest.mark.parametrize(
    ("earlier_tries", "at", "key", "marked", "cut", "kind", "first_at"),
    [
        pytest.param([], 0, KEY, False, False, FIRST, 0, id="the first of all"),
        pytest.param([100], 500, KEY, False, False, FURTHER, 100, id="the same request, no marks"),
        pytest.param([100], 500, ("<g2>", *KEY[1:]), False, False, FIRST, 500, id="another gateway"),
        pytest.param([100], 500, (*KEY[:3], "dn.5.2"), False, False, FIRST, 500, id="another number"),
        pytest.param([100], 9099, KEY, False, False, FURTHER, 100, id="just before its caller gives up"),
        pytest.param([100], 9100, KEY, False, False, FIRST, 9100, id="its caller has given up"),
        pytest.param([], 500, KEY, True, False, FURTHER, -1, id="marked, nothing known: after a restart"),
        pytest.param([100], 500, KEY, True, False, FURTHER, 100, id="marked and known"),
        pytest.param([100], 500, KEY, False, True, RETURNED, 500, id="cut calls are no repeats"),
    ],
)
def test_classification_of_a_call(
    earlier_tries: list[int], at: int, key: RequestKey, marked: bool, cut: bool, kind: str, first_at: int
) -> None:
    detector = make_detector()
    for earlier in earlier_tries:
        refuse(detector, earlier * MS)
    attempt = detector.classify(at * MS, key, marked, cut)
    assert (attempt.kind, attempt.first_at) == (kind, first_at * MS if first_at >= 0 else -1)


def test_each_refused_call_accounts_for_one_further_try() -> None:
    detector = make_detector()
    assert [detector.classify(at, KEY, False, False).kind for at in range(3)] == [
        FIRST
    ] * 3  # a popular number
    refuse(detector, 10)
    assert [detector.classify(at, KEY, False, False).kind for at in (20, 21)] == [FURTHER, FIRST]


def test_tries_and_advice_are_carried_over_to_the_further_try() -> None:
    detector = make_detector()
    refuse(detector, 0, retry_after=500)
    second = detector.classify(300, KEY, False, False)
    assert (second.tries, second.advised_at, second.due_at) == (2, 0, 500)
    detector.record_unserved(300, KEY, second, 0)
    third = detector.classify(900, KEY, False, False)
    assert (third.tries, third.first_at, third.due_at) == (3, 0, 0)


def test_a_caller_gives_up_for_good_however_late_its_last_try_was() -> None:
    detector = make_detector()
    refuse(detector, 0)
    refuse(detector, 5000 * MS)
    assert detector.classify(9500 * MS, KEY, False, False).kind == FIRST


def test_unmarked_calls_of_a_gateway_that_marks_are_first_ones() -> None:
    detector = make_detector()
    refuse(detector, 0, marked=True)
    assert detector.classify(10, KEY, False, False).kind == FIRST
    assert detector.classify(20, KEY, True, False).first_at == 0


def test_memory_is_bounded() -> None:
    detector = make_detector(max_unserved=50)
    for at in range(1000):
        refuse(detector, at * MS, ("g", "line", 5, str(at)))
    assert detector.unserved_count <= 50
    assert detector.classify(1000 * MS, ("g", "line", 5, "999"), False, False).kind == FURTHER
    assert detector.classify(1000 * MS, ("g", "line", 5, "10"), False, False).kind == FIRST  # forgotten
    for at in range(100):
        detector.record_unserved(
            1000 * MS + at, KEY, detector.classify(0, ("g", "line", 5, "x"), False, False), 0
        )
    kinds = [detector.classify(1001 * MS, KEY, False, False).kind for _ in range(20)]
    assert kinds.count(FURTHER) == MAX_PER_REQUEST
    detector.classify(20_000 * MS, KEY, False, False)
    assert detector.unserved_count == 0
