"""Limits of the memory for responses that callers have not read yet.

The limit of one connection bounds what a slow reader holds. Once all
connections together hold more than their limit, a connection may only hold a
small amount, and the endpoint's response waits for the reader. Responses that
have ended stay until they are read, or until their readers stall.
"""

from __future__ import annotations

import copy
import dataclasses
import math
import threading
from collections.abc import Iterator
from typing import Any

import waitress.adjustments

from burdockspan.observe.registry import Registry

_MEBIBYTE = 1024 * 1024
# Share of a VM's memory for responses that wait for their readers. Buffers are
# twice as large while they are read, since their read part is freed in steps.
_MEMORY_SHARE = 0.125
# Amount that a connection may hold while memory is short: several events, or
# most whole responses.
SHORTAGE_BYTES = 64 * 1024
SHORTAGE_UNREAD_S = 5.0
"""Time without a byte after which a stalled reader is cut off while memory is
short."""


@dataclasses.dataclass(frozen=True)
class ResponseBufferLimits:
    """Limits of the responses that wait for their readers.

    Attributes:
      connection_bytes: limit of one connection. 2 MiB hold some 10,000 streamed
        tokens, so that an engine finishes without waiting for a slow reader.
      total_bytes: limit of all connections; infinite without one.
    """

    connection_bytes: int = 2 * _MEBIBYTE
    total_bytes: float = math.inf


class ResponseBuffers:
    """Counts the bytes that wait for their readers.

    Attributes:
      held_bytes: bytes of all connections.
    """

    def __init__(
        self, limits: ResponseBufferLimits, registry: Registry
    ) -> None:
        self._limits = limits
        self._registry = registry
        self._lock = threading.Lock()
        self.held_bytes = 0

    @property
    def is_short(self) -> bool:
        """Whether all connections together have reached their limit."""
        return self.held_bytes >= self._limits.total_bytes

    def change(self, difference: int) -> None:
        """Records that a connection holds more bytes, or fewer."""
        with self._lock:
            was_short = self.is_short
            self.held_bytes += difference
            became_short = self.is_short and not was_short
        if became_short:
            self._registry.count("response_buffers", "short")

    def whole_response_limit_bytes(self, limit_bytes: int) -> int:
        """Returns up to which size a response is read before it is forwarded.

        Args:
          limit_bytes: the size while memory is not short.
        """
        return (
            min(limit_bytes, SHORTAGE_BYTES) if self.is_short else limit_bytes
        )

    def connection_limit_bytes(self) -> int:
        """Returns the bytes above which a connection must wait."""
        limit = self._limits.connection_bytes
        return min(limit, SHORTAGE_BYTES) if self.is_short else limit


class HeldResponse:
    """Bytes of a response that a worker holds before it forwards them."""

    def __init__(self, buffers: ResponseBuffers) -> None:
        self._buffers = buffers
        self._held_bytes = 0

    def add(self, size_bytes: int) -> None:
        """Records further bytes."""
        self._held_bytes += size_bytes
        self._buffers.change(size_bytes)

    def release(self) -> None:
        """Records that the bytes are no longer held by the worker."""
        self._buffers.change(-self._held_bytes)
        self._held_bytes = 0


class _LimitedAdjustments(waitress.adjustments.Adjustments):  # type: ignore[misc]
    """Settings of waitress whose limit of the output changes."""

    buffers: ResponseBuffers

    @property
    def outbuf_high_watermark(self) -> int:
        """Bytes above which a worker waits for the reader."""
        return self.buffers.connection_limit_bytes()


def limit_output(adj: Any, buffers: ResponseBuffers) -> Any:
    """Returns the settings of waitress, with the limit of a connection."""
    limited = copy.copy(adj)
    limited.__class__ = _LimitedAdjustments
    limited.buffers = buffers
    return limited


def split_part(part: bytes) -> Iterator[bytes]:
    """Yields a part in pieces, between which the server may wait."""
    if len(part) <= SHORTAGE_BYTES:
        yield part
        return
    view = memoryview(part)
    for start in range(0, len(part), SHORTAGE_BYTES):
        yield bytes(view[start : start + SHORTAGE_BYTES])


def compute_total_bytes(memory_mb: float | None) -> float:
    """Returns the limit of all connections, given a VM's memory in MB."""
    return math.inf if memory_mb is None else _MEMORY_SHARE * memory_mb * 1e6


__all__ = [
    "SHORTAGE_BYTES",
    "SHORTAGE_UNREAD_S",
    "HeldResponse",
    "ResponseBufferLimits",
    "ResponseBuffers",
    "compute_total_bytes",
    "limit_output",
    "split_part",
]
