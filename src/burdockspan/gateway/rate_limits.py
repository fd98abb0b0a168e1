"""Limits of the requests that endpoints take from all VMs together."""

from __future__ import annotations

import threading

from result import Err, Result

from burdockspan.gateway.ports import EndpointSignals, ObserveSignals
from burdockspan.gateway.state import Incarnation
from burdockspan.gateway.values import Endpoint
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry


class RateLimits:
    """The limits that endpoints name at present."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._limit_by_incarnation: dict[Incarnation, float] = {}

    def observe(
        self, endpoint: Endpoint, signals: EndpointSignals
    ) -> tuple[float | None, float | None]:
        """Records the limit that an answer names.

        Returns:
          The limits before and after the answer, in requests per second; None
          for no limit.
        """
        with self._lock:
            before = self._limit_by_incarnation.get(endpoint.incarnation)
            if signals.limit_per_s is not None:
                self._limit_by_incarnation[endpoint.incarnation] = (
                    signals.limit_per_s
                )
            elif signals.answers_request:
                self._limit_by_incarnation.pop(endpoint.incarnation, None)
            return before, self._limit_by_incarnation.get(endpoint.incarnation)


def make_signal_observer(
    rate_limits: RateLimits, log: WriteEvent, registry: Registry
) -> ObserveSignals:
    """Returns the receiver of what endpoints say about themselves."""

    def observe(
        endpoint: Endpoint, signals: Result[EndpointSignals, str]
    ) -> None:
        if isinstance(signals, Err):
            # What is known of the endpoint stays in force.
            registry.count("signal", "malformed")
            log(
                "signal ignored",
                endpoint=endpoint.id,
                detail=signals.err_value,
            )
            return
        before, after = rate_limits.observe(endpoint, signals.ok_value)
        if before == after:
            return
        registry.count("rate_limit", "ended" if after is None else "named")
        log(
            "endpoint limit ended"
            if after is None
            else "endpoint limit changed",
            endpoint=endpoint.id,
            address=endpoint.address,
            zone=endpoint.zone,
            limit_per_s=after,
            previous_limit_per_s=before,
        )

    return observe


__all__ = ["RateLimits", "make_signal_observer"]
