from __future__ import annotations

import dataclasses
import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockspan.configuration.document import Drain, PlannedStop
from burdockspan.node import effects, messages
from burdockspan.requests.lifecycle import TERMINAL_STATES
from burdockspan.values.placement import AttemptEvent
from burdockspan.values.refusal import Execution
from tests.support.nodes import Network, make_submission

_VM = "entry-1"
_ENGINE_COUNT = 6
_VMS = (_VM, *(f"engine-{number}" for number in range(_ENGINE_COUNT)))
_EVENTS = tuple(
    event for event in AttemptEvent if event is not AttemptEvent.DISPATCHED
)
# Longer than the grace time of a drain and the lifetime of a report.
_OBSERVED_S = 8.0


class DrainTest(unittest.TestCase):
    @given(
        progress=st.lists(st.integers(0, len(_EVENTS)), max_size=8),
        drained=st.sets(st.sampled_from(_VMS)),
        stopped=st.sets(st.sampled_from(_VMS)),
    )
    def test_drains_and_planned_stops_end_no_running_call(
        self, progress: list[int], drained: set[str], stopped: set[str]
    ) -> None:
        """Guards against a planned stop that ends a call (target P7)."""
        network = Network((_VM,), engines=_ENGINE_COUNT)
        node = network.nodes_by_vm[_VM]
        running = {}
        for number, count in enumerate(progress):
            name = f"r{number}"
            future = network.submit(_VM, make_submission(network, name))
            running[name] = future.result(timeout=0).unwrap().attempt
            for event in _EVENTS[:count]:
                record_event = messages.RecordEvent(running[name], event)
                network.handle(_VM, record_event)
        node.performed_effects.clear()
        self._adopt_drains(network, drained, stopped)
        network.advance(_OBSERVED_S)
        rows = node.tables.requests_by_id
        for name, attempt in running.items():
            self.assertNotIn(rows[name].state, TERMINAL_STATES)
            self.assertEqual(rows[name].attempt, attempt)
        end_effects = (effects.Abort, effects.FreeMemory, effects.Answer)
        self.assertFalse(
            [e for e in node.performed_effects if isinstance(e, end_effects)]
        )
        for name in running:
            network.handle(
                _VM, messages.FinishRequest(name, Execution.RAN, 200)
            )
        self.assertEqual(node.tables.requests_by_id, {})
        self._check_another_call(network, drained | stopped)

    def _adopt_drains(
        self, network: Network, drained: set[str], stopped: set[str]
    ) -> None:
        tables = network.nodes_by_vm[_VM].tables
        active = tables.adoption.active
        assert active is not None
        changed = dataclasses.replace(
            active,
            generation=active.generation + 1,
            drains=tuple(Drain(vm, "op", 0.0) for vm in sorted(drained)),
            stops=tuple(
                PlannedStop(vm, vm, 0.0, "op") for vm in sorted(stopped)
            ),
        )
        network.handle(_VM, messages.ConfigurationReceived("platform", changed))

    def _check_another_call(self, network: Network, leaving: set[str]) -> None:
        future = network.submit(_VM, make_submission(network, "late"))
        outcome = future.result(timeout=0) if future.done() else None
        if outcome is None or outcome.is_err():
            return
        placement = outcome.unwrap()
        self.assertNotIn(_VM, leaving)
        self.assertNotIn(placement.decode.name, leaving)
        self.assertNotIn(placement.prefill.name, leaving)
