"""Settings declared as fields of frozen dataclasses, and the check of a block against such a class.

Each field carries its kind, bounds and a sentence; the class is the table. `check` finds all faults at once.
"""

from __future__ import annotations

import dataclasses
import difflib
import re
from dataclasses import dataclass, field
from typing import Any, TypeVar

from peattrestle.settings.hcl import Attribute, Block, Fault

C = TypeVar("C")
UNITS = {
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
class Kind:
    """What a value must be: 'duration', 'whole', 'number', 'flag', 'text', 'name', 'address', 'choice',
    'wholes', 'texts'."""

    kind: str
    sentence: str
    least: float = 0
    most: float = 0
    choices: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Inner:
    """A block inside: its class, and whether there may be many, told apart by their label."""

    cls: type
    many: bool
    sentence: str
    least: int = 0


def _setting(kind: Kind, default: Any) -> Any:
    if default is REQUIRED:
        return field(metadata={"kind": kind})
    return field(default=default, metadata={"kind": kind})


def duration_of(text: str) -> int:
    """Nanoseconds of a text as "300ms". Raises ValueError."""
    match = _DURATION.fullmatch(text.strip())
    if match is None:
        raise ValueError(f"'{text}' is not a duration")
    return round(float(match.group(1)) * UNITS[match.group(2)])


def duration(default: Any, least: str, most: str, sentence: str) -> Any:
    value = duration_of(default) if isinstance(default, str) else default
    return _setting(Kind("duration", sentence, duration_of(least), duration_of(most)), value)


def whole(default: Any, least: int, most: int, sentence: str) -> Any:
    return _setting(Kind("whole", sentence, least, most), default)


def number(default: Any, least: float, most: float, sentence: str) -> Any:
    return _setting(Kind("number", sentence, least, most), default)


def flag(default: bool, sentence: str) -> Any:
    return _setting(Kind("flag", sentence), default)


def text(default: Any, sentence: str) -> Any:
    return _setting(Kind("text", sentence), default)


def name(default: Any, sentence: str) -> Any:
    return _setting(Kind("name", sentence), default)


def address(default: Any, sentence: str) -> Any:
    """Where the default is empty, so may the setting be."""
    return _setting(Kind("address", sentence, choices=("",) if default == "" else ()), default)


def choice(default: Any, choices: tuple[str, ...], sentence: str) -> Any:
    return _setting(Kind("choice", sentence, choices=choices), default)


def wholes(default: Any, least: int, most: int, sentence: str) -> Any:
    return _setting(Kind("wholes", sentence, least, most), default)


def texts(default: Any, choices: tuple[str, ...], sentence: str) -> Any:
    return _setting(Kind("texts", sentence, choices=choices), default)


def block(cls: type, sentence: str) -> Any:
    """One block of this class; where the file has none, all its defaults."""
    return field(default_factory=cls, metadata={"inner": Inner(cls, False, sentence)})


def blocks(cls: type, sentence: str, least: int = 0) -> Any:
    """Blocks of this class, each with a label, which goes into its field `label`."""
    return field(default=(), metadata={"inner": Inner(cls, True, sentence, least)})


def show_duration(value: float) -> str:
    for unit in ("min", "s", "ms", "us"):
        if value and value % UNITS[unit] == 0:
            return f"{int(value // UNITS[unit])}{unit}"
    return f"{int(value)}ns"


def is_address(value: Any) -> bool:
    return _address(value) is not None


def _address(value: Any) -> str | None:
    match = (
        re.fullmatch(r"127\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", value)
        if isinstance(value, str)
        else None
    )
    if match is None or any(int(part) > 255 for part in match.groups()[:3]) or int(match.group(4)) > 65535:
        return None
    return str(value)


def _convert(kind: Kind, value: Any) -> tuple[Any, str]:
    """The value, or what would be right."""
    plain_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    match kind.kind:
        case "duration":
            least, most = show_duration(kind.least), show_duration(kind.most)
            wanted = f'must be a duration in quotes, like "300ms", from {least} to {most}'
            try:
                nanoseconds = duration_of(value) if isinstance(value, str) else -1
            except ValueError:
                return None, wanted
            return (nanoseconds, "") if kind.least <= nanoseconds <= kind.most else (None, wanted)
        case "whole" | "number":
            wanted = (
                f"must be a {'whole ' * (kind.kind == 'whole')}number from {kind.least:g} to {kind.most:g}"
            )
            if not plain_number or kind.kind == "whole" and not isinstance(value, int):
                return None, wanted
            return (value, "") if kind.least <= value <= kind.most else (None, wanted)
        case "flag":
            return (value, "") if isinstance(value, bool) else (None, "must be true or false")
        case "text":
            good = isinstance(value, str) and len(value) <= 4096
            return (value, "") if good else (None, "must be a text in quotes")
        case "name":
            good = isinstance(value, str) and _NAME.fullmatch(value) is not None
            return (value, "") if good else (None, "must be a name of letters, digits, '.', '_' and '-'")
        case "address":
            good = value in kind.choices or is_address(value)
            return (value, "") if good else (None, 'must be a loopback address, like "127.0.0.1:2944"')
        case "choice":
            wanted = "must be one of " + ", ".join(f'"{one}"' for one in kind.choices)
            return (value, "") if value in kind.choices else (None, wanted)
        case "wholes":
            good = isinstance(value, list) and all(
                isinstance(one, int) and not isinstance(one, bool) and kind.least <= one <= kind.most
                for one in value
            )
            wanted = f"must be a list of whole numbers from {kind.least:g} to {kind.most:g}"
            return (tuple(value), "") if good else (None, wanted)
        case "texts":
            good = isinstance(value, list) and all(
                isinstance(one, str) and (not kind.choices or one in kind.choices) for one in value
            )
            wanted = "must be a list of texts" + (
                f" out of {', '.join(kind.choices)}" if kind.choices else ""
            )
            return (tuple(value), "") if good else (None, wanted)
    raise AssertionError(kind.kind)


def _nearest(word: str, known: list[str]) -> str:
    near = difflib.get_close_matches(word, known, 1, 0.5)
    return f"; the nearest known name is '{near[0]}'" if near else ""


def check(cls: type[C], read: Block, file: str) -> tuple[C | None, list[Fault]]:
    """The block as a `cls`, or None and every fault in it."""
    faults: list[Fault] = []
    fields = {one.name: one for one in dataclasses.fields(cls)}  # type: ignore[arg-type]
    settings = {key: one for key, one in fields.items() if "kind" in one.metadata}
    inner = {key: one for key, one in fields.items() if "inner" in one.metadata}
    values: dict[str, Any] = {}
    seen: dict[str, Attribute] = {}
    where = f"{read.name} " if read.name else ""
    for one in read.attributes:
        if one.name not in settings:
            known = [*settings, *inner]
            hint = " is a block, not a value" if one.name in inner else _nearest(one.name, known)
            faults.append(
                Fault(
                    file, one.line, f"'{one.name}' is not a setting of {where or 'the file'}".rstrip() + hint
                )
            )
        elif one.name in seen:
            faults.append(
                Fault(file, one.line, f"'{one.name}' is set twice, first in line {seen[one.name].line}")
            )
        else:
            value, wanted = _convert(settings[one.name].metadata["kind"], one.value)
            if wanted:
                faults.append(Fault(file, one.line, f"'{one.name}' {wanted}"))
            values[one.name] = value
            seen[one.name] = one
    for key, declared in settings.items():
        if key not in seen and declared.default is REQUIRED and key != "label":
            kind: Kind = declared.metadata["kind"]
            faults.append(Fault(file, read.line, f"{where}needs '{key}': {kind.sentence}"))
    if "label" in fields:
        plain = fields["label"].metadata["kind"].kind == "text"
        if len(read.labels) == 1 and (plain or _NAME.fullmatch(read.labels[0])):
            values["label"] = read.labels[0]
        else:
            faults.append(Fault(file, read.line, f"{where}needs one name in quotes behind it"))
    elif read.labels:
        faults.append(Fault(file, read.line, f"{where}takes no name behind it"))
    many: dict[str, list[Any]] = {}
    labels: set[tuple[str, str]] = set()
    for one_block in read.blocks:
        declared_block = inner.get(one_block.name)
        if declared_block is None:
            hint = (
                " is a value, not a block"
                if one_block.name in settings
                else _nearest(one_block.name, list(inner))
            )
            faults.append(
                Fault(
                    file,
                    one_block.line,
                    f"'{one_block.name}' is not a block of {where or 'the file'}".rstrip() + hint,
                )
            )
            continue
        meta: Inner = declared_block.metadata["inner"]
        value, inside = check(meta.cls, one_block, file)
        faults += inside
        if not meta.many:
            if one_block.name in values:
                faults.append(Fault(file, one_block.line, f"'{one_block.name}' stands twice"))
            values[one_block.name] = value
        else:
            label = (one_block.name, one_block.labels[0] if one_block.labels else "")
            if label in labels and "label" in {one.name for one in dataclasses.fields(meta.cls)}:
                faults.append(Fault(file, one_block.line, f'{one_block.name} "{label[1]}" stands twice'))
            labels.add(label)
            many.setdefault(one_block.name, []).append(value)
    for key, declared in inner.items():
        meta = declared.metadata["inner"]
        if meta.many:
            values[key] = tuple(many.get(key, ()))
            if len(values[key]) < meta.least:
                faults.append(Fault(file, read.line, f"{where}needs a block '{key}': {meta.sentence}"))
        elif key not in values:
            values[key], inside = check(meta.cls, Block(key, (), read.line), file)
            faults += inside
    if faults:
        return None, faults
    return cls(**values), []


def to_hcl(value: Any, name: str, depth: int = 0) -> str:
    """A settings value as an HCL block that reads back to the same value."""
    pad = "  " * depth
    label = f' "{value.label}"' if hasattr(value, "label") else ""
    lines = [f"{pad}{name}{label} {{"]
    for one in dataclasses.fields(value):
        here = getattr(value, one.name)
        if "inner" in one.metadata:
            lines += [
                to_hcl(inner, one.name, depth + 1)
                for inner in (here if one.metadata["inner"].many else (here,))
            ]
        elif one.name != "label":
            kind: Kind = one.metadata["kind"]
            if kind.kind == "duration":
                shown = f'"{show_duration(here)}"'
            elif kind.kind in ("wholes", "texts"):
                shown = "[" + ", ".join(str(x) if isinstance(x, int) else f'"{x}"' for x in here) + "]"
            elif isinstance(here, bool):
                shown = "true" if here else "false"
            else:
                shown = f'"{here}"' if isinstance(here, str) else repr(here)
            lines.append(f"{pad}  {one.name} = {shown}")
    return "\n".join([*lines, pad + "}"])
