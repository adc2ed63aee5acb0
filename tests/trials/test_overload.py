"""Bad clients at full speed against an agent process with the smallest limits: callers are served."""

from __future__ import annotations

from pathlib import Path

import pytest

from peattrestle.trials.bad_clients import Load
from peattrestle.trials.overload import Limits, OverloadTrial

SMALLEST_MEMORY_MB = 32  # DAYS.md: 32 to 192 MB, 256 to 1,024 descriptors
SECONDS = 2.0


@pytest.mark.parametrize(
    ("load", "sockets"),
    [(Load.HALF_REQUESTS, 1_024), (Load.MANY_FIELDS, 256), (Load.NEW_NAMES, 256)],
    ids=["half requests", "many fields", "new names"],
)
def test_callers_are_served_within_the_limits_under_load(tmp_path: Path, load: Load, sockets: int) -> None:
    # Guards against processes killed for memory, and against callers that wait for a client's flood.
    result = OverloadTrial(load, Limits(SMALLEST_MEMORY_MB, sockets), SECONDS, tmp_path).run()
    assert result.passed, f"{result} {result.violations}"
    assert result.established and result.sent_mb > 1
