"""Planned restarts of real agent processes, judged from the sockets."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from peattrestle.trials.caller import Habits
from peattrestle.trials.deployment import Deployment
from peattrestle.trials.exchange import Manner
from peattrestle.trials.world import World, free_port

MS = 1_000_000
IN_SERVICE = 1_000 * MS
AFTERWARDS = 1_000 * MS


def restart_while_exchanges_are_slow(tmp_path: Path, deadline_ms: int, manner: Manner) -> World:
    """One agent gets SIGTERM while exchanges are slow or silent and callers keep sending until SIGKILL."""
    deployment = Deployment(
        deadline=deadline_ms * MS,
        target=deadline_ms * MS * 9 // 10,
        release_time=min(150, deadline_ms // 4) * MS,
        network=11,
        port=free_port(),
    )
    world = World(deployment, tmp_path, seed=7, habits=Habits(interval=8 * MS, gives_up=0.0, repeats=0.0))
    for exchange in world.exchanges.values():
        exchange.delay = (deadline_ms * MS // 5, deadline_ms * MS // 2)
        exchange.manners = {manner: 0.3}
    assert world.play(world.bring_up_all(), 20_000 * MS)
    world.run(IN_SERVICE)
    assert world.play(world.planned_restart(0, start_again=False), 10_000 * MS)
    world.run(AFTERWARDS)
    return world


@pytest.fixture
def worlds() -> Iterator[list[World]]:
    made: list[World] = []
    yield made
    for world in made:
        world.close()


@pytest.mark.parametrize("manner", [Manner.ANSWER, Manner.NEVER], ids=["slow", "silent"])
@pytest.mark.parametrize("deadline_ms", [300, 1_000, 3_000])
def test_set_ups_accepted_late_in_a_shutdown_are_answered_before_the_kill(
    tmp_path: Path, worlds: list[World], deadline_ms: int, manner: Manner
) -> None:
    world = restart_while_exchanges_are_slow(tmp_path, deadline_ms, manner)
    worlds.append(world)
    assert [breach.text for breach in world.verdict()] == []
    assert len([one for one in world.record.requests.values() if one.answers]) > 50
