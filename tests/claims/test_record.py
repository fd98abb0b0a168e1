from __future__ import annotations

import unittest

from burdockspan.claims.keys import check_key, creation_time_s
from burdockspan.claims.record import (
    ClaimRecord,
    ClaimState,
    decode_record,
    encode_record,
)
from burdockspan.values.ids import AttemptId
from burdockspan.values.refusal import Execution

_HOLDER = AttemptId("vm-1", 2, 3)
_DATED_KEY = "01890a5d-ac96-774b-bcce-b302099a8057"
_DATED_S = 0x01890A5DAC96 / 1000
_WEEK_S = 7 * 86400.0


class RecordTest(unittest.TestCase):
    def test_record_round_trips_in_every_state(self) -> None:
        """Guards against a state or body that the codec changes."""
        for state in ClaimState:
            record = ClaimRecord("0" * 64, _HOLDER, state)
            if state is ClaimState.DONE:
                record = ClaimRecord(
                    "0" * 64, _HOLDER, state, 200, "a/b", b"\xff"
                )
            self.assertEqual(decode_record(encode_record(record)).ok(), record)

    def test_record_rejects_malformed_values(self) -> None:
        """Guards against a dispatch that trusts a damaged claim."""
        valid = encode_record(ClaimRecord("0" * 64, _HOLDER, ClaimState.HELD))
        changes: list[dict[str, object]] = [
            {"body_digest": "0"},
            {"holder": "vm-1"},
            {"state": "free"},
            {"status": 200},
            {"state": "done"},
            {"state": "done", "status": 200, "body": "!", "content_type": "a"},
            {"state": "done", "status": 200, "body": ""},
            {"extra": 1},
        ]
        for change in changes:
            with self.subTest(change):
                self.assertTrue(decode_record({**valid, **change}).is_err())
        self.assertTrue(decode_record(None).is_err())


class KeysTest(unittest.TestCase):
    def test_keys_must_be_visible_ascii(self) -> None:
        """Guards against keys that a proxy may alter in a header."""
        for key in ("", "a b", "é", "a\n", "x" * 256):
            refusal = check_key(key, 0.0, _WEEK_S).unwrap_err()
            self.assertEqual(refusal.status, 400)
            self.assertIs(refusal.execution, Execution.NOT_RUN)
        self.assertTrue(check_key("x" * 255, 0.0, _WEEK_S).is_ok())

    def test_keys_with_a_creation_time_expire(self) -> None:
        """Guards against a second run after the key's claim was pruned."""
        self.assertEqual(creation_time_s(_DATED_KEY), _DATED_S)
        cases = (
            (_DATED_S - 301, 400, Execution.NOT_RUN),
            (_DATED_S + _WEEK_S + 1, 422, Execution.UNKNOWN),
        )
        for now_s, status, execution in cases:
            refusal = check_key(_DATED_KEY, now_s, _WEEK_S).unwrap_err()
            self.assertEqual(refusal.status, status)
            self.assertIs(refusal.execution, execution)
        for now_s in (_DATED_S - 299, _DATED_S + _WEEK_S - 1):
            self.assertTrue(check_key(_DATED_KEY, now_s, _WEEK_S).is_ok())
