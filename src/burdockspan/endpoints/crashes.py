"""Distinguishes a crashed endpoint from a lost connection."""

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
# A process that exits closes its connections one by one. It may still accept a
# new one meanwhile, so the check is repeated after a short delay.
_ATTEMPTS_LIMIT = 3
_RETRY_DELAY_S = 0.02


def confirm_crash(
    connections: Connections, endpoint: Endpoint, failure: Failure
) -> Failure:
    """Checks on a new connection whether the endpoint has crashed.

    Args:
      connections: connections of the process.
      endpoint: the endpoint.
      failure: failure of the lost connection.

    Returns:
      The failure with kind `CRASHED` if the endpoint refuses connections. If
      its health check succeeds, the failure with the boot identity that it
      reports, which the node compares with the last known one. The unchanged
      failure otherwise: a connection that cannot be opened proves no crash,
      since a network partition has the same effect.
    """
    for number in range(_ATTEMPTS_LIMIT):
        health = engine.check_health(connections, endpoint, _TIMEOUT_S)
        if isinstance(health, Ok):
            return dataclasses.replace(failure, boot=health.ok_value.boot)
        if _refuses_connections(endpoint):
            return dataclasses.replace(failure, kind=FailureKind.CRASHED)
        if health.err_value.kind is not FailureKind.CONNECTION_LOST:
            break
        if number + 1 < _ATTEMPTS_LIMIT:
            time.sleep(_RETRY_DELAY_S)
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
