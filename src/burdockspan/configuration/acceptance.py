"""Acceptance of a configuration, and edits of the configuration in force."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.configuration.commit import (
    CommitError,
    CommitFailure,
    Sleep,
    read_current,
    replace_current,
)
from burdockspan.configuration.document import Configuration
from burdockspan.configuration.object_store import ObjectStore

_EDIT_ATTEMPTS = 30
_EDIT_BACKOFF_S = 0.1

Edit = Callable[[Configuration], Result[Configuration, str]]
"""Returns the changed document, or why the change is not possible."""


def accept(
    store: ObjectStore,
    configuration: Configuration,
    base_generation: int,
    sleep: Sleep = time.sleep,
) -> Result[Configuration, CommitError]:
    """Replaces the configuration in force, if it is still the reviewed one.

    Drains, planned stops and roles are kept from the configuration in force,
    so that a document that was generated earlier cannot undo them.

    Args:
      store: the object store.
      configuration: the new document, with accepted_by and accepted_at_s set.
      base_generation: generation that the operator reviewed; 0 for none.
      sleep: waits between attempts, for seconds.

    Returns:
      The document in force, of generation base_generation + 1, or an error.
    """
    result = read_current(store, sleep)
    if isinstance(result, Err):
        return result
    stored = result.ok_value
    current = stored.configuration
    if stored.generation != base_generation:
        return Err(_describe_wrong_base(current, base_generation))
    if current is not None and current.team != configuration.team:
        detail = (
            f"The platform holds the configuration of team {current.team!r}, "
            f"not of {configuration.team!r}."
        )
        return Err(CommitError(CommitFailure.INVALID, detail))
    document = dataclasses.replace(
        configuration,
        generation=base_generation + 1,
        drains=current.drains if current else (),
        stops=current.stops if current else (),
        roles=current.roles if current else (),
    )
    return replace_current(store, stored, document, sleep)


def apply_edit(
    store: ObjectStore,
    edit: Edit,
    by: str,
    at_s: float,
    sleep: Sleep = time.sleep,
) -> Result[Configuration, CommitError]:
    """Applies an edit to the configuration in force.

    When another change is written first, the document is read again and the
    edit is applied to the new version. A write whose result stays unknown is
    not repeated, because the edit may have been applied.

    Args:
      store: the object store.
      edit: pure function, called once for each attempt.
      by: operator who requests the edit.
      at_s: wall time, seconds since 1970.
      sleep: waits between attempts, for seconds.

    Returns:
      The document in force, with the edit applied, or an error.
    """
    last_error: CommitError | None = None
    for _ in range(_EDIT_ATTEMPTS):
        result = read_current(store, sleep)
        if isinstance(result, Err):
            return result
        current = result.ok_value.configuration
        if current is None:
            detail = "No configuration has been accepted yet."
            return Err(CommitError(CommitFailure.INVALID, detail))
        changed = edit(current)
        if isinstance(changed, Err):
            detail = changed.err_value
            return Err(CommitError(CommitFailure.INVALID, detail))
        if changed.ok_value == current:
            return Ok(current)
        document = dataclasses.replace(
            changed.ok_value,
            generation=current.generation + 1,
            accepted_by=by,
            accepted_at_s=at_s,
        )
        written = replace_current(store, result.ok_value, document, sleep)
        if isinstance(written, Ok):
            return written
        last_error = written.err_value
        if last_error.failure is not CommitFailure.LOST_RACE:
            return written
        sleep(_EDIT_BACKOFF_S * random.uniform(0.5, 1.5))
    assert last_error is not None
    return Err(last_error)


def _describe_wrong_base(
    current: Configuration | None, base: int
) -> CommitError:
    if current is None:
        detail = (
            f"No configuration has been accepted yet, so generation {base} "
            "cannot be its base; use 0."
        )
        return CommitError(CommitFailure.LOST_RACE, detail)
    detail = (
        f"Generation {current.generation}, accepted by "
        f"{current.accepted_by}, is in force, not {base}; nothing was "
        "written. Review the difference with `burdockspan config diff`, then "
        "accept on that base."
    )
    return CommitError(
        CommitFailure.LOST_RACE, detail, current.generation, current.accepted_by
    )


__all__ = ["Edit", "accept", "apply_edit"]
