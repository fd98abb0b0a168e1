"""Heartbeats of the VMs through the store, and the number of live VMs.

All live VMs share the limits of a deployment. Each VM renews an object of its
own in the store, and counts as failed once its object has not changed for some
intervals. Counting a failed VM as live makes this VM's share of the limits
smaller than necessary, which is the safe direction.
"""

from __future__ import annotations

import dataclasses
import math
import threading
from collections.abc import Callable, Collection, Mapping
from typing import Any

from result import Err

from burdockspan.gateway.ports import (
    Consistency,
    Store,
    StoredObject,
    StoreError,
)
from burdockspan.observe.event_log import WriteEvent
from burdockspan.placement.sampling import RandomFloat
from burdockspan.values.clock import Clock

KIND = "burdockspan-vms"
# Shortest interval. The stages of the engines follow the load within two
# intervals. Each interval costs a write and a list.
HEARTBEAT_INTERVAL_S = 4.0
# Limit of the heartbeats of all VMs, so that the store's load does not grow
# with the fleet. The intervals of a larger fleet are longer.
_MAX_HEARTBEATS_PER_S = 8.0
# Lists of a process that must be the latest. Its first lists tell it how many
# VMs share the limits; later changes of the number are slow.
_LATEST_LISTS = 2
# Time within which the VMs of a fleet start that starts as a whole.
_START_SPREAD_S = 1.5
# A VM that is cut off from the store but not from its callers still spends its
# share of the limits, so the other VMs must not take it over too soon.
_FAILURE_TIMEOUT_INTERVALS = 6
# Measurements of a VM are used for less time than the failure timeout: after
# the VM has failed, its traffic is part of what the other VMs measure.
_MEASUREMENT_TTL_INTERVALS = 1.5
# The object of a failed VM is removed after it has not changed for this time.
_REMOVE_AFTER_INTERVALS = 40
# Time until the first list is tried again.
_FIRST_LIST_RETRY_S = 0.5
# How often a VM checks whether its object must be renewed early.
_CHECK_INTERVAL_S = 0.2
# Limit of the early renewals of all VMs.
_MAX_EARLY_RENEWALS_PER_S = 100.0


@dataclasses.dataclass(frozen=True)
class ObservedRevision:
    """The version of a VM's object, and when it was first observed.

    Attributes:
      version: era and revision, or another value that tells versions apart.
      changed_s: when it was first observed, in monotonic seconds.
    """

    version: object
    changed_s: float


def observe_revisions(
    observed_by_vm: Mapping[str, ObservedRevision],
    listed: Mapping[str, object],
    now_s: float,
) -> dict[str, ObservedRevision]:
    """Returns the observed versions, updated by the listed ones.

    A VM that is not listed is kept until it would have been removed as failed:
    a store that comes back from a copy may have lost its object.

    Args:
      observed_by_vm: versions observed so far.
      listed: versions in the store now, by VM.
      now_s: present time, in monotonic seconds.
    """
    unlisted = {
        vm: observed
        for vm, observed in observed_by_vm.items()
        if vm not in listed
    }
    failed = list_removable(unlisted, now_s)
    updated = {
        vm: observed for vm, observed in unlisted.items() if vm not in failed
    }
    for vm, version in listed.items():
        observed = observed_by_vm.get(vm)
        if observed is not None and observed.version == version:
            updated[vm] = observed
        else:
            updated[vm] = ObservedRevision(version, now_s)
    return updated


def interval_s(vm_count: int) -> float:
    """Returns the interval between heartbeats of one VM, given all VMs."""
    return max(HEARTBEAT_INTERVAL_S, vm_count / _MAX_HEARTBEATS_PER_S)


def list_live(
    observed_by_vm: Mapping[str, ObservedRevision], now_s: float
) -> tuple[str, ...]:
    """Returns the VMs whose objects changed within the failure timeout.

    The timeout is that of a fleet with as many VMs as there are objects.
    """
    timeout_s = _FAILURE_TIMEOUT_INTERVALS * interval_s(len(observed_by_vm))
    return tuple(
        vm
        for vm, observed in observed_by_vm.items()
        if now_s - observed.changed_s <= timeout_s
    )


def list_removable(
    observed_by_vm: Mapping[str, ObservedRevision], now_s: float
) -> tuple[str, ...]:
    """Returns the failed VMs whose objects are to be removed."""
    limit_s = _REMOVE_AFTER_INTERVALS * interval_s(len(observed_by_vm))
    return tuple(
        vm
        for vm, observed in observed_by_vm.items()
        if now_s - observed.changed_s > limit_s
    )


class VmHeartbeats:
    """Renews this VM's object and counts the live VMs.

    `make_value` returns what this VM's object contains. `on_count` receives the
    number of live VMs and the contents of recently renewed objects, by VM.
    `on_settled_count` receives the number as soon as it may be used as a
    divisor, that is, once it no longer grows because the fleet is starting.
    `on_first_list` receives what the VMs had written before this process
    replaces the object of the process before it. `on_written` receives what
    this VM has written. `is_outdated` returns whether this VM's object must be
    renewed before its interval ends.
    """

    def __init__(
        self,
        vm: str,
        store: Store,
        clock: Clock,
        make_value: Callable[[], dict[str, Any]],
        on_count: Callable[[int, Mapping[str, Any]], None],
        log: WriteEvent,
        on_settled_count: Callable[[int], None] = lambda _: None,
        on_first_list: Callable[[Collection[Any]], None] = lambda _: None,
        on_written: Callable[[Any], None] = lambda _: None,
        is_outdated: Callable[[], bool] = lambda: False,
    ) -> None:
        self._vm = vm
        self._store = store
        self._clock = clock
        self._make_value = make_value
        self._on_count = on_count
        self._on_settled_count = on_settled_count
        self._on_first_list = on_first_list
        self._on_written = on_written
        self.is_outdated = is_outdated
        self._log = log
        self._observed_by_vm: dict[str, ObservedRevision] = {}
        self._heartbeats_sent = 0
        self._last_count = 0
        self._lists = 0
        # Whether the store had an object of this VM at the first heartbeat.
        self._found_own_object = False

    def interval_s(self) -> float:
        """Returns the time until the next heartbeat."""
        if not self._lists:
            return _FIRST_LIST_RETRY_S
        return interval_s(self._last_count)

    def early_delay_s(self) -> float:
        """Returns the time over which all VMs spread an early renewal."""
        return self._last_count / _MAX_EARLY_RENEWALS_PER_S

    def send_and_count(self) -> None:
        """Renews this VM's object, then counts the live VMs.

        The first time, the list comes first: the object that the process
        before this one wrote may be the only record of what it observed.
        """
        if not self._lists:
            listed = self._list()
            if listed is None:
                return
            self._found_own_object = any(
                stored.name == self._vm for stored in listed
            )
            self._on_first_list([stored.value for stored in listed])
            value = self.renew()
            self._count(listed, {self._vm: value})
            return
        self.renew()
        listed = self._list()
        if listed is not None:
            self._count(listed, {})

    def renew(self) -> dict[str, Any]:
        """Renews this VM's object; returns its contents."""
        self._heartbeats_sent += 1
        value = {**self._make_value(), "beat": self._heartbeats_sent}
        written = self._store.replace(KIND, self._vm, value, None)
        if written.err() is StoreError.NOT_FOUND:
            written = self._store.create(KIND, self._vm, value)
        if isinstance(written, Err):
            self._log_failure("renew", written.err_value)
        else:
            self._on_written(value)
        return value

    def find_started_vms(self) -> None:
        """Lists the VMs that have started since the first heartbeat.

        They may become peers of this VM. Their number is not yet settled.
        """
        listed = self._store.list_objects(KIND, Consistency.LATEST)
        if isinstance(listed, Err):
            self._log_failure("list", listed.err_value)
            return
        self._count(listed.ok_value.objects, {})

    def _list(self) -> tuple[StoredObject, ...] | None:
        listed = self._store.list_objects(
            KIND,
            Consistency.LATEST
            if self._lists < _LATEST_LISTS
            else Consistency.EVENTUAL,
        )
        if isinstance(listed, Err):
            self._log_failure("list", listed.err_value)
            return None
        self._lists += 1
        return listed.ok_value.objects

    def _count(
        self, objects: tuple[StoredObject, ...], written: Mapping[str, Any]
    ) -> None:
        """Counts the live VMs.

        Args:
          objects: the listed objects.
          written: contents that have replaced those of listed objects, by VM.
        """
        now_s = self._clock()
        versions = {
            stored.name: (stored.era, stored.revision) for stored in objects
        }
        self._observed_by_vm = observe_revisions(
            self._observed_by_vm, versions, now_s
        )
        live_vms = list_live(self._observed_by_vm, now_s)
        live = len({self._vm, *live_vms})
        if live != self._last_count:
            self._log("vms counted", live=live, listed=len(objects))
            self._last_count = live
        ttl_s = _MEASUREMENT_TTL_INTERVALS * interval_s(live)
        recent_values = {
            stored.name: stored.value
            for stored in objects
            if now_s - self._observed_by_vm[stored.name].changed_s <= ttl_s
        }
        if self._is_settled():
            self._on_settled_count(live)
        self._on_count(live, {**recent_values, **written})
        if self._vm != min(live_vms, default=None):
            return
        listed_vms = {stored.name for stored in objects}
        for vm in list_removable(self._observed_by_vm, now_s):
            if vm not in listed_vms:
                continue
            self._log("departed vm removed", member=vm)
            self._store.remove(KIND, vm)

    def _is_settled(self) -> bool:
        """Returns whether the count includes all VMs that have started.

        While a fleet starts for the first time, the first list contains only
        the VMs that started before this one. The second list comes an interval
        later. An object from before the start of this process shows that the
        fleet had started earlier.
        """
        return self._lists > 1 or self._found_own_object

    def _log_failure(self, operation: str, error: StoreError) -> None:
        # The last count stays in force until the next interval.
        self._log("vm count failed", operation=operation, cause=error.value)


def run_heartbeats(
    heartbeats: VmHeartbeats,
    stopped: threading.Event,
    clock: Clock,
    random_float: RandomFloat,
    finds_started_vms: bool = False,
) -> None:
    """Sends a heartbeat in each interval until `stopped` is set.

    Args:
      heartbeats: heartbeats of this VM.
      stopped: ends the heartbeats.
      clock: monotonic clock, in seconds.
      random_float: returns uniform floats in [0, 1).
      finds_started_vms: whether the VMs that start together with this one are
        looked for before the second heartbeat.
    """
    find_due_s = clock() + _START_SPREAD_S if finds_started_vms else math.inf
    while not stopped.is_set():
        heartbeats.send_and_count()
        end_s = clock() + heartbeats.interval_s()
        while (left_s := end_s - clock()) > 0.0:
            if stopped.wait(min(_CHECK_INTERVAL_S, left_s)):
                return
            if clock() >= find_due_s:
                find_due_s = math.inf
                heartbeats.find_started_vms()
            if heartbeats.is_outdated():
                stopped.wait(random_float() * heartbeats.early_delay_s())
                heartbeats.renew()


__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "KIND",
    "ObservedRevision",
    "VmHeartbeats",
    "interval_s",
    "list_live",
    "list_removable",
    "observe_revisions",
    "run_heartbeats",
]
