"""Decodes requests of callers."""

from __future__ import annotations

import re

from result import Err, Ok, Result

from burdockspan.gateway.accounts.values import PresentedKey, digest_key
from burdockspan.gateway.callers.messages import RawRequest
from burdockspan.gateway.values import GenerationSize, InboundCall
from burdockspan.platform import headers as header_names

# For requests without a deadline; the timeout of the route, which is shorter,
# then applies.
_DEFAULT_CALLER_TIMEOUT_S = 3600.0
_MAX_CALLER_TIMEOUT_MS = 86_400_000
_DECIMAL_PATTERN = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,6})?")
_REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,256}")
# Longest identity of a part that is told apart from others.
_PART_ID_LENGTH = 64
# RFC 6750 section 2.1; the name of the scheme is case-insensitive.
_KEY_PATTERN = re.compile(r"(?i:bearer) +(\S.*)")
_INTEGER_PATTERN = re.compile(r"[0-9]{1,9}")


def decode_call(raw: RawRequest) -> Result[InboundCall, str]:
    """Returns the decoded request, or the error text of a malformed one."""
    request_id = (
        header_names.find_first(raw.headers, header_names.REQUEST_ID) or ""
    )
    if not _REQUEST_ID_PATTERN.fullmatch(request_id):
        return Err(f"{header_names.REQUEST_ID} is missing or malformed")
    caller_timeout_s = _decode_caller_timeout_s(raw)
    if caller_timeout_s is None:
        return Err(
            f"{header_names.DEADLINE_MS} is not a number of milliseconds"
        )
    size = _decode_generation_size(raw)
    if isinstance(size, Err):
        return size
    host = header_names.find_first(raw.headers, "Host") or ""
    headers = header_names.filter_request_headers(raw.headers)
    return Ok(
        InboundCall(
            method=raw.method,
            target=raw.target,
            host=host.lower(),
            headers=headers,
            body=raw.body,
            request_id=request_id,
            caller_timeout_s=caller_timeout_s,
            generation_size=size.ok_value,
            client=raw.client,
            arrived_s=raw.arrived_s,
            last_event_id=header_names.find_first(
                raw.headers, header_names.LAST_EVENT_ID
            ),
            resumed_request_id=_decode_resumed_request_id(raw),
            shared_parts=_decode_shared_parts(raw),
            headers_without_identity=header_names.remove_identity(headers),
            key=_decode_key(raw),
        )
    )


def _decode_key(raw: RawRequest) -> PresentedKey | None:
    """Returns the key; one that no account has if the header is malformed."""
    values = [
        value
        for name, value in raw.headers
        if name.lower() == header_names.AUTHORIZATION.lower()
    ]
    if not values:
        return None
    matched = _KEY_PATTERN.fullmatch(values[0].strip())
    if matched is None or len(values) > 1:
        return PresentedKey(b"")
    return PresentedKey(digest_key(matched[1].encode("latin-1", "replace")))


def _decode_resumed_request_id(raw: RawRequest) -> str | None:
    # A malformed identity names no request, like a missing one.
    text = header_names.find_first(raw.headers, header_names.RESUMES) or ""
    return text if _REQUEST_ID_PATTERN.fullmatch(text) else None


def _decode_shared_parts(raw: RawRequest) -> tuple[str, ...]:
    lines = [
        value
        for name, value in raw.headers
        if name.lower() == header_names.PROMPT_PREFIX.lower()
    ]
    entries = ",".join(lines).split(",")[:-1]
    parts = (entry.partition(":")[0].strip().lower() for entry in entries)
    # Endpoints judge malformed entries; no known part has an empty identity.
    return tuple(part[:_PART_ID_LENGTH] for part in parts if part)


def _decode_caller_timeout_s(raw: RawRequest) -> float | None:
    text = header_names.find_first(raw.headers, header_names.DEADLINE_MS)
    if text is None:
        return _DEFAULT_CALLER_TIMEOUT_S
    if not _DECIMAL_PATTERN.fullmatch(text.strip()):
        return None
    return min(float(text), _MAX_CALLER_TIMEOUT_MS) / 1000.0


def _decode_generation_size(
    raw: RawRequest,
) -> Result[GenerationSize | None, str]:
    text = header_names.find_first(raw.headers, header_names.TOKEN_COUNT)
    if text is None:
        return Ok(None)
    counts = [part.strip() for part in text.split(",")]
    if len(counts) != 2 or not all(
        _INTEGER_PATTERN.fullmatch(count) for count in counts
    ):
        return Err(f"{header_names.TOKEN_COUNT} is not two whole numbers")
    prompt_tokens, max_output_tokens = int(counts[0]), int(counts[1])
    hint = (
        header_names.find_first(raw.headers, header_names.LENGTH_HINT) or ""
    ).strip()
    # The estimate is only a hint, so a malformed one is ignored.
    expected_output_tokens = (
        min(max_output_tokens, int(hint))
        if _INTEGER_PATTERN.fullmatch(hint)
        else max_output_tokens
    )
    return Ok(
        GenerationSize(prompt_tokens, max_output_tokens, expected_output_tokens)
    )


__all__ = ["decode_call"]
