from __future__ import annotations

import socket

from burdockspan.claims.record import ClaimState
from tests.support.caller import AUTHORIZATION, WAIT_S, Answer, ServedTest

_BOOK = "/services/app/book"


class BadInputTest(ServedTest):
    """Each bad input is refused before anything runs or stays held."""

    def check(
        self,
        answer: Answer,
        status: int,
        reason: str,
        field: str,
        limit: str | None = None,
    ) -> None:
        problem = answer.problem()
        self.assertEqual((answer.status, problem["reason"]), (status, reason))
        self.assertEqual(problem["field"], field)
        self.assertEqual(problem["error"]["param"], field)
        self.assertEqual(problem["outcome"], "not_run")
        self.assertEqual(problem.get("limit"), limit)
        self.assertIn("application/problem+json", answer.headers.values())
        self.assertEqual(len(problem["request_id"]), 32)
        held = [
            key
            for key, record in self.claims.by_key.items()
            if record.state is ClaimState.HELD
        ]
        self.assertEqual(held, [])
        self.assertIsNone(self.router.submission)

    def test_json_malformed_is_refused(self) -> None:
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

    def test_messages_malformed_are_refused(self) -> None:
        for messages in (None, "hi", [], [{"content": "x"}], ["hi"]):
            with self.subTest(messages=messages):
                body = {"model": "m1", "messages": messages}
                answer = self.call("POST", "/v1/chat/completions", body)
                self.check(answer, 400, "malformed", "messages")

    def test_model_missing_is_refused(self) -> None:
        answer = self.call("POST", "/v1/completions", {"prompt": "x"})
        self.check(answer, 400, "malformed", "model")

    def test_model_unknown_is_refused(self) -> None:
        answer = self.complete(model="other")
        self.check(answer, 404, "unknown_model", "model")

    def test_service_unknown_is_refused(self) -> None:
        for name in ("other", "lm", ""):
            with self.subTest(name=name):
                answer = self.call("GET", f"/services/{name}/x")
                self.check(answer, 404, "unknown_service", "path")

    def test_body_over_the_limit_is_refused(self) -> None:
        answer = self.complete(prompt="x" * 25_000)
        self.check(answer, 413, "body_too_large", "body", "20000 bytes")

    def test_body_far_over_the_limit_is_refused_unread(self) -> None:
        # The server itself refuses; it must give the same document.
        answer = self.send_raw(b"Content-Length: 90000000\r\n")
        self.check(answer, 413, "body_too_large", "body", "20000 bytes")

    def test_prompt_over_engine_memory_is_refused(self) -> None:
        # 2 pieces of 1,000 tokens hold about 8,000 bytes.
        answer = self.complete(prompt="x" * 8000)
        self.check(answer, 400, "prompt_too_large", "prompt", "2000 tokens")

    def test_answer_over_engine_memory_is_refused(self) -> None:
        answer = self.complete(max_tokens=2000)
        self.check(answer, 400, "prompt_too_large", "max_tokens", "2000 tokens")

    def test_content_length_conflicts_are_refused(self) -> None:
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

    def test_key_repeated_is_refused(self) -> None:
        answer = self.send_raw(b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n")
        self.check(answer, 400, "malformed", "Idempotency-Key")

    def test_priority_malformed_is_refused(self) -> None:
        answer = self.complete({"Burdockspan-Priority": "high"})
        self.check(
            answer,
            400,
            "malformed",
            "Burdockspan-Priority",
            "urgent or patient",
        )

    def test_deadline_malformed_is_refused(self) -> None:
        limit = "more than 0 and at most 86400 seconds"
        for text in ("soon", "1e9", "nan", "inf", "", "1.2.3", "99999999"):
            with self.subTest(text=text):
                answer = self.complete({"Burdockspan-Deadline": text})
                field = "Burdockspan-Deadline"
                self.check(answer, 400, "malformed", field, limit)

    def test_deadline_past_is_refused(self) -> None:
        limit = "more than 0 and at most 86400 seconds"
        for text in ("-3", "0", "0.0"):
            with self.subTest(text=text):
                answer = self.complete({"Burdockspan-Deadline": text})
                field = "Burdockspan-Deadline"
                self.check(answer, 400, "deadline", field, limit)

    def test_key_invalid_is_refused(self) -> None:
        limit = "1 to 255 printable ASCII characters"
        for key in ("k" * 256, "a\tb", "a\x01b", "é", ""):
            with self.subTest(key=key):
                headers = {"Idempotency-Key": key}
                answer = self.call("POST", _BOOK, {}, headers)
                field = "Idempotency-Key"
                self.check(answer, 400, "idempotency_key_invalid", field, limit)

    def test_key_missing_is_refused(self) -> None:
        answer = self.call("POST", _BOOK, {})
        self.check(answer, 400, "idempotency_key_required", "Idempotency-Key")

    def test_token_unknown_is_refused(self) -> None:
        for text in ("", "Bearer", "Bearer wrong", "Basic secret"):
            with self.subTest(text=text):
                answer = self.complete({"Authorization": text})
                self.check(answer, 401, "unauthenticated", "Authorization")

    def test_path_segments_that_hide_a_route_are_refused(self) -> None:
        # Guards P5: such a path could reach a non-idempotent action through
        # an idempotent route.
        for path in ("/x/../book", "/x/%2e%2e/book", "//book", "/./book"):
            with self.subTest(path=path):
                answer = self.call("GET", "/services/app" + path)
                self.check(answer, 400, "malformed", "path")

    def test_method_not_allowed_is_refused(self) -> None:
        answer = self.call("DELETE", "/services/app/x")
        self.check(answer, 405, "method_not_allowed", "method", "GET")

    def test_path_unknown_is_refused(self) -> None:
        self.check(self.call("GET", "/v2/x"), 404, "unknown_path", "path")

    def send_raw(self, lines: bytes) -> Answer:
        host, _, port = self.server.address.rpartition(":")
        token = AUTHORIZATION["Authorization"].encode()
        with socket.create_connection((host, int(port)), WAIT_S) as sock:
            sock.sendall(
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: " + token + b"\r\n" + lines + b"\r\n"
            )
            text = b""
            while part := sock.recv(65_536):
                text += part
        head, _, body = text.partition(b"\r\n\r\n")
        rows = head.decode().split("\r\n")
        headers = dict(row.split(": ", 1) for row in rows[1:])
        return Answer(int(rows[0].split()[1]), headers, body)


class AdmissionTest(ServedTest):
    def test_process_without_configuration_refuses_with_retry(self) -> None:
        self.router.configuration = None
        answer = self.complete()
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.problem()["reason"], "no_configuration")
        self.assertEqual(answer.headers["Retry-After"], "1")

    def test_stopping_process_cannot_say_that_a_key_did_not_run(self) -> None:
        # An earlier call with the key may have run through another VM.
        self.router.is_ready = False
        headers = {"Idempotency-Key": "k1"}
        keyed = self.call("POST", _BOOK, {}, headers)
        self.assertEqual(keyed.problem()["outcome"], "unknown")
        self.assertEqual(self.complete().problem()["outcome"], "not_run")
