"""Runs gateway processes beside stand-ins, for the scripts of the review.

The gateways are separate processes, started with the command and the settings
template of the deploy file. The store, the replicas and the clients run in the
process of the script. Every address is a loopback address.
"""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable, Iterator, Mapping
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from standins.object_store import ObjectStore  # noqa: E402

HOST = "hajz.example"
# Bounds of the deployment raqs-booking, as SYSTEM.md states them.
BOUNDS = {
    "grace_s": 8,
    "lease_ms": 3000,
    "retry_budget_ratio": 0.2,
    "budget_slack": 58,
    "budget_window_s": 10,
    "config_ms": 2000,
    "drain_ms": 2000,
    "stable_window_ms": 3000,
}
ZONES = ("fes-a", "meknes-b", "tanger-c")

# Exit codes; `run.sh` maps them. Python itself ends with 1 after an error.
BROKEN = 10
HELD = 0
COULD_NOT_RUN = 2


@dataclasses.dataclass(frozen=True)
class Deployment:
    """What the settings of a gateway take from its deployment.

    Attributes:
      zones: names of its zones.
      bounds: its bounds, as its sheet states them.
      memory_mb: memory of its smallest machines.
      more_settings: what the sections of the template add, which end it.
    """

    zones: tuple[str, ...]
    bounds: Mapping[str, Any]
    memory_mb: int
    more_settings: str = ""


RAQS_BOOKING = Deployment(ZONES, BOUNDS, 205)


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


def is_troubled() -> bool:
    """Returns whether the script brings about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run: what was sent, answered and run, with times."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the time since the start of the run."""
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        """Writes a line with the time."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} s  {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that has reached a replica."""

    at_s: float
    request_id: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


Reply = Callable[[Arrival, socket.socket], None]


class Replica:
    """A replica of a plain service on a loopback address.

    Attributes:
      id: its identity.
      address: `ip:port`.
      leaving: whether it says in its answers that it leaves.
      arrivals: requests with its identity that have reached it, in order.
      reply: answers a request; None answers 200 at once.
    """

    def __init__(
        self, id: str, record: Record, reply: Reply | None = None
    ) -> None:
        self.id = id
        self.leaving = False
        self.arrivals: list[Arrival] = []
        self.reply = reply
        self._record = record
        self._server = _ReplicaServer(("127.0.0.1", 0), _make_handler(self))
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def close(self) -> None:
        """Ends the replica: new connections are refused."""
        self._server.shutdown()
        self._server.server_close()

    def make_entry(self, service: str, zone: str, **more: Any) -> Any:
        """Returns its entry in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
            **more,
        }

    def handle(self, arrival: Arrival, sock: socket.socket) -> None:
        """Answers a request."""
        expected = arrival.headers.get("expect-instance", self.id)
        if expected != self.id:
            sock.sendall(self.make_answer(arrival, 421))
            return
        if "request-id" not in arrival.headers:
            sock.sendall(
                self.make_answer(arrival, 503 if self.leaving else 200)
            )
            return
        self.arrivals.append(arrival)
        self._record.write(f"{arrival.request_id} reaches replica {self.id}")
        if self.reply is not None:
            self.reply(arrival, sock)
            return
        sock.sendall(self.make_answer(arrival, 200, b"done"))

    def make_answer(
        self, arrival: Arrival, status: int, body: bytes = b""
    ) -> bytes:
        """Returns a complete answer."""
        lines = [
            f"HTTP/1.1 {status} X",
            f"Content-Length: {len(body)}",
            f"Instance-Id: {self.id}",
        ]
        if arrival.request_id:
            lines.append(f"Request-Id: {arrival.request_id}")
            lines.append(f"Response-Stamp: {self.id}.{arrival.request_id}")
        if self.leaving:
            lines += ["Server-Leaving: 1", "Connection: close"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class _ReplicaServer(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256


def _make_handler(replica: Replica) -> type:
    class Handler(socketserver.StreamRequestHandler):
        disable_nagle_algorithm = True

        def handle(self) -> None:
            with contextlib.suppress(OSError, ValueError):
                while (arrival := self._read()) is not None:
                    replica.handle(arrival, self.connection)

        def _read(self) -> Arrival | None:
            line = self.rfile.readline().decode("latin-1").strip()
            if not line:
                return None
            at_s = time.monotonic()
            method, target, _ = line.split(" ", 2)
            headers = {}
            while text := self.rfile.readline().decode("latin-1").strip():
                name, _, value = text.partition(":")
                headers[name.lower()] = value.strip()
            body = self.rfile.read(int(headers.get("content-length", 0)))
            return Arrival(
                at_s,
                headers.get("request-id", ""),
                method,
                target,
                headers,
                body,
            )

    return Handler


def make_route(name: str, **changes: Any) -> dict[str, Any]:
    """Returns a route of the configuration, as for `slot-lookup`."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": "safe",
        "timeout_ms": 1200,
        "target_latency_ms": 200,
        "priority": 2,
        "service": "hajz-app",
        "max_attempts": 2,
        "sticky": False,
        "resumable": False,
        **changes,
    }


def make_configuration(
    version: int, routes: list[Any], services: list[Any] | None = None
) -> dict[str, Any]:
    """Returns a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services
        or [{"name": "hajz-app", "health_path": "/health"}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
    }


def find_free_ports(count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP on 127.0.0.1."""
    found: list[int] = []
    held: list[socket.socket] = []
    while len(found) < count:
        tcp = socket.create_server(("127.0.0.1", 0))
        held.append(tcp)
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held.append(udp)
        try:
            udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        found.append(port)
    for sock in held:
        sock.close()
    return found


def _render_settings(template: str, fields: Mapping[str, Any]) -> str:
    """Fills in the settings template of a deployment without accounts."""
    text = template.partition("{{#")[0]
    return re.sub(
        r"\{\{([a-z_0-9.]+)\}\}", lambda match: str(fields[match[1]]), text
    )


class Gateway:
    """A gateway process.

    Attributes:
      name: name of its machine.
      zone: its availability zone.
      caller_port: port that clients connect to.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store_address: str,
        folder: pathlib.Path,
        deployment: Deployment,
    ) -> None:
        self.name = name
        self.zone = zone
        self._folder = folder
        ports = find_free_ports(5)
        self.caller_port, self.ready_port = ports[:2]
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = role["roles"]["gateway"]
        fields = {
            "node": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "listen.front": f"127.0.0.1:{ports[0]}",
            "listen.ready": f"127.0.0.1:{ports[1]}",
            "internal_ports.0": ports[2],
            "internal_ports.1": ports[3],
            "platform.address": store_address,
            "limits.memory_mb": deployment.memory_mb,
            **{
                f"bounds.{key}": value
                for key, value in deployment.bounds.items()
            },
        }
        text = _render_settings((ROOT / role["template"]).read_text(), fields)
        text += deployment.more_settings
        # The template's port for metrics is the same on all machines.
        text = text.replace("127.0.0.1:9464", f"127.0.0.1:{ports[4]}")
        self._settings = folder / f"{name}.yaml"
        self._settings.write_text(text)
        self._command = [
            str(self._settings)
            if word == "/etc/burdockspan/settings.json"
            else word
            for word in role["run"].split(" ")
        ]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)

    def has_ended(self) -> bool:
        """Returns whether the process has ended."""
        return self.process is not None and self.process.poll() is not None

    def is_ready(self) -> bool:
        """Returns whether the process says that it is ready."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ready_port, timeout=1
        )
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def read_log(self, event: str) -> list[dict[str, Any]]:
        """Returns the lines of an event in the log so far."""
        lines = []
        for line in (self._folder / f"{self.name}.log").read_text().split("\n"):
            with contextlib.suppress(ValueError):
                value = json.loads(line)
                if isinstance(value, dict) and value.get("event") == event:
                    lines.append(value)
        return lines

    def read_errors(self) -> list[str]:
        """Returns the lines of the log that name an uncaught exception."""
        text = (self._folder / f"{self.name}.log").read_text()
        return [
            line
            for line in text.split("\n")
            if line.startswith("Exception in thread")
            or re.match(r"[A-Za-z.]*(Error|Exception): ", line)
        ]


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer as a client received it; status 0 without one."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    whole: bool


@dataclasses.dataclass
class Case:
    """A running case: the store, the gateways and the record."""

    record: Record
    store: ObjectStore
    gateways: list[Gateway]
    folder: pathlib.Path
    numbers: Iterator[int] = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )

    def start(self) -> None:
        """Starts all gateways and waits until they are ready.

        Raises:
          CannotRunError: one was not ready within 30 s.
        """
        for gateway in self.gateways:
            gateway.start()
        self.wait_until_ready(30.0)

    def wait_until_ready(self, timeout_s: float) -> None:
        """Waits until all gateways are ready.

        Raises:
          CannotRunError: one was not ready in time.
        """
        end_s = time.monotonic() + timeout_s
        for gateway in self.gateways:
            while not gateway.is_ready():
                if time.monotonic() > end_s:
                    raise CannotRunError(f"{gateway.name} is not ready")
                time.sleep(0.05)
        self.record.write("all gateways are ready")

    def send(
        self,
        gateway: Gateway,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = 10.0,
        headers: Mapping[str, str] | None = None,
        request_id: str | None = None,
    ) -> Answer:
        """Sends a request of a client and reads its answer."""
        request_id = request_id or f"r{next(self.numbers):05d}"
        sent = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "2500",
            **(headers or {}),
        }
        self.record.write(f"{request_id} {method} {target} to {gateway.name}")
        connection = http.client.HTTPConnection(
            "127.0.0.1", gateway.caller_port, timeout=timeout_s
        )
        answer = Answer(0, {}, b"", False)
        try:
            connection.request(method, target, body or None, sent)
            response = connection.getresponse()
            answer = Answer(
                response.status, dict(response.getheaders()), b"", False
            )
            answer = dataclasses.replace(
                answer, body=response.read(), whole=True
            )
        except (OSError, http.client.HTTPException) as error:
            self.record.write(f"{request_id} {type(error).__name__}")
        finally:
            connection.close()
        self.record.write(
            f"{request_id} gets {answer.status}"
            + ("" if answer.whole else ", not whole")
        )
        return answer


def run_case(
    script: str,
    vm_count: int,
    check: Callable[[Case], bool],
    deployment: Deployment = RAQS_BOOKING,
) -> int:
    """Runs a case; returns `BROKEN`, `HELD` or `COULD_NOT_RUN`.

    Args:
      script: path of the script, beside which the record is written.
      vm_count: number of gateways.
      check: runs the case; returns whether the rule was broken.
      deployment: the deployment whose settings the gateways have.
    """
    record = Record(pathlib.Path(script).resolve().parent / "record.txt")
    record.write(f"TROUBLE={int(is_troubled())}")
    if not (ROOT / "target/deps").is_dir():
        record.write("could not run: the build of the deploy file is missing")
        return COULD_NOT_RUN
    store = ObjectStore()
    zones = deployment.zones
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        gateways = [
            Gateway(
                f"front-{zones[number % len(zones)]}-{number + 1}",
                zones[number % len(zones)],
                store.address,
                folder,
                deployment,
            )
            for number in range(vm_count)
        ]
        try:
            is_broken = check(Case(record, store, gateways, folder))
            for gateway in gateways:
                for line in gateway.read_errors():
                    record.write(f"log of {gateway.name}: {line[:200]}")
        except Exception:
            record.write(f"could not run: {traceback.format_exc()}")
            return COULD_NOT_RUN
        finally:
            for gateway in gateways:
                gateway.kill()
            store.close()
    record.write("the rule was broken" if is_broken else "the rule held")
    record.close()
    return BROKEN if is_broken else HELD
