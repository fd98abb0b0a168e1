"""Snapshot of the state that an entry VM gives to another one over TCP."""

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
    """Result of a fetch.

    Attributes:
      versions: current versions of the documents at the responding VM.
      configuration: configuration as UTF-8 JSON; None if the requesting VM has
        this version or a newer one.
      vm_list: VM list as UTF-8 JSON; None if the requesting VM has this version
        or a newer one.
      members: states of the members.
      leaving_statuses: leaving statuses of endpoints.
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
    """Returns a snapshot with the documents that are new to the requester.

    Args:
      members: membership state, with the versions of the two documents.
      configuration: newest stored configuration, as UTF-8 JSON.
      vm_list: newest VM list, as UTF-8 JSON.
      known: versions that the requesting VM has.
      now_s: monotonic seconds.
    """
    current = members.versions
    crash_records = (
        shared.to_crash_record(key, expires_s, now_s)
        for key, expires_s in members.shared.expiry_s_by_crash.items()
    )
    return Snapshot(
        current,
        configuration
        if current.configuration_generation > known.configuration_generation
        else None,
        vm_list if current.vm_list_version > known.vm_list_version else None,
        tuple(members.by_vm.values()),
        tuple(members.shared.leaving_statuses.values()),
        tuple(record for record in crash_records if record is not None),
    )


def merge_snapshot(
    members: Members, snapshot: Snapshot, now_s: float
) -> Members:
    """Merges all of a snapshot but its documents into the membership state.

    The documents are handled by `configuration.adoption`.
    """
    members = merge_members(members, snapshot.members, now_s)
    merged = shared.merge_leaving_statuses(
        members.shared, snapshot.leaving_statuses
    )
    crash_records: Mapping[CrashKey, float] = shared.expiry_by_crash(
        snapshot.crash_records, now_s
    )
    merged = shared.merge_crash_records(merged, crash_records, now_s)
    return dataclasses.replace(members, shared=merged)


def is_behind(own: Versions, peer: Versions) -> bool:
    """Returns whether this VM is behind a peer in either document."""
    return (
        peer.configuration_generation > own.configuration_generation
        or peer.vm_list_version > own.vm_list_version
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
    """Returns the snapshot of a thrift struct, or why it is malformed."""
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
