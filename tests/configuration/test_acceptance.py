from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from burdockspan.configuration.acceptance import accept, apply_edit
from burdockspan.configuration.commit import CommitError, CommitFailure
from burdockspan.configuration.document import (
    Client,
    Configuration,
    PlannedStop,
)
from burdockspan.configuration.maintenance import (
    make_cancel,
    make_drain,
    make_schedule,
    make_undrain,
)
from tests.support.objects import Fault, InMemoryObjectStore, skip_sleep

_FAULTS = st.lists(st.sampled_from(list(Fault)), max_size=5)
Outcome = Result[Configuration, CommitError]


def document(by: str) -> Configuration:
    client = Client(f"client-of-{by}", "0" * 64, 1.0, 1)
    return Configuration(
        0, "team", accepted_by=by, accepted_at_s=1.0, clients=(client,)
    )


def accept_as(objects: InMemoryObjectStore, by: str, base: int) -> Outcome:
    return accept(objects.make_store(), document(by), base, skip_sleep)


def drain_as(objects: InMemoryObjectStore, by: str, vm: str) -> Outcome:
    change = make_drain((vm,), by, 2.0)
    return apply_edit(objects.make_store(), change, by, 2.0, skip_sleep)


def generations(objects: InMemoryObjectStore) -> list[int]:
    return [value["generation"] for value in objects.applied]


class AcceptanceTest(unittest.TestCase):
    def test_acceptance_reports_the_operator_who_wrote_first(self) -> None:
        objects = InMemoryObjectStore()
        self.assertEqual(accept_as(objects, "amal", 0).unwrap().generation, 1)
        error = accept_as(objects, "badr", 0).unwrap_err()
        self.assertIs(error.failure, CommitFailure.LOST_RACE)
        self.assertEqual((error.generation, error.by), (1, "amal"))
        self.assertIn("amal", error.detail)

    def test_acceptance_keeps_drains_in_force(self) -> None:
        # Guards against a new configuration that silently undrains a VM.
        objects = InMemoryObjectStore()
        accept_as(objects, "amal", 0)
        drain_as(objects, "badr", "vm-1")
        accepted = accept_as(objects, "amal", 2).unwrap()
        self.assertEqual([drain.vm for drain in accepted.drains], ["vm-1"])

    def test_acceptance_refuses_the_configuration_of_another_team(self) -> None:
        objects = InMemoryObjectStore()
        accept_as(objects, "amal", 0)
        other = Configuration(0, "other", accepted_by="badr")
        error = accept(objects.make_store(), other, 1, skip_sleep).unwrap_err()
        self.assertIs(error.failure, CommitFailure.INVALID)

    @settings(derandomize=True, deadline=None)
    @given(_FAULTS, st.integers(0, 3))
    def test_acceptance_applies_one_document_per_base(
        self, faults: list[Fault], base: int
    ) -> None:
        # Guards against two operators who are both told that their document is
        # in force, also when responses are lost, and against an operator whose
        # document is in force but who is told that it was refused.
        objects = InMemoryObjectStore()
        for generation in range(base):
            accept_as(objects, "first", generation)
        concurrent: list[Outcome] = []
        objects.before_write = lambda: concurrent.append(
            accept_as(objects, "badr", base)
        )
        objects.faults = faults
        outcomes = {"amal": accept_as(objects, "amal", base)}
        outcomes["badr"] = concurrent[0]
        objects.get("config", "current")
        self.assertEqual(
            generations(objects), list(range(1, len(objects.applied) + 1))
        )
        accepted = {by for by in outcomes if outcomes[by].is_ok()}
        applied = {
            value["accepted_by"]
            for value in objects.applied
            if value["generation"] == base + 1
        }
        self.assertLessEqual(accepted, applied)
        self.assertEqual(len(applied), 1)
        for by, outcome in outcomes.items():
            if isinstance(outcome, Err) and by in applied:
                self.assertIs(
                    outcome.err_value.failure, CommitFailure.UNCERTAIN
                )

    @settings(derandomize=True, deadline=None)
    @given(_FAULTS, st.booleans())
    def test_edit_is_applied_once_when_responses_are_lost(
        self, faults: list[Fault], raced: bool
    ) -> None:
        # Guards against an edit that is applied twice because the result of
        # the first write is unknown, and against overwriting another change.
        objects = InMemoryObjectStore()
        accept_as(objects, "amal", 0)
        if raced:
            objects.before_write = lambda: self.assertTrue(
                drain_as(objects, "badr", "vm-2").is_ok()
            )
        objects.faults = [Fault.NONE, *faults] if raced else faults
        outcome = drain_as(objects, "amal", "vm-1")
        objects.get("config", "current")
        edits = [v for v in objects.applied[1:] if v["accepted_by"] == "amal"]
        self.assertEqual(len(edits), 1)
        self.assertTrue(outcome.is_ok())
        self.assertEqual(
            generations(objects), list(range(1, len(objects.applied) + 1))
        )
        drained = [d["vm"] for d in objects.applied[-1]["drains"]]
        self.assertEqual(drained, ["vm-1", "vm-2"] if raced else ["vm-1"])

    def test_edit_is_not_repeated_when_a_later_change_hides_its_result(
        self,
    ) -> None:
        # Guards against draining again a VM that was undrained meanwhile.
        objects = InMemoryObjectStore([Fault.NONE, Fault.APPLIED_RESPONSE_LOST])
        accept_as(objects, "amal", 0)
        undrain = make_undrain(("vm-1",))
        store = objects.make_store()
        objects.after_write = lambda: self.assertTrue(
            apply_edit(store, undrain, "badr", 3.0, skip_sleep).is_ok()
        )
        error = drain_as(objects, "amal", "vm-1").unwrap_err()
        self.assertIs(error.failure, CommitFailure.UNCERTAIN)
        self.assertEqual(error.by, "badr")
        self.assertEqual(objects.applied[-1]["drains"], [])

    def test_edit_reports_an_unreachable_platform(self) -> None:
        objects = InMemoryObjectStore()
        accept_as(objects, "amal", 0)
        # A write without a response may still be applied.
        objects.faults = [Fault.DROPPED] * 20
        error = drain_as(objects, "amal", "vm-1").unwrap_err()
        self.assertIs(error.failure, CommitFailure.UNCERTAIN)
        objects.faults = [Fault.LIMITED] * 20
        error = drain_as(objects, "amal", "vm-1").unwrap_err()
        self.assertIs(error.failure, CommitFailure.UNREACHABLE)


class MaintenanceTest(unittest.TestCase):
    def test_failed_edits_list_what_exists(self) -> None:
        configuration = Configuration(1, "team")
        stop = PlannedStop("stop-1", "vm-1", 9.0, "amal")
        scheduled = make_schedule(stop)(configuration).unwrap()
        self.assertEqual(make_schedule(stop)(scheduled), Ok(scheduled))
        conflicting = PlannedStop("stop-2", "vm-1", 10.0, "badr")
        self.assertIn(
            "amal", make_schedule(conflicting)(scheduled).unwrap_err()
        )
        self.assertIn("stop-1", make_cancel("stop-9")(scheduled).unwrap_err())
        self.assertEqual(make_cancel("stop-1")(scheduled), Ok(configuration))
        drained = make_drain(("a", "a"), "amal", 1.0)(configuration).unwrap()
        self.assertEqual(len(drained.drains), 1)
        self.assertIn("a", make_undrain(("b",))(drained).unwrap_err())
