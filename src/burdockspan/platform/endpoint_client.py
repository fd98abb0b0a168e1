"""Calls to the platform's replicas."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import urllib3
from result import Err, Ok, Result

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
)
from burdockspan.gateway.values import Endpoint, InboundCall, Stage
from burdockspan.platform import headers as names
from burdockspan.values.clock import Clock
from burdockspan.values.endpoint import Endpoint as TransportEndpoint
from burdockspan.values.endpoint import Pool
from burdockspan.values.placement import Failure, FailureKind

# The opening packet of a connection crosses between zones in 3 ms; one that is
# lost is sent again only after a second.
_CONNECT_TIMEOUT_S = 0.25
# A reservation, a release or a report takes some milliseconds.
_CONTROL_TIMEOUT_S = 0.5
# A socket without time left would not block, which is another mode.
_LEAST_WAIT_S = 0.001
_CONTROL_ANSWER_BYTES = 4 * 1024 * 1024
_MISDIRECTED = 421


def make_endpoint_client(clock: Clock) -> EndpointClient:
    """Returns the calls to replicas; each takes a new connection.

    A kept connection would save a round trip and bring its faults: idle
    closes, silent losses, and answers that arrive too late.
    """
    connections = make_connections(clock, lambda: _CONNECT_TIMEOUT_S)

    def run(
        endpoint: Endpoint, call: InboundCall, options: AttemptOptions
    ) -> Result[EndpointResponse, Failure]:
        answered = _ask(connections, endpoint, call, options)
        return answered.map(_make_answer)

    def prefill(
        endpoint: Endpoint, call: InboundCall, options: AttemptOptions
    ) -> Result[KvCache, Failure]:
        answered = _ask(connections, endpoint, call, options, staged=True)
        if isinstance(answered, Err):
            return answered
        value = _read_json(endpoint, answered.ok_value)
        if isinstance(value, Err):
            return value
        handle = value.ok_value.get("handle")
        if not isinstance(handle, str) or not handle:
            return Err(_spoiled(endpoint, "prefill answer has no handle"))
        return Ok(KvCache(endpoint, handle))

    def reserve(
        endpoint: Endpoint, tokens: int, life_s: float
    ) -> Result[str, Failure]:
        body = {"tokens": tokens, "ttl_ms": int(life_s * 1000)}
        value = _control(connections, endpoint, "POST", "/v1/hold-take", body)
        if isinstance(value, Err):
            return value
        held = value.ok_value.get("hold")
        if not isinstance(held, str) or not held:
            return Err(_spoiled(endpoint, "reservation has no name"))
        return Ok(held)

    def release_reservation(endpoint: Endpoint, held: str) -> None:
        _control(connections, endpoint, "DELETE", f"/v1/hold-drop/{held}")

    def release_cache(cache: KvCache) -> None:
        path = f"/v1/kv-handle/{cache.handle}"
        _control(connections, cache.endpoint, "DELETE", path)

    def fetch_load(endpoint: Endpoint) -> Result[EngineLoad, Failure]:
        value = _control(connections, endpoint, "GET", "/v1/report")
        if isinstance(value, Err):
            return value
        try:
            return Ok(_decode_load(value.ok_value))
        except (KeyError, TypeError, ValueError):
            return Err(_spoiled(endpoint, "load report is malformed"))

    def order_stage(
        endpoint: Endpoint, stage: Stage, holder: str, fence: int, orders: int
    ) -> Result[None, Failure]:
        body = {
            "op": "stage",
            "stage": stage.value,
            "holder": holder,
            "fence": fence,
            # The orders that the replica must have accepted before.
            "precondition": orders,
        }
        answer = _control(connections, endpoint, "POST", "/v1/order", body)
        return answer if isinstance(answer, Err) else Ok(None)

    def is_reachable(endpoint: Endpoint) -> bool:
        return connections.accepts_connections(_to_transport(endpoint))

    return EndpointClient(
        run=run,
        prefill=prefill,
        reserve=reserve,
        release_reservation=release_reservation,
        release_cache=release_cache,
        fetch_load=fetch_load,
        order_stage=order_stage,
        is_reachable=is_reachable,
    )


def _ask(
    connections: Connections,
    endpoint: Endpoint,
    call: InboundCall,
    options: AttemptOptions,
    staged: bool = False,
) -> Result[Exchange, Failure]:
    """Sends a request; returns its answer, whose body is unread.

    Args:
      connections: opens a connection.
      endpoint: endpoint to ask.
      call: the request.
      options: how it runs.
      staged: whether only the prompt is read.
    """
    headers = _encode_headers(endpoint, call, options, staged)
    request = Call(
        endpoint=_to_transport(endpoint),
        method=call.method,
        path=call.target,
        body=call.body or None,
        headers=headers,
        first_byte_timeout_s=max(_LEAST_WAIT_S, options.head_timeout_s),
        idle_timeout_s=max(_LEAST_WAIT_S, options.head_timeout_s),
        fresh=True,
    )
    started = connections.start_exchange(request, options.abort)
    if isinstance(started, Err):
        return started
    failure = _judge(endpoint, call, started.ok_value, staged)
    if failure is not None:
        started.ok_value.close()
        return Err(failure)
    return started


def _encode_headers(
    endpoint: Endpoint, call: InboundCall, options: AttemptOptions, staged: bool
) -> urllib3.HTTPHeaderDict:
    headers = urllib3.HTTPHeaderDict()
    replaced = set()
    if options.after_event is not None:
        replaced.add(names.LAST_EVENT_ID.lower())
        headers.add(names.LAST_EVENT_ID, options.after_event)
    for name, value in call.headers:
        if name.lower() not in replaced:
            headers.add(name, value)
    headers.add(names.DEADLINE_MS, str(max(1, int(options.remaining_s * 1000))))
    headers.add(names.EXPECT_INSTANCE, endpoint.id)
    if options.cache is not None:
        source = f"{options.cache.endpoint.address}/{options.cache.handle}"
        headers.add(names.KV_SOURCE, source)
    if options.reservation is not None:
        headers.add(names.KV_HOLD, options.reservation)
    if staged:
        headers.add(names.STAGE, "prefill")
    _skip_library_headers(headers)
    return headers


def _skip_library_headers(headers: urllib3.HTTPHeaderDict) -> None:
    for name in ("Accept-Encoding", "User-Agent"):
        if name not in headers:
            headers[name] = urllib3.util.SKIP_HEADER


def _judge(
    endpoint: Endpoint,
    call: InboundCall,
    exchange: Exchange,
    staged: bool,
) -> Failure | None:
    """Returns why an answer is none to this request, None if it is one.

    Args:
      endpoint: endpoint that answered.
      call: the request.
      exchange: the answer.
      staged: whether only the prompt was read; such an answer has no stamp.
    """
    echoed = exchange.headers.get(names.REQUEST_ID)
    if echoed is not None and echoed != call.request_id:
        return _spoiled(endpoint, "answer belongs to another request")
    if exchange.status == _MISDIRECTED:
        return make_failure(
            _to_transport(endpoint),
            FailureKind.LEAVING,
            "another endpoint has the address, or another stage",
        )
    if names.NOT_EXECUTED in exchange.headers:
        return make_failure(
            _to_transport(endpoint),
            FailureKind.REFUSED,
            f"not started, status {exchange.status}",
        )
    unsigned = names.RESPONSE_STAMP not in exchange.headers
    if 200 <= exchange.status < 300 and unsigned and not staged:
        # Only the stamp shows that the endpoint made the answer.
        return _spoiled(endpoint, "success has no stamp")
    if exchange.status < 200:
        return _spoiled(endpoint, f"status {exchange.status}")
    return None


def _make_answer(exchange: Exchange) -> EndpointResponse:
    def iterate(wait_s: Callable[[], float]) -> Iterator[bytes]:
        exchange.set_idle_timeout(max(_LEAST_WAIT_S, wait_s()))
        for part in exchange.iterate():
            yield part
            exchange.set_idle_timeout(max(_LEAST_WAIT_S, wait_s()))

    return EndpointResponse(
        status=exchange.status,
        headers=names.keep_answer_headers(exchange.headers.items()),
        iterate=iterate,
        close=exchange.close,
    )


def _control(
    connections: Connections,
    endpoint: Endpoint,
    method: str,
    path: str,
    body: Any = None,
) -> Result[Mapping[str, Any], Failure]:
    content = None if body is None else json.dumps(body).encode()
    headers = urllib3.HTTPHeaderDict()
    if content is not None:
        headers.add("Content-Type", "application/json")
    headers.add(names.EXPECT_INSTANCE, endpoint.id)
    _skip_library_headers(headers)
    call = Call(
        endpoint=_to_transport(endpoint),
        method=method,
        path=path,
        body=content,
        headers=headers,
        first_byte_timeout_s=_CONTROL_TIMEOUT_S,
        idle_timeout_s=_CONTROL_TIMEOUT_S,
        fresh=True,
    )
    started = connections.start_exchange(call, AbortHandle())
    if isinstance(started, Err):
        return started
    exchange = started.ok_value
    if not 200 <= exchange.status < 300:
        exchange.close()
        kind = FailureKind.REFUSED
        if exchange.status == _MISDIRECTED:
            kind = FailureKind.LEAVING
        detail = f"{method} {path}: status {exchange.status}"
        return Err(make_failure(_to_transport(endpoint), kind, detail))
    return _read_json(endpoint, exchange)


def _read_json(
    endpoint: Endpoint, exchange: Exchange
) -> Result[Mapping[str, Any], Failure]:
    body = exchange.read(_CONTROL_ANSWER_BYTES)
    if isinstance(body, Err):
        return body
    try:
        value = json.loads(body.ok_value or b"{}")
    except ValueError:
        return Err(_spoiled(endpoint, "answer is not JSON"))
    if not isinstance(value, dict):
        return Err(_spoiled(endpoint, "answer is not a JSON object"))
    return Ok(value)


def _decode_load(value: Mapping[str, Any]) -> EngineLoad:
    stage = value.get("stage")
    return EngineLoad(
        stage=Stage(stage) if stage is not None else None,
        busy=value.get("busy") is True,
        # Counts accepted orders, and starts anew with the process.
        orders=int(value.get("seq", 0)),
        waiting=int(value.get("waiting", 0)),
        running=int(value.get("running", 0)),
        used_tokens=int(value["kv_used"]),
        total_tokens=int(value["kv_total"]),
    )


def _spoiled(endpoint: Endpoint, detail: str) -> Failure:
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


__all__ = ["make_endpoint_client"]
