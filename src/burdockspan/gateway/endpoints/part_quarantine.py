"""Quarantine of parts of prompts that crash the engines that write on them.

The requests with such a part may be alike in nothing else. Each VM keeps
evidence on the parts of its runs, and shares the crashes that it blames on a
part through the store.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import math
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from result import Err

from burdockspan.gateway.ports import Store, StoredObject, StoreError
from burdockspan.object_api.retries import RandomFloat
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.resilience import crash_evidence
from burdockspan.resilience.crash_evidence import CrashEvidence
from burdockspan.resilience.quarantine import Crash, Decision
from burdockspan.values.clock import Clock

NAME_PREFIX = "part-"
"""Begins the names of the objects of parts."""

# Parts with evidence. Those that were not used for the longest time, and are
# blamed for no crash, are forgotten first.
_MAX_PARTS = 8192
# Parts of one lost run that can be blamed.
_MAX_BLAMED_PARTS = 16
# VMs that tell the others at the same time that a blamed part is sound. One of
# them suffices.
_CONTRADICTING_VMS = 4


@dataclasses.dataclass(frozen=True)
class Part:
    """A part of prompts, and the service whose engines read it."""

    service: str
    id: str

    @property
    def object_name(self) -> str:
        """Name of the part's object in the store."""
        key = f"{self.service}\0{self.id}".encode()
        return NAME_PREFIX + hashlib.sha256(key).hexdigest()[:32]


def list_parts(service: str, ids: Iterable[str]) -> tuple[Part, ...]:
    """Returns the parts of a prompt that a service is to read."""
    return tuple(Part(service, id) for id in ids)


class PartQuarantine:
    """Evidence on parts of prompts, shared through the store."""

    def __init__(
        self,
        kind: str,
        store: Store,
        clock: Clock,
        random_float: RandomFloat,
        log: WriteEvent,
        registry: Registry,
    ) -> None:
        self._kind = kind
        self._store = store
        self._clock = clock
        self._random_float = random_float
        self._log = log
        self._registry = registry
        self._lock = threading.Lock()
        self._evidence_by_part: collections.OrderedDict[Part, CrashEvidence] = (
            collections.OrderedDict()
        )
        # Parts that are blamed for a crash.
        self._blamed: set[Part] = set()
        self._unwritten: set[Part] = set()
        self._part_by_object: dict[str, Part] = {}
        self._revision_by_part: dict[Part, int] = {}
        # When this VM removes the objects that say that a part is sound.
        self._removal_s_by_object: dict[str, float] = {}
        self._vm_count = 1
        self._has_news: Callable[[], None] = lambda: None

    def set_vm_count(self, vm_count: int) -> None:
        """Sets the number of live VMs."""
        self._vm_count = max(1, vm_count)

    def is_to_share(self) -> bool:
        """Returns whether this VM tells the others what all VMs may know."""
        return self._random_float() < _CONTRADICTING_VMS / self._vm_count

    def notify_of_news(self, listener: Callable[[], None]) -> None:
        """Calls `listener` when `maintain` has something to share at once."""
        self._has_news = listener

    def find_refused(self, parts: Iterable[Part]) -> tuple[Part, ...]:
        """Returns the parts that are not allowed."""
        if not self._blamed:
            return ()
        now_s = self._clock()
        return tuple(
            part
            for part in parts
            if part in self._blamed
            and self._decide(part, now_s) is not Decision.ALLOW
        )

    def _decide(self, part: Part, now_s: float) -> Decision:
        with self._lock:
            evidence = self._evidence_by_part.get(part, CrashEvidence())
        return crash_evidence.decide(evidence, now_s)

    def record_survival(self, parts: Iterable[Part]) -> None:
        """Records that a run has not crashed its engine."""
        now_s = self._clock()
        is_news = False
        with self._lock:
            for part in parts:
                before = self._evidence_by_part.get(part, CrashEvidence())
                evidence = crash_evidence.record_survival(before, now_s)
                self._keep(part, evidence)
                is_news |= crash_evidence.is_contradicted(evidence)
        if is_news:
            self._has_news()

    def record_crash(self, parts: tuple[Part, ...], crash: Crash) -> None:
        """Records that an engine crashed under a run that had just begun."""
        now_s = self._clock()
        for part in parts[:_MAX_BLAMED_PARTS]:
            with self._lock:
                before = self._evidence_by_part.get(part, CrashEvidence())
                evidence = crash_evidence.record_crash(before, crash, now_s)
                self._keep(part, evidence)
            if crash in before.learned_s_by_crash:
                continue
            is_blamed = crash in evidence.learned_s_by_crash
            self._log_crash(part, crash, evidence, is_blamed)
            if is_blamed:
                self._log_verdict(part, before, evidence)
                self._write(part)

    def try_start_trial(self, parts: tuple[Part, ...]) -> bool:
        """Returns whether this VM may try one request with refused parts.

        Of all VMs, the one whose write succeeds may.
        """
        now_s = self._clock()
        if any(self._decide(part, now_s) is Decision.REFUSE for part in parts):
            return False
        part = parts[0]
        with self._lock:
            evidence = self._evidence_by_part.get(part, CrashEvidence())
            if crash_evidence.decide(evidence, now_s) is not Decision.SINGLE:
                return False
            evidence = crash_evidence.learn_crashes(
                evidence, (), evidence.trials + 1, now_s
            )
            self._keep(part, evidence)
            revision = self._revision_by_part.get(part)
        if revision is None:
            # The object is not known, so that a trial could not be claimed.
            self._unwritten.add(part)
            return False
        outcome = self._store.replace(
            self._kind, part.object_name, _encode(part, evidence), revision
        )
        is_won = not isinstance(outcome, Err)
        if not isinstance(outcome, Err):
            self._revision_by_part[part] = outcome.ok_value.revision
        self._registry.count("part", "tried" if is_won else "not_tried")
        self._log(
            "part tried",
            service=part.service,
            part=part.id,
            trial=evidence.trials,
            won=is_won,
        )
        return is_won

    def apply_change(self, stored: StoredObject) -> None:
        """Applies a change of a part's object in the store."""
        if stored.removed:
            part = self._part_by_object.get(stored.name)
            self._removal_s_by_object.pop(stored.name, None)
            if part is not None:
                self._forget(part, "removed")
            return
        decoded = _decode(stored)
        if decoded is None:
            self._log("part not read", name=stored.name)
            return
        now_s = self._clock()
        part = decoded.part
        if decoded.is_sound:
            self._forget(part, "sound")
            self.record_survival((part,))
            # The VM that wrote it removes it earlier, if it lives.
            self._removal_s_by_object.setdefault(
                stored.name, now_s + crash_evidence.SUSPICION_S
            )
            return
        self._removal_s_by_object.pop(stored.name, None)
        with self._lock:
            before = self._evidence_by_part.get(part, CrashEvidence())
            evidence = crash_evidence.learn_crashes(
                before, decoded.crashes, decoded.trials, now_s
            )
            self._keep(part, evidence)
            self._revision_by_part[part] = stored.revision
        if set(before.learned_s_by_crash) - set(decoded.crashes):
            # Another VM wrote at the same time, without these crashes.
            self._unwritten.add(part)
            self._has_news()
        if len(evidence.learned_s_by_crash) > len(before.learned_s_by_crash):
            self._log(
                "crashes learned",
                service=part.service,
                part=part.id,
                crashes=len(evidence.learned_s_by_crash),
            )
            self._log_verdict(part, before, evidence)

    def maintain(self) -> None:
        """Shares what the other VMs do not know, and drops what is old."""
        for part in tuple(self._unwritten):
            self._write(part)
        now_s = self._clock()
        with self._lock:
            items = tuple(self._evidence_by_part.items())
        for part, evidence in items:
            if part in self._blamed and crash_evidence.is_contradicted(
                evidence
            ):
                if self.is_to_share():
                    self._share_soundness(part)
            elif crash_evidence.is_expired(evidence, now_s):
                self._expire(part)
        self._remove_proofs(now_s)
        with self._lock:
            blamed = tuple(self._blamed)
        self._registry.set_gauge(
            "refused_parts", float(len(self.find_refused(blamed)))
        )

    def _remove_proofs(self, now_s: float) -> None:
        """Removes objects of sound parts, which all VMs have read by now."""
        for name, removal_s in tuple(self._removal_s_by_object.items()):
            if now_s >= removal_s:
                self._removal_s_by_object.pop(name, None)
                self._store.remove(self._kind, name)

    def write_all(self) -> None:
        """Writes the crashes that a store from a copy may have lost."""
        with self._lock:
            blamed = tuple(self._blamed)
        for part in blamed:
            self._write(part)

    def _keep(self, part: Part, evidence: CrashEvidence) -> None:
        self._evidence_by_part[part] = evidence
        self._evidence_by_part.move_to_end(part)
        if evidence.learned_s_by_crash and part not in self._blamed:
            self._blamed.add(part)
            self._part_by_object[part.object_name] = part
        if len(self._evidence_by_part) > _MAX_PARTS:
            oldest = next(
                (
                    old
                    for old in self._evidence_by_part
                    if old not in self._blamed
                ),
                next(iter(self._evidence_by_part)),
            )
            self._drop(oldest)

    def _drop(self, part: Part) -> None:
        self._evidence_by_part.pop(part, None)
        self._blamed.discard(part)
        self._part_by_object.pop(part.object_name, None)
        self._revision_by_part.pop(part, None)

    def _forget(self, part: Part, cause: str) -> None:
        """Forgets the crashes of a part, but not the runs that lasted."""
        with self._lock:
            before = self._evidence_by_part.get(part)
            if before is None or part not in self._blamed:
                return
            self._drop(part)
            self._keep(part, CrashEvidence(survived_s=before.survived_s))
        self._registry.count("part", "cleared")
        self._log(
            "part cleared", service=part.service, part=part.id, cause=cause
        )

    def _expire(self, part: Part) -> None:
        with self._lock:
            was_blamed = part in self._blamed
            self._drop(part)
        if was_blamed:
            # All VMs do this; removing a missing object has no effect.
            self._store.remove(self._kind, part.object_name)

    def _share_soundness(self, part: Part) -> None:
        value = {"service": part.service, "part": part.id, "sound": True}
        outcome = self._store.replace(self._kind, part.object_name, value, None)
        if isinstance(outcome, Err):
            self._log_unwritten(part, outcome.err_value)
            return
        self._forget(part, "run lasted")
        removal_s = self._clock() + crash_evidence.TRUST_S
        self._removal_s_by_object[part.object_name] = removal_s

    def _write(self, part: Part) -> None:
        """Writes the crashes that a part is blamed for; `maintain` retries."""
        with self._lock:
            evidence = self._evidence_by_part.get(part)
        if evidence is None or not evidence.learned_s_by_crash:
            self._unwritten.discard(part)
            return
        value = _encode(part, evidence)
        self._removal_s_by_object.pop(part.object_name, None)
        outcome = self._store.create(self._kind, part.object_name, value)
        if (
            isinstance(outcome, Err)
            and outcome.err_value is StoreError.CONFLICT
        ):
            outcome = self._store.replace(
                self._kind, part.object_name, value, None
            )
        if isinstance(outcome, Err):
            if part not in self._unwritten:
                self._log_unwritten(part, outcome.err_value)
            self._unwritten.add(part)
            return
        self._unwritten.discard(part)
        self._revision_by_part[part] = outcome.ok_value.revision

    def _log_unwritten(self, part: Part, error: StoreError) -> None:
        self._log(
            "part not written",
            service=part.service,
            part=part.id,
            cause=error.value,
        )

    def _log_crash(
        self,
        part: Part,
        crash: Crash,
        evidence: CrashEvidence,
        is_blamed: bool,
    ) -> None:
        survived_ago_s = self._clock() - evidence.survived_s
        self._registry.count("part", "blamed" if is_blamed else "trusted")
        self._log(
            "part blamed" if is_blamed else "part trusted",
            service=part.service,
            part=part.id,
            endpoint=crash[0],
            crashes=len(evidence.learned_s_by_crash),
            own_crashes=evidence.own_crashes,
            survived_ago_s=None
            if math.isinf(survived_ago_s)
            else round(survived_ago_s, 1),
        )

    def _log_verdict(
        self, part: Part, before: CrashEvidence, evidence: CrashEvidence
    ) -> None:
        now_s = self._clock()
        was = crash_evidence.decide(before, now_s)
        if was is Decision.ALLOW and (
            crash_evidence.decide(evidence, now_s) is not Decision.ALLOW
        ):
            self._registry.count("part", "quarantined")
            self._log(
                "part quarantined",
                service=part.service,
                part=part.id,
                crashes=sorted(
                    crash[0] for crash in evidence.learned_s_by_crash
                ),
            )


@dataclasses.dataclass(frozen=True)
class _StoredEvidence:
    part: Part
    crashes: tuple[Crash, ...] = ()
    trials: int = 0
    is_sound: bool = False


def _encode(part: Part, evidence: CrashEvidence) -> Mapping[str, Any]:
    return {
        "service": part.service,
        "part": part.id,
        "crashes": sorted(list(c) for c in evidence.learned_s_by_crash),
        "trials": evidence.trials,
    }


def _decode(stored: StoredObject) -> _StoredEvidence | None:
    """Returns what an object holds; None if it is malformed."""
    value = stored.value
    if not isinstance(value, dict):
        return None
    service, id = value.get("service"), value.get("part")
    if not isinstance(service, str) or not isinstance(id, str):
        return None
    part = Part(service, id)
    if part.object_name != stored.name:
        return None
    items, trials = value.get("crashes", []), value.get("trials", 0)
    if not isinstance(items, list) or type(trials) is not int or trials < 0:
        return None
    crashes = tuple(
        (item[0], item[1])
        for item in items
        if isinstance(item, list)
        and len(item) == 2
        and all(isinstance(text, str) for text in item)
    )
    return _StoredEvidence(part, crashes, trials, value.get("sound") is True)


__all__ = ["NAME_PREFIX", "Part", "PartQuarantine", "list_parts"]
