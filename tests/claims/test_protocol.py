from __future__ import annotations

import random
import unittest
from collections.abc import Callable

import hypothesis
from hypothesis import strategies
from result import Ok

from bench.claims_model import make_real_claims, run_history
from burdockspan.claims import record
from burdockspan.claims.record import ClaimRecord, ClaimState, HeldClaim
from burdockspan.claims.store import ClaimOutcome, Claims
from burdockspan.claims.write_retries import WriteRetries
from burdockspan.object_api.client import PlatformClient
from burdockspan.values.ids import AttemptId
from burdockspan.values.refusal import Reason

_SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
_CHOICES = strategies.lists(
    strategies.integers(0, 255), min_size=60, max_size=300
)
_LEASE_POLLS = 2


def _chooser(choices: list[int]) -> Callable[[int], int]:
    remaining = iter(choices)
    return lambda count: next(remaining, 0) % count


def make_lease_claims(
    client: PlatformClient, write_retries: WriteRetries
) -> Claims:
    """Returns a wrong design, in which the holder's claim is a lease.

    A call that finds the key claimed polls the claim, and takes it over if it
    is still held after the last poll, as if the holder's lease had expired.
    """
    real = make_real_claims(client, write_retries)

    def claim(
        account: str, key: str, digest: str, holder: AttemptId
    ) -> ClaimOutcome:
        for _ in range(_LEASE_POLLS):
            outcome = real.claim(account, key, digest, holder)
            refusal = outcome.err()
            if getattr(refusal, "reason", None) is not Reason.KEY_IN_PROGRESS:
                return outcome
        name = record.object_name(account, key)
        stored = client.get(record.CLAIMS_KIND, name)
        if stored.is_err():
            return outcome
        new_record = ClaimRecord(digest, holder, ClaimState.HELD)
        value = record.encode_record(new_record)
        version = stored.unwrap().version
        updated = client.update(record.CLAIMS_KIND, name, value, version)
        if updated.is_err():
            return outcome
        return Ok(HeldClaim(account, key, updated.unwrap().version, new_record))

    return Claims(claim, real.give_up, real.record_outcome, real.look_up)


class ProtocolTest(unittest.TestCase):
    @_SETTINGS
    @hypothesis.given(_CHOICES)
    def test_protocol_dispatches_at_most_once_and_refuses_truthfully(
        self, choices: list[int]
    ) -> None:
        """Guards against a second run of an action and a wrong `not_run`."""
        self.assertEqual(run_history(_chooser(choices)).violations, [])

    def test_protocol_histories_reach_all_outcomes(self) -> None:
        """Guards against an invariant that holds because nothing happens."""
        histories = [
            run_history(random.Random(seed).randrange) for seed in range(200)
        ]
        self.assertGreater(sum(len(h.dispatches) for h in histories), 40)
        self.assertGreater(sum(len(h.not_run) for h in histories), 20)
        with_both = [h for h in histories if h.not_run and h.dispatches]
        self.assertGreater(len(with_both), 0)

    def test_protocol_holds_when_the_store_loses_its_latest_writes(
        self,
    ) -> None:
        """Guards against a second run, or `not_run`, after a lost claim."""
        histories = [
            run_history(random.Random(f"1:{seed}").randrange)
            for seed in range(400)
        ]
        self.assertEqual([h.violations for h in histories if h.violations], [])
        lossy = [h for h in histories if h.losses]
        self.assertGreater(sum(len(h.dispatches) for h in lossy), 20)
        self.assertGreater(sum(len(h.not_run) for h in lossy), 10)

    def test_protocol_invariant_fails_for_a_lease(self) -> None:
        """Guards against an invariant too weak to reject an expiring lease."""
        counterexample = hypothesis.find(
            _CHOICES,
            lambda choices: bool(
                run_history(_chooser(choices), make_lease_claims).violations
            ),
            settings=hypothesis.settings(
                _SETTINGS,
                max_examples=5000,
                phases=[hypothesis.Phase.generate],
            ),
            random=random.Random(1),
        )
        history = run_history(_chooser(counterexample), make_lease_claims)
        self.assertTrue(history.violations)
        self.assertEqual(run_history(_chooser(counterexample)).violations, [])
