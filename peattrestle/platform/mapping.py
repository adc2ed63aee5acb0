"""Translates causes, results and load reports between the platform's protocols and the controller."""

from __future__ import annotations

from peattrestle import interface as api
from peattrestle.exchangeline import lines
from peattrestle.wirehost import protocol_names

# Option `note` of an exchange's release -> cause in `interface.TryEnded`.
CAUSES = {
    "congestion": "no_circuit",
    "crankback": "turned_back",
    "remote_throttled": "beyond_full",
    "throttled": "processor_full",
    "engaged": "lines_busy",
}
# Q.850 cause of a release before the answer -> result in `interface.TryEnded`; any other is a reset.
RESULTS = {
    lines.FULL: "full",
    lines.BUSY: "error",
    lines.OUT_OF_ORDER: "error",
    lines.TIMER_EXPIRED: "moot",
    lines.RESET: "reset",
}
# Kind of a final answer -> SIP status; OWN_FAULT is a failure of the agent itself.
ANSWERED, REFUSED, FAILED, OWN_FAULT = 200, 503, 408, 500


def parse_load(text: str | int | float) -> api.Load:
    """Returns a load report under the controller's names, without negative values, which mean 'unknown'.

    Raises BadLine if it is malformed.
    """
    return {
        protocol_names.LOAD.get(name, name): value
        for name, value in lines.parse_report(text).items()
        if value >= 0
    }
