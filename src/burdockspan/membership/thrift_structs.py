"""Conversion of the thrift structs that datagrams and snapshots have in common.

Functions that read a struct raise ValueError or a thrift exception if it is
malformed. The functions that call them return an `Err` instead.
"""

from __future__ import annotations

from burdockspan.gen.peer import ttypes
from burdockspan.membership.values import (
    CrashKey,
    CrashRecord,
    LeavingStatus,
    Member,
    MemberState,
)

_SHA256_BYTES = 32


def member_to_thrift(member: Member) -> ttypes.MemberUpdate:
    """Returns the struct of a member."""
    return ttypes.MemberUpdate(
        member.vm,
        member.address,
        member.availability_zone,
        member.incarnation,
        member.state.value,
        refutation=member.refutation or None,
    )


def member_from_thrift(struct: ttypes.MemberUpdate) -> Member:
    """Returns the member of a struct; raises if it is malformed."""
    struct.validate()
    return Member(
        require_string(struct.vm),
        require_string(struct.address),
        struct.availability_zone,
        require_natural(struct.incarnation),
        MemberState(struct.state),
        require_natural(struct.refutation or 0),
    )


def leaving_status_to_thrift(status: LeavingStatus) -> ttypes.LeavingMark:
    """Returns the struct of a leaving status."""
    return ttypes.LeavingMark(
        status.endpoint, status.generation, status.leaving
    )


def leaving_status_from_thrift(struct: ttypes.LeavingMark) -> LeavingStatus:
    """Returns the leaving status of a struct; raises if it is malformed."""
    struct.validate()
    return LeavingStatus(
        require_string(struct.endpoint),
        require_natural(struct.generation),
        bool(struct.leaving),
    )


def crash_record_to_thrift(crash_record: CrashRecord) -> ttypes.Strike:
    """Returns the struct of a crash record."""
    return ttypes.Strike(
        bytes.fromhex(crash_record.key.fingerprint),
        crash_record.key.endpoint,
        crash_record.key.boot,
        crash_record.remaining_s,
    )


def crash_record_from_thrift(struct: ttypes.Strike) -> CrashRecord:
    """Returns the crash record of a struct; raises if it is malformed."""
    struct.validate()
    if len(struct.fingerprint) != _SHA256_BYTES:
        raise ValueError("fingerprint is not a SHA-256 digest")
    key = CrashKey(
        struct.fingerprint.hex(), require_string(struct.endpoint), struct.boot
    )
    return CrashRecord(key, require_natural(struct.remaining_s))


def require_natural(number: int | None) -> int:
    """Returns the number; raises ValueError if it is absent or negative."""
    if number is None or number < 0:
        raise ValueError(f"number {number} is absent or negative")
    return number


def require_string(value: str | None) -> str:
    """Returns the string; raises ValueError if it is absent or empty."""
    if not value:
        raise ValueError("string is absent or empty")
    return value


__all__ = [
    "leaving_status_from_thrift",
    "leaving_status_to_thrift",
    "member_from_thrift",
    "member_to_thrift",
    "require_natural",
    "crash_record_from_thrift",
    "crash_record_to_thrift",
    "require_string",
]
