"""Client of the thrift `Peer` service of another entry VM."""

from __future__ import annotations

import dataclasses
import enum
import socket
import time
from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result
from thrift.Thrift import TException
from thrift.transport.TTransport import TTransportException

from burdockspan.gen.peer import Peer
from burdockspan.membership.transport import parse_address
from burdockspan.membership.values import Versions
from burdockspan.peering import snapshot as snapshots
from burdockspan.peering.channel import DeadlineSocket, make_protocol
from burdockspan.peering.snapshot import Snapshot

# Allows for a configuration and a VM list of up to 1 MB each, and the shared
# entries.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
CALL_TIMEOUT_S = 2.0

_T = TypeVar("_T")


class PeerFault(enum.Enum):
    """Why a call to a peer failed."""

    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed out"
    PROTOCOL = "protocol error"


@dataclasses.dataclass(frozen=True)
class PeerError:
    """Failure of a call to a peer.

    Attributes:
      fault: kind of failure.
      detail: human-readable explanation.
    """

    fault: PeerFault
    detail: str


@dataclasses.dataclass(frozen=True)
class PeerClient:
    """Calls to peers, from any thread; each uses a new connection.

    Attributes:
      fetch: fetches a snapshot from the peer at `ip:port`, with the documents
        that are newer than the given versions.
      offer: sends a configuration to the peer at `ip:port`, as a generation
        and a document in UTF-8 JSON; returns the peer's generation afterwards.
    """

    fetch: Callable[[str, Versions], Result[Snapshot, PeerError]]
    offer: Callable[[str, int, bytes], Result[int, PeerError]]


def make_peer_client(timeout_s: float = CALL_TIMEOUT_S) -> PeerClient:
    """Returns a client; each call takes at most `timeout_s` seconds."""

    def fetch(address: str, known: Versions) -> Result[Snapshot, PeerError]:
        struct = _call(
            address,
            timeout_s,
            lambda peer: peer.fetch(
                known.configuration_generation, known.vm_list_version
            ),
        )
        return struct.and_then(
            lambda value: snapshots.from_thrift(value).map_err(
                lambda detail: PeerError(PeerFault.PROTOCOL, detail)
            )
        )

    def offer(
        address: str, generation: int, configuration: bytes
    ) -> Result[int, PeerError]:
        return _call(
            address,
            timeout_s,
            lambda peer: int(peer.offer(generation, configuration)),
        )

    return PeerClient(fetch, offer)


def _call(
    address: str, timeout_s: float, run: Callable[[Peer.Client], _T]
) -> Result[_T, PeerError]:
    ip_and_port = parse_address(address)
    if ip_and_port is None:
        detail = f"{address!r} is not ip:port"
        return Err(PeerError(PeerFault.UNREACHABLE, detail))
    deadline_s = time.monotonic() + timeout_s
    try:
        connection = socket.create_connection(ip_and_port, timeout_s)
    except OSError as error:
        detail = f"cannot connect to {address}: {error}"
        return Err(PeerError(PeerFault.UNREACHABLE, detail))
    channel = DeadlineSocket(connection, deadline_s)
    try:
        return Ok(run(Peer.Client(make_protocol(channel, MAX_RESPONSE_BYTES))))
    except TTransportException as error:
        timed_out = error.type == TTransportException.TIMED_OUT
        fault = PeerFault.TIMED_OUT if timed_out else PeerFault.UNREACHABLE
        return Err(PeerError(fault, f"call to {address}: {error}"))
    except TException as error:
        detail = f"call to {address}: {error}"
        return Err(PeerError(PeerFault.PROTOCOL, detail))
    except Exception as error:  # The C decoder raises errors of several types.
        detail = f"call to {address}: {error!r}"
        return Err(PeerError(PeerFault.PROTOCOL, detail))
    finally:
        channel.close()


__all__ = [
    "CALL_TIMEOUT_S",
    "MAX_RESPONSE_BYTES",
    "PeerClient",
    "PeerError",
    "PeerFault",
    "make_peer_client",
]
