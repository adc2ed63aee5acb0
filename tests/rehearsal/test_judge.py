"""Each rule is broken on purpose by a faulty agent: the judge reports it, and the guard prevents it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from peattrestle import interface as api
from peattrestle.agent.agent import CallAgent
from peattrestle.calls.core import ANSWERED, FinalAnswer
from peattrestle.calls.guard import Guard
from peattrestle.control import Controller
from peattrestle.h248 import package
from peattrestle.rehearsal.judge import Judge, Limits
from peattrestle.rehearsal.play import Player, Result
from peattrestle.rehearsal.script import Bearer, Callers, Fleet, Script, Trouble
from peattrestle.settings.agent import Rules

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds

SCRIPT = Script(
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


class PermissiveGuard(Guard):
    """A guard that permits everything."""

    def check_set_up(self, now: int, call: int, exchange: str) -> str:
        return ""

    def check_answer(self, now: int, call: int) -> str:
        return ""


class FaultyAgent(CallAgent):
    """An agent that breaks a rule in the way `fault` names; `guarded`: with the guard in place."""

    fault = ""
    guarded = False

    def __init__(self, kernel: Any, settings: Any, log: Any, store: Any, seed: int) -> None:
        guard = None if self.guarded else PermissiveGuard(0, 0, 1, 1.0, 0)
        super().__init__(kernel, settings, log, store, seed, None, guard)
        if self.fault in ("leaving", "cold", "no release time"):
            self.controller = CarelessController(self)

    def answer(self, call: Any, final: FinalAnswer) -> None:
        if self.fault == "late" and final.kind == ANSWERED and call.id % 5 == 0:
            self.kernel.call_at(
                call.abandon_at + 200 * MS, lambda: super(FaultyAgent, self).answer(call, final)
            )
            return
        if self.fault == "never" and call.id % 5 == 0:
            if call.answer_timer is not None:
                call.answer_timer.cancel()
            return
        super().answer(call, final)
        if self.fault == "twice" and call.id % 5 == 0:
            if self.guarded:
                super().answer(call, final)
            elif call.requester.session is not None:
                outcome = self.to_outcome(call, final)
                text = package.outcome_text(call.transaction_id, call.request.termination, outcome)
                call.requester.session.send(text)

    def set_up(self, action: api.SetUp) -> None:
        super().set_up(action)
        if self.fault == "two tries" and action.call % 5 == 0:
            others = [name for name, link in self.links.items() if link.up and name != action.exchange]
            other = next(name for name in others if name != self.exchange_by_number[self.settings.number])
            super().set_up(api.SetUp(action.call, other, action.patience))


class CarelessController(Controller):
    """A controller that sends every call on at once, and ignores the exchange list."""

    def __init__(self, agent: CallAgent) -> None:
        self.agent = agent
        self.retry_detector, self.relative_revenue = (
            agent.controller.retry_detector,
            agent.controller.relative_revenue,
        )
        self.arrivals: dict[int, api.CallArrived] = {}

    def handle(self, now: int, events: Any) -> list[api.Action]:
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.CallArrived):
                self.arrivals[event.call] = event
                actions.append(self.send(now, event))
            elif isinstance(event, api.TryEnded) and not event.done and event.call in self.arrivals:
                arrived = self.arrivals[event.call]
                if event.result == "timeout" and event.route_try == 0:
                    actions.append(self.send(now, arrived))
                else:
                    actions.append(api.Block(event.call))
        return actions

    def send(self, now: int, arrived: api.CallArrived) -> api.Action:
        names = [row.exchange for row in self.agent.entries.values() if row.number == arrived.destination]
        oldest = names[0] if self.agent.fault == "leaving" else names[-1]  # type: ignore[attr-defined]
        return api.SetUp(arrived.call, oldest, (arrived.abandon_at - now) // 3)


def play(fault: str, troubles: tuple[Trouble, ...], guarded: bool = False, **changes: Any) -> Result:
    """Plays the script, with `changes`, against agents with the fault."""

    class ConfiguredAgent(FaultyAgent):
        pass

    ConfiguredAgent.fault, ConfiguredAgent.guarded = fault, guarded
    return Player(
        replace(SCRIPT, trouble=troubles, **changes), "virtual", agent_factory=ConfiguredAgent
    ).play()


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
    verdict = next(verdict for verdict in result.verdicts if verdict.rule == rule)
    assert not verdict.passed and verdict.broken
    breach = verdict.breaches[0]
    assert breach.trace and any(row.reference for row in breach.trace)
    assert not result.passed
    # The same script with a correct agent breaks nothing.
    correct = Player(replace(SCRIPT, trouble=troubles, **changes), "virtual").play()
    assert [verdict.rule for verdict in correct.verdicts if verdict.broken] == []


@pytest.mark.parametrize(
    ("fault", "rule", "troubles", "changes"), [case for case in CASES if case[0] not in ("never",)]
)
def test_the_guard_prevents_the_breach_and_counts_a_refusal(
    fault: str, rule: str, troubles: tuple[Trouble, ...], changes: dict[str, Any]
) -> None:
    result = play(fault, troubles, guarded=True, **changes)
    assert result.agents["guard_refusals"] > 0
    assert next(verdict for verdict in result.verdicts if verdict.rule == rule).broken == 0
    assert not result.passed  # a refusal of the guard is a fault of the module


def test_a_cold_exchange_made_to_fail_by_agents_that_knew_of_its_start() -> None:
    fleet = replace(SCRIPT.fleet, calls_a_second=20.0, busy=0.9, list_late_least=0, list_late_most=10 * MS)
    result = play("cold", (COLD,), fleet=fleet)
    verdict = next(verdict for verdict in result.verdicts if verdict.rule.startswith("4"))
    assert verdict.broken and "had been told" in verdict.breaches[0].text


def test_a_rule_with_nothing_examined_fails() -> None:
    verdicts = Judge([], Limits(300 * MS, 1000 * MS)).judge()
    assert [verdict.rule[0] for verdict in verdicts if not verdict.passed] == ["1", "1", "2", "3"]


def test_a_correct_agent_passes_and_its_run_repeats_exactly() -> None:
    script = replace(SCRIPT, trouble=(DRAIN, LOST))
    first, again = Player(script, "virtual").play(), Player(script, "virtual").play()
    assert first.passed, [check for check in first.checks if not check.passed]
    assert first.trace == again.trace and first.calls == again.calls
    assert Player(replace(script, seed=6), "virtual").play().trace != first.trace
