"""Handler that looks up the outcome of an idempotency key."""

from __future__ import annotations

from typing import Any

from result import Err

from burdockspan.claims.record import ClaimRecord, ClaimState
from burdockspan.configuration.document import Client
from burdockspan.http.context import HandlerContext
from burdockspan.http.parsing import check_key
from burdockspan.http.refusals import (
    Response,
    make_json_response,
    make_refusal_response,
)
from burdockspan.values.refusal import Execution, Reason, Refusal

OUTCOMES_PREFIX = "/v1/outcomes/"

_EXECUTIONS = {
    ClaimState.HELD: Execution.UNKNOWN,
    ClaimState.GIVEN_UP: Execution.NOT_RUN,
    ClaimState.DONE: Execution.RAN,
    ClaimState.UNKNOWN: Execution.UNKNOWN,
}


def show_outcome(
    context: HandlerContext, client: Client, key: str, request_id: str
) -> Response:
    """Returns the outcome of the call that claimed the key of a client."""
    checked = check_key(key)
    if isinstance(checked, Err):
        return make_refusal_response(checked.err_value, request_id)
    lookup = context.claims.look_up(client.name, key)
    if isinstance(lookup, Err):
        refusal = Refusal(
            503,
            Execution.UNKNOWN,
            Reason.PLATFORM_UNAVAILABLE,
            "the outcome cannot be read now",
            retry_after_s=1.0,
        )
        return make_refusal_response(refusal, request_id)
    return make_json_response(200, _describe(key, lookup.ok_value))


def _describe(key: str, record: ClaimRecord | None) -> dict[str, Any]:
    if record is None:
        # A call with this key may be about to claim it, or its claim may have
        # been pruned.
        outcome = Execution.UNKNOWN.value
        return {"key": key, "state": "absent", "outcome": outcome}
    value: dict[str, Any] = {
        "key": key,
        "state": record.state.value,
        "outcome": _EXECUTIONS[record.state].value,
    }
    if record.state is ClaimState.DONE:
        body = record.body
        value["answer"] = {
            "status": record.status,
            "content_type": record.content_type,
            "body": None if body is None else body.decode("utf-8", "replace"),
        }
    return value


__all__ = ["OUTCOMES_PREFIX", "show_outcome"]
