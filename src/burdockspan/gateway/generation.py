"""Generations: memory first, then the prompt, then the stream of events."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from result import Err, Ok, Result

from burdockspan.endpoints.failures import EndpointError
from burdockspan.gateway import evidence
from burdockspan.gateway.admission import is_second_attempt
from burdockspan.gateway.attempts import (
    NOT_STARTED,
    Attempts,
    Job,
    log_attempt,
)
from burdockspan.gateway.choice import exclude, rank_prefill
from burdockspan.gateway.context import Context
from burdockspan.gateway.events import Progress, take_events
from burdockspan.gateway.memory import Room, take_room
from burdockspan.gateway.ports import Answer, Cache, RunOptions
from burdockspan.gateway.queues import decoder_reads
from burdockspan.gateway.replies import Reply, TruncatedError
from burdockspan.gateway.values import Endpoint, Engine, Prompt, Stage
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
class _Running:
    """A generation whose answer has begun."""

    room: Room
    answer: Answer


def generate(
    context: Context, job: Job, engine: Engine, prompt: Prompt
) -> Reply:
    """Returns the answer of a decode engine, or why there is none."""
    attempts = Attempts(context, job)
    context.demand.note_prompt(job.service, prompt.tokens)
    started = _start(context, job, attempts, engine, prompt, None)
    if isinstance(started, Err):
        return attempts.give_up(
            started.err_value, _RETRY_AFTER_SHARE * job.route.timeout_s
        )
    running = started.ok_value
    stream = _Stream(context, job, attempts, engine, prompt, running)
    answer = running.answer
    return Reply(answer.status, answer.headers, stream.iterate(), stream.close)


def _start(
    context: Context,
    job: Job,
    attempts: Attempts,
    engine: Engine,
    prompt: Prompt,
    after_event: str | None,
) -> Result[_Running, str]:
    """Starts the generation, or tells why it could not be started."""
    while True:
        room = _wait_for_room(context, job, attempts, engine, prompt)
        if room is None:
            return Err("no memory" if _engines(context, job) else "no endpoint")
        ran = _run(context, job, attempts, room, prompt, after_event)
        if isinstance(ran, Ok):
            return Ok(_Running(room, ran.ok_value))
        _give_back(context, room, ran.err_value)
        if ran.err_value is None or job.caller.gone:
            return Err("no attempt left")


def _engines(context: Context, job: Job) -> bool:
    return bool(context.tables.views(job.service, lambda *_: 0.0))


def _wait_for_room(
    context: Context,
    job: Job,
    attempts: Attempts,
    engine: Engine,
    prompt: Prompt,
) -> Room | None:
    now_s = context.clock()
    objective_s = job.route.objective_s
    usual_s = _WAIT_SHARE * objective_s
    late = (
        is_second_attempt(job.call, job.route)
        or now_s - job.call.arrived_s > usual_s
    )
    until_s = job.call.arrived_s + usual_s
    if late:
        until_s = now_s + _LATE_WAIT_S
    until_s = min(until_s, job.deadline_s - objective_s)
    line = context.lines.of(job.service)
    job.caller.on_gone(line.notify)
    return line.wait(
        late=late,
        arrived_s=job.call.arrived_s,
        until_s=until_s,
        ask=lambda: take_room(context, job, engine, prompt, attempts.tried),
        gone=lambda: job.caller.gone,
    )


def _run(
    context: Context,
    job: Job,
    attempts: Attempts,
    room: Room,
    prompt: Prompt,
    after_event: str | None,
) -> Result[Answer, Failure | None]:
    cache = _prefill(context, job, attempts, room, prompt)
    if not attempts.may_start():
        if cache is not None:
            context.platform.endpoints.drop_cache(cache)
        return Err(None)
    endpoint = room.endpoint
    log_attempt(
        context,
        job,
        endpoint,
        tokens=room.tokens,
        reserved=room.reservation is not None,
        prefilled=cache.endpoint.id if cache else None,
        after_event=after_event,
        waited_s=round(context.clock() - job.call.arrived_s, 3),
    )
    left_s = attempts.left_s()
    options = RunOptions(
        left_s=left_s,
        wait_s=left_s,
        abort=job.abort,
        cache=cache,
        reservation=room.reservation,
        after_event=after_event,
    )
    ran = context.platform.endpoints.run(endpoint, job.call, options)
    if isinstance(ran, Err):
        attempts.note_failure(endpoint, ran.err_value)
        if ran.err_value.kind is FailureKind.REFUSED:
            _doubt_pair(context, room, cache)
        if cache is not None and ran.err_value.kind in NOT_STARTED:
            context.platform.endpoints.drop_cache(cache)
        return ran
    attempts.note_run(endpoint)
    return ran


def _doubt_pair(context: Context, room: Room, cache: Cache | None) -> None:
    """Notes that a generation was refused although it had room.

    Either the prefill engine lost the cache, or the decode engine takes no
    work; which of them it was shows once one of them meets others.
    """
    for endpoint in (room.endpoint, cache.endpoint if cache else room.endpoint):
        context.tables.note_failure(endpoint, evidence.REFUSED_PAIR_WEIGHT)


def _prefill(
    context: Context,
    job: Job,
    attempts: Attempts,
    room: Room,
    prompt: Prompt,
) -> Cache | None:
    """Has a prefill engine read the prompt; None leaves it to the decoder."""
    if room.endpoint.stage is None:
        return None
    for endpoint in _readers(context, job, attempts, room, prompt):
        if not attempts.may_prefill():
            return None
        read = _read_prompt(context, job, attempts, endpoint, prompt)
        if isinstance(read, Ok):
            return read.ok_value
        if read.err_value.kind is FailureKind.UNRESPONSIVE or job.caller.gone:
            return None
    return None


def _readers(
    context: Context,
    job: Job,
    attempts: Attempts,
    room: Room,
    prompt: Prompt,
) -> list[Endpoint]:
    """Returns the prefill engines to ask; none if the decoder should read."""
    views = context.tables.views(
        job.service, lambda _, __, tokens: float(tokens), Stage.PREFILL
    )
    ranked = rank_prefill(views, room.endpoint.zone, context.random_float)
    fresh = exclude(ranked, attempts.tried)[:_MOST_READERS]
    now_s = context.clock()
    queued_s = min(
        (context.queues.expect_s(endpoint, now_s) for endpoint in fresh),
        default=0.0,
    )
    speed = context.demand.speed(job.service)
    if not decoder_reads(job.route, prompt.tokens, speed, queued_s):
        return fresh
    context.registry.count("prefill", "left_to_decoder")
    context.log(
        "prefill left to decoder",
        request_id=job.call.request_id,
        queued_s=round(queued_s, 3),
        tokens=prompt.tokens,
    )
    return []


def _read_prompt(
    context: Context,
    job: Job,
    attempts: Attempts,
    endpoint: Endpoint,
    prompt: Prompt,
) -> Result[Cache, Failure]:
    end = context.tables.begin(endpoint, prompt.tokens)
    started_s = context.clock()
    wait_s = min(_PREFILL_TIMEOUT_S, attempts.left_s())
    try:
        options = RunOptions(attempts.left_s(), wait_s, job.abort)
        read = context.platform.endpoints.prefill(endpoint, job.call, options)
    finally:
        end()
    taken_s = context.clock() - started_s
    speed = context.demand.speed(job.service)
    if speed > 0:
        queued_s = max(0.0, taken_s - prompt.tokens / speed)
        context.queues.note(endpoint, queued_s, context.clock())
    context.registry.observe("prefill", taken_s)
    if isinstance(read, Err):
        attempts.note_prefill_failure(endpoint, read.err_value)
        return read
    attempts.note_prefill()
    context.tables.note_success(endpoint)
    context.demand.note_read(job.service, prompt.tokens, taken_s)
    context.log(
        "prefilled",
        request_id=job.call.request_id,
        endpoint=endpoint.id,
        zone=endpoint.zone,
        tokens=prompt.tokens,
        taken_s=round(taken_s, 3),
    )
    return read


def _give_back(context: Context, room: Room, failure: Failure | None) -> None:
    room.release()
    unused = failure is None or failure.kind in NOT_STARTED
    unreachable = (
        failure is not None and failure.kind is FailureKind.NOT_CONNECTED
    )
    if room.reservation is not None and unused and not unreachable:
        context.platform.endpoints.drop_reservation(
            room.endpoint, room.reservation
        )


class _Stream:
    """The events of a generation, over all its attempts."""

    def __init__(
        self,
        context: Context,
        job: Job,
        attempts: Attempts,
        engine: Engine,
        prompt: Prompt,
        running: _Running,
    ) -> None:
        self._context = context
        self._job = job
        self._attempts = attempts
        self._engine = engine
        self._prompt = prompt
        self._running = running
        self._resumable = job.route.repeatable and running.answer.succeeded

    def close(self) -> None:
        """Ends the present attempt."""
        self._running.answer.close()
        self._running.room.release()

    def iterate(self) -> Iterator[bytes]:
        """Yields the events as they arrive.

        Raises:
          TruncatedError: the stream cannot go on.
        """
        progress = Progress()
        while True:
            try:
                for part in self._running.answer.iterate(self._wait_s):
                    if not self._resumable:
                        yield part
                        continue
                    progress, whole = take_events(progress, part)
                    if whole:
                        yield whole
                if progress.rest:
                    yield progress.rest
                self._context.tables.note_success(self._running.room.endpoint)
                return
            except EndpointError as error:
                self._resume(error.failure, progress.last_id)
                progress = dataclasses.replace(progress, rest=b"")

    def _wait_s(self) -> float:
        left_s = self._attempts.left_s()
        if not self._resumable:
            return left_s
        gaps_s = _SILENCE_GAPS * self._job.route.gap_objective_s
        return min(left_s, max(_LEAST_SILENCE_S, gaps_s))

    def _resume(self, failure: Failure, after_event: str | None) -> None:
        """Goes on at another engine, from the last event that was sent."""
        context, job, attempts = self._context, self._job, self._attempts
        endpoint = self._running.room.endpoint
        self.close()
        attempts.note_broken_stream(endpoint, failure)
        if job.caller.gone or not self._resumable:
            raise TruncatedError(failure.detail)
        started = _start(
            context, job, attempts, self._engine, self._prompt, after_event
        )
        if isinstance(started, Err):
            raise TruncatedError(f"{failure.detail}; {started.err_value}")
        running = started.ok_value
        if not running.answer.succeeded:
            running.answer.close()
            running.room.release()
            raise TruncatedError(f"resumed with {running.answer.status}")
        self._running = running
        context.registry.count("stream", "resumed")
        context.log(
            "stream resumed",
            request_id=job.call.request_id,
            endpoint=running.room.endpoint.id,
            after_event=after_event,
        )


__all__ = ["generate"]
