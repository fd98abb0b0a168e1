"""Requests that crash the endpoints that run them, known to all VMs.

A crash that follows a request is noted in the store, where every VM sees it.
After three of them the request is refused.
"""

from __future__ import annotations

import hashlib
import queue
import threading
from collections.abc import Callable

from result import Err

from burdockspan.gateway.discovery import ObjectWatcher
from burdockspan.gateway.ports import Store, StoredObject, StoreError
from burdockspan.gateway.values import Endpoint, InboundCall
from burdockspan.observe.event_log import WriteEvent
from burdockspan.resilience import quarantine
from burdockspan.resilience.quarantine import Crash, CrashRecords, Decision
from burdockspan.values.clock import Clock

KIND = "burdockspan-crashes"
# One crash may hit an innocent request, and so may two in a bad minute.
CRASHES_TO_REFUSE = 3
# How long a crash counts; a request that crashes endpoints comes again soon.
RECORD_TTL_S = 120.0
# Crashes that wait to be written; more of them at once have another cause
# than one request.
_QUEUE_LENGTH = 64
_WRITE_TRIES = 3
# A watch on crashes may be slower than one on endpoints.
_WATCH_TIMEOUT_S = 6.0


def fingerprint(call: InboundCall) -> str:
    """Returns what identifies a request that is sent again."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target.encode("latin-1")):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(call.body)
    return digest.hexdigest()[:32]


class CrashRecordStore:
    """Crashes by request fingerprint, shared through the store."""

    def __init__(
        self,
        store: Store,
        is_reachable: Callable[[Endpoint], bool],
        clock: Clock,
        log: WriteEvent,
    ) -> None:
        self._store = store
        self._is_reachable = is_reachable
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._crash_records = CrashRecords()
        self._suspects: queue.Queue[tuple[str, Endpoint]] = queue.Queue(
            _QUEUE_LENGTH
        )

    def is_quarantined(self, call: InboundCall) -> bool:
        """Returns whether a request has crashed too many endpoints."""
        if not self._crash_records.by_fingerprint:
            return False
        decision = quarantine.decide(
            self._crash_records,
            fingerprint(call),
            self._clock(),
            CRASHES_TO_REFUSE,
        )
        return decision is Decision.REFUSE

    def report_suspected_crash(
        self, call: InboundCall, endpoint: Endpoint
    ) -> None:
        """Notes that an endpoint broke off while it ran a request."""
        try:
            self._suspects.put_nowait((fingerprint(call), endpoint))
        except queue.Full:
            self._log("crash not checked", request_id=call.request_id)

    def run(self, stopped: threading.Event) -> None:
        """Checks suspected crashes until `stopped` is set."""
        while not stopped.is_set():
            try:
                name, endpoint = self._suspects.get(timeout=0.5)
            except queue.Empty:
                self._prune()
                continue
            self.check_endpoint(name, endpoint)

    def check_endpoint(self, name: str, endpoint: Endpoint) -> None:
        """Notes a crash unless the endpoint still accepts connections.

        A reset by the network leaves the endpoint reachable.
        """
        if self._is_reachable(endpoint):
            return
        crash = (endpoint.id, str(endpoint.started_ms))
        self._add(name, (crash,))
        self._log("crash noted", fingerprint=name, endpoint=endpoint.id)
        self._write(name)

    def make_watcher(self) -> ObjectWatcher:
        """Returns what takes over the crashes that other VMs noted."""

        def adopt(held: StoredObject) -> None:
            crashes = _decode(held)
            if held.removed or not crashes:
                return
            known = self._crash_records.by_fingerprint.get(held.name, {})
            news = tuple(one for one in crashes if one not in known)
            if news:
                self._add(held.name, news)
                self._log(
                    "crashes learned", fingerprint=held.name, count=len(news)
                )

        def apply_listing(objects: tuple[StoredObject, ...]) -> None:
            for held in objects:
                adopt(held)

        return ObjectWatcher(
            KIND,
            apply_listing,
            adopt,
            lambda error: self._log(
                "store lost", watching="crashes", cause=error.value
            ),
            lambda: self._log("store regained", watching="crashes"),
            watch_timeout_s=_WATCH_TIMEOUT_S,
        )

    def _add(self, name: str, crashes: tuple[Crash, ...]) -> None:
        expires_s = self._clock() + RECORD_TTL_S
        with self._lock:
            for crash in crashes:
                self._crash_records = quarantine.add(
                    self._crash_records, name, crash, expires_s
                )

    def _write(self, name: str) -> None:
        for _ in range(_WRITE_TRIES):
            held = self._crash_records.by_fingerprint.get(name, {})
            value = {"crashes": sorted([list(one) for one in held])}
            written = self._store.create(KIND, name, value)
            if not isinstance(written, Err):
                return
            if written.err_value is StoreError.CONFLICT:
                written = self._store.replace(KIND, name, value, None)
                if not isinstance(written, Err):
                    return
            cause = written.err_value.value
            self._log("crash not written", fingerprint=name, cause=cause)

    def _prune(self) -> None:
        if not self._crash_records.by_fingerprint:
            return
        with self._lock:
            before = self._crash_records.by_fingerprint.keys()
            self._crash_records = quarantine.prune(
                self._crash_records, self._clock()
            )
            expired = before - self._crash_records.by_fingerprint.keys()
        for name in expired:
            # Every VM does this; removing an absent object does no harm.
            self._store.remove(KIND, name)


def _decode(held: StoredObject) -> tuple[Crash, ...]:
    value = held.value
    rows = value.get("crashes") if isinstance(value, dict) else None
    if not isinstance(rows, list):
        return ()
    return tuple(
        (row[0], row[1])
        for row in rows
        if isinstance(row, list)
        and len(row) == 2
        and all(isinstance(part, str) for part in row)
    )


__all__ = [
    "CRASHES_TO_REFUSE",
    "KIND",
    "RECORD_TTL_S",
    "CrashRecordStore",
    "fingerprint",
]
