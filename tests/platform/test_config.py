"""The platform's configuration: valid ones are read, invalid ones rejected with the place at fault."""

from __future__ import annotations

import json
from typing import Any

import pytest

from peattrestle.platform.config import BadConfig, load, read
from tests.platform.test_agent import SETTINGS, config_text

MS = 1_000_000


def test_a_valid_configuration_is_read() -> None:
    config = read(config_text(seed="00ff"))
    assert (config.name, config.listen, config.feed) == ("n0", "127.0.0.1:3868", "127.0.2.1:9092")
    assert (config.seed, config.sockets, set(config.bearer_types)) == (255, 96, {"line"})
    assert config.memory_mb == 192 and read(config_text(limits={"memory_mb": 32})).memory_mb == 32
    assert config.settings["gos_target:line"] == 380 * MS and config.settings["release_time"] == 150 * MS


def without(name: str, **more: Any) -> dict[str, Any]:
    """Returns the settings without the part `name`, or with it replaced."""
    return {key: value for key, value in SETTINGS.items() if key != name} | more


@pytest.mark.parametrize(
    ("more", "place"),
    [
        ({"name": ""}, "name"),
        ({"name": 3}, "name"),
        ({"seed": "xyz"}, "seed"),
        ({"seed": []}, "seed"),
        ({"listen": None}, "listen"),
        ({"listen": "127.0.0.1"}, "listen"),
        ({"listen": "0.0.0.0:80"}, "listen"),
        ({"feed": "127.0.0.1:99999"}, "feed"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"limits": {"memory_mb": "much"}}, "limits.memory_mb"),
        ({"limits": {"memory_mb": 0}}, "limits.memory_mb"),
        ({"limits": {"memory_mb": True}}, "limits.memory_mb"),
        ({"known": []}, "known"),
        ({"known": {"n": 1, "events": [{"n": "x"}]}}, "known"),
        ({"settings": None}, "settings"),
        ({"settings": {}}, "settings"),
        ({"settings": without("Classes", Classes=[])}, "settings"),
        ({"settings": without("Classes", Classes=[{}])}, "settings"),
        ({"settings": without("Classes", Classes=[{"Name": "line"}])}, "gos_target:line"),
        ({"settings": without("FamilyInfo")}, "own_number"),
        ({"settings": without("Rules", Rules={"ColdUs": "soon"})}, "settings"),
    ],
)
def test_each_invalid_value_is_reported_with_its_place(more: dict[str, Any], place: str) -> None:
    with pytest.raises(BadConfig, match=place):
        read(config_text(**more))


@pytest.mark.parametrize("text", ["", "{", "[]", "[" * 100_000, '"text"', "{}"])
def test_text_that_is_not_a_configuration_is_rejected(text: str) -> None:
    with pytest.raises(BadConfig):
        read(text)


def test_an_unreadable_file_is_reported_with_its_path(tmp_path: Any) -> None:
    with pytest.raises(BadConfig, match="none.json: No such file"):
        load(str(tmp_path / "none.json"))
    (tmp_path / "a.json").write_bytes(json.dumps({}).encode("utf-16"))
    with pytest.raises(BadConfig, match=r"a.json: not UTF-8"):
        load(str(tmp_path / "a.json"))
