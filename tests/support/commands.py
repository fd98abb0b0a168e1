"""Runs commands of operators as processes against a fleet."""

from __future__ import annotations

import os
import subprocess
import sys

from standins.launcher import Fleet


def start_cli(
    fleet: Fleet, *arguments: str, operator: str = "amal"
) -> subprocess.Popen[str]:
    """Starts a burdockspan command of an operator."""
    environment = {
        **os.environ,
        "BURDOCKSPAN_PLATFORM": f"http://{fleet.platform.address}",
        "BURDOCKSPAN_OPERATOR": operator,
    }
    return subprocess.Popen(
        [sys.executable, "-m", "burdockspan", *arguments],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def run_cli(
    fleet: Fleet, *arguments: str, operator: str = "amal"
) -> subprocess.CompletedProcess[str]:
    """Runs a burdockspan command of an operator until it ends."""
    return finish_cli(start_cli(fleet, *arguments, operator=operator))


def finish_cli(
    process: subprocess.Popen[str],
) -> subprocess.CompletedProcess[str]:
    """Waits until a command has ended."""
    stdout, stderr = process.communicate(timeout=60.0)
    return subprocess.CompletedProcess(
        process.args, process.returncode, stdout, stderr
    )


__all__ = ["finish_cli", "run_cli", "start_cli"]
