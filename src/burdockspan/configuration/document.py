"""The configuration document that every entry VM of a team shares."""

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
    """How calls under one path prefix of a plain service are treated.

    Attributes:
      prefix: leading part of the path, from `/`; the longest match wins.
      methods: HTTP methods that the route allows.
      idempotent: False for actions that must run at most once.
      priority: class of a call that names none.
      timeout_s: longest time for an answer.
    """

    prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    priority: Priority = Priority.URGENT
    timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True)
class Model:
    """A model that completions may name.

    Attributes:
      name: name in the `model` field of a call.
      context_tokens: most tokens of prompt and answer together.
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
      name: unique name; endpoints name it in the VM list.
      models: models that its engines serve; empty for a plain service.
      routes: routes of a plain service; empty for engines.
      pieces: decode memory of one decode engine in pieces.
      piece_tokens: tokens of one piece.
      concurrency: most calls at a time for one prefill engine or replica.
      checks_fencing: whether its endpoints refuse an old fencing number.
      cache_life_s: how long a prefill's KV cache survives.
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
      urgent_deadline_s: deadline of an urgent call that names none.
      patient_deadline_s: deadline of a patient call that names none.
      patient_share: least share of grants that patient calls get.
      queue_limit: most calls that wait in one entry process.
      retry_ratio: retries allowed for each accepted call.
      retry_burst: retries allowed beyond the ratio; by default as many as one
        decode engine runs requests, so that the loss of one can be retried.
      attempts_limit: most attempts of one call.
      body_limit_bytes: largest body of a call.
      key_retention_s: how long dated idempotency keys are kept.
      connect_timeout_s: longest time for a new connection to an endpoint.
      first_byte_timeout_s: longest wait for the first byte of an endpoint.
      stream_silence_s: longest silence of an endpoint inside a stream.
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
      by: operator who asked for it.
      at_s: wall time of the request, seconds since 1970.
    """

    vm: str
    by: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class PlannedStop:
    """A stop that is scheduled for a VM.

    Attributes:
      stop_id: identity to cancel it by.
      vm: name of an endpoint VM or entry VM.
      at_s: wall time from which it takes no new work.
      by: operator who scheduled it.
    """

    stop_id: str
    vm: str
    at_s: float
    by: str


@dataclasses.dataclass(frozen=True)
class RoleChange:
    """A role of an engine that differs from its pool in the VM list.

    Attributes:
      vm: name of an endpoint VM.
      pool: prefill or decode.
      by: operator who asked for it.
      at_s: wall time of the request, seconds since 1970.
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
    """The questionnaire answer behind a generated value.

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
        from 1; a process only ever adopts a higher one.
      team: name of the team.
      accepted_by: operator who accepted it.
      accepted_at_s: wall time of acceptance, seconds since 1970.
      clients: client accounts.
      services: services.
      policy: limits and timeouts.
      distances: delays between availability zones.
      drains: drained VMs.
      stops: planned stops.
      roles: changed roles of engines.
      origins: the answer behind each generated value.
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
