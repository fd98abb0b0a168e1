"""Claims, which allow at most one dispatch for each idempotency key.

A claim is a stored object that is created only if it is absent, and is never
taken over from its holder. Only a claim that its holder has given up can be
claimed again, by a conditional update.

After the store has lost its latest writes, keys that may have been claimed
before are not claimed any more, and holders write their lost claims again.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.claims import keys, record, refusals
from burdockspan.claims.losses import LossDetector
from burdockspan.claims.recent import RecentClaims
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
from burdockspan.object_api.eras import combine_version, split_version
from burdockspan.object_api.objects import PlatformError, VersionedObject
from burdockspan.object_api.retries import resolve_write
from burdockspan.observe.logs import log_change, log_fault
from burdockspan.values.clock import Clock
from burdockspan.values.ids import AttemptId
from burdockspan.values.refusal import Execution, Refusal

# Maximum number of tries to write a claim. A try is repeated after a lost
# response or a conflict with another write.
_CLAIM_TRIES = 3
# Maximum number of tries to give up a claim whose write may still be applied,
# or to write a lost one again; with the backoff they take about a minute.
_ABANDON_TRIES = 16
_RESTORE_TRIES = 16

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
    losses: LossDetector
    recent: RecentClaims


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
    store = _Store(
        platform_client,
        write_retries,
        wall_clock,
        retention_s,
        LossDetector(platform_client, wall_clock),
        RecentClaims(),
    )
    platform_client.eras.add_listener(store.losses.note_rise)
    platform_client.eras.add_listener(
        lambda era: _restore_all_later(store, era)
    )
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
    if store.losses.may_have_lost(key):
        return _refuse_after_loss(store, claim)
    outcome = _acquire(store, claim)
    # The responses of the store may have named a new era.
    if store.losses.may_have_lost(key):
        return _withdraw_after_loss(store, claim, outcome)
    if isinstance(outcome, Ok):
        store.recent.remember(outcome.ok_value)
    return outcome


def _acquire(store: _Store, claim: HeldClaim) -> ClaimOutcome:
    """Claims a key that no call has claimed, or whose claim was given up."""
    given_up: VersionedObject | None = None
    uncertain = False
    for _ in range(_CLAIM_TRIES):
        written = _write_claim(store, claim, given_up)
        if isinstance(written, Ok):
            return Ok(_with_version(store, claim, written.ok_value))
        uncertain |= written.err_value is PlatformError.UNCERTAIN
        if not _is_resolved_by_read(written.err_value):
            break
        stored = _read(store, claim.client, claim.key)
        if isinstance(stored, Err):
            if stored.err_value is not PlatformError.NOT_FOUND:
                break
            given_up = None
            continue
        outcome = _evaluate_stored(store, claim, stored.ok_value)
        if outcome is not None:
            return outcome
        given_up = stored.ok_value
    if uncertain:
        _abandon_later(store, claim)
    return Err(refusals.platform_unavailable())


def _refuse_after_loss(store: _Store, claim: HeldClaim) -> ClaimOutcome:
    """Refuses a call whose claim the store may have lost.

    This process may have made the claim itself, or its holder may have written
    it again: then the outcome is known. A key without creation time that is
    not claimed is marked, so that it is refused later as well.
    """
    remembered = store.recent.find(claim.client, claim.key)
    if remembered is not None:
        return _evaluate_after_loss(claim, remembered.record)
    stored = _read(store, claim.client, claim.key)
    if isinstance(stored, Ok):
        decoded = record.decode_record(stored.ok_value.value)
        if isinstance(decoded, Err):
            return Err(refusals.claim_unreadable())
        return _evaluate_after_loss(claim, decoded.ok_value)
    if stored.err_value is not PlatformError.NOT_FOUND:
        return Err(refusals.platform_unavailable())
    if keys.creation_time_s(claim.key) is None:
        # If the mark is not written, this call is refused all the same.
        _write_claim(store, _as_lost(claim), None)
    return Err(refusals.claim_lost())


def _withdraw_after_loss(
    store: _Store, claim: HeldClaim, outcome: ClaimOutcome
) -> ClaimOutcome:
    """Refuses a call that met a new era of the store while it was claimed."""
    remembered = store.recent.find(claim.client, claim.key)
    if isinstance(outcome, Ok):
        held = outcome.ok_value
        final = remembered.record if remembered else _as_lost(claim).record
        _finish(store, held, final)
    if remembered is not None:
        return _evaluate_after_loss(claim, remembered.record)
    if isinstance(outcome, Ok):
        return Err(refusals.claim_lost())
    refusal = outcome.err_value
    if isinstance(refusal, Refusal) and refusal.execution is Execution.NOT_RUN:
        return Err(refusals.claim_lost())
    return outcome


def _evaluate_after_loss(
    claim: HeldClaim, current: ClaimRecord
) -> ClaimOutcome:
    """Returns the refusal or replay for a claim that is known after a loss.

    A claim in an earlier state than it had before does not show that the call
    has not run.
    """
    outcome = _evaluate_record(claim, current)
    if outcome is None:
        return Err(refusals.claim_lost())
    refusal = outcome.err()
    if isinstance(refusal, Refusal) and refusal.execution is Execution.NOT_RUN:
        return Err(refusals.claim_lost())
    return outcome


def _as_lost(claim: HeldClaim) -> HeldClaim:
    lost = dataclasses.replace(claim.record, state=ClaimState.LOST)
    return dataclasses.replace(claim, record=lost)


def _with_version(store: _Store, claim: HeldClaim, version: int) -> HeldClaim:
    combined = combine_version(store.platform.eras.latest(), version)
    return dataclasses.replace(claim, version=combined)


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
    store: _Store, claim: HeldClaim, stored: VersionedObject
) -> ClaimOutcome | None:
    """Returns the outcome if the key is claimed, None if it was given up."""
    decoded = record.decode_record(stored.value)
    if isinstance(decoded, Err):
        return Err(refusals.claim_unreadable())
    current = decoded.ok_value
    if current == claim.record:
        return Ok(_with_version(store, claim, stored.version))
    return _evaluate_record(claim, current)


def _evaluate_record(
    claim: HeldClaim, current: ClaimRecord
) -> Result[HeldClaim, Refusal | Replay] | None:
    """Returns the outcome by another call's claim, None if it was given up."""
    if current.state is ClaimState.LOST:
        return Err(refusals.claim_lost())
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
    store.recent.forget(claim)
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
    final = record.finished_record(claim.record, state, response)
    store.recent.remember(dataclasses.replace(claim, record=final))
    return _finish(store, claim, final)


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
    era, version = split_version(claim.version)
    written = store.platform.update(CLAIMS_KIND, name, value, version)
    if written.err() is PlatformError.CONFLICT:
        # An earlier try may have been applied although its response was lost.
        written = Err(PlatformError.UNCERTAIN)
    resolved = resolve_write(
        written,
        lambda: _read(store, claim.client, claim.key),
        lambda stored: stored == value,
        version,
    )
    latest_era = store.platform.eras.latest()
    if (
        resolved.err() is PlatformError.CONFLICT
        and latest_era is not None
        and latest_era > era
    ):
        return _restore(store, claim)
    return resolved.map(lambda _: None)


def _restore_all_later(store: _Store, era: int) -> None:
    """Writes the recent claims of this process again where they are lost."""
    claims = store.recent.newest_first()
    log_change("platform store era rose", era=era, claims=len(claims))
    for claim in claims:
        restore = functools.partial(_restore, store, claim)
        if not store.write_retries.add(restore, _RESTORE_TRIES):
            log_fault("claims are not restored", reason="queue is full")
            return


def _restore(store: _Store, claim: HeldClaim) -> Result[None, PlatformError]:
    """Writes a claim of this process again if the store lacks it.

    CONFLICT means that the claim was given up since or is no longer among the
    recent ones, or that another call holds the key.
    """
    latest = store.recent.find(claim.client, claim.key)
    if latest is None or latest.record.holder != claim.record.holder:
        return Err(PlatformError.CONFLICT)
    stored = _read(store, claim.client, claim.key)
    replaced: VersionedObject | None = None
    if isinstance(stored, Ok):
        replaced = stored.ok_value
        current = record.decode_record(replaced.value).ok()
        if current == latest.record:
            return Ok(None)
        if current is None or not _is_replaceable(current, latest.record):
            return Err(PlatformError.CONFLICT)
    elif stored.err_value is not PlatformError.NOT_FOUND:
        return stored
    written = _write_claim(store, latest, replaced)
    if written.err() is PlatformError.CONFLICT:
        # The object has changed since the read.
        return Err(PlatformError.UNCERTAIN)
    return written.map(lambda _: None)


def _is_replaceable(current: ClaimRecord, lost: ClaimRecord) -> bool:
    """Returns whether a lost claim may replace what the store holds now."""
    if current.holder == lost.holder:
        return current.state is ClaimState.HELD
    return current.state in (ClaimState.LOST, ClaimState.GIVEN_UP)


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
            applied_claim = _with_version(store, claim, stored.ok_value.version)
            if store.losses.may_have_lost(claim.key):
                # Another call may have run before the loss.
                state = ClaimState.LOST
            else:
                state = ClaimState.GIVEN_UP
            final = dataclasses.replace(claim.record, state=state)
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
    after_loss = store.losses.may_have_lost(key)
    remembered = store.recent.find(client, key) if after_loss else None
    if remembered is not None:
        return Ok(remembered.record)
    if isinstance(stored, Err):
        missing = stored.err_value is PlatformError.NOT_FOUND
        return Ok(None) if missing else stored
    decoded = record.decode_record(stored.ok_value.value)
    if isinstance(decoded, Err):
        return Err(PlatformError.MALFORMED)
    current = decoded.ok_value
    if current.state is ClaimState.LOST or (
        after_loss and current.state is ClaimState.GIVEN_UP
    ):
        # The key may have been claimed and its call sent since.
        return Ok(dataclasses.replace(current, state=ClaimState.UNKNOWN))
    return Ok(current)


def _read(
    store: _Store, client: str, key: str
) -> Result[VersionedObject, PlatformError]:
    return store.platform.get(CLAIMS_KIND, record.object_name(client, key))


__all__ = ["ClaimOutcome", "Claims", "make_claims"]
