"""Runs a stand-in in a process."""

from __future__ import annotations

import contextlib
import pathlib
import tempfile
from collections.abc import Iterator

from standins import launcher
from standins.launcher import Process


@contextlib.contextmanager
def running_standin(module: str, *arguments: str) -> Iterator[Process]:
    """Runs `python -m standins.<module>` on a free port."""
    with tempfile.TemporaryDirectory() as folder:
        process = launcher.start_standin(
            module, module, arguments, pathlib.Path(folder)
        )
        try:
            yield process
        finally:
            process.kill()


__all__ = ["running_standin"]
