from __future__ import annotations

import unittest

from burdockspan.placement.prefix import (
    BLOCK_TOKENS,
    CacheEvent,
    block_hashes,
    cached_tokens,
    make_prefix_index,
)


class PrefixTest(unittest.TestCase):
    def test_hashes_chain_over_the_text_before(self) -> None:
        # Without chaining, equal blocks after different prefixes would match.
        first = block_hashes("a" * 512 + "c" * 512)
        second = block_hashes("b" * 512 + "c" * 512)
        self.assertEqual(len(first), 2)
        self.assertNotEqual(first[1], second[1])
        self.assertEqual(first, block_hashes("a" * 512 + "c" * 512 + "tail"))
        self.assertEqual(block_hashes("\ud800" * 10), ())

    def test_cached_tokens_end_at_the_first_missing_block(self) -> None:
        # An engine reuses a block only if it has all blocks before it.
        index = make_prefix_index()
        index.apply("p1", "b", [CacheEvent(1, True, (1, 2, 4))])
        self.assertEqual(
            cached_tokens(index, "p1", (1, 2, 3, 4)), 2 * BLOCK_TOKENS
        )
        index.apply("p1", "b", [CacheEvent(2, False, (1,))])
        self.assertEqual(cached_tokens(index, "p1", (1, 2)), 0)

    def test_gap_and_new_boot_drop_earlier_blocks(self) -> None:
        # A missing event may be an eviction, and a restart empties the cache.
        for boot, sequence in (("b", 3), ("c", 1)):
            index = make_prefix_index()
            index.apply("p1", "b", [CacheEvent(1, True, (1,))])
            index.apply("p1", boot, [CacheEvent(sequence, True, (2,))])
            self.assertFalse(index.has_block("p1", 1))
            self.assertTrue(index.has_block("p1", 2))

    def test_repeated_events_are_ignored(self) -> None:
        # A repeated event must not restore a block that was evicted after it.
        index = make_prefix_index()
        stored = CacheEvent(1, True, (1,))
        index.apply("p1", "b", [stored, CacheEvent(2, False, (1,))])
        index.apply("p1", "b", [stored])
        self.assertFalse(index.has_block("p1", 1))

    def test_index_is_bounded_and_drops_the_least_recently_used(self) -> None:
        index = make_prefix_index(blocks_limit=3)
        index.add_expected("p1", (1, 2))
        index.add_expected("p2", (3,))
        index.add_expected("p1", (1,))
        index.add_expected("p2", (4,))
        self.assertEqual(len(index), 3)
        self.assertFalse(index.has_block("p1", 2))
        self.assertTrue(index.has_block("p1", 1))
