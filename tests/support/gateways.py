"""A gateway in this process, before stand-ins of the users' platform."""

from __future__ import annotations

import dataclasses
import http.client
import socket
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from burdockspan.gateway import process
from burdockspan.gateway.settings import GatewaySettings
from burdockspan.platform.adapter import make_platform
from standins.object_store import ObjectStore
from standins.scripted_endpoint import ScriptedEndpoint

HOST = "app.example"
_GENEROUS_S = 20.0


def make_route(name: str, **changes: Any) -> dict[str, Any]:
    """Returns a route of the configuration as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": "safe",
        "timeout_ms": 5000,
        "target_latency_ms": 2000,
        "priority": 1,
        "service": "app",
        "max_attempts": 2,
        "sticky": False,
        "resumable": False,
        **changes,
    }


def make_document(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration with a route of each kind."""
    routes = [
        make_route("read"),
        make_route("pay", kind="unsafe", max_attempts=1),
        make_route("draft", kind="streaming", service="llm", max_attempts=1),
        make_route("review", kind="streaming", service="llm", resumable=True),
    ]
    engine = {"slots": 8, "kv_tokens": 50_000, "hold_ms": 2000.0}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "app", "health_path": "/health"},
            {"name": "llm", "health_path": "/health", "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 200_000,
            "header_timeout_ms": 300,
            "idle_timeout_ms": 15_000,
        },
        **changes,
    }


@dataclasses.dataclass(frozen=True)
class Answered:
    """A caller's answer; `complete` is False if it broke off."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    complete: bool = True


@dataclasses.dataclass
class Gateway:
    """A running gateway and the stand-ins around it."""

    components: process.Components
    store: ObjectStore
    endpoints: list[ScriptedEndpoint]
    lines: list[dict[str, Any]]

    @property
    def address(self) -> str:
        """Address for callers."""
        return self.components.ingress.address

    def add(
        self, endpoint: ScriptedEndpoint, service: str = "app", **entry: Any
    ) -> ScriptedEndpoint:
        """Registers a replica and waits until the gateway knows it."""
        self.endpoints.append(endpoint)
        zone = entry.pop("zone", "zone-a")
        self.store.put(
            "servers", endpoint.id, endpoint.entry(service, zone, **entry)
        )
        state = self.components.context.state
        wait_for(lambda: endpoint.id in state.endpoint_table().by_id)
        return endpoint

    def configure(self, document: dict[str, Any]) -> None:
        """Writes a configuration and waits until it is in force."""
        self.store.put("config", "main", document)
        wait_for(lambda: self.version() >= document["version"])

    def version(self) -> int:
        """Returns the number of the configuration in force, 0 without one."""
        held = self.components.context.state.active_configuration()
        return held.configuration.version if held else 0

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Answered:
        """Sends a request of a caller and reads its answer."""
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=_GENEROUS_S
        )
        sent = {
            "Host": HOST,
            "Request-Id": "r1",
            "Deadline-Ms": "5000",
            **(headers or {}),
        }
        try:
            connection.request(method, target, body or None, sent)
            return _read(connection)
        finally:
            connection.close()

    def connect(self) -> socket.socket:
        """Opens a connection of a caller."""
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)), _GENEROUS_S)

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Returns the lines of an event."""
        return [line for line in self.lines if line["event"] == event]


def _read(connection: http.client.HTTPConnection) -> Answered:
    response = connection.getresponse()
    headers = dict(response.getheaders())
    parts = []
    try:
        while part := response.read1(65_536):
            parts.append(part)
    except (http.client.HTTPException, OSError):
        return Answered(response.status, headers, b"".join(parts), False)
    body = b"".join(parts)
    length = headers.get("Content-Length")
    complete = length is None or int(length) == len(body)
    return Answered(response.status, headers, body, complete)


def run_gateway(
    document: dict[str, Any] | None = None, **settings: Any
) -> Iterator[Gateway]:
    """Yields a gateway with a configuration in force, then stops it."""
    store = ObjectStore()
    if document is not None:
        store.put("config", "main", document)
    lines: list[dict[str, Any]] = []

    def log(event: str, **fields: Any) -> None:
        lines.append({"event": event, **fields})

    made = process.make_components(
        GatewaySettings(
            vm="vm-1",
            availability_zone="zone-a",
            caller_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            store_address=store.address,
            **{"threads": 16, **settings},
        ),
        make_platform,
        time.monotonic,
        log,
    )
    gateway = Gateway(made, store, [], lines)
    process.start(made)
    try:
        if document is not None:
            wait_for(lambda: gateway.version() == document["version"])
        yield gateway
    finally:
        process.stop(made)
        for endpoint in gateway.endpoints:
            endpoint.close()
        store.close()


def wait_for(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds.

    Raises:
      AssertionError: it did not hold within a generous time.
    """
    pause = threading.Event()
    end_s = time.monotonic() + _GENEROUS_S
    while not condition():
        if time.monotonic() > end_s:
            raise AssertionError("condition did not come true in time")
        pause.wait(0.01)


__all__ = [
    "HOST",
    "Answered",
    "Gateway",
    "make_document",
    "make_route",
    "run_gateway",
    "wait_for",
]
