"""The text encoding of H.248.1 Annex B: text to `Message` and back.

Nearly all of the published grammar has one shape, `name [= value] [{ item, item, ... }]`. A scanner of one
regular expression and a loop with a stack turn a message into such items; tables then say which names may
stand where, with long and short tokens in any case. Whatever it is given, `parse` returns a message or
raises `Malformed`, which names line, column, what was expected, and the published error code.

Out of the profile and refused by name: SDP in Local and Remote, Mtp identifiers, value alternatives in
braces. See docs/protocol.md.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

MOST_BYTES = 16384
MOST_TOKENS = 4000
MOST_DEPTH = 10
VERSION = 1

_SPACE = r"(?:[ \t\r\n]++|;[^\r\n]*+[\r\n])*+"
_HEAD = re.compile(
    _SPACE
    + r"(?:MEGACO|!)/(\d{1,2})(?=[ \t\r\n;])"
    + _SPACE
    + r"(\[[0-9A-Fa-f.:]{1,40}\](?::\d{1,5})?|<[A-Za-z0-9.-]{1,64}>(?::\d{1,5})?"
    r"|[A-Za-z*$][A-Za-z0-9_/.*$@-]{0,63})(?=[ \t\r\n;])",
    re.IGNORECASE,
)
# A word, a bracketed value, a quoted string, a mark; last, anything else, so that nothing is passed over.
_SAFE_CHARS = r"A-Za-z0-9+\-&!_/'?@^`~*$\\()%|.:"
_TOKEN = re.compile(
    _SPACE + rf"""([{_SAFE_CHARS}]++|[{{}},=<>#]|"[^"\x00-\x08\x0b\x0c\x0e-\x1f]*+\""""
    r"""|\[[^\[\]{}"\x00-\x20]*+\]|[^ \t\r\n])"""
)
_SAFE = re.compile(rf"[{_SAFE_CHARS}]+")
_WORD_START = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+-&!_/'?@^`~*$\\()%|.:"
)
_UNQUOTABLE = re.compile(r'["\x00-\x08\x0b\x0c\x0e-\x1f]')

# Long token: short token, of H.248.1 Annex B.2.
TOKENS = {
    "Add": "A",
    "Audit": "AT",
    "AuditCapability": "AC",
    "AuditValue": "AV",
    "Authentication": "AU",
    "Buffer": "BF",
    "Context": "C",
    "ContextAudit": "CA",
    "Delay": "DL",
    "DigitMap": "DM",
    "Emergency": "EG",
    "Error": "ER",
    "EventBuffer": "EB",
    "Events": "E",
    "ImmAckRequired": "IA",
    "Local": "L",
    "LocalControl": "O",
    "Media": "M",
    "Method": "MT",
    "MgcIdToTry": "MG",
    "Mode": "MO",
    "Modify": "MF",
    "Move": "MV",
    "Notify": "N",
    "ObservedEvents": "OE",
    "Packages": "PG",
    "Pending": "PN",
    "Priority": "PR",
    "Profile": "PF",
    "Reason": "RE",
    "Remote": "R",
    "Reply": "P",
    "ReservedGroup": "RG",
    "ReservedValue": "RV",
    "ServiceChange": "SC",
    "ServiceChangeAddress": "AD",
    "ServiceStates": "SI",
    "Services": "SV",
    "Signals": "SG",
    "Statistics": "SA",
    "Stream": "ST",
    "Subtract": "S",
    "TerminationState": "TS",
    "Topology": "TP",
    "Transaction": "T",
    "TransactionResponseAck": "K",
    "Version": "V",
}
_CANON = {word.lower(): long for long, short in TOKENS.items() for word in (long, short)}
COMMANDS = frozenset(
    {"Add", "Modify", "Move", "Subtract", "Notify", "ServiceChange", "AuditValue", "AuditCapability"}
)
# Descriptor: what may stand inside. 'parameters' are package items, names with or without a value.
DESCRIPTORS: dict[str, frozenset[str] | str] = {
    "Media": frozenset({"LocalControl", "TerminationState", "Stream"}),
    "Stream": frozenset({"LocalControl"}),
    "LocalControl": "parameters",
    "TerminationState": "parameters",
    "Events": "parameters",
    "Signals": "parameters",
    "ObservedEvents": "parameters",
    "Statistics": "parameters",
    "Packages": "parameters",
    "Services": "parameters",
    "Audit": "names",
    "Error": "text",
    "EventBuffer": "parameters",
}
# Where a descriptor may stand: in a request's command, in a reply's, or both.
IN_REQUEST = frozenset(
    {"Media", "Events", "Signals", "Audit", "ObservedEvents", "Services", "EventBuffer", "Statistics"}
)
IN_REPLY = frozenset(
    {
        "Media",
        "Events",
        "Signals",
        "Statistics",
        "Packages",
        "ObservedEvents",
        "Services",
        "Error",
        "EventBuffer",
    }
)
NEEDS_VALUE = frozenset({"Error", "ObservedEvents"})


class Malformed(Exception):
    """Not a message of the profile. `code` is the published error code; positions count from 1."""

    def __init__(
        self,
        code: int,
        expected: str,
        found: str,
        line: int = 1,
        column: int = 1,
        transaction: int | None = None,
    ) -> None:
        super().__init__(f"line {line}, column {column}: expected {expected}, found {found}")
        self.code, self.expected, self.found, self.line, self.column = code, expected, found, line, column
        self.transaction = transaction


class Item:
    """`name [= value] [{ items }]`; `items` is None where no braces stood. `at` is its place in the text."""

    __slots__ = ("name", "value", "items", "at")

    def __init__(
        self, name: str, value: str | None = None, items: list[Item] | None = None, at: int = 0
    ) -> None:
        self.name, self.value, self.items, self.at = name, value, items, at

    def __repr__(self) -> str:
        return f"Item({self.name!r}, {self.value!r}, {self.items!r})"

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Item)
            and self.name == other.name
            and self.value == other.value
            and self.items == other.items
        )

    __hash__ = None  # type: ignore[assignment]

    def find(self, name: str) -> Item | None:
        for one in self.items or ():
            if one.name == name:
                return one
        return None


@dataclass(slots=True)
class Command:
    """`wildcard` and `optional` are the prefixes W- and O- of the text."""

    name: str
    termination: str
    items: list[Item] = field(default_factory=list)
    optional: bool = False
    wildcard: bool = False

    def find(self, *path: str) -> Item | None:
        items: Iterable[Item] = self.items
        found: Item | None = None
        for name in path:
            found = next((one for one in items if one.name == name), None)
            if found is None:
                return None
            items = found.items or ()
        return found


@dataclass(slots=True)
class Action:
    context: str
    commands: list[Command] = field(default_factory=list)
    error: tuple[int, str] | None = None


@dataclass(slots=True)
class Request:
    id: int
    actions: list[Action]


@dataclass(slots=True)
class Reply:
    id: int
    actions: list[Action] = field(default_factory=list)
    error: tuple[int, str] | None = None
    ack_required: bool = False


@dataclass(slots=True)
class Pending:
    id: int


@dataclass(slots=True)
class Ack:
    """Ranges of transaction ids, both ends included."""

    ranges: list[tuple[int, int]]


Part = Request | Reply | Pending | Ack


@dataclass(slots=True)
class Message:
    mid: str
    parts: list[Part] = field(default_factory=list)
    error: tuple[int, str] | None = None


# Reading.


class _Reader:
    """One message being read; holds what is needed to say where a fault is."""

    __slots__ = ("text", "start", "tokens")

    def __init__(self, text: str, start: int) -> None:
        self.text, self.start = text, start
        self.tokens = _TOKEN.findall(text, start)

    def fault(self, code: int, expected: str, at: int) -> Malformed:
        place = len(self.text)
        for index, match in enumerate(_TOKEN.finditer(self.text, self.start)):
            if index == at:
                place = match.start(1)
                break
        found = f"'{self.tokens[at][:32]}'" if at < len(self.tokens) and self.tokens[at] else "the end"
        return fault_at(self.text, place, code, expected, found)


def fault_at(text: str, place: int, code: int, expected: str, found: str) -> Malformed:
    line = text.count("\n", 0, place) + 1
    column = place - (text.rfind("\n", 0, place) + 1) + 1
    id_match = re.search(r"(?<![\w/])(?:transaction|t)\s*=\s*(\d{1,10})(?!\d)", text[:place], re.IGNORECASE)
    number = int(id_match.group(1)) if id_match else 0
    return Malformed(code, expected, found, line, column, number if 0 < number < 1 << 32 else None)


def _items(reader: _Reader) -> list[Item]:
    """All tokens as items. Transactions follow one another without commas, all else is set apart by them."""
    tokens = reader.tokens
    if len(tokens) > MOST_TOKENS:
        raise reader.fault(400, f"at most {MOST_TOKENS} tokens", MOST_TOKENS)
    count = len(tokens)
    tokens += ("", "", "")
    root: list[Item] = []
    items, stack = root, []
    at = 0
    while at < count:
        token = tokens[at]
        if token[0] not in _WORD_START and (token[0] != '"' or len(token) < 2):
            raise reader.fault(400, "a name", at)
        item = Item(token, None, None, at)
        items.append(item)
        at += 1
        token = tokens[at]
        if token == "=":
            value = tokens[at + 1]
            if not value or value[0] not in _WORD_START and (value[0] not in '"[' or len(value) < 2):
                raise reader.fault(400, "a value", at + 1)
            item.value = value[1:-1] if value[0] == '"' else value
            at += 2
            token = tokens[at]
        if token == "{":
            if tokens[at + 1] != "}":
                stack.append(items)
                if len(stack) > MOST_DEPTH:
                    raise reader.fault(400, f"at most {MOST_DEPTH} levels of braces", at)
                items = item.items = []
                at += 1
                continue
            item.items = []
            at += 2
            token = tokens[at]
        while token == "}" and stack:
            items = stack.pop()
            at += 1
            token = tokens[at]
        if stack:
            if token != ",":
                raise reader.fault(400, "',' or '}'", at)
            at += 1
            if at >= count:
                raise reader.fault(400, "a name", at)
        elif token in (",", "}", "=", "<", ">", "#"):
            raise reader.fault(400, "a transaction", at)
    if stack:
        raise reader.fault(400, "'}'", count)
    return root


def _number(reader: _Reader, item: Item, most: int, code: int) -> int:
    value = item.value
    if value is None or not value.isascii() or not value.isdigit() or len(value) > 10 or int(value) > most:
        raise reader.fault(code, f"a number up to {most}", item.at if value is None else item.at + 2)
    return int(value)


def _error(reader: _Reader, item: Item) -> tuple[int, str]:
    code = _number(reader, item, 9999, 442)
    inside = item.items or []
    if len(inside) > 1 or inside and (inside[0].name[0] != '"' or inside[0].value is not None):
        raise reader.fault(442, "one quoted text", inside[0].at)
    return code, inside[0].name[1:-1] if inside else ""


def _descriptor(reader: _Reader, item: Item, allowed: frozenset[str]) -> None:
    name = _CANON.get(item.name.lower(), "")
    if name not in allowed:
        raise reader.fault(444, "a descriptor that may stand here", item.at)
    item.name = name
    if name in NEEDS_VALUE and item.value is None:
        raise reader.fault(442, f"'=' and a value for {name}", item.at + 1)
    inside = DESCRIPTORS[name]
    if inside == "text":
        _error(reader, item)
    elif inside == "parameters":
        for one in item.items or ():
            if one.name[0] == '"':
                raise reader.fault(442, "a parameter's name", one.at)
            known = _CANON.get(one.name.lower()) if "/" not in one.name else None
            one.name = known or one.name.lower()
            for nested in one.items or ():
                if nested.items is not None or nested.name[0] == '"':
                    raise reader.fault(442, "a parameter", nested.at)
                nested.name = nested.name.lower()
    elif inside == "names":
        for one in item.items or ():
            known = _CANON.get(one.name.lower())
            if known is None or one.value is not None or one.items is not None:
                raise reader.fault(442, "a descriptor's name", one.at)
            one.name = known
    else:
        assert isinstance(inside, frozenset)
        for one in item.items or ():
            _descriptor(reader, one, inside)


def _command(reader: _Reader, item: Item, reply: bool) -> Command:
    name, optional, wildcard = item.name, False, False
    for _ in range(2):
        if name[:2] in ("O-", "o-"):
            name, optional = name[2:], True
        elif name[:2] in ("W-", "w-"):
            name, wildcard = name[2:], True
    long = _CANON.get(name.lower(), "")
    if long not in COMMANDS:
        raise reader.fault(443, "a command", item.at)
    if not item.value:
        raise reader.fault(442, "'=' and a termination", item.at + 1)
    allowed, seen = IN_REPLY if reply else IN_REQUEST, set()
    for one in item.items or ():
        _descriptor(reader, one, allowed)
        if one.name in seen:
            raise reader.fault(448, "each descriptor once", one.at)
        seen.add(one.name)
    return Command(long, item.value, item.items or [], optional, wildcard)


def _action(reader: _Reader, item: Item, reply: bool) -> Action:
    if _CANON.get(item.name.lower()) != "Context" or not item.value:
        raise reader.fault(422, "a context", item.at)
    value = item.value
    if value not in ("$", "-", "*") and not (
        value.isascii() and value.isdigit() and len(value) <= 10 and int(value) < 1 << 32
    ):
        raise reader.fault(422, "a context's number, '$', '-' or '*'", item.at + 2)
    if not item.items and not reply:
        raise reader.fault(422, "a command", item.at + 3)
    action = Action(value)
    for one in item.items or ():
        if action.error is not None:
            raise reader.fault(422, "nothing after the error", one.at)
        if reply and _CANON.get(one.name.lower()) == "Error":
            action.error = _error(reader, one)
        else:
            action.commands.append(_command(reader, one, reply))
    return action


def _part(reader: _Reader, item: Item) -> Part:
    name = _CANON.get(item.name.lower(), "")
    inside = item.items
    if name == "TransactionResponseAck":
        ranges = []
        for one in inside or ():
            low, dash, high = one.name.partition("-")
            if (
                not low.isascii()
                or not low.isdigit()
                or dash
                and not (high.isascii() and high.isdigit())
                or len(one.name) > 21
                or one.value is not None
                or one.items is not None
            ):
                raise reader.fault(403, "a transaction id or a range of them", one.at)
            first, last = int(low), int(high) if dash else int(low)
            if not 0 < first <= last < 1 << 32:
                raise reader.fault(403, "a rising range of transaction ids", one.at)
            ranges.append((first, last))
        if not ranges:
            raise reader.fault(403, "a transaction id", item.at)
        return Ack(ranges)
    if name not in ("Transaction", "Reply", "Pending"):
        raise reader.fault(403, "a transaction", item.at)
    if name == "Transaction" and item.value is None:
        raise reader.fault(403, "'=' and a transaction id", item.at + 1)
    number = _number(reader, item, (1 << 32) - 1, 403)
    if number == 0:
        raise reader.fault(403, "a transaction id above 0", item.at + 2)
    if name == "Pending":
        if inside:
            raise reader.fault(403, "'}'", inside[0].at)
        return Pending(number)
    if not inside:
        raise reader.fault(403, "an action", item.at + 3)
    if name == "Transaction":
        return Request(number, [_action(reader, one, False) for one in inside])
    reply = Reply(number)
    for one in inside:
        known = _CANON.get(one.name.lower())
        if known == "ImmAckRequired" and not reply.actions and one.value is None:
            reply.ack_required = True
        elif reply.error is not None:
            raise reader.fault(403, "nothing after the error", one.at)
        elif known == "Error" and not reply.actions:
            reply.error = _error(reader, one)
        else:
            reply.actions.append(_action(reader, one, True))
    return reply


def parse(data: bytes, most: int = MOST_BYTES) -> Message:
    """One message from its bytes (ASCII; bytes above 127 may stand in quoted strings only, as UTF-8).

    Raises Malformed, and nothing else.
    """
    if len(data) > most:
        raise Malformed(400, f"at most {most} bytes", f"{len(data)}")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as fault:
        before = data[: fault.start].decode("utf-8")
        raise fault_at(before, len(before), 400, "UTF-8", f"byte {data[fault.start]}") from None
    head = _HEAD.match(text)
    if head is None:
        raise fault_at(text, 0, 400, "'MEGACO/1' and a message identifier", f"'{text[:16]}'")
    if int(head.group(1)) != VERSION:
        raise fault_at(text, head.start(1), 406, f"version {VERSION}", f"'{head.group(1)}'")
    reader = _Reader(text, head.end())
    items = _items(reader)
    if not items:
        raise reader.fault(400, "a transaction", 0)
    if _CANON.get(items[0].name.lower()) == "Error":
        if len(items) > 1:
            raise reader.fault(400, "nothing after the error", items[1].at)
        return Message(head.group(2), [], _error(reader, items[0]))
    return Message(head.group(2), [_part(reader, item) for item in items])


# Writing.


def quoted(value: str) -> str:
    """The value as it stands in a text: bare where it is safe, else in quotes. Raises ValueError."""
    if _SAFE.fullmatch(value):
        return value
    if _UNQUOTABLE.search(value):
        raise ValueError(f"{value!r} can't stand in an H.248 text: it has a quote or a control character")
    return f'"{value}"'


def error_text(error: tuple[int, str]) -> str:
    text = _UNQUOTABLE.sub("'", error[1])
    return f'Error={error[0]}{{"{text}"}}'


def _write_item(item: Item, short: bool) -> str:
    name = TOKENS.get(item.name, item.name) if short else item.name
    out = name if item.value is None else f"{name}={quoted(item.value)}"
    if item.items is not None:
        out += "{" + ",".join(_write_item(one, short) for one in item.items) + "}"
    return out


def _write_action(action: Action, short: bool) -> str:
    def word(name: str) -> str:
        return TOKENS[name] if short else name

    inside = []
    for command in action.commands:
        out = ("O-" if command.optional else "") + ("W-" if command.wildcard else "") + word(command.name)
        out += f"={quoted(command.termination)}"
        if command.items:
            out += "{" + ",".join(_write_item(one, short) for one in command.items) + "}"
        inside.append(out)
    if action.error is not None:
        inside.append(error_text(action.error))
    braces = "{" + ",".join(inside) + "}" if inside else ""
    return f"{word('Context')}={action.context}{braces}"


def write_part(part: Part, short: bool = False) -> str:
    def word(name: str) -> str:
        return TOKENS[name] if short else name

    match part:
        case Request():
            inside = ",".join(_write_action(one, short) for one in part.actions)
            return f"{word('Transaction')}={part.id}{{{inside}}}"
        case Reply():
            rows = [word("ImmAckRequired")] if part.ack_required else []
            rows += (
                [error_text(part.error)]
                if part.error
                else [_write_action(one, short) for one in part.actions]
            )
            return f"{word('Reply')}={part.id}{{{','.join(rows)}}}"
        case Pending():
            return f"{word('Pending')}={part.id}{{}}"
        case Ack():
            rows = [str(low) if low == high else f"{low}-{high}" for low, high in part.ranges]
            return f"{word('TransactionResponseAck')}{{{','.join(rows)}}}"


def write(message: Message, short: bool = False) -> bytes:
    """The message's bytes. Raises ValueError where a value can't be written."""
    head = f"{'!' if short else 'MEGACO'}/{VERSION} {message.mid}\n"
    if message.error is not None:
        return (head + error_text(message.error)).encode()
    return (head + "".join(write_part(one, short) for one in message.parts)).encode()
