"""The server for callers.

It receives raw requests, and sends responses without a change to their bodies.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from burdockspan.gateway.callers.channel import (
    CLOSE_KEY,
    RAW_KEY,
    make_channel_class,
)
from burdockspan.gateway.callers.channel_reaper import ChannelReaper
from burdockspan.gateway.callers.connection_log import RecordClosed
from burdockspan.gateway.callers.messages import (
    RawRequest,
    Response,
    make_status_line,
)
from burdockspan.gateway.callers.response_buffers import (
    ResponseBuffers,
    split_part,
)
from burdockspan.gateway.values import RequestLimits
from burdockspan.http.listener import Server, make_server
from burdockspan.values.clock import Clock

# Limit of waitress, larger than any limit of the operator. The operator's limit
# is applied by the request parser in `channel`.
_MAX_HEADER_BYTES = 1024 * 1024

Handler = Callable[[RawRequest], Response]


def make_ingress(
    handle: Handler,
    address: str,
    threads: int,
    limits: Callable[[], RequestLimits],
    should_close: Callable[[], bool],
    clock: Clock,
    record_closed: RecordClosed,
    buffers: ResponseBuffers,
) -> Server:
    """Returns the server for callers, listening but not yet serving.

    Args:
      handle: handles a request, in one of the server's threads.
      address: `ip:port` to listen on.
      threads: number of requests that are handled concurrently.
      limits: returns the limits in force.
      should_close: returns whether connections close after their next
        response.
      clock: monotonic clock, in seconds.
      record_closed: logs and counts the connections that the server closes.
      buffers: counts and limits the responses that wait for their readers.
    """

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        raw: RawRequest = environ[RAW_KEY]
        response = handle(raw)
        if should_close():
            environ[CLOSE_KEY]()
        status = make_status_line(response.status)
        start_response(status, list(response.headers))
        return _UnsizedBody(response.body, response.close)

    reaper = ChannelReaper(
        limits, clock, record_closed, buffers, max(1, threads // 2)
    )
    return make_server(
        application,
        address,
        threads,
        make_channel_class(limits, clock, buffers),
        max_request_header_size=_MAX_HEADER_BYTES,
        # Endpoints get the headers as received.
        clear_untrusted_proxy_headers=False,
        housekeeping=reaper.close_expired,
        record_stop=reaper.record_stop,
        clock=clock,
    )


class _UnsizedBody:
    """The body of a response, as an iterable without a length.

    For a list with one part, waitress adds a Content-Length, which would make a
    truncated stream look complete.
    """

    def __init__(
        self, parts: Iterable[bytes], close: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._close = close

    def __iter__(self) -> Iterator[bytes]:
        for part in self._parts:
            yield from split_part(part)

    def close(self) -> None:
        close_parts = getattr(self._parts, "close", None)
        if close_parts is not None:
            close_parts()
        self._close()


__all__ = ["Handler", "make_ingress"]
