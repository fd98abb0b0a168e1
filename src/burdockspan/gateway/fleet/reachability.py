"""Which services this VM reaches, as its calls to their endpoints show.

A service is out of reach when calls to several of its endpoints have failed on
the way, and none has been answered since. Whether the VM is cut off or the
endpoints are gone cannot be told apart here; another VM may know.
"""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from result import Err, Result

from burdockspan.gateway.ports import AttemptOptions, EndpointClient
from burdockspan.gateway.values import Endpoint, InboundCall, Incarnation
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.values.clock import Clock
from burdockspan.values.placement import Failure, FailureKind

OUT_OF_REACH = "service out of reach"
"""Reason why a VM does not serve a request, and name of the log line."""
SAMPLE_SIZE = 4
"""Endpoints of a service that must have failed; with fewer, all of them."""
# Older failures say nothing about the present.
_FAILURE_TTL_S = 5.0
# A connection attempt that had less time than this proves nothing.
_MIN_ATTEMPT_S = 0.25
# Requests that wait longer than usual are a reason to probe for this time,
# unless a call that began within it has been answered.
_SILENCE_DOUBT_S = 1.0
# These failures happen before an endpoint answers.
_ON_THE_WAY = frozenset(
    (FailureKind.NOT_CONNECTED, FailureKind.CONNECTION_LOST)
)


@dataclasses.dataclass(frozen=True)
class _Evidence:
    """What calls to the endpoints of a service have shown.

    Attributes:
      reached_s: when the latest answered call began, in monotonic seconds;
        None if none was answered.
      failed_s_by_incarnation: when later calls began that failed on the way.
      silent_s_by_incarnation: when later probes began that got no answer.
    """

    reached_s: float | None = None
    failed_s_by_incarnation: Mapping[Incarnation, float] = dataclasses.field(
        default_factory=dict
    )
    silent_s_by_incarnation: Mapping[Incarnation, float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def latest_s_by_incarnation(self) -> Mapping[Incarnation, float]:
        """When the latest calls without an answer began."""
        silent_s = self.silent_s_by_incarnation
        return {**silent_s, **self.failed_s_by_incarnation}


_NO_EVIDENCE = _Evidence()


class Reachability:
    """Evidence by service, and the beliefs that follow from it."""

    def __init__(
        self,
        list_endpoints: Callable[[str], Sequence[Endpoint]],
        clock: Clock,
        log: WriteEvent,
        registry: Registry,
    ) -> None:
        self._list_endpoints = list_endpoints
        self._clock = clock
        self._log = log
        self._registry = registry
        self._lock = threading.Lock()
        self._evidence_by_service: dict[str, _Evidence] = {}
        self._silent_s_by_service: dict[str, float] = {}
        self._heard_s_by_service: dict[str, float] = {}
        # When the latest call began that was lost after its connection opened.
        self._sent_s_by_service: dict[str, float] = {}
        self._lost: set[str] = set()
        # Set while a failure has not been followed by an answer.
        self.in_doubt = threading.Event()

    def record_answer(self, endpoint: Endpoint, began_s: float) -> None:
        """Records that an endpoint answered a call.

        Args:
          endpoint: the endpoint.
          began_s: when the call began, in monotonic seconds. Connections that
            were opened before a partition may outlive it.
        """
        service = endpoint.service
        self.record_heard(service)
        with self._lock:
            evidence = self._find_evidence(service)
            if evidence.reached_s is not None and began_s < evidence.reached_s:
                return
            self._evidence_by_service[service] = _Evidence(
                began_s,
                _keep_later(evidence.failed_s_by_incarnation, began_s),
                _keep_later(evidence.silent_s_by_incarnation, began_s),
            )
            self._silent_s_by_service.pop(service, None)
        if evidence.latest_s_by_incarnation:
            self.update(service)

    def record_failure(
        self, endpoint: Endpoint, began_s: float, was_sent: bool = False
    ) -> None:
        """Records that a call failed before its endpoint answered.

        Args:
          endpoint: the endpoint.
          began_s: when the call began, in monotonic seconds.
          was_sent: whether the call may have reached the endpoint.
        """
        if was_sent:
            self._sent_s_by_service[endpoint.service] = began_s

        def add(evidence: _Evidence) -> _Evidence:
            return dataclasses.replace(
                evidence,
                failed_s_by_incarnation=_add_later(
                    evidence.failed_s_by_incarnation, endpoint, began_s
                ),
            )

        self._record(endpoint, began_s, add)

    def record_silent_probe(self, endpoint: Endpoint, began_s: float) -> None:
        """Records that an endpoint has not answered a probe in time."""

        def add(evidence: _Evidence) -> _Evidence:
            return dataclasses.replace(
                evidence,
                silent_s_by_incarnation=_add_later(
                    evidence.silent_s_by_incarnation, endpoint, began_s
                ),
            )

        self._record(endpoint, began_s, add)

    def _record(
        self,
        endpoint: Endpoint,
        began_s: float,
        add: Callable[[_Evidence], _Evidence],
    ) -> None:
        service = endpoint.service
        with self._lock:
            evidence = self._find_evidence(service)
            if evidence.reached_s is not None and began_s <= evidence.reached_s:
                return
            self._evidence_by_service[service] = add(evidence)
        self.update(service)
        self.in_doubt.set()

    def record_silence(self, endpoint: Endpoint) -> None:
        """Records that a request waits for an endpoint longer than usual.

        It is a reason to probe the service, but no evidence.
        """
        service, now_s = endpoint.service, self._clock()
        reached_s = self._find_evidence(service).reached_s
        if reached_s is not None and now_s - reached_s < _SILENCE_DOUBT_S:
            return
        with self._lock:
            self._silent_s_by_service[service] = now_s
        self.in_doubt.set()

    def is_out_of_reach(self, service: str) -> bool:
        """Returns whether no endpoint of a service answers to this VM."""
        if not self._find_evidence(service).latest_s_by_incarnation:
            return False
        return self.update(service)

    def is_disconnected(self, service: str) -> bool:
        """Returns whether no endpoint of a service takes connections from here.

        Silence alone is no reason: sound endpoints may be silent for a second.
        """
        failed_s = self._find_evidence(service).failed_s_by_incarnation
        return bool(failed_s) and self._is_enough(service, failed_s)

    def record_heard(self, service: str) -> None:
        """Records that bytes arrived on any connection to a service."""
        self._heard_s_by_service[service] = self._clock()

    def has_lost_connections(self, service: str) -> bool:
        """Returns whether open connections seem to be lost as well.

        That is, a service is disconnected, and nothing has arrived from it
        since the first of the failures that show this began.
        """
        failed_s = self._find_evidence(service).failed_s_by_incarnation
        if not failed_s or not self._is_enough(service, failed_s):
            return False
        heard_s = self._heard_s_by_service.get(service)
        return heard_s is None or heard_s < min(failed_s.values())

    def loses_calls(self, service: str) -> bool:
        """Returns whether connections open, and calls on them are lost.

        A request that is sent then may run, although its caller gets nothing.
        """
        sent_s = self._sent_s_by_service.get(service)
        return (
            sent_s is not None
            and self._clock() - sent_s < _FAILURE_TTL_S
            and self.is_disconnected(service)
        )

    def list_doubtful(self) -> tuple[str, ...]:
        """Returns the services that have not answered since a failure."""
        now_s = self._clock()
        services = tuple(self._evidence_by_service)
        silent = tuple(self._silent_s_by_service.items())
        return tuple(
            {
                *(s for s in services if self._list_failed(s)),
                *(s for s, at_s in silent if now_s - at_s < _SILENCE_DOUBT_S),
            }
        )

    def list_least_known(self, service: str) -> tuple[Endpoint, ...]:
        """Returns the endpoints of a service to probe, the least known first.

        At most `SAMPLE_SIZE` of them: those without a recent failure, then
        those whose failures are the oldest.
        """
        latest_s = self._find_evidence(service).latest_s_by_incarnation
        ranked = sorted(
            self._list_endpoints(service),
            key=lambda endpoint: latest_s.get(endpoint.incarnation, 0.0),
        )
        return tuple(ranked[:SAMPLE_SIZE])

    def update(self, service: str) -> bool:
        """Returns whether a service is out of reach; logs a change of that."""
        latest_s = self._find_evidence(service).latest_s_by_incarnation
        is_lost = self._is_enough(service, latest_s)
        with self._lock:
            if is_lost == (service in self._lost):
                return is_lost
            self._lost ^= {service}
        self._log_change(service, is_lost)
        return is_lost

    def _find_evidence(self, service: str) -> _Evidence:
        return self._evidence_by_service.get(service, _NO_EVIDENCE)

    def _is_enough(
        self, service: str, failed_s: Mapping[Incarnation, float]
    ) -> bool:
        """Returns whether failures show that a service is out of reach."""
        needed = min(len(self._list_endpoints(service)), SAMPLE_SIZE)
        return 0 < needed <= len(self._list_recent(service, failed_s))

    def _list_failed(self, service: str) -> list[Endpoint]:
        """Returns the present endpoints whose latest evidence is a failure."""
        latest_s = self._find_evidence(service).latest_s_by_incarnation
        return self._list_recent(service, latest_s)

    def _list_recent(
        self, service: str, failed_s: Mapping[Incarnation, float]
    ) -> list[Endpoint]:
        if not failed_s:
            return []
        oldest_s = self._clock() - _FAILURE_TTL_S
        return [
            endpoint
            for endpoint in self._list_endpoints(service)
            if failed_s.get(endpoint.incarnation, oldest_s) > oldest_s
        ]

    def explain(self, service: str) -> dict[str, Any]:
        """Returns what is known of a service, as plain data.

        Unlike `is_out_of_reach`, this changes and logs nothing.
        """
        evidence = self._find_evidence(service)
        reached_s = evidence.reached_s
        age_s = None if reached_s is None else self._clock() - reached_s
        return {
            "out_of_reach": self._is_enough(
                service, evidence.latest_s_by_incarnation
            ),
            "failed": len(self._list_failed(service)),
            "endpoints": len(self._list_endpoints(service)),
            "connects": not self.is_disconnected(service),
            "reached_age_s": None if age_s is None else round(age_s, 3),
        }

    def _log_change(self, service: str, is_lost: bool) -> None:
        self._registry.count("service", "lost" if is_lost else "reached")
        fields = self.explain(service)
        del fields["out_of_reach"]
        self._log(
            OUT_OF_REACH if is_lost else "service reached",
            service=service,
            **fields,
        )


def _keep_later(
    failed_s: Mapping[Incarnation, float], since_s: float
) -> dict[Incarnation, float]:
    return {
        incarnation: failed_at_s
        for incarnation, failed_at_s in failed_s.items()
        if failed_at_s > since_s
    }


def _add_later(
    failed_s: Mapping[Incarnation, float], endpoint: Endpoint, began_s: float
) -> dict[Incarnation, float]:
    key = endpoint.incarnation
    return {**failed_s, key: max(began_s, failed_s.get(key, began_s))}


def observe_calls(
    client: EndpointClient, reachability: Reachability, clock: Clock
) -> EndpointClient:
    """Returns a client that records which of its calls are answered.

    Args:
      client: makes the calls.
      reachability: receives the evidence.
      clock: monotonic clock, in seconds.
    """

    def record(
        endpoint: Endpoint, began_s: float, outcome: Result[Any, Failure]
    ) -> None:
        kind = outcome.err_value.kind if isinstance(outcome, Err) else None
        if kind in _ON_THE_WAY:
            was_sent = kind is FailureKind.CONNECTION_LOST
            reachability.record_failure(endpoint, began_s, was_sent)
        elif kind is FailureKind.UNRESPONSIVE:
            reachability.record_silence(endpoint)
        else:
            reachability.record_answer(endpoint, began_s)

    def observe(call: Callable[..., Any]) -> Callable[..., Any]:
        def observed(endpoint: Endpoint, *args: Any) -> Any:
            began_s = clock()
            outcome = call(endpoint, *args)
            record(endpoint, began_s, outcome)
            return outcome

        return observed

    def observe_attempt(call: Callable[..., Any]) -> Callable[..., Any]:
        def observed(
            endpoint: Endpoint, request: InboundCall, options: AttemptOptions
        ) -> Any:
            began_s = clock()
            outcome = call(endpoint, request, options)
            has_failed = isinstance(outcome, Err)
            is_cut_short = (
                options.abort.aborted or options.remaining_s < _MIN_ATTEMPT_S
            )
            if not (has_failed and is_cut_short):
                record(endpoint, began_s, outcome)
            return outcome

        return observed

    def probe(endpoint: Endpoint, path: str) -> Result[None, Failure]:
        began_s = clock()
        outcome = client.probe(endpoint, path)
        if (
            isinstance(outcome, Err)
            and outcome.err_value.kind is FailureKind.UNRESPONSIVE
        ):
            reachability.record_silent_probe(endpoint, began_s)
        else:
            record(endpoint, began_s, outcome)
        return outcome

    def is_reachable(endpoint: Endpoint) -> bool:
        began_s = clock()
        accepted = client.is_reachable(endpoint)
        if not accepted:
            reachability.record_failure(endpoint, began_s)
        return accepted

    return dataclasses.replace(
        client,
        run=observe_attempt(client.run),
        prefill=observe_attempt(client.prefill),
        reserve=observe(client.reserve),
        fetch_load=observe(client.fetch_load),
        order_stage=observe(client.order_stage),
        probe=probe,
        is_reachable=is_reachable,
    )


__all__ = ["OUT_OF_REACH", "SAMPLE_SIZE", "Reachability", "observe_calls"]
