"""Conditional writes of the configuration that survive a lost answer."""

from __future__ import annotations

import dataclasses
import enum
import random
import time
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.configuration.codec import (
    decode_configuration,
    dump_configuration,
    encode_configuration,
)
from burdockspan.configuration.document import Configuration
from burdockspan.configuration.object_store import ObjectStore, StoreError

OBJECT_KIND = "config"
OBJECT_NAME = "current"
LIMIT_BYTES = 1_000_000
"""The platform holds values of up to 1 MB."""

_NOT_APPLIED = (StoreError.UNAVAILABLE, StoreError.LIMITED)
"""Errors after which a write may simply be repeated."""

_TRIES = 8
_PAUSE_S = 0.05

Pause = Callable[[float], None]
"""Waits for a number of seconds."""


class CommitFailure(enum.Enum):
    """Why a change of the configuration was not confirmed."""

    LOST_RACE = "lost_race"
    UNREACHABLE = "unreachable"
    UNCERTAIN = "uncertain"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True)
class CommitError:
    """A change that was not confirmed.

    Attributes:
      failure: LOST_RACE, UNREACHABLE and INVALID wrote nothing; after
        UNCERTAIN the change may be in force.
      detail: sentences for a person.
      generation: generation in force, 0 if not known.
      by: operator who accepted that generation.
    """

    failure: CommitFailure
    detail: str
    generation: int = 0
    by: str = ""


@dataclasses.dataclass(frozen=True)
class Current:
    """What the platform holds.

    Attributes:
      configuration: the configuration in force, None before the first.
      version: version of the platform object, 0 before the first.
    """

    configuration: Configuration | None
    version: int

    @property
    def generation(self) -> int:
        """Generation in force, 0 before the first."""
        held = self.configuration
        return held.generation if held is not None else 0


def read_current(
    store: ObjectStore, pause: Pause = time.sleep
) -> Result[Current, CommitError]:
    """Reads the configuration in force, with a few retries."""
    for attempt in range(_TRIES):
        found = store.get(OBJECT_KIND, OBJECT_NAME)
        if isinstance(found, Ok):
            return _decode(found.ok_value.value, found.ok_value.version)
        if found.err_value is StoreError.NOT_FOUND:
            return Ok(Current(None, 0))
        if found.err_value is StoreError.MALFORMED:
            return Err(_describe_malformed(uncertain=False))
        if attempt + 1 < _TRIES:
            _back_off(attempt, pause)
    detail = "The platform could not be reached to read the configuration."
    return Err(CommitError(CommitFailure.UNREACHABLE, detail))


def write(
    store: ObjectStore,
    base: Current,
    document: Configuration,
    pause: Pause = time.sleep,
) -> Result[Configuration, CommitError]:
    """Writes a document in place of the one that it was made from.

    All tries are conditional on the same version, so at most one is applied,
    even if a try whose answer was lost is applied late.

    Args:
      store: the object store.
      base: what was read before the change.
      document: the changed document, of the generation after base's.
      pause: waits between tries.

    Returns:
      The document once it is known to be applied, or why it is not.
    """
    if len(dump_configuration(document)) > LIMIT_BYTES:
        detail = "The configuration is over 1 MB, the platform's limit."
        return Err(CommitError(CommitFailure.INVALID, detail))
    uncertain = False
    for attempt in range(_TRIES):
        error = _put(store, base, document)
        if error is None:
            return Ok(document)
        if error is StoreError.MALFORMED:
            return Err(_describe_malformed(uncertain))
        if error not in _NOT_APPLIED:
            uncertain = uncertain or error is StoreError.UNCERTAIN
            found = read_current(store, pause)
            if isinstance(found, Ok):
                verdict = _judge(found.ok_value, base, document, uncertain)
                if verdict is not None:
                    return verdict
            elif not uncertain:
                return Err(_lost(document.generation, ""))
        _back_off(attempt, pause)
    return Err(_give_up(uncertain))


def _judge(
    found: Current, base: Current, document: Configuration, uncertain: bool
) -> Result[Configuration, CommitError] | None:
    """Decides from a read what became of a write; None if it may be tried."""
    if found.configuration == document:
        return Ok(document)
    if found.version == base.version:
        return None
    by = found.configuration.accepted_by if found.configuration else ""
    if uncertain and found.generation > document.generation:
        # The write may have been applied and then replaced by a later one.
        detail = (
            f"It is not known whether generation {document.generation} was "
            f"this change: the platform's answer was lost, and {by} has "
            f"accepted generation {found.generation} since. Look at it with "
            "`burdockspan config show` before trying again."
        )
        return Err(
            CommitError(CommitFailure.UNCERTAIN, detail, found.generation, by)
        )
    return Err(_lost(found.generation, by))


def _put(
    store: ObjectStore, base: Current, document: Configuration
) -> StoreError | None:
    value = encode_configuration(document)
    if base.configuration is None:
        return store.create(OBJECT_KIND, OBJECT_NAME, value).err()
    return store.update(OBJECT_KIND, OBJECT_NAME, value, base.version).err()


def _decode(value: object, version: int) -> Result[Current, CommitError]:
    decoded = decode_configuration(value)
    if isinstance(decoded, Err):
        detail = (
            "The platform holds a configuration that this version cannot "
            f"read: {decoded.err_value}"
        )
        return Err(CommitError(CommitFailure.INVALID, detail))
    return Ok(Current(decoded.ok_value, version))


def _lost(generation: int, by: str) -> CommitError:
    who = by or "another operator"
    detail = (
        f"{who} accepted generation {generation} first; nothing was written. "
        "Look at it with `burdockspan config diff`, then try again."
    )
    return CommitError(CommitFailure.LOST_RACE, detail, generation, by)


def _give_up(uncertain: bool) -> CommitError:
    if uncertain:
        detail = (
            "The platform could not be reached to confirm the change, which "
            "may still take effect. Look at `burdockspan config show` before "
            "trying again."
        )
        return CommitError(CommitFailure.UNCERTAIN, detail)
    detail = "The platform could not be reached; nothing was written."
    return CommitError(CommitFailure.UNREACHABLE, detail)


def _describe_malformed(uncertain: bool) -> CommitError:
    detail = "The platform rejected the call, or holds no configuration there."
    if uncertain:
        detail += " An earlier try of this change may still take effect."
        return CommitError(CommitFailure.UNCERTAIN, detail)
    return CommitError(CommitFailure.INVALID, detail)


def _back_off(attempt: int, pause: Pause) -> None:
    # Jitter keeps operators who collided from colliding again.
    pause(_PAUSE_S * (attempt + 1) * random.uniform(0.5, 1.5))


__all__ = [
    "OBJECT_KIND",
    "LIMIT_BYTES",
    "OBJECT_NAME",
    "CommitError",
    "CommitFailure",
    "Current",
    "Pause",
    "read_current",
    "write",
]
