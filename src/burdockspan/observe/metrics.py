"""Counters, timings and gauges that are sent to a statsd server."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable

_PREFIX = "burdockspan"
_UNSAFE = re.compile(r"[^A-Za-z0-9_.-]")


@dataclasses.dataclass(frozen=True)
class Metrics:
    """Functions that send a metric; none of them blocks or raises.

    Attributes:
      count: adds to a counter.
      time: sends a duration in seconds.
      gauge: sets a value.
      close: closes the socket.
    """

    count: Callable[[str, int], None]
    time: Callable[[str, float], None]
    gauge: Callable[[str, float], None]
    close: Callable[[], None]


def make_metrics(address: str | None) -> Metrics:
    """Returns metrics for a statsd server at `ip:port`; None sends nothing."""
    if address is None:
        return Metrics(_ignore, _ignore, _ignore, lambda: None)
    import statsd

    host, _, port = address.rpartition(":")
    client = statsd.StatsClient(host, int(port), prefix=_PREFIX)
    return Metrics(
        count=lambda name, value: client.incr(_clean(name), value),
        time=lambda name, value: client.timing(_clean(name), value * 1000),
        gauge=lambda name, value: client.gauge(_clean(name), value),
        close=client.close,
    )


def _ignore(name: str, value: float) -> None:
    del name, value


def _clean(name: str) -> str:
    # In the statsd protocol, a colon or a bar ends the name.
    return _UNSAFE.sub("_", name)


__all__ = ["Metrics", "make_metrics"]
