"""Times out requests that arrive too slowly, and closes idle connections."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from burdockspan.gateway.callers.channel import RequestError
from burdockspan.gateway.callers.connection_log import (
    ClosedConnection,
    CloseReason,
    RecordClosed,
)
from burdockspan.gateway.callers.response_buffers import (
    SHORTAGE_UNREAD_S,
    ResponseBuffers,
)
from burdockspan.gateway.values import RequestLimits
from burdockspan.http.listener import (
    INACTIVITY_TIMEOUT_S,
    has_unread_bytes,
)
from burdockspan.values.clock import Clock

_CHECK_INTERVAL_S = 0.25
# Short, so that slow readers that come at once do not take all workers.
_PAUSED_CHECK_INTERVAL_S = 0.05
# Callers may reuse a connection until shortly before the idle timeout. The
# connection is closed well after the timeout, so that no request is in transit.
_IDLE_TIMEOUT_FACTOR = 1.5


class ChannelReaper:
    """Checks the connections of a server at intervals."""

    def __init__(
        self,
        limits: Callable[[], RequestLimits],
        clock: Clock,
        record_closed: RecordClosed,
        buffers: ResponseBuffers,
        paused_limit: int,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._record_closed = record_closed
        self._next_paused_check_s = 0.0
        self._buffers = buffers
        # Workers that may wait for slow readers while memory is short.
        self._paused_limit = paused_limit
        self._next_check_s = 0.0

    def close_expired(self, channels: Sequence[Any]) -> None:
        """Times out slow requests, and closes idle and stalled connections.

        The server calls this in each pass of its loop.
        """
        now_s = self._clock()
        if self._buffers.is_short and now_s >= self._next_paused_check_s:
            self._next_paused_check_s = now_s + _PAUSED_CHECK_INTERVAL_S
            self._record_closed(self._cut_off_paused(channels, now_s))
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + _CHECK_INTERVAL_S
        limits = self._limits()
        closed = []
        for channel in channels:
            if channel.is_stalled():
                waited_s = now_s - channel.last_activity
                closed.append(_cut_off(channel, waited_s, SHORTAGE_UNREAD_S))
                continue
            channel.wake_writer()
            expired = _find_expired(channel, limits, now_s)
            if expired is None or has_unread_bytes(channel):
                continue
            if channel.request is None or channel.total_outbufs_len:
                channel.handle_close()
            elif not _end_slow_request(channel, expired):
                continue
            closed.append(expired)
        self._record_closed(closed)

    def _cut_off_paused(
        self, channels: Sequence[Any], now_s: float
    ) -> list[ClosedConnection]:
        """Cuts off the slowest readers if too many workers wait for readers."""
        paused = [
            (since_s, channel)
            for channel in channels
            if (since_s := channel.paused_since_s()) is not None
        ]
        paused.sort(key=lambda item: item[0])
        excess = max(0, len(paused) - self._paused_limit)
        return [
            _cut_off(channel, now_s - since_s, None)
            for since_s, channel in paused[:excess]
        ]

    def record_stop(self, channels: Sequence[Any], were_in_use: bool) -> None:
        """Records connections that the end of the process has closed."""
        reason = CloseReason.CUT_OFF if were_in_use else CloseReason.STOP
        now_s = self._clock()
        self._record_closed(
            ClosedConnection(
                reason, channel.addr[0], now_s - channel.idle_since_s, None
            )
            for channel in channels
        )


def _find_expired(
    channel: Any, limits: RequestLimits, now_s: float
) -> ClosedConnection | None:
    """Returns what to record if a limit of a connection has passed."""
    # A worker thread adds output before it removes the request.
    if channel.requests:
        return None
    request = channel.request
    factor = 1.0
    if channel.total_outbufs_len:
        reason, since_s = CloseReason.NOT_READ, channel.last_activity
        limit_s = INACTIVITY_TIMEOUT_S
    elif request is None:
        reason, since_s = CloseReason.IDLE, channel.idle_since_s
        # A caller that has not seen the present limit follows the earlier one.
        limit_s = max(channel.idle_limit_s, limits.idle_timeout_s)
        factor = _IDLE_TIMEOUT_FACTOR
    elif request.headers_finished:
        reason, since_s = CloseReason.BODY_TIME, request.started_s
        limit_s = limits.idle_timeout_s
    else:
        reason, since_s = CloseReason.HEADER_TIME, request.started_s
        limit_s = limits.header_timeout_s
    waited_s = now_s - since_s
    if waited_s <= factor * limit_s:
        return None
    return ClosedConnection(reason, channel.addr[0], waited_s, limit_s)


def _cut_off(
    channel: Any, waited_s: float, limit_s: float | None
) -> ClosedConnection:
    """Cuts off a response that keeps memory or a worker that others need."""
    channel.cut_off()
    return ClosedConnection(
        CloseReason.NOT_READ, channel.addr[0], waited_s, limit_s
    )


def _end_slow_request(channel: Any, expired: ClosedConnection) -> bool:
    """Refuses a request that is not complete; returns whether it did."""
    with channel.requests_lock:
        request = channel.request
        if channel.requests or request is None:
            return False
        request.error = RequestError(
            408, f"request was not complete after {expired.limit_s:g} s"
        )
        request.completed = True
        channel.requests.append(request)
        channel.request = None
        channel.server.add_task(channel)
    return True


__all__ = ["ChannelReaper"]
