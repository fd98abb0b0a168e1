"""Shares the watches of the store among the VMs of an availability zone.

A few VMs of each zone watch the store and send each change to the others, which
call the store only when they have missed a change or hear too few watchers.
"""

from __future__ import annotations

import dataclasses
import math
import threading
from collections.abc import Callable, Mapping
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.discovery.watch_messages import (
    Segment,
    Statement,
    decode_segment,
    decode_statement,
    divide,
    encode_segment,
    encode_statement,
)
from burdockspan.gateway.discovery.watchers import (
    ObjectWatcher,
    Sharing,
    WatchPosition,
)
from burdockspan.gateway.fleet.exchange import Exchange, Received
from burdockspan.gateway.ports import StoredObject
from burdockspan.membership import ownership
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.values.clock import Clock

_TOPIC = "store"
# Interval of the statements of a VM that watches the store.
_STATEMENT_INTERVAL_S = 0.5
# The other VMs answer a watcher no more often than this. The answers let them
# know how old its statements are.
_ANSWER_INTERVAL_S = 0.9
# While the store does not answer, a VM that does not watch tries this often.
_TRY_INTERVAL_S = 2.0
# A watcher that says nothing for this time no longer counts. A VM then has a
# third of the usual time limit for changes left to ask the store itself.
_SILENCE_LIMIT_S = 2.0
# What a statement is behind its watcher, at most: its interval, that of the
# answers, and the way of both.
_STATEMENT_LAG_S = 1.5
# What is left of the time limit for a change after the watch, the delay between
# two watches, and the lag: a VM that no longer follows asks the store itself.
_OWN_CALL_S = 0.3
_MIN_WATCH_TIMEOUT_S = 0.5
_COLLECT_S = 0.3


class SharedWatch:
    """The watch of one kind, by this VM or by others of its zone."""

    def __init__(
        self,
        watcher: ObjectWatcher,
        is_watcher: Callable[[], bool],
        send_segments: Callable[[str, tuple[Segment, ...]], None],
        boot_clock: Clock,
        registry: Registry,
    ) -> None:
        self._watcher = watcher
        self._is_watcher = is_watcher
        self._send_segments = send_segments
        self._boot_clock = boot_clock
        self._registry = registry
        self._changed = threading.Condition()
        self._position = WatchPosition()
        self._is_following = False
        self._has_missed = False
        self._fresh_until_s_by_vm: dict[str, float] = {}
        self._parts_by_key: dict[
            tuple[str, int | None, int, int],
            dict[int, tuple[StoredObject, ...]],
        ] = {}
        self._collected: list[StoredObject] = []
        self._unchanged_since = 0
        # Revision of the latest change that another VM has stated.
        self._stated_change = 0
        self._responded_s: float | None = None
        # The store answers this VM's latest call by then at the latest.
        self._answer_due_s = math.inf
        # When the store certainly answered another VM.
        self._answered_s = 0.0

    @property
    def kind(self) -> str:
        """Kind of the objects."""
        return self._watcher.kind

    def make_sharing(self) -> Sharing:
        """Returns how the thread that watches the kind uses this object."""

        def apply_change(stored: StoredObject) -> None:
            self._collected.append(stored)
            self._watcher.apply_change(stored)

        def on_call() -> None:
            self._answer_due_s = (
                self._boot_clock() + self._watcher.watch_timeout_s
            )
            self._watcher.on_call()

        watcher = dataclasses.replace(
            self._watcher, apply_change=apply_change, on_call=on_call
        )
        return Sharing(watcher, self.follow, self.record_poll)

    def follow(
        self, position: WatchPosition, stopped: threading.Event
    ) -> WatchPosition:
        """Waits while other VMs watch; returns the position then.

        While the store does not answer, it waits for a watcher to which the
        store answers, or for the time of the next try. The first try after a
        failed call comes at once: the store may have refused only this call.
        """
        if position.failures > 1:
            self._wait_for_answers(stopped)
        if position.failures:
            return position
        if position.revision is None:
            return position
        with self._changed:
            self._position = position
            # It may have been stated while a call of this VM was pending.
            self._has_missed = position.revision < self._stated_change
            self._is_following = True
            while not stopped.is_set():
                wait_s = self._follow_s()
                if wait_s <= 0:
                    break
                self._changed.wait(min(wait_s, _SILENCE_LIMIT_S))
            self._is_following = False
            return self._position

    def _wait_for_answers(self, stopped: threading.Event) -> None:
        failed_s = self._boot_clock()
        with self._changed:
            while not stopped.is_set() and not self._is_watcher():
                waited_s = self._boot_clock() - failed_s
                if waited_s >= _TRY_INTERVAL_S or failed_s <= self._answered_s:
                    return
                self._changed.wait(_STATEMENT_INTERVAL_S)

    def _follow_s(self) -> float:
        """Returns for how long other VMs' watches are enough, in seconds."""
        if self._has_missed or self._is_watcher():
            return 0.0
        fresh_until_s = max(self._fresh_until_s_by_vm.values(), default=0.0)
        return fresh_until_s - self._boot_clock()

    def record_poll(self, before: WatchPosition, after: WatchPosition) -> None:
        """Records this VM's own call to the store, and tells its changes.

        Args:
          before: position before the call.
          after: position after it.
        """
        changes, self._collected = tuple(self._collected), []
        with self._changed:
            if after.failures or after.revision is None:
                self._responded_s = None
                return
            if after.era != self._position.era:
                self._stated_change = 0
            if before.revision is None:
                self._unchanged_since = after.revision
            elif changes:
                self._unchanged_since = _find_last_change(
                    changes, after.revision
                )
            self._position = after
            # A response may have waited for a VM that was suspended.
            self._responded_s = min(self._boot_clock(), self._answer_due_s)
        if before.revision is not None and changes and self._is_watcher():
            self._send_segments(
                self.kind,
                divide(after.era, before.revision, after.revision, changes),
            )

    def make_statement(self) -> Statement | None:
        """Returns what this VM knows; None if its last call failed."""
        with self._changed:
            position, responded_s = self._position, self._responded_s
            if responded_s is None or position.revision is None:
                return None
            if self._is_following:
                return None
            return Statement(
                position.era,
                position.revision,
                self._unchanged_since,
                max(0.0, self._boot_clock() - responded_s),
            )

    def receive_statement(
        self, vm: str, statement: Statement, sent_after_s: float | None
    ) -> None:
        """Applies the statement of a watcher."""
        with self._changed:
            if sent_after_s is None:
                return
            answered_s = sent_after_s - statement.age_s
            if answered_s > self._answered_s:
                self._answered_s = answered_s
                self._changed.notify_all()
            if statement.era != self._position.era:
                return
            self._fresh_until_s_by_vm[vm] = min(
                sent_after_s + _SILENCE_LIMIT_S,
                sent_after_s
                - statement.age_s
                + self._watcher.watch_timeout_s
                + self._watcher.collect_s
                + _STATEMENT_LAG_S,
            )
            self._stated_change = max(
                self._stated_change, statement.unchanged_since
            )
            revision = self._position.revision
            if not self._is_following or revision is None:
                return
            if revision < statement.unchanged_since:
                self._registry.count("shared_watch", "missed")
                self._has_missed = True
                self._changed.notify_all()
            elif statement.revision >= revision:
                self._move_to(statement.revision)
                proved_s = sent_after_s - statement.age_s
                self._watcher.on_confirmed(self._boot_clock() - proved_s)

    def receive_segment(self, vm: str, segment: Segment) -> None:
        """Applies the changes that a watcher has received."""
        with self._changed:
            revision = self._position.revision
            if (
                not self._is_following
                or revision is None
                or segment.era != self._position.era
                or not segment.base <= revision < segment.revision
            ):
                return
            changes = self._complete(vm, segment)
            if changes is None:
                return
            for stored in changes:
                self._watcher.apply_change(stored)
            # This VM may have to state it, if the watchers leave.
            self._unchanged_since = _find_last_change(changes, segment.revision)
            self._registry.count("shared_watch", "followed")
            self._move_to(segment.revision)

    def _complete(
        self, vm: str, segment: Segment
    ) -> tuple[StoredObject, ...] | None:
        """Returns the changes of all parts; None if some are missing."""
        key = (vm, segment.era, segment.base, segment.revision)
        if key not in self._parts_by_key:
            # Parts of an earlier response of this VM will not be completed.
            for other in [k for k in self._parts_by_key if k[0] == vm]:
                del self._parts_by_key[other]
        parts = self._parts_by_key.setdefault(key, {})
        parts[segment.part] = segment.changes
        if len(parts) < segment.parts:
            return None
        del self._parts_by_key[key]
        return tuple(stored for part in sorted(parts) for stored in parts[part])

    def _move_to(self, revision: int) -> None:
        self._position = dataclasses.replace(self._position, revision=revision)

    def forget(self, vms: set[str]) -> None:
        """Forgets what VMs said that have left."""
        with self._changed:
            for vm in self._fresh_until_s_by_vm.keys() & vms:
                del self._fresh_until_s_by_vm[vm]


class SharedWatches:
    """The shared watches of a process, and which VMs of its zone watch."""

    def __init__(
        self,
        exchange: Exchange,
        vm: str,
        zone: str,
        watchers_per_zone: int,
        boot_clock: Clock,
        registry: Registry,
        log: WriteEvent,
    ) -> None:
        self._exchange = exchange
        self._vm = vm
        self._zone = zone
        self._watchers_per_zone = watchers_per_zone
        self._boot_clock = boot_clock
        self._registry = registry
        self._log = log
        self._lock = threading.Lock()
        self._zone_vms: frozenset[str] = frozenset()
        self._heard_s_by_vm: dict[str, float] = {}
        self._answered_s_by_vm: dict[str, float] = {}
        self._watch_by_kind: dict[str, SharedWatch] = {}
        self._was_watcher = True
        exchange.add_topic(_TOPIC, lambda: None, self._receive)

    def share(
        self, watcher: ObjectWatcher, limit_s: float
    ) -> SharedWatch | None:
        """Returns the shared watch of a kind; None if watches are not shared.

        Args:
          watcher: watcher of the kind.
          limit_s: time limit for applying changes of the kind; watches are not
            shared if it is too short.
        """
        watch_timeout_s = min(
            watcher.watch_timeout_s,
            limit_s - _STATEMENT_LAG_S - _COLLECT_S - _OWN_CALL_S,
        )
        if (
            not self._watchers_per_zone
            or self._exchange.address is None
            or watch_timeout_s < _MIN_WATCH_TIMEOUT_S
        ):
            return None
        watch = SharedWatch(
            dataclasses.replace(
                watcher,
                watch_timeout_s=watch_timeout_s,
                collect_s=min(watcher.collect_s, _COLLECT_S),
            ),
            self.is_watcher,
            self._send_segments,
            self._boot_clock,
            self._registry,
        )
        self._watch_by_kind[watch.kind] = watch
        return watch

    def set_vms(self, zone_by_vm: Mapping[str, object]) -> None:
        """Sets the live VMs, with their zones."""
        vms = frozenset(
            vm for vm, zone in zone_by_vm.items() if zone == self._zone
        )
        with self._lock:
            left = set(self._zone_vms - vms)
            self._zone_vms = vms
            for vm in left:
                self._heard_s_by_vm.pop(vm, None)
                self._answered_s_by_vm.pop(vm, None)
        for watch in self._watch_by_kind.values():
            watch.forget(left)

    def is_watcher(self) -> bool:
        """Returns whether this VM has to watch the store itself.

        The VMs of a zone that come first in rendezvous hashing watch. One of
        them that has been silent is replaced by the next.
        """
        now_s = self._boot_clock()
        with self._lock:
            ranked = ownership.rank(
                f"watch/{self._zone}", {self._vm, *self._zone_vms}
            )
            before = ranked[: ranked.index(self._vm)]
            heard = sum(
                now_s - self._heard_s_by_vm.get(vm, 0.0) < _SILENCE_LIMIT_S
                for vm in before
            )
            watches = heard < self._watchers_per_zone
            changed = watches != self._was_watcher
            self._was_watcher = watches
        if changed:
            self._registry.set_gauge("watches_store", int(watches))
            self._log(
                "store watched here" if watches else "store watched by others",
                zone_vms=len(ranked),
                heard=heard,
            )
        return watches

    def run(self, stopped: threading.Event) -> None:
        """Sends statements until `stopped` is set."""
        while not stopped.wait(_STATEMENT_INTERVAL_S):
            self.send_statements()

    def send_statements(self) -> None:
        """Tells the VMs of the zone what this VM has received."""
        zone_size = len(self._zone_vms | {self._vm})
        if not self._watch_by_kind or zone_size <= self._watchers_per_zone:
            return
        if not self.is_watcher():
            return
        self._exchange.send_to_all(
            self._zone_vms - {self._vm}, _TOPIC, self._make_statements
        )

    def _make_statements(self) -> Mapping[str, Any]:
        statement_by_kind = {}
        for kind, watch in self._watch_by_kind.items():
            statement = watch.make_statement()
            if statement is not None:
                statement_by_kind[kind] = encode_statement(statement)
        # Also without a statement, it shows that this VM watches.
        return {"at": statement_by_kind}

    def _send_segments(self, kind: str, segments: tuple[Segment, ...]) -> None:
        for segment in segments:
            value = {"changes": encode_segment(kind, segment)}
            for vm in self._zone_vms - {self._vm}:
                self._exchange.send(vm, _TOPIC, value)

    def _receive(self, received: Received) -> Result[None, str]:
        value = received.value
        if not isinstance(value, dict):
            return Err("not an object")
        statement_by_kind = value.get("at", {})
        if not isinstance(statement_by_kind, dict):
            return Err("at is not an object")
        if received.vm not in self._zone_vms:
            return Ok(None)
        if "at" in value:
            with self._lock:
                self._heard_s_by_vm[received.vm] = self._boot_clock()
            self._answer(received.vm)
        for kind, encoded in statement_by_kind.items():
            watch = self._watch_by_kind.get(kind)
            statement = decode_statement(encoded)
            if statement is None:
                return Err("a statement is malformed")
            if watch is not None:
                watch.receive_statement(
                    received.vm, statement, received.sent_after_s
                )
        if "changes" not in value:
            return Ok(None)
        decoded = decode_segment(value["changes"])
        if decoded is None:
            return Err("changes are malformed")
        watch = self._watch_by_kind.get(decoded[0])
        if watch is not None:
            watch.receive_segment(received.vm, decoded[1])
        return Ok(None)

    def _answer(self, vm: str) -> None:
        now_s = self._boot_clock()
        with self._lock:
            answered_s = self._answered_s_by_vm.get(vm)
            if (
                answered_s is not None
                and now_s - answered_s < _ANSWER_INTERVAL_S
            ):
                return
            self._answered_s_by_vm[vm] = now_s
        self._exchange.send(vm, _TOPIC, {})


def _find_last_change(changes: tuple[StoredObject, ...], revision: int) -> int:
    # The revision of a removed object may be that of its last change before.
    if not changes or any(stored.removed for stored in changes):
        return revision
    return min(revision, max(stored.revision for stored in changes))


__all__ = ["SharedWatch", "SharedWatches"]
