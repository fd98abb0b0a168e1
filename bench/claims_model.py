"""Random histories of entry processes whose calls have the same key.

In some histories the store loses its latest writes, as if it had come back from
an older copy.

Invariants: the key is dispatched at most once. A caller gets the answer
`not_run` only if no dispatch happened before, and none can happen later except
by another call that claims the key after the claim was given up.
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
# A key without a creation time, and one that was created at time 0.
KEYS = ("key", "00000000-0000-7000-8000-000000000000")
_PROCESSES = 4
_CALLS = 2
_RETRY_PASSES = 3
_RETRY_PASS_S = 100.0
_RETENTION_S = 7 * 86400.0
_LOST_WRITES_LIMIT = 4
_BODIES = ("body", "body", "body", "other body")

MakeClaims = Callable[[PlatformClient, WriteRetries], Claims]


def make_real_claims(
    client: PlatformClient, write_retries: WriteRetries
) -> Claims:
    """Returns the claims as the product makes them."""
    return make_claims(client, write_retries, lambda: 0.0, lambda: _RETENTION_S)


@dataclasses.dataclass
class HistoryRecord:
    """What happened in one history.

    Attributes:
      dispatches: the claims under which a first byte was sent, in order.
      not_run: the claims whose callers got the answer `not_run`, in order.
      refused_digests: digests of the bodies that were refused as `not_run`.
      losses: how often the store lost its latest writes.
      violations: violated invariants, as sentences.
    """

    dispatches: list[HeldClaim] = dataclasses.field(default_factory=list)
    not_run: list[HeldClaim] = dataclasses.field(default_factory=list)
    refused_digests: set[str] = dataclasses.field(default_factory=set)
    losses: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)

    def check(self, condition: bool, violation: str) -> None:
        """Records a violation unless the condition is true."""
        if not condition:
            self.violations.append(violation)


class History:
    """One history of up to four processes; `choose` makes all choices."""

    def __init__(self, choose: Choose, make: MakeClaims) -> None:
        self._choose = choose
        self._interleaver = Interleaver()
        self._platform = SimulatedPlatform(choose, self._interleaver.pause)
        self._now_s = 0.0
        self._loses_writes = choose(2) == 1
        self.key = KEYS[choose(len(KEYS))]
        self.record = HistoryRecord()
        for number in range(1 + choose(_PROCESSES)):
            write_retries = make_write_retries(lambda: self._now_s, lambda: 0.5)
            claims = make(self._platform.client(), write_retries)
            process = _Process(
                f"vm-{number}", claims, write_retries, self, 1 + choose(_CALLS)
            )
            self._interleaver.add(process.run)

    def run(self) -> HistoryRecord:
        """Runs all processes to their end and returns what happened."""
        last_resumed = 0
        # Of 32 actions one kills a process, one starts or ends an outage, four
        # apply a write in flight if there is one, and the rest resume a
        # process. A store that can lose writes does so in one more.
        actions = 33 if self._loses_writes else 32
        while live_processes := self._interleaver.live_processes():
            action = self._choose(actions)
            if action == 32:
                self._platform.lose_writes(1 + self._choose(_LOST_WRITES_LIMIT))
                self.record.losses += 1
            elif action == 31:
                self._interleaver.kill(
                    live_processes[self._choose(len(live_processes))]
                )
            elif action == 30:
                self._platform.outage = not self._platform.outage
            elif action >= 26 and self._platform.in_flight:
                count = len(self._platform.in_flight)
                self._platform.apply_in_flight(self._choose(count))
            else:
                # Resuming the same process repeatedly leaves the others
                # paused for long.
                if action >= 20 or last_resumed not in live_processes:
                    last_resumed = live_processes[
                        self._choose(len(live_processes))
                    ]
                self._interleaver.resume(last_resumed)
        return self.record

    def choose(self, count: int) -> int:
        """Returns a choice for a process, from 0 to below `count`."""
        return self._choose(count)

    def pause(self) -> None:
        """Lets the calling process be paused or killed here."""
        self._interleaver.pause()

    def advance_clock(self) -> None:
        """Advances the clock past every backoff delay."""
        self._now_s += _RETRY_PASS_S

    def dispatch(self, claim: HeldClaim) -> None:
        """Records that the first byte of a call was sent."""
        record = self.record
        record.check(not record.dispatches, "dispatched twice")
        digest = claim.record.body_digest
        record.check(
            digest not in record.refused_digests,
            "dispatched a body that was refused as not_run",
        )
        for refused in record.not_run:
            record.check(
                self._was_given_up(refused, claim),
                "dispatched after not_run without a claim given up between",
            )
        record.dispatches.append(claim)

    def record_not_run(self, claim: HeldClaim) -> None:
        """Records that the holder of a claim answered `not_run`."""
        self.record.check(
            not self.record.dispatches, "reported not_run after a dispatch"
        )
        self.record.not_run.append(claim)

    def _was_given_up(self, refused: HeldClaim, later: HeldClaim) -> bool:
        holder = str(refused.record.holder)
        return any(
            written.value["holder"] == holder
            and written.value["state"] == ClaimState.GIVEN_UP.value
            and refused.version < written.version < later.version
            for written in self._platform.applied_writes
        )


class _Process:
    """One entry process that makes calls one after another."""

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
            self._run_write_retries()

    def _call(self) -> None:
        history = self._history
        body = _BODIES[history.choose(len(_BODIES))].encode()
        digest = hashlib.sha256(body).hexdigest()
        holder = AttemptId(self._vm, 1, next(self._sequence))
        claimed = self._claims.claim(CLIENT, history.key, digest, holder)
        if isinstance(claimed, Err):
            self._check_refusal(claimed.err_value, digest)
            return
        claim = claimed.ok_value
        history.pause()
        if history.choose(3) == 2:
            history.record_not_run(claim)
            self._claims.give_up(claim)
            return
        history.dispatch(claim)
        history.pause()
        if history.choose(3) == 2:
            self._claims.record_outcome(claim, ClaimState.UNKNOWN, None)
            return
        response = ReceivedResponse(200, "text/plain", digest.encode())
        self._claims.record_outcome(claim, ClaimState.DONE, response)

    def _check_refusal(self, refusal: Refusal | Replay, digest: str) -> None:
        record = self._history.record
        if isinstance(refusal, Replay):
            own_body = refusal.record.body == digest.encode()
            record.check(
                bool(record.dispatches) and own_body,
                "replayed a wrong response",
            )
        elif refusal.execution is Execution.RAN:
            record.check(
                bool(record.dispatches), "reported ran without a dispatch"
            )
        elif refusal.execution is Execution.NOT_RUN:
            dispatched_digests = {
                claim.record.body_digest for claim in record.dispatches
            }
            record.check(
                refusal.status == 422 and digest not in dispatched_digests,
                "refused a dispatched body as not_run",
            )
            record.refused_digests.add(digest)

    def _look_up(self) -> None:
        dispatches_before = len(self._history.record.dispatches)
        looked_up = self._claims.look_up(CLIENT, self._history.key)
        if looked_up.is_err() or looked_up.ok() is None:
            return
        claim = looked_up.unwrap()
        assert claim is not None
        if execution_of(claim) is Execution.NOT_RUN:
            self._history.record.check(
                not dispatches_before, "looked up not_run after a dispatch"
            )

    def _run_write_retries(self) -> None:
        for _ in range(_RETRY_PASSES):
            if not self._write_retries.counts().waiting:
                return
            self._history.advance_clock()
            self._history.pause()
            self._write_retries.run_due()


def run_history(
    choose: Choose, make: MakeClaims = make_real_claims
) -> HistoryRecord:
    """Runs one history and returns what happened."""
    return History(choose, make).run()


__all__ = [
    "CLIENT",
    "HistoryRecord",
    "KEYS",
    "MakeClaims",
    "make_real_claims",
    "run_history",
]
