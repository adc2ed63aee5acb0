"""What the H.248 front holds of each call and of each route try, beside what the core does."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from peattrestle.calls import core
from peattrestle.h248.package import SetUpAsked
from peattrestle.runtime import Timer
from peattrestle.storms.sight import Seen

if TYPE_CHECKING:
    from peattrestle.agent.link import Link
    from peattrestle.agent.requester import Asker


@dataclass(slots=True, kw_only=True)
class RouteTry(core.RouteTry):
    """`transaction` is open at the link until its reply; `context` is the exchange's, once it stands."""

    link: Link
    termination: str
    transaction: int = 0
    context: str = "*"


@dataclass(slots=True, kw_only=True)
class Call(core.Call[RouteTry]):
    """`transaction` is the asker's; its reply is the call's one final answer."""

    asker: Asker
    transaction: int
    asked: SetUpAsked
    pending: Timer | None = None
    held: bool = False  # at the door, to its gateway's share
    seen: Seen | None = None  # first or further try; None in transit
