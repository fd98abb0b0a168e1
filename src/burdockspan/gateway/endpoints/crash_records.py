"""Crash records: quarantine of requests that crash the endpoints they run on.

When an endpoint crashes while it runs a request, a record of this is written to
the store, which all VMs watch. After three records the request is refused.
Parts of prompts have records of their own (`part_quarantine`).
"""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import hashlib
import math
import queue
import threading
from collections.abc import Callable

from result import Err

from burdockspan.gateway.discovery.watchers import ObjectWatcher
from burdockspan.gateway.endpoints.part_quarantine import (
    NAME_PREFIX,
    Part,
    PartQuarantine,
)
from burdockspan.gateway.ports import (
    Consistency,
    Store,
    StoredObject,
    StoreError,
)
from burdockspan.gateway.values import Endpoint, InboundCall, Incarnation
from burdockspan.observe.event_log import WriteEvent
from burdockspan.resilience import quarantine
from burdockspan.resilience.quarantine import Crash, CrashRecords, Decision
from burdockspan.values.clock import Clock

KIND = "burdockspan-crashes"
# One crash, and sometimes a second, may hit a request that did not cause it.
CRASHES_TO_QUARANTINE = 3
# The retries of a request that crashes endpoints follow each other within less
# than this time.
RECORD_TTL_S = 120.0
# If more crashes than this are suspected at a time, they have another cause
# than a single request, and need no check.
_MAX_QUEUED_CRASHES = 64
_MAX_WRITE_ATTEMPTS = 3


# Interval of the work that is not urgent.
_IDLE_S = 0.5
# The requests that are lost with an endpoint end within this time.
_CONFIRMED_S = 1.0
# Two checks within this time see the same state of the network.
_CHECK_S = 0.02
# The entry of an endpoint that has crashed is gone from the store within this
# time.
_UNDECIDED_S = 8.0


class _Verdict(enum.Enum):
    """Whether an endpoint that lost a connection has crashed."""

    CRASHED = "crashed"
    ALIVE = "alive"
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True)
class _SuspectedCrash:
    request_fingerprint: str
    endpoint: Endpoint
    parts: tuple[Part, ...]


def compute_fingerprint(call: InboundCall) -> str:
    """Returns a digest that is the same for all retries of a request."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target.encode("latin-1")):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(call.body)
    return digest.hexdigest()[:32]


class CrashRecordStore:
    """Crash records by request fingerprint, shared through the store."""

    def __init__(
        self,
        store: Store,
        is_reachable: Callable[[Endpoint], bool],
        clock: Clock,
        log: WriteEvent,
        part_quarantine: PartQuarantine,
        reaches_others: Callable[[Endpoint], bool] = lambda _: True,
        is_registered: Callable[[Endpoint], bool] = lambda _: True,
    ) -> None:
        """Creates an empty store of records.

        Args:
          store: the platform's store.
          is_reachable: returns whether an endpoint accepts connections.
          clock: monotonic clock, in seconds.
          log: writes a log event.
          part_quarantine: records of parts of prompts.
          reaches_others: returns whether this VM reaches any endpoint other
            than the given one.
          is_registered: returns whether the store has an entry of an endpoint's
            present incarnation.
        """
        self._reaches_others = reaches_others
        self._is_registered = is_registered
        self._no_path_until_s = -math.inf
        # With the time until which each may be decided, in monotonic seconds.
        self._undecided: list[tuple[_SuspectedCrash, float]] = []
        self._store = store
        self._part_quarantine = part_quarantine
        self._is_reachable = is_reachable
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._crash_records = CrashRecords()
        # None wakes the thread for other work.
        self._suspected_crashes: queue.Queue[_SuspectedCrash | None] = (
            queue.Queue(_MAX_QUEUED_CRASHES)
        )
        part_quarantine.notify_of_news(self._wake)
        # Requests whose records are forgotten here, and not yet in the store.
        self._answered: set[str] = set()
        self._confirmed_until_s: dict[Incarnation, float] = {}

    def is_quarantined(self, call: InboundCall) -> bool:
        """Returns whether a request has crashed too many endpoints."""
        if not self._crash_records.by_fingerprint:
            return False
        decision = quarantine.decide(
            self._crash_records,
            compute_fingerprint(call),
            self._clock(),
            CRASHES_TO_QUARANTINE,
        )
        return decision is Decision.REFUSE

    def record_answer(self, call: InboundCall) -> None:
        """Records that an endpoint has answered a request.

        Its crash records are forgotten: it was only there when endpoints
        crashed. Many callers may send the same request.
        """
        if not self._crash_records.by_fingerprint:
            return
        request_fingerprint = compute_fingerprint(call)
        if self._forget(request_fingerprint, "answered"):
            self._answered.add(request_fingerprint)
            self._wake()

    def _forget(self, request_fingerprint: str, cause: str) -> bool:
        """Forgets the crashes of a request; returns whether there were any."""
        with self._lock:
            if request_fingerprint not in self._crash_records.by_fingerprint:
                return False
            self._crash_records = quarantine.forget(
                self._crash_records, request_fingerprint
            )
        self._log(
            "crashes forgotten", fingerprint=request_fingerprint, cause=cause
        )
        return True

    def _share_answers(self) -> None:
        """Lets the other VMs forget the crashes of answered requests."""
        for request_fingerprint in tuple(self._answered):
            if self._part_quarantine.is_to_share():
                self._answered.discard(request_fingerprint)
                self._store.remove(KIND, request_fingerprint)

    def report_suspected_crash(
        self,
        call: InboundCall,
        endpoint: Endpoint,
        suspected_parts: tuple[Part, ...] = (),
    ) -> None:
        """Reports that an endpoint lost the connection during a request.

        Args:
          call: the request.
          endpoint: the endpoint.
          suspected_parts: parts of the request's prompt that may be the cause.
        """
        try:
            self._suspected_crashes.put_nowait(
                _SuspectedCrash(
                    compute_fingerprint(call), endpoint, suspected_parts
                )
            )
        except queue.Full:
            self._log("crash not checked", request_id=call.request_id)

    def run(self, stopped: threading.Event) -> None:
        """Checks suspected crashes until `stopped` is set."""
        while not stopped.is_set():
            try:
                suspected = self._suspected_crashes.get(timeout=_IDLE_S)
            except queue.Empty:
                self._prune()
                self.decide_pending()
                suspected = None
            if suspected is None:
                self._part_quarantine.maintain()
                self._share_answers()
                continue
            self.check_endpoint(
                suspected.request_fingerprint,
                suspected.endpoint,
                suspected.parts,
            )

    def _wake(self) -> None:
        # A full queue keeps the thread awake.
        with contextlib.suppress(queue.Full):
            self._suspected_crashes.put_nowait(None)

    def check_endpoint(
        self,
        request_fingerprint: str,
        endpoint: Endpoint,
        suspected_parts: tuple[Part, ...] = (),
    ) -> None:
        """Checks whether an endpoint is reachable; if not, records a crash.

        An endpoint that is still reachable lost only a connection, for example
        by a reset in the network. While this VM reaches no other endpoint
        either, the store's entry decides.
        """
        suspected = _SuspectedCrash(
            request_fingerprint, endpoint, suspected_parts
        )
        verdict = self._judge(endpoint)
        if verdict is _Verdict.CRASHED:
            self._record_crash(suspected)
        elif verdict is _Verdict.UNDECIDED:
            until_s = self._clock() + _UNDECIDED_S
            self._undecided.append((suspected, until_s))

    def decide_pending(self) -> None:
        """Decides the suspicions for which the store has evidence by now."""
        now_s = self._clock()
        pending, self._undecided = self._undecided, []
        for suspected, until_s in pending:
            if not self._is_registered(suspected.endpoint):
                self._record_crash(suspected)
            elif now_s < until_s:
                self._undecided.append((suspected, until_s))
            else:
                self._log(
                    "crash not noted",
                    fingerprint=suspected.request_fingerprint,
                    endpoint=suspected.endpoint.id,
                    cause="no endpoint was reached, and its entry stays",
                )

    def _record_crash(self, suspected: _SuspectedCrash) -> None:
        endpoint = suspected.endpoint
        fingerprint = suspected.request_fingerprint
        crash = (endpoint.id, str(endpoint.started_ms))
        self._part_quarantine.record_crash(suspected.parts, crash)
        self._add_records(fingerprint, (crash,))
        self._log("crash noted", fingerprint=fingerprint, endpoint=endpoint.id)
        self._write_records(fingerprint)

    def _judge(self, endpoint: Endpoint) -> _Verdict:
        """Returns whether an endpoint has crashed, as seen from this VM.

        It is checked once for all the requests that are lost with it, since a
        check takes long if the endpoint's machine does not answer.
        """
        now_s = self._clock()
        self._confirmed_until_s = {
            incarnation: until_s
            for incarnation, until_s in self._confirmed_until_s.items()
            if until_s > now_s
        }
        if endpoint.incarnation in self._confirmed_until_s:
            return _Verdict.CRASHED
        if self._is_reachable(endpoint):
            return _Verdict.ALIVE
        if now_s < self._no_path_until_s:
            return _Verdict.UNDECIDED
        if not self._reaches_others(endpoint):
            self._no_path_until_s = now_s + _CONFIRMED_S
            return _Verdict.UNDECIDED
        # A partition of this VM may have ended between the two checks.
        is_late = self._clock() - now_s > _CHECK_S
        if is_late and self._is_reachable(endpoint):
            return _Verdict.ALIVE
        self._confirmed_until_s[endpoint.incarnation] = now_s + _CONFIRMED_S
        return _Verdict.CRASHED

    def make_watcher(self) -> ObjectWatcher:
        """Returns the watcher that adds the records of other VMs."""

        def apply_change(stored: StoredObject) -> None:
            if stored.name.startswith(NAME_PREFIX):
                self._part_quarantine.apply_change(stored)
                return
            if stored.removed:
                self._answered.discard(stored.name)
                self._forget(stored.name, "removed")
                return
            crashes = _decode(stored)
            if not crashes:
                return
            known = self._crash_records.by_fingerprint.get(stored.name, {})
            new_crashes = tuple(
                crash for crash in crashes if crash not in known
            )
            if new_crashes:
                self._add_records(stored.name, new_crashes)
                self._log(
                    "crashes learned",
                    fingerprint=stored.name,
                    count=len(new_crashes),
                )

        def apply_listing(objects: tuple[StoredObject, ...]) -> None:
            for stored in objects:
                apply_change(stored)

        return ObjectWatcher(
            KIND,
            apply_listing,
            apply_change,
            lambda error: self._log(
                "store lost", watching="crashes", cause=error.value
            ),
            lambda: self._log("store regained", watching="crashes"),
            consistency=Consistency.EVENTUAL,
            on_new_era=self._write_again,
        )

    def _write_again(self, era: int) -> None:
        """Writes the records that the store may have lost."""
        self._log("store era rose", watching="crashes", era=era)
        self._part_quarantine.write_all()
        for request_fingerprint in tuple(self._crash_records.by_fingerprint):
            self._write_records(request_fingerprint)

    def _add_records(
        self, request_fingerprint: str, crashes: tuple[Crash, ...]
    ) -> None:
        expires_s = self._clock() + RECORD_TTL_S
        with self._lock:
            for crash in crashes:
                self._crash_records = quarantine.add(
                    self._crash_records, request_fingerprint, crash, expires_s
                )

    def _write_records(self, request_fingerprint: str) -> None:
        for _ in range(_MAX_WRITE_ATTEMPTS):
            recorded = self._crash_records.by_fingerprint.get(
                request_fingerprint, {}
            )
            value = {"crashes": sorted([list(crash) for crash in recorded])}
            outcome = self._store.create(KIND, request_fingerprint, value)
            if not isinstance(outcome, Err):
                return
            if outcome.err_value is StoreError.CONFLICT:
                outcome = self._store.replace(
                    KIND, request_fingerprint, value, None
                )
                if not isinstance(outcome, Err):
                    return
            cause = outcome.err_value.value
            self._log(
                "crash not written",
                fingerprint=request_fingerprint,
                cause=cause,
            )

    def _prune(self) -> None:
        if not self._crash_records.by_fingerprint:
            return
        with self._lock:
            before = self._crash_records.by_fingerprint.keys()
            self._crash_records = quarantine.prune(
                self._crash_records, self._clock()
            )
            expired = before - self._crash_records.by_fingerprint.keys()
        for request_fingerprint in expired:
            # All VMs do this; removing a missing object has no effect.
            self._store.remove(KIND, request_fingerprint)


def _decode(stored: StoredObject) -> tuple[Crash, ...]:
    value = stored.value
    items = value.get("crashes") if isinstance(value, dict) else None
    if not isinstance(items, list):
        return ()
    return tuple(
        (item[0], item[1])
        for item in items
        if isinstance(item, list)
        and len(item) == 2
        and all(isinstance(part, str) for part in item)
    )


__all__ = [
    "CRASHES_TO_QUARANTINE",
    "KIND",
    "RECORD_TTL_S",
    "CrashRecordStore",
    "compute_fingerprint",
]
