"""What endpoints say about themselves in their answers, and what it allows."""

from __future__ import annotations

import threading
from collections.abc import Collection

from burdockspan.gateway.endpoints.endpoint_pauses import EndpointPauses
from burdockspan.gateway.endpoints.rate_limits import RateLimits
from burdockspan.gateway.ports import EndpointSignals, ObserveSignals
from burdockspan.gateway.values import Endpoint, Incarnation
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.placement.sampling import RandomFloat
from burdockspan.values.clock import Clock

# Share of the time limit for leaving endpoints during which one still receives
# requests if no other endpoint takes them. The rest is for requests that wait.
_LAST_RESORT_SHARE = 0.5


class EndpointConditions:
    """Limits, pauses and departures that endpoints have announced to this VM.

    Attributes:
      rate_limits: limits of the requests of all VMs.
      pauses: pauses that endpoints have asked this VM for.
    """

    def __init__(
        self, clock: Clock, random_float: RandomFloat, leaving_endpoint_s: float
    ) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._last_resort_s = _LAST_RESORT_SHARE * leaving_endpoint_s
        self._leaving_since_s: dict[Incarnation, float] = {}
        self.rate_limits = RateLimits(clock, random_float)
        self.pauses = EndpointPauses(clock, random_float)

    def record_leaving(self, endpoint: Endpoint) -> bool:
        """Records that an endpoint leaves; returns whether that is new.

        A process that leaves never returns. Answers may be processed in another
        order than they were sent in, so that one that does not say so changes
        nothing.
        """
        with self._lock:
            if endpoint.incarnation in self._leaving_since_s:
                return False
            self._leaving_since_s[endpoint.incarnation] = self._clock()
            return True

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint leaves; others are preferred to it."""
        return endpoint.incarnation in self._leaving_since_s

    def has_left(self, endpoint: Endpoint) -> bool:
        """Returns whether a leaving endpoint receives no more requests."""
        since_s = self._leaving_since_s.get(endpoint.incarnation)
        return (
            since_s is not None
            and self._clock() - since_s >= self._last_resort_s
        )

    def wait_s(self, endpoint: Endpoint) -> float:
        """Returns the time until this VM may send a request to an endpoint.

        It is infinite if that depends on the number of VMs, which is unknown.
        """
        return max(
            self.pauses.wait_s(endpoint), self.rate_limits.wait_s(endpoint)
        )

    def explain_wait(self, endpoint: Endpoint) -> str:
        """Returns why an endpoint takes no request of this VM at present."""
        if self.pauses.wait_s(endpoint) >= self.rate_limits.wait_s(endpoint):
            return "endpoints paused"
        return "endpoint limits"

    def try_take(self, endpoint: Endpoint) -> bool:
        """Returns whether a request may be sent now, and counts it if so."""
        return self.pauses.try_take(endpoint) and self.rate_limits.try_take(
            endpoint
        )

    def forget_departed(self, present: Collection[Incarnation]) -> None:
        """Forgets the endpoints that are not present."""
        self.rate_limits.forget_departed(present)
        self.pauses.forget_departed(present)
        with self._lock:
            for key in list(self._leaving_since_s):
                if key not in present:
                    del self._leaving_since_s[key]


def make_signal_observer(
    conditions: EndpointConditions, log: WriteEvent, registry: Registry
) -> ObserveSignals:
    """Returns the receiver of what endpoints say about themselves."""

    def log_change(event: str, endpoint: Endpoint, **fields: object) -> None:
        registry.count("signal", event.replace(" ", "_"))
        log(
            event,
            endpoint=endpoint.id,
            address=endpoint.address,
            zone=endpoint.zone,
            **fields,
        )

    def observe(endpoint: Endpoint, signals: EndpointSignals) -> None:
        for problem in signals.problems:
            # What is known of the endpoint stays in force.
            log_change("signal ignored", endpoint, detail=problem)
        if signals.leaving and conditions.record_leaving(endpoint):
            log_change("endpoint says it leaves", endpoint)
        if signals.pause_s:
            conditions.pauses.begin(endpoint, signals.pause_s)
            log_change(
                "endpoint paused",
                endpoint,
                pause_s=signals.pause_s,
                wait_s=round(conditions.pauses.wait_s(endpoint), 3),
            )
        elif signals.answers_request and conditions.pauses.record_answer(
            endpoint
        ):
            log_change("endpoint pause ended", endpoint)
        before, after = conditions.rate_limits.observe(endpoint, signals)
        if before != after:
            log_change(
                "endpoint limit ended"
                if after is None
                else "endpoint limit changed",
                endpoint,
                limit_per_s=after,
                previous_limit_per_s=before,
            )

    return observe


__all__ = ["EndpointConditions", "make_signal_observer"]
