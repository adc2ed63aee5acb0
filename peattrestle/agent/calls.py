"""What the agent holds of each call and of each route try."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from peattrestle.h248.package import SetUpAsked
from peattrestle.runtime import Timer
from peattrestle.storms.sight import Seen

if TYPE_CHECKING:
    from peattrestle.agent.asker import Asker
    from peattrestle.agent.link import Link

OPEN, STANDS, OVER = "open", "stands", "over"


@dataclass(slots=True)
class RouteTry:
    """One set-up sent to an exchange: `state` is 'out', 'stands' or 'over'."""

    call: Call
    number: int
    exchange: str
    link: Link
    sent_at: int
    termination: str
    transaction: int = 0
    context: str = "*"
    state: str = "out"
    timer: Timer | None = None


@dataclass(slots=True)
class Call:
    """`transaction` is the asker's; its reply is the call's one final answer."""

    id: int
    asker: Asker
    transaction: int
    asked: SetUpAsked
    arrived: int
    abandon_at: int
    state: str = OPEN
    tries: int = 0
    out: RouteTry | None = None
    standing: RouteTry | None = None
    overdue: Timer | None = None
    pending: Timer | None = None
    cause: str = ""  # of the last route try that did not stand
    held: bool = False  # at the door, to its gateway's share
    seen: Seen | None = None  # first or further try; None in transit


@dataclass(slots=True)
class Counts:
    """What the agent counts; compared with the callers' own counts in a rehearsal."""

    values: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, by: int = 1) -> None:
        self.values[name] = self.values.get(name, 0) + by
