"""Claims, which allow at most one dispatch for each idempotency key.

A claim is a stored object that is created only if it is absent, and is never
taken over from its holder. Only a claim that its holder has given up can be
claimed again, by a conditional update.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.claims import keys, record, refusals
from burdockspan.claims.record import (
    CLAIMS_KIND,
    ClaimRecord,
    ClaimState,
    HeldClaim,
    ReceivedResponse,
    Replay,
)
from burdockspan.claims.write_retries import WriteRetries
from burdockspan.object_api.client import PlatformClient
from burdockspan.object_api.objects import PlatformError, VersionedObject
from burdockspan.object_api.retries import resolve_write
from burdockspan.values.clock import Clock
from burdockspan.values.ids import AttemptId
from burdockspan.values.refusal import Refusal

# Maximum number of tries to write a claim. A try is repeated after a lost
# response or a conflict with another write.
_CLAIM_TRIES = 3
# Maximum number of tries to give up a claim whose write may still be applied;
# with the backoff they take about a minute.
_ABANDON_TRIES = 16

ClaimOutcome = Result[HeldClaim, Refusal | Replay]


@dataclasses.dataclass(frozen=True)
class Claims:
    """Functions on claims; each may be called from any thread.

    `give_up` and `record_outcome` return an error if the first try of the
    write failed. It is then retried in the background, except after CONFLICT.

    Attributes:
      claim: claims a key, given client account, key, body digest and holder.
        The holder must be a new identity for each call.
      give_up: records that the holder has not dispatched the call and never
        will.
      record_outcome: records DONE with the response, or UNKNOWN.
      look_up: reads a claim; None if there is none.
    """

    claim: Callable[[str, str, str, AttemptId], ClaimOutcome]
    give_up: Callable[[HeldClaim], Result[None, PlatformError]]
    record_outcome: Callable[
        [HeldClaim, ClaimState, ReceivedResponse | None],
        Result[None, PlatformError],
    ]
    look_up: Callable[[str, str], Result[ClaimRecord | None, PlatformError]]


@dataclasses.dataclass(frozen=True)
class _Store:
    platform: PlatformClient
    write_retries: WriteRetries
    wall_clock: Clock
    retention_s: Callable[[], float]


def make_claims(
    platform_client: PlatformClient,
    write_retries: WriteRetries,
    wall_clock: Clock,
    retention_s: Callable[[], float],
) -> Claims:
    """Returns the functions on claims.

    Args:
      platform_client: client of the store that keeps the claims.
      write_retries: retries writes in the background.
      wall_clock: seconds since 1970, compared with the time in dated keys.
      retention_s: returns the current retention period in seconds.
    """
    store = _Store(platform_client, write_retries, wall_clock, retention_s)
    bind = functools.partial
    return Claims(
        bind(_claim, store),
        bind(_give_up, store),
        bind(_record_outcome, store),
        bind(_look_up, store),
    )


def _claim(
    store: _Store, client: str, key: str, body_digest: str, holder: AttemptId
) -> ClaimOutcome:
    checked = keys.check_key(key, store.wall_clock(), store.retention_s())
    if isinstance(checked, Err):
        return checked
    new_record = ClaimRecord(body_digest, holder, ClaimState.HELD)
    claim = HeldClaim(client, key, 0, new_record)
    given_up: VersionedObject | None = None
    uncertain = False
    for _ in range(_CLAIM_TRIES):
        written = _write_claim(store, claim, given_up)
        if isinstance(written, Ok):
            return Ok(dataclasses.replace(claim, version=written.ok_value))
        uncertain |= written.err_value is PlatformError.UNCERTAIN
        if not _is_resolved_by_read(written.err_value):
            break
        stored = _read(store, client, key)
        if isinstance(stored, Err):
            if stored.err_value is not PlatformError.NOT_FOUND:
                break
            given_up = None
            continue
        outcome = _evaluate_stored(claim, stored.ok_value)
        if outcome is not None:
            return outcome
        given_up = stored.ok_value
    if uncertain:
        _abandon_later(store, claim)
    return Err(refusals.platform_unavailable())


def _write_claim(
    store: _Store, claim: HeldClaim, given_up: VersionedObject | None
) -> Result[int, PlatformError]:
    """Creates the claim, or replaces a given-up one; returns its version."""
    name = record.object_name(claim.client, claim.key)
    value = record.encode_record(claim.record)
    if given_up is None:
        written = store.platform.create(CLAIMS_KIND, name, value)
    else:
        written = store.platform.update(
            CLAIMS_KIND, name, value, given_up.version
        )
    return written.map(lambda versioned: versioned.version)


def _is_resolved_by_read(error: PlatformError) -> bool:
    return error in (PlatformError.CONFLICT, PlatformError.UNCERTAIN)


def _evaluate_stored(
    claim: HeldClaim, stored: VersionedObject
) -> ClaimOutcome | None:
    """Returns the outcome if the key is claimed, None if it was given up."""
    decoded = record.decode_record(stored.value)
    if isinstance(decoded, Err):
        return Err(refusals.claim_unreadable())
    current = decoded.ok_value
    if current == claim.record:
        return Ok(dataclasses.replace(claim, version=stored.version))
    if current.body_digest != claim.record.body_digest:
        return Err(refusals.key_reused())
    if current.state is ClaimState.GIVEN_UP:
        return None
    if current.state is ClaimState.HELD:
        return Err(refusals.key_in_progress())
    if current.state is ClaimState.UNKNOWN:
        return Err(refusals.outcome_unknown())
    if current.body is None:
        return Err(refusals.answer_not_stored())
    return Err(Replay(current))


def _give_up(store: _Store, claim: HeldClaim) -> Result[None, PlatformError]:
    final = dataclasses.replace(claim.record, state=ClaimState.GIVEN_UP)
    return _finish(store, claim, final)


def _record_outcome(
    store: _Store,
    claim: HeldClaim,
    state: ClaimState,
    response: ReceivedResponse | None,
) -> Result[None, PlatformError]:
    if state not in (ClaimState.DONE, ClaimState.UNKNOWN):
        raise ValueError(f"{state.value} is not an outcome of a claim")
    if (state is ClaimState.DONE) != (response is not None):
        raise ValueError("a response must be given if and only if the call ran")
    return _finish(
        store, claim, record.finished_record(claim.record, state, response)
    )


def _finish(
    store: _Store, claim: HeldClaim, final: ClaimRecord
) -> Result[None, PlatformError]:
    written = _write_final(store, claim, final)
    if written.is_err() and written.err() is not PlatformError.CONFLICT:
        store.write_retries.add(lambda: _write_final(store, claim, final), None)
    return written


def _write_final(
    store: _Store, claim: HeldClaim, final: ClaimRecord
) -> Result[None, PlatformError]:
    """Writes the final state of a held claim; safe to repeat."""
    name = record.object_name(claim.client, claim.key)
    value = record.encode_record(final)
    written = store.platform.update(CLAIMS_KIND, name, value, claim.version)
    if written.err() is PlatformError.CONFLICT:
        # An earlier try may have been applied although its response was lost.
        written = Err(PlatformError.UNCERTAIN)
    return resolve_write(
        written,
        lambda: _read(store, claim.client, claim.key),
        lambda stored: stored == value,
        claim.version,
    ).map(lambda _: None)


def _abandon_later(store: _Store, claim: HeldClaim) -> None:
    """Gives up a claim whose write may be applied after the call's refusal.

    Otherwise a key whose create request got no response could stay held for
    ever, although its call was never dispatched.
    """

    def abandon() -> Result[None, PlatformError]:
        stored = _read(store, claim.client, claim.key)
        if isinstance(stored, Err):
            return stored
        decoded = record.decode_record(stored.ok_value.value)
        if decoded.ok() == claim.record:
            applied_claim = dataclasses.replace(
                claim, version=stored.ok_value.version
            )
            final = dataclasses.replace(claim.record, state=ClaimState.GIVEN_UP)
            return _write_final(store, applied_claim, final)
        current = decoded.ok()
        if current is None or current.state is not ClaimState.GIVEN_UP:
            return Ok(None)
        if current.holder == claim.record.holder:
            return Ok(None)
        # The update that replaces this given-up claim may still be applied.
        return Err(PlatformError.UNCERTAIN)

    store.write_retries.add(abandon, _ABANDON_TRIES)


def _look_up(
    store: _Store, client: str, key: str
) -> Result[ClaimRecord | None, PlatformError]:
    stored = _read(store, client, key)
    if isinstance(stored, Err):
        missing = stored.err_value is PlatformError.NOT_FOUND
        return Ok(None) if missing else stored
    decoded = record.decode_record(stored.ok_value.value)
    if isinstance(decoded, Err):
        return Err(PlatformError.MALFORMED)
    return Ok(decoded.ok_value)


def _read(
    store: _Store, client: str, key: str
) -> Result[VersionedObject, PlatformError]:
    return store.platform.get(CLAIMS_KIND, record.object_name(client, key))


__all__ = ["ClaimOutcome", "Claims", "make_claims"]
