"""Injects the faults of a schedule into a running soak."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

from soak.accounts import replace_key
from soak.documents import Configuration, make_document
from soak.endpoints import CRASHING_PREFIX, Endpoint
from soak.history import ConfigurationWrite, Trouble
from soak.proxy import Direction
from soak.schedule import Action, Fault
from soak.vms import Vm
from soak.world import World

# A draining endpoint serves for this time, in which late requests are noticed.
_DRAIN_S = 4.0
# Time until a crashed endpoint is replaced, and until its entry is removed.
_CRASHED_S = 0.5
# Time until an engine that a prompt has crashed is back.
_RESTART_S = 1.5
_POLL_S = 0.05
_ALL_VMS = "*"


def write_configuration(world: World, configuration: Configuration) -> None:
    """Writes a configuration to the store."""
    world.store.put("config", "main", make_document(configuration))
    world.configuration = configuration
    write = ConfigurationWrite(
        configuration.version,
        world.history.now_s(),
        configuration.timeout_ms / 1000,
        configuration.idle_timeout_ms / 1000,
    )
    world.history.configurations.append(write)
    world.history.record_keys(configuration.accounts)


async def add_endpoint(
    world: World, service: str, stage: str | None, slowness: float = 1.0
) -> None:
    """Starts an endpoint and registers it."""
    endpoint = Endpoint(service, stage, world.history, world.links, slowness)
    await endpoint.start()
    world.endpoints.append(endpoint)
    world.store.put("servers", endpoint.id, endpoint.as_store_entry())


async def _add_successor(world: World, endpoint: Endpoint) -> None:
    service, stage = endpoint.service, endpoint.stage
    await add_endpoint(world, service, stage, endpoint.slowness)


async def inject(world: World, fault: Fault) -> None:
    """Carries out a fault; returns when it is over."""
    vm = world.vms[fault.target % len(world.vms)]
    if fault.action in _INJECT_BY_ACTION:
        await _INJECT_BY_ACTION[fault.action](world, fault)
    elif fault.action is Action.VM_HUP:
        vm.hang_up()
    elif fault.action is Action.VM_TERM:
        vm.terminate()
    elif fault.action is Action.VM_KILL:
        vm.kill()
    elif fault.action is Action.VM_FREEZE:
        await vm.freeze(fault.duration_s)
    else:
        await _disturb_link(world, vm, fault)


def _choose_endpoints(world: World, fault: Fault) -> list[Endpoint]:
    of_service = [e for e in world.endpoints if e.service == fault.service]
    first = fault.target % max(1, len(of_service))
    return (of_service[first:] + of_service[:first])[: fault.count]


async def _configure(world: World, fault: Fault) -> None:
    present = world.configuration
    configuration = dataclasses.replace(
        fault.configuration,
        version=present.version + fault.configuration.version,
        accounts=present.accounts,
    )
    write_configuration(world, configuration)


async def _replace_key(world: World, fault: Fault) -> None:
    """Takes a key away and adds another; a VM may not see it at once."""
    present = world.configuration
    configuration = dataclasses.replace(
        present,
        version=present.version + 1,
        accounts=replace_key(present.accounts, fault.count),
    )
    vm = world.vms[fault.target % len(world.vms)]
    with contextlib.ExitStack() as cut:
        if fault.is_store_link:
            cut.enter_context(world.history.window(Trouble.STORE, vm.name))
            cut.enter_context(vm.store_link.cutting(*Direction))
        write_configuration(world, configuration)
        await asyncio.sleep(fault.duration_s)


async def _slow_down(world: World, fault: Fault) -> None:
    for endpoint in _choose_endpoints(world, fault):
        endpoint.slowness *= 2


async def _disturb_link(world: World, vm: Vm, fault: Fault) -> None:
    link = vm.store_link if fault.is_store_link else vm.callers
    trouble = Trouble.STORE if fault.is_store_link else Trouble.CUT
    with world.history.window(trouble, vm.name):
        if fault.action is Action.LINK_RESET:
            link.reset_connections()
            return
        directions = fault.directions
        if fault.action is Action.LINK_SLOW:
            directions = ()
            link.is_slow = True
        with link.cutting(*directions):
            await asyncio.sleep(fault.duration_s)
        link.is_slow = False


async def _stop_store(world: World, fault: Fault) -> None:
    with world.history.window(Trouble.STORE, _ALL_VMS):
        world.store.status = 503
        await asyncio.sleep(fault.duration_s)
        world.store.status = None


async def _silence_store(world: World, fault: Fault) -> None:
    async def silence(vm: Vm) -> None:
        with vm.store_link.cutting(*Direction):
            await asyncio.sleep(fault.duration_s)

    with world.history.window(Trouble.STORE, _ALL_VMS):
        await asyncio.gather(*map(silence, world.vms))


async def _silence(world: World, fault: Fault) -> None:
    async def silence(endpoint: Endpoint) -> None:
        with world.history.window(Trouble.SILENT, fault.service):
            endpoint.fall_silent(fault.places, fault.duration_s)
            await asyncio.sleep(fault.duration_s)

    await asyncio.gather(*map(silence, _choose_endpoints(world, fault)))


async def _break(world: World, fault: Fault) -> None:
    """Makes endpoints reset connections, break off, or never end."""
    endpoints = _choose_endpoints(world, fault)
    with world.history.window(Trouble.BROKEN, fault.service):
        for endpoint in endpoints:
            endpoint.is_fast = fault.is_fast
            if fault.action is Action.ENDPOINT_ENDLESS:
                endpoint.endless = fault.endless
            elif fault.action is Action.ENDPOINT_BREAK_OFF:
                endpoint.breaks_off = fault.is_framed
            else:
                endpoint.resets = True
                endpoint.reset_connections()
        await asyncio.sleep(fault.duration_s)
        for endpoint in endpoints:
            endpoint.endless, endpoint.resets = None, False
            endpoint.breaks_off = None


async def _replace(world: World, fault: Fault) -> None:
    """Crashes endpoints, which start again under new IDs."""
    with world.history.window(Trouble.BROKEN, fault.service):
        for endpoint in _choose_endpoints(world, fault):
            if endpoint not in world.endpoints:
                # An overlapping fault has replaced it meanwhile.
                continue
            world.endpoints.remove(endpoint)
            endpoint.close()
            await asyncio.sleep(_CRASHED_S)
            await _add_successor(world, endpoint)
            await asyncio.sleep(_CRASHED_S)
            world.store.remove("servers", endpoint.id)


async def _crash_by_part(world: World, fault: Fault) -> None:
    """Lets callers send a part that crashes engines, which start again."""
    if world.crashing_part:
        return
    world.crashing_part = f"{CRASHING_PREFIX}{fault.target}"
    now_s = world.history.now_s
    end_s = now_s() + fault.duration_s
    replacements: list[asyncio.Task[None]] = []
    with world.history.window(Trouble.BROKEN, fault.service):
        # Requests that are on their way at the end may crash engines as well.
        while now_s() < end_s + _RESTART_S:
            if now_s() >= end_s:
                world.crashing_part = ""
            for endpoint in [e for e in world.endpoints if e.has_crashed]:
                world.endpoints.remove(endpoint)
                work = _start_again(world, endpoint)
                replacements.append(asyncio.ensure_future(work))
            await asyncio.sleep(_POLL_S)
        await asyncio.gather(*replacements)


async def _start_again(world: World, endpoint: Endpoint) -> None:
    await asyncio.sleep(_RESTART_S)
    await _add_successor(world, endpoint)
    world.store.remove("servers", endpoint.id)


async def _drain(world: World, fault: Fault) -> None:
    """Replaces endpoints after they have been marked as draining."""
    with world.history.window(Trouble.BROKEN, fault.service):
        for endpoint in _choose_endpoints(world, fault):
            if endpoint not in world.endpoints:
                # An overlapping fault has replaced it meanwhile.
                continue
            world.endpoints.remove(endpoint)
            await _add_successor(world, endpoint)
            entry = {**endpoint.as_store_entry(), "state": "draining"}
            world.store.put("servers", endpoint.id, entry)
            now_s = world.history.now_s()
            world.history.draining_s_by_endpoint[endpoint.id] = now_s
            await asyncio.sleep(_DRAIN_S)
            world.store.remove("servers", endpoint.id)
            endpoint.close()


async def _cut_off(world: World, fault: Fault) -> None:
    """Cuts VMs off from all endpoints; at least one keeps its links."""
    first = fault.target % len(world.vms)
    ordered = [*world.vms[first:], *world.vms[:first]]
    with contextlib.ExitStack() as cuts:
        for vm in ordered[: min(fault.count, len(ordered) - 1)]:
            cuts.enter_context(world.history.window(Trouble.CUT_OFF, vm.name))
            cuts.enter_context(
                world.links.cutting(vm.find_process_id, fault.way)
            )
        for endpoint in world.endpoints:
            endpoint.reset_cut_connections()
        await asyncio.sleep(fault.duration_s)


_INJECT_BY_ACTION: dict[Action, Callable[[World, Fault], Awaitable[None]]] = {
    Action.CONFIGURE: _configure,
    Action.STORE_DOWN: _stop_store,
    Action.STORE_SILENT: _silence_store,
    Action.ENDPOINT_SILENT: _silence,
    Action.ENDPOINT_ENDLESS: _break,
    Action.ENDPOINT_RESET: _break,
    Action.ENDPOINT_REPLACE: _replace,
    Action.ENDPOINT_DRAIN: _drain,
    Action.ENDPOINT_BREAK_OFF: _break,
    Action.PART_CRASHES: _crash_by_part,
    Action.VM_CUT_OFF: _cut_off,
    Action.KEY_REPLACE: _replace_key,
    Action.ENDPOINT_SLOW: _slow_down,
}

__all__ = ["add_endpoint", "inject", "write_configuration"]
