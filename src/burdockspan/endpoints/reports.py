"""Load reports and cache events of endpoints."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

from result import Err, Ok, Result

from burdockspan.endpoints.connections import Connections
from burdockspan.endpoints.fetch import fetch_json
from burdockspan.endpoints.responses import is_count, make_protocol_failure
from burdockspan.placement.prefix import CacheEvent
from burdockspan.values.clock import Clock
from burdockspan.values.endpoint import Endpoint, LoadReport
from burdockspan.values.placement import Failure

_COUNT_FIELDS = ("pieces", "free_pieces", "running", "waiting")


@dataclasses.dataclass(frozen=True)
class CacheEvents:
    """Cache events after a sequence number.

    Attributes:
      boot: identity of the engine's process.
      events: events in order of their sequence numbers.
      next_after: sequence number of the last event; the next request is for
        the events after it.
      gap: whether events are missing or the engine has restarted. The
        receiver's prefix index of this engine is then incomplete.
    """

    boot: str
    events: tuple[CacheEvent, ...]
    next_after: int
    gap: bool


def fetch_load(
    connections: Connections, endpoint: Endpoint, clock: Clock
) -> Result[LoadReport, Failure]:
    """Fetches the load report of an endpoint."""
    return fetch_json(connections, endpoint, "/load").and_then(
        lambda value: parse_load(endpoint, value, clock())
    )


def fetch_cache_events(
    connections: Connections, endpoint: Endpoint, boot: str, after: int
) -> Result[CacheEvents, Failure]:
    """Fetches the cache events of an engine after a sequence number.

    Args:
      connections: connections of the process.
      endpoint: the engine.
      boot: boot identity in the last response; empty before the first.
      after: sequence number of the last known event; 0 before the first.
    """
    path = f"/cache_events?after={after}"
    return fetch_json(connections, endpoint, path).and_then(
        lambda value: parse_cache_events(endpoint, value, boot, after)
    )


def parse_load(
    endpoint: Endpoint, value: dict[str, Any], now_s: float
) -> Result[LoadReport, Failure]:
    """Parses the load report of a response that arrived at `now_s`."""
    boot, state = value.get("boot"), value.get("state")
    age_s = value.get("age_s", 0.0)
    counts = {name: value.get(name, 0) for name in _COUNT_FIELDS}
    if (
        not isinstance(boot, str)
        or state not in ("live", "leaving")
        or not _is_age(age_s)
        or not all(is_count(count) for count in counts.values())
        or counts["free_pieces"] > counts["pieces"]
    ):
        return Err(make_protocol_failure(endpoint, "load report is malformed"))
    return Ok(
        LoadReport(
            endpoint=endpoint.name,
            boot=boot,
            leaving=state == "leaving",
            measured_s=now_s - age_s,
            **counts,
        )
    )


def parse_cache_events(
    endpoint: Endpoint, value: dict[str, Any], boot: str, after: int
) -> Result[CacheEvents, Failure]:
    """Parses cache events; drops those up to sequence number `after`."""
    current_boot, items = value.get("boot"), value.get("events")
    if not isinstance(current_boot, str) or not isinstance(items, list):
        return Err(
            make_protocol_failure(endpoint, "cache events are malformed")
        )
    restarted = bool(boot) and boot != current_boot
    last = 0 if restarted else after
    gap = restarted
    events = []
    for item in items:
        event = _parse_event(item)
        if event is None:
            return Err(
                make_protocol_failure(endpoint, "cache event is malformed")
            )
        if event.sequence <= last:
            continue
        gap = gap or event.sequence != last + 1
        last = event.sequence
        events.append(event)
    return Ok(CacheEvents(current_boot, tuple(events), last, gap))


def _parse_event(item: object) -> CacheEvent | None:
    if not isinstance(item, dict) or not is_count(item.get("sequence")):
        return None
    kind, blocks = item.get("kind"), item.get("blocks")
    if kind not in ("stored", "evicted") or not isinstance(blocks, list):
        return None
    if not all(is_count(block) for block in blocks):
        return None
    return CacheEvent(item["sequence"], kind == "stored", tuple(blocks))


def _is_age(value: object) -> bool:
    return (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and math.isfinite(value)
        and value >= 0
    )


__all__ = [
    "CacheEvents",
    "fetch_cache_events",
    "fetch_load",
    "parse_cache_events",
    "parse_load",
]
