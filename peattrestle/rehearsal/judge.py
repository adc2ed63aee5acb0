"""Checks the five rules of call routing against the recorded traffic, and nothing else.

For each rule a verdict tells how much was examined, how near the traffic came to the limit, and every breach
with the trace of its call. A rule for which nothing was examined has not been judged and counts as failed.

The simulated surroundings see a message later than it was sent; `slack` allows for that. Times at which a
simulated exchange read nothing for a while ('unsure') are no evidence: such tries are counted as not judged.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field

from peattrestle.standin.record import Row

MS = 1_000_000  # nanoseconds
MAX_BREACHES = 20  # kept of each rule; further ones are only counted


@dataclass(slots=True)
class Breach:
    """One breach of a rule, with the rows of the calls concerned."""

    text: str
    trace: list[Row]


@dataclass(slots=True)
class Verdict:
    """The result for one rule.

    `nearest`: in words, how near the traffic came to the limit. `broken`: all breaches, of which `breaches`
    holds the first. `must_examine`: whether the rule fails where nothing was examined.
    """

    rule: str
    examined: int = 0
    not_judged: int = 0
    nearest: str = "-"
    breaches: list[Breach] = field(default_factory=list)
    broken: int = 0
    must_examine: bool = True

    @property
    def passed(self) -> bool:
        """Whether the rule holds, and was examined where it must be."""
        return self.broken == 0 and (self.examined > 0 or not self.must_examine)


@dataclass(slots=True)
class Limits:
    """Limits in nanoseconds; `answer_slack`: how much later than the abandon time an answer may be seen."""

    release_time: int
    drain_grace: int
    slack: int = 30 * MS
    answer_slack: int = 30 * MS


@dataclass(slots=True)
class RouteTry:
    """A route try, from its set-up until it was answered, released or lost. Times in nanoseconds.

    `cut_off`: it ended without a final answer. `unsure`: its times are not reliable.
    """

    agent: str
    reference: str
    termination: str
    place: str
    at: int
    ended_at: int = 1 << 62
    cut_off: bool = False
    unsure: bool = False


class Judge:
    """Derives the verdicts on all rules from the rows of a traffic record."""

    def __init__(self, rows: list[Row], limits: Limits) -> None:
        self.rows = sorted(rows, key=lambda row: row.at)
        self.limits = limits
        self.kills: dict[str, list[int]] = defaultdict(list)
        for row in self.rows:
            if row.kind == "killed":
                self.kills[row.agent].append(row.at)

    def judge(self) -> list[Verdict]:
        """The verdicts on all rules."""
        tries = self.route_tries()
        return [
            *self.check_answers(),
            self.check_concurrent_tries(tries),
            self.check_drains(),
            self.check_cold_starts(),
            self.check_release_times(tries),
        ]

    def add_breach(self, verdict: Verdict, text: str, *keys: str) -> None:
        """Adds a breach to a verdict, with up to 200 rows of the calls that `keys` name.

        A key is a termination or a reference.
        """
        verdict.broken += 1
        if len(verdict.breaches) < MAX_BREACHES:
            known = set(keys)
            for row in self.rows:  # the reference connects all tries of a call
                if row.termination in known and row.reference:
                    known.add(row.reference)
            trace = [row for row in self.rows if row.reference in known or row.termination in known]
            verdict.breaches.append(Breach(text, trace[:200]))

    # Rule 1.

    def check_answers(self) -> tuple[Verdict, Verdict]:
        """Rule 1: each call gets exactly one final answer, and before its abandon time."""
        answer_verdict, time_verdict = Verdict("1 one final answer"), Verdict("1 before the abandon time")
        set_ups: dict[tuple[str, str], Row] = {}
        answered: dict[tuple[str, str], list[Row]] = defaultdict(list)
        released_at: dict[tuple[str, str], int] = {}
        repeats: dict[tuple[str, str], int] = defaultdict(int)
        excused: set[tuple[str, str]] = set()
        connections_lost: dict[tuple[str, str], list[int]] = defaultdict(list)
        for row in self.rows:
            key = (row.place, row.termination)
            if row.kind == "asked":
                set_ups[key] = row
            elif row.kind == "answered":
                answered[key].append(row)
            elif row.kind == "repeated":
                repeats[key] += 1
            elif row.kind == "confirmed":
                released_at.setdefault(key, row.at)
            elif row.kind == "dropped" or (
                row.kind == "subtracted" and key in set_ups and row.at < set_ups[key].value
            ):
                excused.add(key)  # ended early: one answer may cross that, a second is a breach
            elif row.kind == "lost":
                connections_lost[row.place, row.agent].append(row.at)
        min_margin, latest = 1 << 62, self.rows[-1].at if self.rows else 0
        for key, row in set_ups.items():
            answers = answered.get(key, [])
            answer_verdict.examined += 1
            call_name = f"{key[0]} {key[1]} ({row.reference})"
            if len(answers) > 1 + repeats[key]:
                self.add_breach(
                    answer_verdict, f"{call_name}: {len(answers)} final answers", key[1], row.reference
                )
            elif not answers and key not in excused and row.value <= latest:
                lost_times = connections_lost.get((row.place, row.agent), [])
                index = bisect_left(lost_times, row.at)
                if index < len(lost_times) and lost_times[index] <= row.value:
                    continue  # a transit call, and its connection was lost before the answer
                self.add_breach(answer_verdict, f"{call_name}: no final answer", key[1], row.reference)
            for answer in answers[:1]:
                if answer.text == "unsure":
                    time_verdict.not_judged += 1
                    continue
                time_verdict.examined += 1
                margin = row.value - answer.at
                min_margin = min(min_margin, margin)
                if margin < -self.limits.answer_slack:
                    self.add_breach(
                        time_verdict,
                        f"{call_name}: answered {-margin / MS:.1f} ms after its abandon time",
                        key[1],
                        row.reference,
                    )
                if key in released_at and answer.at > released_at[key]:
                    self.add_breach(
                        answer_verdict,
                        f"{call_name}: answered after it had been released",
                        key[1],
                        row.reference,
                    )
        if time_verdict.examined:
            time_verdict.nearest = f"{min_margin / MS:.0f} ms before it"
        answer_verdict.nearest = (
            f"{max((len(rows) for rows in answered.values()), default=0)} answers at most"
        )
        return answer_verdict, time_verdict

    # Route tries.

    def route_tries(self) -> list[RouteTry]:
        """All route tries of the record, in order of their set-ups."""
        tries: list[RouteTry] = []
        open_tries: dict[tuple[str, str], RouteTry] = {}  # by place and termination
        for row in self.rows:
            key = (row.place, row.termination)
            if row.kind == "add":
                route_try = RouteTry(
                    row.agent, row.reference, row.termination, row.place, row.at, unsure=row.text == "unsure"
                )
                tries.append(route_try)
                open_tries[key] = route_try
            elif row.kind == "replied" and row.code == 0:
                pass  # established, but the answer may be lost on the way: only a release ends the try
            elif row.kind in ("replied", "freed", "cut") and key in open_tries:
                route_try = open_tries.pop(key)
                route_try.ended_at, route_try.cut_off = row.at, row.kind == "freed"
            elif row.kind in ("lost", "killed"):
                for other, route_try in list(open_tries.items()):
                    if route_try.agent == row.agent and (
                        row.kind == "killed" or route_try.place == row.place
                    ):
                        route_try.ended_at, route_try.cut_off = row.at, True
                        del open_tries[other]
        return tries

    def _tries_by_call(self, tries: list[RouteTry], verdict: Verdict) -> list[list[RouteTry]]:
        """The reliable tries, grouped by call; the others are counted as not judged."""
        calls: dict[tuple[str, str], list[RouteTry]] = defaultdict(list)
        for route_try in tries:
            if route_try.unsure:
                verdict.not_judged += 1
            else:
                calls[route_try.agent, route_try.reference].append(route_try)
        return list(calls.values())

    def check_concurrent_tries(self, tries: list[RouteTry]) -> Verdict:
        """Rule 2: a call never has two route tries at a time."""
        verdict = Verdict("2 never two route tries out")
        nearest = 1 << 62
        for call in self._tries_by_call(tries, verdict):
            verdict.examined += 1
            for previous, following in zip(call, call[1:], strict=False):
                gap = following.at - previous.ended_at
                nearest = min(nearest, gap)
                if gap < -self.limits.slack:
                    detail = (
                        "which is established"
                        if previous.ended_at == 1 << 62
                        else f"{-gap / MS:.1f} ms too soon"
                    )
                    self.add_breach(
                        verdict,
                        f"{previous.agent} {previous.reference}: a second route try at {following.place} "
                        f"while the one at {previous.place} is open, {detail}",
                        previous.reference,
                        previous.termination,
                    )
        if nearest < 1 << 61:
            verdict.nearest = f"{nearest / MS:.1f} ms between two"
        return verdict

    def check_release_times(self, tries: list[RouteTry]) -> Verdict:
        """Rule 5: after a try that was cut off, the next one waits for the release time."""
        verdict = Verdict("5 release time")
        nearest = 1 << 62
        for call in self._tries_by_call(tries, verdict):
            for previous, following in zip(call, call[1:], strict=False):
                if previous.cut_off:
                    verdict.examined += 1
                    gap = following.at - previous.ended_at
                    nearest = min(nearest, gap)
                    if gap < self.limits.release_time - self.limits.slack:
                        self.add_breach(
                            verdict,
                            f"{previous.agent} {previous.reference}: sent to {following.place} "
                            f"{gap / MS:.1f} ms after its try at {previous.place} was cut off",
                            previous.reference,
                            previous.termination,
                        )
        verdict.must_examine = False
        if nearest < 1 << 61:
            verdict.nearest = f"{nearest / MS:.1f} ms after a try that was cut off"
        return verdict

    # Rules 3 and 4.

    def check_drains(self) -> Verdict:
        """Rule 3: an exchange that drains or is gone gets no set-ups after the drain grace."""
        verdict = Verdict("3 nothing to a leaving exchange")
        leaving_since: dict[tuple[str, str], int] = {}
        grace = self.limits.drain_grace
        latest = -1
        notifications = 0
        for row in self.rows:
            if row.kind == "told":
                exchange, _, state = row.text.partition(" ")
                if state == "started":
                    pass  # from the exchange itself: how long it has run, not whether it drains
                elif state == "ready":
                    leaving_since.pop((row.agent, exchange), None)
                else:
                    notifications += 1
                    leaving_since.setdefault((row.agent, exchange), row.at)
            elif row.kind == "killed":
                for key in [key for key in leaving_since if key[0] == row.agent]:
                    del leaving_since[key]
            elif row.kind == "add":
                verdict.examined += 1
                since = leaving_since.get((row.agent, row.place))
                if since is not None and row.text != "unsure":
                    latest = max(latest, row.at - since)
                    if row.at - since > grace + self.limits.slack:
                        self.add_breach(
                            verdict,
                            f"{row.agent}: set-up at {row.place} {(row.at - since) / MS:.1f} ms "
                            "after it was told that it leaves",
                            row.reference,
                            row.termination,
                        )
        verdict.nearest = f"{notifications} told, " + (
            f"last set-up {latest / MS:.1f} ms after" if latest >= 0 else "no set-up after"
        )
        return verdict

    def check_cold_starts(self) -> Verdict:
        """Rule 4: no cold exchange is made to fail by agents that knew of its start.

        The rule is broken where two thirds of the set-ups in the window before the failure came from agents
        that had been notified of the start; other agents could not know.
        """
        verdict = Verdict("4 no cold exchange pushed over")
        peak_load = failures = 0
        notified: dict[tuple[str, str], int] = {}
        for row in self.rows:
            if row.kind == "told" and not row.text.endswith(("draining", "gone")):
                notified[row.agent, row.text.partition(" ")[0]] = row.at
            elif row.kind == "killed":
                for key in [key for key in notified if key[0] == row.agent]:
                    del notified[key]
            elif row.kind == "fell":
                failures += 1
                senders = row.text.split()
                aware = 0
                for sender in senders:
                    name, _, sent_at = sender.partition("@")
                    aware += row.value <= notified.get((name, row.place), -1) <= int(sent_at)
                if aware * 3 >= len(senders) * 2:
                    self.add_breach(
                        verdict,
                        f"{row.place} fell over: {aware} of {len(senders)} set-ups in the window were from "
                        "agents that had been told",
                        row.place,
                    )
            elif row.kind == "pressure":
                verdict.examined += row.value
                peak_load = max(peak_load, row.code)
        verdict.must_examine = any(row.kind == "pressure" for row in self.rows)
        if verdict.examined:
            verdict.nearest = f"{peak_load / 10:.1f}% of the limit" + (
                f", {failures} fell" if failures else ""
            )
        return verdict
