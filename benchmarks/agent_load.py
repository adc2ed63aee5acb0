"""Measures the calls a second that one agent handles on one core, and their cost beside a bare epoll loop.

    python benchmarks/agent_load.py [CALLS_A_SECOND ...]

The agent is a process of its own. This process is its callers and its exchanges, which answer at once, so
that only the agent is measured. The bare loop is a process that moves the same bytes between the same sockets
without parsing them. CPU time is that of the measured process, from its resource usage; compare the ratio.
"""

from __future__ import annotations

import json
import multiprocessing
import resource
import select
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from hdrh.histogram import HdrHistogram

from peattrestle.agent.agent import CallAgent
from peattrestle.h248 import package
from peattrestle.h248.package import Outcome, SetUpRequest
from peattrestle.h248.session import Session
from peattrestle.h248.transactions import NewRequest, ReplyReceived, Transactions
from peattrestle.rehearsal.hosts import free_address
from peattrestle.runtime import Coroutine, Stream
from peattrestle.runtime.epoll import EpollKernel
from peattrestle.settings.agent import Agent, Bearer, Limits

SECOND = 1_000_000_000  # nanoseconds
DURATION = 5  # seconds


def serve_agent(settings: Agent, report: str, seconds: float) -> None:
    """Runs an agent for `seconds` and writes CPU seconds, bytes of memory and counters to `report`."""
    kernel = EpollKernel(1)
    agent = CallAgent(kernel, settings, lambda *_, **__: None)
    agent.start()
    kernel.run(kernel.now() + round(seconds * SECOND))
    usage = resource.getrusage(resource.RUSAGE_SELF)
    # The present resident size: the peak in the resource usage is inherited from the parent process.
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    Path(report).write_text(
        json.dumps(
            {
                "cpu": usage.ru_utime + usage.ru_stime,
                "rss": pages * resource.getpagesize(),
                **agent.counts.values,
            }
        )
    )
    kernel.close()


def bare_loop(pairs: list[tuple[str, str]], report: str, seconds: float) -> None:
    """Forwards bytes in both directions between each pair of a listening and an onward address."""
    # By file descriptor: the socket, and the socket that its bytes are forwarded to.
    epoll, sockets, peers = select.epoll(), {}, {}
    listeners = {}
    for listen, onward in pairs:
        host, port = listen.split(":")
        listener = socket.create_server((host, int(port)))
        listeners[listener.fileno()] = (listener, onward)
        epoll.register(listener, select.EPOLLIN)
    until = time.monotonic() + seconds
    moved = 0
    while time.monotonic() < until:
        for fd, _ in epoll.poll(0.2):
            if fd in listeners:
                client, _ = listeners[fd][0].accept()
                host, port = listeners[fd][1].split(":")
                server = socket.create_connection((host, int(port)))
                for connection, peer in ((client, server), (server, client)):
                    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    sockets[connection.fileno()], peers[connection.fileno()] = connection, peer
                    epoll.register(connection, select.EPOLLIN)
                continue
            data = sockets[fd].recv(65536)
            if not data:
                epoll.unregister(fd)
                continue
            moved += len(data)
            peers[fd].sendall(data)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    Path(report).write_text(json.dumps({"cpu": usage.ru_utime + usage.ru_stime, "moved": moved}))


class LoadGenerator:
    """The agent's callers and exchanges: sends calls at a rate, answers set-ups at once, records delays.

    `holding_time` is in nanoseconds; calls are never released if it is negative. Delays are in microseconds.
    """

    def __init__(self, kernel: EpollKernel, rate: float, holding_time: int) -> None:
        self.kernel, self.rate, self.holding_time = kernel, rate, holding_time
        self.delays = HdrHistogram(1, 60_000_000, 3)
        self.sent = self.established = self.contexts = 0
        self.bytes = 0

    def serve_exchange(self, stream: Stream) -> Coroutine[None]:
        """Answers the requests on one connection as an exchange."""
        session = Session("<x>", Transactions(), stream.write)
        while data := (yield from stream.read()):
            self.bytes += len(data)
            for event in session.feed(self.kernel.now(), data):
                if isinstance(event, NewRequest):
                    self.answer(session, event)

    def answer(self, session: Session, event: NewRequest) -> None:
        """Replies to an Add with a new context and to any other command with success."""
        number, action = event.request.id, event.request.actions[0]
        command = action.commands[0]
        if command.name == "Add":
            self.contexts += 1
            outcome = Outcome(0, str(self.contexts), load={"free": 30000, "size": 30000})
            session.reply(number, package.outcome_text(number, command.termination, outcome))
        else:
            session.reply(
                number, package.command_reply(number, action.context, command.name, command.termination)
            )

    def listen(self, address: str) -> Coroutine[None]:
        """Accepts connections to an exchange at `address`."""
        listener = self.kernel.listen(address)
        while True:
            self.kernel.spawn(self.serve_exchange((yield from listener.accept())), "exchange")

    def send_calls(self, address: str, seconds: float) -> Coroutine[None]:
        """Registers as a gateway, sends calls for `seconds` and stops the kernel."""
        stream = yield from self.kernel.connect(address, SECOND)
        session = Session("<g0>", Transactions(1, 1 << 20), stream.write)
        session.request(None, lambda n: package.service_change_text(n, "Restart", "900 Service Restored"))
        self.kernel.spawn(self.read_replies(session, stream), "replies")
        started = self.kernel.now()
        while (elapsed := self.kernel.now() - started) < seconds * SECOND:
            while self.sent < elapsed * self.rate / SECOND:
                self.sent += 1
                request = SetUpRequest(
                    f"c/{self.sent}", "line", 1, 3 * SECOND, f"n{self.sent}", reference="r"
                )
                attachment = (request.termination, self.kernel.now())
                session.request(attachment, lambda n, request=request: package.add_text(n, request))  # type: ignore[misc]
            yield from self.kernel.sleep(2_000_000)
        yield from self.kernel.sleep(SECOND // 2)
        self.kernel.stop()

    def read_replies(self, session: Session, stream: Stream) -> Coroutine[None]:
        """Records the delay of each answered call and schedules its release."""
        while data := (yield from stream.read()):
            for event in session.feed(self.kernel.now(), data):
                if isinstance(event, ReplyReceived) and isinstance(event.attachment, tuple):
                    termination, sent_at = event.attachment
                    if package.read_outcome(event.reply).code == 0:
                        self.established += 1
                        self.delays.record_value(max(1, (self.kernel.now() - sent_at) // 1000))
                        if self.holding_time >= 0:
                            self.kernel.call_at(
                                self.kernel.now() + self.holding_time,
                                partial(self.release, session, termination),
                            )

    def release(self, session: Session, termination: str) -> None:
        """Releases an established call."""
        session.request(None, lambda number: package.subtract_text(number, "*", termination))

    def serve_exchange_list(self, address: str, exchanges: list[str]) -> Coroutine[None]:
        """Sends the exchange list to each client that connects; `exchanges`: addresses, by number."""
        listener = self.kernel.listen(address)
        rows = [
            {"exchange": f"x{n}", "number": n, "state": "ready", "address": a}
            for n, a in enumerate(exchanges)
        ]
        while True:
            stream = yield from listener.accept()
            stream.write(json.dumps({"form": "full", "entries": rows}).encode() + b"\n")


def run(
    rate: float, holding_time: int = SECOND, seconds: float = DURATION, through: str = "agent"
) -> dict[str, float]:
    """Runs one measurement and returns its figures: 'cpu' in seconds, 'rss' in bytes, delays in milliseconds.

    `rate` is in calls per second, `holding_time` in nanoseconds; calls are sent for `seconds`.
    `through` is 'agent', or 'bare' for the bare loop between the same callers and exchanges.
    """
    folder = tempfile.mkdtemp(prefix="peattrestle-bench-")
    report = f"{folder}/report.json"
    callers, listing = free_address("127.4.0.1"), free_address("127.4.0.2")
    exchanges = [free_address("127.4.1.1"), free_address("127.4.1.2")]
    settings = Agent(
        label="a0", number=0, agents=2, callers=callers, list=listing, bearer=(Bearer(label="line"),),
        limits=Limits(calls=100_000),
    )  # fmt: skip
    target: Callable[..., None] = serve_agent if through == "agent" else bare_loop
    configuration = settings if through == "agent" else [(callers, exchanges[1])]
    process = multiprocessing.get_context("spawn").Process(
        target=target, args=(configuration, report, seconds + 3)
    )
    kernel = EpollKernel(2)
    generator = LoadGenerator(kernel, rate, holding_time)
    for address in exchanges:
        kernel.spawn(generator.listen(address), "listen")
    kernel.spawn(generator.serve_exchange_list(listing, exchanges), "list")
    process.start()

    def run_load() -> Coroutine[None]:
        yield from kernel.sleep(round(1.7 * SECOND))
        yield from generator.send_calls(callers, seconds)

    kernel.spawn(run_load(), "load")
    kernel.run(kernel.now() + round((seconds + 10) * SECOND))
    kernel.close()
    process.join(20)
    process.kill()
    measurements: dict[str, float] = json.loads(Path(report).read_text())
    measurements.update(rate=rate, calls_sent=generator.sent, calls_established=generator.established)
    for percentile in (50, 90, 99, 99.9):
        measurements[f"p{percentile}"] = generator.delays.get_value_at_percentile(percentile) / 1000
    return measurements


def main() -> None:
    idle = run(0.001, seconds=1)["cpu"]
    idle_bare = run(0.001, seconds=1, through="bare")["cpu"]
    rates = [float(argument) for argument in sys.argv[1:]] or [10, 100, 500, 1000, 1500]
    for rate in rates:
        figures = run(rate)
        cpu_per_call = (figures["cpu"] - idle) / max(1, figures["calls_sent"])  # seconds
        core_share = (figures["cpu"] - idle) / DURATION
        print(
            f"{rate:6.0f} calls/s  established {figures['calls_established']} of {figures['calls_sent']}  "
            f"{cpu_per_call * 1e6:5.0f} us a call, {core_share:4.0%} of a core  "
            f"added delay ms p50 {figures['p50']:.2f} p90 {figures['p90']:.2f} p99 {figures['p99']:.2f}"
        )
    agent_run = run(500)
    bare = run(500, through="bare")
    agent_cost = (agent_run["cpu"] - idle) / agent_run["calls_sent"]
    bare_cost = (bare["cpu"] - idle_bare) / bare["calls_sent"]
    print(
        f"a call through the agent costs {agent_cost / bare_cost:.1f} times what the bare loop needs to move "
        f"its bytes once ({agent_cost * 1e6:.0f} and {bare_cost * 1e6:.0f} us)"
    )
    before, after = run(0.001, seconds=1), run(2000, holding_time=-1, seconds=5)
    calls = after["calls_established"]
    print(
        f"{(after['rss'] - before['rss']) / max(1, calls):.0f} bytes a call in progress, {calls:.0f} of them"
    )


if __name__ == "__main__":
    main()
