"""What systems ask the process to do, as values."""

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
    """Resolves the future of a waiting handler."""

    future: PlacementFuture
    outcome: Result[Placement, Refusal]


@dataclasses.dataclass(frozen=True)
class Abort:
    """Closes the open connection of an attempt."""

    abort: Callable[[], None]


@dataclasses.dataclass(frozen=True)
class FreeMemory:
    """Cancels an attempt at an engine."""

    attempt: AttemptId
    endpoint: Endpoint


@dataclasses.dataclass(frozen=True)
class PollLoad:
    """Asks an endpoint for its load."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True)
class FetchCacheEvents:
    """Asks a prefill engine for changes of its prefix cache.

    Attributes:
      endpoint: the engine.
      boot: its boot identity in the last answer; empty for the first.
      after: number of the last event taken.
    """

    endpoint: Endpoint
    boot: str
    after: int


@dataclasses.dataclass(frozen=True)
class ListAttempts:
    """Asks an engine for the attempts that it holds memory for."""

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
    """Fetches newer documents from a peer.

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
      configuration: what is offered.
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
    """Logs a change of state.

    Attributes:
      event: name of the event.
      fields: names and values that describe it.
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
