"""Membership protocol and the load reports and crash records it carries."""

from __future__ import annotations

from burdockspan.membership import shared, swim, table
from burdockspan.membership.values import (
    CrashKey,
    LeavingStatus,
    Member,
    Outgoing,
)
from burdockspan.node import endpoint_table
from burdockspan.node.context import Context
from burdockspan.node.effects import (
    Count,
    Effects,
    Note,
    PullDocuments,
    SendDatagram,
)
from burdockspan.node.messages import LoadPolled, PeerMessage, SnapshotFetched
from burdockspan.node.tables import Tables
from burdockspan.peering.snapshot import is_behind, merge_snapshot
from burdockspan.resilience import breaker, quarantine
from burdockspan.resilience.quarantine import CrashRecords, Decision
from burdockspan.values.endpoint import LoadReport

_PRUNE_INTERVAL_S = 1.0
# Minimum time between two pulls. Without it, every message of a peer with newer
# documents would trigger one before the response to the first pull arrives.
_PULL_INTERVAL_S = 0.3
# Ages of reports in a message count from its arrival. After the process was
# frozen, a message that waited in its mailbox would make old reports look new.
_MESSAGE_AGE_LIMIT_S = 0.5
# Gossip can take many seconds to carry a report through a large region, and
# the leaving flag in it is as old. The age of such a report therefore counts
# from this long after its measurement, not from its arrival. The allowance
# covers the lag of an engine's load figures. An endpoint counts as unresponsive
# at an age of 2 s, so it gets no new work from 3 s after it has begun to leave.
_LAG_ALLOWANCE_S = 1.0


def receive(tables: Tables, message: PeerMessage, context: Context) -> Effects:
    """Applies a membership message, with the updates that it carries."""
    now_s = context.clock()
    if now_s - message.received_s > _MESSAGE_AGE_LIMIT_S:
        return (Count("datagrams.stale"),)
    previous = tables.members
    tables.members, outgoing = swim.receive(previous, message.message, now_s)
    _apply_reports(tables, previous, now_s)
    _apply_leaving_statuses(tables, previous, now_s)
    return (
        *_make_send_effects(outgoing),
        *_log_changes(previous, tables.members),
        *_pull_newer(tables, message, now_s),
    )


def tick(tables: Tables, context: Context) -> Effects:
    """Advances the membership protocol and removes expired entries."""
    now_s = context.clock()
    previous = tables.members
    if now_s >= tables.timers.next_prune_s:
        tables.timers.next_prune_s = now_s + _PRUNE_INTERVAL_S
        shared_state = shared.prune(previous.shared, now_s)
        tables.members = table.with_shared(previous, shared_state)
    tables.members, outgoing = swim.tick(
        tables.members, now_s, context.random_float
    )
    return (
        *_make_send_effects(outgoing),
        *_log_changes(previous, tables.members),
    )


def leave(tables: Tables, context: Context) -> Effects:
    """Announces to other members that this process stops."""
    tables.members, outgoing = swim.leave(
        tables.members, context.clock(), context.random_float
    )
    return _make_send_effects(outgoing)


def record_poll(
    tables: Tables, message: LoadPolled, context: Context
) -> Effects:
    """Records the result of a load poll and queues the report for gossip.

    A failed poll counts against the circuit breaker of the endpoint.
    """
    now_s = context.clock()
    endpoint_row = tables.endpoints_by_name.get(message.endpoint)
    if endpoint_row is None:
        return ()
    report = message.outcome.ok()
    if report is None:
        state = breaker.record(endpoint_row.breaker, False, 0.0, now_s)
        tables.endpoints_by_name[message.endpoint] = endpoint_table.set_breaker(
            endpoint_row, state
        )
        return (Count("polls.failed"),)
    accept_report(tables, report, message.sent_s)
    shared_state = shared.merge_reports(tables.members.shared, (report,))
    tables.members = table.with_shared(tables.members, shared_state)
    return ()


def receive_snapshot(
    tables: Tables, message: SnapshotFetched, context: Context
) -> Effects:
    """Merges the members and crash records that a peer sent over TCP."""
    previous = tables.members
    tables.members = merge_snapshot(previous, message.snapshot, context.clock())
    return _log_changes(previous, tables.members)


def disseminate(tables: Tables, context: Context) -> Effects:
    """Sends pending updates to some members without waiting for a probe."""
    tables.members, outgoing = swim.disseminate_now(
        tables.members, context.clock(), context.random_float
    )
    return _make_send_effects(outgoing)


def accept_report(
    tables: Tables, report: LoadReport, received_s: float
) -> None:
    """Applies a load report whose age counts from `received_s`."""
    endpoint_row = tables.endpoints_by_name.get(report.endpoint)
    if endpoint_row is None:
        return
    updated = endpoint_table.accept_report(endpoint_row, report, received_s)
    tables.endpoints_by_name[report.endpoint] = updated
    if endpoint_row.boot and updated.boot != endpoint_row.boot:
        tables.prefixes.remove_endpoint(report.endpoint)


def record_crash(
    tables: Tables, fingerprint: str, endpoint: str, boot: str, context: Context
) -> None:
    """Adds a crash record: an endpoint crashed while a request ran on it."""
    now_s = context.clock()
    catalog = tables.catalog
    lifetime_s = shared.CRASH_RECORD_LIFETIME_S
    if catalog is not None:
        lifetime_s = catalog.configuration.policy.quarantine_s
    crash_records = {CrashKey(fingerprint, endpoint, boot): now_s + lifetime_s}
    shared_state = shared.merge_crash_records(
        tables.members.shared, crash_records, now_s
    )
    tables.members = table.with_shared(tables.members, shared_state)


def record_leaving_status(tables: Tables, endpoint: str) -> None:
    """Records for gossip that an endpoint refused work because it leaves."""
    generation = tables.members.versions.configuration_generation
    status = LeavingStatus(endpoint, generation, True)
    shared_state = shared.merge_leaving_statuses(
        tables.members.shared, (status,)
    )
    tables.members = table.with_shared(tables.members, shared_state)


def decide_quarantine(
    tables: Tables, fingerprint: str, context: Context
) -> Decision:
    """Decides by its crash records whether and how a request may run."""
    crashes = {
        (key.endpoint, key.boot): expires_s
        for key, expires_s in tables.members.shared.expiry_s_by_crash.items()
        if key.fingerprint == fingerprint
    }
    if not crashes:
        return Decision.ALLOW
    crash_records = CrashRecords({fingerprint: crashes})
    return quarantine.decide(crash_records, fingerprint, context.clock())


def count_live_entry_vms(tables: Tables) -> int:
    """Returns the number of live entry VMs of the region, at least 1."""
    return max(1, len(table.live_members(tables.members)))


def is_dead(tables: Tables, vm: str, incarnation: int) -> bool:
    """Returns whether a process is known to be dead or superseded."""
    return table.is_live_process(tables.members, vm, incarnation) is False


def _apply_reports(
    tables: Tables, previous: table.Members, now_s: float
) -> None:
    old = previous.shared.reports
    new = tables.members.shared.reports
    if new is old:
        return
    for name, report in new.items():
        if old.get(name) is not report:
            age_start_s = report.measured_s + _LAG_ALLOWANCE_S
            accept_report(tables, report, min(now_s, age_start_s))


def _apply_leaving_statuses(
    tables: Tables, previous: table.Members, now_s: float
) -> None:
    old = previous.shared.leaving_statuses
    for name, status in tables.members.shared.leaving_statuses.items():
        endpoint_row = tables.endpoints_by_name.get(name)
        if (
            endpoint_row is not None
            and status.leaving
            and old.get(name) != status
        ):
            tables.endpoints_by_name[name] = endpoint_table.record_leaving(
                endpoint_row, now_s
            )


def _pull_newer(tables: Tables, message: PeerMessage, now_s: float) -> Effects:
    own_versions = tables.members.versions
    newer = is_behind(own_versions, message.message.versions)
    if not newer or now_s < tables.timers.next_pull_s:
        return ()
    tables.timers.next_pull_s = now_s + _PULL_INTERVAL_S
    return (PullDocuments(message.message.sender.address, own_versions),)


def _make_send_effects(outgoing: tuple[Outgoing, ...]) -> Effects:
    return tuple(SendDatagram(entry) for entry in outgoing)


def _log_changes(previous: table.Members, current: table.Members) -> Effects:
    if previous.by_vm is current.by_vm:
        return ()
    changed = [
        member
        for vm, member in current.by_vm.items()
        if _state_of(previous.by_vm.get(vm)) != _state_of(member)
    ]
    return tuple(
        Note(
            "member_state",
            (
                ("member", member.vm),
                ("state", member.state.name.lower()),
                ("incarnation", str(member.incarnation)),
            ),
        )
        for member in changed
    )


def _state_of(member: Member | None) -> tuple[int, int] | None:
    return (member.state, member.incarnation) if member is not None else None


__all__ = [
    "accept_report",
    "record_leaving_status",
    "record_crash",
    "count_live_entry_vms",
    "is_dead",
    "decide_quarantine",
    "leave",
    "receive",
    "disseminate",
    "record_poll",
    "receive_snapshot",
    "tick",
]
