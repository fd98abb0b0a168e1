"""A replica crashes while two of three machines reach no replica."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import http.server
import json
import pathlib
import socket
import struct
import sys
import threading
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import (
    RAQS_BOOKING,
    ZONES,
    Arrival,
    Case,
    Gateway,
    Record,
    Replica,
    is_troubled,
    make_configuration,
    make_route,
    run_case,
)

from standins.object_store import ObjectStore

APP = "hajz-app"
MODELS = "qalam-models"
EVENTS = 20
PAUSE_S = 0.2
WORK_S = 0.045
# Requests a second of each machine: a third of what the sheet states.
STREAMS_PER_S = 3.0
PAYMENTS_PER_S = 3.3
LOOKUPS_PER_S = 1.3
# `stable_window_ms` of raqs-booking.
STABLE_S = 3.0
# Times count from the begin of the cut.
CRASH_S = 4.0
CUT_S = 9.0


class Link:
    """The path of one machine to one replica.

    While it is cut, new connections are refused and open ones live on.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"
        self._start()

    def _start(self) -> None:
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def cut(self) -> None:
        """Refuses new connections."""
        with contextlib.suppress(OSError):
            # Wakes the thread that accepts.
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def heal(self) -> None:
        """Accepts new connections again.

        An outgoing connection may have taken the port; the path then stays cut.
        """
        with contextlib.suppress(OSError):
            self._listener = socket.create_server(
                ("127.0.0.1", self._port), backlog=256
            )
            self._start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            host, _, port = self._target.partition(":")
            try:
                far = socket.create_connection((host, int(port)), 5)
            except OSError:
                _reset(near)
                continue
            far.settimeout(None)
            for one, other in ((near, far), (far, near)):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(
                    target=_forward, args=(one, other), daemon=True
                ).start()


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        # Wakes a thread that reads; a close alone would wait for it.
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def _forward(source: socket.socket, sink: socket.socket) -> None:
    """Forwards bytes, and the end or the reset of the connection."""
    try:
        while data := source.recv(65_536):
            sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
    except OSError:
        _reset(sink)
        _reset(source)


def serve_store(store: ObjectStore, links: dict[str, Link]) -> str:
    """Serves the store to one machine, with its own paths to the replicas.

    Returns:
      The address for that machine.
    """

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, format: str, *args: Any) -> None:
            """Writes no access log."""

        def handle(self) -> None:
            with contextlib.suppress(OSError):
                super().handle()

        def _handle(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            text = self.rfile.read(length)
            body = json.loads(text) if text else None
            status, value = store.handle(self.command, self.path, body)
            content = json.dumps(value)
            for address, link in links.items():
                content = content.replace(f'"{address}"', f'"{link.address}"')
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Store-Era", str(store.era))
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content.encode())

        do_GET = do_POST = do_PUT = do_DELETE = _handle  # noqa: N815

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    threading.Thread(
        target=server.serve_forever, args=(0.05,), daemon=True
    ).start()
    return f"127.0.0.1:{server.server_port}"


class ModelReplica(Replica):
    """A sound replica that streams events until it crashes."""

    def __init__(self, id: str, record: Record) -> None:
        super().__init__(id, record, self._stream)
        self._crashed = threading.Event()

    def crash(self) -> None:
        """Ends the replica: its connections are reset, new ones refused."""
        self._crashed.set()
        self.close()

    def _stream(self, arrival: Arrival, sock: socket.socket) -> None:
        head = self.make_answer(arrival, 200).partition(b"\r\n\r\n")[0]
        head = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        sock.sendall(head + b"\r\nContent-Type: text/event-stream\r\n\r\n")
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: text\n\n" % number
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            if self._crashed.wait(PAUSE_S):
                _reset(sock)
                raise OSError("crashed")
        sock.sendall(b"0\r\n\r\n")


def make_app_replica(id: str, record: Record) -> Replica:
    """Returns a sound replica of the application."""
    replica = Replica(id, record)

    def reply(arrival: Arrival, sock: socket.socket) -> None:
        time.sleep(WORK_S)
        sock.sendall(replica.make_answer(arrival, 200, b"done"))

    replica.reply = reply
    return replica


@dataclasses.dataclass(frozen=True)
class Try:
    """The first try of one request."""

    gateway: Gateway
    kind: str
    sent_s: float
    is_served: bool


def send(case: Case, gateway: Gateway, kind: str, tries: list[Try]) -> None:
    """Sends a request of a kind, and records its first try."""
    method = "GET" if kind == "lookup" else "POST"
    body = b"" if kind == "lookup" else b"body"
    headers = {"Deadline-Ms": "14000" if kind == "reply" else "2500"}
    sent_s = time.monotonic()
    answer = case.send(gateway, method, f"/{kind}/x", body, 14.0, headers)
    is_served = answer.status == 200 and answer.whole
    tries.append(Try(gateway, kind, sent_s, is_served))


def send_often(
    case: Case,
    gateway: Gateway,
    kind: str,
    per_s: float,
    end_s: float,
    tries: list[Try],
) -> None:
    """Sends requests of a kind at a rate until a time."""
    threads = []
    due_s = time.monotonic()
    while due_s < end_s:
        time.sleep(max(0.0, due_s - time.monotonic()))
        thread = threading.Thread(
            target=send, args=(case, gateway, kind, tries), daemon=True
        )
        thread.start()
        threads.append(thread)
        due_s += 1.0 / per_s
    for thread in threads:
        thread.join()


def check(case: Case) -> bool:
    """Returns whether the machines that are cut off serve too little."""
    routes = [
        make_route("lookup"),
        make_route("pay", kind="unsafe", max_attempts=1),
        make_route(
            "reply",
            kind="streaming",
            service=MODELS,
            max_attempts=1,
            timeout_ms=14_000,
            target_latency_ms=900,
            gap_aim_ms=300,
        ),
    ]
    services = [
        {"name": name, "health_path": "/health"} for name in (APP, MODELS)
    ]
    case.store.put("config", "main", make_configuration(1, routes, services))
    apps = [make_app_replica(f"i-app{n}", case.record) for n in range(3)]
    models = [ModelReplica(f"i-model{n}", case.record) for n in range(3)]
    for service, replicas, slots in ((APP, apps, 6), (MODELS, models, 64)):
        for replica, zone in zip(replicas, ZONES, strict=True):
            entry = replica.make_entry(service, zone, slots=slots)
            case.store.put("servers", replica.id, entry)
    links_by_vm: list[dict[str, Link]] = []
    for number, zone in enumerate(ZONES):
        links = {
            replica.address: Link(replica.address)
            for replica in (*apps, *models)
        }
        links_by_vm.append(links)
        address = serve_store(case.store, links)
        case.gateways[number] = Gateway(
            f"front-{zone}-1", zone, address, case.folder, RAQS_BOOKING
        )
    case.start()
    # The VMs know each other.
    time.sleep(5.0)
    cut_s = time.monotonic() + 3.0
    tries: list[Try] = []
    senders = [
        threading.Thread(
            target=send_often,
            args=(case, gateway, kind, per_s, cut_s + CUT_S, tries),
        )
        for gateway in case.gateways
        for kind, per_s in (
            ("reply", STREAMS_PER_S),
            ("pay", PAYMENTS_PER_S),
            ("lookup", LOOKUPS_PER_S),
        )
    ]
    for sender in senders:
        sender.start()
    time.sleep(max(0.0, cut_s - time.monotonic()))
    for links in links_by_vm[:2]:
        for link in links.values():
            link.cut()
    case.record.write("two machines are partitioned from all replicas")
    time.sleep(max(0.0, cut_s + CRASH_S - time.monotonic()))
    if is_troubled():
        models[2].crash()
        case.record.write(f"replica {models[2].id} crashes")
    time.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
    for links in links_by_vm[:2]:
        for link in links.values():
            link.heal()
    case.record.write("the partition has healed")
    for sender in senders:
        sender.join()
    cut_off = case.gateways[:2]
    counted = [
        item
        for item in tries
        if cut_s + STABLE_S <= item.sent_s <= cut_s + CUT_S
    ]
    shares = {}
    failed_there = 0
    for is_cut in (True, False):
        group = [t for t in counted if (t.gateway in cut_off) == is_cut]
        served = sum(item.is_served for item in group)
        shares[is_cut] = served / len(group)
        if is_cut:
            failed_there = len(group) - served
        by_kind = {
            kind: f"{sum(t.is_served for t in group if t.kind == kind)} of "
            f"{sum(t.kind == kind for t in group)}"
            for kind in ("reply", "pay", "lookup")
        }
        case.record.write(
            f"{'cut off' if is_cut else 'the other'}: served {by_kind}"
        )
    limit = 10 + len(counted) / 50
    case.record.write(
        f"served share {shares[True]:.2f} there, {shares[False]:.2f} at the "
        f"other; {failed_there} first tries failed there, limit {limit:.1f}"
    )
    return shares[True] < shares[False] * 2 / 3 and failed_there > limit


if __name__ == "__main__":
    sys.exit(run_case(__file__, 3, check))
