from __future__ import annotations

import unittest

from result import Err, Ok, Result

from burdockspan.claims.write_retries import make_write_retries
from burdockspan.object_api.objects import PlatformError
from standins.launcher import wait_until


class WriteRetriesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 0.0
        self.tries = 0
        self.outcome: Result[None, PlatformError]
        self.outcome = Err(PlatformError.UNAVAILABLE)

    def _write(self) -> Result[None, PlatformError]:
        self.tries += 1
        return self.outcome

    def test_write_retries_go_on_until_written(self) -> None:
        """Guards against an outcome that is lost in an outage."""
        queue = make_write_retries(lambda: self.now_s, lambda: 0.5)
        queue.add(self._write, None)
        for _ in range(50):
            self.now_s += 10.0
            queue.run_due()
        self.assertEqual((self.tries, queue.counts().waiting), (50, 1))
        self.outcome = Ok(None)
        self.now_s += 10.0
        self.assertIsNone(queue.run_due())
        self.assertEqual(queue.counts().written, 1)

    def test_write_retries_stop_at_a_conflict_and_at_their_limit(self) -> None:
        """Guards against writes that are retried for ever."""
        queue = make_write_retries(lambda: self.now_s, lambda: 0.5)
        queue.add(self._write, 3)
        for _ in range(5):
            self.now_s += 10.0
            queue.run_due()
        self.assertEqual((self.tries, queue.counts().given_up), (3, 1))
        self.outcome = Err(PlatformError.CONFLICT)
        queue.add(self._write, None)
        self.now_s += 10.0
        queue.run_due()
        self.assertEqual(queue.counts().conflicts, 1)
        self.assertEqual(queue.counts().waiting, 0)

    def test_write_retries_bound_their_queue_and_rate(self) -> None:
        """Guards against a backlog that uses up memory or the write limit."""
        queue = make_write_retries(lambda: self.now_s, lambda: 0.5, limit=6)
        added = [queue.add(self._write, None) for _ in range(7)]
        self.assertEqual(added, [True] * 6 + [False])
        self.now_s += 10.0
        self.assertEqual(queue.run_due(), 0.5)
        self.assertEqual(self.tries, 4)
        self.assertEqual(queue.counts().dropped, 1)

    def test_write_retries_thread_writes_what_is_due(self) -> None:
        """Guards against a thread that misses a write added while idle."""
        self.outcome = Ok(None)
        queue = make_write_retries(lambda: self.now_s, lambda: 0.5)
        queue.start()
        self.addCleanup(queue.stop)
        queue.add(self._write, None)
        self.now_s += 10.0
        wait_until(lambda: queue.counts().written == 1, "it is written")
