"""Domain types of a gateway process: routes, services, endpoints, requests."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

from burdockspan.gateway.accounts.values import Account, PresentedKey


class RequestKind(enum.Enum):
    """Whether a request may run more than once.

    IDEMPOTENT: it may run more than once.
    NON_IDEMPOTENT: it runs at most once.
    STREAM: the response is a stream of server-sent events. The request runs
      at most once unless its route marks streams as resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Stage(enum.Enum):
    """The part of a generation that a model engine runs."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service that receives a share of a route's requests."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Maps requests of a host and path prefix to services.

    Attributes:
      name: unique name.
      host: value of the Host header.
      path_prefix: begins and ends with a slash.
      kind: whether its requests may run more than once.
      timeout_s: time limit for the complete response.
      objective_s: latency objective for the response, or for the first event
        of a stream.
      gap_objective_s: objective for the longest gap between the events of a
        stream; 0 if the route serves no streams.
      priority: 0 is the highest.
      max_attempts: limit of the endpoints that one request may run on.
      resumable: whether another endpoint may continue an interrupted stream.
      services: at least one service, each with its weight.
      public: whether its requests need no key where there are accounts.
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
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True)
class EngineProperties:
    """Properties that all model engines of a service share.

    Attributes:
      slots: requests that an engine runs concurrently.
      kv_tokens: capacity of an engine's KV memory, in tokens.
      stage_switch_s: duration of a change of stage; 0 if engines cannot
        change it.
      reservation_ttl_s: time after which an engine drops an unused memory
        reservation; 0 if engines support no reservations.
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
    """One version of the operator's configuration.

    Attributes:
      version: rises with each change.
      routes: where requests go.
      services_by_name: services that the routes name.
      limits: what a caller may send.
      accounts: client accounts; None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    limits: RequestLimits
    accounts: tuple[Account, ...] | None = None


# The identity of an endpoint and the start of its process.
Incarnation = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One running endpoint, as its entry in the store describes it.

    Attributes:
      id: identity of the endpoint; a request to it names the identity that it
        expects there.
      started_ms: start time of its process, in Unix milliseconds, which tells
        restarts under the same identity apart; 0 if unknown.
      service: service that it belongs to.
      address: `ip:port`.
      zone: its availability zone.
      leaving: whether it accepts no new work.
      slots: requests that it runs concurrently.
      stage: part of a generation that it runs; None for a plain service, or
        for an engine that runs both parts.
      software_version: version of its software, not of the weights of its
        model; empty if its entry names none.
    """

    id: str
    started_ms: int
    service: str
    address: str
    zone: str
    leaving: bool
    slots: int
    stage: Stage | None = None
    software_version: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Identity of this run of the endpoint's process."""
        return self.id, self.started_ms


@dataclasses.dataclass(frozen=True)
class GenerationSize:
    """Size of a generation, as its caller declares it.

    Attributes:
      prompt_tokens: length of the prompt.
      max_output_tokens: limit of the output.
      expected_output_tokens: the caller's estimate of the output; the limit
        if the caller gave none.
    """

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int


@dataclasses.dataclass(frozen=True)
class InboundCall:
    """A decoded request of a caller, without its hop-by-hop headers.

    Attributes:
      method: HTTP method.
      target: path and query as received.
      host: value of the Host header, in lower case.
      headers: headers to forward, in their order.
      body: whole body.
      request_id: identity that the caller gave the request.
      caller_timeout_s: time that the caller waits, from the request's arrival.
      generation_size: size of a generation; None for other requests.
      client: IP address of the caller.
      arrived_s: when the request's head was complete, in monotonic seconds.
      last_event_id: last event that the caller received of a stream that it
        resumes; None if it resumes none.
      resumed_request_id: identity of the request that brought the first event
        of that stream; None if the caller names none.
      shared_parts: identities of the parts of its prompt that other prompts may
        have as well, in their order. The last part, which belongs to the
        request or to its session, is not among them.
      headers_without_identity: `headers` without those in which the caller says
        who it is.
      key: key that the caller presents; None without one.
      account: account that endpoints see; None where there is none.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...] = dataclasses.field(repr=False)
    body: bytes = dataclasses.field(repr=False)
    request_id: str
    caller_timeout_s: float
    generation_size: GenerationSize | None
    client: str
    arrived_s: float
    last_event_id: str | None = None
    resumed_request_id: str | None = None
    shared_parts: tuple[str, ...] = ()
    headers_without_identity: tuple[tuple[str, str], ...] = ()
    key: PresentedKey | None = None
    account: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True)
class RelayNote:
    """What the VM that relays a request to another one says about it.

    Attributes:
      configuration_version: version of the configuration that routed it there.
      runs: number of its runs that may have begun so far.
      calls: number of its calls that have reached an endpoint so far.
      account: account of its caller; None if that VM has found none.
      key: key by which that VM has found the account; None without one.
    """

    configuration_version: int = 0
    runs: int = 0
    calls: int = 0
    account: str | None = None
    key: PresentedKey | None = None


__all__ = [
    "Configuration",
    "Endpoint",
    "EngineProperties",
    "GenerationSize",
    "InboundCall",
    "Incarnation",
    "RelayNote",
    "RequestKind",
    "RequestLimits",
    "Route",
    "Service",
    "Stage",
    "WeightedService",
]
