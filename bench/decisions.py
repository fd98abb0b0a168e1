"""Measures the time per decision function against the size of its input.

Run from the root of the repository: `PYTHONPATH=src python -m bench.decisions`.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable, Sequence

import click

from bench.workload import SERVICE
from burdockspan.admission import deadline, limits, queue
from burdockspan.placement import decode, memory, prefill, prefix, service
from burdockspan.resilience import breaker, quarantine, retries
from burdockspan.values.endpoint import Endpoint, EndpointView, Pool
from burdockspan.values.submission import CallKind, Priority, Submission

_SEED = 1
_ENDPOINT_COUNTS = (10, 30, 100, 300, 660)
_QUEUE_LENGTHS = (10, 30, 100, 300, 1000)
_ROUNDS = 5
_MIN_DURATION_S = 0.02

Decision = Callable[[], object]


def main() -> None:
    """Prints one line per decision."""
    by_endpoints = [_endpoint_decisions(count) for count in _ENDPOINT_COUNTS]
    by_waiting = [_queue_decisions(count) for count in _QUEUE_LENGTHS]
    click.echo("microseconds per decision, best of 5 rounds")
    _print_table("endpoints", _ENDPOINT_COUNTS, by_endpoints)
    _print_table("waiting", _QUEUE_LENGTHS, by_waiting)
    click.echo("independent of both")
    for name, decision in _constant_decisions().items():
        click.echo(f"  {name:<30}{_measure_us(decision):9.2f}")


def fit_exponent(sizes: Sequence[int], times_us: Sequence[float]) -> float:
    """Returns the exponent k of the fit time = c * size ** k."""
    xs = [math.log(size) for size in sizes]
    ys = [math.log(time_us) for time_us in times_us]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    cross_sum = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)
    )
    return cross_sum / sum((x - mean_x) ** 2 for x in xs)


def _print_table(
    heading: str, sizes: Sequence[int], decisions: Sequence[dict[str, Decision]]
) -> None:
    columns = "".join(f"{size:>9}" for size in sizes)
    click.echo(f"{heading:<32}{columns}  us/item  exponent")
    for name in decisions[0]:
        times = [_measure_us(by_name[name]) for by_name in decisions]
        per_item = (times[-1] - times[0]) / (sizes[-1] - sizes[0])
        cells = "".join(f"{value:9.1f}" for value in times)
        exponent = fit_exponent(sizes, times)
        click.echo(f"  {name:<30}{cells}{per_item:9.3f}{exponent:10.2f}")


def _measure_us(decision: Decision) -> float:
    best_s = math.inf
    for _ in range(_ROUNDS):
        count = 0
        start_s = time.perf_counter()
        while (elapsed_s := time.perf_counter() - start_s) < _MIN_DURATION_S:
            decision()
            count += 1
        best_s = min(best_s, elapsed_s / count)
    return best_s * 1e6


def _endpoint_decisions(count: int) -> dict[str, Decision]:
    rng = random.Random(_SEED)
    views = [_make_view(rng, number) for number in range(count)]
    index = prefix.make_prefix_index()
    blocks = tuple(range(16))
    for view in views:
        index.add_expected(view.endpoint.name, blocks[: rng.randrange(17)])
    names = [view.endpoint.name for view in views]
    tokens_per_s = SERVICE.prefill_tokens_per_s
    return {
        "decode.choose_decode": lambda: decode.choose_decode(
            views, 2, rng.random
        ),
        "prefill.with_short_queue": lambda: prefill.with_short_queue(
            views, tokens_per_s, 0.3, False
        ),
        "prefill.choose_prefill": lambda: prefill.choose_prefill(
            views, 3000, rng.random
        ),
        "service.choose_service": lambda: service.choose_service(
            views, rng.random
        ),
        "prefix.cached_tokens, all": lambda: [
            prefix.cached_tokens(index, name, blocks) for name in names
        ],
    }


def _queue_decisions(count: int) -> dict[str, Decision]:
    rng = random.Random(_SEED)
    waiting = {}
    for number in range(count):
        urgent = rng.random() < 0.5
        waiting_call = queue.WaitingCall(
            str(number),
            Priority.URGENT if urgent else Priority.PATIENT,
            rng.randint(1, 4),
            rng.random(),
            100.0,
            rng.uniform(1.0, 60.0),
        )
        waiting[waiting_call.request_id] = waiting_call
    shares = queue.PriorityShares()
    first = waiting["0"]
    forecast = deadline.Forecast(pieces_per_s=float(count) / 20)
    call = _make_submission()
    return {
        "queue.admit": lambda: queue.admit(waiting, call, forecast, 0.5),
        "queue.choose_next": lambda: queue.choose_next(waiting, shares, 0.5),
        "queue.grant": lambda: queue.record_grant(shares, first, waiting),
        "queue.shed": lambda: queue.shed(waiting, forecast, 0.5),
    }


def _constant_decisions() -> dict[str, Decision]:
    limit = limits.Limit(1e9, 1e9)
    bucket = limits.make_bucket(limit, 0.0)
    budget = retries.make_budget(0.1, 10)
    closed = breaker.BreakerState()
    crash_records = quarantine.add(
        quarantine.CrashRecords(), "f", ("e", "b"), 1.0
    )
    text = "word " * 3000
    reservations = [memory.Reservation("d", 1, 1.0) for _ in range(20)]
    return {
        "limits.spend": lambda: limits.spend(bucket, limit, 1.0),
        "retries.spend": lambda: retries.spend(budget, 1.0),
        "breaker.record": lambda: breaker.record(closed, True, 0.1, 1.0),
        "quarantine.judge": lambda: quarantine.decide(crash_records, "f", 0.5),
        "prefix.block_hashes, 15 kB": lambda: prefix.block_hashes(text),
        "memory.expected_free, 20 rows": lambda: memory.expected_free_pieces(
            20, None, reservations
        ),
    }


def _make_view(rng: random.Random, number: int) -> EndpointView:
    endpoint = Endpoint(f"e{number}", "", "s", Pool.DECODE, "z", 20, 4)
    return EndpointView(
        endpoint,
        free_pieces=rng.randint(0, 20),
        running=rng.randint(0, 4),
        waiting_tokens=rng.randint(0, 9000),
        distance_ms=rng.choice((0.1, 1.5)),
        cached_tokens=rng.choice((0, 0, 512)),
    )


def _make_submission() -> Submission:
    return Submission(
        "r",
        "c",
        CallKind.COMPLETION,
        "m",
        "/",
        Priority.PATIENT,
        0.0,
        60.0,
        1000,
        100,
    )


if __name__ == "__main__":
    main()

__all__ = ["fit_exponent", "main"]
