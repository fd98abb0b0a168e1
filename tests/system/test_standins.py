from __future__ import annotations

import http.client
import json
import socket
import threading
import unittest

from standins import tokens
from standins.launcher import Process, wait_until
from tests.support.processes import running_standin


def _prepare_attempt(
    prefill: Process, decode: Process, body: dict[str, object]
) -> str:
    """Reserves, prefills and imports an attempt; returns its ID."""
    attempt = f"vm-1:1:{body['seed']}"
    message = {"attempt": attempt, "path": "/v1/completions", "body": body}
    reserved = decode.call(
        "POST", "/reservations", {"attempt": attempt, "pieces": 2}
    )
    cache = prefill.call("POST", "/prefill", message).json()["cache"]
    imported = decode.call(
        "POST",
        "/imports",
        {"attempt": attempt, "source": prefill.address, "cache": cache},
    )
    assert (reserved.status, imported.status) == (201, 200)
    return attempt


def _join_tokens(stream: bytes) -> str:
    lines = stream.decode().splitlines()
    data = [line.removeprefix("data: ") for line in lines if "data: {" in line]
    return "".join(json.loads(line)["choices"][0]["text"] for line in data)


class EngineTest(unittest.TestCase):
    def setUp(self) -> None:
        engine = ("engine", "--name", "e", "--pool")
        self.prefill = self.enterContext(running_standin(*engine, "prefill"))
        self.decode = self.enterContext(running_standin(*engine, "decode"))

    def test_engine_responds_to_each_prompt_with_its_own_tokens(self) -> None:
        """Guards against responses that a test cannot tell apart."""
        for seed in (1, 2):
            body = {"prompt": f"p{seed}", "stream": True, "seed": seed}
            attempt = _prepare_attempt(self.prefill, self.decode, body)
            response = self.decode.call(
                "POST",
                "/v1/completions",
                body,
                {"Burdockspan-Attempt": attempt},
            )
            self.assertEqual(
                _join_tokens(response.body), tokens.expected_text(body)
            )
            self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"))
            received = self.decode.call("GET", "/seen").json()["requests"]
            self.assertEqual(received[-1]["body"]["seed"], seed)

    def test_engine_keeps_memory_and_resumes_after_a_lost_stream(self) -> None:
        """Guards against a stand-in that hides leaks of KV memory."""
        body = {"prompt": "p", "stream": True, "seed": 3, "max_tokens": 8}
        attempt = _prepare_attempt(self.prefill, self.decode, body)
        self.decode.set_faults(truncate=1)
        with self.assertRaises(http.client.IncompleteRead):
            self.decode.call(
                "POST",
                "/v1/completions",
                body,
                {"Burdockspan-Attempt": attempt},
            )
        attempts = self.decode.call("GET", "/attempts").json()["attempts"]
        self.assertEqual(attempts, [{"attempt": attempt, "pieces": 2}])
        path = f"/attempts/{attempt}"
        resumed = self.decode.call("GET", f"{path}/stream?after=1")
        expected = "".join(tokens.output_token("p", i) for i in range(2, 8))
        self.assertEqual(_join_tokens(resumed.body), expected)
        self.assertEqual(self.decode.call("DELETE", path).status, 200)
        attempts = self.decode.call("GET", "/attempts").json()["attempts"]
        self.assertEqual(attempts, [])

    def test_engine_refuses_a_reservation_beyond_its_memory(self) -> None:
        """Guards against a stand-in that overcommits KV memory."""
        message = {"attempt": "vm-1:1:1", "pieces": 21}
        response = self.decode.call("POST", "/reservations", message)
        self.assertEqual(response.status, 409)
        self.assertEqual(response.json()["outcome"], "not_run")

    def test_engine_crashes_on_a_marked_body(self) -> None:
        """Guards against a crash fault that does not end the process."""
        self.prefill.set_faults(crash_marker="poison")
        body = {"prompt": "poison", "seed": 1}
        with self.assertRaises((http.client.HTTPException, OSError)):
            self.prefill.call(
                "POST", "/prefill", {"attempt": "a", "body": body}
            )
        self.assertEqual(self.prefill.popen.wait(10), 3)

    def test_engine_stalls_a_transfer_until_it_is_cancelled(self) -> None:
        """Guards against a stall that ends by itself."""
        self.decode.set_faults(stall_transfers=True)
        statuses: list[int] = []
        message = {"attempt": "a:1:1", "pieces": 1, "source": "", "cache": "c"}
        self.decode.call("POST", "/reservations", message)
        thread = threading.Thread(
            target=lambda: statuses.append(
                self.decode.call("POST", "/imports", message).status
            )
        )
        thread.start()
        wait_until(
            lambda: (
                self.decode.call("GET", "/seen").json()["requests"][-1]["path"]
                == "/imports"
            ),
            "the import has started",
        )
        self.assertEqual(statuses, [])
        self.decode.call("DELETE", "/attempts/a:1:1")
        thread.join(10)
        self.assertEqual(statuses, [404])

    def test_engine_releases_on_disconnect_only_with_its_option(self) -> None:
        """Guards against leaks that the stand-in hides from the tests of P1."""
        releasing = self.enterContext(
            running_standin(
                "engine",
                *("--pool", "decode", "--name", "f", "--frees-on-disconnect"),
            )
        )
        body = {"prompt": "p", "stream": True, "seed": 4, "max_tokens": 9}
        for decode, expected_count in ((self.decode, 1), (releasing, 0)):
            attempt = _prepare_attempt(self.prefill, decode, body)
            decode.set_faults(truncate=1)
            with self.assertRaises(http.client.IncompleteRead):
                decode.call(
                    "POST",
                    "/v1/completions",
                    body,
                    {"Burdockspan-Attempt": attempt},
                )
            wait_until(
                lambda decode=decode, expected_count=expected_count: (  # type: ignore[misc]
                    len(decode.call("GET", "/attempts").json()["attempts"])
                    == expected_count
                ),
                "the number of attempts is as expected",
            )

    def test_leaving_engine_refuses_work_and_reports_stale_load(self) -> None:
        """Guards against a stand-in that ignores `leaving` or `load_lag_s`."""
        self.decode.set_faults(leaving=True, load_lag_s=3600)
        message = {"attempt": "a:1:1", "pieces": 1}
        response = self.decode.call("POST", "/reservations", message)
        self.assertEqual(response.status, 503)
        load = self.decode.call("GET", "/load").json()
        self.assertEqual((load["state"], load["age_s"]), ("live", 3600.0))


class PlatformTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = self.enterContext(running_standin("platform"))

    def test_platform_loses_the_response_to_an_applied_write(self) -> None:
        """Guards against a fault that drops the write with its response."""
        self.platform.set_faults(lose_answers=1)
        with self.assertRaises((http.client.HTTPException, OSError)):
            self.platform.call("PUT", "/objects/claims/x", {"a": 1})
        stored = self.platform.call("GET", "/objects/claims/x").json()
        self.assertEqual(stored["value"], {"a": 1})

    def test_platform_counts_a_waiting_watch_as_one_call(self) -> None:
        """Guards against counts that hide the cost of watches."""
        responses = []

        def watch() -> None:
            path = "/watch?kinds=k&after=0&timeout_s=20"
            headers = {"Burdockspan-VM": "vm-1"}
            response = self.platform.call("GET", path, None, headers, 30.0)
            responses.append(response.json())

        thread = threading.Thread(target=watch)
        thread.start()
        wait_until(
            lambda: self._calls()["by_caller"] == {"vm-1": {"watch": 1}},
            "the watch is counted",
        )
        self.platform.call("PUT", "/objects/k/n", 7)
        thread.join()
        self.assertEqual([e["value"] for e in responses[0]["events"]], [7])
        self.assertEqual(self._calls()["by_kind"]["watch"], 1)

    def test_platform_checks_the_version_of_conditional_writes(self) -> None:
        """Guards against a stand-in that applies a stale update."""
        path = "/objects/k/n"
        create = {"If-None-Match": "*"}
        version = self.platform.call("PUT", path, 1, create).json()["version"]
        conflict = self.platform.call("PUT", path, 2, create)
        self.assertEqual(conflict.status, 412)
        match = {"If-Match": str(version)}
        self.assertEqual(self.platform.call("PUT", path, 2, match).status, 200)
        self.assertEqual(self.platform.call("PUT", path, 3, match).status, 412)

    def test_platform_vm_list_lags(self) -> None:
        """Guards against tests of P6 that get the VM list without delay."""
        self.platform.set_faults(vm_list_lag_s=3600)
        self.platform.call("PUT", "/control/vms", {"vms": [1]})
        vms = self.platform.call("GET", "/vms").json()["vms"]
        self.assertEqual(vms, [])
        self.platform.set_faults(vm_list_lag_s=0.01)
        self.platform.call("PUT", "/control/vms", {"vms": [2]})
        wait_until(
            lambda: self.platform.call("GET", "/vms").json()["vms"] == [2],
            "the list has been updated",
        )

    def _calls(self) -> dict[str, dict[str, object]]:
        calls: dict[str, dict[str, object]] = self.platform.call(
            "GET", "/calls"
        ).json()
        return calls


class ServiceTest(unittest.TestCase):
    def test_service_counts_runs_and_refuses_a_stale_fencing_token(
        self,
    ) -> None:
        """Guards against a second run that is not counted."""
        service = self.enterContext(
            running_standin("service", "--name", "s", "--checks-fencing")
        )
        statuses = [
            service.call(
                "POST",
                "/book",
                {"n": fencing},
                {"Idempotency-Key": "k", "Burdockspan-Fencing": str(fencing)},
            ).status
            for fencing in (5, 4, 6)
        ]
        self.assertEqual(statuses, [200, 409, 200])
        runs = service.call("GET", "/runs").json()
        self.assertEqual(runs["by_key"], {"k": 2})

    def test_service_is_unresponsive_on_open_connections_only(self) -> None:
        """Guards against a `silent_open` that also affects new connections."""
        service = self.enterContext(running_standin("service", "--name", "s"))
        connection = http.client.HTTPConnection(service.address, timeout=0.3)
        self.addCleanup(connection.close)
        connection.request("GET", "/a")
        self.assertEqual(connection.getresponse().read()[:1], b"{")
        service.set_faults(silent_open=True)
        connection.request("GET", "/b")
        with self.assertRaises(TimeoutError):
            connection.getresponse()
        self.assertEqual(service.call("GET", "/c").status, 200)

    def test_service_sends_the_previous_response_again(self) -> None:
        """Guards against tests of P3 without a duplicate response."""
        service = self.enterContext(running_standin("service", "--name", "s"))
        caller = http.client.HTTPConnection(service.address, timeout=10)
        self.addCleanup(caller.close)
        paths = []
        service.set_faults(late_duplicate=1)
        for path in ("/a", "/b"):
            caller.request("GET", path)
            paths.append(json.load(caller.getresponse())["path"])
        self.assertEqual(paths, ["/a", "/a"])


class CollectorTest(unittest.TestCase):
    def test_collector_decodes_spans(self) -> None:
        """Guards against trace IDs that a test cannot compare."""
        from opentelemetry.exporter.otlp.proto.http import trace_exporter
        from opentelemetry.sdk import trace
        from opentelemetry.sdk.trace import export

        collector = self.enterContext(running_standin("collector"))
        endpoint = f"http://{collector.address}/v1/traces"
        provider = trace.TracerProvider()
        self.addCleanup(provider.shutdown)
        exporter = trace_exporter.OTLPSpanExporter(endpoint)
        provider.add_span_processor(export.SimpleSpanProcessor(exporter))
        with provider.get_tracer("t").start_as_current_span("hop") as span:
            trace_id = format(span.get_span_context().trace_id, "032x")
        spans = collector.call("GET", "/traces").json()["spans"]
        received = [(span["name"], span["traceId"]) for span in spans]
        self.assertEqual(received, [("hop", trace_id)])

    def test_collector_returns_statsd_counters(self) -> None:
        """Guards against metrics that the collector does not return."""
        collector = self.enterContext(running_standin("collector"))
        host, _, port = collector.address.partition(":")
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        sender.sendto(b"a.b:2|c\na.b:3|c", (host, int(port)))
        wait_until(
            lambda: (
                collector.call("GET", "/metrics").json()["counters"]
                == {"a.b": 5.0}
            ),
            "both counts have arrived",
        )
