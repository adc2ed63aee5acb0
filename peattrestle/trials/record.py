"""What a trial observes: set-ups, attempts at exchanges, runs of agents. Times in ns of the kernel."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class ConnectionEnd(enum.Enum):
    """Who ended a caller's connection."""

    OPEN = "open"
    AGENT_CLOSED = "agent closed"
    AGENT_RESET = "agent reset"
    CALLER = "caller"
    INJECTED = "injected fault"


class AttemptEnd(enum.Enum):
    """How one attempt ended at an exchange."""

    OUT = "out"
    STARTED = "started"
    REFUSED = "refused"
    GIVEN_UP = "given up"
    CUT = "connection ended"


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
    """One final answer to a set-up."""

    at: int
    status: int
    description: str


@dataclass(slots=True)
class Request:
    """One set-up: `sent_at` is the time of its last byte, 0 while it is being written."""

    call_id: str
    agent: int
    connection: CallerConnection
    first_on_connection: bool
    patience: int
    sent_at: int = 0
    given_up_at: int = 0
    released_at: int = 0
    release_sent_at: int = 0
    answers: list[Answer] = field(default_factory=list)


@dataclass(slots=True)
class Attempt:
    """One set-up as an exchange saw it.

    `released_at`: when the exchange last said that the call is over; `cut_at`: when it died with it standing.
    """

    call_id: str
    exchange: str
    arrived_at: int
    ended_at: int = 0
    end: AttemptEnd = AttemptEnd.OUT
    description: str = ""
    released_at: int = 0
    cut_at: int = 0


@dataclass(slots=True)
class AgentLife:
    """One run of an agent process, from its start to its end."""

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
class Membership:
    """When an exchange began to leave, and by when the agents count as told."""

    exchange: str
    leaving_at: int
    told_at: int
    gone: bool = False


@dataclass(slots=True)
class Record:
    """All that one trial has observed."""

    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    lives: list[AgentLife] = field(default_factory=list)
    departures: dict[str, Membership] = field(default_factory=dict)
    abusive_unanswered: list[str] = field(default_factory=list)
    unsolicited: list[str] = field(default_factory=list)
    notes: list[tuple[int, str]] = field(default_factory=list)
    observer_lag: int = 0  # by how much the stand-ins were late at most: what they saw may be so much older

    def note(self, at: int, text: str) -> None:
        """An event of the trial itself, for the timeline."""
        self.notes.append((at, text))
