"""Side effects that the node requests, as values.

Handlers of the node only change its tables and return effects, which
`effect_runner` carries out. The class names appear in the log event "effect
failed".
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from result import Result

from burdockspan.configuration.document import Configuration
from burdockspan.endpoints.orders import Order
from burdockspan.membership.values import Outgoing, Versions
from burdockspan.node.messages import PlacementFuture
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Placement
from burdockspan.values.refusal import Refusal


@dataclasses.dataclass(frozen=True)
class Answer:
    """Resolves the future that an HTTP handler waits for."""

    future: PlacementFuture
    outcome: Result[Placement, Refusal]


@dataclasses.dataclass(frozen=True)
class Abort:
    """Closes the open connection of an attempt."""

    abort: Callable[[], None]


@dataclasses.dataclass(frozen=True)
class FreeMemory:
    """Cancels an attempt at an endpoint and so releases its memory."""

    attempt: AttemptId
    endpoint: Endpoint


@dataclasses.dataclass(frozen=True)
class PollLoad:
    """Requests the load of an endpoint."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True)
class FetchCacheEvents:
    """Requests the changes of the prefix cache of a prefill engine.

    Attributes:
      endpoint: the engine.
      boot: its boot identity in the last response; empty for the first.
      after: number of the last event that was applied.
    """

    endpoint: Endpoint
    boot: str
    after: int


@dataclasses.dataclass(frozen=True)
class ListAttempts:
    """Requests the attempts that have reserved memory of an engine."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True)
class SendOrder:
    """Sends an order to an endpoint."""

    endpoint: Endpoint
    order: Order


@dataclasses.dataclass(frozen=True)
class SendDatagram:
    """Sends a membership message."""

    outgoing: Outgoing


@dataclasses.dataclass(frozen=True)
class PullDocuments:
    """Fetches documents from a peer that are newer than those of this VM.

    Attributes:
      address: `ip:port` of the peer.
      versions: versions of the documents that this VM stores.
    """

    address: str
    versions: Versions


@dataclasses.dataclass(frozen=True)
class ReadPlatform:
    """Reads the configuration and the VM list from the platform."""


@dataclasses.dataclass(frozen=True)
class OfferConfiguration:
    """Offers a stored configuration to a peer.

    Attributes:
      address: `ip:port` of the peer.
      configuration: the configuration.
    """

    address: str
    configuration: Configuration


@dataclasses.dataclass(frozen=True)
class Count:
    """Adds to a counter."""

    name: str
    amount: int = 1


@dataclasses.dataclass(frozen=True)
class Measure:
    """Records a timing in seconds."""

    name: str
    duration_s: float


@dataclasses.dataclass(frozen=True)
class Note:
    """Writes a log event about a change of state.

    Attributes:
      event: name of the event.
      fields: names and values of its fields.
    """

    event: str
    fields: tuple[tuple[str, str], ...] = ()


Effect = (
    Answer
    | Abort
    | FreeMemory
    | PollLoad
    | FetchCacheEvents
    | ListAttempts
    | SendDatagram
    | SendOrder
    | PullDocuments
    | ReadPlatform
    | OfferConfiguration
    | Count
    | Measure
    | Note
)

Effects = tuple[Effect, ...]


__all__ = [
    "Abort",
    "Answer",
    "Count",
    "Effect",
    "Effects",
    "FetchCacheEvents",
    "FreeMemory",
    "ListAttempts",
    "Measure",
    "Note",
    "OfferConfiguration",
    "PollLoad",
    "PullDocuments",
    "ReadPlatform",
    "SendDatagram",
    "SendOrder",
]
