"""Runs many random histories of the claim protocol.

    python -m bench.claims_histories --histories 10000 --seed 1

Prints the number of histories and of violations, and exits with 1 when there
is a violation.
"""

from __future__ import annotations

import argparse
import collections
import random
import sys

from bench.claims_model import run_history


def main() -> int:
    """Runs the histories and prints the counts."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--histories", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    counts: collections.Counter[str] = collections.Counter()
    for number in range(options.histories):
        rng = random.Random(f"{options.seed}:{number}")
        result = run_history(rng.randrange)
        counts["dispatched"] += bool(result.dispatches)
        counts["told not_run"] += bool(result.not_run)
        counts["losses"] += bool(result.losses)
        for violation in result.violations:
            counts["violations"] += 1
            print(f"history {options.seed}:{number}: {violation}")
    print(
        f"{options.histories} histories, seed {options.seed}, "
        f"{counts['dispatched']} with a dispatch, "
        f"{counts['told not_run']} with a claim holder's not_run, "
        f"{counts['losses']} with lost writes, "
        f"{counts['violations']} violations"
    )
    return 1 if counts["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
