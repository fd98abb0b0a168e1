"""Runs many random histories of configurations and endpoint reports.

    python -m bench.document_histories --histories 10000 --seed 1

Prints the number of histories and of violations, and exits with 1 when there
is a violation.
"""

from __future__ import annotations

import argparse
import collections
import random
import sys

from bench.document_model import run_history

_COUNT_NAMES = (
    "accepted",
    "activated",
    "losses",
    "restarts",
    "late_starts",
    "placed",
    "refused",
)


def main() -> int:
    """Runs the histories and prints the counts."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--histories", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    totals: collections.Counter[str] = collections.Counter()
    for number in range(options.histories):
        rng = random.Random(f"{options.seed}:{number}")
        counts = run_history(rng.randrange)
        for name in _COUNT_NAMES:
            totals[name] += getattr(counts, name)
        for violation in counts.violations:
            totals["violations"] += 1
            print(f"history {options.seed}:{number}: {violation}")
    figures = ", ".join(
        f"{totals[name]} {name.replace('_', ' ')}" for name in _COUNT_NAMES
    )
    print(
        f"{options.histories} histories, seed {options.seed}, {figures}, "
        f"{totals['violations']} violations"
    )
    return 1 if totals["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
