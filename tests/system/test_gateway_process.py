"""A gateway as a process of its own: start, readiness, signals, metrics."""

from __future__ import annotations

import http.client
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


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class TestGatewayProcess(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ObjectStore()
        self.addCleanup(self.store.close)
        self.front, self.ready, self.metrics = _free_ports(3)
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def start(self) -> subprocess.Popen[str]:
        """Starts the gateway with the settings of this test."""
        path = pathlib.Path(self.folder, "settings.yaml")
        path.write_text(
            "vm: vm-1\navailability_zone: zone-a\n"
            f"caller_address: 127.0.0.1:{self.front}\n"
            f"ready_address: 127.0.0.1:{self.ready}\n"
            f"metrics_address: 127.0.0.1:{self.metrics}\n"
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

    def ask(self, port: int, path: str) -> tuple[int, bytes]:
        """Returns the status and body of a GET; 0 without an answer."""
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

    def serve(self, script: Any) -> ScriptedEndpoint:
        """Registers an endpoint of both services."""
        endpoint = ScriptedEndpoint("i-1", script)
        self.addCleanup(endpoint.close)
        self.store.put("servers", "i-1", endpoint.entry("app", "zone-a"))
        return endpoint

    def wait_until_ready(self) -> None:
        """Waits for the first 200 of the readiness check."""
        wait_for(lambda: self.ask(self.ready, "/v1/ready")[0] == 200)

    def lines(self) -> list[dict[str, Any]]:
        """Returns the log so far."""
        text = pathlib.Path(self.folder, "log").read_text()
        return [json.loads(line) for line in text.splitlines() if line]

    def test_ready_only_with_configuration_and_endpoints(self) -> None:
        """Guards against callers at a VM that can serve nobody."""
        self.start()
        wait_for(lambda: self.ask(self.ready, "/v1/ready")[0] == 503)
        self.assertEqual(self.ask(self.front, "/read/x")[0], 503)
        self.store.put("config", "main", make_document())
        wait_for(lambda: self.ask(self.front, "/other/x")[0] == 404)
        self.assertEqual(self.ask(self.ready, "/v1/ready")[0], 503)
        self.serve(lambda _: _OK)
        self.wait_until_ready()
        self.assertEqual(self.ask(self.front, "/read/x"), (200, b"done"))

    def test_start_while_the_store_is_down_ends_soon_after_it(self) -> None:
        """Guards against a VM that stays away after an outage."""
        self.store.status = 503
        self.store.put("config", "main", make_document())
        self.serve(lambda _: _OK)
        self.start()
        wait_for(lambda: self.ask(self.ready, "/v1/ready")[0] == 503)
        self.store.status = None
        self.wait_until_ready()

    def test_term_ends_no_running_answer(self) -> None:
        """Guards against streams that a planned stop cuts off."""
        self.store.put("config", "main", make_document())
        more = threading.Event()

        def script(received: Received) -> list[Any]:
            events = [chunk(b"id: 1\n\n"), more, chunk(b"id: 2\n\n")]
            return [CHUNKED_HEAD, *events, LAST_CHUNK]

        endpoint = self.serve(script)
        entry = endpoint.entry("llm", "zone-a")
        self.store.put("servers", "i-1", entry)
        process = self.start()
        self.wait_until_ready()
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.front, timeout=20
        )
        self.addCleanup(connection.close)
        headers = {"Host": HOST, "Request-Id": "r1"}
        connection.request("POST", "/draft/x", b"p", headers)
        response = connection.getresponse()
        self.assertEqual(response.read1(100), b"id: 1\n\n")
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: self.ask(self.ready, "/v1/ready")[0] == 503)
        # Callers that have not noticed yet are still served.
        status, _ = self.ask(self.front, "/other/x")
        self.assertEqual(status, 404)
        more.set()
        self.assertEqual(response.read(), b"id: 2\n\n")
        self.assertEqual(process.wait(timeout=20), 0)
        events = [line["event"] for line in self.lines()]
        self.assertIn("stopping", events)
        self.assertEqual(events[-1], "stopped")

    def test_metrics_count_answers(self) -> None:
        """Guards against a metrics address that serves nothing."""
        self.store.put("config", "main", make_document())
        self.serve(lambda _: _OK)
        self.start()
        self.wait_until_ready()
        self.ask(self.front, "/read/x")
        status, text = self.ask(self.metrics, "/metrics")
        self.assertEqual(status, 200)
        self.assertIn(b"burdockspan_events_total", text)
        self.assertIn(b"burdockspan_duration_seconds_bucket", text)

    def test_invalid_settings_name_field_and_limit(self) -> None:
        """Guards against a process that starts on wrong settings."""
        path = pathlib.Path(self.folder, "bad.yaml")
        path.write_text("vm: x\nthreads: many\ncaller_adress: 1\n")
        command = [sys.executable, "-m", "burdockspan", "gateway"]
        ended = subprocess.run(
            [*command, "--settings", str(path), "--check"],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(ended.returncode, 2)
        self.assertIn("threads", ended.stderr)
        self.assertIn("caller_adress", ended.stderr)
