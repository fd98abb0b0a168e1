"""Claims after the store has come back from an older copy."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from bench.simulated_platform import SimulatedPlatform
from burdockspan.claims import record
from burdockspan.claims.record import (
    ClaimState,
    HeldClaim,
    ReceivedResponse,
    Replay,
)
from burdockspan.claims.store import ClaimOutcome, Claims, make_claims
from burdockspan.claims.write_retries import WriteRetries, make_write_retries
from burdockspan.object_api.client import PlatformClient
from burdockspan.values.ids import AttemptId
from burdockspan.values.refusal import Execution, Refusal

_DIGEST = "a" * 64
_OTHER_DIGEST = "b" * 64
_START_S = 1_000_000.0
_RETENTION_S = 7 * 86400.0
_UNDATED = "booking-1"
_RESPONSE = ReceivedResponse(200, "text/plain", b"booked")
_LATE = 5
"""Choice of the simulated platform: a write is applied later."""


def _dated_key(created_s: float) -> str:
    """Returns a UUIDv7 that was created at a wall time."""
    digits = f"{int(created_s * 1000):012x}"
    return f"{digits[:8]}-{digits[8:]}-7000-8000-000000000000"


class _Vm:
    """An entry process with its claims."""

    def __init__(self, name: str, case: LossCase) -> None:
        self._name = name
        self._sequence = 0
        self.write_retries: WriteRetries = make_write_retries(
            lambda: case.now_s, lambda: 0.5
        )
        self.client: PlatformClient = case.platform.client()
        self.claims: Claims = make_claims(
            self.client,
            self.write_retries,
            lambda: case.now_s,
            lambda: _RETENTION_S,
        )

    def claim(self, key: str, digest: str = _DIGEST) -> ClaimOutcome:
        self._sequence += 1
        holder = AttemptId(self._name, 1, self._sequence)
        return self.claims.claim("c", key, digest, holder)

    def hold(self, key: str) -> HeldClaim:
        """Claims a key, which must succeed."""
        return self.claim(key).unwrap()

    def finish(self, held: HeldClaim) -> None:
        """Records that the call of a claim ran."""
        self.claims.record_outcome(held, ClaimState.DONE, _RESPONSE)

    def see_store(self) -> None:
        """Makes a call, whose response names the era of the store."""
        self.client.get("k", "absent")


class LossCase(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = _START_S
        self.choices: list[int] = []
        # Called by the platform during each call.
        self.on_pause: Callable[[], None] = lambda: None
        self.platform = SimulatedPlatform(
            lambda _: self.choices.pop(0) if self.choices else 0,
            self.pause,
        )
        self.first, self.second = _Vm("vm-1", self), _Vm("vm-2", self)
        self.dated = _dated_key(_START_S)

    def pause(self) -> None:
        """Calls what the test has set last."""
        self.on_pause()

    def run_write_retries(self, vm: _Vm) -> None:
        """Lets a process try its queued writes once."""
        self.now_s += 10.0
        vm.write_retries.run_due()

    def check_unknown(self, outcome: ClaimOutcome) -> None:
        """Checks for a refusal that does not say whether the call ran."""
        refusal = outcome.err()
        assert isinstance(refusal, Refusal), outcome
        self.assertIs(refusal.execution, Execution.UNKNOWN)

    def check_replay(self, outcome: ClaimOutcome) -> None:
        """Checks for the stored response."""
        replay = outcome.err()
        assert isinstance(replay, Replay), outcome
        self.assertEqual(replay.record.body, _RESPONSE.body)


class LostClaimTest(LossCase):
    def test_key_is_not_claimed_again_at_another_vm(self) -> None:
        """Guards against a second run after the claim has been lost."""
        keys = (_UNDATED, self.dated)
        for key in keys:
            self.first.hold(key)
        self.platform.lose_writes(2)
        for key in keys:
            with self.subTest(key):
                self.check_unknown(self.second.claim(key))
                # Also when the rise of the era is known beforehand.
                self.check_unknown(self.second.claim(key))

    def test_key_is_not_claimed_again_by_a_vm_that_has_just_started(
        self,
    ) -> None:
        """Guards against a start that forgets that writes were lost."""
        self.first.hold(self.dated)
        self.platform.lose_writes(1)
        self.second.see_store()
        self.now_s += 1.0
        self.second.claim(_dated_key(self.now_s))
        self.now_s += 100.0
        started = _Vm("vm-3", self)
        self.check_unknown(started.claim(self.dated))
        # A key created since the loss, though before the start, is claimed.
        fresh = _dated_key(self.now_s - 50.0)
        self.assertTrue(started.claim(fresh).is_ok())

    def test_key_created_since_the_loss_is_claimed(self) -> None:
        """Guards against refusals for longer than the loss explains."""
        self.platform.lose_writes(0)
        self.first.see_store()
        self.check_unknown(self.first.claim(self.dated))
        self.now_s += 10.0
        self.assertTrue(self.first.claim(_dated_key(self.now_s)).is_ok())
        self.check_unknown(self.first.claim(self.dated))

    def test_undated_key_is_claimed_a_minute_after_the_loss(self) -> None:
        """Guards against refusals for longer than the loss explains."""
        self.first.see_store()
        self.platform.lose_writes(0)
        self.check_unknown(self.first.claim(_UNDATED))
        self.now_s += 60.0
        self.assertTrue(self.first.claim("booking-2").is_ok())
        # A key that was refused after the loss is refused from then on.
        self.check_unknown(self.second.claim(_UNDATED))

    def test_refused_undated_key_is_marked(self) -> None:
        """Guards against a repeat that runs once the loss is forgotten."""
        self.first.see_store()
        self.platform.lose_writes(0)
        self.first.see_store()
        self.check_unknown(self.first.claim(_UNDATED))
        self.now_s += 100.0
        self.check_unknown(self.second.claim(_UNDATED))

    def test_refused_dated_key_leaves_the_store_as_it_is(self) -> None:
        """Guards against claims in the place of a lost one."""
        self.first.claims.give_up(self.first.hold(self.dated)).unwrap()
        self.second.hold(self.dated)
        self.platform.lose_writes(1)
        third = _Vm("vm-3", self)
        third.see_store()
        before = third.claims.look_up("c", self.dated)
        writes = len(self.platform.applied_writes)
        self.check_unknown(third.claim(self.dated))
        self.assertEqual(len(self.platform.applied_writes), writes)
        self.assertEqual(third.claims.look_up("c", self.dated), before)

    def test_claim_that_was_given_up_in_the_copy_is_not_taken(self) -> None:
        """Guards against a claim lost after the key was given up before."""
        self.first.claims.give_up(self.first.hold(self.dated)).unwrap()
        self.second.hold(self.dated)
        self.platform.lose_writes(1)
        self.check_unknown(self.first.claim(self.dated))

    def test_lookup_does_not_trust_a_claim_given_up_in_the_copy(self) -> None:
        """Guards against `not_run` for a call whose later claim was lost."""
        self.first.claims.give_up(self.first.hold(self.dated)).unwrap()
        self.second.hold(self.dated)
        self.platform.lose_writes(1)
        found = self.first.claims.look_up("c", self.dated).unwrap()
        self.assertIs(record.execution_of(found), Execution.UNKNOWN)

    def test_other_body_is_unknown_after_a_loss(self) -> None:
        """Guards against `not_run` by a claim made in place of a lost one."""
        self.first.hold(self.dated)
        self.platform.lose_writes(1)
        self.check_unknown(self.second.claim(self.dated, _OTHER_DIGEST))
        self.check_unknown(self.second.claim(self.dated))
        self.check_unknown(self.first.claim(self.dated, _OTHER_DIGEST))

    def test_late_claim_of_an_undated_key_stays_closed(self) -> None:
        """Guards against a refused key that can be claimed after a minute."""
        self.choices = [_LATE, 0, _LATE, 0, _LATE, 0]
        self.check_unknown(self.second.claim(_UNDATED))
        self.platform.lose_writes(0)
        self.platform.apply_in_flight(0)
        self.run_write_retries(self.second)
        self.now_s += 100.0
        self.check_unknown(self.first.claim(_UNDATED))


class RememberedClaimTest(LossCase):
    def test_same_vm_replays_a_response_that_was_lost(self) -> None:
        """Guards against `unknown` where the VM knows the outcome."""
        keys = (_UNDATED, self.dated)
        for key in keys:
            self.first.finish(self.first.hold(key))
        self.platform.lose_writes(4)
        for key in keys:
            with self.subTest(key):
                self.check_replay(self.first.claim(key))
                self.check_replay(self.first.claim(key))
                found = self.first.claims.look_up("c", key).unwrap()
                self.assertIs(record.execution_of(found), Execution.RAN)

    def test_holder_writes_a_lost_claim_again(self) -> None:
        """Guards against `unknown` at another VM while the holder lives."""
        keys = (_UNDATED, self.dated)
        for key in keys:
            self.first.finish(self.first.hold(key))
        self.platform.lose_writes(4)
        for key in keys:
            self.check_unknown(self.second.claim(key))
        self.first.see_store()
        self.run_write_retries(self.first)
        for key in keys:
            with self.subTest(key):
                found = self.second.claims.look_up("c", key).unwrap()
                self.assertIs(record.execution_of(found), Execution.RAN)
                self.check_replay(self.second.claim(key))

    def test_holder_records_the_outcome_of_a_lost_claim(self) -> None:
        """Guards against the outcome of a call that ran during the loss."""
        held = self.first.hold(self.dated)
        self.platform.lose_writes(1)
        self.first.see_store()
        self.first.finish(held)
        self.check_replay(self.second.claim(self.dated))

    def test_restored_claim_does_not_replace_its_outcome(self) -> None:
        """Guards against a claim that is held again after it is done."""
        held = self.first.hold(self.dated)
        self.platform.lose_writes(1)
        self.first.see_store()
        self.first.finish(held)
        self.run_write_retries(self.first)
        self.check_replay(self.second.claim(self.dated))

    def test_restoring_does_not_undo_an_outcome_recorded_meanwhile(
        self,
    ) -> None:
        """Guards against a claim that is held again after it is done."""
        held = self.first.hold(self.dated)
        self.platform.lose_writes(1)
        self.first.see_store()

        def finish_once() -> None:
            self.on_pause = lambda: None
            self.first.finish(held)

        self.on_pause = finish_once
        self.run_write_retries(self.first)
        self.check_replay(self.second.claim(self.dated))

    def test_given_up_claim_is_not_written_again(self) -> None:
        """Guards against `not_run` for a key that was claimed again since."""
        held = self.first.hold(self.dated)
        self.first.claims.give_up(held).unwrap()
        self.second.finish(self.second.hold(self.dated))
        self.platform.lose_writes(4)
        self.first.see_store()
        self.run_write_retries(self.first)
        found = self.first.claims.look_up("c", self.dated).unwrap()
        self.assertIs(record.execution_of(found), Execution.UNKNOWN)
        self.second.see_store()
        self.run_write_retries(self.second)
        self.check_replay(self.first.claim(self.dated))

    def test_fencing_tokens_rise_after_a_loss(self) -> None:
        """Guards against calls refused for a token lower than one seen."""
        for number in range(5):
            before = self.first.hold(f"booking-{number}")
        self.platform.lose_writes(5)
        self.first.see_store()
        self.now_s += 100.0
        after = self.first.hold("booking-9")
        self.assertGreater(after.version, before.version)


if __name__ == "__main__":
    unittest.main()
