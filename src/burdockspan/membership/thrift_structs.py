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


def member_from_thrift(update: ttypes.MemberUpdate) -> Member:
    """Returns the member of a struct; raises if it is malformed."""
    update.validate()
    return Member(
        require_string(update.vm),
        require_string(update.address),
        update.availability_zone,
        require_natural(update.incarnation),
        MemberState(update.state),
        require_natural(update.refutation or 0),
    )


def leaving_status_to_thrift(status: LeavingStatus) -> ttypes.LeavingMark:
    """Returns the struct of a leaving status."""
    return ttypes.LeavingMark(
        status.endpoint, status.generation, status.leaving
    )


def leaving_status_from_thrift(mark: ttypes.LeavingMark) -> LeavingStatus:
    """Returns the leaving status of a struct; raises if it is malformed."""
    mark.validate()
    return LeavingStatus(
        require_string(mark.endpoint),
        require_natural(mark.generation),
        bool(mark.leaving),
    )


def crash_record_to_thrift(crash_record: CrashRecord) -> ttypes.Strike:
    """Returns the struct of a crash record."""
    return ttypes.Strike(
        bytes.fromhex(crash_record.key.fingerprint),
        crash_record.key.endpoint,
        crash_record.key.boot,
        crash_record.remaining_s,
    )


def crash_record_from_thrift(strike: ttypes.Strike) -> CrashRecord:
    """Returns the crash record of a struct; raises if it is malformed."""
    strike.validate()
    if len(strike.fingerprint) != _SHA256_BYTES:
        raise ValueError("fingerprint is not a SHA-256 digest")
    key = CrashKey(
        strike.fingerprint.hex(), require_string(strike.endpoint), strike.boot
    )
    return CrashRecord(key, require_natural(strike.remaining_s))


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
