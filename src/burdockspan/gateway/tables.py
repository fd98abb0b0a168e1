"""What a gateway process believes, shared by its threads under one lock."""

from __future__ import annotations

import collections
import dataclasses
import threading
from collections.abc import Callable, Iterable

from burdockspan.gateway import evidence
from burdockspan.gateway import fleet as fleets
from burdockspan.gateway.choice import View
from burdockspan.gateway.evidence import Suspicion
from burdockspan.gateway.fleet import Fleet
from burdockspan.gateway.routing import RoutingTable, make_routing_table
from burdockspan.gateway.values import Configuration, Endpoint, Limits, Stage
from burdockspan.values.clock import Clock

Incarnation = tuple[str, int]

# In force until a configuration has been read.
_START_LIMITS = Limits(16_384, 4_194_304, 3.0, 15.0)


@dataclasses.dataclass(frozen=True)
class Version:
    """A configuration in force and its routes.

    Attributes:
      configuration: the newest configuration that this process has seen.
      routes: its routes.
      since_s: when it came into force, monotonic seconds.
    """

    configuration: Configuration
    routes: RoutingTable
    since_s: float


class Tables:
    """Configuration, endpoints, evidence and the work of this VM."""

    def __init__(self, zone: str, clock: Clock) -> None:
        self.zone = zone
        self.clock = clock
        self._lock = threading.Lock()
        self._version: Version | None = None
        self._fleet = Fleet()
        self._fleet_heard_s: float | None = None
        self._suspicion_by_incarnation: dict[Incarnation, Suspicion] = {}
        self._running_by_incarnation: dict[Incarnation, int] = (
            collections.Counter()
        )
        self._tokens_by_incarnation: dict[Incarnation, int] = (
            collections.Counter()
        )

    def version(self) -> Version | None:
        """Returns the configuration in force."""
        return self._version

    def limits(self) -> Limits:
        """Returns the limits in force."""
        version = self._version
        return version.configuration.limits if version else _START_LIMITS

    def adopt(self, configuration: Configuration) -> bool:
        """Puts a configuration in force unless it is not newer."""
        with self._lock:
            held = self._version
            if (
                held is not None
                and configuration.version <= held.configuration.version
            ):
                return False
            self._version = Version(
                configuration, make_routing_table(configuration), self.clock()
            )
            return True

    def fleet(self) -> Fleet:
        """Returns the endpoints."""
        return self._fleet

    def fleet_age_s(self) -> float | None:
        """Returns the time since the store last spoke of endpoints."""
        heard_s = self._fleet_heard_s
        return None if heard_s is None else self.clock() - heard_s

    def change_fleet(self, change: Callable[[Fleet], Fleet]) -> None:
        """Replaces the endpoints by a function of the present ones."""
        with self._lock:
            self._fleet = change(self._fleet)

    def note_fleet_heard(self) -> None:
        """Notes that the endpoints are those of the store now."""
        self._fleet_heard_s = self.clock()

    def forget_departed(self) -> None:
        """Removes expired entries, and what is known of departed endpoints."""
        now_s = self.clock()
        with self._lock:
            self._fleet = fleets.expire(self._fleet, now_s)
            held = {
                entry.endpoint.incarnation
                for entry in self._fleet.by_id.values()
            }
            for incarnation in list(self._suspicion_by_incarnation):
                if incarnation not in held:
                    del self._suspicion_by_incarnation[incarnation]

    def views(
        self,
        service: str,
        load: Callable[[Endpoint, int, int], float],
        stage: Stage | None = None,
    ) -> tuple[View, ...]:
        """Returns the endpoints of a service that take new work.

        Args:
          service: name of the service.
          load: returns the load of an endpoint, given the requests and the
            tokens that this VM has there.
          stage: only model engines of this stage; None for any.
        """
        now_s = self.clock()
        with self._lock:
            endpoints = fleets.usable(self._fleet, service, now_s, stage)
            return tuple(
                self._view(endpoint, load, now_s) for endpoint in endpoints
            )

    def _view(
        self,
        endpoint: Endpoint,
        load: Callable[[Endpoint, int, int], float],
        now_s: float,
    ) -> View:
        key = endpoint.incarnation
        running = self._running_by_incarnation[key]
        tokens = self._tokens_by_incarnation[key]
        suspicion = self._suspicion_by_incarnation.get(key)
        return View(
            endpoint=endpoint,
            load=load(endpoint, running, tokens),
            suspicion=evidence.current(suspicion, now_s),
            local=endpoint.zone == self.zone,
        )

    def begin(self, endpoint: Endpoint, tokens: int = 0) -> Callable[[], None]:
        """Notes work at an endpoint; returns what notes its end, once."""
        key = endpoint.incarnation
        with self._lock:
            self._running_by_incarnation[key] += 1
            self._tokens_by_incarnation[key] += tokens
        ended = threading.Lock()

        def end() -> None:
            if not ended.acquire(blocking=False):
                return
            with self._lock:
                self._running_by_incarnation[key] -= 1
                self._tokens_by_incarnation[key] -= tokens
                if self._running_by_incarnation[key] <= 0:
                    del self._running_by_incarnation[key]
                    del self._tokens_by_incarnation[key]

        return end

    def note_failure(self, endpoint: Endpoint, weight: float) -> None:
        """Adds evidence against an endpoint."""
        if weight <= 0.0:
            return
        self._change_suspicion(
            endpoint,
            lambda held, now_s: evidence.add_failure(held, weight, now_s),
        )

    def note_success(self, endpoint: Endpoint) -> None:
        """Notes that an endpoint did its part."""
        if endpoint.incarnation in self._suspicion_by_incarnation:
            self._change_suspicion(endpoint, evidence.add_success)

    def _change_suspicion(
        self,
        endpoint: Endpoint,
        change: Callable[[Suspicion | None, float], Suspicion],
    ) -> None:
        key = endpoint.incarnation
        with self._lock:
            held = self._suspicion_by_incarnation.get(key)
            self._suspicion_by_incarnation[key] = change(held, self.clock())

    def serves(self, services: Iterable[str]) -> bool:
        """Returns whether any of the services has an endpoint."""
        now_s = self.clock()
        fleet = self._fleet
        return any(fleets.usable(fleet, name, now_s) for name in services)


__all__ = ["Incarnation", "Tables", "Version"]
