"""The gateway as a process: start, readiness, signals and metrics."""

from __future__ import annotations

import http.client
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import unittest
from typing import Any

from standins.object_store import ObjectStore
from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    Received,
    ScriptedEndpoint,
    chunk,
    respond,
)
from tests.support.gateways import HOST, make_document, wait_for

_OK = respond(200, b"done", {"Response-Stamp": "s"})


def _find_free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [server_socket.getsockname()[1] for server_socket in sockets]
    for server_socket in sockets:
        server_socket.close()
    return ports


class GatewayProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ObjectStore()
        self.addCleanup(self.store.close)
        self.caller_port, self.ready_port, self.metrics_port = _find_free_ports(
            3
        )
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def start(self) -> subprocess.Popen[str]:
        """Starts the gateway with the settings of this test."""
        path = pathlib.Path(self.folder, "settings.yaml")
        path.write_text(
            "vm: vm-1\navailability_zone: zone-a\n"
            f"caller_address: 127.0.0.1:{self.caller_port}\n"
            f"ready_address: 127.0.0.1:{self.ready_port}\n"
            f"metrics_address: 127.0.0.1:{self.metrics_port}\n"
            f"store_address: {self.store.address}\n"
            "threads: 8\ngrace_s: 8 s\n"
        )
        log = self.enterContext(pathlib.Path(self.folder, "log").open("w"))
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "burdockspan",
                "gateway",
                "--settings",
                str(path),
            ],
            stdout=log,
            stderr=subprocess.STDOUT,
            text=True,
            env=os.environ.copy(),
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def get(self, port: int, path: str) -> tuple[int, bytes]:
        """Returns the status and body of a GET; status 0 without a response."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
        headers = {"Host": HOST, "Request-Id": "r1"}
        try:
            connection.request("GET", path, headers=headers)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def register_endpoint(self, script: Any) -> ScriptedEndpoint:
        """Registers an endpoint of the service `app`."""
        endpoint = ScriptedEndpoint("i-1", script)
        self.addCleanup(endpoint.close)
        self.store.put(
            "servers", "i-1", endpoint.as_store_entry("app", "zone-a")
        )
        return endpoint

    def wait_until_ready(self) -> None:
        """Waits until the readiness check returns 200."""
        wait_for(lambda: self.get(self.ready_port, "/v1/ready")[0] == 200)

    def read_log(self) -> list[dict[str, Any]]:
        """Returns the log events so far."""
        text = pathlib.Path(self.folder, "log").read_text()
        return [json.loads(line) for line in text.splitlines() if line]

    def test_ready_only_with_configuration_and_endpoints(self) -> None:
        """Guards against traffic to a VM that cannot serve requests."""
        self.start()
        wait_for(lambda: self.get(self.ready_port, "/v1/ready")[0] == 503)
        self.assertEqual(self.get(self.caller_port, "/read/x")[0], 503)
        self.store.put("config", "main", make_document())
        wait_for(lambda: self.get(self.caller_port, "/other/x")[0] == 404)
        self.assertEqual(self.get(self.ready_port, "/v1/ready")[0], 503)
        self.register_endpoint(lambda _: _OK)
        self.wait_until_ready()
        self.assertEqual(self.get(self.caller_port, "/read/x"), (200, b"done"))

    def test_start_during_a_store_outage_completes_after_it(self) -> None:
        """Guards against a VM that stays not ready after an outage."""
        self.store.status = 503
        self.store.put("config", "main", make_document())
        self.register_endpoint(lambda _: _OK)
        self.start()
        wait_for(lambda: self.get(self.ready_port, "/v1/ready")[0] == 503)
        self.store.status = None
        self.wait_until_ready()

    def test_sigterm_interrupts_no_running_response(self) -> None:
        """Guards against streams that a planned stop interrupts."""
        self.store.put("config", "main", make_document())
        second_event = threading.Event()

        def script(received: Received) -> list[Any]:
            events = [chunk(b"id: 1\n\n"), second_event, chunk(b"id: 2\n\n")]
            return [CHUNKED_HEAD, *events, LAST_CHUNK]

        endpoint = self.register_endpoint(script)
        entry = endpoint.as_store_entry("llm", "zone-a")
        self.store.put("servers", "i-1", entry)
        process = self.start()
        self.wait_until_ready()
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.caller_port, timeout=20
        )
        self.addCleanup(connection.close)
        headers = {"Host": HOST, "Request-Id": "r1"}
        connection.request("POST", "/draft/x", b"p", headers)
        response = connection.getresponse()
        self.assertEqual(response.read1(100), b"id: 1\n\n")
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: self.get(self.ready_port, "/v1/ready")[0] == 503)
        # New requests are still served, since callers may not know yet that the
        # VM is not ready.
        status, _ = self.get(self.caller_port, "/other/x")
        self.assertEqual(status, 404)
        second_event.set()
        self.assertEqual(response.read(), b"id: 2\n\n")
        self.assertEqual(process.wait(timeout=20), 0)
        events = [line["event"] for line in self.read_log()]
        self.assertIn("stopping", events)
        self.assertEqual(events[-1], "stopped")

    def test_stop_answers_each_request_that_an_endpoint_has_run(self) -> None:
        """Guards against answers that the end of the process cuts off.

        Callers use their connections until the process is gone.
        """
        self.store.put("config", "main", make_document())
        runs: set[str] = set()

        def script(received: Received) -> list[Any]:
            runs.add(received.target)
            return list(_OK)  # type: ignore[arg-type]

        self.register_endpoint(script)
        process = self.start()
        self.wait_until_ready()
        answered: set[str] = set()

        def call_repeatedly(caller: int) -> None:
            connection = http.client.HTTPConnection(
                "127.0.0.1", self.caller_port, timeout=20
            )
            headers = {"Host": HOST, "Deadline-Ms": "300"}
            for count in itertools.count():
                target = f"/read/{caller}/{count}"
                headers["Request-Id"] = f"r-{caller}-{count}"
                try:
                    connection.request("GET", target, headers=headers)
                    response = connection.getresponse()
                    if response.read() == b"done":
                        answered.add(target)
                except ConnectionRefusedError:
                    return
                except OSError:
                    # The request crossed the close of its connection.
                    connection.close()

        callers = [
            threading.Thread(target=call_repeatedly, args=(index,))
            for index in range(4)
        ]
        for caller in callers:
            caller.start()
        wait_for(lambda: len(answered) > 20)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(timeout=20), 0)
        for caller in callers:
            caller.join()
        self.assertEqual(runs - answered, set())

    def test_payment_during_changes_of_settings_runs_once(self) -> None:
        """Guards against a second payment after SIGHUP ended the first one.

        The settings change several times while the payment runs: a new limit,
        a malformed file, and the original file during the graceful stop.
        """
        self.store.put("config", "main", make_document())
        paid = threading.Event()
        runs: list[str] = []

        def script(received: Received) -> list[Any]:
            if received.target == "/health":
                return list(_OK)
            runs.append(received.target)
            return [paid, *_OK]

        self.register_endpoint(script)
        process = self.start()
        self.wait_until_ready()
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.caller_port, timeout=20
        )
        self.addCleanup(connection.close)
        headers = {"Host": HOST, "Request-Id": "r1"}
        connection.request("POST", "/pay/x", b"p", headers)
        try:
            wait_for(lambda: runs == ["/pay/x"])
        except AssertionError as error:
            raise AssertionError(f"{runs}, log: {self.read_log()}") from error
        path = pathlib.Path(self.folder, "settings.yaml")
        text = path.read_text()

        def count(event: str) -> int:
            return sum(line["event"] == event for line in self.read_log())

        path.write_text(text + "retry_budget: {slack: 35.5}\n")
        process.send_signal(signal.SIGHUP)
        wait_for(lambda: count("settings reloaded") == 1)
        path.write_text("vm: [")
        process.send_signal(signal.SIGHUP)
        wait_for(lambda: count("settings not reloaded") == 1)
        self.assertEqual(self.get(self.ready_port, "/v1/ready")[0], 200)
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: count("stopping") == 1)
        path.write_text(text)
        process.send_signal(signal.SIGHUP)
        wait_for(lambda: count("settings reloaded") == 2)
        paid.set()
        response = connection.getresponse()
        self.assertEqual((response.status, response.read()), (200, b"done"))
        self.assertEqual(process.wait(timeout=20), 0)
        self.assertEqual(runs, ["/pay/x"])

    def test_metrics_count_responses(self) -> None:
        """Guards against a metrics address without metrics."""
        self.store.put("config", "main", make_document())
        self.register_endpoint(lambda _: _OK)
        self.start()
        self.wait_until_ready()
        self.get(self.caller_port, "/read/x")
        status, text = self.get(self.metrics_port, "/metrics")
        self.assertEqual(status, 200)
        self.assertIn(b"burdockspan_events_total", text)
        self.assertIn(b"burdockspan_duration_seconds_bucket", text)

    def test_invalid_settings_name_field_and_limit(self) -> None:
        """Guards against a process that starts with invalid settings."""
        path = pathlib.Path(self.folder, "bad.yaml")
        path.write_text("vm: x\nthreads: many\ncaller_adress: 1\n")
        command = [sys.executable, "-m", "burdockspan", "gateway"]
        result = subprocess.run(
            [*command, "--settings", str(path), "--check"],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(result.returncode, 2)
        self.assertIn("threads", result.stderr)
        self.assertIn("caller_adress", result.stderr)
