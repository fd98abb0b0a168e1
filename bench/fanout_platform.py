"""In-memory platform that counts its calls, with partitions and outages."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from bench.loop import EventLoop
from burdockspan.configuration import commit
from burdockspan.configuration.document import Configuration
from burdockspan.object_api.calls import Budget, CallLimiter
from burdockspan.object_api.objects import (
    PlatformError,
    WatchBatch,
    WatchEvent,
)
from burdockspan.object_api.retries import (
    READ_ATTEMPTS,
    READ_BACKOFF,
    backoff_delay_s,
)
from burdockspan.object_api.vms import VmList

HEADER_BYTES = 300
_ONE_WAY_DELAY_S = 0.001
_CALL_TIMEOUT_S = 1.0
# The timeout of the client exceeds the duration of a watch by this much.
_WATCH_MARGIN_S = 1.0

OnResponse = Callable[[Result[Any, PlatformError]], None]


@dataclasses.dataclass(frozen=True)
class VmClient:
    """One VM as a client of the platform.

    Attributes:
      zone: availability zone.
      limiter: limits the calls of the VM, as in production.
      random_float: random source for the jitter of retries.
      count_bytes: called with the bytes of each response, headers included.
    """

    zone: str
    limiter: CallLimiter
    random_float: Callable[[], float]
    count_bytes: Callable[[int], None]


@dataclasses.dataclass(eq=False)
class _PendingCall:
    client: VmClient
    on_response: OnResponse
    times_out_s: float
    is_done: bool = False


class FakePlatform:
    """One configuration object and one VM list.

    Attributes:
      vm_list: the VM list.
      call_times_s: when each call reached the platform, answered or not.
      outage: whether all calls are refused.
      unreachable_zones: zones whose calls and responses are lost.
      service_time_s: time that the platform needs for a response.
    """

    def __init__(
        self,
        loop: EventLoop,
        get_size_bytes: Callable[[object], int],
        configuration: Configuration,
    ) -> None:
        self._loop = loop
        self._get_size_bytes = get_size_bytes
        self._configuration = configuration
        self._version = 1
        self._pending_watches: list[_PendingCall] = []
        self.vm_list = VmList(1)
        self.call_times_s: list[float] = []
        self.outage = False
        self.unreachable_zones: frozenset[str] = frozenset()
        self.service_time_s = 0.003

    def write(self, configuration: Configuration) -> None:
        """Stores a configuration and answers the pending watches."""
        self._configuration = configuration
        self._version += 1
        pending_watches, self._pending_watches = self._pending_watches, []
        for pending_call in pending_watches:
            self._loop.call_later(
                self.service_time_s,
                functools.partial(self._answer_watch, pending_call),
            )

    def begin_outage(self) -> None:
        """Refuses all calls, including the pending watches."""
        self.outage = True
        pending_watches, self._pending_watches = self._pending_watches, []
        for pending_call in pending_watches:
            self._finish(pending_call, Err(PlatformError.UNAVAILABLE), 0)

    def watch(
        self,
        client: VmClient,
        after: int,
        timeout_s: float,
        on_response: OnResponse,
    ) -> None:
        """Answers once the configuration is newer, or after the timeout."""
        pending_call = _PendingCall(
            client, on_response, self._loop.now_s + timeout_s + _WATCH_MARGIN_S
        )

        def serve() -> None:
            if after < self._version:
                self._answer_watch(pending_call)
                return
            self._pending_watches.append(pending_call)
            self._loop.call_later(
                timeout_s, lambda: self._end_watch(pending_call)
            )

        self._send("watch", pending_call, serve)

    def get(self, client: VmClient, on_response: OnResponse) -> None:
        """Reads the configuration, with the product's bounded retries."""
        self._read(client, "get", lambda: self._configuration, on_response)

    def list_vms(self, client: VmClient, on_response: OnResponse) -> None:
        """Reads the VM list, with the product's bounded retries."""
        self._read(client, "vms", lambda: self.vm_list, on_response)

    def _read(
        self,
        client: VmClient,
        operation: str,
        get_stored: Callable[[], object],
        on_response: OnResponse,
        failures: int = 0,
    ) -> None:
        def retry_or_respond(outcome: Result[Any, PlatformError]) -> None:
            attempt_count = failures + 1
            is_retryable = outcome.err() is PlatformError.UNAVAILABLE
            if not is_retryable or attempt_count >= READ_ATTEMPTS:
                on_response(outcome)
                return
            delay_s = backoff_delay_s(
                READ_BACKOFF, attempt_count, client.random_float
            )
            self._loop.call_later(
                delay_s,
                functools.partial(
                    self._read,
                    client,
                    operation,
                    get_stored,
                    on_response,
                    attempt_count,
                ),
            )

        pending_call = _PendingCall(
            client, retry_or_respond, self._loop.now_s + _CALL_TIMEOUT_S
        )

        def serve() -> None:
            stored = get_stored()
            self._finish(pending_call, Ok(stored), self._get_size_bytes(stored))

        self._send(operation, pending_call, serve)

    def _send(
        self,
        operation: str,
        pending_call: _PendingCall,
        serve: Callable[[], None],
    ) -> None:
        if not pending_call.client.limiter.admit(operation, Budget.READ, ""):
            self._respond(pending_call, Err(PlatformError.LIMITED))
            return
        if pending_call.client.zone in self.unreachable_zones:
            self._time_out(pending_call)
            return
        self.call_times_s.append(self._loop.now_s + _ONE_WAY_DELAY_S)
        if self.outage:
            self._finish(pending_call, Err(PlatformError.UNAVAILABLE), 0)
            return
        self._loop.call_later(_ONE_WAY_DELAY_S + self.service_time_s, serve)

    def _answer_watch(self, pending_call: _PendingCall) -> None:
        event = WatchEvent(
            commit.OBJECT_KIND,
            commit.OBJECT_NAME,
            self._version,
            self._configuration,
        )
        batch = WatchBatch(self._version, (event,))
        self._finish(
            pending_call, Ok(batch), self._get_size_bytes(self._configuration)
        )

    def _end_watch(self, pending_call: _PendingCall) -> None:
        if pending_call in self._pending_watches:
            self._pending_watches.remove(pending_call)
            self._finish(pending_call, Ok(WatchBatch(self._version)), 0)

    def _finish(
        self,
        pending_call: _PendingCall,
        outcome: Result[Any, PlatformError],
        size: int,
    ) -> None:
        if pending_call.client.zone in self.unreachable_zones:
            self._time_out(pending_call)
            return
        pending_call.client.count_bytes(size + HEADER_BYTES)
        self._loop.call_later(
            _ONE_WAY_DELAY_S, lambda: self._respond(pending_call, outcome)
        )

    def _time_out(self, pending_call: _PendingCall) -> None:
        """Ends a call at its timeout."""
        self._loop.call_later(
            max(0.0, pending_call.times_out_s - self._loop.now_s),
            lambda: self._respond(pending_call, Err(PlatformError.UNAVAILABLE)),
        )

    def _respond(
        self, pending_call: _PendingCall, outcome: Result[Any, PlatformError]
    ) -> None:
        if not pending_call.is_done:
            pending_call.is_done = True
            pending_call.on_response(outcome)


__all__ = ["HEADER_BYTES", "FakePlatform", "VmClient"]
