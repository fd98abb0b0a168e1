"""Headers that are forwarded between callers and plain services."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    )
)
_NOT_FORWARDED = _HOP_BY_HOP | {
    "authorization",
    "content-length",
    "expect",
    "host",
    "traceparent",
}
_OWN_PREFIX = "burdockspan-"


def make_service_headers(environ: Mapping[str, Any]) -> dict[str, str]:
    """Returns the headers of a request that are forwarded to a plain service.

    The bearer token is meant for the router only, and a caller must not be
    able to set the router's own headers.
    """
    connection_options = _split_names(environ.get("HTTP_CONNECTION", ""))
    headers = {}
    for key, value in environ.items():
        if not key.startswith("HTTP_"):
            continue
        name = key[5:].replace("_", "-").title()
        lower = name.lower()
        if (
            lower not in _NOT_FORWARDED
            and lower not in connection_options
            and not lower.startswith(_OWN_PREFIX)
        ):
            headers[name] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers


def make_response_headers(
    items: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers of a response that are forwarded to the caller."""
    pairs = list(items)
    connection_options: set[str] = set()
    for name, value in pairs:
        if name.lower() == "connection":
            connection_options |= _split_names(value)
    return tuple(
        (name, value)
        for name, value in pairs
        if name.lower() not in _HOP_BY_HOP
        and name.lower() not in connection_options
        and not name.lower().startswith(_OWN_PREFIX)
    )


def _split_names(value: str) -> set[str]:
    return {part.strip().lower() for part in value.split(",")}


__all__ = ["make_response_headers", "make_service_headers"]
