"""Circuit breaker of one endpoint."""

from __future__ import annotations

import dataclasses
import enum
import statistics
from collections.abc import Iterable

_FAILURES_TO_OPEN = 3
_INITIAL_OPEN_S = 1.0
_MAX_OPEN_S = 30.0
# A probe whose result is lost must not keep the endpoint blocked, so another
# one is allowed after this time.
_PROBE_TIMEOUT_S = 10.0
# An endpoint's average latency is compared with its peers, or enters their
# median, only after this many successful calls.
_MIN_SAMPLES = 10
_SLOWNESS_FACTOR = 3.0
_LATENCY_WEIGHT = 0.2


class Phase(enum.Enum):
    """Phase of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclasses.dataclass(frozen=True)
class BreakerState:
    """State of one endpoint's breaker.

    Attributes:
      phase: closed, open, or half-open with one probe in progress.
      failures: consecutive failures.
      latency_s: moving average of the latency of successful calls.
      samples: number of calls in the average since the breaker closed.
      changed_s: start of the phase, monotonic seconds.
      open_s: length of the current or the preceding open phase. If the
        probe after it fails, the next one is twice as long, up to 30 s.
    """

    phase: Phase = Phase.CLOSED
    failures: int = 0
    latency_s: float = 0.0
    samples: int = 0
    changed_s: float = 0.0
    open_s: float = _INITIAL_OPEN_S


def allows(state: BreakerState, now_s: float) -> bool:
    """Returns whether a call may be sent now.

    After the open phase, or if a probe has had no result in time, one call is
    allowed as a probe.
    """
    elapsed_s = now_s - state.changed_s
    if state.phase is Phase.OPEN:
        return elapsed_s >= state.open_s
    if state.phase is Phase.HALF_OPEN:
        return elapsed_s >= _PROBE_TIMEOUT_S
    return True


def record_sent(state: BreakerState, now_s: float) -> BreakerState:
    """Returns the state after an allowed call has been sent."""
    if state.phase is Phase.CLOSED:
        return state
    return dataclasses.replace(state, phase=Phase.HALF_OPEN, changed_s=now_s)


def record(
    state: BreakerState,
    success: bool,
    latency_s: float,
    now_s: float,
    peer_latency_s: float | None = None,
) -> BreakerState:
    """Returns the state after a call has ended.

    Args:
      state: state before.
      success: whether the call succeeded at the endpoint.
      latency_s: time to its response; only calls of similar size can be
        compared.
      now_s: monotonic seconds.
      peer_latency_s: median latency of the pool's other endpoints.
    """
    if not success:
        return _record_failure(state, now_s)
    if state.phase is Phase.OPEN:
        # The call was sent before the breaker opened, so its success says
        # nothing about the endpoint's present health.
        return state
    if state.phase is Phase.HALF_OPEN:
        return _record_probe_success(state, latency_s, now_s, peer_latency_s)
    first = state.samples == 0
    weight = 1.0 if first else _LATENCY_WEIGHT
    average = state.latency_s + weight * (latency_s - state.latency_s)
    samples = state.samples + 1
    closed = dataclasses.replace(
        state, failures=0, latency_s=average, samples=samples
    )
    if samples >= _MIN_SAMPLES and _is_slow(average, peer_latency_s):
        return _open(closed, now_s)
    return closed


def median_latency_s(peers: Iterable[BreakerState]) -> float | None:
    """Returns the median latency of peers with enough samples, or None."""
    latencies = [
        peer.latency_s for peer in peers if peer.samples >= _MIN_SAMPLES
    ]
    return statistics.median(latencies) if latencies else None


def _record_failure(state: BreakerState, now_s: float) -> BreakerState:
    failed = dataclasses.replace(state, failures=state.failures + 1)
    if state.phase is Phase.OPEN:
        return failed
    if state.phase is Phase.HALF_OPEN:
        return _open(failed, now_s)
    if failed.failures >= _FAILURES_TO_OPEN:
        return _open(failed, now_s)
    return failed


def _record_probe_success(
    state: BreakerState,
    latency_s: float,
    now_s: float,
    peer_latency_s: float | None,
) -> BreakerState:
    if _is_slow(latency_s, peer_latency_s):
        return _open(state, now_s)
    return BreakerState(latency_s=latency_s, samples=1, changed_s=now_s)


def _open(state: BreakerState, now_s: float) -> BreakerState:
    repeated = state.phase is Phase.HALF_OPEN
    open_s = min(_MAX_OPEN_S, state.open_s * 2) if repeated else _INITIAL_OPEN_S
    return dataclasses.replace(
        state, phase=Phase.OPEN, changed_s=now_s, open_s=open_s, samples=0
    )


def _is_slow(latency_s: float, peer_latency_s: float | None) -> bool:
    return (
        peer_latency_s is not None
        and latency_s > _SLOWNESS_FACTOR * peer_latency_s
    )


__all__ = [
    "BreakerState",
    "Phase",
    "allows",
    "record_sent",
    "median_latency_s",
    "record",
]
