from __future__ import annotations

import random
import unittest
from concurrent.futures import Future

from hypothesis import given
from hypothesis import strategies as st

from burdockspan.membership import ownership
from burdockspan.node import endpoint_table, messages
from burdockspan.values.placement import AttemptEvent, Failure, FailureKind
from burdockspan.values.refusal import Execution
from tests.support.nodes import SERVICE, Network, make_submission

_VMS = ("entry-1", "entry-2", "entry-3")
_OWNER = ownership.owner_of(f"pool/{SERVICE}", _VMS)
_REQUESTERS = tuple(vm for vm in _VMS if vm != _OWNER)
# Longer than two response timeouts, after which the requester places the call.
_FALLBACK_S = 0.2


class DelegationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = Network(_VMS, engines=4)

    def test_requester_is_granted_endpoints_by_the_owner(self) -> None:
        """Guards against calls that bypass the queue of the pool owner."""
        requester = _REQUESTERS[0]
        future = self.network.submit(
            requester, make_submission(self.network, "r1")
        )
        placement = future.result(timeout=0).unwrap()
        owner = self.network.nodes_by_vm[_OWNER].tables
        self.assertIn(str(placement.attempt), owner.remote_calls_by_id)
        reservations = owner.endpoints_by_name[
            placement.decode.name
        ].reservations
        self.assertIn(placement.attempt, reservations)

    def test_owner_removes_a_call_that_has_ended(self) -> None:
        """Guards against memory that stays reserved for an ended call."""
        requester = _REQUESTERS[0]
        future = self.network.submit(
            requester, make_submission(self.network, "r1")
        )
        attempt = future.result(timeout=0).unwrap().attempt
        for event in (AttemptEvent.RESERVED, AttemptEvent.PREFILL_SENT):
            self.network.handle(requester, messages.RecordEvent(attempt, event))
        self.network.handle(
            requester, messages.FinishRequest("r1", Execution.UNKNOWN, 502)
        )
        owner = self.network.nodes_by_vm[_OWNER].tables
        self.assertEqual(owner.remote_calls_by_id, {})

    def test_requester_places_the_call_when_the_owner_is_unresponsive(
        self,
    ) -> None:
        """Guards against calls that wait for a dead or cut-off owner."""
        self.network.drops = lambda sender, receiver: (
            _OWNER in (sender, receiver)
        )
        future = self.network.submit(
            _REQUESTERS[0], make_submission(self.network, "r1")
        )
        self.assertFalse(future.done())
        self.network.advance(_FALLBACK_S)
        self.assertTrue(future.result(timeout=0).is_ok())
        second_future = self.network.submit(
            _REQUESTERS[0], make_submission(self.network, "r2")
        )
        self.assertTrue(
            second_future.done(), "an unresponsive owner got another request"
        )

    def test_requester_rejects_an_endpoint_that_it_knows_is_leaving(
        self,
    ) -> None:
        """Guards against new work through an owner with a stale report.

        Target P6: a leaving endpoint gets no new work after 3 s.
        """
        requester = _REQUESTERS[0]
        rows = self.network.nodes_by_vm[requester].tables.endpoints_by_name
        for name in ("engine-1", "engine-2"):
            rows[name] = endpoint_table.record_leaving(
                rows[name], self.network.clock()
            )
        chosen = set()
        for number in range(20):
            future = self.network.submit(
                requester, make_submission(self.network, f"r{number}")
            )
            placement = future.result(timeout=0).unwrap()
            chosen |= {placement.decode.name, placement.prefill.name}
        self.assertEqual(chosen, {"engine-0", "engine-3"})

    def test_late_grant_is_returned_to_the_owner(self) -> None:
        """Guards against an owner that counts a grant that nobody uses."""
        requester = _REQUESTERS[0]
        self.network.drops = lambda sender, receiver: sender == _OWNER
        self.network.submit(requester, make_submission(self.network, "r1"))
        self.network.advance(_FALLBACK_S)
        # By now the requester has sent ENDED, which was not dropped. From here
        # on, only messages of the owner arrive.
        self.network.drops = lambda sender, receiver: sender != _OWNER
        self.network.advance(0.1)
        self.network.drops = lambda sender, receiver: False
        # An unacknowledged grant ends after 5 s.
        self.network.advance(6.0)
        owner = self.network.nodes_by_vm[_OWNER].tables
        granted = [
            row
            for row in owner.remote_calls_by_id.values()
            if row.placement is not None
        ]
        self.assertEqual(granted, [])

    @given(
        seed=st.integers(0, 2**16),
        loss=st.floats(0.0, 0.9),
        calls=st.integers(1, 12),
    )
    def test_every_call_is_placed_once_despite_lost_messages(
        self, seed: int, loss: float, calls: int
    ) -> None:
        """Guards against calls that are lost or placed twice."""
        network = Network(_VMS, engines=4, seed=seed)
        random_float = random.Random(seed).random
        network.drops = lambda sender, receiver: random_float() < loss
        futures = [
            network.submit(
                _VMS[number % 3], make_submission(network, f"r{number}")
            )
            for number in range(calls)
        ]
        network.advance(3.0)
        for future in futures:
            self.assertTrue(future.done())
            self.assertTrue(future.result(timeout=0).is_ok())
        placed = {
            future.result(timeout=0).unwrap().attempt for future in futures
        }
        self.assertEqual(len(placed), calls)


class LeavingStatusTest(unittest.TestCase):
    def test_refusal_of_a_leaving_endpoint_reaches_the_peers(self) -> None:
        """Guards against peers that send work until the next report."""
        network = Network(_VMS, engines=4)
        network.delivers_reports = False
        future = network.submit(_VMS[0], make_submission(network, "r1"))
        placement = future.result(timeout=0).unwrap()
        failure = Failure(FailureKind.LEAVING, placement.decode.name)
        second_future: messages.PlacementFuture = Future()
        network.handle(
            _VMS[0], messages.Retry(placement.attempt, failure, second_future)
        )
        network.advance(1.0)
        for node in network.nodes_by_vm.values():
            rows = node.tables.endpoints_by_name
            self.assertTrue(rows[failure.endpoint].leaving, node.vm)
