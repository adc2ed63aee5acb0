"""What every front of the call agent shares: calls and route tries, batches to the module, one final answer.

A front turns its wire into the module's events and puts the answers on its wire; between the two stands this
core. All events of one turn of the kernel go to the module in one batch, the list's first, and its actions
are carried out in their order. Nothing is decided here; the guard, which only ever says no, stands before
each send and each final answer.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from peattrestle import interface as api
from peattrestle.calls.guard import LATE_ANSWER, Guard
from peattrestle.control import Controller
from peattrestle.runtime import Kernel, Timer

OPEN, STANDS, OVER = "open", "stands", "over"
STOOD, REFUSED, FAILED = "stood", "refused", "failed"

Log = Callable[..., None]


@dataclass(slots=True)
class RouteTry:
    """One set-up sent to an exchange: `state` is 'out', 'stands' or 'over'."""

    call: Any
    number: int
    exchange: str
    sent_at: int
    state: str = "out"
    timer: Timer | None = None


T = TypeVar("T", bound=RouteTry)


@dataclass(slots=True)
class Call(Generic[T]):
    """A call taken: `state` is 'open' until its final answer, 'stands' after an answer that it stands."""

    id: int
    arrived: int
    abandon_at: int
    state: str = OPEN
    tries: int = 0
    out: T | None = None
    standing: T | None = None
    overdue: Timer | None = None
    cause: str = ""  # of the last route try that did not stand


C = TypeVar("C", bound=Call[Any])


@dataclass(slots=True, frozen=True)
class Unsent:
    """Why a set-up was not sent: a result and a cause of `interface.TryEnded`."""

    result: str = "connect_failed"
    cause: str = ""


@dataclass(slots=True, frozen=True)
class Final:
    """A final answer; `come_back` in nanoseconds, 0: no advice; `own_fault`: the agent's, not a route's."""

    kind: str
    come_back: int = 0
    own_fault: bool = False


@dataclass(slots=True)
class Counts:
    """What the agent counts; compared with the callers' own counts in a rehearsal."""

    values: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, by: int = 1) -> None:
        self.values[name] = self.values.get(name, 0) + by


class Core(Generic[C, T]):
    """A front is a subclass with the five methods below. `answer_margin`: nanoseconds before the abandon time
    that the last answer is due; `log(level, text, **fields)` takes the log lines."""

    def __init__(
        self, kernel: Kernel, controller: Controller, guard: Guard, log: Log, answer_margin: int
    ) -> None:
        self.kernel, self.controller, self.guard, self.log = kernel, controller, guard, log
        self.answer_margin = answer_margin
        self.calls: dict[int, C] = {}
        self.counts = Counts()
        self.tracing = False
        self._next_call = 0
        self._events: list[api.Event] = []
        self._listed = False
        self._batching = False
        self._just_left: set[int] = set()

    # What a front adds.

    def launch(self, call: C, action: api.SetUp, number: int) -> T | Unsent:
        """Puts route try `number` on the wire."""
        raise NotImplementedError

    def end_launched(self, one: T, tell: bool) -> None:
        """A route try is over for the agent; `tell`: the exchange may hold something for it, and is told."""
        raise NotImplementedError

    def reply(self, call: C, final: Final) -> None:
        """Puts the one final answer on the wire."""
        raise NotImplementedError

    def misanswered(self, call: C) -> bool:
        """The guard has refused an answer. False where the call already had one, and keeps it."""
        raise NotImplementedError

    def dropped(self, call: C) -> None:
        """The call is over: what the front holds of it goes."""
        raise NotImplementedError

    # The module.

    def next_id(self) -> int:
        self._next_call += 1
        return self._next_call

    def post(self, event: api.Event) -> None:
        self._events.append(event)
        self._listed |= isinstance(event, api.Listed)
        if not self._batching:
            self._batching = True
            self.kernel.at_turn_end(self.batch)

    def batch(self) -> None:
        self._batching = False
        events, self._events = self._events, []
        if self._listed:  # what the list tells holds for the calls that came with it
            self._listed = False
            events.sort(key=lambda event: not isinstance(event, api.Listed))
        for action in self.decide(events):
            match action:
                case api.SetUp():
                    self.set_up(action)
                case api.Block(number, come_back):
                    self.answer_number(number, Final(REFUSED, come_back))
                case api.Abort(number):
                    self.answer_number(number, Final(FAILED))
                case api.SetTimer(at, token):
                    self.kernel.at(at, lambda token=token: self.post(api.TimerDue(token)))  # type: ignore[misc]
                case api.Log(text):
                    self.log("info", text, origin="module")
                case api.FollowList():
                    pass  # every source of the list pushes
        self._just_left.clear()

    def decide(self, events: list[api.Event]) -> list[api.Action]:
        """A fault of the module must not end the agent: its calls get their answers by their timers."""
        try:
            return self.controller.handle(self.kernel.now(), events)
        except Exception as fault:
            where = "".join(traceback.format_tb(fault.__traceback__)[-2:])
            self.counts.add("module_faults")
            self.log("error", "the module raised", error=repr(fault), where=where)
            return []

    # Calls: in.

    def take(self, call: C, arrived: api.CallArrived) -> None:
        """A call is the agent's from here on: it gets its final answer, whatever happens."""
        self.calls[call.id] = call
        if self.tracing:
            patience = (call.abandon_at - call.arrived) // 1_000_000
            fields = {"destination": arrived.destination, "in_transit": arrived.transit}
            self.log(
                "debug",
                "call taken",
                call=call.id,
                reference=self.named(call),
                patience_ms=patience,
                **fields,
            )
        self.guard.arrived(call.id, call.abandon_at)
        call.overdue = self.kernel.at(call.abandon_at - self.answer_margin // 2, lambda: self.overdue(call))
        self.post(arrived)

    def overdue(self, call: C) -> None:
        """Looks again at the turn's end: where the loop was held up, the module hears of the end of the
        call's try in this same turn, and answers."""
        self.kernel.at_turn_end(lambda: self.answer_overdue(call))

    def answer_overdue(self, call: C) -> None:
        """The last line of rule 1: the module has left a call without an answer. A fault, and answered."""
        if call.state == OPEN:
            self.counts.add("overdue")
            self.log("error", "the module left a call unanswered", call=call.id, reference=self.named(call))
            self.give_up(call, own_fault=True)

    def give_up(self, call: C, own_fault: bool = False) -> None:
        """Answers an open call as failed; what is out for it is given up, and the module told."""
        self.leave(call, "timeout")
        self.post(api.CallerLeft(call.id))
        self.answer(call, Final(FAILED, own_fault=own_fault))

    def named(self, call: C) -> str:
        """The asker's own name of the call, for the log."""
        return str(call.id)

    def caller_left(self, call: C) -> None:
        """No answer is owed any more; what is out for the call is given up."""
        if self.tracing:
            self.log("debug", "caller left", call=call.id, reference=self.named(call))
        self.post(api.CallerLeft(call.id))
        self._just_left.add(call.id)
        self.leave(call, "cancelled")
        self.forget(call)

    def leave(self, call: C, result: str) -> None:
        """Ends a try that is out, where the call itself is over."""
        one = call.out
        if one is not None:
            self.end_try(one, tell=True)
            self.guard.try_ended(self.kernel.now(), call.id, True)
            self.post(
                api.TryEnded(call.id, one.exchange, result, self.kernel.now() - one.sent_at, one.number, True)
            )

    def finish(self, call: C) -> None:
        """Releases a standing call, or drops one that is open."""
        if call.state == OPEN:
            self.caller_left(call)
            return
        if call.standing is not None:
            self.end_try(call.standing, tell=True)
        self.forget(call)

    def forget(self, call: C) -> None:
        call.state = OVER
        if call.overdue is not None:
            call.overdue.cancel()
        self.calls.pop(call.id, None)
        self.guard.over(call.id)
        self.dropped(call)

    # Calls: out.

    def set_up(self, action: api.SetUp) -> None:
        now = self.kernel.now()
        call = self.calls.get(action.call)
        if action.call in self._just_left:
            return  # asked for by an event before the one that told of its end, in the same batch
        broken = self.guard.set_up(now, action.call, action.exchange)
        if broken or call is None:
            self.counts.add("guard_refusals")
            self.log(
                "error", "the guard refused a set-up", rule=broken, call=action.call, exchange=action.exchange
            )
            if call is not None and call.out is None:
                number = call.tries
                call.tries += 1
                self.post(api.TryEnded(call.id, action.exchange, "moot", 0, number, False))
            return
        number = call.tries
        call.tries += 1
        sent = self.launch(call, action, number)
        if isinstance(sent, Unsent):
            self.guard.try_ended(now, call.id, False)
            self.counts.add("unsent")
            if self.tracing:
                fields = {"exchange": action.exchange, "result": sent.result}
                self.log("debug", "set-up not sent", call=call.id, reference=self.named(call), **fields)
            self.post(api.TryEnded(call.id, action.exchange, sent.result, 0, number, False, sent.cause))
            return
        self.counts.add("route_tries")
        if self.tracing:
            self.trace("set-up", sent, patience_ms=action.patience // 1_000_000)
        call.out = sent
        sent.timer = self.kernel.at(now + action.patience, lambda: self.timed_out(sent))

    def timed_out(self, one: T) -> None:
        if one.state == "out":
            self.counts.add("timeouts")
            self.try_over(one, "timeout", tell=True, cut_off=True)

    def try_over(
        self,
        one: T,
        result: str,
        tell: bool,
        cut_off: bool,
        cause: str = "",
        wait: int = 0,
        load: api.Load | None = None,
    ) -> None:
        """The one outcome of a route try that did not stand. `cut_off`: the release time is awaited."""
        now = self.kernel.now()
        call = one.call
        call.cause = cause
        if self.tracing:
            self.trace("route try ended", one, result=result, cause=cause)
        self.end_try(one, tell)
        self.guard.try_ended(now, call.id, cut_off)
        self.post(
            api.TryEnded(
                call.id, one.exchange, result, now - one.sent_at, one.number, False, cause, wait, load or {}
            )
        )

    def end_try(self, one: T, tell: bool) -> None:
        """`tell`: the exchange may hold something for it, and hears that it need not."""
        if one.timer is not None:
            one.timer.cancel()
        self.end_launched(one, tell)
        one.state = "over"
        if one.call.out is one:
            one.call.out = None

    def stands(self, one: T, load: api.Load | None = None) -> None:
        """The exchange has answered: the call stands, and its asker is told so."""
        now = self.kernel.now()
        call = one.call
        if one.timer is not None:
            one.timer.cancel()
        one.state = "stands"
        if self.tracing:
            self.trace("stands", one, ms=(now - one.sent_at) // 1_000_000)
        call.out, call.standing, call.state = None, one, STANDS
        self.guard.try_ended(now, call.id, False)
        self.post(api.Stood(call.id, one.exchange, now - one.sent_at, one.number))
        if load:
            self.post(api.Reported(one.exchange, "served", now - one.sent_at, load))
        self.answer(call, Final(STOOD))

    def trace(self, text: str, one: T, **fields: object) -> None:
        self.log(
            "debug",
            text,
            call=one.call.id,
            reference=self.named(one.call),
            route_try=one.number,
            exchange=one.exchange,
            **fields,
        )

    def trace_answer(self, call: C, final: Final) -> None:
        self.log(
            "debug",
            "final answer",
            call=call.id,
            reference=self.named(call),
            answer=final.kind,
            ms=(self.kernel.now() - call.arrived) // 1_000_000,
            route_tries=call.tries,
            cause=call.cause,
            come_back_ms=final.come_back // 1_000_000,
        )

    def answer_number(self, number: int, final: Final) -> None:
        call = self.calls.get(number)
        if call is not None and call.state == OPEN:
            self.answer(call, final)

    def answer(self, call: C, final: Final) -> None:
        """The one final answer."""
        broken = self.guard.answer(self.kernel.now(), call.id)
        if broken:
            self.counts.add("guard_refusals")
            level = "warning" if broken == LATE_ANSWER else "error"
            self.log(
                level, "the guard refused an answer", rule=broken, call=call.id, reference=self.named(call)
            )
            if not self.misanswered(call):
                return
        else:
            if self.tracing:
                self.trace_answer(call, final)
            self.reply(call, final)
        if final.kind != STOOD or broken:
            if call.standing is not None:
                self.end_try(call.standing, tell=True)
            self.forget(call)
        elif call.overdue is not None:
            call.overdue.cancel()
