"""Documents of other programs are read whatever they hold."""

from __future__ import annotations

import json
import math
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from burdockspan.values.json_reader import read_json
from tests.support.json_values import JSON_VALUES

_DEEP = "[" * 100_000 + "]" * 100_000


def _dump(value: Any) -> bytes:
    return json.dumps(value).encode("utf-8", "surrogatepass")


def _is_safe(value: Any, depth: int = 0) -> bool:
    if depth > 1000:
        return False
    if isinstance(value, str):
        return bool(value.encode() or True)
    if isinstance(value, int):
        return abs(value) < 2**63
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, dict):
        return all(
            _is_safe(key) and _is_safe(part, depth + 1)
            for key, part in value.items()
        )
    if isinstance(value, list):
        return all(_is_safe(part, depth + 1) for part in value)
    return value is None


class ReadJsonTest(unittest.TestCase):
    def test_ordinary_document_is_read_unchanged(self) -> None:
        """Guards against values that the bounds change."""
        value = {"a": [1, -2.5, True, None, "ü\U0001f600"], "b": {"c": 2**53}}
        for ensure_ascii in (True, False):
            text = json.dumps(value, ensure_ascii=ensure_ascii)
            self.assertEqual(read_json(text.encode()).ok(), value)

    def test_unreadable_value_leaves_the_others(self) -> None:
        """Guards against one entry that hides all others of a list."""
        for text in (
            "1" * 401,
            "9" * 5000,
            "-" + "9" * 5000,
            "1e999",
            "NaN",
            "-Infinity",
            _DEEP,
            '{"a":' * 5000 + "1" + "}" * 5000,
            "[{}," * 3000 + '"]"' + "]" * 3000,
        ):
            with self.subTest(text[:20]):
                document = f'{{"items":[{text},"a ] \\" ["],"rev":7}}'
                value = read_json(document.encode()).ok()
                assert value is not None
                self.assertEqual(value["rev"], 7)
                self.assertEqual(value["items"][1], 'a ] " [')
                self.assertTrue(_is_safe(value))

    def test_bytes_that_are_no_text_leave_the_others(self) -> None:
        """Guards against a text that cannot be encoded again."""
        document = b'{"a":"\xff\xfe","b":"\\ud800","c":"\\ud83d\\ude00"}'
        value = read_json(document).ok()
        assert value is not None
        self.assertEqual(value["c"], "\U0001f600")
        self.assertTrue(_is_safe(value))

    def test_document_that_is_not_json_is_an_error(self) -> None:
        """Guards against an exception in the thread that reads."""
        unclosed = _DEEP[:-1].encode()
        for data in (b"", b"{", b"[" * 100_000, b'"\\', b"\xff", unclosed):
            with self.subTest(data[:10]):
                self.assertTrue(read_json(data).is_err())

    @given(st.binary(max_size=64) | JSON_VALUES.map(_dump))
    def test_any_document_is_read_or_an_error(self, data: bytes) -> None:
        """Guards against an exception in the thread that reads."""
        read = read_json(data)
        self.assertTrue(read.is_err() or _is_safe(read.ok()))
