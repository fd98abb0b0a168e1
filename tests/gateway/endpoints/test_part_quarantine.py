"""VMs share through the store which parts of prompts crash engines."""

from __future__ import annotations

import unittest
from typing import Any

from burdockspan.gateway.discovery.watchers import WatchPosition, poll
from burdockspan.gateway.endpoints import part_quarantine
from burdockspan.gateway.endpoints.crash_records import KIND, CrashRecordStore
from burdockspan.gateway.endpoints.part_quarantine import (
    Part,
    PartQuarantine,
    list_parts,
)
from burdockspan.observe.registry import make_registry
from burdockspan.platform.store import make_store
from burdockspan.resilience.crash_evidence import (
    SUSPICION_S,
    TRIAL_INTERVAL_S,
    TRUST_S,
)
from standins.object_store import ObjectStore

_BAD = Part("llm", "bad0")
_SOUND = Part("llm", "aa01")


class _Vm:
    """The quarantine of one VM, and its watch of the store."""

    def __init__(self, case: PartQuarantineTest) -> None:
        clock = lambda: case.now_s  # noqa: E731
        log = lambda event, **fields: case.events.append((event, fields))  # noqa: E731
        self.store = make_store(case.platform.address, clock)
        self.registry = make_registry()
        self.parts = PartQuarantine(
            KIND, self.store, clock, lambda: 0.0, log, self.registry
        )
        records = CrashRecordStore(
            self.store, lambda _: False, clock, log, self.parts
        )
        self._watcher = records.make_watcher()

    def learn(self) -> None:
        """Reads all objects of the store."""
        poll(self.store, self._watcher, WatchPosition(), lambda: 0.0)


class PartQuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = ObjectStore()
        self.addCleanup(self.platform.close)
        self.now_s = 1000.0
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.vms = [_Vm(self) for _ in range(3)]

    def crash(self, vm: _Vm, name: str, *parts: Part) -> None:
        """An engine crashes under a run of a VM, and all VMs learn of it."""
        self.now_s += 1.0
        vm.parts.record_crash(parts or (_BAD,), (name, "1"))
        for other in self.vms:
            other.learn()

    def quarantine(self) -> None:
        """Lets the bad part crash an engine at each VM."""
        for number, vm in enumerate(self.vms):
            self.crash(vm, f"i-{number}")

    def is_refused(self, vm: _Vm, part: Part = _BAD) -> bool:
        """Whether a VM refuses requests with a part."""
        return bool(vm.parts.find_refused((part,)))

    def test_one_vm_tries_a_refused_part_again(self) -> None:
        """Guards against a wave of trials, one of each VM."""
        self.quarantine()
        self.now_s += TRIAL_INTERVAL_S / 2
        self.assertFalse(
            any(vm.parts.try_start_trial((_BAD,)) for vm in self.vms)
        )
        self.now_s += TRIAL_INTERVAL_S
        tried = [vm.parts.try_start_trial((_BAD,)) for vm in self.vms]
        self.assertEqual(sum(tried), 1)
        for vm in self.vms:
            vm.learn()
            self.assertFalse(vm.parts.try_start_trial((_BAD,)))

    def test_trial_that_lasts_ends_the_quarantine_at_all_vms(self) -> None:
        """Guards against a part that is refused though it was mended."""
        self.quarantine()
        self.vms[0].parts.record_survival((_BAD,))
        self.vms[0].parts.maintain()
        for vm in self.vms:
            vm.learn()
            self.assertFalse(self.is_refused(vm))

    def test_object_that_is_deleted_ends_the_quarantine(self) -> None:
        """Guards against an operator who cannot clear a part."""
        self.quarantine()
        stored = self.platform.read(KIND)[_BAD.object_name]
        self.assertEqual((stored["service"], stored["part"]), ("llm", "bad0"))
        vm = self.vms[1]
        position, _ = poll(vm.store, vm._watcher, WatchPosition(), lambda: 0.0)
        self.platform.remove(KIND, _BAD.object_name)
        poll(vm.store, vm._watcher, position, lambda: 0.0)
        self.assertFalse(self.is_refused(vm))

    def test_refused_parts_are_counted(self) -> None:
        """Guards against a quarantine that no metric shows."""
        vm = self.vms[0]
        for refused in (0, 1):
            vm.parts.maintain()
            line = f'burdockspan_state{{name="refused_parts"}} {refused}.0'
            self.assertIn(line, vm.registry.render().decode())
            self.quarantine()

    def test_soundness_travels_before_the_verdict(self) -> None:
        """Guards against blaming a sound part at VMs that rarely see it."""
        for number in range(6):
            vm = self.vms[number % 2]
            self.crash(vm, f"i-{number}", _SOUND, _BAD)
            self.vms[2].parts.record_survival((_SOUND,))
            self.vms[2].parts.maintain()
            for other in self.vms:
                other.learn()
        for vm in self.vms:
            self.assertTrue(self.is_refused(vm, _BAD))
            self.assertFalse(self.is_refused(vm, _SOUND))

    def test_crashes_written_at_the_same_time_are_joined(self) -> None:
        """Guards against a write that loses the crashes of another VM."""
        for number, vm in enumerate(self.vms):
            vm.parts.record_crash((_BAD,), (f"i-{number}", "1"))
        for _ in self.vms:
            for vm in self.vms:
                vm.learn()
                vm.parts.maintain()
        for vm in self.vms:
            self.assertTrue(self.is_refused(vm))

    def test_verdict_holds_while_the_store_is_down(self) -> None:
        """Guards against a VM that needs the store to refuse, or floods it."""
        vm = self.vms[0]
        self.platform.close()
        for number in range(3):
            self.now_s += 1.0
            vm.parts.record_crash((_BAD,), (f"i-{number}", "1"))
        self.assertTrue(self.is_refused(vm))
        for _ in range(5):
            vm.parts.maintain()
        unwritten = [e for e, _ in self.events if e == "part not written"]
        self.assertEqual(len(unwritten), 1)

    def test_verdict_survives_a_store_from_a_copy(self) -> None:
        """Guards against a verdict that is lost with the latest writes."""
        self.quarantine()
        self.platform.remove(KIND, _BAD.object_name)
        self.vms[0].parts.write_all()
        late = _Vm(self)
        late.learn()
        self.assertTrue(self.is_refused(late))

    def test_proofs_of_sound_parts_leave_the_store(self) -> None:
        """Guards against a store that keeps an object for each cleared part."""
        for sharer_lives in (True, False):
            self.quarantine()
            self.vms[0].parts.record_survival((_BAD,))
            self.vms[0].parts.maintain()
            for vm in self.vms:
                vm.learn()
            self.assertEqual(len(self.platform.read(KIND)), 1)
            self.now_s += SUSPICION_S + TRUST_S
            self.vms[0 if sharer_lives else 1].parts.maintain()
            self.assertEqual(self.platform.read(KIND), {})

    def test_new_crash_is_not_removed_with_an_old_proof(self) -> None:
        """Guards against evidence that vanishes after a part was sound."""
        self.quarantine()
        self.vms[0].parts.record_survival((_BAD,))
        self.vms[0].parts.maintain()
        for vm in self.vms:
            vm.learn()
        self.now_s += SUSPICION_S
        self.quarantine()
        self.now_s += 10.0
        for vm in self.vms:
            vm.parts.maintain()
            self.assertTrue(self.is_refused(vm))
        self.assertEqual(len(self.platform.read(KIND)), 1)

    def test_malformed_objects_are_ignored(self) -> None:
        """Guards against a malformed object that stops the watcher."""
        name = _BAD.object_name
        for value in (
            None,
            {"service": 1, "part": "bad0"},
            {"service": "llm", "part": "other", "crashes": []},
            {"service": "llm", "part": "bad0", "crashes": "x"},
            {"service": "llm", "part": "bad0", "crashes": [1, ["a"]]},
        ):
            self.platform.put(KIND, name, value)
            self.vms[0].learn()
        self.assertFalse(self.is_refused(self.vms[0]))

    def test_evidence_is_bounded(self) -> None:
        """Guards against memory that grows with the parts of prompts."""
        self.quarantine()
        limit = part_quarantine._MAX_PARTS
        vm = self.vms[0]
        for number in range(limit + 100):
            vm.parts.record_survival(list_parts("llm", (f"{number:x}",)))
        self.assertLessEqual(len(vm.parts._evidence_by_part), limit)
        self.assertTrue(self.is_refused(vm))

    def test_expired_suspicion_is_removed_from_the_store(self) -> None:
        """Guards against a store that fills up with old crashes."""
        self.crash(self.vms[0], "i-1", _SOUND)
        self.now_s += 1000.0 + TRUST_S
        self.vms[0].parts.maintain()
        self.assertEqual(self.platform.read(KIND), {})


if __name__ == "__main__":
    unittest.main()
