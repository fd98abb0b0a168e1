"""Orders to endpoints, protected by fencing tokens."""

from __future__ import annotations

import dataclasses
import enum
import json

from result import Err, Ok, Result

from burdockspan.endpoints import responses
from burdockspan.endpoints.connections import Connections
from burdockspan.endpoints.exchange import Call
from burdockspan.endpoints.fetch import RESPONSE_LIMIT_BYTES
from burdockspan.endpoints.responses import RawResponse
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure

_TIMEOUT_S = 5.0


class OrderKind(enum.Enum):
    """What an order makes an endpoint do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class OrderOutcome(enum.Enum):
    """Outcome of an order.

    DONE: the endpoint has applied it.
    SUPERSEDED: the endpoint has received a newer fencing token and refused it.
    UNSAFE: it was not sent, since a delayed copy could do harm.
    """

    DONE = "done"
    SUPERSEDED = "superseded"
    UNSAFE = "unsafe"


_IDEMPOTENT_KINDS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an endpoint.

    Attributes:
      kind: what to do.
      fencing_token: generation of the configuration that requires the order;
        it grows with every decision about the endpoint.
      arguments: further members of the JSON body, as name and value.
    """

    kind: OrderKind
    fencing_token: int
    arguments: tuple[tuple[str, str], ...] = ()


def is_safe(endpoint: Endpoint, order: Order) -> bool:
    """Whether a delayed copy of an order is harmless.

    An endpoint that ignores fencing tokens applies a delayed order after a
    newer one. An order to load a model or an adapter only adds weights: a
    delayed copy costs memory but undoes nothing. A delayed change of role
    undoes the newer one, so such an order is not sent.
    """
    return endpoint.checks_fencing or order.kind in _IDEMPOTENT_KINDS


def send_order(
    connections: Connections, endpoint: Endpoint, order: Order
) -> Result[OrderOutcome, Failure]:
    """Sends an order on a new connection and returns its outcome.

    An order whose delayed copy could do harm is not sent; its outcome is
    UNSAFE.
    """
    if not is_safe(endpoint, order):
        return Ok(OrderOutcome.UNSAFE)
    message = {
        **dict(order.arguments),
        "kind": order.kind.value,
        "fencing": order.fencing_token,
    }
    call = Call(
        endpoint,
        "POST",
        "/orders",
        json.dumps(message).encode(),
        {"Content-Type": "application/json"},
        _TIMEOUT_S,
        _TIMEOUT_S,
        fresh=True,
        time_limit_s=_TIMEOUT_S,
    )
    started = connections.start_exchange(call)
    if isinstance(started, Err):
        return started
    exchange = started.ok_value
    body = exchange.read(RESPONSE_LIMIT_BYTES)
    if isinstance(body, Err):
        return body
    if exchange.status == 409:
        return Ok(OrderOutcome.SUPERSEDED)
    if exchange.status != 200:
        raw = RawResponse(exchange.status, body.ok_value)
        return Err(responses.classify_error_response(endpoint, raw))
    return Ok(OrderOutcome.DONE)


__all__ = ["Order", "OrderKind", "OrderOutcome", "is_safe", "send_order"]
