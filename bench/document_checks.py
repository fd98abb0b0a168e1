"""Processes of random histories, and the invariants that they must keep."""

from __future__ import annotations

import dataclasses

from bench import document_fixtures
from bench.document_fixtures import VMS, ZONE
from bench.endpoint_observer import EndpointObserver
from burdockspan.configuration.adoption import (
    INITIAL_FETCH_TIMEOUT_S,
    generation_of,
)
from burdockspan.membership.table import make_members
from burdockspan.node import effects, messages
from burdockspan.node.tables import Tables
from burdockspan.object_api.watch import WatchState


@dataclasses.dataclass
class HistoryCounts:
    """What happened in a history, and which invariants it violated.

    Attributes:
      accepted: configurations that the platform accepted.
      activated: configurations that a process activated.
      losses: returns of the platform from an older copy.
      restarts: restarts of a process.
      placed: calls that were placed.
      refused: calls that were refused.
      late_starts: restarts after which the first configuration that a process
        activated was older than the one before the restart.
      violations: violated invariants, as sentences.
      steps: names of the steps, in order.
    """

    accepted: int = 0
    activated: int = 0
    losses: int = 0
    restarts: int = 0
    placed: int = 0
    refused: int = 0
    late_starts: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)
    steps: list[str] = dataclasses.field(default_factory=list)


class Process:
    """One process, and what the model recorded about it.

    Attributes:
      tables: state of the node.
      settings: settings of the process.
      generation: active generation after the last message.
      started_s: start of the process.
      queried_sources: sources from which it has requested a configuration.
      observer: the reports that were delivered to it.
      watch: position of its watch of the platform.
    """

    def __init__(self, number: int, now_s: float) -> None:
        vm = VMS[number]
        self.tables = Tables(
            make_members(
                vm=vm,
                address=document_fixtures.make_address(vm),
                availability_zone=ZONE,
                region="region",
                seeds=tuple(map(document_fixtures.make_address, VMS)),
                now_s=now_s,
                wall_s=now_s,
            )
        )
        self.settings = document_fixtures.make_settings(vm)
        self.generation = 0
        self.started_s = now_s
        self.queried_sources: set[str] = set()
        self.observer = EndpointObserver()
        self.watch = WatchState()

    @property
    def initial_sources(self) -> set[str]:
        """Sources from which the process requests its first configuration."""
        return {messages.PLATFORM_SOURCE, *self.tables.members.seeds}


def check_process(
    process: Process, now_s: float, counts: HistoryCounts
) -> None:
    """Checks the configuration that a process serves after a message."""

    def add_violation(problem: str) -> None:
        _add_violation(process, now_s, counts, problem)

    tables = process.tables
    active = generation_of(tables.adoption.active)
    if active < process.generation:
        add_violation(f"generation {process.generation} became {active}")
    if generation_of(tables.adoption.stored) < active:
        add_violation("the stored generation is older than the active one")
    served = 0
    if tables.catalog is not None:
        served = tables.catalog.configuration.generation
    if served != active:
        add_violation(f"serves generation {served}, the active one is {active}")
    if active != process.generation:
        counts.activated += 1
        if not process.generation:
            timed_out = now_s - process.started_s >= INITIAL_FETCH_TIMEOUT_S
            if (
                process.queried_sources != process.initial_sources
                and not timed_out
            ):
                add_violation(
                    "serves before it has queried the platform and its peers"
                )
            counts.late_starts += (
                active < process.observer.generation_before_restart
            )
    process.generation = active


def check_convergence(
    process: Process, newest: int, now_s: float, counts: HistoryCounts
) -> None:
    """Checks that a process has seen the newest generation."""
    stored = generation_of(process.tables.adoption.stored)
    if stored != newest:
        _add_violation(
            process, now_s, counts, f"missed generation {newest} at {stored}"
        )


def check_answer(
    process: Process,
    effect: effects.Answer,
    now_s: float,
    counts: HistoryCounts,
) -> None:
    """Checks where a call was placed."""
    placement = effect.outcome.ok()
    if placement is None:
        counts.refused += 1
        return
    counts.placed += 1
    if process.tables.adoption.active is None:
        _add_violation(process, now_s, counts, "placed without a configuration")
    if placement.service is not None:
        problem = process.observer.find_violation(
            placement.service.name, now_s, process.tables
        )
        if problem is not None:
            _add_violation(process, now_s, counts, problem)


def _add_violation(
    process: Process, now_s: float, counts: HistoryCounts, problem: str
) -> None:
    vm = process.settings.vm
    counts.violations.append(f"{vm} at {now_s:.2f} s: {problem}")


__all__ = [
    "HistoryCounts",
    "Process",
    "check_answer",
    "check_convergence",
    "check_process",
]
