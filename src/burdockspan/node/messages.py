"""Messages to the node actor."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from result import Result

from burdockspan.configuration.document import Configuration
from burdockspan.endpoints.orders import Order, OrderOutcome
from burdockspan.endpoints.reports import CacheEvents
from burdockspan.membership.values import Message
from burdockspan.object_api.vms import VmList
from burdockspan.peering.snapshot import Snapshot
from burdockspan.requests.orphans import ReservedAttempt
from burdockspan.values.endpoint import LoadReport
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import AttemptEvent, Failure, Placement
from burdockspan.values.refusal import Execution, Refusal
from burdockspan.values.submission import Submission

PLATFORM_SOURCE = "platform"

PlacementFuture = Future[Result[Placement, Refusal]]


@dataclasses.dataclass(frozen=True)
class Tick:
    """Asks the node to run its systems once."""


@dataclasses.dataclass(frozen=True)
class Submit:
    """Asks for a placement of a new call."""

    submission: Submission
    caller_gone: Callable[[], bool]
    future: PlacementFuture


@dataclasses.dataclass(frozen=True)
class Retry:
    """Reports a failed attempt and asks for another placement."""

    attempt: AttemptId
    failure: Failure
    future: PlacementFuture


@dataclasses.dataclass(frozen=True)
class RecordEvent:
    """Reports an event of an attempt; the reply tells whether to go on."""

    attempt: AttemptId
    event: AttemptEvent


@dataclasses.dataclass(frozen=True)
class RegisterAbort:
    """Registers how to abort an attempt's open connection."""

    attempt: AttemptId
    abort: Callable[[], None]


@dataclasses.dataclass(frozen=True)
class Finish:
    """Ends a request as it was answered."""

    request_id: str
    execution: Execution
    status: int


@dataclasses.dataclass(frozen=True)
class ReleaseMemory:
    """Asks that an attempt's memory be freed at an endpoint."""

    attempt: AttemptId
    endpoint: str


@dataclasses.dataclass(frozen=True)
class MemoryReleased:
    """Tells whether an endpoint confirmed that an attempt holds nothing."""

    attempt: AttemptId
    endpoint: str
    confirmed: bool


@dataclasses.dataclass(frozen=True)
class LoadPolled:
    """The answer of an endpoint to a load poll.

    Attributes:
      endpoint: its name.
      outcome: its report, or why there is none.
      latency_s: time until the answer.
      asked_s: when the poll was sent, monotonic seconds. A process that froze
        meanwhile handles an answer that is as old as that.
    """

    endpoint: str
    outcome: Result[LoadReport, Failure]
    latency_s: float
    sent_s: float


@dataclasses.dataclass(frozen=True)
class CacheEventsFetched:
    """Changes of a prefill engine's prefix cache."""

    endpoint: str
    events: CacheEvents


@dataclasses.dataclass(frozen=True)
class AttemptsListed:
    """The attempts that an engine holds memory for."""

    endpoint: str
    outcome: Result[tuple[ReservedAttempt, ...], Failure]


@dataclasses.dataclass(frozen=True)
class OrderAnswered:
    """The answer of an endpoint to an order."""

    endpoint: str
    order: Order
    outcome: Result[OrderOutcome, Failure]


@dataclasses.dataclass(frozen=True)
class PeerMessage:
    """A membership message from another entry VM.

    Attributes:
      message: what arrived.
      received_s: when it was read from the socket, monotonic seconds.
    """

    message: Message
    received_s: float


@dataclasses.dataclass(frozen=True)
class ConfigurationReceived:
    """An answer to the question for the newest configuration.

    Attributes:
      source: `platform` or the peer's address.
      configuration: the document; None if the source failed or holds nothing
        newer.
      failed: whether the source did not answer, so that it is asked again.
    """

    source: str
    configuration: Configuration | None
    failed: bool = False

    @property
    def from_peer(self) -> bool:
        """Whether a peer sent it, which then holds it already."""
        return self.source != PLATFORM_SOURCE


@dataclasses.dataclass(frozen=True)
class ConfigurationStored:
    """Tells which generation a peer holds."""

    generation: int


@dataclasses.dataclass(frozen=True)
class VmListReceived:
    """A VM list from the platform or a peer."""

    vm_list: VmList


@dataclasses.dataclass(frozen=True)
class SnapshotFetched:
    """The shared entries that a peer sent with its documents."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True)
class Leave:
    """Asks the node to tell the other members that this process stops."""


@dataclasses.dataclass(frozen=True)
class ReadState:
    """Asks for a value computed from the tables on the node's thread."""

    read: Callable[[Any], object]


__all__ = [
    "PLATFORM_SOURCE",
    "RegisterAbort",
    "AttemptsListed",
    "CacheEventsFetched",
    "ConfigurationReceived",
    "ConfigurationStored",
    "Finish",
    "Leave",
    "LoadPolled",
    "MemoryReleased",
    "OrderAnswered",
    "PeerMessage",
    "PlacementFuture",
    "ReadState",
    "RecordEvent",
    "ReleaseMemory",
    "Retry",
    "SnapshotFetched",
    "Submit",
    "Tick",
    "VmListReceived",
]
