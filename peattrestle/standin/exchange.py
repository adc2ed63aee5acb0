"""A stand-in exchange: takes set-ups from agents, does their work on its processor, hands transit to its own
agent, tells that agent its groups. It knows the codec, and nothing of the agent's inside."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from peattrestle.h248 import package
from peattrestle.h248.package import BadValue, Outcome, SetUpAsked
from peattrestle.h248.session import BadPeer, Session
from peattrestle.h248.text import Action, Command, Malformed, Request
from peattrestle.h248.transactions import Answered, New, Stray, Transactions
from peattrestle.runtime import Coroutine, Kernel, Listener, Lost, Stream
from peattrestle.standin.fabric import Fabric, Flags, Group
from peattrestle.standin.processor import Processor


@dataclass(slots=True)
class Held:
    """A set-up here: `state` is 'working', 'onward' (with the own agent), 'stands' or 'over'."""

    agent: str
    transaction: int
    asked: SetUpAsked
    context: int
    state: str = "working"
    circuits: bool = False
    line: bool = False
    onward: str = ""  # termination of the transit leg towards the own agent


class AgentSide:
    """One agent as seen from here, over its connections."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.number = -1
        self.run = ""
        self.transactions = Transactions(1, 100_000, 100_000)
        self.connection: Connection | None = None
        self.held: dict[str, Held] = {}


class Connection:
    def __init__(self, exchange: StandinExchange, stream: Stream) -> None:
        self.exchange, self.stream = exchange, stream
        self.side: AgentSide | None = None
        self.waiting: list[bytes] = []  # cannot pass: a region is cut off
        self.late: list[tuple[int, bytes]] = []
        self.busy_until = 0
        self.unsure_until = 0  # what is read before this may have lain here for long
        self.session = Session(exchange.mid, Transactions(), self.write, bind=self.bind)

    def bind(self, mid: str) -> Transactions:
        exchange, name = self.exchange, mid.strip("<>")
        side = exchange.agents.setdefault(name, AgentSide(name))
        if side.connection is not None:
            former = side.connection
            former.ended("it came again")
            former.stream.close()
        side.connection, self.side = self, side
        return side.transactions

    def catch_up(self) -> None:
        late, self.late = self.late, []
        try:
            for at, data in late:
                self.feed(at, data)
        except BadPeer:
            self.stream.abort()

    def drop_late(self) -> None:
        """What was still on its way goes down with the connection; it was seen at the socket all the same."""
        late, self.late = self.late, []
        for at, data in late:
            try:
                parts = [part for message in self.session.peek(data) for part in message.parts]
            except (BadPeer, Malformed):
                return
            for part in parts:
                if isinstance(part, Request) and self.side is not None:
                    self.exchange.only_seen(self.side, at, part.actions[0].commands[0])

    def feed(self, seen_at: int, data: bytes) -> None:
        exchange = self.exchange
        exchange.seen_at, exchange.unsure = seen_at, seen_at < self.unsure_until
        for heard in self.session.feed(exchange.kernel.now(), data):
            if isinstance(heard, New) and self.side is not None:
                exchange.asked(self, self.side, heard.request)
            elif isinstance(heard, Answered) and isinstance(heard.kept, Held):
                exchange.onward_answered(heard.kept, package.read_outcome(heard.reply))
            elif isinstance(heard, Answered) and isinstance(heard.kept, str) and self.side is not None:
                exchange.onward_ended(self.side, heard.kept, package.refusal(heard.reply))
            elif isinstance(heard, Stray) and self.side is not None:
                exchange.stray(self.side, heard.id)

    def passes(self) -> bool:
        side = self.side
        return (
            side is None
            or side.number < 0
            or self.exchange.fabric.reachable(side.number, self.exchange.number)
        )

    def write(self, data: bytes) -> None:
        exchange, flags = self.exchange, self.exchange.flags
        if flags.mute:
            return
        if not self.passes() or self.waiting:
            if not self.waiting:
                exchange.fabric.healed.append(self.flush)
            self.waiting.append(data)
            return
        if flags.garble and exchange.draw.random() < flags.garble:
            asked = re.search(rb"Add=(n/[^{]*)", data)
            if asked is not None and self.side is not None:
                # Whoever can't read a request's number can't answer it; its asker finds out by its own time.
                now, termination = exchange.kernel.now(), asked.group(1).decode()
                exchange.fabric.record.add(now, "dropped", exchange.name, self.side.name, termination)
            at = exchange.draw.randrange(4, len(data))
            data = data[:at] + bytes([exchange.draw.choice(b'{}"=,\x00\xff')]) + data[at + 1 :]
        if flags.late_replies and b"Reply=" in data:
            exchange.kernel.at(exchange.kernel.now() + flags.late_replies, lambda: self.stream.write(data))
        elif flags.single_bytes or self.busy_until > exchange.kernel.now():
            at = max(self.busy_until, exchange.kernel.now())
            for place in range(len(data)):
                at += 20_000
                exchange.kernel.at(at, partial(self.stream.write, data[place : place + 1]))
            self.busy_until = at  # what follows must not overtake
        else:
            self.stream.write(data)
        if flags.double_replies and b"Reply=" in data and exchange.draw.random() < flags.double_replies:
            exchange.kernel.at(exchange.kernel.now() + 30_000_000, lambda: self.stream.write(data))

    def flush(self) -> None:
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            self.write(data)

    def run(self) -> Coroutine[None]:
        exchange, why = self.exchange, "closed"
        try:
            while True:
                while exchange.flags.stall:
                    self.unsure_until = exchange.kernel.now() + 200_000_000
                    yield from exchange.kernel.sleep(20_000_000)
                data = yield from self.stream.read()
                if not data:
                    break
                if self.late or not self.passes():
                    # It is on its way across a cut: seen at the socket now, worked on when it heals.
                    if not self.late:
                        exchange.fabric.healed.append(self.catch_up)
                    self.late.append((exchange.kernel.now(), data))
                else:
                    self.feed(exchange.kernel.now(), data)
                if self.stream.unsent > 1 << 24:
                    raise Lost("an agent that does not read")
        except (Lost, BadPeer) as fault:
            why = str(fault)
        finally:
            self.stream.close()
            self.drop_late()
            exchange.connections.pop(self, None)
            self.ended(why)

    def ended(self, why: str) -> None:
        """What was asked over this connection and not answered ends with it."""
        exchange, side = self.exchange, self.side
        if side is None or side.connection is not self:
            return
        side.connection = None
        exchange.fabric.record.add(exchange.kernel.now(), "lost", exchange.name, side.name, text=why)
        for kept in side.transactions.lost():
            if isinstance(kept, Held):
                exchange.onward_dropped(side, kept)
            elif isinstance(kept, str):
                exchange.owed.append(kept)


class StandinExchange:
    def __init__(
        self,
        kernel: Kernel,
        fabric: Fabric,
        name: str,
        number: int,
        address: str,
        own_agent: str,
        cold: bool = False,
    ) -> None:
        self.kernel, self.fabric, self.name, self.number = kernel, fabric, name, number
        self.mid = f"<{name}>"
        self.own_agent = own_agent
        self.flags = Flags()
        self.draw = kernel.chance(f"exchange/{name}")
        figures = fabric.figures
        self.processor = Processor(
            kernel,
            figures.look + figures.set_up,
            figures.wait_limit,
            figures.cold_from,
            figures.cold_time,
            figures.fall_multiple,
            figures.fall_time,
            figures.urgent_first,
        )
        self.processor.on_fall = self.fell
        self.started_at = kernel.now() if cold else -1
        if cold:
            self.processor.restart(cold=True)
        self.agents: dict[str, AgentSide] = {}
        self.connections: dict[Connection, None] = {}  # in order: a set's would differ from run to run
        self.contexts = 0
        self.onward_count = 0
        self.onward: dict[str, tuple[AgentSide, Held]] = {}
        self.stopped = False
        self.seen_at = 0  # when what is worked on now was seen at the socket
        self.unsure = False  # it may have been there for long: nothing was read
        self.owed: list[str] = []  # transit calls to take back when the own agent's link is there again
        self.onward_asks: dict[int, str] = {}
        self.listener: Listener = kernel.listen(address)
        self.address = self.listener.address
        self.task = kernel.spawn(self.run(), f"exchange {name}")

    def run(self) -> Coroutine[None]:
        while True:
            try:
                stream = yield from self.listener.accept()
            except Lost:
                return
            connection = Connection(self, stream)
            self.connections[connection] = None
            self.kernel.spawn(connection.run(), f"{self.name} < {stream.peer}")

    def record(
        self, kind: str, side: AgentSide, termination: str, reference: str = "", code: int = 0
    ) -> None:
        incoming = kind in ("add", "freed")
        self.fabric.record.add(
            self.seen_at if incoming else self.kernel.now(),
            kind,
            self.name,
            side.name,
            termination,
            reference,
            code,
            text="unsure" if incoming and self.unsure else "",
        )

    def fell(self, senders: list[str]) -> None:
        self.fabric.record.add(
            self.kernel.now(), "fell", self.name, "", value=self.started_at, text=" ".join(senders)
        )

    def only_seen(self, side: AgentSide, at: int, command: Command) -> None:
        self.seen_at, self.unsure = at, False
        if command.name == "Subtract":
            self.record("freed", side, command.termination)
        elif command.name == "Add":
            reference = command.find("Media", "LocalControl", "ptc/ref")
            self.record("add", side, command.termination, reference.value or "" if reference else "")

    # Requests of agents.

    def asked(self, connection: Connection, side: AgentSide, request: Request) -> None:
        action, command = request.actions[0], request.actions[0].commands[0]
        if command.name == "Add":
            self.add(connection, side, request.id, command)
        elif command.name == "Subtract":
            self.subtract(side, request.id, action, command)
        elif command.name == "ServiceChange":
            self.service_change(side, command)
            age = f",ptc/age={self.kernel.now() - self.started_at}" if self.started_at >= 0 else ""
            services = f"Services{{Profile={package.PROFILE}{age}}}"
            self.reply(
                side,
                request.id,
                package.command_reply(request.id, "-", "ServiceChange", "ROOT", inside=services),
            )
            if age:
                now = self.kernel.now()
                self.fabric.record.add(now, "told", self.name, side.name, text=f"{self.name} started")
            if side.name == self.own_agent and side.connection is not None:
                owed, self.owed = self.owed, []
                for termination in owed[-10_000:]:
                    self.take_back(side, termination)
                self.tell_groups(group for group in self.fabric.groups.values() if self.number in group.ends)
        elif command.name == "Notify":
            if package.is_cut(command) and command.termination in self.onward:
                owner, held = self.onward[command.termination]
                self.cut(owner, held)
            self.reply(
                side,
                request.id,
                package.command_reply(request.id, action.context, "Notify", command.termination),
            )
        else:
            self.reply(
                side,
                request.id,
                package.command_reply(request.id, action.context, command.name, command.termination),
            )

    def reply(self, side: AgentSide, number: int, parts: str) -> None:
        if side.connection is not None:
            side.connection.session.reply(number, parts)
        else:
            side.transactions.answer(number, parts)

    def service_change(self, side: AgentSide, command: Command) -> None:
        """An agent whose run is another one has forgotten what the last one held: it is freed."""
        change = package.read_service_change(command)
        side.number = int(change.parameters.get("ptc/num", "-1"))
        run = change.parameters.get("ptc/run", "")
        if run != side.run:
            for held in list(side.held.values()):
                self.free(side, held)
            if side.run:
                side.transactions.served.clear()
            side.run = run

    def add(self, connection: Connection, side: AgentSide, number: int, command: Command) -> None:
        try:
            asked = package.read_add(command)
        except BadValue as fault:
            self.reply(
                side,
                number,
                package.command_reply(
                    number, "$", "Add", command.termination, (package.BAD_VALUE, str(fault))
                ),
            )
            return
        if asked.termination in side.held:
            self.reply(
                side,
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
        self.record("add", side, asked.termination, asked.reference)
        if self.flags.reset_setups and self.draw.random() < self.flags.reset_setups:
            connection.stream.abort()
            return
        self.contexts += 1
        held = side.held[asked.termination] = Held(side.name, number, asked, self.contexts)
        if not self.fabric.take(side.number, self.number, asked.width):
            self.refuse(side, held, "no_circuit")
            return
        held.circuits = True
        figures, origin = self.fabric.figures, self.fabric.exchanges.get(side.number)

        def here() -> None:
            if held.state != "working":
                return
            if not self.processor.set_up(figures.look + figures.set_up, worked, side.name):
                self.refuse(side, held, "processor_full")

        def worked() -> None:
            if held.state == "working":
                self.worked(side, held)

        # What waited behind a cut passed its origin's processor long ago, not when it heals.
        waited = self.kernel.now() - self.seen_at > 5_000_000
        if origin is None or origin is self or waited:
            here()
        elif not origin.processor.set_up(figures.set_up, here, side.name):
            self.refuse(side, held, "processor_full")

    def worked(self, side: AgentSide, held: Held) -> None:
        asked = held.asked
        if asked.destination != self.number:
            self.hand_over(side, held)
        elif not self.fabric.line_free(asked.number):
            self.refuse(side, held, "lines_busy")
        else:
            held.line = True
            self.stands(side, held)

    def stands(self, side: AgentSide, held: Held) -> None:
        held.state = "stands"
        if self.fabric.answers_lost and self.draw.random() < self.fabric.answers_lost:
            return  # the work is done, and its answer never arrives
        origin = self.fabric.exchanges.get(side.number)

        def answered() -> None:
            if held.state == "stands":
                self.outcome(side, held, Outcome(0, str(held.context), load=self.load(side.number)))

        if origin is None:
            answered()
        else:
            origin.processor.urgent(self.fabric.figures.answer, answered)

    def refuse(self, side: AgentSide, held: Held, cause: str) -> None:
        self.outcome(
            side, held, Outcome(package.REFUSED, text=cause, cause=cause, load=self.load(side.number))
        )
        self.free(side, held)

    def outcome(self, side: AgentSide, held: Held, outcome: Outcome) -> None:
        self.record("replied", side, held.asked.termination, held.asked.reference, outcome.code)
        self.reply(
            side, held.transaction, package.outcome_text(held.transaction, held.asked.termination, outcome)
        )

    def load(self, agent: int) -> dict[str, float]:
        group = self.fabric.group(agent, self.number)
        load = {"queue": float(self.processor.queue()), "rate": round(self.processor.rate(), 1)}
        if group is not None:
            load |= {"free": float(group.free()), "size": float(group.working())}
        return load

    def subtract(self, side: AgentSide, number: int, action: Action, command: Command) -> None:
        held = side.held.get(command.termination)
        self.record("freed", side, command.termination)
        if held is None:
            self.reply(
                side,
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
        if held.state != "over":
            self.free(side, held, after_work=True)
        rows = ",".join(
            f"{name}={self.load(side.number)[ours]:.10g}"
            for name, ours in package.LOAD.items()
            if ours in self.load(side.number)
        )
        self.reply(
            side,
            number,
            package.command_reply(
                number, str(held.context), "Subtract", command.termination, inside=f"Statistics{{{rows}}}"
            ),
        )

    def free(self, side: AgentSide, held: Held, after_work: bool = False) -> None:
        """Gives back what a set-up held; `after_work`: only when the processor has come to the release."""
        if held.state == "over":
            return
        held.state = "over"
        self.end_onward(held)
        if held.line:
            self.fabric.line_given(held.asked.number)
        if after_work and not self.processor.silent and not self.processor.fallen and not self.stopped:
            self.processor.urgent(self.fabric.figures.release, lambda: self.give(side, held))
        else:
            self.give(side, held)

    def give(self, side: AgentSide, held: Held) -> None:
        side.held.pop(held.asked.termination, None)
        if held.circuits:
            held.circuits = False
            self.fabric.give(side.number, self.number, held.asked.width)

    # Transit: to the own agent and back.

    def to_own_agent(self, build: Callable[[int], str], kept: Held | None = None) -> bool:
        side = self.agents.get(self.own_agent)
        if side is None or side.connection is None:
            return False
        number = side.connection.session.request(kept, build)
        if kept is not None:
            self.onward_asks[number] = kept.onward
            if len(self.onward_asks) > 10_000:
                del self.onward_asks[next(iter(self.onward_asks))]
        return True

    def hand_over(self, side: AgentSide, held: Held) -> None:
        asked = held.asked
        self.onward_count += 1
        held.state, held.onward = "onward", f"n/{self.name}/{self.onward_count}"
        onward = SetUpAsked(
            held.onward,
            asked.bearer_type,
            asked.destination,
            max(1, asked.patience - 50_000_000),
            asked.number,
            asked.width,
            transit=True,
            repeat=asked.repeat,
            cut_before=asked.cut_before,
            customer=asked.customer,
            reference=f"{asked.reference}+{self.onward_count}",
            origin=side.number,
        )
        own = self.agents.get(self.own_agent)
        if own is None or not self.to_own_agent(lambda number: package.add_text(number, onward), held):
            self.refuse(side, held, "turned_back")
            return
        self.onward[held.onward] = (side, held)
        if not self.flags.mute:  # else nothing of it was seen at any socket
            self.fabric.record.add(
                self.kernel.now(),
                "asked",
                self.name,
                own.name,
                held.onward,
                onward.reference,
                value=self.kernel.now() + onward.patience,
            )

    def stray(self, side: AgentSide, number: int) -> None:
        """A second answer to a transit call, or one to nothing."""
        termination = self.onward_asks.get(number, "")
        if termination and side.name == self.own_agent:
            self.fabric.record.add(
                self.kernel.now(), "answered", self.name, side.name, termination, text="again"
            )

    def end_onward(self, held: Held) -> None:
        """Takes a transit call back from the own agent; an answer of its may cross this."""
        side = self.agents.get(self.own_agent)
        if self.onward.pop(held.onward, None) is None or side is None:
            return
        if side.connection is None:
            self.owed.append(held.onward)
            return
        self.fabric.record.add(self.kernel.now(), "subtracted", self.name, side.name, held.onward)
        self.take_back(side, held.onward)

    def ask_again(self, side: AgentSide, number: int, termination: str) -> None:
        if side.connection is not None and side.transactions.open.get(number) == termination:
            side.connection.session.send(package.subtract_text(number, "*", termination))
            again = self.kernel.now() + 1_000_000_000
            self.kernel.at(again, lambda: self.ask_again(side, number, termination))

    def take_back(self, side: AgentSide, termination: str) -> None:
        """Asked again until it is answered."""
        if side.connection is not None:
            number = side.connection.session.request(
                termination, lambda number: package.subtract_text(number, "*", termination)
            )
            again = self.kernel.now() + 1_000_000_000
            self.kernel.at(again, lambda: self.ask_again(side, number, termination))

    def onward_ended(self, side: AgentSide, termination: str, code: int) -> None:
        """The own agent confirms it: from now on nothing more may come for that call."""
        if code not in (0, package.UNKNOWN_TERMINATION):
            self.take_back(side, termination)  # it could not read the request
            return
        self.fabric.record.add(self.kernel.now(), "confirmed", self.name, side.name, termination)
        for number, kept in list(side.transactions.open.items()):
            if isinstance(kept, Held) and kept.onward == termination:
                side.transactions.give_up(number)

    def onward_dropped(self, side: AgentSide, held: Held) -> None:
        self.fabric.record.add(self.kernel.now(), "dropped", self.name, side.name, held.onward)
        self.owed.append(held.onward)  # it may stand there, with its answer lost
        owner = self.onward.pop(held.onward, None)
        if owner is not None and held.state == "onward":
            self.refuse(owner[0], held, "turned_back")

    def onward_answered(self, held: Held, outcome: Outcome) -> None:
        owner = self.onward.get(held.onward)
        own = self.agents.get(self.own_agent)
        if own is not None:
            self.fabric.record.add(
                self.kernel.now(),
                "answered",
                self.name,
                own.name,
                held.onward,
                code=outcome.code,
                text="unsure" if self.unsure else "",
            )
        if owner is None or held.state != "onward":
            return
        side = owner[0]
        if outcome.code == 0:
            self.stands(side, held)
            return
        self.onward.pop(held.onward, None)
        self.refuse(
            side, held, outcome.cause if outcome.cause in ("turned_back", "beyond_full") else "turned_back"
        )

    # What happens to calls from outside.

    def cut(self, side: AgentSide, held: Held) -> None:
        """A standing call is cut: its circuits are free, and whoever set it up is told."""
        if held.state == "over":
            return
        self.free(side, held)
        self.fabric.record.add(self.kernel.now(), "cut", self.name, side.name, held.asked.termination)
        if side.connection is not None:
            side.connection.session.request(
                None,
                lambda number: package.notify_text(
                    number, str(held.context), held.asked.termination, ["ptc/cut"]
                ),
            )

    def standing(self) -> list[tuple[AgentSide, Held]]:
        return [
            (side, held)
            for side in self.agents.values()
            for held in list(side.held.values())
            if held.state == "stands"
        ]

    def tell_groups(self, groups: Iterable[Group]) -> None:
        side = self.agents.get(self.own_agent)
        if side is None or side.connection is None:
            return
        events = []
        for group in groups:
            other = group.ends[0] if group.ends[1] == self.number else group.ends[1]
            events.append(package.group_event(other, group.free(), group.working()))
        for at in range(0, len(events), 100):
            side.connection.session.request(
                None,
                lambda number, at=at: package.notify_text(  # type: ignore[misc]
                    number, "-", "ROOT", events[at : at + 100]
                ),
            )

    def held_circuits(self) -> Iterable[tuple[tuple[int, int], int]]:
        for side in self.agents.values():
            for held in side.held.values():
                if held.circuits:
                    yield (
                        (
                            (side.number, self.number)
                            if side.number < self.number
                            else (self.number, side.number)
                        ),
                        held.asked.width,
                    )

    def drop_all(self, tell: bool) -> None:
        """All calls here end; `tell`: those who set them up hear of it (else they find out)."""
        for side in self.agents.values():
            for held in list(side.held.values()):
                if tell and held.state == "stands":
                    self.cut(side, held)
                self.free(side, held)
                self.give(side, held)  # also where its release still waited for the processor

    def restart_cold(self) -> None:
        """Comes back after a crash: all connections reset, all calls gone, cold."""
        self.drop_all(tell=False)
        for connection in list(self.connections):
            connection.stream.abort()
        self.onward.clear()
        self.processor.restart(cold=True)
        self.started_at = self.kernel.now()

    def stop(self) -> None:
        """For good: a replaced exchange."""
        self.stopped = True
        self.drop_all(tell=True)
        self.listener.close()
        for connection in list(self.connections):
            connection.stream.close()
