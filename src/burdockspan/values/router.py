"""What the HTTP layer can ask of the node."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from result import Result

from burdockspan.configuration.document import Configuration
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import AttemptEvent, Failure, Placement
from burdockspan.values.refusal import Execution, Refusal
from burdockspan.values.submission import Submission


@dataclasses.dataclass(frozen=True)
class Router:
    """Functions of the node; each may be called from any thread.

    Attributes:
      identify: returns a fresh identity, for the holder of a claim.
      submit: blocks until the call is placed or refused. The second argument
        tells whether the caller has gone.
      replace: reports a failed attempt and asks for another placement; blocks
        until placed or refused. The refusal carries the truthful execution.
      record: reports progress. Must be called before the step that it names
        starts. Returns False if the attempt is no longer current, its caller
        has gone, or its deadline has passed; the step must then not start,
        and what arrives for the attempt must be dropped.
      attach: registers a function that the node calls, at most once and from
        another thread, to abort the attempt's open connection.
      finish: ends the request with what became of it and the HTTP status.
        Calling it again has no effect.
      release: asks the node to free the attempt's memory at an endpoint, in
        the background and with retries until the endpoint confirms.
      configuration: returns the configuration in force, None before the first.
      ready: whether new calls are accepted (configuration held, not stopping).
      status: returns the node's state as JSON values.
      in_rotation: whether the load balancer should send callers here; False
        some seconds before `ready`, so that it has time to notice a drain.
    """

    identify: Callable[[], AttemptId]
    submit: Callable[
        [Submission, Callable[[], bool]], Result[Placement, Refusal]
    ]
    replace: Callable[[AttemptId, Failure], Result[Placement, Refusal]]
    record: Callable[[AttemptId, AttemptEvent], bool]
    attach: Callable[[AttemptId, Callable[[], None]], None]
    finish: Callable[[str, Execution, int], None]
    release: Callable[[AttemptId, str], None]
    configuration: Callable[[], Configuration | None]
    ready: Callable[[], bool]
    status: Callable[[], dict[str, Any]]
    in_rotation: Callable[[], bool] = lambda: True


__all__ = ["Router"]
