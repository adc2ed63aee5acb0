"""From the wire's lines to events in our words."""

from __future__ import annotations

import json
from typing import Any

from peattrestle import interface as api
from peattrestle.wirehost import words
from peattrestle.wirehost.words import US

TEXT_FIELDS = ("BootInfo", "BodyText")  # these run to the end of their line


class Malformed(Exception):
    """The input breaks the wire's form; the text says how."""


class Line:
    """One message: its kind and its values."""

    __slots__ = ("kind", "values")

    def __init__(self, text: str) -> None:
        self.kind, _, rest = text.partition(" ")
        self.values: dict[str, str] = {}
        while rest:
            name, equals, after = rest.partition("=")
            if not equals or not name or " " in name:
                raise Malformed(f"'{rest.split(' ')[0]}' is not name=value")
            if name in TEXT_FIELDS:
                value, rest = after, ""
            else:
                value, _, rest = after.partition(" ")
            self.values[name] = value

    def whole(self, name: str, default: int = 0) -> int:
        value = self.values.get(name)
        if value is None:
            return default
        try:
            return int(value)
        except ValueError:
            raise Malformed(f"{name}={value} is not a whole number") from None

    def needed(self, name: str) -> int:
        if name not in self.values:
            raise Malformed(f"{name} is missing")
        return self.whole(name)

    def text(self, name: str) -> str:
        return self.values.get(name, "")

    def flag(self, name: str) -> bool:
        return self.whole(name) != 0


def _setting(name: str, value: Any) -> Any:
    if name.endswith("Us") and isinstance(value, (int, float)):
        return round(value * US)
    return words.VALUES.get(value, value) if isinstance(value, str) else value


def settings(text: str) -> tuple[dict[str, Any], tuple[str, ...]]:
    """The flat map of settings and the names of the values in a load report."""
    try:
        tree = json.loads(text)
    except ValueError as fault:
        raise Malformed(f"BootInfo is not JSON: {fault}") from None
    if not isinstance(tree, dict):
        raise Malformed("BootInfo is not a JSON object")
    return settings_of(tree)


def settings_of(tree: dict[str, Any]) -> tuple[dict[str, Any], tuple[str, ...]]:
    """The same from settings that are read already, as the platform's configuration has them."""

    def at(path: str) -> Any:
        spot: Any = tree
        for part in path.split("."):
            spot = spot.get(part) if isinstance(spot, dict) else None
        return spot

    flat = {
        ours: _setting(path, value)
        for path, ours in words.SETTINGS.items()
        if (value := at(path)) is not None
    }
    classes = at("Classes") or []
    flat["bearer_types"] = tuple(one["Name"] for one in classes)
    for place, one in enumerate(classes):
        for theirs, ours in words.BEARER.items():
            if theirs in one:
                flat[f"{ours}:{one['Name']}"] = _setting(theirs, one[theirs])
        for path, ours in words.BEARER_LISTS.items():
            row = at(path) or []
            if place < len(row):
                value = row[place]
                flat[f"{ours}:{one['Name']}"] = (
                    tuple(value) if isinstance(value, list) else _setting(path, value)
                )
    for one in at("Projects") or []:
        for theirs, ours in words.CUSTOMER.items():
            if theirs in one:
                flat[f"{ours}:{one['Name']}"] = one[theirs]
    return flat, tuple(words.LOAD.get(name, name) for name in at("Report.Fields") or ())


def load(text: str, fields: tuple[str, ...]) -> dict[str, float]:
    """Values below zero stand for 'not told' and are left out."""
    if not text:
        return {}
    try:
        row = [float(value) for value in text.split(",")]
    except ValueError:
        raise Malformed(f"Pressure={text} is not a row of numbers") from None
    return {name: value for name, value in zip(fields, row, strict=False) if value >= 0}


def entry(line: Line) -> api.Entry:
    return api.Entry(
        line.text("Exchange"),
        line.whole("PointCode"),
        words.STATES.get(line.whole("Availability"), "gone"),
        line.whole("SinceUs") * US,
        line.text("Area"),
    )


def event(line: Line, fields: tuple[str, ...]) -> api.Event | None:
    """None for a kind that is not known here."""
    if line.kind == "probe_done":
        return api.Reported(
            line.text("Exchange"),
            words.RESULTS.get(line.text("Result"), "error"),
            line.whole("RttUs") * US,
            load(line.text("Pressure"), fields),
        )
    if line.kind == "call":
        return api.CallArrived(
            line.needed("Id"),
            line.text("Band"),
            line.needed("ValidUntilUs") * US,
            line.needed("CalledNode"),
            line.text("Item"),
            line.whole("Units", 1),
            line.whole("Via", -1),
            line.flag("Transit"),
            line.flag("Reconnect"),
            line.flag("Repeat"),
            line.text("Team"),
        )
    if line.kind == "ack_first":
        return api.Stood(
            line.needed("Id"), line.text("Exchange"), line.whole("RttUs") * US, line.whole("Leg")
        )
    if line.kind == "verdict":
        code = line.whole("ClearCode")
        cause, wait = words.CAUSES.get(code % 16, ""), 0
        if cause == "turned_back" and code >= 16:
            cause = "beyond_full"
        elif cause == "processor_full":
            wait = code // 16 * 1_000 * US
        return api.TryEnded(
            line.needed("Id"),
            line.text("Exchange"),
            words.RESULTS.get(line.text("Result"), "error"),
            line.whole("RttUs") * US,
            line.whole("Leg"),
            line.flag("DoneFlag"),
            cause,
            wait,
            load(line.text("Pressure"), fields),
        )
    if line.kind == "client_left":
        return api.CallerLeft(line.needed("Id"))
    if line.kind == "timeout_fired":
        return api.TimerDue(line.text("Ctx"))
    return None
