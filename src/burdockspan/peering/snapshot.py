"""What one entry VM gives to another over TCP."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from result import Err, Ok, Result

from burdockspan.gen.peer import ttypes
from burdockspan.membership import shared, thrift_structs
from burdockspan.membership.merge import merge_members
from burdockspan.membership.table import Members
from burdockspan.membership.values import (
    CrashKey,
    CrashRecord,
    LeavingStatus,
    Member,
    Versions,
)


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Answer to a fetch.

    Attributes:
      versions: newest documents that the answering VM holds.
      configuration: document as UTF-8 JSON, None if the caller has it.
      vm_list: VM list as UTF-8 JSON, None if the caller has it.
      members: beliefs about members.
      leaving_statuses: leaving statuses.
      crash_records: crash records.
    """

    versions: Versions
    configuration: bytes | None = None
    vm_list: bytes | None = None
    members: tuple[Member, ...] = ()
    leaving_statuses: tuple[LeavingStatus, ...] = ()
    crash_records: tuple[CrashRecord, ...] = ()


def make_snapshot(
    members: Members,
    configuration: bytes | None,
    vm_list: bytes | None,
    known: Versions,
    now_s: float,
) -> Snapshot:
    """Returns what a caller lacks.

    Args:
      members: the table; its versions are those of the two documents.
      configuration: newest configuration stored, as UTF-8 JSON.
      vm_list: newest VM list, as UTF-8 JSON.
      known: newest documents that the caller holds.
      now_s: monotonic clock.
    """
    held = members.versions
    crash_records = (
        shared.to_crash_record(key, expires_s, now_s)
        for key, expires_s in members.shared.crash_records.items()
    )
    return Snapshot(
        held,
        configuration
        if held.configuration_generation > known.configuration_generation
        else None,
        vm_list if held.vm_list_version > known.vm_list_version else None,
        tuple(members.by_vm.values()),
        tuple(members.shared.leaving_statuses.values()),
        tuple(
            crash_record
            for crash_record in crash_records
            if crash_record is not None
        ),
    )


def merge_snapshot(
    members: Members, snapshot: Snapshot, now_s: float
) -> Members:
    """Returns the table with a snapshot's members, marks and crash records.

    The documents are left to `configuration.adoption`.
    """
    members = merge_members(members, snapshot.members, now_s)
    held = shared.merge_leaving_statuses(
        members.shared, snapshot.leaving_statuses
    )
    crash_records: Mapping[CrashKey, float] = shared.expiry_by_crash(
        snapshot.crash_records, now_s
    )
    held = shared.merge_crash_records(held, crash_records, now_s)
    return dataclasses.replace(members, shared=held)


def is_behind(held: Versions, seen: Versions) -> bool:
    """Returns whether a peer that was seen holds a newer document."""
    return (
        seen.configuration_generation > held.configuration_generation
        or seen.vm_list_version > held.vm_list_version
    )


def to_thrift(snapshot: Snapshot) -> ttypes.Snapshot:
    """Returns the thrift struct of a snapshot."""
    return ttypes.Snapshot(
        snapshot.versions.configuration_generation,
        snapshot.configuration,
        snapshot.versions.vm_list_version,
        snapshot.vm_list,
        [*map(thrift_structs.member_to_thrift, snapshot.members)],
        [*map(thrift_structs.crash_record_to_thrift, snapshot.crash_records)],
        [
            *map(
                thrift_structs.leaving_status_to_thrift,
                snapshot.leaving_statuses,
            )
        ],
    )


def from_thrift(struct: ttypes.Snapshot) -> Result[Snapshot, str]:
    """Returns the snapshot of a thrift struct, or what is wrong with it."""
    try:
        struct.validate()
        return Ok(
            Snapshot(
                Versions(
                    thrift_structs.require_natural(
                        struct.configuration_generation
                    ),
                    thrift_structs.require_natural(struct.vm_list_version),
                ),
                struct.configuration,
                struct.vm_list,
                tuple(
                    map(thrift_structs.member_from_thrift, struct.members or ())
                ),
                tuple(
                    map(
                        thrift_structs.leaving_status_from_thrift,
                        struct.marks or (),
                    )
                ),
                tuple(
                    map(
                        thrift_structs.crash_record_from_thrift,
                        struct.strikes or (),
                    )
                ),
            )
        )
    except Exception as error:  # Thrift, value and type errors.
        return Err(f"malformed snapshot: {error}")


__all__ = [
    "Snapshot",
    "from_thrift",
    "is_behind",
    "make_snapshot",
    "merge_snapshot",
    "to_thrift",
]
