"""The report of a rehearsal as a plain text table, as JSON, and as files."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path
from typing import Any

from peattrestle.rehearsal.play import Result

MS = 1_000_000  # nanoseconds


def table(result: Result) -> str:
    """The report as text: verdicts, checks, counts, and the first breaches with their traces."""
    lines = [f"{result.title}   kernel {result.kernel}, seed {result.seed}", ""]
    rows = [("rule", "examined", "nearest approach", "verdict")]
    for verdict in result.verdicts:
        verdict_text = (
            "pass"
            if verdict.passed
            else f"FAIL, {verdict.broken} broken"
            if verdict.broken
            else "FAIL, nothing examined"
        )
        not_judged = f" ({verdict.not_judged} not judged)" if verdict.not_judged else ""
        rows.append((verdict.rule, f"{verdict.examined}{not_judged}", verdict.nearest, verdict_text))
    rows += [(check.name, "", check.text, "pass" if check.passed else "FAIL") for check in result.checks]
    widths = [max(len(row[column]) for row in rows) for column in range(4)]
    for row in rows:
        lines.append("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())
    lines += [
        "",
        f"service {result.service:.3f} of {result.offered:.0f} offered; {result.sales} callers, "
        f"{result.calls} tries of theirs",
        "set-up delay " + ", ".join(f"{name} {value:.0f} ms" for name, value in result.delays.items()),
        "callers  " + ", ".join(f"{name} {value}" for name, value in sorted(result.callers.items())),
        "agents   " + ", ".join(f"{name} {value}" for name, value in sorted(result.agents.items())),
    ]
    if result.troubles:
        lines.append(
            "troubles " + ", ".join(f"{name} {value}" for name, value in sorted(result.troubles.items()))
        )
    for verdict in result.verdicts:
        for breach in verdict.breaches[:3]:
            lines += ["", f"broken: {verdict.rule}: {breach.text}"]
            start = breach.trace[0].at if breach.trace else 0
            for event in breach.trace[:40]:
                lines.append(
                    f"  {(event.at - start) / MS:10.1f} ms  {event.kind:10} {event.place:14} {event.agent:6} "
                    f"{event.termination} {event.reference} {event.code or ''} {event.text}".rstrip()
                )
    lines += ["", "it held" if result.passed else "IT DID NOT HOLD"]
    return "\n".join(lines)


def as_json(result: Result) -> dict[str, Any]:
    """The report as a JSON object, without the rows of traffic."""
    report = dataclasses.asdict(dataclasses.replace(result, rows=[]))
    del report["rows"]
    report["passed"] = result.passed
    for verdict, verdict_fields in zip(result.verdicts, report["verdicts"], strict=True):
        verdict_fields["passed"] = verdict.passed
    return report


def write(result: Result, folder: Path) -> None:
    """Writes report.txt, report.json and record.jsonl (all rows) into `folder`. Raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.txt").write_text(table(result) + "\n", encoding="utf-8")
    (folder / "report.json").write_text(json.dumps(as_json(result), indent=1) + "\n", encoding="utf-8")
    with (folder / "record.jsonl").open("w", encoding="utf-8") as file:
        for row in result.rows:
            file.write(json.dumps(dataclasses.asdict(row)) + "\n")
