"""Assembles the adapter to the platform."""

from __future__ import annotations

from result import Err, Ok, Result

from burdockspan.gateway.ports import Kinds, Platform, StoredObject
from burdockspan.gateway.values import Configuration, Replica
from burdockspan.platform import documents
from burdockspan.platform.ingress import decode_call
from burdockspan.platform.replicas import make_endpoints
from burdockspan.platform.store import make_store
from burdockspan.values.clock import Clock


def make_platform(store_address: str, clock: Clock) -> Platform:
    """Returns the adapter; nothing is sent before its first call."""
    return Platform(
        store=make_store(store_address, clock),
        endpoints=make_endpoints(clock),
        kinds=Kinds(documents.CONFIGURATION_KIND, documents.REPLICA_KIND),
        decode_call=decode_call,
        decode_configuration=_decode_configuration,
        decode_replica=_decode_replica,
    )


def _decode_configuration(held: StoredObject) -> Result[Configuration, str]:
    if held.name != documents.CONFIGURATION_NAME:
        return Err(f"object {held.name!r} holds no configuration")
    try:
        return Ok(documents.decode_configuration(held.value))
    except documents.MalformedError as error:
        return Err(str(error))


def _decode_replica(held: StoredObject) -> Result[Replica, str]:
    try:
        return Ok(documents.decode_replica(held.name, held.value))
    except documents.MalformedError as error:
        return Err(str(error))


__all__ = ["make_platform"]
