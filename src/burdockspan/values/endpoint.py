"""Endpoints, their load reports, and a node's estimate of their load."""

from __future__ import annotations

import dataclasses
import enum


class Pool(enum.Enum):
    """Pool that an endpoint belongs to; the pool of an engine is its role."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An endpoint that calls are routed to.

    Attributes:
      name: name of its VM, unique in the fleet.
      address: `ip:port` of its HTTP interface.
      service: name of the service that it belongs to.
      pool: prefill, decode, or plain service.
      availability_zone: availability zone of its VM.
      pieces: size of its KV memory in pieces (`Service.piece_tokens`); 0
        unless it is a decode engine.
      concurrency: maximum concurrent calls of a prefill engine or plain
        service.
      checks_fencing: whether it refuses an order whose fencing token is lower
        than one that it has received.
    """

    name: str
    address: str
    service: str
    pool: Pool
    availability_zone: str
    pieces: int = 0
    concurrency: int = 0
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load report of an endpoint.

    Attributes:
      endpoint: name of the endpoint.
      boot: identity of its process; changes on every restart.
      leaving: whether it accepts no new work.
      pieces: total KV memory of a decode engine, in pieces.
      free_pieces: pieces that are not reserved.
      running: number of running calls.
      waiting: number of calls queued at the endpoint.
      measured_s: when the load was measured, on the receiver's monotonic
        clock: the time of receipt less the age that the report states.
      role: role that an engine reports; None if it reports none.
    """

    endpoint: str
    boot: str
    leaving: bool
    pieces: int
    free_pieces: int
    running: int
    waiting: int
    measured_s: float
    role: Pool | None = None


@dataclasses.dataclass(frozen=True)
class EndpointView:
    """Estimated state of an endpoint at the time of a placement decision.

    Attributes:
      endpoint: the endpoint.
      free_pieces: estimated free KV memory: the reported figure less what
        this node has reserved since.
      running: estimated number of running calls.
      waiting: estimated number of queued calls.
      waiting_tokens: prompt tokens of queued and running prefills.
      report_age_s: age of the report; infinite if there is none.
      distance_ms: one-way network delay from this node's availability zone.
      cached_tokens: prompt tokens of this call that are expected to be in the
        endpoint's prefix cache.
      usable: False if it is leaving or its circuit breaker is open.
    """

    endpoint: Endpoint
    free_pieces: int = 0
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    report_age_s: float = 0.0
    distance_ms: float = 0.0
    cached_tokens: int = 0
    usable: bool = True


__all__ = ["Endpoint", "EndpointView", "LoadReport", "Pool"]
