"""Probes the endpoints of services that may be out of reach."""

from __future__ import annotations

import threading
from collections.abc import Callable

from burdockspan.gateway.fleet.reachability import Reachability
from burdockspan.gateway.ports import EndpointClient
from burdockspan.gateway.state import GatewayState
from burdockspan.gateway.values import Endpoint

# Requests that are answered within this time make a probe unnecessary.
_GRACE_S = 0.05
_INTERVAL_S = 0.5
# Any answer shows that an endpoint is reached, also a 404.
_DEFAULT_PATH = "/"


def run_probes(
    reachability: Reachability,
    endpoints: EndpointClient,
    state: GatewayState,
    stopped: threading.Event,
) -> None:
    """Probes services after failures, until each is reached again.

    Args:
      reachability: says which services are in doubt, and learns from the
        probes.
      endpoints: makes the probes.
      state: knows the configuration.
      stopped: ends the probes.
    """
    while not stopped.is_set():
        if not reachability.in_doubt.wait(_INTERVAL_S):
            continue
        reachability.in_doubt.clear()
        stopped.wait(_GRACE_S)
        doubtful = reachability.list_doubtful()
        for service in doubtful:
            probe_service(reachability, endpoints, state, service)
            reachability.update(service)
        if reachability.list_doubtful():
            stopped.wait(_INTERVAL_S)
            reachability.in_doubt.set()


def probe_service(
    reachability: Reachability,
    endpoints: EndpointClient,
    state: GatewayState,
    service: str,
) -> None:
    """Probes a few endpoints of a service at the same time."""
    path = _find_health_path(state, service)

    def probe(endpoint: Endpoint) -> None:
        endpoints.probe(endpoint, path)

    threads = [
        threading.Thread(target=probe, args=(endpoint,), daemon=True)
        for endpoint in reachability.list_least_known(service)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def make_path_check(
    reachability: Reachability, endpoints: EndpointClient, state: GatewayState
) -> Callable[[Endpoint], bool]:
    """Returns a check whether this VM reaches any endpoint but a given one.

    The other endpoints of its service decide; if there are none, those of the
    other services. Without any other endpoint, the path counts as sound.
    """

    def reaches_others(endpoint: Endpoint) -> bool:
        others = [
            other
            for service in _choose_services(state, endpoint)
            for other in reachability.list_least_known(service)
            if other.incarnation != endpoint.incarnation
        ]
        return not others or any(map(endpoints.is_reachable, others))

    return reaches_others


def _choose_services(state: GatewayState, besides: Endpoint) -> list[str]:
    """Returns the services whose endpoints show whether a path is sound."""
    services = {
        entry.endpoint.service
        for entry in state.endpoint_table().by_id.values()
        if entry.endpoint.incarnation != besides.incarnation
    }
    if besides.service in services:
        return [besides.service]
    return sorted(services)


def _find_health_path(state: GatewayState, service: str) -> str:
    active = state.active_configuration()
    if active is None:
        return _DEFAULT_PATH
    known = active.configuration.services_by_name.get(service)
    return known.health_path if known is not None else _DEFAULT_PATH


__all__ = ["make_path_check", "probe_service", "run_probes"]
