"""Index of the prompt prefixes that the engines have in their KV caches."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from collections.abc import Iterable

BLOCK_TOKENS = 128
# English text has about four characters per token.
_BLOCK_CHARACTERS = 4 * BLOCK_TOKENS
_HASH_BYTES = 8
_DEFAULT_BLOCKS_LIMIT = 100_000


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One change of an engine's prefix cache.

    Attributes:
      sequence: number of the event; counts from 1 without gaps in each boot
        of the engine.
      stored: True if the blocks were stored, False if they were evicted.
      blocks: hashes of the blocks.
    """

    sequence: int
    stored: bool
    blocks: tuple[int, ...]


def block_hashes(prompt_text: str) -> tuple[int, ...]:
    """Returns one hash per complete block, chained over the text before it.

    Engines identify blocks in their cache events by the same hash: the first 8
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
    """Cached blocks by endpoint, with a limit on their total number.

    Beyond the limit, the least recently used block is removed. Not
    thread-safe.
    """

    def __init__(self, blocks_limit: int) -> None:
        self._blocks_limit = blocks_limit
        self._lru_blocks: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._blocks_by_endpoint: dict[str, set[int]] = {}
        self._last_event_by_endpoint: dict[str, tuple[str, int]] = {}

    def __len__(self) -> int:
        return len(self._lru_blocks)

    def has_block(self, endpoint: str, block: int) -> bool:
        """Returns whether the endpoint is expected to have cached the block."""
        return block in self._blocks_by_endpoint.get(endpoint, ())

    def apply(
        self, endpoint: str, boot: str, events: Iterable[CacheEvent]
    ) -> None:
        """Applies events in order; a gap or a new boot drops earlier blocks.

        A missing event may have been an eviction, so the blocks stored before
        it may no longer be cached.
        """
        known_boot, last = self._last_event_by_endpoint.get(endpoint, (boot, 0))
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
        self._last_event_by_endpoint[endpoint] = (boot, last)

    def add_expected(self, endpoint: str, blocks: Iterable[int]) -> None:
        """Adds the blocks of a prompt that was just sent to the endpoint.

        The engine reports them as cached only with its next cache events.
        """
        for block in blocks:
            self._add(endpoint, block)

    def remove_endpoint(self, endpoint: str) -> None:
        """Removes all blocks of an endpoint and its last event number."""
        for block in self._blocks_by_endpoint.pop(endpoint, set()):
            del self._lru_blocks[endpoint, block]
        self._last_event_by_endpoint.pop(endpoint, None)

    def _apply_event(self, endpoint: str, event: CacheEvent) -> None:
        for block in event.blocks:
            if event.stored:
                self._add(endpoint, block)
            else:
                self._remove(endpoint, block)

    def _add(self, endpoint: str, block: int) -> None:
        self._lru_blocks[endpoint, block] = None
        self._lru_blocks.move_to_end((endpoint, block))
        self._blocks_by_endpoint.setdefault(endpoint, set()).add(block)
        if len(self._lru_blocks) > self._blocks_limit:
            self._remove(*next(iter(self._lru_blocks)))

    def _remove(self, endpoint: str, block: int) -> None:
        if (endpoint, block) in self._lru_blocks:
            del self._lru_blocks[endpoint, block]
            self._blocks_by_endpoint[endpoint].discard(block)


def make_prefix_index(
    blocks_limit: int = _DEFAULT_BLOCKS_LIMIT,
) -> PrefixIndex:
    """Returns an empty index of at most `blocks_limit` blocks."""
    return PrefixIndex(blocks_limit)


def cached_tokens(
    index: PrefixIndex, endpoint: str, blocks: Iterable[int]
) -> int:
    """Returns the prompt tokens expected to be cached at the endpoint."""
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
