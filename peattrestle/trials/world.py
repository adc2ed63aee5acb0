"""All parties of one trial on one kernel, agents as processes, and the steps that scripts are made of."""

from __future__ import annotations

import random
import signal
import socket
from dataclasses import replace
from pathlib import Path

from peattrestle.runtime import Coroutine
from peattrestle.runtime.epoll import EpollKernel
from peattrestle.trials.caller import CallerGroup, Habits
from peattrestle.trials.deployment import Deployment
from peattrestle.trials.exchange import StandInExchange
from peattrestle.trials.feed import FeedState, Host, StandInFeed
from peattrestle.trials.judge import Breach, Judge
from peattrestle.trials.process import AgentProcess
from peattrestle.trials.record import Membership, Record

MS = 1_000_000
TOLD_AFTER_SILENCE = 4_000 * MS
TOLD_AFTER_OUTAGE = 6_000 * MS
TOLD_AFTER_MOVE = 4_000 * MS
NEVER = 3_600_000 * MS
NEW_CONNECTIONS_FOR = 400 * MS  # after SIGTERM
RESTART_DELAY = 300 * MS
FEED_PLACES = 3
LAG_INTERVAL = 5 * MS


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return int(probe.getsockname()[1])


class World:
    """`seed` draws what the stand-ins do; agents are started by `start` and ended by `close`."""

    def __init__(self, deployment: Deployment, folder: Path, seed: int, habits: Habits | None = None) -> None:
        self.deployment, self.folder, self.seed = deployment, folder, seed
        self.kernel = EpollKernel(seed)
        self.chance = random.Random(seed)
        self.record = Record()
        self.feed = StandInFeed(self.kernel, deployment, FEED_PLACES)
        self.exchanges: dict[str, StandInExchange] = {}
        self.hosts: dict[str, Host] = {}
        self.names = 0
        self.settled_at = 0  # until then agents may still be on their way back to the feed
        for number in range(deployment.exchanges):
            self.open_exchange(number, number)
        self.feed.publish(list(self.hosts.values()), whole=True)
        self.kernel.spawn(self.measure_lag(), "lag")
        self.agents = [
            AgentProcess(self.kernel, self.record, deployment, agent, folder)
            for agent in range(deployment.agents)
        ]
        habits = habits or Habits()
        self.callers = [
            CallerGroup(
                self.kernel, self.record, deployment, agent, habits, self.generator(f"callers {agent}")
            )
            for agent in range(deployment.agents)
        ]

    def generator(self, purpose: str) -> random.Random:
        return random.Random(f"{self.seed}/{purpose}")

    # Time.

    def measure_lag(self) -> Coroutine[None]:
        while True:
            due = self.kernel.now() + LAG_INTERVAL
            yield from self.kernel.sleep(LAG_INTERVAL)
            self.record.observer_lag = max(self.record.observer_lag, self.kernel.now() - due)

    def run(self, length: int) -> None:
        self.kernel.run(self.kernel.now() + length)

    def play(self, script: Coroutine[None], most: int) -> bool:
        """Runs a script to its end; False where it took longer than `most`."""
        task = self.kernel.spawn(script, "script")
        until = self.kernel.now() + most
        while not task.done and self.kernel.now() < until:
            self.run(20 * MS)
        if task.error is not None:
            raise task.error
        return task.done

    # Exchanges.

    def open_exchange(self, number: int, place: int) -> StandInExchange:
        name = f"s{number}-{self.names}"
        self.names += 1
        agents = range(self.deployment.agents)
        addresses = [self.deployment.exchange_address(place, agent) for agent in agents]
        exchange = StandInExchange(
            self.kernel, self.record, name, addresses, self.generator(name), self.deployment.holding
        )
        self.exchanges[name] = exchange
        self.hosts[name] = Host(name, number, place)
        return exchange

    def told_by(self, at: int) -> int:
        """By when a change that the feed has at `at` counts as told, as things stand now."""
        match self.feed.state:
            case FeedState.UP:
                return max(at, self.settled_at)
            case FeedState.SILENT:
                return max(at, self.feed.outage_began + TOLD_AFTER_SILENCE) + TOLD_AFTER_OUTAGE
            case _:
                return at + NEVER  # set anew when the feed is back

    def drain(self, name: str) -> None:
        """The exchange begins to leave; it goes on serving."""
        host = self.hosts[name] = replace(self.hosts[name], state="DRAINING")
        at = self.feed.publish([host])
        self.record.departures[name] = Membership(name, at, self.told_by(at))
        self.record.note(at, f"{name} drains")

    def remove(self, name: str) -> None:
        """The exchange is gone from the list, and its process ends."""
        host = replace(self.hosts.pop(name), state="DELETED")
        at = self.feed.publish([host])
        self.record.departures.setdefault(name, Membership(name, at, self.told_by(at)))
        self.exchanges.pop(name).die()
        self.record.note(at, f"{name} is gone")

    def replace(self, name: str) -> None:
        """Its process dies; another exchange, warm and of the same number, takes its address."""
        host = self.hosts[name]
        self.remove(name)
        fresh = self.open_exchange(host.number, host.place)
        self.feed.publish([self.hosts[fresh.name]])

    # The feed.

    def fail_feed(self, state: FeedState) -> None:
        self.feed.fail(state)
        self.record.note(self.kernel.now(), f"feed {state.value}")

    def recover_feed(self) -> None:
        self.feed.recover()
        now = self.kernel.now()
        self.settled_at = now + TOLD_AFTER_OUTAGE
        self.record.note(now, "feed up")
        for leaving in self.record.departures.values():
            if leaving.leaving_at >= self.feed.outage_began:
                leaving.told_at = min(leaving.told_at, self.settled_at)

    def move_feed(self) -> None:
        """A new configuration names another address of the feed; every agent gets SIGHUP."""
        self.feed.move()
        now = self.kernel.now()
        self.record.note(now, f"feed moves to {self.feed.address(0)}")
        moved = now + TOLD_AFTER_MOVE
        self.settled_at = min(self.settled_at, moved) if self.settled_at > now else moved
        for agent in self.agents:
            self.write_configuration(agent.agent)
            if agent.running and agent.life.ready_at:
                agent.signal(signal.SIGHUP)

    # Agents.

    def write_configuration(self, agent: int) -> None:
        self.deployment.write_configuration(
            self.agents[agent].configuration,
            agent,
            self.seed * 1000 + agent,
            self.feed.known(agent),
            self.feed.address(agent),
        )

    def bring_up(self, agent: int) -> Coroutine[None]:
        """Starts an agent and lets its callers come once it is ready."""
        process, callers = self.agents[agent], self.callers[agent]
        self.write_configuration(agent)
        process.start()
        if (yield from process.until_ready()):
            callers.sending = callers.dialling = True

    def bring_up_all(self) -> Coroutine[None]:
        tasks = [self.kernel.spawn(self.bring_up(agent), "start") for agent in range(self.deployment.agents)]
        for task in tasks:
            yield from task.join()

    def planned_restart(self, agent: int, start_again: bool = True) -> Coroutine[None]:
        """SIGTERM, callers on open connections until SIGKILL at its earliest, then a new start."""
        process, callers = self.agents[agent], self.callers[agent]
        if not process.in_service:
            return
        life = process.life
        process.terminate()
        kill_at = process.life.terminated_at + self.deployment.kill_after
        yield from self.kernel.sleep(NEW_CONNECTIONS_FOR)
        callers.dialling = False
        while self.kernel.now() < kill_at:
            yield from self.kernel.sleep(min(5 * MS, kill_at - self.kernel.now()))
        if process.life is not life:
            return  # it crashed meanwhile and was started again
        process.kill_if_running()
        callers.sending = False
        yield from self.kernel.sleep(RESTART_DELAY)
        if start_again:
            yield from self.bring_up(agent)

    def crash(self, agent: int) -> Coroutine[None]:
        """An agent is killed outright and started again."""
        process, callers = self.agents[agent], self.callers[agent]
        if not process.in_service:
            return
        process.kill_without_warning()
        callers.sending = callers.dialling = False
        yield from self.kernel.sleep(RESTART_DELAY)
        yield from self.bring_up(agent)

    # The end.

    def quiet(self) -> None:
        for callers in self.callers:
            callers.sending = callers.dialling = False

    def verdict(self) -> list[Breach]:
        """Judges all that has been observed until now."""
        for process in self.agents:
            process.life.internal_errors = process.errors() if process.log is not None else []
        if self.kernel.crashes:
            raise RuntimeError(f"a stand-in failed: {self.kernel.crashes[:3]}")
        return Judge(self.record, self.deployment, self.kernel.now()).breaches()

    def close(self) -> None:
        """Ends every process and connection of the trial."""
        for process in self.agents:
            process.close()
        self.kernel.close()
