"""The server for callers: raw requests in, answers out, byte for byte."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from burdockspan.gateway.channel import (
    CLOSE_KEY,
    RAW_KEY,
    make_channel_class,
)
from burdockspan.gateway.housekeeping import Housekeeper
from burdockspan.gateway.messages import RawRequest, Response, make_status_line
from burdockspan.gateway.values import RequestLimits
from burdockspan.http.listener import Server, make_server
from burdockspan.values.clock import Clock

# Beyond the operator's limit, so that a smaller limit is applied per request.
_MOST_HEADER_BYTES = 1024 * 1024

Handler = Callable[[RawRequest], Response]


def make_ingress(
    handle: Handler,
    address: str,
    threads: int,
    limits: Callable[[], RequestLimits],
    closing: Callable[[], bool],
    clock: Clock,
) -> Server:
    """Returns the server for callers, listening but not yet serving.

    Args:
      handle: answers a request; runs in one of the server's threads.
      address: `ip:port` to listen on.
      threads: requests served at a time.
      limits: returns the limits in force.
      closing: whether connections end with their next answer.
      clock: monotonic clock, in seconds.
    """

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        raw: RawRequest = environ[RAW_KEY]
        response = handle(raw)
        if closing():
            environ[CLOSE_KEY]()
        status = make_status_line(response.status)
        start_response(status, list(response.headers))
        return _Body(response.body, response.close)

    housekeeper = Housekeeper(limits, clock)
    return make_server(
        application,
        address,
        threads,
        make_channel_class(limits, clock),
        max_request_header_size=_MOST_HEADER_BYTES,
        # The headers are passed on as received.
        clear_untrusted_proxy_headers=False,
        housekeeping=housekeeper.check,
    )


class _Body:
    """An answer's body without a length of its own.

    waitress adds a length to a list of one part, which would make the part of
    a broken stream look complete.
    """

    def __init__(
        self, parts: Iterable[bytes], close: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._close = close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        close_parts = getattr(self._parts, "close", None)
        if close_parts is not None:
            close_parts()
        self._close()


__all__ = ["Handler", "make_ingress"]
