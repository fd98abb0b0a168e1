"""The adapter to the platform."""

from __future__ import annotations

from result import Err, Ok, Result

from burdockspan.gateway.ports import (
    ObjectKinds,
    ObserveSignals,
    Platform,
    StoredObject,
)
from burdockspan.gateway.values import Configuration, Endpoint
from burdockspan.platform import documents
from burdockspan.platform.endpoint_client import make_endpoint_client
from burdockspan.platform.ingress import decode_call
from burdockspan.platform.relay_client import make_relay_client
from burdockspan.platform.store import make_store
from burdockspan.values.clock import Clock


def make_platform(
    store_address: str, clock: Clock, observe_signals: ObserveSignals
) -> Platform:
    """Returns the adapter; it does not connect yet.

    Args:
      store_address: `ip:port` of the object store.
      clock: monotonic clock, in seconds.
      observe_signals: receives the signals of each answer of an endpoint.
    """
    return Platform(
        store=make_store(store_address, clock),
        endpoints=make_endpoint_client(clock, observe_signals),
        relay=make_relay_client(clock),
        kinds=ObjectKinds(
            documents.CONFIGURATION_KIND, documents.ENDPOINT_KIND
        ),
        decode_call=decode_call,
        decode_configuration=_decode_configuration,
        decode_endpoint=_decode_endpoint,
    )


def _decode_configuration(stored: StoredObject) -> Result[Configuration, str]:
    if stored.name != documents.CONFIGURATION_NAME:
        return Err(f"object {stored.name!r} holds no configuration")
    try:
        return Ok(documents.decode_configuration(stored.value))
    except documents.MalformedError as error:
        return Err(str(error))


def _decode_endpoint(stored: StoredObject) -> Result[Endpoint, str]:
    try:
        return Ok(documents.decode_endpoint(stored.name, stored.value))
    except documents.MalformedError as error:
        return Err(str(error))


__all__ = ["make_platform"]
