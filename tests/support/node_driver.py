"""Drives a node's tables on a test clock, with engines in memory."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

from result import Err, Ok

from burdockspan.configuration.document import (
    Client,
    Configuration,
    Model,
    Policy,
    Route,
    Service,
)
from burdockspan.membership.table import make_members
from burdockspan.node import actor, effects, messages
from burdockspan.node.context import Context
from burdockspan.node.tables import Tables
from burdockspan.object_api.vms import Vm, VmList, VmRole
from burdockspan.requests import lifecycle
from burdockspan.requests.lifecycle import RequestRow
from burdockspan.requests.orphans import ReservedAttempt
from burdockspan.settings import Settings
from burdockspan.values.endpoint import LoadReport
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Failure, FailureKind

ZONE = "fes-a"
MODEL = "m1"
PLAIN = "app"
PIECES = 4
TICK_S = 0.05
_START_S = 1000.0
_ROLE_BY_VM = {
    "prefill-1": VmRole.PREFILL,
    "prefill-2": VmRole.PREFILL,
    "decode-1": VmRole.DECODE,
    "decode-2": VmRole.DECODE,
    "service-1": VmRole.SERVICE,
}


class ViolationError(AssertionError):
    """An invariant does not hold."""


@dataclasses.dataclass
class FakeEngine:
    """An endpoint in memory.

    Attributes:
      name: name of its VM.
      pieces: its decode memory.
      boot: number of its process.
      alive: whether it responds.
      reservations: reserved memory pieces by attempt.
    """

    name: str
    pieces: int = 0
    boot: int = 1
    alive: bool = True
    reservations: dict[AttemptId, int] = dataclasses.field(default_factory=dict)

    def reserve(self, attempt: AttemptId, pieces: int) -> bool:
        """Reserves memory for an attempt; False if too little is free."""
        if sum(self.reservations.values()) + pieces > self.pieces:
            return False
        self.reservations[attempt] = pieces
        return True

    def restart(self) -> None:
        """Replaces the process; the new one has no reservations."""
        self.boot += 1
        self.alive = True
        self.reservations.clear()


class NodeDriver:
    """Sends messages to a node, collects effects and checks every step.

    Attributes:
      now_s: the test clock.
      tables: tables of the node.
      engines: endpoints by name.
      pending_releases: releases that have not been carried out.
      pending_lists: engines whose attempts the node requested.
      pending_polls: endpoints whose load the node requested.
      request_id_by_attempt: request of each attempt that was placed.
      sweep_enabled: whether requests for lists of attempts are answered.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now_s = _START_S
        self.context = Context(
            Settings(
                "entry-1", ZONE, "r", "127.0.0.1:1", "127.0.0.1:2",
                "127.0.0.1:3", "http://127.0.0.1:4",
            ),
            lambda: self.now_s,
            lambda: self.now_s,
            random.Random(seed).random,
        )  # fmt: skip
        self.tables = Tables(
            make_members(
                vm="entry-1",
                address="127.0.0.1:3",
                availability_zone=ZONE,
                region="r",
                seeds=(),
                now_s=self.now_s,
                wall_s=self.now_s,
            )
        )
        self.engines = {
            name: FakeEngine(name, PIECES if role is VmRole.DECODE else 0)
            for name, role in _ROLE_BY_VM.items()
        }
        self.pending_releases: list[effects.FreeMemory] = []
        self.pending_lists: list[str] = []
        self.pending_polls: list[str] = []
        self.request_id_by_attempt: dict[AttemptId, str] = {}
        self.sweep_enabled = True
        self._ended: dict[str, RequestRow] = {}
        self.send(messages.VmListReceived(_list_vms()))
        self.send(messages.Tick())
        message = messages.ConfigurationReceived(
            "platform", _make_configuration()
        )
        self.send(message)
        self.advance(2.0)
        self.answer_all()
        if self.tables.catalog is None:
            raise ViolationError("the configuration is not active")

    def send(self, message: Any) -> Any:
        """Applies a message; returns its result."""
        result, new_effects = actor.handle(self.tables, message, self.context)
        for effect in new_effects:
            self._collect(effect)
        self._check_ended()
        return result

    def advance(self, duration_s: float) -> None:
        """Advances the clock and ticks once."""
        self.now_s += duration_s
        self.send(messages.Tick())

    def answer_all(self) -> None:
        """Answers all polls and lists, and confirms all releases."""
        while self.pending_polls or self.pending_lists or self.pending_releases:
            while self.pending_polls:
                self.answer_poll(self.pending_polls.pop(0))
            while self.pending_lists:
                self.answer_list(self.pending_lists.pop(0))
            while self.pending_releases:
                self.answer_release(self.pending_releases.pop(0), True, True)

    def answer_poll(self, name: str) -> None:
        """Answers a load poll."""
        engine = self.engines[name]
        outcome: Any = Ok(
            LoadReport(
                name,
                str(engine.boot),
                False,
                engine.pieces,
                engine.pieces - sum(engine.reservations.values()),
                len(engine.reservations),
                0,
                self.now_s,
            )
        )
        if not engine.alive:
            kind = FailureKind.NOT_CONNECTED
            outcome = Err(Failure(kind, name))
        self.send(messages.LoadPolled(name, outcome, 0.01, self.now_s))

    def answer_list(self, name: str) -> None:
        """Answers a request for the attempts of an engine."""
        engine = self.engines[name]
        if engine.alive and self.sweep_enabled:
            listed = tuple(
                ReservedAttempt(*item) for item in engine.reservations.items()
            )
            self.send(messages.AttemptsListed(name, Ok(listed)))

    def answer_release(
        self, effect: effects.FreeMemory, arrives: bool, answered: bool
    ) -> None:
        """Carries out a release; its request or its response may be lost."""
        engine = self.engines[effect.endpoint.name]
        if engine.alive and arrives:
            engine.reservations.pop(effect.attempt, None)
        confirmed = engine.alive and arrives and answered
        released = messages.MemoryReleased(
            effect.attempt, engine.name, confirmed
        )
        self.send(released)

    def _collect(self, effect: effects.Effect) -> None:
        if isinstance(effect, effects.Answer):
            self._answer(effect)
        elif isinstance(effect, effects.Abort):
            effect.abort()
        elif isinstance(effect, effects.FreeMemory):
            self.pending_releases.append(effect)
        elif isinstance(effect, effects.ListAttempts):
            self.pending_lists.append(effect.endpoint.name)
        elif isinstance(effect, effects.PollLoad):
            self.pending_polls.append(effect.endpoint.name)

    def _answer(self, effect: effects.Answer) -> None:
        if effect.future.done():
            raise ViolationError("a call was answered twice")
        effect.future.set_result(effect.outcome)
        placement = effect.outcome.ok()
        if placement is None:
            return
        if placement.attempt in self.request_id_by_attempt:
            raise ViolationError(f"{placement.attempt} was placed twice")
        self.request_id_by_attempt[placement.attempt] = placement.request_id
        row = self.tables.requests_by_id.get(placement.request_id)
        if row is None or row.attempt != placement.attempt:
            raise ViolationError("a placement is not of the current attempt")
        if placement.request_id in self._ended:
            raise ViolationError("an ended request was placed")

    def _check_ended(self) -> None:
        for request_id, row in self.tables.requests_by_id.items():
            ended = self._ended.get(request_id)
            if ended is not None and row != ended:
                raise ViolationError(f"{request_id} changed after its end")
            if row.state in lifecycle.TERMINAL_STATES:
                self._ended[request_id] = row


def _list_vms() -> VmList:
    return VmList(
        1,
        tuple(
            Vm(
                name,
                ZONE,
                f"127.0.0.1:{number}",
                PLAIN if role is VmRole.SERVICE else "lm",
                role,
                False,
            )
            for number, (name, role) in enumerate(_ROLE_BY_VM.items(), 100)
        ),
    )


def _make_configuration() -> Configuration:
    engines = Service(
        "lm", models=(Model(MODEL, 8000),), pieces=PIECES, piece_tokens=1000
    )
    plain = Service(PLAIN, routes=(Route("/", ("GET",), True),), concurrency=2)
    client = Client("c", "", 1000.0, 1000)
    return Configuration(
        1, "atlas", clients=(client,), services=(engines, plain),
        policy=Policy(),
    )  # fmt: skip


__all__ = [
    "MODEL",
    "PLAIN",
    "TICK_S",
    "FakeEngine",
    "NodeDriver",
    "ViolationError",
]
