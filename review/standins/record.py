"""The record of a case: what was sent, answered and run, with the time since the case began."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes one line per event to `record.txt`; `broken` are the breaks of the rule that the case found."""

    def __init__(self, folder: Path) -> None:
        self.began_at = time.monotonic()
        self.output = (folder / "record.txt").open("w", encoding="utf-8")
        self.broken: list[str] = []

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began_at

    def line(self, party: str, text: str) -> None:
        """Writes what a party sent, got or did."""
        self.output.write(f"{self.now():9.3f} s  {party:<16} {text}\n")
        self.output.flush()

    def breaks(self, text: str) -> None:
        """Notes a break of the rule."""
        self.broken.append(text)
        self.line("RULE BROKEN", text)
