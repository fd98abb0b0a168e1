"""Runs many random histories of a node and checks its invariants.

    python -m bench.node_histories --histories 10000 --seed 1

Prints the number of histories, steps and violations, and exits with 1 when
there is a violation.
"""

from __future__ import annotations

import argparse
import collections
import random
import sys

from result import UnwrapError

from tests.support.node_driver import ViolationError
from tests.support.node_history import History


def main() -> int:
    """Runs the histories and prints the counts."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--histories", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    counts: collections.Counter[str] = collections.Counter()
    violations = 0
    for number in range(options.histories):
        rng = random.Random(f"{options.seed}:{number}")
        history = History(rng.randrange)
        try:
            history.run()
        except (ViolationError, KeyError, UnwrapError) as error:
            violations += 1
            print(f"history {options.seed}:{number}: {error!r}")
        counts.update(history.counts)
    steps = ", ".join(
        f"{count} {name}" for name, count in sorted(counts.items())
    )
    print(
        f"{options.histories} histories, seed {options.seed}, {steps}; "
        f"{violations} violations"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
