"""Times out requests that arrive too slowly, and closes idle connections."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from burdockspan.gateway.channel import RequestError
from burdockspan.gateway.values import RequestLimits
from burdockspan.http.listener import INACTIVITY_TIMEOUT_S, has_unread_bytes
from burdockspan.values.clock import Clock

_CHECK_INTERVAL_S = 0.25
# Callers may reuse a connection until shortly before the idle timeout. The
# connection is closed well after the timeout, so that no request is in transit.
_IDLE_TIMEOUT_FACTOR = 1.5


class ChannelReaper:
    """Checks the connections of a server at intervals."""

    def __init__(
        self, limits: Callable[[], RequestLimits], clock: Clock
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._next_check_s = 0.0

    def close_expired(self, channels: Iterable[Any]) -> None:
        """Times out slow requests, and closes idle connections.

        The server calls this in each pass of its loop.
        """
        now_s = self._clock()
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + _CHECK_INTERVAL_S
        limits = self._limits()
        for channel in channels:
            # A worker thread adds output before it removes the request.
            if channel.requests:
                continue
            if channel.total_outbufs_len:
                is_expired = _is_stalled(channel, now_s)
            elif channel.request is not None:
                _end_slow_request(channel, limits, now_s)
                continue
            else:
                is_expired = _is_idle(channel, limits, now_s)
            if is_expired and not has_unread_bytes(channel):
                channel.handle_close()


def _is_stalled(channel: Any, now_s: float) -> bool:
    """Returns whether the caller does not read the rest of an answer."""
    inactive_s: float = now_s - channel.last_activity
    return inactive_s > INACTIVITY_TIMEOUT_S


def _is_idle(channel: Any, limits: RequestLimits, now_s: float) -> bool:
    """Returns whether the idle timeout and its margin have passed."""
    # A caller that has not seen the present limit follows the earlier one.
    limit_s: float = max(channel.idle_limit_s, limits.idle_timeout_s)
    idle_s: float = now_s - channel.idle_since_s
    return idle_s > _IDLE_TIMEOUT_FACTOR * limit_s


def _end_slow_request(
    channel: Any, limits: RequestLimits, now_s: float
) -> None:
    request = channel.request
    elapsed_s = now_s - request.started_s
    limit_s = (
        limits.idle_timeout_s
        if request.headers_finished
        else limits.header_timeout_s
    )
    if elapsed_s <= limit_s or has_unread_bytes(channel):
        return
    with channel.requests_lock:
        if channel.requests or channel.request is not request:
            return
        request.error = RequestError(
            408, f"request was not complete after {limit_s:g} s"
        )
        request.completed = True
        channel.requests.append(request)
        channel.request = None
        channel.server.add_task(channel)


__all__ = ["ChannelReaper"]
