from __future__ import annotations

import unittest

from burdockspan.values.ids import AttemptId, parse_attempt_id


class AttemptIdTest(unittest.TestCase):
    def test_attempt_id_round_trips_through_text(self) -> None:
        attempt = AttemptId("entry-1", 7, 42)
        self.assertEqual(parse_attempt_id(str(attempt)).ok(), attempt)

    def test_attempt_id_rejects_malformed_text(self) -> None:
        for text in ("", "a", "a:1", "a:1:x", ":1:2", "a:-1:2", "a:1:2:3"):
            with self.subTest(text=text):
                self.assertTrue(parse_attempt_id(text).is_err())
