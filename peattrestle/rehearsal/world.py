"""The simulated surroundings of a script's agents, dimensioned for its traffic plan."""

from __future__ import annotations

import math
from dataclasses import replace

from peattrestle.rehearsal.script import Script
from peattrestle.runtime import Kernel
from peattrestle.settings import agent as settings
from peattrestle.standin.callers import BearerProfile, CallerBehaviour, Gateway, Traffic
from peattrestle.standin.exchange import SimulatedExchange
from peattrestle.standin.exchange_network import ExchangeNetwork, ProcessorSettings
from peattrestle.standin.list_source import ListSource
from peattrestle.standin.record import Record
from peattrestle.standin.registry_list_source import RegistryListSource

SECOND = 1_000_000_000  # nanoseconds


class World:
    """The simulated exchanges, gateways and exchange list of a script."""

    def __init__(self, kernel: Kernel, script: Script) -> None:
        self.kernel, self.script = kernel, script
        self.record = Record()
        fleet, rules = script.fleet, script.rules
        count = fleet.exchanges
        # Work of a call: set-up and answer at the originating exchange,
        # routing, set-up and release at the destination.
        defaults = ProcessorSettings()
        work_per_call = (
            defaults.set_up_work
            + defaults.answer_work
            + defaults.routing_work
            + defaults.set_up_work
            + defaults.release_work
        )
        scale = fleet.busy * SECOND / (fleet.calls_a_second * work_per_call)
        self.network = ExchangeNetwork(
            kernel,
            self.record,
            ProcessorSettings(
                round(defaults.routing_work * scale),
                round(defaults.set_up_work * scale),
                round(defaults.answer_work * scale),
                round(defaults.release_work * scale),
                fleet.wait_limit,
                rules.cold_from,
                rules.cold_time,
                rules.fall_multiple,
                rules.fall_time,
                fleet.urgent_first,
            ),
        )
        self.bearers = [
            BearerProfile(
                bearer.label,
                bearer.share,
                bearer.gos_target,
                bearer.abandon_time,
                bearer.holding,
                bearer.revenue,
                bearer.late_revenue,
            )
            for bearer in script.bearer
        ]
        self.weights = self._plan(count)  # by exchange: share of its calls by destination
        for number in range(count):
            self.network.regions[number] = fleet.regions[number % len(fleet.regions)]
        source = RegistryListSource if fleet.registry else ListSource
        self.exchange_list: RegistryListSource | ListSource = source(
            kernel, self.record, "127.0.0.1:0", fleet.list_late_least, fleet.list_late_most
        )
        self.exchange_list.regions = self.network.regions
        self.replacements = 0
        for number in range(count):
            self.add_exchange(number, cold=False)
        behaviour = CallerBehaviour(
            script.callers.patience_least,
            script.callers.patience_most,
            script.callers.redials,
            script.callers.redial_least,
            script.callers.redial_most,
            script.callers.honours,
            script.callers.marks,
            follows=script.callers.follows,
            avalanche=script.callers.avalanche,
            restart_least=script.callers.restart_least,
            restart_most=script.callers.restart_most,
        )
        self.gateways: list[Gateway] = []
        self.behaviour = behaviour
        self.level = 1.0  # load as a multiple of the plan
        self.surges: dict[str, tuple[set[int], float]] = {}  # exchanges concerned, and the factor
        self.offered = 0

    def _plan(self, count: int) -> list[dict[int, float]]:
        """Draws the traffic between exchanges, and adds trunk groups for it.

        Groups have some spare circuits; the pairs with the least traffic have no group. Returns for each
        exchange the share of its calls by destination.
        """
        fleet, rng = self.script.fleet, self.kernel.random_for("plan")
        weights: list[dict[int, float]] = []
        for number in range(count):
            row = {other: math.exp(rng.gauss(0, 0.6)) for other in range(count) if other != number}
            total = sum(row.values())
            weights.append({other: weight / total for other, weight in row.items()})
        total_share = sum(bearer.share for bearer in self.script.bearer)
        holding = sum(bearer.share * bearer.holding for bearer in self.script.bearer) / total_share / SECOND
        pairs = {
            (exchange, other): (weights[exchange][other] + weights[other][exchange])
            * fleet.calls_a_second
            * holding
            for exchange in range(count)
            for other in range(exchange + 1, count)
        }
        unconnected = set(sorted(pairs, key=lambda pair: pairs[pair])[: int(fleet.no_group * len(pairs))])
        for (exchange, other), erlangs in pairs.items():
            if (exchange, other) not in unconnected:
                self.network.add_group(
                    exchange, other, math.ceil(erlangs * fleet.spare + math.sqrt(erlangs) + 2)
                )
        return weights

    def add_exchange(self, number: int, cold: bool) -> SimulatedExchange:
        """Starts an exchange and lists it as ready; a cold one replaces another of the same number."""
        self.replacements += cold
        name = f"x{number}" + (f"r{self.replacements}" if cold else "")
        exchange = SimulatedExchange(
            self.kernel, self.network, name, number, "127.0.0.1:0", f"a{number}", cold
        )
        self.network.exchanges[number] = exchange
        self.exchange_list.set_state(exchange, "ready")
        return exchange

    def agent_settings(self, number: int, callers: str, state: str = "") -> settings.Agent:
        """The settings of agent `number`; `callers`: its address, `state`: its folder."""
        script = self.script
        bearers = tuple(
            settings.Bearer(
                label=bearer.label,
                gos_target=bearer.gos_target,
                abandon_time=bearer.abandon_time,
                revenue=bearer.revenue,
                late_revenue=bearer.late_revenue,
                holding=bearer.holding,
            )
            for bearer in script.bearer
        )
        links = replace(settings.Links(), retry_most=SECOND)
        return settings.Agent(
            label=f"a{number}",
            number=number,
            callers=callers,
            list="" if script.fleet.registry else self.exchange_list.address,
            registry=settings.Registry(
                endpoints=(self.exchange_list.address,) if script.fleet.registry else (), retry_most=SECOND
            ),
            state=state,
            agents=script.fleet.exchanges,
            seed=script.seed * 1000 + number + 1,
            rules=script.rules,
            links=links,
            bearer=bearers,
        )

    def add_gateways(self, number: int, address: str) -> None:
        """Starts the gateways of an exchange, connected to the agent at `address`."""
        for index in range(self.script.fleet.gateways):
            traffic = Traffic(0.0, self.weights[number], self.bearers, self.behaviour)
            self.gateways.append(
                Gateway(self.kernel, self.record, number, f"a{number}", lambda: address, traffic, index)
            )

    def set_rates(self) -> None:
        """Sets each gateway's rate by the load curve and the surges under way."""
        for gateway in self.gateways:
            level = self.level
            for numbers, multiple in self.surges.values():
                if gateway.number in numbers:
                    level *= multiple
            fleet = self.script.fleet
            gateway.traffic.rate = fleet.calls_a_second * level * gateway.rate_multiple / fleet.gateways

    def record_cold_load(self) -> None:
        """Records the peak load of each cold processor for rule 4; also called before each restart."""
        for exchange in [exchange for exchange, _ in self.exchange_list.exchanges.values()]:
            processor = exchange.processor
            if processor.cold_samples:
                self.record.add(
                    self.kernel.now(),
                    "pressure",
                    exchange.name,
                    "",
                    code=round(processor.peak_cold_load * 1000),
                    value=processor.cold_samples,
                    text="fallen" if processor.failed else "",
                )
