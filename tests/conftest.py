"""Known failures: tests listed in KNOWN-RED.txt are passed over and printed; `--known-red` runs them."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
PREFIX = "test: "


def known_red() -> list[str]:
    """The exact ids of the listed tests."""
    if not KNOWN_RED.exists():
        return []
    rows = KNOWN_RED.read_text().splitlines()
    return [row.removeprefix(PREFIX).strip() for row in rows if row.startswith(PREFIX)]


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if config.getoption("--known-red"):
        return
    listed = set(known_red())
    passed_over = [item for item in items if item.nodeid in listed]
    if passed_over:
        items[:] = [item for item in items if item.nodeid not in listed]
        config.hook.pytest_deselected(items=passed_over)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    listed = known_red()
    if listed and not terminalreporter.config.getoption("--known-red"):
        terminalreporter.section("known failures, not run (KNOWN-RED.txt)")
        for name in listed:
            terminalreporter.line(name)
