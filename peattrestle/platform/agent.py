"""The platform's call agent: SIP callers, JSON-lines exchanges, and the exchange list of the control feed.

`Agent` is the front end of `peattrestle.calls.core` for these protocols. It decides

- whether a new set-up is accepted: up to `MAX_CALLS` calls and within the memory limit, and during a shutdown
  only those that can still be answered in time;
- when a call is over although nobody released it: its exchange restarted, left its address, refuses
  connections after one was broken, or gave no sign of life for `UNREACHABLE_TIMEOUT`;
- where a release is sent, and how long it is kept while there is no connection to send it on.

Routing is decided by the controller. docs/platform.md maps messages to the controller's events and actions.
All times are nanoseconds of the kernel's clock.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace

from peattrestle import interface as api
from peattrestle.calls.core import (
    ANSWERED,
    ESTABLISHED,
    FAILED,
    OPEN,
    REFUSED,
    Core,
    FinalAnswer,
    Unsent,
)
from peattrestle.calls.guard import Guard
from peattrestle.control import Controller
from peattrestle.exchangeline import lines
from peattrestle.feed.state import GONE, READY, Change, FeedState, Member
from peattrestle.platform import mapping, memory
from peattrestle.platform.adopted import AdoptedCalls
from peattrestle.platform.call_ids import RecentCallIds
from peattrestle.platform.calls import SipCall
from peattrestle.platform.config import Config
from peattrestle.platform.connections import Caller, CallerConnections, CallerEvidence
from peattrestle.platform.exchange_calls import ExchangeCalls
from peattrestle.platform.exchange_releases import EarlyReleases, ExchangeRelease, UndeliveredReleases
from peattrestle.platform.follow import Follower
from peattrestle.platform.link import CONNECTIONS_PER_LINK, ConnectionEnd, Link, LinkConnection, LinkTry
from peattrestle.platform.releases import CallerReleases
from peattrestle.platform.request import BadSetUp, SetUpRequest, is_call_id, read_set_up
from peattrestle.platform.shutdown import run_shutdown
from peattrestle.policy.shutdown import ShutdownPlan, retry_delay
from peattrestle.runtime import Coroutine, Kernel
from peattrestle.runtime.supervise import supervised
from peattrestle.sip import text as sip

MS = 1_000_000  # nanoseconds
ANSWER_MARGIN = 20 * MS  # before the abandon time, for event-loop and network delays
READINESS_TIMEOUT = 700 * MS  # the agent is ready by then, even without its exchanges
SWEEP_INTERVAL = 100 * MS
UNREACHABLE_TIMEOUT = 6000 * MS  # without a sign of life from an exchange, its calls are over
RESERVED_SOCKETS = 16  # listener, feed, signals, connections being opened or closed, standard streams
MAX_CALLS = 8_000  # within the memory limit, see `peattrestle.platform.memory`
MAX_STORED_RELEASES = 8_000  # within the memory limit; as many as calls are held


class Agent(Core[SipCall, LinkTry]):
    """The call agent; log lines go to `log(level, text, **fields)`, `on_stopped` is called after a shutdown.

    `exchange_calls` are the established calls, `calls_by_tag` all calls by Call-ID. `group_sizes` are the
    trunk group sizes that the exchanges report. `undelivered_releases` wait for a connection to their
    exchange; `early_releases` were received for calls that are not known here (yet).
    `resident` is the memory that the process uses before it serves anyone, `held_bytes` what all calls hold.
    """

    def __init__(
        self,
        kernel: Kernel,
        config: Config,
        log: Callable[..., None],
        on_stopped: Callable[[], None],
        resident: int = memory.DEFAULT_RESIDENT,
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
        self.config, self.on_stopped, self.resident = config, on_stopped, resident
        self.held_bytes = 0
        self.adopted_calls = AdoptedCalls()
        self.recent_call_ids = RecentCallIds()
        self.tracing = True
        self.own_number: int = settings["own_number"]
        self.max_retry_after: int = get("come_back_limit", 0)
        self.holding_time = max(settings[f"holding:{bearer_type}"] for bearer_type in config.bearer_types)
        self.longest_deadline = max(
            get(f"abandon_time:{bearer_type}", 0) or settings[f"gos_target:{bearer_type}"]
            for bearer_type in config.bearer_types
        )
        self.dial_timeout: int = get("dial_timeout", 500 * MS)
        self.calls_by_tag: dict[str, SipCall] = {}
        self.exchange_calls = ExchangeCalls(kernel.now())
        self.members: dict[str, Member] = {}
        self.links: dict[str, Link] = {}
        self.group_sizes: dict[str, float] = {}
        self.memory_plan = self.plan_memory()
        self.connections = CallerConnections(kernel, self, self.counts, log)
        self.releases = CallerReleases(
            kernel, self.connections.active, self.counts, log, lambda: self.memory_plan.releases
        )
        self.undelivered_releases = UndeliveredReleases()
        self.early_releases = EarlyReleases()
        self.ready = False
        self.shutdown: ShutdownPlan | None = None
        self.refusing_all = False  # refuse every set-up, in the last moments of a shutdown
        self.last_set_up_at = 0
        self.feed_state = FeedState()
        self.follower: Follower | None = None

    # Start, new configuration, stop.

    def start(self) -> None:
        """Starts serving. Raises OSError if it cannot listen."""
        self.connections.listen(self.config.listen)
        for change in self.feed_state.apply_known(self.config.known):
            self.apply_change(change)
        self.exchange_calls.restarts.on_known_starts_applied()
        self.follower = Follower(self.kernel, self.feed_state, self.config.feed, self.apply_change, self.log)
        self.kernel.spawn(self.wait_for_exchanges(), "readiness")
        self.kernel.spawn(supervised(self.kernel, self.sweep, "sweep"), "sweep")

    def wait_for_exchanges(self) -> Coroutine[None]:
        """Becomes ready when all links are up, at the latest after the readiness timeout."""
        deadline = self.kernel.now() + READINESS_TIMEOUT
        while self.kernel.now() < deadline and not all(link.is_up for link in self.links.values()):
            yield from self.kernel.sleep(5 * MS)
        self.ready = True
        up = sum(link.is_up for link in self.links.values())
        self.log("info", "ready", listen=self.config.listen, exchanges=len(self.links), up=up)

    def reload(self, config: Config) -> None:
        """Applies a new configuration: known events, the feed's address, and the socket and memory limits.

        Calls and event numbers continue; other settings keep their values.
        """
        for change in self.feed_state.apply_known(config.known):
            self.apply_change(change)
        self.config = replace(
            self.config, feed=config.feed, sockets=config.sockets, memory_mb=config.memory_mb
        )
        self.memory_plan = self.plan_memory()
        if self.follower is not None:
            self.follower.set_address(config.feed)
        self.log("info", "configuration reloaded", feed=config.feed)

    def stop(self) -> None:
        """Starts a shutdown, which ends before the platform may kill the process.

        Readiness checks fail from now on. Later calls do nothing.
        """
        if self.shutdown is not None:
            return
        self.shutdown = ShutdownPlan.begin(self.kernel.now(), self.longest_deadline)
        duration_ms = (self.shutdown.close_at - self.shutdown.began_at) // MS
        self.log("info", "stopping", calls=len(self.calls), ends_within_ms=duration_ms)
        plan = self.shutdown
        self.kernel.spawn(supervised(self.kernel, lambda: run_shutdown(self, plan), "shutdown"), "shutdown")

    def fail_open_calls(self, why: str) -> None:
        """Answers every open call as failed."""
        for call in [call for call in self.calls.values() if call.state == OPEN]:
            self.counts.add("given_up")
            self.log("info", "call given up", reference=call.request.tag, why=why)
            self.fail_call(call)

    def plan_memory(self) -> memory.MemoryPlan:
        """Returns the bounds that follow from the configured limits, and sets those of the controller."""
        limit = self.config.memory_mb * memory.MIB
        plan = memory.plan_memory(limit, self.resident, self.max_caller_connections())
        self.controller.retry_detector.max_unserved = plan.unserved_tries
        return plan

    def max_buffered_bytes(self) -> int:
        """Returns the limit of bytes buffered for all callers' connections together."""
        return self.memory_plan.buffers

    def fits(self, size: int) -> bool:
        """Whether another call of `size` bytes can be held."""
        return len(self.calls) < MAX_CALLS and self.held_bytes + size <= self.memory_plan.calls

    def refusal_reason(self, request: SetUpRequest, now: int, size: int) -> str:
        """Returns why a new set-up of `size` bytes is refused without routing it, '' if it is accepted."""
        if not self.fits(size):
            return "call limit reached"
        plan = self.shutdown
        target = self.config.settings[f"gos_target:{request.bearer_type}"]
        if plan is not None and (self.refusing_all or not plan.accepts(now, request.patience, target)):
            return "too late in a shutdown"
        return ""

    def refuse(self, caller: Caller, request: SetUpRequest, fields: dict[str, str], why: str) -> None:
        """Refuses a set-up before it becomes a call, with retry-after advice."""
        get = self.config.settings.get
        target = get(f"gos_target:{request.bearer_type}", 0)
        if self.shutdown is None:
            retry_after = self.max_retry_after
        else:
            allowed = get("come_back", False)
            retry_after = retry_delay(target, self.max_retry_after, allowed, request.transit)
        self.counts.add("refused_at_bound" if self.shutdown is None else "refused_in_shutdown")
        self.log("debug", "call refused", reference=request.tag, why=why)
        caller.stream.write(sip.answer(mapping.REFUSED, fields, retry_after_ms=retry_after // MS))

    # The exchange list.

    def apply_change(self, change: Change) -> None:
        """Applies a change of the exchange list to links, calls, guard and controller."""
        now, wall_ms = self.kernel.now(), self.kernel.wall_time() // MS
        changed_members = list(change.members)
        if change.is_full:
            present = {member.exchange for member in changed_members}
            for name, old in self.members.items():
                if name not in present:
                    changed_members.append(Member(name, old.number, GONE, old.address, old.zone, 0))
        entries = []
        for member in changed_members:
            started_at = max(1, now - (wall_ms - member.born_ms) * MS) if member.born_ms else 0
            entries.append(api.Entry(member.exchange, member.number, member.state, started_at, member.zone))
            self.guard.on_exchange_state(now, member.exchange, member.state, started_at)
            previous = self.members.get(member.exchange)
            if member.state == GONE:
                self.log("info", "exchange gone from the list", exchange=member.exchange)
                self.members.pop(member.exchange, None)
                self.group_sizes.pop(member.exchange, None)
                self.retire_link(member.exchange)
                if member.exchange not in self.links:
                    self.guard.exchanges.pop(member.exchange, None)
                continue
            if previous is None or previous.state != member.state:
                previous_state = "" if previous is None else previous.state
                self.log(
                    "info",
                    "exchange listed",
                    exchange=member.exchange,
                    state=member.state,
                    before=previous_state,
                )
            self.members[member.exchange] = member
            if member.number != self.own_number and (previous is None or previous.address != member.address):
                self.update_link(member)
            if member.exchange in self.links:
                self.check_restart(member, started_at)
        self.post(api.ListUpdated("full" if change.is_full else "delta", tuple(entries)))

    def update_link(self, member: Member) -> None:
        """Creates or redirects the link of an exchange that is new, back, or at a new address.

        A link of another exchange to the same address is removed, since that exchange cannot be there any
        more. What was sent on that link may have reached the new exchange before the list told of it: calls
        and set-ups that may be there are released there, since they count as over here.
        """
        tags: list[str] = []
        for name, other in list(self.links.items()):
            if name != member.exchange and other.address == member.address:
                tags += self.on_address_taken_over(other)
        link = self.links.get(member.exchange)
        if link is None:
            link = self.links[member.exchange] = Link(
                self.kernel, self, member.exchange, member.address, self.dial_timeout
            )
        else:
            link.reconnect(member.address)
        for tag in tags:
            self.release_at_exchange(link, tag, lines.encode_release(tag, lines.NORMAL))

    def on_address_taken_over(self, link: Link) -> list[str]:
        """Removes the link of an exchange whose address now belongs to another one, and ends its calls.

        The old process is gone with all its calls; its connections may already reach the new one. Returns the
        Call-IDs of what may stand there.
        """
        link.retired = True
        self.remove_link(link)
        tags = [call.request.tag for call in self.exchange_calls.at(link.exchange)]
        for route_try in list(link.tries.values()):
            waited = route_try.connection is None
            if not waited:
                tags.append(route_try.call.request.tag)
            self.fail_try(
                route_try, "connect_failed" if waited else "reset", send_release=False, cut_off=not waited
            )
        self.end_calls_at(link.exchange)
        return tags

    def retire_link(self, exchange: str) -> None:
        """Stops reconnecting to an exchange; its link remains while it has pending or established calls."""
        link = self.links.get(exchange)
        if link is not None:
            link.retired = True
            if not link.is_up:
                self.end_calls_at(exchange)

    def remove_link(self, link: Link) -> None:
        """Closes a link and drops what is kept for its exchange."""
        link.close()
        del self.links[link.exchange]
        self.exchange_calls.restarts.forget(link.exchange)
        for release in self.undelivered_releases.take(link.exchange):
            self.log_dropped_release(release.exchange, release.call_id, "the exchange left the list")
        if link.exchange not in self.members:
            self.guard.exchanges.pop(link.exchange, None)

    def check_restart(self, member: Member, started_at: int) -> None:
        """Ends the calls that an exchange has lost, if the list tells a later start of it than before."""
        now = self.kernel.now()
        for call in self.exchange_calls.on_start_told(member.exchange, member.born_ms, started_at, now):
            # A named call may be at the new process after all, and must not stand there alone.
            self.end_established_call(call, lines.RESET, release_there=call in self.adopted_calls)

    def end_calls_at(self, exchange: str) -> None:
        """Ends all established calls of an exchange that is lost."""
        for call in self.exchange_calls.at(exchange):
            self.end_established_call(call, lines.RESET)

    # Callers.

    def max_caller_connections(self) -> int:
        """Returns the limit of caller connections.

        Two thirds of the descriptors, or what the links leave of them if that is less; at least a third.
        """
        sockets = self.config.sockets
        return max(
            sockets // 3,
            min(sockets * 2 // 3, sockets - RESERVED_SOCKETS - CONNECTIONS_PER_LINK * len(self.links)),
        )

    def on_connection_ended(self, caller: Caller) -> None:
        """Handles a closed connection."""
        self.releases.on_connection_ended(caller)
        self.cancel_open_calls(caller)

    def cancel_open_calls(self, caller: Caller) -> None:
        """Cancels the open calls of a caller that has left: nobody is there to answer."""
        for tag in list(caller.open_calls):
            self.counts.add("left")
            self.caller_left(self.calls_by_tag[tag])

    def on_caller_seen(self, caller: Caller, evidence: CallerEvidence) -> None:
        """Records what a connection has shown to be."""
        self.connections.raise_evidence(caller, evidence)
        self.releases.on_caller_seen(caller)

    def handle_message(self, caller: Caller, message: sip.Message) -> None:
        """Handles one SIP request or response from a caller."""
        match message.method:
            case "INVITE":
                self.handle_invite(caller, message)
            case "BYE":
                call = self.calls_by_tag.get(message.call_id)
                caller.stream.write(sip.answer(481 if call is None else 200, message.fields))
                if call is not None:
                    if call.state == ESTABLISHED:
                        self.on_caller_seen(caller, CallerEvidence.PROVEN)
                    self.counts.add("released")
                    self.log("debug", "released by its caller", reference=message.call_id)
                    call.release_cause = sip.cause_of(message)
                    self.release_call(call)
            case "CANCEL":
                call = self.calls_by_tag.get(message.call_id)
                caller.stream.write(sip.answer(481 if call is None else 200, message.fields))
                if call is not None and call.state == OPEN and call.caller is not None:
                    self.counts.add("left")
                    call.caller.stream.write(sip.answer(487, call.fields))
                    self.caller_left(call)
            case "OPTIONS":
                is_ready = self.ready and self.shutdown is None
                caller.stream.write(sip.answer(200 if is_ready else 503, message.fields))
            case "":
                if message.status and message.fields.get("cseq", "").endswith("BYE"):
                    self.releases.on_response(message.call_id, message.status, caller)
            case "ACK" | "NOTIFY":
                pass
            case _:
                caller.stream.write(sip.answer(501, message.fields))

    def handle_invite(self, caller: Caller, message: sip.Message) -> None:
        """Accepts a set-up, or answers it with an error or a refusal."""
        now = self.last_set_up_at = self.kernel.now()
        try:
            request = read_set_up(message, self.config.bearer_types)
        except BadSetUp as error:
            self.counts.add("bad_set_ups")
            self.log("debug", "bad set-up", reference=message.call_id[:40], why=str(error))
            caller.stream.write(sip.answer(400, message.fields))
            return
        self.on_caller_seen(caller, CallerEvidence.SET_UP)
        if request.established_exchange:
            self.adopt_established_call(caller, request, now)
            return
        if caller.stream.peer_has_closed():
            self.counts.add("left_unread")
            self.log("debug", "its caller has left", reference=request.tag)
            self.cancel_open_calls(caller)
            return
        if request.tag in self.calls_by_tag or request.tag in self.recent_call_ids:
            self.counts.add("bad_set_ups")
            self.log("debug", "bad set-up", reference=request.tag, why="its Call-ID is or was in use")
            caller.stream.write(sip.answer(482, message.fields))
            return
        fields = sip.response_fields(message.fields)
        size = memory.OPEN_CALL_SIZE + len(request.description) + sum(map(sys.getsizeof, fields.values()))
        why = self.refusal_reason(request, now, size)
        if why:
            self.refuse(caller, request, fields, why)
            return
        abandon_at = now + request.patience
        if self.shutdown is not None:
            abandon_at = self.shutdown.abandon_at(abandon_at)
        self.counts.add("transit_taken" if request.transit else "taken")
        call = SipCall(
            self.next_id(),
            now,
            abandon_at,
            request=request,
            caller=caller,
            fields=fields,
            held_bytes=size,
        )
        self.held_bytes += size
        self.calls_by_tag[request.tag] = call
        caller.open_calls[request.tag] = None
        self.accept_call(
            call,
            api.CallArrived(
                call.id,
                request.bearer_type,
                call.abandon_at,
                request.destination,
                request.number,
                request.width,
                request.via,
                request.transit,
                request.cut_before,
            ),
        )

    def adopt_established_call(self, caller: Caller, request: SetUpRequest, now: int) -> None:
        """Adopts a call established before this agent started: only its release is passed on.

        If the call is known already and its connection is closed, it moves to this connection. If it is over
        and its release is still owed, the release is sent again.
        """
        if self.releases.send_again_if_owed(request.tag, caller):
            return
        known_call = self.calls_by_tag.get(request.tag)
        if known_call is not None:
            if known_call.state == ESTABLISHED and known_call.caller not in self.connections.active:
                known_call.caller = caller  # replaces its closed connection
            return
        request = replace(request, description=b"")  # only the release of this call is passed on
        call = SipCall(self.next_id(), now, now, state=ESTABLISHED, request=request, caller=caller, fields={})
        exchange, restarts = request.established_exchange, self.exchange_calls.restarts
        link, latest_set_up = self.links.get(exchange), restarts.latest_set_up(now)
        if link is None or self.early_releases.take(exchange, request.tag):
            self.counts.add("taken_over")
            self.send_release(call, lines.RESET if link is None else lines.NORMAL)
        elif restarts.is_lost(exchange, latest_set_up):
            self.counts.add("taken_over")
            self.release_lost_call(call, link)
        elif self.make_room_for_adoption(caller):
            self.counts.add("taken_over")
            self.hold_adopted_call(call, caller, link, latest_set_up)
        else:
            self.counts.add("refused_at_bound")
            self.log(
                "warning", "announced call not taken over", reference=request.tag, why="call limit reached"
            )

    def release_lost_call(self, call: SipCall, link: Link) -> None:
        """Releases a named call that its exchange has lost; there as well, since it may stand after all."""
        tag = call.request.tag
        self.counts.add("cut")
        self.log("debug", "call over", reference=tag, cause=lines.RESET)
        self.send_release(call, lines.RESET)
        if len(link.unconfirmed) >= self.max_stored_releases():
            self.log_dropped_release(link.exchange, tag, "too many releases")
            return
        self.release_at_exchange(link, tag, lines.encode_release(tag, lines.NORMAL))

    def hold_adopted_call(self, call: SipCall, caller: Caller, link: Link, latest_set_up: int) -> None:
        """Holds a call that stands at the link's exchange."""
        tag = call.request.tag
        call.answered_try = LinkTry(
            call, 0, link.exchange, call.arrived, "stands", link=link, latest_set_up=latest_set_up
        )
        self.calls[call.id] = self.calls_by_tag[tag] = call
        self.exchange_calls.add(link.exchange, call)
        call.held_bytes = memory.ESTABLISHED_CALL_SIZE
        self.held_bytes += call.held_bytes
        self.adopted_calls.add(call, caller)

    def make_room_for_adoption(self, caller: Caller) -> bool:
        """Returns whether a call named on this connection can be adopted; another one may give way."""
        limit = min(self.memory_plan.adopted_calls, MAX_CALLS // 2)
        if len(self.adopted_calls) < limit and self.fits(memory.ESTABLISHED_CALL_SIZE):
            return True
        displaced = self.adopted_calls.call_to_displace(caller)
        if displaced is None:
            return False
        self.counts.add("adopted_calls_displaced")
        self.log("debug", "announced call displaced", reference=displaced.request.tag)
        if displaced.answered_try is not None:
            self.end_try(displaced.answered_try, send_release=False)
        self.forget(displaced)
        return True

    def end_established_call(self, call: SipCall, cause: int, release_there: bool = False) -> None:
        """Ends an established call that is over at its exchange, and sends its caller a release.

        `release_there`: the exchange is sent one as well, since the call may stand there after all.
        """
        self.counts.add("ended" if cause == lines.NORMAL else "cut")
        self.log("debug", "call over", reference=call.request.tag, cause=cause)
        if call.answered_try is not None:
            self.end_try(call.answered_try, send_release=release_there)
        self.send_release(call, cause)
        self.forget(call)

    def send_release(self, call: SipCall, cause: int) -> None:
        """Sends the caller a BYE with a Q.850 cause."""
        data = sip.bye(call.request.tag, call.request.number, self.config.name, cause)
        self.releases.send(call.request.tag, data, call.caller)

    # Interface of the core, see `Core`.

    def send_set_up(self, call: SipCall, action: api.SetUp, number: int) -> LinkTry | Unsent:
        link = self.links.get(action.exchange)
        if link is None or not link.is_up and not link.may_connect:
            return Unsent()
        request = call.request
        now = self.kernel.now()
        route_try = LinkTry(call, number, action.exchange, now, link=link, latest_set_up=now)
        timeout_ms = max(1, action.patience // MS)
        description = request.description.decode()
        data = lines.encode_set_up(request.tag, request.bearer_type, request.number, timeout_ms, description)
        link.send_set_up(route_try, request.tag, data)
        call.was_sent = True
        return route_try

    def release_try(self, route_try: LinkTry, send_release: bool) -> None:
        tag, link = route_try.call.request.tag, route_try.link
        if route_try.state == "out":
            link.remove_try(route_try, tag, lines.encode_release(tag, lines.NORMAL) if send_release else b"")
            return
        self.exchange_calls.remove(route_try.exchange, tag)
        if send_release:
            self.release_at_exchange(link, tag, lines.encode_release(tag, route_try.call.release_cause))

    def release_at_exchange(self, link: Link, tag: str, data: bytes) -> None:
        """Sends the exchange the release of an established call, now or on the next connection."""
        if link.send_release(tag, data):
            return
        if link.retired:
            self.log_dropped_release(link.exchange, tag, "the exchange left the list")
            return
        release = ExchangeRelease(link.exchange, tag, data)
        dropped = self.undelivered_releases.add(release, self.max_stored_releases())
        if dropped is not None:
            self.log_dropped_release(dropped.exchange, dropped.call_id, "too many releases")

    def max_stored_releases(self) -> int:
        """Returns the limit of releases kept for all exchanges, and for calls not yet known, each."""
        return min(MAX_STORED_RELEASES, self.memory_plan.releases)

    def log_dropped_release(self, exchange: str, tag: str, why: str) -> None:
        """Counts and logs a release that an exchange does not get."""
        self.counts.add("exchange_releases_dropped")
        self.log("warning", "release to exchange dropped", exchange=exchange, reference=tag, why=why)

    def reply(self, call: SipCall, final: FinalAnswer) -> None:
        self.counts.add(("transit_" if call.request.transit else "") + final.kind)
        caller = call.caller
        call.answered = True
        if caller is None:
            return
        if final.kind == ANSWERED:
            data = sip.answer(mapping.ANSWERED, call.fields, call.description.encode())
        elif final.kind == REFUSED:
            data = sip.answer(mapping.REFUSED, call.fields, retry_after_ms=-(-final.retry_after // MS))
        else:
            data = sip.answer(mapping.OWN_FAULT if final.own_fault else mapping.FAILED, call.fields)
        caller.stream.write(data)
        caller.open_calls.pop(call.request.tag, None)
        if final.kind == ANSWERED:
            self.on_caller_seen(caller, CallerEvidence.PROVEN)
        self.connections.close_if_done(caller)
        if final.kind == ANSWERED:
            self.held_bytes -= call.keep_only_release()

    def on_answer_refused(self, call: SipCall) -> bool:
        """Answers a call as failed after its abandon time, since a call without any answer would be lost."""
        if call.answered:
            return False
        self.reply(call, FinalAnswer(FAILED))
        return True

    def on_call_removed(self, call: SipCall) -> None:
        tag = call.request.tag
        self.adopted_calls.discard(call)
        self.held_bytes -= call.held_bytes
        call.held_bytes = 0
        if call.was_sent:
            self.recent_call_ids.add(tag, self.kernel.now(), self.memory_plan.call_ids)
        if self.calls_by_tag.get(tag) is call:
            del self.calls_by_tag[tag]
        if call.caller is not None:
            call.caller.open_calls.pop(tag, None)
            self.connections.close_if_done(call.caller)
        call.answered_try = call.pending_try = call.caller = None  # breaks reference cycles

    def reference_of(self, call: SipCall) -> str:
        return call.request.tag

    # Exchanges.

    def on_link_up(self, link: Link) -> None:
        """Sends what waited for a connection of this link."""
        self.log("info", "connected", exchange=link.exchange, waiting=len(link.waiting))
        for release in self.undelivered_releases.take(link.exchange):
            link.send_release(release.call_id, release.data)  # before a set-up of the same call
        waiting, link.waiting = link.waiting, {}
        member = self.members.get(link.exchange)
        for tag, data in waiting.items():
            if member is None or member.state != READY:  # it began draining while they waited
                self.fail_try(link.tries[tag], "connect_failed", send_release=False, cut_off=False)
            else:
                link.send_set_up(link.tries[tag], tag, data)

    def on_link_lost(
        self, link: Link, tries: list[LinkTry], unconfirmed: list[tuple[str, bytes]], why: str
    ) -> None:
        """Handles a lost connection: its pending tries end as reset, unconfirmed releases are sent again.

        The tries are released as well: the exchange may have answered one, and the answer was lost.
        """
        self.log("warning", "connection lost", exchange=link.exchange, why=why, route_tries=len(tries))
        self.counts.add("connections_lost")
        self.fail_waiting_tries(link)
        for tag, data in unconfirmed:
            self.release_at_exchange(link, tag, data)
        for route_try in tries:
            tag = route_try.call.request.tag
            self.fail_try(route_try, "reset", send_release=False, cut_off=True)
            self.release_at_exchange(link, tag, lines.encode_release(tag, lines.NORMAL))
        if link.retired and not link.is_up:
            self.end_calls_at(link.exchange)

    def fail_waiting_tries(self, link: Link) -> None:
        """Ends the tries whose set-up still waits for a connection."""
        for tag in list(link.waiting):
            self.fail_try(link.tries[tag], "connect_failed", send_release=False, cut_off=False)

    def on_link_refused(self, link: Link, nothing_listens: bool) -> None:
        """Handles a failed connection attempt.

        `nothing_listens`: nothing listens at the address. If its last connection was broken as well, the
        process and its established calls are gone.
        """
        self.log("debug", "connection refused", exchange=link.exchange, nothing_listens=nothing_listens)
        self.fail_waiting_tries(link)
        if nothing_listens and not link.is_up and link.last_end is ConnectionEnd.BROKEN:
            self.exchange_calls.restarts.on_process_gone(link.exchange, self.kernel.now())
            self.end_calls_at(link.exchange)

    def on_line(self, link: Link, connection: LinkConnection, line: lines.Line) -> None:
        """Handles one line from an exchange. Raises BadLine if its content is invalid."""
        verb = line.verb
        if verb == "LOAD" and connection is not link.reporting_connection:
            return
        load = mapping.parse_load(line.opts["load"]) if "load" in line.opts else {}
        route_try = link.tries.get(line.tag)
        if route_try is not None and route_try.connection is not connection:
            route_try = None  # a response to an earlier try of the same call
        if load:
            size = load.get("size", self.group_sizes.get(link.exchange, 0.0))
            if size != self.group_sizes.get(link.exchange) and link.exchange in self.members:
                self.group_sizes[link.exchange] = size
                self.guard.warm_capacity = sum(self.group_sizes.values()) / self.holding_time
        if verb == "STARTED":
            if route_try is None:
                self.counts.add("stray_answers")
            elif not line.blob:
                self.counts.add("spoilt_answers")
                self.fail_try(route_try, "reset", send_release=True, cut_off=True)
            else:
                link.remove_try(route_try, line.tag, b"")
                route_try.call.description = line.blob
                self.exchange_calls.add(link.exchange, route_try.call)
                self.on_answered(route_try, load)
                return
        elif verb == "FINISH":
            if route_try is not None:
                if not isinstance(line.rc, int):
                    raise lines.BadLine(f"FINISH {line.tag[:20]}: the cause is not an integer")
                result = mapping.RESULTS.get(line.rc, "reset")
                cause = mapping.CAUSES.get(str(line.opts.get("note", "")), "")
                self.fail_try(
                    route_try, result, send_release=False, cut_off=result == "reset", cause=cause, load=load
                )
                return
            self.handle_exchange_release(link, line)
        elif verb == "FINISHED":
            link.unconfirmed.pop(line.tag, None)
        elif verb == "ECHO":
            connection.write(lines.encode_probe_reply(line.tag))
        if load:
            self.post(api.LoadReported(link.exchange, "served", 0, load))

    def handle_exchange_release(self, link: Link, line: lines.Line) -> None:
        """Ends the established call, or keeps the release for a call that is adopted later."""
        call = self.exchange_calls.get(link.exchange, line.tag)
        if call is not None:
            self.end_established_call(call, lines.NORMAL if line.rc == lines.NORMAL else lines.RESET)
            return
        if not is_call_id(line.tag):
            return
        limit = self.max_stored_releases()
        if self.early_releases.add(link.exchange, line.tag, self.kernel.now(), limit):
            self.counts.add("early_releases_dropped")

    # Periodic work.

    def sweep(self) -> Coroutine[None]:
        """Periodically closes late connections, removes unused links and expires stored releases."""
        while True:
            yield from self.kernel.sleep(SWEEP_INTERVAL)
            now = self.kernel.now()
            self.connections.close_late(now)
            self.connections.free_buffers()
            for name, link in list(self.links.items()):
                if link.retired and not link.is_in_use and not self.exchange_calls.has_calls_at(name):
                    self.remove_link(link)
                elif now - link.last_received_at > UNREACHABLE_TIMEOUT:
                    self.end_calls_at(name)
                link.expire_unconfirmed(now)
            self.releases.expire(now)
            self.recent_call_ids.expire(now)
            self.early_releases.expire(now)
