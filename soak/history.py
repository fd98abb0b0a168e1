"""What a soak has recorded: requests, arrivals, runs, and faults.

All times are monotonic seconds since the start of the soak.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import enum
import functools
import time
import zlib
from collections.abc import Iterable, Iterator, Mapping
from typing import TypeVar

from soak.accounts import Account, KeyLife

EVENT_GAP_S = 0.04
"""Pause between the events of a stream, without faults."""
# One in so many responses ends with its connection.
_UNFRAMED_EACH = 4
_BODY_BYTES = (100, 5_000, 60_000)


class Kind(enum.Enum):
    """The kind of a caller's request; the value is the name of its route.

    READ: plain and safe.
    PAY: plain and unsafe.
    DRAFT: a stream that cannot be resumed.
    REVIEW: a stream that may be resumed.
    PROBE: safe, on a route that exists in one version only.
    """

    READ = "read"
    PAY = "pay"
    DRAFT = "draft"
    REVIEW = "review"
    PROBE = "probe"

    @property
    def is_stream(self) -> bool:
        """Whether the response is a series of events."""
        return self in (Kind.DRAFT, Kind.REVIEW)

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self not in (Kind.PAY, Kind.DRAFT)

    @property
    def service(self) -> str:
        """Service that all configurations send this kind to."""
        return "llm" if self.is_stream else "app"


class Outcome(enum.Enum):
    """How a request ended for its caller.

    COMPLETE: with a complete response.
    CUT: the connection ended within a response.
    CLOSED: the connection ended before the first byte of a response.
    GAVE_UP: the caller closed the connection after its wait.
    NOT_SENT: the connection failed before the request was wholly sent.
    """

    COMPLETE = "complete"
    CUT = "cut"
    CLOSED = "closed"
    GAVE_UP = "gave_up"
    NOT_SENT = "not_sent"


@dataclasses.dataclass(frozen=True)
class Request:
    """A request of a caller.

    Attributes:
      id: unique for each request.
      kind: kind of the request.
      vm: VM that it was sent to.
      incarnation: process of the VM that handled it; None if it is uncertain.
      sent_s: when its last byte was sent.
      ended_s: when its response was complete or its connection ended.
      deadline_s: time that the caller allows from `sent_s` on.
      outcome: how it ended.
      status: status of the response; 0 without a response.
      stamp: Response-Stamp; None if the router itself has responded.
      body: the received part of the body.
      version: configuration version whose route a probe asks for.
      part: part of its prompt that crashes engines; empty for none.
      key: key that it presents; empty for none.
    """

    id: str
    kind: Kind
    vm: str
    incarnation: int | None
    sent_s: float
    ended_s: float
    deadline_s: float
    outcome: Outcome
    status: int = 0
    stamp: str | None = None
    body: bytes = b""
    version: int = 0
    part: str = ""
    key: str = ""


@dataclasses.dataclass(frozen=True)
class PartCrash:
    """A crash of an engine under a part of a prompt.

    Attributes:
      part: the part.
      at_s: when it crashed.
    """

    part: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A call for a caller's request that has reached an endpoint.

    Attributes:
      request_id: ID of the request.
      endpoint: ID of the endpoint.
      service: service of the endpoint.
      at_s: when it arrived.
      is_prefill: whether only the prompt is prefilled.
      misdirected: whether it was refused because it named another endpoint.
      account: client account that it names; None for none.
      has_authorization: whether it has a header of that name.
    """

    request_id: str
    endpoint: str
    service: str
    at_s: float
    is_prefill: bool = False
    misdirected: bool = False
    account: str | None = None
    has_authorization: bool = False


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that an endpoint has begun to work on.

    Attributes:
      request_id: ID of the request.
      endpoint: ID of the endpoint.
      started_s: when the work began.
      stamp: unique for each run.
      body: the whole body that the endpoint sends.
      slowness: how many times as long as usual the endpoint works.
    """

    request_id: str
    endpoint: str
    started_s: float
    stamp: str
    body: bytes
    slowness: float = 1.0


_Item = TypeVar("_Item", Arrival, Run)


class Trouble(enum.Enum):
    """What a fault window says of its subject.

    DOWN: the process of a VM was killed, and its successor is not ready.
    FROZEN: the process of a VM is stopped by SIGSTOP.
    STOPPING: the process of a VM has received SIGTERM, and its successor is not
      ready.
    CUT: the link between callers and a VM is delayed, reset or silent.
    CUT_OFF: the links of a VM to all endpoints are cut.
    STORE: the store, or a VM's link to it, is silent or fails.
    SILENT: a sound endpoint of a service is silent.
    BROKEN: an endpoint of a service misbehaves, leaves, or restarts.
    """

    DOWN = "down"
    FROZEN = "frozen"
    STOPPING = "stopping"
    CUT = "cut"
    CUT_OFF = "cut_off"
    STORE = "store"
    SILENT = "silent"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True)
class Window:
    """The time of one fault.

    Attributes:
      trouble: kind of the fault.
      subject: VM or service; `*` for all VMs.
      start_s: start of the fault.
      end_s: its end.
    """

    trouble: Trouble
    subject: str
    start_s: float
    end_s: float


@dataclasses.dataclass(frozen=True)
class ConfigurationWrite:
    """A configuration that the store has acknowledged.

    Attributes:
      version: version of the configuration.
      acknowledged_s: when the store acknowledged it.
      timeout_s: timeout of all routes.
      idle_timeout_s: how long a connection may stay idle.
    """

    version: int
    acknowledged_s: float
    timeout_s: float
    idle_timeout_s: float = 15.0


@dataclasses.dataclass
class History:
    """Everything that a soak records in its event loop.

    Attributes:
      requests: requests of callers, in the order of their ends.
      arrivals: calls that reached endpoints.
      runs: requests that endpoints have begun to work on.
      broken_stamps: stamps of the runs that their endpoint itself broke off.
      part_crashes: crashes of engines under parts of prompts.
      windows: times of faults.
      configurations: configurations in the order of their writes.
      draining_s_by_endpoint: when the store acknowledged that an endpoint is
        draining.
      life_by_key: when each key was added and removed.
      started_s: start of the soak, on the monotonic clock.
    """

    requests: list[Request] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    broken_stamps: set[str] = dataclasses.field(default_factory=set)
    part_crashes: list[PartCrash] = dataclasses.field(default_factory=list)
    windows: list[Window] = dataclasses.field(default_factory=list)
    configurations: list[ConfigurationWrite] = dataclasses.field(
        default_factory=list
    )
    draining_s_by_endpoint: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    life_by_key: dict[str, KeyLife] = dataclasses.field(default_factory=dict)
    started_s: float = dataclasses.field(default_factory=time.monotonic)

    def now_s(self) -> float:
        """Returns the seconds since the start of the soak."""
        return time.monotonic() - self.started_s

    @contextlib.contextmanager
    def window(self, trouble: Trouble, subject: str) -> Iterator[None]:
        """Records the time of the block as the time of a fault."""
        start_s = self.now_s()
        try:
            yield
        finally:
            self.windows.append(Window(trouble, subject, start_s, self.now_s()))

    def record_keys(self, accounts: Iterable[Account]) -> None:
        """Records which keys the store has acknowledged."""
        now_s = self.now_s()
        account_by_key = {key: a for a in accounts for key in a.keys}
        for key, account in account_by_key.items():
            self.life_by_key.setdefault(key, KeyLife(account, now_s))
        for key, life in self.life_by_key.items():
            if key not in account_by_key:
                life.removed_s = min(life.removed_s, now_s)

    def configurations_since(self, start_s: float) -> list[ConfigurationWrite]:
        """Returns what may be in force if the store's changes since then are.

        These are the newest configuration at a time, and all later ones.
        """
        old = [c for c in self.configurations if c.acknowledged_s <= start_s]
        return self.configurations[max(0, len(old) - 1) :]

    @functools.cached_property
    def runs_by_request(self) -> Mapping[str, list[Run]]:
        """The runs of each request; only read once the soak has ended."""
        return _group_by_request(self.runs)

    @functools.cached_property
    def arrivals_by_request(self) -> Mapping[str, list[Arrival]]:
        """The arrivals of each request; only read once the soak has ended."""
        return _group_by_request(self.arrivals)

    def overlaps(
        self,
        troubles: frozenset[Trouble],
        subject: str,
        start_s: float,
        end_s: float,
    ) -> bool:
        """Returns whether a fault of a subject overlaps a time."""
        return any(
            window.trouble in troubles
            and window.subject in (subject, "*")
            and window.start_s <= end_s
            and window.end_s >= start_s
            for window in self.windows
        )


def _group_by_request(items: Iterable[_Item]) -> Mapping[str, list[_Item]]:
    items_by_request: dict[str, list[_Item]] = collections.defaultdict(list)
    for item in items:
        items_by_request[item.request_id].append(item)
    return items_by_request


def count_events(request_id: str) -> int:
    """Returns the number of events of the stream of a request."""
    return 5 + zlib.crc32(request_id.encode()) % 16


def is_unframed(request_id: str) -> bool:
    """Returns whether the responses to a request end with their connection."""
    return zlib.crc32(request_id.encode()) % _UNFRAMED_EACH == 0


def make_event(request_id: str, number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def make_stream(request_id: str, after: int = 0) -> bytes:
    """Returns the events of a stream after an event."""
    numbers = range(after + 1, count_events(request_id) + 1)
    return b"".join(make_event(request_id, number) for number in numbers)


def make_body(request_id: str, stamp: str) -> bytes:
    """Returns the body of a plain response."""
    size = _BODY_BYTES[zlib.crc32(request_id.encode()) % len(_BODY_BYTES)]
    return f"{request_id} {stamp} ".encode().ljust(size, b".")


__all__ = [
    "EVENT_GAP_S",
    "Arrival",
    "ConfigurationWrite",
    "History",
    "Kind",
    "Outcome",
    "PartCrash",
    "Request",
    "Run",
    "Trouble",
    "Window",
    "count_events",
    "is_unframed",
    "make_body",
    "make_event",
    "make_stream",
]
