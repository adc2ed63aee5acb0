"""What of a record breaks a rule of the platform's pages. Bounds are the pages' own, with their slack."""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass

from peattrestle.trials.deployment import Deployment
from peattrestle.trials.record import (
    AgentLife,
    Attempt,
    AttemptEnd,
    ConnectionEnd,
    Record,
    Request,
)

MS = 1_000_000
SLACK = 50 * MS  # PROTOCOL.md, "The rules on sockets"
CROSSING = 50 * MS  # PROTOCOL.md: a set-up crossing a close within this time is sent once more
LATE_ANSWER = 500 * MS  # FLEET.md: only later than this after its time a request is lost
LATE_IN_SHUTDOWN = 700 * MS  # PROTOCOL.md, "Figures"
RELEASE_WITHIN = 1_000 * MS
RELEASE_UNSENT_WITHIN = 8_000 * MS
READY_WITHIN = 10_000 * MS
STOOD = 200


@dataclass(slots=True, frozen=True)
class Breach:
    """One broken rule: its name as in the pages, when, and the evidence."""

    rule: str
    at: int
    text: str


class Judge:
    """`ended_at`: when the trial stopped observing; what was still owed by then is not judged."""

    def __init__(self, record: Record, deployment: Deployment, ended_at: int) -> None:
        self.record, self.deployment, self.ended_at = record, deployment, ended_at
        self.slack = SLACK + record.observer_lag
        self.crossing = CROSSING + record.observer_lag
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in record.attempts:
            self.attempts[attempt.call_id].append(attempt)
        self.lives: dict[int, list[AgentLife]] = defaultdict(list)
        for life in record.lives:
            self.lives[life.agent].append(life)

    def breaches(self) -> list[Breach]:
        found: list[Breach] = []
        for request in self.record.requests.values():
            found += self.answers(request)
            found += self.one_attempt_at_a_time(request)
        found += self.departures()
        found += self.releases()
        found += self.agents()
        found += [
            Breach("abusive", 0, f"no answer in 3 s to {data}") for data in self.record.abusive_unanswered
        ]
        found += [Breach("unsolicited", 0, text) for text in self.record.unsolicited]
        return sorted(found, key=lambda breach: breach.at)

    # Answers.

    def life_at(self, agent: int, at: int) -> AgentLife | None:
        lives = self.lives[agent]
        place = bisect.bisect_right([life.started_at for life in lives], at) - 1
        return lives[place] if place >= 0 else None

    def answers(self, request: Request) -> list[Breach]:
        found = []
        if len(request.answers) > 1:
            statuses = [answer.status for answer in request.answers]
            found.append(Breach("lost", request.answers[1].at, f"{request.call_id}: answers {statuses}"))
        for answer in request.answers:
            if answer.status == STOOD and answer.description not in self.made_for(request):
                found.append(
                    Breach("lost", answer.at, f"{request.call_id}: stood with a foreign description")
                )
        if request.sent_at and not request.given_up_at:
            found += self.owed(request)
        return found

    def made_for(self, request: Request) -> set[str]:
        return {attempt.description for attempt in self.attempts[request.call_id] if attempt.description}

    def owed(self, request: Request) -> list[Breach]:
        due = request.sent_at + request.patience + LATE_ANSWER + self.record.observer_lag
        if request.answers:
            answer = request.answers[0]
            return [self.lost(request, answer.at, "answered too late")] if answer.at > due else []
        connection = request.connection
        life = self.life_at(request.agent, request.sent_at)
        if connection.end is ConnectionEnd.OPEN:
            return [self.lost(request, due, "no answer")] if self.ended_at > due else []
        if connection.end in (ConnectionEnd.CALLER, ConnectionEnd.INJECTED):
            return []
        if life is not None and life.killed_at and connection.ended_at >= life.killed_at:
            return self.found_by_kill(request, life)
        if connection.ended_at > due:
            return [self.lost(request, due, "no answer")]
        if request.first_on_connection and not connection.received:
            return []
        crossed = connection.ended_at - request.sent_at <= self.crossing
        if crossed and not self.attempts[request.call_id]:
            return []
        why = f"connection {connection.end.value} {(connection.ended_at - request.sent_at) // MS} ms after it"
        return [self.lost(request, connection.ended_at, why)]

    def found_by_kill(self, request: Request, life: AgentLife) -> list[Breach]:
        if life.killed_without_warning:
            return []
        since = request.sent_at - life.terminated_at
        if since > LATE_IN_SHUTDOWN:
            return [
                self.lost(request, life.killed_at, f"came {since // MS} ms after SIGTERM, open at SIGKILL")
            ]
        if life.killed_at > request.sent_at + request.patience + LATE_ANSWER:
            return [self.lost(request, life.killed_at, "no answer before SIGKILL")]
        return []

    def lost(self, request: Request, at: int, why: str) -> Breach:
        tried = [f"{one.exchange} {one.end.value}" for one in self.attempts[request.call_id]]
        return Breach("lost", at, f"{request.call_id} at n{request.agent}: {why}; attempts {tried}")

    # Attempts.

    def one_attempt_at_a_time(self, request: Request) -> list[Breach]:
        found = []
        attempts = sorted(self.attempts[request.call_id], key=lambda one: one.arrived_at)
        for before, after in zip(attempts, attempts[1:], strict=False):
            if before.end is AttemptEnd.STARTED and before.ended_at <= after.arrived_at - self.slack:
                continue  # its answer may have been lost or spoilt on its way
            if before.end is AttemptEnd.REFUSED:
                continue
            ended = before.ended_at or self.ended_at
            if ended > after.arrived_at + self.slack:
                text = f"{request.call_id}: out at {before.exchange} and {after.exchange}"
                found.append(Breach("duplicate", after.arrived_at, text))
            elif before.end in (AttemptEnd.GIVEN_UP, AttemptEnd.CUT):
                wait = self.deployment.release_time - self.slack
                waited = after.arrived_at - ended
                if waited < wait:
                    text = f"{request.call_id}: sent to {after.exchange} {waited // MS} ms on"
                    found.append(Breach("release time", after.arrived_at, text))
        return found

    def departures(self) -> list[Breach]:
        found = []
        for attempt in self.record.attempts:
            leaving = self.record.departures.get(attempt.exchange)
            if leaving is None:
                continue
            latest = leaving.told_at + self.deployment.drain_grace + self.slack
            if attempt.arrived_at > latest:
                late = (attempt.arrived_at - leaving.told_at) // MS
                text = f"{attempt.call_id} at {attempt.exchange}, told {late} ms before"
                found.append(Breach("drain", attempt.arrived_at, text))
        return found

    # Standing calls.

    def releases(self) -> list[Breach]:
        found = []
        for attempt in self.record.attempts:
            request = self.record.requests[attempt.call_id]
            over_at = attempt.released_at or attempt.cut_at
            stood = bool(request.answers) and request.answers[0].status == STOOD
            if not over_at or not stood or request.release_sent_at or request.given_up_at:
                continue
            if attempt.description != request.answers[0].description:
                continue
            due = over_at + self.release_bound(attempt, request) + self.slack
            if self.ended_at < due or not self.in_service(request.agent, request.answers[0].at, due):
                continue
            if not request.released_at or request.released_at > due:
                text = f"{request.call_id}: over at {attempt.exchange}, not released to its caller in time"
                found.append(Breach("lost", due, text))
        return found

    def release_bound(self, attempt: Attempt, request: Request) -> int:
        heard = attempt.released_at and request.connection.end is ConnectionEnd.OPEN
        return RELEASE_WITHIN if heard else RELEASE_UNSENT_WITHIN

    def in_service(self, agent: int, begin: int, end: int) -> bool:
        """One and the same run of the agent was there from `begin` to `end`, and no shutdown had begun."""
        life = self.life_at(agent, begin)
        if life is None or life is not self.life_at(agent, end):
            return False
        ends = [at for at in (life.terminated_at, life.ended_at) if at]
        return not ends or min(ends) >= end

    # Agents.

    def agents(self) -> list[Breach]:
        found = []
        for life in self.record.lives:
            name = f"n{life.agent}"
            undisturbed = not life.terminated_at and not life.killed_at
            if undisturbed and not life.ready_at and self.ended_at - life.started_at > READY_WITHIN:
                found.append(Breach("ready", life.started_at, f"{name} not ready in 10 s"))
            failed = life.terminated_at and not life.killed_at and life.exit_code != 0
            if life.ended_at and (undisturbed or failed):
                found.append(Breach("crash", life.ended_at, f"{name} ended with code {life.exit_code}"))
            found += [
                Breach("internal error", life.started_at, f"{name}: {text}") for text in life.internal_errors
            ]
        return found
