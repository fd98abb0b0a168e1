from __future__ import annotations

import unittest

from burdockspan.configuration.document import Service
from burdockspan.placement.transfer import (
    Link,
    arrives_before_expiry,
    backlog_bytes,
    enqueue_transfer,
    expected_backlog_bytes,
    transfer_time_s,
)

_SERVICE = Service("s", link_bytes_per_s=1e9, kv_bytes_per_token=100_000)


class TransferTest(unittest.TestCase):
    def test_backlog_drains_at_the_link_rate(self) -> None:
        link = enqueue_transfer(Link(), 5000, _SERVICE, 1.0)
        self.assertEqual(backlog_bytes(link, _SERVICE, 1.2), 3e8)
        self.assertEqual(backlog_bytes(link, _SERVICE, 9.0), 0.0)
        again = enqueue_transfer(link, 1000, _SERVICE, 1.2)
        self.assertEqual(again, Link(4e8, 1.2))

    def test_expected_backlog_counts_prefills_ahead(self) -> None:
        # Where a link is slower than prefill, the caches of queued prompts
        # extend its backlog.
        link = Link(2e8, 1.0)
        for tokens, wait_s, backlog in (
            (0, 0.0, 2e8),
            (3000, 0.3, 2e8),
            (0, 1, 0),
        ):
            self.assertEqual(
                expected_backlog_bytes(link, tokens, wait_s, _SERVICE, 1.0),
                backlog,
            )

    def test_arrival_counts_backlog_and_distance(self) -> None:
        # If the KV cache expires on the way, its prefill was for nothing.
        self.assertEqual(transfer_time_s(5000, _SERVICE, 2e8), 0.7)
        self.assertTrue(arrives_before_expiry(5000, _SERVICE, 2e8, 1.5))
        self.assertFalse(arrives_before_expiry(5000, _SERVICE, 2e8, 60.0))
        self.assertFalse(arrives_before_expiry(5000, _SERVICE, 4e8, 0.0))
