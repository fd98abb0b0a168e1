"""Guarantee P7: a planned stop interrupts no request in progress."""

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

_STREAM_TOKENS = 400
_IN_FORCE_LIMIT_S = 6.0
_EXIT_LIMIT_S = 20.0
_RESPONSE_BYTES = 24_000_000
_READ_BYTES = 50_000
# The receive window of the caller stays small, and with it the send buffer of
# the entry VM. So a megabyte that the caller has not read does not fit into the
# buffers of the kernel and stays in the entry process.
_RECEIVE_BUFFER_BYTES = 32_768


class PlannedStopsTest(unittest.TestCase):
    def test_drain_of_decode_engine_interrupts_no_stream(self) -> None:
        """Guards against streams that end when their engine is drained."""
        with running_fleet(make_plan(token_gap_ms=20)) as fleet:
            streams = _start_streams(fleet, fleet.entries, 2)
            result = run_cli(fleet, "drain", "decode-1")
            self.assertEqual(result.returncode, 0, result.stderr)
            _wait_until_in_force(fleet, fleet.entries, 2)
            before = _count_reservations(fleet, "decode-1")
            for number, entry in enumerate(fleet.entries):
                self.assertEqual(complete(entry, f"new {number}").status, 200)
            self.assertEqual(_count_reservations(fleet, "decode-1"), before)
            self.assertGreater(before, 0)
            for stream in streams:
                self.assertIsNone(stream.find_problem())

    def test_planned_stop_of_decode_engine_interrupts_no_stream(self) -> None:
        """Guards against a planned stop that aborts running requests."""
        with running_fleet(make_plan(token_gap_ms=20)) as fleet:
            streams = _start_streams(fleet, fleet.entries, 2)
            result = _schedule_stop(fleet, "decode-2", "1 s")
            self.assertEqual(result.returncode, 0, result.stderr)
            for entry in fleet.entries:
                launcher.wait_until(
                    lambda entry=entry: _is_leaving(entry, "decode-2"),
                    f"{entry.name} sends no new work to decode-2",
                )
            before = _count_reservations(fleet, "decode-2")
            for number, entry in enumerate(fleet.entries):
                self.assertEqual(complete(entry, f"new {number}").status, 200)
            self.assertEqual(_count_reservations(fleet, "decode-2"), before)
            for stream in streams:
                self.assertIsNone(stream.find_problem())

    def test_stop_of_entry_vm_completes_streams_and_exits_with_zero(
        self,
    ) -> None:
        """Guards against a stop that aborts streams, or that never ends."""
        with running_fleet(make_plan(token_gap_ms=20)) as fleet:
            stopping, *others = fleet.entries
            streams = _start_streams(fleet, [stopping], 4)
            result = run_cli(
                fleet, "stop", "schedule", stopping.name, "--in", "0 s"
            )
            self.assertEqual(result.returncode, 0, result.stderr)
            launcher.wait_until(
                lambda: (
                    launcher.call(
                        stopping.admin_address, "GET", "/admin/ready"
                    ).status
                    == 503
                ),
                "the entry VM reports that it is not ready",
            )
            self.assertEqual(complete(stopping).status, 200)
            stopping.signal(signal.SIGTERM)
            launcher.wait_until(
                lambda: self._check_refused(stopping), "new calls are refused"
            )
            for entry in others:
                self.assertEqual(complete(entry).status, 200)
            for stream in streams:
                self.assertIsNone(stream.find_problem())
            self.assertEqual(stopping.popen.wait(_EXIT_LIMIT_S), 0)

    def test_stop_of_entry_vm_waits_for_a_slow_caller(self) -> None:
        """Guards against a response that is aborted while it is being sent."""
        plan = make_plan(entries=2, prefill=0, decode=0)
        with running_fleet(plan) as fleet:
            stopping = fleet.entries[0]
            connection = _connect_with_small_buffer(stopping)
            path = f"/services/hajz-app/status?bytes={_RESPONSE_BYTES}"
            connection.request("GET", path, None, AUTHORIZATION)
            response = connection.getresponse()
            read_bytes = 0
            # Once the last part of the response fits into the output buffer,
            # it waits there in the process, since the kernel buffers are too
            # small for it.
            while not _is_idle(stopping):
                read_bytes += len(response.read(_READ_BYTES))
            stopping.signal(signal.SIGTERM)
            with self.assertRaises(subprocess.TimeoutExpired):
                stopping.popen.wait(3.0)
            while chunk := response.read(_READ_BYTES):
                read_bytes += len(chunk)
            connection.close()
            self.assertGreater(read_bytes, _RESPONSE_BYTES)
            self.assertEqual(stopping.popen.wait(_EXIT_LIMIT_S), 0)

    def test_stop_of_entry_vm_completes_a_booking(self) -> None:
        """Guards against a booking whose outcome is unknown after a stop."""
        plan = make_plan(entries=2, prefill=0, decode=0)
        with running_fleet(plan) as fleet:
            stopping, other = fleet.entries
            set_service_faults(fleet, work_s=1.5)
            booking = BackgroundBooking(lambda: send_booking(stopping, "stop"))
            launcher.wait_until(
                lambda: count_runs(fleet, "stop") == 1, "the booking is running"
            )
            stopping.signal(signal.SIGTERM)
            self.assertEqual(booking.wait(), ANSWERED)
            self.assertEqual(stopping.popen.wait(_EXIT_LIMIT_S), 0)
            repeat = send_booking(other, "stop")
            self.assertEqual(repeat.headers["idempotency-replayed"], "true")
            self.assertEqual(count_runs(fleet, "stop"), 1)

    def _check_refused(self, entry: Process) -> bool:
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
        Stream(entry, f"stream {number} {entry.name}", _STREAM_TOKENS)
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


def _wait_until_in_force(
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
        endpoint["vm"] == name and endpoint["leaving"]
        for endpoint in read_status(entry)["endpoints"]
    )


def _count_reservations(fleet: Fleet, name: str) -> int:
    received = fleet.processes_by_name[name].call("GET", "/seen").json()
    return sum(
        request["path"] == "/reservations" for request in received["requests"]
    )
