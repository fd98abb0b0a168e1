"""Servers for callers and for operators."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import waitress.parser
import waitress.task
from result import Err

from burdockspan.http.application import REQUEST_ID_HEADER, WsgiApplication
from burdockspan.http.claim_guard import with_unknown_outcome
from burdockspan.http.listener import (
    CALLER_SOCKET_OPTIONS,
    HEADER_LIMIT_BYTES,
    Channel,
    Server,
    make_server,
    send_error_response,
)
from burdockspan.http.parsing import check_key, make_too_large_refusal
from burdockspan.http.refusals import (
    make_malformed_refusal,
    make_refusal_response,
    make_status_line,
)
from burdockspan.values.ids import make_request_id
from burdockspan.values.refusal import Refusal

_ADMIN_THREADS = 4
# Additional threads, with which the application refuses calls beyond the limit.
# Without them such calls would wait in the queue of waitress.
_REFUSAL_THREADS = 4
_ADMIN_BODY_LIMIT_BYTES = 64 * 1024
# Name of Idempotency-Key in the parsed headers of waitress.
_KEY_FIELD = "IDEMPOTENCY_KEY"

# A request that repeats one of these headers is refused: waitress would join
# their values, so that a conflict between them stays hidden.
_SINGLE_HEADERS = (
    "Authorization",
    "Burdockspan-Deadline",
    "Burdockspan-Priority",
    "Content-Length",
    "Idempotency-Key",
)


def make_caller_server(
    application: WsgiApplication,
    address: str,
    threads: int,
    body_limit: Callable[[], int],
) -> Server:
    """Returns the server for callers, listening but not yet serving.

    Args:
      application: WSGI application.
      address: `ip:port` to listen on; port 0 selects a free one.
      threads: maximum concurrent calls of the application.
      body_limit: returns the current size limit of bodies, in bytes.
    """
    return make_server(
        application,
        address,
        threads + _REFUSAL_THREADS,
        _make_channel_class(body_limit),
    )


def make_admin_server(application: WsgiApplication, address: str) -> Server:
    """Returns the server for operators, listening but not yet serving."""
    return make_server(
        application,
        address,
        _ADMIN_THREADS,
        _make_channel_class(lambda: _ADMIN_BODY_LIMIT_BYTES),
    )


def _make_channel_class(body_limit: Callable[[], int]) -> type[Channel]:
    class Parser(waitress.parser.HTTPRequestParser):
        """Rejects conflicting headers and applies the current size limit."""

        def __init__(self, adj: Any) -> None:
            # The application refuses bodies above the limit. Bodies above
            # twice the limit are not even read.
            adj.max_request_body_size = 2 * body_limit() + 1
            super().__init__(adj)

        def parse_header(self, header_plus: bytes) -> None:
            _check_headers(header_plus)
            super().parse_header(header_plus)

    class RefusalTask(waitress.task.ErrorTask):
        """Sends the refusal of a request that could not be parsed."""

        def execute(self) -> None:
            refusal = _make_parse_refusal(self.request.error, body_limit())
            if refusal.status == 413 and _KEY_FIELD in self.request.headers:
                # A call with the key may have run before the limit was
                # lowered.
                refusal = with_unknown_outcome(refusal)
            request_id = make_request_id()
            response = make_refusal_response(refusal, request_id)
            headers = [*response.headers, (REQUEST_ID_HEADER, request_id)]
            status = make_status_line(response.status)
            send_error_response(self, status, headers, b"".join(response.body))

    class CallerChannel(Channel):
        """A connection of a caller."""

        parser_class = Parser
        error_task_class = RefusalTask

    return CallerChannel


def _check_headers(header: bytes) -> None:
    for name in _SINGLE_HEADERS:
        pattern = rb"(?im)^" + name.encode() + rb"[ \t]*:([^\r\n]*)"
        values = re.findall(pattern, header)
        if len(values) > 1:
            raise waitress.parser.ParsingError(f"{name} is repeated")
        if values and name == "Idempotency-Key":
            # waitress rejects control characters without naming the header.
            checked = check_key(values[0].strip(b" \t").decode("latin-1"))
            if isinstance(checked, Err):
                raise waitress.parser.ParsingError(checked.err_value)
    length = re.search(rb"(?im)^content-length[ \t]*:", header)
    if length and re.search(rb"(?im)^transfer-encoding[ \t]*:", header):
        raise waitress.parser.ParsingError(
            "Content-Length conflicts with Transfer-Encoding"
        )


def _make_parse_refusal(error: Any, body_limit_bytes: int) -> Refusal:
    if isinstance(error.body, Refusal):
        return error.body
    if error.code == 413:
        return make_too_large_refusal(body_limit_bytes)
    if error.code == 431:
        limit = f"{HEADER_LIMIT_BYTES} bytes"
        detail = f"headers are longer than {limit}"
        return make_malformed_refusal("headers", detail, limit, 431)
    detail = str(error.body) or "request is malformed"
    field = next(
        (name for name in _SINGLE_HEADERS if name in detail), "headers"
    )
    return make_malformed_refusal(field, detail, None, error.code)


__all__ = [
    "CALLER_SOCKET_OPTIONS",
    "Server",
    "make_admin_server",
    "make_caller_server",
]
