"""Decodes the requests of callers."""

from __future__ import annotations

import re

from result import Err, Ok, Result

from burdockspan.gateway.messages import RawRequest
from burdockspan.gateway.values import GenerationSize, InboundCall
from burdockspan.platform import headers as names

# A caller that names no deadline gets that of its route, which is shorter.
_DEFAULT_PATIENCE_S = 3600.0
_MOST_PATIENCE_MS = 86_400_000
_DIGITS = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,6})?")
_REQUEST_ID = re.compile(r"[!-~]{1,256}")
_NUMBER = re.compile(r"[0-9]{1,9}")


def decode_call(raw: RawRequest) -> Result[InboundCall, str]:
    """Returns the call, or what is wrong with the request."""
    request_id = names.find(raw.headers, names.REQUEST_ID) or ""
    if not _REQUEST_ID.fullmatch(request_id):
        return Err(f"{names.REQUEST_ID} is missing or malformed")
    caller_timeout_s = _decode_caller_timeout_s(raw)
    if caller_timeout_s is None:
        return Err(f"{names.DEADLINE_MS} is not a number of milliseconds")
    size = _decode_generation_size(raw)
    if isinstance(size, Err):
        return size
    host = names.find(raw.headers, "Host") or ""
    return Ok(
        InboundCall(
            method=raw.method,
            target=raw.target,
            host=host.lower(),
            headers=names.keep_request_headers(raw.headers),
            body=raw.body,
            request_id=request_id,
            caller_timeout_s=caller_timeout_s,
            generation_size=size.ok_value,
            client=raw.client,
            arrived_s=raw.arrived_s,
            last_event_id=names.find(raw.headers, names.LAST_EVENT_ID),
        )
    )


def _decode_caller_timeout_s(raw: RawRequest) -> float | None:
    text = names.find(raw.headers, names.DEADLINE_MS)
    if text is None:
        return _DEFAULT_PATIENCE_S
    if not _DIGITS.fullmatch(text.strip()):
        return None
    return min(float(text), _MOST_PATIENCE_MS) / 1000.0


def _decode_generation_size(
    raw: RawRequest,
) -> Result[GenerationSize | None, str]:
    text = names.find(raw.headers, names.TOKEN_COUNT)
    if text is None:
        return Ok(None)
    counts = [part.strip() for part in text.split(",")]
    if len(counts) != 2 or not all(_NUMBER.fullmatch(one) for one in counts):
        return Err(f"{names.TOKEN_COUNT} is not two whole numbers")
    tokens, most = int(counts[0]), int(counts[1])
    hint = (names.find(raw.headers, names.LENGTH_HINT) or "").strip()
    # The estimate is only a help, so a malformed one is no reason to refuse.
    expected = min(most, int(hint)) if _NUMBER.fullmatch(hint) else most
    return Ok(GenerationSize(tokens, most, expected))


__all__ = ["decode_call"]
