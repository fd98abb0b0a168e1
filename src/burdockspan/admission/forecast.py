"""Measured rates of a node and the waiting times derived from them."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

from burdockspan.admission.deadline import Forecast, wait_behind_s
from burdockspan.admission.queue import WaitingCall
from burdockspan.configuration.document import Service
from burdockspan.values.submission import Priority

# Time constant of the exponential decay.
_DECAY_S = 5.0
# `rate_per_s` scales up a rate the more, the shorter it has been measured. A
# rate measured for less than this time is scaled up as if for this time, which
# bounds the factor.
_MIN_AGE_S = 0.5


@dataclasses.dataclass(frozen=True)
class Rate:
    """Exponentially weighted moving average of a rate.

    Attributes:
      per_s: amount per second at `updated_s`.
      updated_s: time of the last recorded amount, monotonic seconds.
      started_s: start of the measurement, monotonic seconds. The average counts
        the time before the start as idle; `rate_per_s` makes up for this by
        scaling up the average of a new measurement.
    """

    per_s: float = 0.0
    updated_s: float = 0.0
    started_s: float = float("-inf")


def record_amount(rate: Rate, amount: float, now_s: float) -> Rate:
    """Returns the rate with one more amount recorded."""
    per_s = _decay(rate, now_s) + amount / _DECAY_S
    return dataclasses.replace(rate, per_s=per_s, updated_s=now_s)


def rate_per_s(rate: Rate, now_s: float) -> float:
    """Returns the rate at `now_s`; it decays after the last amount."""
    age_s = max(_MIN_AGE_S, now_s - rate.started_s)
    return _decay(rate, now_s) / (1.0 - math.exp(-age_s / _DECAY_S))


def _decay(rate: Rate, now_s: float) -> float:
    elapsed_s = max(0.0, now_s - rate.updated_s)
    return rate.per_s * math.exp(-elapsed_s / _DECAY_S)


@dataclasses.dataclass(frozen=True)
class Supply:
    """Decode memory that one node can grant.

    Attributes:
      free_pieces: expected free pieces for this node's calls.
      released_per_s: pieces per second that this node's calls release.
      urgent_per_s: pieces per second that arriving urgent calls need.
      overhead_s: network delays of one call.
    """

    free_pieces: int
    released_per_s: float
    urgent_per_s: float
    overhead_s: float


def make_forecast(
    waiting: Mapping[str, WaitingCall],
    service: Service,
    supply: Supply,
    patient_share: float,
) -> Forecast:
    """Returns the forecast for one service at this node.

    Args:
      waiting: calls that wait at this node.
      service: speeds of the engines.
      supply: memory that this node can grant.
      patient_share: minimum share of grants for patient calls.
    """
    released_per_s = supply.released_per_s
    urgent = _waiting_pieces(waiting, Priority.URGENT)
    patient = _waiting_pieces(waiting, Priority.PATIENT)
    patient_per_s = max(
        released_per_s * patient_share, released_per_s - supply.urgent_per_s
    )
    rates = Forecast(
        pieces_per_s=released_per_s,
        free_pieces=supply.free_pieces,
        # A call joins the running batch only at the engine's next step, up to
        # one token gap later.
        overhead_s=supply.overhead_s + service.token_gap_s,
        prefill_s_per_token=1.0 / service.prefill_tokens_per_s,
        transfer_s_per_token=(
            service.kv_bytes_per_token / service.link_bytes_per_s
        ),
        token_gap_s=service.token_gap_s,
    )
    patient_rates = dataclasses.replace(rates, pieces_per_s=patient_per_s)
    return dataclasses.replace(
        rates,
        urgent_wait_s=wait_behind_s(rates, urgent + 1),
        patient_wait_s=wait_behind_s(patient_rates, urgent + patient + 1),
    )


def _waiting_pieces(
    waiting: Mapping[str, WaitingCall], priority: Priority
) -> int:
    return sum(
        call.pieces for call in waiting.values() if call.priority is priority
    )


__all__ = ["Rate", "Supply", "rate_per_s", "make_forecast", "record_amount"]
