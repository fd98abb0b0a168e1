from __future__ import annotations

import random
import unittest

from bench.document_fixtures import make_configuration
from burdockspan.configuration.codec import encode_configuration
from burdockspan.node import messages
from burdockspan.node.platform_reader import (
    initial_elapsed_s,
    make_platform_reader,
    poll_interval_s,
    vm_list_interval_s,
)
from burdockspan.object_api.connection import connect_platform
from standins.launcher import put_configuration, wait_until
from tests.support.processes import running_standin

_VM_BYTES = 140
_BUDGET_BYTES_PER_S = 29_000


class VmListIntervalTest(unittest.TestCase):
    def test_long_list_is_read_within_the_budget_of_a_watcher(self) -> None:
        # A list of 1,010 VMs that is read each second costs a watcher 158 KB/s.
        for listed in (100, 1_010, 5_000):
            bytes_per_s = listed * _VM_BYTES / vm_list_interval_s(True, listed)
            self.assertLess(bytes_per_s, _BUDGET_BYTES_PER_S / 3)

    def test_short_list_or_failed_read_is_repeated_each_second(self) -> None:
        # A longer interval after a failure would delay the recovery from an
        # outage.
        self.assertEqual(vm_list_interval_s(True, 0), 1.0)
        self.assertEqual(vm_list_interval_s(True, 50), 1.0)


class RestoredPlatformTest(unittest.TestCase):
    def test_reader_sees_configurations_after_a_restore(self) -> None:
        """Guards against a watch that waits until old versions are passed."""
        platform = self.enterContext(running_standin("platform"))
        generations: set[int] = set()

        def receive(message: object) -> None:
            if isinstance(message, messages.ConfigurationReceived):
                configuration = message.configuration
                if configuration is not None:
                    generations.add(configuration.generation)

        def write(generation: int) -> None:
            configuration = make_configuration(generation)
            put_configuration(platform, encode_configuration(configuration))

        client = connect_platform(f"http://{platform.address}", "vm-1")
        reader = make_platform_reader(
            client, receive, lambda: True, lambda: 2, lambda: 0.0
        )
        reader.start()
        self.addCleanup(reader.stop)
        platform.call("PUT", "/control/copy")
        for generation in range(1, 10):
            write(generation)
        wait_until(lambda: 9 in generations, "the watch is at version 9")
        platform.call("PUT", "/control/restore")
        write(10)
        wait_until(lambda: 10 in generations, "generation 10", 15.0)


class PollIntervalTest(unittest.TestCase):
    def test_small_zone_polls_in_time_for_a_change(self) -> None:
        # Target P8 allows 6 s for a change when only the watchers are cut off
        # from the platform.
        for zone_vms in (1, 2, 4, 10):
            self.assertEqual(poll_interval_s(zone_vms), 3.0)

    def test_poll_rate_of_a_zone_does_not_grow_with_its_vms(self) -> None:
        # The VMs of a zone share the polls of eight. If each of 350 VMs polled
        # every 3 s, the platform would get as many calls as from 350 watches.
        for zone_vms in (50, 100, 350):
            polls_per_s = (zone_vms - 2) / poll_interval_s(zone_vms)
            self.assertLessEqual(polls_per_s, 8 / 3 + 1e-9)


class InitialElapsedTimeTest(unittest.TestCase):
    def test_processes_that_start_together_read_at_different_times(
        self,
    ) -> None:
        # Without jitter, 336 VMs that start together make 459 calls in one
        # second.
        random_float = random.Random(1).random
        elapsed_times_s = sorted(
            initial_elapsed_s(random_float) for _ in range(336)
        )
        interval_s = vm_list_interval_s(False, 0)
        counts = [
            sum(
                start <= elapsed_s < start + 1.0
                for elapsed_s in elapsed_times_s
            )
            for start in range(int(interval_s))
        ]
        self.assertLess(max(counts), 336 / interval_s * 3)


if __name__ == "__main__":
    unittest.main()
