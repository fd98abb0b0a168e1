"""Requests of callers are decoded, and malformed ones are refused."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from burdockspan.gateway.callers.messages import CallerConnection, RawRequest
from burdockspan.platform.headers import (
    filter_request_headers,
    filter_response_headers,
)
from burdockspan.platform.ingress import decode_call


def _raw(**headers: str) -> RawRequest:
    named = {name.replace("_", "-"): v for name, v in headers.items()}
    return RawRequest(
        method="POST",
        target="/a/b?c=%20",
        headers=tuple({"Host": "App.Example", **named}.items()),
        body=b"x",
        client="10.0.0.1",
        arrived_s=1.0,
        caller=CallerConnection(),
    )


class TestDecodeCall(unittest.TestCase):
    def test_request_is_decoded(self) -> None:
        """Guards against wrong units, and numbers in the wrong order."""
        decoded = decode_call(
            _raw(
                Request_Id="r1",
                Deadline_Ms="14000",
                Token_Count="5200,1760",
                Length_Hint="700",
                Last_Event_Id="4",
            )
        )
        assert isinstance(decoded, Ok)
        call = decoded.ok_value
        assert call.generation_size is not None
        self.assertEqual((call.host, call.path), ("app.example", "/a/b"))
        self.assertEqual(call.caller_timeout_s, 14.0)
        self.assertEqual(
            (
                call.generation_size.prompt_tokens,
                call.generation_size.max_output_tokens,
            ),
            (5200, 1760),
        )
        self.assertEqual(call.generation_size.expected_output_tokens, 700)
        self.assertEqual(call.last_event_id, "4")

    def test_malformed_requests_are_refused(self) -> None:
        """Guards against defaults for malformed headers."""
        for changes in (
            {"Request_Id": ""},
            {"Request_Id": "a b"},
            {"Request_Id": "x" * 300},
            {"Deadline_Ms": "-1"},
            {"Deadline_Ms": "soon"},
            {"Deadline_Ms": "1e9"},
            {"Token_Count": "5"},
            {"Token_Count": "5,x"},
            {"Token_Count": "5,6,7"},
        ):
            with self.subTest(changes):
                headers = {"Request_Id": "r1", **changes}
                self.assertIsInstance(decode_call(_raw(**headers)), Err)

    def test_malformed_estimate_is_ignored(self) -> None:
        """Guards against a refusal because of an optional header."""
        decoded = decode_call(
            _raw(Request_Id="r", Token_Count="9,8", Length_Hint="?")
        )
        size = decoded.unwrap().generation_size
        assert size is not None
        self.assertEqual(size.expected_output_tokens, 8)

    def test_shared_parts_of_a_prompt_are_decoded(self) -> None:
        """Guards against parts that are missed, or a request's own part."""
        for text, parts in (
            ("5C1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
            (" 5c1e : 800 , 91bd", ("5c1e",)),
            ("e440:250", ()),
            ("", ()),
            (",,:1,a:2", ()),
        ):
            call = decode_call(_raw(Request_Id="r", Prompt_Prefix=text))
            self.assertEqual(call.unwrap().shared_parts, parts, text)

    @given(st.text(max_size=40), st.text(max_size=40), st.text(max_size=40))
    def test_any_header_decodes_or_is_refused(
        self, deadline: str, count: str, hint: str
    ) -> None:
        """Guards against a header that crashes the handling thread."""
        decode_call(
            _raw(
                Request_Id="r",
                Deadline_Ms=deadline,
                Token_Count=count,
                Length_Hint=hint,
            )
        )


class TestHeaders(unittest.TestCase):
    def test_connection_does_not_remove_identifying_headers(self) -> None:
        """Guards against callers that remove the size of their request."""
        kept = filter_request_headers(
            (
                ("Connection", "Token-Count, X-Mine"),
                ("Token-Count", "1,2"),
                ("X-Mine", "1"),
            )
        )
        self.assertEqual(kept, (("Token-Count", "1,2"),))

    def test_response_keeps_its_length(self) -> None:
        """Guards against truncated responses that look complete."""
        kept = filter_response_headers(
            (("Content-Length", "5"), ("Keep-Alive", "timeout=5"), ("A", "b"))
        )
        self.assertEqual(kept, (("Content-Length", "5"), ("A", "b")))
