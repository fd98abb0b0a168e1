"""Client of the platform's object API."""

from __future__ import annotations

import dataclasses
import functools
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

from result import Result

from burdockspan.object_api.calls import CallCounts, CallLimiter
from burdockspan.object_api.exchange import (
    CallTimes,
    Sender,
    object_path,
    parsed,
    quoted,
    read,
    send,
    write,
)
from burdockspan.object_api.objects import (
    PlatformError,
    VersionedObject,
    WatchBatch,
    parse_batch,
    parse_listing,
    parse_versioned,
)
from burdockspan.object_api.retries import RandomFloat
from burdockspan.object_api.transport import Request, Transport
from burdockspan.object_api.vms import VmList, parse_vm_list
from burdockspan.object_api.weights import Weights, parse_weights
from burdockspan.values.clock import Clock


@dataclasses.dataclass(frozen=True)
class PlatformClient:
    """Functions of the object API; each may be called from any thread.

    Every call has a time limit and is counted. Reads are retried within a
    bound. Writes are sent once: a write without an answer is UNCERTAIN.

    Attributes:
      get: reads an object by kind and name.
      create: writes an object that must not exist yet.
      update: replaces an object that must still have the given version.
      delete: removes an object that must still have the given version.
      list_objects: reads the objects of a kind by prefix of their name.
      watch: waits for changes of some kinds after a version, for seconds.
      list_vms: reads the VM list.
      get_weights: reads the weights of a model's version.
      counts: returns the calls made so far.
    """

    get: Callable[[str, str], Result[VersionedObject, PlatformError]]
    create: Callable[[str, str, Any], Result[VersionedObject, PlatformError]]
    update: Callable[
        [str, str, Any, int], Result[VersionedObject, PlatformError]
    ]
    delete: Callable[[str, str, int], Result[None, PlatformError]]
    list_objects: Callable[
        [str, str], Result[tuple[VersionedObject, ...], PlatformError]
    ]
    watch: Callable[
        [tuple[str, ...], int, float], Result[WatchBatch, PlatformError]
    ]
    list_vms: Callable[[], Result[VmList, PlatformError]]
    get_weights: Callable[[str, str], Result[Weights, PlatformError]]
    counts: Callable[[], CallCounts]


def make_platform_client(
    transport: Transport,
    account: CallLimiter,
    clock: Clock,
    random_float: RandomFloat,
    *,
    times: CallTimes | None = None,
    sleep: Callable[[float], None] = time.sleep,
) -> PlatformClient:
    """Returns a client.

    Args:
      transport: performs one exchange.
      account: counts and bounds the calls.
      clock: monotonic seconds.
      random_float: jitter of retries.
      times: time limits.
      sleep: waits between retries of a read.
    """
    limits = times or CallTimes()
    sender = Sender(transport, account, clock, random_float, limits, sleep)
    bind = functools.partial
    return PlatformClient(
        get=bind(_get, sender),
        create=bind(_create, sender),
        update=bind(_update, sender),
        delete=bind(_delete, sender),
        list_objects=bind(_list_objects, sender),
        watch=bind(_watch, sender),
        list_vms=bind(_list_vms, sender),
        get_weights=bind(_get_weights, sender),
        counts=account.counts,
    )


def _get(
    sender: Sender, kind: str, name: str
) -> Result[VersionedObject, PlatformError]:
    path = object_path(kind, name)
    return read(sender, "get", kind, path, lambda v: parse_versioned(name, v))


def _create(
    sender: Sender, kind: str, name: str, value: Any
) -> Result[VersionedObject, PlatformError]:
    condition = ("If-None-Match", "*")
    return write(sender, "create", (kind, name), value, condition)


def _update(
    sender: Sender, kind: str, name: str, value: Any, version: int
) -> Result[VersionedObject, PlatformError]:
    condition = ("If-Match", str(version))
    return write(sender, "update", (kind, name), value, condition)


def _delete(
    sender: Sender, kind: str, name: str, version: int
) -> Result[None, PlatformError]:
    condition = ("If-Match", str(version))
    path = object_path(kind, name)
    call = Request("DELETE", path, sender.times.call_s, None, (condition,))
    return send(sender, "delete", kind, call).map(lambda _: None)


def _list_objects(
    sender: Sender, kind: str, prefix: str
) -> Result[tuple[VersionedObject, ...], PlatformError]:
    query = urllib.parse.urlencode({"prefix": prefix})
    path = f"/objects/{quoted(kind)}?{query}"
    return read(sender, "list", kind, path, parse_listing)


def _watch(
    sender: Sender, kinds: tuple[str, ...], after: int, timeout_s: float
) -> Result[WatchBatch, PlatformError]:
    query = urllib.parse.urlencode(
        {"kinds": ",".join(kinds), "after": after, "timeout_s": timeout_s}
    )
    limit_s = timeout_s + sender.times.watch_margin_s
    call = Request("GET", f"/watch?{query}", limit_s)
    return parsed(send(sender, "watch", "", call), parse_batch)


def _list_vms(sender: Sender) -> Result[VmList, PlatformError]:
    return read(sender, "vms", "", "/vms", lambda v: parse_vm_list(v).ok())


def _get_weights(
    sender: Sender, model: str, version: str
) -> Result[Weights, PlatformError]:
    path = f"/weights/{quoted(model)}/{quoted(version)}"
    answer = send(
        sender, "weights", "", Request("GET", path, sender.times.weights_s)
    )
    return parsed(answer, lambda v: parse_weights(model, version, v).ok())


__all__ = ["CallTimes", "PlatformClient", "make_platform_client"]
