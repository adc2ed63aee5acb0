"""An HCL file as blocks and attributes that know their lines. The grammar is python-hcl2's."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(slots=True, frozen=True)
class Fault:
    """One plain sentence, with the place it speaks of; line 0 is the file as a whole."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}" if self.line else f"{self.file}: {self.text}"


@dataclass(slots=True)
class Attribute:
    name: str
    value: Any
    line: int


@dataclass(slots=True)
class Block:
    name: str
    labels: tuple[str, ...]
    line: int
    attributes: list[Attribute] = field(default_factory=list)
    blocks: list[Block] = field(default_factory=list)


MOST_BYTES = 1 << 20


def read_file(path: str) -> tuple[Block, list[Fault]]:
    """As `read`, of a file; one that can't be read is a fault like any other."""
    try:
        return read(Path(path).read_text(encoding="utf-8"), path)
    except OSError as fault:
        return Block("", (), 1), [Fault(path, 0, f"can't be read: {fault.strerror}")]
    except UnicodeDecodeError:
        return Block("", (), 1), [Fault(path, 0, "can't be read: is not UTF-8")]


def read(text: str, file: str) -> tuple[Block, list[Fault]]:
    """The file's top as a block without a name. Faults of form are returned, never raised."""
    top = Block("", (), 1)
    if len(text) > MOST_BYTES:
        return top, [Fault(file, 0, f"is longer than {MOST_BYTES} bytes")]
    import hcl2  # its grammar takes some seconds to build, so only who reads a file pays for it
    from hcl2.utils import SerializationOptions
    from lark.exceptions import LarkError

    options = SerializationOptions(with_comments=False, strip_string_quotes=True, explicit_blocks=False)
    try:
        tree = hcl2.parses(text)
    except LarkError as fault:
        line, column = getattr(fault, "line", 0), getattr(fault, "column", 0)
        token = getattr(fault, "token", None)
        what = f" at '{str(token).strip()[:20]}'" if token is not None else ""
        if not isinstance(line, int) or line < 1:
            line, column = text.count("\n") + 1, 1
        return top, [Fault(file, line, f"column {column}: not HCL{what}")]

    def fill(block: Block, body: Any) -> None:
        for child in body.children:
            kind = type(child).__name__
            if kind == "AttributeRule":
                value = child.expression.serialize(options)
                block.attributes.append(
                    Attribute(child.identifier.serialize(options), value, child._meta.line)
                )
            elif kind == "BlockRule":
                name, *labels = (str(label.serialize(options)) for label in child.labels)
                inner = Block(name, tuple(labels), child._meta.line)
                block.blocks.append(inner)
                fill(inner, child.body)

    fill(top, tree.body)
    return top, []
