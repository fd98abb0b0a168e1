"""Encoded sizes in the thrift compact protocol, in bytes.

The choice of what to piggyback needs the size of each entry before the message
is encoded. The sizes are upper bounds, exact but for omitted zero fields.
"""

from __future__ import annotations

from burdockspan.membership.values import (
    AgedReport,
    CrashRecord,
    LeavingStatus,
    Member,
    Message,
)

_FIELD = 1
_STOP = 1
_BOOL_FIELD = 1
_FINGERPRINT_BYTES = 33
_LIST_HEADER = 4
_ROLE_BYTES = 2
_LISTS = 4
_VERSION_AND_KIND = 4


def size_of_member(member: Member) -> int:
    """Returns the size of a member update."""
    return (
        _text(member.vm)
        + _text(member.address)
        + _text(member.availability_zone)
        + _integer(member.incarnation)
        + _integer(member.state.value)
        + _integer(member.refutation)
        + _STOP
    )


def size_of_report(report: AgedReport) -> int:
    """Returns the size of a load report."""
    return (
        _text(report.endpoint)
        + _text(report.boot)
        + _BOOL_FIELD
        + _integer(report.pieces)
        + _integer(report.free_pieces)
        + _integer(report.running)
        + _integer(report.waiting)
        + _integer(report.age_ms)
        + (_ROLE_BYTES if report.role is not None else 0)
        + _STOP
    )


def size_of_leaving_status(mark: LeavingStatus) -> int:
    """Returns the size of a leaving mark."""
    return _text(mark.endpoint) + _integer(mark.generation) + 1 + _STOP


def size_of_crash_record(crash_record: CrashRecord) -> int:
    """Returns the size of a strike."""
    return (
        _FIELD
        + _FINGERPRINT_BYTES
        + _text(crash_record.key.endpoint)
        + _text(crash_record.key.boot)
        + _integer(crash_record.remaining_s)
        + _STOP
    )


def size_of_header(message: Message) -> int:
    """Returns the size of a datagram without its piggybacked entries."""
    versions = message.versions
    return (
        _VERSION_AND_KIND
        + _integer(message.sequence)
        + _FIELD
        + size_of_member(message.sender)
        + _text(message.region)
        + _integer(versions.configuration_generation)
        + _integer(versions.vm_list_version)
        + _text(message.target or "")
        + _text(message.target_address or "")
        + _LISTS * (_FIELD + _LIST_HEADER)
        + _STOP
    )


def _text(text: str) -> int:
    length = len(text) if text.isascii() else len(text.encode())
    return _FIELD + _varint(length) + length


def _integer(number: int) -> int:
    return _FIELD + _varint(number << 1 if number >= 0 else ~(number << 1))


def _varint(number: int) -> int:
    return max(1, (number.bit_length() + 6) // 7)


__all__ = [
    "size_of_header",
    "size_of_leaving_status",
    "size_of_member",
    "size_of_report",
    "size_of_crash_record",
]
