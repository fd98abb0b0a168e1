"""Settings of an entry process, read from YAML."""

from __future__ import annotations

import dataclasses

from result import Err, Ok, Result

from burdockspan.configuration import converters, strict_yaml
from burdockspan.configuration.fields import (
    Section,
    check_distinct,
    check_keys,
    read_field,
    read_required,
)
from burdockspan.configuration.problem import Problem

_NAME = converters.text(
    r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}",
    "a name of up to 63 letters, digits, '-' and '_'",
)
_THREADS_LIMIT = 4096


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of one entry process.

    Attributes:
      vm: name of this VM, unique in the fleet.
      availability_zone: zone of this VM.
      region: region of the zone.
      caller_address: `ip:port` that callers connect to.
      admin_address: `ip:port` for operators' status and health requests.
      peer_address: `ip:port` for other entry VMs, UDP and TCP.
      platform_url: base URL of the platform's API.
      peers: `ip:port` peer addresses to contact first.
      statsd_address: `ip:port` of the statsd server; None sends nothing.
      traces_url: URL that spans are exported to over OTLP; None exports none.
      trace_ratio: fraction of requests whose traces are exported, 0 to 1.
      threads: most concurrent calls.
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


def load_settings(path: str) -> Result[Settings, tuple[Problem, ...]]:
    """Reads and validates a settings file.

    Args:
      path: YAML file of at most 1 MB without aliases or duplicate keys.

    Returns:
      The settings, or every problem found, each with its file and field.
    """
    text = strict_yaml.read_file(path)
    if isinstance(text, Err):
        return text
    values = strict_yaml.read_mapping(text.ok_value, path)
    if isinstance(values, Err):
        return values
    section = Section(path, "", values.ok_value, [])
    check_keys(section, (field.name for field in dataclasses.fields(Settings)))
    settings = _read_settings(section)
    check_distinct(
        section,
        settings,
        ("caller_address", "admin_address", "peer_address"),
    )
    if section.problems:
        return Err(tuple(section.problems))
    return Ok(settings)


def _read_settings(section: Section) -> Settings:
    def optional_address(value: object) -> Result[str | None, str]:
        return converters.CONNECT_ADDRESS(value)

    def optional_url(value: object) -> Result[str | None, str]:
        return converters.url(value)

    return Settings(
        vm=read_required(section, "vm", _NAME, ""),
        availability_zone=read_required(
            section, "availability_zone", _NAME, ""
        ),
        region=read_required(section, "region", _NAME, ""),
        caller_address=read_required(
            section, "caller_address", converters.LISTEN_ADDRESS, ""
        ),
        admin_address=read_required(
            section, "admin_address", converters.LISTEN_ADDRESS, ""
        ),
        peer_address=read_required(
            section, "peer_address", converters.CONNECT_ADDRESS, ""
        ),
        platform_url=read_required(
            section, "platform_url", converters.base_url, ""
        ),
        peers=read_field(
            section, "peers", converters.list_of(converters.CONNECT_ADDRESS), ()
        ),
        statsd_address=read_field(
            section, "statsd_address", optional_address, None
        ),
        traces_url=read_field(section, "traces_url", optional_url, None),
        trace_ratio=read_field(
            section, "trace_ratio", converters.share, Settings.trace_ratio
        ),
        threads=read_field(
            section,
            "threads",
            converters.count(1, _THREADS_LIMIT),
            Settings.threads,
        ),
    )


__all__ = ["Settings", "load_settings"]
