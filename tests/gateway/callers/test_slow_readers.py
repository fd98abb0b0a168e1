"""Callers that read their answers slowly, beside callers that read quickly."""

from __future__ import annotations

import contextlib
import resource
import socket
import statistics
import struct
import threading
import time
import unittest
from unittest import mock

from burdockspan.gateway.callers.response_buffers import (
    SHORTAGE_BYTES,
    HeldResponse,
    ResponseBufferLimits,
    ResponseBuffers,
    compute_total_bytes,
    split_part,
)
from burdockspan.http import listener
from burdockspan.observe.registry import make_registry
from standins.scripted_endpoint import (
    Received,
    ScriptedEndpoint,
    Step,
    respond,
)
from tests.support.gateways import (
    HOST,
    make_document,
    make_route,
    run_gateway,
    wait_for,
)

_STAMP = {"Response-Stamp": "s"}
_BODY_BYTES = 900_000
_SLOW_READERS = 200
_MEMORY_MB = 136.0
# Workers that may exceed the limit by the part that each of them holds.
_THREADS = 160


def _script(received: Received) -> list[Step]:
    size_bytes = _BODY_BYTES if received.target == "/read/long" else 100
    return list(respond(200, b"x" * size_bytes, _STAMP))


class TestLimits(unittest.TestCase):
    def test_limit_of_a_connection_falls_while_memory_is_short(self) -> None:
        """Guards against 200 slow readers that hold 2 MiB each."""
        buffers = ResponseBuffers(
            ResponseBufferLimits(2_000_000, 5_000_000), make_registry()
        )
        self.assertEqual(buffers.connection_limit_bytes(), 2_000_000)
        self.assertEqual(buffers.whole_response_limit_bytes(1_000_000), 10**6)
        held = HeldResponse(buffers)
        held.add(5_000_000)
        self.assertEqual(buffers.connection_limit_bytes(), SHORTAGE_BYTES)
        self.assertEqual(buffers.whole_response_limit_bytes(10**6), 65_536)
        self.assertEqual(buffers.whole_response_limit_bytes(0), 0)
        held.release()
        held.release()
        self.assertEqual(buffers.held_bytes, 0)
        self.assertEqual(buffers.connection_limit_bytes(), 2_000_000)

    def test_no_limit_of_all_without_a_setting(self) -> None:
        """Guards against deployments that are served in another way."""
        buffers = ResponseBuffers(
            ResponseBufferLimits(total_bytes=compute_total_bytes(None)),
            make_registry(),
        )
        buffers.change(10**12)
        self.assertFalse(buffers.is_short)

    def test_parts_are_split_without_loss(self) -> None:
        """Guards against one part that is as large as a whole response."""
        part = bytes(range(256)) * 1000
        pieces = list(split_part(part))
        self.assertEqual(b"".join(pieces), part)
        self.assertLessEqual(max(map(len, pieces)), SHORTAGE_BYTES)


class TestSlowReaders(unittest.TestCase):
    def setUp(self) -> None:
        """Starts a gateway with the memory of the smallest VM.

        Small buffers in the kernel, as on a narrow link, leave the bytes to the
        process.
        """
        options = [
            *listener.CALLER_SOCKET_OPTIONS,
            (socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384),
        ]
        self.enterContext(
            mock.patch.object(listener, "CALLER_SOCKET_OPTIONS", options)
        )
        self.gateway = self.enterContext(
            contextlib.contextmanager(run_gateway)(
                make_document(routes=[make_route("read", timeout_ms=20_000)]),
                threads=_THREADS,
                memory_mb=_MEMORY_MB,
            )
        )
        self.gateway.add_endpoint(ScriptedEndpoint("i-1", _script), slots=1000)
        self.buffers = self.gateway.components.context.response_buffers

    def start_slow_reader(self, number: int) -> socket.socket:
        """Sends a request for a long answer, and reads nothing."""
        host, _, port = self.gateway.address.rpartition(":")
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.settimeout(20.0)
        caller.connect((host, int(port)))
        caller.sendall(
            f"GET /read/long HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: slow-{number}\r\nDeadline-Ms: 20000\r\n\r\n".encode()
        )
        # Closed with a reset, so that no answer is left in the kernel.
        linger = struct.pack("ii", 1, 0)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.addCleanup(caller.close)
        return caller

    def measure_quick(self) -> float:
        """Returns the time of a short answer, in seconds."""
        began_s = time.monotonic()
        response = self.gateway.call("GET", "/read/x")
        self.assertEqual((response.status, len(response.body)), (200, 100))
        return time.monotonic() - began_s

    def test_memory_is_bounded_beside_quick_readers(self) -> None:
        """Guards against memory that grows with the slow readers.

        200 readers of 0.9 MB would hold 180 MB of a VM that has 136 MB.
        """
        before_s = statistics.median(self.measure_quick() for _ in range(20))
        most_bytes = [0]
        stopped = threading.Event()

        def watch() -> None:
            while not stopped.wait(0.005):
                most_bytes[0] = max(most_bytes[0], self.buffers.held_bytes)

        watcher = threading.Thread(target=watch, daemon=True)
        watcher.start()
        slow = [self.start_slow_reader(n) for n in range(_SLOW_READERS)]
        time.sleep(0.5)
        beside_s = statistics.median(self.measure_quick() for _ in range(50))
        stopped.set()
        watcher.join()
        peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        print(
            f"slow readers: held at most {most_bytes[0] / 1e6:.1f} MB, "
            f"process with callers and endpoint {peak_kb / 1e3:.0f} MB, "
            f"quick answers {before_s * 1e3:.1f} ms alone, "
            f"{beside_s * 1e3:.1f} ms beside {len(slow)} slow readers, "
            f"{len(self.gateway.events_named('connection closed'))} lines of "
            "closed connections"
        )
        self.assertLess(most_bytes[0], _MEMORY_MB * 1e6 / 2)
        self.assertLess(beside_s, 3 * before_s + 0.01)

    def test_stalled_reader_is_cut_off_and_a_slow_one_is_served(self) -> None:
        """Guards against memory that stalled readers keep for two minutes."""
        held = HeldResponse(self.buffers)
        held.add(int(compute_total_bytes(_MEMORY_MB)))
        stalled, slow = self.start_slow_reader(1), self.start_slow_reader(2)
        received = 0
        while not self.gateway.events_named("connection closed"):
            received += len(slow.recv(8192))
            time.sleep(0.05)
        closed = self.gateway.events_named("connection closed")
        self.assertEqual([event["reason"] for event in closed], ["not_read"])
        held.release()
        while received < _BODY_BYTES:
            part = slow.recv(65_536)
            self.assertNotEqual(part, b"")
            received += len(part)
        with self.assertRaises(ConnectionResetError):
            while stalled.recv(65_536):
                pass
        wait_for(lambda: self.buffers.held_bytes == 0)


if __name__ == "__main__":
    unittest.main()
