"""Conversion of the thrift structs of messages about calls.

Functions that read a struct raise if it is malformed. The decoder of datagrams
returns an `Err` instead.
"""

from __future__ import annotations

import struct

from burdockspan.gen.peer import ttypes
from burdockspan.membership.calls import CallMessage, CallNeeds, CallStep
from burdockspan.membership.thrift_structs import (
    require_natural,
    require_string,
)
from burdockspan.values.ids import parse_attempt_id

# Limits that keep a message within one datagram.
PREFIX_BLOCKS_LIMIT = 48
EXCLUDED_LIMIT = 8
_DETAIL_LIMIT_CHARACTERS = 200


def call_to_thrift(message: CallMessage) -> ttypes.CallMessage:
    """Returns the struct of a message."""
    detail = message.detail
    return ttypes.CallMessage(
        step=message.step.value,
        attempt=str(message.attempt),
        needs=None
        if message.needs is None
        else _needs_to_thrift(message.needs),
        prefill=message.prefill,
        decode=message.decode,
        replica=message.endpoint,
        status=message.status,
        reason=message.reason,
        detail=None if detail is None else detail[:_DETAIL_LIMIT_CHARACTERS],
        retry_after_ms=message.retry_after_ms,
    )


def call_from_thrift(call: ttypes.CallMessage) -> CallMessage:
    """Returns the message of a struct; raises if it is malformed."""
    call.validate()
    attempt = parse_attempt_id(require_string(call.attempt))
    return CallMessage(
        step=CallStep(call.step),
        attempt=attempt.expect("attempt identity"),
        needs=None if call.needs is None else _needs_from_thrift(call.needs),
        prefill=call.prefill,
        decode=call.decode,
        endpoint=call.replica,
        status=call.status,
        reason=call.reason,
        detail=call.detail,
        retry_after_ms=call.retry_after_ms,
    )


def _needs_to_thrift(needs: CallNeeds) -> ttypes.CallNeeds:
    blocks = needs.prefix[:PREFIX_BLOCKS_LIMIT]
    return ttypes.CallNeeds(
        service_name=needs.service,
        completion=needs.completion,
        urgent=needs.urgent,
        pieces=needs.pieces,
        prompt_tokens=needs.prompt_tokens,
        max_tokens=needs.max_tokens,
        remaining_ms=needs.remaining_ms,
        prefix=struct.pack(f">{len(blocks)}Q", *blocks) or None,
        excluded=list(needs.excluded[:EXCLUDED_LIMIT]) or None,
    )


def _needs_from_thrift(needs: ttypes.CallNeeds) -> CallNeeds:
    needs.validate()
    packed = needs.prefix or b""
    return CallNeeds(
        service=require_string(needs.service_name),
        completion=bool(needs.completion),
        urgent=bool(needs.urgent),
        pieces=require_natural(needs.pieces),
        prompt_tokens=require_natural(needs.prompt_tokens),
        max_tokens=require_natural(needs.max_tokens),
        remaining_ms=require_natural(needs.remaining_ms),
        prefix=struct.unpack(f">{len(packed) // 8}Q", packed),
        excluded=tuple(require_string(name) for name in needs.excluded or ()),
    )


__all__ = [
    "EXCLUDED_LIMIT",
    "PREFIX_BLOCKS_LIMIT",
    "call_from_thrift",
    "call_to_thrift",
]
