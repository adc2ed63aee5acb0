"""The world of a script: exchanges, groups, callers and list as stand-ins, sized to a plan."""

from __future__ import annotations

import math
from dataclasses import replace

from peattrestle.rehearsal.script import Script
from peattrestle.runtime import Kernel
from peattrestle.settings import agent as settings
from peattrestle.standin.callers import BearerProfile, Gateway, Habits, Traffic
from peattrestle.standin.exchange import StandinExchange
from peattrestle.standin.fabric import Fabric, ProcessorSettings
from peattrestle.standin.hubs import HubRegistry
from peattrestle.standin.listing import ListSource
from peattrestle.standin.record import Record

SECOND = 1_000_000_000


class World:
    """`addresses`: 'any' lets the system choose ports."""

    def __init__(self, kernel: Kernel, script: Script) -> None:
        self.kernel, self.script = kernel, script
        self.record = Record()
        fleet, rules = script.fleet, script.rules
        count = fleet.exchanges
        # Work for a call: the originating end sets up and answers, the other looks, sets up, releases.
        plain = ProcessorSettings()
        of_a_call = (
            plain.set_up_work
            + plain.answer_work
            + plain.routing_work
            + plain.set_up_work
            + plain.release_work
        )
        scale = fleet.busy * SECOND / (fleet.calls_a_second * of_a_call)
        self.fabric = Fabric(
            kernel,
            self.record,
            ProcessorSettings(
                round(plain.routing_work * scale),
                round(plain.set_up_work * scale),
                round(plain.answer_work * scale),
                round(plain.release_work * scale),
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
                one.label,
                one.share,
                one.gos_target,
                one.abandon_time,
                one.holding,
                one.revenue,
                one.late_revenue,
            )
            for one in script.bearer
        ]
        self.weights = self._plan(count)
        for number in range(count):
            self.fabric.regions[number] = fleet.regions[number % len(fleet.regions)]
        source = HubRegistry if fleet.registry else ListSource
        self.exchange_list: HubRegistry | ListSource = source(
            kernel, self.record, "127.0.0.1:0", fleet.list_late_least, fleet.list_late_most
        )
        self.exchange_list.regions = self.fabric.regions
        self.replaced = 0
        for number in range(count):
            self.add_exchange(number, cold=False)
        habits = Habits(
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
        self.habits = habits
        self.level = 1.0
        self.surges: dict[str, tuple[set[int], float]] = {}
        self.offered = 0

    def _plan(self, count: int) -> list[dict[int, float]]:
        """Who calls whom, and groups for it: with some spare, none for the thinnest pairs."""
        fleet, draw = self.script.fleet, self.kernel.chance("plan")
        weights: list[dict[int, float]] = []
        for number in range(count):
            row = {other: math.exp(draw.gauss(0, 0.6)) for other in range(count) if other != number}
            total = sum(row.values())
            weights.append({other: weight / total for other, weight in row.items()})
        total_share = sum(one.share for one in self.script.bearer)
        holding = sum(one.share * one.holding for one in self.script.bearer) / total_share / SECOND
        pairs = {
            (one, other): (weights[one][other] + weights[other][one]) * fleet.calls_a_second * holding
            for one in range(count)
            for other in range(one + 1, count)
        }
        without = set(sorted(pairs, key=lambda pair: pairs[pair])[: int(fleet.no_group * len(pairs))])
        for (one, other), erlangs in pairs.items():
            if (one, other) not in without:
                self.fabric.add_group(one, other, math.ceil(erlangs * fleet.spare + math.sqrt(erlangs) + 2))
        return weights

    def add_exchange(self, number: int, cold: bool) -> StandinExchange:
        self.replaced += cold
        name = f"x{number}" + (f"r{self.replaced}" if cold else "")
        exchange = StandinExchange(self.kernel, self.fabric, name, number, "127.0.0.1:0", f"a{number}", cold)
        self.fabric.exchanges[number] = exchange
        self.exchange_list.set_state(exchange, "ready")
        return exchange

    def agent_settings(self, number: int, callers: str, state: str = "") -> settings.Agent:
        script = self.script
        bearers = tuple(
            settings.Bearer(
                label=one.label,
                gos_target=one.gos_target,
                abandon_time=one.abandon_time,
                revenue=one.revenue,
                late_revenue=one.late_revenue,
                holding=one.holding,
            )
            for one in script.bearer
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
        for place in range(self.script.fleet.gateways):
            traffic = Traffic(0.0, self.weights[number], self.bearers, self.habits)
            self.gateways.append(
                Gateway(self.kernel, self.record, number, f"a{number}", lambda: address, traffic, place)
            )

    def set_rates(self) -> None:
        """Each gateway's rate by the load curve and the surges that are on."""
        for gateway in self.gateways:
            level = self.level
            for who, multiple in self.surges.values():
                if gateway.number in who:
                    level *= multiple
            fleet = self.script.fleet
            gateway.traffic.rate = fleet.calls_a_second * level * gateway.rate_multiple / fleet.gateways

    def record_cold_load(self) -> None:
        """The processors' own books on rule 4, for the judge: at the end, before restarts too."""
        for exchange in [one for one, _ in self.exchange_list.exchanges.values()]:
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
