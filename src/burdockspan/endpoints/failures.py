"""Failures of calls to endpoints."""

from __future__ import annotations

import http.client

import urllib3

from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure, FailureKind

ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)


class EndpointError(Exception):
    """Carries a failure out of an iteration over an answer."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def make_failure(endpoint: Endpoint, kind: FailureKind, detail: str) -> Failure:
    """Returns a failure at an endpoint."""
    return Failure(kind, endpoint.name, detail)


def classify_error(endpoint: Endpoint, call: str, error: Exception) -> Failure:
    """Returns the failure of a call of which a byte may have been sent."""
    silent = (TimeoutError, urllib3.exceptions.TimeoutError)
    kind = FailureKind.CONNECTION_LOST
    if isinstance(error, silent):
        kind = FailureKind.UNRESPONSIVE
    detail = f"{call}: {type(error).__name__}: {error}"
    return make_failure(endpoint, kind, detail)


def make_not_connected(endpoint: Endpoint, detail: str) -> Failure:
    """Returns the failure of a call of which no byte was sent."""
    return make_failure(endpoint, FailureKind.NOT_CONNECTED, detail)


__all__ = [
    "ERRORS",
    "EndpointError",
    "classify_error",
    "make_failure",
    "make_not_connected",
]
