from __future__ import annotations

import unittest

from burdockspan.node import messages
from burdockspan.resilience.breaker import Phase
from burdockspan.values.placement import AttemptEvent
from burdockspan.values.refusal import Execution
from tests.support.nodes import Network, make_submission

_CALL_COUNT = 60
_NORMAL_S = 0.05
_SLOW_S = 0.5


class SlowEngineTest(unittest.TestCase):
    def test_breaker_opens_for_a_prefill_engine_slower_than_its_peers(
        self,
    ) -> None:
        """Guards against an engine that responds, but far too slowly."""
        network = Network(("entry-1",), engines=8)
        slow = "engine-0"
        for number in range(_CALL_COUNT):
            self._run(network, f"r{number}", slow)
        rows = network.nodes_by_vm["entry-1"].tables.endpoints_by_name
        phases = {
            name: row.breaker.phase
            for name, row in rows.items()
            if row.endpoint.pool.value == "prefill"
        }
        self.assertIs(phases.pop(slow), Phase.OPEN)
        self.assertEqual(set(phases.values()), {Phase.CLOSED})

    def _run(self, network: Network, request_id: str, slow: str) -> None:
        future = network.submit("entry-1", make_submission(network, request_id))
        placement = future.result(timeout=0).unwrap()
        took_s = _SLOW_S if placement.prefill.name == slow else _NORMAL_S
        for event in AttemptEvent:
            if event is AttemptEvent.DISPATCHED:
                continue
            if event is AttemptEvent.PREFILLED:
                network.clock.now_s += took_s
                network.report_all()
            network.handle(
                "entry-1", messages.RecordEvent(placement.attempt, event)
            )
        network.handle(
            "entry-1", messages.FinishRequest(request_id, Execution.RAN, 200)
        )
