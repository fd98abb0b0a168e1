"""P7: a planned stop interrupts no request in progress."""

from __future__ import annotations

import http.client
import signal
import socket
import subprocess
import time
import unittest

from standins import launcher
from standins.launcher import Fleet, Process
from tests.support.bookings import (
    ANSWERED,
    BackgroundBooking,
    count_runs,
    send_booking,
    set_service_faults,
)
from tests.support.commands import run_cli
from tests.support.fleets import (
    AUTHORIZATION,
    make_plan,
    read_status,
    running_fleet,
)
from tests.support.load import complete
from tests.support.streams import Stream

_TOKENS = 400
_IN_FORCE_LIMIT_S = 6.0
_EXIT_LIMIT_S = 20.0
_ANSWER_BYTES = 24_000_000
_PART_BYTES = 50_000
# The receiver's window is at most this, which also keeps the sender's kernel
# buffer small: a megabyte that the caller has not read stays in the process.
_RECEIVE_BUFFER_BYTES = 32_768


class PlannedStopsTest(unittest.TestCase):
    def test_drain_of_decode_engine_interrupts_no_stream(self) -> None:
        """Guards against streams that end with the drain of their engine."""
        with running_fleet(make_plan(token_gap_ms=20)) as fleet:
            streams = _start_streams(fleet, fleet.entries, 2)
            drained = run_cli(fleet, "drain", "decode-1")
            self.assertEqual(drained.returncode, 0, drained.stderr)
            _wait_in_force(fleet, fleet.entries, 2)
            before = _count_reservations(fleet, "decode-1")
            for number, entry in enumerate(fleet.entries):
                self.assertEqual(complete(entry, f"new {number}").status, 200)
            self.assertEqual(_count_reservations(fleet, "decode-1"), before)
            self.assertGreater(before, 0)
            for stream in streams:
                self.assertIsNone(stream.find_problem())

    def test_planned_stop_of_decode_engine_interrupts_no_stream(self) -> None:
        """Guards against a planned stop that acts at once on running work."""
        with running_fleet(make_plan(token_gap_ms=20)) as fleet:
            streams = _start_streams(fleet, fleet.entries, 2)
            planned = _schedule_stop(fleet, "decode-2", "1 s")
            self.assertEqual(planned.returncode, 0, planned.stderr)
            for entry in fleet.entries:
                launcher.wait_until(
                    lambda entry=entry: _is_leaving(entry, "decode-2"),
                    f"{entry.name} stops new work to decode-2",
                )
            before = _count_reservations(fleet, "decode-2")
            for number, entry in enumerate(fleet.entries):
                self.assertEqual(complete(entry, f"new {number}").status, 200)
            self.assertEqual(_count_reservations(fleet, "decode-2"), before)
            for stream in streams:
                self.assertIsNone(stream.find_problem())

    def test_stop_of_entry_vm_ends_streams_whole_and_exits_with_zero(
        self,
    ) -> None:
        """Guards against a stop that cuts streams, or that never ends."""
        with running_fleet(make_plan(token_gap_ms=20)) as fleet:
            stopped, *others = fleet.entries
            streams = _start_streams(fleet, [stopped], 4)
            planned = run_cli(
                fleet, "stop", "schedule", stopped.name, "--in", "0 s"
            )
            self.assertEqual(planned.returncode, 0, planned.stderr)
            launcher.wait_until(
                lambda: (
                    launcher.call(
                        stopped.admin_address, "GET", "/admin/ready"
                    ).status
                    == 503
                ),
                "the balancer is told",
            )
            self.assertEqual(complete(stopped).status, 200)
            stopped.signal(signal.SIGTERM)
            launcher.wait_until(
                lambda: self._is_refused(stopped), "new calls are refused"
            )
            for entry in others:
                self.assertEqual(complete(entry).status, 200)
            for stream in streams:
                self.assertIsNone(stream.find_problem())
            self.assertEqual(stopped.popen.wait(_EXIT_LIMIT_S), 0)

    def test_stop_of_entry_vm_waits_for_a_slow_reader(self) -> None:
        """Guards against an answer that is closed while it is being sent."""
        plan = make_plan(entries=2, prefill=0, decode=0)
        with running_fleet(plan) as fleet:
            stopped = fleet.entries[0]
            connection = _connect_with_small_buffer(stopped)
            path = f"/services/hajz-app/status?bytes={_ANSWER_BYTES}"
            connection.request("GET", path, None, AUTHORIZATION)
            response = connection.getresponse()
            read_bytes = 0
            # The end of the answer waits in the process once its last part
            # fits into the output buffer. The kernels' buffers are too small
            # to take it from there.
            while not _is_idle(stopped):
                read_bytes += len(response.read(_PART_BYTES))
            stopped.signal(signal.SIGTERM)
            with self.assertRaises(subprocess.TimeoutExpired):
                stopped.popen.wait(3.0)
            while part := response.read(_PART_BYTES):
                read_bytes += len(part)
            connection.close()
            self.assertGreater(read_bytes, _ANSWER_BYTES)
            self.assertEqual(stopped.popen.wait(_EXIT_LIMIT_S), 0)

    def test_stop_of_entry_vm_finishes_an_action(self) -> None:
        """Guards against an action whose outcome a stop leaves unknown."""
        plan = make_plan(entries=2, prefill=0, decode=0)
        with running_fleet(plan) as fleet:
            stopped, other = fleet.entries
            set_service_faults(fleet, work_s=1.5)
            booking = BackgroundBooking(lambda: send_booking(stopped, "stop"))
            launcher.wait_until(
                lambda: count_runs(fleet, "stop") == 1, "it is running"
            )
            stopped.signal(signal.SIGTERM)
            self.assertEqual(booking.wait(), ANSWERED)
            self.assertEqual(stopped.popen.wait(_EXIT_LIMIT_S), 0)
            again = send_booking(other, "stop")
            self.assertEqual(again.headers["idempotency-replayed"], "true")
            self.assertEqual(count_runs(fleet, "stop"), 1)

    def _is_refused(self, entry: Process) -> bool:
        response = complete(entry)
        if response.status == 200:
            return False
        self.assertEqual(response.status, 503)
        self.assertEqual(response.json()["outcome"], "not_run")
        self.assertIn("retry-after", response.headers)
        return True


def _connect_with_small_buffer(entry: Process) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(entry.address, timeout=30)
    connection.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.sock.settimeout(connection.timeout)
    connection.sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    host, _, port = entry.address.rpartition(":")
    connection.sock.connect((host, int(port)))
    return connection


def _is_idle(entry: Process) -> bool:
    return bool(read_status(entry)["idle"])


def _start_streams(
    fleet: Fleet, entries: list[Process] | tuple[Process, ...], count: int
) -> list[Stream]:
    streams = [
        Stream(entry, f"stream {number} {entry.name}", _TOKENS)
        for number in range(count)
        for entry in entries
    ]
    for stream in streams:
        stream.read_first_token()
        stream.start_reading()
    return streams


def _schedule_stop(
    fleet: Fleet, vm: str, delay: str
) -> subprocess.CompletedProcess[str]:
    return run_cli(fleet, "stop", "schedule", vm, "--in", delay)


def _wait_in_force(
    fleet: Fleet, entries: tuple[Process, ...], generation: int
) -> None:
    end_s = time.monotonic() + _IN_FORCE_LIMIT_S
    for entry in entries:
        launcher.wait_until(
            lambda entry=entry: read_status(entry)["generation"] == generation,
            f"generation {generation} is in force on {entry.name}",
            end_s - time.monotonic(),
        )


def _is_leaving(entry: Process, name: str) -> bool:
    return any(
        row["vm"] == name and row["leaving"]
        for row in read_status(entry)["endpoints"]
    )


def _count_reservations(fleet: Fleet, name: str) -> int:
    received = fleet.processes_by_name[name].call("GET", "/seen").json()
    return sum(row["path"] == "/reservations" for row in received["requests"])
