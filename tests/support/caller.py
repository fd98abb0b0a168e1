"""Test case that runs the HTTP server, with an HTTP caller."""

from __future__ import annotations

import dataclasses
import http.client
import json
import threading
import time
import unittest
from collections.abc import Callable
from typing import Any

from burdockspan.configuration.document import Policy
from burdockspan.endpoints.connections import make_connections
from burdockspan.http.application import make_application
from burdockspan.http.context import HandlerContext
from burdockspan.http.server import Server, make_caller_server
from burdockspan.observe.traces import Traces, make_no_traces
from burdockspan.values.endpoint import Pool
from tests.support.endpoint_fake import EndpointFake, script_engine
from tests.support.router_fake import (
    TOKEN,
    ClaimsFake,
    RouterFake,
    make_configuration,
)

WAIT_S = 30.0
_POLL_INTERVAL_S = 0.005
AUTHORIZATION = {"Authorization": f"Bearer {TOKEN}"}


@dataclasses.dataclass(frozen=True)
class CallerResponse:
    """The response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        value: dict[str, Any] = json.loads(self.body)
        return value


class HttpServerTestCase(unittest.TestCase):
    """Runs the application over TCP with a fake router and fake endpoints."""

    # Timeouts that a busy machine does not reach. Tests that need short ones
    # set them with `set_limits`.
    policy = Policy(
        first_byte_timeout_s=WAIT_S,
        stream_silence_s=WAIT_S,
        body_limit_bytes=20_000,
    )
    calls_limit = 8

    def setUp(self) -> None:
        self.prefill = self.make_endpoint("prefill-1")
        self.decode = self.make_endpoint("decode-1")
        self.service = self.make_endpoint("service-1")
        script_engine(self.prefill)
        script_engine(self.decode)
        self.router = RouterFake(self.policy)
        self.router.prefill = self.prefill.as_endpoint(Pool.PREFILL)
        self.router.decode = self.decode.as_endpoint(Pool.DECODE)
        self.router.service = self.service.as_endpoint()
        self.claims = ClaimsFake()
        self.connections = make_connections(time.monotonic, lambda: WAIT_S)
        self.addCleanup(self.connections.close)
        context = HandlerContext(
            self.router.make(),
            self.claims.make(),
            self.connections,
            time.monotonic,
            traces=self.make_traces(),
        )
        limit = self.policy.body_limit_bytes
        self.server = make_caller_server(
            make_application(context, self.calls_limit),
            "127.0.0.1:0",
            self.calls_limit,
            lambda: limit,
        )
        serve(self, self.server)

    def make_traces(self) -> Traces:
        return make_no_traces()

    def set_limits(self, **changes: float) -> None:
        """Changes limits of the current configuration."""
        policy = dataclasses.replace(self.policy, **changes)  # type: ignore[arg-type]
        self.router.configuration = make_configuration(policy)

    def make_endpoint(self, name: str) -> EndpointFake:
        fake = EndpointFake(name)
        self.addCleanup(fake.stop)
        return fake

    def open(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
        """Sends a request as a caller; reads only the head of the response."""
        host, _, port = self.server.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), WAIT_S)
        self.addCleanup(connection.close)
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        connection.request(
            method, path, data, {**AUTHORIZATION, **(headers or {})}
        )
        return connection, connection.getresponse()

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> CallerResponse:
        """Sends a request as a caller and reads the whole response."""
        connection, response = self.open(method, path, body, headers)
        text = response.read()
        connection.close()
        return CallerResponse(response.status, dict(response.headers), text)

    def complete(self, headers: dict[str, str] | None = None, **body: Any):  # type: ignore[no-untyped-def]
        """Sends a text completion; `body` adds or replaces fields."""
        value = {"model": "m1", "prompt": "hello", "max_tokens": 5, **body}
        return self.call("POST", "/v1/completions", value, headers)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        wait_until(self, condition)


def wait_until(case: unittest.TestCase, condition: Callable[[], bool]) -> None:
    """Polls until a condition is true, for up to 30 s."""
    timer = threading.Event()
    end_s = time.monotonic() + WAIT_S
    while not condition():
        case.assertLess(time.monotonic(), end_s, "condition was not met")
        timer.wait(_POLL_INTERVAL_S)


def serve(case: unittest.TestCase, server: Server) -> None:
    """Runs a server in a thread until the test ends."""
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    case.addCleanup(thread.join, WAIT_S)
    case.addCleanup(server.stop)


__all__ = ["CallerResponse", "HttpServerTestCase", "serve", "wait_until"]
