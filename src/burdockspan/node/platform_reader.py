"""Reads configuration and VM list from the platform for the node.

Two VMs of each zone watch the configuration and read the VM list periodically.
The others receive changes from peers. In case no watcher of the region can
reach the platform, they also poll it: for a newer configuration every 3 s in a
zone of up to ten entry VMs and less often in a larger one, and for the VM list
every 30 s.
"""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.configuration import commit
from burdockspan.configuration.codec import decode_configuration
from burdockspan.node import messages
from burdockspan.object_api.client import PlatformClient
from burdockspan.object_api.objects import PlatformError, WatchBatch, WatchEvent
from burdockspan.object_api.watch import Watch, make_watch
from burdockspan.observe.logs import log_change, log_fault
from burdockspan.observe.threads import run_repeatedly
from burdockspan.values.randomness import RandomFloat

_MIN_VM_LIST_INTERVAL_S = 1.0
# The platform returns the whole list, about 140 bytes per VM. An interval in
# proportion to its length limits each watcher to 7 KB/s: 1 s up to 50 VMs, 20 s
# at 1,010. Health checks detect a leaving endpoint sooner.
_VM_LIST_INTERVAL_PER_VM_S = 0.02
_NON_WATCHER_READ_INTERVAL_S = 30.0
# The watchers of the region may be partitioned from the platform while this VM
# is not. Polls every 3 s let a change take effect everywhere within 6 s. Up to
# eight VMs of a zone beside its two watchers each poll at this interval. In a
# larger zone the VMs share the polls of eight: 350 VMs in 7 zones make 19
# reads/s, where an interval of 3 s for each VM would make 112.
_POLL_INTERVAL_S = 3.0
_FULL_RATE_VMS = 8
_IDLE_WAIT_S = 0.25
_CHECK_INTERVAL_S = 0.5

SendToNode = Callable[[object], object]


@dataclasses.dataclass(frozen=True)
class PlatformReader:
    """Threads that read the documents of the platform.

    Attributes:
      start: starts them.
      stop: ends them.
      read_once: reads configuration and VM list now and sends them to the
        node.
    """

    start: Callable[[], None]
    stop: Callable[[], None]
    read_once: Callable[[], None]


def make_platform_reader(
    client: PlatformClient,
    send_to_node: SendToNode,
    is_watcher: Callable[[], bool],
    count_zone_vms: Callable[[], int],
    random_float: RandomFloat,
) -> PlatformReader:
    """Returns a reader whose threads are not started.

    Args:
      client: client of the platform.
      send_to_node: sends a message to the node.
      is_watcher: whether this VM watches the platform for its zone.
      count_zone_vms: returns the live entry VMs of the zone.
      random_float: jitter, so that VMs do not send requests at the same time.
    """
    stopping = threading.Event()
    watch = make_watch(
        _make_poll(client, is_watcher, count_zone_vms, random_float, stopping),
        (commit.OBJECT_KIND,),
        lambda events: _deliver(events, send_to_node),
        random_float,
        latest_era=client.eras.latest,
    )
    reader = threading.Thread(
        target=lambda: run_repeatedly(
            lambda: _read_periodically(
                client, send_to_node, is_watcher, random_float, stopping
            ),
            "platform-reader",
            stopping,
        ),
        name="platform-reader",
        daemon=True,
    )

    def stop() -> None:
        stopping.set()
        watch.stop()

    return PlatformReader(
        start=lambda: _start(watch, reader),
        stop=stop,
        read_once=lambda: _read_once(client, send_to_node),
    )


def vm_list_interval_s(watching: bool, vm_count: int) -> float:
    """Returns the time between two reads of the VM list, in seconds.

    A VM that does not watch reads the configuration together with the list.

    Args:
      watching: whether this VM watches the platform for its zone.
      vm_count: VMs in the last list read; 0 if the last read failed.
    """
    if not watching:
        return _NON_WATCHER_READ_INTERVAL_S
    return max(_MIN_VM_LIST_INTERVAL_S, vm_count * _VM_LIST_INTERVAL_PER_VM_S)


def poll_interval_s(zone_vms: int) -> float:
    """Returns the interval of configuration polls by a VM that does not watch.

    Args:
      zone_vms: live entry VMs of its zone, two of which watch.
    """
    return _POLL_INTERVAL_S * max(1.0, (zone_vms - 2) / _FULL_RATE_VMS)


def initial_elapsed_s(random_float: RandomFloat) -> float:
    """Returns the time that a new process counts as elapsed since a read.

    It is random: processes that start together would otherwise read within the
    same second for as long as they run.
    """
    return random_float() * _NON_WATCHER_READ_INTERVAL_S


def _start(watch: Watch, reader: threading.Thread) -> None:
    watch.start()
    reader.start()


def _make_poll(
    client: PlatformClient,
    is_watcher: Callable[[], bool],
    count_zone_vms: Callable[[], int],
    random_float: RandomFloat,
    stopping: threading.Event,
) -> Callable[[tuple[str, ...], int, float], Result[WatchBatch, PlatformError]]:
    idle_s = 0.0

    def poll(
        kinds: tuple[str, ...], after: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        nonlocal idle_s
        if is_watcher():
            return client.watch(kinds, after, timeout_s)
        if idle_s < poll_interval_s(count_zone_vms()):
            pause_s = _IDLE_WAIT_S * (0.75 + random_float() / 2)
            stopping.wait(pause_s)
            idle_s += pause_s
            return Ok(WatchBatch(after))
        idle_s = 0.0
        return client.watch(kinds, after, 0.0)

    return poll


def _deliver(events: tuple[WatchEvent, ...], send_to_node: SendToNode) -> None:
    for event in events:
        if (
            event.kind == commit.OBJECT_KIND
            and event.name == commit.OBJECT_NAME
        ):
            _send_configuration(event.value, send_to_node)


def _send_configuration(value: object, send_to_node: SendToNode) -> None:
    decoded = decode_configuration(value)
    if isinstance(decoded, Err):
        log_fault(
            "platform holds an invalid configuration", problem=decoded.err_value
        )
        send_to_node(
            messages.ConfigurationReceived(messages.PLATFORM_SOURCE, None)
        )
        return
    send_to_node(
        messages.ConfigurationReceived(
            messages.PLATFORM_SOURCE, decoded.ok_value
        )
    )


def _read_once(client: PlatformClient, send_to_node: SendToNode) -> None:
    stored = client.get(commit.OBJECT_KIND, commit.OBJECT_NAME)
    if isinstance(stored, Ok):
        _send_configuration(stored.ok_value.value, send_to_node)
    else:
        failed = stored.err_value is not PlatformError.NOT_FOUND
        send_to_node(
            messages.ConfigurationReceived(
                messages.PLATFORM_SOURCE, None, failed=failed
            )
        )
    _read_vm_list(client, send_to_node)


def _read_vm_list(
    client: PlatformClient, send_to_node: SendToNode
) -> int | None:
    """Sends the VM list to the node; returns its length, None on failure."""
    listed = client.list_vms()
    if isinstance(listed, Err):
        return None
    send_to_node(messages.VmListReceived(listed.ok_value))
    return len(listed.ok_value.vms)


def _read_periodically(
    client: PlatformClient,
    send_to_node: SendToNode,
    is_watcher: Callable[[], bool],
    random_float: RandomFloat,
    stopping: threading.Event,
) -> None:
    was_reachable = True
    vm_count: int | None = 0
    elapsed_s = initial_elapsed_s(random_float)
    while not stopping.wait(_CHECK_INTERVAL_S * (0.75 + random_float() / 2)):
        elapsed_s += _CHECK_INTERVAL_S
        watching = is_watcher()
        if elapsed_s < vm_list_interval_s(watching, vm_count or 0):
            continue
        elapsed_s = 0.0
        if not watching:
            _read_once(client, send_to_node)
            continue
        vm_count = _read_vm_list(client, send_to_node)
        is_reachable = vm_count is not None
        if is_reachable != was_reachable:
            log_change("platform_reachable", reachable=is_reachable)
        was_reachable = is_reachable


__all__ = [
    "PlatformReader",
    "initial_elapsed_s",
    "make_platform_reader",
    "poll_interval_s",
    "vm_list_interval_s",
]
