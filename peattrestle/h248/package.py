"""Our own packages on H.248.1, version 1: names, and the few messages of the call path.

`ptc` (call): the parameters of a set-up in LocalControl, its outcome in Statistics, the event `ptc/cut`.
`ptg` (trunk groups): event `ptg/fre`, statistics of the group towards the answering exchange.
`ptp` (processor): load report in Statistics. `ptl` (load limits): the rate a gateway
may offer, for a time, and when it may restart. The table is in docs/protocol.md. Durations are nanoseconds.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from peattrestle.h248.text import Action, Command, Item, Reply, quoted
from peattrestle.storms.notice import Notice as Notice  # the codec writes and reads it for both sides

PROFILE = "peattrestle/1"
# Published error codes that the call path uses.
REFUSED, FAILED = 510, 530  # insufficient resources; temporary network failure
UNKNOWN_TERMINATION, UNKNOWN_CONTEXT, TWICE = 430, 411, 433
BAD_VALUE = 449
CAUSES = frozenset({"no_circuit", "turned_back", "beyond_full", "processor_full", "lines_busy"})
LOAD = {"ptg/fre": "free", "ptg/siz": "size", "ptp/que": "queue", "ptp/rat": "rate"}
MOST_DURATION = 1 << 62


class BadValue(Exception):
    """A parameter of ours is missing, or has a value that it can't have; the text says which."""


@dataclass(slots=True)
class SetUpAsked:
    """What an Add asks for. `patience`: nanoseconds until the asker gives up. `reference`: the caller's name
    of the call, the same in each of its route tries. `origin`: the exchange that sends it, or -1."""

    termination: str
    bearer_type: str
    destination: int
    patience: int
    number: str = ""
    width: int = 1
    via: int = -1
    transit: bool = False
    repeat: bool = False
    cut_before: bool = False
    customer: str = ""
    reference: str = ""
    origin: int = -1


def add_text(number: int, asked: SetUpAsked) -> str:
    """A request with one Add into a new context. Raises ValueError where a name can't be written."""
    out = [f"ptc/brt={quoted(asked.bearer_type)},ptc/dst={asked.destination},ptc/abn={asked.patience}"]
    if asked.number:
        out.append(f"ptc/num={quoted(asked.number)}")
    if asked.width != 1:
        out.append(f"ptc/wid={asked.width}")
    if asked.via >= 0:
        out.append(f"ptc/via={asked.via}")
    if asked.origin >= 0:
        out.append(f"ptc/org={asked.origin}")
    for name, marked in (("trn", asked.transit), ("rpt", asked.repeat), ("cut", asked.cut_before)):
        if marked:
            out.append(f"ptc/{name}=ON")
    if asked.customer:
        out.append(f"ptc/cus={quoted(asked.customer)}")
    if asked.reference:
        out.append(f"ptc/ref={quoted(asked.reference)}")
    return (
        f"Transaction={number}{{Context=${{Add={quoted(asked.termination)}"
        f"{{Media{{LocalControl{{{','.join(out)}}}}}}}}}}}"
    )


def _whole(name: str, value: str | None, least: int, most: int) -> int:
    text = value or ""
    digits = text[1:] if text[:1] == "-" else text
    if not digits.isascii() or not digits.isdigit() or len(digits) > 19 or not least <= int(text) <= most:
        raise BadValue(f"{name} must be a whole number from {least} to {most}")
    return int(text)


def read_add(command: Command) -> SetUpAsked:
    """Parameters of other packages are passed over. Raises BadValue."""
    control = command.find("Media", "LocalControl")
    values: dict[str, str | None] = {}
    for item in control.items or () if control is not None else ():
        if item.name in values:
            raise BadValue(f"{item.name} is given twice")
        values[item.name] = item.value

    def flag(name: str) -> bool:
        value = (values.get(name) or "OFF").upper()
        if value not in ("ON", "OFF"):
            raise BadValue(f"{name} must be ON or OFF")
        return value == "ON"

    for name in ("ptc/brt", "ptc/dst", "ptc/abn"):
        if not values.get(name):
            raise BadValue(f"{name} is missing")
    return SetUpAsked(
        command.termination,
        values["ptc/brt"] or "",
        _whole("ptc/dst", values["ptc/dst"], 0, 1 << 31),
        _whole("ptc/abn", values["ptc/abn"], 1, MOST_DURATION),
        values.get("ptc/num") or "",
        _whole("ptc/wid", values.get("ptc/wid", "1"), 1, 10_000),
        _whole("ptc/via", values.get("ptc/via", "-1"), -1, 1 << 31),
        flag("ptc/trn"),
        flag("ptc/rpt"),
        flag("ptc/cut"),
        values.get("ptc/cus") or "",
        values.get("ptc/ref") or "",
        _whole("ptc/org", values.get("ptc/org", "-1"), -1, 1 << 31),
    )


@dataclass(slots=True)
class Outcome:
    """The reply to an Add. `code` 0: it stands, in `context`. Else refused (510), failed, or an error."""

    code: int
    context: str = "-"
    text: str = ""
    cause: str = ""
    come_back: int = 0
    wait: int = 0
    load: Mapping[str, float] | None = None


def _statistics(outcome: Outcome) -> str:
    rows = []
    if outcome.cause:
        rows.append(f"ptc/cau={outcome.cause}")
    if outcome.come_back:
        rows.append(f"ptc/cbk={outcome.come_back}")
    if outcome.wait:
        rows.append(f"ptc/wai={outcome.wait}")
    for name, ours in LOAD.items():
        if outcome.load and ours in outcome.load:
            rows.append(f"{name}={outcome.load[ours]:.10g}")
    return f"Statistics{{{','.join(rows)}}}" if rows else ""


def outcome_text(number: int, termination: str, outcome: Outcome) -> str:
    rows = [f'Error={outcome.code}{{"{outcome.text}"}}'] if outcome.code else []
    statistics = _statistics(outcome)
    if statistics:
        rows.append(statistics)
    braces = "{" + ",".join(rows) + "}" if rows else ""
    return f"Reply={number}{{Context={outcome.context}{{Add={quoted(termination)}{braces}}}}}"


def read_load(items: Iterable[Item]) -> dict[str, float]:
    """The load report among items; what is no number is left out."""
    load = {}
    for item in items:
        ours = LOAD.get(item.name)
        if ours is not None and item.value is not None:
            try:
                value = float(item.value)
            except ValueError:
                continue
            if 0 <= value < 1e15:
                load[ours] = value
    return load


def read_outcome(reply: Reply) -> Outcome:
    """What a reply to an Add says. One that says nothing of use counts as an error 500."""
    error, command, context = reply.error, None, "-"
    for action in reply.actions:
        error = error or action.error
        context = action.context
        command = command or (action.commands[0] if action.commands else None)
    if command is None:
        code, text = error or (500, "no command in the reply")
        return Outcome(code or 500, text=text)
    outcome = Outcome(error[0], text=error[1]) if error else Outcome(0, context)
    for item in command.items:
        if item.name == "Error":
            outcome.code = int(item.value or 500)
            outcome.text = item.items[0].name[1:-1] if item.items else ""
        elif item.name == "Statistics":
            rows = item.items or []
            outcome.load = read_load(rows)
            for one in rows:
                if one.name == "ptc/cau" and one.value in CAUSES:
                    outcome.cause = one.value
                elif one.name in ("ptc/cbk", "ptc/wai") and re.fullmatch(r"[0-9]{1,19}", one.value or ""):
                    value = min(int(one.value or 0), MOST_DURATION)
                    if one.name == "ptc/cbk":
                        outcome.come_back = value
                    else:
                        outcome.wait = value
    if outcome.code == 0 and not context.isdigit():
        outcome.code = 500  # a call that stands has a context of its own
    return outcome


def subtract_text(number: int, context: str, termination: str) -> str:
    """Context `*` where the asker never learned it: the termination's name is the asker's own."""
    return f"Transaction={number}{{Context={context}{{Subtract={quoted(termination)}}}}}"


def command_reply(
    number: int,
    context: str,
    name: str,
    termination: str,
    error: tuple[int, str] | None = None,
    inside: str = "",
) -> str:
    """A reply with one command; `inside` are its descriptors as text."""
    if error is not None:
        inside = f'Error={error[0]}{{"{error[1]}"}}'
    braces = "{" + inside + "}" if inside else ""
    return f"Reply={number}{{Context={context}{{{name}={quoted(termination)}{braces}}}}}"


def notify_text(number: int, context: str, termination: str, events: Iterable[str]) -> str:
    return (
        f"Transaction={number}{{Context={context}{{Notify={quoted(termination)}"
        f"{{ObservedEvents=0{{{','.join(events)}}}}}}}}}"
    )


def group_event(to: int, free: int, size: int) -> str:
    return f"ptg/fre{{to={to},free={free},size={size}}}"


@dataclass(slots=True, frozen=True)
class GroupFree:
    """Circuits of the group to exchange `to`."""

    to: int
    free: int
    size: int


def read_groups(command: Command) -> list[GroupFree]:
    """Raises BadValue."""
    out = []
    observed = command.find("ObservedEvents")
    for item in observed.items or () if observed is not None else ():
        if item.name.endswith("ptg/fre"):
            values = {one.name: one.value for one in item.items or ()}
            out.append(
                GroupFree(
                    *(
                        _whole(f"ptg/fre {name}", values.get(name), 0, 1 << 31)
                        for name in ("to", "free", "size")
                    )
                )
            )
    return out


def is_cut(command: Command) -> bool:
    observed = command.find("ObservedEvents")
    return observed is not None and any(one.name.endswith("ptc/cut") for one in observed.items or ())


def rate_event(notice: Notice) -> str:
    return f"ptl/rat{{cps={notice.rate:.3f},val={notice.lifetime},seq={notice.number}}}"


def read_rate(command: Command) -> Notice | None:
    """The notice in a Notify; None where there is none. Raises BadValue."""
    observed = command.find("ObservedEvents")
    for item in observed.items or () if observed is not None else ():
        if item.name.endswith("ptl/rat"):
            values = {one.name: one.value or "" for one in item.items or ()}
            if re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", values.get("cps", "")) is None:
                raise BadValue("ptl/rat cps must be calls a second, as 12.5")
            return Notice(
                float(values["cps"]),
                _whole("ptl/rat val", values.get("val"), 0, MOST_DURATION),
                _whole("ptl/rat seq", values.get("seq"), 0, 1 << 62),
            )
    return None


def service_change_text(number: int, method: str, reason: str, parameters: str = "") -> str:
    """`method`: Restart, Graceful, Forced, Disconnected or Handoff, as published."""
    more = f",{parameters}" if parameters else ""
    return (
        f"Transaction={number}{{Context=-{{ServiceChange=ROOT{{Services{{Method={method},"
        f'Reason="{reason}",Profile={PROFILE}{more}}}}}}}}}'
    )


@dataclass(slots=True)
class ServiceChange:
    method: str
    reason: str
    parameters: dict[str, str]


def read_service_change(command: Command) -> ServiceChange:
    """Raises BadValue."""
    services = command.find("Services")
    values = {one.name.lower(): one.value or "" for one in services.items or ()} if services else {}
    method = values.get("method", "").capitalize()
    if method not in ("Restart", "Graceful", "Forced", "Disconnected", "Handoff", "Failover"):
        raise BadValue("Method must be one of the published ones")
    return ServiceChange(method, values.get("reason", ""), values)


def refusal(reply: Reply) -> int:
    """The error code of a reply to one command; 0 where it was carried out."""
    if reply.error is not None:
        return reply.error[0]
    found = first_command(reply.actions)
    if found is None:
        return next((action.error[0] for action in reply.actions if action.error is not None), 500)
    error = found[1].find("Error")
    return int(error.value or 500) if error is not None else 0


def first_command(actions: Iterable[Action]) -> tuple[Action, Command] | None:
    for action in actions:
        for command in action.commands:
            return action, command
    return None
