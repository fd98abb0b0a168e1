from __future__ import annotations

import unittest

from burdockspan.membership import shared, wire
from burdockspan.membership.gossip import TARGET_BYTES, compose
from burdockspan.membership.merge import merge_members
from burdockspan.membership.table import (
    Members,
    make_members,
    send_limit,
    with_shared,
)
from burdockspan.membership.values import (
    CrashKey,
    LeavingStatus,
    Member,
    Message,
    MessageKind,
)
from burdockspan.values.endpoint import LoadReport
from tests.membership.network import Network, make_network


class GossipTest(unittest.TestCase):
    def test_gossip_bounds_a_datagram_and_includes_each_kind(
        self,
    ) -> None:
        # After the failure of a zone, updates about its members must not crowd
        # out load reports and leaving statuses.
        _, message = _compose(_make_full_table())
        data = wire.encode(message).unwrap()
        self.assertLessEqual(len(data), TARGET_BYTES)
        self.assertGreater(len(data), TARGET_BYTES * 0.8)
        self.assertTrue(message.updates)
        self.assertTrue(message.reports)
        self.assertTrue(message.leaving_statuses)
        self.assertTrue(message.crash_records)

    def test_gossip_sends_each_entry_a_bounded_number_of_times(self) -> None:
        # Old entries must not take up the space of new ones for ever.
        table = _make_full_table()
        for _ in range(2000):
            table, _ = _compose(table)
        self.assertEqual(table.member_sends, {})
        self.assertEqual(table.shared.leaving_sends, {})
        self.assertEqual(table.shared.report_sends, {})
        self.assertEqual(table.shared.crash_record_sends, {})

    def test_gossip_sends_every_entry_before_others_too_often(self) -> None:
        # In a burst, later entries must not wait until the first ones have been
        # sent as often as the limit allows.
        table = _make_full_table()
        sent: dict[str, int] = {}
        while len(sent) < len(table.by_vm):
            table, message = _compose(table)
            repeated = {
                table.probe_order[table.repeat_position - n] for n in (1, 2, 3)
            }
            for update in message.updates:
                if update.vm not in repeated:
                    sent[update.vm] = sent.get(update.vm, 0) + 1
            self.assertLess(max(sent.values()), send_limit(table) / 2)

    def test_gossip_repeats_known_members_without_updates(self) -> None:
        # A node that missed an update must receive it without further changes.
        table = _make_full_table()
        for _ in range(2000):
            table, _ = _compose(table)
        received: set[str] = set()
        for _ in range(100):
            table, message = _compose(table)
            received |= {update.vm for update in message.updates}
        self.assertEqual(received, set(table.by_vm) - {table.vm})

    def test_gossip_disseminates_reports_statuses_and_crash_records(
        self,
    ) -> None:
        network = make_network(12)
        crash = CrashKey("ab" * 32, "e", "boot")
        _share_entries(network, crash)

        def is_disseminated() -> bool:
            all_entries = [table.shared for table in network.tables.values()]
            return all(
                entries.reports.keys() == {"e"}
                and entries.leaving_statuses.keys() == {"e"}
                and entries.expiry_s_by_crash.keys() == {crash}
                for entries in all_entries
            )

        measured_s = network.now_s
        # The quarantine relies on dissemination within a second.
        self.assertTrue(network.run_until(is_disseminated, 1.0))
        for vm, table in network.tables.items():
            report = table.shared.reports["e"]
            if vm != "0":
                # Each hop adds to the age, so no copy appears newer than it is.
                self.assertLess(report.measured_s, measured_s)
            self.assertGreater(report.measured_s, measured_s - 0.1)

    def test_gossip_lets_crash_records_expire_everywhere(self) -> None:
        # Nodes that pass a crash record to each other must not extend its life.
        network = make_network(4)
        crash = CrashKey("ab" * 32, "e", "boot")
        _share_entries(network, crash)
        network.run(1.0)
        expires_s = network.tables["0"].shared.expiry_s_by_crash[crash]
        for table in network.tables.values():
            self.assertLessEqual(
                table.shared.expiry_s_by_crash[crash], expires_s
            )
        late_s = expires_s + 0.1
        table = network.tables["3"]
        pruned = shared.prune(table.shared, late_s)
        _, message = compose(
            network.tables["0"], MessageKind.PING, 1, late_s - 0.5
        )
        self.assertEqual(pruned.expiry_s_by_crash, {})
        self.assertEqual(message.crash_records, ())

    def test_gossip_keeps_endpoint_leaving_until_an_undrain(self) -> None:
        # A status of an older generation, or of the same one, must not return
        # a leaving endpoint to service, nor a late one revoke an undrain.
        entries = shared.merge_leaving_statuses(
            shared.SharedEntries(), [LeavingStatus("e", 3, True)]
        )
        for late in (
            LeavingStatus("e", 3, False),
            LeavingStatus("e", 2, False),
        ):
            entries = shared.merge_leaving_statuses(entries, [late])
            self.assertTrue(entries.leaving_statuses["e"].leaving)
        entries = shared.merge_leaving_statuses(
            entries, [LeavingStatus("e", 4, False)]
        )
        entries = shared.merge_leaving_statuses(
            entries, [LeavingStatus("e", 3, True)]
        )
        self.assertFalse(entries.leaving_statuses["e"].leaving)


def _compose(table: Members) -> tuple[Members, Message]:
    return compose(table, MessageKind.PING, 1, 100.0, target="x")


def _make_full_table() -> Members:
    table = make_members(
        vm="entry-a",
        address="10.0.0.1:7000",
        availability_zone="zone-a",
        region="region",
        seeds=(),
        now_s=100.0,
        wall_s=1.7e9,
    )
    names = [f"entry-{number}" for number in range(60)]
    table = merge_members(
        table,
        [Member(name, "10.0.0.2:7000", "zone-a", 10**12) for name in names],
        100.0,
    )
    entries = shared.merge_reports(
        table.shared,
        [LoadReport(n, "boot", False, 20, 9, 1, 0, 99.9) for n in names],
    )
    entries = shared.merge_leaving_statuses(
        entries, [LeavingStatus(n, 7, True) for n in names]
    )
    entries = shared.merge_crash_records(
        entries, {CrashKey("ab" * 32, n, "boot"): 600.0 for n in names}, 100.0
    )
    return with_shared(table, entries)


def _share_entries(network: Network, crash: CrashKey) -> None:
    now_s = network.now_s
    entries = shared.merge_reports(
        network.tables["0"].shared,
        [LoadReport("e", "boot", False, 20, 9, 1, 0, now_s)],
    )
    entries = shared.merge_leaving_statuses(
        entries, [LeavingStatus("e", 7, True)]
    )
    entries = shared.merge_crash_records(
        entries, {crash: now_s + shared.CRASH_RECORD_LIFETIME_S}, now_s
    )
    network.tables["0"] = with_shared(network.tables["0"], entries)
