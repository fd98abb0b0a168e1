"""A gateway in the test process, with stand-ins for the users' platform."""

from __future__ import annotations

import dataclasses
import http.client
import socket
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from burdockspan.gateway import assembly, process
from burdockspan.gateway.fleet import vm_heartbeats
from burdockspan.gateway.settings import GatewaySettings
from burdockspan.platform.adapter import make_platform
from burdockspan.values.clock import Clock
from standins.object_store import ObjectStore
from standins.scripted_endpoint import ScriptedEndpoint

HOST = "app.example"
_TIMEOUT_S = 20.0


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
class ReceivedResponse:
    """A response as a caller received it.

    Attributes:
      status: HTTP status.
      headers: headers by name.
      body: the received part of the body.
      complete: whether the body is complete.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    complete: bool = True


@dataclasses.dataclass
class Gateway:
    """A running gateway with the stand-ins that it uses."""

    components: assembly.Components
    store: ObjectStore
    endpoints: list[ScriptedEndpoint]
    log_events: list[dict[str, Any]]

    @property
    def address(self) -> str:
        """Address for callers."""
        return self.components.ingress.address

    def add_endpoint(
        self, endpoint: ScriptedEndpoint, service: str = "app", **entry: Any
    ) -> ScriptedEndpoint:
        """Registers an endpoint and waits until the gateway knows it."""
        self.endpoints.append(endpoint)
        zone = entry.pop("zone", "zone-a")
        self.store.put(
            "servers",
            endpoint.id,
            endpoint.as_store_entry(service, zone, **entry),
        )
        state = self.components.context.state
        wait_for(lambda: endpoint.id in state.endpoint_table().by_id)
        return endpoint

    def configure(self, document: dict[str, Any]) -> None:
        """Writes a configuration and waits until it is in force."""
        self.store.put("config", "main", document)
        wait_for(lambda: self.configuration_version() >= document["version"])

    def configuration_version(self) -> int:
        """Returns the version of the configuration in force; 0 without one."""
        active = self.components.context.state.active_configuration()
        return active.configuration.version if active else 0

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> ReceivedResponse:
        """Sends a request of a caller and reads the response."""
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=_TIMEOUT_S
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
        return socket.create_connection((host, int(port)), _TIMEOUT_S)

    def events_named(self, name: str) -> list[dict[str, Any]]:
        """Returns the log events of a name."""
        return [event for event in self.log_events if event["event"] == name]


def _read(connection: http.client.HTTPConnection) -> ReceivedResponse:
    response = connection.getresponse()
    headers = dict(response.getheaders())
    parts = []
    try:
        while part := response.read1(65_536):
            parts.append(part)
    except (http.client.HTTPException, OSError):
        return ReceivedResponse(
            response.status, headers, b"".join(parts), False
        )
    body = b"".join(parts)
    length = headers.get("Content-Length")
    complete = length is None or int(length) == len(body)
    return ReceivedResponse(response.status, headers, body, complete)


def run_gateway(
    document: dict[str, Any] | None = None,
    shared_store: ObjectStore | None = None,
    clock: Clock = time.monotonic,
    boot_clock: Clock | None = None,
    make_platform: assembly.MakePlatform = make_platform,
    **settings: Any,
) -> Iterator[Gateway]:
    """Yields a gateway with a configuration in force, then stops it.

    Args:
      document: configuration.
      shared_store: store of several gateways; by default it has its own.
      clock: monotonic clock of the gateway, in seconds.
      boot_clock: its clock that includes time suspended; None for that of this
        VM.
      make_platform: returns its adapter to the platform.
      **settings: changes of the settings.
    """
    store = shared_store or ObjectStore()
    vm = settings.pop("vm", "vm-1")
    # The VM of a fleet that has started earlier, which knows its share of the
    # limits after its first list.
    store.put(vm_heartbeats.KIND, vm, {"beat": 1})
    if document is not None:
        store.put("config", "main", document)
    log_events: list[dict[str, Any]] = []

    def log(event: str, **fields: Any) -> None:
        log_events.append({"event": event, **fields})

    components = assembly.make_components(
        GatewaySettings(
            **{
                "vm": vm,
                "availability_zone": "zone-a",
                "caller_address": "127.0.0.1:0",
                "ready_address": "127.0.0.1:0",
                "store_address": store.address,
                "peer_address": "127.0.0.1:0",
                "threads": 16,
                **settings,
            }
        ),
        make_platform,
        clock,
        log,
        boot_clock,
    )
    gateway = Gateway(components, store, [], log_events)
    process.start(components)
    try:
        if document is not None:
            wait_for(
                lambda: gateway.configuration_version() == document["version"]
            )
        yield gateway
    finally:
        process.stop(components)
        for endpoint in gateway.endpoints:
            endpoint.close()
        if shared_store is None:
            store.close()


def wait_for(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds.

    Raises:
      AssertionError: the condition did not become true in time.
    """
    waiter = threading.Event()
    deadline_s = time.monotonic() + _TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError("condition did not become true in time")
        waiter.wait(0.01)


__all__ = [
    "HOST",
    "ReceivedResponse",
    "Gateway",
    "make_document",
    "make_route",
    "run_gateway",
    "wait_for",
]
