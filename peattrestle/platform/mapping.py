"""The platform's words and the module's: causes, notes and figures. Tables only."""

from __future__ import annotations

from peattrestle import interface as api
from peattrestle.exchangeline import lines
from peattrestle.wirehost import words

CAUSES = {
    "congestion": "no_circuit",
    "crankback": "turned_back",
    "remote_throttled": "beyond_full",
    "throttled": "processor_full",
    "engaged": "lines_busy",
}
# Cause of a release before the answer -> result of the route try; any other is a reset.
RESULTS = {
    lines.FULL: "full",
    lines.BUSY: "error",
    lines.OUT_OF_ORDER: "error",
    lines.MOOT: "moot",
    lines.RESET: "reset",
}
# Module's final answer -> SIP status.
STOOD, REFUSED, FAILED, OWN_FAULT = 200, 503, 408, 500


def load(text: str | int | float) -> api.Load:
    """A report in the module's names; below zero stands for 'not told' and is left out. Raises BadLine."""
    return {
        words.LOAD.get(name, name): value for name, value in lines.parse_report(text).items() if value >= 0
    }
