"""Periodic work on endpoints: load polls, releases and orphaned attempts."""

from __future__ import annotations

import dataclasses
import heapq

from result import Err

from burdockspan.membership import ownership, table
from burdockspan.node import delegation
from burdockspan.node.context import Context
from burdockspan.node.effects import (
    Count,
    Effects,
    FetchCacheEvents,
    FreeMemory,
    ListAttempts,
    PollLoad,
)
from burdockspan.node.endpoint_table import EndpointRow
from burdockspan.node.gossip import is_dead
from burdockspan.node.messages import (
    AttemptsListed,
    CacheEventsFetched,
    MemoryReleased,
)
from burdockspan.node.tables import PendingRelease, Tables
from burdockspan.requests import lifecycle
from burdockspan.requests.orphans import find_orphans
from burdockspan.resilience import breaker
from burdockspan.values.endpoint import Pool

_POLL_INTERVAL_S = 0.25
# Every node polls endpoints whose reports are older than this, since their
# owner may have failed.
_STALE_POLL_AGE_S = 0.75
# Polls of such endpoints in one interval. In a region of more than about 25
# entry VMs gossip is too slow for the age limit, and without this bound every
# node would poll every endpoint each second: 310 polls/s from each of 175 entry
# VMs.
_MAX_STALE_POLLS = 2
_ORPHAN_SWEEP_INTERVAL_S = 0.5
_CACHE_POLL_INTERVAL_S = 2.0
_MIN_RELEASE_BACKOFF_S = 0.1
_MAX_RELEASE_BACKOFF_S = 1.0
# A release is given up after this long. An engine that has not confirmed it by
# then counts as replaced.
_RELEASE_TIMEOUT_S = 120.0


def poll_endpoints(tables: Tables, context: Context) -> Effects:
    """Polls the endpoints that this node owns, and some with stale reports."""
    now_s = context.clock()
    if now_s < tables.timers.next_poll_s:
        return ()
    tables.timers.next_poll_s = now_s + _POLL_INTERVAL_S
    zone = context.settings.availability_zone
    owned = find_owned_endpoints(tables)
    stale = [
        endpoint_row
        for name, endpoint_row in tables.endpoints_by_name.items()
        if name not in owned
        and now_s - endpoint_row.report_received_s > _STALE_POLL_AGE_S
    ]
    rows = (
        *(tables.endpoints_by_name[name] for name in sorted(owned)),
        *_choose_stale(stale, zone, now_s),
    )
    return tuple(PollLoad(endpoint_row.endpoint) for endpoint_row in rows)


def list_attempts(tables: Tables, context: Context) -> Effects:
    """Requests the attempts of each engine that this node owns."""
    now_s = context.clock()
    if now_s < tables.timers.next_orphan_sweep_s:
        return ()
    tables.timers.next_orphan_sweep_s = now_s + _ORPHAN_SWEEP_INTERVAL_S
    rows = (
        tables.endpoints_by_name[name] for name in find_owned_endpoints(tables)
    )
    return tuple(
        ListAttempts(endpoint_row.endpoint)
        for endpoint_row in rows
        if endpoint_row.endpoint.pool is not Pool.SERVICE
    )


def fetch_cache_events(tables: Tables, context: Context) -> Effects:
    """Fetches changes of the prefix caches of the pools that this node owns.

    Other nodes place calls only while the owner is unresponsive. They choose
    prefill engines by load alone.
    """
    now_s = context.clock()
    if now_s < tables.timers.next_cache_poll_s:
        return ()
    tables.timers.next_cache_poll_s = now_s + _CACHE_POLL_INTERVAL_S
    positions = tables.cache_positions_by_endpoint
    return tuple(
        FetchCacheEvents(endpoint_row.endpoint, *positions.get(name, ("", 0)))
        for name, endpoint_row in tables.endpoints_by_name.items()
        if endpoint_row.endpoint.pool is Pool.PREFILL
        and endpoint_row.boot
        and delegation.owns_pool(tables, endpoint_row.endpoint.service)
    )


def apply_cache_events(
    tables: Tables, message: CacheEventsFetched, context: Context
) -> Effects:
    """Applies fetched cache events to the prefix index."""
    del context
    fetched = message.events
    if message.endpoint not in tables.endpoints_by_name:
        return ()
    tables.prefixes.apply(message.endpoint, fetched.boot, fetched.events)
    tables.cache_positions_by_endpoint[message.endpoint] = (
        fetched.boot,
        fetched.next_after,
    )
    return (Count("cache_events.gaps"),) if fetched.gap else ()


def release_orphans(
    tables: Tables, message: AttemptsListed, context: Context
) -> Effects:
    """Queues the release of listed attempts that no node uses any more."""
    endpoint_row = tables.endpoints_by_name.get(message.endpoint)
    if endpoint_row is None or isinstance(message.outcome, Err):
        return ()
    me = tables.members.me
    orphans = find_orphans(
        message.outcome.ok_value,
        me.vm,
        tables.first_incarnation,
        _current_attempts(tables),
        lambda vm, incarnation: is_dead(tables, vm, incarnation),
    )
    now_s = context.clock()
    for attempt in orphans:
        key = (attempt, message.endpoint)
        tables.releases.setdefault(key, PendingRelease(now_s, now_s))
    return (Count("orphans", len(orphans)),) if orphans else ()


def release_memory(tables: Tables, context: Context) -> Effects:
    """Sends the releases that are due.

    Removes those that timed out or whose endpoint has left the VM list.
    """
    now_s = context.clock()
    effects: Effects = ()
    for key, release in list(tables.releases.items()):
        attempt, name = key
        endpoint_row = tables.endpoints_by_name.get(name)
        if (
            endpoint_row is None
            or now_s - release.started_s > _RELEASE_TIMEOUT_S
        ):
            del tables.releases[key]
            continue
        if now_s < release.next_s:
            continue
        tables.releases[key] = dataclasses.replace(
            release, next_s=float("inf"), tries=release.tries + 1
        )
        effects += (FreeMemory(attempt, endpoint_row.endpoint),)
    return effects


def record_release(
    tables: Tables, message: MemoryReleased, context: Context
) -> Effects:
    """Removes a confirmed release, or schedules the next try."""
    key = (message.attempt, message.endpoint)
    release = tables.releases.get(key)
    if release is None:
        return ()
    if message.confirmed:
        del tables.releases[key]
        return (Count("released"),)
    backoff_s = min(
        _MAX_RELEASE_BACKOFF_S, _MIN_RELEASE_BACKOFF_S * 2**release.tries
    )
    tables.releases[key] = dataclasses.replace(
        release, next_s=context.clock() + backoff_s
    )
    return (Count("releases.retried"),)


def _choose_stale(
    stale: list[EndpointRow], zone: str, now_s: float
) -> list[EndpointRow]:
    """Returns the rows to poll, those of this zone and the stalest first.

    Endpoints with an open breaker come last, so that failed ones do not use up
    the bound.
    """

    def rank(endpoint_row: EndpointRow) -> tuple[bool, bool, float]:
        failing = not breaker.allows(endpoint_row.breaker, now_s)
        return (
            failing,
            endpoint_row.endpoint.availability_zone != zone,
            endpoint_row.report_received_s,
        )

    return heapq.nsmallest(_MAX_STALE_POLLS, stale, key=rank)


def find_owned_endpoints(tables: Tables) -> frozenset[str]:
    """Returns the endpoints that this node owns.

    Rendezvous hashing of every endpoint over every member takes milliseconds,
    so the result is cached until a member or the list of endpoints changes.
    """
    cache_key = (tables.members.by_vm, tables.vm_list, tables.catalog)
    if any(
        old is not new
        for old, new in zip(tables.ownership_cache_key, cache_key, strict=True)
    ):
        tables.ownership_cache_key = cache_key
        tables.owned_endpoints = _compute_owned_endpoints(tables)
    return tables.owned_endpoints


def _compute_owned_endpoints(tables: Tables) -> frozenset[str]:
    members = tables.members
    live_anywhere = table.live_vms(members)
    live_by_zone: dict[str, tuple[str, ...]] = {}
    owned = set()
    for name, endpoint_row in tables.endpoints_by_name.items():
        zone = endpoint_row.endpoint.availability_zone
        if zone not in live_by_zone:
            live_by_zone[zone] = table.live_vms(members, zone) or live_anywhere
        if ownership.owner_of(name, live_by_zone[zone]) == members.vm:
            owned.add(name)
    return frozenset(owned)


def _current_attempts(tables: Tables) -> set:
    return {
        request_row.attempt
        for request_row in tables.requests_by_id.values()
        if request_row.attempt is not None
        and request_row.state not in lifecycle.TERMINAL_STATES
    }


__all__ = [
    "fetch_cache_events",
    "release_memory",
    "release_orphans",
    "list_attempts",
    "record_release",
    "find_owned_endpoints",
    "poll_endpoints",
    "apply_cache_events",
]
