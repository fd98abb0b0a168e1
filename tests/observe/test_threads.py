"""Threads that last as long as their process go on after a failure."""

from __future__ import annotations

import contextlib
import io
import json
import socket
import threading
import time
import unittest
from unittest import mock

import pykka

from burdockspan.claims.write_retries import make_write_retries
from burdockspan.endpoints.sockets import IdleTimeoutMonitor, MonitoredStream
from burdockspan.node import actor
from burdockspan.observe import threads
from burdockspan.observe.event_log import make_event_log
from burdockspan.observe.threads import ThreadFailure
from standins.scripted_endpoint import ScriptedEndpoint, respond
from tests.support.gateways import Gateway, run_gateway, wait_for


def _fail() -> None:
    raise RuntimeError("unexpected")


class _FakeStop(threading.Event):
    """An event whose waits take no time."""

    def __init__(self) -> None:
        super().__init__()
        self.waits_s: list[float | None] = []

    def wait(self, timeout: float | None = None) -> bool:
        self.waits_s.append(timeout)
        return self.is_set()


class RunRepeatedlyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.failures: list[ThreadFailure] = []
        self.stopped = _FakeStop()
        self.now_s = 0.0

    def run_failing(self, failures: int, duration_s: float = 0.0) -> int:
        """Runs a function that fails some times; returns its calls."""
        calls = []

        def run() -> None:
            calls.append(len(calls))
            self.now_s += duration_s
            if len(calls) <= failures:
                raise ValueError("x" * 10_000)

        threads.run_repeatedly(
            run,
            "watch",
            self.stopped,
            self.failures.append,
            lambda: self.now_s,
        )
        return len(calls)

    def test_function_runs_again_after_each_failure(self) -> None:
        """Guards against a thread that ends while its process lives."""
        self.assertEqual(self.run_failing(9), 10)
        self.assertEqual([f.failures for f in self.failures], [*range(1, 10)])

    def test_delays_grow_up_to_a_limit(self) -> None:
        """Guards against a function that fails without a pause."""
        self.run_failing(9)
        delays_s = [failure.delay_s for failure in self.failures]
        self.assertEqual(delays_s, sorted(delays_s))
        self.assertEqual(delays_s[-1], 5.0)
        self.assertEqual(self.stopped.waits_s, delays_s)

    def test_failure_after_a_sound_run_counts_as_the_first(self) -> None:
        """Guards against long delays because of failures long ago."""
        self.run_failing(3, duration_s=60.0)
        self.assertEqual([f.failures for f in self.failures], [1, 1, 1])

    def test_function_does_not_run_again_after_the_stop(self) -> None:
        """Guards against threads that outlast a stop."""
        self.stopped.set()
        self.assertEqual(self.run_failing(9), 1)

    def test_report_is_bounded(self) -> None:
        """Guards against a log line of any length."""
        self.run_failing(1)
        (failure,) = self.failures
        self.assertLess(len(failure.error) + len(failure.trace), 5000)

    def test_other_thread_that_ends_is_reported(self) -> None:
        """Guards against an exception that no log line tells of."""
        before = threading.excepthook
        self.addCleanup(setattr, threading, "excepthook", before)
        threads.report_ended_threads(self.failures.append)
        with contextlib.redirect_stderr(io.StringIO()):
            thread = threading.Thread(target=_fail, name="probe-17")
            thread.start()
            thread.join()
        (failure,) = self.failures
        self.assertEqual((failure.thread, failure.delay_s), ("probe", None))


class LastingThreadsTest(unittest.TestCase):
    def test_watch_goes_on_after_an_unexpected_error(self) -> None:
        """Guards against a VM that never again learns of an endpoint."""
        gateway: Gateway = self.enterContext(
            contextlib.contextmanager(run_gateway)()
        )
        state = gateway.components.context.state
        change = state.change_endpoint_table
        with mock.patch.object(state, "change_endpoint_table") as failing:
            failing.side_effect = [RuntimeError("unexpected")]
            gateway.store.put("servers", "i-x", {"state": "ready"})
            wait_for(lambda: bool(gateway.events_named("thread failed")))
            failing.side_effect = change
            gateway.add_endpoint(
                ScriptedEndpoint("i-1", lambda _: respond(200, b""))
            )
        (failed,) = gateway.events_named("thread failed")
        self.assertEqual(failed["thread"], "follow-servers")
        rendered = gateway.components.context.registry.render().decode()
        self.assertIn('outcome="failed_follow-servers"', rendered)

    def test_log_goes_on_after_a_value_that_cannot_be_written(self) -> None:
        """Guards against a process without a log."""

        class Value:
            def __str__(self) -> str:
                raise RuntimeError("no text")

        nested: list[object] = []
        for _ in range(100_000):
            nested = [nested]
        stream = io.StringIO()
        log = make_event_log("vm-1", time.monotonic, time.time, stream)
        log.start()
        log.write("first", value=Value())
        log.write("second", value=nested)
        log.write("third", value=1)
        log.close()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual(
            [line["event"] for line in lines], ["first", "second", "third"]
        )

    def test_streams_are_limited_after_a_thread_could_not_start(self) -> None:
        """Guards against streams without limits for the rest of the process."""
        monitor = IdleTimeoutMonitor(time.monotonic)
        self.addCleanup(monitor.close)
        with (
            mock.patch.object(
                threading.Thread, "start", side_effect=RuntimeError("no thread")
            ),
            contextlib.suppress(RuntimeError),
        ):
            monitor.add(MonitoredStream(socket.socket(), 60.0))
        here, there = socket.socketpair()
        self.addCleanup(here.close)
        self.addCleanup(there.close)
        stream = MonitoredStream(here, 60.0, deadline_s=0.0)
        monitor.add(stream)
        wait_for(lambda: stream.expired)

    def test_writes_go_on_after_one_that_raises(self) -> None:
        """Guards against claims that stay held until their process ends."""
        now_s = [1000.0]
        retries = make_write_retries(lambda: now_s[0], lambda: 0.0)
        self.assertTrue(retries.add(_fail, 1))  # type: ignore[arg-type]
        now_s[0] += 60.0
        retries.run_due()
        self.assertEqual(retries.counts().waiting, 0)

    def test_node_handles_messages_after_one_that_fails(self) -> None:
        """Guards against an entry process that lives on without its node."""
        with mock.patch.object(actor, "handle") as handle:
            handle.side_effect = [RuntimeError("unexpected"), (None, ())]
            node = actor.Node.start(None, None, lambda effects: None)
            self.addCleanup(pykka.ActorRegistry.stop_all)
            node.tell("first")
            node.ask("second")
        self.assertTrue(node.is_alive())
