from __future__ import annotations

import unittest

from bench.claims_model import make_real_claims
from bench.simulated_platform import SimulatedPlatform
from burdockspan.claims import record
from burdockspan.claims.record import (
    ClaimState,
    HeldClaim,
    ReceivedResponse,
    Replay,
)
from burdockspan.claims.store import ClaimOutcome
from burdockspan.claims.write_retries import make_write_retries
from burdockspan.object_api.objects import PlatformError
from burdockspan.values.ids import AttemptId
from burdockspan.values.refusal import Execution, Reason, Refusal

_DIGEST = "a" * 64
_DONE, _LOST, _LATE = 0, 4, 5


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fates: list[int] = []
        self.now_s = 0.0
        self.sequence = 0
        self.platform = SimulatedPlatform(
            lambda _: self.fates.pop(0) if self.fates else _DONE, lambda: None
        )
        self.write_retries = make_write_retries(lambda: self.now_s, lambda: 0.5)
        self.client = self.platform.client()
        self.claims = make_real_claims(self.client, self.write_retries)

    def test_store_holds_a_claim_whose_create_answer_was_lost(self) -> None:
        """Guards against a key that its own lost answer locks out."""
        self.fates = [_LOST]
        self.assertIsInstance(self._claim().ok(), HeldClaim)
        self.assertEqual(len(self.platform.applied_writes), 1)

    def test_store_refuses_as_unknown_without_a_platform(self) -> None:
        """Guards against `not_run` for a key that may have run before."""
        self.platform.outage = True
        self.fates = [0]
        refusal = self._refusal()
        self.assertIs(refusal.execution, Execution.UNKNOWN)
        self.assertIs(refusal.reason, Reason.PLATFORM_UNAVAILABLE)
        self.assertIsNotNone(refusal.retry_after_s)

    def test_store_words_follow_the_state_of_the_claim(self) -> None:
        """Guards against untruthful words on repeats of a key."""
        absent = self.claims.look_up("c", "k").unwrap()
        self.assertIs(record.execution_of(absent), Execution.UNKNOWN)
        held = self._claim().unwrap()
        self._expect(409, Execution.UNKNOWN, retries=True)
        self._expect(422, Execution.NOT_RUN, retries=False, digest="b" * 64)
        self.claims.record_outcome(held, ClaimState.UNKNOWN, None).unwrap()
        self._expect(409, Execution.UNKNOWN, retries=False)

    def test_store_replays_a_stored_answer(self) -> None:
        """Guards against a repeat that runs or loses its answer."""
        answer = ReceivedResponse(201, "text/plain", b"\x00booked")
        self._settle(answer)
        replay = self._claim().err()
        assert isinstance(replay, Replay)
        self.assertEqual(replay.record.body, answer.body)
        self.assertEqual(replay.record.status, 201)

    def test_store_says_ran_for_an_answer_over_64_kb(self) -> None:
        """Guards against claims too large for the platform."""
        self._settle(ReceivedResponse(200, "text/plain", bytes(64 * 1024 + 1)))
        self._expect(409, Execution.RAN, retries=False)
        found = self.claims.look_up("c", "k").unwrap()
        assert found is not None
        self.assertIs(record.execution_of(found), Execution.RAN)

    def test_store_takes_over_a_given_up_claim_with_a_new_fence(self) -> None:
        """Guards against a key that stays locked after `not_run`."""
        first = self._claim().unwrap()
        self.claims.give_up(first).unwrap()
        second = self._claim().unwrap()
        self.assertGreater(second.version, first.version)
        late = self.claims.record_outcome(first, ClaimState.UNKNOWN, None)
        self.assertIs(late.err(), PlatformError.CONFLICT)

    def test_store_writes_a_failed_give_up_later(self) -> None:
        """Guards against a key locked for good by an outage."""
        held = self._claim().unwrap()
        self.platform.outage = True
        self.assertTrue(self.claims.give_up(held).is_err())
        self.platform.outage = False
        self._expect(409, Execution.UNKNOWN, retries=True)
        self._run_write_retries()
        self.assertIsInstance(self._claim().ok(), HeldClaim)

    def test_store_gives_up_a_create_that_lands_after_its_refusal(self) -> None:
        """Guards against a held claim whose call was never dispatched."""
        self.fates = [_LATE, _DONE, _LATE, _DONE, _LATE, _DONE]
        self.assertIs(self._refusal().execution, Execution.UNKNOWN)
        self.platform.apply_in_flight(0)
        self._run_write_retries()
        self.assertIsInstance(self._claim().ok(), HeldClaim)

    def test_store_treats_a_malformed_claim_as_unknown(self) -> None:
        """Guards against a dispatch over a claim that cannot be read."""
        name = record.object_name("c", "k")
        self.client.create(record.CLAIMS_KIND, name, {"state": "given_up"})
        self._expect(409, Execution.UNKNOWN, retries=False)
        found = self.claims.look_up("c", "k")
        self.assertIs(found.err(), PlatformError.MALFORMED)

    def _claim(self, digest: str = _DIGEST) -> ClaimOutcome:
        self.sequence += 1
        holder = AttemptId("vm-1", 1, self.sequence)
        return self.claims.claim("c", "k", digest, holder)

    def _refusal(self, digest: str = _DIGEST) -> Refusal:
        refusal = self._claim(digest).err()
        assert isinstance(refusal, Refusal)
        return refusal

    def _expect(
        self,
        status: int,
        execution: Execution,
        retries: bool,
        digest: str = _DIGEST,
    ) -> None:
        refusal = self._refusal(digest)
        self.assertEqual(
            (refusal.status, refusal.execution), (status, execution)
        )
        self.assertEqual(refusal.retry_after_s is not None, retries)

    def _settle(self, answer: ReceivedResponse) -> None:
        held = self._claim().unwrap()
        self.claims.record_outcome(held, ClaimState.DONE, answer).unwrap()

    def _run_write_retries(self) -> None:
        self.now_s += 100.0
        self.write_retries.run_due()
        self.assertEqual(self.write_retries.counts().written, 1)
