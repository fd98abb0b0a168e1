"""In-memory platform whose calls are counted, with cuts and outages."""

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
_PATH_S = 0.001
_CALL_LIMIT_S = 1.0
_WATCH_MARGIN_S = 1.0

Reply = Callable[[Result[Any, PlatformError]], None]


@dataclasses.dataclass(frozen=True)
class Caller:
    """One VM as the platform sees it.

    Attributes:
      zone: availability zone.
      limiter: limits the calls of the VM, as in production.
      random_float: jitter of retries.
      count_bytes: told the bytes of each answer, headers included.
    """

    zone: str
    limiter: CallLimiter
    random_float: Callable[[], float]
    count_bytes: Callable[[int], None]


@dataclasses.dataclass(eq=False)
class _Waiting:
    caller: Caller
    reply: Reply
    limit_s: float
    done: bool = False


class FakePlatform:
    """One configuration object and one VM list.

    Attributes:
      calls: time of each call that reached the platform, answered or not.
      out: whether all calls are refused.
      cut_zones: zones whose calls and answers are lost.
      service_s: time that the platform takes for an answer.
    """

    def __init__(
        self,
        loop: EventLoop,
        size_of: Callable[[object], int],
        first: Configuration,
    ) -> None:
        self._loop = loop
        self._size_of = size_of
        self._configuration = first
        self._version = 1
        self._waiting: list[_Waiting] = []
        self.vm_list = VmList(1)
        self.calls: list[float] = []
        self.out = False
        self.cut_zones: frozenset[str] = frozenset()
        self.service_time_s = 0.003

    def write(self, configuration: Configuration) -> None:
        """Puts a configuration and answers the watches that wait."""
        self._configuration = configuration
        self._version += 1
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            self._loop.call_later(
                self.service_time_s,
                functools.partial(self._answer_watch, entry),
            )

    def begin_outage(self) -> None:
        """Refuses all calls, also those that wait."""
        self.out = True
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            self._finish(entry, Err(PlatformError.UNAVAILABLE), 0)

    def watch(
        self, caller: Caller, after: int, timeout_s: float, reply: Reply
    ) -> None:
        """Answers once the configuration is newer, or after the timeout."""
        entry = _Waiting(
            caller, reply, self._loop.now_s + timeout_s + _WATCH_MARGIN_S
        )

        def serve() -> None:
            if after < self._version:
                self._answer_watch(entry)
                return
            self._waiting.append(entry)
            self._loop.call_later(timeout_s, lambda: self._end_watch(entry))

        self._send("watch", entry, serve)

    def get(self, caller: Caller, reply: Reply) -> None:
        """Reads the configuration, with the product's bounded retries."""
        self._read(caller, "get", lambda: self._configuration, reply)

    def list_vms(self, caller: Caller, reply: Reply) -> None:
        """Reads the VM list, with the product's bounded retries."""
        self._read(caller, "vms", lambda: self.vm_list, reply)

    def _read(
        self,
        caller: Caller,
        operation: str,
        value: Callable[[], object],
        reply: Reply,
        failures: int = 0,
    ) -> None:
        def judge(outcome: Result[Any, PlatformError]) -> None:
            tries = failures + 1
            again = outcome.err() is PlatformError.UNAVAILABLE
            if not again or tries >= READ_ATTEMPTS:
                reply(outcome)
                return
            pause_s = backoff_delay_s(READ_BACKOFF, tries, caller.random_float)
            self._loop.call_later(
                pause_s,
                functools.partial(
                    self._read, caller, operation, value, reply, tries
                ),
            )

        entry = _Waiting(caller, judge, self._loop.now_s + _CALL_LIMIT_S)

        def serve() -> None:
            held = value()
            self._finish(entry, Ok(held), self._size_of(held))

        self._send(operation, entry, serve)

    def _send(
        self, operation: str, entry: _Waiting, serve: Callable[[], None]
    ) -> None:
        if not entry.caller.limiter.admit(operation, Budget.READ, ""):
            self._reply(entry, Err(PlatformError.LIMITED))
            return
        if entry.caller.zone in self.cut_zones:
            self._lose(entry)
            return
        self.calls.append(self._loop.now_s + _PATH_S)
        if self.out:
            self._finish(entry, Err(PlatformError.UNAVAILABLE), 0)
            return
        self._loop.call_later(_PATH_S + self.service_time_s, serve)

    def _answer_watch(self, entry: _Waiting) -> None:
        event = WatchEvent(
            commit.OBJECT_KIND,
            commit.OBJECT_NAME,
            self._version,
            self._configuration,
        )
        batch = WatchBatch(self._version, (event,))
        self._finish(entry, Ok(batch), self._size_of(self._configuration))

    def _end_watch(self, entry: _Waiting) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            self._finish(entry, Ok(WatchBatch(self._version)), 0)

    def _finish(
        self, entry: _Waiting, outcome: Result[Any, PlatformError], size: int
    ) -> None:
        if entry.caller.zone in self.cut_zones:
            self._lose(entry)
            return
        entry.caller.count_bytes(size + HEADER_BYTES)
        self._loop.call_later(_PATH_S, lambda: self._reply(entry, outcome))

    def _lose(self, entry: _Waiting) -> None:
        """Ends a call at its time limit."""
        self._loop.call_later(
            max(0.0, entry.limit_s - self._loop.now_s),
            lambda: self._reply(entry, Err(PlatformError.UNAVAILABLE)),
        )

    def _reply(
        self, entry: _Waiting, outcome: Result[Any, PlatformError]
    ) -> None:
        if not entry.done:
            entry.done = True
            entry.reply(outcome)


__all__ = ["HEADER_BYTES", "Caller", "FakePlatform"]
