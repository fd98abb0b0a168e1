"""A short seeded soak of real processes."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import unittest

from soak.run import Options, run_soak

_SEED = 221
_SECONDS = 30.0
_VMS = 2
_MIN_RUNS = 100


class ShortRunTest(unittest.TestCase):
    def test_promises_hold_beside_faults(self) -> None:
        """Guards against broken promises that neither fakes nor days show."""
        with tempfile.TemporaryDirectory() as folder:
            options = Options(_SEED, _SECONDS, _VMS, pathlib.Path(folder))
            result = asyncio.run(run_soak(options))
        found = [str(violation) for violation in result.violations]
        self.assertEqual(found, [])
        # Without these, the checks would have nothing to check.
        self.assertGreater(len(result.history.runs), _MIN_RUNS)
        self.assertGreater(len(result.schedule), 10)


if __name__ == "__main__":
    unittest.main()
