"""Interface of the node to the HTTP layer."""

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
      make_attempt_id: returns a new attempt ID. The claim of an idempotency key
        stores it as its holder.
      submit: blocks until the call is placed or refused. The second argument
        tells whether the caller has disconnected.
      retry: reports a failed attempt and requests another placement; blocks
        until placed or refused. The refusal states whether the request ran.
      record_event: reports progress. Must be called before the step that the
        event names starts. Returns False if the attempt is no longer current,
        its caller has disconnected, or its deadline has passed; the step must
        then not start, and data that arrives for the attempt must be dropped.
      register_abort: registers a function that the node calls, at most once
        and from another thread, to abort the attempt's open connection.
      finish: ends the request with its execution and HTTP status. Calling it
        again has no effect.
      release: requests that the node release the attempt's reservation at an
        endpoint, in the background and with retries until the endpoint
        confirms.
      configuration: returns the current configuration, None before the first.
      is_ready: whether new calls are accepted. False before the first
        configuration, once the process stops or has been superseded, and when
        a drain has lasted some seconds.
      status: returns the node's state as JSON values.
      in_rotation: whether the load balancer should send callers here. Turns
        False at the start of a drain, some seconds earlier than `is_ready`, so
        that the load balancer can react before new calls are refused.
    """

    make_attempt_id: Callable[[], AttemptId]
    submit: Callable[
        [Submission, Callable[[], bool]], Result[Placement, Refusal]
    ]
    retry: Callable[[AttemptId, Failure], Result[Placement, Refusal]]
    record_event: Callable[[AttemptId, AttemptEvent], bool]
    register_abort: Callable[[AttemptId, Callable[[], None]], None]
    finish: Callable[[str, Execution, int], None]
    release: Callable[[AttemptId, str], None]
    configuration: Callable[[], Configuration | None]
    is_ready: Callable[[], bool]
    status: Callable[[], dict[str, Any]]
    in_rotation: Callable[[], bool] = lambda: True


__all__ = ["Router"]
