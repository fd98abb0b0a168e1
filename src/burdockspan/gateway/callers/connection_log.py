"""Log lines and counters of the connections that this process closes."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Iterable

from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry

# Limit of the lines of one check and reason, so that the log keeps room for
# requests when many connections close at once.
_LINES_LIMIT = 10


class CloseReason(enum.StrEnum):
    """Why this process closes a connection.

    Attributes:
      IDLE: the idle timeout and its margin have passed.
      HEADER_TIME: the head of a request did not arrive in time.
      BODY_TIME: the body of a request did not arrive in time.
      NOT_READ: the caller does not read an answer.
      STOP: the process stops, and the connection is not in use.
      CUT_OFF: the process ends while the connection is in use.
    """

    IDLE = "idle"
    HEADER_TIME = "header_time"
    BODY_TIME = "body_time"
    NOT_READ = "not_read"
    STOP = "stop"
    CUT_OFF = "cut_off"


@dataclasses.dataclass(frozen=True)
class ClosedConnection:
    """A connection that this process closes.

    Attributes:
      reason: why it is closed.
      client: IP address of the caller.
      waited_s: seconds since the last answer, or since the first byte of a
        request that is not complete, or since the last byte that was read of an
        answer.
      limit_s: limit of that time in seconds; None without one.
    """

    reason: CloseReason
    client: str
    waited_s: float
    limit_s: float | None


RecordClosed = Callable[[Iterable[ClosedConnection]], None]


def make_close_recorder(log: WriteEvent, registry: Registry) -> RecordClosed:
    """Returns a function that logs and counts what one check closes.

    Args:
      log: writes a log event.
      registry: counts the connections by reason.
    """

    def record(closed: Iterable[ClosedConnection]) -> None:
        all_closed = tuple(closed)
        for reason in CloseReason:
            connections = [
                connection
                for connection in all_closed
                if connection.reason is reason
            ]
            for _ in connections:
                registry.count("connection_closed", reason)
            if len(connections) > _LINES_LIMIT:
                _log_many(log, reason, connections)
                continue
            for connection in connections:
                log(
                    "connection closed",
                    reason=reason,
                    client=connection.client,
                    waited_s=round(connection.waited_s, 3),
                    limit_s=connection.limit_s,
                )

    return record


def _log_many(
    log: WriteEvent, reason: CloseReason, connections: list[ClosedConnection]
) -> None:
    waited_s = [connection.waited_s for connection in connections]
    limits_s = [
        connection.limit_s
        for connection in connections
        if connection.limit_s is not None
    ]
    log(
        "connections closed",
        reason=reason,
        count=len(connections),
        shortest_waited_s=round(min(waited_s), 3),
        longest_waited_s=round(max(waited_s), 3),
        limit_s=min(limits_s, default=None),
    )


__all__ = [
    "CloseReason",
    "ClosedConnection",
    "RecordClosed",
    "make_close_recorder",
]
