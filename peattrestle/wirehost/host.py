"""Reads batches of events, passes them to the agents' controllers and writes the controllers' actions."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import TextIO

from peattrestle import interface as api
from peattrestle.control import Controller
from peattrestle.wirehost import parse, protocol_names
from peattrestle.wirehost.parse import Line, Malformed
from peattrestle.wirehost.protocol_names import US


@dataclass(slots=True)
class Instance:
    """The controller of one agent. `fields`: the names of the values in a load report, in their order."""

    controller: Controller
    fields: tuple[str, ...]


def encode_action(agent: int, action: api.Action) -> str:
    """Returns the line for an action of the agent numbered `agent`.

    Converts nanoseconds to microseconds: delays and timers are rounded up, timeouts down, so that no rule
    is broken by rounding.
    """
    match action:
        case api.SetUp(call, exchange, patience):
            return f"issue Agent={agent} Id={call} Exchange={exchange} MaxWaitUs={patience // US}"
        case api.Block(call, retry_after):
            return f"say_no Agent={agent} Id={call} StayAwayUs={-(-retry_after // US)}"
        case api.Abort(call):
            return f"respond_error Agent={agent} Id={call}"
        case api.SetTimer(at, token):
            return f"remind Agent={agent} WhenUs={-(-at // US)} Ctx={token}"
        case api.FollowList():
            return f"keep_informed Agent={agent} Active=1"
        case api.Log(text):
            return f"emit Agent={agent} BodyText={text}"


class Host:
    """Runs the controllers of all agents over one input and one output.

    The events of a batch are passed to each controller as one list, in the order of arrival. `instances` and
    `pending`, the events of the current batch, are kept by the agent's number, `lists` by SetId. `now` is in
    nanoseconds.
    """

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, tuple[api.Entry, ...]] = {}
        self.now = 0
        self.line_number = 0
        self.pending: dict[int, list[api.Event]] = {}
        self.reply: list[str] = []

    def run(self) -> None:
        """Handles batches until the input ends. Raises `Malformed`."""
        while text := self.source.readline():
            self.line_number += 1
            if text == "\n":
                continue
            line = Line(text.rstrip("\n"))
            if line.kind == "turn":
                self.now = line.required("SimTimeUs") * US
                self.handle_batch()

    def next_line(self) -> Line:
        """Reads the next line of a batch. Raises `Malformed` if the input ends."""
        text = self.source.readline()
        self.line_number += 1
        if not text.endswith("\n"):
            raise Malformed("the input ends in the middle of a batch")
        return Line(text[:-1])

    def handle_batch(self) -> None:
        """Handles one batch, up to its line `go`, and writes the actions and `ack`."""
        while (line := self.next_line()).kind != "go":
            self.handle_line(line)
        for agent, events in self.pending.items():
            actions = self.instances[agent].controller.handle(self.now, events)
            self.reply.extend(encode_action(agent, action) for action in actions)
        self.pending.clear()
        self.reply.append("ack\n")
        self.sink.write("\n".join(self.reply))
        self.sink.flush()
        self.reply.clear()

    def handle_line(self, line: Line) -> None:
        """Handles one line of a batch: exchange lists and agents at once, events when the batch is complete.

        Lines of unknown kinds and for unknown agents are ignored. Raises `Malformed`.
        """
        if line.kind == "":
            return
        if line.kind == "census":
            rows = [parse.entry(self.next_line()) for _ in range(line.integer("NodesList"))]
            self.lists[line.required("SetId")] = tuple(rows)
        elif line.kind == "enlist":
            agent = line.required("Agent")
            settings, fields = parse.settings(line.text("BootInfo"))
            self.pending.pop(agent, None)
            self.instances[agent] = Instance(Controller(line.integer("Nonce64"), settings), fields)
        elif line.kind == "detach":
            self.pending.pop(line.required("Agent"), None)
            self.instances.pop(line.required("Agent"), None)
        elif "Agent" in line.values:
            agent = line.required("Agent")
            instance = self.instances.get(agent)
            if instance is not None and (event := self.event(line, instance.fields)) is not None:
                self.pending.setdefault(agent, []).append(event)

    def event(self, line: Line, fields: tuple[str, ...]) -> api.Event | None:
        """Returns the event in a line, None if its kind is unknown. Raises `Malformed`."""
        if line.kind != "announce":
            return parse.event(line, fields)
        form = protocol_names.FORMS.get(line.integer("Form"))
        if form is None:
            return None
        if form == "failed":
            return api.ListUpdated(form)
        set_id = line.required("SetId")
        if set_id not in self.lists:
            raise Malformed(f"no exchange list with SetId={set_id} was given")
        return api.ListUpdated(form, self.lists[set_id])


def main() -> int:
    """Runs the adapter on standard input and output.

    Returns the exit code: 0 at the end of the input, 1 after an error of a controller, 2 for malformed input.
    """
    host = Host(sys.stdin, sys.stdout)
    try:
        host.run()
    except Malformed as error:
        print(f"wirehost: line {host.line_number}: {error}", file=sys.stderr)
        return 2
    except Exception as error:  # an error of a controller is reported to the simulator
        innermost = error.__traceback__
        while innermost is not None and innermost.tb_next is not None:
            innermost = innermost.tb_next
        where = f" at line {innermost.tb_lineno}" if innermost else ""
        agents = [*host.pending, *host.instances, 0]
        sys.stdout.write(f"die Agent={agents[0]} BodyText={type(error).__name__}: {error}{where}\nack\n")
        sys.stdout.flush()
        return 1
    return 0
