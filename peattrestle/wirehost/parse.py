"""Parses the lines of the simulator's protocol into events and settings of the call router."""

from __future__ import annotations

import json
from typing import Any

from peattrestle import interface as api
from peattrestle.wirehost import protocol_names
from peattrestle.wirehost.protocol_names import US

TEXT_FIELDS = ("BootInfo", "BodyText")  # their values may contain spaces and extend to the end of the line


class Malformed(Exception):
    """Input that the protocol does not allow; the message names the value at fault."""


class Line:
    """One message of the protocol: its kind and its values by name. Raises `Malformed`."""

    __slots__ = ("kind", "values")

    def __init__(self, text: str) -> None:
        self.kind, _, rest = text.partition(" ")
        self.values: dict[str, str] = {}
        while rest:
            name, equals, remainder = rest.partition("=")
            if not equals or not name or " " in name:
                raise Malformed(f"'{rest.split(' ')[0]}' is not name=value")
            if name in TEXT_FIELDS:
                value, rest = remainder, ""
            else:
                value, _, rest = remainder.partition(" ")
            self.values[name] = value

    def integer(self, name: str, default: int = 0) -> int:
        """Returns the value as an integer, or `default` if there is none. Raises `Malformed`."""
        value = self.values.get(name)
        if value is None:
            return default
        try:
            return int(value)
        except ValueError:
            raise Malformed(f"{name}={value} is not a whole number") from None

    def required(self, name: str) -> int:
        """Returns the value as an integer. Raises `Malformed` if it is missing or not an integer."""
        if name not in self.values:
            raise Malformed(f"{name} is missing")
        return self.integer(name)

    def text(self, name: str) -> str:
        """Returns the value, or an empty text if there is none."""
        return self.values.get(name, "")

    def flag(self, name: str) -> bool:
        """Returns whether the value is an integer other than 0; false if there is none."""
        return self.integer(name) != 0


def _convert_setting(name: str, value: Any) -> Any:
    if name.endswith("Us") and isinstance(value, (int, float)):
        return round(value * US)
    return protocol_names.VALUES.get(value, value) if isinstance(value, str) else value


def settings(text: str) -> tuple[dict[str, Any], tuple[str, ...]]:
    """Returns the flat map of settings and the names of the values in a load report. Raises `Malformed`."""
    try:
        tree = json.loads(text)
    except ValueError as error:
        raise Malformed(f"BootInfo is not JSON: {error}") from None
    if not isinstance(tree, dict):
        raise Malformed("BootInfo is not a JSON object")
    return settings_from(tree)


def settings_from(tree: dict[str, Any]) -> tuple[dict[str, Any], tuple[str, ...]]:
    """As `settings`, for a JSON object that has already been parsed, as in the platform's configuration."""

    def value_at(path: str) -> Any:
        node: Any = tree
        for part in path.split("."):
            node = node.get(part) if isinstance(node, dict) else None
        return node

    flat = {
        own_name: _convert_setting(path, value)
        for path, own_name in protocol_names.SETTINGS.items()
        if (value := value_at(path)) is not None
    }
    classes = value_at("Classes") or []
    flat["bearer_types"] = tuple(bearer_type["Name"] for bearer_type in classes)
    for index, bearer_type in enumerate(classes):
        for protocol_name, own_name in protocol_names.BEARER.items():
            if protocol_name in bearer_type:
                flat[f"{own_name}:{bearer_type['Name']}"] = _convert_setting(
                    protocol_name, bearer_type[protocol_name]
                )
        for path, own_name in protocol_names.BEARER_LISTS.items():
            row = value_at(path) or []
            if index < len(row):
                value = row[index]
                flat[f"{own_name}:{bearer_type['Name']}"] = (
                    tuple(value) if isinstance(value, list) else _convert_setting(path, value)
                )
    for customer in value_at("Projects") or []:
        for protocol_name, own_name in protocol_names.CUSTOMER.items():
            if protocol_name in customer:
                flat[f"{own_name}:{customer['Name']}"] = customer[protocol_name]
    return flat, tuple(protocol_names.LOAD.get(name, name) for name in value_at("Report.Fields") or ())


def load_report(text: str, fields: tuple[str, ...]) -> dict[str, float]:
    """Parses a load report, a comma-separated row of values, into a map by the names in `fields`.

    Negative values mean "not reported" and are left out. Raises `Malformed`.
    """
    if not text:
        return {}
    try:
        row = [float(value) for value in text.split(",")]
    except ValueError:
        raise Malformed(f"Pressure={text} is not a comma-separated row of numbers") from None
    return {name: value for name, value in zip(fields, row, strict=False) if value >= 0}


def entry(line: Line) -> api.Entry:
    """Parses a line of an exchange list. Raises `Malformed`."""
    return api.Entry(
        line.text("Exchange"),
        line.integer("PointCode"),
        protocol_names.STATES.get(line.integer("Availability"), "gone"),
        line.integer("SinceUs") * US,
        line.text("Area"),
    )


def event(line: Line, fields: tuple[str, ...]) -> api.Event | None:
    """Parses an event; None if its kind is unknown. Raises `Malformed`.

    `fields`: the names of the values in a load report, in their order.
    """
    if line.kind == "probe_done":
        return api.LoadReported(
            line.text("Exchange"),
            protocol_names.RESULTS.get(line.text("Result"), "error"),
            line.integer("RttUs") * US,
            load_report(line.text("Pressure"), fields),
        )
    if line.kind == "call":
        return api.CallArrived(
            line.required("Id"),
            line.text("Band"),
            line.required("ValidUntilUs") * US,
            line.required("CalledNode"),
            line.text("Item"),
            line.integer("Units", 1),
            line.integer("Via", -1),
            line.flag("Transit"),
            line.flag("Reconnect"),
            line.flag("Repeat"),
            line.text("Team"),
        )
    if line.kind == "ack_first":
        return api.TryAnswered(
            line.required("Id"), line.text("Exchange"), line.integer("RttUs") * US, line.integer("Leg")
        )
    if line.kind == "verdict":
        # The low four bits are the cause. The rest is a flag for turned_back, and for processor_full the time
        # to wait in milliseconds.
        code = line.integer("ClearCode")
        cause, wait = protocol_names.CAUSES.get(code % 16, ""), 0
        if cause == "turned_back" and code >= 16:
            cause = "beyond_full"
        elif cause == "processor_full":
            wait = code // 16 * 1_000 * US
        return api.TryEnded(
            line.required("Id"),
            line.text("Exchange"),
            protocol_names.RESULTS.get(line.text("Result"), "error"),
            line.integer("RttUs") * US,
            line.integer("Leg"),
            line.flag("DoneFlag"),
            cause,
            wait,
            load_report(line.text("Pressure"), fields),
        )
    if line.kind == "client_left":
        return api.CallerLeft(line.required("Id"))
    if line.kind == "timeout_fired":
        return api.TimerDue(line.text("Ctx"))
    return None
