"""Runs a soak: processes, callers, faults, and the checks at the end."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import random
import socket
from collections.abc import Coroutine
from typing import Any

from soak.callers import Caller, CallerContext
from soak.checkers import Violation, check
from soak.documents import Configuration
from soak.endpoints import make_endpoint_factory
from soak.history import History
from soak.injector import World, add_endpoint, inject, write_configuration
from soak.schedule import Fault, make_schedule
from soak.vms import Vm, VmPorts
from standins.object_store import ObjectStore

_CALLERS_PER_VM = 6
_FLEET = (
    *(("app", None),) * 3,
    *(("llm", "prefill"),) * 2,
    *(("llm", "decode"),) * 3,
)
_START_TIMEOUT_S = 30.0
# Longest time that a caller waits for the response to its last request.
_LAST_RESPONSES_S = 10.0
_POLL_S = 0.05
_LAG_CHECK_S = 0.02


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of a soak.

    Attributes:
      seed: seed of the faults and callers.
      seconds: duration of the faults.
      vms: number of gateway processes.
      folder: folder for settings and logs.
    """

    seed: int
    seconds: float
    vms: int
    folder: pathlib.Path


@dataclasses.dataclass(frozen=True)
class Result:
    """The result of a soak.

    Attributes:
      schedule: the injected faults.
      history: what was recorded.
      violations: broken promises.
      longest_lag_s: longest time for which the event loop was late. Times that
        callers saw include it.
    """

    schedule: tuple[Fault, ...]
    history: History
    violations: tuple[Violation, ...]
    longest_lag_s: float


async def run_soak(options: Options) -> Result:
    """Runs a soak; ends everything that it has started in any case."""
    schedule = make_schedule(options.seed, options.seconds)
    store = ObjectStore()
    history = History()
    world = World(
        history,
        store,
        _make_vms(options, store, history),
        [],
        make_endpoint_factory(history),
        Configuration(),
    )
    tasks: list[asyncio.Task[None]] = []
    try:
        violations, longest_lag_s = await _play(world, schedule, options, tasks)
    finally:
        for task in tasks:
            task.cancel()
        for vm in world.vms:
            vm.close()
        for endpoint in world.endpoints:
            endpoint.close()
        store.close()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The tasks of the connections end with their connections.
        await asyncio.sleep(_POLL_S)
    found = (*violations, *check(history))
    return Result(schedule, history, found, longest_lag_s)


async def _play(
    world: World,
    schedule: tuple[Fault, ...],
    options: Options,
    tasks: list[asyncio.Task[None]],
) -> tuple[list[Violation], float]:
    """Returns unexpected ends and the longest lag of the event loop."""

    def start(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        tasks.append(task)
        return task

    write_configuration(world, world.configuration)
    for service, stage in _FLEET:
        await add_endpoint(world, service, stage)
    for vm in world.vms:
        await vm.start_links()
        start(vm.run())
        start(vm.poll_readiness())
    async with asyncio.timeout(_START_TIMEOUT_S):
        while not all(vm.is_ready for vm in world.vms):
            await asyncio.sleep(_POLL_S)
    lags_s = [0.0]
    start(_measure_lag(lags_s))
    stopping = asyncio.Event()
    context = CallerContext(world.vms, world.history, stopping)
    callers = [
        start(caller) for caller in _make_callers(world, context, options.seed)
    ]
    begun_s = world.history.now_s()
    faults = []
    for fault in schedule:
        left_s = begun_s + fault.at_s - world.history.now_s()
        await asyncio.sleep(max(0.0, left_s))
        faults.append(start(inject(world, fault)))
    left_s = begun_s + options.seconds - world.history.now_s()
    await asyncio.sleep(max(0.0, left_s))
    stopping.set()
    await asyncio.wait(callers, timeout=_LAST_RESPONSES_S)
    await asyncio.wait(faults, timeout=_LAST_RESPONSES_S)
    _raise_failures([*callers, *faults])
    return (
        [
            Violation("EXIT", text)
            for vm in world.vms
            for text in vm.unexpected_exits
        ],
        max(lags_s),
    )


def _raise_failures(tasks: list[asyncio.Task[None]]) -> None:
    """Raises the failure of a task of the soak itself."""
    for task in tasks:
        if task.done():
            task.result()


def _make_callers(
    world: World, context: CallerContext, seed: int
) -> list[Coroutine[Any, Any, None]]:
    runs = []
    for vm in world.vms:
        for number in range(_CALLERS_PER_VM):
            rng = random.Random(f"{seed}/{vm.name}/{number}")
            runs.append(Caller(context, vm, rng).run())
        prober = Caller(context, vm, random.Random(seed))
        runs.append(prober.probe(lambda: world.configuration.version))
    return runs


def _make_vms(
    options: Options, store: ObjectStore, history: History
) -> list[Vm]:
    store_port = int(store.address.rpartition(":")[2])
    free_ports = _find_free_ports(4 * options.vms)
    return [
        Vm(
            f"vm-{number + 1}",
            VmPorts(*free_ports[4 * number : 4 * number + 4]),
            store_port,
            options.folder,
            history,
        )
        for number in range(options.vms)
    ]


def _find_free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(count)
        ]
        return [server_socket.getsockname()[1] for server_socket in sockets]


async def _measure_lag(lags_s: list[float]) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + _LAG_CHECK_S
        await asyncio.sleep(_LAG_CHECK_S)
        lags_s.append(loop.time() - due_s)


def make_report(options: Options, result: Result) -> str:
    """Returns a report as JSON text."""
    history = result.history
    actions = collections.Counter(f.action.value for f in result.schedule)
    outcomes = collections.Counter(
        f"{request.kind.value} {request.outcome.value} {request.status}"
        for request in history.requests
    )
    troubles = collections.Counter(w.trouble.value for w in history.windows)
    report = {
        "seed": options.seed,
        "seconds": options.seconds,
        "vms": options.vms,
        "faults": dict(sorted(actions.items())),
        "windows": dict(sorted(troubles.items())),
        "requests": dict(sorted(outcomes.items())),
        "runs": len(history.runs),
        "longest_lag_s": round(result.longest_lag_s, 3),
        "violations": [describe(violation) for violation in result.violations],
    }
    return json.dumps(report, indent=2)


def describe(violation: Violation) -> str:
    """Returns one line on a violation."""
    request = violation.request
    if request is None:
        return f"{violation.checker}: {violation.detail}"
    return (
        f"{violation.checker}: {violation.detail}; {request.id} at "
        f"{request.vm}.{request.incarnation}, sent {request.sent_s:.2f} s, "
        f"ended {request.ended_s:.2f} s, {request.outcome.value} "
        f"{request.status}"
    )


__all__ = ["Options", "Result", "describe", "make_report", "run_soak"]
