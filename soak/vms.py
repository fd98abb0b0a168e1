"""VMs of a soak: gateway processes that are restarted when they end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Sequence

import burdockspan
from soak import limits, wire
from soak.history import History, Trouble
from soak.proxy import Proxy

PORTS_PER_VM = 4
"""Ports for callers, readiness checks, metrics, and other VMs."""
_POLL_S = 0.05
_READY_POLL_S = 0.25
_READY_TIMEOUT_S = 0.5
_MISSES_UNTIL_NOT_READY = 2
_RESTART_S = 0.3
_SOURCE_FOLDER = pathlib.Path(burdockspan.__file__).parent.parent


class Vm:
    """A VM with one gateway process at a time.

    Attributes:
      name: name of the VM.
      incarnation: number of processes started so far.
      is_ready: whether callers should open connections to it.
      callers: proxy for the connections of callers.
      store_link: proxy for the connections to the store.
      unexpected_exits: ends of processes that received no signal to end.
    """

    def __init__(
        self,
        name: str,
        ports: Sequence[int],
        store_port: int,
        folder: pathlib.Path,
        history: History,
        with_accounts: bool = False,
    ) -> None:
        self.name = name
        self.incarnation = 0
        self.is_ready = False
        self.callers = Proxy(ports[0])
        self.store_link = Proxy(store_port)
        self.unexpected_exits: list[str] = []
        self._ports = ports
        self._folder = folder
        self._settings_path = folder / f"{name}.yaml"
        self._history = history
        self._with_accounts = with_accounts
        self._process: subprocess.Popen[bytes] | None = None
        self._was_told_to_end = False
        self._windows = contextlib.ExitStack()
        self._lease_s = 3

    def find_process_id(self) -> int | None:
        """Returns the ID of its present process; None before the first one."""
        return None if self._process is None else self._process.pid

    async def start_links(self) -> None:
        """Starts the proxies."""
        await self.callers.start()
        await self.store_link.start()

    async def run(self) -> None:
        """Starts the process, and starts it again whenever it has ended."""
        self._write_settings()
        while True:
            self._start()
            process = self._process
            while process is not None and process.poll() is None:
                await asyncio.sleep(_POLL_S)
            self.is_ready = False
            if not self._was_told_to_end:
                now_s = self._history.now_s()
                text = f"{self.name}.{self.incarnation} ended at {now_s:.2f} s"
                self.unexpected_exits.append(text)
            await asyncio.sleep(_RESTART_S)

    async def poll_readiness(self) -> None:
        """Polls the readiness check, like the load balancer."""
        misses = 0
        while True:
            incarnation = self.incarnation
            if await self._responds_ready():
                misses = 0
                if (
                    incarnation == self.incarnation
                    and not self._was_told_to_end
                ):
                    self._windows.close()
                    self.is_ready = True
            else:
                misses += 1
            if misses >= _MISSES_UNTIL_NOT_READY:
                self.is_ready = False
            await asyncio.sleep(_READY_POLL_S)

    def hang_up(self) -> None:
        """Changes the settings file and sends SIGHUP."""
        self._lease_s = 7 - self._lease_s
        self._write_settings()
        # Before the process is ready, SIGHUP may meet no handler.
        if self.is_ready:
            self._signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Sends SIGTERM, and SIGKILL after the grace period."""
        process = self._process
        if not self._was_told_to_end:
            self._windows.enter_context(
                self._history.window(Trouble.STOPPING, self.name)
            )
        self._was_told_to_end = True
        self._signal(signal.SIGTERM)

        def kill_late() -> None:
            if self._process is process:
                self.kill()

        asyncio.get_running_loop().call_later(limits.GRACE_S, kill_late)

    def kill(self) -> None:
        """Sends SIGKILL."""
        if self._process is None or self._process.poll() is not None:
            return
        self._was_told_to_end = True
        self._windows.enter_context(
            self._history.window(Trouble.DOWN, self.name)
        )
        self._signal(signal.SIGKILL)

    async def freeze(self, duration_s: float) -> None:
        """Stops the process for a while."""
        process = self._process
        with self._history.window(Trouble.FROZEN, self.name):
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            if self._process is process:
                self._signal(signal.SIGCONT)

    def close(self) -> None:
        """Ends the process and the proxies."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self._windows.close()
        self.callers.close()
        self.store_link.close()

    def _signal(self, number: signal.Signals) -> None:
        # `send_signal` polls first, so the ID is still that of this process.
        if self._process is not None:
            self._process.send_signal(number)

    def _start(self) -> None:
        self.incarnation += 1
        self._was_told_to_end = False
        log_path = self._folder / f"{self.name}.{self.incarnation}.log"
        with log_path.open("wb") as log:
            self._process = subprocess.Popen(
                [
                    *(sys.executable, "-m", "burdockspan", "gateway"),
                    *("--settings", str(self._settings_path)),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": str(_SOURCE_FOLDER)},
            )

    def _write_settings(self) -> None:
        caller, ready, metrics, peer = (f"127.0.0.1:{p}" for p in self._ports)
        text = f"""\
vm: {self.name}
availability_zone: zone-a
caller_address: {caller}
ready_address: {ready}
metrics_address: {metrics}
peer_address: {peer}
store_address: 127.0.0.1:{self.store_link.port}
grace_s: {limits.GRACE_S} s
lease_s: {self._lease_s} s
retry_budget:
  ratio: {limits.RETRY_RATIO}
  slack: {limits.RETRY_SLACK}
  window_s: {limits.RETRY_WINDOW_S} s
"""
        if self._with_accounts:
            text += f"""\
change_limits:
  removed_key_s: {limits.REMOVED_KEY_LIMIT_S} s
account_quotas:
  slack: {limits.QUOTA_SLACK}
"""
        self._settings_path.write_text(text)

    async def _responds_ready(self) -> bool:
        with contextlib.suppress(OSError, TimeoutError, wire.CutError):
            async with asyncio.timeout(_READY_TIMEOUT_S):
                reader, writer = await wire.connect(self._ports[1])
                writer.write(b"GET /v1/ready HTTP/1.0\r\n\r\n")
                head = await wire.read_head(reader)
                writer.close()
                return head is not None and head.start[1] == "200"
        return False


__all__ = ["PORTS_PER_VM", "Vm"]
