"""The record of the traffic: what the sockets of the simulated surroundings received and sent, in order.

The judge reads nothing else. `kind` determines which fields of a row are used.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Row:
    """One event, at `at` nanoseconds.

    `place`: the part that saw it ('gateway 3', the name of an exchange, 'list'). `agent`: the name of the
    agent. The kinds are:

    - asked: a set-up was sent to an agent; `value` is its abandon time
    - repeated: the same set-up was sent again
    - answered: a final answer came; `code` is 0, or that of the refusal
    - subtracted: a release was sent
    - confirmed: the reply to that release came
    - dropped: a call ended without an answer: its connection was lost, or the agent could not read it
    - cut: an established call was cut
    - add: a set-up of an agent came
    - replied: it was answered
    - freed: a release (Subtract) of an agent came
    - lost: a connection to an agent ended
    - told: an agent was sent the state of an exchange
    - killed: an agent was killed
    - fell: a cold processor failed under load; `value` is its start, `text` lists '<agent>@<time>' of set-ups
    - pressure: load of a cold processor; `code` is the peak in thousandths of the limit, `value` the set-ups
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
    """Collects the rows of a rehearsal."""

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
        """Adds a row."""
        self.rows.append(Row(at, kind, place, agent, termination, reference, code, value, text))
