"""Spans of requests, exported over OTLP, with W3C trace contexts.

The OpenTelemetry packages are slow to import, so only a process that exports
traces imports them.
"""

from __future__ import annotations

import contextlib
import dataclasses
import re
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any

_TRACEPARENT = re.compile(
    r"00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}"
)
_Attributes = dict[str, str | int | float | bool]


@dataclasses.dataclass(frozen=True)
class Traces:
    """Functions on spans.

    Attributes:
      span: returns a context manager for a span. Arguments are its name, the
        parent as `traceparent` text or None, and its attributes. The value is
        the `traceparent` to forward, None if there is none.
      begin: starts a span, with the same arguments, that can outlast the
        calling function. Returns a function that ends it, to be called once.
      close: exports the pending spans and stops.
    """

    span: Callable[
        [str, str | None, _Attributes], AbstractContextManager[str | None]
    ]
    begin: Callable[[str, str | None, _Attributes], Callable[[], None]]
    close: Callable[[], None]


def make_no_traces() -> Traces:
    """Returns traces that export nothing and forward trace contexts."""
    return Traces(
        span=lambda name, parent, attributes: contextlib.nullcontext(parent),
        begin=lambda name, parent, attributes: _do_nothing,
        close=lambda: None,
    )


def make_traces(url: str | None, ratio: float, vm: str) -> Traces:
    """Returns traces exported to an OTLP HTTP endpoint; None exports none.

    Args:
      url: URL that spans are posted to, such as `http://ip:port/v1/traces`.
      ratio: fraction of new traces that are exported, from 0 to 1. The
        sampling decision in a caller's trace context takes precedence.
      vm: name of this VM, which the resource of the spans contains.
    """
    if url is None:
        return make_no_traces()
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
        OTLPSpanExporter,
    )
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    return make_exporting_traces(
        BatchSpanProcessor(OTLPSpanExporter(endpoint=url)), ratio, vm
    )


def make_exporting_traces(processor: Any, ratio: float, vm: str) -> Traces:
    """Returns traces whose spans go to an OpenTelemetry span processor."""
    from opentelemetry import trace
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider, sampling
    from opentelemetry.trace.propagation import tracecontext

    resource = Resource.create({"service.name": "burdockspan", "host.name": vm})
    sampler = sampling.ParentBased(sampling.TraceIdRatioBased(ratio))
    provider = TracerProvider(
        resource=resource, sampler=sampler, shutdown_on_exit=False
    )
    provider.add_span_processor(processor)
    tracer = provider.get_tracer("burdockspan")
    propagator = tracecontext.TraceContextTextMapPropagator()

    @contextlib.contextmanager
    def span(name: str, parent: str | None, attributes: _Attributes) -> Any:
        carrier = {"traceparent": parent} if parent else {}
        context = propagator.extract(carrier)
        with tracer.start_as_current_span(
            name, context=context, attributes=attributes
        ) as current:
            outgoing: dict[str, str] = {}
            propagator.inject(outgoing, trace.set_span_in_context(current))
            yield outgoing.get("traceparent")

    def begin(
        name: str, parent: str | None, attributes: _Attributes
    ) -> Callable[[], None]:
        carrier = {"traceparent": parent} if parent else {}
        context = propagator.extract(carrier)
        end: Callable[[], None] = tracer.start_span(
            name, context=context, attributes=attributes
        ).end
        return end

    return Traces(span, begin, provider.shutdown)


def _do_nothing() -> None:
    """Ends a span that is not recorded."""


def parse_traceparent(text: str | None) -> str | None:
    """Returns a valid W3C traceparent, None for anything else."""
    if text is None or _TRACEPARENT.fullmatch(text) is None:
        return None
    return text


__all__ = [
    "Traces",
    "make_exporting_traces",
    "make_no_traces",
    "make_traces",
    "parse_traceparent",
]
