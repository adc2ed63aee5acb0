"""Events that are passed to the controller, and actions that it returns.

Times and durations are whole nanoseconds of the clock that `Controller.handle` is called with.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from peattrestle.storms.retry_detection import CallerAttempt

Settings = Mapping[str, Any]
Load = Mapping[str, float]  # 'free' and 'size' in circuits, 'rate' in set-ups per second; each may be missing


@dataclass(slots=True, frozen=True)
class Entry:
    """One entry of the exchange list.

    exchange, number: name and number of the exchange. zone: where it runs, '' where that is not known.
    state: 'ready', 'draining' or 'gone'. started_at: when the exchange started, 0 where that is not known.
    """

    exchange: str
    number: int
    state: str
    started_at: int = 0
    zone: str = ""


@dataclass(slots=True, frozen=True)
class ListUpdated:
    """Entries of the exchange list.

    form: 'delta' (changes only), 'full' (an exchange that is missing is gone), 'cached' (full, from a stored
    copy) or 'failed' (the list could not be read; no entries).
    """

    form: str
    entries: tuple[Entry, ...] = ()


@dataclass(slots=True, frozen=True)
class CallArrived:
    """A call for the exchange with the number `destination`.

    abandon_at: time at which the caller gives up. number: the called number. width: circuits it takes.
    via: number of a tandem to prefer, in transit that of the exchange the call comes from; -1: none.
    transit: another exchange sent it here to be sent on. cut_before: the caller was in a call that was cut.
    repeat: the gateway marks it as a further try. customer, gateway: who calls, '' where that is not known.
    over_share: its gateway is over its share, so the call is only refused with advice when to retry.
    attempt: first or further try, where the agent has already found that out; else the controller does.
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
    over_share: bool = False
    attempt: CallerAttempt | None = None


@dataclass(slots=True, frozen=True)
class TryAnswered:
    """A route try was answered, `delay` after it was sent: the call is set up.

    route_try: index of the try within its call, from 0.
    """

    call: int
    exchange: str
    delay: int
    route_try: int


@dataclass(slots=True, frozen=True)
class TryEnded:
    """The final outcome of a route try.

    result: 'served', 'error', 'full', 'timeout', 'connect_failed', 'reset', 'cancelled' or 'moot' (not sent).
    cause: '', 'no_circuit' (none free in the trunk group), 'turned_back' (the tandem has none to the
    destination), 'beyond_full' (the destination's processor is full, behind a tandem), 'processor_full' or
    'lines_busy' (the called number).
    delay: from sending the set-up. route_try: index of the try within its call, from 0. done: the call has
    had its final answer. wait: time after which a full processor asked to try again, 0 for none. load: what
    the exchange reported.
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
    """The caller gave up before the call was set up."""

    call: int


@dataclass(slots=True, frozen=True)
class TimerDue:
    """The timer that `SetTimer` set with this token has expired."""

    token: str


@dataclass(slots=True, frozen=True)
class LoadReported:
    """Circuits of the trunk group to an exchange, and the load of its processor where that was asked for.

    result, delay: as in `TryEnded`; the controller does not use them.
    """

    exchange: str
    result: str
    delay: int
    load: Load


Event = ListUpdated | CallArrived | TryAnswered | TryEnded | CallerLeft | TimerDue | LoadReported


@dataclass(slots=True, frozen=True)
class SetUp:
    """Starts a route try: sends a set-up to `exchange`; without an answer within `patience` the try ends."""

    call: int
    exchange: str
    patience: int


@dataclass(slots=True, frozen=True)
class Block:
    """Final answer: blocked. `retry_after`: the caller should retry after this time; 0: no advice."""

    call: int
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Abort:
    """Final answer: aborted, as a route try may have been executed."""

    call: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Asks for a `TimerDue` with the same token, at the time `at` or soon after."""

    at: int
    token: str


@dataclass(slots=True, frozen=True)
class FollowList:
    """Asks for the changes of the exchange list from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    """A log line for operators."""

    text: str


Action = SetUp | Block | Abort | SetTimer | FollowList | Log
