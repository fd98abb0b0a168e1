"""What a gateway process needs from the platform that it runs on."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Iterator
from typing import Any

from result import Result

from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.gateway.messages import RawRequest
from burdockspan.gateway.values import (
    Configuration,
    Endpoint,
    InboundCall,
    Stage,
)
from burdockspan.values.placement import Failure


@dataclasses.dataclass(frozen=True)
class EndpointResponse:
    """An endpoint's answer whose body is still to be read.

    Attributes:
      status: HTTP status.
      headers: headers to pass on, with Content-Length if there is one.
      iterate: yields the parts of the body as they arrive; raises
        `endpoints.failures.EndpointError` if the body breaks off. Its argument
        returns the longest wait for the next part, in seconds.
      close: ends the connection.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    iterate: Callable[[Callable[[], float]], Iterator[bytes]]
    close: Callable[[], None]

    @property
    def succeeded(self) -> bool:
        """Whether the endpoint did what was asked."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True)
class KvCache:
    """The KV cache of a prompt at a prefill engine.

    Attributes:
      endpoint: the engine.
      handle: names the cache there.
    """

    endpoint: Endpoint
    handle: str


@dataclasses.dataclass(frozen=True)
class AttemptOptions:
    """How one attempt runs.

    Attributes:
      remaining_s: time that the endpoint may take.
      head_timeout_s: longest wait for the head of the answer.
      cache: prompt that was read elsewhere.
      reservation: memory that was reserved at the endpoint.
      after_event: id of the event after which a stream is resumed.
      abort: ends the attempt from another thread.
    """

    remaining_s: float
    head_timeout_s: float
    abort: AbortHandle
    cache: KvCache | None = None
    reservation: str | None = None
    after_event: str | None = None


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """What a model engine last said of its load, some hundred ms old.

    Attributes:
      stage: part of a generation that it does.
      busy: whether it carries out an order.
      orders: orders that it has accepted since its start.
      waiting: requests that wait inside the engine.
      running: requests that run.
      used_tokens: memory that cannot be given up.
      total_tokens: memory in all.
    """

    stage: Stage | None
    busy: bool
    orders: int
    waiting: int
    running: int
    used_tokens: int
    total_tokens: int


@dataclasses.dataclass(frozen=True)
class EndpointClient:
    """Calls to endpoints; each takes a new connection.

    A `Failure` of kind NOT_CONNECTED or REFUSED says that the request did not
    run, and LEAVING that another endpoint has the address.

    Attributes:
      run: forwards a call.
      prefill: reads the prompt of a call and keeps its KV cache.
      reserve: reserves memory for some tokens, for a time in seconds.
      release_reservation: gives a reservation back.
      release_cache: frees a KV cache.
      fetch_load: asks for the load.
      order_stage: orders an engine to change its stage, given the holder, its
        fencing token, and the orders that the engine must have accepted.
      is_reachable: whether an endpoint accepts connections.
    """

    run: Callable[
        [Endpoint, InboundCall, AttemptOptions],
        Result[EndpointResponse, Failure],
    ]
    prefill: Callable[
        [Endpoint, InboundCall, AttemptOptions], Result[KvCache, Failure]
    ]
    reserve: Callable[[Endpoint, int, float], Result[str, Failure]]
    release_reservation: Callable[[Endpoint, str], None]
    release_cache: Callable[[KvCache], None]
    fetch_load: Callable[[Endpoint], Result[EngineLoad, Failure]]
    order_stage: Callable[
        [Endpoint, Stage, str, int, int], Result[None, Failure]
    ]
    is_reachable: Callable[[Endpoint], bool]


class StoreError(enum.Enum):
    """Why a call to the store gave no result.

    UNAVAILABLE: no usable answer.
    CONFLICT: the object exists, or has another revision.
    NOT_FOUND: there is no such object.
    COMPACTED: the history that a watch asked for is gone.
    LIMITED: the store turned the call away.
    MALFORMED: the answer cannot be understood.
    """

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    COMPACTED = "compacted"
    LIMITED = "limited"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object of the store.

    Attributes:
      name: unique within its kind.
      revision: the store's revision at its last change.
      value: contents.
      removed: whether a watch reports its removal.
    """

    name: str
    revision: int
    value: Any
    removed: bool = False


@dataclasses.dataclass(frozen=True)
class Listing:
    """Objects of one kind, or their changes.

    Attributes:
      objects: the objects, or what has changed.
      revision: revision to watch from.
    """

    objects: tuple[StoredObject, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class Store:
    """The platform's object store.

    Attributes:
      list_objects: lists a kind.
      watch: waits for changes of a kind after a revision, at most some
        seconds.
      create: creates an object of a kind and name.
      replace: replaces an object; a revision makes it conditional.
      remove: removes an object.
    """

    list_objects: Callable[[str], Result[Listing, StoreError]]
    watch: Callable[[str, int, float], Result[Listing, StoreError]]
    create: Callable[[str, str, Any], Result[StoredObject, StoreError]]
    replace: Callable[
        [str, str, Any, int | None], Result[StoredObject, StoreError]
    ]
    remove: Callable[[str, str], Result[None, StoreError]]


@dataclasses.dataclass(frozen=True)
class ObjectKinds:
    """Kinds of the objects that the platform and the operator write."""

    configuration: str
    endpoints: str


@dataclasses.dataclass(frozen=True)
class Platform:
    """An adapter to a platform.

    Attributes:
      store: its object store.
      endpoints: calls to its endpoints.
      kinds: kinds of its objects.
      decode_call: decodes a caller's request, or tells what is wrong with it.
      decode_configuration: decodes the newest configuration among the objects
        of its kind, or tells what is wrong.
      decode_endpoint: decodes an endpoint's entry, or tells what is wrong.
    """

    store: Store
    endpoints: EndpointClient
    kinds: ObjectKinds
    decode_call: Callable[[RawRequest], Result[InboundCall, str]]
    decode_configuration: Callable[[StoredObject], Result[Configuration, str]]
    decode_endpoint: Callable[[StoredObject], Result[Endpoint, str]]


__all__ = [
    "EndpointResponse",
    "KvCache",
    "EndpointClient",
    "ObjectKinds",
    "Listing",
    "EngineLoad",
    "Platform",
    "AttemptOptions",
    "Store",
    "StoreError",
    "StoredObject",
]
