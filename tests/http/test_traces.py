from __future__ import annotations

import threading
from typing import Any

from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from burdockspan.observe.traces import Traces, make_exporting_traces
from tests.support.caller import WAIT_S, HttpServerTestCase
from tests.support.endpoint_fake import TOKENS, Handler

_PARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


class TracesTest(HttpServerTestCase):
    def make_traces(self) -> Traces:
        self.exporter = InMemorySpanExporter()
        traces = make_exporting_traces(
            SimpleSpanProcessor(self.exporter), 0.0, "entry-1"
        )
        self.addCleanup(traces.close)
        return traces

    def find_spans(self, name: str) -> list[Any]:
        spans = self.exporter.get_finished_spans()
        return [span for span in spans if span.name == name]

    def wait_for_spans(self, *names: str) -> dict[str, Any]:
        """Waits for spans and checks that they are children of the request."""
        names = ("request", *names)
        self.wait_until(lambda: all(self.find_spans(name) for name in names))
        spans_by_name = {name: self.find_spans(name)[-1] for name in names}
        request = spans_by_name.pop("request").get_span_context()
        for span in spans_by_name.values():
            self.assertEqual(span.parent.span_id, request.span_id)
            self.assertEqual(span.get_span_context().trace_id, request.trace_id)
        return spans_by_name

    def test_relay_span_lasts_to_the_last_byte(self) -> None:
        # Guards against a trace that ends at the first byte.
        proceed = threading.Event()
        self.addCleanup(proceed.set)

        def decode(handler: Handler) -> None:
            handler.start_stream()
            handler.send_tokens(0, 1)
            proceed.wait(WAIT_S)
            handler.send_tokens(1, TOKENS)
            handler.end_stream()

        self.decode.scripts["POST /v1/"] = decode
        body = {"model": "m1", "prompt": "p", "max_tokens": 5, "stream": True}
        headers = {"traceparent": _PARENT}
        _, response = self.open("POST", "/v1/completions", body, headers)
        self.wait_until(lambda: bool(self.find_spans("request")))
        self.assertEqual(self.find_spans("relay"), [])
        proceed.set()
        response.read()
        spans = self.wait_for_spans("queue", "decode", "relay")
        self.assertGreaterEqual(
            spans["relay"].start_time, spans["decode"].end_time
        )
        self.assertLessEqual(
            spans["queue"].end_time, spans["decode"].start_time
        )
        self.assertEqual(spans["relay"].attributes["endpoint"], "decode-1")

    def test_relay_span_ends_when_the_caller_disconnects(self) -> None:
        # Guards against a span that is lost when its caller disconnects.
        self.decode.scripts["POST /v1/"] = _stream_endlessly
        body = {"model": "m1", "prompt": "p", "max_tokens": 5, "stream": True}
        headers = {"traceparent": _PARENT}
        connection, response = self.open(
            "POST", "/v1/completions", body, headers
        )
        response.close()
        connection.close()
        self.wait_for_spans("queue", "relay")

    def test_plain_service_call_has_queue_service_and_relay_spans(self) -> None:
        self.service.scripts["GET /x"] = lambda handler: handler.send(200, {})
        answer = self.call(
            "GET", "/services/app/x", None, {"traceparent": _PARENT}
        )
        self.assertEqual(answer.status, 200, answer.body)
        self.wait_for_spans("queue", "service", "relay")


def _stream_endlessly(handler: Handler) -> None:
    handler.start_stream()
    index = 0
    while not handler.server.closing.wait(0.001):
        handler.send_tokens(index, index + 1)
        index += 1
