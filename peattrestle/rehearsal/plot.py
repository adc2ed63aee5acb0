"""A plot of load and service over time, from reports of rehearsals.

Needs matplotlib, which the program itself does not: `requirements-plot.txt`.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any


class NotAReport(Exception):
    """The file is not a report of a rehearsal, or has no series; the text names the file and the reason."""


def read(path: Path) -> dict[str, Any]:
    """Reads a report.json, or that of a folder. Raises NotAReport."""
    file = path / "report.json" if path.is_dir() else path
    try:
        report = json.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        raise NotAReport(f"{file}: {error.strerror}") from None
    except ValueError as error:
        raise NotAReport(f"{file}: not JSON: {error}") from None
    series = report.get("series") if isinstance(report, dict) else None
    if not isinstance(report, dict) or not isinstance(series, dict) or not series.get("service"):
        raise NotAReport(f"{file}: not a report with a series; was it written by another version?")
    return report


def draw(reports: list[tuple[str, dict[str, Any]]], out: Path) -> None:
    """Plots each report as a line in three panels: service, calls a second, longest wait.

    Raises ImportError where matplotlib is missing, OSError and ValueError where `out` cannot be written.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, panels = pyplot.subplots(3, 1, figsize=(9, 9), sharex=True)
    for name, report in reports:
        series = report["series"]
        seconds = range(len(series["service"]))
        service = [value if value >= 0 else None for value in series["service"]]
        panels[0].plot(seconds, service, label=name)
        panels[1].plot(seconds, series["dials"], label=f"{name}: calls sent to agents")
        panels[2].plot(range(len(series["wait_ms"])), series["wait_ms"], label=name)
    firsts = reports[0][1]["series"]["firsts"]
    panels[1].plot(range(len(firsts)), firsts, color="grey", linestyle=":", label="callers who began")
    panels[0].set_ylabel("service")
    panels[0].set_ylim(0, 1.05)
    panels[1].set_ylabel("calls a second")
    panels[2].set_ylabel("longest wait, ms")
    panels[2].set_xlabel("seconds")
    panels[0].set_title(str(reports[0][1].get("title", "")))
    for panel in panels:
        panel.legend(loc="best", fontsize="small")
        panel.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(out, dpi=100)
    pyplot.close(figure)
