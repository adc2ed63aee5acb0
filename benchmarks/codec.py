"""Messages a second of the codec, beside a grammar library that reads the same messages.

    python benchmarks/codec.py

The library (lark, LALR, its own lexer) gets a grammar of the one shape that the text encoding has, and builds
a bare tree: less than our parser does, which also checks names, descriptors and places.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from lark import Lark

from peattrestle.h248 import package, text
from peattrestle.h248.package import Outcome, SetUpAsked

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
ASKED = SetUpAsked(
    "t/a3/193f/1017/0", "reel-render", 57, 3_600_000_000, "dn.k2", transit=True, reference="g3/44", origin=3
)
OUTCOME = Outcome(0, "9001", load={"free": 12, "size": 30, "queue": 3, "rate": 120.5})


def best(action: Callable[[], object], times: int = 3000) -> float:
    """Seconds for one, the best of five rounds."""
    rounds = []
    for _ in range(5):
        started = time.perf_counter()
        for _ in range(times):
            action()
        rounds.append((time.perf_counter() - started) / times)
    return min(rounds)


def main() -> None:
    add = b"MEGACO/1 <a3>\n" + package.add_text(1017, ASKED).encode()
    reply = b"MEGACO/1 <x57>\n" + package.outcome_text(1017, ASKED.termination, OUTCOME).encode()
    lark = Lark(GRAMMAR, parser="lalr", lexer="basic")
    for name, message in (("set-up", add), ("reply", reply)):
        ours = best(lambda message=message: text.parse(message))  # type: ignore[misc]
        theirs = best(lambda message=message: lark.parse(message.decode()), 300)  # type: ignore[misc]
        print(
            f"parse {name:7} {len(message):4} bytes  {1 / ours:8.0f}/s   by the grammar library "
            f"{1 / theirs:6.0f}/s, {theirs / ours:.1f} times the cost"
        )
    written = best(lambda: package.add_text(1017, ASKED))
    print(f"write set-up        {1 / written:8.0f}/s")


if __name__ == "__main__":
    main()
