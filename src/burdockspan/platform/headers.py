"""Headers of the platform, and the filters between callers and endpoints."""

from __future__ import annotations

from collections.abc import Iterable

REQUEST_ID = "Request-Id"
# Time that the caller waits after the arrival of its request, in milliseconds.
DEADLINE_MS = "Deadline-Ms"
MODEL = "Model"
# Two numbers: the tokens of the prompt, and the limit of the output tokens.
TOKEN_COUNT = "Token-Count"
# The parts of the prompt in their order, as `id:tokens`, separated by commas.
PROMPT_PREFIX = "Prompt-Prefix"
# The caller's estimate of the output tokens.
LENGTH_HINT = "Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
# Request-Id of the request that brought the first event of the stream that a
# caller resumes.
RESUMES = "Resumes"
EXPECT_INSTANCE = "Expect-Instance"
INSTANCE_ID = "Instance-Id"
# Set by an endpoint that did not start the request.
NOT_EXECUTED = "Not-Executed"
RESPONSE_STAMP = "Response-Stamp"
RETRY_AFTER = "Retry-After"
# Requests per second that an endpoint takes from all VMs together.
SERVER_LIMIT = "Server-Limit"
# In all answers of the store; rises when it comes back from a copy.
STORE_ERA = "Store-Era"
# Set by an endpoint that leaves.
SERVER_LEAVING = "Server-Leaving"
STAGE = "Stage"
# `ip:port/handle` of the KV cache that the endpoint fetches.
KV_SOURCE = "Kv-Source"
# Name of the memory reservation that the request uses.
KV_HOLD = "Kv-Hold"

# Name of the caller's account, set by the router where there are accounts.
ACCOUNT = "Tenant"
AUTHORIZATION = "Authorization"

# Only the router sets these headers; values from callers are removed.
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
# Hop-by-hop headers (RFC 9110 section 7.6.1), and headers that the client of
# each connection sets itself.
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


def filter_request_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers of a caller that are forwarded to endpoints."""
    all_headers = tuple(headers)
    removed = (
        _SET_BY_ROUTER | _HOP_BY_HOP | _find_connection_headers(all_headers)
    )
    return tuple(
        header for header in all_headers if header[0].lower() not in removed
    )


def remove_identity(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Returns headers without those in which a caller says who it is."""
    removed = (ACCOUNT.lower(), AUTHORIZATION.lower())
    return tuple(
        header for header in headers if header[0].lower() not in removed
    )


def filter_response_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers of an endpoint that are forwarded to callers.

    Content-Length is kept, so that a caller can detect a truncated response.
    """
    all_headers = tuple(headers)
    removed = (_HOP_BY_HOP | _find_connection_headers(all_headers)) - {
        "content-length"
    }
    return tuple(
        header for header in all_headers if header[0].lower() not in removed
    )


def find_first(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Returns the first value of a header; None if it is missing."""
    lower_name = name.lower()
    return next(
        (
            value
            for header_name, value in headers
            if header_name.lower() == lower_name
        ),
        None,
    )


def _find_connection_headers(
    headers: tuple[tuple[str, str], ...],
) -> frozenset[str]:
    """Returns the names that Connection marks as hop-by-hop headers."""
    values = (
        value
        for header_name, value in headers
        if header_name.lower() == "connection"
    )
    names = (
        name.strip().lower() for value in values for name in value.split(",")
    )
    # Callers cannot use Connection to remove headers that identify a request.
    return frozenset(names) - _PROTECTED_HEADERS


_PROTECTED_HEADERS = frozenset(
    name.lower()
    for name in (REQUEST_ID, MODEL, TOKEN_COUNT, PROMPT_PREFIX, "Host")
)

__all__ = [
    "ACCOUNT",
    "AUTHORIZATION",
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
    "RESUMES",
    "RETRY_AFTER",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "STAGE",
    "STORE_ERA",
    "TOKEN_COUNT",
    "filter_request_headers",
    "filter_response_headers",
    "find_first",
    "remove_identity",
]
