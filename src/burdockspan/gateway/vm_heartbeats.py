"""How many VMs share the bounds of a deployment, from the store alone.

Each VM renews an object of its own. One whose object has not changed for some
intervals counts as gone; too many VMs make this VM's share too small, which is
the safe direction.
"""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable, Mapping
from typing import Any

from result import Err

from burdockspan.gateway.ports import Store, StoredObject, StoreError
from burdockspan.observe.event_log import WriteEvent
from burdockspan.values.clock import Clock

KIND = "burdockspan-vms"
# The stages of engines follow the load within two of these intervals; each
# costs a write and a list.
HEARTBEAT_INTERVAL_S = 4.0
# A VM that reaches its callers but not the store may still spend its share of
# the bounds, which the others must not take over too soon.
_GONE_AFTER_S = 6 * HEARTBEAT_INTERVAL_S
# What a VM measured counts for a shorter time: once it is gone, its traffic
# shows in what the others measure.
_FRESH_S = 1.5 * HEARTBEAT_INTERVAL_S
# Objects of departed VMs are removed after this time.
_REMOVE_AFTER_S = 40 * HEARTBEAT_INTERVAL_S
# Until the store has been read, a share is taken that any fleet can bear.
UNKNOWN_VMS = 32


@dataclasses.dataclass(frozen=True)
class ObservedRevision:
    """An object of a VM, and since when it has not changed."""

    revision: int
    changed_s: float


def observe_revisions(
    seen: Mapping[str, ObservedRevision],
    listed: Mapping[str, int],
    now_s: float,
) -> dict[str, ObservedRevision]:
    """Returns what is known after a list of revisions by VM."""
    observed = {}
    for vm, revision in listed.items():
        held = seen.get(vm)
        if held is not None and held.revision == revision:
            observed[vm] = held
        else:
            observed[vm] = ObservedRevision(revision, now_s)
    return observed


def count_live(seen: Mapping[str, ObservedRevision], now_s: float) -> int:
    """Returns how many VMs are believed to live, at least one."""
    return max(1, sum(is_live(held, now_s) for held in seen.values()))


def is_live(held: ObservedRevision, now_s: float) -> bool:
    """Returns whether a VM is believed to live."""
    return now_s - held.changed_s <= _GONE_AFTER_S


def list_departed(
    seen: Mapping[str, ObservedRevision], now_s: float
) -> tuple[str, ...]:
    """Returns the VMs whose objects can be removed."""
    return tuple(
        vm
        for vm, held in seen.items()
        if now_s - held.changed_s > _REMOVE_AFTER_S
    )


class VmHeartbeats:
    """Renews this VM's object and counts the others.

    What `describe` returns stands in the object; `tell` gets the number of
    live VMs, and the contents of the objects that were renewed lately, by VM.
    """

    def __init__(
        self,
        vm: str,
        store: Store,
        clock: Clock,
        describe: Callable[[], dict[str, Any]],
        tell: Callable[[int, Mapping[str, Any]], None],
        log: WriteEvent,
    ) -> None:
        self._vm = vm
        self._store = store
        self._clock = clock
        self._describe = describe
        self._tell = tell
        self._log = log
        self._seen: dict[str, ObservedRevision] = {}
        self._beats = 0
        self._counted = 0

    def send_and_count(self) -> None:
        """Renews the object, then counts the VMs."""
        self._beats += 1
        value = {**self._describe(), "beat": self._beats}
        renewed = self._store.replace(KIND, self._vm, value, None)
        if isinstance(renewed, Err):
            if renewed.err_value is not StoreError.NOT_FOUND:
                self._note_error("renew", renewed.err_value)
            else:
                created = self._store.create(KIND, self._vm, value)
                if isinstance(created, Err):
                    self._note_error("create", created.err_value)
        listed = self._store.list_objects(KIND)
        if isinstance(listed, Err):
            self._note_error("list", listed.err_value)
            return
        self._count(listed.ok_value.objects)

    def _count(self, objects: tuple[StoredObject, ...]) -> None:
        now_s = self._clock()
        revisions = {held.name: held.revision for held in objects}
        self._seen = observe_revisions(self._seen, revisions, now_s)
        live = count_live(self._seen, now_s)
        if live != self._counted:
            self._log("vms counted", live=live, listed=len(objects))
            self._counted = live
        fresh = {
            held.name: held.value
            for held in objects
            if now_s - self._seen[held.name].changed_s <= _FRESH_S
        }
        self._tell(live, fresh)
        for vm in list_departed(self._seen, now_s):
            if vm != self._vm:
                self._log("departed vm removed", member=vm)
                self._store.remove(KIND, vm)

    def _note_error(self, operation: str, error: StoreError) -> None:
        # The last count stays in force; the next beat tries again.
        self._log("vm count failed", operation=operation, cause=error.value)


def run_heartbeats(members: VmHeartbeats, stopped: threading.Event) -> None:
    """Beats until `stopped` is set."""
    while not stopped.is_set():
        members.send_and_count()
        stopped.wait(HEARTBEAT_INTERVAL_S)


__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "KIND",
    "UNKNOWN_VMS",
    "VmHeartbeats",
    "ObservedRevision",
    "count_live",
    "list_departed",
    "observe_revisions",
    "run_heartbeats",
]
