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
    """Runs the periodic tasks that are due."""


@dataclasses.dataclass(frozen=True)
class Submit:
    """Requests a placement for a new call."""

    submission: Submission
    caller_gone: Callable[[], bool]
    future: PlacementFuture


@dataclasses.dataclass(frozen=True)
class Retry:
    """Reports a failed attempt and requests another placement."""

    attempt: AttemptId
    failure: Failure
    future: PlacementFuture


@dataclasses.dataclass(frozen=True)
class RecordEvent:
    """Reports an event of an attempt.

    The result is whether the HTTP handler may continue the attempt.
    """

    attempt: AttemptId
    event: AttemptEvent


@dataclasses.dataclass(frozen=True)
class RegisterAbort:
    """Registers the function that closes an attempt's open connection."""

    attempt: AttemptId
    abort: Callable[[], None]


@dataclasses.dataclass(frozen=True)
class FinishRequest:
    """Reports the end of a request and the status that was sent."""

    request_id: str
    execution: Execution
    status: int


@dataclasses.dataclass(frozen=True)
class ReleaseMemory:
    """Requests the release of an attempt's memory at an endpoint."""

    attempt: AttemptId
    endpoint: str


@dataclasses.dataclass(frozen=True)
class MemoryReleased:
    """Reports whether an endpoint confirmed a release."""

    attempt: AttemptId
    endpoint: str
    confirmed: bool


@dataclasses.dataclass(frozen=True)
class LoadPolled:
    """The result of a load poll.

    Attributes:
      endpoint: its name.
      outcome: its report, or why there is none.
      latency_s: time until the response.
      sent_s: when the poll was sent, monotonic seconds. The age of the report
        counts from then, because the process may have been frozen since.
    """

    endpoint: str
    outcome: Result[LoadReport, Failure]
    latency_s: float
    sent_s: float


@dataclasses.dataclass(frozen=True)
class CacheEventsFetched:
    """Changes of the prefix cache of a prefill engine."""

    endpoint: str
    events: CacheEvents


@dataclasses.dataclass(frozen=True)
class AttemptsListed:
    """The attempts that have reserved memory of an engine, or a failure."""

    endpoint: str
    outcome: Result[tuple[ReservedAttempt, ...], Failure]


@dataclasses.dataclass(frozen=True)
class OrderAnswered:
    """The response of an endpoint to an order, or why there is none."""

    endpoint: str
    order: Order
    outcome: Result[OrderOutcome, Failure]


@dataclasses.dataclass(frozen=True)
class PeerMessage:
    """A membership message from another entry VM.

    Attributes:
      message: the message.
      received_s: when it was read from the socket, monotonic seconds.
    """

    message: Message
    received_s: float


@dataclasses.dataclass(frozen=True)
class ConfigurationReceived:
    """The result of a request for the newest configuration, or an offer.

    Attributes:
      source: `platform`, the address of the peer that was requested, or
        `peer` for an offer.
      configuration: the document; None if the source failed or has no newer
        one.
      failed: whether the request failed and is to be repeated.
    """

    source: str
    configuration: Configuration | None
    failed: bool = False

    @property
    def from_peer(self) -> bool:
        """Whether a peer sent the message; a peer stores what it sends."""
        return self.source != PLATFORM_SOURCE


@dataclasses.dataclass(frozen=True)
class ConfigurationStored:
    """Reports the generation that a peer has stored."""

    generation: int


@dataclasses.dataclass(frozen=True)
class VmListReceived:
    """A VM list from the platform or a peer."""

    vm_list: VmList


@dataclasses.dataclass(frozen=True)
class SnapshotFetched:
    """The members and crash records that a peer sent with its documents."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True)
class AnnounceLeave:
    """Announces to the other members that this process stops."""


@dataclasses.dataclass(frozen=True)
class ReadState:
    """Requests a value computed from the tables on the node's thread."""

    read: Callable[[Any], object]


__all__ = [
    "PLATFORM_SOURCE",
    "RegisterAbort",
    "AttemptsListed",
    "CacheEventsFetched",
    "ConfigurationReceived",
    "ConfigurationStored",
    "FinishRequest",
    "AnnounceLeave",
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
