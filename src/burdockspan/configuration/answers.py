"""Data classes of a filled-in questionnaire.

`given` names the keys that the team answered; the others have default values.
"""

from __future__ import annotations

import dataclasses

from burdockspan.configuration.document import Model, Policy

Given = frozenset[str]
"""Keys of a section of the questionnaire that have an answer."""

_USABLE_MEMORY_SHARE = 0.9
"""Share of its memory that an engine leaves for weights and KV caches."""


@dataclasses.dataclass(frozen=True)
class Zone:
    """An availability zone.

    Attributes:
      name: unique name.
      region: region of the zone.
    """

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class Delay:
    """One-way network delay between two zones.

    Attributes:
      zone: one zone.
      other: another zone.
      one_way_ms: delay in milliseconds, the same in both directions.
    """

    zone: str
    other: str
    one_way_ms: float


@dataclasses.dataclass(frozen=True)
class ClientAnswers:
    """A client account.

    Attributes:
      name: unique name.
      key_sha256: SHA-256 (hex) of its bearer token.
      requests_per_s: sustained rate over all entry VMs.
      burst: calls that may exceed the rate at once.
      given: keys that were answered.
    """

    name: str
    key_sha256: str
    requests_per_s: float
    burst: int
    given: Given


@dataclasses.dataclass(frozen=True)
class ModelAnswers:
    """A model of a model service.

    Attributes:
      model: the model as the configuration describes it.
      weights_bytes: size of its weights in an engine's memory.
      given: keys that were answered.
    """

    model: Model
    weights_bytes: float
    given: Given


@dataclasses.dataclass(frozen=True)
class ModelServiceAnswers:
    """A service of prefill and decode engines.

    Attributes:
      name: unique name.
      models: models that each engine serves.
      engine_memory_bytes: accelerator memory of one decode engine.
      kv_bytes_per_token: size of the KV cache of one token.
      piece_tokens: tokens of one piece, the unit of KV memory.
      prefill_tokens_per_s: speed of one prefill engine.
      concurrency: most concurrent prefills on one engine.
      decode_tokens_per_s: speed of a decode engine for one request.
      cache_life_s: how long a prefill engine keeps a finished KV cache.
      link_bytes_per_s: rate of a KV transfer link.
      checks_fencing: whether endpoints refuse stale fencing tokens.
      given: keys that were answered.
    """

    name: str
    models: tuple[ModelAnswers, ...]
    engine_memory_bytes: float
    kv_bytes_per_token: int
    piece_tokens: int
    prefill_tokens_per_s: float
    concurrency: int
    decode_tokens_per_s: float
    cache_life_s: float
    link_bytes_per_s: float
    checks_fencing: bool
    given: Given

    @property
    def pieces(self) -> int:
        """KV memory of one decode engine, in pieces."""
        weights = sum(model.weights_bytes for model in self.models)
        free = self.engine_memory_bytes * _USABLE_MEMORY_SHARE - weights
        return max(
            0, int(free // (self.piece_tokens * self.kv_bytes_per_token))
        )


@dataclasses.dataclass(frozen=True)
class RouteAnswers:
    """A route of a plain service.

    Attributes:
      prefix: path prefix, starting with `/`.
      methods: HTTP methods that the route allows.
      timeout_s: longest time for a response.
      given: keys that were answered.
    """

    prefix: str
    methods: tuple[str, ...]
    timeout_s: float
    given: Given


@dataclasses.dataclass(frozen=True)
class PlainServiceAnswers:
    """A plain service.

    Attributes:
      name: unique name.
      routes: its routes.
      concurrency: most concurrent calls on one endpoint.
      checks_fencing: whether endpoints refuse stale fencing tokens.
      given: keys that were answered.
    """

    name: str
    routes: tuple[RouteAnswers, ...]
    concurrency: int
    checks_fencing: bool
    given: Given


@dataclasses.dataclass(frozen=True)
class Work:
    """Priorities of routes and repeatability of actions.

    Attributes:
      urgent: `service` or `service/prefix` of urgent routes.
      patient: `service` or `service/prefix` of patient routes.
      never_repeat: `METHOD service/path` of actions that run at most once.
      may_repeat: `METHOD service/path` of actions that may run again.
    """

    urgent: tuple[str, ...] = ()
    patient: tuple[str, ...] = ()
    never_repeat: tuple[str, ...] = ()
    may_repeat: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Questionnaire:
    """A valid questionnaire.

    Attributes:
      team: name of the team.
      operators: people who may accept its configurations.
      zones: availability zones.
      delays: delays between zones.
      clients: client accounts.
      model_services: services of engines.
      plain_services: plain services.
      work: priorities of routes and repeatability of actions.
      policy: limits and timeouts.
      limits_given: keys of `limits` that were answered.
    """

    team: str
    operators: tuple[str, ...]
    zones: tuple[Zone, ...]
    delays: tuple[Delay, ...]
    clients: tuple[ClientAnswers, ...]
    model_services: tuple[ModelServiceAnswers, ...]
    plain_services: tuple[PlainServiceAnswers, ...]
    work: Work
    policy: Policy
    limits_given: Given


__all__ = [
    "ClientAnswers",
    "Delay",
    "Given",
    "ModelAnswers",
    "ModelServiceAnswers",
    "PlainServiceAnswers",
    "Questionnaire",
    "RouteAnswers",
    "Work",
    "Zone",
]
