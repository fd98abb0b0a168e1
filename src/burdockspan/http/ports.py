"""What the HTTP layer needs from the rest of the process."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from result import Result

from burdockspan.claims.record import (
    Answer,
    ClaimRecord,
    ClaimState,
    Held,
    Replay,
)
from burdockspan.endpoints.connections import Connections
from burdockspan.observe.metrics import Metrics, make_metrics
from burdockspan.observe.traces import Traces, make_no_traces
from burdockspan.values.clock import Clock
from burdockspan.values.ids import AttemptId
from burdockspan.values.refusal import Refusal
from burdockspan.values.router import Router


@dataclasses.dataclass(frozen=True)
class Claims:
    """Functions on claims; each may be called from any thread.

    Attributes:
      claim: claims a key for a body digest and holder.
      give_up: gives up a claim that was not dispatched. Returns when the
        update is written or its retries have been moved to the background.
      settle: ends a claim as DONE with its answer or as UNKNOWN, with the
        same rule for retries.
      look_up: returns the claim of a client's key, None if there is none.
    """

    claim: Callable[[str, str, str, AttemptId], Result[Held, Refusal | Replay]]
    give_up: Callable[[Held], object]
    settle: Callable[[Held, ClaimState, Answer | None], object]
    look_up: Callable[[str, str], Result[ClaimRecord | None, Any]]


@dataclasses.dataclass(frozen=True)
class Ports:
    """Collaborators of the handlers.

    Attributes:
      router: the node.
      claims: claims on idempotency keys.
      connections: connections to endpoints.
      clock: monotonic clock, in seconds.
      block_hashes: hashes of the leading blocks of a prompt.
      metrics: counters and timings.
      traces: spans of requests.
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


__all__ = ["Claims", "Ports"]
