"""What callers and faults of a soak act on."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Sequence

from soak.documents import Configuration
from soak.endpoints import Endpoint
from soak.history import History
from soak.links import EndpointLinks
from soak.vms import Vm
from standins.object_store import ObjectStore


@dataclasses.dataclass
class World:
    """The parts of a running soak.

    Attributes:
      history: records what happens.
      store: the object store.
      vms: all VMs.
      links: their links to the endpoints.
      endpoints: endpoints that are registered, in the order of their start.
      configuration: newest configuration in the store.
      crashing_part: part of prompts that crashes engines; empty for none.
      request_numbers: numbers of the callers' requests.
      stopping: set when callers send no more requests.
    """

    history: History
    store: ObjectStore
    vms: Sequence[Vm]
    links: EndpointLinks = dataclasses.field(default_factory=EndpointLinks)
    endpoints: list[Endpoint] = dataclasses.field(default_factory=list)
    configuration: Configuration = dataclasses.field(
        default_factory=Configuration
    )
    crashing_part: str = ""
    request_numbers: itertools.count[int] = dataclasses.field(
        default_factory=itertools.count
    )
    stopping: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


__all__ = ["World"]
