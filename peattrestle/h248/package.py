"""The H.248.1 packages of the profile `peattrestle/1`: writes and reads the messages of the call path.

`ptc` (call): the parameters of a set-up in LocalControl, its outcome in Statistics, the event `ptc/cut`.
`ptg` (trunk groups): the event `ptg/fre`, and statistics of the group towards the answering exchange.
`ptp` (processor): the load report in Statistics. `ptl` (load limits): the rate that a gateway may offer for a
limited time, and when it may restart. docs/protocol.md has the table. Durations are nanoseconds.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from peattrestle.h248.text import Action, Command, Item, Reply, quoted
from peattrestle.storms.notice import Notice as Notice  # re-exported for both ends

PROFILE = "peattrestle/1"
# Error codes of H.248.8 that the call path uses.
REFUSED, FAILED = 510, 530  # insufficient resources; temporary network failure
UNKNOWN_TERMINATION, UNKNOWN_CONTEXT, ALREADY_IN_CONTEXT = 430, 411, 433
BAD_VALUE = 449  # unsupported or unknown parameter value
# Causes of a refusal, the values of `ptc/cau`.
CAUSES = frozenset({"no_circuit", "turned_back", "beyond_full", "processor_full", "lines_busy"})
# Statistic -> key of the load report: free circuits and circuits of the group, processor queue and rate.
LOAD_STATISTICS = {"ptg/fre": "free", "ptg/siz": "size", "ptp/que": "queue", "ptp/rat": "rate"}
MAX_DURATION = 1 << 62  # nanoseconds


class BadValue(Exception):
    """A parameter of the profile's packages is missing or has an invalid value; the message names it."""


@dataclass(slots=True)
class SetUpRequest:
    """A request to set up a call, the parameters of an Add.

    `patience`: nanoseconds until the requester gives up. `reference`: the caller's reference of the call, the
    same in each of its route tries. `origin`: the number of the exchange that sends it, or -1. `via`: the
    number of an exchange that is advised, or -1. `width`: circuits. `repeat`: a retry. `cut_before`: the call
    was cut before.
    """

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


def add_text(transaction_id: int, request: SetUpRequest) -> str:
    """A request with one Add into a new context. Raises ValueError where a text value can't be written."""
    parameters = [
        f"ptc/brt={quoted(request.bearer_type)},ptc/dst={request.destination},ptc/abn={request.patience}"
    ]
    if request.number:
        parameters.append(f"ptc/num={quoted(request.number)}")
    if request.width != 1:
        parameters.append(f"ptc/wid={request.width}")
    if request.via >= 0:
        parameters.append(f"ptc/via={request.via}")
    if request.origin >= 0:
        parameters.append(f"ptc/org={request.origin}")
    for name, is_set in (("trn", request.transit), ("rpt", request.repeat), ("cut", request.cut_before)):
        if is_set:
            parameters.append(f"ptc/{name}=ON")
    if request.customer:
        parameters.append(f"ptc/cus={quoted(request.customer)}")
    if request.reference:
        parameters.append(f"ptc/ref={quoted(request.reference)}")
    return (
        f"Transaction={transaction_id}{{Context=${{Add={quoted(request.termination)}"
        f"{{Media{{LocalControl{{{','.join(parameters)}}}}}}}}}}}"
    )


def _parse_int(name: str, value: str | None, minimum: int, maximum: int) -> int:
    text = value or ""
    digits = text[1:] if text[:1] == "-" else text
    if (
        not digits.isascii()
        or not digits.isdigit()
        or len(digits) > 19
        or not minimum <= int(text) <= maximum
    ):
        raise BadValue(f"{name} must be a whole number from {minimum} to {maximum}")
    return int(text)


def read_add(command: Command) -> SetUpRequest:
    """Reads the parameters of an Add; those of other packages are ignored. Raises BadValue."""
    control = command.find("Media", "LocalControl")
    values: dict[str, str | None] = {}
    for item in control.items or () if control is not None else ():
        if item.name in values:
            raise BadValue(f"{item.name} is given twice")
        values[item.name] = item.value

    def parse_flag(name: str) -> bool:
        value = (values.get(name) or "OFF").upper()
        if value not in ("ON", "OFF"):
            raise BadValue(f"{name} must be ON or OFF")
        return value == "ON"

    for name in ("ptc/brt", "ptc/dst", "ptc/abn"):
        if not values.get(name):
            raise BadValue(f"{name} is missing")
    return SetUpRequest(
        command.termination,
        values["ptc/brt"] or "",
        _parse_int("ptc/dst", values["ptc/dst"], 0, 1 << 31),
        _parse_int("ptc/abn", values["ptc/abn"], 1, MAX_DURATION),
        values.get("ptc/num") or "",
        _parse_int("ptc/wid", values.get("ptc/wid", "1"), 1, 10_000),
        _parse_int("ptc/via", values.get("ptc/via", "-1"), -1, 1 << 31),
        parse_flag("ptc/trn"),
        parse_flag("ptc/rpt"),
        parse_flag("ptc/cut"),
        values.get("ptc/cus") or "",
        values.get("ptc/ref") or "",
        _parse_int("ptc/org", values.get("ptc/org", "-1"), -1, 1 << 31),
    )


@dataclass(slots=True)
class Outcome:
    """The reply to an Add. `code` 0: the call stands, in `context`; else REFUSED (510), FAILED or an error.

    `retry_after`: nanoseconds after which the caller is advised to retry, 0 for no advice. `wait`:
    nanoseconds that a full processor asks to wait. `cause`: one of `CAUSES`, or empty. `load`: the load
    report, with the keys of `LOAD_STATISTICS`.
    """

    code: int
    context: str = "-"
    text: str = ""
    cause: str = ""
    retry_after: int = 0
    wait: int = 0
    load: Mapping[str, float] | None = None


def _statistics(outcome: Outcome) -> str:
    statistics = []
    if outcome.cause:
        statistics.append(f"ptc/cau={outcome.cause}")
    if outcome.retry_after:
        statistics.append(f"ptc/cbk={outcome.retry_after}")
    if outcome.wait:
        statistics.append(f"ptc/wai={outcome.wait}")
    for name, field in LOAD_STATISTICS.items():
        if outcome.load and field in outcome.load:
            statistics.append(f"{name}={outcome.load[field]:.10g}")
    return f"Statistics{{{','.join(statistics)}}}" if statistics else ""


def outcome_text(transaction_id: int, termination: str, outcome: Outcome) -> str:
    """The reply to an Add. Raises ValueError where the termination can't be written."""
    descriptors = [f'Error={outcome.code}{{"{outcome.text}"}}'] if outcome.code else []
    statistics = _statistics(outcome)
    if statistics:
        descriptors.append(statistics)
    braces = "{" + ",".join(descriptors) + "}" if descriptors else ""
    return f"Reply={transaction_id}{{Context={outcome.context}{{Add={quoted(termination)}{braces}}}}}"


def read_load(items: Iterable[Item]) -> dict[str, float]:
    """The load report among the items of Statistics; invalid numbers are ignored."""
    load = {}
    for item in items:
        field = LOAD_STATISTICS.get(item.name)
        if field is not None and item.value is not None:
            try:
                value = float(item.value)
            except ValueError:
                continue
            if 0 <= value < 1e15:
                load[field] = value
    return load


def read_outcome(reply: Reply) -> Outcome:
    """Reads the reply to an Add; one without a command or a valid context counts as an error 500."""
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
            statistics = item.items or []
            outcome.load = read_load(statistics)
            for statistic in statistics:
                if statistic.name == "ptc/cau" and statistic.value in CAUSES:
                    outcome.cause = statistic.value
                elif statistic.name in ("ptc/cbk", "ptc/wai") and re.fullmatch(
                    r"[0-9]{1,19}", statistic.value or ""
                ):
                    value = min(int(statistic.value or 0), MAX_DURATION)
                    if statistic.name == "ptc/cbk":
                        outcome.retry_after = value
                    else:
                        outcome.wait = value
    if outcome.code == 0 and not context.isdigit():
        outcome.code = 500  # a successful Add has a numbered context
    return outcome


def subtract_text(transaction_id: int, context: str, termination: str) -> str:
    """A request that releases a termination.

    `context`: `*` where the requester does not know it yet; the termination, which it named, is enough.
    """
    return f"Transaction={transaction_id}{{Context={context}{{Subtract={quoted(termination)}}}}}"


def command_reply(
    transaction_id: int,
    context: str,
    name: str,
    termination: str,
    error: tuple[int, str] | None = None,
    descriptors: str = "",
) -> str:
    """A reply with one command; `descriptors` has them as text, `error` a code and a text instead."""
    if error is not None:
        descriptors = f'Error={error[0]}{{"{error[1]}"}}'
    braces = "{" + descriptors + "}" if descriptors else ""
    return f"Reply={transaction_id}{{Context={context}{{{name}={quoted(termination)}{braces}}}}}"


def notify_text(transaction_id: int, context: str, termination: str, events: Iterable[str]) -> str:
    """A Notify request with events as text."""
    return (
        f"Transaction={transaction_id}{{Context={context}{{Notify={quoted(termination)}"
        f"{{ObservedEvents=0{{{','.join(events)}}}}}}}}}"
    )


def group_event(to: int, free: int, size: int) -> str:
    """The event that reports the circuits of the trunk group to exchange number `to`."""
    return f"ptg/fre{{to={to},free={free},size={size}}}"


@dataclass(slots=True, frozen=True)
class GroupStatus:
    """The circuits of the trunk group to exchange number `to`: those that are free, and all (`size`)."""

    to: int
    free: int
    size: int


def read_groups(command: Command) -> list[GroupStatus]:
    """The trunk group reports in a Notify. Raises BadValue."""
    groups = []
    observed = command.find("ObservedEvents")
    for event in observed.items or () if observed is not None else ():
        if event.name.endswith("ptg/fre"):
            values = {parameter.name: parameter.value for parameter in event.items or ()}
            groups.append(
                GroupStatus(
                    *(
                        _parse_int(f"ptg/fre {name}", values.get(name), 0, 1 << 31)
                        for name in ("to", "free", "size")
                    )
                )
            )
    return groups


def is_cut(command: Command) -> bool:
    """Whether a Notify reports that the call was cut."""
    observed = command.find("ObservedEvents")
    return observed is not None and any(event.name.endswith("ptc/cut") for event in observed.items or ())


def rate_event(notice: Notice) -> str:
    """The event that tells a gateway the rate, in calls a second, that it may offer."""
    return f"ptl/rat{{cps={notice.rate:.3f},val={notice.lifetime},seq={notice.number}}}"


def read_rate(command: Command) -> Notice | None:
    """The rate notice in a Notify; None where there is none. Raises BadValue."""
    observed = command.find("ObservedEvents")
    for event in observed.items or () if observed is not None else ():
        if event.name.endswith("ptl/rat"):
            values = {parameter.name: parameter.value or "" for parameter in event.items or ()}
            if re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", values.get("cps", "")) is None:
                raise BadValue("ptl/rat cps must be calls a second, as 12.5")
            return Notice(
                float(values["cps"]),
                _parse_int("ptl/rat val", values.get("val"), 0, MAX_DURATION),
                _parse_int("ptl/rat seq", values.get("seq"), 0, 1 << 62),
            )
    return None


def service_change_text(transaction_id: int, method: str, reason: str, parameters: str = "") -> str:
    """A ServiceChange for ROOT; `method` (H.248.1): Restart, Graceful, Forced, Disconnected or Handoff."""
    suffix = f",{parameters}" if parameters else ""
    return (
        f"Transaction={transaction_id}{{Context=-{{ServiceChange=ROOT{{Services{{Method={method},"
        f'Reason="{reason}",Profile={PROFILE}{suffix}}}}}}}}}'
    )


@dataclass(slots=True)
class ServiceChange:
    """A ServiceChange; `parameters` has all of its Services descriptor, with names in lower case."""

    method: str
    reason: str
    parameters: dict[str, str]


def read_service_change(command: Command) -> ServiceChange:
    """Reads a ServiceChange. Raises BadValue for an unknown method."""
    services = command.find("Services")
    values = (
        {parameter.name.lower(): parameter.value or "" for parameter in services.items or ()}
        if services
        else {}
    )
    method = values.get("method", "").capitalize()
    if method not in ("Restart", "Graceful", "Forced", "Disconnected", "Handoff", "Failover"):
        raise BadValue("Method must be one of the published ones")
    return ServiceChange(method, values.get("reason", ""), values)


def reply_error_code(reply: Reply) -> int:
    """The error code of the reply to a request with one command; 0 for success, 500 for an empty reply."""
    if reply.error is not None:
        return reply.error[0]
    first = first_command(reply.actions)
    if first is None:
        return next((action.error[0] for action in reply.actions if action.error is not None), 500)
    error = first[1].find("Error")
    return int(error.value or 500) if error is not None else 0


def first_command(actions: Iterable[Action]) -> tuple[Action, Command] | None:
    """The first command with its action; None where there is no command."""
    for action in actions:
        for command in action.commands:
            return action, command
    return None
