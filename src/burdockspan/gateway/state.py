"""State of a gateway process that its threads share."""

from __future__ import annotations

import collections
import dataclasses
import threading
from collections.abc import Callable, Collection, Iterable

from burdockspan.gateway.accounts.identification import (
    AccountTable,
    make_account_table,
)
from burdockspan.gateway.accounts.values import Account
from burdockspan.gateway.choice.ranking import Candidate
from burdockspan.gateway.choice.routing import RoutingTable, make_routing_table
from burdockspan.gateway.discovery import endpoint_table
from burdockspan.gateway.discovery.endpoint_table import EndpointTable
from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.endpoints.endpoint_conditions import EndpointConditions
from burdockspan.gateway.endpoints.passive_health import Suspicion
from burdockspan.gateway.streams.stream_origins import (
    VersionHistory,
    observe_routes,
)
from burdockspan.gateway.values import (
    Configuration,
    Endpoint,
    Incarnation,
    RequestLimits,
    Stage,
)
from burdockspan.placement.sampling import RandomFloat
from burdockspan.values.clock import Clock

# In force until the first configuration has been received.
_INITIAL_LIMITS = RequestLimits(16_384, 4_194_304, 3.0, 15.0)


ObserveWork = Callable[[Endpoint, int, int], None]
"""Receives changes of the requests and tokens that this VM runs."""


@dataclasses.dataclass(frozen=True)
class ActiveConfiguration:
    """The configuration in force.

    Attributes:
      configuration: the newest configuration that this process has received.
      routes: lookup table of its routes.
      since_s: when it was activated, in monotonic seconds.
      accounts: lookup table of its accounts; None if requests need no key.
    """

    configuration: Configuration
    routes: RoutingTable
    since_s: float
    accounts: AccountTable | None = None


AccountsListener = Callable[[tuple[Account, ...] | None], None]
"""Receives the accounts of each new configuration."""


class GatewayState:
    """Configuration, endpoints, suspicions, and this VM's running requests.

    Attributes:
      zone: availability zone of this VM.
      clock: monotonic clock, in seconds.
      conditions: what endpoints say about themselves in their answers.
      version_history: software versions that recently served each service.
      route_history: services that recently served each route, likewise.
    """

    def __init__(
        self,
        zone: str,
        clock: Clock,
        random_float: RandomFloat,
        leaving_endpoint_s: float,
    ) -> None:
        self.zone = zone
        self._on_work: ObserveWork = lambda _, __, ___: None
        self.clock = clock
        self.conditions = EndpointConditions(
            clock, random_float, leaving_endpoint_s
        )
        self.version_history = VersionHistory(clock)
        self.route_history = VersionHistory(clock)
        self._lock = threading.Lock()
        self._active: ActiveConfiguration | None = None
        self._accounts_listeners: list[AccountsListener] = []
        self._endpoint_table = EndpointTable()
        self._endpoints_received_s: float | None = None
        self._suspicion_by_incarnation: dict[Incarnation, Suspicion] = {}
        self._running_by_incarnation: dict[Incarnation, int] = (
            collections.Counter()
        )
        self._tokens_by_incarnation: dict[Incarnation, int] = (
            collections.Counter()
        )

    def notify_of_accounts(self, listener: AccountsListener) -> None:
        """Calls `listener` before a configuration takes effect."""
        self._accounts_listeners.append(listener)

    def active_configuration(self) -> ActiveConfiguration | None:
        """Returns the configuration in force; None before the first one."""
        return self._active

    def limits(self) -> RequestLimits:
        """Returns the limits in force."""
        active = self._active
        return active.configuration.limits if active else _INITIAL_LIMITS

    def activate(self, configuration: Configuration) -> bool:
        """Activates a configuration if it is newer; returns whether it is."""
        with self._lock:
            current = self._active
            if (
                current is not None
                and configuration.version <= current.configuration.version
            ):
                return False
            for listener in self._accounts_listeners:
                listener(configuration.accounts)
            self._active = ActiveConfiguration(
                configuration,
                make_routing_table(configuration),
                self.clock(),
                make_account_table(configuration.accounts),
            )
            observe_routes(
                self.route_history,
                configuration.routes,
                current.configuration.routes if current else (),
            )
            return True

    def endpoint_table(self) -> EndpointTable:
        """Returns the current table of endpoints."""
        return self._endpoint_table

    def is_registered(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is in the table, not yet restarted."""
        entry = self._endpoint_table.by_id.get(endpoint.id)
        return (
            entry is not None
            and entry.endpoint.incarnation == endpoint.incarnation
        )

    def endpoints_age_s(self) -> float | None:
        """Returns the age of the endpoint table; None before the first list."""
        received_s = self._endpoints_received_s
        return None if received_s is None else self.clock() - received_s

    def change_endpoint_table(
        self, change: Callable[[EndpointTable], EndpointTable]
    ) -> None:
        """Replaces the table of endpoints by the result of `change`."""
        with self._lock:
            self._endpoint_table = change(self._endpoint_table)
            self._observe_versions()

    def record_endpoints_received(self, age_s: float) -> None:
        """Records that the endpoints are those of some seconds ago."""
        received_s = self.clock() - age_s
        earlier_s = self._endpoints_received_s
        self._endpoints_received_s = (
            received_s if earlier_s is None else max(earlier_s, received_s)
        )

    def prune_departed(self) -> None:
        """Removes expired entries, and suspicions of removed endpoints."""
        now_s = self.clock()
        with self._lock:
            self._endpoint_table = endpoint_table.expire(
                self._endpoint_table, now_s
            )
            self._observe_versions()
            present = {
                entry.endpoint.incarnation
                for entry in self._endpoint_table.by_id.values()
            }
            for incarnation in list(self._suspicion_by_incarnation):
                if incarnation not in present:
                    del self._suspicion_by_incarnation[incarnation]
        self.conditions.forget_departed(present)

    def _observe_versions(self) -> None:
        self.version_history.observe(
            entry.endpoint for entry in self._endpoint_table.by_id.values()
        )

    def candidates(
        self,
        service: str,
        load: Callable[[Endpoint, int, int], float],
        stage: Stage | None = None,
        software_version: str | None = None,
    ) -> tuple[Candidate, ...]:
        """Returns the endpoints of a service that accept new work from this VM.

        Endpoints are left out while they have asked this VM for a pause, or
        while it has no permit within the limits that they name.

        Args:
          service: name of the service.
          load: returns the load of an endpoint, given the number of requests
            and of tokens that this VM runs there.
          stage: selects the model engines of this stage; None selects all
            endpoints.
          software_version: selects the endpoints of this version; None selects
            all endpoints.
        """
        now_s = self.clock()
        with self._lock:
            return tuple(
                self._make_candidate(endpoint, load, now_s)
                for endpoint in self.list_usable(
                    service, stage, software_version
                )
                if not self.conditions.wait_s(endpoint)
            )

    def list_usable(
        self,
        service: str,
        stage: Stage | None = None,
        software_version: str | None = None,
    ) -> tuple[Endpoint, ...]:
        """Returns the endpoints of a service, also paused and limited ones.

        Args:
          service: name of the service.
          stage: selects the model engines of this stage; None selects all
            endpoints.
          software_version: selects the endpoints of this version; None selects
            all endpoints.
        """
        endpoints = endpoint_table.list_usable(
            self._endpoint_table, service, self.clock(), stage
        )
        return tuple(
            endpoint
            for endpoint in endpoints
            if software_version in (None, endpoint.software_version)
            and not self.conditions.has_left(endpoint)
        )

    def find_soonest(
        self,
        service: str,
        excluded: Collection[Incarnation] = (),
        software_version: str | None = None,
    ) -> tuple[Endpoint, float] | None:
        """Returns the endpoint that accepts a request of this VM first.

        Args:
          service: name of the service.
          excluded: endpoints that are left out, such as those that a request
            has tried.
          software_version: selects the endpoints of this version; None selects
            all endpoints.

        Returns:
          The endpoint and the time until then in seconds, which is 0 if a
          request may be sent now; None if there is no endpoint.
        """
        waits = (
            (endpoint, self.conditions.wait_s(endpoint))
            for endpoint in self.list_usable(
                service, software_version=software_version
            )
            if endpoint.incarnation not in excluded
            and endpoint.stage is not Stage.PREFILL
        )
        return min(waits, key=lambda wait: wait[1], default=None)

    def describe(
        self, endpoint: Endpoint, load: Callable[[Endpoint, int, int], float]
    ) -> Candidate:
        """Returns the inputs of an endpoint's rank, whether it is usable."""
        with self._lock:
            return self._make_candidate(endpoint, load, self.clock())

    def _make_candidate(
        self,
        endpoint: Endpoint,
        load: Callable[[Endpoint, int, int], float],
        now_s: float,
    ) -> Candidate:
        key = endpoint.incarnation
        running = self._running_by_incarnation[key]
        tokens = self._tokens_by_incarnation[key]
        suspicion = passive_health.current_weight(
            self._suspicion_by_incarnation.get(key), now_s
        )
        if self.conditions.is_leaving(endpoint):
            suspicion += passive_health.SUSPECT_WEIGHT
        return Candidate(
            endpoint=endpoint,
            load=load(endpoint, running, tokens),
            suspicion=suspicion,
            local=endpoint.zone == self.zone,
        )

    def observe_work(self, on_work: ObserveWork) -> None:
        """Sets the function that receives each change of the running work."""
        self._on_work = on_work

    def begin_work(
        self, endpoint: Endpoint, tokens: int = 0
    ) -> Callable[[], None]:
        """Records the start of a request at an endpoint.

        Returns:
          A function that records its end; only the first call has an effect.
        """
        key = endpoint.incarnation
        with self._lock:
            self._running_by_incarnation[key] += 1
            self._tokens_by_incarnation[key] += tokens
        self._on_work(endpoint, 1, tokens)
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
            self._on_work(endpoint, -1, -tokens)

        return end

    def running_work(self, endpoint: Endpoint) -> tuple[int, int]:
        """Returns the requests and tokens that this VM runs at an endpoint."""
        key = endpoint.incarnation
        with self._lock:
            return (
                self._running_by_incarnation.get(key, 0),
                self._tokens_by_incarnation.get(key, 0),
            )

    def list_endpoints(self) -> tuple[Endpoint, ...]:
        """Returns the endpoints of all services."""
        table = self._endpoint_table
        return tuple(entry.endpoint for entry in table.by_id.values())

    def record_failure(self, endpoint: Endpoint, weight: float) -> None:
        """Raises the suspicion against an endpoint by a weight."""
        if weight <= 0.0:
            return
        self._change_suspicion(
            endpoint,
            lambda current, now_s: passive_health.add_failure(
                current, weight, now_s
            ),
        )

    def record_silence(
        self, endpoint: Endpoint, was_left: bool = False
    ) -> None:
        """Suspects an endpoint that a request waits for longer than usual.

        Args:
          endpoint: the endpoint.
          was_left: whether the request left it because of that.
        """
        self._change_suspicion(
            endpoint,
            lambda current, now_s: passive_health.add_silence(
                current, now_s, was_left
            ),
        )

    def record_success(self, endpoint: Endpoint) -> None:
        """Lowers the suspicion against an endpoint after a success."""
        if endpoint.incarnation in self._suspicion_by_incarnation:
            self._change_suspicion(endpoint, passive_health.add_success)

    def _change_suspicion(
        self,
        endpoint: Endpoint,
        change: Callable[[Suspicion | None, float], Suspicion],
    ) -> None:
        key = endpoint.incarnation
        with self._lock:
            current = self._suspicion_by_incarnation.get(key)
            self._suspicion_by_incarnation[key] = change(current, self.clock())

    def has_endpoint(self, services: Iterable[str]) -> bool:
        """Returns whether any of the services has a usable endpoint."""
        now_s = self.clock()
        table = self._endpoint_table
        return any(
            endpoint_table.list_usable(table, name, now_s) for name in services
        )


__all__ = ["ActiveConfiguration", "GatewayState", "Incarnation", "ObserveWork"]
