"""Expected waiting time and service time of a call."""

from __future__ import annotations

import dataclasses

from burdockspan.values.submission import Priority

# A refused caller should not retry before newer load reports have arrived, so
# Retry-After is at least one second.
_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 60.0


@dataclasses.dataclass(frozen=True)
class Forecast:
    """Expected waiting times and rates of one service at this node.

    Attributes:
      urgent_wait_s: expected wait of a new urgent call.
      patient_wait_s: expected wait of a new patient call.
      pieces_per_s: pieces of decode memory, or calls of a plain service, that
        this node can grant per second; 0 if unknown.
      free_pieces: pieces that this node can grant now.
      overhead_s: network delays of one call.
      prefill_s_per_token: prefill time per prompt token.
      transfer_s_per_token: KV cache transfer time per prompt token.
      token_gap_s: time between two output tokens.
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
    """Returns the expected wait of a new call of the given priority."""
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
    """Returns the expected time until `pieces_ahead` pieces can be granted.

    The result is 0 if the rate of grants is unknown.

    Args:
      forecast: rates of the service.
      pieces_ahead: pieces of a waiting call and of all calls that are granted
        before it.
    """
    missing = pieces_ahead - forecast.free_pieces
    if missing <= 0 or forecast.pieces_per_s <= 0:
        return 0.0
    return missing / forecast.pieces_per_s


def retry_after_s(delay_s: float) -> float:
    """Returns the Retry-After for a call refused because of its wait.

    Args:
      delay_s: expected time until such a call can be admitted.
    """
    return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, delay_s))


__all__ = [
    "Forecast",
    "retry_after_s",
    "service_time_s",
    "wait_behind_s",
    "wait_s",
]
