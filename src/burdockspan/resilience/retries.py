"""Retry budget of one node."""

from __future__ import annotations

import dataclasses

from result import Err, Ok, Result


@dataclasses.dataclass(frozen=True)
class Budget:
    """Retry budget, a token bucket that accepted calls fill.

    Attributes:
      tokens: retries that may still be made, at most `burst`.
      ratio: tokens added by each accepted call.
      burst: capacity of the bucket.
      last_spent_s: time of the last retry, monotonic seconds.
    """

    tokens: float
    ratio: float
    burst: float
    last_spent_s: float = float("-inf")


@dataclasses.dataclass(frozen=True)
class Exhausted:
    """The budget has no retry left.

    Attributes:
      since_last_retry_s: time since the last retry.
    """

    since_last_retry_s: float


def make_budget(ratio: float, burst: float) -> Budget:
    """Returns a full budget."""
    return Budget(burst, ratio, burst)


def earn(budget: Budget) -> Budget:
    """Returns the budget with the tokens of one accepted call added."""
    tokens = min(budget.burst, budget.tokens + budget.ratio)
    return dataclasses.replace(budget, tokens=tokens)


def spend(budget: Budget, now_s: float) -> Result[Budget, Exhausted]:
    """Takes the token for one retry; returns `Exhausted` if there is none."""
    if budget.tokens < 1.0:
        return Err(Exhausted(now_s - budget.last_spent_s))
    return Ok(
        dataclasses.replace(
            budget, tokens=budget.tokens - 1.0, last_spent_s=now_s
        )
    )


__all__ = ["Budget", "Exhausted", "earn", "make_budget", "spend"]
