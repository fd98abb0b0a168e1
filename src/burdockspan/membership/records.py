"""Thrift structs shared by datagrams and snapshots.

Functions that read a struct raise ValueError or a thrift exception if it is
malformed; their callers turn that into an `Err`.
"""

from __future__ import annotations

from burdockspan.gen.peer import ttypes
from burdockspan.membership.values import (
    LeavingMark,
    Member,
    MemberState,
    Strike,
    StrikeKey,
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


def mark_to_thrift(mark: LeavingMark) -> ttypes.LeavingMark:
    """Returns the struct of a leaving mark."""
    return ttypes.LeavingMark(mark.endpoint, mark.generation, mark.leaving)


def mark_from_thrift(mark: ttypes.LeavingMark) -> LeavingMark:
    """Returns the leaving mark of a struct; raises if it is malformed."""
    mark.validate()
    return LeavingMark(
        text(mark.endpoint), natural(mark.generation), bool(mark.leaving)
    )


def strike_to_thrift(strike: Strike) -> ttypes.Strike:
    """Returns the struct of a strike."""
    return ttypes.Strike(
        bytes.fromhex(strike.key.fingerprint),
        strike.key.endpoint,
        strike.key.boot,
        strike.remaining_s,
    )


def strike_from_thrift(strike: ttypes.Strike) -> Strike:
    """Returns the strike of a struct; raises if it is malformed."""
    strike.validate()
    if len(strike.fingerprint) != _SHA256_BYTES:
        raise ValueError("fingerprint is no SHA-256")
    key = StrikeKey(
        strike.fingerprint.hex(), text(strike.endpoint), strike.boot
    )
    return Strike(key, natural(strike.remaining_s))


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
    "mark_from_thrift",
    "mark_to_thrift",
    "member_from_thrift",
    "member_to_thrift",
    "natural",
    "strike_from_thrift",
    "strike_to_thrift",
    "text",
]
