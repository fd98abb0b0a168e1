"""Values that the modules of a gateway process share."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping


class RequestKind(enum.Enum):
    """What may be repeated of a request.

    IDEMPOTENT: it may run more than once.
    NON_IDEMPOTENT: it runs at most once.
    STREAM: its answer is a stream of events; at most once unless the route
      says that a stream may be resumed.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Stage(enum.Enum):
    """Which part of a generation a model engine does."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service that a route sends a share of its requests to."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
      name: unique name.
      host: value of the Host header.
      path_prefix: begins and ends with a slash.
      kind: what may be repeated.
      timeout_s: longest time until the final answer.
      objective_s: time to the answer, of a stream to its first event, that
        earns full credit.
      gap_objective_s: longest pause between events; 0 if not a stream.
      priority: rank, 0 first.
      max_attempts: most endpoints that one request may run on.
      resumable: whether a stream may go on at another endpoint.
      services: services with their shares, at least one.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    priority: int
    max_attempts: int
    resumable: bool
    services: tuple[WeightedService, ...]

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True)
class EngineProperties:
    """What the model engines of a service have in common.

    Attributes:
      slots: requests that an engine runs at a time.
      kv_tokens: tokens that the memory of an engine holds.
      stage_switch_s: time that a change of stage takes.
      reservation_ttl_s: longest life of a reservation of memory; 0 if engines
        take none.
    """

    slots: int
    kv_tokens: int
    stage_switch_s: float = 0.0
    reservation_ttl_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that endpoints serve.

    Attributes:
      name: unique name.
      health_path: path of the health check.
      engine: properties of its model engines; None for a plain service.
    """

    name: str
    health_path: str
    engine: EngineProperties | None = None


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of what the operator wants."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    limits: RequestLimits


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One running endpoint, as its entry in the store describes it.

    Attributes:
      id: identity of the endpoint; requests name the one they expect.
      started_ms: start of its process, Unix milliseconds; a restart under the
        same identity changes it. 0 if unknown.
      service: service that it serves.
      address: `ip:port`.
      zone: its availability zone.
      leaving: whether it takes no new work.
      slots: requests that it runs at a time.
      stage: part of a generation that it does; None for a plain service.
    """

    id: str
    started_ms: int
    service: str
    address: str
    zone: str
    leaving: bool
    slots: int
    stage: Stage | None = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity of this start of the endpoint."""
        return self.id, self.started_ms


@dataclasses.dataclass(frozen=True)
class GenerationSize:
    """Size of a generation.

    Attributes:
      prompt_tokens: tokens of the prompt.
      max_output_tokens: limit of the answer.
      expected_output_tokens: the caller's estimate, or the limit.
    """

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int


@dataclasses.dataclass(frozen=True)
class InboundCall:
    """A request of a caller, without what concerns only its connection.

    Attributes:
      method: HTTP method.
      target: path and query as received.
      host: value of the Host header, in lower case.
      headers: headers to pass on, in their order.
      body: whole body.
      request_id: the caller's identity for this request.
      timeout_s: how long the caller waits from its arrival.
      size: size of a generation; None for other requests.
      client: address of the caller, part of the fingerprint of a request.
      arrived_s: when its head had been read, monotonic seconds.
      last_event_id: event after which the caller resumes a stream.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    caller_timeout_s: float
    generation_size: GenerationSize | None
    client: str
    arrived_s: float
    last_event_id: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


__all__ = [
    "WeightedService",
    "Configuration",
    "EngineProperties",
    "InboundCall",
    "RequestKind",
    "RequestLimits",
    "GenerationSize",
    "Endpoint",
    "Route",
    "Service",
    "Stage",
]
