"""State of one attempt, and the functions that end it."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol

from bench.choices import Chooser
from bench.cluster import Cluster
from bench.local_view import LocalView
from bench.simulated_engines import FinishedPrefill
from bench.workload import Call


class AttemptNode(Protocol):
    """The entry VM of an attempt."""

    entry: int
    is_dead: bool
    local_view: LocalView
    chooser: Chooser

    def on_requeue(self, attempt: Attempt) -> None:
        """Puts the call of an ended attempt back into the queue."""

    def on_failed(self, attempt: Attempt) -> None:
        """Handles an attempt that failed before its first token."""

    def on_ended(self, attempt: Attempt) -> None:
        """Handles the arrival of the last token."""


@dataclasses.dataclass
class Attempt:
    """State of one attempt.

    Attributes:
      attempt_id: unique identity.
      call: the call of the workload.
      prefill_engine: name of the prefill engine.
      latest_prefill_s: latest start of the prefill that meets the deadline.
      decode_engine: name of the decode engine, None before one is chosen.
      reserved: whether the decode engine granted the reservation.
      prefill_sent: whether the prefill was sent.
      finished_prefill: the result of the prefill.
      streaming: whether the first token was received.
      is_current: False once the attempt has ended.
      refused_by: decode engines that refused the reservation.
    """

    attempt_id: str
    call: Call
    prefill_engine: str
    latest_prefill_s: float
    decode_engine: str | None = None
    reserved: bool = False
    prefill_sent: bool = False
    finished_prefill: FinishedPrefill | None = None
    streaming: bool = False
    is_current: bool = True
    refused_by: tuple[str, ...] = ()


def abandon(cluster: Cluster, node: AttemptNode, attempt: Attempt) -> None:
    """Ends an attempt early; releases its memory and counts wasted prefill."""
    attempt.is_current = False
    if attempt.finished_prefill is not None:
        cluster.counters.wasted_tokens += (
            attempt.finished_prefill.computed_tokens
        )
    if attempt.decode_engine is not None:
        _release(cluster, node, attempt)


def call_later_if_current(
    cluster: Cluster,
    node: AttemptNode,
    attempt: Attempt,
    delay_s: float,
    action: Callable[[], None],
) -> None:
    """Runs `action` later unless the attempt or its entry VM has ended."""

    def run() -> None:
        if attempt.is_current and not node.is_dead:
            action()

    cluster.loop.call_later(delay_s, run)


def _release(cluster: Cluster, node: AttemptNode, attempt: Attempt) -> None:
    name = attempt.decode_engine
    if name is None:
        return
    record_release(node, attempt, cluster.loop.now_s)
    cluster.loop.call_later(
        cluster.distance_s(node.entry, name),
        lambda: cluster.decode[name].release(attempt.attempt_id),
    )


def record_release(node: AttemptNode, attempt: Attempt, now_s: float) -> None:
    """Records that the memory of an attempt is released."""
    if attempt.decode_engine is None:
        return
    reservations = node.local_view.reservations_by_engine[attempt.decode_engine]
    reservation = reservations.get(attempt.attempt_id)
    if reservation is not None:
        reservations[attempt.attempt_id] = dataclasses.replace(
            reservation, released_s=now_s
        )


__all__ = [
    "Attempt",
    "AttemptNode",
    "abandon",
    "call_later_if_current",
    "record_release",
]
