"""Each rule is broken on purpose by a faulty agent: the judge reports it, and the guard prevents it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from peattrestle import interface as api
from peattrestle.agent.agent import CallAgent
from peattrestle.calls.core import STOOD, Final
from peattrestle.calls.guard import Guard
from peattrestle.control import Controller
from peattrestle.h248 import package
from peattrestle.rehearsal.judge import Judge, Limits
from peattrestle.rehearsal.play import Player, Result
from peattrestle.rehearsal.script import Bearer, Callers, Fleet, Script, Trouble
from peattrestle.settings.agent import Rules

MS = 1_000_000
SECOND = 1_000_000_000

NIGHT = Script(
    title="for the judge",
    seed=5,
    length=6 * SECOND,
    fleet=Fleet(exchanges=3, regions=("a",), calls_a_second=6.0, busy=0.6, no_group=0.0),
    callers=Callers(redials=1),
    bearer=(Bearer(label="line", holding=2 * SECOND),),
)
DRAIN = Trouble(label="drain", kind="replace", at=1 * SECOND, length=4 * SECOND, who=(1,))
HANG = Trouble(label="hang", kind="hang", at=1 * SECOND, length=3 * SECOND, who=(1,))
LOST = Trouble(label="lost", kind="answers_lost", at=SECOND, length=4 * SECOND, figure=0.5)
COLD = Trouble(label="cold", kind="silent", at=SECOND, length=SECOND, who=(1,))


class NoGuard(Guard):
    """Lets everything pass, as if it were not there."""

    def set_up(self, now: int, call: int, exchange: str) -> str:
        return ""

    def answer(self, now: int, call: int) -> str:
        return ""


class Broken(CallAgent):
    """`fault` is broken on purpose; `guarded`: with the guard in its place."""

    fault = ""
    guarded = False

    def __init__(self, kernel: Any, settings: Any, log: Any, store: Any, seed: int) -> None:
        guard = None if self.guarded else NoGuard(0, 0, 1, 1.0, 0)
        super().__init__(kernel, settings, log, store, seed, None, guard)
        if self.fault in ("leaving", "cold", "no release time"):
            self.controller = Careless(self)

    def answer(self, call: Any, final: Final) -> None:
        if self.fault == "late" and final.kind == STOOD and call.id % 5 == 0:
            self.kernel.at(call.abandon_at + 200 * MS, lambda: super(Broken, self).answer(call, final))
            return
        if self.fault == "never" and call.id % 5 == 0:
            if call.overdue is not None:
                call.overdue.cancel()
            return
        super().answer(call, final)
        if self.fault == "twice" and call.id % 5 == 0:
            if self.guarded:
                super().answer(call, final)
            elif call.asker.session is not None:
                outcome = self.worded(call, final)
                text = package.outcome_text(call.transaction, call.asked.termination, outcome)
                call.asker.session.send(text)

    def set_up(self, action: api.SetUp) -> None:
        super().set_up(action)
        if self.fault == "two tries" and action.call % 5 == 0:
            others = [name for name, link in self.links.items() if link.up and name != action.exchange]
            other = next(name for name in others if name != self.numbers[self.settings.number])
            super().set_up(api.SetUp(action.call, other, action.patience))


class Careless(Controller):
    """Sends everything straight on, whatever it was told."""

    def __init__(self, agent: CallAgent) -> None:
        self.agent = agent
        self.sight, self.worth = agent.controller.sight, agent.controller.worth
        self.asked: dict[int, api.CallArrived] = {}

    def handle(self, now: int, events: Any) -> list[api.Action]:
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.CallArrived):
                self.asked[event.call] = event
                actions.append(self.send(now, event))
            elif isinstance(event, api.TryEnded) and not event.done and event.call in self.asked:
                asked = self.asked[event.call]
                if event.result == "timeout" and event.route_try == 0:
                    actions.append(self.send(now, asked))
                else:
                    actions.append(api.Block(event.call))
        return actions

    def send(self, now: int, asked: api.CallArrived) -> api.Action:
        names = [row.exchange for row in self.agent.entries.values() if row.number == asked.destination]
        oldest = names[0] if self.agent.fault == "leaving" else names[-1]  # type: ignore[attr-defined]
        return api.SetUp(asked.call, oldest, (asked.abandon_at - now) // 3)


def play(fault: str, troubles: tuple[Trouble, ...], guarded: bool = False, **changes: Any) -> Result:
    class Made(Broken):
        pass

    Made.fault, Made.guarded = fault, guarded
    return Player(replace(NIGHT, trouble=troubles, **changes), "virtual", agent_factory=Made).play()


CASES = [
    ("twice", "1 one final answer", (), {}),
    ("never", "1 one final answer", (), {}),
    ("late", "1 before the abandon time", (), {}),
    ("two tries", "2 never two route tries out", (), {}),
    ("leaving", "3 nothing to a leaving exchange", (DRAIN,), {"rules": Rules(drain_grace=100 * MS)}),
    ("no release time", "5 release time", (HANG, LOST), {}),
]


@pytest.mark.parametrize(("fault", "rule", "troubles", "changes"), CASES)
def test_a_broken_agent_fails_the_rule_and_the_call_is_named(
    fault: str, rule: str, troubles: tuple[Trouble, ...], changes: dict[str, Any]
) -> None:
    result = play(fault, troubles, **changes)
    verdict = next(one for one in result.verdicts if one.rule == rule)
    assert not verdict.passed and verdict.broken
    breach = verdict.breaches[0]
    assert breach.trace and any(row.reference for row in breach.trace)
    assert not result.passed
    # The same night with a sound agent breaks nothing.
    sound = Player(replace(NIGHT, trouble=troubles, **changes), "virtual").play()
    assert [one.rule for one in sound.verdicts if one.broken] == []


@pytest.mark.parametrize(
    ("fault", "rule", "troubles", "changes"), [case for case in CASES if case[0] not in ("never",)]
)
def test_the_guard_stops_it_and_says_so(
    fault: str, rule: str, troubles: tuple[Trouble, ...], changes: dict[str, Any]
) -> None:
    result = play(fault, troubles, guarded=True, **changes)
    assert result.agents["guard_refusals"] > 0
    assert next(one for one in result.verdicts if one.rule == rule).broken == 0
    assert not result.passed  # a refusal of the guard is a fault of the module


def test_a_cold_exchange_pushed_over_by_agents_that_knew() -> None:
    fleet = replace(NIGHT.fleet, calls_a_second=20.0, busy=0.9, list_late_least=0, list_late_most=10 * MS)
    result = play("cold", (COLD,), fleet=fleet)
    verdict = next(one for one in result.verdicts if one.rule.startswith("4"))
    assert verdict.broken and "had been told" in verdict.breaches[0].text


def test_what_examined_nothing_fails() -> None:
    verdicts = Judge([], Limits(300 * MS, 1000 * MS)).judge()
    assert [one.rule[0] for one in verdicts if not one.passed] == ["1", "1", "2", "3"]


def test_a_sound_night_passes_and_plays_again_to_the_byte() -> None:
    script = replace(NIGHT, trouble=(DRAIN, LOST))
    first, again = Player(script, "virtual").play(), Player(script, "virtual").play()
    assert first.passed, [one for one in first.checks if not one.passed]
    assert first.trace == again.trace and first.calls == again.calls
    assert Player(replace(script, seed=6), "virtual").play().trace != first.trace
