"""Command line: `python -m soak --seed N --seconds S`."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import signal
import sys
import tempfile

from soak.run import Options, Result, make_report, run_soak
from soak.schedule import make_schedule

_EXIT_VIOLATIONS = 1


def main() -> int:
    """Runs a soak and prints its schedule and what it has found."""
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--vms", type=int, default=2)
    parser.add_argument(
        "--streams",
        action="store_true",
        help="also breaks streams off, and crashes engines by prompts",
    )
    parser.add_argument(
        "--cuts",
        action="store_true",
        help="also cuts VMs off from all endpoints",
    )
    parser.add_argument(
        "--accounts",
        action="store_true",
        help="callers present keys of client accounts, two with quotas",
    )
    parser.add_argument(
        "--speeds",
        action="store_true",
        help="some endpoints are slow, and one slows down",
    )
    parser.add_argument("--report", type=pathlib.Path)
    parser.add_argument(
        "--folder", type=pathlib.Path, help="keeps settings and logs here"
    )
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = arguments.folder or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        options = Options(
            arguments.seed,
            arguments.seconds,
            arguments.vms,
            folder,
            arguments.streams,
            arguments.cuts,
            arguments.accounts,
            arguments.speeds,
        )
        for fault in make_schedule(
            options.seed,
            options.seconds,
            options.with_streams,
            options.with_cuts,
            options.with_accounts,
            options.with_speeds,
        ):
            print(fault)
        result = asyncio.run(_run_until_signal(options))
    report = make_report(options, result)
    if arguments.report is not None:
        arguments.report.write_text(report + "\n")
    print(report)
    for violation in result.violations:
        print(violation, file=sys.stderr)
    return _EXIT_VIOLATIONS if result.violations else 0


async def _run_until_signal(options: Options) -> Result:
    """Runs a soak; SIGINT and SIGTERM cancel it."""
    task = asyncio.ensure_future(run_soak(options))
    loop = asyncio.get_running_loop()
    # A shell starts processes in the background with SIGINT ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await task


if __name__ == "__main__":
    sys.exit(main())
