"""The configuration that the platform hands to a call agent, checked. `BadConfig` names place and fault."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from peattrestle.feed.sse import BadFeed
from peattrestle.feed.state import FeedState
from peattrestle.runtime.epoll import split
from peattrestle.wirehost import parse

MS = 1_000_000
MOST_FILE = 8_388_608


class BadConfig(Exception):
    """The configuration can't be used; the text names place and fault."""


@dataclass(slots=True, frozen=True)
class Config:
    """`settings` is the module's flat map; `known` the control feed's events up to the start, as given."""

    name: str
    listen: str
    feed: str
    seed: int
    sockets: int
    known: Any
    settings: dict[str, Any]
    bearer_types: frozenset[str]


def _address(tree: dict[str, Any], place: str) -> str:
    value = tree.get(place)
    if not isinstance(value, str):
        raise BadConfig(f"{place}: missing, or no text")
    try:
        split(value)
    except ValueError as fault:
        raise BadConfig(f"{place}: {fault}") from None
    return value


def _whole(settings: dict[str, Any], name: str, least: int) -> None:
    value = settings.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < least:
        raise BadConfig(f"settings: {name} is missing or not a whole number from {least} on")


def read(text: str) -> Config:
    """Raises BadConfig."""
    try:
        tree = json.loads(text)
    except (ValueError, RecursionError) as fault:
        raise BadConfig(f"not JSON: {fault}") from None
    if not isinstance(tree, dict):
        raise BadConfig("not a JSON object")
    name, seed, limits = tree.get("name"), tree.get("seed"), tree.get("limits")
    if not isinstance(name, str) or not name:
        raise BadConfig("name: missing, or no text")
    try:
        drawn = int(seed, 16) if isinstance(seed, str) else -1
    except ValueError:
        drawn = -1
    if drawn < 0:
        raise BadConfig("seed: not a hexadecimal number")
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else 1024
    if not isinstance(sockets, int) or sockets < 32:
        raise BadConfig("limits.sockets: not a whole number from 32 on")
    given = tree.get("settings")
    if not isinstance(given, dict):
        raise BadConfig("settings: missing, or no object")
    try:
        settings, _ = parse.settings_of(given)
    except (parse.Malformed, KeyError, TypeError, AttributeError, ValueError) as fault:
        raise BadConfig(f"settings: {type(fault).__name__}: {fault}") from None
    if not settings["bearer_types"]:
        raise BadConfig("settings: Classes names no bearer type")
    for one in ("own_number", "release_time", "drain_grace", "fall_time", "cold_time"):
        _whole(settings, one, 0)
    for one in settings["bearer_types"]:
        _whole(settings, f"gos_target:{one}", 1)
        _whole(settings, f"holding:{one}", 1)
    try:
        FeedState().apply_known(tree.get("known", {"n": 0, "events": []}))
    except BadFeed as fault:
        raise BadConfig(str(fault)) from None
    return Config(
        name,
        _address(tree, "listen"),
        _address(tree, "feed"),
        drawn,
        sockets,
        tree.get("known", {"n": 0, "events": []}),
        settings,
        frozenset(settings["bearer_types"]),
    )


def load(path: str) -> Config:
    """Raises BadConfig."""
    try:
        with Path(path).open("rb") as source:
            data = source.read(MOST_FILE + 1)
    except OSError as fault:
        raise BadConfig(f"{path}: {fault.strerror}") from None
    if len(data) > MOST_FILE:
        raise BadConfig(f"{path}: longer than {MOST_FILE} bytes")
    try:
        return read(data.decode())
    except UnicodeDecodeError:
        raise BadConfig(f"{path}: not UTF-8") from None
    except BadConfig as fault:
        raise BadConfig(f"{path}: {fault}") from None
