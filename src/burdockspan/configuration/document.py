"""The configuration document that all entry VMs of a team share."""

from __future__ import annotations

import dataclasses

from burdockspan.values.endpoint import Pool
from burdockspan.values.submission import Priority


@dataclasses.dataclass(frozen=True)
class Client:
    """A client account.

    Attributes:
      name: unique name.
      key_sha256: SHA-256 (hex) of its bearer token.
      requests_per_s: sustained rate over all entry VMs.
      burst: calls that may exceed the rate at once.
    """

    name: str
    key_sha256: str
    requests_per_s: float
    burst: int


@dataclasses.dataclass(frozen=True)
class Route:
    """Settings of the calls under one path prefix of a plain service.

    Attributes:
      prefix: path prefix, starting with `/`; the longest match applies.
      methods: HTTP methods that the route allows.
      idempotent: False for actions that must run at most once.
      priority: priority of a call that does not state one.
      timeout_s: longest time for a response.
    """

    prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    priority: Priority = Priority.URGENT
    timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True)
class Model:
    """A model that completion calls may request.

    Attributes:
      name: name in the `model` field of a call.
      context_tokens: most tokens of prompt and completion together.
      version: version of its weights in the weight store.
      adapters: adapters that endpoints load with it.
    """

    name: str
    context_tokens: int
    version: str = "1"
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Service:
    """A service: model engines, or a plain service.

    Attributes:
      name: unique name; the VM list refers to it for each endpoint.
      models: models that its engines serve; empty for a plain service.
      routes: routes of a plain service; empty for engines.
      pieces: KV memory of one decode engine, in pieces.
      piece_tokens: tokens of one piece, the unit of KV memory.
      concurrency: most concurrent calls on one prefill engine or one endpoint
        of a plain service.
      checks_fencing: whether its endpoints refuse stale fencing tokens.
      cache_life_s: how long a prefill engine keeps a finished KV cache.
      link_bytes_per_s: rate of a KV transfer link.
      kv_bytes_per_token: size of the KV cache of one prompt token.
      prefill_tokens_per_s: speed of one prefill engine.
      token_gap_s: expected time between two streamed tokens.
    """

    name: str
    models: tuple[Model, ...] = ()
    routes: tuple[Route, ...] = ()
    pieces: int = 20
    piece_tokens: int = 4000
    concurrency: int = 4
    checks_fencing: bool = False
    cache_life_s: float = 0.8
    link_bytes_per_s: float = 10e9
    kv_bytes_per_token: int = 160_000
    prefill_tokens_per_s: float = 20_000.0
    token_gap_s: float = 0.04


@dataclasses.dataclass(frozen=True)
class Policy:
    """Limits and timeouts of the entry processes.

    Attributes:
      first_token_target_s: latency target of the first token.
      token_gap_target_s: latency target between two tokens.
      urgent_deadline_s: deadline of an urgent call that does not state one.
      patient_deadline_s: deadline of a patient call that does not state one.
      patient_share: minimum share of admissions that waiting patient calls
        get.
      queue_limit: most calls that wait in one entry process.
      retry_ratio: retries that each accepted call adds to the retry budget.
      retry_burst: size of the retry budget. The default equals the number of
        requests that one decode engine runs, so that all of them can be
        retried when it is lost.
      attempts_limit: most attempts of one call.
      body_limit_bytes: largest body of a call.
      key_retention_s: age beyond which an idempotency key that contains its
        creation time (UUIDv7) is refused.
      connect_timeout_s: longest time to connect to an endpoint.
      first_byte_timeout_s: longest wait for the first byte of a response.
      stream_silence_s: longest time without data inside a stream, after which
        the endpoint counts as unresponsive.
      quarantine_s: how long a request that crashes endpoints is refused.
    """

    first_token_target_s: float = 0.5
    token_gap_target_s: float = 0.063
    urgent_deadline_s: float = 30.0
    patient_deadline_s: float = 600.0
    patient_share: float = 0.1
    queue_limit: int = 1000
    retry_ratio: float = 0.1
    retry_burst: int = 20
    attempts_limit: int = 3
    body_limit_bytes: int = 4 * 1024 * 1024
    key_retention_s: float = 7 * 86400.0
    connect_timeout_s: float = 0.5
    first_byte_timeout_s: float = 10.0
    stream_silence_s: float = 2.0
    quarantine_s: float = 600.0


@dataclasses.dataclass(frozen=True)
class Drain:
    """A VM that takes no new work until it is undrained.

    Attributes:
      vm: name of an endpoint VM or entry VM.
      by: operator who requested the drain.
      at_s: wall time of that request, seconds since 1970.
    """

    vm: str
    by: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class PlannedStop:
    """A scheduled stop of a VM.

    Attributes:
      stop_id: identifier, by which the stop is cancelled.
      vm: name of an endpoint VM or entry VM.
      at_s: wall time from which the VM takes no new work.
      by: operator who scheduled it.
    """

    stop_id: str
    vm: str
    at_s: float
    by: str


@dataclasses.dataclass(frozen=True)
class RoleChange:
    """A role of an engine, in place of its pool in the VM list.

    Attributes:
      vm: name of an endpoint VM.
      pool: prefill or decode.
      by: operator who requested the role.
      at_s: wall time of that request, seconds since 1970.
    """

    vm: str
    pool: Pool
    by: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class Distance:
    """One-way network delay between two availability zones.

    Attributes:
      zone: one availability zone.
      other: another availability zone.
      one_way_ms: delay in milliseconds, the same in both directions.
    """

    zone: str
    other: str
    one_way_ms: float


@dataclasses.dataclass(frozen=True)
class Origin:
    """The questionnaire answer that sets a generated value.

    Attributes:
      path: path of the value in the document, such as `services.x.pieces`.
      answer: path of the answer in the questionnaire, or `default`.
    """

    path: str
    answer: str


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One accepted configuration.

    Attributes:
      generation: position in the total order of accepted configurations,
        from 1. A process replaces its configuration only by one of a higher
        generation.
      team: name of the team.
      accepted_by: operator who accepted it.
      accepted_at_s: wall time of acceptance, seconds since 1970.
      clients: client accounts.
      services: services.
      policy: limits and timeouts.
      distances: delays between availability zones.
      drains: drained VMs.
      stops: planned stops.
      roles: roles of engines that differ from the VM list.
      origins: the questionnaire answer that sets each generated value.
    """

    generation: int
    team: str
    accepted_by: str = ""
    accepted_at_s: float = 0.0
    clients: tuple[Client, ...] = ()
    services: tuple[Service, ...] = ()
    policy: Policy = dataclasses.field(default_factory=Policy)
    distances: tuple[Distance, ...] = ()
    drains: tuple[Drain, ...] = ()
    stops: tuple[PlannedStop, ...] = ()
    roles: tuple[RoleChange, ...] = ()
    origins: tuple[Origin, ...] = ()


__all__ = [
    "Client",
    "Configuration",
    "Distance",
    "Drain",
    "Model",
    "Origin",
    "PlannedStop",
    "Policy",
    "RoleChange",
    "Route",
    "Service",
]
