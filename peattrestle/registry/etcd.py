"""Encodes requests and decodes answers of the etcd v3 API in its published JSON form (the gRPC gateway's).

Keys and values are base64, 64-bit numbers are strings, and fields with their default value are left out. An
answer that the protocol does not allow raises `BadAnswer`, which names the field.
"""

from __future__ import annotations

from typing import Any

import msgspec

from peattrestle.registry.http import BadAnswer

RANGE, WATCH = "/v3/kv/range", "/v3/watch"  # URL paths
OUT_OF_RANGE = 11  # gRPC status code of "required revision has been compacted"


class Header(msgspec.Struct, frozen=True):
    """The cluster and member that answered, and the current revision of the store."""

    cluster_id: int = 0
    member_id: int = 0
    revision: int = 0
    raft_term: int = 0


class KeyValue(msgspec.Struct, frozen=True):
    """A key and its value. `mod_revision`: the revision that wrote it; `version`: writes since creation."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class Range(msgspec.Struct, frozen=True):
    """The answer to a range request. `more`: not all keys fit; `count`: the number of keys in the range."""

    header: Header
    kvs: list[KeyValue] = []
    more: bool = False
    count: int = 0


class Event(msgspec.Struct, frozen=True):
    """A change of one key. `type`: "PUT" (also if left out) or "DELETE"."""

    kv: KeyValue
    type: str = "PUT"


class WatchResponse(msgspec.Struct, frozen=True):
    """One message of a watch.

    `compact_revision`: the watch was cancelled because the history up to this revision has been compacted.
    """

    header: Header
    watch_id: int = 0
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: list[Event] = []
    fragment: bool = False


class ErrorAnswer(msgspec.Struct, frozen=True):
    """An error that the registry returned."""

    code: int = 0
    message: str = ""
    error: str = ""

    @property
    def compacted(self) -> bool:
        """Whether the requested revision has been removed from the registry's history."""
        return self.code == OUT_OF_RANGE or "compacted" in (self.message or self.error)


def prefix_end(prefix: bytes) -> bytes:
    """Returns the smallest key greater than all keys with the prefix; a zero byte means no upper end."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return b"\x00"


def range_request(prefix: bytes) -> bytes:
    """Returns the request body for all keys with the prefix as they are now."""
    return msgspec.json.encode({"key": prefix, "range_end": prefix_end(prefix)})


def watch_request(prefix: bytes, since: int) -> bytes:
    """Returns the request body that watches keys with the prefix from revision `since` on, with progress
    notifications."""
    create = {
        "key": prefix,
        "range_end": prefix_end(prefix),
        "start_revision": str(since),
        "progress_notify": True,
    }
    return msgspec.json.encode({"create_request": create})


def _decode(data: bytes, answer_type: Any, place: str) -> Any:
    try:
        return msgspec.convert(msgspec.json.decode(data), answer_type, strict=False)
    except msgspec.ValidationError as error:
        raise BadAnswer(f"{place}: {error}") from None
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BadAnswer(f"{place}: not JSON: {error}") from None


def _check_header(header: Header, place: str) -> None:
    if header.revision <= 0 or header.cluster_id == 0:
        raise BadAnswer(f"{place}: a header without revision or cluster_id")


def read_range(data: bytes) -> Range:
    """Parses the answer to a range request.

    Raises `BadAnswer`, also if a key has a higher revision than the header.
    """
    answer: Range = _decode(data, Range, "range")
    _check_header(answer.header, "range")
    for pair in answer.kvs:
        if not 0 < pair.mod_revision <= answer.header.revision:
            raise BadAnswer(
                f"range: {pair.key!r} has revision {pair.mod_revision}, the header {answer.header.revision}"
            )
    return answer


def read_watch_response(line: bytes) -> WatchResponse | ErrorAnswer:
    """Parses one line of a watch.

    Raises `BadAnswer`, also if the events' revisions decrease or are higher than the header's.
    """
    outer = _decode(line, dict[str, Any], "watch")
    if "error" in outer:
        inner = outer["error"]
        return _decode(  # type: ignore[no-any-return]
            msgspec.json.encode(inner if isinstance(inner, dict) else outer), ErrorAnswer, "watch error"
        )
    if "result" not in outer:
        raise BadAnswer("watch: a message with neither result nor error")
    response: WatchResponse = _decode(msgspec.json.encode(outer["result"]), WatchResponse, "watch")
    _check_header(response.header, "watch")
    previous_revision = 0
    for event in response.events:
        if event.type not in ("PUT", "DELETE"):
            raise BadAnswer(f"watch: {event.kv.key!r} has an event of type {event.type!r}, not PUT or DELETE")
        if event.kv.mod_revision <= 0 or event.kv.mod_revision > response.header.revision:
            raise BadAnswer(
                f"watch: {event.kv.key!r} has revision {event.kv.mod_revision}, "
                f"the header {response.header.revision}"
            )
        if event.kv.mod_revision < previous_revision:
            raise BadAnswer(
                f"watch: {event.kv.key!r} is out of order: "
                f"revision {event.kv.mod_revision} after {previous_revision}"
            )
        previous_revision = event.kv.mod_revision
    return response


def read_error(data: bytes) -> ErrorAnswer:
    """Parses the body of an answer whose status is not 200. A body that can't be parsed becomes the message,
    cut to 200 bytes."""
    try:
        error: ErrorAnswer = _decode(data, ErrorAnswer, "error")
    except BadAnswer:
        return ErrorAnswer(0, data[:200].decode("utf-8", "replace"))
    return error
