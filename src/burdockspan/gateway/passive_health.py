"""What a VM's own requests tell of endpoints whose health looks good."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

from burdockspan.values.placement import FailureKind

# Evidence halves in this time, so that an endpoint that has recovered gets
# work again soon.
_HALF_LIFE_S = 2.0
# Beyond this weight an endpoint is used only if there is no other.
SUSPECT_WEIGHT = 0.7
# A connection that cannot be opened, or an answer that never comes, costs a
# request its time limit; a refusal costs a round trip.
_WEIGHT_BY_KIND: Mapping[FailureKind, float] = {
    FailureKind.NOT_CONNECTED: 2.0,
    FailureKind.UNRESPONSIVE: 1.5,
    FailureKind.CONNECTION_LOST: 0.6,
    FailureKind.ENDPOINT_ERROR: 0.5,
    FailureKind.LEAVING: 4.0,
}
# An answer of the endpoint that reports a failure; plain services send some
# of these for reasons of their own.
FAILED_RESPONSE_WEIGHT = 0.3
# A generation that was refused by an engine that had reserved memory for it;
# two of these make a suspect.
REFUSED_GENERATION_WEIGHT = 0.5
# A prefill engine that refuses a prompt is changing its stage or leaving, for
# seconds.
REFUSED_PROMPT_WEIGHT = 2.0
# An engine that has been ordered to change takes no work for seconds.
STAGE_ORDER_WEIGHT = 5.0
_SUCCESS_FACTOR = 0.7


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """Weight of the evidence against an endpoint at a moment."""

    weight: float = 0.0
    at_s: float = 0.0


def failure_weight(kind: FailureKind) -> float:
    """Returns the weight of a failure of a call."""
    return _WEIGHT_BY_KIND.get(kind, 0.0)


def current_weight(suspicion: Suspicion | None, now_s: float) -> float:
    """Returns the weight that is left at `now_s`."""
    if suspicion is None:
        return 0.0
    age_s = max(0.0, now_s - suspicion.at_s)
    return suspicion.weight * math.pow(0.5, age_s / _HALF_LIFE_S)


def add_failure(
    suspicion: Suspicion | None, weight: float, now_s: float
) -> Suspicion:
    """Returns the evidence after a failure."""
    return Suspicion(current_weight(suspicion, now_s) + weight, now_s)


def add_success(suspicion: Suspicion | None, now_s: float) -> Suspicion:
    """Returns the evidence after an endpoint did its part."""
    return Suspicion(current_weight(suspicion, now_s) * _SUCCESS_FACTOR, now_s)


__all__ = [
    "FAILED_RESPONSE_WEIGHT",
    "STAGE_ORDER_WEIGHT",
    "REFUSED_GENERATION_WEIGHT",
    "REFUSED_PROMPT_WEIGHT",
    "SUSPECT_WEIGHT",
    "Suspicion",
    "add_failure",
    "add_success",
    "current_weight",
    "failure_weight",
]
