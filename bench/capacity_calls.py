"""Processor time of claims, of polls of endpoints and of placements."""

from __future__ import annotations

import contextlib
import json
import pathlib
import random
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future

from result import Err, Ok, Result

from bench.node_cost import (
    ManualClock,
    TableSizes,
    make_settings,
    make_tables,
    refresh_reports,
)
from bench.slopes import processor_ms
from burdockspan.claims.record import ClaimState, ReceivedResponse
from burdockspan.claims.store import Claims, make_claims
from burdockspan.claims.write_retries import make_write_retries
from burdockspan.endpoints import engine, reports
from burdockspan.endpoints.connections import make_connections
from burdockspan.node import call_admission, effects, messages
from burdockspan.node.context import Context
from burdockspan.node.endpoint_table import EndpointRow
from burdockspan.object_api.calls import Budget, CallLimit, make_call_limiter
from burdockspan.object_api.client import make_platform_client
from burdockspan.object_api.transport import ExchangeFailure, Request, Response
from burdockspan.values.endpoint import Endpoint, Pool
from burdockspan.values.ids import AttemptId
from burdockspan.values.submission import CallKind, Priority, Submission

_ROOT = pathlib.Path(__file__).parents[1]
_WALL_S = 1.8e9
_RESPONSE_BYTES = 500
_RETENTION_S = 604_800.0
_UNLIMITED = CallLimit(1e9, 1e9)


class _InMemoryObjects:
    """In-memory object store that answers HTTP requests without sockets."""

    def __init__(self) -> None:
        self._stored: dict[str, tuple[int, object]] = {}
        self._version = 0

    def exchange(self, request: Request) -> Result[Response, ExchangeFailure]:
        """Returns the response of the platform to a conditional write."""
        if request.body is None:
            return Err(ExchangeFailure.NOT_SENT)
        current = self._stored.get(request.path)
        condition = dict(request.headers)
        expected_version = condition.get("If-Match")
        if (expected_version is None) != (current is None):
            return Ok(Response(412, b"{}"))
        if current is not None and expected_version != str(current[0]):
            return Ok(Response(412, b"{}"))
        self._version += 1
        value = json.loads(request.body)
        self._stored[request.path] = (self._version, value)
        response = {"version": self._version, "value": value}
        return Ok(Response(200, json.dumps(response).encode()))


def measure_claims(count: int) -> float:
    """Returns processor ms to make claims and to record their outcomes."""
    claims = _make_claims()
    response = ReceivedResponse(200, "application/json", b"x" * _RESPONSE_BYTES)

    def run() -> None:
        for number in range(count):
            holder = AttemptId("entry-1", 1, number)
            claim = claims.claim(
                "c", f"key-{number}", "d" * 64, holder
            ).unwrap()
            claims.record_outcome(claim, ClaimState.DONE, response).unwrap()

    return processor_ms(run)


def _make_claims() -> Claims:
    limits = {Budget.READ: _UNLIMITED, Budget.WRITE: _UNLIMITED}
    random_float = random.Random(1).random
    client = make_platform_client(
        _InMemoryObjects().exchange,
        make_call_limiter(time.monotonic, limits),
        time.monotonic,
        random_float,
    )
    write_retries = make_write_retries(time.monotonic, random_float)
    return make_claims(
        client, write_retries, lambda: _WALL_S, lambda: _RETENTION_S
    )


@contextlib.contextmanager
def running_engine() -> Iterator[Endpoint]:
    """Runs a decode engine stand-in until the context is left."""
    command = [sys.executable, "-m", "standins.engine", "--port", "0"]
    process = subprocess.Popen(
        [*command, "--pool", "decode", "--name", "d"],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        address = process.stdout.readline().split()[-1]
        yield Endpoint("d", address, "lm", Pool.DECODE, "zone", pieces=20)
    finally:
        process.kill()
        process.wait()
        if process.stdout is not None:
            process.stdout.close()


def make_poll_measure(endpoint: Endpoint, kind: str) -> Callable[[int], float]:
    """Returns a function that measures processor ms for a number of requests.

    Args:
      endpoint: a running engine.
      kind: `poll` for polls of health and load, `new` for the same with a new
        connection for each health poll, `attempts` for listings of attempts,
        or `cache` for reads of cache events.
    """
    connections = make_connections(time.monotonic, lambda: 1.0)

    def poll(fresh: bool) -> None:
        engine.check_health(connections, endpoint, fresh=fresh).unwrap()
        reports.fetch_load(connections, endpoint, time.monotonic).unwrap()

    actions: dict[str, Callable[[], object]] = {
        "poll": lambda: poll(False),
        "new": lambda: poll(True),
        "attempts": lambda: engine.list_attempts(
            connections, endpoint
        ).unwrap(),
        "cache": lambda: reports.fetch_cache_events(
            connections, endpoint, "", 0
        ).unwrap(),
    }

    def measure(count: int) -> float:
        return processor_ms(lambda: [actions[kind]() for _ in range(count)])

    return measure


def measure_placement(endpoints: int) -> float:
    """Returns processor ms of one submission that is placed immediately."""
    clock = ManualClock()
    context = Context(
        make_settings(), clock, lambda: _WALL_S, random.Random(1).random
    )
    tables = make_tables(TableSizes(endpoints=endpoints), context)
    spent_ms = 0.0
    count = 50
    for number in range(count):
        # New rows have no reservations. Otherwise the engines would be full
        # after some submissions.
        tables.endpoints_by_name = {
            name: EndpointRow(endpoint_row.endpoint)
            for name, endpoint_row in tables.endpoints_by_name.items()
        }
        refresh_reports(tables, clock(), 20)
        tables.buckets_by_client.clear()
        future: messages.PlacementFuture = Future()
        submission = Submission(
            f"r-{number}",
            "client-0",
            CallKind.COMPLETION,
            "m",
            "/v1/completions",
            Priority.PATIENT,
            clock(),
            clock() + 1e6,
            prompt_tokens=1000,
            max_tokens=100,
        )
        message = messages.Submit(submission, lambda: False, future)
        following: list[object] = []
        spent_ms += processor_ms(
            lambda message=message, following=following: following.extend(
                call_admission.submit(tables, message, context)
            )
        )
        if not any(
            isinstance(effect, effects.Answer) and effect.outcome.is_ok()
            for effect in following
        ):
            raise RuntimeError("a submission was not placed at once")
        clock.now_s += 0.01
    return spent_ms / count


__all__ = [
    "make_poll_measure",
    "measure_claims",
    "measure_placement",
    "running_engine",
]
