from __future__ import annotations

import http.client
import json

from burdockspan.claims.record import ClaimState
from burdockspan.values.placement import AttemptEvent, FailureKind
from burdockspan.values.refusal import Execution, Reason, Refusal
from tests.support.caller import CallerResponse, HttpServerTestCase
from tests.support.endpoint_fake import Handler
from tests.support.router_fake import make_configuration

_BOOK = "/services/app/book"
_UNKNOWN = {"state": "unknown", "outcome": "unknown"}


class ServicesTest(HttpServerTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.service.scripts["GET /"] = lambda handler: handler.send(
            200, b"hello"
        )
        self.service.scripts["POST /book"] = lambda handler: handler.send(
            201, {"booking": 1}
        )

    def book(self, key: str = "k1", body: object = "b") -> CallerResponse:
        return self.call("POST", _BOOK, body, {"Idempotency-Key": key})

    def look_up_outcome(self, key: str = "k1") -> dict[str, object]:
        return self.call("GET", f"/v1/outcomes/{key}").json()

    def test_idempotent_call_forwards_response_and_headers(self) -> None:
        self.service.scripts["GET /x"] = lambda handler: handler.send(
            203, b"hi", {"X-Kept": "1", "Keep-Alive": "2"}
        )
        headers = {"X-Sent": "3", "Burdockspan-Fencing": "9"}
        answer = self.call("GET", "/services/app/x%20y?q=%2F", None, headers)
        self.assertEqual((answer.status, answer.body), (203, b"hi"))
        self.assertEqual(answer.headers["X-Kept"], "1")
        self.assertNotIn("Keep-Alive", answer.headers)
        received = self.service.received[-1]
        self.assertEqual(received.path, "/x%20y?q=%2F")
        self.assertEqual(received.headers["X-Sent"], "3")
        # Neither the token nor forged headers of the caller may reach a
        # service.
        self.assertNotIn("Authorization", received.headers)
        self.assertNotIn("Burdockspan-Fencing", received.headers)

    def test_non_idempotent_call_runs_once_and_is_replayed(self) -> None:
        first, second = self.book(), self.book()
        self.assertEqual((first.status, second.status), (201, 201))
        self.assertEqual(first.body, second.body)
        self.assertEqual(second.headers["Idempotency-Replayed"], "true")
        self.assertEqual(self.service.count("POST /book"), 1)
        headers = self.service.received[-1].headers
        self.assertEqual(headers["Idempotency-Key"], "k1")
        self.assertEqual(headers["Burdockspan-Fencing"], "7")
        outcome = self.look_up_outcome()
        self.assertEqual(
            (outcome["state"], outcome["outcome"]), ("done", "ran")
        )

    def test_response_to_head_has_a_length_but_no_body(self) -> None:
        self.router.configuration = make_configuration(methods=("HEAD",))
        self.service.scripts["HEAD /x"] = lambda handler: handler.send(
            200, b"hello"
        )
        answer = self.call("HEAD", "/services/app/x")
        self.assertEqual((answer.status, answer.body), (200, b""))
        self.assertEqual(answer.headers["Content-Length"], "5")

    def test_response_without_a_body_is_forwarded(self) -> None:
        def send_empty(handler: Handler) -> None:
            handler.send_response(204)
            handler.end_headers()

        self.service.scripts["GET /x"] = send_empty
        answer = self.call("GET", "/services/app/x")
        self.assertEqual((answer.status, answer.body), (204, b""))

    def test_same_key_with_another_body_is_refused(self) -> None:
        self.book()
        answer = self.book(body="other")
        self.assertEqual(answer.status, 422)
        problem = answer.json()
        self.assertEqual(problem["reason"], "idempotency_key_reused")
        self.assertEqual(problem["field"], "Idempotency-Key")
        self.assertEqual(problem["outcome"], "not_run")
        self.assertEqual(self.service.count("POST /book"), 1)

    def test_call_over_a_lowered_body_limit_is_unknown(self) -> None:
        """Guards against `not_run` for a call that ran before the change."""
        self.assertEqual(self.book(body="x" * 1000).status, 201)
        self.set_limits(body_limit_bytes=500)
        answer = self.book(body="x" * 1000)
        self.assertEqual(answer.status, 413)
        self.assertEqual(answer.json()["outcome"], "unknown")
        # Bodies of more than twice the limit are refused by the server instead
        # of the application.
        answer = self.book(body="x" * 50_000)
        self.assertEqual(answer.status, 413)
        self.assertEqual(answer.json()["outcome"], "unknown")

    def test_non_idempotent_calls_never_share_a_connection(self) -> None:
        self.book("k1")
        self.book("k2")
        clients = {request.client for request in self.service.received}
        self.assertEqual(len(clients), 2)

    def test_call_without_a_response_is_unknown_and_not_retried(self) -> None:
        # The service may have run the call before the connection was lost.
        self.service.scripts["POST /book"] = lambda handler: (
            handler.close_early()
        )
        answer = self.book()
        self.assertEqual(answer.json()["outcome"], "unknown")
        self.assertEqual(self.service.count("POST /book"), 1)
        self.assertEqual(self.claims.state("k1"), ClaimState.UNKNOWN)
        self.assertEqual(self.look_up_outcome(), {"key": "k1", **_UNKNOWN})
        self.assertEqual(self.router.finished(), [(Execution.UNKNOWN, 502)])

    def test_call_refused_before_it_ran_is_retried(self) -> None:
        attempts: list[int] = []

        def refuse_once(handler: Handler) -> None:
            attempts.append(1)
            if len(attempts) == 1:
                handler.send(503, {"outcome": "not_run"})
            else:
                handler.send(201, {})

        self.service.scripts["POST /book"] = refuse_once
        self.assertEqual(self.book().status, 201)
        self.assertIn(("retry", FailureKind.LEAVING), self.router.calls)

    def test_conflict_of_the_application_is_forwarded(self) -> None:
        # A 409 without an `outcome` comes from the application.
        self.service.scripts["POST /book"] = lambda handler: handler.send(
            409, {"detail": "table is taken"}
        )
        self.assertEqual(self.book().status, 409)
        self.assertEqual(self.claims.state("k1"), ClaimState.DONE)
        self.assertNotIn("retry", [call[0] for call in self.router.calls])

    def test_refusal_of_the_node_gives_the_claim_up(self) -> None:
        self.router.refusal = Refusal(
            503, Execution.NOT_RUN, Reason.OVERLOADED, "full", 2.5
        )
        answer = self.book()
        self.assertEqual(answer.json()["outcome"], "not_run")
        self.assertEqual(answer.headers["Retry-After"], "3")
        self.assertEqual(self.claims.state("k1"), ClaimState.GIVEN_UP)
        self.router.refusal = None
        self.assertEqual(self.book().status, 201)

    def test_stale_attempt_is_not_dispatched(self) -> None:
        # An attempt can become stale while its process is paused after it has
        # claimed the key.
        self.router.is_current = lambda event: (
            event is not AttemptEvent.DISPATCHED
        )
        self.assertEqual(self.book().json()["outcome"], "not_run")
        self.assertEqual(self.service.count("POST /book"), 0)
        self.assertEqual(self.claims.state("k1"), ClaimState.GIVEN_UP)

    def test_response_after_the_attempt_ended_is_recorded(self) -> None:
        self.router.is_current = lambda event: (
            event is not AttemptEvent.FIRST_BYTE
        )
        self.assertEqual(self.book().json()["outcome"], "ran")
        self.assertEqual(self.claims.state("k1"), ClaimState.DONE)

    def test_response_over_the_limit_is_not_stored(self) -> None:
        self.service.scripts["POST /book"] = lambda handler: handler.send(
            200, b"x" * 70_000
        )
        self.assertEqual(len(self.book().body), 70_000)
        second = self.book()
        self.assertEqual(second.status, 409)
        self.assertEqual(second.json()["outcome"], "ran")

    def test_truncated_response_is_incomplete_for_the_caller(self) -> None:
        # The caller must be able to detect that the rest is missing.
        def close_early(handler: Handler) -> None:
            handler.start_stream("text/plain")
            handler.send_chunk(b"x" * 70_000)
            handler.close_early()

        self.service.scripts["GET /x"] = close_early
        self.service.scripts["POST /book"] = close_early
        for method, path in (("GET", "/services/app/x"), ("POST", _BOOK)):
            headers = {"Idempotency-Key": "k9"} if method == "POST" else {}
            with self.subTest(method=method):
                _, response = self.open(method, path, None, headers)
                with self.assertRaises(http.client.IncompleteRead):
                    response.read()
        self.wait_until(lambda: self.claims.state("k9") is ClaimState.UNKNOWN)

    def test_short_truncated_response_is_refused_with_outcome_unknown(
        self,
    ) -> None:
        def close_early(handler: Handler) -> None:
            handler.start_stream("text/plain")
            handler.send_chunk(b"part")
            handler.close_early()

        self.service.scripts["POST /book"] = close_early
        self.assertEqual(self.book().json()["outcome"], "unknown")
        self.assertEqual(self.claims.state("k1"), ClaimState.UNKNOWN)

    def test_response_is_forwarded_as_it_arrives(self) -> None:
        def stream(handler: Handler) -> None:
            handler.start_stream("text/plain")
            handler.send_chunk(b"first")
            handler.stall()

        self.service.scripts["GET /x"] = stream
        _, response = self.open("GET", "/services/app/x")
        self.assertEqual(response.read(5), b"first")
        self.service.closing.set()

    def test_outcome_without_claim_or_platform_is_unknown(self) -> None:
        outcome = self.look_up_outcome("new")
        self.assertEqual(
            (outcome["state"], outcome["outcome"]), ("absent", "unknown")
        )
        self.claims.unreachable = True
        answer = self.call("GET", "/v1/outcomes/k1")
        self.assertEqual(answer.status, 503)
        self.assertEqual(json.loads(answer.body)["outcome"], "unknown")
        self.assertEqual(answer.headers["Retry-After"], "1")
