"""The troubles of a script: what each kind does to the simulated surroundings when it begins and ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from peattrestle.rehearsal.script import Trouble
from peattrestle.rehearsal.world import World
from peattrestle.runtime import ConnectFailed, ConnectionLost, Coroutine
from peattrestle.standin.exchange import SimulatedExchange

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds


class Hosts(Protocol):
    """Starts and kills the agents, by number; `address` is the callers' address of one."""

    def kill(self, number: int) -> None: ...
    def start(self, number: int) -> None: ...
    def address(self, number: int) -> str: ...


class Troubles:
    """Schedules the troubles of a script.

    Each kind has a method `begin_<kind>`, which starts the trouble and returns what ends it, or None.
    """

    def __init__(self, world: World, hosts: Hosts) -> None:
        self.world, self.hosts = world, hosts
        self.kernel = world.kernel
        self.rng = world.kernel.random_for("troubles")
        self.begun: dict[str, int] = {}

    def schedule(self, troubles: tuple[Trouble, ...], started: int) -> None:
        """Schedules `troubles`, whose times count from `started`, a time of the kernel in nanoseconds."""
        for trouble in troubles:
            self.kernel.call_at(started + trouble.at, lambda trouble=trouble: self.begin(trouble))  # type: ignore[misc]

    def exchange_numbers(self, trouble: Trouble) -> list[int]:
        """The numbers of the exchanges concerned: those named, or a random share of all."""
        if trouble.who:
            return list(trouble.who)
        count = self.world.script.fleet.exchanges
        return sorted(self.rng.sample(range(count), max(1, round(trouble.share * count))))

    def begin(self, trouble: Trouble) -> None:
        """Begins a trouble now and schedules its end."""
        self.begun[trouble.kind] = self.begun.get(trouble.kind, 0) + 1
        end = getattr(self, f"begin_{trouble.kind}")(trouble)
        if end is not None:
            self.kernel.call_at(self.kernel.now() + trouble.length, end)

    def _exchanges(self, trouble: Trouble) -> list[SimulatedExchange]:
        return [self.world.network.exchanges[number] for number in self.exchange_numbers(trouble)]

    # Processors.

    def begin_silent(self, trouble: Trouble) -> Callable[[], None]:
        """Exchanges accept set-ups and answer none, then restart cold; the list reports the restart."""
        exchanges = self._exchanges(trouble)
        for exchange in exchanges:
            exchange.processor.silent = True

        def restart() -> None:
            for exchange in exchanges:
                if not exchange.stopped:
                    self.world.record_cold_load()
                    exchange.restart_cold()
                    self.world.exchange_list.set_state(exchange, "ready")

        return restart

    def begin_hang(self, trouble: Trouble) -> Callable[[], None]:
        """Exchanges accept work and finish none, then continue with it."""
        exchanges = self._exchanges(trouble)
        for exchange in exchanges:
            exchange.processor.silent = True

        def end() -> None:
            for exchange in exchanges:
                exchange.processor.resume()

        return end

    def begin_slow(self, trouble: Trouble) -> Callable[[], None]:
        """Processors run slower by the factor `figure`."""
        exchanges, multiple = self._exchanges(trouble), max(1.0, trouble.figure)
        for exchange in exchanges:
            exchange.processor.slowdown *= multiple

        def end() -> None:
            for exchange in exchanges:
                exchange.processor.slowdown /= multiple

        return end

    def begin_ageing(self, trouble: Trouble) -> Callable[[], None]:
        """Processors get slower by 25% in each of 10 steps, then crash and restart cold."""
        exchanges, steps = self._exchanges(trouble), 10
        for step in range(steps):

            def slow_down() -> None:
                for exchange in exchanges:
                    exchange.processor.slowdown *= 1.25

            self.kernel.call_at(self.kernel.now() + trouble.length * step // steps, slow_down)

        def crash_and_restart() -> None:
            for exchange in exchanges:
                exchange.processor.slowdown = 1.0
                if not exchange.stopped:
                    self.world.record_cold_load()
                    exchange.restart_cold()
                    self.world.exchange_list.set_state(exchange, "ready")

        return crash_and_restart

    def begin_replace(self, trouble: Trouble) -> Callable[[], None]:
        """Exchanges are drained, then stopped and replaced by cold ones of the same number."""
        exchanges = self._exchanges(trouble)
        for exchange in exchanges:
            self.world.exchange_list.set_state(exchange, "draining")

        def replace() -> None:
            for exchange in exchanges:
                if exchange.stopped:
                    continue
                self.world.record_cold_load()
                exchange.stop()
                self.world.exchange_list.set_state(exchange, "gone")
                self.world.add_exchange(exchange.number, cold=True)

        return replace

    # Answers, trunk groups, regions, the exchange list.

    def begin_answers_lost(self, trouble: Trouble) -> Callable[[], None]:
        """The share `figure` of the answers to set-ups is never sent."""
        self.world.network.answers_lost = min(1.0, trouble.figure)

        def end() -> None:
            self.world.network.answers_lost = 0.0

        return end

    def begin_region_cut(self, trouble: Trouble) -> Callable[[], None]:
        """Exchanges of a region and those of other regions cannot reach each other."""
        network, regions = self.world.network, self.world.script.fleet.regions
        region = trouble.region or self.rng.choice(regions)
        network.cut_regions.add(region)

        def end_cut() -> None:
            network.cut_regions.discard(region)
            network.heal()

        return end_cut

    def begin_circuits_lost(self, trouble: Trouble) -> Callable[[], None]:
        """Trunk groups between one region and the others keep the share `figure` of their circuits.

        Established calls are cut until those left fit.
        """
        network, regions = self.world.network, self.world.script.fleet.regions
        region = trouble.region or self.rng.choice(regions)
        groups = [
            group
            for group in network.groups.values()
            if (network.regions[group.ends[0]] == region) != (network.regions[group.ends[1]] == region)
        ]
        for group in groups:
            group.out_of_service = group.size - round(group.size * min(1.0, trouble.figure))
            excess = group.in_use - group.working()
            for number in group.ends:
                exchange = network.exchanges[number]
                for peer, call in exchange.established_calls():
                    if excess > 0 and peer.number in group.ends and call.has_circuits:
                        excess -= call.request.width
                        exchange.cut_call(peer, call)
            network.schedule_report(group)

        def restore() -> None:
            for group in groups:
                group.out_of_service = 0
                network.schedule_report(group)

        return restore

    def begin_cut_calls(self, trouble: Trouble) -> None:
        """The share `figure` of the established calls is cut."""
        for exchange in list(self.world.network.exchanges.values()):
            for peer, call in exchange.established_calls():
                if self.rng.random() < trouble.figure:
                    exchange.cut_call(peer, call)

    def begin_list_gone(self, trouble: Trouble) -> Callable[[], None]:
        """The exchange list cannot be reached."""
        self.world.exchange_list.go_down()
        return self.world.exchange_list.recover

    # Agents.

    def begin_kill_agent(self, trouble: Trouble) -> Callable[[], None]:
        """Agents are killed, and started again at the end."""
        numbers = self.exchange_numbers(trouble)
        for number in numbers:
            self.world.record.add(self.kernel.now(), "killed", "host", f"a{number}")
            self.hosts.kill(number)

        def end() -> None:
            for number in numbers:
                self.hosts.start(number)

        return end

    # Callers.

    def begin_surge(self, trouble: Trouble) -> Callable[[], None]:
        """Callers at some exchanges, or all, make `figure` times as many calls."""
        key = f"{trouble.label}/{self.kernel.now()}"
        numbers = set(trouble.who or range(self.world.script.fleet.exchanges))
        self.world.surges[key] = (numbers, max(0.0, trouble.figure))
        self.world.set_rates()

        def end() -> None:
            del self.world.surges[key]
            self.world.set_rates()

        return end

    def begin_hot_number(self, trouble: Trouble) -> Callable[[], None]:
        """The share `figure` of all calls goes to one number, which has 3 lines."""
        destination = self.exchange_numbers(trouble)[0]
        number = f"hot.{destination}"
        self.world.network.line_limits[number] = 3
        for gateway in self.world.gateways:
            gateway.traffic.hot_number = (number, destination, min(1.0, trouble.figure))

        def end() -> None:
            for gateway in self.world.gateways:
                gateway.traffic.hot_number = None

        return end

    def begin_early_leavers(self, trouble: Trouble) -> Callable[[], None]:
        """The share `figure` of the callers gives up early."""
        self.world.behaviour.leaves_early = min(1.0, trouble.figure)

        def end() -> None:
            self.world.behaviour.leaves_early = 0.0

        return end

    def begin_repeats(self, trouble: Trouble) -> Callable[[], None]:
        """Gateways send the share `figure` of their requests twice."""
        self.world.behaviour.repeats = min(1.0, trouble.figure)

        def end() -> None:
            self.world.behaviour.repeats = 0.0

        return end

    def begin_reconnect(self, trouble: Trouble) -> None:
        """All gateways of some exchanges lose their connections at the same moment."""
        numbers = set(self.exchange_numbers(trouble))
        for gateway in self.world.gateways:
            if gateway.number in numbers:
                gateway.reset()

    def begin_flood(self, trouble: Trouble) -> Callable[[], None]:
        """The last gateway of some exchanges offers `figure` times its share and ignores all advice."""
        numbers = set(self.exchange_numbers(trouble))
        last_gateways = {gateway.number: gateway for gateway in self.world.gateways}
        gateways = [gateway for number, gateway in last_gateways.items() if number in numbers]
        for gateway in gateways:
            gateway.is_flooding = gateway.has_flooded = True
            gateway.rate_multiple = max(1.0, trouble.figure)
        self.world.set_rates()

        def end() -> None:
            for gateway in gateways:
                gateway.is_flooding, gateway.rate_multiple = False, 1.0
            self.world.set_rates()

        return end

    def begin_gateway_reset(self, trouble: Trouble) -> None:
        """The first gateway of some exchanges loses its connection."""
        for number in self.exchange_numbers(trouble):
            next(gateway for gateway in self.world.gateways if gateway.number == number).reset()

    # Sockets.

    def _set_socket_fault(
        self, trouble: Trouble, fault: str, active: object, inactive: object
    ) -> Callable[[], None]:
        """Sets a socket fault of the exchanges, by its attribute name."""
        exchanges = self._exchanges(trouble)
        for exchange in exchanges:
            setattr(exchange.socket_faults, fault, active)

        def end() -> None:
            for exchange in exchanges:
                setattr(exchange.socket_faults, fault, inactive)

        return end

    def begin_resets(self, trouble: Trouble) -> Callable[[], None]:
        """The share `figure` of the set-ups resets the connection."""
        return self._set_socket_fault(trouble, "reset_setups", min(1.0, trouble.figure), 0.0)

    def begin_mute(self, trouble: Trouble) -> Callable[[], None]:
        """Exchanges send nothing."""
        return self._set_socket_fault(trouble, "mute", True, False)

    def begin_stall(self, trouble: Trouble) -> Callable[[], None]:
        """Exchanges read nothing."""
        return self._set_socket_fault(trouble, "stall", True, False)

    def begin_single_bytes(self, trouble: Trouble) -> Callable[[], None]:
        """Exchanges write one byte at a time."""
        return self._set_socket_fault(trouble, "single_bytes", True, False)

    def begin_late_replies(self, trouble: Trouble) -> Callable[[], None]:
        """Replies are delayed by `figure` seconds."""
        return self._set_socket_fault(trouble, "late_replies", round(max(0.01, trouble.figure) * SECOND), 0)

    def begin_double_replies(self, trouble: Trouble) -> Callable[[], None]:
        """The share `figure` of the replies is sent twice."""
        return self._set_socket_fault(trouble, "double_replies", min(1.0, trouble.figure), 0.0)

    def begin_garble(self, trouble: Trouble) -> Callable[[], None]:
        """One byte is changed in the share `figure` of the messages."""
        return self._set_socket_fault(trouble, "garble", min(1.0, trouble.figure), 0.0)

    def begin_garbage(self, trouble: Trouble) -> None:
        """An unknown client sends random bytes, or half a message, to the callers' port of an agent."""
        for number in self.exchange_numbers(trouble):
            self.kernel.spawn(self.send_garbage(number), "stranger")

    def send_garbage(self, number: int) -> Coroutine[None]:
        """Sends each piece of garbage to agent `number` over a connection of its own."""
        messages = [
            bytes(self.rng.randrange(256) for _ in range(200)),
            b"\x03\x00\x00\x30MEGACO/1 <s> Tran",
            b"\x03\x00\x00\x15MEGACO/1 <s> T=1{",
            b"\x03\x00\xff\xff",
        ]
        for message in messages:
            try:
                stream = yield from self.kernel.connect(self.hosts.address(number), SECOND, "stranger")
                stream.write(message)
                yield from self.kernel.sleep(100 * MS)
                stream.close()
            except (ConnectionLost, ConnectFailed):
                pass
