"""HTTP client of the platform's endpoints."""

from __future__ import annotations

import dataclasses
import json
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeGuard

import urllib3
from result import Err, Ok, Result

from burdockspan.endpoints.call_timer import OnSilence
from burdockspan.endpoints.connections import Connections, make_connections
from burdockspan.endpoints.exchange import Call, Exchange
from burdockspan.endpoints.failures import make_failure
from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.gateway.ports import (
    AttemptOptions,
    EndpointClient,
    EndpointResponse,
    EngineLoad,
    KvCache,
    ObserveSignals,
)
from burdockspan.gateway.values import Endpoint, InboundCall, Stage
from burdockspan.platform import headers as header_names
from burdockspan.platform.signals import decode_signals
from burdockspan.values.clock import Clock
from burdockspan.values.endpoint import Endpoint as TransportEndpoint
from burdockspan.values.endpoint import Pool
from burdockspan.values.json_reader import read_json
from burdockspan.values.placement import Failure, FailureKind

# The first packet of a connection takes 3 ms between zones. A lost one is
# retransmitted only after a second, which is too long to wait for.
CONNECT_TIMEOUT_S = 0.25
"""Time limit for opening a connection within a region."""
# Control calls, such as reservations and load reports, take some milliseconds.
_CONTROL_TIMEOUT_S = 0.5
_CONTROL_SILENCE_S = 0.1
_CONTROL_RESPONSE_LIMIT_BYTES = 4 * 1024 * 1024
_MISDIRECTED_REQUEST = 421
# Names that engines give to KV caches and to reservations.
_TOKEN_PATTERN = re.compile(r"[!-~]{1,256}")
# Number of the least urgent priority at engines.
_LEAST_URGENT = 9


@dataclasses.dataclass(frozen=True)
class _Channel:
    """How calls reach endpoints, and who receives the signals of answers."""

    connections: Connections
    observe_signals: ObserveSignals


def make_endpoint_client(
    clock: Clock, observe_signals: ObserveSignals
) -> EndpointClient:
    """Returns the client; each of its calls opens a new connection.

    Reusing connections would save a round trip, but would expose calls to idle
    connections that were closed or lost, and to late responses of other calls.

    Args:
      clock: monotonic clock, in seconds.
      observe_signals: receives the signals of each answer.
    """
    connections = make_connections(clock, lambda: CONNECT_TIMEOUT_S)
    channel = _Channel(connections, observe_signals)

    def run(
        endpoint: Endpoint, call: InboundCall, options: AttemptOptions
    ) -> Result[EndpointResponse, Failure]:
        exchanged = _send_request(channel, endpoint, call, options)
        return exchanged.map(make_response)

    def prefill(
        endpoint: Endpoint, call: InboundCall, options: AttemptOptions
    ) -> Result[KvCache, Failure]:
        exchanged = _send_request(
            channel, endpoint, call, options, prefill_only=True
        )
        if isinstance(exchanged, Err):
            return exchanged
        value = _read_json(endpoint, exchanged.ok_value)
        if isinstance(value, Err):
            return value
        handle = value.ok_value.get("handle")
        if not _is_token(handle):
            return Err(
                _make_endpoint_error(endpoint, "prefill answer has no handle")
            )
        return Ok(KvCache(endpoint, handle))

    def reserve(
        endpoint: Endpoint,
        tokens: int,
        ttl_s: float,
        remaining_s: float,
        record_silence: Callable[[], None],
    ) -> Result[str, Failure]:
        body = {"tokens": tokens, "ttl_ms": int(ttl_s * 1000)}
        time_limit_s = min(_CONTROL_TIMEOUT_S, remaining_s)

        def wait_on() -> float:
            record_silence()
            return time_limit_s

        value = _call_control_api(
            channel,
            endpoint,
            "POST",
            "/v1/hold-take",
            body,
            time_limit_s,
            wait_on,
        )
        if isinstance(value, Err):
            return value
        name = value.ok_value.get("hold")
        if not _is_token(name):
            return Err(
                _make_endpoint_error(endpoint, "reservation has no name")
            )
        return Ok(name)

    def release_reservation(endpoint: Endpoint, name: str) -> None:
        _call_control_api(channel, endpoint, "DELETE", f"/v1/hold-drop/{name}")

    def release_cache(cache: KvCache) -> None:
        path = f"/v1/kv-handle/{cache.handle}"
        _call_control_api(channel, cache.endpoint, "DELETE", path)

    def fetch_load(endpoint: Endpoint) -> Result[EngineLoad, Failure]:
        value = _call_control_api(channel, endpoint, "GET", "/v1/report")
        if isinstance(value, Err):
            return value
        try:
            return Ok(_decode_load(value.ok_value))
        except (KeyError, TypeError, ValueError):
            return Err(
                _make_endpoint_error(endpoint, "load report is malformed")
            )

    def order_stage(
        endpoint: Endpoint,
        stage: Stage,
        holder: str,
        fencing_token: int,
        orders: int,
    ) -> Result[None, Failure]:
        body = {
            "op": "stage",
            "stage": stage.value,
            "holder": holder,
            "fence": fencing_token,
            # Number of orders that the engine must have accepted before.
            "precondition": orders,
        }
        response = _call_control_api(
            channel, endpoint, "POST", "/v1/order", body
        )
        return response if isinstance(response, Err) else Ok(None)

    def is_reachable(endpoint: Endpoint) -> bool:
        return connections.accepts_connections(_to_transport(endpoint))

    def probe(endpoint: Endpoint, path: str) -> Result[None, Failure]:
        answer = _call_control_api(channel, endpoint, "GET", path)
        return answer if isinstance(answer, Err) else Ok(None)

    return EndpointClient(
        run=run,
        prefill=prefill,
        reserve=reserve,
        release_reservation=release_reservation,
        release_cache=release_cache,
        fetch_load=fetch_load,
        order_stage=order_stage,
        is_reachable=is_reachable,
        probe=probe,
    )


def _send_request(
    channel: _Channel,
    endpoint: Endpoint,
    call: InboundCall,
    options: AttemptOptions,
    prefill_only: bool = False,
) -> Result[Exchange, Failure]:
    """Sends a request; returns a response whose body has not been read.

    Args:
      channel: connections, and the receiver of signals.
      endpoint: receives the request.
      call: the request.
      options: options of the attempt.
      prefill_only: whether the endpoint only prefills.
    """
    headers = _encode_headers(endpoint, call, options, prefill_only)
    request = Call(
        endpoint=_to_transport(endpoint),
        method=call.method,
        path=call.target,
        body=call.body or None,
        headers=headers,
        first_byte_timeout_s=options.head_silence_limit_s,
        idle_timeout_s=options.head_silence_limit_s,
        fresh=True,
        on_silence=options.on_silence,
        time_limit_s=options.remaining_s,
        expects_events=options.expects_events and not prefill_only,
    )
    exchanged = channel.connections.start_exchange(request, options.abort)
    if isinstance(exchanged, Err):
        return exchanged
    failure = _check_response(endpoint, call, exchanged.ok_value, prefill_only)
    if failure is None or failure.kind is FailureKind.REFUSED:
        _observe_signals(channel, endpoint, exchanged.ok_value, True)
    if failure is not None:
        exchanged.ok_value.close()
        return Err(failure)
    return exchanged


def _observe_signals(
    channel: _Channel,
    endpoint: Endpoint,
    exchange: Exchange,
    answers_request: bool,
) -> None:
    """Reports the signals of an answer that the endpoint itself sent."""
    channel.observe_signals(
        endpoint,
        decode_signals(exchange.status, exchange.headers, answers_request),
    )


def _encode_headers(
    endpoint: Endpoint,
    call: InboundCall,
    options: AttemptOptions,
    prefill_only: bool,
) -> urllib3.HTTPHeaderDict:
    headers = urllib3.HTTPHeaderDict()
    replaced_names = set()
    if options.after_event is not None:
        replaced_names.add(header_names.LAST_EVENT_ID.lower())
        headers.add(header_names.LAST_EVENT_ID, options.after_event)
    for name, value in call.headers:
        if name.lower() not in replaced_names:
            headers.add(name, value)
    headers.add(
        header_names.DEADLINE_MS, str(max(1, int(options.remaining_s * 1000)))
    )
    headers.add(header_names.EXPECT_INSTANCE, endpoint.id)
    if call.account is not None:
        # Bytes of UTF-8, as the transport encodes headers in Latin-1.
        headers.add(
            header_names.ACCOUNT, call.account.encode().decode("latin-1")
        )
    if options.cache is not None:
        source = f"{options.cache.endpoint.address}/{options.cache.handle}"
        headers.add(header_names.KV_SOURCE, source)
    if options.reservation is not None:
        headers.add(header_names.KV_HOLD, options.reservation)
    if options.priority is not None:
        priority = min(options.priority, _LEAST_URGENT)
        headers.add(header_names.REQUEST_PRIORITY, str(priority))
    if prefill_only:
        headers.add(header_names.STAGE, "prefill")
    skip_library_headers(headers)
    return headers


def skip_library_headers(headers: urllib3.HTTPHeaderDict) -> None:
    """Keeps urllib3 from adding headers that the caller did not send."""
    for name in ("Accept-Encoding", "User-Agent"):
        if name not in headers:
            headers[name] = urllib3.util.SKIP_HEADER


def _check_response(
    endpoint: Endpoint,
    call: InboundCall,
    exchange: Exchange,
    prefill_only: bool,
) -> Failure | None:
    """Checks that a response is valid and belongs to its request.

    Args:
      endpoint: sender of the response.
      call: the request.
      exchange: the response.
      prefill_only: whether the request was a prefill; the response to it has no
        stamp.

    Returns:
      The failure; None for a valid response.
    """
    echoed_request_id = exchange.headers.get(header_names.REQUEST_ID)
    if echoed_request_id is not None and echoed_request_id != call.request_id:
        return _make_endpoint_error(
            endpoint, "answer belongs to another request"
        )
    if exchange.status == _MISDIRECTED_REQUEST:
        return make_failure(
            _to_transport(endpoint),
            FailureKind.LEAVING,
            "another endpoint has the address, or another stage",
        )
    if header_names.NOT_EXECUTED in exchange.headers:
        return make_failure(
            _to_transport(endpoint),
            FailureKind.REFUSED,
            f"not started, status {exchange.status}",
        )
    lacks_stamp = header_names.RESPONSE_STAMP not in exchange.headers
    if 200 <= exchange.status < 300 and lacks_stamp and not prefill_only:
        # Only the stamp proves that the endpoint created the response.
        return _make_endpoint_error(endpoint, "success has no stamp")
    if exchange.status < 200:
        return _make_endpoint_error(endpoint, f"status {exchange.status}")
    return None


def make_response(exchange: Exchange) -> EndpointResponse:
    """Returns a response whose body is read from an exchange."""

    def iterate(
        silence_limit_s: Callable[[], float], on_silence: OnSilence
    ) -> Iterator[bytes]:
        exchange.set_on_silence(on_silence)
        exchange.set_idle_timeout(silence_limit_s())
        for part in exchange.iterate():
            yield part
            exchange.set_idle_timeout(silence_limit_s())

    return EndpointResponse(
        status=exchange.status,
        headers=header_names.filter_response_headers(exchange.headers.items()),
        framing=exchange.framing,
        iterate=iterate,
        close=exchange.close,
    )


def _call_control_api(
    channel: _Channel,
    endpoint: Endpoint,
    method: str,
    path: str,
    body: Any = None,
    time_limit_s: float = _CONTROL_TIMEOUT_S,
    on_silence: OnSilence = lambda: _CONTROL_TIMEOUT_S,
) -> Result[Mapping[str, Any], Failure]:
    content = None if body is None else json.dumps(body).encode()
    headers = urllib3.HTTPHeaderDict()
    if content is not None:
        headers.add("Content-Type", "application/json")
    headers.add(header_names.EXPECT_INSTANCE, endpoint.id)
    skip_library_headers(headers)
    call = Call(
        endpoint=_to_transport(endpoint),
        method=method,
        path=path,
        body=content,
        headers=headers,
        first_byte_timeout_s=_CONTROL_SILENCE_S,
        idle_timeout_s=_CONTROL_TIMEOUT_S,
        fresh=True,
        on_silence=on_silence,
        time_limit_s=time_limit_s,
    )
    exchanged = channel.connections.start_exchange(call, AbortHandle())
    if isinstance(exchanged, Err):
        return exchanged
    exchange = exchanged.ok_value
    if exchange.status != _MISDIRECTED_REQUEST:
        _observe_signals(channel, endpoint, exchange, False)
    if not 200 <= exchange.status < 300:
        exchange.close()
        kind = FailureKind.REFUSED
        if exchange.status == _MISDIRECTED_REQUEST:
            kind = FailureKind.LEAVING
        detail = f"{method} {path}: status {exchange.status}"
        return Err(make_failure(_to_transport(endpoint), kind, detail))
    return _read_json(endpoint, exchange)


def _read_json(
    endpoint: Endpoint, exchange: Exchange
) -> Result[Mapping[str, Any], Failure]:
    body = exchange.read(_CONTROL_RESPONSE_LIMIT_BYTES)
    if isinstance(body, Err):
        return body
    read = read_json(body.ok_value or b"{}")
    if isinstance(read, Err):
        return Err(_make_endpoint_error(endpoint, "answer is not JSON"))
    if not isinstance(read.ok_value, dict):
        return Err(
            _make_endpoint_error(endpoint, "answer is not a JSON object")
        )
    return Ok(read.ok_value)


def _is_token(value: Any) -> TypeGuard[str]:
    """Returns whether a value can be sent in a header and in a path."""
    return isinstance(value, str) and bool(_TOKEN_PATTERN.fullmatch(value))


def _decode_load(value: Mapping[str, Any]) -> EngineLoad:
    stage = value.get("stage")
    return EngineLoad(
        stage=Stage(stage) if stage is not None else None,
        busy=value.get("busy") is True,
        # Number of accepted orders since the start of the process.
        orders=int(value.get("seq", 0)),
        waiting=int(value.get("waiting", 0)),
        running=int(value.get("running", 0)),
        used_tokens=int(value["kv_used"]),
        total_tokens=int(value["kv_total"]),
    )


def _make_endpoint_error(endpoint: Endpoint, detail: str) -> Failure:
    return make_failure(
        _to_transport(endpoint), FailureKind.ENDPOINT_ERROR, detail
    )


def _to_transport(endpoint: Endpoint) -> TransportEndpoint:
    return TransportEndpoint(
        name=endpoint.id,
        address=endpoint.address,
        service=endpoint.service,
        pool=Pool.SERVICE,
        availability_zone=endpoint.zone,
    )


__all__ = [
    "CONNECT_TIMEOUT_S",
    "make_endpoint_client",
    "make_response",
    "skip_library_headers",
]
