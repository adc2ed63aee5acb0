"""What a trial observes: set-ups, attempts at exchanges, runs of agents.

Times are those of the kernel, in nanoseconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

STATUS_OK = 200
STRANGER_PREFIX = "bad"  # of the Call-IDs of clients that are no callers


class ConnectionEnd(enum.Enum):
    """Who ended a caller's connection."""

    OPEN = "open"
    AGENT_CLOSED = "agent closed"
    AGENT_RESET = "agent reset"
    CALLER = "caller"
    INJECTED = "injected fault"


class AttemptEnd(enum.Enum):
    """How one attempt ended at an exchange."""

    PENDING = "pending"
    STARTED = "started"
    REFUSED = "refused"
    GIVEN_UP = "given up"
    CONNECTION_ENDED = "connection ended"


@dataclass(slots=True)
class CallerConnection:
    """One connection of a caller; `received` counts bytes from the agent."""

    agent: int
    opened_at: int
    requests: int = 0
    received: int = 0
    ended_at: int = 0
    end: ConnectionEnd = ConnectionEnd.OPEN


@dataclass(slots=True)
class Answer:
    """A final answer to a set-up; `description` is the body of a 200."""

    at: int
    status: int
    description: str


@dataclass(slots=True)
class Request:
    """One set-up as its caller sees it. A time of 0 means: not yet.

    `answer_timeout` is how long the caller waits for the final answer, `sent_at` the time of the last byte.
    `announced_at` is when the caller last named the established call to the agent, on `connection`;
    `announced_elsewhere` are the agents and times of its namings to other ones.
    """

    call_id: str
    agent: int
    connection: CallerConnection
    first_on_connection: bool
    answer_timeout: int
    sent_at: int = 0
    given_up_at: int = 0
    released_at: int = 0
    release_sent_at: int = 0
    announced_at: int = 0
    answers: list[Answer] = field(default_factory=list)
    announced_elsewhere: list[tuple[int, int]] = field(default_factory=list)

    @property
    def stands(self) -> bool:
        """Whether the call is established in its caller's view."""
        is_established = bool(self.answers) and self.answers[0].status == STATUS_OK
        return is_established and not self.released_at and not self.release_sent_at


@dataclass(slots=True, frozen=True)
class ExchangeRestart:
    """A new process of an exchange under its old name: its start, and when the feed told of it."""

    exchange: str
    started_at: int
    told_at: int


@dataclass(slots=True)
class Attempt:
    """One set-up as an exchange saw it.

    `released_at` is when the exchange last sent a release of the call, `exchange_ended_at` when it died while
    the call was established, or when agents counted as told if it came back by `restart` under its name.
    `over_at` is when the exchange released the call first, or died; 0 if the agent ended it.
    """

    call_id: str
    exchange: str
    arrived_at: int
    ended_at: int = 0
    end: AttemptEnd = AttemptEnd.PENDING
    description: str = ""
    released_at: int = 0
    exchange_ended_at: int = 0
    restart: ExchangeRestart | None = None
    over_at: int = 0


@dataclass(slots=True)
class AgentRun:
    """One run of an agent process, from its start to its end; a time of 0 means: not yet."""

    agent: int
    started_at: int
    ready_at: int = 0
    terminated_at: int = 0
    killed_at: int = 0
    killed_without_warning: bool = False
    ended_at: int = 0
    exit_code: int | None = None
    internal_errors: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Departure:
    """When an exchange began to drain or was removed, and by when the agents count as notified of it."""

    exchange: str
    leaving_at: int
    notified_at: int
    removed: bool = False


@dataclass(slots=True)
class Record:
    """Everything that one trial has observed.

    `stranger_attempts` are those of clients that are no callers, `strangers_left` has when the client of a
    Call-ID had left all its connections; `listed_at` is when the agents counted as told of an exchange
    that replaces another one, by its name; `events` are the lines of its timeline.
    """

    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    caller_connections: list[CallerConnection] = field(default_factory=list)
    agent_runs: list[AgentRun] = field(default_factory=list)
    departures: dict[str, Departure] = field(default_factory=dict)
    restarts: list[ExchangeRestart] = field(default_factory=list)
    listed_at: dict[str, int] = field(default_factory=dict)
    abusive_unanswered: list[str] = field(default_factory=list)
    unsolicited: list[str] = field(default_factory=list)
    stranger_attempts: list[Attempt] = field(default_factory=list)
    strangers_left: dict[str, int] = field(default_factory=dict)
    events: list[tuple[int, str]] = field(default_factory=list)
    observer_lag: int = 0  # largest scheduling delay of the stand-ins; observed times may be late by as much

    def exchange_of(self, request: Request) -> str | None:
        """Returns the exchange whose answer established the call, None if none did."""
        if not request.answers or request.answers[0].status != STATUS_OK:
            return None
        description = request.answers[0].description
        return next(
            (
                attempt.exchange
                for attempt in reversed(self.attempts)
                if attempt.call_id == request.call_id and attempt.description == description
            ),
            None,
        )

    def add_event(self, at: int, text: str) -> None:
        """Adds an event of the trial itself to the timeline."""
        self.events.append((at, text))
