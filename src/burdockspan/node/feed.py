"""Brings the platform's configuration and VM list to the node.

Two VMs of each zone hold the watch and read the VM list regularly. The
others hear of changes from peers, and ask the platform only rarely, in case
that no watcher of the region can reach it.
"""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.configuration import commit
from burdockspan.configuration.codec import decode_configuration
from burdockspan.node import messages
from burdockspan.observe.logs import log_change, log_fault
from burdockspan.placement.sampling import Draw
from burdockspan.platform.client import PlatformClient
from burdockspan.platform.objects import PlatformError, WatchBatch, WatchEvent
from burdockspan.platform.watch import Watch, make_watch

_WATCHER_VM_LIST_INTERVAL_S = 1.0
# The platform answers with the whole list, about 140 bytes for each VM. This
# keeps a watcher at 7 KB/s however long the list is: 1 s up to 50 VMs, 20 s at
# 1,010. Leaving endpoints are noticed sooner, by their health reports.
_INTERVAL_FOR_EACH_VM_S = 0.02
_OTHER_INTERVAL_S = 30.0
_IDLE_S = 0.5
_STARTING_INTERVAL_S = 0.5

Tell = Callable[[object], None]


@dataclasses.dataclass(frozen=True)
class Feed:
    """Threads that follow the platform.

    Attributes:
      start: starts them.
      stop: ends them.
      read_once: reads configuration and VM list now, and tells the node.
    """

    start: Callable[[], None]
    stop: Callable[[], None]
    read_once: Callable[[], None]


def make_feed(
    client: PlatformClient,
    tell: Tell,
    is_watcher: Callable[[], bool],
    draw: Draw,
) -> Feed:
    """Returns a feed whose threads are not started.

    Args:
      client: client of the platform.
      tell: sends a message to the node.
      is_watcher: whether this VM watches the platform for its zone.
      draw: jitter, so that a fleet does not ask at the same moment.
    """
    stopping = threading.Event()
    watch = make_watch(
        _make_poll(client, is_watcher, stopping),
        (commit.KIND,),
        lambda events: _deliver(events, tell),
        draw,
    )
    reader = threading.Thread(
        target=_read_regularly,
        args=(client, tell, is_watcher, draw, stopping),
        name="platform-reader",
        daemon=True,
    )

    def stop() -> None:
        stopping.set()
        watch.stop()

    return Feed(
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


def first_wait_s(draw: Draw) -> float:
    """Returns how long ago a fresh process acts as if it had last read.

    Processes that start together would otherwise read within the same second
    for as long as they run.
    """
    return draw() * _OTHER_INTERVAL_S


def _start(watch: Watch, reader: threading.Thread) -> None:
    watch.start()
    reader.start()


def _make_poll(
    client: PlatformClient,
    is_watcher: Callable[[], bool],
    stopping: threading.Event,
) -> Callable[[tuple[str, ...], int, float], Result[WatchBatch, PlatformError]]:
    def poll(
        kinds: tuple[str, ...], after: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        if is_watcher():
            return client.watch(kinds, after, timeout_s)
        stopping.wait(_IDLE_S)
        return Ok(WatchBatch(after))

    return poll


def _deliver(events: tuple[WatchEvent, ...], tell: Tell) -> None:
    for event in events:
        if event.kind == commit.KIND and event.name == commit.NAME:
            _tell_configuration(event.value, tell)


def _tell_configuration(value: object, tell: Tell) -> None:
    decoded = decode_configuration(value)
    if isinstance(decoded, Err):
        log_fault(
            "platform holds an invalid configuration", problem=decoded.err_value
        )
        tell(messages.ConfigurationSeen(messages.PLATFORM_SOURCE, None))
        return
    tell(messages.ConfigurationSeen(messages.PLATFORM_SOURCE, decoded.ok_value))


def _read_once(client: PlatformClient, tell: Tell) -> None:
    found = client.get(commit.KIND, commit.NAME)
    if isinstance(found, Ok):
        _tell_configuration(found.ok_value.value, tell)
    else:
        failed = found.err_value is not PlatformError.NOT_FOUND
        tell(
            messages.ConfigurationSeen(
                messages.PLATFORM_SOURCE, None, failed=failed
            )
        )
    _read_vm_list(client, tell)


def _read_vm_list(client: PlatformClient, tell: Tell) -> int | None:
    """Returns how many VMs were listed, None if the read failed."""
    listed = client.list_vms()
    if isinstance(listed, Err):
        return None
    tell(messages.VmListSeen(listed.ok_value))
    return len(listed.ok_value.vms)


def _read_regularly(
    client: PlatformClient,
    tell: Tell,
    is_watcher: Callable[[], bool],
    draw: Draw,
    stopping: threading.Event,
) -> None:
    reachable = True
    listed: int | None = 0
    waited_s = first_wait_s(draw)
    while not stopping.wait(_STARTING_INTERVAL_S * (0.75 + draw() / 2)):
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


__all__ = ["Feed", "first_wait_s", "make_feed", "read_interval_s"]
