"""Acceptance of a configuration, and edits of the one in force."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.configuration.commit import (
    CommitError,
    CommitFailure,
    Pause,
    read_current,
    write,
)
from burdockspan.configuration.document import Configuration
from burdockspan.configuration.object_store import ObjectStore

_EDIT_TRIES = 30
_EDIT_PAUSE_S = 0.1

Edit = Callable[[Configuration], Result[Configuration, str]]
"""Returns the changed document, or why it cannot be changed so."""


def accept(
    store: ObjectStore,
    configuration: Configuration,
    base_generation: int,
    pause: Pause = time.sleep,
) -> Result[Configuration, CommitError]:
    """Puts a configuration in force in place of the one it was compared with.

    Drains, planned stops and roles are kept from the generation in force, so
    that a document generated earlier cannot undo them.

    Args:
      store: the object store.
      configuration: the document, with accepted_by and accepted_at_s set.
      base_generation: generation that the operator reviewed; 0 for none.
      pause: waits between tries.

    Returns:
      The document in force, of generation base_generation + 1, or an error.
    """
    found = read_current(store, pause)
    if isinstance(found, Err):
        return found
    current = found.ok_value
    held = current.configuration
    if current.generation != base_generation:
        return Err(_describe_race(held, base_generation))
    if held is not None and held.team != configuration.team:
        detail = (
            f"The platform holds the configuration of team {held.team!r}, "
            f"not of {configuration.team!r}."
        )
        return Err(CommitError(CommitFailure.INVALID, detail))
    document = dataclasses.replace(
        configuration,
        generation=base_generation + 1,
        drains=held.drains if held else (),
        stops=held.stops if held else (),
        roles=held.roles if held else (),
    )
    return write(store, current, document, pause)


def edit(
    store: ObjectStore,
    change: Edit,
    by: str,
    at_s: float,
    pause: Pause = time.sleep,
) -> Result[Configuration, CommitError]:
    """Applies a change to the configuration in force.

    When another change wins the race, the document is read again and the
    change is applied to it. A write whose result stays unknown is not tried
    again, because the change may have been applied.

    Args:
      store: the object store.
      change: pure function that may run several times.
      by: operator who asks for it.
      at_s: wall time, seconds since 1970.
      pause: waits between tries.

    Returns:
      The document in force that carries the change, or an error.
    """
    lost: CommitError | None = None
    for _ in range(_EDIT_TRIES):
        found = read_current(store, pause)
        if isinstance(found, Err):
            return found
        held = found.ok_value.configuration
        if held is None:
            detail = "No configuration has been accepted yet."
            return Err(CommitError(CommitFailure.INVALID, detail))
        changed = change(held)
        if isinstance(changed, Err):
            detail = changed.err_value
            return Err(CommitError(CommitFailure.INVALID, detail))
        if changed.ok_value == held:
            return Ok(held)
        document = dataclasses.replace(
            changed.ok_value,
            generation=held.generation + 1,
            accepted_by=by,
            accepted_at_s=at_s,
        )
        written = write(store, found.ok_value, document, pause)
        if isinstance(written, Ok):
            return written
        lost = written.err_value
        if lost.failure is not CommitFailure.LOST_RACE:
            return written
        pause(_EDIT_PAUSE_S * random.uniform(0.5, 1.5))
    assert lost is not None
    return Err(lost)


def _describe_race(held: Configuration | None, base: int) -> CommitError:
    if held is None:
        detail = (
            f"No configuration has been accepted yet, so generation {base} "
            "cannot be its base; use 0."
        )
        return CommitError(CommitFailure.LOST_RACE, detail)
    detail = (
        f"Generation {held.generation}, accepted by {held.accepted_by}, is in "
        f"force, not {base}; nothing was written. Look at the difference with "
        "`burdockspan config diff`, then accept on that base."
    )
    return CommitError(
        CommitFailure.LOST_RACE, detail, held.generation, held.accepted_by
    )


__all__ = ["Edit", "accept", "edit"]
