"""Claims: at most one dispatch for each idempotency key.

A claim is created if absent and never taken from its holder. Only a claim that
its holder has given up may be claimed again, by conditional update.
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

# Writes of one claim; a second one follows a lost answer or a lost race.
_ROUNDS = 3
# Read-backs of a claim that may still be applied late, about a minute.
_ABANDON_TRIES = 16

ClaimOutcome = Result[HeldClaim, Refusal | Replay]


@dataclasses.dataclass(frozen=True)
class Claims:
    """Functions on claims; each may be called from any thread.

    Attributes:
      claim: claims a key for a client, a body digest and a holder. The holder
        must be a fresh identity for each call.
      give_up: records that the holder has not dispatched and never will.
      record_outcome: records DONE with the answer, or UNKNOWN.
      look_up: reads a claim; None when there is none.

    `give_up` and `record_outcome` return an error when the first try of the
    write failed. It is then retried in the background, except after CONFLICT.
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
      platform_client: where claims are kept.
      write_retries: retries writes in the background.
      wall_clock: seconds since 1970, to date keys.
      retention_s: returns the retention period in force, in seconds.
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
    wanted = ClaimRecord(body_digest, holder, ClaimState.HELD)
    held = HeldClaim(client, key, 0, wanted)
    base: VersionedObject | None = None
    uncertain = False
    for _ in range(_ROUNDS):
        written = _write_claim(store, held, base)
        if isinstance(written, Ok):
            return Ok(dataclasses.replace(held, version=written.ok_value))
        uncertain |= written.err_value is PlatformError.UNCERTAIN
        if not _is_resolvable(written.err_value):
            break
        found = _read(store, client, key)
        if isinstance(found, Err):
            if found.err_value is not PlatformError.NOT_FOUND:
                break
            base = None
            continue
        judged = _judge(held, found.ok_value)
        if judged is not None:
            return judged
        base = found.ok_value
    if uncertain:
        _abandon_later(store, held)
    return Err(refusals.platform_unavailable())


def _write_claim(
    store: _Store, held: HeldClaim, base: VersionedObject | None
) -> Result[int, PlatformError]:
    """Creates the claim, or replaces a given-up one; returns its version."""
    name = record.object_name(held.client, held.key)
    value = record.encode_record(held.record)
    if base is None:
        written = store.platform.create(CLAIMS_KIND, name, value)
    else:
        written = store.platform.update(CLAIMS_KIND, name, value, base.version)
    return written.map(lambda versioned: versioned.version)


def _is_resolvable(error: PlatformError) -> bool:
    return error in (PlatformError.CONFLICT, PlatformError.UNCERTAIN)


def _judge(held: HeldClaim, found: VersionedObject) -> ClaimOutcome | None:
    """Returns what a claim that was read means; None if it is free."""
    decoded = record.decode_record(found.value)
    if isinstance(decoded, Err):
        return Err(refusals.claim_unreadable())
    current = decoded.ok_value
    if current == held.record:
        return Ok(dataclasses.replace(held, version=found.version))
    if current.body_digest != held.record.body_digest:
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


def _give_up(store: _Store, held: HeldClaim) -> Result[None, PlatformError]:
    wanted = dataclasses.replace(held.record, state=ClaimState.GIVEN_UP)
    return _finish(store, held, wanted)


def _record_outcome(
    store: _Store,
    held: HeldClaim,
    state: ClaimState,
    answer: ReceivedResponse | None,
) -> Result[None, PlatformError]:
    if state not in (ClaimState.DONE, ClaimState.UNKNOWN):
        raise ValueError(f"a claim is not settled as {state.value}")
    if (state is ClaimState.DONE) != (answer is not None):
        raise ValueError("an answer is recorded if and only if the call ran")
    return _finish(
        store, held, record.finished_record(held.record, state, answer)
    )


def _finish(
    store: _Store, held: HeldClaim, wanted: ClaimRecord
) -> Result[None, PlatformError]:
    written = _write_final(store, held, wanted)
    if written.is_err() and written.err() is not PlatformError.CONFLICT:
        store.write_retries.add(lambda: _write_final(store, held, wanted), None)
    return written


def _write_final(
    store: _Store, held: HeldClaim, wanted: ClaimRecord
) -> Result[None, PlatformError]:
    """Writes the last state of a held claim; safe to repeat."""
    name = record.object_name(held.client, held.key)
    value = record.encode_record(wanted)
    written = store.platform.update(CLAIMS_KIND, name, value, held.version)
    if written.err() is PlatformError.CONFLICT:
        # An earlier try may have been applied without an answer.
        written = Err(PlatformError.UNCERTAIN)
    return resolve_write(
        written,
        lambda: _read(store, held.client, held.key),
        lambda found: found == value,
        held.version,
    ).map(lambda _: None)


def _abandon_later(store: _Store, held: HeldClaim) -> None:
    """Gives up a claim that may be applied after its call was refused.

    Without this, a key whose create answer was lost stays held for good
    although its call was never dispatched.
    """

    def abandon() -> Result[None, PlatformError]:
        found = _read(store, held.client, held.key)
        if isinstance(found, Err):
            return found
        decoded = record.decode_record(found.ok_value.value)
        if decoded.ok() == held.record:
            late = dataclasses.replace(held, version=found.ok_value.version)
            wanted = dataclasses.replace(held.record, state=ClaimState.GIVEN_UP)
            return _write_final(store, late, wanted)
        current = decoded.ok()
        if current is None or current.state is not ClaimState.GIVEN_UP:
            return Ok(None)
        if current.holder == held.record.holder:
            return Ok(None)
        # The update that takes this claim over may still be applied.
        return Err(PlatformError.UNCERTAIN)

    store.write_retries.add(abandon, _ABANDON_TRIES)


def _look_up(
    store: _Store, client: str, key: str
) -> Result[ClaimRecord | None, PlatformError]:
    found = _read(store, client, key)
    if isinstance(found, Err):
        missing = found.err_value is PlatformError.NOT_FOUND
        return Ok(None) if missing else found
    decoded = record.decode_record(found.ok_value.value)
    if isinstance(decoded, Err):
        return Err(PlatformError.MALFORMED)
    return Ok(decoded.ok_value)


def _read(
    store: _Store, client: str, key: str
) -> Result[VersionedObject, PlatformError]:
    return store.platform.get(CLAIMS_KIND, record.object_name(client, key))


__all__ = ["ClaimOutcome", "Claims", "make_claims"]
