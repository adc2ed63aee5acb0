"""The etcd v3 protocol in its published JSON form (the gRPC gateway's): requests as bytes, answers as values.

Keys and values are base64, numbers of 64 bits are strings, and what has its default value is left out. Every
answer that the protocol does not allow is one BadAnswer that names the field.
"""

from __future__ import annotations

from typing import Any

import msgspec

from peattrestle.registry.http import BadAnswer

RANGE, WATCH = "/v3/kv/range", "/v3/watch"
OUT_OF_RANGE = 11  # the published code of "required revision has been compacted"


class Header(msgspec.Struct, frozen=True):
    """Who answered, and how far the registry is."""

    cluster_id: int = 0
    member_id: int = 0
    revision: int = 0
    raft_term: int = 0


class KeyValue(msgspec.Struct, frozen=True):
    """`mod_revision` is the revision that wrote it; `version` counts from its creation."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class Range(msgspec.Struct, frozen=True):
    header: Header
    kvs: list[KeyValue] = []
    more: bool = False
    count: int = 0


class Event(msgspec.Struct, frozen=True):
    """`type` is PUT, also where it is left out, or DELETE."""

    kv: KeyValue
    type: str = "PUT"


class News(msgspec.Struct, frozen=True):
    """One message of a watch. `compact_revision`: the watch is over, what came up to there is gone."""

    header: Header
    watch_id: int = 0
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: list[Event] = []
    fragment: bool = False


class Failed(msgspec.Struct, frozen=True):
    """An error that the registry names. `compacted`: what was asked for is no longer there."""

    code: int = 0
    message: str = ""
    error: str = ""

    @property
    def compacted(self) -> bool:
        return self.code == OUT_OF_RANGE or "compacted" in (self.message or self.error)


def prefix_end(prefix: bytes) -> bytes:
    """The least key that is greater than all with the prefix; one zero byte for 'to the end'."""
    for at in range(len(prefix) - 1, -1, -1):
        if prefix[at] < 0xFF:
            return prefix[:at] + bytes([prefix[at] + 1])
    return b"\x00"


def range_of(prefix: bytes) -> bytes:
    """All keys with the prefix, as they are now."""
    return msgspec.json.encode({"key": prefix, "range_end": prefix_end(prefix)})


def watch_of(prefix: bytes, since: int) -> bytes:
    """Every change of keys with the prefix from revision `since` on, and words of progress."""
    create = {
        "key": prefix,
        "range_end": prefix_end(prefix),
        "start_revision": str(since),
        "progress_notify": True,
    }
    return msgspec.json.encode({"create_request": create})


def _read(data: bytes, kind: Any, what: str) -> Any:
    try:
        return msgspec.convert(msgspec.json.decode(data), kind, strict=False)
    except msgspec.ValidationError as fault:
        raise BadAnswer(f"{what}: {fault}") from None
    except (msgspec.DecodeError, ValueError, RecursionError) as fault:
        raise BadAnswer(f"{what}: not JSON: {fault}") from None


def _sound(header: Header, what: str) -> None:
    if header.revision <= 0 or header.cluster_id == 0:
        raise BadAnswer(f"{what}: a header without revision or cluster")


def read_range(data: bytes) -> Range:
    """Raises BadAnswer, also for keys with a revision that is not there yet."""
    out: Range = _read(data, Range, "range")
    _sound(out.header, "range")
    for one in out.kvs:
        if not 0 < one.mod_revision <= out.header.revision:
            raise BadAnswer(f"range: {one.key!r} of revision {one.mod_revision} in {out.header.revision}")
    return out


def read_news(line: bytes) -> News | Failed:
    """One line of a watch. Raises BadAnswer."""
    outer = _read(line, dict[str, Any], "watch")
    if "error" in outer:
        inner = outer["error"]
        return _read(msgspec.json.encode(inner if isinstance(inner, dict) else outer), Failed, "watch error")  # type: ignore[no-any-return]
    if "result" not in outer:
        raise BadAnswer("watch: neither result nor error")
    news: News = _read(msgspec.json.encode(outer["result"]), News, "watch")
    _sound(news.header, "watch")
    before = 0
    for one in news.events:
        if one.type not in ("PUT", "DELETE"):
            raise BadAnswer(f"watch: an event of type {one.type!r}")
        if one.kv.mod_revision <= 0 or one.kv.mod_revision > news.header.revision:
            raise BadAnswer(
                f"watch: {one.kv.key!r} of revision {one.kv.mod_revision} in {news.header.revision}"
            )
        if one.kv.mod_revision < before:
            raise BadAnswer(f"watch: revision {one.kv.mod_revision} after {before}")
        before = one.kv.mod_revision
    return news


def read_failed(data: bytes) -> Failed:
    """The body of an answer that is not 200; what can't be read is told as its text."""
    try:
        out: Failed = _read(data, Failed, "error")
    except BadAnswer:
        return Failed(0, data[:200].decode("utf-8", "replace"))
    return out
