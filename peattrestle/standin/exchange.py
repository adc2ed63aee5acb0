"""A simulated exchange for rehearsals.

It accepts set-ups from agents over H.248, runs them through a processor model, hands transit calls to its own
agent and reports its trunk groups to that agent. It uses the protocol codec and none of the agent's code.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from peattrestle.h248 import package
from peattrestle.h248.package import BadValue, Outcome, SetUpRequest
from peattrestle.h248.session import ProtocolViolation, Session
from peattrestle.h248.text import Action, Command, Malformed, Request
from peattrestle.h248.transactions import NewRequest, ReplyReceived, Transactions, UnknownTransaction
from peattrestle.runtime import ConnectionLost, Coroutine, Kernel, Listener, Stream
from peattrestle.standin.exchange_network import ExchangeNetwork, Group, SocketFaults
from peattrestle.standin.processor import Processor


@dataclass(slots=True)
class ExchangeCall:
    """A call that an agent has set up at this exchange.

    `state` is 'working' (in the processor's queue), 'onward' (handed to the own agent as a transit call),
    'stands' (established) or 'over'.
    """

    agent: str
    transaction_id: int
    request: SetUpRequest
    context: int
    state: str = "working"
    has_circuits: bool = False
    has_line: bool = False
    onward_termination: str = ""  # of the transit leg towards the own agent; empty: none


class AgentPeer:
    """What the exchange knows of one agent; kept across the agent's connections."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.number = -1  # of its exchange; -1 until it has registered
        self.run_id = ""  # changes when the agent restarts
        self.transactions = Transactions(1, 100_000, 100_000)
        self.connection: Connection | None = None
        self.calls: dict[str, ExchangeCall] = {}


class Connection:
    """One connection from an agent, with the simulated socket faults applied to what it reads and writes."""

    def __init__(self, exchange: SimulatedExchange, stream: Stream) -> None:
        self.exchange, self.stream = exchange, stream
        self.peer: AgentPeer | None = None
        self.blocked_output: list[bytes] = []  # held back while a region is cut off
        self.delayed_input: list[tuple[int, bytes]] = []  # (received at, data), likewise held back
        self.write_until = 0  # when the last of the bytes sent one at a time is written
        self.uncertain_until = 0  # data read before this may have waited unread in the socket
        self.session = Session(exchange.mid, Transactions(), self.write, bind=self.bind)

    def bind(self, mid: str) -> Transactions:
        """Attaches the connection to the agent named by `mid` and closes that agent's previous connection."""
        exchange, name = self.exchange, mid.strip("<>")
        peer = exchange.agents.setdefault(name, AgentPeer(name))
        if peer.connection is not None:
            former = peer.connection
            former.on_lost("it came again")
            former.stream.close()
        peer.connection, self.peer = self, peer
        return peer.transactions

    def handle_delayed_input(self) -> None:
        """Handles the data that was held back, once the region can be reached again."""
        delayed, self.delayed_input = self.delayed_input, []
        try:
            for received_at, data in delayed:
                self.handle_data(received_at, data)
        except ProtocolViolation:
            self.stream.abort()

    def record_unhandled_input(self) -> None:
        """Records the commands in data held back when the connection ended.

        They are never carried out, but they did arrive at the socket, which is what the judge counts.
        """
        delayed, self.delayed_input = self.delayed_input, []
        for received_at, data in delayed:
            try:
                parts = [part for message in self.session.peek(data) for part in message.parts]
            except (ProtocolViolation, Malformed):
                return
            for part in parts:
                if isinstance(part, Request) and self.peer is not None:
                    self.exchange.record_unhandled(self.peer, received_at, part.actions[0].commands[0])

    def handle_data(self, received_at: int, data: bytes) -> None:
        """Handles data that arrived at `received_at`.

        Raises ProtocolViolation where the session cannot continue.
        """
        exchange = self.exchange
        exchange.received_at, exchange.time_uncertain = received_at, received_at < self.uncertain_until
        for event in self.session.feed(exchange.kernel.now(), data):
            if isinstance(event, NewRequest) and self.peer is not None:
                exchange.handle_request(self, self.peer, event.request)
            elif isinstance(event, ReplyReceived) and isinstance(event.attachment, ExchangeCall):
                exchange.handle_onward_reply(event.attachment, package.read_outcome(event.reply))
            elif (
                isinstance(event, ReplyReceived)
                and isinstance(event.attachment, str)
                and self.peer is not None
            ):
                exchange.handle_release_reply(
                    self.peer, event.attachment, package.reply_error_code(event.reply)
                )
            elif isinstance(event, UnknownTransaction) and self.peer is not None:
                exchange.handle_stray_reply(self.peer, event.id)

    def is_reachable(self) -> bool:
        """Whether no cut region separates this exchange from the agent."""
        peer = self.peer
        return (
            peer is None
            or peer.number < 0
            or self.exchange.network.reachable(peer.number, self.exchange.number)
        )

    def write(self, data: bytes) -> None:
        """Sends data, subject to region cuts and the exchange's socket faults."""
        exchange, socket_faults = self.exchange, self.exchange.socket_faults
        if socket_faults.mute:
            return
        if not self.is_reachable() or self.blocked_output:
            if not self.blocked_output:
                exchange.network.on_heal.append(self.flush)
            self.blocked_output.append(data)
            return
        if socket_faults.garble and exchange.rng.random() < socket_faults.garble:
            match = re.search(rb"Add=(n/[^{]*)", data)
            if match is not None and self.peer is not None:
                # An agent that cannot read the transaction id of a request cannot reply to it, so this
                # request is recorded as dropped: the sender only finds out by its own timeout.
                now, termination = exchange.kernel.now(), match.group(1).decode()
                exchange.network.record.add(now, "dropped", exchange.name, self.peer.name, termination)
            index = exchange.rng.randrange(4, len(data))
            data = data[:index] + bytes([exchange.rng.choice(b'{}"=,\x00\xff')]) + data[index + 1 :]
        if socket_faults.late_replies and b"Reply=" in data:
            exchange.kernel.call_at(
                exchange.kernel.now() + socket_faults.late_replies, lambda: self.stream.write(data)
            )
        elif socket_faults.single_bytes or self.write_until > exchange.kernel.now():
            send_at = max(self.write_until, exchange.kernel.now())
            for offset in range(len(data)):
                send_at += 20_000  # nanoseconds between two bytes
                exchange.kernel.call_at(send_at, partial(self.stream.write, data[offset : offset + 1]))
            self.write_until = send_at  # later messages must not overtake these bytes
        else:
            self.stream.write(data)
        if (
            socket_faults.double_replies
            and b"Reply=" in data
            and exchange.rng.random() < socket_faults.double_replies
        ):
            exchange.kernel.call_at(exchange.kernel.now() + 30_000_000, lambda: self.stream.write(data))

    def flush(self) -> None:
        """Sends what was held back while a region was cut off."""
        blocked, self.blocked_output = self.blocked_output, []
        for data in blocked:
            self.write(data)

    def run(self) -> Coroutine[None]:
        """Reads from the agent until the connection ends."""
        exchange, reason = self.exchange, "closed"
        try:
            while True:
                while exchange.socket_faults.stall:
                    self.uncertain_until = exchange.kernel.now() + 200_000_000
                    yield from exchange.kernel.sleep(20_000_000)
                data = yield from self.stream.read()
                if not data:
                    break
                if self.delayed_input or not self.is_reachable():
                    # The region is cut off: received at the socket now, handled when the region heals.
                    if not self.delayed_input:
                        exchange.network.on_heal.append(self.handle_delayed_input)
                    self.delayed_input.append((exchange.kernel.now(), data))
                else:
                    self.handle_data(exchange.kernel.now(), data)
                if self.stream.unsent > 1 << 24:
                    raise ConnectionLost("an agent that does not read")
        except (ConnectionLost, ProtocolViolation) as error:
            reason = str(error)
        finally:
            self.stream.close()
            self.record_unhandled_input()
            exchange.connections.pop(self, None)
            self.on_lost(reason)

    def on_lost(self, reason: str) -> None:
        """Detaches the connection from its agent and fails the transit requests still open on it."""
        exchange, peer = self.exchange, self.peer
        if peer is None or peer.connection is not self:
            return
        peer.connection = None
        exchange.network.record.add(exchange.kernel.now(), "lost", exchange.name, peer.name, text=reason)
        for pending in peer.transactions.close_all():
            if isinstance(pending, ExchangeCall):
                exchange.handle_onward_lost(peer, pending)
            elif isinstance(pending, str):
                exchange.pending_releases.append(pending)


class SimulatedExchange:
    """A simulated exchange and its listening socket.

    `own_agent` names the agent attached to this exchange; `address` is the one actually bound. Times are in
    nanoseconds of the kernel's clock.
    """

    def __init__(
        self,
        kernel: Kernel,
        network: ExchangeNetwork,
        name: str,
        number: int,
        address: str,
        own_agent: str,
        cold: bool = False,
    ) -> None:
        self.kernel, self.network, self.name, self.number = kernel, network, name, number
        self.mid = f"<{name}>"  # H.248 message identifier
        self.own_agent = own_agent
        self.socket_faults = SocketFaults()
        self.rng = kernel.random_for(f"exchange/{name}")
        settings = network.processor_settings
        self.processor = Processor(
            kernel,
            settings.routing_work + settings.set_up_work,
            settings.wait_limit,
            settings.cold_from,
            settings.cold_time,
            settings.fall_multiple,
            settings.fall_time,
            settings.urgent_first,
        )
        self.processor.on_failure = self.record_failure
        self.started_at = kernel.now() if cold else -1
        if cold:
            self.processor.restart(cold=True)
        self.agents: dict[str, AgentPeer] = {}
        self.connections: dict[Connection, None] = {}  # a dict, as the order of a set differs between runs
        self.contexts = 0  # number of the last context
        self.onward_count = 0
        self.onward_calls: dict[str, tuple[AgentPeer, ExchangeCall]] = {}
        self.stopped = False
        self.received_at = 0  # when the data being handled arrived at the socket
        self.time_uncertain = False  # reading had stalled, so the data may have arrived earlier
        self.pending_releases: list[str] = []  # transit calls, for when the own agent reconnects
        self.onward_terminations: dict[int, str] = {}  # by transaction id
        self.listener: Listener = kernel.listen(address)
        self.address = self.listener.address
        self.task = kernel.spawn(self.run(), f"exchange {name}")

    def run(self) -> Coroutine[None]:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                stream = yield from self.listener.accept()
            except ConnectionLost:
                return
            connection = Connection(self, stream)
            self.connections[connection] = None
            self.kernel.spawn(connection.run(), f"{self.name} < {stream.peer}")

    def record(
        self, kind: str, peer: AgentPeer, termination: str, reference: str = "", code: int = 0
    ) -> None:
        """Adds a row to the traffic record; what was received is stamped with its time of arrival."""
        incoming = kind in ("add", "freed")
        self.network.record.add(
            self.received_at if incoming else self.kernel.now(),
            kind,
            self.name,
            peer.name,
            termination,
            reference,
            code,
            text="unsure" if incoming and self.time_uncertain else "",
        )

    def record_failure(self, senders: list[str]) -> None:
        """Records that the cold processor failed under load.

        `senders`: '<agent>@<time>' of each set-up in the window that is measured.
        """
        self.network.record.add(
            self.kernel.now(), "fell", self.name, "", value=self.started_at, text=" ".join(senders)
        )

    def record_unhandled(self, peer: AgentPeer, at: int, command: Command) -> None:
        """Records a command that arrived at `at` and is not carried out."""
        self.received_at, self.time_uncertain = at, False
        if command.name == "Subtract":
            self.record("freed", peer, command.termination)
        elif command.name == "Add":
            reference = command.find("Media", "LocalControl", "ptc/ref")
            self.record("add", peer, command.termination, reference.value or "" if reference else "")

    # Requests from agents.

    def handle_request(self, connection: Connection, peer: AgentPeer, request: Request) -> None:
        """Carries out a request from an agent and replies to it."""
        action, command = request.actions[0], request.actions[0].commands[0]
        if command.name == "Add":
            self.handle_add(connection, peer, request.id, command)
        elif command.name == "Subtract":
            self.handle_subtract(peer, request.id, action, command)
        elif command.name == "ServiceChange":
            self.handle_service_change(peer, command)
            age = f",ptc/age={self.kernel.now() - self.started_at}" if self.started_at >= 0 else ""
            services = f"Services{{Profile={package.PROFILE}{age}}}"
            self.reply(
                peer,
                request.id,
                package.command_reply(request.id, "-", "ServiceChange", "ROOT", descriptors=services),
            )
            if age:
                now = self.kernel.now()
                self.network.record.add(now, "told", self.name, peer.name, text=f"{self.name} started")
            if peer.name == self.own_agent and peer.connection is not None:
                releases, self.pending_releases = self.pending_releases, []
                for termination in releases[-10_000:]:
                    self.send_release(peer, termination)
                self.report_groups(
                    group for group in self.network.groups.values() if self.number in group.ends
                )
        elif command.name == "Notify":
            if package.is_cut(command) and command.termination in self.onward_calls:
                caller_peer, call = self.onward_calls[command.termination]
                self.cut_call(caller_peer, call)
            self.reply(
                peer,
                request.id,
                package.command_reply(request.id, action.context, "Notify", command.termination),
            )
        else:
            self.reply(
                peer,
                request.id,
                package.command_reply(request.id, action.context, command.name, command.termination),
            )

    def reply(self, peer: AgentPeer, transaction_id: int, parts: str) -> None:
        """Sends a reply, or only keeps it for a repeated request where the agent is not connected."""
        if peer.connection is not None:
            peer.connection.session.reply(transaction_id, parts)
        else:
            peer.transactions.answer(transaction_id, parts)

    def handle_service_change(self, peer: AgentPeer, command: Command) -> None:
        """Registers an agent; the calls of an earlier run, which it has forgotten, are released."""
        change = package.read_service_change(command)
        peer.number = int(change.parameters.get("ptc/num", "-1"))
        run_id = change.parameters.get("ptc/run", "")
        if run_id != peer.run_id:
            for call in list(peer.calls.values()):
                self.end_call(peer, call)
            if peer.run_id:
                peer.transactions.received_requests.clear()
            peer.run_id = run_id

    def handle_add(
        self, connection: Connection, peer: AgentPeer, transaction_id: int, command: Command
    ) -> None:
        """Handles a set-up: reserves circuits and queues work at the originating and this processor."""
        try:
            request = package.read_add(command)
        except BadValue as error:
            self.reply(
                peer,
                transaction_id,
                package.command_reply(
                    transaction_id, "$", "Add", command.termination, (package.BAD_VALUE, str(error))
                ),
            )
            return
        if request.termination in peer.calls:
            self.reply(
                peer,
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
        self.record("add", peer, request.termination, request.reference)
        if self.socket_faults.reset_setups and self.rng.random() < self.socket_faults.reset_setups:
            connection.stream.abort()
            return
        self.contexts += 1
        call = peer.calls[request.termination] = ExchangeCall(
            peer.name, transaction_id, request, self.contexts
        )
        if not self.network.take_circuits(peer.number, self.number, request.width):
            self.refuse(peer, call, "no_circuit")
            return
        call.has_circuits = True
        settings, origin = self.network.processor_settings, self.network.exchanges.get(peer.number)

        def start_processing() -> None:
            if call.state != "working":
                return
            if not self.processor.submit_set_up(
                settings.routing_work + settings.set_up_work, on_processed, peer.name
            ):
                self.refuse(peer, call, "processor_full")

        def on_processed() -> None:
            if call.state == "working":
                self.complete_processing(peer, call)

        # A set-up held back by a region cut passed the originating processor when it was sent.
        was_delayed = self.kernel.now() - self.received_at > 5_000_000
        if origin is None or origin is self or was_delayed:
            start_processing()
        elif not origin.processor.submit_set_up(settings.set_up_work, start_processing, peer.name):
            self.refuse(peer, call, "processor_full")

    def complete_processing(self, peer: AgentPeer, call: ExchangeCall) -> None:
        """Continues a set-up after its processing: connects a local number, or hands a transit call on."""
        request = call.request
        if request.destination != self.number:
            self.send_onward(peer, call)
        elif not self.network.take_line(request.number):
            self.refuse(peer, call, "lines_busy")
        else:
            call.has_line = True
            self.establish(peer, call)

    def establish(self, peer: AgentPeer, call: ExchangeCall) -> None:
        """Marks the call established and answers the set-up, unless the answer is to be lost."""
        call.state = "stands"
        if self.network.answers_lost and self.rng.random() < self.network.answers_lost:
            return  # simulated loss: the call is established and its answer is never sent
        origin = self.network.exchanges.get(peer.number)

        def send_answer() -> None:
            if call.state == "stands":
                self.reply_outcome(peer, call, Outcome(0, str(call.context), load=self.load(peer.number)))

        if origin is None:
            send_answer()
        else:
            origin.processor.submit_urgent(self.network.processor_settings.answer_work, send_answer)

    def refuse(self, peer: AgentPeer, call: ExchangeCall, cause: str) -> None:
        """Refuses a set-up for `cause` and frees what it held."""
        self.reply_outcome(
            peer, call, Outcome(package.REFUSED, text=cause, cause=cause, load=self.load(peer.number))
        )
        self.end_call(peer, call)

    def reply_outcome(self, peer: AgentPeer, call: ExchangeCall, outcome: Outcome) -> None:
        """Replies to a set-up."""
        self.record("replied", peer, call.request.termination, call.request.reference, outcome.code)
        self.reply(
            peer,
            call.transaction_id,
            package.outcome_text(call.transaction_id, call.request.termination, outcome),
        )

    def load(self, agent: int) -> dict[str, float]:
        """The load sent with replies: processor queue and rate, free and working circuits to `agent`."""
        group = self.network.group(agent, self.number)
        load = {"queue": float(self.processor.queue_length()), "rate": round(self.processor.set_up_rate(), 1)}
        if group is not None:
            load |= {"free": float(group.free()), "size": float(group.working())}
        return load

    def handle_subtract(self, peer: AgentPeer, transaction_id: int, action: Action, command: Command) -> None:
        """Handles a release by an agent."""
        call = peer.calls.get(command.termination)
        self.record("freed", peer, command.termination)
        if call is None:
            self.reply(
                peer,
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
        if call.state != "over":
            self.end_call(peer, call, after_work=True)
        statistics = ",".join(
            f"{name}={self.load(peer.number)[key]:.10g}"
            for name, key in package.LOAD_STATISTICS.items()
            if key in self.load(peer.number)
        )
        self.reply(
            peer,
            transaction_id,
            package.command_reply(
                transaction_id,
                str(call.context),
                "Subtract",
                command.termination,
                descriptors=f"Statistics{{{statistics}}}",
            ),
        )

    def end_call(self, peer: AgentPeer, call: ExchangeCall, after_work: bool = False) -> None:
        """Ends a call and frees what it held.

        `after_work`: the circuits are freed only when the processor has carried out the release.
        """
        if call.state == "over":
            return
        call.state = "over"
        self.release_onward(call)
        if call.has_line:
            self.network.free_line(call.request.number)
        if after_work and not self.processor.silent and not self.processor.failed and not self.stopped:
            self.processor.submit_urgent(
                self.network.processor_settings.release_work, lambda: self.free_circuits(peer, call)
            )
        else:
            self.free_circuits(peer, call)

    def free_circuits(self, peer: AgentPeer, call: ExchangeCall) -> None:
        """Forgets a call and returns its circuits to the trunk group."""
        peer.calls.pop(call.request.termination, None)
        if call.has_circuits:
            call.has_circuits = False
            self.network.return_circuits(peer.number, self.number, call.request.width)

    # Transit calls, handed to the own agent.

    def request_own_agent(self, build: Callable[[int], str], call: ExchangeCall | None = None) -> bool:
        """Sends a request to the own agent; False where that agent is not connected."""
        peer = self.agents.get(self.own_agent)
        if peer is None or peer.connection is None:
            return False
        transaction_id = peer.connection.session.request(call, build)
        if call is not None:
            self.onward_terminations[transaction_id] = call.onward_termination
            if len(self.onward_terminations) > 10_000:
                del self.onward_terminations[next(iter(self.onward_terminations))]
        return True

    def send_onward(self, peer: AgentPeer, call: ExchangeCall) -> None:
        """Hands a transit call to the own agent as a new set-up."""
        request = call.request
        self.onward_count += 1
        call.state, call.onward_termination = "onward", f"n/{self.name}/{self.onward_count}"
        onward_request = SetUpRequest(
            call.onward_termination,
            request.bearer_type,
            request.destination,
            max(1, request.patience - 50_000_000),
            request.number,
            request.width,
            transit=True,
            repeat=request.repeat,
            cut_before=request.cut_before,
            customer=request.customer,
            reference=f"{request.reference}+{self.onward_count}",
            origin=peer.number,
        )
        own_peer = self.agents.get(self.own_agent)
        if own_peer is None or not self.request_own_agent(
            lambda transaction_id: package.add_text(transaction_id, onward_request), call
        ):
            self.refuse(peer, call, "turned_back")
            return
        self.onward_calls[call.onward_termination] = (peer, call)
        if not self.socket_faults.mute:  # a muted exchange sent nothing
            self.network.record.add(
                self.kernel.now(),
                "asked",
                self.name,
                own_peer.name,
                call.onward_termination,
                onward_request.reference,
                value=self.kernel.now() + onward_request.patience,
            )

    def handle_stray_reply(self, peer: AgentPeer, transaction_id: int) -> None:
        """Records a second answer to a transit call; a reply to an unknown transaction is ignored."""
        termination = self.onward_terminations.get(transaction_id, "")
        if termination and peer.name == self.own_agent:
            self.network.record.add(
                self.kernel.now(), "answered", self.name, peer.name, termination, text="again"
            )

    def release_onward(self, call: ExchangeCall) -> None:
        """Releases the transit leg of a call at the own agent; the agent's answer may cross the release."""
        peer = self.agents.get(self.own_agent)
        if self.onward_calls.pop(call.onward_termination, None) is None or peer is None:
            return
        if peer.connection is None:
            self.pending_releases.append(call.onward_termination)
            return
        self.network.record.add(
            self.kernel.now(), "subtracted", self.name, peer.name, call.onward_termination
        )
        self.send_release(peer, call.onward_termination)

    def repeat_release(self, peer: AgentPeer, transaction_id: int, termination: str) -> None:
        """Repeats a release every second while it is unanswered on this connection."""
        if peer.connection is not None and peer.transactions.open.get(transaction_id) == termination:
            peer.connection.session.send(package.subtract_text(transaction_id, "*", termination))
            repeat_at = self.kernel.now() + 1_000_000_000
            self.kernel.call_at(repeat_at, lambda: self.repeat_release(peer, transaction_id, termination))

    def send_release(self, peer: AgentPeer, termination: str) -> None:
        """Sends a release to the own agent and repeats it until it is answered."""
        if peer.connection is not None:
            transaction_id = peer.connection.session.request(
                termination, lambda transaction_id: package.subtract_text(transaction_id, "*", termination)
            )
            repeat_at = self.kernel.now() + 1_000_000_000
            self.kernel.call_at(repeat_at, lambda: self.repeat_release(peer, transaction_id, termination))

    def handle_release_reply(self, peer: AgentPeer, termination: str, code: int) -> None:
        """Handles the reply to a release: once confirmed, no further answer to that call is valid."""
        if code not in (0, package.UNKNOWN_TERMINATION):
            self.send_release(peer, termination)  # the agent could not read the request
            return
        self.network.record.add(self.kernel.now(), "confirmed", self.name, peer.name, termination)
        for transaction_id, request in list(peer.transactions.open.items()):
            if isinstance(request, ExchangeCall) and request.onward_termination == termination:
                peer.transactions.close(transaction_id)

    def handle_onward_lost(self, peer: AgentPeer, call: ExchangeCall) -> None:
        """Handles a transit set-up whose connection was lost before its answer."""
        self.network.record.add(self.kernel.now(), "dropped", self.name, peer.name, call.onward_termination)
        self.pending_releases.append(call.onward_termination)  # its answer may be what was lost
        entry = self.onward_calls.pop(call.onward_termination, None)
        if entry is not None and call.state == "onward":
            self.refuse(entry[0], call, "turned_back")

    def handle_onward_reply(self, call: ExchangeCall, outcome: Outcome) -> None:
        """Handles the own agent's answer to a transit set-up."""
        entry = self.onward_calls.get(call.onward_termination)
        own_peer = self.agents.get(self.own_agent)
        if own_peer is not None:
            self.network.record.add(
                self.kernel.now(),
                "answered",
                self.name,
                own_peer.name,
                call.onward_termination,
                code=outcome.code,
                text="unsure" if self.time_uncertain else "",
            )
        if entry is None or call.state != "onward":
            return
        peer = entry[0]
        if outcome.code == 0:
            self.establish(peer, call)
            return
        self.onward_calls.pop(call.onward_termination, None)
        self.refuse(
            peer, call, outcome.cause if outcome.cause in ("turned_back", "beyond_full") else "turned_back"
        )

    # Faults and the state of calls, used by a rehearsal.

    def cut_call(self, peer: AgentPeer, call: ExchangeCall) -> None:
        """Cuts an established call: frees its circuits and notifies the agent that set it up."""
        if call.state == "over":
            return
        self.end_call(peer, call)
        self.network.record.add(self.kernel.now(), "cut", self.name, peer.name, call.request.termination)
        if peer.connection is not None:
            peer.connection.session.request(
                None,
                lambda transaction_id: package.notify_text(
                    transaction_id, str(call.context), call.request.termination, ["ptc/cut"]
                ),
            )

    def established_calls(self) -> list[tuple[AgentPeer, ExchangeCall]]:
        """All established calls, each with the agent that set it up."""
        return [
            (peer, call)
            for peer in self.agents.values()
            for call in list(peer.calls.values())
            if call.state == "stands"
        ]

    def report_groups(self, groups: Iterable[Group]) -> None:
        """Reports the free circuits of `groups` to the own agent, at most 100 groups in a message."""
        peer = self.agents.get(self.own_agent)
        if peer is None or peer.connection is None:
            return
        events = []
        for group in groups:
            other_end = group.ends[0] if group.ends[1] == self.number else group.ends[1]
            events.append(package.group_event(other_end, group.free(), group.working()))
        for start in range(0, len(events), 100):
            peer.connection.session.request(
                None,
                lambda transaction_id, start=start: package.notify_text(  # type: ignore[misc]
                    transaction_id, "-", "ROOT", events[start : start + 100]
                ),
            )

    def circuits_in_use(self) -> Iterable[tuple[tuple[int, int], int]]:
        """The circuits that calls hold here: the exchanges at both ends, lower number first, and how many."""
        for peer in self.agents.values():
            for call in peer.calls.values():
                if call.has_circuits:
                    yield (
                        (
                            (peer.number, self.number)
                            if peer.number < self.number
                            else (self.number, peer.number)
                        ),
                        call.request.width,
                    )

    def end_all_calls(self, notify: bool) -> None:
        """Ends all calls. `notify`: the agents that set up established calls are notified."""
        for peer in self.agents.values():
            for call in list(peer.calls.values()):
                if notify and call.state == "stands":
                    self.cut_call(peer, call)
                self.end_call(peer, call)
                self.free_circuits(peer, call)  # also for a release still queued at the processor

    def restart_cold(self) -> None:
        """Simulates a crash and restart: connections are reset, calls are lost, the processor is cold."""
        self.end_all_calls(notify=False)
        for connection in list(self.connections):
            connection.stream.abort()
        self.onward_calls.clear()
        self.processor.restart(cold=True)
        self.started_at = self.kernel.now()

    def stop(self) -> None:
        """Stops the exchange for good, as one that is replaced."""
        self.stopped = True
        self.end_all_calls(notify=True)
        self.listener.close()
        for connection in list(self.connections):
            connection.stream.close()
