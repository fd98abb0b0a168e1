"""Attempts of generations at model engines.

An attempt first reserves memory at a decode engine, then a prefill engine
computes the KV cache of the prompt, and then the decode engine streams events.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.gateway.admission.admission_queue import is_retry_after_refusal
from burdockspan.gateway.choice.prefill_delays import (
    should_decode_engine_prefill,
)
from burdockspan.gateway.choice.ranking import exclude_tried
from burdockspan.gateway.context import Context
from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.ports import AttemptOptions, EndpointResponse, KvCache
from burdockspan.gateway.requests.attempts import (
    CRASHES_ENDPOINTS,
    KEY_REMOVED,
    NOT_STARTED,
    RETRY_AFTER_S,
    Attempts,
    RoutedRequest,
    explain_missing_endpoint,
    log_attempt,
)
from burdockspan.gateway.requests.peer_relay import can_hand_over
from burdockspan.gateway.requests.request_priority import (
    find_engine_priority,
    find_precedence,
)
from burdockspan.gateway.requests.reservations import (
    Reservation,
    reserve_memory,
)
from burdockspan.gateway.values import (
    Endpoint,
    EngineProperties,
    GenerationSize,
    Route,
    Stage,
)
from burdockspan.resilience.crash_evidence import TRIAL_INTERVAL_S
from burdockspan.values.placement import Failure, FailureKind

# A generation that waits for memory no longer than this share of its objective
# can still meet it: the prefill and the transfer of a prompt of usual size take
# the rest.
_MAX_WAIT_SHARE = 0.5
# Where generations differ in priority, the rest is estimated: the usual
# duration of the prefill, with a margin for prompts in the engine's queue, and
# the time of the calls besides. Urgent generations then wait for longer, and
# the memory that less urgent ones leave is more often in time for them.
_PREFILL_MARGIN = 1.5
_CALLS_S = 0.1
# A generation that can no longer meet its objective waits for this time, which
# is enough for about two requests for memory, and is then refused. During an
# overload, released memory goes to generations that can still meet theirs.
_LATE_WAIT_S = 0.2
# While engines do not answer whether they have memory, a generation waits for
# this time after its arrival. A sound engine may be silent for a second or two.
_SILENCE_PATIENCE_S = 2.5
# Requests for memory to a silent engine take up to half a second each.
_SILENCE_MEMORY_S = 1.0
# Bursts last for some seconds. A caller that retries after this share of the
# route's timeout arrives after the burst that it was refused in.
_RETRY_AFTER_SHARE = 0.2
# Callers abandon a stream after the longest of these gaps: a fixed one, and
# multiples of the objective for the first event and of the gap objective.
_CALLER_PATIENCE_S = 2.0
_CALLER_PATIENCE_OBJECTIVES = 4.0
_CALLER_PATIENCE_GAPS = 8.0
# If a prefill takes longer, the decode engine prefills the prompt itself. The
# limit is so high that only unresponsive engines exceed it: taking a prompt out
# of a prefill engine's queue during a burst would waste what the engine has
# done, and delay the streams of the decode engine.
_PREFILL_TIMEOUT_S = 1.5
# A prefill that is not given up for want of a retry asks for one again after
# this time.
_LOOK_AGAIN_S = 0.1
# Limit of the prefill engines that a prompt is sent to. A second call costs
# less than a prefill at the decode engine, which delays all streams there.
MAX_PREFILL_ENGINES = 2


@dataclasses.dataclass(frozen=True)
class StartedAttempt:
    """An attempt whose response has begun."""

    reservation: Reservation
    response: EndpointResponse


@dataclasses.dataclass(frozen=True)
class StreamPosition:
    """Where a stream that broke off within its response goes on.

    Attributes:
      after_event: id of the last event that was sent; None before the first.
      event_s: when it was sent, or the stream began, in monotonic seconds.
    """

    after_event: str | None
    event_s: float


@dataclasses.dataclass(frozen=True)
class PreparedAttempt:
    """An attempt that holds all that it needs, and has not been sent.

    Attributes:
      reservation: decode memory of the attempt.
      cache: KV cache of its prompt; None if the decode engine prefills.
    """

    reservation: Reservation
    cache: KvCache | None


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why no attempt started, and when a caller should return."""

    reason: str
    retry_after_s: float


def start_attempt(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    engine: EngineProperties,
    size: GenerationSize,
    position: StreamPosition | None = None,
) -> Result[StartedAttempt, Refusal]:
    """Starts an attempt; the error says why none started.

    Args:
      context: dependencies.
      request: the generation.
      attempts: its attempts.
      engine: properties of the service's engines.
      size: size of the generation.
      position: where a stream that broke off goes on; None for its begin.
    """
    after_event = position.after_event if position else None
    while True:
        if attempts.explain_no_run() is not None:
            return Err(_explain_no_attempt(request, attempts))
        reservation = _wait_for_memory(
            context, request, attempts, engine, size, position
        )
        if reservation is None:
            return Err(_explain_missing_memory(context, request, attempts))
        outcome = _run_attempt(
            context, request, attempts, reservation, size, after_event
        )
        if isinstance(outcome, Ok):
            return Ok(StartedAttempt(reservation, outcome.ok_value))
        _release_after_failure(context, reservation, outcome.err_value)
        if outcome.err_value is None or request.caller.gone:
            return Err(_explain_no_attempt(request, attempts))


def _explain_no_attempt(request: RoutedRequest, attempts: Attempts) -> Refusal:
    if attempts.is_quarantined():
        return Refusal(CRASHES_ENDPOINTS, TRIAL_INTERVAL_S)
    if attempts.is_key_removed():
        return Refusal(KEY_REMOVED, RETRY_AFTER_S)
    retry_after_s = _RETRY_AFTER_SHARE * request.route.timeout_s
    return Refusal("no attempt left", retry_after_s)


def _explain_missing_memory(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> Refusal:
    """Returns why no engine has reserved memory for a generation."""
    if attempts.is_quarantined():
        return Refusal(CRASHES_ENDPOINTS, TRIAL_INTERVAL_S)
    if attempts.is_key_removed():
        return Refusal(KEY_REMOVED, RETRY_AFTER_S)
    if context.reachability.is_out_of_reach(request.service):
        return Refusal(*explain_missing_endpoint(context, request, attempts))
    soonest = context.state.find_soonest(
        request.service, attempts.tried_incarnations, request.software_version
    )
    has_engine = context.state.list_usable(
        request.service, software_version=request.software_version
    )
    if (soonest and soonest[1] > 0) or not has_engine:
        return Refusal(*explain_missing_endpoint(context, request, attempts))
    if not request.caller.gone:
        context.demand.record_without_memory(request.service)
    return Refusal("no memory", _RETRY_AFTER_SHARE * request.route.timeout_s)


@dataclasses.dataclass(frozen=True)
class _MemoryWait:
    """How long a generation waits for memory; times in monotonic seconds.

    Attributes:
      is_late: whether it can no longer meet its objective.
      give_up_s: when it gives up.
      silence_ends_s: when it gives up while engines say nothing.
    """

    is_late: bool
    give_up_s: float
    silence_ends_s: float


def _choose_max_wait_s(
    objective_s: float, prompt_tokens: int, engine_tokens_per_s: float
) -> float:
    """Returns the longest wait of a generation that meets its objective.

    Args:
      objective_s: objective of its route.
      prompt_tokens: length of its prompt.
      engine_tokens_per_s: prompt tokens per second of an engine; 0 if the wait
        is a fixed share of the objective.
    """
    fixed_s = _MAX_WAIT_SHARE * objective_s
    if engine_tokens_per_s <= 0:
        return fixed_s
    prefill_s = _PREFILL_MARGIN * prompt_tokens / engine_tokens_per_s
    return max(fixed_s, objective_s - prefill_s - _CALLS_S)


def _choose_memory_wait(
    request: RoutedRequest,
    position: StreamPosition | None,
    now_s: float,
    max_wait_s: float,
) -> _MemoryWait:
    route, call = request.route, request.call
    if position is not None:
        give_up_s = min(
            position.event_s + caller_patience_s(route), request.deadline_s
        )
        return _MemoryWait(False, max(now_s, give_up_s), give_up_s)
    is_resumed = request.software_version is not None
    is_late = not is_resumed and (
        is_retry_after_refusal(call, route)
        or now_s - call.arrived_s > max_wait_s
    )
    waits_since_s = now_s if is_resumed else call.arrived_s
    give_up_s = waits_since_s + max_wait_s
    if is_late:
        give_up_s = now_s + _LATE_WAIT_S
    latest_s = request.deadline_s - route.objective_s
    return _MemoryWait(
        is_late,
        min(give_up_s, latest_s),
        min(call.arrived_s + _SILENCE_PATIENCE_S, latest_s),
    )


def caller_patience_s(route: Route) -> float:
    """Returns the gap after which callers abandon a stream, in seconds."""
    return max(
        _CALLER_PATIENCE_S,
        _CALLER_PATIENCE_OBJECTIVES * route.objective_s,
        _CALLER_PATIENCE_GAPS * route.gap_objective_s,
    )


def _wait_for_memory(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    engine: EngineProperties,
    size: GenerationSize,
    position: StreamPosition | None,
) -> Reservation | None:
    """Waits in the queue of the service until memory is reserved.

    A generation waits until it can no longer meet its objective. If it already
    cannot, it waits for `_LATE_WAIT_S`. In either case it gives up when the
    time until the deadline is shorter than the objective.

    While engines do not answer whether they have memory, it waits on, for at
    most `_SILENCE_PATIENCE_S` after its arrival.

    A stream that broke off within its response waits for as long as its caller
    does. One that its caller resumes waits like a generation that can still
    meet its objective. Both wait in a queue of their version: most engines
    could have memory for the generations behind them, but not for them.

    Returns:
      The reservation; None if the generation gave up or its caller has gone, or
      if no engine takes a request of this VM in time.
    """
    now_s = context.clock()
    is_resumed = request.software_version is not None
    precedence = find_precedence(context, request, size)
    engine_tokens_per_s = (
        context.demand.engine_tokens_per_s(request.service)
        if precedence.is_ordered
        else 0.0
    )
    max_wait_s = _choose_max_wait_s(
        request.route.objective_s, size.prompt_tokens, engine_tokens_per_s
    )
    wait = _choose_memory_wait(request, position, now_s, max_wait_s)
    soonest = context.state.find_soonest(
        request.service, attempts.tried_incarnations, request.software_version
    )
    if soonest is None and is_resumed:
        return None
    if soonest is not None and now_s + soonest[1] > wait.give_up_s:
        return None
    queue = context.admission_queues.for_service(
        request.service, request.software_version
    )
    request.caller.notify_when_gone(queue.wake)

    def has_gone() -> bool:
        return (
            request.caller.gone
            or attempts.is_quarantined()
            or attempts.is_key_removed()
            or can_hand_over(context, request, attempts)
        )

    silence = {"last_s": -math.inf}

    def record_silence() -> None:
        silence["last_s"] = context.clock()

    def may_wait_on() -> bool:
        now_s = context.clock()
        is_silent = now_s - silence["last_s"] < _SILENCE_MEMORY_S
        return is_silent and now_s < wait.silence_ends_s

    def begin_wait() -> None:
        if not precedence.is_ordered:
            return
        context.log(
            "waiting for memory",
            request_id=request.call.request_id,
            service=request.service,
            priority=request.priority,
            route_priority=request.route.priority,
            late=wait.is_late,
            queued=queue.length(),
            most_urgent_elsewhere=context.admission_queues.most_urgent_elsewhere(
                request.service
            ),
        )
        if not wait.is_late:
            context.waiting_statements.announce(
                request.service, precedence.priority
            )

    reservation = queue.wait(
        is_late=wait.is_late,
        arrived_s=request.call.arrived_s,
        give_up_s=wait.give_up_s,
        try_reserve=lambda: reserve_memory(
            context,
            request,
            engine,
            size,
            attempts.tried_incarnations,
            record_silence,
            lambda: not has_gone(),
        ),
        has_gone=has_gone,
        may_wait_on=may_wait_on,
        precedence=precedence,
        begin_wait=begin_wait,
    )
    if precedence.is_ordered:
        outcome = "without_memory" if reservation is None else "admitted"
        context.registry.count(
            f"priority_{request.priority}_{request.route.priority}", outcome
        )
    return reservation


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
    prepared = PreparedAttempt(reservation, cache)
    return _send(context, request, attempts, prepared, after_event)


def prepare_attempt(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    engine: EngineProperties,
    size: GenerationSize,
    is_wanted: Callable[[], bool],
) -> Result[PreparedAttempt, str]:
    """Prepares the next attempt of a stream that goes on meanwhile.

    Args:
      context: dependencies.
      request: the generation.
      attempts: its attempts.
      engine: properties of the service's engines.
      size: size of the generation.
      is_wanted: returns whether the attempt may still be needed.

    Returns:
      The prepared attempt, or why there is none.
    """
    reason = attempts.explain_no_run()
    if reason is not None:
        return Err(reason)
    # A prefill after the first one counts as a call, like the run.
    if not attempts.try_pay(calls=2 if attempts.has_prefilled else 1):
        attempts.refund()
        return Err("retry budget")
    reservation = reserve_memory(
        context,
        request,
        engine,
        size,
        attempts.tried_incarnations,
        is_wanted=is_wanted,
    )
    if reservation is None:
        attempts.refund()
        return Err("no memory")
    cache = None
    if is_wanted():
        cache = _prefill(context, request, attempts, reservation, size)
    prepared = PreparedAttempt(reservation, cache)
    if is_wanted() and attempts.try_start():
        return Ok(prepared)
    release_prepared(context, attempts, prepared)
    return Err("not needed" if not is_wanted() else "retry budget")


def release_prepared(
    context: Context, attempts: Attempts, prepared: PreparedAttempt
) -> None:
    """Releases what a prepared attempt holds that will not be sent."""
    if prepared.cache is not None:
        context.platform.endpoints.release_cache(prepared.cache)
    _release_after_failure(context, prepared.reservation, None)
    attempts.refund()


def start_prepared(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    prepared: PreparedAttempt,
    after_event: str | None,
) -> StartedAttempt | None:
    """Sends a prepared attempt; returns None if it failed."""
    if attempts.is_key_removed():
        release_prepared(context, attempts, prepared)
        return None
    outcome = _send(context, request, attempts, prepared, after_event)
    if isinstance(outcome, Ok):
        return StartedAttempt(prepared.reservation, outcome.ok_value)
    _release_after_failure(context, prepared.reservation, outcome.err_value)
    return None


def _send(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    prepared: PreparedAttempt,
    after_event: str | None,
) -> Result[EndpointResponse, Failure | None]:
    """Sends an attempt to its decode engine, and waits for the head."""
    reservation, cache = prepared.reservation, prepared.cache
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
        head_silence_limit_s=math.inf,
        abort=request.abort,
        cache=cache,
        reservation=reservation.name,
        after_event=after_event,
        expects_events=True,
    )
    outcome = context.platform.endpoints.run(endpoint, request.call, options)
    if isinstance(outcome, Err):
        attempts.record_failure(endpoint, outcome.err_value)
        if outcome.err_value.kind is FailureKind.REFUSED:
            _record_refused_generation(context, reservation, cache)
        if cache is not None and outcome.err_value.kind in NOT_STARTED:
            context.platform.endpoints.release_cache(cache)
        return outcome
    attempts.record_run(endpoint)
    return outcome


def _record_refused_generation(
    context: Context, reservation: Reservation, cache: KvCache | None
) -> None:
    """Records a generation that was refused despite its reservation.

    Either the prefill engine lost the KV cache, or the decode engine accepts no
    work. The suspicion against both rises. Later failures, which only the
    engine at fault causes, tell them apart. Without a KV cache, only the decode
    engine can be at fault, and the suspicion against it rises twice.
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
    """Returns the KV cache from a prefill engine.

    Returns None if the decode engine has to prefill the prompt.
    """
    if reservation.endpoint.stage is None:
        return None
    for endpoint in _choose_prefill_engines(
        context, request, attempts, reservation, size
    ):
        if not context.state.conditions.try_take(endpoint):
            continue
        if not attempts.try_prefill():
            return None
        outcome = _run_prefill(context, request, attempts, endpoint, size)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        if (
            outcome.err_value.kind is FailureKind.UNRESPONSIVE
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
    """Returns the prefill engines to try in turn.

    There are none if the decode engine should prefill.
    """
    # Only the events of a stream are bound to a software version.
    candidates = context.state.candidates(
        request.service,
        context.endpoint_capacity.make_prefill_load(size.prompt_tokens),
        Stage.PREFILL,
    )
    ranked = context.endpoint_capacity.rank_prefill(
        candidates, reservation.endpoint.zone
    )
    untried = exclude_tried(ranked, attempts.tried_incarnations)[
        :MAX_PREFILL_ENGINES
    ]
    now_s = context.clock()
    delay_s = min(
        (
            context.prefill_delays.expected_delay_s(endpoint, now_s)
            for endpoint in untried
        ),
        default=0.0,
    )
    engine_tokens_per_s = context.demand.engine_tokens_per_s(request.service)
    if not should_decode_engine_prefill(
        request.route, size.prompt_tokens, engine_tokens_per_s, delay_s
    ):
        return untried
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
    running = context.state.running_work(endpoint)
    ahead = context.endpoint_capacity.work_ahead(endpoint, *running).tokens
    end_work = context.state.begin_work(endpoint, size.prompt_tokens)
    started_s = context.clock()

    def decide_on_silence() -> float | None:
        # Given up, the prefill counts as a call, so that the run is a retry.
        return None if attempts.try_pay(calls=2) else _LOOK_AGAIN_S

    try:
        options = AttemptOptions(
            attempts.remaining_s(),
            _PREFILL_TIMEOUT_S,
            request.abort,
            on_silence=decide_on_silence,
            priority=find_engine_priority(context, request),
        )
        outcome = context.platform.endpoints.prefill(
            endpoint, request.call, options
        )
    finally:
        end_work()
    duration_s = context.clock() - started_s
    engine_tokens_per_s = context.demand.engine_tokens_per_s(request.service)
    if engine_tokens_per_s > 0:
        delay_s = max(
            0.0, duration_s - size.prompt_tokens / engine_tokens_per_s
        )
        context.prefill_delays.record(endpoint, delay_s, context.clock())
    context.registry.observe("prefill", duration_s)
    if isinstance(outcome, Err):
        attempts.record_prefill_failure(endpoint, outcome.err_value)
        return outcome
    attempts.record_prefill()
    context.state.record_success(endpoint)
    context.demand.record_prefill(
        request.service, size.prompt_tokens, duration_s
    )
    context.endpoint_capacity.record_prefill(
        endpoint, size.prompt_tokens, duration_s
    )
    context.log(
        "prefilled",
        request_id=request.call.request_id,
        endpoint=endpoint.id,
        zone=endpoint.zone,
        tokens=size.prompt_tokens,
        ahead=round(ahead),
        taken_s=round(duration_s, 3),
    )
    return outcome


def _release_after_failure(
    context: Context, reservation: Reservation, failure: Failure | None
) -> None:
    """Releases a reservation after its attempt failed or did not start.

    The engine is called only if it can be reached and has not started the
    request, so that the reservation there is still unused.
    """
    reservation.release()
    is_unused = failure is None or failure.kind in NOT_STARTED
    is_unreachable = (
        failure is not None and failure.kind is FailureKind.NOT_CONNECTED
    )
    if reservation.name is not None and is_unused and not is_unreachable:
        context.platform.endpoints.release_reservation(
            reservation.endpoint, reservation.name
        )


__all__ = [
    "MAX_PREFILL_ENGINES",
    "PreparedAttempt",
    "Refusal",
    "StartedAttempt",
    "StreamPosition",
    "caller_patience_s",
    "prepare_attempt",
    "release_prepared",
    "start_attempt",
    "start_prepared",
]
