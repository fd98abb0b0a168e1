"""Forwards requests to plain services."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from result import Err, Ok, Result

from burdockspan.endpoints.failures import EndpointError
from burdockspan.gateway import evidence
from burdockspan.gateway.attempts import (
    RETRY_AFTER_S,
    Attempts,
    Job,
    log_attempt,
)
from burdockspan.gateway.choice import exclude, rank_plain
from burdockspan.gateway.context import Context
from burdockspan.gateway.ports import Answer, RunOptions
from burdockspan.gateway.replies import Reply, TruncatedError
from burdockspan.gateway.values import Endpoint, Kind
from burdockspan.values.placement import Failure

# An answer up to this size is read whole before its head is passed on, so that
# one that breaks off can still be replaced.
_WHOLE_ANSWER_BYTES = 1024 * 1024
# Share of the objective after which an idempotent request that has no answer
# yet goes to another endpoint, with time left to meet the objective there.
_PATIENCE_SHARE = 0.6


def forward(context: Context, job: Job) -> Reply:
    """Returns the answer of an endpoint, or why there is none."""
    attempts = Attempts(context, job)
    answered: Reply | None = None
    while True:
        endpoint = _choose(context, job, attempts)
        if endpoint is None or not attempts.may_start():
            break
        outcome = _attempt(context, job, attempts, endpoint)
        if isinstance(outcome, Err):
            attempts.note_failure(endpoint, outcome.err_value)
            continue
        attempts.note_run(endpoint)
        answered = outcome.ok_value
        if answered.status < 500 or not job.route.repeatable:
            return answered
    if answered is not None:
        return answered
    reason = "no endpoint" if endpoint is None else "no attempt left"
    return attempts.give_up(reason, RETRY_AFTER_S)


def _choose(context: Context, job: Job, attempts: Attempts) -> Endpoint | None:
    views = context.tables.views(
        job.service, lambda one, running, _: running / one.slots
    )
    ranked = rank_plain(views, context.random_float)
    fresh = exclude(ranked, attempts.tried)
    return fresh[0] if fresh else None


def _attempt(
    context: Context, job: Job, attempts: Attempts, endpoint: Endpoint
) -> Result[Reply, Failure]:
    wait_s = _first_wait_s(context, job, attempts)
    log_attempt(context, job, endpoint, wait_s=round(wait_s, 3))
    end = context.tables.begin(endpoint)
    started_s = context.clock()
    try:
        options = RunOptions(attempts.left_s(), wait_s, job.abort)
        ran = context.platform.endpoints.run(endpoint, job.call, options)
        if isinstance(ran, Err):
            return ran
        reply = _read_answer(attempts, ran.ok_value, _held_bytes(job))
    finally:
        end()
    if isinstance(reply, Ok):
        _judge(context, endpoint, ran.ok_value)
        taken_s = context.clock() - started_s
        context.registry.observe("plain_attempt", taken_s)
    return reply


def _first_wait_s(context: Context, job: Job, attempts: Attempts) -> float:
    left_s = attempts.left_s()
    views = context.tables.views(job.service, lambda *_: 0.0)
    others = len(views) - len(attempts.tried) - 1
    may_repeat = attempts.runs + 1 < job.route.max_attempts and others > 0
    if not job.route.repeatable or not may_repeat:
        return left_s
    return min(left_s, max(0.05, _PATIENCE_SHARE * job.route.objective_s))


def _judge(context: Context, endpoint: Endpoint, answer: Answer) -> None:
    if answer.status >= 500:
        weight = evidence.FAILED_ANSWER_WEIGHT
        context.tables.note_failure(endpoint, weight)
        context.registry.count("attempt", "failed_answer")
        return
    context.tables.note_success(endpoint)
    context.registry.count("attempt", "answered")


def _held_bytes(job: Job) -> int:
    # The events of a stream are passed on as they arrive.
    return 0 if job.route.kind is Kind.STREAM else _WHOLE_ANSWER_BYTES


def _read_answer(
    attempts: Attempts, answer: Answer, held_bytes: int
) -> Result[Reply, Failure]:
    parts = answer.iterate(attempts.left_s)
    held: list[bytes] = []
    size = 0
    try:
        for part in parts:
            held.append(part)
            size += len(part)
            if size > held_bytes:
                rest = _iterate_rest(parts)
                body = itertools.chain(held, rest)
                return Ok(
                    Reply(answer.status, answer.headers, body, answer.close)
                )
    except EndpointError as error:
        answer.close()
        return Err(error.failure)
    answer.close()
    return Ok(Reply(answer.status, _with_length(answer, size), held))


def _iterate_rest(parts: Iterator[bytes]) -> Iterator[bytes]:
    try:
        yield from parts
    except EndpointError as error:
        raise TruncatedError(error.failure.detail) from error


def _with_length(answer: Answer, size: int) -> tuple[tuple[str, str], ...]:
    kept = (
        item for item in answer.headers if item[0].lower() != "content-length"
    )
    return (*kept, ("Content-Length", str(size)))


__all__ = ["forward"]
