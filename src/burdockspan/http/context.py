"""Dependencies of the HTTP layer on the rest of the process."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from burdockspan.claims.store import Claims
from burdockspan.endpoints.connections import Connections
from burdockspan.observe.metrics import Metrics, make_metrics
from burdockspan.observe.traces import Traces, make_no_traces
from burdockspan.values.clock import Clock
from burdockspan.values.router import Router


@dataclasses.dataclass(frozen=True)
class HandlerContext:
    """Dependencies of the handlers.

    Attributes:
      router: interface of the node.
      claims: claims on idempotency keys.
      connections: connection pool for endpoints.
      clock: monotonic clock, in seconds.
      block_hashes: returns the hashes of the leading blocks of a prompt.
      metrics: counters and timers.
      traces: trace spans of requests.
    """

    router: Router
    claims: Claims
    connections: Connections
    clock: Clock
    block_hashes: Callable[[str], tuple[int, ...]] = lambda _: ()
    metrics: Metrics = dataclasses.field(
        default_factory=lambda: make_metrics(None)
    )
    traces: Traces = dataclasses.field(default_factory=make_no_traces)


__all__ = ["HandlerContext"]
