"""A short seeded soak of real processes."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import unittest

from soak.history import Trouble
from soak.run import Options, Result, run_soak

_SEED = 221
_STREAMS_SEED = 3403
_CUTS_SEED = 3701
_ACCOUNTS_SEED = 4001
_SECONDS = 30.0
_VMS = 2
_MIN_RUNS = 100


class ShortRunTest(unittest.TestCase):
    def test_promises_hold_beside_faults(self) -> None:
        """Guards against broken promises that neither fakes nor days show."""
        self._check(_SEED)

    def test_promises_hold_beside_broken_streams_and_prompts(self) -> None:
        """Guards against streams that seem whole, and engines that go on dying.

        These are the incidents of streams that are broken off, and of prompts
        that crash engines.
        """
        result = self._check(_STREAMS_SEED, with_streams=True)
        self.assertTrue(result.history.part_crashes)

    def test_promises_hold_beside_partitions_from_endpoints(self) -> None:
        """Guards against VMs that are cut off and refuse their callers."""
        result = self._check(_CUTS_SEED, with_cuts=True, vms=3)
        troubles = {window.trouble for window in result.history.windows}
        self.assertIn(Trouble.CUT_OFF, troubles)

    def test_promises_hold_beside_keys_quotas_and_slow_endpoints(self) -> None:
        """Guards against VMs out of touch that serve removed keys."""
        result = self._check(
            _ACCOUNTS_SEED, with_accounts=True, with_speeds=True
        )
        statuses = {request.status for request in result.history.requests}
        self.assertLessEqual({401, 429}, statuses)
        slowness = {run.slowness for run in result.history.runs}
        self.assertLessEqual({1.0, 1.6}, slowness)

    def _check(
        self,
        seed: int,
        vms: int = _VMS,
        **chosen: bool,
    ) -> Result:
        """Runs a soak and checks that it has broken no promise."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            options = Options(seed, _SECONDS, vms, path, **chosen)
            result = asyncio.run(run_soak(options))
        found = [str(violation) for violation in result.violations]
        self.assertEqual(found, [])
        # Without these, the checks would have nothing to check.
        self.assertGreater(len(result.history.runs), _MIN_RUNS)
        self.assertGreater(len(result.schedule), 10)
        return result


if __name__ == "__main__":
    unittest.main()
