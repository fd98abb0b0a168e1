"""The software versions at which streams began.

What two software versions write does not fit together, so that a stream may
only go on at the version that began it. Endpoints do not check this.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import threading
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from burdockspan.gateway.values import Endpoint, RequestKind, Route
from burdockspan.values.clock import Clock

# Callers resume a stream within the time that they wait for it, which is
# seconds. A resumed stream is recorded again.
HORIZON_S = 120.0
# Bounds the memory: some 300 bytes each.
_MAX_STREAMS = 20_000


@dataclasses.dataclass(frozen=True)
class Origin:
    """Where a stream began.

    Attributes:
      service: service of the endpoint.
      software_version: version of the endpoint's software.
    """

    service: str
    software_version: str


class StreamOrigins:
    """Origins of recent streams, by the request that brought the first event.

    A stream that is recorded with two origins is disputed: its origin stays
    unknown, since its caller may have events of either. The oldest records are
    dropped first.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # The origin, None if disputed, and when it was recorded, in monotonic
        # seconds.
        self._recorded_by_request: collections.OrderedDict[
            str, tuple[Origin | None, float]
        ] = collections.OrderedDict()

    def record(self, request_id: str, origin: Origin | None) -> None:
        """Records the origin of a stream; None if it is disputed."""
        now_s = self._clock()
        records = self._recorded_by_request
        with self._lock:
            earlier = records.get(request_id)
            if (
                earlier is not None
                and earlier[0] != origin
                and earlier[1] >= now_s - HORIZON_S
            ):
                origin = None
            records[request_id] = (origin, now_s)
            records.move_to_end(request_id)
            while records and (
                len(records) > _MAX_STREAMS
                or next(iter(records.values()))[1] < now_s - HORIZON_S
            ):
                records.popitem(last=False)

    def find(self, request_id: str) -> Origin | None:
        """Returns the origin of a stream; None if unknown or disputed."""
        recorded = self._find_recent(request_id)
        return None if recorded is None else recorded[0]

    def is_disputed(self, request_id: str) -> bool:
        """Returns whether a stream is recorded with several origins."""
        recorded = self._find_recent(request_id)
        return recorded is not None and recorded[0] is None

    def _find_recent(
        self, request_id: str
    ) -> tuple[Origin | None, float] | None:
        with self._lock:
            recorded = self._recorded_by_request.get(request_id)
            if recorded is None or recorded[1] < self._clock() - HORIZON_S:
                return None
            return recorded


class VersionHistory:
    """The software versions that recently served each service.

    The history of a process that has just started is incomplete until it has
    read what the other VMs, or the process before it, had observed.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._is_complete = False
        # When a version was last observed, by service and version.
        self._seen_s: dict[tuple[str, str], float] = {}
        # The same for what this process observed itself.
        self._observed_s: dict[tuple[str, str], float] = {}
        self._present: frozenset[tuple[str, str]] = frozenset()
        # Observations that an object in the store contains.
        self._stored: set[tuple[str, str]] = set()

    def observe(self, endpoints: Iterable[Endpoint]) -> None:
        """Records the versions of the endpoints that are present now."""
        self.observe_keys(
            (endpoint.service, endpoint.software_version)
            for endpoint in endpoints
        )

    def observe_keys(
        self,
        keys: Iterable[tuple[str, str]],
        departed: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Records the pairs that are present now, and those that left now."""
        present = frozenset(keys)
        now_s = self._clock()
        with self._lock:
            for key in self._present | present | frozenset(departed):
                self._seen_s[key] = self._observed_s[key] = now_s
            self._present = present

    def complete(self, values: Iterable[Any]) -> None:
        """Adds what VMs had observed before this process started.

        Only the first call has an effect: if VMs took over the observations of
        each other again and again, no version would ever be forgotten.

        Args:
          values: results of `encode` at the VMs; malformed ones are ignored.
        """
        now_s = self._clock()
        with self._lock:
            if self._is_complete:
                return
            self._is_complete = True
            for value in values:
                for key in _decode(value):
                    self._seen_s[key] = now_s

    def encode_ages(self) -> dict[str, dict[str, float]]:
        """Returns how long ago, in seconds, this process observed versions.

        What it has from other VMs is left out: if VMs passed it on again and
        again, each time some seconds late, no version would be forgotten.
        """
        encoded: dict[str, dict[str, float]] = {}
        now_s = self._clock()
        for key in self._list_recent():
            with self._lock:
                observed_s = (
                    now_s
                    if key in self._present
                    else self._observed_s.get(key, -math.inf)
                )
            age_s = now_s - observed_s
            if age_s <= HORIZON_S:
                encoded.setdefault(key[0], {})[key[1]] = round(age_s, 1)
        return encoded

    def take_over(self, values: Iterable[Any]) -> None:
        """Adds what other VMs observed while this one may have been cut off.

        Args:
          values: results of `encode_ages` at the VMs; malformed ones are
            ignored.
        """
        now_s = self._clock()
        with self._lock:
            for value in values:
                for key, age_s in _decode_ages(value):
                    seen_s = self._seen_s.get(key, -math.inf)
                    self._seen_s[key] = max(seen_s, now_s - age_s)

    @property
    def is_complete(self) -> bool:
        """Whether it includes what VMs had observed before this process."""
        return self._is_complete

    def record_stored(self, values: Iterable[Any]) -> None:
        """Records observations that the store contains.

        Args:
          values: results of `encode` at the VMs; malformed ones are ignored.
        """
        keys = [key for value in values for key in _decode(value)]
        with self._lock:
            self._stored.update(keys)

    def has_unstored(self) -> bool:
        """Returns whether all VMs could forget a version if they restart."""
        if not self._is_complete:
            return False
        recent = set(self._list_recent())
        with self._lock:
            self._stored &= recent
            return not recent <= self._stored

    def encode(self) -> dict[str, list[str]]:
        """Returns the recent versions by service, as a JSON value."""
        encoded: dict[str, list[str]] = {}
        for service, version in self._list_recent():
            encoded.setdefault(service, []).append(version)
        return encoded

    def sole_version(self, service: str) -> str | None:
        """Returns the only version that recently served a service.

        Returns None if there were several, or if the history is incomplete.
        """
        if not self._is_complete:
            return None
        versions = [
            version for name, version in self._list_recent() if name == service
        ]
        return versions[0] if len(versions) == 1 else None

    def _list_recent(self) -> list[tuple[str, str]]:
        oldest_s = self._clock() - HORIZON_S
        with self._lock:
            for key in [
                key
                for key, seen_s in self._seen_s.items()
                if seen_s < oldest_s and key not in self._present
            ]:
                del self._seen_s[key]
                self._observed_s.pop(key, None)
            return sorted(self._seen_s)


def make_route_key(route: Route) -> str:
    """Returns what stays the same while the services of a route change."""
    return f"{route.host}{route.path_prefix}"


def observe_routes(
    history: VersionHistory, routes: Sequence[Route], earlier: Sequence[Route]
) -> None:
    """Records the services of the routes whose streams may be resumed.

    Args:
      history: services by route, in place of versions by service.
      routes: routes of the configuration in force now.
      earlier: those of the one before; where their paths were divided
        differently, a route takes their services over.
    """
    now = _list_services(routes)
    before = _list_services(earlier)
    changed = {key for key, _ in now} ^ {key for key, _ in before}
    history.observe_keys(
        now,
        {
            (key, service)
            for key, _ in now
            for old_key, service in before
            if (key in changed or old_key in changed)
            and (key.startswith(old_key) or old_key.startswith(key))
        },
    )


def _list_services(routes: Sequence[Route]) -> set[tuple[str, str]]:
    return {
        (make_route_key(route), service.name)
        for route in routes
        if route.kind is RequestKind.STREAM and route.resumable
        for service in route.services
    }


def _decode(value: Any) -> Iterable[tuple[str, str]]:
    if not isinstance(value, Mapping):
        return
    for service, versions in value.items():
        if not isinstance(versions, list):
            continue
        for version in versions:
            if isinstance(version, str):
                yield service, version


def _decode_ages(value: Any) -> Iterable[tuple[tuple[str, str], float]]:
    if not isinstance(value, Mapping):
        return
    for service, ages in value.items():
        if not isinstance(ages, Mapping):
            continue
        for version, age_s in ages.items():
            if type(age_s) in (int, float) and 0 <= age_s <= HORIZON_S:
                yield (service, version), float(age_s)


__all__ = [
    "HORIZON_S",
    "Origin",
    "StreamOrigins",
    "VersionHistory",
    "make_route_key",
    "observe_routes",
]
