"""Threads of a server, which start as requests need them."""

from __future__ import annotations

import http.client
import threading
import unittest
from collections.abc import Iterable
from typing import Any

from burdockspan.http.listener import GrowingTaskDispatcher, make_server
from tests.support.gateways import wait_for

_LIMIT = 6


class _Task:
    """A task that runs until it is released."""

    def __init__(
        self, running: threading.Semaphore, release: threading.Event
    ) -> None:
        self._running = running
        self._release = release

    def service(self) -> None:
        """Runs the task."""
        self._running.release()
        self._release.wait(20)


class TestThreads(unittest.TestCase):
    def setUp(self) -> None:
        self.release = threading.Event()
        self.running = 0
        self.most_running = 0
        self.lock = threading.Lock()
        before = threading.active_count()
        self.server = make_server(self.serve, "127.0.0.1:0", _LIMIT)
        self.threads_at_start = threading.active_count() - before
        self.thread = threading.Thread(target=self.server.run)
        self.thread.start()
        self.addCleanup(self.thread.join)
        self.addCleanup(self.server.stop)
        self.addCleanup(self.release.set)

    def serve(self, _: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answers once the test releases the requests."""
        with self.lock:
            self.running += 1
            self.most_running = max(self.most_running, self.running)
        self.release.wait(20)
        with self.lock:
            self.running -= 1
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    def send(self) -> http.client.HTTPConnection:
        """Sends a request without reading its response."""
        connection = http.client.HTTPConnection(self.server.address, timeout=20)
        self.addCleanup(connection.close)
        connection.request("GET", "/")
        return connection

    def test_idle_server_has_no_worker_threads(self) -> None:
        """Guards against processes that hold threads they never use."""
        self.assertEqual(self.threads_at_start, 0)

    def test_requests_run_concurrently_up_to_the_limit(self) -> None:
        """Guards against requests that wait although threads are allowed."""
        connections = [self.send() for _ in range(_LIMIT + 3)]
        wait_for(lambda: self.running == _LIMIT)
        self.release.set()
        for connection in connections:
            self.assertEqual(connection.getresponse().status, 200)
        self.assertEqual(self.most_running, _LIMIT)

    def test_tasks_added_at_the_same_time_all_get_threads(self) -> None:
        """Guards against a request that waits for another one to end.

        Worker threads and the event loop add tasks at the same time.
        """
        for _ in range(200):
            dispatcher = GrowingTaskDispatcher(8)
            release = threading.Event()
            running = threading.Semaphore(0)
            adders = [
                threading.Thread(
                    target=dispatcher.add_task, args=(_Task(running, release),)
                )
                for _ in range(8)
            ]
            for adder in adders:
                adder.start()
            started = [running.acquire(timeout=5) for _ in adders]
            release.set()
            dispatcher.shutdown()
            self.assertEqual(started, [True] * len(adders))

    def test_idle_threads_are_used_again(self) -> None:
        """Guards against one thread for each request ever received."""
        self.release.set()
        before = threading.active_count()
        for _ in range(10):
            self.assertEqual(self.send().getresponse().status, 200)
        self.assertLessEqual(threading.active_count() - before, 2)


if __name__ == "__main__":
    unittest.main()
