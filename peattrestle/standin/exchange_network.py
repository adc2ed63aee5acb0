"""State that all simulated exchanges share: trunk groups, numbers with few lines, faults between them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from peattrestle.runtime import Kernel
from peattrestle.standin.record import Record

if TYPE_CHECKING:
    from peattrestle.standin.exchange import SimulatedExchange


@dataclass(slots=True)
class Group:
    """A trunk group between two exchanges, used from both ends and by transit calls.

    `in_use`: circuits in use. `out_of_service`: circuits lost at present.
    """

    ends: tuple[int, int]
    size: int
    out_of_service: int = 0
    in_use: int = 0

    def free(self) -> int:
        """Circuits that a new call may use."""
        return max(0, self.size - self.out_of_service - self.in_use)

    def working(self) -> int:
        """Circuits in service, free or in use."""
        return self.size - self.out_of_service


@dataclass(slots=True)
class ProcessorSettings:
    """Settings of an exchange's processor: work in nanoseconds at full speed, and the rules of a cold start.

    `routing_work`, `set_up_work`, `answer_work` and `release_work` are the work of each step of a call; the
    other fields are described at `Processor`.
    """

    routing_work: int = 400_000
    set_up_work: int = 1_600_000
    answer_work: int = 400_000
    release_work: int = 300_000
    wait_limit: int = 2_000_000_000
    cold_from: float = 0.3
    cold_time: int = 14_000_000_000
    fall_multiple: float = 2.0
    fall_time: int = 1_000_000_000
    urgent_first: bool = True


class ExchangeNetwork:
    """The network between the simulated exchanges."""

    def __init__(
        self, kernel: Kernel, record: Record, processor_settings: ProcessorSettings, seed_name: str = "fabric"
    ) -> None:
        self.kernel, self.record, self.processor_settings = kernel, record, processor_settings
        self.rng = kernel.random_for(seed_name)
        self.groups: dict[tuple[int, int], Group] = {}
        self.exchanges: dict[int, SimulatedExchange] = {}
        self.regions: dict[int, str] = {}
        self.cut_regions: set[str] = set()
        self.line_limits: dict[str, int] = {}  # lines of each number called that has few
        self.busy_lines: dict[str, int] = {}  # lines in use of those numbers
        self.answers_lost = 0.0  # share of set-up answers that are lost
        self.on_heal: list[Callable[[], None]] = []  # run once when a region cut ends
        self.changed_groups: list[tuple[int, int]] = []  # by their ends, not yet reported
        self._report_scheduled = False

    def group(self, first: int, second: int) -> Group | None:
        """The trunk group between two exchanges, or None."""
        return self.groups.get((first, second) if first < second else (second, first))

    def add_group(self, first: int, second: int, size: int) -> None:
        """Adds a trunk group of `size` circuits between two exchanges."""
        ends = (first, second) if first < second else (second, first)
        self.groups[ends] = Group(ends, size)

    def take_circuits(self, first: int, second: int, width: int) -> bool:
        """Reserves `width` circuits between two exchanges; False where there are too few."""
        group = self.group(first, second)
        if group is None or group.free() < width:
            return False
        group.in_use += width
        self.schedule_report(group)
        return True

    def return_circuits(self, first: int, second: int, width: int) -> None:
        """Returns `width` circuits to the trunk group between two exchanges."""
        group = self.group(first, second)
        if group is not None:
            group.in_use -= width
            assert group.in_use >= 0, f"trunk group {group.ends}: more circuits returned than were taken"
            self.schedule_report(group)

    def schedule_report(self, group: Group) -> None:
        """Schedules a report of `group` to the agents at both ends, 20 ms later."""
        self.changed_groups.append(group.ends)
        if not self._report_scheduled:
            self._report_scheduled = True
            self.kernel.call_at(self.kernel.now() + 20_000_000, self.report_changes)

    def report_changes(self) -> None:
        """Each exchange reports the groups changed since the last report to its own agent, in one go."""
        self._report_scheduled = False
        changed, self.changed_groups = sorted(set(self.changed_groups)), []
        groups_by_exchange: dict[int, list[Group]] = {}
        for ends in changed:
            for end in ends:
                groups_by_exchange.setdefault(end, []).append(self.groups[ends])
        for number, groups in groups_by_exchange.items():
            if number in self.exchanges:
                self.exchanges[number].report_groups(groups)

    def reachable(self, first: int, second: int) -> bool:
        """Whether two exchanges can reach each other across the regions that are cut off."""
        first_region, second_region = self.regions.get(first, ""), self.regions.get(second, "")
        return first_region == second_region or (
            first_region not in self.cut_regions and second_region not in self.cut_regions
        )

    def heal(self) -> None:
        """Delivers, at the end of a region cut, what was held back during it."""
        callbacks, self.on_heal = self.on_heal, []
        for callback in callbacks:
            callback()

    def take_line(self, number: str) -> bool:
        """Occupies a line of `number`; False where all are busy. Numbers without an entry have enough."""
        limit = self.line_limits.get(number)
        if limit is None:
            return True
        if self.busy_lines.get(number, 0) >= limit:
            return False
        self.busy_lines[number] = self.busy_lines.get(number, 0) + 1
        return True

    def free_line(self, number: str) -> None:
        """Frees a line of `number`."""
        if number in self.line_limits:
            self.busy_lines[number] = max(0, self.busy_lines.get(number, 0) - 1)

    def leaks(self) -> int:
        """How many circuits the groups count as taken and no call holds, or the other way round."""
        held: dict[tuple[int, int], int] = {}
        for exchange in self.exchanges.values():
            for ends, width in exchange.circuits_in_use():
                held[ends] = held.get(ends, 0) + width
        return sum(abs(group.in_use - held.get(ends, 0)) for ends, group in self.groups.items())


@dataclass(slots=True)
class SocketFaults:
    """Faults of one exchange's sockets that are active now; shares from 0 to 1."""

    mute: bool = False  # accepts and reads, and sends nothing
    stall: bool = False  # reads nothing, so the receive window closes
    single_bytes: bool = False  # writes one byte at a time
    double_replies: float = 0.0  # share of replies sent twice
    late_replies: int = 0  # nanoseconds by which replies are delayed
    garble: float = 0.0  # share of messages with one byte changed
    reset_setups: float = 0.0  # share of set-ups that reset the connection
