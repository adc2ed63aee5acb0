"""The protocol-independent part of the call agent: state of calls and route tries, and the final answers.

Each protocol front end is a subclass of `Core`: it turns incoming messages into controller events and sends
set-ups and answers in its own protocol. All events of one event-loop turn go to the controller in one batch,
updates of the exchange list first, and the returned actions are executed in order. Routing is decided by the
controller; this module tracks the calls and enforces that

- every accepted call gets exactly one final answer, also when the controller raises or forgets the call;
- every set-up and every final answer is first checked by the guard (`peattrestle.calls.guard`).

All times are integer nanoseconds of the kernel's clock.
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

# States of a call.
OPEN, ESTABLISHED, ENDED = "open", "stands", "over"
# Kinds of a final answer.
ANSWERED, REFUSED, FAILED = "stood", "refused", "failed"

Log = Callable[..., None]


@dataclass(slots=True)
class RouteTry:
    """One set-up sent to an exchange.

    `state` is 'out' (no response yet), 'stands' (answered by the exchange) or 'over'. `number` counts the
    tries of the call from 0; `timer` ends the try when the exchange does not respond in time.
    """

    call: Any
    number: int
    exchange: str
    sent_at: int
    state: str = "out"
    timer: Timer | None = None


TryT = TypeVar("TryT", bound=RouteTry)


@dataclass(slots=True)
class Call(Generic[TryT]):
    """A call that the agent has accepted responsibility for.

    `state` is 'open' until the final answer, 'stands' while the call is established, then 'over'. `arrived`
    is the arrival time, `abandon_at` the time by which the final answer is due, `tries` the number of route
    tries started, and `answer_timer` the timer that answers the call when the controller does not.
    """

    id: int
    arrived: int
    abandon_at: int
    state: str = OPEN
    tries: int = 0
    pending_try: TryT | None = None
    answered_try: TryT | None = None
    answer_timer: Timer | None = None
    cause: str = ""  # of the last failed route try


CallT = TypeVar("CallT", bound=Call[Any])


@dataclass(slots=True, frozen=True)
class Unsent:
    """Why a set-up was not sent; `result` and `cause` as in `interface.TryEnded`."""

    result: str = "connect_failed"
    cause: str = ""


@dataclass(slots=True, frozen=True)
class FinalAnswer:
    """A final answer of kind ANSWERED, REFUSED or FAILED.

    `retry_after` is the retry-after advice in nanoseconds, 0 for none. `own_fault` is true when the agent
    itself failed rather than a route.
    """

    kind: str
    retry_after: int = 0
    own_fault: bool = False


@dataclass(slots=True)
class Counts:
    """Named event counters; rehearsals compare them with the counts kept by the callers."""

    values: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, amount: int = 1) -> None:
        """Increases counter `name` by `amount`."""
        self.values[name] = self.values.get(name, 0) + amount


class Core(Generic[CallT, TryT]):
    """Base class of the protocol front ends.

    A subclass implements `send_set_up`, `release_try`, `reply`, `on_answer_refused` and `on_call_removed`.

    The controller's answers are due `answer_margin` nanoseconds before a call's abandon time; half of that
    margin before it, the core answers by itself. Log lines go to `log(level, text, **fields)`.
    """

    def __init__(
        self, kernel: Kernel, controller: Controller, guard: Guard, log: Log, answer_margin: int
    ) -> None:
        self.kernel, self.controller, self.guard, self.log = kernel, controller, guard, log
        self.answer_margin = answer_margin
        self.calls: dict[int, CallT] = {}
        self.counts = Counts()
        self.tracing = False
        self._next_call = 0
        self._events: list[api.Event] = []
        self._has_list_update = False
        self._processing_scheduled = False
        self._callers_left: set[int] = set()

    # Implemented by each front end.

    def send_set_up(self, call: CallT, action: api.SetUp, number: int) -> TryT | Unsent:
        """Sends the set-up of route try `number`; returns the try, or why it was not sent."""
        raise NotImplementedError

    def release_try(self, route_try: TryT, send_release: bool) -> None:
        """Releases what the front end holds for a finished route try.

        `send_release`: the exchange may still hold resources for the try, so it is sent a release.
        """
        raise NotImplementedError

    def reply(self, call: CallT, final: FinalAnswer) -> None:
        """Sends the final answer to the caller."""
        raise NotImplementedError

    def on_answer_refused(self, call: CallT) -> bool:
        """Handles a final answer that the guard refused.

        Returns True if the call ends now; False if it was answered before, and its state is left unchanged.
        """
        raise NotImplementedError

    def on_call_removed(self, call: CallT) -> None:
        """Removes the front end's state of a call that is over."""
        raise NotImplementedError

    # Events to the controller, actions from it.

    def next_id(self) -> int:
        """Returns the id of the next call, counting from 1."""
        self._next_call += 1
        return self._next_call

    def post(self, event: api.Event) -> None:
        """Queues an event for the controller, which gets it at the end of this turn of the event loop."""
        self._events.append(event)
        self._has_list_update |= isinstance(event, api.ListUpdated)
        if not self._processing_scheduled:
            self._processing_scheduled = True
            self.kernel.at_turn_end(self.process_events)

    def process_events(self) -> None:
        """Passes the queued events to the controller in one batch and executes its actions."""
        self._processing_scheduled = False
        events, self._events = self._events, []
        if self._has_list_update:  # list updates also apply to the calls of the same batch
            self._has_list_update = False
            events.sort(key=lambda event: not isinstance(event, api.ListUpdated))
        for action in self.run_controller(events):
            match action:
                case api.SetUp():
                    self.set_up(action)
                case api.Block(call_id, retry_after):
                    self.answer_by_id(call_id, FinalAnswer(REFUSED, retry_after))
                case api.Abort(call_id):
                    self.answer_by_id(call_id, FinalAnswer(FAILED))
                case api.SetTimer(at, token):
                    self.kernel.call_at(at, lambda token=token: self.post(api.TimerDue(token)))  # type: ignore[misc]
                case api.Log(text):
                    self.log("info", text, origin="module")
                case api.FollowList():
                    pass  # nothing to request: every list source pushes its changes
        self._callers_left.clear()

    def run_controller(self, events: list[api.Event]) -> list[api.Action]:
        """Returns the controller's actions, none if it raises.

        An exception in the controller must not stop the agent: the calls concerned are answered by their
        timers.
        """
        try:
            return self.controller.handle(self.kernel.now(), events)
        except Exception as error:
            where = "".join(traceback.format_tb(error.__traceback__)[-2:])
            self.counts.add("module_faults")
            self.log("error", "controller raised an exception", error=repr(error), where=where)
            return []

    # Incoming calls.

    def accept_call(self, call: CallT, arrived: api.CallArrived) -> None:
        """Accepts a call. From here on the agent guarantees exactly one final answer for it."""
        self.calls[call.id] = call
        if self.tracing:
            patience_ms = (call.abandon_at - call.arrived) // 1_000_000
            fields = {"destination": arrived.destination, "in_transit": arrived.transit}
            self.log(
                "debug",
                "call taken",
                call=call.id,
                reference=self.reference_of(call),
                patience_ms=patience_ms,
                **fields,
            )
        self.guard.on_call_arrived(call.id, call.abandon_at)
        call.answer_timer = self.kernel.call_at(
            call.abandon_at - self.answer_margin // 2, lambda: self.on_answer_overdue(call)
        )
        self.post(arrived)

    def on_answer_overdue(self, call: CallT) -> None:
        """Checks the call again at the end of this turn of the event loop.

        If the loop was delayed, the end of the call's try may be processed in the same turn, and the
        controller then still answers the call itself.
        """
        self.kernel.at_turn_end(lambda: self.answer_if_overdue(call))

    def answer_if_overdue(self, call: CallT) -> None:
        """Fails a call that the controller left unanswered, which is a fault of the controller."""
        if call.state == OPEN:
            self.counts.add("overdue")
            self.log(
                "error", "controller left a call unanswered", call=call.id, reference=self.reference_of(call)
            )
            self.fail_call(call, own_fault=True)

    def fail_call(self, call: CallT, own_fault: bool = False) -> None:
        """Answers an open call as failed, cancels its pending try and notifies the controller."""
        self.cancel_pending_try(call, "timeout")
        self.post(api.CallerLeft(call.id))
        self.answer(call, FinalAnswer(FAILED, own_fault=own_fault))

    def reference_of(self, call: CallT) -> str:
        """Returns the client's own identifier of the call, for the log."""
        return str(call.id)

    def caller_left(self, call: CallT) -> None:
        """Handles an open call whose caller is gone: no answer is due, and a pending try is cancelled."""
        if self.tracing:
            self.log("debug", "caller left", call=call.id, reference=self.reference_of(call))
        self.post(api.CallerLeft(call.id))
        self._callers_left.add(call.id)
        self.cancel_pending_try(call, "cancelled")
        self.forget(call)

    def cancel_pending_try(self, call: CallT, result: str) -> None:
        """Cancels the pending try, if any, of a call that is itself over."""
        route_try = call.pending_try
        if route_try is not None:
            self.end_try(route_try, send_release=True)
            self.guard.on_try_ended(self.kernel.now(), call.id, True)
            self.post(
                api.TryEnded(
                    call.id,
                    route_try.exchange,
                    result,
                    self.kernel.now() - route_try.sent_at,
                    route_try.number,
                    True,
                )
            )

    def release_call(self, call: CallT) -> None:
        """Releases an established call, or cancels an open one."""
        if call.state == OPEN:
            self.caller_left(call)
            return
        if call.answered_try is not None:
            self.end_try(call.answered_try, send_release=True)
        self.forget(call)

    def forget(self, call: CallT) -> None:
        """Removes a call that is over from all tables."""
        call.state = ENDED
        if call.answer_timer is not None:
            call.answer_timer.cancel()
        self.calls.pop(call.id, None)
        self.guard.on_call_over(call.id)
        self.on_call_removed(call)

    # Route tries and answers.

    def set_up(self, action: api.SetUp) -> None:
        """Starts the route try that the controller requests, unless the guard refuses it."""
        now = self.kernel.now()
        call = self.calls.get(action.call)
        if action.call in self._callers_left:
            return  # requested by an event that precedes the call's end in the same batch
        violated_rule = self.guard.check_set_up(now, action.call, action.exchange)
        if violated_rule or call is None:
            self.counts.add("guard_refusals")
            self.log(
                "error",
                "the guard refused a set-up",
                rule=violated_rule,
                call=action.call,
                exchange=action.exchange,
            )
            if call is not None and call.pending_try is None:
                number = call.tries
                call.tries += 1
                self.post(api.TryEnded(call.id, action.exchange, "moot", 0, number, False))
            return
        number = call.tries
        call.tries += 1
        launched = self.send_set_up(call, action, number)
        if isinstance(launched, Unsent):
            self.guard.on_try_ended(now, call.id, False)
            self.counts.add("unsent")
            if self.tracing:
                fields = {"exchange": action.exchange, "result": launched.result}
                self.log(
                    "debug", "set-up not sent", call=call.id, reference=self.reference_of(call), **fields
                )
            self.post(
                api.TryEnded(call.id, action.exchange, launched.result, 0, number, False, launched.cause)
            )
            return
        self.counts.add("route_tries")
        if self.tracing:
            self.log_try("set-up", launched, patience_ms=action.patience // 1_000_000)
        call.pending_try = launched
        launched.timer = self.kernel.call_at(now + action.patience, lambda: self.on_try_timeout(launched))

    def on_try_timeout(self, route_try: TryT) -> None:
        """Ends a try that the exchange has not responded to in time."""
        if route_try.state == "out":
            self.counts.add("timeouts")
            self.fail_try(route_try, "timeout", send_release=True, cut_off=True)

    def fail_try(
        self,
        route_try: TryT,
        result: str,
        send_release: bool,
        cut_off: bool,
        cause: str = "",
        wait: int = 0,
        load: api.Load | None = None,
    ) -> None:
        """Records the outcome of a route try that was not answered, and reports it to the controller.

        `cut_off`: the exchange may still be working on the try, so the next one waits for the release time.
        `wait` is the retry delay in nanoseconds that the exchange gave, 0 for none; `load` what it reported.
        """
        now = self.kernel.now()
        call = route_try.call
        call.cause = cause
        if self.tracing:
            self.log_try("route try ended", route_try, result=result, cause=cause)
        self.end_try(route_try, send_release)
        self.guard.on_try_ended(now, call.id, cut_off)
        self.post(
            api.TryEnded(
                call.id,
                route_try.exchange,
                result,
                now - route_try.sent_at,
                route_try.number,
                False,
                cause,
                wait,
                load or {},
            )
        )

    def end_try(self, route_try: TryT, send_release: bool) -> None:
        """Ends a try locally.

        `send_release`: the exchange may still hold resources for it, so it is sent a release.
        """
        if route_try.timer is not None:
            route_try.timer.cancel()
        self.release_try(route_try, send_release)
        route_try.state = "over"
        if route_try.call.pending_try is route_try:
            route_try.call.pending_try = None

    def on_answered(self, route_try: TryT, load: api.Load | None = None) -> None:
        """Handles an exchange's positive answer: the call is established, and its caller is answered."""
        now = self.kernel.now()
        call = route_try.call
        if route_try.timer is not None:
            route_try.timer.cancel()
        route_try.state = "stands"
        if self.tracing:
            self.log_try("stands", route_try, ms=(now - route_try.sent_at) // 1_000_000)
        call.pending_try, call.answered_try, call.state = None, route_try, ESTABLISHED
        self.guard.on_try_ended(now, call.id, False)
        self.post(api.TryAnswered(call.id, route_try.exchange, now - route_try.sent_at, route_try.number))
        if load:
            self.post(api.LoadReported(route_try.exchange, "served", now - route_try.sent_at, load))
        self.answer(call, FinalAnswer(ANSWERED))

    def log_try(self, text: str, route_try: TryT, **fields: object) -> None:
        """Logs a step of a route try, for tracing."""
        self.log(
            "debug",
            text,
            call=route_try.call.id,
            reference=self.reference_of(route_try.call),
            route_try=route_try.number,
            exchange=route_try.exchange,
            **fields,
        )

    def log_answer(self, call: CallT, final: FinalAnswer) -> None:
        """Logs the final answer of a call, for tracing."""
        self.log(
            "debug",
            "final answer",
            call=call.id,
            reference=self.reference_of(call),
            answer=final.kind,
            ms=(self.kernel.now() - call.arrived) // 1_000_000,
            route_tries=call.tries,
            cause=call.cause,
            come_back_ms=final.retry_after // 1_000_000,
        )

    def answer_by_id(self, call_id: int, final: FinalAnswer) -> None:
        """Sends the final answer, unless the call is answered or over."""
        call = self.calls.get(call_id)
        if call is not None and call.state == OPEN:
            self.answer(call, final)

    def answer(self, call: CallT, final: FinalAnswer) -> None:
        """Sends the final answer after the guard's check; removes the call unless it is established by it.

        When the guard refuses the answer, the front end decides in `on_answer_refused` whether the call ends.
        """
        violated_rule = self.guard.check_answer(self.kernel.now(), call.id)
        if violated_rule:
            self.counts.add("guard_refusals")
            level = "warning" if violated_rule == LATE_ANSWER else "error"
            self.log(
                level,
                "the guard refused an answer",
                rule=violated_rule,
                call=call.id,
                reference=self.reference_of(call),
            )
            if not self.on_answer_refused(call):
                return
        else:
            if self.tracing:
                self.log_answer(call, final)
            self.reply(call, final)
        if final.kind != ANSWERED or violated_rule:
            if call.answered_try is not None:
                self.end_try(call.answered_try, send_release=True)
            self.forget(call)
        elif call.answer_timer is not None:
            call.answer_timer.cancel()
