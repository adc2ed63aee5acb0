"""Declares settings as fields of frozen dataclasses, and checks a block of a file against such a class.

Each field has a type, bounds and a description in its metadata. `check` reports all faults at once.
"""

from __future__ import annotations

import dataclasses
import difflib
import re
from dataclasses import dataclass, field
from typing import Any, TypeVar

from peattrestle.settings.hcl import Attribute, Block, Fault

C = TypeVar("C")
UNITS = {  # nanoseconds
    "ns": 1,
    "us": 1_000,
    "ms": 1_000_000,
    "s": 1_000_000_000,
    "min": 60_000_000_000,
    "h": 3_600_000_000_000,
}
_DURATION = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)\s*(ns|us|ms|s|min|h)")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")
REQUIRED = dataclasses.MISSING


@dataclass(slots=True, frozen=True)
class SettingType:
    """The type, bounds and description of a setting.

    `kind`: 'duration', 'whole', 'number', 'flag', 'text', 'name', 'address', 'choice', 'wholes' or 'texts'.
    `minimum` and `maximum` are nanoseconds for a duration.
    """

    kind: str
    description: str
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class InnerBlock:
    """An inner block: its class, and whether it may be repeated, then with a label.

    `min_count`: how many there must be at least.
    """

    cls: type
    is_repeated: bool
    description: str
    min_count: int = 0


def _setting(setting_type: SettingType, default: Any) -> Any:
    if default is REQUIRED:
        return field(metadata={"kind": setting_type})
    return field(default=default, metadata={"kind": setting_type})


def parse_duration(text: str) -> int:
    """Converts a text such as "300ms" to nanoseconds. Raises ValueError."""
    match = _DURATION.fullmatch(text.strip())
    if match is None:
        raise ValueError(f"'{text}' is not a duration")
    return round(float(match.group(1)) * UNITS[match.group(2)])


def duration(default: Any, minimum: str, maximum: str, description: str) -> Any:
    """Declares a duration; the value is nanoseconds. The default and bounds are texts such as "300ms"."""
    value = parse_duration(default) if isinstance(default, str) else default
    return _setting(
        SettingType("duration", description, parse_duration(minimum), parse_duration(maximum)), value
    )


def integer(default: Any, minimum: int, maximum: int, description: str) -> Any:
    """Declares an integer within bounds."""
    return _setting(SettingType("whole", description, minimum, maximum), default)


def number(default: Any, minimum: float, maximum: float, description: str) -> Any:
    """Declares a number within bounds."""
    return _setting(SettingType("number", description, minimum, maximum), default)


def flag(default: bool, description: str) -> Any:
    """Declares a boolean."""
    return _setting(SettingType("flag", description), default)


def text(default: Any, description: str) -> Any:
    """Declares a string of at most 4096 characters."""
    return _setting(SettingType("text", description), default)


def name(default: Any, description: str) -> Any:
    """Declares a name of letters, digits, '.', '_' and '-', at most 63 characters long."""
    return _setting(SettingType("name", description), default)


def address(default: Any, description: str) -> Any:
    """Declares a loopback address as host:port; it may be empty if the default is."""
    return _setting(SettingType("address", description, choices=("",) if default == "" else ()), default)


def choice(default: Any, choices: tuple[str, ...], description: str) -> Any:
    """Declares a string that is one of `choices`."""
    return _setting(SettingType("choice", description, choices=choices), default)


def integers(default: Any, minimum: int, maximum: int, description: str) -> Any:
    """Declares a list of integers within bounds."""
    return _setting(SettingType("wholes", description, minimum, maximum), default)


def strings(default: Any, choices: tuple[str, ...], description: str) -> Any:
    """Declares a list of strings, each one of `choices` unless that is empty."""
    return _setting(SettingType("texts", description, choices=choices), default)


def block(cls: type, description: str) -> Any:
    """Declares one block of this class; a file without it gets the class's defaults."""
    return field(default_factory=cls, metadata={"inner": InnerBlock(cls, False, description)})


def blocks(cls: type, description: str, min_count: int = 0) -> Any:
    """Declares at least `min_count` blocks of this class.

    Each has a label, which becomes the field `label`.
    """
    return field(default=(), metadata={"inner": InnerBlock(cls, True, description, min_count)})


def format_duration(value: float) -> str:
    """Formats nanoseconds in the largest unit without a remainder, as a text for `parse_duration`."""
    for unit in ("min", "s", "ms", "us"):
        if value and value % UNITS[unit] == 0:
            return f"{int(value // UNITS[unit])}{unit}"
    return f"{int(value)}ns"


def is_address(value: Any) -> bool:
    """Whether `value` is a loopback address as host:port."""
    return _parse_address(value) is not None


def _parse_address(value: Any) -> str | None:
    match = (
        re.fullmatch(r"127\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", value)
        if isinstance(value, str)
        else None
    )
    if match is None or any(int(part) > 255 for part in match.groups()[:3]) or int(match.group(4)) > 65535:
        return None
    return str(value)


def _convert(setting_type: SettingType, value: Any) -> tuple[Any, str]:
    """Returns the converted value and an empty text, or None and what is allowed."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    match setting_type.kind:
        case "duration":
            minimum, maximum = format_duration(setting_type.minimum), format_duration(setting_type.maximum)
            expected = f'must be a duration in quotes, like "300ms", from {minimum} to {maximum}'
            try:
                nanoseconds = parse_duration(value) if isinstance(value, str) else -1
            except ValueError:
                return None, expected
            return (
                (nanoseconds, "")
                if setting_type.minimum <= nanoseconds <= setting_type.maximum
                else (None, expected)
            )
        case "whole" | "number":
            expected = (
                f"must be a {'whole ' * (setting_type.kind == 'whole')}number "
                f"from {setting_type.minimum:g} to {setting_type.maximum:g}"
            )
            if not is_number or setting_type.kind == "whole" and not isinstance(value, int):
                return None, expected
            return (value, "") if setting_type.minimum <= value <= setting_type.maximum else (None, expected)
        case "flag":
            return (value, "") if isinstance(value, bool) else (None, "must be true or false")
        case "text":
            is_valid = isinstance(value, str) and len(value) <= 4096
            return (value, "") if is_valid else (None, "must be a text in quotes, of at most 4096 characters")
        case "name":
            is_valid = isinstance(value, str) and _NAME.fullmatch(value) is not None
            return (value, "") if is_valid else (None, "must be a name of letters, digits, '.', '_' and '-'")
        case "address":
            is_valid = value in setting_type.choices or is_address(value)
            return (value, "") if is_valid else (None, 'must be a loopback address, like "127.0.0.1:2944"')
        case "choice":
            expected = "must be one of " + ", ".join(f'"{option}"' for option in setting_type.choices)
            return (value, "") if value in setting_type.choices else (None, expected)
        case "wholes":
            is_valid = isinstance(value, list) and all(
                isinstance(item, int)
                and not isinstance(item, bool)
                and setting_type.minimum <= item <= setting_type.maximum
                for item in value
            )
            expected = (
                f"must be a list of whole numbers from {setting_type.minimum:g} to {setting_type.maximum:g}"
            )
            return (tuple(value), "") if is_valid else (None, expected)
        case "texts":
            is_valid = isinstance(value, list) and all(
                isinstance(item, str) and (not setting_type.choices or item in setting_type.choices)
                for item in value
            )
            expected = "must be a list of texts" + (
                f" out of {', '.join(setting_type.choices)}" if setting_type.choices else ""
            )
            return (tuple(value), "") if is_valid else (None, expected)
    raise AssertionError(f"unknown type of setting: {setting_type.kind!r}")


def _suggestion(word: str, known: list[str]) -> str:
    matches = difflib.get_close_matches(word, known, 1, 0.5)
    return f"; the nearest known name is '{matches[0]}'" if matches else ""


def check(cls: type[C], parsed: Block, file: str) -> tuple[C | None, list[Fault]]:
    """Returns the parsed block as an instance of `cls`, or None and all faults. The faults name `file`."""
    faults: list[Fault] = []
    fields = {setting.name: setting for setting in dataclasses.fields(cls)}  # type: ignore[arg-type]
    settings = {key: setting for key, setting in fields.items() if "kind" in setting.metadata}
    inner = {key: setting for key, setting in fields.items() if "inner" in setting.metadata}
    values: dict[str, Any] = {}
    seen: dict[str, Attribute] = {}
    where = f"{parsed.name} " if parsed.name else ""
    for attribute in parsed.attributes:
        if attribute.name not in settings:
            known = [*settings, *inner]
            hint = (
                " is a block, not a value" if attribute.name in inner else _suggestion(attribute.name, known)
            )
            faults.append(
                Fault(
                    file,
                    attribute.line,
                    f"'{attribute.name}' is not a setting of {where or 'the file'}".rstrip() + hint,
                )
            )
        elif attribute.name in seen:
            faults.append(
                Fault(
                    file,
                    attribute.line,
                    f"'{attribute.name}' is set twice, first in line {seen[attribute.name].line}",
                )
            )
        else:
            value, expected = _convert(settings[attribute.name].metadata["kind"], attribute.value)
            if expected:
                faults.append(Fault(file, attribute.line, f"'{attribute.name}' {expected}"))
            values[attribute.name] = value
            seen[attribute.name] = attribute
    for key, declared in settings.items():
        if key not in seen and declared.default is REQUIRED and key != "label":
            setting_type: SettingType = declared.metadata["kind"]
            faults.append(Fault(file, parsed.line, f"{where}needs '{key}': {setting_type.description}"))
    if "label" in fields:
        is_text = fields["label"].metadata["kind"].kind == "text"
        if len(parsed.labels) == 1 and (is_text or _NAME.fullmatch(parsed.labels[0])):
            values["label"] = parsed.labels[0]
        else:
            faults.append(Fault(file, parsed.line, f"{where}needs one name in quotes after it"))
    elif parsed.labels:
        faults.append(Fault(file, parsed.line, f"{where}takes no name after it"))
    repeated: dict[str, list[Any]] = {}
    labels: set[tuple[str, str]] = set()
    for child in parsed.blocks:
        declared_block = inner.get(child.name)
        if declared_block is None:
            hint = (
                " is a value, not a block" if child.name in settings else _suggestion(child.name, list(inner))
            )
            faults.append(
                Fault(
                    file,
                    child.line,
                    f"'{child.name}' is not a block of {where or 'the file'}".rstrip() + hint,
                )
            )
            continue
        inner_block: InnerBlock = declared_block.metadata["inner"]
        value, inner_faults = check(inner_block.cls, child, file)
        faults += inner_faults
        if not inner_block.is_repeated:
            if child.name in values:
                faults.append(Fault(file, child.line, f"'{child.name}' appears twice"))
            values[child.name] = value
        else:
            label = (child.name, child.labels[0] if child.labels else "")
            if label in labels and "label" in {
                setting.name for setting in dataclasses.fields(inner_block.cls)
            }:
                faults.append(Fault(file, child.line, f'{child.name} "{label[1]}" appears twice'))
            labels.add(label)
            repeated.setdefault(child.name, []).append(value)
    for key, declared in inner.items():
        inner_block = declared.metadata["inner"]
        if inner_block.is_repeated:
            values[key] = tuple(repeated.get(key, ()))
            if len(values[key]) < inner_block.min_count:
                faults.append(
                    Fault(file, parsed.line, f"{where}needs a block '{key}': {inner_block.description}")
                )
        elif key not in values:
            values[key], inner_faults = check(inner_block.cls, Block(key, (), parsed.line), file)
            faults += inner_faults
    if faults:
        return None, faults
    return cls(**values), []


def to_hcl(value: Any, name: str, depth: int = 0) -> str:
    """Formats a settings object as an HCL block that reads back to an equal object."""
    indent = "  " * depth
    label = f' "{value.label}"' if hasattr(value, "label") else ""
    lines = [f"{indent}{name}{label} {{"]
    for setting in dataclasses.fields(value):
        current = getattr(value, setting.name)
        if "inner" in setting.metadata:
            lines += [
                to_hcl(inner, setting.name, depth + 1)
                for inner in (current if setting.metadata["inner"].is_repeated else (current,))
            ]
        elif setting.name != "label":
            setting_type: SettingType = setting.metadata["kind"]
            if setting_type.kind == "duration":
                shown = f'"{format_duration(current)}"'
            elif setting_type.kind in ("wholes", "texts"):
                shown = (
                    "["
                    + ", ".join(str(item) if isinstance(item, int) else f'"{item}"' for item in current)
                    + "]"
                )
            elif isinstance(current, bool):
                shown = "true" if current else "false"
            else:
                shown = f'"{current}"' if isinstance(current, str) else repr(current)
            lines.append(f"{indent}  {setting.name} = {shown}")
    return "\n".join([*lines, indent + "}"])
