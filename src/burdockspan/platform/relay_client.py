"""HTTP client for requests that another VM serves."""

from __future__ import annotations

import math

import urllib3
from result import Err, Result

from burdockspan.endpoints.connections import make_connections
from burdockspan.endpoints.exchange import Call, Exchange
from burdockspan.endpoints.failures import make_failure
from burdockspan.gateway.fleet.peers import Peer
from burdockspan.gateway.fleet.relay_messages import (
    encode_note,
    find_declined,
    remove_note,
)
from burdockspan.gateway.ports import (
    EndpointResponse,
    RelayOptions,
    RelayRequest,
)
from burdockspan.gateway.values import InboundCall
from burdockspan.platform import headers as header_names
from burdockspan.platform.endpoint_client import (
    CONNECT_TIMEOUT_S,
    make_response,
    skip_library_headers,
)
from burdockspan.values.clock import Clock
from burdockspan.values.endpoint import Endpoint as TransportEndpoint
from burdockspan.values.endpoint import Pool
from burdockspan.values.placement import Failure, FailureKind

# The other VM answers at the deadline of the request. Only a VM that has not
# answered then is silent itself.
_ANSWER_GRACE_S = 0.1
# The server of a VM sends these without handling the request.
_REJECTED_STATUSES = frozenset((400, 408, 413, 431))


def make_relay_client(clock: Clock) -> RelayRequest:
    """Returns the function that sends a request to another VM.

    Args:
      clock: monotonic clock, in seconds.
    """
    connections = make_connections(clock, lambda: CONNECT_TIMEOUT_S)

    def relay(
        peer: Peer, call: InboundCall, options: RelayOptions
    ) -> Result[EndpointResponse, Failure]:
        endpoint = TransportEndpoint(
            peer.vm, peer.address, "", Pool.SERVICE, peer.zone
        )
        exchanged = connections.start_exchange(
            Call(
                endpoint=endpoint,
                method=call.method,
                path=call.target,
                body=call.body or None,
                headers=_encode_headers(call, options),
                first_byte_timeout_s=math.inf,
                idle_timeout_s=math.inf,
                fresh=True,
                time_limit_s=options.remaining_s + _ANSWER_GRACE_S,
                expects_events=options.expects_events,
            ),
            options.abort,
        )
        if isinstance(exchanged, Err):
            return exchanged
        failure = _check_response(endpoint, call, exchanged.ok_value)
        if failure is not None:
            exchanged.ok_value.close()
            return Err(failure)
        return exchanged.map(make_response)

    return relay


def _encode_headers(
    call: InboundCall, options: RelayOptions
) -> urllib3.HTTPHeaderDict:
    headers = urllib3.HTTPHeaderDict()
    replaced = {}
    if options.after_event is not None:
        replaced[header_names.LAST_EVENT_ID] = options.after_event
    if options.resumed_request_id is not None:
        replaced[header_names.RESUMES] = options.resumed_request_id
    replaced_names = {name.lower() for name in replaced}
    for name, value in remove_note(call.headers):
        if name.lower() not in replaced_names:
            headers.add(name, value)
    for name, value in (*replaced.items(), *encode_note(options.note)):
        headers.add(name, value)
    headers.add(
        header_names.DEADLINE_MS, str(max(1, int(options.remaining_s * 1000)))
    )
    skip_library_headers(headers)
    return headers


def _check_response(
    endpoint: TransportEndpoint, call: InboundCall, exchange: Exchange
) -> Failure | None:
    """Returns the failure of an answer that must not reach the caller."""
    reason = find_declined(exchange.headers.items())
    is_stamped = header_names.RESPONSE_STAMP in exchange.headers
    if reason is None and exchange.status in _REJECTED_STATUSES:
        reason = None if is_stamped else f"status {exchange.status}"
    if reason is not None:
        return make_failure(endpoint, FailureKind.REFUSED, reason)
    detail = None
    echoed = exchange.headers.get(header_names.REQUEST_ID)
    if echoed is not None and echoed != call.request_id:
        detail = "answer belongs to another request"
    elif 200 <= exchange.status < 300 and not is_stamped:
        detail = "success has no stamp"
    if detail is None:
        return None
    return make_failure(endpoint, FailureKind.ENDPOINT_ERROR, detail)


__all__ = ["make_relay_client"]
