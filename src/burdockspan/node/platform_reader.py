"""Brings the platform's configuration and VM list to the node.

Two VMs of each zone hold the watch and read the VM list regularly. The others
hear of changes from peers. In case that no watcher of the region can reach the
platform, they ask it for a newer configuration every 3 s in a zone of up to ten
entry VMs and less often in a larger one, and for the VM list every 30 s.
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
from burdockspan.placement.sampling import RandomFloat

_WATCHER_VM_LIST_INTERVAL_S = 1.0
# The platform answers with the whole list, about 140 bytes for each VM. This
# keeps a watcher at 7 KB/s however long the list is: 1 s up to 50 VMs, 20 s at
# 1,010. Leaving endpoints are noticed sooner, by their health reports.
_INTERVAL_FOR_EACH_VM_S = 0.02
_OTHER_INTERVAL_S = 30.0
# The watchers of the region may be cut off from the platform while this VM is
# not. It asks for changes without waiting, so that a change can take effect
# everywhere within 6 s. In a larger zone the VMs share these reads: 350 VMs in
# 7 zones make 19 reads/s, where 3 s for each would cost 112.
_ASK_INTERVAL_S = 3.0
_ASKING_VMS_COUNT = 8
_IDLE_S = 0.25
_STARTING_INTERVAL_S = 0.5

Tell = Callable[[object], object]


@dataclasses.dataclass(frozen=True)
class PlatformReader:
    """Threads that follow the platform.

    Attributes:
      start: starts them.
      stop: ends them.
      read_once: reads configuration and VM list now, and tells the node.
    """

    start: Callable[[], None]
    stop: Callable[[], None]
    read_once: Callable[[], None]


def make_platform_reader(
    client: PlatformClient,
    tell: Tell,
    is_watcher: Callable[[], bool],
    count_zone_vms: Callable[[], int],
    random_float: RandomFloat,
) -> PlatformReader:
    """Returns a feed whose threads are not started.

    Args:
      client: client of the platform.
      tell: sends a message to the node.
      is_watcher: whether this VM watches the platform for its zone.
      count_zone_vms: returns the live entry VMs of the zone.
      random_float: jitter, so that a fleet does not ask at the same moment.
    """
    stopping = threading.Event()
    watch = make_watch(
        _make_poll(client, is_watcher, count_zone_vms, random_float, stopping),
        (commit.OBJECT_KIND,),
        lambda events: _deliver(events, tell),
        random_float,
    )
    reader = threading.Thread(
        target=_read_regularly,
        args=(client, tell, is_watcher, random_float, stopping),
        name="platform-reader",
        daemon=True,
    )

    def stop() -> None:
        stopping.set()
        watch.stop()

    return PlatformReader(
        start=lambda: _start(watch, reader),
        stop=stop,
        read_once=lambda: _read_once(client, tell),
    )


def read_interval_s(watching: bool, listed: int) -> float:
    """Returns the time between two reads of the platform, in seconds.

    Args:
      watching: whether this VM watches the platform for its zone.
      listed: VMs in the last list read; 0 if the last read failed.
    """
    if not watching:
        return _OTHER_INTERVAL_S
    return max(_WATCHER_VM_LIST_INTERVAL_S, listed * _INTERVAL_FOR_EACH_VM_S)


def poll_interval_s(zone_vms: int) -> float:
    """Returns the time between two questions of a VM that does not watch.

    Args:
      zone_vms: live entry VMs of its zone, two of which watch.
    """
    return _ASK_INTERVAL_S * max(1.0, (zone_vms - 2) / _ASKING_VMS_COUNT)


def initial_wait_s(random_float: RandomFloat) -> float:
    """Returns how long ago a fresh process acts as if it had last read.

    Processes that start together would otherwise read within the same second
    for as long as they run.
    """
    return random_float() * _OTHER_INTERVAL_S


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
            pause_s = _IDLE_S * (0.75 + random_float() / 2)
            stopping.wait(pause_s)
            idle_s += pause_s
            return Ok(WatchBatch(after))
        idle_s = 0.0
        return client.watch(kinds, after, 0.0)

    return poll


def _deliver(events: tuple[WatchEvent, ...], tell: Tell) -> None:
    for event in events:
        if (
            event.kind == commit.OBJECT_KIND
            and event.name == commit.OBJECT_NAME
        ):
            _tell_configuration(event.value, tell)


def _tell_configuration(value: object, tell: Tell) -> None:
    decoded = decode_configuration(value)
    if isinstance(decoded, Err):
        log_fault(
            "platform holds an invalid configuration", problem=decoded.err_value
        )
        tell(messages.ConfigurationReceived(messages.PLATFORM_SOURCE, None))
        return
    tell(
        messages.ConfigurationReceived(
            messages.PLATFORM_SOURCE, decoded.ok_value
        )
    )


def _read_once(client: PlatformClient, tell: Tell) -> None:
    found = client.get(commit.OBJECT_KIND, commit.OBJECT_NAME)
    if isinstance(found, Ok):
        _tell_configuration(found.ok_value.value, tell)
    else:
        failed = found.err_value is not PlatformError.NOT_FOUND
        tell(
            messages.ConfigurationReceived(
                messages.PLATFORM_SOURCE, None, failed=failed
            )
        )
    _read_vm_list(client, tell)


def _read_vm_list(client: PlatformClient, tell: Tell) -> int | None:
    """Returns how many VMs were listed, None if the read failed."""
    listed = client.list_vms()
    if isinstance(listed, Err):
        return None
    tell(messages.VmListReceived(listed.ok_value))
    return len(listed.ok_value.vms)


def _read_regularly(
    client: PlatformClient,
    tell: Tell,
    is_watcher: Callable[[], bool],
    random_float: RandomFloat,
    stopping: threading.Event,
) -> None:
    reachable = True
    listed: int | None = 0
    waited_s = initial_wait_s(random_float)
    while not stopping.wait(_STARTING_INTERVAL_S * (0.75 + random_float() / 2)):
        waited_s += _STARTING_INTERVAL_S
        watching = is_watcher()
        if waited_s < read_interval_s(watching, listed or 0):
            continue
        waited_s = 0.0
        if not watching:
            _read_once(client, tell)
            continue
        listed = _read_vm_list(client, tell)
        answered = listed is not None
        if answered != reachable:
            log_change("platform_reachable", reachable=answered)
        reachable = answered


__all__ = [
    "PlatformReader",
    "initial_wait_s",
    "make_platform_reader",
    "poll_interval_s",
    "read_interval_s",
]
