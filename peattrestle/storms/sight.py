"""First tries told from further ones: by the caller's mark where its gateway marks, else by what was asked.

What a call asked for (gateway, bearer type, exchange, number) is kept when it ends without standing; the next
call that asks for the same is taken for its further try, one for each that ended. Two callers of one gateway
who dial the same number within the abandon time are so taken for one: at most as many as calls were turned
away, so a number nobody is turned away from never shows further tries, however popular.

Bounded: `most` unserved tries are kept, `MOST_ALIKE` of them for the same request; at the bound the oldest is
forgotten and its further try counts as a first one, which errs towards leaving callers alone.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

FIRST, FURTHER, RETURNED = "first", "further", "returned"
MOST_ALIKE = 8

Key = tuple[str, str, int, str]  # gateway, bearer type, exchange called, number called


@dataclass(slots=True)
class Unserved:
    """A try that did not stand. Nanoseconds; `come_back` 0: its caller was told nothing."""

    first_at: int
    tries: int
    come_back: int
    ended_at: int


@dataclass(slots=True, frozen=True)
class Seen:
    """What a call is. `first_at` is when its first try came here, -1 where that is not known; `tries` counts
    this one; `told_at` and `due_at`: the caller was told then to come back then, 0 where it was not."""

    kind: str
    first_at: int
    tries: int = 1
    told_at: int = 0
    due_at: int = 0


class Sight:
    """`lasting`: nanoseconds after its first try that a caller gives up for good."""

    def __init__(self, lasting: int, most: int = 20_000) -> None:
        self.lasting, self.most = lasting, most
        self.held = 0
        self._unserved: dict[Key, deque[Unserved]] = {}
        self._order: deque[tuple[int, Key]] = deque()
        self._marking: OrderedDict[str, None] = OrderedDict()  # gateways that were seen to mark

    def asked(self, now: int, key: Key, marked: bool, was_cut: bool) -> Seen:
        """A call has come. A further try uses up what is kept of the one before it."""
        self._forget(now)
        if was_cut:
            return Seen(RETURNED, now)
        if marked:
            self._marks(key[0])
        elif key[0] in self._marking:
            # Its unmarked calls are first ones. One that lies gets no more than its gateway's share.
            return Seen(FIRST, now)
        while (one := self._take(key)) is not None:
            if now < one.first_at + self.lasting:
                told = (one.ended_at, one.ended_at + one.come_back) if one.come_back else (0, 0)
                return Seen(FURTHER, one.first_at, one.tries + 1, *told)
        return Seen(FURTHER, -1, 2) if marked else Seen(FIRST, now)

    def unserved(self, now: int, key: Key, seen: Seen, come_back: int) -> None:
        """A call has ended without standing; its caller may come again."""
        self._forget(now)
        first_at = seen.first_at if seen.first_at >= 0 else now
        alike = self._unserved.setdefault(key, deque())
        alike.append(Unserved(first_at, seen.tries, come_back, now))
        self._order.append((now, key))
        self.held += 1
        if len(alike) > MOST_ALIKE:
            self._take(key)
        while len(self._order) > self.most:
            self._drop_oldest()

    def _marks(self, gateway: str) -> None:
        self._marking[gateway] = None
        self._marking.move_to_end(gateway)
        if len(self._marking) > 1000:
            self._marking.popitem(last=False)

    def _forget(self, now: int) -> None:
        while self._order and self._order[0][0] <= now - self.lasting:
            self._drop_oldest()

    def _take(self, key: Key) -> Unserved | None:
        alike = self._unserved.get(key)
        if not alike:
            return None
        one = alike.popleft()
        self.held -= 1
        if not alike:
            del self._unserved[key]
        return one

    def _drop_oldest(self) -> None:
        """One place in the order goes, and with it what was put there, if no further try has used it up."""
        at, key = self._order.popleft()
        alike = self._unserved.get(key)
        if alike and alike[0].ended_at <= at:
            self._take(key)
