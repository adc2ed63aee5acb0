"""The scripts of examples/storms hold with their own checks; with storm protection off, congestion stays."""

from __future__ import annotations

import os
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import pytest

from peattrestle import control
from peattrestle.rehearsal import script
from peattrestle.rehearsal.play import Player
from peattrestle.rehearsal.series import Series
from peattrestle.storms import gateway_admission

FOLDER = Path(__file__).parents[2] / "examples" / "storms"


def faults(path: Path) -> list[str]:
    """The broken rules and failed checks of a script, played on the virtual kernel."""
    loaded, problems = script.load(str(path))
    assert loaded is not None, problems
    result = Player(loaded, "virtual").play()
    found = [f"{verdict.rule}: {verdict.breaches[0].text}" for verdict in result.verdicts if verdict.broken]
    return found + [f"{check.name}: {check.text}" for check in result.checks if not check.passed]


def test_every_storm_script_holds() -> None:
    paths = sorted(FOLDER.glob("*.hcl"))
    assert len(paths) >= 13
    with ProcessPoolExecutor(min(8, os.cpu_count() or 1)) as pool:
        faults_by_script = dict(zip((path.name for path in paths), pool.map(faults, paths), strict=True))
    assert {name: failures for name, failures in faults_by_script.items() if failures} == {}


def test_congestion_stays_with_storm_protection_off(monkeypatch: pytest.MonkeyPatch) -> None:
    router = control.CallRouter
    monkeypatch.setattr(
        router, "relative_revenue", lambda self, arrival, attempt: self.revenue[arrival.bearer_type]
    )
    monkeypatch.setattr(router, "retry_delay", lambda self, arrival, attempt, max_delay: self.target // 3)
    monkeypatch.setattr(router, "RETRY_CREDIT", 1.0)
    monkeypatch.setattr(gateway_admission.Demand, "set_share", lambda self, now, share: None)
    monkeypatch.setattr(gateway_admission.GatewayAdmission, "limits_to_announce", lambda self: {})
    assert any(fault.startswith("back to") for fault in faults(FOLDER / "jam.hcl"))


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
def test_seconds_until_service_is_back(service: list[float], after: int) -> None:
    series = Series(service=service, firsts=[10] * len(service))
    assert series.recovery_seconds(series.mean_service(0, 5), 0.95, 8, 3) == after
