"""Divides the memory limit of the process among what peers can make the agent hold.

The platform kills a process that exceeds `limits.memory_mb`. What the program needs by itself is known at its
start; fixed shares of the rest bound what peers add. A count alone would not bound memory, since a message
has up to 16 KiB. Sizes are bytes.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

MIB = 1_048_576
DEFAULT_RESIDENT = 20 * MIB  # where the system does not tell
MIN_DIVISIBLE = 2 * MIB  # with a limit that the program itself nearly reaches
CONNECTION_SIZE = 4_096  # objects of one connection, without buffers
OPEN_CALL_SIZE = 2_560  # objects of one call, with the controller's, the guard's and the kernel's
ESTABLISHED_CALL_SIZE = 1_280
CALL_ID_SIZE = 256  # one remembered Call-ID
RELEASE_SIZE = 768  # one release that is owed, or that came before its call was known
UNSERVED_TRY_SIZE = 640  # what the retry detection keeps of one unserved call
USABLE_SHARE = 0.6  # the rest is for fragmentation and for what lives only within one turn


def resident_bytes() -> int:
    """Returns the resident memory of this process, or `DEFAULT_RESIDENT` if it cannot be read."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return DEFAULT_RESIDENT
    return pages * os.sysconf("SC_PAGE_SIZE")


@dataclass(slots=True, frozen=True)
class MemoryPlan:
    """The bounds that follow from a memory limit.

    `calls` are the bytes for all calls; `adopted_calls` is the number of those that callers only named as
    established, half of that room, so that they leave the other half to new calls. `buffers` are the bytes
    received or written on callers' connections that are not processed or sent yet. `call_ids` is the number
    of Call-IDs remembered, `unserved_tries` that of calls kept by the retry detection, `releases` that of
    releases owed to callers, of those owed to all exchanges, and of those for calls not yet known, each.
    """

    calls: int
    adopted_calls: int
    buffers: int
    call_ids: int
    unserved_tries: int
    releases: int


def plan_memory(limit: int, resident: int, connections: int) -> MemoryPlan:
    """Returns the bounds for a process that has `resident` bytes in use before it serves anyone.

    `connections` is the limit of callers' connections.
    """
    usable = limit - resident - connections * CONNECTION_SIZE
    divisible = round(max(usable, MIN_DIVISIBLE) * USABLE_SHARE)
    calls = divisible // 2
    return MemoryPlan(
        calls=calls,
        adopted_calls=calls // 2 // ESTABLISHED_CALL_SIZE,
        buffers=divisible // 4,
        call_ids=divisible // 16 // CALL_ID_SIZE,
        unserved_tries=divisible // 16 // UNSERVED_TRY_SIZE,
        releases=divisible // 24 // RELEASE_SIZE,
    )
