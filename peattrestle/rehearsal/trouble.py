"""Troubles: what each kind does to the world when it begins and when it ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from peattrestle.rehearsal.script import Trouble
from peattrestle.rehearsal.world import World
from peattrestle.runtime import Coroutine, Lost, Refused
from peattrestle.standin.exchange import StandinExchange

MS = 1_000_000
SECOND = 1_000_000_000


class Hosts(Protocol):
    """Where the agents run."""

    def kill(self, number: int) -> None: ...
    def start(self, number: int) -> None: ...
    def address(self, number: int) -> str: ...


class Troubles:
    def __init__(self, world: World, hosts: Hosts) -> None:
        self.world, self.hosts = world, hosts
        self.kernel = world.kernel
        self.draw = world.kernel.chance("troubles")
        self.played: dict[str, int] = {}

    def schedule(self, troubles: tuple[Trouble, ...], started: int) -> None:
        for one in troubles:
            self.kernel.at(started + one.at, lambda one=one: self.begin(one))  # type: ignore[misc]

    def who(self, one: Trouble) -> list[int]:
        if one.who:
            return list(one.who)
        count = self.world.script.fleet.exchanges
        return sorted(self.draw.sample(range(count), max(1, round(one.share * count))))

    def begin(self, one: Trouble) -> None:
        self.played[one.kind] = self.played.get(one.kind, 0) + 1
        undo = getattr(self, f"do_{one.kind}")(one)
        if undo is not None:
            self.kernel.at(self.kernel.now() + one.length, undo)

    def _exchanges(self, one: Trouble) -> list[StandinExchange]:
        return [self.world.fabric.exchanges[number] for number in self.who(one)]

    # Processors.

    def do_silent(self, one: Trouble) -> Callable[[], None]:
        """Takes set-ups and answers none, then comes back cold; the list learns its new start."""
        exchanges = self._exchanges(one)
        for exchange in exchanges:
            exchange.processor.silent = True

        def back() -> None:
            for exchange in exchanges:
                if not exchange.stopped:
                    self.world.note_pressure()
                    exchange.restart_cold()
                    self.world.list.set(exchange, "ready")

        return back

    def do_hang(self, one: Trouble) -> Callable[[], None]:
        exchanges = self._exchanges(one)
        for exchange in exchanges:
            exchange.processor.silent = True

        def undo() -> None:
            for exchange in exchanges:
                exchange.processor.resume()

        return undo

    def do_slow(self, one: Trouble) -> Callable[[], None]:
        exchanges, multiple = self._exchanges(one), max(1.0, one.figure)
        for exchange in exchanges:
            exchange.processor.slowdown *= multiple

        def undo() -> None:
            for exchange in exchanges:
                exchange.processor.slowdown /= multiple

        return undo

    def do_ageing(self, one: Trouble) -> Callable[[], None]:
        """Slower and slower, then a crash and a cold return."""
        exchanges, steps = self._exchanges(one), 10
        for step in range(steps):

            def slower() -> None:
                for exchange in exchanges:
                    exchange.processor.slowdown *= 1.25

            self.kernel.at(self.kernel.now() + one.length * step // steps, slower)

        def crash() -> None:
            for exchange in exchanges:
                exchange.processor.slowdown = 1.0
                if not exchange.stopped:
                    self.world.note_pressure()
                    exchange.restart_cold()
                    self.world.list.set(exchange, "ready")

        return crash

    def do_replace(self, one: Trouble) -> Callable[[], None]:
        """Drained as the list tells, then stopped for good; a new one takes its number, cold."""
        olds = self._exchanges(one)
        for old in olds:
            self.world.list.set(old, "draining")

        def swap() -> None:
            for old in olds:
                if old.stopped:
                    continue
                self.world.note_pressure()
                old.stop()
                self.world.list.set(old, "gone")
                self.world.add_exchange(old.number, cold=True)

        return swap

    # Answers, links, regions.

    def do_answers_lost(self, one: Trouble) -> Callable[[], None]:
        self.world.fabric.answers_lost = min(1.0, one.figure)

        def undo() -> None:
            self.world.fabric.answers_lost = 0.0

        return undo

    def do_region_cut(self, one: Trouble) -> Callable[[], None]:
        fabric, regions = self.world.fabric, self.world.script.fleet.regions
        region = one.region or self.draw.choice(regions)
        fabric.cut_regions.add(region)

        def heal() -> None:
            fabric.cut_regions.discard(region)
            fabric.heal()

        return heal

    def do_circuits_lost(self, one: Trouble) -> Callable[[], None]:
        """Groups between one region and the others keep `figure` of their circuits."""
        fabric, regions = self.world.fabric, self.world.script.fleet.regions
        region = one.region or self.draw.choice(regions)
        hit = [
            group
            for group in fabric.groups.values()
            if (fabric.regions[group.ends[0]] == region) != (fabric.regions[group.ends[1]] == region)
        ]
        for group in hit:
            group.out_of_service = group.size - round(group.size * min(1.0, one.figure))
            over = group.taken - group.working()
            for end in group.ends:
                exchange = fabric.exchanges[end]
                for side, held in exchange.established_calls():
                    if over > 0 and side.number in group.ends and held.has_circuits:
                        over -= held.request.width
                        exchange.cut_call(side, held)
            fabric.schedule_report(group)

        def undo() -> None:
            for group in hit:
                group.out_of_service = 0
                fabric.schedule_report(group)

        return undo

    def do_cut_calls(self, one: Trouble) -> None:
        for exchange in list(self.world.fabric.exchanges.values()):
            for side, held in exchange.established_calls():
                if self.draw.random() < one.figure:
                    exchange.cut_call(side, held)

    def do_list_gone(self, one: Trouble) -> Callable[[], None]:
        self.world.list.vanish()
        return self.world.list.come_back

    # Agents.

    def do_kill_agent(self, one: Trouble) -> Callable[[], None]:
        numbers = self.who(one)
        for number in numbers:
            self.world.record.add(self.kernel.now(), "killed", "host", f"a{number}")
            self.hosts.kill(number)

        def undo() -> None:
            for number in numbers:
                self.hosts.start(number)

        return undo

    # Callers.

    def do_surge(self, one: Trouble) -> Callable[[], None]:
        key = f"{one.label}/{self.kernel.now()}"
        who = set(one.who or range(self.world.script.fleet.exchanges))
        self.world.surges[key] = (who, max(0.0, one.figure))
        self.world.set_rates()

        def undo() -> None:
            del self.world.surges[key]
            self.world.set_rates()

        return undo

    def do_hot_number(self, one: Trouble) -> Callable[[], None]:
        destination = self.who(one)[0]
        number = f"hot.{destination}"
        self.world.fabric.line_limits[number] = 3
        for gateway in self.world.gateways:
            gateway.traffic.hot_number = (number, destination, min(1.0, one.figure))

        def undo() -> None:
            for gateway in self.world.gateways:
                gateway.traffic.hot_number = None

        return undo

    def do_early_leavers(self, one: Trouble) -> Callable[[], None]:
        self.world.habits.leaves_early = min(1.0, one.figure)

        def undo() -> None:
            self.world.habits.leaves_early = 0.0

        return undo

    def do_repeats(self, one: Trouble) -> Callable[[], None]:
        self.world.habits.repeats = min(1.0, one.figure)

        def undo() -> None:
            self.world.habits.repeats = 0.0

        return undo

    def do_reconnect(self, one: Trouble) -> None:
        """The gateways of the exchanges concerned lose their connections, all in the same moment."""
        numbers = set(self.who(one))
        for gateway in self.world.gateways:
            if gateway.number in numbers:
                gateway.reset()

    def do_flood(self, one: Trouble) -> Callable[[], None]:
        """The last gateway of each exchange concerned offers `figure` times its part and heeds no advice."""
        numbers = set(self.who(one))
        last = {gateway.number: gateway for gateway in self.world.gateways}
        floods = [gateway for number, gateway in last.items() if number in numbers]
        for gateway in floods:
            gateway.is_flooding = gateway.flooded = True
            gateway.rate_multiple = max(1.0, one.figure)
        self.world.set_rates()

        def undo() -> None:
            for gateway in floods:
                gateway.is_flooding, gateway.rate_multiple = False, 1.0
            self.world.set_rates()

        return undo

    def do_gateway_reset(self, one: Trouble) -> None:
        for number in self.who(one):
            next(one for one in self.world.gateways if one.number == number).reset()

    # Sockets.

    def _flag(self, one: Trouble, name: str, on: object, off: object) -> Callable[[], None]:
        exchanges = self._exchanges(one)
        for exchange in exchanges:
            setattr(exchange.flags, name, on)

        def undo() -> None:
            for exchange in exchanges:
                setattr(exchange.flags, name, off)

        return undo

    def do_resets(self, one: Trouble) -> Callable[[], None]:
        return self._flag(one, "reset_setups", min(1.0, one.figure), 0.0)

    def do_mute(self, one: Trouble) -> Callable[[], None]:
        return self._flag(one, "mute", True, False)

    def do_stall(self, one: Trouble) -> Callable[[], None]:
        return self._flag(one, "stall", True, False)

    def do_single_bytes(self, one: Trouble) -> Callable[[], None]:
        return self._flag(one, "single_bytes", True, False)

    def do_late_replies(self, one: Trouble) -> Callable[[], None]:
        return self._flag(one, "late_replies", round(max(0.01, one.figure) * SECOND), 0)

    def do_double_replies(self, one: Trouble) -> Callable[[], None]:
        return self._flag(one, "double_replies", min(1.0, one.figure), 0.0)

    def do_garble(self, one: Trouble) -> Callable[[], None]:
        return self._flag(one, "garble", min(1.0, one.figure), 0.0)

    def do_garbage(self, one: Trouble) -> None:
        """A stranger writes drawn bytes, or half a message, to an agent's callers' port and goes."""
        for number in self.who(one):
            self.kernel.spawn(self.stranger(number), "stranger")

    def stranger(self, number: int) -> Coroutine[None]:
        pieces = [
            bytes(self.draw.randrange(256) for _ in range(200)),
            b"\x03\x00\x00\x30MEGACO/1 <s> Tran",
            b"\x03\x00\x00\x15MEGACO/1 <s> T=1{",
            b"\x03\x00\xff\xff",
        ]
        for piece in pieces:
            try:
                stream = yield from self.kernel.connect(self.hosts.address(number), SECOND, "stranger")
                stream.write(piece)
                yield from self.kernel.sleep(100 * MS)
                stream.close()
            except (Lost, Refused):
                pass
