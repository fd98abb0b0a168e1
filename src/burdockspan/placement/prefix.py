"""Which endpoint is believed to hold which blocks of a prompt."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from collections.abc import Iterable

BLOCK_TOKENS = 128
# English text has about four characters to a token.
_BLOCK_CHARACTERS = 4 * BLOCK_TOKENS
_HASH_BYTES = 8
_DEFAULT_BLOCKS_LIMIT = 100_000


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One change of an endpoint's prefix cache.

    Attributes:
      sequence: its number within the endpoint's boot, without gaps from 1.
      stored: True if the blocks were stored, False if they were evicted.
      blocks: hashes of the blocks.
    """

    sequence: int
    stored: bool
    blocks: tuple[int, ...]


def block_hashes(prompt_text: str) -> tuple[int, ...]:
    """Returns one hash per whole block; each covers all text before it.

    Engines name blocks in their cache events by the same hash: the first 8
    bytes, big-endian, of the SHA-256 of the previous hash and the block.
    """
    hashes = []
    previous = b""
    for start in range(
        0, len(prompt_text) - _BLOCK_CHARACTERS + 1, _BLOCK_CHARACTERS
    ):
        block = prompt_text[start : start + _BLOCK_CHARACTERS]
        previous = hashlib.sha256(
            previous + block.encode("utf-8", "surrogatepass")
        ).digest()[:_HASH_BYTES]
        hashes.append(int.from_bytes(previous, "big"))
    return tuple(hashes)


class PrefixIndex:
    """Blocks by endpoint, least recently used first, bounded in number.

    Not safe for use by several threads.
    """

    def __init__(self, blocks_limit: int) -> None:
        self._blocks_limit = blocks_limit
        self._order: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._blocks_by_endpoint: dict[str, set[int]] = {}
        self._position_by_endpoint: dict[str, tuple[str, int]] = {}

    def __len__(self) -> int:
        return len(self._order)

    def has_block(self, endpoint: str, block: int) -> bool:
        """Tells whether the endpoint is believed to hold the block."""
        return block in self._blocks_by_endpoint.get(endpoint, ())

    def apply(
        self, endpoint: str, boot: str, events: Iterable[CacheEvent]
    ) -> None:
        """Applies events in order; forgets the endpoint where one is missing.

        After a gap, an eviction may have been missed, so blocks stored before
        the gap are no longer believed.
        """
        known_boot, last = self._position_by_endpoint.get(endpoint, (boot, 0))
        if known_boot != boot:
            self.remove_endpoint(endpoint)
            last = 0
        for event in events:
            if event.sequence <= last:
                continue
            if event.sequence != last + 1:
                self.remove_endpoint(endpoint)
            last = event.sequence
            self._apply_event(endpoint, event)
        self._position_by_endpoint[endpoint] = (boot, last)

    def add_expected(self, endpoint: str, blocks: Iterable[int]) -> None:
        """Notes blocks of a prompt that was sent there, ahead of its event."""
        for block in blocks:
            self._store(endpoint, block)

    def remove_endpoint(self, endpoint: str) -> None:
        """Drops everything that is known of an endpoint."""
        for block in self._blocks_by_endpoint.pop(endpoint, set()):
            del self._order[endpoint, block]
        self._position_by_endpoint.pop(endpoint, None)

    def _apply_event(self, endpoint: str, event: CacheEvent) -> None:
        for block in event.blocks:
            if event.stored:
                self._store(endpoint, block)
            else:
                self._drop(endpoint, block)

    def _store(self, endpoint: str, block: int) -> None:
        self._order[endpoint, block] = None
        self._order.move_to_end((endpoint, block))
        self._blocks_by_endpoint.setdefault(endpoint, set()).add(block)
        if len(self._order) > self._blocks_limit:
            self._drop(*next(iter(self._order)))

    def _drop(self, endpoint: str, block: int) -> None:
        if (endpoint, block) in self._order:
            del self._order[endpoint, block]
            self._blocks_by_endpoint[endpoint].discard(block)


def make_prefix_index(
    blocks_limit: int = _DEFAULT_BLOCKS_LIMIT,
) -> PrefixIndex:
    """Returns an empty index of at most `blocks_limit` blocks."""
    return PrefixIndex(blocks_limit)


def cached_tokens(
    index: PrefixIndex, endpoint: str, blocks: Iterable[int]
) -> int:
    """Returns the prompt tokens believed to be cached at the endpoint."""
    count = 0
    for block in blocks:
        if not index.has_block(endpoint, block):
            break
        count += 1
    return count * BLOCK_TOKENS


__all__ = [
    "BLOCK_TOKENS",
    "CacheEvent",
    "PrefixIndex",
    "block_hashes",
    "cached_tokens",
    "make_prefix_index",
]
