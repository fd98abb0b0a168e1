from __future__ import annotations

import socket

from burdockspan.claims.record import ClaimState
from tests.support.caller import (
    AUTHORIZATION,
    WAIT_S,
    CallerResponse,
    HttpServerTestCase,
)

_BOOK = "/services/app/book"


class InvalidInputTest(HttpServerTestCase):
    """Invalid input is refused before a call runs or claims a key."""

    def check(
        self,
        answer: CallerResponse,
        status: int,
        reason: str,
        field: str,
        limit: str | None = None,
    ) -> None:
        problem = answer.json()
        self.assertEqual((answer.status, problem["reason"]), (status, reason))
        self.assertEqual(problem["field"], field)
        self.assertEqual(problem["error"]["param"], field)
        self.assertEqual(problem["outcome"], "not_run")
        self.assertEqual(problem.get("limit"), limit)
        self.assertIn("application/problem+json", answer.headers.values())
        self.assertEqual(len(problem["request_id"]), 32)
        claimed = [
            key
            for key, record in self.claims.by_key.items()
            if record.state is ClaimState.HELD
        ]
        self.assertEqual(claimed, [])
        self.assertIsNone(self.router.submission)

    def test_malformed_json_is_refused(self) -> None:
        for body in (b"{", b"[]", b'{"a": NaN}', b"\xff", b"", b"[" * 9000):
            with self.subTest(body=body[:10]):
                answer = self.call("POST", "/v1/completions", body)
                self.check(answer, 400, "malformed", "body")

    def test_field_of_wrong_type_is_refused(self) -> None:
        for field, value, limit in (
            ("model", 3, None),
            ("prompt", {"a": 1}, None),
            ("prompt", [], None),
            ("stream", "yes", None),
            ("max_tokens", 0, "at least 1"),
            ("max_tokens", True, "at least 1"),
            ("max_tokens", 1.5, "at least 1"),
            ("n", 2, "1"),
        ):
            with self.subTest(field=field, value=value):
                answer = self.complete(**{field: value})
                self.check(answer, 400, "malformed", field, limit)

    def test_malformed_messages_are_refused(self) -> None:
        for messages in (None, "hi", [], [{"content": "x"}], ["hi"]):
            with self.subTest(messages=messages):
                body = {"model": "m1", "messages": messages}
                answer = self.call("POST", "/v1/chat/completions", body)
                self.check(answer, 400, "malformed", "messages")

    def test_missing_model_is_refused(self) -> None:
        answer = self.call("POST", "/v1/completions", {"prompt": "x"})
        self.check(answer, 400, "malformed", "model")

    def test_unknown_model_is_refused(self) -> None:
        answer = self.complete(model="other")
        self.check(answer, 404, "unknown_model", "model")

    def test_unknown_service_is_refused(self) -> None:
        for name in ("other", "lm", ""):
            with self.subTest(name=name):
                answer = self.call("GET", f"/services/{name}/x")
                self.check(answer, 404, "unknown_service", "path")

    def test_body_over_the_limit_is_refused(self) -> None:
        answer = self.complete(prompt="x" * 25_000)
        self.check(answer, 413, "body_too_large", "body", "20000 bytes")

    def test_body_over_twice_the_limit_is_refused_unread(self) -> None:
        # The server refuses it, with the same problem document as the
        # application.
        answer = self.send_raw(b"Content-Length: 90000000\r\n")
        self.check(answer, 413, "body_too_large", "body", "20000 bytes")

    def test_prompt_larger_than_engine_memory_is_refused(self) -> None:
        # Two pieces of 1,000 tokens have memory for about 8,000 bytes.
        answer = self.complete(prompt="x" * 8000)
        self.check(answer, 400, "prompt_too_large", "prompt", "2000 tokens")

    def test_max_tokens_larger_than_engine_memory_are_refused(self) -> None:
        answer = self.complete(max_tokens=2000)
        self.check(answer, 400, "prompt_too_large", "max_tokens", "2000 tokens")

    def test_conflicting_content_lengths_are_refused(self) -> None:
        # Guards against request smuggling.
        for lines in (
            b"Content-Length: 5\r\nContent-Length: 6\r\n",
            b"Content-Length: 5\r\ncontent-length: 5\r\n",
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 5, 5\r\n",
            b"Content-Length: -5\r\n",
        ):
            with self.subTest(lines=lines):
                answer = self.send_raw(lines)
                self.check(answer, 400, "malformed", "Content-Length")

    def test_repeated_key_is_refused(self) -> None:
        answer = self.send_raw(b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n")
        self.check(answer, 400, "malformed", "Idempotency-Key")

    def test_malformed_priority_is_refused(self) -> None:
        answer = self.complete({"Burdockspan-Priority": "high"})
        self.check(
            answer,
            400,
            "malformed",
            "Burdockspan-Priority",
            "urgent or patient",
        )

    def test_malformed_deadline_is_refused(self) -> None:
        limit = "more than 0 and at most 86400 seconds"
        for text in ("soon", "1e9", "nan", "inf", "", "1.2.3", "99999999"):
            with self.subTest(text=text):
                answer = self.complete({"Burdockspan-Deadline": text})
                field = "Burdockspan-Deadline"
                self.check(answer, 400, "malformed", field, limit)

    def test_past_deadline_is_refused(self) -> None:
        limit = "more than 0 and at most 86400 seconds"
        for text in ("-3", "0", "0.0"):
            with self.subTest(text=text):
                answer = self.complete({"Burdockspan-Deadline": text})
                field = "Burdockspan-Deadline"
                self.check(answer, 400, "deadline", field, limit)

    def test_invalid_key_is_refused(self) -> None:
        limit = "1 to 255 printable ASCII characters"
        for key in ("k" * 256, "a\tb", "a\x01b", "é", ""):
            with self.subTest(key=key):
                headers = {"Idempotency-Key": key}
                answer = self.call("POST", _BOOK, {}, headers)
                field = "Idempotency-Key"
                self.check(answer, 400, "idempotency_key_invalid", field, limit)

    def test_missing_key_is_refused(self) -> None:
        answer = self.call("POST", _BOOK, {})
        self.check(answer, 400, "idempotency_key_required", "Idempotency-Key")

    def test_unknown_token_is_refused(self) -> None:
        for text in ("", "Bearer", "Bearer wrong", "Basic secret"):
            with self.subTest(text=text):
                answer = self.complete({"Authorization": text})
                self.check(answer, 401, "unauthenticated", "Authorization")

    def test_path_with_dot_or_empty_segments_is_refused(self) -> None:
        # Such a path could run a non-idempotent call through an idempotent
        # route.
        for path in ("/x/../book", "/x/%2e%2e/book", "//book", "/./book"):
            with self.subTest(path=path):
                answer = self.call("GET", "/services/app" + path)
                self.check(answer, 400, "malformed", "path")

    def test_query_with_control_characters_is_refused(self) -> None:
        # The HTTP client would reject it only after the key was claimed.
        answer = self.send_raw(b"", b"GET /services/app/x?a=\x01")
        self.check(answer, 400, "malformed", "query")

    def test_method_not_allowed_is_refused(self) -> None:
        answer = self.call("DELETE", "/services/app/x")
        self.check(answer, 405, "method_not_allowed", "method", "GET")

    def test_unknown_path_is_refused(self) -> None:
        self.check(self.call("GET", "/v2/x"), 404, "unknown_path", "path")

    def send_raw(
        self, lines: bytes, method_and_path: bytes = b"POST /v1/completions"
    ) -> CallerResponse:
        host, _, port = self.server.address.rpartition(":")
        token = AUTHORIZATION["Authorization"].encode()
        with socket.create_connection((host, int(port)), WAIT_S) as sock:
            sock.sendall(
                method_and_path
                + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                b"Authorization: " + token + b"\r\n" + lines + b"\r\n"
            )
            text = b""
            while part := sock.recv(65_536):
                text += part
        head, _, body = text.partition(b"\r\n\r\n")
        head_lines = head.decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head_lines[1:])
        return CallerResponse(int(head_lines[0].split()[1]), headers, body)


class AdmissionTest(HttpServerTestCase):
    def test_refusal_without_configuration_allows_a_retry(self) -> None:
        self.router.configuration = None
        answer = self.complete()
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.json()["reason"], "no_configuration")
        self.assertEqual(answer.headers["Retry-After"], "1")

    def test_refusal_while_stopping_is_unknown_for_a_call_with_a_key(
        self,
    ) -> None:
        # An earlier call with the key may have run by way of another VM.
        self.router.is_ready = False
        headers = {"Idempotency-Key": "k1"}
        keyed = self.call("POST", _BOOK, {}, headers)
        self.assertEqual(keyed.json()["outcome"], "unknown")
        self.assertEqual(self.complete().json()["outcome"], "not_run")
