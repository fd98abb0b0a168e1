"""Random histories of a node, and the invariants that they must keep."""

from __future__ import annotations

import collections
from collections.abc import Callable
from concurrent.futures import Future

from burdockspan.node import forecasts, messages
from burdockspan.values.placement import AttemptEvent, Failure, FailureKind
from burdockspan.values.submission import CallKind, Priority
from tests.support.node_calls import HandledCall, make_call
from tests.support.node_driver import TICK_S, NodeDriver, ViolationError

# Returns a random integer from 0 up to, but not including, the argument.
RandomInteger = Callable[[int], int]

_STEP_COUNT = 60
_EVENTS = tuple(AttemptEvent)
_FAILURE_KINDS = tuple(FailureKind)
# A call without any usable endpoint is refused within this time.
_MAX_UNPLACEABLE_WAIT_S = 1.0
_SETTLE_TICKS = 40
_SETTLE_TICK_S = 0.25


class History:
    """One random history of a node.

    Attributes:
      counts: how often each kind of step was taken.
    """

    def __init__(self, random_integer: RandomInteger) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._random_integer = random_integer
        self._driver = NodeDriver(1 + random_integer(1000))
        self._calls: list[HandledCall] = []
        # Without the sweep, only the releases of the request itself free its
        # memory. A reservation that arrives after its release needs the sweep.
        self._driver.sweep_enabled = random_integer(2) > 0
        # `run` counts steps by these method names, which `bench.node_histories`
        # prints.
        self._steps: tuple[Callable[[], None], ...] = (
            *(self._submit,) * 3,
            *(self._progress,) * 12,
            *(self._fail,) * 3,
            *(self._tick,) * 5,
            *(self._report,) * 3,
            self._free,
            self._free,
            self._leave,
            self._arrive_late,
            self._send_late_event,
            self._send_late_replace,
            self._crash,
            self._restart,
            self._wait,
        )

    def run(self) -> None:
        """Runs the history.

        Raises:
          ViolationError: an invariant does not hold.
        """
        for _ in range(_STEP_COUNT):
            step = self._steps[self._random_integer(len(self._steps))]
            self.counts[step.__name__.strip("_")] += 1
            step()
        self._settle()
        self.counts["placed"] += len(self._driver.request_id_by_attempt)

    def _submit(self) -> None:
        kind = (
            CallKind.SERVICE
            if self._random_integer(5) == 0
            else CallKind.COMPLETION
        )
        self._calls.append(
            make_call(
                self._driver,
                len(self._calls),
                kind,
                tuple(Priority)[self._random_integer(2)],
                (0.5, 3.0, 30.0, 300.0)[self._random_integer(4)],
                1 + self._random_integer(3),
            )
        )

    def _choose(self) -> HandledCall | None:
        open_calls = [call for call in self._calls if not call.ended]
        if not open_calls:
            return None
        return open_calls[self._random_integer(len(open_calls))]

    def _progress(self) -> None:
        call = self._choose()
        if call is not None:
            call.step()

    def _fail(self) -> None:
        call = self._choose()
        if call is not None:
            call.step(_FAILURE_KINDS[self._random_integer(len(_FAILURE_KINDS))])

    def _leave(self) -> None:
        """Disconnects a caller."""
        call = self._choose()
        if call is not None:
            call.is_caller_gone = True

    def _tick(self) -> None:
        self._advance(TICK_S)

    def _wait(self) -> None:
        self._advance(0.2 + 0.3 * self._random_integer(10))

    def _advance(self, duration_s: float) -> None:
        self._driver.advance(duration_s)
        tables, now_s = self._driver.tables, self._driver.now_s
        assert tables.catalog is not None
        for service in tables.catalog.configuration.services:
            if forecasts.has_usable_endpoints(tables, service, now_s):
                continue
            for waiting_call in tables.waiting_by_service.get(
                service.name, {}
            ).values():
                if now_s - waiting_call.arrived_s >= _MAX_UNPLACEABLE_WAIT_S:
                    raise ViolationError(
                        f"{waiting_call.request_id} was not refused in time"
                    )

    def _report(self) -> None:
        pending_polls = self._driver.pending_polls
        while pending_polls:
            self._driver.answer_poll(pending_polls.pop(0))

    def _free(self) -> None:
        """Carries out a pending release; it or its response may be lost."""
        pending_releases = self._driver.pending_releases
        if pending_releases:
            effect = pending_releases.pop(
                self._random_integer(len(pending_releases))
            )
            outcome = self._random_integer(3)
            self._driver.answer_release(effect, outcome > 0, outcome > 1)

    def _arrive_late(self) -> None:
        """Delivers delayed reservation requests; a sweep must find them."""
        for call in self._calls:
            while call.delayed_reservations:
                name, attempt, pieces = call.delayed_reservations.pop()
                engine = self._driver.engines[name]
                if engine.alive and self._driver.sweep_enabled:
                    engine.reserve(attempt, pieces)

    def _send_late_event(self) -> None:
        ended_attempts = self._find_ended_attempts()
        if not ended_attempts:
            return
        rows = dict(self._driver.tables.requests_by_id)
        late_event = messages.RecordEvent(
            ended_attempts[self._random_integer(len(ended_attempts))],
            _EVENTS[self._random_integer(len(_EVENTS))],
        )
        if self._driver.send(late_event):
            raise ViolationError("an event of another attempt was allowed")
        if self._driver.tables.requests_by_id != rows:
            raise ViolationError("an event of another attempt had an effect")

    def _send_late_replace(self) -> None:
        """Requests a retry of an attempt that has ended."""
        ended_attempts = self._find_ended_attempts()
        if not ended_attempts:
            return
        rows = dict(self._driver.tables.requests_by_id)
        future: messages.PlacementFuture = Future()
        attempt = ended_attempts[self._random_integer(len(ended_attempts))]
        failure = Failure(FailureKind.CONNECTION_LOST, "decode-1")
        self._driver.send(messages.Retry(attempt, failure, future))
        if not future.done() or future.result().is_ok():
            raise ViolationError("a failure of another attempt was accepted")
        if self._driver.tables.requests_by_id != rows:
            raise ViolationError("a failure of another attempt had an effect")

    def _find_ended_attempts(self) -> list:
        current = {
            row.attempt for row in self._driver.tables.requests_by_id.values()
        }
        return [
            key
            for key in self._driver.request_id_by_attempt
            if key not in current
        ]

    def _crash(self) -> None:
        engines = list(self._driver.engines.values())
        engines[self._random_integer(len(engines))].alive = False

    def _restart(self) -> None:
        for engine in self._driver.engines.values():
            if not engine.alive:
                engine.restart()

    def _settle(self) -> None:
        """Disconnects all callers and checks that nothing is left over."""
        self._restart()
        for call in self._calls:
            call.is_caller_gone = True
        for _ in range(_SETTLE_TICKS):
            self._advance(_SETTLE_TICK_S)
            for call in self._calls:
                call.step()
            self._arrive_late()
            self._driver.answer_all()
        for call in self._calls:
            if not call.ended:
                raise ViolationError(f"{call.submission.request_id} is open")
            if not all(future.done() for future in call.futures):
                raise ViolationError("a call was not answered")
        for name, left in self._find_leftovers().items():
            if left:
                raise ViolationError(f"{name} left: {left}")

    def _find_leftovers(self) -> dict[str, object]:
        tables = self._driver.tables
        rows = tables.endpoints_by_name.values()
        return {
            "requests": tables.requests_by_id,
            "attempts": tables.request_id_by_attempt,
            "futures": tables.futures_by_request,
            "callers": tables.caller_gone_by_request,
            "aborts": tables.aborts_by_attempt,
            "releases": tables.releases,
            "waiting": [w for w in tables.waiting_by_service.values() if w],
            "reservations": [r for r in rows if r.reservations],
            "prompt tokens": [r for r in rows if r.prompt_tokens],
            "engine memory": [
                e for e in self._driver.engines.values() if e.reservations
            ],
        }


__all__ = ["RandomInteger", "History"]
