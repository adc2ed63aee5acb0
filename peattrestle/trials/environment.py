"""The environment of one trial: stand-ins on one kernel, agent processes, and the steps of trial scripts."""

from __future__ import annotations

import random
import signal
import socket
from dataclasses import replace
from pathlib import Path

from peattrestle.runtime import Coroutine
from peattrestle.runtime.epoll import EpollKernel
from peattrestle.trials.caller import CallerBehaviour, CallerGroup
from peattrestle.trials.deployment import Deployment
from peattrestle.trials.exchange import StandInExchange
from peattrestle.trials.feed import FeedState, Host, StandInFeed
from peattrestle.trials.process import AgentProcess
from peattrestle.trials.record import Departure, ExchangeRestart, Record
from peattrestle.trials.rule_checker import RuleChecker, Violation

MS = 1_000_000  # nanoseconds
# Times after which the agents count as notified of a change that the feed publishes.
SILENCE_DETECTION_TIME = 4_000 * MS  # until agents give up a silent feed connection
RECONNECT_TIME = 6_000 * MS  # until agents follow the feed again after an outage
FEED_MOVE_TIME = 4_000 * MS  # after SIGHUP with another address of the feed
NEVER = 3_600_000 * MS  # longer than any trial
NEW_CONNECTIONS_WINDOW = 400 * MS  # after SIGTERM callers open new connections for this long
RESTART_DELAY = 300 * MS
FEED_ADDRESS_COUNT = 3
LAG_SAMPLE_INTERVAL = 5 * MS


def free_port() -> int:
    """Returns a TCP port that is free on loopback. Raises OSError."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


class TrialEnvironment:
    """The stand-ins and agent processes of one trial. `seed` seeds the stand-ins' random behaviour.

    Agents are started by `start_agent` and ended by `close`.
    """

    def __init__(
        self,
        deployment: Deployment,
        directory: Path,
        seed: int,
        caller_behaviour: CallerBehaviour | None = None,
    ) -> None:
        self.deployment, self.directory, self.seed = deployment, directory, seed
        self.kernel = EpollKernel(seed)
        self.rng = random.Random(seed)
        self.record = Record()
        self.feed = StandInFeed(self.kernel, deployment, FEED_ADDRESS_COUNT)
        self.exchanges: dict[str, StandInExchange] = {}
        self.hosts: dict[str, Host] = {}
        self.exchange_counter = 0
        self.feed_reconnected_by = 0  # until then agents may not have reconnected to the feed
        for number in range(deployment.exchanges):
            self.open_exchange(number, number)
        self.feed.publish(list(self.hosts.values()), snapshot=True)
        self.kernel.spawn(self.measure_lag(), "lag")
        self.agents = [
            AgentProcess(self.kernel, self.record, deployment, agent, directory)
            for agent in range(deployment.agents)
        ]
        caller_behaviour = caller_behaviour or CallerBehaviour()
        self.callers = [
            CallerGroup(
                self.kernel,
                self.record,
                deployment,
                agent,
                caller_behaviour,
                self.random_generator(f"callers {agent}"),
            )
            for agent in range(deployment.agents)
        ]

    def random_generator(self, purpose: str) -> random.Random:
        """Returns a generator with a random sequence of its own for each purpose."""
        return random.Random(f"{self.seed}/{purpose}")

    # Time.

    def measure_lag(self) -> Coroutine[None]:
        """Records the largest delay with which the kernel wakes the stand-ins."""
        while True:
            due = self.kernel.now() + LAG_SAMPLE_INTERVAL
            yield from self.kernel.sleep(LAG_SAMPLE_INTERVAL)
            self.record.observer_lag = max(self.record.observer_lag, self.kernel.now() - due)

    def run(self, duration: int) -> None:
        """Runs the kernel for `duration` nanoseconds."""
        self.kernel.run(self.kernel.now() + duration)

    def run_script(self, script: Coroutine[None], timeout: int) -> bool:
        """Runs a script to its end; returns False after `timeout`. Raises what the script raises."""
        task = self.kernel.spawn(script, "script")
        deadline = self.kernel.now() + timeout
        while not task.done and self.kernel.now() < deadline:
            self.run(20 * MS)
        if task.error is not None:
            raise task.error
        return task.done

    # Exchanges.

    def open_exchange(self, number: int, address_index: int) -> StandInExchange:
        """Opens an exchange under a name that was not used before."""
        name = f"s{number}-{self.exchange_counter}"
        self.exchange_counter += 1
        exchange = self.exchanges[name] = self.create_exchange(name, address_index, name)
        self.hosts[name] = Host(name, number, address_index)
        return exchange

    def create_exchange(self, name: str, address_index: int, purpose: str) -> StandInExchange:
        """Returns a new exchange process; `purpose` names its random sequence."""
        agents = range(self.deployment.agents)
        addresses = [self.deployment.exchange_address(address_index, agent) for agent in agents]
        return StandInExchange(
            self.kernel,
            self.record,
            name,
            addresses,
            self.random_generator(purpose),
            self.deployment.holding_time,
        )

    def notified_by(self, at: int) -> int:
        """Returns by when agents count as notified of a change that is published at `at`."""
        match self.feed.state:
            case FeedState.UP:
                return max(at, self.feed_reconnected_by)
            case FeedState.SILENT:
                return max(at, self.feed.outage_began + SILENCE_DETECTION_TIME) + RECONNECT_TIME
            case _:
                return at + NEVER  # replaced when the feed is back

    def drain_exchange(self, name: str) -> None:
        """Announces that the exchange leaves; it continues to serve."""
        host = self.hosts[name] = replace(self.hosts[name], state="DRAINING")
        at = self.feed.publish([host])
        self.record.departures[name] = Departure(name, at, self.notified_by(at))
        self.record.add_event(at, f"{name} drains")

    def remove_exchange(self, name: str) -> None:
        """Removes the exchange from the feed and ends its process."""
        host = replace(self.hosts.pop(name), state="DELETED")
        at = self.feed.publish([host])
        self.record.departures.setdefault(name, Departure(name, at, self.notified_by(at)))
        self.exchanges.pop(name).terminate()
        self.record.add_event(at, f"{name} removed")

    def replace_exchange(self, name: str) -> None:
        """Removes an exchange; a new one with the same number, ready at once, takes over its address."""
        host = self.hosts[name]
        self.remove_exchange(name)
        replacement = self.open_exchange(host.number, host.address_index)
        at = self.feed.publish([self.hosts[replacement.name]])
        self.record.listed_at[replacement.name] = self.notified_by(at)

    def restart_exchange(self, name: str, down: int, removed: int | None, named: int) -> Coroutine[None]:
        """Ends an exchange and starts it again under its name and address; the list tells it late.

        It is down for `down` nanoseconds, removed from the list `removed` later unless that is None, and
        named again with its start `named` after that, or once the feed is up.
        """
        host, exchange = self.hosts.pop(name), self.exchanges.pop(name)
        established = [attempt for attempt, _ in exchange.established.values()]
        exchange.terminate()
        self.record.add_event(self.kernel.now(), f"{name} ends, its list entry stays")
        yield from self.kernel.sleep(down)
        self.exchange_counter += 1
        host = replace(host, born_ms=self.kernel.wall_time() // MS)
        restarted = self.create_exchange(name, host.address_index, f"{name} {self.exchange_counter}")
        restarted.delay, restarted.behaviours = exchange.delay, exchange.behaviours
        restarted.holding_time = exchange.holding_time
        started_at = self.kernel.now()
        if removed is not None:
            yield from self.kernel.sleep(removed)
            self.feed.publish([replace(host, state="DELETED")])
        yield from self.kernel.sleep(named)
        while self.feed.state is not FeedState.UP:
            yield from self.kernel.sleep(20 * MS)
        at = self.feed.publish([host])
        self.hosts[name], self.exchanges[name] = host, restarted
        restart = ExchangeRestart(name, started_at, at)
        self.record.restarts.append(restart)
        for attempt in established:
            attempt.exchange_ended_at, attempt.restart = self.notified_by(at), restart
        self.record.add_event(at, f"{name} named again, started at {host.born_ms}")

    # The feed.

    def start_feed_outage(self, state: FeedState) -> None:
        """Puts the feed into the outage `state`."""
        self.feed.start_outage(state)
        self.record.add_event(self.kernel.now(), f"feed {state.value}")

    def end_feed_outage(self) -> None:
        """Makes the feed available and sets the notification times of departures during the outage."""
        self.feed.end_outage()
        now = self.kernel.now()
        self.feed_reconnected_by = now + RECONNECT_TIME
        self.record.add_event(now, "feed up")
        for departure in self.record.departures.values():
            if departure.leaving_at >= self.feed.outage_began:
                departure.notified_at = min(departure.notified_at, self.feed_reconnected_by)
        for name, listed_at in self.record.listed_at.items():
            if listed_at >= now:
                self.record.listed_at[name] = min(listed_at, self.feed_reconnected_by)

    def move_feed(self) -> None:
        """Moves the feed to another address, updates the configurations and sends SIGHUP to the agents."""
        self.feed.move_to_next_address()
        now = self.kernel.now()
        self.record.add_event(now, f"feed moves to {self.feed.address(0)}")
        notified_by_move = now + FEED_MOVE_TIME
        self.feed_reconnected_by = (
            min(self.feed_reconnected_by, notified_by_move)
            if self.feed_reconnected_by > now
            else notified_by_move
        )
        for agent in self.agents:
            self.write_configuration(agent.agent)
            if agent.running and agent.current_run.ready_at:
                agent.send_signal(signal.SIGHUP)

    # Agents.

    def write_configuration(self, agent: int) -> None:
        """Writes the configuration file of one agent with the present feed address and events."""
        self.deployment.write_configuration(
            self.agents[agent].configuration_path,
            agent,
            self.seed * 1000 + agent,
            self.feed.known_events(agent),
            self.feed.address(agent),
        )

    def start_agent(self, agent: int) -> Coroutine[None]:
        """Starts an agent and its callers once it is ready."""
        process, callers = self.agents[agent], self.callers[agent]
        self.write_configuration(agent)
        process.start()
        if (yield from process.wait_until_ready()):
            callers.sending = callers.opens_connections = True
            if not callers.absent:
                yield from callers.announce_established_calls()

    def start_all_agents(self) -> Coroutine[None]:
        """Starts all agents at the same time and waits until each is ready or has failed to start."""
        tasks = [
            self.kernel.spawn(self.start_agent(agent), "start") for agent in range(self.deployment.agents)
        ]
        for task in tasks:
            yield from task.join()

    def planned_restart(self, agent: int, start_again: bool = True) -> Coroutine[None]:
        """Restarts an agent: SIGTERM, SIGKILL at the earliest allowed time, and a new start.

        Until SIGKILL its callers keep sending on open connections.
        """
        process, callers = self.agents[agent], self.callers[agent]
        if not process.in_service:
            return
        run = process.current_run
        process.terminate()
        kill_at = process.current_run.terminated_at + self.deployment.kill_delay
        yield from self.kernel.sleep(NEW_CONNECTIONS_WINDOW)
        callers.opens_connections = False
        while self.kernel.now() < kill_at:
            yield from self.kernel.sleep(min(5 * MS, kill_at - self.kernel.now()))
        if process.current_run is not run:
            return  # it crashed meanwhile and was started again
        process.kill_if_running()
        callers.sending = False
        yield from self.kernel.sleep(RESTART_DELAY)
        if start_again:
            yield from self.start_agent(agent)

    def crash_agent(self, agent: int, down: int = RESTART_DELAY) -> Coroutine[None]:
        """Sends SIGKILL to an agent without a SIGTERM and starts it again `down` nanoseconds later."""
        process, callers = self.agents[agent], self.callers[agent]
        if not process.in_service:
            return
        process.kill_without_warning()
        callers.sending = callers.opens_connections = False
        yield from self.kernel.sleep(down)
        yield from self.start_agent(agent)

    # End of the trial.

    def stop_callers(self) -> None:
        """Callers send no more set-ups and open no more connections."""
        for callers in self.callers:
            callers.sending = callers.opens_connections = False

    @property
    def owes_releases(self) -> bool:
        """Whether calls are still established at an exchange or in their callers' view."""
        if any(exchange.established for exchange in self.exchanges.values()):
            return True
        return any(request.stands for request in self.record.requests.values())

    def check_rules(self) -> list[Violation]:
        """Returns the violations observed until now. Raises RuntimeError if a stand-in failed."""
        for process in self.agents:
            process.current_run.internal_errors = process.error_lines() if process.log is not None else []
        if self.kernel.crashes:
            raise RuntimeError(f"a stand-in failed: {self.kernel.crashes[:3]}")
        return RuleChecker(self.record, self.deployment, self.kernel.now()).violations()

    def close(self) -> None:
        """Ends every process and connection of the trial."""
        for process in self.agents:
            process.close()
        self.kernel.close()
