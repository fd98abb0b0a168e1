"""Client of the platform's object API."""

from __future__ import annotations

import dataclasses
import functools
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from burdockspan.object_api.calls import CallCounts, CallLimiter
from burdockspan.object_api.eras import EraTracker, combine_version
from burdockspan.object_api.exchange import (
    CallContext,
    TimeLimits,
    object_path,
    parse_response,
    quote_segment,
    send_once,
    send_read,
    send_write,
)
from burdockspan.object_api.objects import (
    PlatformError,
    VersionedObject,
    WatchBatch,
    parse_batch,
    parse_listing,
    parse_versioned,
)
from burdockspan.object_api.transport import Request, Transport
from burdockspan.object_api.vms import VmList, parse_vm_list
from burdockspan.object_api.weights import Weights, parse_weights
from burdockspan.values.clock import Clock
from burdockspan.values.randomness import RandomFloat


@dataclasses.dataclass(frozen=True)
class PlatformClient:
    """Functions of the object API; each may be called from any thread.

    Every call has a time limit and is counted. Reads are retried a few times.
    Writes are sent once; the result of a write without a response is
    UNCERTAIN.

    Attributes:
      get: reads an object by kind and name.
      create: writes an object that must not exist yet.
      update: replaces an object that must still have the given version.
      delete: removes an object that must still have the given version.
      list_objects: reads the objects of a kind whose names have a prefix.
      watch: waits for changes of objects of some kinds after a version, up to
        a number of seconds.
      list_vms: reads the VM list, whose version also rises across eras.
      get_weights: reads the weights of a version of a model.
      counts: returns the counts of the calls made so far.
      eras: the latest era of the store.
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
    eras: EraTracker


def make_platform_client(
    transport: Transport,
    limiter: CallLimiter,
    clock: Clock,
    random_float: RandomFloat,
    *,
    time_limits: TimeLimits | None = None,
    sleep: Callable[[float], None] = time.sleep,
) -> PlatformClient:
    """Returns a client.

    Args:
      transport: performs one HTTP exchange.
      limiter: counts and limits the calls.
      clock: monotonic seconds.
      random_float: jitter of retries.
      time_limits: time limits of the calls; the default ones if None.
      sleep: waits between retries of a read.
    """
    limits = time_limits or TimeLimits()
    context = CallContext(
        transport, limiter, clock, random_float, limits, sleep, EraTracker()
    )
    bind = functools.partial
    return PlatformClient(
        get=bind(_get, context),
        create=bind(_create, context),
        update=bind(_update, context),
        delete=bind(_delete, context),
        list_objects=bind(_list_objects, context),
        watch=bind(_watch, context),
        list_vms=bind(_list_vms, context),
        get_weights=bind(_get_weights, context),
        counts=limiter.counts,
        eras=context.eras,
    )


def _get(
    context: CallContext, kind: str, name: str
) -> Result[VersionedObject, PlatformError]:
    path = object_path(kind, name)
    return send_read(
        context, "get", kind, path, lambda v: parse_versioned(name, v)
    )


def _create(
    context: CallContext, kind: str, name: str, value: Any
) -> Result[VersionedObject, PlatformError]:
    condition = ("If-None-Match", "*")
    return send_write(context, "create", (kind, name), value, condition)


def _update(
    context: CallContext, kind: str, name: str, value: Any, version: int
) -> Result[VersionedObject, PlatformError]:
    condition = ("If-Match", str(version))
    return send_write(context, "update", (kind, name), value, condition)


def _delete(
    context: CallContext, kind: str, name: str, version: int
) -> Result[None, PlatformError]:
    condition = ("If-Match", str(version))
    path = object_path(kind, name)
    request = Request(
        "DELETE", path, context.time_limits.call_s, None, (condition,)
    )
    return send_once(context, "delete", kind, request).map(lambda _: None)


def _list_objects(
    context: CallContext, kind: str, prefix: str
) -> Result[tuple[VersionedObject, ...], PlatformError]:
    query = urllib.parse.urlencode({"prefix": prefix})
    path = f"/objects/{quote_segment(kind)}?{query}"
    return send_read(context, "list", kind, path, parse_listing)


def _watch(
    context: CallContext, kinds: tuple[str, ...], after: int, timeout_s: float
) -> Result[WatchBatch, PlatformError]:
    query = urllib.parse.urlencode(
        {"kinds": ",".join(kinds), "after": after, "timeout_s": timeout_s}
    )
    limit_s = timeout_s + context.time_limits.watch_margin_s
    request = Request("GET", f"/watch?{query}", limit_s)
    return parse_response(send_once(context, "watch", "", request), parse_batch)


def _list_vms(context: CallContext) -> Result[VmList, PlatformError]:
    era_before = context.eras.latest()
    listed = send_read(
        context, "vms", "", "/vms", lambda v: parse_vm_list(v).ok()
    )
    if isinstance(listed, Err):
        return listed
    era = context.eras.latest()
    if era_before is not None and era != era_before:
        # The list may be of either era.
        return Err(PlatformError.UNAVAILABLE)
    vm_list = listed.ok_value
    version = combine_version(era, vm_list.version)
    return Ok(dataclasses.replace(vm_list, version=version))


def _get_weights(
    context: CallContext, model: str, version: str
) -> Result[Weights, PlatformError]:
    path = f"/weights/{quote_segment(model)}/{quote_segment(version)}"
    response = send_once(
        context,
        "weights",
        "",
        Request("GET", path, context.time_limits.weights_s),
    )
    return parse_response(
        response, lambda v: parse_weights(model, version, v).ok()
    )


__all__ = ["PlatformClient", "TimeLimits", "make_platform_client"]
