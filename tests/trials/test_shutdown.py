"""Planned restarts of real agent processes, checked by what callers and exchanges observe."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from peattrestle.trials.caller import CallerBehaviour
from peattrestle.trials.deployment import Deployment
from peattrestle.trials.environment import TrialEnvironment, free_port
from peattrestle.trials.exchange import Behaviour

MS = 1_000_000  # nanoseconds
TIME_IN_SERVICE = 1_000 * MS
AFTER_RESTART = 1_000 * MS


def restart_while_exchanges_are_slow(
    tmp_path: Path, deadline_ms: int, behaviour: Behaviour
) -> TrialEnvironment:
    """Sends SIGTERM to an agent with slow or silent exchanges; callers keep sending until SIGKILL."""
    deployment = Deployment(
        deadline=deadline_ms * MS,
        answer_target=deadline_ms * MS * 9 // 10,
        release_time=min(150, deadline_ms // 4) * MS,
        network=11,
        port=free_port(),
    )
    environment = TrialEnvironment(
        deployment,
        tmp_path,
        seed=7,
        caller_behaviour=CallerBehaviour(mean_interval=8 * MS, abandon_share=0.0, retry_share=0.0),
    )
    for exchange in environment.exchanges.values():
        exchange.delay = (deadline_ms * MS // 5, deadline_ms * MS // 2)
        exchange.behaviours = {behaviour: 0.3}
    assert environment.run_script(environment.start_all_agents(), 20_000 * MS)
    environment.run(TIME_IN_SERVICE)
    assert environment.run_script(environment.planned_restart(0, start_again=False), 10_000 * MS)
    environment.run(AFTER_RESTART)
    return environment


@pytest.fixture
def environments() -> Iterator[list[TrialEnvironment]]:
    created: list[TrialEnvironment] = []
    yield created
    for environment in created:
        environment.close()


@pytest.mark.parametrize("behaviour", [Behaviour.ANSWER, Behaviour.NO_ANSWER], ids=["slow", "silent"])
@pytest.mark.parametrize("deadline_ms", [300, 1_000, 3_000])
def test_set_ups_accepted_late_in_a_shutdown_are_answered_before_the_kill(
    tmp_path: Path, environments: list[TrialEnvironment], deadline_ms: int, behaviour: Behaviour
) -> None:
    environment = restart_while_exchanges_are_slow(tmp_path, deadline_ms, behaviour)
    environments.append(environment)
    assert [violation.text for violation in environment.check_rules()] == []
    assert len([request for request in environment.record.requests.values() if request.answers]) > 50
