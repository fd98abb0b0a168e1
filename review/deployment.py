"""A small deployment on loopback for the cases 6 to 10.

The gateways are processes of their own, started with the command of
`deploy/system.toml` and the settings of `deploy/gateway.yaml`. The store, the
endpoints and the callers are stand-ins in the process of the case.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import http.client
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from standins.object_store import ObjectStore

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "app.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
DRAIN_S = 2.0
LEASE_S = 3.0
HOLD_S = 2.0
_READY_TIMEOUT_S = 20.0
_START_TRIES = 3
_COPY_INTERVAL_S = 0.5
_SETTINGS = """\
vm: "{vm}"
availability_zone: "{zone}"
caller_address: "127.0.0.1:{callers}"
ready_address: "127.0.0.1:{ready}"
metrics_address: "127.0.0.1:{metrics}"
peer_address: "127.0.0.1:{peer}"
exchange_address: "127.0.0.1:{exchange}"
endpoint_capacity: engines
store_address: "{store}"
watchers_per_zone: 2
memory_mb: 205
grace_s: 8 s
lease_s: 3000 ms
retry_budget:
  ratio: 0.2
  slack: 58
  window_s: 10 s
change_limits:
  configuration_s: 2000 ms
  leaving_endpoint_s: 2000 ms
  recovery_s: 3000 ms
"""


class CannotRunError(Exception):
    """The case could not run on this machine."""


class Record:
    """What was sent, answered and run, for `record.txt`."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._lines: list[tuple[float, str]] = []

    def now_s(self) -> float:
        """Returns the time since the start of the case."""
        return time.monotonic() - self._started_s

    def add(self, text: str) -> float:
        """Adds a line; returns its time."""
        now_s = self.now_s()
        with self._lock:
            self._lines.append((now_s, text))
        return now_s

    def write(self, path: pathlib.Path) -> None:
        """Writes the lines in the order of their times."""
        with self._lock:
            lines = sorted(self._lines)
        path.write_text("".join(f"{at:9.3f} s  {text}\n" for at, text in lines))


@dataclasses.dataclass
class Gateway:
    """A gateway process.

    Attributes:
      vm: name of its VM.
      port: port for callers.
      ready_port: port of the readiness check.
      popen: the process.
      log_path: its standard output and error.
      settings_path: its settings file.
    """

    vm: str
    port: int
    ready_port: int
    popen: subprocess.Popen[bytes]
    log_path: pathlib.Path
    settings_path: pathlib.Path

    def is_ready(self) -> bool:
        """Returns whether it says that it is ready."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ready_port, timeout=1.0
        )
        with contextlib.closing(connection):
            try:
                connection.request("GET", "/v1/ready")
                return connection.getresponse().status == 200
            except OSError:
                return False


@dataclasses.dataclass(frozen=True)
class Answer:
    """The answer that a caller received.

    Attributes:
      status: HTTP status; 0 without an answer.
      body: the received part of the body.
      is_whole: whether the answer was complete.
      at_s: when it ended, in seconds of the case.
    """

    status: int
    body: bytes
    is_whole: bool
    at_s: float


class Deployment:
    """A store and gateways; endpoints are added by the case.

    Attributes:
      store: the platform's store.
      record: the record of the case.
      gateways: the gateway processes.
    """

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.store = ObjectStore()
        self.record = record
        self.gateways: list[Gateway] = []
        self._folder = folder

    def start_gateway(self, vm: str, zone: str) -> Gateway:
        """Starts a gateway process."""
        ports = find_free_ports(5)
        text = _SETTINGS.format(
            vm=vm,
            zone=zone,
            store=self.store.address,
            callers=ports[0],
            ready=ports[1],
            metrics=ports[2],
            peer=ports[3],
            exchange=ports[4],
        )
        path = self._folder / f"{vm}.yaml"
        path.write_text(text)
        log_path = self._folder / f"{vm}.log"
        popen = _start_process(path, log_path)
        gateway = Gateway(vm, ports[0], ports[1], popen, log_path, path)
        self.gateways.append(gateway)
        self.record.add(f"{vm} started")
        return gateway

    def restart_gateway(self, gateway: Gateway) -> None:
        """Starts the process of a VM again, after the last one has ended."""
        gateway.popen.wait()
        gateway.popen = _start_process(gateway.settings_path, gateway.log_path)
        self.record.add(f"{gateway.vm} started again")

    def wait_until_ready(self) -> None:
        """Waits until all gateways are ready.

        Raises:
          CannotRunError: one of them ended or is not ready in time.
        """
        end_s = time.monotonic() + _READY_TIMEOUT_S
        for gateway in self.gateways:
            while not gateway.is_ready():
                if gateway.popen.poll() is not None:
                    raise CannotRunError(f"{gateway.vm} ended")
                if time.monotonic() > end_s:
                    raise CannotRunError(f"{gateway.vm} is not ready")
                time.sleep(0.05)
            self.record.add(f"{gateway.vm} ready")

    def close(self) -> None:
        """Ends all processes, and the store."""
        for gateway in self.gateways:
            with contextlib.suppress(ProcessLookupError):
                gateway.popen.send_signal(signal.SIGCONT)
                gateway.popen.kill()
        for gateway in self.gateways:
            gateway.popen.wait()
        self.store.close()


class Copies:
    """Copies of the store, to come back from one that is some seconds old."""

    def __init__(self, deployment: Deployment) -> None:
        self._store = deployment.store
        self._record = deployment.record
        self._copies: collections.deque[tuple[float, Callable[[], None]]] = (
            collections.deque(maxlen=40)
        )
        self.stopped = threading.Event()

    def run(self) -> None:
        """Copies the store at intervals."""
        while not self.stopped.wait(_COPY_INTERVAL_S):
            self._copies.append((self._record.now_s(), self._store.copy()))

    def come_back(
        self, away_s: float, min_age_s: float, write_again: Callable[[], None]
    ) -> None:
        """Lets the store be away and come back from a copy.

        Args:
          away_s: how long it is away.
          min_age_s: least age of the copy.
          write_again: writes again what is there once the store is back.
        """
        self._store.status = 503
        self._record.add("the store is away")
        time.sleep(away_s)
        now_s = self._record.now_s()
        age_s, restore = max(
            (copied_s, restore)
            for copied_s, restore in self._copies
            if now_s - copied_s >= min_age_s
        )
        restore()
        write_again()
        self._store.status = None
        self._record.add(
            f"the store is back, era {self._store.era}, from a copy that is "
            f"{now_s - age_s:.1f} s old"
        )


def _start_process(
    settings_path: pathlib.Path, log_path: pathlib.Path
) -> subprocess.Popen[bytes]:
    environment = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
    # The platform sets it too; 1 keeps the least memory that has been freed.
    environment["MALLOC_ARENA_MAX"] = "1"
    command = (sys.executable, "deploy/gateway.py", "gateway")
    with log_path.open("ab") as stream:
        return subprocess.Popen(
            [*command, "--settings", str(settings_path)],
            cwd=ROOT,
            env=environment,
            stdout=stream,
            stderr=stream,
        )


def find_free_ports(count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP."""
    ports: list[int] = []
    while len(ports) < count:
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind(("127.0.0.1", port))
                if port not in ports:
                    ports.append(port)
    return ports


@contextlib.contextmanager
def run_deployment(record: Record) -> Iterator[Deployment]:
    """Yields a deployment without gateways; ends its processes afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(pathlib.Path(folder), record)
        try:
            yield deployment
        finally:
            deployment.close()


def call(
    record: Record,
    gateway: Gateway,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    timeout_s: float = 20.0,
) -> Answer:
    """Sends a request of a caller on a new connection."""
    request_id = headers["Request-Id"]
    record.add(f"caller sends {request_id} {method} {target} to {gateway.vm}")
    status, received, is_whole = 0, b"", False
    connection = http.client.HTTPConnection(
        "127.0.0.1", gateway.port, timeout=timeout_s
    )
    with contextlib.closing(connection):
        try:
            connection.request(
                method, target, body or None, {"Host": HOST, **headers}
            )
            response = connection.getresponse()
            status = response.status
            while part := response.read1(65_536):
                received += part
            # `read1` takes the end of a connection for that of a body.
            is_whole = response.length in (None, 0)
        except (OSError, http.client.HTTPException):
            is_whole = False
    at_s = record.add(
        f"caller gets {status or 'no answer'} for {request_id}, "
        f"{len(received)} bytes, {'whole' if is_whole else 'broken off'}"
    )
    return Answer(status, received, is_whole, at_s)


def make_configuration(
    version: int, routes: list[dict[str, Any]], stage_switch_s: float = 6.0
) -> dict[str, Any]:
    """Returns a configuration as the operator writes it."""
    engine = {
        "slots": 64,
        "kv_tokens": 53_072,
        "kv_token_bytes": 163_840,
        "link_mbps": 1_600_000.0,
        "kv_ttl_s": 0.5,
        "stage_switch_s": stage_switch_s,
        "pin_ms": 4000.0,
        "hold_ms": 1000.0 * HOLD_S,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm", "health_path": "/health", "engine": engine},
            {"name": "app", "health_path": "/health"},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
    }


def make_route(name: str, **changes: Any) -> dict[str, Any]:
    """Returns a route for streams that may run once."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": "streaming",
        "timeout_ms": 14_000,
        "target_latency_ms": 900,
        "gap_aim_ms": 300,
        "priority": 1,
        "service": "llm",
        "max_attempts": 1,
        "sticky": True,
        "resumable": False,
        **changes,
    }


def make_prompt_headers(
    request_id: str, tokens: int, output: int = 68
) -> dict[str, str]:
    """Returns the headers of a generation."""
    return {
        "Request-Id": request_id,
        "Model": "m",
        "Token-Count": f"{tokens},{output}",
        "Prompt-Prefix": f"5c1e07a2:200,{request_id}:{tokens - 200}",
        "Deadline-Ms": "14000",
    }


def run_case(
    folder: pathlib.Path, play: Callable[[Record, bool], str | None]
) -> int:
    """Runs a case; returns its exit code.

    Args:
      folder: folder of the case, for `record.txt`.
      play: plays the case with or without the disruption; returns how the rule
        was broken, or None.
    """
    record = Record()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    code = NOT_RUN
    for attempt in itertools.count(1):
        try:
            broken = play(record, has_trouble)
        except CannotRunError as error:
            record.add(f"the case could not run: {error}")
            if attempt < _START_TRIES and "ended" in str(error):
                continue
        except Exception:
            # An exit code of 1 would say that the rule was broken.
            record.add(f"the case failed: {traceback.format_exc()}")
        else:
            code = HELD if broken is None else BROKEN
            record.add(f"broken: {broken}" if broken else "the rule held")
        break
    record.write(folder / "record.txt")
    print((folder / "record.txt").read_text().splitlines()[-1])
    return code
