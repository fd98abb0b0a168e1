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
from collections.abc import Coroutine, Iterator
from typing import Any

from soak.accounts import ACCOUNTS
from soak.callers import Caller
from soak.checkers import Violation, check
from soak.documents import Configuration
from soak.history import History
from soak.injector import add_endpoint, inject, write_configuration
from soak.schedule import Fault, make_schedule
from soak.vms import PORTS_PER_VM, Vm
from soak.world import World
from standins.object_store import ObjectStore

_CALLERS_PER_VM = 6
_FLEET = (
    *(("app", None),) * 3,
    *(("llm", "prefill"),) * 2,
    *(("llm", "decode"),) * 3,
)
# Every so many endpoints, one is slow.
_SLOW_EACH = 3
_SLOWNESS = 1.6
_START_TIMEOUT_S = 30.0
# Longest time that a caller waits for the response to its last request.
_LAST_RESPONSES_S = 10.0
_POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of a soak.

    Attributes:
      seed: seed of the faults and callers.
      seconds: duration of the faults.
      vms: number of gateway processes.
      folder: folder for settings and logs.
      with_streams: whether streams are also broken off, and prompts crash
        engines.
      with_cuts: whether VMs are also cut off from all endpoints.
      with_accounts: whether callers present keys of client accounts.
      with_speeds: whether endpoints differ in speed.
    """

    seed: int
    seconds: float
    vms: int
    folder: pathlib.Path
    with_streams: bool = False
    with_cuts: bool = False
    with_accounts: bool = False
    with_speeds: bool = False


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
    schedule = make_schedule(
        options.seed,
        options.seconds,
        options.with_streams,
        options.with_cuts,
        options.with_accounts,
        options.with_speeds,
    )
    store, history = ObjectStore(), History()
    ports = contextlib.ExitStack()
    vms = _make_vms(options, store, history, ports)
    world = World(history, store, vms)
    if options.with_accounts:
        world.configuration = Configuration(accounts=ACCOUNTS)
    if options.with_cuts:
        world.links.processes += [vm.find_process_id for vm in vms]
    tasks: list[asyncio.Task[None]] = []
    lags_s = [0.0]
    try:
        tasks.append(asyncio.ensure_future(_measure_lag(lags_s)))
        await _listen(world, options.with_speeds)
        # Links and endpoints have other ports than the processes.
        ports.close()
        await _play(world, schedule, options, tasks)
    finally:
        ports.close()
        for task in tasks:
            task.cancel()
        for vm in vms:
            vm.close()
        for endpoint in world.endpoints:
            endpoint.close()
        store.close()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The tasks of the connections end with their connections.
        await asyncio.sleep(_POLL_S)
    exits = [Violation("EXIT", e) for vm in vms for e in vm.unexpected_exits]
    found = (*exits, *check(history))
    return Result(schedule, history, found, max(lags_s))


async def _listen(world: World, with_speeds: bool) -> None:
    """Starts the endpoints, and the links of the VMs."""
    for number, (service, stage) in enumerate(_FLEET):
        is_slow = with_speeds and number % _SLOW_EACH == 0
        slowness = _SLOWNESS if is_slow else 1.0
        await add_endpoint(world, service, stage, slowness)
    for vm in world.vms:
        await vm.start_links()


async def _play(
    world: World,
    schedule: tuple[Fault, ...],
    options: Options,
    tasks: list[asyncio.Task[None]],
) -> None:
    """Plays a schedule; adds the tasks that it starts to `tasks`."""

    def start(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        tasks.append(asyncio.ensure_future(work))
        return tasks[-1]

    write_configuration(world, world.configuration)
    for vm in world.vms:
        start(vm.run())
        start(vm.poll_readiness())
    async with asyncio.timeout(_START_TIMEOUT_S):
        while not all(vm.is_ready for vm in world.vms):
            await asyncio.sleep(_POLL_S)
    works = [*map(start, _make_callers(world, options.seed))]
    begun_s = world.history.now_s()

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(max(0.0, begun_s + at_s - world.history.now_s()))

    for fault in schedule:
        await wait_until(fault.at_s)
        works.append(start(inject(world, fault)))
    await wait_until(options.seconds)
    world.stopping.set()
    async with asyncio.timeout(_LAST_RESPONSES_S):
        await asyncio.gather(*works)


def _make_callers(
    world: World, seed: int
) -> Iterator[Coroutine[Any, Any, None]]:
    for vm in world.vms:
        for number in range(_CALLERS_PER_VM):
            rng = random.Random(f"{seed}/{vm.name}/{number}")
            yield Caller(world, vm, rng).run()
        yield Caller(world, vm, random.Random(seed)).probe()


def _make_vms(
    options: Options,
    store: ObjectStore,
    history: History,
    reserved: contextlib.ExitStack,
) -> list[Vm]:
    """Returns the VMs; their ports are taken until `reserved` is closed."""
    store_port = int(store.address.rpartition(":")[2])
    sockets = [
        reserved.enter_context(socket.create_server(("127.0.0.1", 0)))
        for _ in range(PORTS_PER_VM * options.vms)
    ]
    ports = iter([sock.getsockname()[1] for sock in sockets])
    return [
        Vm(
            f"vm-{number + 1}",
            [next(ports) for _ in range(PORTS_PER_VM)],
            store_port,
            options.folder,
            history,
            options.with_accounts,
        )
        for number in range(options.vms)
    ]


async def _measure_lag(lags_s: list[float]) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + _POLL_S
        await asyncio.sleep(_POLL_S)
        lags_s.append(loop.time() - due_s)


def make_report(options: Options, result: Result) -> str:
    """Returns a report as JSON text."""
    history = result.history
    outcomes = (
        f"{request.kind.value} {request.outcome.value} {request.status}"
        for request in history.requests
    )
    report = {
        "seed": options.seed,
        "seconds": options.seconds,
        "vms": options.vms,
        "faults": _count(fault.action.value for fault in result.schedule),
        "requests": _count(outcomes),
        "runs": len(history.runs),
        "part_crashes": len(history.part_crashes),
        "longest_lag_s": round(result.longest_lag_s, 3),
        "violations": [*map(str, result.violations)],
    }
    if options.with_speeds:
        report["runs_by_speed"] = _count(
            f"{run.endpoint} {run.slowness}" for run in history.runs
        )
    return json.dumps(report, indent=2)


def _count(names: Iterator[str]) -> dict[str, int]:
    return dict(sorted(collections.Counter(names).items()))


__all__ = ["Options", "Result", "make_report", "run_soak"]
