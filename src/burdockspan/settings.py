"""Data classes of an entry process's settings."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of one entry process.

    Attributes:
      vm: name of this VM, unique in the fleet.
      availability_zone: zone of this VM.
      region: region of the zone.
      caller_address: `ip:port` that callers connect to.
      admin_address: `ip:port` for operators: status, health.
      peer_address: `ip:port` for other entry VMs, UDP and TCP.
      peers: `ip:port` peer addresses to contact first.
      platform_url: base URL of the platform's API.
      statsd_address: `ip:port` of the statsd server; None sends nothing.
      traces_url: OTLP HTTP endpoint; None exports nothing.
      trace_ratio: share of requests whose traces are exported, 0 to 1.
      threads: most calls served at a time.
    """

    vm: str
    availability_zone: str
    region: str
    caller_address: str
    admin_address: str
    peer_address: str
    platform_url: str
    peers: tuple[str, ...] = ()
    statsd_address: str | None = None
    traces_url: str | None = None
    trace_ratio: float = 0.01
    threads: int = 420


__all__ = ["Settings"]
