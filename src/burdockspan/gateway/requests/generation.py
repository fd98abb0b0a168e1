"""Generations: streams of events that model engines send."""

from __future__ import annotations

import dataclasses
import math
import threading
from collections.abc import Callable, Iterator

from result import Err, Ok, Result

from burdockspan.endpoints.failures import EndpointError
from burdockspan.gateway.callers.messages import Response, TruncatedError
from burdockspan.gateway.context import Context
from burdockspan.gateway.fleet.reachability import OUT_OF_REACH
from burdockspan.gateway.requests.attempts import (
    NOT_STARTED,
    RETRY_AFTER_S,
    Attempts,
    RoutedRequest,
    log_silence,
    log_stream_end,
)
from burdockspan.gateway.requests.generation_attempts import (
    PreparedAttempt,
    StartedAttempt,
    StreamPosition,
    caller_patience_s,
    prepare_attempt,
    release_prepared,
    start_attempt,
    start_prepared,
)
from burdockspan.gateway.requests.peer_relay import can_leave, hand_over
from burdockspan.gateway.requests.resumption import (
    publish_origin,
    restrict_to_begun,
)
from burdockspan.gateway.streams.sse import StreamProgress, split_events
from burdockspan.gateway.values import EngineProperties, GenerationSize
from burdockspan.values.placement import Failure

# A resumable stream is prepared to go on at another engine if no event arrives
# for this multiple of the route's gap objective, or for the minimum if that is
# longer.
_SILENCE_GAPS = 4.0
_MIN_SILENCE_LIMIT_S = 1.0
# Time to prepare an attempt and to receive its first event.
_MOVE_TIME_S = 1.5
# A stream moves after no more than this share of the time that it has left, but
# not before the limits above have passed.
_MAX_SILENCE_SHARE = 0.5
# How often a silent stream checks whether its next attempt is prepared.
_CHECK_INTERVAL_S = 0.02
# Time until a silent stream tries again to prepare an attempt.
_PREPARE_AGAIN_S = 0.5


def generate(
    context: Context,
    request: RoutedRequest,
    engine: EngineProperties,
    size: GenerationSize,
) -> Response:
    """Returns the response of a decode engine, or an error response."""
    attempts = Attempts(context, request)
    relayed = hand_over(context, request, attempts)
    if relayed is not None:
        return relayed
    restricted = restrict_to_begun(context, request, attempts)
    if isinstance(restricted, Err):
        return restricted.err_value
    request = restricted.ok_value
    context.demand.record_prompt(request.service, size.prompt_tokens)
    started = start_attempt(context, request, attempts, engine, size)
    while isinstance(started, Err):
        asked = len(attempts.asked_peers)
        relayed = hand_over(context, request, attempts)
        if relayed is not None:
            return relayed
        if len(attempts.asked_peers) > asked:
            # It stopped waiting for memory because of VMs that have declined.
            restricted = restrict_to_begun(context, request, attempts)
            if isinstance(restricted, Err):
                return restricted.err_value
            request = restricted.ok_value
            started = start_attempt(context, request, attempts, engine, size)
            continue
        refusal = started.err_value
        return attempts.make_error_response(
            refusal.reason, refusal.retry_after_s
        )
    attempt = started.ok_value
    if attempt.response.succeeded:
        endpoint = attempt.reservation.endpoint
        publish_origin(context, request, endpoint)
        request = dataclasses.replace(
            request, software_version=endpoint.software_version
        )
    stream = _Stream(context, request, attempts, engine, size, attempt)
    parts = stream.iterate()
    # The caller receives the head together with the first part. Before that, a
    # failure can still be answered.
    first_part = None
    has_failed = True
    try:
        first_part = next(parts, None)
        has_failed = False
    except TruncatedError:
        return attempts.make_error_response("stream broke off", RETRY_AFTER_S)
    finally:
        if has_failed:
            stream.close()
    response = attempt.response
    return Response(
        response.status,
        response.headers,
        _prepend(first_part, parts),
        stream.close,
    )


def _has_refused(failure: Failure | None) -> bool:
    return failure is not None and failure.kind in NOT_STARTED


def _prepend(first: bytes | None, rest: Iterator[bytes]) -> Iterator[bytes]:
    if first is not None:
        yield first
    yield from rest


class _Preparation:
    """The next attempt of a stream, prepared while the present one is silent.

    It is prepared in a thread of its own, since the stream goes on as soon as
    its engine sends an event.
    """

    def __init__(
        self,
        prepare: Callable[[Callable[[], bool]], Result[PreparedAttempt, str]],
        release: Callable[[PreparedAttempt], None],
    ) -> None:
        self._prepare = prepare
        self._release = release
        self._lock = threading.Lock()
        self._done = threading.Event()
        self._wanted = True
        self._outcome: Result[PreparedAttempt, str] | None = None
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        outcome: Result[PreparedAttempt, str] = Err("failed")
        try:
            outcome = self._prepare(lambda: self._wanted)
        finally:
            with self._lock:
                self._outcome = outcome
                is_released = not self._wanted
            if is_released and isinstance(outcome, Ok):
                self._release(outcome.ok_value)
            self._done.set()

    @property
    def is_wanted(self) -> bool:
        """Whether the attempt is still for its stream to use."""
        return self._wanted

    def outcome(self) -> Result[PreparedAttempt, str] | None:
        """Returns the outcome; None while it is being prepared."""
        return self._outcome

    def abandon(self) -> None:
        """Releases the attempt, now or as soon as it is prepared."""
        with self._lock:
            was_wanted, self._wanted = self._wanted, False
            outcome = self._outcome
        if was_wanted and isinstance(outcome, Ok):
            self._release(outcome.ok_value)

    def take(self) -> PreparedAttempt | None:
        """Waits for the prepared attempt, which the caller then owns."""
        self._done.wait()
        with self._lock:
            was_wanted, self._wanted = self._wanted, False
        if was_wanted and isinstance(self._outcome, Ok):
            return self._outcome.ok_value
        return None


class _Stream:
    """The event stream of a generation across its attempts."""

    def __init__(
        self,
        context: Context,
        request: RoutedRequest,
        attempts: Attempts,
        engine: EngineProperties,
        size: GenerationSize,
        attempt: StartedAttempt,
    ) -> None:
        self._context = context
        self._request = request
        self._attempts = attempts
        self._engine = engine
        self._size = size
        self._current = attempt
        self._is_resumable = (
            request.route.repeatable and attempt.response.succeeded
        )
        self._preparation: _Preparation | None = None
        # The rest of the stream at another VM.
        self._relayed: Response | None = None
        self._last_event_s = context.clock()
        # When the current engine sent its last event, or began.
        self._silent_since_s = self._last_event_s
        self._logged_reason: str | None = None

    def close(self) -> None:
        """Ends the current attempt, and abandons the preparation of another."""
        self._end_silence()
        self._close_current()
        if self._relayed is not None:
            self._relayed.close()

    def _close_current(self) -> None:
        self._current.response.close()
        self._current.reservation.release()

    def iterate(self) -> Iterator[bytes]:
        """Yields the events as they arrive.

        Raises:
          TruncatedError: the stream failed and cannot be resumed.
        """
        progress = StreamProgress()
        while True:
            try:
                for part in self._current.response.iterate(
                    self._silence_limit_s, self._decide_on_silence
                ):
                    self._context.reachability.record_heard(
                        self._request.service
                    )
                    if not self._is_resumable:
                        if self._current.response.succeeded:
                            self._attempts.record_event()
                        yield part
                        continue
                    progress, events = split_events(progress, part)
                    if events:
                        self._attempts.record_event()
                        self._end_silence()
                        yield events
                        self._last_event_s = self._context.clock()
                        self._silent_since_s = self._last_event_s
                if progress.partial_event:
                    yield progress.partial_event
                endpoint = self._current.reservation.endpoint
                log_stream_end(
                    self._context,
                    self._request,
                    endpoint,
                    self._current.response,
                )
                self._context.state.record_success(endpoint)
                if self._current.response.succeeded:
                    self._attempts.record_end()
                return
            except EndpointError as error:
                self._resume(error.failure, progress)
                if self._relayed is not None:
                    yield from self._relayed.body
                    return
                progress = StreamProgress(last_event_id=progress.last_event_id)

    def _silence_limit_s(self) -> float:
        """Returns the time until the engine counts as silent, in seconds."""
        if not self._is_resumable:
            return math.inf
        remaining_s = self._attempts.remaining_s()
        route = self._request.route
        patience_s = caller_patience_s(route)
        shortest_s = max(
            _MIN_SILENCE_LIMIT_S, _SILENCE_GAPS * route.gap_objective_s
        )
        silent_s = self._context.clock() - self._silent_since_s
        share_s = _MAX_SILENCE_SHARE * (remaining_s + silent_s)
        limit_s = max(shortest_s, min(patience_s - _MOVE_TIME_S, share_s))
        return max(0.0, limit_s - silent_s)

    def _decide_on_silence(self) -> float | None:
        """Returns the time to wait on, in seconds; None to leave the engine.

        The stream leaves a silent engine only once the next attempt is
        prepared. Until then the engine may go on.
        """
        if not self._is_resumable:
            return None
        if can_leave(self._context, self._request, self._attempts):
            self._log_silence(True, OUT_OF_REACH)
            return None
        if self._preparation is None:
            self._preparation = self._start_preparation()
            return _CHECK_INTERVAL_S
        outcome = self._preparation.outcome()
        if outcome is None:
            return _CHECK_INTERVAL_S
        if not self._preparation.is_wanted:
            # It was abandoned when an earlier silence ended.
            self._preparation = None
            return _CHECK_INTERVAL_S
        if isinstance(outcome, Ok):
            engine = outcome.ok_value.reservation.endpoint
            self._log_silence(True, "prepared at " + engine.id)
            return None
        self._preparation = None
        self._log_silence(False, outcome.err_value)
        return _PREPARE_AGAIN_S

    def _start_preparation(self) -> _Preparation:
        context, attempts = self._context, self._attempts
        endpoint = self._current.reservation.endpoint
        context.state.record_silence(endpoint)
        context.reachability.record_silence(endpoint)
        return _Preparation(
            lambda is_wanted: prepare_attempt(
                context,
                self._request,
                attempts,
                self._engine,
                self._size,
                is_wanted,
            ),
            lambda prepared: release_prepared(context, attempts, prepared),
        )

    def _end_silence(self) -> None:
        self._logged_reason = None
        if self._preparation is None:
            return
        self._preparation.abandon()
        if self._preparation.outcome() is not None:
            self._preparation = None

    def _log_silence(self, moves: bool, reason: str) -> None:
        if reason == self._logged_reason:
            return
        self._logged_reason = reason
        log_silence(
            self._context,
            self._request,
            self._current.reservation.endpoint,
            self._context.clock() - self._silent_since_s,
            moves,
            reason,
        )

    def _take_prepared(self) -> PreparedAttempt | None:
        preparation, self._preparation = self._preparation, None
        return None if preparation is None else preparation.take()

    def _resume(self, failure: Failure, progress: StreamProgress) -> None:
        """Resumes the stream at another engine, after the last sent event."""
        after_event = progress.last_event_id
        context, request, attempts = (
            self._context,
            self._request,
            self._attempts,
        )
        endpoint = self._current.reservation.endpoint
        reason = attempts.explain_no_run()
        if not progress.is_resumable:
            reason = "a large event was sent in pieces"
        if reason is not None or not self._is_resumable:
            self.close()
            attempts.record_truncated_stream(endpoint, failure)
            raise TruncatedError(f"{failure.detail}; {reason or 'no resume'}")
        prepared = self._take_prepared()
        self._close_current()
        attempts.record_truncated_stream(endpoint, failure)
        attempt = None
        if prepared is not None:
            attempt = start_prepared(
                context, request, attempts, prepared, after_event
            )
            if attempt is None and _has_refused(attempts.last_failure):
                # The engine that was left for this one may go on after all.
                attempts.tried_incarnations.discard(endpoint.incarnation)
        if attempt is None and self._try_relay(after_event):
            return
        if attempt is None:
            attempt = self._start_attempt(failure, after_event)
        if attempt is None:
            return
        if not attempt.response.succeeded:
            attempt.response.close()
            attempt.reservation.release()
            raise TruncatedError(f"resumed with {attempt.response.status}")
        self._current = attempt
        self._silent_since_s = context.clock()
        context.registry.count("stream", "resumed")
        context.log(
            "stream resumed",
            request_id=request.call.request_id,
            endpoint=attempt.reservation.endpoint.id,
            after_event=after_event,
        )

    def _start_attempt(
        self, failure: Failure, after_event: str | None
    ) -> StartedAttempt | None:
        """Returns the next attempt; None if another VM goes on instead."""
        started = start_attempt(
            self._context,
            self._request,
            self._attempts,
            self._engine,
            self._size,
            StreamPosition(after_event, self._last_event_s),
        )
        if isinstance(started, Ok):
            return started.ok_value
        if self._try_relay(after_event):
            return None
        raise TruncatedError(f"{failure.detail}; {started.err_value.reason}")

    def _try_relay(self, after_event: str | None) -> bool:
        """Lets another VM go on with the stream; returns whether one does."""
        context, request = self._context, self._request
        relayed = hand_over(context, request, self._attempts, after_event)
        if relayed is None:
            return False
        if not 200 <= relayed.status < 300:
            relayed.close()
            raise TruncatedError(f"resumed with {relayed.status}")
        self._relayed = relayed
        context.registry.count("stream", "relayed")
        return True


__all__ = ["generate"]
