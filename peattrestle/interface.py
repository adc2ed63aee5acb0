"""What goes into the controller and what comes out of it; times are whole nanoseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from peattrestle.storms.sight import Seen

Settings = Mapping[str, Any]
Load = Mapping[str, float]


@dataclass(slots=True, frozen=True)
class Entry:
    """One line of the exchange list; state is 'ready', 'draining' or 'gone'."""

    exchange: str
    number: int
    state: str
    started_at: int = 0
    zone: str = ""


@dataclass(slots=True, frozen=True)
class Listed:
    """The list's word; form is 'delta', 'full', 'cached' or 'failed'."""

    form: str
    entries: tuple[Entry, ...] = ()


@dataclass(slots=True, frozen=True)
class CallArrived:
    """A call for the exchange `destination`; `via` is advice, or in transit the number it comes from.

    `gateway`: whose caller asks, '' where it is not known. `seen`: whether it is a further try, where the
    caller of the module has asked that already; else the module finds out. `held`: over its gateway's share,
    so that it is only to be told when to come back.
    """

    call: int
    bearer_type: str
    abandon_at: int
    destination: int
    number: str = ""
    width: int = 1
    via: int = -1
    transit: bool = False
    cut_before: bool = False
    repeat: bool = False
    customer: str = ""
    gateway: str = ""
    held: bool = False
    seen: Seen | None = None


@dataclass(slots=True, frozen=True)
class Stood:
    """The route try was answered: the call stands."""

    call: int
    exchange: str
    delay: int
    route_try: int


@dataclass(slots=True, frozen=True)
class TryEnded:
    """The one outcome of a route try.

    result: 'served', 'error', 'full', 'timeout', 'connect_failed', 'reset', 'cancelled' or 'moot'.
    cause: '', 'no_circuit', 'turned_back', 'beyond_full', 'processor_full' or 'lines_busy'.
    `done` tells that the call has had its final answer; `wait` is the wait a full processor named.
    """

    call: int
    exchange: str
    result: str
    delay: int
    route_try: int
    done: bool
    cause: str = ""
    wait: int = 0
    load: Load = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class CallerLeft:
    """The caller gave up."""

    call: int


@dataclass(slots=True, frozen=True)
class TimerDue:
    """A timer set earlier came due."""

    token: str


@dataclass(slots=True, frozen=True)
class Reported:
    """Circuits of an own group, and the far processor's figures if it was asked."""

    exchange: str
    result: str
    delay: int
    load: Load


Event = Listed | CallArrived | Stood | TryEnded | CallerLeft | TimerDue | Reported


@dataclass(slots=True, frozen=True)
class SetUp:
    """Start a route try."""

    call: int
    exchange: str
    patience: int


@dataclass(slots=True, frozen=True)
class Block:
    """Final answer: blocked; come_back 0 gives no advice."""

    call: int
    come_back: int = 0


@dataclass(slots=True, frozen=True)
class Abort:
    """Final answer: aborted."""

    call: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for TimerDue at or after `at`."""

    at: int
    token: str


@dataclass(slots=True, frozen=True)
class FollowList:
    """Ask for changes of the exchange list from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    """A line for on-call staff."""

    text: str


Action = SetUp | Block | Abort | SetTimer | FollowList | Log
