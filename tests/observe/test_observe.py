from __future__ import annotations

import io
import json
import logging
import socket
import subprocess
import sys
import unittest
from typing import Any

from burdockspan.observe.logs import JsonFormatter
from burdockspan.observe.metrics import make_metrics
from burdockspan.observe.traces import (
    make_exporting_traces,
    make_no_traces,
    make_traces,
    parse_traceparent,
)
from tests.support.endpoint_fake import EndpointFake

_PARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


class MetricsTest(unittest.TestCase):
    def test_metrics_arrive_as_statsd_lines(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(30)
            metrics = make_metrics(f"127.0.0.1:{server.getsockname()[1]}")
            metrics.count("refusals.a:b|c", 2)
            metrics.time("hops.prefill", 0.25)
            metrics.gauge("queue", 3)
            lines = [server.recv(1000) for _ in range(3)]
            metrics.close()
        self.assertEqual(lines[0], b"burdockspan.refusals.a_b_c:2|c")
        self.assertEqual(lines[1], b"burdockspan.hops.prefill:250.000000|ms")
        self.assertEqual(lines[2], b"burdockspan.queue:3|g")

    def test_metrics_without_a_server_send_nothing(self) -> None:
        metrics = make_metrics(None)
        metrics.count("a", 1)
        metrics.time("a", 1.0)
        metrics.close()


class TracesTest(unittest.TestCase):
    def test_spans_join_the_callers_trace(self) -> None:
        from opentelemetry.sdk.trace.export import SimpleSpanProcessor
        from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
            InMemorySpanExporter,
        )

        exporter = InMemorySpanExporter()
        traces = make_exporting_traces(
            SimpleSpanProcessor(exporter), 0.0, "entry-1"
        )
        with (
            traces.span("request", _PARENT, {}) as outer,
            traces.span("prefill", outer, {"endpoint": "p"}) as inner,
        ):
            pass
        traces.close()
        spans: Any = exporter.get_finished_spans()
        self.assertEqual([span.name for span in spans], ["prefill", "request"])
        self.assertEqual(
            spans[0].parent.span_id, spans[1].get_span_context().span_id
        )
        assert inner is not None
        self.assertEqual(inner.split("-")[1], "a" * 32)
        self.assertEqual(parse_traceparent(inner), inner)

    def test_spans_are_exported_over_http(self) -> None:
        fake = EndpointFake()
        self.addCleanup(fake.stop)
        fake.scripts["POST /v1/traces"] = lambda span: span.send(200, b"")
        address = fake.as_endpoint().address
        traces = make_traces(f"http://{address}/v1/traces", 1.0, "entry-1")
        with traces.span("prefill", None, {"endpoint": "p"}) as outgoing:
            self.assertIsNotNone(parse_traceparent(outgoing))
        traces.close()
        self.assertEqual(fake.count("POST /v1/traces"), 1)

    def test_trace_context_passes_without_export(self) -> None:
        with make_no_traces().span("request", _PARENT, {}) as outgoing:
            self.assertEqual(outgoing, _PARENT)

    def test_malformed_traceparent_is_dropped(self) -> None:
        zero = "00-" + "0" * 32 + "-" + "b" * 16 + "-01"
        for text in (None, "", "x", _PARENT + "\n", _PARENT.upper(), zero):
            with self.subTest(text=text):
                self.assertIsNone(parse_traceparent(text))

    def test_opentelemetry_is_not_imported_unless_used(self) -> None:
        # Guards against a slow start of a process that exports no traces.
        code = (
            "import sys, burdockspan.http.application as _, "
            "burdockspan.observe.traces as t; t.make_traces(None, 1, 'v'); "
            "sys.exit(any(m.startswith('opentelemetry') "
            "for m in sys.modules))"
        )
        done = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(done.returncode, 0)


class LogsTest(unittest.TestCase):
    def test_log_line_is_one_json_object_with_its_fields(self) -> None:
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        handler.setFormatter(JsonFormatter())
        logger = logging.Logger("test")
        logger.addHandler(handler)
        fields = {"burdockspan_fields": {"endpoint": "e1"}}
        logger.info("breaker %s\nnow", "opened", extra=fields)
        (line,) = stream.getvalue().splitlines()
        value = json.loads(line)
        self.assertEqual(value["message"], "breaker opened\nnow")
        self.assertEqual(value["severity"], "info")
        self.assertEqual(value["endpoint"], "e1")
