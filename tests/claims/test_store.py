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
# Choices of the simulated platform. _DONE: a write is applied, a read succeeds.
# _LOST: a write is applied, but its response is lost. _LATE: a write is applied
# later. _UNSENT_IN_OUTAGE: during an outage, a write is not sent.
_DONE, _LOST, _LATE = 0, 4, 5
_UNSENT_IN_OUTAGE = 0


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.choices: list[int] = []
        self.now_s = 0.0
        self.sequence = 0
        self.platform = SimulatedPlatform(
            lambda _: self.choices.pop(0) if self.choices else _DONE,
            lambda: None,
        )
        self.write_retries = make_write_retries(lambda: self.now_s, lambda: 0.5)
        self.client = self.platform.client()
        self.claims = make_real_claims(self.client, self.write_retries)

    def test_store_holds_a_claim_whose_create_response_was_lost(self) -> None:
        """Guards against a call that is refused because of its own claim."""
        self.choices = [_LOST]
        self.assertIsInstance(self._claim().ok(), HeldClaim)
        self.assertEqual(len(self.platform.applied_writes), 1)

    def test_store_reports_execution_unknown_without_a_platform(self) -> None:
        """Guards against `not_run` for a key that may have run before."""
        self.platform.outage = True
        self.choices = [_UNSENT_IN_OUTAGE]
        refusal = self._refusal()
        self.assertIs(refusal.execution, Execution.UNKNOWN)
        self.assertIs(refusal.reason, Reason.PLATFORM_UNAVAILABLE)
        self.assertIsNotNone(refusal.retry_after_s)

    def test_store_execution_follows_the_state_of_the_claim(self) -> None:
        """Guards against a refusal that is wrong on whether the call ran."""
        absent = self.claims.look_up("c", "k").unwrap()
        self.assertIs(record.execution_of(absent), Execution.UNKNOWN)
        held = self._claim().unwrap()
        self._check_refusal(409, Execution.UNKNOWN, has_retry_after=True)
        self._check_refusal(
            422, Execution.NOT_RUN, has_retry_after=False, digest="b" * 64
        )
        self.claims.record_outcome(held, ClaimState.UNKNOWN, None).unwrap()
        self._check_refusal(409, Execution.UNKNOWN, has_retry_after=False)

    def test_store_replays_a_stored_response(self) -> None:
        """Guards against a repeated call that runs or loses its response."""
        response = ReceivedResponse(201, "text/plain", b"\x00booked")
        self._record_response(response)
        replay = self._claim().err()
        assert isinstance(replay, Replay)
        self.assertEqual(replay.record.body, response.body)
        self.assertEqual(replay.record.status, 201)

    def test_store_reports_execution_ran_after_an_oversized_response(
        self,
    ) -> None:
        """Guards against a lost claim because its body is over 64 KB."""
        self._record_response(
            ReceivedResponse(200, "text/plain", bytes(64 * 1024 + 1))
        )
        self._check_refusal(409, Execution.RAN, has_retry_after=False)
        claim = self.claims.look_up("c", "k").unwrap()
        assert claim is not None
        self.assertIs(record.execution_of(claim), Execution.RAN)

    def test_store_claims_a_given_up_key_with_a_new_fencing_token(self) -> None:
        """Guards against a key that stays claimed after `not_run`."""
        first = self._claim().unwrap()
        self.claims.give_up(first).unwrap()
        second = self._claim().unwrap()
        self.assertGreater(second.version, first.version)
        late = self.claims.record_outcome(first, ClaimState.UNKNOWN, None)
        self.assertIs(late.err(), PlatformError.CONFLICT)

    def test_store_retries_a_failed_give_up(self) -> None:
        """Guards against a key that stays claimed after an outage."""
        held = self._claim().unwrap()
        self.platform.outage = True
        self.assertTrue(self.claims.give_up(held).is_err())
        self.platform.outage = False
        self._check_refusal(409, Execution.UNKNOWN, has_retry_after=True)
        self._run_write_retries()
        self.assertIsInstance(self._claim().ok(), HeldClaim)

    def test_store_gives_up_a_claim_that_is_created_after_the_refusal(
        self,
    ) -> None:
        """Guards against a held claim whose call was never dispatched."""
        self.choices = [_LATE, _DONE, _LATE, _DONE, _LATE, _DONE]
        self.assertIs(self._refusal().execution, Execution.UNKNOWN)
        self.platform.apply_in_flight(0)
        self._run_write_retries()
        self.assertIsInstance(self._claim().ok(), HeldClaim)

    def test_store_reports_execution_unknown_for_a_malformed_claim(
        self,
    ) -> None:
        """Guards against a dispatch despite a claim that cannot be parsed."""
        name = record.object_name("c", "k")
        self.client.create(record.CLAIMS_KIND, name, {"state": "given_up"})
        self._check_refusal(409, Execution.UNKNOWN, has_retry_after=False)
        claim = self.claims.look_up("c", "k")
        self.assertIs(claim.err(), PlatformError.MALFORMED)

    def _claim(self, digest: str = _DIGEST) -> ClaimOutcome:
        self.sequence += 1
        holder = AttemptId("vm-1", 1, self.sequence)
        return self.claims.claim("c", "k", digest, holder)

    def _refusal(self, digest: str = _DIGEST) -> Refusal:
        refusal = self._claim(digest).err()
        assert isinstance(refusal, Refusal)
        return refusal

    def _check_refusal(
        self,
        status: int,
        execution: Execution,
        has_retry_after: bool,
        digest: str = _DIGEST,
    ) -> None:
        refusal = self._refusal(digest)
        self.assertEqual(
            (refusal.status, refusal.execution), (status, execution)
        )
        self.assertEqual(refusal.retry_after_s is not None, has_retry_after)

    def _record_response(self, response: ReceivedResponse) -> None:
        held = self._claim().unwrap()
        self.claims.record_outcome(held, ClaimState.DONE, response).unwrap()

    def _run_write_retries(self) -> None:
        self.now_s += 100.0
        self.write_retries.run_due()
        self.assertEqual(self.write_retries.counts().written, 1)
