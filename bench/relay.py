"""Processor time per streamed token, compared with a minimal relay.

Run with `python -m bench.relay`. It starts a simulated engine and one relay
process of each kind, streams the same load through both in alternating
rounds, and writes `bench/results/relay.txt`.
"""

from __future__ import annotations

import argparse
import asyncio
import http.client
import itertools
import json
import pathlib
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import urllib3
import waitress
from result import Ok

from burdockspan.endpoints.connections import make_connections
from burdockspan.http.application import make_application
from burdockspan.http.context import Claims, HandlerContext
from burdockspan.http.server import make_caller_server
from burdockspan.values.endpoint import Endpoint, Pool
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Placement
from burdockspan.values.router import Router
from tests.support.router_fake import TOKEN, make_configuration

_ROOT = pathlib.Path(__file__).parents[1]
_RESULT = _ROOT / "bench" / "results" / "relay.txt"
_TARGET_RATIO = 1.5
_RELAY_KINDS = ("bare", "product")
_THREADS = 64
_BODY_LIMIT_BYTES = 1_000_000
_BODY = {"model": "m1", "prompt": "hello", "max_tokens": 400, "stream": True}


def main() -> None:
    """Runs the role that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", default="bench")
    parser.add_argument("--engine", default="")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--streams", type=int, default=16)
    parser.add_argument("--tokens", type=int, default=400)
    parser.add_argument("--gap-ms", type=float, default=5.0)
    options = parser.parse_args()
    if options.role == "engine":
        asyncio.run(_serve_engine(options.tokens, options.gap_ms / 1000))
    elif options.role == "bare":
        _serve_bare(options.engine)
    elif options.role == "product":
        _serve_product(options.engine)
    else:
        _run_benchmark(options)


def _run_benchmark(options: argparse.Namespace) -> None:
    load_options = [f"--tokens={options.tokens}", f"--gap-ms={options.gap_ms}"]
    started: list[subprocess.Popen[str]] = []
    try:
        engine, engine_address = _start("engine", load_options)
        started.append(engine)
        address_by_kind = {}
        for kind in _RELAY_KINDS:
            process, address = _start(kind, [f"--engine={engine_address}"])
            started.append(process)
            address_by_kind[kind] = address
        for address in address_by_kind.values():
            _measure(address, options)
        costs_us: dict[str, list[float]] = {kind: [] for kind in _RELAY_KINDS}
        for _ in range(options.rounds):
            for kind, address in address_by_kind.items():
                costs_us[kind].append(_measure(address, options))
    finally:
        for process in started:
            process.kill()
            process.wait()
    text = _format_table(options, costs_us)
    sys.stdout.write(text)
    _RESULT.write_text(text)


def _start(role: str, arguments: list[str]) -> tuple[Any, str]:
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.relay", f"--role={role}", *arguments],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    return process, process.stdout.readline().strip()


def _measure(address: str, options: argparse.Namespace) -> float:
    """Returns microseconds of processor time per token of one round."""
    before_s = _read_processor_s(address)
    counts: list[int] = []
    threads = [
        threading.Thread(target=lambda: counts.append(_stream(address)))
        for _ in range(options.streams)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    spent_s = _read_processor_s(address) - before_s
    expected = options.streams * options.tokens
    if sum(counts) != expected:
        raise RuntimeError(f"{sum(counts)} tokens arrived, not {expected}")
    return spent_s / expected * 1e6


def _stream(address: str) -> int:
    connection = http.client.HTTPConnection(address, timeout=60)
    headers = {"Authorization": f"Bearer {TOKEN}"}
    body = json.dumps(_BODY)
    connection.request("POST", "/v1/completions", body, headers)
    text = connection.getresponse().read()
    connection.close()
    return text.count(b'"text"')


def _read_processor_s(address: str) -> float:
    connection = http.client.HTTPConnection(address, timeout=60)
    connection.request("GET", "/cpu")
    value = float(connection.getresponse().read())
    connection.close()
    return value


def _format_table(
    options: argparse.Namespace, costs_us: dict[str, list[float]]
) -> str:
    medians = {kind: statistics.median(costs_us[kind]) for kind in _RELAY_KINDS}
    ratio = medians["product"] / medians["bare"]
    lines = [
        "Processor time of the relay process per streamed token, us",
        f"{options.rounds} rounds, {options.streams} streams at a time, "
        f"{options.tokens} tokens each, {options.gap_ms:g} ms between tokens",
        "",
        f"{'relay':<10}{'median':>8}{'least':>8}{'most':>8}",
    ]
    for kind in _RELAY_KINDS:
        costs = costs_us[kind]
        lines.append(
            f"{kind:<10}{medians[kind]:>8.1f}{min(costs):>8.1f}{max(costs):>8.1f}"
        )
    verdict = "met" if ratio <= _TARGET_RATIO else "missed"
    lines.append("")
    lines.append(
        f"ratio {ratio:.2f}, target at most {_TARGET_RATIO}: {verdict}"
    )
    return "\n".join(lines) + "\n"


def _with_cpu_path(application: Callable[..., Any]) -> Any:
    """Adds the path `/cpu`, which returns the process's processor time."""

    def handle(environ: dict[str, Any], start_response: Any) -> Any:
        if environ["PATH_INFO"] == "/cpu":
            start_response("200 OK", [("Content-Type", "text/plain")])
            return [str(time.process_time()).encode()]
        return application(environ, start_response)

    return handle


def _print_address(address: str) -> None:
    sys.stdout.write(address + "\n")
    sys.stdout.flush()


def _serve_bare(engine: str) -> None:
    pool = urllib3.HTTPConnectionPool(
        *engine.split(":"),  # type: ignore[arg-type]
        maxsize=_THREADS,
    )

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        response = pool.urlopen(
            "POST", environ["PATH_INFO"], body, preload_content=False
        )
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return _relay_chunks(response)

    server: Any = waitress.create_server(
        _with_cpu_path(application),
        listen="127.0.0.1:0",
        threads=_THREADS,
        asyncore_use_poll=True,
    )
    _print_address(f"127.0.0.1:{server.effective_port}")
    server.run()


def _relay_chunks(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    yield from response.stream(65_536)
    response.release_conn()


def _serve_product(engine: str) -> None:
    connections = make_connections(time.monotonic, lambda: 1.0)
    unused: Any = None
    claims = Claims(unused, unused, unused, unused)
    context = HandlerContext(
        _make_router(engine), claims, connections, time.monotonic
    )
    application = _with_cpu_path(make_application(context))
    server = make_caller_server(
        application, "127.0.0.1:0", _THREADS, lambda: _BODY_LIMIT_BYTES
    )
    _print_address(server.address)
    server.run()


def _make_router(engine: str) -> Router:
    sequence = itertools.count(1)
    configuration = make_configuration()
    prefill = Endpoint("p", engine, "lm", Pool.PREFILL, "zone-a")
    decode = Endpoint("d", engine, "lm", Pool.DECODE, "zone-a")

    def make_attempt_id() -> AttemptId:
        return AttemptId("entry-1", 1, next(sequence))

    def fail(*_: object) -> Any:
        raise RuntimeError("an attempt failed during the bench")

    return Router(
        make_attempt_id=make_attempt_id,
        submit=lambda submission, is_gone: Ok(
            Placement("r", make_attempt_id(), 1, prefill, decode)
        ),
        retry=fail,
        record_event=lambda attempt, event: True,
        register_abort=lambda attempt, abort: None,
        finish=lambda request_id, execution, status: None,
        release=lambda attempt, name: None,
        configuration=lambda: configuration,
        is_ready=lambda: True,
        status=dict,
    )


async def _serve_engine(tokens: int, gap_s: float) -> None:
    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await _handle_request(head, reader, writer, tokens, gap_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    _print_address(f"{host}:{port}")
    await server.serve_forever()


async def _handle_request(
    head: bytes,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    tokens: int,
    gap_s: float,
) -> None:
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    await reader.readexactly(length)
    path = head.split(b" ", 2)[1]
    if path.startswith(b"/v1/"):
        await _send_stream(writer, tokens, gap_s)
        return
    body = b'{"cache":"k","tokens":2,"cached_tokens":0,"life_s":1}'
    status = b"201 Created" if path == b"/reservations" else b"200 OK"
    writer.write(
        b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s"
        % (status, len(body), body)
    )
    await writer.drain()


async def _send_stream(
    writer: asyncio.StreamWriter, tokens: int, gap_s: float
) -> None:
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    for index in range(tokens):
        choice = {"index": 0, "text": " token", "finish_reason": None}
        value = {
            "id": "cmpl-1",
            "object": "text_completion",
            "created": 0,
            "model": "m1",
            "choices": [choice],
        }
        event = f"id: {index}\ndata: {json.dumps(value)}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(gap_s)
    writer.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
    await writer.drain()


if __name__ == "__main__":
    main()

__all__ = ["main"]
