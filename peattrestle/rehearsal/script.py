"""A rehearsal's script in HCL: fleet, callers, load, troubles and their times, what must hold."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from peattrestle.settings import schema
from peattrestle.settings.agent import Rules
from peattrestle.settings.hcl import Block, Fault, read_file

KINDS = (
    "silent",
    "hang",
    "slow",
    "ageing",
    "answers_lost",
    "resets",
    "region_cut",
    "circuits_lost",
    "cut_calls",
    "replace",
    "kill_agent",
    "hot_number",
    "surge",
    "early_leavers",
    "mute",
    "stall",
    "single_bytes",
    "late_replies",
    "double_replies",
    "garble",
    "gateway_reset",
    "list_gone",
    "garbage",
    "repeats",
    "reconnect",
    "flood",
)


@dataclass(frozen=True, kw_only=True)
class Fleet:
    exchanges: int = schema.whole(8, 2, 200, "exchanges, each with its agent and its gateway of callers")
    regions: tuple[str, ...] = schema.texts(
        ("north", "south"), (), "regions that the exchanges are dealt to in turn"
    )
    gateways: int = schema.whole(1, 1, 1000, "gateways of callers at each exchange, which share its calls")
    calls_a_second: float = schema.number(
        10.0, 0.01, 1000, "calls a second that start at each exchange, at plan"
    )
    busy: float = schema.number(0.75, 0.01, 1.5, "share of a processor that the plan keeps busy")
    no_group: float = schema.number(0.15, 0, 0.9, "share of the pairs, the thinnest, that have no group")
    spare: float = schema.number(1.2, 0.5, 10, "circuits of a group over those that the plan keeps busy")
    wait_limit: int = schema.duration(
        "2s", "1ms", "1min", "a processor with a longer wait turns set-ups away"
    )
    registry: bool = schema.flag(False, "the exchange list is kept in a key-value registry")
    urgent_first: bool = schema.flag(True, "answers and releases go ahead of new set-ups")
    list_late_least: int = schema.duration("500ms", "0ms", "1min", "the list's news comes at least this late")
    list_late_most: int = schema.duration("2500ms", "0ms", "1min", "and at most this late")


@dataclass(frozen=True, kw_only=True)
class Bearer:
    label: str = schema.name("", "the bearer type's name")
    share: float = schema.number(1.0, 0, 1000, "weight among the bearer types")
    gos_target: int = schema.duration("1500ms", "1ms", "10min", "a call should stand within this")
    abandon_time: int = schema.duration("9s", "1ms", "1h", "callers give up after this, from their first try")
    holding: int = schema.duration("10s", "1ms", "1h", "mean length of a call")
    revenue: float = schema.number(1.0, 0, 1e9, "revenue of a call within the GoS target")
    late_revenue: float = schema.number(0.1, 0, 1, "share of it for one that stands later")


@dataclass(frozen=True, kw_only=True)
class Callers:
    patience_least: float = schema.number(
        0.3, 0.01, 1, "a try is given up after this share of the abandon time"
    )
    patience_most: float = schema.number(0.4, 0.01, 1, "or up to this share")
    redials: int = schema.whole(2, 0, 100, "further tries of a caller")
    redial_least: int = schema.duration("300ms", "0ms", "10min", "shortest wait before a caller dials again")
    redial_most: int = schema.duration("1200ms", "0ms", "10min", "longest such wait")
    honours: float = schema.number(0.7, 0, 1, "share of refusals whose come-back time is kept to")
    marks: bool = schema.flag(True, "further tries are marked")
    follows: bool = schema.flag(True, "gateways keep to notices of the rate they may offer")
    avalanche: bool = schema.flag(True, "gateways spread their restarts over the delay told them")
    restart_least: int = schema.duration("50ms", "0ms", "10min", "shortest wait of a gateway cut off")
    restart_most: int = schema.duration("250ms", "0ms", "10min", "longest such wait, beside the spreading")


@dataclass(frozen=True, kw_only=True)
class Load:
    at: int = schema.duration("0ms", "0ms", "24h", "from this time on")
    level: float = schema.number(1.0, 0, 100, "calls offered, as a multiple of the plan")


@dataclass(frozen=True, kw_only=True)
class Trouble:
    label: str = schema.text("", "a name for the report")
    kind: str = schema.choice(schema.REQUIRED, KINDS, "what happens")
    at: int = schema.duration(schema.REQUIRED, "0ms", "24h", "when it begins")
    length: int = schema.duration("5s", "0ms", "24h", "how long it lasts")
    who: tuple[int, ...] = schema.wholes((), 0, 1000, "numbers of the exchanges concerned; empty: drawn")
    share: float = schema.number(0.15, 0, 1, "share of the exchanges drawn where `who` is empty")
    figure: float = schema.number(
        0.3, 0, 1000, "how much: a share, or a multiple; docs/running.md has the table"
    )
    region: str = schema.text("", "the region concerned; empty: drawn")


@dataclass(frozen=True, kw_only=True)
class Must:
    service_least: float = schema.number(0.0, 0, 1, "revenue earned over revenue offered")
    counts_equal: bool = schema.flag(True, "callers' own counts equal those of every agent never killed")
    no_leaks: bool = schema.flag(True, "no circuit is taken that no call accounts for")
    back_to: float = schema.number(0.0, 0, 1, "share of the service before the first trouble to come back to")
    back_within: int = schema.duration("30s", "1s", "1h", "and how soon after the last trouble has ended")
    storms: tuple[str, ...] = schema.texts((), (), "kinds of storm that some agent must have seen")
    no_storms: tuple[str, ...] = schema.texts((), (), "kinds that no agent may have seen")
    pressed_most: float = schema.number(
        0.0, 0, 100, "set-ups in a second to any exchange over what it can do; 0: not judged"
    )


@dataclass(frozen=True, kw_only=True)
class Script:
    base: str = schema.text("", "another script, beside this one, for what is not set here")
    title: str = schema.text("rehearsal", "the report's heading")
    seed: int = schema.whole(1, 0, 1 << 62, "seed of all chance")
    kernel: str = schema.choice("virtual", ("virtual", "epoll"), "where it is played by default")
    length: int = schema.duration("30s", "1s", "24h", "calls are offered for so long")
    calls: int = schema.whole(0, 0, 10_000_000, "no more calls than this are offered; 0: as many as come")
    fleet: Fleet = schema.block(Fleet, "the exchanges")
    callers: Callers = schema.block(Callers, "callers' habits")
    rules: Rules = schema.block(Rules, "figures of the rules")
    must: Must = schema.block(Must, "what must hold beside the rules")
    bearer: tuple[Bearer, ...] = schema.blocks(Bearer, "bearer types", least=1)
    load: tuple[Load, ...] = schema.blocks(Load, "the load curve")
    trouble: tuple[Trouble, ...] = schema.blocks(Trouble, "what goes wrong")


MERGED = ("fleet", "callers", "rules", "must")


def lay_over(base: Block, top: Block) -> None:
    """What the base sets and the script does not. The blocks of one kind are taken all from one of them, but
    for those that stand once: their settings one by one."""
    own = {one.name for one in top.attributes}
    top.attributes += [one for one in base.attributes if one.name not in own]
    kinds = {one.name: one for one in top.blocks}
    for block in base.blocks:
        over = kinds.get(block.name)
        if over is None:
            top.blocks.append(block)
        elif block.name in MERGED:
            lay_over(block, over)


def load(path: str) -> tuple[Script | None, list[Fault]]:
    """The script, laid over its base where it names one; a base has none of its own."""
    top, faults = read_file(path)
    if faults:
        return None, faults
    named = next((one for one in top.attributes if one.name == "base"), None)
    if named is not None and isinstance(named.value, str) and named.value:
        beside = str(Path(path).parent / named.value)
        base, faults = read_file(beside)
        if not faults and any(one.name == "base" for one in base.attributes):
            faults = [Fault(beside, 1, "is a base, and names one itself")]
        if not faults:
            faults = schema.check(Script, base, beside)[1]
        if faults:
            return None, faults
        lay_over(base, top)
    script, faults = schema.check(Script, top, path)
    if script is None:
        return None, faults
    for one, block in zip(script.trouble, [one for one in top.blocks if one.name == "trouble"], strict=True):
        if any(number >= script.fleet.exchanges for number in one.who):
            faults.append(Fault(path, block.line, f"who: numbers go from 0 to {script.fleet.exchanges - 1}"))
        if one.region and one.region not in script.fleet.regions:
            faults.append(
                Fault(path, block.line, f"region '{one.region}' is none of {', '.join(script.fleet.regions)}")
            )
    return (None, faults) if faults else (script, [])
