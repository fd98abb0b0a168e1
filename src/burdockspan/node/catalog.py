"""Indexes of a configuration, computed once for each generation."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from burdockspan.configuration.document import (
    Client,
    Configuration,
    Model,
    Service,
)


@dataclasses.dataclass(frozen=True)
class Catalog:
    """A configuration with indexes of its entries.

    Attributes:
      configuration: the active configuration.
      services_by_name: services.
      service_by_model: the service that serves each model.
      models_by_name: models.
      clients_by_name: client accounts.
      delay_ms_by_zones: one-way delay of each ordered pair of zones.
    """

    configuration: Configuration
    services_by_name: Mapping[str, Service]
    service_by_model: Mapping[str, Service]
    models_by_name: Mapping[str, Model]
    clients_by_name: Mapping[str, Client]
    delay_ms_by_zones: Mapping[tuple[str, str], float]


def make_catalog(configuration: Configuration) -> Catalog:
    """Returns a configuration with its indexes."""
    delay_ms_by_zones: dict[tuple[str, str], float] = {}
    for distance in configuration.distances:
        delay_ms_by_zones[distance.zone, distance.other] = distance.one_way_ms
        delay_ms_by_zones[distance.other, distance.zone] = distance.one_way_ms
    services = configuration.services
    return Catalog(
        configuration=configuration,
        services_by_name={service.name: service for service in services},
        service_by_model={
            model.name: service
            for service in services
            for model in service.models
        },
        models_by_name={
            model.name: model
            for service in services
            for model in service.models
        },
        clients_by_name={
            client.name: client for client in configuration.clients
        },
        delay_ms_by_zones=delay_ms_by_zones,
    )


def delay_ms(catalog: Catalog, zone: str, other: str) -> float:
    """Returns the one-way delay between two zones, 0 within one."""
    if zone == other:
        return 0.0
    return catalog.delay_ms_by_zones.get((zone, other), 0.0)


def is_same_region(catalog: Catalog, zone: str, other: str) -> bool:
    """Returns whether two zones are in one region.

    The configuration has a delay for every pair of zones of one region. Without
    any delay, all zones count as one region.
    """
    if zone == other or not catalog.delay_ms_by_zones:
        return True
    return (zone, other) in catalog.delay_ms_by_zones


__all__ = ["Catalog", "delay_ms", "is_same_region", "make_catalog"]
