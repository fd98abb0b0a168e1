from __future__ import annotations

import http.server
import json
import threading
import unittest
from typing import Any

from tests.support.objects import InMemoryObjectStore
from tests.support.operators import run_command, run_json

_STATUS = {
    "vm": "entry-1",
    "availability_zone": "fes-a",
    "generation": 7,
    "draining": False,
    "idle": False,
    "claims": {"waiting": 3},
    "requests": {"queued": 2, "decoding": 5},
    "members": [
        {"vm": "entry-1", "availability_zone": "fes-a", "state": "alive"},
        {"vm": "entry-2", "availability_zone": "fes-a", "state": "dead"},
    ],
    "endpoints": [
        {"vm": "decode-1", "pool": "decode", "free": 3, "added_later": [1]}
    ],
    "quarantine": [{"fingerprint": "ab12"}],
    "roles": [{"vm": "decode-1", "pool": "prefill", "state": "changing"}],
    "orders": [
        {
            "vm": "decode-2",
            "missing": [{"model": "large", "adapter": "legal"}],
            "refused_generation": 6,
        },
        {"vm": "decode-3", "missing": 1},
    ],
    "added_later": [1, 2],
}


class _Handler(http.server.BaseHTTPRequestHandler):
    answers: dict[str, Any]
    seen: list[tuple[str, str]]

    def do_GET(self) -> None:
        self.seen.append((self.path, self.headers.get("Authorization", "")))
        body = json.dumps(self.answers.get(self.path)).encode()
        self.send_response(200 if self.path in self.answers else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_arguments: Any) -> None:
        """Suppresses the access log."""


class EntryRequestsTest(unittest.TestCase):
    def serve(self, answers: dict[str, Any]) -> str:
        self.seen: list[tuple[str, str]] = []
        handler = type(
            "Handler", (_Handler,), {"answers": answers, "seen": self.seen}
        )
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        return f"127.0.0.1:{server.server_port}"

    def test_status_prints_a_fleet_and_ignores_unknown_fields(self) -> None:
        address = self.serve({"/admin/status": _STATUS})
        result = run_command(
            InMemoryObjectStore(), "status", "--admin", address
        )
        self.assertEqual(result.exit_code, 0, result.output)
        lines = [line.split() for line in result.stdout.splitlines()]
        vm = ["entry-1", "fes-a", "7", "false", "false"]
        self.assertIn([*vm, "decoding=5", "queued=2", "1", "3", address], lines)
        self.assertIn(["fes-a", "dead", "1"], lines)
        self.assertIn(["ab12"], lines)
        endpoint = ["decode-1", "-", "decode", *"-----", "3", "-"]
        self.assertIn(endpoint, lines)
        self.assertIn(["decode-1", "role", "prefill", "changing"], lines)
        order = "decode-2 large legal not confirmed; refused generation 6"
        self.assertIn(order.split(), lines)

    def test_status_accepts_fields_of_other_types(self) -> None:
        # Guards against a command that fails during an upgrade, when entry VMs
        # of another version respond.
        for value in (None, [], {}, 5, "text", [1, [2]], {"a": 1}):
            with self.subTest(value):
                status = dict.fromkeys(_STATUS, value)
                address = self.serve({"/admin/status": status})
                result = run_command(
                    InMemoryObjectStore(), "status", "--admin", address
                )
                self.assertEqual(result.exit_code, 0, result.output)

    def test_status_prints_the_vms_that_respond(self) -> None:
        good = self.serve({"/admin/status": _STATUS})
        bad = self.serve({"/admin/status": [1]})
        arguments = ("status", "--admin", good, "--admin", bad)
        value = run_json(InMemoryObjectStore(), *arguments)
        self.assertEqual(list(value["vms"]), [good])
        self.assertEqual(list(value["unreachable"]), [bad])
        result = run_command(InMemoryObjectStore(), *arguments)
        self.assertEqual(result.exit_code, 4)

    def test_lookup_quotes_the_key_and_authenticates(self) -> None:
        path = "/v1/outcomes/a%2Fb%20c"
        address = self.serve({path: {"outcome": "ran"}})
        arguments = ("lookup", "a/b c", "--entry", address)
        result = run_command(InMemoryObjectStore(), *arguments)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(json.loads(result.stdout), {"outcome": "ran"})
        self.assertEqual(self.seen, [(path, "Bearer token")])
        absent = run_command(
            InMemoryObjectStore(), "lookup", "other", "--entry", address
        )
        self.assertEqual(absent.exit_code, 1)

    def test_lookup_reports_an_entry_vm_that_refuses_connections(self) -> None:
        server = http.server.HTTPServer(("127.0.0.1", 0), _Handler)
        address = f"127.0.0.1:{server.server_port}"
        server.server_close()
        result = run_command(
            InMemoryObjectStore(), "lookup", "key", "--entry", address
        )
        self.assertEqual(result.exit_code, 4)
        self.assertIn("not reachable", result.stderr)
