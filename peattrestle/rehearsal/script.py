"""The script of a rehearsal, in HCL: exchanges, callers, load, troubles, and what must hold."""

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
    """The exchanges, their gateways and their trunk groups. Durations in nanoseconds, here and below."""

    exchanges: int = schema.integer(8, 2, 200, "exchanges, each with its agent and its gateway of callers")
    regions: tuple[str, ...] = schema.strings(
        ("north", "south"), (), "regions, to which the exchanges are assigned in turn"
    )
    gateways: int = schema.integer(1, 1, 1000, "gateways of callers at each exchange, which share its calls")
    calls_a_second: float = schema.number(
        10.0, 0.01, 1000, "calls a second that start at each exchange, as planned"
    )
    busy: float = schema.number(0.75, 0.01, 1.5, "share of a processor that the plan keeps busy")
    no_group: float = schema.number(
        0.15, 0, 0.9, "share of the pairs, those with the least traffic, that have no group"
    )
    spare: float = schema.number(
        1.2, 0.5, 10, "circuits of a group, as a multiple of those that the plan keeps busy"
    )
    wait_limit: int = schema.duration(
        "2s", "1ms", "1min", "a processor with a longer wait turns set-ups away"
    )
    registry: bool = schema.flag(False, "the exchange list is kept in a key-value registry")
    urgent_first: bool = schema.flag(True, "answers and releases go ahead of new set-ups")
    list_late_least: int = schema.duration(
        "500ms", "0ms", "1min", "agents learn of a change of the list at least this late"
    )
    list_late_most: int = schema.duration("2500ms", "0ms", "1min", "and at most this late")


@dataclass(frozen=True, kw_only=True)
class Bearer:
    """A bearer type, its traffic and its revenue."""

    label: str = schema.name("", "the bearer type's name")
    share: float = schema.number(1.0, 0, 1000, "weight among the bearer types")
    gos_target: int = schema.duration("1500ms", "1ms", "10min", "a call should be established within this")
    abandon_time: int = schema.duration("9s", "1ms", "1h", "callers give up after this, from their first try")
    holding: int = schema.duration("10s", "1ms", "1h", "mean length of a call")
    revenue: float = schema.number(1.0, 0, 1e9, "revenue of a call within the GoS target")
    late_revenue: float = schema.number(0.1, 0, 1, "share of it for a call established later")


@dataclass(frozen=True, kw_only=True)
class Callers:
    """Behaviour of callers and gateways."""

    patience_least: float = schema.number(
        0.3, 0.01, 1, "a try is given up after this share of the abandon time"
    )
    patience_most: float = schema.number(0.4, 0.01, 1, "or up to this share")
    redials: int = schema.integer(2, 0, 100, "further tries of a caller")
    redial_least: int = schema.duration("300ms", "0ms", "10min", "shortest wait before a caller dials again")
    redial_most: int = schema.duration("1200ms", "0ms", "10min", "longest such wait")
    honours: float = schema.number(0.7, 0, 1, "share of refusals whose come-back time is respected")
    marks: bool = schema.flag(True, "further tries are marked")
    follows: bool = schema.flag(True, "gateways respect notices of the rate they may offer")
    avalanche: bool = schema.flag(
        True, "gateways spread their restarts over the delay that the agent announces"
    )
    restart_least: int = schema.duration(
        "50ms", "0ms", "10min", "shortest wait of a gateway before it reconnects"
    )
    restart_most: int = schema.duration(
        "250ms", "0ms", "10min", "longest such wait, apart from the announced delay"
    )


@dataclass(frozen=True, kw_only=True)
class Load:
    """A step of the load curve."""

    at: int = schema.duration("0ms", "0ms", "24h", "from this time on")
    level: float = schema.number(1.0, 0, 100, "calls offered, as a multiple of the plan")


@dataclass(frozen=True, kw_only=True)
class Trouble:
    """A fault or a change of load, at a time of the script."""

    label: str = schema.text("", "a name for the report")
    kind: str = schema.choice(schema.REQUIRED, KINDS, "what happens")
    at: int = schema.duration(schema.REQUIRED, "0ms", "24h", "when it begins")
    length: int = schema.duration("5s", "0ms", "24h", "how long it lasts")
    who: tuple[int, ...] = schema.integers(
        (), 0, 1000, "numbers of the exchanges concerned; empty: chosen at random"
    )
    share: float = schema.number(0.15, 0, 1, "share of the exchanges chosen where `who` is empty")
    figure: float = schema.number(
        0.3, 0, 1000, "how much: a share, or a multiple; docs/running.md has the table"
    )
    region: str = schema.text("", "the region concerned; empty: chosen at random")


@dataclass(frozen=True, kw_only=True)
class Must:
    """Requirements beside the rules."""

    service_least: float = schema.number(0.0, 0, 1, "revenue earned over revenue offered")
    counts_equal: bool = schema.flag(True, "callers' own counts equal those of every agent never killed")
    no_leaks: bool = schema.flag(True, "no circuit is taken that no call accounts for")
    back_to: float = schema.number(0.0, 0, 1, "share of the service before the first trouble to come back to")
    back_within: int = schema.duration("30s", "1s", "1h", "and how soon after the last trouble has ended")
    storms: tuple[str, ...] = schema.strings((), (), "kinds of storm that some agent must have seen")
    no_storms: tuple[str, ...] = schema.strings((), (), "kinds that no agent may have seen")
    pressed_most: float = schema.number(
        0.0, 0, 100, "set-ups in a second to any exchange over its capacity; 0: not checked"
    )


@dataclass(frozen=True, kw_only=True)
class Script:
    """A script as read from its file."""

    base: str = schema.text("", "another script, beside this one, for what is not set here")
    title: str = schema.text("rehearsal", "the report's heading")
    seed: int = schema.integer(1, 0, 1 << 62, "seed of all random numbers")
    kernel: str = schema.choice("virtual", ("virtual", "epoll"), "the kernel it runs on by default")
    length: int = schema.duration("30s", "1s", "24h", "calls are offered for so long")
    calls: int = schema.integer(0, 0, 10_000_000, "no more calls than this are offered; 0: no limit")
    fleet: Fleet = schema.block(Fleet, "the exchanges")
    callers: Callers = schema.block(Callers, "behaviour of callers")
    rules: Rules = schema.block(Rules, "parameters of the rules")
    must: Must = schema.block(Must, "what must hold beside the rules")
    bearer: tuple[Bearer, ...] = schema.blocks(Bearer, "bearer types", min_count=1)
    load: tuple[Load, ...] = schema.blocks(Load, "the load curve")
    trouble: tuple[Trouble, ...] = schema.blocks(Trouble, "what goes wrong")


MERGED = ("fleet", "callers", "rules", "must")


def merge_base(base: Block, top: Block) -> None:
    """Adds to `top` what only `base` sets.

    Blocks of a kind are taken from one of the two, all or none; the settings of the blocks in `MERGED`, which
    occur once, are merged one by one.
    """
    names_set = {attribute.name for attribute in top.attributes}
    top.attributes += [attribute for attribute in base.attributes if attribute.name not in names_set]
    top_blocks = {block.name: block for block in top.blocks}
    for block in base.blocks:
        top_block = top_blocks.get(block.name)
        if top_block is None:
            top.blocks.append(block)
        elif block.name in MERGED:
            merge_base(block, top_block)


def load(path: str) -> tuple[Script | None, list[Fault]]:
    """Reads a script, merged with its base where it names one; a base must not name another.

    Returns the script, or None and the faults found.
    """
    top, faults = read_file(path)
    if faults:
        return None, faults
    base_name = next((attribute for attribute in top.attributes if attribute.name == "base"), None)
    if base_name is not None and isinstance(base_name.value, str) and base_name.value:
        base_path = str(Path(path).parent / base_name.value)
        base, faults = read_file(base_path)
        if not faults and any(attribute.name == "base" for attribute in base.attributes):
            faults = [Fault(base_path, 1, "is a base, and names one itself")]
        if not faults:
            faults = schema.check(Script, base, base_path)[1]
        if faults:
            return None, faults
        merge_base(base, top)
    script, faults = schema.check(Script, top, path)
    if script is None:
        return None, faults
    for trouble, block in zip(
        script.trouble, [block for block in top.blocks if block.name == "trouble"], strict=True
    ):
        if any(number >= script.fleet.exchanges for number in trouble.who):
            faults.append(Fault(path, block.line, f"who: numbers go from 0 to {script.fleet.exchanges - 1}"))
        if trouble.region and trouble.region not in script.fleet.regions:
            faults.append(
                Fault(
                    path,
                    block.line,
                    f"region '{trouble.region}' is none of {', '.join(script.fleet.regions)}",
                )
            )
    return (None, faults) if faults else (script, [])
