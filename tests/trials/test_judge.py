"""Each check of the judge fails on a record that breaks its rule, and passes on an allowed one."""

from __future__ import annotations

import pytest

from peattrestle.trials.deployment import Deployment
from peattrestle.trials.judge import Judge
from peattrestle.trials.record import (
    AgentLife,
    Answer,
    Attempt,
    AttemptEnd,
    CallerConnection,
    ConnectionEnd,
    Membership,
    Record,
    Request,
)

MS = 1_000_000
START, SENT, END = 1_000 * MS, 5_000 * MS, 60_000 * MS
CALL = "00000000000000e1"
DESCRIPTION = "77aa\r\n"
DEPLOYMENT = Deployment(agents=1, deadline=1_000 * MS)


def record(
    answers: list[Answer] | None = None,
    attempts: list[Attempt] | None = None,
    end: ConnectionEnd = ConnectionEnd.OPEN,
    ended_at: int = 0,
    received: int = 10,
    given_up_at: int = 0,
    released_at: int = 0,
) -> Record:
    """One request at one agent, sent at 5 s with 1 s of time."""
    connection = CallerConnection(0, START, requests=1, received=received, ended_at=ended_at, end=end)
    one = Request(CALL, 0, connection, True, 1_000 * MS, SENT, given_up_at, released_at)
    one.answers = answers or []
    made = Record(requests={CALL: one}, attempts=attempts or [])
    made.lives.append(AgentLife(0, START, ready_at=START + 1))
    return made


def rules(made: Record) -> list[str]:
    return [breach.rule for breach in Judge(made, DEPLOYMENT, END).breaches()]


def refused(at: int) -> Answer:
    return Answer(at, 503, "")


def attempt(exchange: str, arrived: int, ended: int, end: AttemptEnd, **more: int) -> Attempt:
    return Attempt(CALL, exchange, SENT + arrived * MS, SENT + ended * MS, end, DESCRIPTION, **more)


STOOD = Answer(SENT + 60 * MS, 200, DESCRIPTION)
STARTED = attempt("s1", 1, 50, AttemptEnd.STARTED)


@pytest.mark.parametrize(
    ("made", "broken"),
    [
        (record([refused(SENT + 1_400 * MS)]), []),
        (record([refused(SENT + 1_600 * MS)]), ["lost"]),
        (record(), ["lost"]),
        (record(given_up_at=SENT + MS), []),
        (record([refused(SENT + MS), refused(SENT + 2 * MS)]), ["lost"]),
        (record([STOOD], [STARTED]), []),
        (record([STOOD]), ["lost"]),
        (record(end=ConnectionEnd.AGENT_CLOSED, ended_at=SENT + 40 * MS), []),
        (record(end=ConnectionEnd.AGENT_CLOSED, ended_at=SENT + 60 * MS), ["lost"]),
        (record(end=ConnectionEnd.AGENT_CLOSED, ended_at=SENT + 60 * MS, received=0), []),
        (record(None, [STARTED], ConnectionEnd.AGENT_RESET, SENT + 40 * MS), ["lost"]),
        (record(end=ConnectionEnd.INJECTED, ended_at=SENT + 60 * MS), []),
    ],
)
def test_final_answers(made: Record, broken: list[str]) -> None:
    assert rules(made) == broken


@pytest.mark.parametrize(("after_sigterm", "broken"), [(690, []), (710, ["lost"])])
def test_what_a_kill_finds_open_is_lost_if_it_came_late(after_sigterm: int, broken: list[str]) -> None:
    made = record(end=ConnectionEnd.AGENT_RESET, ended_at=SENT + 990 * MS)
    made.lives[0].terminated_at = SENT - after_sigterm * MS
    made.lives[0].killed_at = made.lives[0].ended_at = SENT + 990 * MS
    assert rules(made) == broken


@pytest.mark.parametrize(
    ("first", "second_at", "broken"),
    [
        (attempt("s1", 1, 100, AttemptEnd.GIVEN_UP), 260, []),
        (attempt("s1", 1, 100, AttemptEnd.GIVEN_UP), 150, ["release time"]),
        (attempt("s1", 1, 400, AttemptEnd.GIVEN_UP), 150, ["duplicate"]),
        (attempt("s1", 1, 100, AttemptEnd.REFUSED), 110, []),
    ],
)
def test_one_attempt_at_a_time(first: Attempt, second_at: int, broken: list[str]) -> None:
    second = attempt("s2", second_at, second_at + 5, AttemptEnd.REFUSED)
    assert rules(record([refused(SENT + 500 * MS)], [first, second])) == broken


@pytest.mark.parametrize(("told_before", "broken"), [(1_040, []), (1_060, ["drain"])])
def test_nothing_is_sent_to_a_leaving_exchange_past_the_grace(told_before: int, broken: list[str]) -> None:
    made = record([STOOD], [STARTED])
    told_at = STARTED.arrived_at - told_before * MS
    made.departures["s1"] = Membership("s1", told_at, told_at)
    assert rules(made) == broken


@pytest.mark.parametrize(
    ("over", "released_after", "broken"),
    [
        ({"released_at": SENT + 2_000 * MS}, 900, []),
        ({"released_at": SENT + 2_000 * MS}, 1_200, ["lost"]),
        ({"cut_at": SENT + 2_000 * MS}, 7_000, []),
        ({"cut_at": SENT + 2_000 * MS}, 8_200, ["lost"]),
    ],
)
def test_standing_calls_are_released_in_time(
    over: dict[str, int], released_after: int, broken: list[str]
) -> None:
    stood = attempt("s1", 1, 50, AttemptEnd.STARTED, **over)
    made = record([STOOD], [stood], released_at=SENT + (2_000 + released_after) * MS)
    assert rules(made) == broken


def test_an_agent_that_ends_by_itself_or_never_gets_ready_is_found() -> None:
    made = record([refused(SENT + MS)])
    made.lives[0].ended_at = END - MS
    assert rules(made) == ["crash"]
    made.lives[0].ended_at = made.lives[0].ready_at = 0
    assert rules(made) == ["ready"]
