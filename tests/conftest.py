"""Deselects and prints the known failures that KNOWN-RED.txt lists; `--known-red` runs them too."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
PREFIX = "test: "


def known_red() -> list[str]:
    """Ids of the listed tests, from the lines that start with 'test: '."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.removeprefix(PREFIX).strip() for line in lines if line.startswith(PREFIX)]


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if config.getoption("--known-red"):
        return
    listed = set(known_red())
    deselected = [item for item in items if item.nodeid in listed]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in listed]
        config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    listed = known_red()
    if listed and not terminalreporter.config.getoption("--known-red"):
        terminalreporter.section("known failures, not run (KNOWN-RED.txt)")
        for name in listed:
            terminalreporter.line(name)
