"""Ends requests that arrive too slowly, and idle connections."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from burdockspan.gateway.channel import RequestError
from burdockspan.gateway.values import RequestLimits
from burdockspan.values.clock import Clock

_INTERVAL_S = 0.25
# Callers reuse a connection until shortly before its idle timeout, so it is
# closed only well after that.
_IDLE_FACTOR = 1.5


class Housekeeper:
    """Looks at the connections of a server from time to time."""

    def __init__(
        self, limits: Callable[[], RequestLimits], clock: Clock
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._next_s = 0.0
        self._idle_since_s: dict[int, float] = {}

    def check(self, channels: Iterable[Any]) -> None:
        """Looks at all connections of the server; runs in its loop."""
        now_s = self._clock()
        if now_s < self._next_s:
            return
        self._next_s = now_s + _INTERVAL_S
        limits = self._limits()
        idle: dict[int, float] = {}
        for channel in channels:
            if channel.requests or channel.total_outbufs_len:
                continue
            if channel.request is not None:
                _check_arrival(channel, limits, now_s)
                continue
            since_s = self._idle_since_s.get(id(channel), now_s)
            idle[id(channel)] = since_s
            if now_s - since_s > _IDLE_FACTOR * limits.idle_timeout_s:
                channel.will_close = True
        self._idle_since_s = idle


def _check_arrival(channel: Any, limits: RequestLimits, now_s: float) -> None:
    request = channel.request
    elapsed_s = now_s - request.started_s
    limit_s = (
        limits.idle_timeout_s
        if request.headers_finished
        else limits.header_timeout_s
    )
    if elapsed_s <= limit_s:
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


__all__ = ["Housekeeper"]
