"""Reads and validates the JSON configuration that the platform gives to a call agent."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from peattrestle.feed.sse import BadFeed
from peattrestle.feed.state import FeedState
from peattrestle.runtime.epoll import split_address
from peattrestle.wirehost import parse

MS = 1_000_000  # nanoseconds
MAX_FILE_BYTES = 8_388_608
DEFAULT_SOCKETS = 1_024
MIN_SOCKETS = 32
DEFAULT_MEMORY_MB = 192  # MiB
MIN_MEMORY_MB = 1


class BadConfig(Exception):
    """The configuration is invalid; the text names the place and what is wrong there."""


@dataclass(slots=True, frozen=True)
class Config:
    """A validated configuration.

    `listen` and `feed` are addresses, `sockets` is the limit of open descriptors, `memory_mb` of memory in
    MiB, `settings` are the controller's flat settings, and `known` the control feed's events up to the
    start, as given.
    """

    name: str
    listen: str
    feed: str
    seed: int
    sockets: int
    memory_mb: int
    known: Any
    settings: dict[str, Any]
    bearer_types: frozenset[str]


def _address(tree: dict[str, Any], place: str) -> str:
    value = tree.get(place)
    if not isinstance(value, str):
        raise BadConfig(f"{place}: missing or not a string")
    try:
        split_address(value)
    except ValueError as error:
        raise BadConfig(f"{place}: {error}") from None
    return value


def _check_integer(settings: dict[str, Any], name: str, minimum: int) -> None:
    value = settings.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise BadConfig(f"settings: {name} is missing or not an integer from {minimum} up")


def _limit(limits: Any, name: str, default: int, minimum: int) -> int:
    value = limits.get(name, default) if isinstance(limits, dict) else default
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise BadConfig(f"limits.{name}: {value!r:.40} is not an integer from {minimum} up")
    return value


def read(text: str) -> Config:
    """Returns the configuration in a JSON text. Raises BadConfig if it is invalid."""
    try:
        tree = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise BadConfig(f"not JSON: {error}") from None
    if not isinstance(tree, dict):
        raise BadConfig("not a JSON object")
    name, seed, limits = tree.get("name"), tree.get("seed"), tree.get("limits")
    if not isinstance(name, str) or not name:
        raise BadConfig("name: missing or not a string")
    try:
        seed_number = int(seed, 16) if isinstance(seed, str) else -1
    except ValueError:
        seed_number = -1
    if seed_number < 0:
        raise BadConfig(f"seed: {seed!r:.40} is not a hexadecimal number")
    sockets = _limit(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS)
    memory_mb = _limit(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)
    raw_settings = tree.get("settings")
    if not isinstance(raw_settings, dict):
        raise BadConfig("settings: missing or not an object")
    try:
        settings, _ = parse.settings_from(raw_settings)
    except (parse.Malformed, KeyError, TypeError, AttributeError, ValueError) as error:
        raise BadConfig(f"settings: {type(error).__name__}: {error}") from None
    if not settings["bearer_types"]:
        raise BadConfig("settings: Classes names no bearer type")
    for setting in ("own_number", "release_time", "drain_grace", "fall_time", "cold_time"):
        _check_integer(settings, setting, 0)
    for bearer_type in settings["bearer_types"]:
        _check_integer(settings, f"gos_target:{bearer_type}", 1)
        _check_integer(settings, f"holding:{bearer_type}", 1)
    try:
        FeedState().apply_known(tree.get("known", {"n": 0, "events": []}))
    except BadFeed as error:
        raise BadConfig(str(error)) from None
    return Config(
        name,
        _address(tree, "listen"),
        _address(tree, "feed"),
        seed_number,
        sockets,
        memory_mb,
        tree.get("known", {"n": 0, "events": []}),
        settings,
        frozenset(settings["bearer_types"]),
    )


def load(path: str) -> Config:
    """Reads a configuration file. Raises BadConfig if it cannot be read or is invalid."""
    try:
        with Path(path).open("rb") as source:
            data = source.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise BadConfig(f"{path}: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise BadConfig(f"{path}: longer than {MAX_FILE_BYTES} bytes")
    try:
        return read(data.decode())
    except UnicodeDecodeError:
        raise BadConfig(f"{path}: not UTF-8") from None
    except BadConfig as error:
        raise BadConfig(f"{path}: {error}") from None
