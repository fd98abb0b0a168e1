"""Receives, stores and activates the configuration and the VM list."""

from __future__ import annotations

import dataclasses
from collections.abc import Set as AbstractSet

from burdockspan.configuration import adoption as adoptions
from burdockspan.configuration.adoption import Adoption
from burdockspan.configuration.document import Configuration
from burdockspan.membership import shared, table
from burdockspan.membership.values import Member, Versions
from burdockspan.node import endpoint_table, roles
from burdockspan.node.catalog import is_same_region, make_catalog
from burdockspan.node.context import Context
from burdockspan.node.effects import (
    Count,
    Effects,
    Note,
    OfferConfiguration,
    PullDocuments,
    ReadPlatform,
)
from burdockspan.node.messages import (
    PLATFORM_SOURCE,
    ConfigurationReceived,
    ConfigurationStored,
    VmListReceived,
)
from burdockspan.node.tables import Tables
from burdockspan.object_api.vms import make_fleet
from burdockspan.resilience import retries

_REQUEST_INTERVAL_S = 0.25
_VM_LIST_REQUEST_INTERVAL_S = 1.0
_PLANNED_CHANGES_INTERVAL_S = 0.25


def request_missing(tables: Tables, context: Context) -> Effects:
    """Requests the first documents from peers and the platform."""
    initial_fetch = tables.initial_fetch
    now_s = context.clock()
    if initial_fetch is None:
        return _request_vm_list(tables, now_s)
    effects: Effects = ()
    if now_s >= tables.timers.next_document_request_s:
        tables.timers.next_document_request_s = now_s + _REQUEST_INTERVAL_S
        peers = {member.address for member in _peers(tables)}
        sources = {PLATFORM_SOURCE, *tables.members.seeds, *peers}
        tables.initial_fetch, new_sources = adoptions.add_sources(
            initial_fetch, sources
        )
        effects = tuple(_make_request(tables, source) for source in new_sources)
    return effects + _finish_initial_fetch(tables, now_s)


def receive_configuration(
    tables: Tables, message: ConfigurationReceived, context: Context
) -> Effects:
    """Stores a newer configuration and offers it to peers of the zone.

    During the initial fetch, it is only recorded as the answer of its source,
    which may finish the fetch.
    """
    now_s = context.clock()
    if tables.initial_fetch is not None:
        tables.initial_fetch = adoptions.record_answer(
            tables.initial_fetch,
            message.source,
            message.configuration,
            from_peer=message.from_peer,
        )
        if message.failed or message.configuration is None:
            # The source is requested again: it may recover, or receive a
            # configuration later.
            tables.initial_fetch = adoptions.allow_retry(
                tables.initial_fetch, message.source
            )
        return _finish_initial_fetch(tables, now_s)
    if message.configuration is None:
        return ()
    return _replace_adoption(
        tables,
        adoptions.store_configuration(
            tables.adoption,
            message.configuration,
            now_s,
            from_peer=message.from_peer,
        ),
        context,
    )


def record_confirmation(
    tables: Tables, message: ConfigurationStored, context: Context
) -> Effects:
    """Records that a peer has stored a generation."""
    tables.adoption = adoptions.record_confirmation(
        tables.adoption, message.generation
    )
    return activate(tables, context)


def receive_vm_list(
    tables: Tables, message: VmListReceived, context: Context
) -> Effects:
    """Applies a newer VM list to the endpoints."""
    if message.vm_list.version <= tables.vm_list.version:
        return ()
    tables.vm_list = message.vm_list
    _update_versions(tables)
    return (Count("vm_lists"), *_rebuild_endpoints(tables, context))


def activate(tables: Tables, context: Context) -> Effects:
    """Activates the stored configuration once the adoption rules allow it."""
    if tables.adoption.pending_since_s is None:
        # Nothing waits for activation. Computing the zone peers below would
        # take 0.1 ms of each tick in a large region.
        return ()
    zone_peers = [member.vm for member in _zone_peers(tables)]
    previous = tables.adoption
    tables.adoption = adoptions.activate(previous, context.clock(), zone_peers)
    active = tables.adoption.active
    if active is None or active is previous.active:
        return ()
    tables.catalog = make_catalog(active)
    policy = active.policy
    tables.retry_budget = dataclasses.replace(
        retries.make_budget(policy.retry_ratio, policy.retry_burst),
        tokens=min(tables.retry_budget.tokens, policy.retry_burst),
    )
    log_event = Note(
        "configuration_active", (("generation", str(active.generation)),)
    )
    return (
        Count("configurations"),
        log_event,
        *_rebuild_endpoints(tables, context),
    )


def apply_planned_changes(tables: Tables, context: Context) -> Effects:
    """Applies planned stops that are due and newly reported roles."""
    now_s = context.clock()
    if tables.catalog is None or now_s < tables.timers.next_planned_changes_s:
        return ()
    tables.timers.next_planned_changes_s = now_s + _PLANNED_CHANGES_INTERVAL_S
    drained = _drained_vms(tables.catalog.configuration, context)
    roles_unchanged = roles.find_role_differences(tables) == tables.roles
    if drained == tables.drained_vms and roles_unchanged:
        return ()
    return _rebuild_endpoints(tables, context)


def _request_vm_list(tables: Tables, now_s: float) -> Effects:
    if (
        tables.vm_list.version > 0
        or now_s < tables.timers.next_document_request_s
    ):
        return ()
    tables.timers.next_document_request_s = now_s + _VM_LIST_REQUEST_INTERVAL_S
    return (ReadPlatform(),)


def _make_request(tables: Tables, source: str) -> PullDocuments | ReadPlatform:
    if source == PLATFORM_SOURCE:
        return ReadPlatform()
    return PullDocuments(source, tables.members.versions)


def _finish_initial_fetch(tables: Tables, now_s: float) -> Effects:
    if tables.initial_fetch is None:
        return ()
    adoption = adoptions.finish_initial_fetch(tables.initial_fetch, now_s)
    if adoption is None:
        return ()
    tables.initial_fetch = None
    tables.adoption = adoption
    _update_versions(tables)
    return _offer(tables)


def _replace_adoption(
    tables: Tables, adoption: Adoption, context: Context
) -> Effects:
    """Sets the adoption, offers its stored configuration and activates it."""
    if adoption is tables.adoption:
        return ()
    tables.adoption = adoption
    _update_versions(tables)
    return (*_offer(tables), *activate(tables, context))


def _offer(tables: Tables) -> Effects:
    stored = tables.adoption.stored
    if stored is None:
        return ()
    peers_by_vm = {member.vm: member for member in _zone_peers(tables)}
    targets = adoptions.choose_offer_targets(
        tables.adoption, tables.members.vm, peers_by_vm
    )
    return tuple(
        OfferConfiguration(peers_by_vm[vm].address, stored) for vm in targets
    )


def _update_versions(tables: Tables) -> None:
    versions = Versions(
        adoptions.generation_of(tables.adoption.stored), tables.vm_list.version
    )
    tables.members = table.with_versions(tables.members, versions)


def _rebuild_endpoints(tables: Tables, context: Context) -> Effects:
    catalog = tables.catalog
    if catalog is None:
        return ()
    roles.update(tables, context.clock())
    fleet = make_fleet(
        tables.vm_list, catalog.configuration, tables.roles.reported_pools_by_vm
    )
    drained = _drained_vms(catalog.configuration, context)
    tables.drained_vms = drained
    # Only endpoints of this region are used, polled and swept, because regions
    # can be partitioned from each other for an hour.
    zone = context.settings.availability_zone
    region_endpoints = [
        endpoint
        for endpoint in fleet.endpoints.values()
        if is_same_region(catalog, zone, endpoint.availability_zone)
    ]
    rows = endpoint_table.replace_endpoints(
        tables.endpoints_by_name, region_endpoints
    )
    _remove_endpoints(tables, tables.endpoints_by_name.keys() - rows.keys())
    leaving = drained | fleet.leaving | tables.roles.changing
    tables.endpoints_by_name = {
        name: dataclasses.replace(endpoint_row, drained=name in leaving)
        for name, endpoint_row in rows.items()
    }
    was_draining = tables.draining
    tables.draining = tables.members.vm in leaving
    if tables.draining == was_draining:
        return ()
    tables.draining_since_s = context.clock()
    return (Note("draining", (("draining", str(tables.draining).lower()),)),)


def _remove_endpoints(tables: Tables, names: AbstractSet[str]) -> None:
    """Removes the state of endpoints that have left the VM list.

    Without this the tables would grow: 240 VMs are replaced a day, and most
    replacements have new names.
    """
    if not names:
        return
    for name in names:
        tables.prefixes.remove_endpoint(name)
        tables.links_by_endpoint.pop(name, None)
        tables.cache_positions_by_endpoint.pop(name, None)
    shared_state = shared.remove_leaving_statuses(tables.members.shared, names)
    tables.members = table.with_shared(tables.members, shared_state)


def _drained_vms(
    configuration: Configuration, context: Context
) -> frozenset[str]:
    now_s = context.wall_clock()
    drained = {drain.vm for drain in configuration.drains}
    due = {stop.vm for stop in configuration.stops if stop.at_s <= now_s}
    return frozenset(drained | due)


def _peers(tables: Tables) -> tuple[Member, ...]:
    live = table.live_members(tables.members)
    return tuple(member for member in live if member.vm != tables.members.vm)


def _zone_peers(tables: Tables) -> tuple[Member, ...]:
    zone = tables.members.me.availability_zone
    return tuple(
        member for member in _peers(tables) if member.availability_zone == zone
    )


__all__ = [
    "activate",
    "apply_planned_changes",
    "record_confirmation",
    "receive_configuration",
    "receive_vm_list",
    "request_missing",
]
