"""The agent's registry source against the stand-in registry, on the virtual kernel and over real sockets."""

from __future__ import annotations

import base64
import json
import random
from collections.abc import Callable
from typing import Any

import pytest

from peattrestle.agent.registry import Registry
from peattrestle.membership.roll import Told
from peattrestle.runtime import Coroutine, Kernel
from peattrestle.runtime.epoll import EpollKernel
from peattrestle.runtime.virtual import Network, VirtualKernel
from peattrestle.standin.registry import StandinRegistry

MS = 1_000_000
SECOND = 1_000_000_000


class Followed:
    """A registry, a source that follows it, and the list as it was told."""

    def __init__(self, kernel: Kernel, quiet: int = 2 * SECOND) -> None:
        self.kernel = kernel
        self.registry = StandinRegistry(kernel, "127.0.0.1:0")
        self.list: dict[str, str] = {}
        self.told_at: dict[str, int] = {}
        self.tellings = 0
        self.counts: dict[str, int] = {}
        self.logs: list[tuple[str, dict[str, Any]]] = []
        self.source = Registry(
            kernel,
            (self.registry.address,),
            "/hubs/",
            self.tell,
            lambda level, text, **fields: self.logs.append((text, fields)),
            lambda name: self.counts.update({name: self.counts.get(name, 0) + 1}),
            "a1",
            dial=500 * MS,
            answer=SECOND,
            quiet=quiet,
            least=50 * MS,
            most=400 * MS,
        )
        kernel.spawn(self.source.run(), "source")

    def tell(self, whole: bool, told: Told) -> None:
        self.tellings += 1
        for member in told.members:
            assert self.list.get(member.name, "gone") != member.entry.state or member.entry.address
            self.list[member.name] = member.entry.state
            self.told_at[member.name] = self.kernel.now()

    def put(self, name: str, state: str = "ready", number: int = 1, **more: Any) -> None:
        value = {"number": number, "state": state} | more
        self.registry.put(f"/hubs/{name}", json.dumps(value).encode())

    def there(self) -> dict[str, str]:
        return {name: state for name, state in self.list.items() if state != "gone"}


def virtual(body: Callable[[Followed], Coroutine[None]], seed: int = 1, **more: Any) -> Followed:
    kernel = VirtualKernel(seed, Network(cut_up=0.3))
    followed = Followed(kernel, **more)
    task = kernel.spawn(body(followed), "test", watch=False)
    kernel.run(kernel.now() + 600 * SECOND if not task.done else 0)
    assert task.done
    if task.error is not None:
        raise task.error
    assert kernel.crashes == []
    return followed


def test_reads_watches_and_hears_of_a_drain_at_once() -> None:
    def body(one: Followed) -> Coroutine[None]:
        for number in range(4):
            one.put(f"x{number}", number=number)
        yield from one.kernel.sleep(SECOND)
        assert one.list == {f"x{number}": "ready" for number in range(4)}
        at = one.kernel.now()
        one.put("x2", "draining", 2)
        yield from one.kernel.sleep(100 * MS)
        assert one.told_at["x2"] - at < 50 * MS
        one.kernel.stop()

    virtual(body)


FAULTS = [
    "leave", "compact", "doubled", "cut", "mute", "late", "error", "stuck", "reset", "progress", "none",
]  # fmt: skip


@pytest.mark.parametrize("seed", range(12))
def test_a_soak_through_every_fault_ends_with_the_same_list(seed: int) -> None:
    draw = random.Random(seed)

    def body(one: Followed) -> Coroutine[None]:
        registry, faults = one.registry, one.registry.faults
        names = [f"x{number}" for number in range(12)]
        for number, name in enumerate(names):
            one.put(name, number=number)
        for _ in range(25):
            fault = draw.choice(FAULTS)
            if fault == "leave":
                registry.leave()
            elif fault == "doubled":
                faults.doubled = True
            elif fault == "cut":
                faults.cut_after = draw.randrange(400)
            elif fault == "mute":
                faults.mute = True
                for stream in list(registry.streams):
                    stream.abort()
            elif fault == "late":
                faults.late = 300 * MS
            elif fault == "error":
                faults.error = 503
            elif fault == "stuck":
                faults.news_stuck = True
            elif fault == "reset":
                for stream in list(registry.streams):
                    stream.abort()
            for _ in range(draw.randrange(8)):
                name = draw.choice(names)
                if draw.random() < 0.2:
                    registry.delete(f"/hubs/{name}")
                else:
                    one.put(name, draw.choice(["ready", "draining"]), names.index(name))
                yield from one.kernel.sleep(draw.randrange(120) * MS)
            if fault == "compact" or draw.random() < 0.3:
                registry.compact()
            if fault == "progress":
                registry.progress()
            yield from one.kernel.sleep(draw.randrange(2000) * MS)
            faults.doubled = faults.mute = faults.news_stuck = False
            faults.late = faults.error = 0
            faults.cut_after = -1
            registry.come_back()
        yield from one.kernel.sleep(200 * SECOND)  # flaps are put off for a minute at most
        expected = {}
        for name in names:
            kept = registry.keys.get(f"/hubs/{name}".encode())
            if kept is not None:
                expected[name] = json.loads(base64.b64decode(kept["value"]))["state"]
        assert one.there() == expected
        one.kernel.stop()

    followed = virtual(body, seed)
    counts = followed.source.follower.counts
    assert counts.breaks > 0 and counts.watches > 3


def test_a_watch_that_went_silent_is_taken_up_again_without_a_read() -> None:
    def body(one: Followed) -> Coroutine[None]:
        one.put("x1")
        yield from one.kernel.sleep(SECOND)
        one.registry.faults.news_stuck = True
        one.put("x1", "draining")
        yield from one.kernel.sleep(500 * MS)
        assert one.list["x1"] == "ready"
        one.registry.faults.news_stuck = False
        yield from one.kernel.sleep(2 * SECOND)
        assert one.list["x1"] == "draining"
        assert one.source.follower.counts.reads == 1
        one.kernel.stop()

    virtual(body)


def test_another_registry_in_its_place_is_named_and_an_empty_one_takes_nothing_away_at_once() -> None:
    def body(one: Followed) -> Coroutine[None]:
        for number in range(6):
            one.put(f"x{number}", number=number)
        yield from one.kernel.sleep(SECOND)
        one.registry.restore({}, 3, 99)
        yield from one.kernel.sleep(10 * SECOND)
        assert len(one.there()) == 6
        assert any("another" in text for text, _ in one.logs)
        assert any("kept as doubtful" in text for text, _ in one.logs)
        yield from one.kernel.sleep(25 * SECOND)
        assert one.there() == {}
        one.kernel.stop()

    virtual(body)


def test_real_sockets() -> None:
    kernel = EpollKernel(1)
    one = Followed(kernel)

    def body() -> Coroutine[None]:
        one.put("x1")
        while one.list.get("x1") != "ready":
            yield from kernel.sleep(10 * MS)
        one.registry.leave()
        one.put("x1", "draining")
        yield from kernel.sleep(200 * MS)
        one.registry.come_back()
        while one.list.get("x1") != "draining":
            yield from kernel.sleep(10 * MS)
        kernel.stop()

    kernel.spawn(body(), "test")
    kernel.at(kernel.now() + 20 * SECOND, kernel.stop)
    kernel.run()
    kernel.close()
    assert one.list == {"x1": "draining"} and kernel.crashes == []
