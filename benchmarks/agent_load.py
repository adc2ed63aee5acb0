"""How many calls a second one agent carries on one core, and what a call costs beside a bare epoll loop.

    python benchmarks/agent_load.py [CALLS_A_SECOND ...]

One agent is a process of its own; a second one is its callers and its exchange, which answer at once, so what
is measured is the agent. The bare loop is a process that moves the same bytes between the same sockets
and reads nothing in them. CPU is the measured process's own, from its resource usage; read the ratio.
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
from peattrestle.h248.package import Outcome, SetUpAsked
from peattrestle.h248.session import Session
from peattrestle.h248.transactions import Answered, New, Transactions
from peattrestle.rehearsal.hosts import free_address
from peattrestle.runtime import Coroutine, Stream
from peattrestle.runtime.epoll import EpollKernel
from peattrestle.settings.agent import Agent, Bearer, Limits

SECOND = 1_000_000_000
LENGTH = 5


def serve_agent(settings: Agent, report: str, seconds: float) -> None:
    kernel = EpollKernel(1)
    agent = CallAgent(kernel, settings, lambda *_, **__: None)
    agent.start()
    kernel.run(kernel.now() + round(seconds * SECOND))
    usage = resource.getrusage(resource.RUSAGE_SELF)
    # The present size, not the largest: that one is inherited from whoever started this process.
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
    """Takes bytes at one port and hands them to another, both ways, for each pair."""
    epoll, sockets, other = select.epoll(), {}, {}
    listeners = {}
    for listen, onward in pairs:
        host, port = listen.split(":")
        one = socket.create_server((host, int(port)))
        listeners[one.fileno()] = (one, onward)
        epoll.register(one, select.EPOLLIN)
    until = time.monotonic() + seconds
    moved = 0
    while time.monotonic() < until:
        for fd, _ in epoll.poll(0.2):
            if fd in listeners:
                here, _ = listeners[fd][0].accept()
                host, port = listeners[fd][1].split(":")
                there = socket.create_connection((host, int(port)))
                for one, two in ((here, there), (there, here)):
                    one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    sockets[one.fileno()], other[one.fileno()] = one, two
                    epoll.register(one, select.EPOLLIN)
                continue
            data = sockets[fd].recv(65536)
            if not data:
                epoll.unregister(fd)
                continue
            moved += len(data)
            other[fd].sendall(data)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    Path(report).write_text(json.dumps({"cpu": usage.ru_utime + usage.ru_stime, "moved": moved}))


class Side:
    """Callers and exchanges: offers calls at a rate, answers every set-up at once, counts delays."""

    def __init__(self, kernel: EpollKernel, rate: float, hold: int) -> None:
        self.kernel, self.rate, self.hold = kernel, rate, hold
        self.delays = HdrHistogram(1, 60_000_000, 3)
        self.asked = self.stood = self.contexts = 0
        self.bytes = 0

    def exchange(self, stream: Stream) -> Coroutine[None]:
        session = Session("<x>", Transactions(), stream.write)
        while data := (yield from stream.read()):
            self.bytes += len(data)
            for heard in session.feed(self.kernel.now(), data):
                if isinstance(heard, New):
                    self.answer(session, heard)

    def answer(self, session: Session, heard: New) -> None:
        number, action = heard.request.id, heard.request.actions[0]
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
        listener = self.kernel.listen(address)
        while True:
            self.kernel.spawn(self.exchange((yield from listener.accept())), "exchange")

    def caller(self, address: str, seconds: float) -> Coroutine[None]:
        stream = yield from self.kernel.connect(address, SECOND)
        session = Session("<g0>", Transactions(1, 1 << 20), stream.write)
        session.request(None, lambda n: package.service_change_text(n, "Restart", "900 Service Restored"))
        self.kernel.spawn(self.hear(session, stream), "hear")
        started = self.kernel.now()
        while (passed := self.kernel.now() - started) < seconds * SECOND:
            while self.asked < passed * self.rate / SECOND:
                self.asked += 1
                asked = SetUpAsked(f"c/{self.asked}", "line", 1, 3 * SECOND, f"n{self.asked}", reference="r")
                kept = (asked.termination, self.kernel.now())
                session.request(kept, lambda n, asked=asked: package.add_text(n, asked))  # type: ignore[misc]
            yield from self.kernel.sleep(2_000_000)
        yield from self.kernel.sleep(SECOND // 2)
        self.kernel.stop()

    def hear(self, session: Session, stream: Stream) -> Coroutine[None]:
        while data := (yield from stream.read()):
            for heard in session.feed(self.kernel.now(), data):
                if isinstance(heard, Answered) and isinstance(heard.kept, tuple):
                    termination, at = heard.kept
                    if package.read_outcome(heard.reply).code == 0:
                        self.stood += 1
                        self.delays.record_value(max(1, (self.kernel.now() - at) // 1000))
                        if self.hold >= 0:
                            self.kernel.at(
                                self.kernel.now() + self.hold, partial(self.release, session, termination)
                            )

    def release(self, session: Session, termination: str) -> None:
        session.request(None, lambda number: package.subtract_text(number, "*", termination))

    def listing(self, address: str, exchanges: list[str]) -> Coroutine[None]:
        listener = self.kernel.listen(address)
        rows = [
            {"exchange": f"x{n}", "number": n, "state": "ready", "address": a}
            for n, a in enumerate(exchanges)
        ]
        while True:
            stream = yield from listener.accept()
            stream.write(json.dumps({"form": "full", "entries": rows}).encode() + b"\n")


def run(rate: float, hold: int = SECOND, seconds: float = LENGTH, through: str = "agent") -> dict[str, float]:
    """through 'agent', or 'bare': the same callers and exchange with the bare loop between them."""
    folder = tempfile.mkdtemp(prefix="peattrestle-bench-")
    report = f"{folder}/report.json"
    callers, listing = free_address("127.4.0.1"), free_address("127.4.0.2")
    exchanges = [free_address("127.4.1.1"), free_address("127.4.1.2")]
    settings = Agent(
        label="a0", number=0, agents=2, callers=callers, list=listing, bearer=(Bearer(label="line"),),
        limits=Limits(calls=100_000),
    )  # fmt: skip
    target: Callable[..., None] = serve_agent if through == "agent" else bare_loop
    first = settings if through == "agent" else [(callers, exchanges[1])]
    process = multiprocessing.get_context("spawn").Process(target=target, args=(first, report, seconds + 3))
    kernel = EpollKernel(2)
    side = Side(kernel, rate, hold)
    for address in exchanges:
        kernel.spawn(side.listen(address), "listen")
    kernel.spawn(side.listing(listing, exchanges), "list")
    process.start()

    def day() -> Coroutine[None]:
        yield from kernel.sleep(round(1.7 * SECOND))
        yield from side.caller(callers, seconds)

    kernel.spawn(day(), "day")
    kernel.run(kernel.now() + round((seconds + 10) * SECOND))
    kernel.close()
    process.join(20)
    process.kill()
    out: dict[str, float] = json.loads(Path(report).read_text())
    out.update(rate=rate, asked=side.asked, stood=side.stood)
    for part in (50, 90, 99, 99.9):
        out[f"p{part}"] = side.delays.get_value_at_percentile(part) / 1000
    return out


def main() -> None:
    idle = run(0.001, seconds=1)["cpu"]
    idle_bare = run(0.001, seconds=1, through="bare")["cpu"]
    rates = [float(one) for one in sys.argv[1:]] or [10, 100, 500, 1000, 1500]
    for rate in rates:
        one = run(rate)
        cpu = (one["cpu"] - idle) / max(1, one["asked"])
        share = (one["cpu"] - idle) / LENGTH
        print(
            f"{rate:6.0f} calls/s  stood {one['stood']} of {one['asked']}  {cpu * 1e6:5.0f} us a call, "
            f"{share:4.0%} of a core  added delay ms p50 {one['p50']:.2f} p90 {one['p90']:.2f} "
            f"p99 {one['p99']:.2f}"
        )
    busy = run(500)
    bare = run(500, through="bare")
    agent_cost = (busy["cpu"] - idle) / busy["asked"]
    bare_cost = (bare["cpu"] - idle_bare) / bare["asked"]
    print(
        f"a call through the agent costs {agent_cost / bare_cost:.1f} times what the bare loop needs to move "
        f"its bytes once ({agent_cost * 1e6:.0f} and {bare_cost * 1e6:.0f} us)"
    )
    before, after = run(0.001, seconds=1), run(2000, hold=-1, seconds=5)
    held = after["stood"]
    print(f"{(after['rss'] - before['rss']) / max(1, held):.0f} bytes a held call, {held:.0f} held")


if __name__ == "__main__":
    main()
