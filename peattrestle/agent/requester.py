"""Those who ask for calls: a gateway of callers on the callers' port, or the own exchange with transit."""

from __future__ import annotations

import contextlib
from collections import OrderedDict
from collections.abc import Callable

from peattrestle.agent.calls import Call
from peattrestle.h248.session import Session
from peattrestle.h248.transactions import Full, Transactions
from peattrestle.runtime import Stream


class Asker:
    """One asker over all its connections; `session` is None while it has none."""

    def __init__(self, name: str, transactions: Transactions) -> None:
        self.name = name
        self.transactions = transactions
        self.session: Session | None = None
        self.stream: Stream | None = None
        self.calls: dict[str, Call] = {}  # by the termination that the asker gave
        self.gone_at = 0

    def reply(self, number: int, parts: str) -> None:
        """The reply is kept for a repeated request, also when there is no connection to send it on."""
        if self.session is not None:
            self.session.reply(number, parts)
        else:
            self.transactions.answer(number, parts)

    def tell(self, build: Callable[[int], str]) -> None:
        """A request that nothing hangs on; it is not sent where there is no connection, nor to one that has
        left as many unanswered as may be open."""
        if self.session is not None:
            with contextlib.suppress(Full):
                self.session.request(None, build)


class Askers:
    """Bounded: the longest gone without calls is forgotten; if all have calls, a new one is turned away."""

    def __init__(self, most: int, make: Callable[[], Transactions]) -> None:
        self.most, self.make = most, make
        self.known: OrderedDict[str, Asker] = OrderedDict()

    def get(self, name: str) -> Asker | None:
        asker = self.known.get(name)
        if asker is None:
            if len(self.known) >= self.most and not self._forget_one():
                return None
            asker = self.known[name] = Asker(name, self.make())
        self.known.move_to_end(name)
        return asker

    def _forget_one(self) -> bool:
        for name, asker in self.known.items():
            if asker.session is None and not asker.calls:
                del self.known[name]
                return True
        return False
