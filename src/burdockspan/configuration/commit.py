"""Conditional writes of the configuration, safe when a response is lost."""

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
"""Largest value that the platform stores."""

_NOT_APPLIED = (StoreError.UNAVAILABLE, StoreError.LIMITED)
"""Errors that mean that the write was not applied; it may be repeated."""

_ATTEMPTS = 8
_BACKOFF_S = 0.05
"""First delay; it grows by this much with each attempt, before jitter."""

Sleep = Callable[[float], None]
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
      detail: explanation for the operator.
      generation: generation in force, 0 if not known.
      by: operator who accepted that generation.
    """

    failure: CommitFailure
    detail: str
    generation: int = 0
    by: str = ""


@dataclasses.dataclass(frozen=True)
class StoredConfiguration:
    """The configuration object of the platform.

    Attributes:
      configuration: the configuration in force, None before the first.
      version: version of the platform object, 0 before the first.
    """

    configuration: Configuration | None
    version: int

    @property
    def generation(self) -> int:
        """Generation in force, 0 before the first."""
        current = self.configuration
        return current.generation if current is not None else 0


def read_current(
    store: ObjectStore, sleep: Sleep = time.sleep
) -> Result[StoredConfiguration, CommitError]:
    """Reads the configuration in force; repeats a read that fails."""
    for attempt in range(_ATTEMPTS):
        result = store.get(OBJECT_KIND, OBJECT_NAME)
        if isinstance(result, Ok):
            return _decode(result.ok_value.value, result.ok_value.version)
        if result.err_value is StoreError.NOT_FOUND:
            return Ok(StoredConfiguration(None, 0))
        if result.err_value is StoreError.MALFORMED:
            return Err(_describe_malformed(uncertain=False))
        if attempt + 1 < _ATTEMPTS:
            _back_off(attempt, sleep)
    detail = "The platform could not be reached to read the configuration."
    return Err(CommitError(CommitFailure.UNREACHABLE, detail))


def replace_current(
    store: ObjectStore,
    base: StoredConfiguration,
    document: Configuration,
    sleep: Sleep = time.sleep,
) -> Result[Configuration, CommitError]:
    """Replaces the stored document, if it is still the base of the new one.

    All attempts are conditional on the same version, so at most one of them
    is applied, even if one whose response was lost is applied late.

    Args:
      store: the object store.
      base: the stored configuration that the change was made to.
      document: the changed document; its generation follows that of base.
      sleep: waits between attempts, for seconds.

    Returns:
      The document once it is known to be applied, or why that is not known.
    """
    if len(dump_configuration(document)) > LIMIT_BYTES:
        detail = "The configuration is over 1 MB, the platform's limit."
        return Err(CommitError(CommitFailure.INVALID, detail))
    uncertain = False
    for attempt in range(_ATTEMPTS):
        error = _write_once(store, base, document)
        if error is None:
            return Ok(document)
        if error is StoreError.MALFORMED:
            return Err(_describe_malformed(uncertain))
        if error not in _NOT_APPLIED:
            uncertain = uncertain or error is StoreError.UNCERTAIN
            result = read_current(store, sleep)
            if isinstance(result, Ok):
                outcome = _classify_write(
                    result.ok_value, base, document, uncertain
                )
                if outcome is not None:
                    return outcome
            elif not uncertain:
                # The write failed because another document was written first.
                # Who accepted that document is unknown, as it cannot be read.
                return Err(_describe_lost_race(document.generation, ""))
        _back_off(attempt, sleep)
    return Err(_describe_no_confirmation(uncertain))


def _classify_write(
    current: StoredConfiguration,
    base: StoredConfiguration,
    document: Configuration,
    uncertain: bool,
) -> Result[Configuration, CommitError] | None:
    """Decides from a later read whether a write was applied.

    Returns:
      The result of the write, None if the write may be repeated.
    """
    if current.configuration == document:
        return Ok(document)
    if current.version == base.version:
        return None
    by = current.configuration.accepted_by if current.configuration else ""
    if uncertain and current.generation > document.generation:
        # The write may have been applied and then replaced by a later one.
        detail = (
            f"It is not known whether generation {document.generation} was "
            f"this change: the platform's response was lost, and {by} has "
            f"accepted generation {current.generation} since. Look at it with "
            "`burdockspan config show` before trying again."
        )
        return Err(
            CommitError(CommitFailure.UNCERTAIN, detail, current.generation, by)
        )
    return Err(_describe_lost_race(current.generation, by))


def _write_once(
    store: ObjectStore, base: StoredConfiguration, document: Configuration
) -> StoreError | None:
    value = encode_configuration(document)
    if base.configuration is None:
        return store.create(OBJECT_KIND, OBJECT_NAME, value).err()
    return store.update(OBJECT_KIND, OBJECT_NAME, value, base.version).err()


def _decode(
    value: object, version: int
) -> Result[StoredConfiguration, CommitError]:
    decoded = decode_configuration(value)
    if isinstance(decoded, Err):
        detail = (
            "The platform holds a configuration that this version cannot "
            f"read: {decoded.err_value}"
        )
        return Err(CommitError(CommitFailure.INVALID, detail))
    return Ok(StoredConfiguration(decoded.ok_value, version))


def _describe_lost_race(generation: int, by: str) -> CommitError:
    who = by or "another operator"
    detail = (
        f"{who} accepted generation {generation} first; nothing was written. "
        "Look at it with `burdockspan config diff`, then try again."
    )
    return CommitError(CommitFailure.LOST_RACE, detail, generation, by)


def _describe_no_confirmation(uncertain: bool) -> CommitError:
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
        detail += " An earlier attempt at this change may still take effect."
        return CommitError(CommitFailure.UNCERTAIN, detail)
    return CommitError(CommitFailure.INVALID, detail)


def _back_off(attempt: int, sleep: Sleep) -> None:
    # Jitter keeps operators whose writes conflicted from conflicting again.
    sleep(_BACKOFF_S * (attempt + 1) * random.uniform(0.5, 1.5))


__all__ = [
    "LIMIT_BYTES",
    "OBJECT_KIND",
    "OBJECT_NAME",
    "CommitError",
    "CommitFailure",
    "Sleep",
    "StoredConfiguration",
    "read_current",
    "replace_current",
]
