"""Generations: memory first, then the prompt, then the stream of events."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from result import Err, Ok, Result

from burdockspan.endpoints.failures import EndpointError
from burdockspan.gateway import passive_health
from burdockspan.gateway.admission_queue import is_retry_after_refusal
from burdockspan.gateway.attempts import (
    NOT_STARTED,
    Attempts,
    RoutedRequest,
    log_attempt,
)
from burdockspan.gateway.context import Context
from burdockspan.gateway.messages import Response, TruncatedError
from burdockspan.gateway.ports import AttemptOptions, EndpointResponse, KvCache
from burdockspan.gateway.prefill_delays import should_decoder_prefill
from burdockspan.gateway.ranking import exclude_tried, rank_prefill
from burdockspan.gateway.reservations import Reservation, reserve_memory
from burdockspan.gateway.sse import StreamProgress, split_events
from burdockspan.gateway.values import (
    Endpoint,
    EngineProperties,
    GenerationSize,
    Stage,
)
from burdockspan.values.placement import Failure, FailureKind

# Share of the objective that a generation may wait for memory and still meet
# it: reading and moving a prompt of usual size take the rest.
_WAIT_SHARE = 0.5
# A generation that cannot meet its objective any more asks twice or so, and is
# then refused: in an overload the room that frees up goes to those in time.
_LATE_WAIT_S = 0.2
# A caller that comes back after this share of the timeout is past the burst
# that it was refused in, which lasts some seconds.
_RETRY_AFTER_SHARE = 0.2
# A prompt that waits longer than this at a prefill engine is read by the decode
# engine itself. Giving up on a queue in a burst would waste what was read and
# delay the streams of the decode engine, so that only mute engines count.
_PREFILL_TIMEOUT_S = 1.5
# Prefill engines that a prompt is sent to. A decode engine that reads a prompt
# itself delays all its streams, so that a second call is the smaller cost.
_MOST_READERS = 2
# A stream that may be resumed goes on elsewhere after a pause of so many gap
# objectives, or this time if the route names none.
_SILENCE_GAPS = 4.0
_LEAST_SILENCE_S = 1.0


@dataclasses.dataclass(frozen=True)
class _ActiveAttempt:
    """A generation whose answer has begun."""

    reservation: Reservation
    answer: EndpointResponse


def generate(
    context: Context,
    request: RoutedRequest,
    engine: EngineProperties,
    size: GenerationSize,
) -> Response:
    """Returns the answer of a decode engine, or why there is none."""
    attempts = Attempts(context, request)
    context.demand.record_prompt(request.service, size.prompt_tokens)
    started = _start(context, request, attempts, engine, size, None)
    if isinstance(started, Err):
        return attempts.make_refusal(
            started.err_value, _RETRY_AFTER_SHARE * request.route.timeout_s
        )
    active = started.ok_value
    stream = _Stream(context, request, attempts, engine, size, active)
    answer = active.answer
    return Response(
        answer.status, answer.headers, stream.iterate(), stream.close
    )


def _start(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    engine: EngineProperties,
    size: GenerationSize,
    after_event: str | None,
) -> Result[_ActiveAttempt, str]:
    """Starts the generation, or tells why it could not be started."""
    while True:
        reservation = _wait_for_memory(context, request, attempts, engine, size)
        if reservation is None:
            return Err(
                "no memory" if _engines(context, request) else "no endpoint"
            )
        ran = _run_attempt(
            context, request, attempts, reservation, size, after_event
        )
        if isinstance(ran, Ok):
            return Ok(_ActiveAttempt(reservation, ran.ok_value))
        _release_unused(context, reservation, ran.err_value)
        if ran.err_value is None or request.caller.gone:
            return Err("no attempt left")


def _engines(context: Context, request: RoutedRequest) -> bool:
    return bool(context.state.candidates(request.service, lambda *_: 0.0))


def _wait_for_memory(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    engine: EngineProperties,
    size: GenerationSize,
) -> Reservation | None:
    now_s = context.clock()
    objective_s = request.route.objective_s
    usual_s = _WAIT_SHARE * objective_s
    late = (
        is_retry_after_refusal(request.call, request.route)
        or now_s - request.call.arrived_s > usual_s
    )
    until_s = request.call.arrived_s + usual_s
    if late:
        until_s = now_s + _LATE_WAIT_S
    until_s = min(until_s, request.deadline_s - objective_s)
    line = context.admission_queues.for_service(request.service)
    request.caller.notify_when_gone(line.wake)
    return line.wait(
        late=late,
        arrived_s=request.call.arrived_s,
        until_s=until_s,
        try_reserve=lambda: reserve_memory(
            context, request, engine, size, attempts.tried
        ),
        has_gone=lambda: request.caller.gone,
    )


def _run_attempt(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    reservation: Reservation,
    size: GenerationSize,
    after_event: str | None,
) -> Result[EndpointResponse, Failure | None]:
    cache = _prefill(context, request, attempts, reservation, size)
    if not attempts.try_start():
        if cache is not None:
            context.platform.endpoints.release_cache(cache)
        return Err(None)
    endpoint = reservation.endpoint
    log_attempt(
        context,
        request,
        endpoint,
        tokens=reservation.tokens,
        reserved=reservation.name is not None,
        prefilled=cache.endpoint.id if cache else None,
        after_event=after_event,
        waited_s=round(context.clock() - request.call.arrived_s, 3),
    )
    remaining_s = attempts.remaining_s()
    options = AttemptOptions(
        remaining_s=remaining_s,
        head_timeout_s=remaining_s,
        abort=request.abort,
        cache=cache,
        reservation=reservation.name,
        after_event=after_event,
    )
    ran = context.platform.endpoints.run(endpoint, request.call, options)
    if isinstance(ran, Err):
        attempts.record_failure(endpoint, ran.err_value)
        if ran.err_value.kind is FailureKind.REFUSED:
            _record_refused_generation(context, reservation, cache)
        if cache is not None and ran.err_value.kind in NOT_STARTED:
            context.platform.endpoints.release_cache(cache)
        return ran
    attempts.record_run(endpoint)
    return ran


def _record_refused_generation(
    context: Context, reservation: Reservation, cache: KvCache | None
) -> None:
    """Notes that a generation was refused although it had room.

    Either the prefill engine lost the cache, or the decode engine takes no
    work; which of them it was shows once one of them meets others.
    """
    for endpoint in (
        reservation.endpoint,
        cache.endpoint if cache else reservation.endpoint,
    ):
        context.state.record_failure(
            endpoint, passive_health.REFUSED_GENERATION_WEIGHT
        )


def _prefill(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    reservation: Reservation,
    size: GenerationSize,
) -> KvCache | None:
    """Has a prefill engine read the prompt; None leaves it to the decoder."""
    if reservation.endpoint.stage is None:
        return None
    for endpoint in _choose_prefill_engines(
        context, request, attempts, reservation, size
    ):
        if not attempts.try_prefill():
            return None
        read = _run_prefill(context, request, attempts, endpoint, size)
        if isinstance(read, Ok):
            return read.ok_value
        if (
            read.err_value.kind is FailureKind.UNRESPONSIVE
            or request.caller.gone
        ):
            return None
    return None


def _choose_prefill_engines(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    reservation: Reservation,
    size: GenerationSize,
) -> list[Endpoint]:
    """Returns the prefill engines to ask; none if the decoder should read."""
    candidates = context.state.candidates(
        request.service, lambda _, __, tokens: float(tokens), Stage.PREFILL
    )
    ranked = rank_prefill(
        candidates, reservation.endpoint.zone, context.random_float
    )
    fresh = exclude_tried(ranked, attempts.tried)[:_MOST_READERS]
    now_s = context.clock()
    delay_s = min(
        (
            context.prefill_delays.expected_delay_s(endpoint, now_s)
            for endpoint in fresh
        ),
        default=0.0,
    )
    speed = context.demand.engine_tokens_per_s(request.service)
    if not should_decoder_prefill(
        request.route, size.prompt_tokens, speed, delay_s
    ):
        return fresh
    context.registry.count("prefill", "left_to_decoder")
    context.log(
        "prefill left to decoder",
        request_id=request.call.request_id,
        queued_s=round(delay_s, 3),
        tokens=size.prompt_tokens,
    )
    return []


def _run_prefill(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    endpoint: Endpoint,
    size: GenerationSize,
) -> Result[KvCache, Failure]:
    end = context.state.begin_work(endpoint, size.prompt_tokens)
    started_s = context.clock()
    wait_s = min(_PREFILL_TIMEOUT_S, attempts.remaining_s())
    try:
        options = AttemptOptions(attempts.remaining_s(), wait_s, request.abort)
        read = context.platform.endpoints.prefill(
            endpoint, request.call, options
        )
    finally:
        end()
    taken_s = context.clock() - started_s
    speed = context.demand.engine_tokens_per_s(request.service)
    if speed > 0:
        delay_s = max(0.0, taken_s - size.prompt_tokens / speed)
        context.prefill_delays.record(endpoint, delay_s, context.clock())
    context.registry.observe("prefill", taken_s)
    if isinstance(read, Err):
        attempts.record_prefill_failure(endpoint, read.err_value)
        return read
    attempts.record_prefill()
    context.state.record_success(endpoint)
    context.demand.record_prefill(request.service, size.prompt_tokens, taken_s)
    context.log(
        "prefilled",
        request_id=request.call.request_id,
        endpoint=endpoint.id,
        zone=endpoint.zone,
        tokens=size.prompt_tokens,
        taken_s=round(taken_s, 3),
    )
    return read


def _release_unused(
    context: Context, reservation: Reservation, failure: Failure | None
) -> None:
    reservation.release()
    unused = failure is None or failure.kind in NOT_STARTED
    unreachable = (
        failure is not None and failure.kind is FailureKind.NOT_CONNECTED
    )
    if reservation.name is not None and unused and not unreachable:
        context.platform.endpoints.release_reservation(
            reservation.endpoint, reservation.name
        )


class _Stream:
    """The events of a generation, over all its attempts."""

    def __init__(
        self,
        context: Context,
        request: RoutedRequest,
        attempts: Attempts,
        engine: EngineProperties,
        size: GenerationSize,
        active: _ActiveAttempt,
    ) -> None:
        self._context = context
        self._job = request
        self._attempts = attempts
        self._engine = engine
        self._size = size
        self._active = active
        self._resumable = request.route.repeatable and active.answer.succeeded

    def close(self) -> None:
        """Ends the present attempt."""
        self._active.answer.close()
        self._active.reservation.release()

    def iterate(self) -> Iterator[bytes]:
        """Yields the events as they arrive.

        Raises:
          TruncatedError: the stream cannot go on.
        """
        progress = StreamProgress()
        while True:
            try:
                for part in self._active.answer.iterate(self._idle_timeout_s):
                    if not self._resumable:
                        yield part
                        continue
                    progress, whole = split_events(progress, part)
                    if whole:
                        yield whole
                if progress.rest:
                    yield progress.rest
                self._context.state.record_success(
                    self._active.reservation.endpoint
                )
                return
            except EndpointError as error:
                self._resume(error.failure, progress.last_id)
                progress = dataclasses.replace(progress, rest=b"")

    def _idle_timeout_s(self) -> float:
        remaining_s = self._attempts.remaining_s()
        if not self._resumable:
            return remaining_s
        gaps_s = _SILENCE_GAPS * self._job.route.gap_objective_s
        return min(remaining_s, max(_LEAST_SILENCE_S, gaps_s))

    def _resume(self, failure: Failure, after_event: str | None) -> None:
        """Goes on at another engine, from the last event that was sent."""
        context, request, attempts = self._context, self._job, self._attempts
        endpoint = self._active.reservation.endpoint
        self.close()
        attempts.record_broken_stream(endpoint, failure)
        if request.caller.gone or not self._resumable:
            raise TruncatedError(failure.detail)
        started = _start(
            context, request, attempts, self._engine, self._size, after_event
        )
        if isinstance(started, Err):
            raise TruncatedError(f"{failure.detail}; {started.err_value}")
        active = started.ok_value
        if not active.answer.succeeded:
            active.answer.close()
            active.reservation.release()
            raise TruncatedError(f"resumed with {active.answer.status}")
        self._active = active
        context.registry.count("stream", "resumed")
        context.log(
            "stream resumed",
            request_id=request.call.request_id,
            endpoint=active.reservation.endpoint.id,
            after_event=after_event,
        )


__all__ = ["generate"]
