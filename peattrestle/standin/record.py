"""The record of the traffic: what was seen at the sockets of the stand-ins, in its order.

The judge reads nothing else. Rows are plain; `kind` says which fields count.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Row:
    """`place`: the stand-in that saw it ('gateway 3', an exchange's name, 'list'). `agent`: the agent's name.

    kinds: asked, repeated, answered, subtracted, confirmed (the reply to a caller's Subtract), dropped (a
    caller's call ended with its connection), cut, add, replied, freed (a Subtract came), lost (a connection
    to an agent ended), told, killed, fell, pressure.
    """

    at: int
    kind: str
    place: str
    agent: str
    termination: str = ""
    reference: str = ""
    code: int = 0
    value: int = 0
    text: str = ""


class Record:
    def __init__(self) -> None:
        self.rows: list[Row] = []

    def add(
        self,
        at: int,
        kind: str,
        place: str,
        agent: str,
        termination: str = "",
        reference: str = "",
        code: int = 0,
        value: int = 0,
        text: str = "",
    ) -> None:
        self.rows.append(Row(at, kind, place, agent, termination, reference, code, value, text))
