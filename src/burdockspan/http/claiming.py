"""Claims on the keys of non-idempotent calls, as a handler uses them."""

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


class Guard:
    """A claim that is given up or settled exactly once.

    Attributes:
      held: the claim; None for an idempotent call, which needs none.
    """

    def __init__(self, claims: Claims, held: HeldClaim | None) -> None:
        self._claims = claims
        self._open = held is not None
        self.held = held

    def refuse(self, execution: Execution) -> None:
        """Gives the claim up if nothing ran, else settles it as UNKNOWN."""
        if not self._close():
            return
        assert self.held is not None
        if execution is Execution.NOT_RUN:
            self._claims.give_up(self.held)
        else:
            self._claims.record_outcome(self.held, ClaimState.UNKNOWN, None)

    def settle(self, answer: ReceivedResponse) -> None:
        """Settles the claim with the complete answer."""
        if self._close():
            assert self.held is not None
            self._claims.record_outcome(self.held, ClaimState.DONE, answer)

    def _close(self) -> bool:
        was_open, self._open = self._open, False
        return was_open


def open_guard(
    context: HandlerContext,
    request: Request,
    client: Client,
    destination: Destination,
    body: bytes,
) -> Result[Guard, Refusal | Replay]:
    """Claims the key of a non-idempotent call before it is submitted."""
    parsed = parse_key(request)
    if isinstance(parsed, Err):
        return Err(parsed.err_value)
    if destination.route.idempotent:
        return Ok(Guard(context.claims, None))
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
    digest = make_digest(request.method, destination, body)
    claimed = context.claims.claim(
        client.name, key, digest, context.router.make_attempt_id()
    )
    if isinstance(claimed, Err):
        return Err(claimed.err_value)
    return Ok(Guard(context.claims, claimed.ok_value))


def hedge_refusal(request: Request, refusal: Refusal) -> Refusal:
    """Returns a refusal that was made before the key's claim was read."""
    if get_header(request, KEY_HEADER) is None:
        return refusal
    return hedge(refusal)


def hedge(refusal: Refusal) -> Refusal:
    """Returns a refusal of a call with a key whose claim was not read.

    An earlier call with the key may have run, so that `not_run` would be about
    this call only.
    """
    if refusal.execution is not Execution.NOT_RUN:
        return refusal
    return dataclasses.replace(refusal, execution=Execution.UNKNOWN)


def make_digest(method: str, destination: Destination, body: bytes) -> str:
    """Returns the SHA-256 (hex) that tells one call from another.

    It covers service, method and path, so that a key cannot replay the answer
    of another route.
    """
    head = f"{method} {destination.service.name} {destination.url}\n"
    return hashlib.sha256(head.encode() + body).hexdigest()


def make_replay_response(record: ClaimRecord) -> Response:
    """Returns the stored answer of a finished claim."""
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
    "Guard",
    "hedge",
    "hedge_refusal",
    "make_digest",
    "make_replay_response",
    "open_guard",
]
