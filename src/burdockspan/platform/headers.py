"""Header names of the platform, and which of them may pass through."""

from __future__ import annotations

from collections.abc import Iterable

REQUEST_ID = "Request-Id"
# How long the caller waits from the arrival of its request, in milliseconds.
DEADLINE_MS = "Deadline-Ms"
MODEL = "Model"
# Two numbers: tokens of the prompt, and the limit of the answer's tokens.
TOKEN_COUNT = "Token-Count"
PROMPT_PREFIX = "Prompt-Prefix"
# The caller's estimate of the answer's tokens.
LENGTH_HINT = "Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
EXPECT_INSTANCE = "Expect-Instance"
INSTANCE_ID = "Instance-Id"
# Set by a replica that did not start the request.
NOT_EXECUTED = "Not-Executed"
RESPONSE_STAMP = "Response-Stamp"
RETRY_AFTER = "Retry-After"
STAGE = "Stage"
# `ip:port/handle` of a KV cache to fetch.
KV_SOURCE = "Kv-Source"
# Reservation of memory that this request uses.
KV_HOLD = "Kv-Hold"

# Headers that only the router sets; a caller's values are dropped.
_SET_BY_ROUTER = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        EXPECT_INSTANCE,
        "Expect-Version",
        INSTANCE_ID,
        "Kv-Backup",
        "Kv-Fetch",
        KV_HOLD,
        KV_SOURCE,
        NOT_EXECUTED,
        "Pin-Ms",
        "Request-Priority",
        RESPONSE_STAMP,
        STAGE,
        "Wait-Ms",
    )
)
# Headers of one connection, RFC 9110 section 7.6.1.
_HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def keep_request_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers of a caller that are passed to an endpoint."""
    held = tuple(headers)
    dropped = _SET_BY_ROUTER | _HOP_BY_HOP | _named_by_connection(held)
    return tuple(item for item in held if item[0].lower() not in dropped)


def keep_answer_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers of an endpoint that are passed to a caller.

    Content-Length is kept: it makes a truncated answer recognizable.
    """
    held = tuple(headers)
    dropped = (_HOP_BY_HOP | _named_by_connection(held)) - {"content-length"}
    return tuple(item for item in held if item[0].lower() not in dropped)


def find(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Returns the first value of a header, None if it is absent."""
    wanted = name.lower()
    return next((v for k, v in headers if k.lower() == wanted), None)


def _named_by_connection(
    headers: tuple[tuple[str, str], ...],
) -> frozenset[str]:
    values = (v for k, v in headers if k.lower() == "connection")
    names = (name.strip().lower() for v in values for name in v.split(","))
    # A caller cannot have the headers removed that identify its request.
    return frozenset(names) - _IDENTIFYING


_IDENTIFYING = frozenset(
    name.lower()
    for name in (REQUEST_ID, MODEL, TOKEN_COUNT, PROMPT_PREFIX, "Host")
)

__all__ = [
    "DEADLINE_MS",
    "EXPECT_INSTANCE",
    "INSTANCE_ID",
    "KV_HOLD",
    "KV_SOURCE",
    "LAST_EVENT_ID",
    "LENGTH_HINT",
    "MODEL",
    "NOT_EXECUTED",
    "PROMPT_PREFIX",
    "REQUEST_ID",
    "RESPONSE_STAMP",
    "RETRY_AFTER",
    "STAGE",
    "TOKEN_COUNT",
    "find",
    "keep_answer_headers",
    "keep_request_headers",
]
