"""Endpoints, their load reports, and a node's view of them."""

from __future__ import annotations

import dataclasses
import enum


class Pool(enum.Enum):
    """Role of an endpoint."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One replica that calls are routed to.

    Attributes:
      name: name of its VM, unique in the fleet.
      address: `ip:port` of its HTTP interface.
      service: service that it is a replica of.
      pool: prefill, decode, or plain service.
      availability_zone: zone of its VM.
      pieces: decode memory in pieces of about 4,000 tokens; 0 if not decode.
      concurrency: most calls at a time for a prefill engine or plain service.
      checks_fencing: whether it refuses an order with an old fencing number.
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
    """What an endpoint last said of its load.

    Attributes:
      endpoint: its name.
      boot: identity of its process, changes when it restarts.
      leaving: whether it says that it takes no new work.
      pieces: decode memory in all.
      free_pieces: decode memory not reserved.
      running: calls running.
      waiting: calls waiting inside the endpoint.
      measured_s: when the load was measured, on the receiver's monotonic
        clock, lag included.
      role: role that an engine says it has; None if it does not say.
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
    """An endpoint as a placement decision sees it at one moment.

    Attributes:
      endpoint: the endpoint.
      free_pieces: expected free decode memory, after what this node reserved
        since the report.
      running: expected running calls.
      waiting: expected waiting calls.
      waiting_tokens: prompt tokens of waiting and running prefills.
      report_age_s: age of the report; infinite when there is none.
      distance_ms: one-way network delay from this node's zone.
      cached_tokens: prompt tokens of this call believed to be in its prefix
        cache.
      usable: False when it is leaving, or its circuit breaker is open.
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
