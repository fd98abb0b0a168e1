"""Thrift structs shared by datagrams and snapshots.

Functions that read a struct raise ValueError or a thrift exception if it is
malformed; their callers turn that into an `Err`.
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
    """Returns the struct of a belief about a member."""
    return ttypes.MemberUpdate(
        member.vm,
        member.address,
        member.availability_zone,
        member.incarnation,
        member.state.value,
        refutation=member.refutation or None,
    )


def member_from_thrift(update: ttypes.MemberUpdate) -> Member:
    """Returns the belief of a struct; raises if it is malformed."""
    update.validate()
    return Member(
        text(update.vm),
        text(update.address),
        update.availability_zone,
        natural(update.incarnation),
        MemberState(update.state),
        natural(update.refutation or 0),
    )


def leaving_status_to_thrift(mark: LeavingStatus) -> ttypes.LeavingMark:
    """Returns the struct of a leaving mark."""
    return ttypes.LeavingMark(mark.endpoint, mark.generation, mark.leaving)


def leaving_status_from_thrift(mark: ttypes.LeavingMark) -> LeavingStatus:
    """Returns the leaving mark of a struct; raises if it is malformed."""
    mark.validate()
    return LeavingStatus(
        text(mark.endpoint), natural(mark.generation), bool(mark.leaving)
    )


def crash_record_to_thrift(crash_record: CrashRecord) -> ttypes.Strike:
    """Returns the struct of a strike."""
    return ttypes.Strike(
        bytes.fromhex(crash_record.key.fingerprint),
        crash_record.key.endpoint,
        crash_record.key.boot,
        crash_record.remaining_s,
    )


def crash_record_from_thrift(crash_record: ttypes.Strike) -> CrashRecord:
    """Returns the strike of a struct; raises if it is malformed."""
    crash_record.validate()
    if len(crash_record.fingerprint) != _SHA256_BYTES:
        raise ValueError("fingerprint is no SHA-256")
    key = CrashKey(
        crash_record.fingerprint.hex(),
        text(crash_record.endpoint),
        crash_record.boot,
    )
    return CrashRecord(key, natural(crash_record.remaining_s))


def natural(number: int | None) -> int:
    """Returns the number; raises ValueError if it is absent or negative."""
    if number is None or number < 0:
        raise ValueError(f"number {number} is absent or negative")
    return number


def text(value: str | None) -> str:
    """Returns the text; raises ValueError if it is absent or empty."""
    if not value:
        raise ValueError("text is absent or empty")
    return value


__all__ = [
    "leaving_status_from_thrift",
    "leaving_status_to_thrift",
    "member_from_thrift",
    "member_to_thrift",
    "natural",
    "crash_record_from_thrift",
    "crash_record_to_thrift",
    "text",
]
