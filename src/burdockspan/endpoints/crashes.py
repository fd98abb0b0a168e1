"""Tells a crashed endpoint from a broken connection."""

from __future__ import annotations

import dataclasses
import socket
import time

from result import Ok

from burdockspan.endpoints import engine
from burdockspan.endpoints.connections import Connections
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure, FailureKind

_TIMEOUT_S = 1.0
# A process that ends closes its connections one by one, and may still accept
# one on its way.
_TRIES_COUNT = 3
_PAUSE_S = 0.02


def confirm_crash(
    connections: Connections, endpoint: Endpoint, failure: Failure
) -> Failure:
    """Returns a lost connection's failure with what a new connection shows.

    Returns:
      `CRASHED` if the endpoint refuses connections. If it answers, the failure
      with the boot identity that it names, which the node compares with the
      one it knew. A connection that cannot be made proves nothing, since a
      partition looks the same.
    """
    for number in range(_TRIES_COUNT):
        health = engine.check_health(connections, endpoint, _TIMEOUT_S)
        if isinstance(health, Ok):
            return dataclasses.replace(failure, boot=health.ok_value.boot)
        if _refuses_connections(endpoint):
            return dataclasses.replace(failure, kind=FailureKind.CRASHED)
        if health.err_value.kind is not FailureKind.CONNECTION_LOST:
            break
        if number + 1 < _TRIES_COUNT:
            time.sleep(_PAUSE_S)
    return failure


def _refuses_connections(endpoint: Endpoint) -> bool:
    host, _, port = endpoint.address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), _TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


__all__ = ["confirm_crash"]
