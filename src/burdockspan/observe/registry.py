"""Prometheus metrics that a gateway process serves."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import prometheus_client

_PREFIX = "burdockspan"
# Upper bounds of the histogram buckets, from the time of a response within the
# zone to the longest timeout of a route.
_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3.0, 6.0, 15.0)


@dataclasses.dataclass(frozen=True)
class Registry:
    """Functions on the metrics of a process.

    Attributes:
      count: adds one to the counter of events, by event and outcome.
      observe: adds a duration in seconds to a histogram, by operation.
      set_gauge: sets a value, by name.
      render: returns all metrics in the Prometheus text format.
    """

    count: Callable[[str, str], None]
    observe: Callable[[str, float], None]
    set_gauge: Callable[[str, float], None]
    render: Callable[[], bytes]


def make_registry() -> Registry:
    """Returns a registry without any samples."""
    registry = prometheus_client.CollectorRegistry()
    events = prometheus_client.Counter(
        f"{_PREFIX}_events",
        "Events by outcome.",
        ("event", "outcome"),
        registry=registry,
    )
    durations = prometheus_client.Histogram(
        f"{_PREFIX}_duration_seconds",
        "Durations by operation.",
        ("operation",),
        buckets=_BUCKETS_S,
        registry=registry,
    )
    state = prometheus_client.Gauge(
        f"{_PREFIX}_state",
        "Values of the process's state.",
        ("name",),
        registry=registry,
    )
    return Registry(
        count=lambda event, outcome: events.labels(event, outcome).inc(),
        observe=lambda name, duration_s: durations.labels(name).observe(
            duration_s
        ),
        set_gauge=lambda name, value: state.labels(name).set(value),
        render=lambda: prometheus_client.generate_latest(registry),
    )


__all__ = ["Registry", "make_registry"]
