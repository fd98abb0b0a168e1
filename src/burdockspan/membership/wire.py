"""Encodes and decodes datagrams in the thrift compact protocol."""

from __future__ import annotations

import dataclasses
import enum

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from burdockspan.gen.peer import constants, ttypes
from burdockspan.membership import thrift_structs
from burdockspan.membership.thrift_call_structs import (
    call_from_thrift,
    call_to_thrift,
)
from burdockspan.membership.values import (
    AgedReport,
    Message,
    MessageKind,
    Versions,
)
from burdockspan.values.endpoint import Pool

MAX_DATAGRAM_BYTES = 1_399
"""Fits into an Ethernet frame together with tunnel headers."""

# A valid datagram contains fewer entries than this, since each entry takes
# several bytes.
_MAX_ENTRIES = 400

_NUMBER_BY_ROLE = {
    Pool.PREFILL: ttypes.EngineRole.PREFILL,
    Pool.DECODE: ttypes.EngineRole.DECODE,
}
_ROLE_BY_NUMBER = {number: role for role, number in _NUMBER_BY_ROLE.items()}


class WireFault(enum.Enum):
    """Why a datagram could not be encoded or decoded."""

    OVERSIZE = "oversize"
    TRUNCATED = "truncated"
    VERSION = "unknown version"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True)
class WireError:
    """Failure to encode or decode a datagram.

    Attributes:
      fault: kind of failure.
      detail: human-readable explanation.
    """

    fault: WireFault
    detail: str


def encode(message: Message) -> Result[bytes, WireError]:
    """Returns the datagram of a message, or why it cannot be encoded."""
    buffer = TMemoryBuffer()
    try:
        _to_thrift(message).write(TCompactProtocolAccelerated(buffer))
    except Exception as error:  # The C encoder raises errors of several types.
        return Err(WireError(WireFault.MALFORMED, str(error)))
    data: bytes = buffer.getvalue()
    if len(data) > MAX_DATAGRAM_BYTES:
        detail = f"message takes {len(data)} bytes"
        return Err(WireError(WireFault.OVERSIZE, detail))
    return Ok(data)


def decode(data: bytes) -> Result[Message, WireError]:
    """Returns the message of a datagram; `data` may be any bytes."""
    if len(data) > MAX_DATAGRAM_BYTES:
        detail = f"datagram has {len(data)} bytes"
        return Err(WireError(WireFault.OVERSIZE, detail))
    datagram = ttypes.Datagram()
    buffer = TMemoryBuffer(data)
    protocol = TCompactProtocolAccelerated(
        buffer,
        string_length_limit=MAX_DATAGRAM_BYTES,
        container_length_limit=_MAX_ENTRIES,
    )
    try:
        datagram.read(protocol)
    except EOFError:
        return Err(WireError(WireFault.TRUNCATED, "datagram ends early"))
    except Exception as error:  # The C decoder raises errors of several types.
        return Err(WireError(WireFault.MALFORMED, str(error)))
    if datagram.protocol_version != constants.PROTOCOL_VERSION:
        detail = f"protocol version is {datagram.protocol_version}"
        return Err(WireError(WireFault.VERSION, detail))
    if buffer.read(1):
        detail = "bytes follow the datagram"
        return Err(WireError(WireFault.MALFORMED, detail))
    try:
        datagram.validate()
        return Ok(_from_thrift(datagram))
    except Exception as error:  # Thrift, value and type errors.
        return Err(WireError(WireFault.MALFORMED, str(error)))


def _to_thrift(message: Message) -> ttypes.Datagram:
    sender = thrift_structs.member_to_thrift(message.sender)
    sender.region = message.region
    return ttypes.Datagram(
        protocol_version=constants.PROTOCOL_VERSION,
        kind=message.kind.value,
        sequence=message.sequence,
        sender=sender,
        target=message.target,
        target_address=message.target_address,
        configuration_generation=message.versions.configuration_generation,
        vm_list_version=message.versions.vm_list_version,
        updates=[*map(thrift_structs.member_to_thrift, message.updates)]
        or None,
        reports=[*map(_report_to_thrift, message.reports)] or None,
        strikes=[
            *map(thrift_structs.crash_record_to_thrift, message.crash_records)
        ]
        or None,
        marks=[
            *map(
                thrift_structs.leaving_status_to_thrift,
                message.leaving_statuses,
            )
        ]
        or None,
        call=None if message.call is None else call_to_thrift(message.call),
    )


def _from_thrift(datagram: ttypes.Datagram) -> Message:
    return Message(
        kind=MessageKind(datagram.kind),
        sequence=thrift_structs.require_natural(datagram.sequence),
        sender=thrift_structs.member_from_thrift(datagram.sender),
        region=thrift_structs.require_string(datagram.sender.region),
        versions=Versions(
            thrift_structs.require_natural(datagram.configuration_generation),
            thrift_structs.require_natural(datagram.vm_list_version),
        ),
        target=datagram.target,
        target_address=datagram.target_address,
        updates=tuple(
            map(thrift_structs.member_from_thrift, datagram.updates or ())
        ),
        reports=tuple(map(_report_from_thrift, datagram.reports or ())),
        leaving_statuses=tuple(
            map(
                thrift_structs.leaving_status_from_thrift,
                datagram.marks or (),
            )
        ),
        crash_records=tuple(
            map(thrift_structs.crash_record_from_thrift, datagram.strikes or ())
        ),
        call=None if datagram.call is None else call_from_thrift(datagram.call),
    )


def _report_to_thrift(report: AgedReport) -> ttypes.EndpointReport:
    return ttypes.EndpointReport(
        report.endpoint,
        report.boot,
        report.leaving,
        report.pieces,
        report.free_pieces,
        report.running,
        report.waiting,
        report.age_ms,
        _NUMBER_BY_ROLE.get(report.role) if report.role else None,
    )


def _report_from_thrift(report: ttypes.EndpointReport) -> AgedReport:
    report.validate()
    return AgedReport(
        thrift_structs.require_string(report.endpoint),
        report.boot,
        bool(report.leaving),
        thrift_structs.require_natural(report.pieces),
        thrift_structs.require_natural(report.free_pieces),
        thrift_structs.require_natural(report.running),
        thrift_structs.require_natural(report.waiting),
        thrift_structs.require_natural(report.age_ms),
        # A role that a later version has added is treated as none.
        _ROLE_BY_NUMBER.get(report.role),
    )


__all__ = [
    "MAX_DATAGRAM_BYTES",
    "WireError",
    "WireFault",
    "decode",
    "encode",
]
