"""Reads batches, hands them to the instances, writes their actions."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import TextIO

from peattrestle import interface as api
from peattrestle.control import Controller
from peattrestle.wirehost import parse, words
from peattrestle.wirehost.parse import Line, Malformed
from peattrestle.wirehost.words import US


@dataclass(slots=True)
class Instance:
    controller: Controller
    fields: tuple[str, ...]


def line_of(agent: int, action: api.Action) -> str:
    """Waits to be kept are rounded up, time-outs down, so that none gets shorter than a rule allows."""
    match action:
        case api.SetUp(call, exchange, patience):
            return f"issue Agent={agent} Id={call} Exchange={exchange} MaxWaitUs={patience // US}"
        case api.Block(call, come_back):
            return f"say_no Agent={agent} Id={call} StayAwayUs={-(-come_back // US)}"
        case api.Abort(call):
            return f"respond_error Agent={agent} Id={call}"
        case api.SetTimer(at, token):
            return f"remind Agent={agent} WhenUs={-(-at // US)} Ctx={token}"
        case api.FollowList():
            return f"keep_informed Agent={agent} Active=1"
        case api.Log(text):
            return f"emit Agent={agent} BodyText={text}"


class Host:
    """Batches come as lists of events by instance, in the order of arrival."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, tuple[api.Entry, ...]] = {}
        self.now = 0
        self.number = 0
        self.pending: dict[int, list[api.Event]] = {}
        self.reply: list[str] = []

    def run(self) -> None:
        while text := self.source.readline():
            self.number += 1
            if text == "\n":
                continue
            line = Line(text.rstrip("\n"))
            if line.kind == "turn":
                self.now = line.needed("SimTimeUs") * US
                self.batch()

    def next_line(self) -> Line:
        text = self.source.readline()
        self.number += 1
        if not text.endswith("\n"):
            raise Malformed("the input ends within a batch")
        return Line(text[:-1])

    def batch(self) -> None:
        while (line := self.next_line()).kind != "go":
            self.take(line)
        for agent, events in self.pending.items():
            actions = self.instances[agent].controller.handle(self.now, events)
            self.reply.extend(line_of(agent, action) for action in actions)
        self.pending.clear()
        self.reply.append("ack\n")
        self.sink.write("\n".join(self.reply))
        self.sink.flush()
        self.reply.clear()

    def take(self, line: Line) -> None:
        if line.kind == "":
            return
        if line.kind == "census":
            rows = [parse.entry(self.next_line()) for _ in range(line.whole("NodesList"))]
            self.lists[line.needed("SetId")] = tuple(rows)
        elif line.kind == "enlist":
            agent = line.needed("Agent")
            settings, fields = parse.settings(line.text("BootInfo"))
            self.pending.pop(agent, None)
            self.instances[agent] = Instance(Controller(line.whole("Nonce64"), settings), fields)
        elif line.kind == "detach":
            self.pending.pop(line.needed("Agent"), None)
            self.instances.pop(line.needed("Agent"), None)
        elif "Agent" in line.values:
            agent = line.needed("Agent")
            instance = self.instances.get(agent)
            if instance is not None and (event := self.event(line, instance.fields)) is not None:
                self.pending.setdefault(agent, []).append(event)

    def event(self, line: Line, fields: tuple[str, ...]) -> api.Event | None:
        if line.kind != "announce":
            return parse.event(line, fields)
        form = words.FORMS.get(line.whole("Form"))
        if form is None:
            return None
        if form == "failed":
            return api.Listed(form)
        at = line.needed("SetId")
        if at not in self.lists:
            raise Malformed(f"SetId={at} was never given")
        return api.Listed(form, self.lists[at])


def main() -> int:
    host = Host(sys.stdin, sys.stdout)
    try:
        host.run()
    except Malformed as fault:
        print(f"wirehost: line {host.number}: {fault}", file=sys.stderr)
        return 2
    except Exception as fault:  # a fault of the module: the wire has a word for it
        spot = fault.__traceback__
        while spot is not None and spot.tb_next is not None:
            spot = spot.tb_next
        where = f" at line {spot.tb_lineno}" if spot else ""
        agents = [*host.pending, *host.instances, 0]
        sys.stdout.write(f"die Agent={agents[0]} BodyText={type(fault).__name__}: {fault}{where}\nack\n")
        sys.stdout.flush()
        return 1
    return 0
