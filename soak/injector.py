"""Injects the faults of a schedule into a running soak."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

from soak.documents import Configuration, make_document
from soak.endpoints import Endpoint, MakeEndpoint
from soak.history import ConfigurationWrite, History, Trouble
from soak.proxy import Direction, Proxy
from soak.schedule import Action, Extent, Fault, LinkFault
from soak.vms import Vm
from standins.object_store import ObjectStore

# A draining endpoint serves for this time, in which late requests are noticed.
_DRAIN_S = 4.0
# Time until a crashed endpoint is replaced, and until its entry is removed.
_CRASHED_S = 0.5
_ALL_VMS = "*"
_DIRECTIONS_BY_FAULT = {
    LinkFault.CUT_TO_SERVER: (Direction.TO_SERVER,),
    LinkFault.CUT_TO_CLIENT: (Direction.TO_CLIENT,),
    LinkFault.SILENT: tuple(Direction),
}


@dataclasses.dataclass
class World:
    """Everything that faults act on.

    Attributes:
      history: records faults and what they change.
      store: the object store.
      vms: all VMs.
      endpoints: endpoints that are registered, in the order of their start.
      make_endpoint: makes an endpoint with a new ID.
      configuration: newest configuration in the store.
    """

    history: History
    store: ObjectStore
    vms: list[Vm]
    endpoints: list[Endpoint]
    make_endpoint: MakeEndpoint
    configuration: Configuration


def write_configuration(world: World, configuration: Configuration) -> None:
    """Writes a configuration to the store."""
    document = make_document(configuration)
    world.store.put("config", "main", document)
    now_s = world.history.now_s()
    world.configuration = configuration
    world.history.configurations.append(
        ConfigurationWrite(
            configuration.version,
            now_s,
            configuration.timeout_ms / 1000,
            configuration.idle_timeout_ms / 1000,
        )
    )


async def add_endpoint(world: World, service: str, stage: str | None) -> None:
    """Starts an endpoint and registers it."""
    endpoint = world.make_endpoint(service, stage)
    await endpoint.start()
    world.endpoints.append(endpoint)
    world.store.put("servers", endpoint.id, endpoint.as_store_entry())


async def inject(world: World, fault: Fault) -> None:
    """Carries out a fault; returns when it is over."""
    await _INJECT_BY_ACTION[fault.action](world, fault)


def _vm(world: World, fault: Fault) -> Vm:
    return world.vms[fault.target % len(world.vms)]


def _endpoints(world: World, fault: Fault) -> list[Endpoint]:
    """Returns the endpoints that a fault concerns."""
    all_endpoints = [
        endpoint
        for endpoint in world.endpoints
        if endpoint.service == fault.service
    ]
    count = {Extent.ONE: 1, Extent.SEVERAL: 2}.get(
        fault.extent, len(all_endpoints)
    )
    first = fault.target % max(1, len(all_endpoints))
    return (all_endpoints[first:] + all_endpoints[:first])[:count]


async def _configure(world: World, fault: Fault) -> None:
    if fault.configuration is not None:
        version = world.configuration.version + fault.configuration.version
        write_configuration(
            world, dataclasses.replace(fault.configuration, version=version)
        )


async def _hang_up(world: World, fault: Fault) -> None:
    _vm(world, fault).hang_up()


async def _terminate(world: World, fault: Fault) -> None:
    _vm(world, fault).terminate()


async def _kill(world: World, fault: Fault) -> None:
    _vm(world, fault).kill()


async def _freeze(world: World, fault: Fault) -> None:
    await _vm(world, fault).freeze(fault.duration_s)


async def _disturb_callers(world: World, fault: Fault) -> None:
    vm = _vm(world, fault)
    with world.history.window(Trouble.CUT, vm.name):
        await _disturb_link(vm.callers, fault)


async def _disturb_store_link(world: World, fault: Fault) -> None:
    vm = _vm(world, fault)
    with world.history.window(Trouble.STORE, vm.name):
        await _disturb_link(vm.store_link, fault)


async def _disturb_link(proxy: Proxy, fault: Fault) -> None:
    if fault.link is LinkFault.RESET:
        proxy.reset_connections()
    elif fault.link is LinkFault.SLOW:
        proxy.is_slow = True
        await asyncio.sleep(fault.duration_s)
        proxy.is_slow = False
    elif fault.link is not None:
        async with proxy.cutting(*_DIRECTIONS_BY_FAULT[fault.link]):
            await asyncio.sleep(fault.duration_s)


async def _stop_store(world: World, fault: Fault) -> None:
    with world.history.window(Trouble.STORE, _ALL_VMS):
        world.store.status = 503
        await asyncio.sleep(fault.duration_s)
        world.store.status = None


async def _silence_store(world: World, fault: Fault) -> None:
    with world.history.window(Trouble.STORE, _ALL_VMS):
        async with contextlib.AsyncExitStack() as stack:
            for vm in world.vms:
                cut = vm.store_link.cutting(*Direction)
                await stack.enter_async_context(cut)
            await asyncio.sleep(fault.duration_s)


async def _silence(world: World, fault: Fault) -> None:
    until_s = world.history.now_s() + fault.duration_s
    with contextlib.ExitStack() as stack:
        for endpoint in _endpoints(world, fault):
            stack.enter_context(
                world.history.window(Trouble.SILENT, fault.service)
            )
            for place in fault.places:
                # Silences of one endpoint that overlap end together, so that
                # none is longer than the first.
                endpoint.faults.silent_until_s_by_place.setdefault(
                    place, until_s
                )
        await asyncio.sleep(fault.duration_s)
    for endpoint in world.endpoints:
        ended = {
            place
            for place, end_s in endpoint.faults.silent_until_s_by_place.items()
            if end_s <= until_s
        }
        for place in ended:
            del endpoint.faults.silent_until_s_by_place[place]


async def _send_endless(world: World, fault: Fault) -> None:
    endpoints = _endpoints(world, fault)
    with world.history.window(Trouble.BROKEN, fault.service):
        for endpoint in endpoints:
            endpoint.faults.endless = fault.endless
            endpoint.faults.is_fast = fault.is_fast
        await asyncio.sleep(fault.duration_s)
        for endpoint in endpoints:
            endpoint.faults.endless = None


async def _reset(world: World, fault: Fault) -> None:
    endpoints = _endpoints(world, fault)
    with world.history.window(Trouble.BROKEN, fault.service):
        for endpoint in endpoints:
            endpoint.faults.resets = True
            endpoint.reset_connections()
        await asyncio.sleep(fault.duration_s)
        for endpoint in endpoints:
            endpoint.faults.resets = False


async def _replace(world: World, fault: Fault) -> None:
    """Crashes endpoints, which start again under new IDs."""
    with world.history.window(Trouble.BROKEN, fault.service):
        for endpoint in _endpoints(world, fault):
            world.endpoints.remove(endpoint)
            endpoint.close()
            await asyncio.sleep(_CRASHED_S)
            await add_endpoint(world, endpoint.service, endpoint.stage)
            await asyncio.sleep(_CRASHED_S)
            world.store.remove("servers", endpoint.id)


async def _drain(world: World, fault: Fault) -> None:
    """Replaces endpoints after they have been marked as draining."""
    with world.history.window(Trouble.BROKEN, fault.service):
        for endpoint in _endpoints(world, fault):
            world.endpoints.remove(endpoint)
            await add_endpoint(world, endpoint.service, endpoint.stage)
            entry = endpoint.as_store_entry("draining")
            world.store.put("servers", endpoint.id, entry)
            now_s = world.history.now_s()
            world.history.draining_s_by_endpoint[endpoint.id] = now_s
            await asyncio.sleep(_DRAIN_S)
            world.store.remove("servers", endpoint.id)
            endpoint.close()


_INJECT_BY_ACTION: dict[Action, Callable[[World, Fault], Awaitable[None]]] = {
    Action.CONFIGURE: _configure,
    Action.VM_HUP: _hang_up,
    Action.VM_TERM: _terminate,
    Action.VM_KILL: _kill,
    Action.VM_FREEZE: _freeze,
    Action.LINK_CALLERS: _disturb_callers,
    Action.LINK_STORE: _disturb_store_link,
    Action.STORE_DOWN: _stop_store,
    Action.STORE_SILENT: _silence_store,
    Action.ENDPOINT_SILENT: _silence,
    Action.ENDPOINT_ENDLESS: _send_endless,
    Action.ENDPOINT_RESET: _reset,
    Action.ENDPOINT_REPLACE: _replace,
    Action.ENDPOINT_DRAIN: _drain,
}

__all__ = ["World", "add_endpoint", "inject", "write_configuration"]
