"""Forecast of the wait and the service time of a call."""

from __future__ import annotations

import dataclasses

from burdockspan.values.submission import Priority

# Retry-After is never below one second, so that refused callers do not come
# back faster than load reports travel.
_LEAST_RETRY_AFTER_S = 1.0
_GREATEST_RETRY_AFTER_S = 60.0


@dataclasses.dataclass(frozen=True)
class Forecast:
    """What this node expects of one service.

    Attributes:
      urgent_wait_s: expected wait of a new urgent call.
      patient_wait_s: expected wait of a new patient call.
      pieces_per_s: decode memory, or calls of a plain service, that this node
        can grant per second; 0 if unknown.
      free_pieces: memory that this node can grant now.
      overhead_s: network delays of one call.
      prefill_s_per_token: prefill time of a prompt token.
      transfer_s_per_token: transfer time of a prompt token.
      token_gap_s: time between two tokens.
    """

    urgent_wait_s: float = 0.0
    patient_wait_s: float = 0.0
    pieces_per_s: float = 0.0
    free_pieces: int = 0
    overhead_s: float = 0.0
    prefill_s_per_token: float = 0.0
    transfer_s_per_token: float = 0.0
    token_gap_s: float = 0.0


def wait_s(forecast: Forecast, priority: Priority) -> float:
    """Returns the expected wait of a new call of the class."""
    if priority is Priority.URGENT:
        return forecast.urgent_wait_s
    return forecast.patient_wait_s


def service_time_s(
    forecast: Forecast, prompt_tokens: int, max_tokens: int
) -> float:
    """Returns the expected time from the grant to the last token."""
    per_token = forecast.prefill_s_per_token + forecast.transfer_s_per_token
    return (
        forecast.overhead_s
        + prompt_tokens * per_token
        + max_tokens * forecast.token_gap_s
    )


def wait_behind_s(forecast: Forecast, pieces_ahead: int) -> float:
    """Returns the wait of a call once `pieces_ahead` have been granted.

    Args:
      forecast: rates of the service.
      pieces_ahead: memory of the calls granted first and of the call itself.
    """
    missing = pieces_ahead - forecast.free_pieces
    if missing <= 0 or forecast.pieces_per_s <= 0:
        return 0.0
    return missing / forecast.pieces_per_s


def retry_after_s(excess_s: float) -> float:
    """Returns the Retry-After of a call that is refused for its wait.

    Args:
      excess_s: time until the wait is expected to have become short enough.
    """
    return min(_GREATEST_RETRY_AFTER_S, max(_LEAST_RETRY_AFTER_S, excess_s))


__all__ = [
    "Forecast",
    "retry_after_s",
    "service_time_s",
    "wait_behind_s",
    "wait_s",
]
