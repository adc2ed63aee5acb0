"""Parses an HCL file into blocks and attributes with their line numbers. The grammar is python-hcl2's."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault in a settings file: one sentence and its place. Line 0 means the file as a whole."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}" if self.line else f"{self.file}: {self.text}"


@dataclass(slots=True)
class Attribute:
    """A setting as it stands in the file, not yet checked."""

    name: str
    value: Any
    line: int


@dataclass(slots=True)
class Block:
    """A block with its labels, attributes and inner blocks."""

    name: str
    labels: tuple[str, ...]
    line: int
    attributes: list[Attribute] = field(default_factory=list)
    blocks: list[Block] = field(default_factory=list)


MAX_FILE_BYTES = 1 << 20


def read_file(path: str) -> tuple[Block, list[Fault]]:
    """As `read`, for the file at `path`. A file that can't be read is returned as a fault."""
    try:
        return read(Path(path).read_text(encoding="utf-8"), path)
    except OSError as error:
        return Block("", (), 1), [Fault(path, 0, f"can't be read: {error.strerror}")]
    except UnicodeDecodeError:
        return Block("", (), 1), [Fault(path, 0, "can't be read: is not UTF-8")]


def read(text: str, file: str) -> tuple[Block, list[Fault]]:
    """Returns the top level of the file as a block without a name. Syntax errors are returned as faults."""
    top = Block("", (), 1)
    if len(text) > MAX_FILE_BYTES:
        return top, [Fault(file, 0, f"is longer than {MAX_FILE_BYTES} bytes")]
    import hcl2  # takes some seconds to build its grammar, so it is imported only when a file is read
    from hcl2.utils import SerializationOptions
    from lark.exceptions import LarkError

    options = SerializationOptions(with_comments=False, strip_string_quotes=True, explicit_blocks=False)
    try:
        tree = hcl2.parses(text)
    except LarkError as error:
        line, column = getattr(error, "line", 0), getattr(error, "column", 0)
        token = getattr(error, "token", None)
        where = f" at '{str(token).strip()[:20]}'" if token is not None else ""
        if not isinstance(line, int) or line < 1:
            line, column = text.count("\n") + 1, 1
        return top, [Fault(file, line, f"column {column}: not HCL{where}")]

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
