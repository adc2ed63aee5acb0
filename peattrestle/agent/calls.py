"""State of calls and route tries that only the H.248 front end needs, in addition to `calls.core`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from peattrestle.calls import core
from peattrestle.h248.package import SetUpRequest
from peattrestle.runtime import Timer
from peattrestle.storms.retry_detection import CallerAttempt

if TYPE_CHECKING:
    from peattrestle.agent.link import Link
    from peattrestle.agent.requester import Requester


@dataclass(slots=True, kw_only=True)
class RouteTry(core.RouteTry):
    """A set-up sent to an exchange.

    `transaction_id` is the id of the request, open until its reply. `context` is the exchange's context of
    the call, `*` until the reply has it.
    """

    link: Link
    termination: str
    transaction_id: int = 0
    context: str = "*"


@dataclass(slots=True, kw_only=True)
class Call(core.Call[RouteTry]):
    """A call requested by `requester`; the reply to `transaction_id` is the call's one final answer.

    `pending_timer` sends H.248's Pending where the answer takes longer.
    """

    requester: Requester
    transaction_id: int
    request: SetUpRequest
    pending_timer: Timer | None = None
    over_share: bool = False  # not admitted: its gateway is over its share
    attempt: CallerAttempt | None = None  # first try or retry; None in transit
