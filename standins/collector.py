"""Stand-in for a statsd and OpenTelemetry collector.

Receives OTLP traces by `POST /v1/traces`, and statsd datagrams on the UDP port
that has the same number as the HTTP port. `GET /metrics` and `GET /traces`
return the received metrics and spans as JSON.
"""

from __future__ import annotations

import argparse
import gzip
import json
import socket
import threading
from typing import Any

from standins.faults import Faults
from standins.messages import Request, Response, json_response
from standins.server import serve

_DATAGRAM_BYTES = 65_536


class Collector:
    """Received counters, gauges, timers and spans."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[str, float] = {}
        self._gauges: dict[str, float] = {}
        self._timers: dict[str, list[float]] = {}
        self._spans: list[dict[str, Any]] = []

    def receive(self, datagram: bytes) -> None:
        """Records the metrics of a statsd datagram; skips malformed lines."""
        for line in datagram.decode(errors="replace").splitlines():
            name, _, value_and_type = line.partition(":")
            fields = value_and_type.split("|")
            try:
                value = float(fields[0])
            except ValueError:
                continue
            if len(fields) < 2:
                continue
            with self._lock:
                self._record(name, value, fields)

    def _record(self, name: str, value: float, fields: list[str]) -> None:
        if fields[1] == "c":
            rate = float(fields[2][1:]) if len(fields) > 2 else 1.0
            self._counters[name] = self._counters.get(name, 0.0) + value / rate
        elif fields[1] == "g":
            is_delta = fields[0][0] in "+-"
            base = self._gauges.get(name, 0.0) if is_delta else 0.0
            self._gauges[name] = base + value
        elif fields[1] in ("ms", "h"):
            self._timers.setdefault(name, []).append(value)

    def handle(self, request: Request) -> Response | None:
        """Handles one request."""
        if request.path == "/metrics":
            with self._lock:
                return json_response(200, self._metrics())
        if request.path == "/traces":
            with self._lock:
                return json_response(200, {"spans": self._spans})
        if request.path == "/v1/traces" and request.method == "POST":
            spans = _decode_spans(request)
            with self._lock:
                self._spans.extend(spans)
            return Response(200, b"", "application/x-protobuf")
        return json_response(404, {})

    def _metrics(self) -> dict[str, Any]:
        return {
            "counters": self._counters,
            "gauges": self._gauges,
            "timers": self._timers,
        }


def _decode_spans(request: Request) -> list[dict[str, Any]]:
    body = request.body
    if request.headers.get("content-encoding") == "gzip":
        body = gzip.decompress(body)
    if "json" in request.headers.get("content-type", ""):
        data = json.loads(body)
    else:
        from google.protobuf import json_format
        from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

        message = trace_service_pb2.ExportTraceServiceRequest()
        message.ParseFromString(body)
        _encode_ids_as_hex(message)
        data = json_format.MessageToDict(message)
    return [
        {**span, "resource": resource.get("resource", {})}
        for resource in data.get("resourceSpans", ())
        for scope in resource.get("scopeSpans", ())
        for span in scope.get("spans", ())
    ]


def _encode_ids_as_hex(message: Any) -> None:
    # OTLP/JSON and traceparent have hexadecimal IDs, but MessageToDict encodes
    # bytes in base64. Each ID is therefore replaced by the bytes whose base64
    # encoding is the hexadecimal ID.
    import base64

    for resource in message.resource_spans:
        for scope in resource.scope_spans:
            for span in scope.spans:
                for field in ("trace_id", "span_id", "parent_span_id"):
                    text = getattr(span, field).hex()
                    setattr(span, field, base64.b64decode(text))


def _start_receiver(collector: Collector, port: int) -> None:
    """Receives statsd datagrams in a thread."""
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", port))

    def run() -> None:
        while True:
            collector.receive(receiver.recv(_DATAGRAM_BYTES))

    threading.Thread(target=run, daemon=True).start()


def main() -> None:
    """Runs the stand-in until it is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    collector = Collector()
    serve(
        options.port,
        collector.handle,
        Faults(options.seed),
        frozenset({"/metrics", "/traces"}),
        lambda port: _start_receiver(collector, port),
    )


if __name__ == "__main__":
    main()
