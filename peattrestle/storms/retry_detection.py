"""Tells first tries of a caller from further ones.

Where a gateway marks further tries, by that mark; else by what was asked for. The request of a call (gateway,
bearer type, exchange, number) is remembered when it ends unserved, and the next call with the same request is
taken for its further try, one call for each unserved one. Two callers of one gateway who dial the same number
within the abandon time are therefore taken for one caller. Such errors are at most as many as the calls that
were refused: a number from which nobody is refused never shows further tries, however popular it is.

Memory is bounded: at most `max_unserved` unserved tries are kept, `MAX_PER_REQUEST` of them for the same
request. Beyond that the oldest is forgotten and its further try counts as a first one, which favours callers.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

FIRST, FURTHER, RETURNED = "first", "further", "returned"  # returned: the caller was in a call that was cut
MAX_PER_REQUEST = 8  # unserved tries

RequestKey = tuple[str, str, int, str]  # gateway, bearer type, exchange called, number called


@dataclass(slots=True)
class UnservedTry:
    """A try whose call was not set up. Times in nanoseconds; `retry_after` 0: its caller got no advice."""

    first_at: int
    tries: int
    retry_after: int
    ended_at: int


@dataclass(slots=True, frozen=True)
class CallerAttempt:
    """How a call was classified. Times in nanoseconds.

    kind: `FIRST`, `FURTHER` or `RETURNED`. first_at: when the first try of its caller came, -1 where that is
    not known. tries: the caller's tries up to and including this one. advised_at, due_at: when the caller got
    advice to retry, and the time it was advised to retry at; both 0 where it got none.
    """

    kind: str
    first_at: int
    tries: int = 1
    advised_at: int = 0
    due_at: int = 0


class RetryDetector:
    """Classifies the calls of one agent as first or further tries.

    abandon_time: nanoseconds from its first try after which a caller gives up for good.
    """

    def __init__(self, abandon_time: int, max_unserved: int = 20_000) -> None:
        self.abandon_time, self.max_unserved = abandon_time, max_unserved
        self.unserved_count = 0
        self._unserved: dict[RequestKey, list[UnservedTry]] = {}  # up to `MAX_PER_REQUEST` each
        self._order: deque[tuple[int, RequestKey]] = deque()  # when each unserved try ended, oldest first
        self._marking: OrderedDict[str, None] = OrderedDict()  # gateways that have marked a further try

    def classify(self, now: int, key: RequestKey, marked: bool, was_cut: bool) -> CallerAttempt:
        """Classifies a new call; a further try takes the place of the unserved try before it."""
        self._forget_expired(now)
        if was_cut:
            return CallerAttempt(RETURNED, now)
        if marked:
            self._remember_marking(key[0])
        elif key[0] in self._marking:
            # This gateway marks further tries, so this is a first one. A gateway that omits marks, so that
            # its repeats count as first tries, still gets no more than its share.
            return CallerAttempt(FIRST, now)
        while (previous := self._take(key)) is not None:
            if now < previous.first_at + self.abandon_time:
                advice = (
                    (previous.ended_at, previous.ended_at + previous.retry_after)
                    if previous.retry_after
                    else (0, 0)
                )
                return CallerAttempt(FURTHER, previous.first_at, previous.tries + 1, *advice)
        return CallerAttempt(FURTHER, -1, 2) if marked else CallerAttempt(FIRST, now)

    def record_unserved(self, now: int, key: RequestKey, attempt: CallerAttempt, retry_after: int) -> None:
        """Remembers a call that was not set up, as its caller may try again.

        retry_after: nanoseconds after which the caller was advised to retry, 0 where it got no advice.
        """
        self._forget_expired(now)
        first_at = attempt.first_at if attempt.first_at >= 0 else now
        same_request = self._unserved.setdefault(key, [])
        same_request.append(UnservedTry(first_at, attempt.tries, retry_after, now))
        self._order.append((now, key))
        self.unserved_count += 1
        if len(same_request) > MAX_PER_REQUEST:
            self._take(key)
        while len(self._order) > self.max_unserved:
            self._drop_oldest()

    def _remember_marking(self, gateway: str) -> None:
        self._marking[gateway] = None
        self._marking.move_to_end(gateway)
        if len(self._marking) > 1000:  # gateways
            self._marking.popitem(last=False)

    def _forget_expired(self, now: int) -> None:
        while self._order and self._order[0][0] <= now - self.abandon_time:
            self._drop_oldest()

    def _take(self, key: RequestKey) -> UnservedTry | None:
        """Removes and returns the oldest unserved try of this request."""
        same_request = self._unserved.get(key)
        if not same_request:
            return None
        oldest = same_request.pop(0)
        self.unserved_count -= 1
        if not same_request:
            del self._unserved[key]
        return oldest

    def _drop_oldest(self) -> None:
        """Drops the oldest entry of the order, and its unserved try unless a further try has taken it."""
        ended_at, key = self._order.popleft()
        same_request = self._unserved.get(key)
        if same_request and same_request[0].ended_at <= ended_at:
            self._take(key)
