"""Random histories of a node, and the invariants that all must keep."""

from __future__ import annotations

import collections
from collections.abc import Callable
from concurrent.futures import Future

from burdockspan.node import grants, messages
from burdockspan.values.placement import AttemptEvent, Failure, FailureKind
from burdockspan.values.submission import CallKind, Priority
from tests.support.node_calls import HandledCall, make_call
from tests.support.node_driver import TICK_S, NodeDriver, ViolationError

# Draws a whole number from 0 up to, but not including, the argument.
Draw = Callable[[int], int]

_STEPS_COUNT = 60
_EVENTS = tuple(AttemptEvent)
_KINDS = tuple(FailureKind)
# A call that waits for an endpoint that none can use is refused by then.
_UNPLACEABLE_S = 1.0
_SETTLE_TICKS = 40
_SETTLE_TICK_S = 0.25


class History:
    """One random history of a node.

    Attributes:
      counts: how often each kind of step was taken.
    """

    def __init__(self, draw: Draw) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._draw = draw
        self._driver = NodeDriver(1 + draw(1000))
        self._calls: list[HandledCall] = []
        # Without a sweeper, only the request's own releases free memory. A
        # reservation that overtakes its release needs the sweeper.
        self._driver.swept = draw(2) > 0
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
        for _ in range(_STEPS_COUNT):
            step = self._steps[self._draw(len(self._steps))]
            self.counts[step.__name__.strip("_")] += 1
            step()
        self._settle()
        self.counts["placed"] += len(self._driver.placed)

    def _submit(self) -> None:
        kind = CallKind.SERVICE if self._draw(5) == 0 else CallKind.COMPLETION
        self._calls.append(
            make_call(
                self._driver,
                len(self._calls),
                kind,
                tuple(Priority)[self._draw(2)],
                (0.5, 3.0, 30.0, 300.0)[self._draw(4)],
                1 + self._draw(3),
            )
        )

    def _choose(self) -> HandledCall | None:
        open_calls = [call for call in self._calls if not call.ended]
        if not open_calls:
            return None
        return open_calls[self._draw(len(open_calls))]

    def _progress(self) -> None:
        call = self._choose()
        if call is not None:
            call.step()

    def _fail(self) -> None:
        call = self._choose()
        if call is not None:
            call.step(_KINDS[self._draw(len(_KINDS))])

    def _leave(self) -> None:
        call = self._choose()
        if call is not None:
            call.gone = True

    def _tick(self) -> None:
        self._advance(TICK_S)

    def _wait(self) -> None:
        self._advance(0.2 + 0.3 * self._draw(10))

    def _advance(self, duration_s: float) -> None:
        self._driver.advance(duration_s)
        tables, now_s = self._driver.tables, self._driver.now_s
        assert tables.catalog is not None
        for service in tables.catalog.configuration.services:
            if grants.has_usable_endpoints(tables, service, now_s):
                continue
            for row in tables.waiting_by_service.get(service.name, {}).values():
                if now_s - row.arrived_s >= _UNPLACEABLE_S:
                    raise ViolationError(f"{row.request_id} waits in vain")

    def _report(self) -> None:
        polls = self._driver.polls
        while polls:
            self._driver.report(polls.pop(0))

    def _free(self) -> None:
        frees = self._driver.frees
        if frees:
            effect = frees.pop(self._draw(len(frees)))
            fate = self._draw(3)
            self._driver.free(effect, fate > 0, fate > 1)

    def _arrive_late(self) -> None:
        for call in self._calls:
            while call.late:
                name, attempt, pieces = call.late.pop()
                engine = self._driver.engines[name]
                if engine.alive and self._driver.swept:
                    engine.reserve(attempt, pieces)

    def _send_late_event(self) -> None:
        stale = self._stale_attempts()
        if not stale:
            return
        rows = dict(self._driver.tables.requests_by_id)
        late = messages.RecordEvent(
            stale[self._draw(len(stale))], _EVENTS[self._draw(len(_EVENTS))]
        )
        if self._driver.send(late):
            raise ViolationError("an event of another attempt was allowed")
        if self._driver.tables.requests_by_id != rows:
            raise ViolationError("an event of another attempt had an effect")

    def _send_late_replace(self) -> None:
        stale = self._stale_attempts()
        if not stale:
            return
        rows = dict(self._driver.tables.requests_by_id)
        future: messages.PlacementFuture = Future()
        attempt = stale[self._draw(len(stale))]
        failure = Failure(FailureKind.CONNECTION_LOST, "decode-1")
        self._driver.send(messages.Retry(attempt, failure, future))
        if not future.done() or future.result().is_ok():
            raise ViolationError("a failure of another attempt was taken")
        if self._driver.tables.requests_by_id != rows:
            raise ViolationError("a failure of another attempt had an effect")

    def _stale_attempts(self) -> list:
        current = {
            row.attempt for row in self._driver.tables.requests_by_id.values()
        }
        return [key for key in self._driver.placed if key not in current]

    def _crash(self) -> None:
        engines = list(self._driver.engines.values())
        engines[self._draw(len(engines))].alive = False

    def _restart(self) -> None:
        for engine in self._driver.engines.values():
            if not engine.alive:
                engine.restart()

    def _settle(self) -> None:
        """Lets all callers go and all engines answer, and checks the rest."""
        self._restart()
        for call in self._calls:
            call.gone = True
        for _ in range(_SETTLE_TICKS):
            self._advance(_SETTLE_TICK_S)
            for call in self._calls:
                call.step()
            self._arrive_late()
            self._driver.deliver()
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
            "replies": tables.futures_by_request,
            "callers": tables.caller_gone_by_request,
            "aborts": tables.aborts_by_attempt,
            "releases": tables.releases,
            "waiting": [w for w in tables.waiting_by_service.values() if w],
            "reservations": [r for r in rows if r.reservations],
            "prompt tokens": [r for r in rows if r.prompt_tokens],
            "engine memory": [
                e for e in self._driver.engines.values() if e.held
            ],
        }


__all__ = ["Draw", "History"]
