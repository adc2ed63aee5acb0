"""Reading and checking settings files: every fault is reported with its line and what is allowed."""

from __future__ import annotations

from pathlib import Path

import pytest

from peattrestle.rehearsal.script import load as load_script
from peattrestle.settings import schema
from peattrestle.settings.agent import Agent, parse

GOOD = """
agent "a3" {
  number  = 3
  agents  = 8
  callers = "127.0.0.1:7003"
  list    = "127.0.0.1:7000"
  rules { release_time = "250ms" }
  bearer "line" { gos_target = "1.5s" }
}
"""


def test_a_valid_file_and_its_defaults() -> None:
    agent, faults = parse(GOOD, "x.hcl")
    assert faults == [] and agent is not None
    assert (agent.label, agent.rules.release_time, agent.rules.drain_grace) == (
        "a3",
        250_000_000,
        1_000_000_000,
    )
    assert [(bearer.label, bearer.gos_target) for bearer in agent.bearer] == [("line", 1_500_000_000)]


def test_a_registry_in_place_of_a_list() -> None:
    text = GOOD.replace('list    = "127.0.0.1:7000"', 'registry { endpoints = ["127.0.0.1:2379"] }')
    agent, faults = parse(text, "x.hcl")
    assert faults == [] and agent is not None and agent.registry.endpoints == ("127.0.0.1:2379",)
    assert parse(schema.to_hcl(agent, "agent"), "y.hcl") == (agent, [])


def test_formatted_settings_read_back_to_the_same() -> None:
    agent, _ = parse(GOOD, "x.hcl")
    assert parse(schema.to_hcl(agent, "agent"), "y.hcl") == (agent, [])


@pytest.mark.parametrize(
    ("old", "new", "line", "message"),
    [
        ("number  = 3", "", 2, "needs 'number'"),
        ("number  = 3", "numbr = 3", 3, "the nearest known name is 'number'"),
        ("number  = 3", 'number = "3"', 3, "must be a whole number from 0 to 1e+06"),
        ("number  = 3", "number = true", 3, "must be a whole number"),
        ("number  = 3", "number = 3\n number = 4", 4, "set twice, first in line 3"),
        ('"127.0.0.1:7003"', '"10.0.0.1:7003"', 5, "must be a loopback address"),
        ('"127.0.0.1:7003"', '"127.0.0.1:99999"', 5, "must be a loopback address"),
        ('"250ms"', '"250"', 7, 'must be a duration in quotes, like "300ms", from 0ns to 1min'),
        ('"250ms"', "250", 7, "must be a duration"),
        ('"250ms"', '"2min"', 7, "must be a duration"),
        (
            "release_time",
            "relese_time",
            7,
            "is not a setting of rules; the nearest known name is 'release_time'",
        ),
        ('list    = "127.0.0.1:7000"', "", 2, "neither list nor registry endpoints are given"),
        ("  rules {", 'registry { endpoints = ["127.0.0.1:2379"] }\n  rules {', 2, "both list and registry"),
        (
            'list    = "127.0.0.1:7000"',
            'registry { endpoints = ["registry:2379"] }',
            2,
            "endpoint 'registry:2379' must be a loopback address",
        ),
        ('bearer "line"', "bearer", 8, "needs one name in quotes after it"),
        ('bearer "line"', 'barer "line"', 8, "the nearest known name is 'bearer'"),
        ('"1.5s"', '"30s"', 2, "gos_target is longer than abandon_time"),
        ('agent "a3" {', 'agent "a3" {\n rules { }', 8, "'rules' appears twice"),
        ('agent "a3"', 'agent "a 3"', 2, "needs one name"),
        ("agents  = 8", "agents = = 8", 4, "not HCL"),
        ("}\n}", "}", 9, "not HCL"),
    ],
)
def test_each_fault_names_its_line_and_what_is_allowed(old: str, new: str, line: int, message: str) -> None:
    assert old in GOOD
    agent, faults = parse(GOOD.replace(old, new, 1), "x.hcl")
    assert agent is None
    assert any(fault.line == line and message in str(fault) for fault in faults), [
        str(fault) for fault in faults
    ]


def test_all_faults_are_reported_at_once() -> None:
    text = GOOD.replace("number  = 3", "number = -1").replace('"250ms"', "true").replace("1.5s", "x")
    _, faults = parse(text, "x.hcl")
    assert [fault.line for fault in faults] == [3, 7, 8]


@pytest.mark.parametrize("text", ["", "# nothing\n", 'other "x" { }', "agent = 3"])
def test_a_file_without_an_agent_is_rejected(text: str) -> None:
    agent, faults = parse(text, "x.hcl")
    assert agent is None and faults


def test_a_missing_file_is_reported() -> None:
    assert load_script("/nowhere/x.hcl")[1][0].text.startswith("can't be read")


@pytest.mark.parametrize(
    ("text", "nanoseconds"), [("1ns", 1), ("1.5s", 1_500_000_000), ("2 min", 120_000_000_000), ("0ms", 0)]
)
def test_durations_are_parsed_and_formatted(text: str, nanoseconds: int) -> None:
    assert schema.parse_duration(text) == nanoseconds
    assert schema.parse_duration(schema.format_duration(nanoseconds)) == nanoseconds


def test_defaults_are_within_their_bounds() -> None:
    agent, _ = parse(GOOD, "x.hcl")
    assert isinstance(agent, Agent)
    assert agent.links.retry_least < agent.links.retry_most


BASE = """
title = "base"
fleet {
  exchanges = 6
  busy      = 0.5
}
bearer "line" {}
load { level = 1.2 }
"""


@pytest.mark.parametrize(
    ("base", "script", "message"),
    [
        (BASE, 'fleet { busy = 0.7 }\nload { level = 0.5 }\nload {\n level = 0.6\n at = "5s"\n}', ""),
        (None, "", "base.hcl: can't be read: No such file"),
        (BASE + "sead = 3", "", "base.hcl:9: 'sead'"),
        (BASE, "sead = 3", "x.hcl:2: 'sead'"),
        ('base = "other.hcl"' + BASE, "", "base.hcl:1: is a base, and names one itself"),
    ],
)
def test_a_script_merged_into_its_base(tmp_path: Path, base: str | None, script: str, message: str) -> None:
    if base is not None:
        (tmp_path / "base.hcl").write_text(base)
    (tmp_path / "x.hcl").write_text('base = "base.hcl"\n' + script)
    merged, faults = load_script(str(tmp_path / "x.hcl"))
    if message:
        assert merged is None and message in "\n".join(str(fault) for fault in faults)
    else:
        assert merged is not None and (merged.title, merged.fleet.exchanges, merged.fleet.busy) == (
            "base",
            6,
            0.7,
        )
        assert [(step.at, step.level) for step in merged.load] == [(0, 0.5), (5_000_000_000, 0.6)]
