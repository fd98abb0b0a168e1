"""Passive health checks: suspicion against endpoints from request outcomes.

Each failed request at an endpoint adds a weight to the suspicion against the
endpoint. The suspicion decays exponentially.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

from burdockspan.values.placement import FailureKind

# Short, so that an endpoint that has recovered receives requests again soon.
_HALF_LIFE_S = 2.0
# From this weight on, an endpoint ranks behind all others.
SUSPECT_WEIGHT = 0.7
# A connection that cannot be opened, or a response that never arrives, delays a
# request by a timeout. A refusal delays the request only by a round trip, so
# refusals are not in this table.
_WEIGHT_BY_KIND: Mapping[FailureKind, float] = {
    FailureKind.NOT_CONNECTED: 2.0,
    FailureKind.UNRESPONSIVE: 1.5,
    FailureKind.CONNECTION_LOST: 0.6,
    FailureKind.ENDPOINT_ERROR: 0.5,
    FailureKind.LEAVING: 4.0,
}
# A 5xx response. The weight is small, since plain services also send 5xx for
# reasons that do not concern their health.
FAILED_RESPONSE_WEIGHT = 0.3
# A decode engine refused a generation that it had reserved memory for. Two such
# refusals reach SUSPECT_WEIGHT.
REFUSED_GENERATION_WEIGHT = 0.5
# A prefill engine that refuses a prompt is changing its stage or leaving, which
# takes seconds.
REFUSED_PROMPT_WEIGHT = 2.0
# An engine accepts no work for some seconds after an order to change its stage.
STAGE_ORDER_WEIGHT = 5.0
# An endpoint has been silent for longer than its requests usually take, and the
# request waits on. The weight is reached once, not added by each request: many
# requests may wait at an endpoint that is silent for a second.
SILENCE_WEIGHT = 1.5
# Limit of the weight that silences add up to, so that an endpoint that was
# silent once for a second is not avoided for long.
_MAX_SILENCES_WEIGHT = 3.0
# A success multiplies the weight by this factor.
_SUCCESS_FACTOR = 0.7


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """Suspicion against an endpoint.

    Attributes:
      weight: weight at the last update.
      updated_s: time of the last update, in monotonic seconds.
    """

    weight: float = 0.0
    updated_s: float = 0.0


def failure_weight(kind: FailureKind) -> float:
    """Returns the weight that a failure of a kind adds; 0 if none."""
    return _WEIGHT_BY_KIND.get(kind, 0.0)


def current_weight(suspicion: Suspicion | None, now_s: float) -> float:
    """Returns the weight at `now_s`, after its decay."""
    if suspicion is None:
        return 0.0
    age_s = max(0.0, now_s - suspicion.updated_s)
    return suspicion.weight * math.pow(0.5, age_s / _HALF_LIFE_S)


def add_failure(
    suspicion: Suspicion | None, weight: float, now_s: float
) -> Suspicion:
    """Returns the suspicion after a failure."""
    return Suspicion(current_weight(suspicion, now_s) + weight, now_s)


def add_silence(
    suspicion: Suspicion | None, now_s: float, was_left: bool
) -> Suspicion:
    """Returns the suspicion after a silence.

    Args:
      suspicion: suspicion before; None if there was none.
      now_s: the present time, in monotonic seconds.
      was_left: whether a request left the endpoint because of it.
    """
    current = current_weight(suspicion, now_s)
    added = current + SILENCE_WEIGHT if was_left else SILENCE_WEIGHT
    return Suspicion(max(current, min(added, _MAX_SILENCES_WEIGHT)), now_s)


def add_success(suspicion: Suspicion | None, now_s: float) -> Suspicion:
    """Returns the suspicion after a success."""
    return Suspicion(current_weight(suspicion, now_s) * _SUCCESS_FACTOR, now_s)


__all__ = [
    "FAILED_RESPONSE_WEIGHT",
    "REFUSED_GENERATION_WEIGHT",
    "REFUSED_PROMPT_WEIGHT",
    "SILENCE_WEIGHT",
    "STAGE_ORDER_WEIGHT",
    "SUSPECT_WEIGHT",
    "Suspicion",
    "add_failure",
    "add_silence",
    "add_success",
    "current_weight",
    "failure_weight",
]
