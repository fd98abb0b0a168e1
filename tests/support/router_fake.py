"""Fakes of the router and of the claims, which the HTTP layer calls."""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from burdockspan.claims import refusals
from burdockspan.claims.record import (
    ClaimRecord,
    ClaimState,
    HeldClaim,
    Replay,
    finished_record,
)
from burdockspan.claims.store import Claims
from burdockspan.configuration.document import (
    Client,
    Configuration,
    Model,
    Policy,
    Route,
    Service,
)
from burdockspan.object_api.objects import PlatformError
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import AttemptEvent, Failure, Placement
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.router import Router
from burdockspan.values.submission import CallKind, Submission

TOKEN = "secret"


class RouterFake:
    """A router that places all attempts on fixed endpoints.

    Attributes:
      prefill: prefill engine of completions.
      decode: decode engine of completions.
      service: endpoint of service calls.
      attempts_limit: number of attempts before a retry is refused.
      last_execution: execution that the refusal of a retry reports.
      calls: recorded calls, each a tuple of its name and of the arguments that
        tests check.
      submission: the latest submission.
      refusal: if set, refuses all submissions.
      is_current: decides whether recording an event returns True.
      aborts: registered abort functions.
      configuration: configuration in force.
      is_ready: whether the router is ready and in rotation.
    """

    def __init__(self, policy: Policy | None = None) -> None:
        self.prefill: Endpoint | None = None
        self.decode: Endpoint | None = None
        self.service: Endpoint | None = None
        self.attempts_limit = 2
        self.last_execution = Execution.UNKNOWN
        self.calls: list[tuple[Any, ...]] = []
        self.submission: Submission | None = None
        self.refusal: Refusal | None = None
        self.is_current: Callable[[AttemptEvent], bool] = lambda event: True
        self.aborts: list[Callable[[], None]] = []
        self.configuration: Configuration | None = make_configuration(policy)
        self.is_ready = True
        self._sequence = itertools.count(1)

    def make(self) -> Router:
        """Returns the router whose functions this fake provides."""
        return Router(
            make_attempt_id=self._make_attempt_id,
            submit=self._submit,
            retry=self._retry,
            record_event=self._record_event,
            register_abort=lambda attempt, abort: self.aborts.append(abort),
            finish=lambda *args: self.calls.append(("finish", *args[1:])),
            release=lambda attempt, name: self.calls.append(("release", name)),
            configuration=lambda: self.configuration,
            is_ready=lambda: self.is_ready,
            in_rotation=lambda: self.is_ready,
            status=lambda: {"generation": 1},
        )

    def recorded_events(self) -> list[str]:
        """Returns the values of the recorded events, in their order."""
        return [
            call[1].value for call in self.calls if call[0] == "record_event"
        ]

    def finished(self) -> list[tuple[Execution, int]]:
        """Returns the execution and HTTP status of each finished request."""
        return [call[1:] for call in self.calls if call[0] == "finish"]

    def released(self) -> list[str]:
        """Returns the endpoints whose reservations were released."""
        return [call[1] for call in self.calls if call[0] == "release"]

    def _make_attempt_id(self) -> AttemptId:
        return AttemptId("entry-1", 1, next(self._sequence))

    def _submit(
        self, submission: Submission, gone: Callable[[], bool]
    ) -> Result[Placement, Refusal]:
        del gone
        self.submission = submission
        if self.refusal is not None:
            return Err(self.refusal)
        return Ok(self._place())

    def _retry(
        self, attempt: AttemptId, failure: Failure
    ) -> Result[Placement, Refusal]:
        del attempt
        self.calls.append(("retry", failure.kind))
        attempt_count = sum(call[0] == "retry" for call in self.calls) + 1
        if attempt_count > self.attempts_limit:
            return Err(
                Refusal(
                    502,
                    self.last_execution,
                    Reason.ENDPOINT_FAILED,
                    "no attempt is left",
                )
            )
        return Ok(self._place())

    def _place(self) -> Placement:
        assert self.submission is not None
        attempt = self._make_attempt_id()
        if self.submission.kind is CallKind.SERVICE:
            return Placement("r", attempt, service=self.service)
        return Placement("r", attempt, 1, self.prefill, self.decode)

    def _record_event(self, attempt: AttemptId, event: AttemptEvent) -> bool:
        del attempt
        self.calls.append(("record_event", event))
        return self.is_current(event)


class ClaimsFake:
    """Claims in memory.

    Attributes:
      by_key: claim records by client account and idempotency key.
      unreachable: whether looking up a claim fails.
    """

    def __init__(self) -> None:
        self.by_key: dict[tuple[str, str], ClaimRecord] = {}
        self.unreachable = False

    def make(self) -> Claims:
        """Returns the claims whose functions this fake provides."""
        return Claims(
            self._claim, self._give_up, self._record_outcome, self._look_up
        )

    def state(self, key: str) -> ClaimState:
        """Returns the state of the claim of the account alice on a key."""
        return self.by_key["alice", key].state

    def _claim(
        self, client: str, key: str, digest: str, holder: AttemptId
    ) -> Result[HeldClaim, Refusal | Replay]:
        current = self.by_key.get((client, key))
        if current is None or current.state is ClaimState.GIVEN_UP:
            record = ClaimRecord(digest, holder, ClaimState.HELD)
            self.by_key[client, key] = record
            # Services receive the version, 7, as the fencing token.
            return Ok(HeldClaim(client, key, 7, record))
        if current.body_digest != digest:
            return Err(
                Refusal(
                    422,
                    Execution.NOT_RUN,
                    Reason.KEY_REUSED,
                    "key was used with another body",
                    field="Idempotency-Key",
                )
            )
        if current.state is ClaimState.DONE:
            if current.body is None:
                return Err(refusals.answer_not_stored())
            return Err(Replay(current))
        return Err(
            Refusal(
                409, Execution.UNKNOWN, Reason.KEY_IN_PROGRESS, "in progress"
            )
        )

    def _give_up(self, claim: HeldClaim) -> Result[None, PlatformError]:
        return self._record_outcome(claim, ClaimState.GIVEN_UP, None)

    def _record_outcome(
        self, claim: HeldClaim, state: ClaimState, response: Any
    ) -> Result[None, PlatformError]:
        self.by_key[claim.client, claim.key] = finished_record(
            claim.record, state, response
        )
        return Ok(None)

    def _look_up(
        self, client: str, key: str
    ) -> Result[ClaimRecord | None, PlatformError]:
        if self.unreachable:
            return Err(PlatformError.UNAVAILABLE)
        return Ok(self.by_key.get((client, key)))


def make_configuration(
    policy: Policy | None = None, methods: tuple[str, ...] = ("GET",)
) -> Configuration:
    """Returns a configuration with one model and one plain service.

    Args:
      policy: policy of the configuration; None for the default one.
      methods: methods of the idempotent route.
    """
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    engines = Service(
        "lm", models=(Model("m1", 8000),), pieces=2, piece_tokens=1000
    )
    plain_service = Service(
        "app",
        routes=(
            Route("/", methods, True),
            Route("/book", ("POST",), False, timeout_s=5.0),
        ),
    )
    return Configuration(
        1,
        "atlas",
        clients=(Client("alice", digest, 100, 100),),
        services=(engines, plain_service),
        policy=policy or Policy(),
    )


__all__ = ["TOKEN", "ClaimsFake", "RouterFake", "make_configuration"]
