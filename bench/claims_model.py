"""Histories of entry processes that make calls with the same key.

The invariant: at most one dispatch ever happens for the key, and `not_run` is
only said when no dispatch happened before, and none can happen after except by
another call that claims the key once it has been given up.
"""

from __future__ import annotations

import dataclasses
import hashlib
import itertools
from collections.abc import Callable

from result import Err

from bench.interleaving import Choose, Interleaver
from bench.simulated_platform import SimulatedPlatform
from burdockspan.claims.record import (
    ClaimState,
    HeldClaim,
    ReceivedResponse,
    Replay,
    execution_of,
)
from burdockspan.claims.store import Claims, make_claims
from burdockspan.claims.write_retries import WriteRetries, make_write_retries
from burdockspan.object_api.client import PlatformClient
from burdockspan.values.ids import AttemptId
from burdockspan.values.refusal import Execution, Refusal

CLIENT = "client"
KEY = "key"
_PROCESSES = 4
_CALLS = 2
_SETTLEMENT_PASSES = 3
_PASS_S = 100.0
_BODIES = ("body", "body", "body", "other body")

MakeClaims = Callable[[PlatformClient, WriteRetries], Claims]


def make_real_claims(
    client: PlatformClient, write_retries: WriteRetries
) -> Claims:
    """Returns the claims of the product."""
    return make_claims(client, write_retries, lambda: 0.0, lambda: 7 * 86400.0)


@dataclasses.dataclass
class Record:
    """What happened in one history.

    Attributes:
      dispatches: the claims under which a first byte was sent, in order.
      not_run: the claims whose calls were told `not_run`, in order.
      violations: broken invariants, as sentences.
    """

    dispatches: list[HeldClaim] = dataclasses.field(default_factory=list)
    not_run: list[HeldClaim] = dataclasses.field(default_factory=list)
    foreign_digests: set[str] = dataclasses.field(default_factory=set)
    violations: list[str] = dataclasses.field(default_factory=list)

    def require(self, holds: bool, sentence: str) -> None:
        """Records a violation unless a condition holds."""
        if not holds:
            self.violations.append(sentence)


class History:
    """One run of up to four processes; `choose` decides everything."""

    def __init__(self, choose: Choose, make: MakeClaims) -> None:
        self._choose = choose
        self._tasks = Interleaver()
        self._platform = SimulatedPlatform(choose, self._tasks.pause)
        self._now_s = 0.0
        self.record = Record()
        for number in range(1 + choose(_PROCESSES)):
            write_retries = make_write_retries(lambda: self._now_s, lambda: 0.5)
            claims = make(self._platform.client(), write_retries)
            process = _Process(
                f"vm-{number}", claims, write_retries, self, 1 + choose(_CALLS)
            )
            self._tasks.add(process.run)

    def run(self) -> Record:
        """Runs to the end and returns what happened."""
        last = 0
        while live := self._tasks.live():
            action = self._choose(32)
            if action == 31:
                self._tasks.kill(live[self._choose(len(live))])
            elif action == 30:
                self._platform.outage = not self._platform.outage
            elif action >= 26 and self._platform.in_flight:
                count = len(self._platform.in_flight)
                self._platform.apply_in_flight(self._choose(count))
            else:
                # Staying with one process leaves the others paused for long.
                if action >= 20 or last not in live:
                    last = live[self._choose(len(live))]
                self._tasks.resume(last)
        return self.record

    def choose(self, count: int) -> int:
        """Chooses for a process."""
        return self._choose(count)

    def pause(self) -> None:
        """Lets a process be stopped here."""
        self._tasks.pause()

    def advance_clock(self) -> None:
        """Moves the clock past every backoff."""
        self._now_s += _PASS_S

    def dispatch(self, held: HeldClaim) -> None:
        """Records that the first byte of a call is sent."""
        record = self.record
        record.require(not record.dispatches, "dispatched twice")
        digest = held.record.body_digest
        record.require(
            digest not in record.foreign_digests,
            "dispatched a body that was refused as not_run",
        )
        for refused in record.not_run:
            record.require(
                self._was_given_up(refused, held),
                "dispatched after not_run without a claim given up between",
            )
        record.dispatches.append(held)

    def say_not_run(self, held: HeldClaim) -> None:
        """Records that the holder of a claim tells its caller `not_run`."""
        self.record.require(
            not self.record.dispatches, "said not_run after a dispatch"
        )
        self.record.not_run.append(held)

    def _was_given_up(self, refused: HeldClaim, later: HeldClaim) -> bool:
        holder = str(refused.record.holder)
        return any(
            written.value["holder"] == holder
            and written.value["state"] == ClaimState.GIVEN_UP.value
            and refused.version < written.version < later.version
            for written in self._platform.applied_writes
        )


class _Process:
    """One entry process, which makes calls one after the other."""

    def __init__(
        self,
        vm: str,
        claims: Claims,
        write_retries: WriteRetries,
        history: History,
        calls: int,
    ) -> None:
        self._vm = vm
        self._claims = claims
        self._write_retries = write_retries
        self._history = history
        self._calls = calls
        self._sequence = itertools.count(1)

    def run(self) -> None:
        for _ in range(self._calls):
            if self._history.choose(8) == 7:
                self._look_up()
            else:
                self._call()
            self._settle_later()

    def _call(self) -> None:
        history = self._history
        body = _BODIES[history.choose(len(_BODIES))].encode()
        digest = hashlib.sha256(body).hexdigest()
        holder = AttemptId(self._vm, 1, next(self._sequence))
        claimed = self._claims.claim(CLIENT, KEY, digest, holder)
        if isinstance(claimed, Err):
            self._check_refusal(claimed.err_value, digest)
            return
        held = claimed.ok_value
        history.pause()
        if history.choose(3) == 2:
            history.say_not_run(held)
            self._claims.give_up(held)
            return
        history.dispatch(held)
        history.pause()
        if history.choose(3) == 2:
            self._claims.record_outcome(held, ClaimState.UNKNOWN, None)
            return
        answer = ReceivedResponse(200, "text/plain", digest.encode())
        self._claims.record_outcome(held, ClaimState.DONE, answer)

    def _check_refusal(self, refusal: Refusal | Replay, digest: str) -> None:
        record = self._history.record
        if isinstance(refusal, Replay):
            own = refusal.record.body == digest.encode()
            record.require(
                bool(record.dispatches) and own, "replayed a wrong answer"
            )
        elif refusal.execution is Execution.RAN:
            record.require(bool(record.dispatches), "said ran without one")
        elif refusal.execution is Execution.NOT_RUN:
            ran = {held.record.body_digest for held in record.dispatches}
            record.require(
                refusal.status == 422 and digest not in ran,
                "refused a dispatched body as not_run",
            )
            record.foreign_digests.add(digest)

    def _look_up(self) -> None:
        before = len(self._history.record.dispatches)
        found = self._claims.look_up(CLIENT, KEY)
        if found.is_err() or found.ok() is None:
            return
        claim = found.unwrap()
        assert claim is not None
        if execution_of(claim) is Execution.NOT_RUN:
            self._history.record.require(
                not before, "looked up not_run after a dispatch"
            )

    def _settle_later(self) -> None:
        for _ in range(_SETTLEMENT_PASSES):
            if not self._write_retries.counts().waiting:
                return
            self._history.advance_clock()
            self._history.pause()
            self._write_retries.run_due()


def run_history(choose: Choose, make: MakeClaims = make_real_claims) -> Record:
    """Runs one history and returns what happened."""
    return History(choose, make).run()


__all__ = [
    "CLIENT",
    "KEY",
    "MakeClaims",
    "Record",
    "make_real_claims",
    "run_history",
]
