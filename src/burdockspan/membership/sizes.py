"""Encoded sizes in the thrift compact protocol, in bytes.

Piggybacked entries are chosen by their size before the message is encoded. The
sizes are upper bounds; they are exact unless fields with value 0 are omitted.
"""

from __future__ import annotations

from burdockspan.membership.values import (
    AgedReport,
    CrashRecord,
    LeavingStatus,
    Member,
    Message,
)

_FIELD_HEADER_BYTES = 1
_STOP_BYTES = 1
_BOOL_FIELD_BYTES = 1
# A SHA-256 digest of 32 bytes and its length.
_FINGERPRINT_BYTES = 33
_LIST_HEADER_BYTES = 4
_ROLE_FIELD_BYTES = 2
# Updates, reports, leaving statuses and crash records.
_ENTRY_LISTS = 4
_VERSION_AND_KIND_BYTES = 4


def size_of_member(member: Member) -> int:
    """Returns the size of a member update."""
    return (
        _string_bytes(member.vm)
        + _string_bytes(member.address)
        + _string_bytes(member.availability_zone)
        + _integer_bytes(member.incarnation)
        + _integer_bytes(member.state.value)
        + _integer_bytes(member.refutation)
        + _STOP_BYTES
    )


def size_of_report(report: AgedReport) -> int:
    """Returns the size of a load report."""
    return (
        _string_bytes(report.endpoint)
        + _string_bytes(report.boot)
        + _BOOL_FIELD_BYTES
        + _integer_bytes(report.pieces)
        + _integer_bytes(report.free_pieces)
        + _integer_bytes(report.running)
        + _integer_bytes(report.waiting)
        + _integer_bytes(report.age_ms)
        + (_ROLE_FIELD_BYTES if report.role is not None else 0)
        + _STOP_BYTES
    )


def size_of_leaving_status(status: LeavingStatus) -> int:
    """Returns the size of a leaving status."""
    return (
        _string_bytes(status.endpoint)
        + _integer_bytes(status.generation)
        + _BOOL_FIELD_BYTES
        + _STOP_BYTES
    )


def size_of_crash_record(crash_record: CrashRecord) -> int:
    """Returns the size of a crash record."""
    return (
        _FIELD_HEADER_BYTES
        + _FINGERPRINT_BYTES
        + _string_bytes(crash_record.key.endpoint)
        + _string_bytes(crash_record.key.boot)
        + _integer_bytes(crash_record.remaining_s)
        + _STOP_BYTES
    )


def size_of_header(message: Message) -> int:
    """Returns the size of a datagram without its piggybacked entries."""
    versions = message.versions
    return (
        _VERSION_AND_KIND_BYTES
        + _integer_bytes(message.sequence)
        + _FIELD_HEADER_BYTES
        + size_of_member(message.sender)
        + _string_bytes(message.region)
        + _integer_bytes(versions.configuration_generation)
        + _integer_bytes(versions.vm_list_version)
        + _string_bytes(message.target or "")
        + _string_bytes(message.target_address or "")
        + _ENTRY_LISTS * (_FIELD_HEADER_BYTES + _LIST_HEADER_BYTES)
        + _STOP_BYTES
    )


def _string_bytes(text: str) -> int:
    length = len(text) if text.isascii() else len(text.encode())
    return _FIELD_HEADER_BYTES + _varint_bytes(length) + length


def _integer_bytes(number: int) -> int:
    return _FIELD_HEADER_BYTES + _varint_bytes(
        number << 1 if number >= 0 else ~(number << 1)
    )


def _varint_bytes(number: int) -> int:
    return max(1, (number.bit_length() + 6) // 7)


__all__ = [
    "size_of_header",
    "size_of_leaving_status",
    "size_of_member",
    "size_of_report",
    "size_of_crash_record",
]
