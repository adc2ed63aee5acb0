"""The call agent in service: callers over SIP, exchanges over JSON lines, the control feed, one `Controller`.

One more front of `calls.core`: it turns what comes in on these wires into the module's events, and the
module's actions into what goes out. docs/platform.md has the tables of both.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from peattrestle import interface as api
from peattrestle.calls.core import ESTABLISHED, FAILED, OPEN, STOOD, Call, Core, Final, RouteTry, Unsent
from peattrestle.calls.core import REFUSED as BLOCKED
from peattrestle.calls.guard import Guard
from peattrestle.control import Controller
from peattrestle.exchangeline import lines
from peattrestle.feed.state import GONE, READY, Change, FeedState, Member
from peattrestle.platform import mapping
from peattrestle.platform.config import Config
from peattrestle.platform.connections import Caller, CallerConnections
from peattrestle.platform.follow import Follower
from peattrestle.platform.link import CONNECTIONS, Link, LinkConnection
from peattrestle.platform.releases import CallerReleases
from peattrestle.platform.request import BadSetUp, SetUpRequest, read_set_up
from peattrestle.platform.shutdown import carry_out
from peattrestle.policy.shutdown import ShutdownPlan, pause
from peattrestle.runtime import Coroutine, Kernel
from peattrestle.runtime.supervise import supervised
from peattrestle.sip import text as sip

MS = 1_000_000
ANSWER_MARGIN = 20 * MS  # before the abandon time, for what the loop and the wire take
SETTLE = 700 * MS  # the readiness test waits no longer for the exchanges' first words
SWEEP = 100 * MS
UNREACHED = 6000 * MS  # calls that stand at an exchange without a sign of life for so long are released
OWN_SOCKETS = 16  # listener, feed, signals, what is being dialled or closed, standard streams
MOST_CALLS = 8_000
MOST_OWED = 2_000
ENDED_KEPT = 8_000 * MS  # releases of calls not known here, for a set-up that tells of one later


@dataclass(slots=True, kw_only=True)
class Try(RouteTry):
    """`connection` is the connection it went out on, None while it waits for one."""

    link: Link
    connection: LinkConnection | None = None


@dataclass(slots=True, kw_only=True)
class SipCall(Call[Try]):
    """`caller` may be gone, and is None once the call is over. `fields`, `description` go with the answer."""

    asked: SetUpRequest
    caller: Caller | None
    fields: dict[str, str]
    description: str = ""
    released: int = lines.NORMAL  # the cause that its caller gave
    answered: bool = False


class Agent(Core[SipCall, Try]):
    """`log(level, text, **fields)` takes the log lines; `ended` is called when nothing is left to do."""

    def __init__(
        self, kernel: Kernel, config: Config, log: Callable[..., None], ended: Callable[[], None]
    ) -> None:
        settings = dict(config.settings)
        settings["step"] = max(settings.get("step", 0), ANSWER_MARGIN)
        get = settings.get
        guard = Guard(
            get("drain_grace", 0),
            get("release_time", 0),
            get("fall_time", 0),
            get("fall_multiple", 1.0),
            get("cold_time", 0),
        )
        super().__init__(kernel, Controller(config.seed, settings), guard, log, ANSWER_MARGIN)
        self.config, self.ended = config, ended
        self.tracing = True
        self.own_number: int = settings["own_number"]
        self.come_back_limit: int = get("come_back_limit", 0)
        self.holding = max(settings[f"holding:{one}"] for one in config.bearer_types)
        self.longest_deadline = max(
            get(f"abandon_time:{one}", 0) or settings[f"gos_target:{one}"] for one in config.bearer_types
        )
        self.dial_timeout: int = get("dial_timeout", 500 * MS)
        self.tags: dict[str, SipCall] = {}
        self.standing: dict[str, dict[str, SipCall]] = {}
        self.members: dict[str, Member] = {}
        self.links: dict[str, Link] = {}
        self.sizes: dict[str, float] = {}
        self.connections = CallerConnections(kernel, self, self.counts, log, self.most_callers)
        self.releases = CallerReleases(kernel, self.connections.held)
        self.owed_finishes: dict[str, deque[tuple[str, bytes]]] = {}
        self.ended_at: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.ready = False
        self.shutdown: ShutdownPlan | None = None
        self.refusing = False  # every set-up, in the last moments of a shutdown
        self.last_set_up_at = 0
        self.state = FeedState()
        self.follower: Follower | None = None

    # Start, new configuration, stop.

    def start(self) -> None:
        """Raises OSError where it can't listen."""
        self.connections.listen(self.config.listen)
        for change in self.state.apply_known(self.config.known):
            self.told(change)
        self.follower = Follower(self.kernel, self.state, self.config.feed, self.told, self.log)
        self.kernel.spawn(self.settle(), "settle")
        self.kernel.spawn(supervised(self.kernel, self.sweep, "sweep"), "sweep")

    def settle(self) -> Coroutine[None]:
        until = self.kernel.now() + SETTLE
        while self.kernel.now() < until and not all(one.up for one in self.links.values()):
            yield from self.kernel.sleep(5 * MS)
        self.ready = True
        up = sum(one.up for one in self.links.values())
        self.log("info", "ready", listen=self.config.listen, exchanges=len(self.links), up=up)

    def reload(self, config: Config) -> None:
        """A new configuration: the feed may be elsewhere; calls and numbers go on."""
        for change in self.state.apply_known(config.known):
            self.told(change)
        self.config = replace(self.config, feed=config.feed, sockets=config.sockets)
        if self.follower is not None:
            self.follower.move(config.feed)
        self.log("info", "configuration read again", feed=config.feed)

    def stop(self) -> None:
        """No test passes any more; ends when its shutdown plan says so, at the latest before the platform
        may kill it."""
        if self.shutdown is not None:
            return
        self.shutdown = ShutdownPlan.begin(self.kernel.now(), self.longest_deadline)
        length = (self.shutdown.close_at - self.shutdown.began_at) // MS
        self.log("info", "stopping", calls=len(self.calls), ends_within_ms=length)
        plan = self.shutdown
        self.kernel.spawn(supervised(self.kernel, lambda: carry_out(self, plan), "shutdown"), "shutdown")

    def answer_all_open(self, why: str) -> None:
        """Gives up on every call that still awaits its answer; its caller is told so."""
        for call in [one for one in self.calls.values() if one.state == OPEN]:
            self.counts.add("given_up")
            self.log("info", "call given up", reference=call.asked.tag, why=why)
            self.give_up(call)

    def refuses(self, asked: SetUpRequest, now: int) -> str:
        """Why a set-up that comes now is refused at once; '' where it is taken."""
        if len(self.calls) >= MOST_CALLS:
            return "at the bound of calls held"
        plan = self.shutdown
        target = self.config.settings[f"gos_target:{asked.bearer_type}"]
        if plan is not None and (self.refusing or not plan.takes(now, asked.patience, target)):
            return "too late in a shutdown"
        return ""

    def refuse(self, caller: Caller, asked: SetUpRequest, fields: dict[str, str], why: str) -> None:
        get = self.config.settings.get
        target = get(f"gos_target:{asked.bearer_type}", 0)
        if self.shutdown is None:
            come_back = self.come_back_limit
        else:
            allowed = get("come_back", False)
            come_back = pause(target, self.come_back_limit, allowed, asked.transit)
        self.counts.add("refused_at_bound" if self.shutdown is None else "refused_in_shutdown")
        self.log("debug", "call refused", reference=asked.tag, why=why)
        caller.stream.write(sip.answer(mapping.REFUSED, fields, retry_after_ms=come_back // MS))

    # The list.

    def told(self, change: Change) -> None:
        now, wall = self.kernel.now(), self.kernel.wall() // MS
        rows = list(change.members)
        if change.whole:
            present = {one.exchange for one in rows}
            for name, old in self.members.items():
                if name not in present:
                    rows.append(Member(name, old.number, GONE, old.address, old.zone, 0))
        entries = []
        for one in rows:
            started = max(1, now - (wall - one.born_ms) * MS) if one.born_ms else 0
            entries.append(api.Entry(one.exchange, one.number, one.state, started, one.zone))
            self.guard.told(now, one.exchange, one.state, started)
            before = self.members.get(one.exchange)
            if one.state == GONE:
                self.log("info", "exchange gone from the list", exchange=one.exchange)
                self.members.pop(one.exchange, None)
                self.sizes.pop(one.exchange, None)
                self.retire(one.exchange)
                if one.exchange not in self.links:
                    self.guard.exchanges.pop(one.exchange, None)
                continue
            if before is None or before.state != one.state:
                was = "" if before is None else before.state
                self.log("info", "exchange listed", exchange=one.exchange, state=one.state, before=was)
            self.members[one.exchange] = one
            if before is not None and one.born_ms > before.born_ms:
                self.started_anew(one.exchange, started)
            if one.number != self.own_number and (before is None or before.address != one.address):
                self.link_to(one)
        self.post(api.Listed("full" if change.whole else "delta", tuple(entries)))

    def link_to(self, member: Member) -> None:
        """It is new, back, or has moved: its address is its own from now on."""
        for name, other in list(self.links.items()):
            if name != member.exchange and other.address == member.address:
                self.taken_over(other)
        link = self.links.get(member.exchange)
        if link is None:
            self.links[member.exchange] = Link(
                self.kernel, self, member.exchange, member.address, self.dial_timeout
            )
        else:
            link.revive(member.address)

    def taken_over(self, link: Link) -> None:
        """Another exchange listens at its address, so its process is gone and all that it held: what its
        connections reach by now is the other one."""
        link.retired = True
        self.drop_link(link)
        for one in list(link.tries.values()):
            waited = one.connection is None
            self.try_over(one, "connect_failed" if waited else "reset", tell=False, cut_off=not waited)
        self.lose_all(link.exchange)

    def retire(self, exchange: str) -> None:
        """Its link is made no more; it stays while calls are out or stand there."""
        link = self.links.get(exchange)
        if link is not None:
            link.retired = True
            if not link.up:
                self.lose_all(exchange)

    def drop_link(self, link: Link) -> None:
        link.close()
        del self.links[link.exchange]
        self.owed_finishes.pop(link.exchange, None)
        if link.exchange not in self.members:
            self.guard.exchanges.pop(link.exchange, None)

    def started_anew(self, exchange: str, started_at: int) -> None:
        """What stood there before the start is gone."""
        for call in list(self.standing.get(exchange, {}).values()):
            if call.answered_try is not None and call.answered_try.sent_at < started_at:
                self.over(call, lines.RESET)

    def lose_all(self, exchange: str) -> None:
        for call in list(self.standing.get(exchange, {}).values()):
            self.over(call, lines.RESET)

    # Callers.

    def most_callers(self) -> int:
        """Two thirds of the descriptors, or what the exchanges leave; a third in any case."""
        sockets = self.config.sockets
        return max(sockets // 3, min(sockets * 2 // 3, sockets - OWN_SOCKETS - CONNECTIONS * len(self.links)))

    def connection_ended(self, caller: Caller) -> None:
        """What is open on it needs no answer any more."""
        self.releases.connection_ended(caller)
        for call in list(caller.open.values()):
            self.counts.add("left")
            self.caller_left(call)

    def heard(self, caller: Caller, message: sip.Message) -> None:
        match message.method:
            case "INVITE":
                self.asked(caller, message)
            case "BYE":
                call = self.tags.get(message.call_id)
                caller.stream.write(sip.answer(481 if call is None else 200, message.fields))
                if call is not None:
                    self.counts.add("released")
                    self.log("debug", "released by its caller", reference=message.call_id)
                    call.released = sip.cause_of(message)
                    self.finish(call)
            case "CANCEL":
                call = self.tags.get(message.call_id)
                caller.stream.write(sip.answer(481 if call is None else 200, message.fields))
                if call is not None and call.state == OPEN and call.caller is not None:
                    self.counts.add("left")
                    call.caller.stream.write(sip.answer(487, call.fields))
                    self.caller_left(call)
            case "OPTIONS":
                passed = self.ready and self.shutdown is None
                caller.stream.write(sip.answer(200 if passed else 503, message.fields))
            case "":
                if message.status and message.fields.get("cseq", "").endswith("BYE"):
                    self.releases.confirmed(message.call_id)
            case "ACK" | "NOTIFY":
                pass
            case _:
                caller.stream.write(sip.answer(501, message.fields))

    def asked(self, caller: Caller, message: sip.Message) -> None:
        now = self.last_set_up_at = self.kernel.now()
        try:
            asked = read_set_up(message, self.config.bearer_types)
        except BadSetUp as fault:
            self.counts.add("bad_set_ups")
            self.log("debug", "bad set-up", reference=message.call_id[:40], why=str(fault))
            caller.stream.write(sip.answer(400, message.fields))
            return
        if asked.established_exchange:
            self.stands_already(caller, asked, now)
            return
        if asked.tag in self.tags:
            self.counts.add("bad_set_ups")
            self.log("debug", "bad set-up", reference=asked.tag, why="its id is open already")
            caller.stream.write(sip.answer(482, message.fields))
            return
        why = self.refuses(asked, now)
        if why:
            self.refuse(caller, asked, message.fields, why)
            return
        abandon_at = now + asked.patience
        if self.shutdown is not None:
            abandon_at = self.shutdown.abandon_at(abandon_at)
        self.counts.add("transit_taken" if asked.transit else "taken")
        call = SipCall(
            self.next_id(),
            now,
            abandon_at,
            asked=asked,
            caller=caller,
            fields=message.fields,
        )
        self.tags[asked.tag] = caller.open[asked.tag] = call
        self.take(
            call,
            api.CallArrived(
                call.id,
                asked.bearer_type,
                call.abandon_at,
                asked.destination,
                asked.number,
                asked.width,
                asked.via,
                asked.transit,
                asked.cut_before,
            ),
        )

    def stands_already(self, caller: Caller, asked: SetUpRequest, now: int) -> None:
        """A call that stands since before this agent started: only its release is to be passed on."""
        known = self.tags.get(asked.tag)
        if known is not None:
            if known.state == ESTABLISHED and known.caller not in self.connections.held:
                known.caller = caller  # its own connection is gone: from here on this one is
            return
        if len(self.calls) >= MOST_CALLS:
            self.counts.add("refused_at_bound")
            return
        self.counts.add("taken_over")
        call = SipCall(self.next_id(), now, now, state=ESTABLISHED, asked=asked, caller=caller, fields={})
        link = self.links.get(asked.established_exchange)
        if link is None or self.ended_at.pop((asked.established_exchange, asked.tag), 0):
            self.send_release(call, lines.RESET if link is None else lines.NORMAL)
            return
        call.answered_try = Try(call, 0, asked.established_exchange, now, "stands", link=link)
        self.calls[call.id] = self.tags[asked.tag] = call
        self.standing.setdefault(asked.established_exchange, {})[asked.tag] = call

    def over(self, call: SipCall, cause: int) -> None:
        """A standing call has come to its end beyond us: its caller is told."""
        self.counts.add("ended" if cause == lines.NORMAL else "cut")
        self.log("debug", "call over", reference=call.asked.tag, cause=cause)
        if call.answered_try is not None:
            self.end_try(call.answered_try, tell=False)
        self.send_release(call, cause)
        self.forget(call)

    def send_release(self, call: SipCall, cause: int) -> None:
        data = sip.bye(call.asked.tag, call.asked.number, self.config.name, cause)
        self.releases.send(call.asked.tag, data, call.caller)

    # What the core asks of a front.

    def launch(self, call: SipCall, action: api.SetUp, number: int) -> Try | Unsent:
        link = self.links.get(action.exchange)
        if link is None or not link.up and not link.coming:
            return Unsent()
        asked = call.asked
        one = Try(call, number, action.exchange, self.kernel.now(), link=link)
        left = max(1, action.patience // MS)
        data = lines.encode_set_up(asked.tag, asked.bearer_type, asked.number, left, asked.description)
        link.set_up(one, asked.tag, data)
        return one

    def end_launched(self, one: Try, tell: bool) -> None:
        tag, link = one.call.asked.tag, one.link
        if one.state == "out":
            link.over(one, tag, lines.encode_release(tag, lines.NORMAL) if tell else b"")
            return
        there = self.standing.get(one.exchange, {})
        if there.pop(tag, None) is not None and not there:
            del self.standing[one.exchange]
        if tell:
            self.release_at(link, tag, lines.encode_release(tag, one.call.released))

    def release_at(self, link: Link, tag: str, data: bytes) -> None:
        """Tells the exchange that a call that stands there is released, now or on the next connection."""
        if not link.release(tag, data) and not link.retired:
            owed = self.owed_finishes.setdefault(link.exchange, deque(maxlen=MOST_OWED))
            owed.append((tag, data))

    def reply(self, call: SipCall, final: Final) -> None:
        self.counts.add(("transit_" if call.asked.transit else "") + final.kind)
        caller = call.caller
        call.answered = True
        if caller is None:
            return
        if final.kind == STOOD:
            data = sip.answer(mapping.STOOD, call.fields, call.description.encode())
        elif final.kind == BLOCKED:
            data = sip.answer(mapping.REFUSED, call.fields, retry_after_ms=-(-final.come_back // MS))
        else:
            data = sip.answer(mapping.OWN_FAULT if final.own_fault else mapping.FAILED, call.fields)
        caller.stream.write(data)
        caller.open.pop(call.asked.tag, None)
        if final.kind == STOOD:
            self.releases.stood_on(caller)
        self.connections.close_if_done(caller)
        call.fields, call.description = {}, ""

    def misanswered(self, call: SipCall) -> bool:
        """Its time is up: its caller is told that it failed, since a call without any answer is lost."""
        if call.answered:
            return False
        self.reply(call, Final(FAILED))
        return True

    def dropped(self, call: SipCall) -> None:
        tag = call.asked.tag
        if self.tags.get(tag) is call:
            del self.tags[tag]
        if call.caller is not None:
            call.caller.open.pop(tag, None)
            self.connections.close_if_done(call.caller)
        call.answered_try = call.pending_try = call.caller = None  # no cycles are left behind

    def named(self, call: SipCall) -> str:
        return call.asked.tag

    # Exchanges.

    def link_up(self, link: Link) -> None:
        self.log("info", "connected", exchange=link.exchange, waiting=len(link.waiting))
        waiting, link.waiting = link.waiting, {}
        member = self.members.get(link.exchange)
        for tag, data in waiting.items():
            if member is None or member.state != READY:  # it has begun to leave while they waited
                self.try_over(link.tries[tag], "connect_failed", tell=False, cut_off=False)
            else:
                link.set_up(link.tries[tag], tag, data)
        for tag, data in self.owed_finishes.pop(link.exchange, ()):
            link.release(tag, data)

    def link_lost(self, link: Link, tries: list[Try], unconfirmed: list[tuple[str, bytes]], why: str) -> None:
        self.log("warning", "connection lost", exchange=link.exchange, why=why, route_tries=len(tries))
        self.counts.add("connections_lost")
        self.not_sent(link)
        for tag, data in unconfirmed:
            self.release_at(link, tag, data)
        for one in tries:
            self.try_over(one, "reset", tell=False, cut_off=True)
        if link.retired and not link.up:
            self.lose_all(link.exchange)

    def not_sent(self, link: Link) -> None:
        """What waited for a connection never ran."""
        for tag in list(link.waiting):
            self.try_over(link.tries[tag], "connect_failed", tell=False, cut_off=False)

    def link_refused(self, link: Link, gone: bool) -> None:
        """`gone`: nothing listens there, so the process is gone, and with it the calls that stood; but not
        where it goes on speaking on another connection."""
        self.log("debug", "connection refused", exchange=link.exchange, nothing_listens=gone)
        self.not_sent(link)
        if gone and not link.up:
            self.lose_all(link.exchange)

    def link_heard(self, link: Link, connection: LinkConnection, line: lines.Line) -> None:
        verb = line.verb
        if verb == "LOAD" and connection is not link.first:
            return
        load = mapping.parse_load(line.opts["load"]) if "load" in line.opts else {}
        one = link.tries.get(line.tag)
        if one is not None and one.connection is not connection:
            one = None  # an answer to an earlier try of the same call
        if load:
            size = load.get("size", self.sizes.get(link.exchange, 0.0))
            if size != self.sizes.get(link.exchange) and link.exchange in self.members:
                self.sizes[link.exchange] = size
                self.guard.carried = sum(self.sizes.values()) / self.holding
        if verb == "STARTED":
            if one is None:
                self.counts.add("stray_answers")
            elif not line.blob:
                self.counts.add("spoilt_answers")
                self.try_over(one, "reset", tell=True, cut_off=True)
            else:
                link.over(one, line.tag, b"")
                one.call.description = line.blob
                self.standing.setdefault(link.exchange, {})[line.tag] = one.call
                self.stands(one, load)
                return
        elif verb == "FINISH":
            if one is not None:
                if not isinstance(line.rc, int):
                    raise lines.BadLine("a release without a cause")
                result = mapping.RESULTS.get(line.rc, "reset")
                cause = mapping.CAUSES.get(str(line.opts.get("note", "")), "")
                self.try_over(one, result, tell=False, cut_off=result == "reset", cause=cause, load=load)
                return
            self.ended_there(link, line)
        elif verb == "FINISHED":
            link.unconfirmed.pop(line.tag, None)
        elif verb == "ECHO":
            connection.write(lines.encode_probe_reply(line.tag))
        if load:
            self.post(api.Reported(link.exchange, "served", 0, load))

    def ended_there(self, link: Link, line: lines.Line) -> None:
        call = self.standing.get(link.exchange, {}).get(line.tag)
        if call is not None:
            self.over(call, lines.NORMAL if line.rc == lines.NORMAL else lines.RESET)
            return
        self.ended_at[link.exchange, line.tag] = self.kernel.now()
        if len(self.ended_at) > MOST_OWED:
            self.ended_at.popitem(last=False)

    # What time alone brings.

    def sweep(self) -> Coroutine[None]:
        while True:
            yield from self.kernel.sleep(SWEEP)
            now = self.kernel.now()
            self.connections.end_late(now)
            for name, link in list(self.links.items()):
                if link.retired and not link.tries and name not in self.standing:
                    self.drop_link(link)
                elif now - link.alive_at > UNREACHED:
                    self.lose_all(name)
                link.forget_unconfirmed(now)
            self.releases.expire(now)
            while self.ended_at and next(iter(self.ended_at.values())) < now - ENDED_KEPT:
                self.ended_at.popitem(last=False)
