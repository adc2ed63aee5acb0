"""The call agent: callers' port, links, list, guard and one `Controller`, all on one kernel.

Whatever comes in is turned into the module's events, and its actions into what goes out; docs/protocol.md has
the table of both. What every front shares (calls, route tries, batches, one final answer) is `calls.core`.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import replace

from peattrestle import interface as api
from peattrestle.agent import listing, mapping
from peattrestle.agent.calls import Call, RouteTry
from peattrestle.agent.link import Link, Release
from peattrestle.agent.registry import Registry
from peattrestle.agent.requester import Asker, Askers
from peattrestle.agent.storms import Storms
from peattrestle.calls.core import OPEN, REFUSED, STOOD, Core, Final, Log, Unsent
from peattrestle.calls.guard import Guard
from peattrestle.control import Controller
from peattrestle.h248 import package
from peattrestle.h248.package import BadValue, Outcome, SetUpAsked
from peattrestle.h248.session import BadPeer, Garbled, Heard, Session
from peattrestle.h248.text import Action, Command, Reply, Request
from peattrestle.h248.transactions import Answered, Full, New, Stray, Transactions
from peattrestle.membership.roll import Told
from peattrestle.runtime import Coroutine, Event, Kernel, Listener, Lost, Refused, Stream
from peattrestle.settings.agent import Agent as Settings

MS = 1_000_000
DRAIN_POLL = 10 * MS
OWN_FAULT = Outcome(package.FAILED, text="fault of the agent")


class CallAgent(Core[Call, RouteTry]):
    """`log(level, text, **fields)` takes the log lines. `controller` and `guard` are for tests."""

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
        self.sight = self.controller.sight
        self.mid = f"<{settings.label}>"
        self.started_at = kernel.now()
        # What a run of this agent names is told apart from what an earlier one named by the time it started.
        self.run_name = f"{self.started_at // MS:x}"
        self.first = self.started_at // MS % (1 << 31) + 1
        self.askers = Askers(
            limits.gateways, lambda: Transactions(self.first, limits.open_requests, limits.kept_replies)
        )
        self.own = Asker(f"exchange {settings.number}", Transactions())
        self.terminations: dict[str, RouteTry] = {}
        self.links: dict[str, Link] = {}
        self.entries: dict[str, listing.Row] = {}
        self.numbers: dict[int, str] = {}
        self.groups: dict[int, package.GroupFree] = {}
        self.connections = 0
        self.tracing = settings.log_level == "debug"
        self.storms = Storms(kernel, limits, log, self.counts.add, self.askers.known.values)
        self.open_for_calls = Event(kernel)
        self.address = ""
        self.listener: Listener | None = None
        self.draining = False
        self._holding = max(one.holding for one in settings.bearer)
        self._bearers = {one.label for one in settings.bearer}

    # Start and stop.

    def start(self) -> None:
        self.kernel.spawn(self.run(), f"agent {self.settings.label}")

    def run(self) -> Coroutine[None]:
        kept = listing.unpack(self.kernel.now(), self.store.load())
        if kept is not None:
            self.listed("cached", kept)
        if self.settings.registry.endpoints:
            self.kernel.spawn(self.registry().run(), "registry")
        else:
            self.kernel.spawn(self.follow_list(), "list")
        listener = self.listener = self.kernel.listen(self.settings.callers)
        self.address = listener.address
        yield from self.settle()
        self.open_for_calls.set()
        self.log("info", "ready", address=self.address, exchanges=len(self.links))
        self.kernel.spawn(self.sweep(), "sweep")
        self.kernel.spawn(self.storms.run(), "storms")
        while True:
            while (wait := self.storms.accept_after()) > 0:
                yield from self.kernel.sleep(wait)
            try:
                stream = yield from listener.accept()
            except Lost:
                return
            if self.connections >= self.settings.limits.connections:
                self.counts.add("connections_shed")
                stream.close()
                continue
            self.connections += 1
            self.kernel.spawn(self.gateway(stream), f"gateway {stream.peer}")

    def drain(self, ended: Callable[[], None]) -> None:
        """Takes no connection and no call any more; `ended` is called when each call has its final answer."""
        if self.draining:
            return
        self.draining = True
        open_calls = sum(call.state == OPEN for call in self.calls.values())
        self.log("info", "stopping", open=open_calls)
        if self.listener is not None:
            self.listener.close()
        self.kernel.spawn(self.until_answered(ended), "drain")

    def until_answered(self, ended: Callable[[], None]) -> Coroutine[None]:
        """Each open call is answered by its abandon time, so this ends."""
        while any(call.state == OPEN for call in self.calls.values()):
            yield from self.kernel.sleep(DRAIN_POLL)
        yield from self.kernel.sleep(DRAIN_POLL)  # the last answers go out
        ended()

    def stop(self) -> None:
        """Gives up listening and links; the callers' connections end with the kernel."""
        if self.listener is not None:
            self.listener.close()
        for link in list(self.links.values()):
            link.close()

    def settle(self) -> Coroutine[None]:
        """Until each link's first attempt has ended, but no longer than the setting says."""
        until = self.kernel.now() + self.settings.links.settle
        while self.kernel.now() < until:
            if self.links and all(link.tried for link in self.links.values()):
                return
            yield from self.kernel.sleep(5 * MS)

    def sweep(self) -> Coroutine[None]:
        """Standing calls of a gateway that has been gone for too long are released: nobody else would."""
        while True:
            yield from self.kernel.sleep(1000 * MS)
            old = self.kernel.now() - self.settings.orphan_time
            for asker in [*self.askers.known.values(), self.own]:
                if asker.session is None and asker.calls and asker.gone_at < old:
                    for call in list(asker.calls.values()):
                        self.counts.add("orphans_released")
                        self.finish(call)

    def worded(self, call: Call, final: Final) -> Outcome:
        """A final answer as the protocol has it."""
        if final.kind == STOOD:
            return Outcome(0, str(call.id))
        if final.kind != REFUSED:
            return OWN_FAULT if final.own_fault else Outcome(package.FAILED, text="failed")
        cause = ""
        if call.asker is self.own:  # a tandem tells the exchange before it who was full: itself, or beyond
            cause = "beyond_full" if call.cause == "processor_full" else "turned_back"
        return Outcome(package.REFUSED, text="refused", come_back=final.come_back, cause=cause)

    # Calls: in.

    def add(self, asker: Asker, number: int, command: Command, transit: bool) -> None:
        now = self.kernel.now()
        try:
            asked = package.read_add(command)
            if asked.bearer_type not in self._bearers:
                raise BadValue(f"ptc/brt: no bearer type '{asked.bearer_type}'")
        except BadValue as fault:
            self.counts.add("bad_requests")
            asker.reply(
                number,
                package.command_reply(
                    number, "$", "Add", command.termination, (package.BAD_VALUE, str(fault).replace('"', "'"))
                ),
            )
            return
        if asked.termination in asker.calls:
            self.counts.add("bad_requests")
            asker.reply(
                number,
                package.command_reply(
                    number,
                    "$",
                    "Add",
                    command.termination,
                    (package.TWICE, "the termination is in a context"),
                ),
            )
            return
        self.counts.add("transit_taken" if transit else "taken")
        if self.draining or len(self.calls) >= self.settings.limits.calls:
            self.counts.add("refused_in_shutdown" if self.draining else "refused_at_bound")
            self.counts.add("transit_refused" if transit else "refused")
            asker.reply(
                number,
                package.outcome_text(
                    number,
                    asked.termination,
                    Outcome(
                        package.REFUSED,
                        text="shutting down" if self.draining else "as many calls as can be held",
                        come_back=self.settings.rules.come_back_limit,
                    ),
                ),
            )
            return
        call = Call(
            self.next_id(),
            now,
            now + asked.patience,
            asker=asker,
            transaction=number,
            asked=asked,
        )
        if not transit:
            wanted = (asker.name, asked.bearer_type, asked.destination, asked.number)
            call.seen = self.sight.asked(now, wanted, asked.repeat, asked.cut_before)
            self.storms.watch.call(now, call.seen, asker.name)
        asker.calls[asked.termination] = call
        call.pending = self.kernel.at(now + self.settings.limits.pending_after, lambda: self.still_at(call))
        via = asked.origin if transit else asked.via
        arrived = api.CallArrived(
            call.id,
            asked.bearer_type,
            call.abandon_at,
            asked.destination,
            asked.number,
            asked.width,
            via,
            transit,
            asked.cut_before,
            asked.repeat,
            asked.customer,
            "" if transit else asker.name,
            seen=call.seen,
        )
        if not transit and not self.storms.lets(asker.name, self.controller.worth(arrived, call.seen)):
            call.held = True
            arrived = replace(arrived, held=True)
        self.take(call, arrived)

    def still_at(self, call: Call) -> None:
        """H.248's word for a slow request, said once; the final answer is still to come."""
        if call.state == OPEN and call.asker.session is not None:
            call.asker.session.send(f"Pending={call.transaction}{{}}")

    def subtract(self, asker: Asker, number: int, action: Action, command: Command) -> None:
        call = asker.calls.get(command.termination)
        if call is None:
            asker.reply(
                number,
                package.command_reply(
                    number,
                    action.context,
                    "Subtract",
                    command.termination,
                    (package.UNKNOWN_TERMINATION, "no such termination"),
                ),
            )
            return
        asker.reply(number, package.command_reply(number, str(call.id), "Subtract", command.termination))
        prefix = "transit_" if asker is self.own else ""
        if call.state == OPEN:
            self.counts.add(prefix + "left")
            self.caller_left(call)
        else:
            self.counts.add(prefix + "released")
            self.finish(call)

    def caller_left(self, call: Call) -> None:
        """No answer is owed; a repeat of the request is told that it failed."""
        super().caller_left(call)
        call.asker.transactions.answer(
            call.transaction,
            package.outcome_text(
                call.transaction, call.asked.termination, Outcome(package.FAILED, text="the caller left")
            ),
        )

    def dropped(self, call: Call) -> None:
        if call.pending is not None:
            call.pending.cancel()
        call.asker.calls.pop(call.asked.termination, None)

    def named(self, call: Call) -> str:
        return call.asked.reference

    # Calls: out.

    def launch(self, call: Call, action: api.SetUp, number: int) -> RouteTry | Unsent:
        asked, link = call.asked, self.links.get(action.exchange)
        own = self.links.get(self.numbers.get(self.settings.number, ""))
        if own is not None and not own.up:
            # Without its own exchange nothing starts here: the set-up's first leg is there.
            return Unsent("moot", "processor_full")
        if link is None:
            return Unsent()
        one = RouteTry(
            call,
            number,
            action.exchange,
            self.kernel.now(),
            link=link,
            termination=f"t/{self.settings.label}/{self.run_name}/{call.id}/{number}",
        )
        row = self.entries[action.exchange]
        sent = link.set_up(
            one,
            SetUpAsked(
                one.termination,
                asked.bearer_type,
                asked.destination,
                action.patience,
                asked.number,
                asked.width,
                transit=row.number == asked.destination and asked.transit,
                repeat=asked.repeat,
                cut_before=asked.cut_before,
                customer=asked.customer,
                reference=asked.reference,
                origin=self.settings.number,
            ),
        )
        if not sent:
            return Unsent()
        self.terminations[one.termination] = one
        return one

    def end_launched(self, one: RouteTry, tell: bool) -> None:
        """`tell`: by a Subtract."""
        if one.state == "out":
            one.link.transactions.give_up(one.transaction)
        self.terminations.pop(one.termination, None)
        if tell:
            one.link.release(one.context, one.termination, one.call.id)

    def reply(self, call: Call, final: Final) -> None:
        if call.pending is not None:
            call.pending.cancel()
        self.counts.add(("transit_" if call.asker is self.own else "") + final.kind)
        if call.asker is not self.own and final.kind == STOOD:
            self.storms.door.stood(self.kernel.now())
        elif call.asker is not self.own and not call.held:
            self.storms.door.refused(self.kernel.now())
        call.asker.reply(
            call.transaction,
            package.outcome_text(call.transaction, call.asked.termination, self.worded(call, final)),
        )

    def misanswered(self, call: Call) -> bool:
        if not call.asker.transactions.owes(call.transaction):
            return False
        call.asker.transactions.answer(
            call.transaction, package.outcome_text(call.transaction, call.asked.termination, OWN_FAULT)
        )
        return True

    # Links and their news.

    def link_up(self, link: Link) -> None:
        self.log("info", "link up", exchange=link.exchange, address=link.address)
        if self.is_own(link.exchange):
            self.own.session, self.own.stream = link.session, link.stream
            self.own.transactions = link.transactions

    def greeted(self, link: Link, reply: Reply) -> None:
        """An exchange says itself how long it has run: sooner than the list does, which is seconds late."""
        found = package.first_command(reply.actions)
        services = found[1].find("Services") if found is not None else None
        age = services.find("ptc/age") if services is not None else None
        row = self.entries.get(link.exchange)
        if age is None or row is None or re.fullmatch("[0-9]{1,18}", age.value or "") is None:
            return
        now = self.kernel.now()
        row.age = int(age.value or 0)
        self.guard.told(now, row.exchange, row.state, now - row.age)
        entry = api.Entry(row.exchange, row.number, row.state, now - row.age, row.zone)
        self.post(api.Listed("delta", (entry,)))
        # The reply may have been long on its way: what stood before is only gone if it was set up before the
        # earliest start that the age allows.
        self.forgotten(link, link.greeted_at - row.age)

    def forgotten(self, link: Link, started_at: int) -> None:
        """An exchange that started anew holds nothing of before: calls through it are cut, and the transit
        calls that the own one had asked for are nobody's any more."""
        for one in [one for one in self.terminations.values() if one.link is link]:
            if one.state == "stands" and one.sent_at < started_at:
                self.cut(one)
        if self.is_own(link.exchange):
            for call in [call for call in self.own.calls.values() if call.arrived < started_at]:
                self.counts.add("orphans_released")
                self.finish(call)

    def is_own(self, exchange: str) -> bool:
        return self.numbers.get(self.settings.number) == exchange

    def link_lost(self, link: Link, tries: list[RouteTry], why: str) -> None:
        self.log("warning", "link lost", exchange=link.exchange, why=why, route_tries=len(tries))
        for one in tries:
            if one.state == "out":
                self.counts.add("resets")
                self.try_over(one, "reset", tell=True, cut_off=True)
        if self.is_own(link.exchange):
            self.own.session = self.own.stream = None
            self.own.gone_at = self.kernel.now()
            for call in [one for one in self.own.calls.values() if one.state == OPEN]:
                self.counts.add("transit_left")
                self.caller_left(call)

    def link_heard(self, link: Link, heard: Heard) -> None:
        match heard:
            case Answered(RouteTry() as one, reply):
                self.outcome(one, package.read_outcome(reply))
            case Answered(Release() as release, reply):
                link.released(release, package.refusal(reply))
                found = package.first_command(reply.actions)
                if found is not None:
                    statistics = found[1].find("Statistics")
                    load = package.read_load(statistics.items or ()) if statistics else {}
                    if load:
                        self.post(api.Reported(link.exchange, "served", 0, load))
            case Answered("hello", reply):
                self.greeted(link, reply)
            case New(request):
                self.exchange_asks(link, request.id, request.actions)
            case Stray(number):
                self.counts.add("stray_replies")
                self.log(
                    "debug", "a reply to nothing that is open", exchange=link.exchange, transaction=number
                )
            case Garbled(fault):
                self.counts.add("garbled")
                self.log("warning", "garbled message", exchange=link.exchange, fault=str(fault))
            case _:
                pass

    def outcome(self, one: RouteTry, outcome: Outcome) -> None:
        if one.state != "out":
            return
        if outcome.code:
            result, cause = mapping.result_of(outcome)
            self.try_over(
                one, result, tell=False, cut_off=False, cause=cause, wait=outcome.wait, load=outcome.load
            )
            return
        one.context = outcome.context
        self.stands(one, outcome.load)

    def exchange_asks(self, link: Link, number: int, actions: list[Action]) -> None:
        """Requests of an exchange: group sizes, cuts; from the own one also calls in transit."""
        session = link.session
        if session is None:
            return
        for action in actions:
            for command in action.commands:
                if command.name == "Add" and self.is_own(link.exchange):
                    self.own.session, self.own.transactions = session, link.transactions
                    self.add(self.own, number, command, transit=True)
                    return
                if command.name == "Subtract" and self.is_own(link.exchange):
                    self.subtract(self.own, number, action, command)
                    return
                if command.name == "Notify":
                    self.notified(link, command)
                elif command.name not in ("ServiceChange", "AuditValue"):
                    session.reply(
                        number,
                        package.command_reply(
                            number,
                            action.context,
                            command.name,
                            command.termination,
                            (443, "not for an agent"),
                        ),
                    )
                    return
        first = actions[0].commands[0]
        session.reply(
            number, package.command_reply(number, actions[0].context, first.name, first.termination)
        )

    def notified(self, link: Link, command: Command) -> None:
        try:
            for group in package.read_groups(command):
                self.groups[group.to] = group
                self.report_group(group)
        except BadValue as fault:
            self.log("warning", "bad group report", exchange=link.exchange, fault=str(fault))
        if package.is_cut(command):
            one = self.terminations.get(command.termination)
            if one is None:
                return
            if one.state == "out":
                self.try_over(one, "reset", tell=True, cut_off=True)
            elif one.state == "stands":
                self.cut(one)

    def cut(self, one: RouteTry) -> None:
        """A standing call was cut beyond us: its asker is told."""
        call = one.call
        self.counts.add("cut")
        if call.seen is not None:
            self.storms.watch.cut(self.kernel.now(), call.asker.name)
        self.end_try(one, tell=False)
        self.forget(call)
        self.post(api.TryEnded(call.id, one.exchange, "reset", 0, one.number, True))
        call.asker.tell(
            lambda number: package.notify_text(number, str(call.id), call.asked.termination, ["ptc/cut"])
        )

    def report_group(self, group: package.GroupFree) -> None:
        exchange = self.numbers.get(group.to)
        if exchange is not None and group.to != self.settings.number:
            self.post(api.Reported(exchange, "served", 0, {"free": group.free, "size": group.size}))
            circuits = sum(one.size for one in self.groups.values())
            self.guard.carried = circuits / self._holding

    # Gateways.

    def gateway(self, stream: Stream) -> Coroutine[None]:
        limits, asker = self.settings.limits, None

        def bind(mid: str) -> Transactions | None:
            nonlocal asker
            asker = self.askers.get(mid)
            if asker is None:
                raise BadPeer(f"{limits.gateways} gateways are known already")
            if asker.stream is not None:
                asker.stream.close()  # a gateway that comes again has given its old connection up
            asker.session, asker.stream = session, stream
            return asker.transactions

        session = Session(self.mid, Transactions(), stream.write, limits.message, bind)
        why = "closed"
        try:
            while data := (yield from stream.read()):
                for heard in session.feed(self.kernel.now(), data):
                    assert asker is not None or isinstance(heard, Garbled)
                    if isinstance(heard, New) and asker is not None:
                        self.gateway_asks(asker, heard.request.id, heard.request.actions)
                    elif isinstance(heard, Garbled):
                        self.counts.add("garbled")
                        self.log("warning", "garbled message", gateway=stream.peer, fault=str(heard.fault))
                if stream.unsent > limits.unread:
                    why = f"it left {stream.unsent} bytes unread"
                    stream.abort()
                    break
        except Lost as fault:
            why = str(fault)
        except (BadPeer, Full) as fault:
            why = f"bad peer: {fault}"
            self.counts.add("bad_peers")
        finally:
            self.connections -= 1
            stream.close()
            if asker is not None and asker.stream is stream:
                asker.session = asker.stream = None
                asker.gone_at = self.kernel.now()
                self.storms.gone(asker)
                for call in [one for one in asker.calls.values() if one.state == OPEN]:
                    self.counts.add("left")
                    self.caller_left(call)
            self.log("info", "gateway gone", gateway=session.peer or stream.peer, why=why)

    def gateway_asks(self, asker: Asker, number: int, actions: list[Action]) -> None:
        first = actions[0].commands[0]
        if len(actions) > 1 or len(actions[0].commands) > 1:
            asker.reply(number, f'Reply={number}{{Error=421{{"one command in a transaction"}}}}')
        elif first.name == "Add":
            if actions[0].context != "$":
                asker.reply(
                    number,
                    package.command_reply(
                        number,
                        actions[0].context,
                        "Add",
                        first.termination,
                        (package.UNKNOWN_CONTEXT, "a call wants context $"),
                    ),
                )
            else:
                self.add(asker, number, first, transit=False)
        elif first.name == "Subtract":
            self.subtract(asker, number, actions[0], first)
        elif first.name == "ServiceChange":
            self.gateway_changes(asker, number, first)
        elif first.name in ("AuditValue", "Notify"):
            asker.reply(
                number, package.command_reply(number, actions[0].context, first.name, first.termination)
            )
        else:
            asker.reply(
                number,
                package.command_reply(
                    number, actions[0].context, first.name, first.termination, (443, "not in the profile")
                ),
            )

    def gateway_changes(self, asker: Asker, number: int, command: Command) -> None:
        try:
            change = package.read_service_change(command)
        except BadValue as fault:
            asker.reply(
                number,
                package.command_reply(
                    number, "-", "ServiceChange", command.termination, (package.BAD_VALUE, str(fault))
                ),
            )
            return
        if change.method == "Disconnected":
            self.storms.connected(asker, len(self.askers.known))
        wait = self.storms.restart_after(asker) if change.method in ("Restart", "Disconnected") else 0
        if wait:
            later = f'Error={package.REFUSED}{{"restart later"}},Services{{ptl/wai={wait}}}'
            asker.reply(
                number,
                package.command_reply(number, "-", "ServiceChange", command.termination, inside=later),
            )
            return
        if change.method == "Restart":
            for call in list(asker.calls.values()):  # it has forgotten them
                self.counts.add("orphans_released")
                self.finish(call)
            asker.transactions.restarted()
            asker.transactions.receive(self.kernel.now(), Request(number, []))
        asker.reply(
            number,
            package.command_reply(
                number,
                "-",
                "ServiceChange",
                command.termination,
                inside=f"Services{{Profile={package.PROFILE},ptc/run={self.run_name},"
                f"ptl/mwd={self.storms.waiting_delay(len(self.askers.known))}}}",
            ),
        )

    # The list.

    def follow_list(self) -> Coroutine[None]:
        links, draw = self.settings.links, self.kernel.chance("list")
        wait = links.retry_least
        while True:
            why = ""
            try:
                stream = yield from self.kernel.connect(
                    self.settings.list, links.dial_timeout, self.settings.label
                )
                stream.write(f"{self.settings.label}\n".encode())
                held = b""
                while True:
                    data = yield from stream.read()
                    if not data:
                        raise Lost("the list's source closed")
                    *lines, held = (held + data).split(b"\n")
                    if len(held) > listing.MOST_LINE:
                        raise listing.BadLine(f"a line longer than {listing.MOST_LINE} bytes")
                    for line in lines:
                        read = listing.read_line(line)
                        self.listed(read.form, read.entries)
                        wait = links.retry_least
            except (Refused, Lost) as fault:
                why = str(fault)
            except listing.BadLine as fault:
                why = f"bad line: {fault}"
                stream.close()
            self.log("warning", "no list", why=why)
            yield from self.kernel.sleep(round(wait * (1 + draw.random()) / 2))
            wait = min(2 * wait, links.retry_most)

    def registry(self) -> Registry:
        links, given = self.settings.links, self.settings.registry
        return Registry(
            self.kernel,
            given.endpoints,
            given.prefix,
            self.registered,
            self.log,
            self.counts.add,
            self.settings.label,
            links.dial_timeout,
            given.answer_timeout,
            given.quiet,
            given.retry_least,
            given.retry_most,
        )

    def registered(self, whole: bool, told: Told) -> None:
        """What the roll says, as the list's rows. `started` is told by a clock that may be set: an age that
        can't be is none."""
        rows = []
        for member in told.members:
            entry = member.entry
            age = self.kernel.wall() - round(entry.started * 1e9) if entry.started else -1
            if not 0 <= age < 10**18:
                age = -1
            rows.append(listing.Row(member.name, entry.number, entry.state, entry.address, entry.zone, age))
        self.listed("full" if whole else "delta", rows)

    def listed(self, form: str, rows: list[listing.Row]) -> None:
        now = self.kernel.now()
        if form == "failed":
            self.post(api.Listed("failed"))
            return
        if form in ("full", "cached"):
            present = {row.exchange for row in rows}
            for name, row in self.entries.items():
                if name not in present and row.state != "gone":
                    row.state = "gone"
                    self.guard.told(now, name, "gone", 0)
        entries = []
        for row in rows:
            started = now - row.age if row.age >= 0 else 0
            entries.append(api.Entry(row.exchange, row.number, row.state, started, row.zone))
            self.entries[row.exchange] = row
            if row.state == "ready" or row.number not in self.numbers:
                self.numbers[row.number] = row.exchange
            self.guard.told(now, row.exchange, row.state, started)
        self.post(api.Listed(form, tuple(entries)))
        for name, row in list(self.entries.items()):
            link = self.links.get(name)
            if row.state == "gone":
                # Its link stays while calls stand there or releases are owed; the sweep of links ends it.
                if link is not None and self.numbers.get(row.number) != name:
                    self.drop_link(name, link)
            elif row.address and link is None:
                self.links[name] = Link(
                    self.kernel,
                    self.settings,
                    self,
                    name,
                    row.address,
                    self.mid,
                    self.log,
                    self.first,
                    self.run_name,
                )
            elif link is not None and row.address and link.address != row.address:
                link.address = row.address
        for row in rows:
            if row.number in self.groups:
                self.report_group(self.groups[row.number])
        if form != "cached":
            self.keep_list(now)

    def drop_link(self, name: str, link: Link) -> None:
        if not any(one.link is link for one in self.terminations.values()):
            link.close()
            del self.links[name]
            self.entries.pop(name, None)

    def keep_list(self, now: int) -> None:
        rows = [row for row in self.entries.values() if row.state != "gone"]
        try:
            self.store.save(listing.pack(now, rows))
        except OSError as fault:
            self.log("warning", "the list was not kept", why=str(fault))
