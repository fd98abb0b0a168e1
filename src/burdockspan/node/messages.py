"""Messages to the node actor."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from concurrent.futures import Future

from result import Result

from burdockspan.configuration.document import Configuration
from burdockspan.requests.sweep import HeldAttempt
from burdockspan.values.endpoint import LoadReport
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Event, Failure, Placement
from burdockspan.values.refusal import Execution, Refusal
from burdockspan.values.submission import Submission

PlacementReply = Future[Result[Placement, Refusal]]


@dataclasses.dataclass(frozen=True)
class Tick:
    """Asks the node to run its systems once."""


@dataclasses.dataclass(frozen=True)
class Submit:
    """Asks for a placement of a new call."""

    submission: Submission
    caller_gone: Callable[[], bool]
    reply: PlacementReply


@dataclasses.dataclass(frozen=True)
class Replace:
    """Reports a failed attempt and asks for another placement."""

    attempt: AttemptId
    failure: Failure
    reply: PlacementReply


@dataclasses.dataclass(frozen=True)
class Record:
    """Reports an event of an attempt; the reply tells whether to go on."""

    attempt: AttemptId
    event: Event


@dataclasses.dataclass(frozen=True)
class Attach:
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
    """The answer of an endpoint to a load poll."""

    endpoint: str
    outcome: Result[LoadReport, Failure]
    latency_s: float


@dataclasses.dataclass(frozen=True)
class AttemptsListed:
    """The attempts that an engine holds memory for."""

    endpoint: str
    outcome: Result[tuple[HeldAttempt, ...], Failure]


@dataclasses.dataclass(frozen=True)
class DatagramReceived:
    """A datagram from another entry VM."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class ConfigurationSeen:
    """A configuration from the platform or a peer.

    Attributes:
      configuration: the document.
      source: `platform` or the peer's address, for logs.
    """

    configuration: Configuration
    source: str


@dataclasses.dataclass(frozen=True)
class ConfigurationStored:
    """Tells that a peer has stored a configuration.

    Attributes:
      vm: the peer.
      generation: the generation that it now holds.
    """

    vm: str
    generation: int


@dataclasses.dataclass(frozen=True)
class VmListSeen:
    """A VM list from the platform or a peer.

    Attributes:
      version: its version at the platform.
      data: its JSON, for handing on to peers.
      source: `platform` or the peer's address, for logs.
    """

    version: int
    data: bytes
    source: str


@dataclasses.dataclass(frozen=True)
class SourceAsked:
    """Tells that one source of configuration answered or failed."""

    source: str


@dataclasses.dataclass(frozen=True)
class ReadState:
    """Asks for a value computed from the tables on the node's thread."""

    read: Callable[[object], object]


__all__ = [
    "Attach",
    "AttemptsListed",
    "ConfigurationSeen",
    "ConfigurationStored",
    "DatagramReceived",
    "Finish",
    "LoadPolled",
    "MemoryReleased",
    "PlacementReply",
    "ReadState",
    "Record",
    "ReleaseMemory",
    "Replace",
    "SourceAsked",
    "Submit",
    "Tick",
    "VmListSeen",
]
