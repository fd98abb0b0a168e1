"""The HTTP handler of a call, reduced to its messages to the node."""

from __future__ import annotations

from collections.abc import Generator
from concurrent.futures import Future

from result import Err, Result

from burdockspan.node import messages
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import (
    AttemptEvent,
    Failure,
    FailureKind,
    Placement,
)
from burdockspan.values.refusal import Execution, Refusal
from burdockspan.values.submission import CallKind, Priority, Submission
from tests.support.node_driver import MODEL, PLAIN, NodeDriver

# Kinds of failure after which the engine may still receive the request.
_MAY_ARRIVE_KINDS = frozenset(
    {
        FailureKind.UNRESPONSIVE,
        FailureKind.CONNECTION_LOST,
        FailureKind.TIMED_OUT,
        FailureKind.ENDPOINT_ERROR,
    }
)

# Steps of an attempt. They return a failure to retry after, True for a complete
# answer and False once the attempt may not continue.
_Steps = Generator[None, FailureKind | None, "Failure | bool"]


class HandledCall:
    """One call; `step` runs its handler up to the next wait.

    Attributes:
      submission: the call.
      is_caller_gone: whether its caller has disconnected.
      ended: whether its handler has returned.
      attempts: attempts that it was given.
      delayed_reservations: reservation requests that have not reached their
        engine yet.
    """

    def __init__(self, driver: NodeDriver, submission: Submission) -> None:
        self.submission = submission
        self.is_caller_gone = False
        self.ended = False
        self.attempts: list[AttemptId] = []
        self.delayed_reservations: list[tuple[str, AttemptId, int]] = []
        self.futures: list[messages.PlacementFuture] = []
        self._driver = driver
        self._aborted = False
        self._used_engines: set[str] = set()
        self._steps = self._run()
        self.step()

    def step(self, failure: FailureKind | None = None) -> None:
        """Ends the current wait, with a failure if one is given."""
        if self.ended:
            return
        try:
            self._steps.send(failure)
        except StopIteration:
            self.ended = True

    def _run(self) -> Generator[None, FailureKind | None, None]:
        future: messages.PlacementFuture = Future()
        self.futures.append(future)
        self._driver.send(
            messages.Submit(
                self.submission, lambda: self.is_caller_gone, future
            )
        )
        while True:
            while not future.done():
                yield
            outcome: Result[Placement, Refusal] = future.result()
            if isinstance(outcome, Err):
                refusal = outcome.err_value
                return self._finish(refusal.execution, refusal.status)
            placement = outcome.ok_value
            self.attempts.append(placement.attempt)
            self._aborted = False
            register_abort = messages.RegisterAbort(
                placement.attempt, self._abort
            )
            self._driver.send(register_abort)
            attempt_result = yield from self._run_attempt(placement)
            self._release(placement)
            if attempt_result is True:
                return self._finish(Execution.RAN, 200)
            if attempt_result is False or self._aborted:
                return self._finish(Execution.UNKNOWN, 503)
            future = Future()
            self.futures.append(future)
            self._driver.send(
                messages.Retry(placement.attempt, attempt_result, future)
            )

    def _run_attempt(self, placement: Placement) -> _Steps:
        if placement.service is not None:
            return (yield from self._run_service(placement))
        assert placement.decode is not None
        assert placement.prefill is not None
        decode, prefill = placement.decode.name, placement.prefill.name
        attempt = placement.attempt
        self._used_engines.add(decode)
        failure_kind = yield
        failure = self._reserve(placement, decode, failure_kind)
        if failure is not None:
            return failure
        if not self._record(
            attempt, AttemptEvent.RESERVED, AttemptEvent.PREFILL_SENT
        ):
            return False
        self._used_engines.add(prefill)
        if self._driver.engines[prefill].alive:
            self._driver.engines[prefill].reservations[attempt] = 0
        for engine, events in (
            (prefill, (AttemptEvent.PREFILLED,)),
            (decode, (AttemptEvent.TRANSFERRED, AttemptEvent.DECODE_SENT)),
            (decode, (AttemptEvent.FIRST_BYTE,)),
            (decode, ()),
        ):
            failure_kind = yield
            if self._aborted:
                return False
            if failure_kind is not None:
                return Failure(failure_kind, engine)
            if not self._record(attempt, *events):
                return False
        return True

    def _run_service(self, placement: Placement) -> _Steps:
        assert placement.service is not None
        attempt = placement.attempt
        for event in (AttemptEvent.DISPATCHED, AttemptEvent.FIRST_BYTE):
            if not self._record(attempt, event):
                return False
            failure_kind = yield
            if self._aborted:
                return False
            if failure_kind is not None:
                return Failure(failure_kind, placement.service.name)
        return True

    def _reserve(
        self, placement: Placement, name: str, failure_kind: FailureKind | None
    ) -> Failure | bool | None:
        engine = self._driver.engines[name]
        attempt, pieces = placement.attempt, placement.pieces
        if self._aborted or failure_kind in _MAY_ARRIVE_KINDS:
            # The request may arrive after the release that follows.
            self.delayed_reservations.append((name, attempt, pieces))
            return False if self._aborted else Failure(failure_kind, name)  # type: ignore[arg-type]
        if failure_kind is None and not engine.alive:
            failure_kind = FailureKind.NOT_CONNECTED
        if failure_kind is None and not engine.reserve(attempt, pieces):
            failure_kind = FailureKind.FULL
        if failure_kind is None:
            return None
        self._used_engines.discard(name)
        return Failure(failure_kind, name)

    def _record(self, attempt: AttemptId, *events: AttemptEvent) -> bool:
        return all(
            self._driver.send(messages.RecordEvent(attempt, event))
            for event in events
        )

    def _release(self, placement: Placement) -> None:
        used_engines, self._used_engines = self._used_engines, set()
        for name in sorted(used_engines):
            self._driver.send(messages.ReleaseMemory(placement.attempt, name))

    def _finish(self, execution: Execution, status: int) -> None:
        request_id = self.submission.request_id
        self._driver.send(messages.FinishRequest(request_id, execution, status))

    def _abort(self) -> None:
        self._aborted = True


def make_call(
    driver: NodeDriver,
    number: int,
    kind: CallKind,
    priority: Priority,
    deadline_s: float,
    pieces: int = 1,
) -> HandledCall:
    """Submits a call; `deadline_s` counts from now."""
    model = kind is CallKind.COMPLETION
    submission = Submission(
        f"r{number}",
        "c",
        kind,
        MODEL if model else PLAIN,
        "/v1/completions" if model else "/",
        priority,
        driver.now_s,
        driver.now_s + deadline_s,
        prompt_tokens=100 if model else 0,
        max_tokens=1000 * pieces - 100 if model else 0,
        fingerprint=f"f{number % 5}",
    )
    return HandledCall(driver, submission)


__all__ = ["HandledCall", "make_call"]
