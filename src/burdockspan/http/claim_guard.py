"""Claims on the idempotency keys of non-idempotent calls."""

from __future__ import annotations

import dataclasses
import hashlib

from result import Err, Ok, Result

from burdockspan.claims.record import (
    ClaimRecord,
    ClaimState,
    HeldClaim,
    ReceivedResponse,
    Replay,
)
from burdockspan.claims.store import Claims
from burdockspan.configuration.document import Client
from burdockspan.http.context import HandlerContext
from burdockspan.http.parsing import Request, get_header, parse_key
from burdockspan.http.refusals import Response
from burdockspan.http.routes import Destination
from burdockspan.values.refusal import Execution, Reason, Refusal

FENCING_HEADER = "Burdockspan-Fencing"
KEY_HEADER = "Idempotency-Key"


class ClaimGuard:
    """Ends the claim of a call exactly once.

    Attributes:
      claim: the claim; None for an idempotent call, which needs none.
    """

    def __init__(self, claims: Claims, claim: HeldClaim | None) -> None:
        self._claims = claims
        self._open = claim is not None
        self.claim = claim

    def finish_without_response(self, execution: Execution) -> None:
        """Gives the claim up if the call did not run, else records UNKNOWN."""
        if not self._close():
            return
        assert self.claim is not None
        if execution is Execution.NOT_RUN:
            self._claims.give_up(self.claim)
        else:
            self._claims.record_outcome(self.claim, ClaimState.UNKNOWN, None)

    def finish_with_response(self, response: ReceivedResponse) -> None:
        """Records the complete response in the claim."""
        if self._close():
            assert self.claim is not None
            self._claims.record_outcome(self.claim, ClaimState.DONE, response)

    def _close(self) -> bool:
        was_open, self._open = self._open, False
        return was_open


def claim_key(
    context: HandlerContext,
    request: Request,
    client: Client,
    destination: Destination,
    body: bytes,
) -> Result[ClaimGuard, Refusal | Replay]:
    """Claims the idempotency key of a call before the call is submitted."""
    parsed = parse_key(request)
    if isinstance(parsed, Err):
        return Err(parsed.err_value)
    if destination.route.idempotent:
        return Ok(ClaimGuard(context.claims, None))
    key = parsed.ok_value
    if key is None:
        return Err(
            Refusal(
                400,
                Execution.NOT_RUN,
                Reason.KEY_REQUIRED,
                f"{request.method} {destination.path[:200]} must run at most "
                f"once and needs an {KEY_HEADER}",
                field=KEY_HEADER,
            )
        )
    digest = make_call_digest(request.method, destination, body)
    claimed = context.claims.claim(
        client.name, key, digest, context.router.make_attempt_id()
    )
    if isinstance(claimed, Err):
        return Err(claimed.err_value)
    return Ok(ClaimGuard(context.claims, claimed.ok_value))


def adjust_refusal_for_key(request: Request, refusal: Refusal) -> Refusal:
    """Returns a refusal with outcome UNKNOWN if the call has a key.

    It is for refusals that are made before the claim of the key is read. See
    `with_unknown_outcome`.
    """
    if get_header(request, KEY_HEADER) is None:
        return refusal
    return with_unknown_outcome(refusal)


def with_unknown_outcome(refusal: Refusal) -> Refusal:
    """Returns the refusal with outcome UNKNOWN instead of NOT_RUN.

    It is for a call with an idempotency key whose claim was not read: an
    earlier call with the key may have run, which NOT_RUN would deny.
    """
    if refusal.execution is not Execution.NOT_RUN:
        return refusal
    return dataclasses.replace(refusal, execution=Execution.UNKNOWN)


def make_call_digest(method: str, destination: Destination, body: bytes) -> str:
    """Returns the SHA-256 (hex) of method, service, path, query and body.

    A call that reuses the key of a different call has another digest, so it
    does not get the stored response.
    """
    head = f"{method} {destination.service.name} {destination.url}\n"
    return hashlib.sha256(head.encode() + body).hexdigest()


def make_replay_response(record: ClaimRecord) -> Response:
    """Returns the response stored in a finished claim."""
    assert record.status is not None
    assert record.body is not None
    headers = (
        ("Content-Type", record.content_type or "application/octet-stream"),
        ("Content-Length", str(len(record.body))),
        ("Idempotency-Replayed", "true"),
    )
    return Response(record.status, headers, [record.body])


__all__ = [
    "FENCING_HEADER",
    "KEY_HEADER",
    "ClaimGuard",
    "adjust_refusal_for_key",
    "claim_key",
    "make_call_digest",
    "make_replay_response",
    "with_unknown_outcome",
]
