"""Records of the origins of streams in the store.

The VMs tell each other the origins of their streams, so that all origins are
lost if all VMs restart. While several software versions serve a service, each
VM also keeps the origins of its unfinished streams in an object of the store.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.ports import (
    Consistency,
    Store,
    StoredObject,
    StoreError,
)
from burdockspan.gateway.streams.stream_origins import HORIZON_S, Origin
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.values.clock import Clock

KIND = "burdockspan-origins"
# Longest time for which a stream waits until its origin is in the store.
MAX_HOLD_S = 0.05
# Time that a caller may need after its deadline to resume its stream.
_MARGIN_S = 5.0
# Bounds an object to some 100 kB.
_MAX_STREAMS = 2000
_MAX_ID_CHARACTERS = 48
# Streams that begin within this time share a write.
_COLLECT_S = 0.005
_MIN_WRITE_INTERVAL_S = 0.25
# Limit of the writes of all VMs.
_MAX_WRITES_PER_S = 100.0
# Writes that may follow each other at once.
_BURST = 3
# How often a VM checks whether streams that have begun must be recorded now.
_CHECK_INTERVAL_S = 0.25
# Requests to resume streams that arrive within this time share a list.
_LIST_TTL_S = 0.25
# How often a VM that records streams removes objects of departed VMs.
_REMOVE_INTERVAL_S = 60.0


@dataclasses.dataclass(frozen=True)
class _Entry:
    """A stream that may be resumed.

    Attributes:
      origin: where it began.
      expires_s: until when its caller may resume it, in monotonic seconds.
      number: rises with each entry.
    """

    origin: Origin
    expires_s: float
    number: int


class OriginRecords:
    """The origins of the unfinished streams that this VM began.

    `has_several_versions` returns whether streams of a service may have begun
    at more than one version, or whether this VM does not know.
    """

    def __init__(
        self,
        vm: str,
        store: Store,
        clock: Clock,
        has_several_versions: Callable[[str], bool],
        log: WriteEvent,
        registry: Registry,
    ) -> None:
        self._vm = vm
        self._store = store
        self._clock = clock
        self._has_several_versions = has_several_versions
        self._log = log
        self._registry = registry
        self._changed = threading.Condition()
        self._entry_by_request: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )
        # Numbers of the newest entry, and of the newest one in the store.
        self._newest = 0
        self._written = 0
        self._is_failing = False
        self._vm_count = 1
        # Revision of this VM's object; None before it has been read.
        self._revision: int | None = None
        self._has_read = False
        # Earliest time of a write that is not part of a burst.
        self._due_s = 0.0
        self._removal_due_s = 0.0
        # Revisions of the other VMs' objects, and when they were first seen.
        self._seen_by_vm: dict[str, tuple[int, float]] = {}
        self._list_lock = threading.Lock()
        self._listed_s: float | None = None
        self._listed_by_request: Mapping[str, Origin | None] = {}

    def set_vm_count(self, vm_count: int) -> None:
        """Sets the number of VMs that share the limit of the writes."""
        self._vm_count = vm_count

    def record(self, request_id: str, origin: Origin, keep_s: float) -> None:
        """Records a stream before its first event is forwarded.

        While several versions serve, this waits until the store has the record,
        but not for longer than `MAX_HOLD_S`, and not while writes fail.

        Args:
          request_id: request that began the stream.
          origin: where it began.
          keep_s: time for which its caller waits, in seconds.
        """
        if len(request_id) > _MAX_ID_CHARACTERS:
            return
        with self._changed:
            self._newest += 1
            number = self._newest
            expires_s = self._clock() + keep_s + _MARGIN_S
            entries = self._entry_by_request
            entries[request_id] = _Entry(origin, expires_s, number)
            entries.move_to_end(request_id)
            if len(entries) > _MAX_STREAMS:
                entries.popitem(last=False)
            if not self._has_several_versions(origin.service):
                return
            self._changed.notify_all()
            if self._is_failing:
                self._registry.count("origin_record", "not_awaited")
                return
            is_written = self._changed.wait_for(
                lambda: self._written >= number or self._is_failing, MAX_HOLD_S
            )
        in_time = is_written and not self._is_failing
        self._registry.count("origin_record", "in_time" if in_time else "late")

    def find(self, request_id: str) -> Origin | None:
        """Returns the origin of a stream from the store.

        Returns None if the store does not know it, or does not answer.
        """
        with self._list_lock:
            now_s = self._clock()
            if self._listed_s is None or now_s - self._listed_s > _LIST_TTL_S:
                self._list_streams()
                self._listed_s = self._clock()
            return self._listed_by_request.get(request_id)

    def run(self, stopped: threading.Event) -> None:
        """Writes the records until `stopped` is set."""
        while not stopped.is_set():
            with self._changed:
                self._changed.wait_for(self._must_write, _CHECK_INTERVAL_S)
            if not self._must_write():
                self._remove_own()
                continue
            stopped.wait(_COLLECT_S)
            stopped.wait(self._take_turn_s())
            self.write()

    def write(self) -> None:
        """Writes the unfinished streams of services with several versions."""
        if not self._has_read and not self._read_own():
            self._end_write(None)
            return
        with self._changed:
            newest = self._newest
            value = self._encode()
        written = self._replace(value)
        if written.err() in (StoreError.CONFLICT, StoreError.NOT_FOUND):
            # A late write of the process before this one, or a store that has
            # come back from a copy.
            self._has_read = False
        if isinstance(written, Ok):
            self._revision = written.ok_value.revision
        self._end_write(newest if isinstance(written, Ok) else None)
        self._remove_departed()

    def _must_write(self) -> bool:
        return any(
            entry.number > self._written
            and self._has_several_versions(entry.origin.service)
            for entry in self._list_unwritten()
        )

    def _list_unwritten(self) -> Iterator[_Entry]:
        """Yields the entries that the store lacks, without duplicates."""
        with self._changed:
            services = set()
            for entry in reversed(self._entry_by_request.values()):
                if entry.number <= self._written:
                    return
                if entry.origin.service not in services:
                    services.add(entry.origin.service)
                    yield entry

    def _take_turn_s(self) -> float:
        """Returns the time until this VM may write again."""
        interval_s = max(
            _MIN_WRITE_INTERVAL_S, self._vm_count / _MAX_WRITES_PER_S
        )
        now_s = self._clock()
        earliest_s = now_s - (_BURST - 1) * interval_s
        self._due_s = max(self._due_s, earliest_s) + interval_s
        return max(0.0, self._due_s - interval_s - now_s)

    def _encode(self) -> dict[str, Any]:
        now_s = self._clock()
        entries = self._entry_by_request
        for request_id in [
            request_id
            for request_id, entry in entries.items()
            if entry.expires_s <= now_s
        ]:
            del entries[request_id]
        index_by_origin: dict[Origin, int] = {}
        index_by_request = {
            request_id: index_by_origin.setdefault(
                entry.origin, len(index_by_origin)
            )
            for request_id, entry in entries.items()
        }
        return {
            "origins": [
                [origin.service, origin.software_version]
                for origin in index_by_origin
            ],
            "streams": index_by_request,
        }

    def _read_own(self) -> bool:
        """Takes over the streams that the process before this one began."""
        listed = self._store.list_objects(KIND, Consistency.LATEST)
        if isinstance(listed, Err):
            return False
        self._revision = None
        for stored in listed.ok_value.objects:
            if stored.name != self._vm:
                continue
            self._revision = stored.revision
            with self._changed:
                self._take_over(stored)
        self._has_read = True
        return True

    def _take_over(self, stored: StoredObject) -> None:
        taken = dict(_decode(stored))
        # In their order before those of this process.
        for request_id, origin in reversed(taken.items()):
            if request_id not in self._entry_by_request:
                expires_s = self._clock() + HORIZON_S
                entry = _Entry(origin, expires_s, 0)
                self._entry_by_request[request_id] = entry
                self._entry_by_request.move_to_end(request_id, last=False)
        while len(self._entry_by_request) > _MAX_STREAMS:
            self._entry_by_request.popitem(last=False)

    def _replace(self, value: object) -> Result[StoredObject, StoreError]:
        if self._revision is None:
            return self._store.create(KIND, self._vm, value)
        return self._store.replace(KIND, self._vm, value, self._revision)

    def _end_write(self, newest: int | None) -> None:
        """Records the end of a write, and wakes the streams that wait."""
        has_failed = newest is None
        if has_failed != self._is_failing:
            self._log("origins recorded", failing=has_failed)
        self._registry.count(
            "origin_record", "write_failed" if has_failed else "written"
        )
        with self._changed:
            self._is_failing = has_failed
            self._written = max(self._written, newest or 0)
            self._changed.notify_all()

    def _remove_own(self) -> None:
        """Removes the object once a single version serves each service."""
        with self._changed:
            services = {
                entry.origin.service
                for entry in self._entry_by_request.values()
            }
        if self._revision is None or any(
            map(self._has_several_versions, services)
        ):
            return
        if isinstance(self._store.remove(KIND, self._vm), Ok):
            with self._changed:
                self._revision = None
                self._written = 0

    def _remove_departed(self) -> None:
        """Removes objects that no VM has written for a long time."""
        now_s = self._clock()
        if now_s < self._removal_due_s:
            return
        self._removal_due_s = now_s + _REMOVE_INTERVAL_S
        listed = self._store.list_objects(KIND, Consistency.EVENTUAL)
        if isinstance(listed, Err):
            return
        seen_by_vm = {}
        for stored in listed.ok_value.objects:
            seen = self._seen_by_vm.get(stored.name)
            if seen is None or seen[0] != stored.revision:
                seen = (stored.revision, now_s)
            seen_by_vm[stored.name] = seen
            if now_s - seen[1] > HORIZON_S and stored.name != self._vm:
                self._store.remove(KIND, stored.name)
        self._seen_by_vm = seen_by_vm

    def _list_streams(self) -> None:
        listed = self._store.list_objects(KIND, Consistency.LATEST)
        self._listed_by_request = {}
        if isinstance(listed, Err):
            self._registry.count("origin_record", "list_failed")
            return
        self._registry.count("origin_record", "listed")
        self._listed_by_request = _merge(listed.ok_value.objects)


def _merge(objects: Iterable[StoredObject]) -> dict[str, Origin | None]:
    """Returns the origins by request; None where two objects disagree."""
    merged: dict[str, Origin | None] = {}
    for stored in objects:
        for request_id, origin in _decode(stored):
            known = merged.setdefault(request_id, origin)
            if known != origin:
                merged[request_id] = None
    return merged


def _decode(stored: StoredObject) -> Iterator[tuple[str, Origin]]:
    """Yields the streams in an object; leaves malformed parts out."""
    value = stored.value
    if not isinstance(value, Mapping):
        return
    encoded, streams = value.get("origins"), value.get("streams")
    if not isinstance(encoded, list) or not isinstance(streams, Mapping):
        return
    for request_id, index in streams.items():
        if type(index) is not int or not 0 <= index < len(encoded):
            continue
        origin = _decode_origin(encoded[index])
        if origin is not None and isinstance(request_id, str):
            yield request_id, origin


def _decode_origin(value: Any) -> Origin | None:
    match value:
        case [str(service), str(version)]:
            return Origin(service, version)
    return None


__all__ = ["KIND", "MAX_HOLD_S", "OriginRecords"]
