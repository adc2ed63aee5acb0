"""The call agent: an H.248 server for gateways, with links to the exchanges and one routing `Controller`.

`CallAgent` translates between the wire and the routing module. Received requests and replies, link failures
and updates of the exchange list become `interface` events; the actions that the module returns become
set-ups, releases and replies. docs/protocol.md has the mapping.

Routing and admission are decided by `Controller`. Decided here are only the checks before a call reaches it:

- an Add with an invalid parameter, or for a termination that already has a call, is answered with an error;
- a call is refused while the agent shuts down, or when `limits.calls` calls are held;
- a call from a gateway over its share (`Storms.admit`) is passed on marked, so that it is refused with advice
  on when to retry;
- a connection beyond `limits.connections` is closed.

`calls.core` has what all protocol front ends share: calls, route tries, event batches, and one final answer
for each call.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import replace

from peattrestle import interface as api
from peattrestle.agent import listing, mapping
from peattrestle.agent.calls import Call, RouteTry
from peattrestle.agent.link import Link, Release
from peattrestle.agent.registry import RegistryClient
from peattrestle.agent.requester import CutNotice, Requester, RequesterTable
from peattrestle.agent.storms import Storms
from peattrestle.calls.core import ANSWERED, OPEN, REFUSED, Core, FinalAnswer, Log, Unsent
from peattrestle.calls.guard import Guard
from peattrestle.control import Controller
from peattrestle.h248 import package
from peattrestle.h248.package import BadValue, Outcome, SetUpRequest
from peattrestle.h248.session import MalformedMessage, ProtocolViolation, Session, SessionEvent
from peattrestle.h248.text import Action, Command, Reply, Request
from peattrestle.h248.transactions import (
    NewRequest,
    ReplyReceived,
    TooManyOpenRequests,
    Transactions,
    UnknownTransaction,
)
from peattrestle.membership.exchange_list import MembershipUpdate
from peattrestle.runtime import ConnectFailed, ConnectionLost, Coroutine, Event, Kernel, Listener, Stream
from peattrestle.settings.agent import Agent as Settings

MS = 1_000_000  # nanoseconds
DRAIN_POLL_PERIOD = 10 * MS  # nanoseconds
GONE_LINK_RETENTION = 10_000 * MS  # for releases that a removed exchange has not confirmed
# The reply to a call that failed by a fault of the agent itself.
INTERNAL_ERROR = Outcome(package.FAILED, text="fault of the agent")


class CallAgent(Core[Call, RouteTry]):
    """A call agent for one exchange; `start` spawns its tasks on `kernel`.

    `log(level, text, **fields)` writes a log line. `store` keeps the last exchange list over restarts. `seed`
    seeds the controller (0: the seed of the settings). `controller` and `guard` replace the default ones in
    tests.
    """

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        log: Log,
        store: listing.Store | None = None,
        seed: int = 0,
        controller: Controller | None = None,
        guard: Guard | None = None,
    ) -> None:
        rules, limits = settings.rules, settings.limits
        super().__init__(
            kernel,
            controller or Controller(seed or settings.seed, mapping.module_settings(settings)),
            guard
            or Guard(
                rules.drain_grace, rules.release_time, rules.fall_time, rules.fall_multiple, rules.cold_time
            ),
            log,
            rules.answer_margin,
        )
        self.settings = settings
        self.store = store or listing.Store()
        self.retry_detector = self.controller.retry_detector
        self.mid = f"<{settings.label}>"
        self.started_at = kernel.now()
        # The start time keeps termination names and transaction ids of this run apart from an earlier run's.
        self.run_id = f"{self.started_at // MS:x}"
        self.first_transaction_id = self.started_at // MS % (1 << 31) + 1
        self.requesters = RequesterTable(
            limits.gateways,
            lambda: Transactions(self.first_transaction_id, limits.open_requests, limits.kept_replies),
        )
        self.own_exchange = Requester(f"exchange {settings.number}", Transactions())
        self.terminations: dict[str, RouteTry] = {}  # by termination id
        self.links: dict[str, Link] = {}  # by exchange
        self.entries: dict[str, listing.Row] = {}  # the exchange list, by exchange
        self.exchange_by_number: dict[int, str] = {}
        self.groups: dict[int, package.GroupStatus] = {}  # by the number of the far exchange
        self.connection_count = 0
        self.tracing = settings.log_level == "debug"
        self.storms = Storms(kernel, limits, log, self.counts.add, self.requesters.known.values)
        self.open_for_calls = Event(kernel)
        self.address = ""
        self.listener: Listener | None = None
        self.draining = False
        self._max_holding_time = max(bearer.holding for bearer in settings.bearer)
        self._bearer_types = {bearer.label for bearer in settings.bearer}

    # Start and stop.

    def start(self) -> None:
        """Starts the agent; returns at once."""
        self.kernel.spawn(self.run(), f"agent {self.settings.label}")

    def run(self) -> Coroutine[None]:
        """Connects to the exchanges, then accepts gateways until the listener is closed."""
        cached_rows = listing.unpack(self.kernel.now(), self.store.load())
        if cached_rows is not None:
            self.apply_list("cached", cached_rows)
        if self.settings.registry.endpoints:
            self.kernel.spawn(self.registry().run(), "registry")
        else:
            self.kernel.spawn(self.follow_list(), "list")
        listener = self.listener = self.kernel.listen(self.settings.callers)
        self.address = listener.address
        yield from self.wait_for_links()
        self.open_for_calls.set()
        self.log("info", "ready", address=self.address, exchanges=len(self.links))
        self.kernel.spawn(self.release_orphans(), "sweep")
        self.kernel.spawn(self.storms.run(), "storms")
        while True:
            while (wait := self.storms.accept_after()) > 0:
                yield from self.kernel.sleep(wait)
            try:
                stream = yield from listener.accept()
            except ConnectionLost:
                return
            if self.connection_count >= self.settings.limits.connections:
                self.counts.add("connections_shed")
                stream.close()
                continue
            self.connection_count += 1
            self.kernel.spawn(self.serve_gateway(stream), f"gateway {stream.peer}")

    def drain(self, on_drained: Callable[[], None]) -> None:
        """Stops taking connections and calls; calls `on_drained` once each open call has its final answer."""
        if self.draining:
            return
        self.draining = True
        open_calls = sum(call.state == OPEN for call in self.calls.values())
        self.log("info", "stopping", open=open_calls)
        if self.listener is not None:
            self.listener.close()
        self.kernel.spawn(self.wait_until_answered(on_drained), "drain")

    def wait_until_answered(self, on_drained: Callable[[], None]) -> Coroutine[None]:
        """Calls `on_drained` once no call is open: each is answered by its abandon time."""
        while any(call.state == OPEN for call in self.calls.values()):
            yield from self.kernel.sleep(DRAIN_POLL_PERIOD)
        yield from self.kernel.sleep(DRAIN_POLL_PERIOD)  # time to send the last answers
        on_drained()

    def stop(self) -> None:
        """Closes the listener and the links; the gateways' connections end with the kernel."""
        if self.listener is not None:
            self.listener.close()
        for link in list(self.links.values()):
            link.close()

    def wait_for_links(self) -> Coroutine[None]:
        """Waits until each link has finished its first connection attempt, at most `links.settle`."""
        deadline = self.kernel.now() + self.settings.links.settle
        while self.kernel.now() < deadline:
            if self.links and all(link.first_attempt_done for link in self.links.values()):
                return
            yield from self.kernel.sleep(5 * MS)

    def release_orphans(self) -> Coroutine[None]:
        """Once a second, releases the calls of requesters that have been disconnected for `orphan_time`.

        Without this the calls of a gateway that never returns would hold their circuits for ever. Also closes
        the links to removed exchanges that are no longer in use.
        """
        while True:
            yield from self.kernel.sleep(1000 * MS)
            self.drop_gone_links()
            cutoff = self.kernel.now() - self.settings.orphan_time
            for requester in [*self.requesters.known.values(), self.own_exchange]:
                if requester.session is None and requester.disconnected_at < cutoff:
                    requester.cut_notices.clear()
                    for call in list(requester.calls.values()):
                        self.counts.add("orphans_released")
                        self.release_call(call)

    def to_outcome(self, call: Call, final: FinalAnswer) -> Outcome:
        """The final answer as an H.248 outcome."""
        if final.kind == ANSWERED:
            return Outcome(0, str(call.id))
        if final.kind != REFUSED:
            return INTERNAL_ERROR if final.own_fault else Outcome(package.FAILED, text="failed")
        cause = ""
        if call.requester is self.own_exchange:
            # In transit the cause tells the previous exchange what was full: this tandem, or a hop beyond it.
            cause = "beyond_full" if call.cause == "processor_full" else "turned_back"
        return Outcome(package.REFUSED, text="refused", retry_after=final.retry_after, cause=cause)

    # Incoming calls.

    def handle_add(self, requester: Requester, transaction_id: int, command: Command, transit: bool) -> None:
        """Takes a new call, or replies with an error or a refusal. `transit`: the own exchange sent it."""
        now = self.kernel.now()
        try:
            request = package.read_add(command)
            if request.bearer_type not in self._bearer_types:
                raise BadValue(f"ptc/brt: no bearer type '{request.bearer_type}'")
        except BadValue as error:
            self.counts.add("bad_requests")
            requester.reply(
                transaction_id,
                package.command_reply(
                    transaction_id,
                    "$",
                    "Add",
                    command.termination,
                    (package.BAD_VALUE, str(error).replace('"', "'")),
                ),
            )
            return
        if not transit and requester.stream is not None and requester.stream.peer_has_closed():
            self.counts.add("left_unread")
            outcome = Outcome(package.FAILED, text="the caller left")
            requester.transactions.answer(
                transaction_id, package.outcome_text(transaction_id, request.termination, outcome)
            )
            return
        if request.termination in requester.calls:
            self.counts.add("bad_requests")
            requester.reply(
                transaction_id,
                package.command_reply(
                    transaction_id,
                    "$",
                    "Add",
                    command.termination,
                    (package.ALREADY_IN_CONTEXT, "the termination is in a context"),
                ),
            )
            return
        self.counts.add("transit_taken" if transit else "taken")
        if self.draining or len(self.calls) >= self.settings.limits.calls:
            self.counts.add("refused_in_shutdown" if self.draining else "refused_at_bound")
            self.counts.add("transit_refused" if transit else "refused")
            requester.reply(
                transaction_id,
                package.outcome_text(
                    transaction_id,
                    request.termination,
                    Outcome(
                        package.REFUSED,
                        text="shutting down" if self.draining else "as many calls as can be held",
                        retry_after=self.settings.rules.come_back_limit,
                    ),
                ),
            )
            return
        call = Call(
            self.next_id(),
            now,
            now + request.patience,
            requester=requester,
            transaction_id=transaction_id,
            request=request,
        )
        if not transit:
            retry_key = (requester.name, request.bearer_type, request.destination, request.number)
            call.attempt = self.retry_detector.classify(now, retry_key, request.repeat, request.cut_before)
            self.storms.detector.count_call(now, call.attempt, requester.name)
        requester.cut_notices.pop(request.termination, None)  # it is used again
        requester.calls[request.termination] = call
        call.pending_timer = self.kernel.call_at(
            now + self.settings.limits.pending_after, lambda: self.send_pending(call)
        )
        via = request.origin if transit else request.via
        arrived = api.CallArrived(
            call.id,
            request.bearer_type,
            call.abandon_at,
            request.destination,
            request.number,
            request.width,
            via,
            transit,
            request.cut_before,
            request.repeat,
            request.customer,
            "" if transit else requester.name,
            attempt=call.attempt,
        )
        if not transit and not self.storms.admit(
            requester.name, self.controller.relative_revenue(arrived, call.attempt)
        ):
            call.over_share = True
            arrived = replace(arrived, over_share=True)
        self.accept_call(call, arrived)

    def send_pending(self, call: Call) -> None:
        """Sends H.248's Pending, once for each call, where the final answer takes longer."""
        if call.state == OPEN and call.requester.session is not None:
            call.requester.session.send(f"Pending={call.transaction_id}{{}}")

    def handle_subtract(
        self, requester: Requester, transaction_id: int, action: Action, command: Command
    ) -> None:
        """Releases a call; one that is still open is cancelled and gets no final answer."""
        call = requester.calls.get(command.termination)
        requester.cut_notices.pop(command.termination, None)
        if call is None:
            requester.reply(
                transaction_id,
                package.command_reply(
                    transaction_id,
                    action.context,
                    "Subtract",
                    command.termination,
                    (package.UNKNOWN_TERMINATION, "no such termination"),
                ),
            )
            return
        requester.reply(
            transaction_id,
            package.command_reply(transaction_id, str(call.id), "Subtract", command.termination),
        )
        prefix = "transit_" if requester is self.own_exchange else ""
        if call.state == OPEN:
            self.counts.add(prefix + "left")
            self.caller_left(call)
        else:
            self.counts.add(prefix + "released")
            self.release_call(call)

    def caller_left(self, call: Call) -> None:
        """Ends an open call without sending a final answer.

        A repeat of the request is answered with an error, as a failed call.
        """
        super().caller_left(call)
        call.requester.transactions.answer(
            call.transaction_id,
            package.outcome_text(
                call.transaction_id, call.request.termination, Outcome(package.FAILED, text="the caller left")
            ),
        )

    def on_call_removed(self, call: Call) -> None:
        """Forgets the call's Pending timer and its termination."""
        if call.pending_timer is not None:
            call.pending_timer.cancel()
        call.requester.calls.pop(call.request.termination, None)

    def reference_of(self, call: Call) -> str:
        """The caller's reference of the call, for the log."""
        return call.request.reference

    # Route tries.

    def send_set_up(self, call: Call, action: api.SetUp, number: int) -> RouteTry | Unsent:
        """Sends the set-up of route try `number` to an exchange, or returns why it can't be sent."""
        request, link = call.request, self.links.get(action.exchange)
        own_link = self.links.get(self.exchange_by_number.get(self.settings.number, ""))
        if own_link is not None and not own_link.up:
            # Every call starts at the agent's own exchange, so without it nothing can be set up.
            return Unsent("moot", "processor_full")
        if link is None:
            return Unsent()
        route_try = RouteTry(
            call,
            number,
            action.exchange,
            self.kernel.now(),
            link=link,
            termination=f"t/{self.settings.label}/{self.run_id}/{call.id}/{number}",
        )
        row = self.entries[action.exchange]
        sent = link.set_up(
            route_try,
            SetUpRequest(
                route_try.termination,
                request.bearer_type,
                request.destination,
                action.patience,
                request.number,
                request.width,
                transit=row.number == request.destination and request.transit,
                repeat=request.repeat,
                cut_before=request.cut_before,
                customer=request.customer,
                reference=request.reference,
                origin=self.settings.number,
            ),
        )
        if not sent:
            return Unsent()
        self.terminations[route_try.termination] = route_try
        return route_try

    def release_try(self, route_try: RouteTry, send_release: bool) -> None:
        """Forgets a route try; `send_release`: the exchange is sent a Subtract, as it may hold a circuit."""
        if route_try.state == "out":
            route_try.link.transactions.close(route_try.transaction_id)
        self.terminations.pop(route_try.termination, None)
        if send_release:
            route_try.link.release(route_try.context, route_try.termination, route_try.call.id)

    def reply(self, call: Call, final: FinalAnswer) -> None:
        """Counts the final answer and sends it to the requester."""
        if call.pending_timer is not None:
            call.pending_timer.cancel()
        self.counts.add(("transit_" if call.requester is self.own_exchange else "") + final.kind)
        if call.requester is not self.own_exchange and final.kind == ANSWERED:
            self.storms.admission.count_answered(self.kernel.now())
        elif call.requester is not self.own_exchange and not call.over_share:
            self.storms.admission.count_refused(self.kernel.now())
        call.requester.reply(
            call.transaction_id,
            package.outcome_text(call.transaction_id, call.request.termination, self.to_outcome(call, final)),
        )

    def on_answer_refused(self, call: Call) -> bool:
        """Closes the transaction of a call whose final answer the guard refused, without sending a reply.

        A repeat of the request is answered with an error. False where the call had been answered already.
        """
        if not call.requester.transactions.is_unanswered(call.transaction_id):
            return False
        call.requester.transactions.answer(
            call.transaction_id,
            package.outcome_text(call.transaction_id, call.request.termination, INTERNAL_ERROR),
        )
        return True

    # Events of links.

    def on_link_up(self, link: Link) -> None:
        """Logs the new connection; that of the own exchange also carries transit calls to this agent."""
        self.log("info", "link up", exchange=link.exchange, address=link.address)
        if self.is_own(link.exchange):
            self.own_exchange.session, self.own_exchange.stream = link.session, link.stream
            self.own_exchange.transactions = link.transactions
            self.own_exchange.resend_cut_notices()

    def on_hello_reply(self, link: Link, reply: Reply) -> None:
        """Updates the exchange's start time from the age in its reply, seconds before the list has it."""
        found = package.first_command(reply.actions)
        services = found[1].find("Services") if found is not None else None
        age = services.find("ptc/age") if services is not None else None
        row = self.entries.get(link.exchange)
        if age is None or row is None or re.fullmatch("[0-9]{1,18}", age.value or "") is None:
            return
        now = self.kernel.now()
        row.age = int(age.value or 0)
        self.guard.on_exchange_state(now, row.exchange, row.state, now - row.age)
        entry = api.Entry(row.exchange, row.number, row.state, now - row.age, row.zone)
        self.post(api.ListUpdated("delta", (entry,)))
        # The reply may have been delayed, so the exchange may have started as early as the time of the hello
        # less the age. Only calls set up before that are known to be gone.
        self.drop_forgotten_calls(link, link.hello_sent_at - row.age)

    def drop_forgotten_calls(self, link: Link, started_at: int) -> None:
        """Ends the calls that an exchange lost when it restarted at `started_at`.

        Calls through it are reported as cut. Where it is the own exchange, the transit calls that it had
        requested are released, since nothing else would release them.
        """
        for route_try in [route_try for route_try in self.terminations.values() if route_try.link is link]:
            if route_try.state == "stands" and route_try.sent_at < started_at:
                self.on_call_cut(route_try)
        if self.is_own(link.exchange):
            self.own_exchange.on_restarted(started_at)
            for call in [call for call in self.own_exchange.calls.values() if call.arrived < started_at]:
                self.counts.add("orphans_released")
                self.release_call(call)

    def is_own(self, exchange: str) -> bool:
        """Whether this is the exchange that the agent runs beside."""
        return self.exchange_by_number.get(self.settings.number) == exchange

    def on_link_lost(self, link: Link, route_tries: list[RouteTry], reason: str) -> None:
        """Ends the lost link's unanswered route tries; for the own exchange also its open transit calls."""
        self.log("warning", "link lost", exchange=link.exchange, why=reason, route_tries=len(route_tries))
        for route_try in route_tries:
            if route_try.state == "out":
                self.counts.add("resets")
                self.fail_try(route_try, "reset", send_release=True, cut_off=True)
        if self.is_own(link.exchange):
            self.own_exchange.session = self.own_exchange.stream = None
            self.own_exchange.disconnected_at = self.kernel.now()
            for call in [call for call in self.own_exchange.calls.values() if call.state == OPEN]:
                self.counts.add("transit_left")
                self.caller_left(call)

    def on_link_event(self, link: Link, event: SessionEvent) -> None:
        """Handles a reply, a request or a malformed message received over a link."""
        match event:
            case ReplyReceived(RouteTry() as route_try, reply):
                self.on_add_reply(route_try, package.read_outcome(reply))
            case ReplyReceived(Release() as release, reply):
                link.on_release_reply(release, package.reply_error_code(reply))
                found = package.first_command(reply.actions)
                if found is not None:
                    statistics = found[1].find("Statistics")
                    load = package.read_load(statistics.items or ()) if statistics else {}
                    if load:
                        self.post(api.LoadReported(link.exchange, "served", 0, load))
            case ReplyReceived("hello", reply):
                self.on_hello_reply(link, reply)
            case ReplyReceived(CutNotice() as notice, _):
                self.own_exchange.on_cut_confirmed(notice)
            case NewRequest(request):
                self.handle_exchange_request(link, request.id, request.actions)
            case UnknownTransaction(transaction_id):
                self.counts.add("stray_replies")
                self.log(
                    "debug",
                    "reply to an unknown transaction",
                    exchange=link.exchange,
                    transaction=transaction_id,
                )
            case MalformedMessage(error):
                self.counts.add("garbled")
                self.log("warning", "malformed message", exchange=link.exchange, fault=str(error))
            case _:
                pass

    def on_add_reply(self, route_try: RouteTry, outcome: Outcome) -> None:
        """Records the exchange's answer to a set-up, unless the route try has ended already."""
        if route_try.state != "out":
            return
        if outcome.code:
            result, cause = mapping.result_of(outcome)
            self.fail_try(
                route_try,
                result,
                send_release=False,
                cut_off=False,
                cause=cause,
                wait=outcome.wait,
                load=outcome.load,
            )
            return
        route_try.context = outcome.context
        self.on_answered(route_try, outcome.load)

    def handle_exchange_request(self, link: Link, transaction_id: int, actions: list[Action]) -> None:
        """Handles a request of an exchange: events, and from the own exchange also calls in transit."""
        session = link.session
        if session is None:
            return
        for action in actions:
            for command in action.commands:
                if command.name == "Add" and self.is_own(link.exchange):
                    self.own_exchange.session, self.own_exchange.transactions = session, link.transactions
                    self.handle_add(self.own_exchange, transaction_id, command, transit=True)
                    return
                if command.name == "Subtract" and self.is_own(link.exchange):
                    self.handle_subtract(self.own_exchange, transaction_id, action, command)
                    return
                if command.name == "Notify":
                    self.handle_notify(link, command)
                elif command.name not in ("ServiceChange", "AuditValue"):
                    session.reply(
                        transaction_id,
                        package.command_reply(
                            transaction_id,
                            action.context,
                            command.name,
                            command.termination,
                            (443, "not for an agent"),
                        ),
                    )
                    return
        first = actions[0].commands[0]
        session.reply(
            transaction_id,
            package.command_reply(transaction_id, actions[0].context, first.name, first.termination),
        )

    def handle_notify(self, link: Link, command: Command) -> None:
        """Handles an exchange's events: circuits of its trunk groups, and a call that was cut."""
        try:
            for group in package.read_groups(command):
                self.groups[group.to] = group
                self.report_group(group)
        except BadValue as error:
            self.log("warning", "invalid group report", exchange=link.exchange, fault=str(error))
        if package.is_cut(command):
            route_try = self.terminations.get(command.termination)
            if route_try is None:
                return
            if route_try.state == "out":
                self.fail_try(route_try, "reset", send_release=True, cut_off=True)
            elif route_try.state == "stands":
                self.on_call_cut(route_try)

    def on_call_cut(self, route_try: RouteTry) -> None:
        """Ends a standing call that was cut by its exchange, and notifies the requester."""
        call = route_try.call
        self.counts.add("cut")
        if call.attempt is not None:
            self.storms.detector.record_cut(self.kernel.now(), call.requester.name)
        self.end_try(route_try, send_release=False)
        self.forget(call)
        self.post(api.TryEnded(call.id, route_try.exchange, "reset", 0, route_try.number, True))
        if not call.requester.notify_cut(CutNotice(str(call.id), call.request.termination, call.arrived)):
            self.counts.add("cut_notices_dropped")
            self.log("warning", "oldest cut notice dropped", requester=call.requester.name)

    def report_group(self, group: package.GroupStatus) -> None:
        """Reports a trunk group's circuits to the controller and updates the guard's capacity estimate."""
        exchange = self.exchange_by_number.get(group.to)
        if exchange is not None and group.to != self.settings.number:
            self.post(api.LoadReported(exchange, "served", 0, {"free": group.free, "size": group.size}))
            circuits = sum(other_group.size for other_group in self.groups.values())
            self.guard.warm_capacity = circuits / self._max_holding_time

    # Gateways.

    def serve_gateway(self, stream: Stream) -> Coroutine[None]:
        """Serves one connection of a gateway until it ends; its open calls are then cancelled."""
        limits, requester = self.settings.limits, None

        def bind(mid: str) -> Transactions | None:
            nonlocal requester
            requester = self.requesters.get(mid)
            if requester is None:
                raise ProtocolViolation(f"limit of {limits.gateways} gateways reached")
            if requester.stream is not None:
                requester.stream.close()  # replaced by the new connection
            requester.session, requester.stream = session, stream
            requester.transactions.close_all()  # sent on its earlier connection
            return requester.transactions

        session = Session(self.mid, Transactions(), stream.write, limits.message, bind)
        reason = "closed"
        try:
            while data := (yield from stream.read()):
                was_known = requester is not None
                for event in session.feed(self.kernel.now(), data):
                    assert requester is not None or isinstance(event, MalformedMessage)
                    if isinstance(event, NewRequest) and requester is not None:
                        self.handle_gateway_request(requester, event.request.id, event.request.actions)
                    elif isinstance(event, ReplyReceived) and isinstance(event.attachment, CutNotice):
                        assert requester is not None
                        requester.on_cut_confirmed(event.attachment)
                    elif isinstance(event, MalformedMessage):
                        self.counts.add("garbled")
                        self.log("warning", "malformed message", gateway=stream.peer, fault=str(event.error))
                if requester is not None and not was_known:
                    requester.resend_cut_notices()
                if stream.unsent > limits.unread:
                    reason = f"gateway left {stream.unsent} bytes unread"
                    stream.abort()
                    break
        except ConnectionLost as error:
            reason = str(error)
        except (ProtocolViolation, TooManyOpenRequests) as error:
            reason = f"bad peer: {error}"
            self.counts.add("bad_peers")
        finally:
            self.connection_count -= 1
            stream.close()
            if requester is not None and requester.stream is stream:
                requester.session = requester.stream = None
                requester.disconnected_at = self.kernel.now()
                self.storms.on_gateway_disconnected(requester)
                for call in [call for call in requester.calls.values() if call.state == OPEN]:
                    self.counts.add("left")
                    self.caller_left(call)
            self.log("info", "gateway gone", gateway=session.peer or stream.peer, why=reason)

    def handle_gateway_request(
        self, requester: Requester, transaction_id: int, actions: list[Action]
    ) -> None:
        """Handles a gateway's request, or replies with the error of what the profile does not have."""
        first = actions[0].commands[0]
        if len(actions) > 1 or len(actions[0].commands) > 1:
            requester.reply(
                transaction_id, f'Reply={transaction_id}{{Error=421{{"one command in a transaction"}}}}'
            )
        elif first.name == "Add":
            if actions[0].context != "$":
                requester.reply(
                    transaction_id,
                    package.command_reply(
                        transaction_id,
                        actions[0].context,
                        "Add",
                        first.termination,
                        (package.UNKNOWN_CONTEXT, "a call wants context $"),
                    ),
                )
            else:
                self.handle_add(requester, transaction_id, first, transit=False)
        elif first.name == "Subtract":
            self.handle_subtract(requester, transaction_id, actions[0], first)
        elif first.name == "ServiceChange":
            self.handle_service_change(requester, transaction_id, first)
        elif first.name in ("AuditValue", "Notify"):
            requester.reply(
                transaction_id,
                package.command_reply(transaction_id, actions[0].context, first.name, first.termination),
            )
        else:
            requester.reply(
                transaction_id,
                package.command_reply(
                    transaction_id,
                    actions[0].context,
                    first.name,
                    first.termination,
                    (443, "not in the profile"),
                ),
            )

    def handle_service_change(self, requester: Requester, transaction_id: int, command: Command) -> None:
        """Registers a gateway that (re)starts or reconnects, or tells it to restart later."""
        try:
            change = package.read_service_change(command)
        except BadValue as error:
            requester.reply(
                transaction_id,
                package.command_reply(
                    transaction_id, "-", "ServiceChange", command.termination, (package.BAD_VALUE, str(error))
                ),
            )
            return
        if change.method == "Disconnected":
            self.storms.on_gateway_connected(requester, len(self.requesters.known))
        wait = self.storms.restart_after(requester) if change.method in ("Restart", "Disconnected") else 0
        if wait:
            descriptors = f'Error={package.REFUSED}{{"restart later"}},Services{{ptl/wai={wait}}}'
            requester.reply(
                transaction_id,
                package.command_reply(
                    transaction_id, "-", "ServiceChange", command.termination, descriptors=descriptors
                ),
            )
            return
        if change.method == "Restart":
            requester.cut_notices.clear()
            for call in list(requester.calls.values()):  # a restarted gateway has lost its calls
                self.counts.add("orphans_released")
                self.release_call(call)
            requester.transactions.peer_restarted()
            requester.transactions.receive(self.kernel.now(), Request(transaction_id, []))
        requester.reply(
            transaction_id,
            package.command_reply(
                transaction_id,
                "-",
                "ServiceChange",
                command.termination,
                descriptors=f"Services{{Profile={package.PROFILE},ptc/run={self.run_id},"
                f"ptl/mwd={self.storms.waiting_delay(len(self.requesters.known))}}}",
            ),
        )

    # Exchange list.

    def follow_list(self) -> Coroutine[None]:
        """Receives the exchange list from the address `list`, and reconnects with exponential backoff."""
        links, rng = self.settings.links, self.kernel.random_for("list")
        wait = links.retry_least
        while True:
            reason = ""
            try:
                stream = yield from self.kernel.connect(
                    self.settings.list, links.dial_timeout, self.settings.label
                )
                stream.write(f"{self.settings.label}\n".encode())
                buffer = b""
                while True:
                    data = yield from stream.read()
                    if not data:
                        raise ConnectionLost("the list source closed the connection")
                    *lines, buffer = (buffer + data).split(b"\n")
                    if len(buffer) > listing.MAX_LINE_BYTES:
                        raise listing.BadLine(f"line longer than {listing.MAX_LINE_BYTES} bytes")
                    for line in lines:
                        list_line = listing.read_line(line)
                        self.apply_list(list_line.form, list_line.entries)
                        wait = links.retry_least
            except (ConnectFailed, ConnectionLost) as error:
                reason = str(error)
            except listing.BadLine as error:
                reason = f"bad line: {error}"
                stream.close()
            self.log("warning", "no list", why=reason)
            yield from self.kernel.sleep(round(wait * (1 + rng.random()) / 2))
            wait = min(2 * wait, links.retry_most)

    def registry(self) -> RegistryClient:
        """The client that follows the exchange list in the key-value registry."""
        links, registry_settings = self.settings.links, self.settings.registry
        return RegistryClient(
            self.kernel,
            registry_settings.endpoints,
            registry_settings.prefix,
            self.on_registry_update,
            self.log,
            self.counts.add,
            self.settings.label,
            links.dial_timeout,
            registry_settings.answer_timeout,
            registry_settings.quiet,
            registry_settings.retry_least,
            registry_settings.retry_most,
        )

    def on_registry_update(self, is_full: bool, update: MembershipUpdate) -> None:
        """Applies an update of the registry as rows of the exchange list.

        The start time is wall-clock time, which may be adjusted: an impossible age counts as unknown.
        """
        rows = []
        for member in update.members:
            entry = member.entry
            age = self.kernel.wall_time() - round(entry.started * 1e9) if entry.started else -1
            if not 0 <= age < 10**18:
                age = -1
            rows.append(listing.Row(member.name, entry.number, entry.state, entry.address, entry.zone, age))
        self.apply_list("full" if is_full else "delta", rows)

    def apply_list(self, form: str, rows: list[listing.Row]) -> None:
        """Applies rows of the exchange list, and opens and closes links to match.

        `form`: 'full' and 'cached' lists have all exchanges, 'delta' the changed ones; 'failed' reports that
        the list could not be read.
        """
        now = self.kernel.now()
        if form == "failed":
            self.post(api.ListUpdated("failed"))
            return
        if form in ("full", "cached"):
            present = {row.exchange for row in rows}
            for name, row in self.entries.items():
                if name not in present and row.state != "gone":
                    row.state = "gone"
                    self.guard.on_exchange_state(now, name, "gone", 0)
        entries = []
        for row in rows:
            started = now - row.age if row.age >= 0 else 0
            entries.append(api.Entry(row.exchange, row.number, row.state, started, row.zone))
            self.entries[row.exchange] = row
            if row.state == "ready" or row.number not in self.exchange_by_number:
                self.exchange_by_number[row.number] = row.exchange
            self.guard.on_exchange_state(now, row.exchange, row.state, started)
        self.post(api.ListUpdated(form, tuple(entries)))
        self.drop_gone_links()
        for name, row in list(self.entries.items()):
            link = self.links.get(name)
            if row.state == "gone":
                continue
            if row.address and link is None:
                self.links[name] = Link(
                    self.kernel,
                    self.settings,
                    self,
                    name,
                    row.address,
                    self.mid,
                    self.log,
                    self.first_transaction_id,
                    self.run_id,
                )
            elif link is not None:
                link.address = row.address or link.address
                link.unused_since = 0
        for row in rows:
            if row.number in self.groups:
                self.report_group(self.groups[row.number])
        if form != "cached":
            self.save_list(now)

    def drop_gone_links(self) -> None:
        """Closes the links to removed exchanges whose number another one has."""
        for name, row in list(self.entries.items()):
            link = self.links.get(name)
            if row.state == "gone" and link is not None and self.exchange_by_number.get(row.number) != name:
                self.drop_link(name, link)

    def drop_link(self, name: str, link: Link) -> None:
        """Closes the link to a removed exchange, unless a route try, a standing call or a release uses it.

        Releases that the exchange does not confirm keep the link only for a limited time, and not once
        another exchange has its address.
        """
        if any(route_try.link is link for route_try in self.terminations.values()):
            return
        link.unused_since = link.unused_since or self.kernel.now()
        is_within_retention = self.kernel.now() < link.unused_since + GONE_LINK_RETENTION
        if link.owes_releases and is_within_retention and not self.is_address_reused(link):
            return
        link.close()
        del self.links[name]
        self.entries.pop(name, None)

    def is_address_reused(self, link: Link) -> bool:
        """Whether the list has another exchange at the link's address."""
        return any(
            row.address == link.address and row.state != "gone"
            for name, row in self.entries.items()
            if name != link.exchange
        )

    def save_list(self, now: int) -> None:
        """Saves the list for the next start; a failure is only logged."""
        rows = [row for row in self.entries.values() if row.state != "gone"]
        try:
            self.store.save(listing.pack(now, rows))
        except OSError as error:
            self.log("warning", "exchange list not saved", why=str(error))
