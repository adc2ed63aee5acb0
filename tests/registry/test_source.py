"""The agent's registry client against the simulated registry, on the virtual kernel and over real sockets."""

from __future__ import annotations

import base64
import json
import random
from collections.abc import Callable
from typing import Any

import pytest

from peattrestle.agent.registry import RegistryClient
from peattrestle.membership.exchange_list import MembershipUpdate
from peattrestle.runtime import Coroutine, Kernel
from peattrestle.runtime.epoll import EpollKernel
from peattrestle.runtime.virtual import Network, VirtualKernel
from peattrestle.standin.registry import SimulatedRegistry

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000


class FollowedRegistry:
    """A registry, a client that follows it, and the exchange list that the client published."""

    def __init__(self, kernel: Kernel, quiet: int = 2 * SECOND) -> None:
        self.kernel = kernel
        self.registry = SimulatedRegistry(kernel, "127.0.0.1:0")
        self.list: dict[str, str] = {}
        self.updated_at: dict[str, int] = {}
        self.update_count = 0
        self.counts: dict[str, int] = {}
        self.logs: list[tuple[str, dict[str, Any]]] = []
        self.client = RegistryClient(
            kernel,
            (self.registry.address,),
            "/hubs/",
            self.update,
            lambda level, text, **fields: self.logs.append((text, fields)),
            lambda name: self.counts.update({name: self.counts.get(name, 0) + 1}),
            "a1",
            dial_timeout=500 * MS,
            answer_timeout=SECOND,
            idle_timeout=quiet,
            min_retry_wait=50 * MS,
            max_retry_wait=400 * MS,
        )
        kernel.spawn(self.client.run(), "client")

    def update(self, whole: bool, update: MembershipUpdate) -> None:
        self.update_count += 1
        for member in update.members:
            assert self.list.get(member.name, "gone") != member.entry.state or member.entry.address
            self.list[member.name] = member.entry.state
            self.updated_at[member.name] = self.kernel.now()

    def put(self, name: str, state: str = "ready", number: int = 1, **fields: Any) -> None:
        value = {"number": number, "state": state} | fields
        self.registry.put(f"/hubs/{name}", json.dumps(value).encode())

    def present(self) -> dict[str, str]:
        return {name: state for name, state in self.list.items() if state != "gone"}


def run_virtual(
    body: Callable[[FollowedRegistry], Coroutine[None]], seed: int = 1, **options: Any
) -> FollowedRegistry:
    """Runs `body` on a virtual kernel until it stops the kernel, for at most 600 s of virtual time."""
    kernel = VirtualKernel(seed, Network(split_probability=0.3))
    followed = FollowedRegistry(kernel, **options)
    task = kernel.spawn(body(followed), "test", report_errors=False)
    kernel.run(kernel.now() + 600 * SECOND if not task.done else 0)
    assert task.done
    if task.error is not None:
        raise task.error
    assert kernel.crashes == []
    return followed


def test_a_drain_is_published_within_50_ms() -> None:
    def body(followed: FollowedRegistry) -> Coroutine[None]:
        for number in range(4):
            followed.put(f"x{number}", number=number)
        yield from followed.kernel.sleep(SECOND)
        assert followed.list == {f"x{number}": "ready" for number in range(4)}
        drained_at = followed.kernel.now()
        followed.put("x2", "draining", 2)
        yield from followed.kernel.sleep(100 * MS)
        assert followed.updated_at["x2"] - drained_at < 50 * MS
        followed.kernel.stop()

    run_virtual(body)


FAULTS = [
    "down", "compact", "duplicate events", "cut", "mute", "late replies", "error",
    "held events", "reset", "progress", "none",
]  # fmt: skip


@pytest.mark.parametrize("seed", range(12))
def test_the_list_is_right_after_every_kind_of_fault(seed: int) -> None:
    rng = random.Random(seed)

    def body(followed: FollowedRegistry) -> Coroutine[None]:
        registry, faults = followed.registry, followed.registry.faults
        names = [f"x{number}" for number in range(12)]
        for number, name in enumerate(names):
            followed.put(name, number=number)
        for _ in range(25):
            fault = rng.choice(FAULTS)
            if fault == "down":
                registry.go_down()
            elif fault == "duplicate events":
                faults.duplicate_events = True
            elif fault == "cut":
                faults.reset_after_bytes = rng.randrange(400)
            elif fault == "mute":
                faults.mute = True
                for stream in list(registry.streams):
                    stream.abort()
            elif fault == "late replies":
                faults.reply_delay = 300 * MS
            elif fault == "error":
                faults.error = 503
            elif fault == "held events":
                faults.hold_events = True
            elif fault == "reset":
                for stream in list(registry.streams):
                    stream.abort()
            for _ in range(rng.randrange(8)):
                name = rng.choice(names)
                if rng.random() < 0.2:
                    registry.delete(f"/hubs/{name}")
                else:
                    followed.put(name, rng.choice(["ready", "draining"]), names.index(name))
                yield from followed.kernel.sleep(rng.randrange(120) * MS)
            if fault == "compact" or rng.random() < 0.3:
                registry.compact()
            if fault == "progress":
                registry.send_progress()
            yield from followed.kernel.sleep(rng.randrange(2000) * MS)
            faults.duplicate_events = faults.mute = faults.hold_events = False
            faults.reply_delay = faults.error = 0
            faults.reset_after_bytes = -1
            registry.recover()
        yield from followed.kernel.sleep(
            200 * SECOND
        )  # readmission after flaps is delayed by at most a minute
        expected = {}
        for name in names:
            record = registry.keys.get(f"/hubs/{name}".encode())
            if record is not None:
                expected[name] = json.loads(base64.b64decode(record["value"]))["state"]
        assert followed.present() == expected
        followed.kernel.stop()

    followed = run_virtual(body, seed)
    counts = followed.client.follower.counts
    assert counts.breaks > 0 and counts.watches > 3


def test_a_silent_watch_is_resumed_without_a_full_read() -> None:
    def body(followed: FollowedRegistry) -> Coroutine[None]:
        followed.put("x1")
        yield from followed.kernel.sleep(SECOND)
        followed.registry.faults.hold_events = True
        followed.put("x1", "draining")
        yield from followed.kernel.sleep(500 * MS)
        assert followed.list["x1"] == "ready"
        followed.registry.faults.hold_events = False
        yield from followed.kernel.sleep(2 * SECOND)
        assert followed.list["x1"] == "draining"
        assert followed.client.follower.counts.reads == 1
        followed.kernel.stop()

    run_virtual(body)


def test_a_replaced_and_empty_registry_is_logged_and_removes_nothing_at_once() -> None:
    def body(followed: FollowedRegistry) -> Coroutine[None]:
        for number in range(6):
            followed.put(f"x{number}", number=number)
        yield from followed.kernel.sleep(SECOND)
        followed.registry.restore({}, 3, 99)
        yield from followed.kernel.sleep(10 * SECOND)
        assert len(followed.present()) == 6
        assert any("another" in text for text, _ in followed.logs)
        assert any("kept as doubtful" in text for text, _ in followed.logs)
        yield from followed.kernel.sleep(25 * SECOND)
        assert followed.present() == {}
        followed.kernel.stop()

    run_virtual(body)


def test_the_client_follows_the_registry_over_real_sockets() -> None:
    kernel = EpollKernel(1)
    followed = FollowedRegistry(kernel)

    def body() -> Coroutine[None]:
        followed.put("x1")
        while followed.list.get("x1") != "ready":
            yield from kernel.sleep(10 * MS)
        followed.registry.go_down()
        followed.put("x1", "draining")
        yield from kernel.sleep(200 * MS)
        followed.registry.recover()
        while followed.list.get("x1") != "draining":
            yield from kernel.sleep(10 * MS)
        kernel.stop()

    kernel.spawn(body(), "test")
    kernel.call_at(kernel.now() + 20 * SECOND, kernel.stop)
    kernel.run()
    kernel.close()
    assert followed.list == {"x1": "draining"} and kernel.crashes == []
