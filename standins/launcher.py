"""Starts a fleet of stand-ins and entry processes on loopback.

The demo and the tests with real processes use it. Closing the fleet kills all
its processes.
"""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

_ROOT = pathlib.Path(__file__).parents[1]
_SHOWN_LOG_CHARACTERS = 4000
_WAIT_TIMEOUT_S = 30.0
_FIRST_PORT = 10_000
_PORTS_COUNT = 20_000
# Distance between the first ports of two test runs with adjacent process IDs.
_PORTS_PER_PROCESS = 61


def _make_ports() -> Iterator[int]:
    # Concurrent test runs start at different ports.
    first = os.getpid() * _PORTS_PER_PROCESS % _PORTS_COUNT
    for number in itertools.count(first):
        yield _FIRST_PORT + number % _PORTS_COUNT


_PORTS = _make_ports()
_POLL_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True)
class Response:
    """An HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded JSON body."""
        return json.loads(self.body)


@dataclasses.dataclass(frozen=True)
class Process:
    """A started process.

    Attributes:
      name: name of its VM.
      address: `ip:port` of its HTTP interface.
      admin_address: `ip:port` of the admin interface of an entry process.
      popen: the process.
      log_path: log file, with its stderr.
    """

    name: str
    address: str
    popen: subprocess.Popen[bytes]
    log_path: pathlib.Path
    admin_address: str = ""

    def call(
        self,
        method: str,
        path: str,
        value: object = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> Response:
        """Sends a request on a new connection; raises connection errors."""
        return call(self.address, method, path, value, headers, timeout_s)

    def set_faults(self, **faults: object) -> None:
        """Changes the faults of a stand-in process."""
        self.call("POST", "/faults", faults)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        self.popen.kill()
        self.popen.wait()


@dataclasses.dataclass(frozen=True)
class EndpointPlan:
    """One endpoint to start.

    Attributes:
      name: name of its VM.
      service: service that it serves.
      pool: prefill, decode or service.
      zone: availability zone.
      options: additional command line options of the stand-in.
    """

    name: str
    service: str
    pool: str
    zone: str
    options: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """The processes to start.

    Attributes:
      endpoints: stand-ins of engines and plain services.
      zone_by_entry_name: availability zone of each entry VM.
      command: command line of burdockspan.
      seed: random seed of all stand-ins.
      region: region of all zones.
      trace_ratio: fraction of requests whose traces are exported.
      environment: environment variables of the stand-ins.
    """

    endpoints: tuple[EndpointPlan, ...]
    zone_by_entry_name: Mapping[str, str]
    command: tuple[str, ...] = (sys.executable, "-m", "burdockspan")
    seed: int = 1
    region: str = "region"
    trace_ratio: float = 0.0
    environment: Mapping[str, str] | None = None


class Fleet:
    """A set of running processes, by name of their VM."""

    def __init__(self, plan: FleetPlan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.folder = folder
        self.processes_by_name: dict[str, Process] = {}
        self.peer_address_by_name = {
            name: f"127.0.0.1:{find_free_port()}"
            for name in plan.zone_by_entry_name
        }

    @property
    def platform(self) -> Process:
        """The platform stand-in."""
        return self.processes_by_name["platform"]

    @property
    def collector(self) -> Process:
        """The collector of metrics and traces."""
        return self.processes_by_name["collector"]

    @property
    def entries(self) -> tuple[Process, ...]:
        """The entry processes, in the order of the plan."""
        return tuple(
            self.processes_by_name[name]
            for name in self.plan.zone_by_entry_name
        )

    def start_standins(self) -> None:
        """Starts platform, collector and endpoints, and writes the VM list."""
        seed = ("--seed", str(self.plan.seed))
        self._start_standin("platform", "platform", seed)
        self._start_standin("collector", "collector", ())
        for endpoint in self.plan.endpoints:
            self.start_endpoint(endpoint)
        self.set_vm_list()

    def start_endpoint(self, endpoint: EndpointPlan) -> Process:
        """Starts one endpoint; the VM list of the platform stays as it is."""
        seed = ("--seed", str(self.plan.seed))
        if endpoint.pool == "service":
            arguments = ("--name", endpoint.name, *seed, *endpoint.options)
            return self._start_standin(endpoint.name, "service", arguments)
        arguments = (
            *("--pool", endpoint.pool, "--name", endpoint.name),
            *seed,
            *endpoint.options,
        )
        return self._start_standin(endpoint.name, "engine", arguments)

    def set_vm_list(self, leaving: frozenset[str] = frozenset()) -> None:
        """Writes the VM list of the platform with the started endpoints.

        Args:
          leaving: names of the endpoints that are listed as leaving.
        """
        vms = [
            self._make_vm(plan.name, plan.zone, plan.service, plan.pool)
            for plan in self.plan.endpoints
            if plan.name in self.processes_by_name
        ]
        for vm in vms:
            vm["state"] = "leaving" if vm["name"] in leaving else "live"
        self.platform.call("PUT", "/control/vms", {"vms": vms})

    def start_entries(self) -> None:
        """Starts the entry processes of the plan."""
        for name in self.plan.zone_by_entry_name:
            self.start_entry(name)

    def start_entry(self, name: str) -> Process:
        """Starts an entry process on new ports for callers and administration.

        An earlier process of the same name must have ended. The peer address
        stays the same.
        """
        caller_address, admin_address = (
            f"127.0.0.1:{find_free_port()}" for _ in range(2)
        )
        peers = [
            address
            for other, address in self.peer_address_by_name.items()
            if other != name
        ]
        settings = {
            "vm": name,
            "availability_zone": self.plan.zone_by_entry_name[name],
            "region": self.plan.region,
            "caller_address": caller_address,
            "admin_address": admin_address,
            "peer_address": self.peer_address_by_name[name],
            "peers": peers,
            "platform_url": f"http://{self.platform.address}",
            "statsd_address": self.collector.address,
            "traces_url": f"http://{self.collector.address}/v1/traces"
            if self.plan.trace_ratio
            else None,
            "trace_ratio": self.plan.trace_ratio,
            "threads": 64,
        }
        path = self.folder / f"{name}.yaml"
        non_empty = {
            key: value for key, value in settings.items() if value != []
        }
        # The settings are read as YAML, which is a superset of JSON.
        path.write_text(
            json.dumps({k: v for k, v in non_empty.items() if v is not None})
        )
        log_path = self.folder / f"{name}.log"
        command = [*self.plan.command, "entry", "--settings", str(path)]
        with log_path.open("ab") as stream:
            popen = subprocess.Popen(
                command, cwd=_ROOT, stdout=stream, stderr=stream
            )
        process = Process(name, caller_address, popen, log_path, admin_address)
        self.processes_by_name[name] = process
        return process

    def wait_until_ready(self) -> None:
        """Waits until every entry process is ready."""
        for entry in self.entries:
            try:
                wait_until(
                    lambda entry=entry: is_ready(entry),
                    f"{entry.name} is ready",
                )
            except AssertionError as error:
                # The folder of the log is removed with the fleet.
                raise AssertionError(
                    f"{error}; exit code {entry.popen.poll()}; end of its log:"
                    f"\n{_read_end(entry.log_path)}"
                ) from error

    def close(self) -> None:
        """Kills all processes."""
        processes = list(self.processes_by_name.values())
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in processes:
            process.popen.wait()

    def _start_standin(
        self, name: str, module: str, arguments: tuple[str, ...]
    ) -> Process:
        process = start_standin(
            name, module, arguments, self.folder, self.plan.environment
        )
        self.processes_by_name[name] = process
        return process

    def _make_vm(
        self, name: str, zone: str, service: str, pool: str
    ) -> dict[str, Any]:
        ip, _, port = self.processes_by_name[name].address.rpartition(":")
        return {
            "name": name,
            "availability_zone": zone,
            "address": ip,
            "port": int(port),
            "service": service,
            "pool": pool,
            "state": "live",
        }


def start_standin(
    name: str,
    module: str,
    arguments: Sequence[str],
    folder: pathlib.Path,
    environment: Mapping[str, str] | None = None,
) -> Process:
    """Starts `standins.<module>` on a free port, with its log in a folder."""
    log_path = folder / f"{name}.log"
    command = [sys.executable, "-m", f"standins.{module}", "--port", "0"]
    with log_path.open("ab") as stream:
        popen = subprocess.Popen(
            [*command, *arguments],
            cwd=_ROOT,
            stdout=subprocess.PIPE,
            stderr=stream,
            env=environment,
        )
    assert popen.stdout is not None
    line = popen.stdout.readline().decode()
    popen.stdout.close()
    if not line.startswith("listening on "):
        popen.kill()
        popen.wait()
        raise RuntimeError(f"{name} did not start: {log_path.read_text()}")
    return Process(name, line.split()[-1], popen, log_path)


@contextlib.contextmanager
def run_fleet(
    plan: FleetPlan, configuration: dict[str, Any] | None = None
) -> Iterator[Fleet]:
    """Runs a fleet until the context is left.

    With a configuration, it waits until every entry process is ready.

    Args:
      plan: processes to start.
      configuration: configuration document to write at the start, as JSON
        values; None writes none.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(plan, pathlib.Path(folder))
        try:
            fleet.start_standins()
            if configuration is not None:
                put_configuration(fleet.platform, configuration)
            fleet.start_entries()
            if configuration is not None:
                fleet.wait_until_ready()
            yield fleet
        finally:
            fleet.close()


def put_configuration(platform: Process, document: dict[str, Any]) -> None:
    """Writes a configuration to the platform over any current version."""
    current = platform.call("GET", "/objects/config/current")
    headers = {"If-None-Match": "*"}
    if current.status == 200:
        headers = {"If-Match": str(current.json()["version"])}
    response = platform.call(
        "PUT", "/objects/config/current", document, headers
    )
    if response.status not in (200, 201):
        raise RuntimeError(f"configuration was not written: {response.status}")


def call(
    address: str,
    method: str,
    path: str,
    value: object = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Response:
    """Sends a request to `ip:port` on a new connection.

    Args:
      address: `ip:port`.
      method: HTTP method.
      path: path with the query.
      value: body as bytes, or a value that is sent as JSON; None for no body.
      headers: request headers.
      timeout_s: time limit of each socket operation.

    Raises:
      OSError: the connection failed.
      http.client.HTTPException: the response was incomplete or malformed.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    request_headers = dict(headers or {})
    body = value if isinstance(value, bytes) else None
    if value is not None and body is None:
        body = json.dumps(value).encode()
        request_headers.setdefault("Content-Type", "application/json")
    with contextlib.closing(connection):
        connection.request(method, path, body, request_headers)
        response = connection.getresponse()
        headers_by_name = {
            name.lower(): text for name, text in response.getheaders()
        }
        return Response(response.status, headers_by_name, response.read())


def _read_end(path: pathlib.Path) -> str:
    return path.read_text(errors="replace")[-_SHOWN_LOG_CHARACTERS:]


def is_ready(entry: Process) -> bool:
    """Returns whether an entry process is ready for requests."""
    if entry.popen.poll() is not None:
        raise RuntimeError(f"{entry.name} ended: {entry.log_path.read_text()}")
    try:
        return call(entry.admin_address, "GET", "/admin/ready").status == 200
    except OSError:
        return False


def find_free_port() -> int:
    """Returns a port that is free for TCP and UDP.

    Linux takes the ports of outgoing connections from 32768 upwards. A lower
    port therefore stays free until the process that needs it has started.
    """
    while True:
        port = next(_PORTS)
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def wait_until(
    condition: Callable[[], bool],
    description: str,
    timeout_s: float = _WAIT_TIMEOUT_S,
) -> float:
    """Polls until a condition is true; returns the time waited.

    Raises:
      AssertionError: the condition was not true in time.
    """
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > timeout_s:
            raise AssertionError(
                f"timed out after {timeout_s} s: {description}"
            )
        time.sleep(_POLL_INTERVAL_S)
    return time.monotonic() - started_s


__all__ = [
    "EndpointPlan",
    "Fleet",
    "FleetPlan",
    "Process",
    "Response",
    "call",
    "find_free_port",
    "is_ready",
    "put_configuration",
    "run_fleet",
    "start_standin",
    "wait_until",
]
