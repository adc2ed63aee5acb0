"""Parser and writer of the text encoding of H.248.1 Annex B.

Nearly all of the grammar has one shape, `name [= value] [{ item, item, ... }]`. A tokenizer of one regular
expression and a loop with a stack turn a message into a tree of such items; tables then say which names are
allowed where, as long or short tokens in any case. For any input, `parse` returns a message or raises
`Malformed`, which has the line, the column, what was expected, and the H.248.8 error code.

Not in the profile, and rejected: SDP in Local and Remote, Mtp identifiers, value alternatives in braces. See
docs/protocol.md.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_MESSAGE_BYTES = 16384
MAX_TOKENS = 4000  # of one message
MAX_DEPTH = 10  # levels of braces
VERSION = 1  # of the protocol, in the message header

_SPACE = r"(?:[ \t\r\n]++|;[^\r\n]*+[\r\n])*+"
_HEADER = re.compile(
    _SPACE
    + r"(?:MEGACO|!)/(\d{1,2})(?=[ \t\r\n;])"
    + _SPACE
    + r"(\[[0-9A-Fa-f.:]{1,40}\](?::\d{1,5})?|<[A-Za-z0-9.-]{1,64}>(?::\d{1,5})?"
    r"|[A-Za-z*$][A-Za-z0-9_/.*$@-]{0,63})(?=[ \t\r\n;])",
    re.IGNORECASE,
)
# A word, a punctuation mark, a quoted string, a bracketed value; last, any other character, so that none is
# skipped.
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

# Long token -> short token (H.248.1 Annex B.2).
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
_LONG_TOKENS = {word.lower(): long for long, short in TOKENS.items() for word in (long, short)}
COMMANDS = frozenset(
    {"Add", "Modify", "Move", "Subtract", "Notify", "ServiceChange", "AuditValue", "AuditCapability"}
)
# Descriptor -> what is allowed in its braces: the descriptors named, or 'parameters' (package items, names
# with or without a value), 'names' (of descriptors) or 'text' (one quoted string).
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
# Descriptors that are allowed in the commands of a request, and of a reply.
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
    """The text is not a message of the profile.

    `code` is the H.248.8 error code. `line` and `column` count from 1. `transaction` is the id of the
    transaction that the error is in, where it is known.
    """

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
    """`name [= value] [{ items }]`; `items` is None without braces. `token_index` locates the name."""

    __slots__ = ("name", "value", "items", "token_index")

    def __init__(
        self, name: str, value: str | None = None, items: list[Item] | None = None, token_index: int = 0
    ) -> None:
        self.name, self.value, self.items, self.token_index = name, value, items, token_index

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
        """The first item of this name in the braces."""
        for item in self.items or ():
            if item.name == name:
                return item
        return None


@dataclass(slots=True)
class Command:
    """A command on a termination; `wildcard` and `optional` are the prefixes W- and O-."""

    name: str
    termination: str
    items: list[Item] = field(default_factory=list)
    optional: bool = False
    wildcard: bool = False

    def find(self, *path: str) -> Item | None:
        """The item at a path of descriptor names, such as 'Media', 'LocalControl'."""
        items: Iterable[Item] = self.items
        found: Item | None = None
        for name in path:
            found = next((item for item in items if item.name == name), None)
            if found is None:
                return None
            items = found.items or ()
        return found


@dataclass(slots=True)
class Action:
    """The commands for one context; `error`: code and text of an error of the whole action."""

    context: str
    commands: list[Command] = field(default_factory=list)
    error: tuple[int, str] | None = None


@dataclass(slots=True)
class Request:
    """A transaction request."""

    id: int
    actions: list[Action]


@dataclass(slots=True)
class Reply:
    """A transaction reply; `ack_required`: the sender wants an acknowledgement at once."""

    id: int
    actions: list[Action] = field(default_factory=list)
    error: tuple[int, str] | None = None
    ack_required: bool = False


@dataclass(slots=True)
class Pending:
    """The request of this id is still being carried out."""

    id: int


@dataclass(slots=True)
class Ack:
    """Ranges of transaction ids, both ends included."""

    ranges: list[tuple[int, int]]


Part = Request | Reply | Pending | Ack


@dataclass(slots=True)
class Message:
    """A message; `mid` is the sender's message identifier, `error` an error instead of parts."""

    mid: str
    parts: list[Part] = field(default_factory=list)
    error: tuple[int, str] | None = None


# Parsing.


class _Reader:
    """The tokens of a message, with what is needed to locate an error."""

    __slots__ = ("text", "start", "tokens")

    def __init__(self, text: str, start: int) -> None:
        self.text, self.start = text, start
        self.tokens = _TOKEN.findall(text, start)

    def error_at(self, code: int, expected: str, token_index: int) -> Malformed:
        """The error for the token at `token_index`, or at the end of the text after the last token."""
        offset = len(self.text)
        for index, match in enumerate(_TOKEN.finditer(self.text, self.start)):
            if index == token_index:
                offset = match.start(1)
                break
        found = (
            f"'{self.tokens[token_index][:32]}'"
            if token_index < len(self.tokens) and self.tokens[token_index]
            else "the end"
        )
        return malformed_at(self.text, offset, code, expected, found)


def malformed_at(text: str, offset: int, code: int, expected: str, found: str) -> Malformed:
    """The error at `offset` of the text; its transaction is that of the last transaction id before it."""
    line = text.count("\n", 0, offset) + 1
    column = offset - (text.rfind("\n", 0, offset) + 1) + 1
    id_match = re.search(r"(?<![\w/])(?:transaction|t)\s*=\s*(\d{1,10})(?!\d)", text[:offset], re.IGNORECASE)
    transaction_id = int(id_match.group(1)) if id_match else 0
    return Malformed(
        code, expected, found, line, column, transaction_id if 0 < transaction_id < 1 << 32 else None
    )


def _parse_items(reader: _Reader) -> list[Item]:
    """The tree of items: transactions follow one another without commas, all others are separated by them."""
    tokens = reader.tokens
    if len(tokens) > MAX_TOKENS:
        raise reader.error_at(400, f"at most {MAX_TOKENS} tokens", MAX_TOKENS)
    count = len(tokens)
    tokens += ("", "", "")
    root: list[Item] = []
    items, stack = root, []
    position = 0
    while position < count:
        token = tokens[position]
        if token[0] not in _WORD_START and (token[0] != '"' or len(token) < 2):
            raise reader.error_at(400, "a name", position)
        item = Item(token, None, None, position)
        items.append(item)
        position += 1
        token = tokens[position]
        if token == "=":
            value = tokens[position + 1]
            if not value or value[0] not in _WORD_START and (value[0] not in '"[' or len(value) < 2):
                raise reader.error_at(400, "a value", position + 1)
            item.value = value[1:-1] if value[0] == '"' else value
            position += 2
            token = tokens[position]
        if token == "{":
            if tokens[position + 1] != "}":
                stack.append(items)
                if len(stack) > MAX_DEPTH:
                    raise reader.error_at(400, f"at most {MAX_DEPTH} levels of braces", position)
                items = item.items = []
                position += 1
                continue
            item.items = []
            position += 2
            token = tokens[position]
        while token == "}" and stack:
            items = stack.pop()
            position += 1
            token = tokens[position]
        if stack:
            if token != ",":
                raise reader.error_at(400, "',' or '}'", position)
            position += 1
            if position >= count:
                raise reader.error_at(400, "a name", position)
        elif token in (",", "}", "=", "<", ">", "#"):
            raise reader.error_at(400, "a transaction", position)
    if stack:
        raise reader.error_at(400, "'}'", count)
    return root


def _parse_number(reader: _Reader, item: Item, maximum: int, code: int) -> int:
    value = item.value
    if value is None or not value.isascii() or not value.isdigit() or len(value) > 10 or int(value) > maximum:
        raise reader.error_at(
            code, f"a number up to {maximum}", item.token_index if value is None else item.token_index + 2
        )
    return int(value)


def _parse_error(reader: _Reader, item: Item) -> tuple[int, str]:
    code = _parse_number(reader, item, 9999, 442)
    contents = item.items or []
    if len(contents) > 1 or contents and (contents[0].name[0] != '"' or contents[0].value is not None):
        raise reader.error_at(442, "one quoted text", contents[0].token_index)
    return code, contents[0].name[1:-1] if contents else ""


def _check_descriptor(reader: _Reader, item: Item, allowed: frozenset[str]) -> None:
    name = _LONG_TOKENS.get(item.name.lower(), "")
    if name not in allowed:
        raise reader.error_at(444, "a descriptor that may stand here", item.token_index)
    item.name = name
    if name in NEEDS_VALUE and item.value is None:
        raise reader.error_at(442, f"'=' and a value for {name}", item.token_index + 1)
    contents = DESCRIPTORS[name]
    if contents == "text":
        _parse_error(reader, item)
    elif contents == "parameters":
        for child in item.items or ():
            if child.name[0] == '"':
                raise reader.error_at(442, "a parameter's name", child.token_index)
            long_token = _LONG_TOKENS.get(child.name.lower()) if "/" not in child.name else None
            child.name = long_token or child.name.lower()
            for nested in child.items or ():
                if nested.items is not None or nested.name[0] == '"':
                    raise reader.error_at(442, "a parameter", nested.token_index)
                nested.name = nested.name.lower()
    elif contents == "names":
        for child in item.items or ():
            long_token = _LONG_TOKENS.get(child.name.lower())
            if long_token is None or child.value is not None or child.items is not None:
                raise reader.error_at(442, "a descriptor's name", child.token_index)
            child.name = long_token
    else:
        assert isinstance(contents, frozenset)
        for child in item.items or ():
            _check_descriptor(reader, child, contents)


def _parse_command(reader: _Reader, item: Item, reply: bool) -> Command:
    name, optional, wildcard = item.name, False, False
    for _ in range(2):
        if name[:2] in ("O-", "o-"):
            name, optional = name[2:], True
        elif name[:2] in ("W-", "w-"):
            name, wildcard = name[2:], True
    long_token = _LONG_TOKENS.get(name.lower(), "")
    if long_token not in COMMANDS:
        raise reader.error_at(443, "a command", item.token_index)
    if not item.value:
        raise reader.error_at(442, "'=' and a termination", item.token_index + 1)
    allowed, descriptors = IN_REPLY if reply else IN_REQUEST, set()
    for child in item.items or ():
        _check_descriptor(reader, child, allowed)
        if child.name in descriptors:
            raise reader.error_at(448, "each descriptor once", child.token_index)
        descriptors.add(child.name)
    return Command(long_token, item.value, item.items or [], optional, wildcard)


def _parse_action(reader: _Reader, item: Item, reply: bool) -> Action:
    if _LONG_TOKENS.get(item.name.lower()) != "Context" or not item.value:
        raise reader.error_at(422, "a context", item.token_index)
    value = item.value
    if value not in ("$", "-", "*") and not (
        value.isascii() and value.isdigit() and len(value) <= 10 and int(value) < 1 << 32
    ):
        raise reader.error_at(422, "a context's number, '$', '-' or '*'", item.token_index + 2)
    if not item.items and not reply:
        raise reader.error_at(422, "a command", item.token_index + 3)
    action = Action(value)
    for child in item.items or ():
        if action.error is not None:
            raise reader.error_at(422, "nothing after the error", child.token_index)
        if reply and _LONG_TOKENS.get(child.name.lower()) == "Error":
            action.error = _parse_error(reader, child)
        else:
            action.commands.append(_parse_command(reader, child, reply))
    return action


def _parse_part(reader: _Reader, item: Item) -> Part:
    name = _LONG_TOKENS.get(item.name.lower(), "")
    contents = item.items
    if name == "TransactionResponseAck":
        ranges = []
        for child in contents or ():
            low, dash, high = child.name.partition("-")
            if (
                not low.isascii()
                or not low.isdigit()
                or dash
                and not (high.isascii() and high.isdigit())
                or len(child.name) > 21
                or child.value is not None
                or child.items is not None
            ):
                raise reader.error_at(403, "a transaction id or a range of them", child.token_index)
            first, last = int(low), int(high) if dash else int(low)
            if not 0 < first <= last < 1 << 32:
                raise reader.error_at(403, "a rising range of transaction ids", child.token_index)
            ranges.append((first, last))
        if not ranges:
            raise reader.error_at(403, "a transaction id", item.token_index)
        return Ack(ranges)
    if name not in ("Transaction", "Reply", "Pending"):
        raise reader.error_at(403, "a transaction", item.token_index)
    if name == "Transaction" and item.value is None:
        raise reader.error_at(403, "'=' and a transaction id", item.token_index + 1)
    transaction_id = _parse_number(reader, item, (1 << 32) - 1, 403)
    if transaction_id == 0:
        raise reader.error_at(403, "a transaction id above 0", item.token_index + 2)
    if name == "Pending":
        if contents:
            raise reader.error_at(403, "'}'", contents[0].token_index)
        return Pending(transaction_id)
    if not contents:
        raise reader.error_at(403, "an action", item.token_index + 3)
    if name == "Transaction":
        return Request(transaction_id, [_parse_action(reader, child, False) for child in contents])
    reply = Reply(transaction_id)
    for child in contents:
        long_token = _LONG_TOKENS.get(child.name.lower())
        if long_token == "ImmAckRequired" and not reply.actions and child.value is None:
            reply.ack_required = True
        elif reply.error is not None:
            raise reader.error_at(403, "nothing after the error", child.token_index)
        elif long_token == "Error" and not reply.actions:
            reply.error = _parse_error(reader, child)
        else:
            reply.actions.append(_parse_action(reader, child, True))
    return reply


def parse(data: bytes, max_bytes: int = MAX_MESSAGE_BYTES) -> Message:
    """Parses one message (ASCII; bytes above 127 are allowed in quoted strings only, as UTF-8).

    Raises Malformed, and nothing else.
    """
    if len(data) > max_bytes:
        raise Malformed(400, f"at most {max_bytes} bytes", f"{len(data)}")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        before = data[: error.start].decode("utf-8")
        raise malformed_at(before, len(before), 400, "UTF-8", f"byte {data[error.start]}") from None
    header = _HEADER.match(text)
    if header is None:
        raise malformed_at(text, 0, 400, "'MEGACO/1' and a message identifier", f"'{text[:16]}'")
    if int(header.group(1)) != VERSION:
        raise malformed_at(text, header.start(1), 406, f"version {VERSION}", f"'{header.group(1)}'")
    reader = _Reader(text, header.end())
    items = _parse_items(reader)
    if not items:
        raise reader.error_at(400, "a transaction", 0)
    if _LONG_TOKENS.get(items[0].name.lower()) == "Error":
        if len(items) > 1:
            raise reader.error_at(400, "nothing after the error", items[1].token_index)
        return Message(header.group(2), [], _parse_error(reader, items[0]))
    return Message(header.group(2), [_parse_part(reader, item) for item in items])


# Writing.


def quoted(value: str) -> str:
    """The value, in quotes unless all its characters are safe.

    Raises ValueError for a quote or a control character.
    """
    if _SAFE.fullmatch(value):
        return value
    if _UNQUOTABLE.search(value):
        raise ValueError(f"{value!r} can't be written in H.248 text: it has a quote or a control character")
    return f'"{value}"'


def error_text(error: tuple[int, str]) -> str:
    """An Error descriptor; characters that can't be written are replaced."""
    text = _UNQUOTABLE.sub("'", error[1])
    return f'Error={error[0]}{{"{text}"}}'


def _write_item(item: Item, short: bool) -> str:
    name = TOKENS.get(item.name, item.name) if short else item.name
    text = name if item.value is None else f"{name}={quoted(item.value)}"
    if item.items is not None:
        text += "{" + ",".join(_write_item(child, short) for child in item.items) + "}"
    return text


def _write_action(action: Action, short: bool) -> str:
    def token(name: str) -> str:
        return TOKENS[name] if short else name

    contents = []
    for command in action.commands:
        text = ("O-" if command.optional else "") + ("W-" if command.wildcard else "") + token(command.name)
        text += f"={quoted(command.termination)}"
        if command.items:
            text += "{" + ",".join(_write_item(item, short) for item in command.items) + "}"
        contents.append(text)
    if action.error is not None:
        contents.append(error_text(action.error))
    braces = "{" + ",".join(contents) + "}" if contents else ""
    return f"{token('Context')}={action.context}{braces}"


def write_part(part: Part, short: bool = False) -> str:
    """One part of a message. Raises ValueError where a value can't be written."""

    def token(name: str) -> str:
        return TOKENS[name] if short else name

    match part:
        case Request():
            contents = ",".join(_write_action(action, short) for action in part.actions)
            return f"{token('Transaction')}={part.id}{{{contents}}}"
        case Reply():
            texts = [token("ImmAckRequired")] if part.ack_required else []
            texts += (
                [error_text(part.error)]
                if part.error
                else [_write_action(action, short) for action in part.actions]
            )
            return f"{token('Reply')}={part.id}{{{','.join(texts)}}}"
        case Pending():
            return f"{token('Pending')}={part.id}{{}}"
        case Ack():
            texts = [str(low) if low == high else f"{low}-{high}" for low, high in part.ranges]
            return f"{token('TransactionResponseAck')}{{{','.join(texts)}}}"


def write(message: Message, short: bool = False) -> bytes:
    """The message's bytes, with long or short tokens. Raises ValueError where a value can't be written."""
    header = f"{'!' if short else 'MEGACO'}/{VERSION} {message.mid}\n"
    if message.error is not None:
        return (header + error_text(message.error)).encode()
    return (header + "".join(write_part(part, short) for part in message.parts)).encode()
