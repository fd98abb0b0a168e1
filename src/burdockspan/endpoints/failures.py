"""Failures of calls to endpoints."""

from __future__ import annotations

import dataclasses
import http.client

import urllib3

from burdockspan.endpoints.call_timer import TimeLimit
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure, FailureKind

# Exceptions that connecting to an endpoint and calling it may raise.
CALL_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)


class EndpointError(Exception):
    """Raised with the failure when reading a response body fails."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def make_failure(endpoint: Endpoint, kind: FailureKind, detail: str) -> Failure:
    """Returns a failure of a call to an endpoint."""
    return Failure(kind, endpoint.name, detail)


def classify_error(
    endpoint: Endpoint,
    call: str,
    error: Exception,
    ended_by: TimeLimit | None = None,
) -> Failure:
    """Returns the failure of a call that may have been sent in part.

    Args:
      endpoint: endpoint that was called.
      call: description of the call.
      error: what ended the call.
      ended_by: the limit that ended it; None if none did.
    """
    if isinstance(error, urllib3.exceptions.ReadTimeoutError):
        # urllib3 drops the text that says which limit has passed.
        error = _find_cause(error)
    timeouts = (TimeoutError, urllib3.exceptions.TimeoutError)
    kind = FailureKind.CONNECTION_LOST
    if ended_by is not None or isinstance(error, timeouts):
        kind = FailureKind.UNRESPONSIVE
    detail = f"{call}: {type(error).__name__}: {error}"
    failure = make_failure(endpoint, kind, detail)
    limit = ended_by.value if ended_by is not None else ""
    return dataclasses.replace(failure, limit=limit)


def _find_cause(error: Exception) -> Exception:
    cause = error.__cause__
    return cause if isinstance(cause, TimeoutError) else error


def make_not_connected(endpoint: Endpoint, detail: str) -> Failure:
    """Returns the failure of a call that was not sent at all."""
    return make_failure(endpoint, FailureKind.NOT_CONNECTED, detail)


__all__ = [
    "CALL_ERRORS",
    "EndpointError",
    "classify_error",
    "make_failure",
    "make_not_connected",
]
