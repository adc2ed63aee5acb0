"""The peers that request calls: gateways on the callers' port, and the own exchange for calls in transit."""

from __future__ import annotations

import contextlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from peattrestle.agent.calls import Call
from peattrestle.h248 import package
from peattrestle.h248.session import Session
from peattrestle.h248.transactions import TooManyOpenRequests, Transactions
from peattrestle.runtime import Stream

MAX_CUT_NOTICES = 10_000  # unconfirmed ones for one requester


@dataclass(slots=True, frozen=True)
class CutNotice:
    """The news that an established call was cut: a Notify with `ptc/cut` (docs/protocol.md).

    `arrived`: when the call was requested, in nanoseconds.
    """

    context: str
    termination: str
    arrived: int


class Requester:
    """A peer that requests calls, over all its connections; `session` is None while it is disconnected.

    `disconnected_at`: when its last connection ended, in nanoseconds; 0 before that. `cut_notices` are those
    that it has not confirmed, by termination; they are sent again on each new connection, since nothing else
    tells the requester that such a call is over.
    """

    def __init__(self, name: str, transactions: Transactions) -> None:
        self.name = name
        self.transactions = transactions
        self.session: Session | None = None
        self.stream: Stream | None = None
        self.calls: dict[str, Call] = {}  # by the requester's termination id
        self.disconnected_at = 0
        self.cut_notices: OrderedDict[str, CutNotice] = OrderedDict()

    def reply(self, transaction_id: int, parts: str) -> None:
        """Sends the reply; it is stored for a repeat of the request, also while there is no connection."""
        if self.session is not None:
            self.session.reply(transaction_id, parts)
        else:
            self.transactions.answer(transaction_id, parts)

    def notify(self, build: Callable[[int], str]) -> None:
        """Sends a request whose outcome does not matter; `build` writes it with the transaction id given.

        It is dropped while the peer is disconnected or has the maximum of open requests unanswered.
        """
        if self.session is not None:
            with contextlib.suppress(TooManyOpenRequests):
                self.session.request(None, build)

    def notify_cut(self, notice: CutNotice) -> bool:
        """Notifies the requester, now or on its next connection, until it confirms the notice.

        Returns False if the oldest notice was dropped for it, at the limit.
        """
        has_room = len(self.cut_notices) < MAX_CUT_NOTICES
        if not has_room:
            self.cut_notices.popitem(last=False)
        self.cut_notices[notice.termination] = notice
        self._send_cut(notice)
        return has_room

    def on_cut_confirmed(self, notice: CutNotice) -> None:
        """Handles the reply to a notice."""
        if self.cut_notices.get(notice.termination) is notice:
            del self.cut_notices[notice.termination]

    def on_restarted(self, started_at: int) -> None:
        """Forgets the notices of calls from before the requester's restart, which has lost them."""
        for notice in list(self.cut_notices.values()):
            if notice.arrived < started_at:
                del self.cut_notices[notice.termination]

    def resend_cut_notices(self) -> None:
        """Sends the unconfirmed notices on a new connection."""
        for notice in list(self.cut_notices.values()):
            self._send_cut(notice)

    def _send_cut(self, notice: CutNotice) -> None:
        if self.session is None:
            return
        with contextlib.suppress(TooManyOpenRequests):
            self.session.request(
                notice,
                lambda transaction_id: package.notify_text(
                    transaction_id, notice.context, notice.termination, ["ptc/cut"]
                ),
            )


class RequesterTable:
    """The requesters known by message identifier, at most `max_requesters`.

    At the limit the least recently connected one that is disconnected and has no calls is evicted.
    """

    def __init__(self, max_requesters: int, make_transactions: Callable[[], Transactions]) -> None:
        self.max_requesters, self.make_transactions = max_requesters, make_transactions
        self.known: OrderedDict[str, Requester] = OrderedDict()

    def get(self, name: str) -> Requester | None:
        """The requester of this name, new if need be; None where the table is full and none is evictable."""
        requester = self.known.get(name)
        if requester is None:
            if len(self.known) >= self.max_requesters and not self._evict_oldest():
                return None
            requester = self.known[name] = Requester(name, self.make_transactions())
        self.known.move_to_end(name)
        return requester

    def _evict_oldest(self) -> bool:
        for name, requester in self.known.items():
            if requester.session is None and not requester.calls:
                del self.known[name]
                return True
        return False
