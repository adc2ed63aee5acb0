"""A result as a table of plain text, as JSON, and as files."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path
from typing import Any

from peattrestle.rehearsal.play import Result

MS = 1_000_000


def table(result: Result) -> str:
    lines = [f"{result.title}   kernel {result.kernel}, seed {result.seed}", ""]
    rows = [("rule", "examined", "nearest approach", "verdict")]
    for one in result.verdicts:
        word = (
            "pass" if one.passed else f"FAIL, {one.broken} broken" if one.broken else "FAIL, nothing examined"
        )
        unsure = f" ({one.not_judged} not judged)" if one.not_judged else ""
        rows.append((one.rule, f"{one.examined}{unsure}", one.nearest, word))
    rows += [(one.name, "", one.text, "pass" if one.passed else "FAIL") for one in result.checks]
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
            for step in breach.trace[:40]:
                lines.append(
                    f"  {(step.at - start) / MS:10.1f} ms  {step.kind:10} {step.place:14} {step.agent:6} "
                    f"{step.termination} {step.reference} {step.code or ''} {step.text}".rstrip()
                )
    lines += ["", "it held" if result.passed else "IT DID NOT HOLD"]
    return "\n".join(lines)


def as_json(result: Result) -> dict[str, Any]:
    out = dataclasses.asdict(dataclasses.replace(result, rows=[]))
    del out["rows"]
    out["passed"] = result.passed
    for verdict, plain in zip(result.verdicts, out["verdicts"], strict=True):
        plain["passed"] = verdict.passed
    return out


def write(result: Result, folder: Path) -> None:
    """report.txt, report.json and record.jsonl, the whole traffic."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.txt").write_text(table(result) + "\n", encoding="utf-8")
    (folder / "report.json").write_text(json.dumps(as_json(result), indent=1) + "\n", encoding="utf-8")
    with (folder / "record.jsonl").open("w", encoding="utf-8") as file:
        for row in result.rows:
            file.write(json.dumps(dataclasses.asdict(row)) + "\n")
