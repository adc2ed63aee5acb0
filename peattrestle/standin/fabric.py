"""What the stand-in exchanges share: trunk groups, numbers with few lines, what is broken between them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from peattrestle.runtime import Kernel
from peattrestle.standin.record import Record

if TYPE_CHECKING:
    from peattrestle.standin.exchange import StandinExchange


@dataclass(slots=True)
class Group:
    """Circuits between two exchanges, used by both ends and by transit. `lost`: out of service now."""

    ends: tuple[int, int]
    size: int
    lost: int = 0
    taken: int = 0

    def free(self) -> int:
        return max(0, self.size - self.lost - self.taken)

    def working(self) -> int:
        return self.size - self.lost


@dataclass(slots=True)
class Figures:
    """Work at a processor, nanoseconds at full speed, and what the rules say of cold ones."""

    look: int = 400_000
    set_up: int = 1_600_000
    answer: int = 400_000
    release: int = 300_000
    wait_limit: int = 2_000_000_000
    cold_from: float = 0.3
    cold_time: int = 14_000_000_000
    fall_multiple: float = 2.0
    fall_time: int = 1_000_000_000
    urgent_first: bool = True


class Fabric:
    def __init__(self, kernel: Kernel, record: Record, figures: Figures, seed_name: str = "fabric") -> None:
        self.kernel, self.record, self.figures = kernel, record, figures
        self.draw = kernel.chance(seed_name)
        self.groups: dict[tuple[int, int], Group] = {}
        self.exchanges: dict[int, StandinExchange] = {}
        self.regions: dict[int, str] = {}
        self.cut_regions: set[str] = set()
        self.lines: dict[str, int] = {}  # number called: how many lines it has
        self.busy_lines: dict[str, int] = {}
        self.answers_lost = 0.0  # share of answers to set-ups that never leave
        self.healed: list[Callable[[], None]] = []
        self.moved: list[tuple[int, int]] = []  # groups whose figures have changed
        self._telling = False

    def group(self, one: int, other: int) -> Group | None:
        return self.groups.get((one, other) if one < other else (other, one))

    def add_group(self, one: int, other: int, size: int) -> None:
        ends = (one, other) if one < other else (other, one)
        self.groups[ends] = Group(ends, size)

    def take(self, one: int, other: int, width: int) -> bool:
        group = self.group(one, other)
        if group is None or group.free() < width:
            return False
        group.taken += width
        self.changed(group)
        return True

    def give(self, one: int, other: int, width: int) -> None:
        group = self.group(one, other)
        if group is not None:
            group.taken -= width
            assert group.taken >= 0, f"group {group.ends} gave back more than was taken"
            self.changed(group)

    def changed(self, group: Group) -> None:
        self.moved.append(group.ends)
        if not self._telling:
            self._telling = True
            self.kernel.at(self.kernel.now() + 20_000_000, self.tell)

    def tell(self) -> None:
        """Each exchange tells its own agent what has changed in the last moment, in one message."""
        self._telling = False
        moved, self.moved = sorted(set(self.moved)), []
        news: dict[int, list[Group]] = {}
        for ends in moved:
            for end in ends:
                news.setdefault(end, []).append(self.groups[ends])
        for number, groups in news.items():
            if number in self.exchanges:
                self.exchanges[number].tell_groups(groups)

    def reachable(self, one: int, other: int) -> bool:
        here, there = self.regions.get(one, ""), self.regions.get(other, "")
        return here == there or (here not in self.cut_regions and there not in self.cut_regions)

    def heal(self) -> None:
        waiting, self.healed = self.healed, []
        for action in waiting:
            action()

    def line_free(self, number: str) -> bool:
        most = self.lines.get(number)
        if most is None:
            return True
        if self.busy_lines.get(number, 0) >= most:
            return False
        self.busy_lines[number] = self.busy_lines.get(number, 0) + 1
        return True

    def line_given(self, number: str) -> None:
        if number in self.lines:
            self.busy_lines[number] = max(0, self.busy_lines.get(number, 0) - 1)

    def leaks(self) -> int:
        """Circuits that no held call accounts for, in either direction."""
        held: dict[tuple[int, int], int] = {}
        for exchange in self.exchanges.values():
            for ends, width in exchange.held_circuits():
                held[ends] = held.get(ends, 0) + width
        return sum(abs(group.taken - held.get(ends, 0)) for ends, group in self.groups.items())


@dataclass(slots=True)
class Flags:
    """What the sockets of one exchange do wrong now."""

    mute: bool = False  # accepts and reads, and never speaks
    stall: bool = False  # reads nothing: its window shuts
    single_bytes: bool = False  # each message in pieces of one byte
    double_replies: float = 0.0  # share of replies sent twice
    late_replies: int = 0  # held back this long
    garble: float = 0.0  # share of replies with a byte changed
    reset_setups: float = 0.0  # share of set-ups on which the connection is reset
