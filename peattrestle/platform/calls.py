"""A call as the platform's call agent holds it: its set-up request, its caller, and what its answer needs."""

from __future__ import annotations

from dataclasses import dataclass, replace

from peattrestle.calls.core import Call
from peattrestle.exchangeline import lines
from peattrestle.platform import memory
from peattrestle.platform.connections import Caller
from peattrestle.platform.link import LinkTry
from peattrestle.platform.request import SetUpRequest


@dataclass(slots=True, kw_only=True)
class SipCall(Call[LinkTry]):
    """A call set up by SIP.

    `caller` is the connection of its set-up, possibly closed, and None once the call is over. `fields` are
    the header fields of the set-up and `description` the exchange's body, both for the answer. `answered`:
    the final answer was sent. `was_sent`: an exchange was sent a set-up. `held_bytes` is the memory that the
    call counts for.
    """

    request: SetUpRequest
    caller: Caller | None
    fields: dict[str, str]
    description: str = ""
    release_cause: int = lines.NORMAL  # Q.850 cause given by the caller
    answered: bool = False
    was_sent: bool = False
    held_bytes: int = 0

    def keep_only_release(self) -> int:
        """Drops what an answered call needed for its set-up and its answer; returns the bytes freed."""
        freed = self.held_bytes - memory.ESTABLISHED_CALL_SIZE
        self.fields, self.description = {}, ""
        self.request = replace(self.request, description=b"")
        self.held_bytes = memory.ESTABLISHED_CALL_SIZE
        return freed
