from __future__ import annotations

import http.server
import json
import threading
import unittest
from typing import Any

from tests.support.objects import InMemoryObjectStore
from tests.support.operators import run_command, run_json

_EXPLANATION = {
    "summary": "is sent to i-1",
    "account": "acme",
    "quota": {"units": 1.0, "charged_now": True},
    "stages": {
        "plain": [
            {"endpoint": "i-1", "zone": "a", "reason": None, "estimate": {}},
            {"endpoint": "i-2", "zone": "b", "reason": "other zone"},
        ]
    },
    "added_later": 1,
}


class ExplainTest(unittest.TestCase):
    def serve(self, status: int, value: Any) -> str:
        """Serves one answer; returns the address."""
        self.received: list[Any] = []
        received = self.received

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                length = int(self.headers["Content-Length"])
                received.append(
                    (self.path, json.loads(self.rfile.read(length)))
                )
                body = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_arguments: Any) -> None:
                """Suppresses the access log."""

        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        return f"127.0.0.1:{server.server_port}"

    def run_explain(self, address: str, *more: str) -> Any:
        return run_command(
            InMemoryObjectStore(),
            "explain",
            *("--address", address, "--target", "/read/x", "--host", "h"),
            *more,
        )

    def test_prints_the_outcome_and_a_table_of_candidates(self) -> None:
        # Guards against fields of newer VMs, and missing ones, that fail.
        address = self.serve(200, _EXPLANATION)
        result = self.run_explain(address, "--header", "Request-Id: r1:2")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertTrue(result.stdout.startswith("is sent to i-1\n"))
        self.assertRegex(result.stdout, "(?m)^i-2 +b .* other zone$")
        headers = [["Host", "h"], ["Request-Id", "r1:2"]]
        sent = {"method": "GET", "target": "/read/x", "headers": headers}
        self.assertEqual(self.received, [("/explain", sent)])

    def test_json_is_the_answer_of_the_vm(self) -> None:
        address = self.serve(200, _EXPLANATION)
        value = run_json(
            InMemoryObjectStore(),
            *("explain", "--address", address),
            *("--target", "/read/x", "--host", "h"),
        )
        self.assertEqual(value, _EXPLANATION)

    def test_failures_have_exit_codes(self) -> None:
        # Guards against a malformed request that looks like a lost VM.
        bad = self.serve(400, {"field": "target", "detail": "must be x"})
        result = self.run_explain(bad)
        self.assertEqual(
            (result.exit_code, result.stderr), (2, "target: must be x\n")
        )
        self.assertEqual(self.run_explain("127.0.0.1:1").exit_code, 4)
        self.assertEqual(self.run_explain(self.serve(500, {})).exit_code, 1)

    def test_malformed_header_is_not_repeated(self) -> None:
        # Guards against a key in the message about a header.
        result = self.run_explain("127.0.0.1:1", "--header", "Bearer secret")
        self.assertEqual(result.exit_code, 2)
        self.assertNotIn("secret", result.output + result.stderr)


if __name__ == "__main__":
    unittest.main()
