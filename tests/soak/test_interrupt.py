"""An interrupted soak."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import unittest

from tests.support.gateways import wait_for

_COMMAND = (sys.executable, "-m", "soak", "--seed", "1", "--seconds", "30")
_VMS = 2
_END_TIMEOUT_S = 10.0


def _read_children(pid: int) -> set[int]:
    path = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    return set(map(int, path.read_text().split()))


class InterruptTest(unittest.TestCase):
    def test_interrupted_soak_ends_its_processes(self) -> None:
        """Guards against gateway processes that outlive their soak."""
        for number in (signal.SIGINT, signal.SIGTERM):
            with self.subTest(signal=number):
                self._check_interrupt(number)

    def _check_interrupt(self, number: signal.Signals) -> None:
        soak = subprocess.Popen(
            _COMMAND, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
        self.addCleanup(soak.wait)
        self.addCleanup(soak.kill)
        wait_for(lambda: len(_read_children(soak.pid)) == _VMS)
        children = _read_children(soak.pid)
        soak.send_signal(number)
        self.assertNotEqual(soak.wait(_END_TIMEOUT_S), 0)
        for child in children:
            with self.assertRaises(ProcessLookupError):
                os.kill(child, 0)


if __name__ == "__main__":
    unittest.main()
