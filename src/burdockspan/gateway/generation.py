"""Generations: streams of events that model engines send."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from result import Err

from burdockspan.endpoints.failures import EndpointError
from burdockspan.gateway.attempts import Attempts, RoutedRequest
from burdockspan.gateway.context import Context
from burdockspan.gateway.generation_attempts import (
    StartedAttempt,
    start_attempt,
)
from burdockspan.gateway.messages import Response, TruncatedError
from burdockspan.gateway.resumption import publish_origin
from burdockspan.gateway.sse import StreamProgress, split_events
from burdockspan.gateway.values import EngineProperties, GenerationSize
from burdockspan.values.placement import Failure

# A resumable stream is resumed at another engine if no event arrives for this
# multiple of the route's gap objective, or for the minimum if that is longer.
_IDLE_TIMEOUT_GAPS = 4.0
_MIN_IDLE_TIMEOUT_S = 1.0


def generate(
    context: Context,
    request: RoutedRequest,
    engine: EngineProperties,
    size: GenerationSize,
) -> Response:
    """Returns the response of a decode engine, or an error response."""
    attempts = Attempts(context, request)
    context.demand.record_prompt(request.service, size.prompt_tokens)
    started = start_attempt(context, request, attempts, engine, size, None)
    if isinstance(started, Err):
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
    response = attempt.response
    return Response(
        response.status, response.headers, stream.iterate(), stream.close
    )


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

    def close(self) -> None:
        """Ends the current attempt."""
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
                    self._idle_timeout_s, lambda: None
                ):
                    if not self._is_resumable:
                        yield part
                        continue
                    progress, events = split_events(progress, part)
                    if events:
                        yield events
                if progress.partial_event:
                    yield progress.partial_event
                self._context.state.record_success(
                    self._current.reservation.endpoint
                )
                return
            except EndpointError as error:
                self._resume(error.failure, progress.last_event_id)
                progress = dataclasses.replace(progress, partial_event=b"")

    def _idle_timeout_s(self) -> float:
        remaining_s = self._attempts.remaining_s()
        if not self._is_resumable:
            return remaining_s
        idle_timeout_s = (
            _IDLE_TIMEOUT_GAPS * self._request.route.gap_objective_s
        )
        return min(remaining_s, max(_MIN_IDLE_TIMEOUT_S, idle_timeout_s))

    def _resume(self, failure: Failure, after_event: str | None) -> None:
        """Resumes the stream at another engine, after the last sent event."""
        context, request, attempts = (
            self._context,
            self._request,
            self._attempts,
        )
        endpoint = self._current.reservation.endpoint
        self.close()
        attempts.record_truncated_stream(endpoint, failure)
        if request.caller.gone or not self._is_resumable:
            raise TruncatedError(failure.detail)
        started = start_attempt(
            context, request, attempts, self._engine, self._size, after_event
        )
        if isinstance(started, Err):
            raise TruncatedError(
                f"{failure.detail}; {started.err_value.reason}"
            )
        attempt = started.ok_value
        if not attempt.response.succeeded:
            attempt.response.close()
            attempt.reservation.release()
            raise TruncatedError(f"resumed with {attempt.response.status}")
        self._current = attempt
        context.registry.count("stream", "resumed")
        context.log(
            "stream resumed",
            request_id=request.call.request_id,
            endpoint=attempt.reservation.endpoint.id,
            after_event=after_event,
        )


__all__ = ["generate"]
