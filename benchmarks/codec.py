"""Messages a second of the H.248 codec, compared with a grammar library that parses the same messages.

    python benchmarks/codec.py

The library (lark, LALR, its own lexer) gets a grammar of the general form of the text encoding and builds a
bare tree. The codec's parser does more: it also checks names, descriptors and their positions.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from lark import Lark

from peattrestle.h248 import package, text
from peattrestle.h248.package import Outcome, SetUpRequest

GRAMMAR = r"""
start: "MEGACO/1" WORD item+
item: WORD ("=" value)? ("{" [entry ("," entry)*] "}")?
entry: item | QUOTED
value: WORD | QUOTED
QUOTED: /"[^"]*"/
WORD: /[A-Za-z0-9+\-&!_\/'?@^`~*$\\()%|.:<>]+/
%import common.WS
%ignore WS
"""
SET_UP = SetUpRequest(
    "t/a3/193f/1017/0", "reel-render", 57, 3_600_000_000, "dn.k2", transit=True, reference="g3/44", origin=3
)
OUTCOME = Outcome(0, "9001", load={"free": 12, "size": 30, "queue": 3, "rate": 120.5})


def best_seconds(function: Callable[[], object], repetitions: int = 3000) -> float:
    """Returns the seconds for one call of `function`: the best of five rounds' means."""
    rounds = []
    for _ in range(5):
        started = time.perf_counter()
        for _ in range(repetitions):
            function()
        rounds.append((time.perf_counter() - started) / repetitions)
    return min(rounds)


def main() -> None:
    add = b"MEGACO/1 <a3>\n" + package.add_text(1017, SET_UP).encode()
    reply = b"MEGACO/1 <x57>\n" + package.outcome_text(1017, SET_UP.termination, OUTCOME).encode()
    lark = Lark(GRAMMAR, parser="lalr", lexer="basic")
    for name, message in (("set-up", add), ("reply", reply)):
        parser_seconds = best_seconds(lambda message=message: text.parse(message))  # type: ignore[misc]
        lark_seconds = best_seconds(lambda message=message: lark.parse(message.decode()), 300)  # type: ignore[misc]
        print(
            f"parse {name:7} {len(message):4} bytes  {1 / parser_seconds:8.0f}/s   by the grammar library "
            f"{1 / lark_seconds:6.0f}/s, {lark_seconds / parser_seconds:.1f} times the cost"
        )
    write_seconds = best_seconds(lambda: package.add_text(1017, SET_UP))
    print(f"write set-up        {1 / write_seconds:8.0f}/s")


if __name__ == "__main__":
    main()
