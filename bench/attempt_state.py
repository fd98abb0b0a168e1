"""State of one attempt, and the steps that end it."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol

from bench.choices import Chooser
from bench.cluster import Cluster
from bench.fakes import Prefilled
from bench.knowledge import Knowledge
from bench.workload import Call


class Owner(Protocol):
    """The entry VM of an attempt."""

    entry: int
    dead: bool
    knowledge: Knowledge
    chooser: Chooser

    def on_requeue(self, attempt: Attempt) -> None:
        """Puts the call of a refused reservation back into the queue."""

    def on_failed(self, attempt: Attempt) -> None:
        """Handles an attempt that failed before its first token."""

    def on_ended(self, attempt: Attempt) -> None:
        """Handles the last token."""


@dataclasses.dataclass
class Attempt:
    """State of one attempt."""

    attempt_id: str
    call: Call
    prefill: str
    latest_prefill_s: float
    decode: str | None = None
    reserved: bool = False
    prefill_sent: bool = False
    prefilled: Prefilled | None = None
    streaming: bool = False
    current: bool = True
    refused_by: tuple[str, ...] = ()


def abandon(cluster: Cluster, node: Owner, attempt: Attempt) -> None:
    """Ends an attempt early; frees its memory and counts wasted prefill."""
    attempt.current = False
    if attempt.prefilled is not None:
        cluster.tally.wasted_tokens += attempt.prefilled.computed_tokens
    if attempt.decode is not None:
        _release(cluster, node, attempt)


def later(
    cluster: Cluster,
    node: Owner,
    attempt: Attempt,
    delay_s: float,
    action: Callable[[], None],
) -> None:
    """Runs `action` later, unless the attempt or its entry VM has ended."""

    def run() -> None:
        if attempt.current and not node.dead:
            action()

    cluster.loop.after(delay_s, run)


def _release(cluster: Cluster, node: Owner, attempt: Attempt) -> None:
    name = attempt.decode
    if name is None:
        return
    forget(node, attempt, cluster.loop.now_s)
    cluster.loop.after(
        cluster.distance_s(node.entry, name),
        lambda: cluster.decode[name].release(attempt.attempt_id),
    )


def forget(node: Owner, attempt: Attempt, now_s: float) -> None:
    """Notes that the memory of an attempt is released."""
    if attempt.decode is None:
        return
    rows = node.knowledge.reservations[attempt.decode]
    row = rows.get(attempt.attempt_id)
    if row is not None:
        rows[attempt.attempt_id] = dataclasses.replace(row, released_s=now_s)


__all__ = ["Attempt", "Owner", "abandon", "forget", "later"]
