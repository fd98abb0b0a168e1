"""Selects the route of a request, and one of the route's services."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from burdockspan.gateway.values import Configuration, Route
from burdockspan.placement.sampling import RandomFloat


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """Lookup table of the routes of one configuration.

    Attributes:
      route_by_prefix: the routes by host and path prefix.
    """

    route_by_prefix: Mapping[tuple[str, str], Route]


def make_routing_table(configuration: Configuration) -> RoutingTable:
    """Returns the routing table of a configuration."""
    routes = configuration.routes
    return RoutingTable(
        {(route.host, route.path_prefix): route for route in routes}
    )


def find_route(table: RoutingTable, host: str, path: str) -> Route | None:
    """Returns the route with the longest matching path prefix, if any.

    The cost depends on the length of the path but not on the number of routes,
    of which a configuration may have hundreds.
    """
    hosts = (host, host.rpartition(":")[0]) if ":" in host else (host,)
    end = path.rfind("/")
    while end >= 0:
        for name in hosts:
            route = table.route_by_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
        end = path.rfind("/", 0, end)
    return None


def choose_service(route: Route, random_float: RandomFloat) -> str:
    """Returns a random service of the route according to the weights."""
    total = sum(service.weight for service in route.services)
    point = random_float() * total
    for service in route.services:
        point -= service.weight
        if point < 0:
            return service.name
    return route.services[-1].name


__all__ = ["RoutingTable", "choose_service", "find_route", "make_routing_table"]
