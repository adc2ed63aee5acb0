"""The hard cases of docs/storms.md, each a script with its own checks; the jam that stays without a part."""

from __future__ import annotations

import os
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import pytest

from peattrestle import control
from peattrestle.rehearsal import script
from peattrestle.rehearsal.play import Player
from peattrestle.rehearsal.series import Series
from peattrestle.storms import shares

FOLDER = Path(__file__).parents[2] / "examples" / "storms"


def faults(path: Path) -> list[str]:
    read, wrong = script.load(str(path))
    assert read is not None, wrong
    result = Player(read, "virtual").play()
    out = [f"{one.rule}: {one.breaches[0].text}" for one in result.verdicts if one.broken]
    return out + [f"{one.name}: {one.text}" for one in result.checks if not one.passed]


def test_every_hard_case_holds() -> None:
    paths = sorted(FOLDER.glob("*.hcl"))
    assert len(paths) >= 13
    with ProcessPoolExecutor(min(8, os.cpu_count() or 1)) as pool:
        found = dict(zip((one.name for one in paths), pool.map(faults, paths), strict=True))
    assert {name: bad for name, bad in found.items() if bad} == {}


def test_the_jam_stays_with_the_parts_off(monkeypatch: pytest.MonkeyPatch) -> None:
    home = control.Home
    monkeypatch.setattr(home, "worth", lambda self, asked, seen: self.revenue[asked.bearer_type])
    monkeypatch.setattr(home, "come_back", lambda self, asked, seen, most: self.target // 3)
    monkeypatch.setattr(home, "FURTHER", 1.0)
    monkeypatch.setattr(shares.Demand, "divide", lambda self, now, share: None)
    monkeypatch.setattr(shares.Door, "notices", lambda self: {})
    assert any(one.startswith("back to") for one in faults(FOLDER / "jam.hcl"))


@pytest.mark.parametrize(
    ("service", "after"),
    [
        ([1.0] * 5 + [0.2] * 3 + [1.0] * 6, 0),
        ([1.0] * 5 + [0.2] * 3 + [0.5, 0.5] + [1.0] * 5, 2),
        ([1.0] * 5 + [0.2] * 9, -1),
        ([1.0] * 5 + [0.2] * 6 + [1.0] * 3, 3),  # the last seconds count as well
        ([1.0] * 5 + [0.2] * 3 + [0.99, 0.8, 0.99, 0.8] + [0.97] * 4, 4),
    ],
)
def test_when_service_is_back(service: list[float], after: int) -> None:
    series = Series(service=service, firsts=[10] * len(service))
    assert series.back_after(series.over(0, 5), 0.95, 8, 3) == after
