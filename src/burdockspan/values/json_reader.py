"""Reads JSON that other programs have written.

Whatever a document holds, the values that are read from it are safe to handle:
numbers are finite, whole numbers have at most 64 bits, texts can be encoded as
UTF-8, and the depth is bounded. A value beyond that is read as null, so that
the others around it hold. A document that is not JSON is an error.
"""

from __future__ import annotations

import json
import math
import re
from typing import Any

from result import Err, Ok, Result

_MAX_INTEGER = 2**63
# Digits of the largest integer, and a sign.
_MAX_INTEGER_CHARACTERS = 20
# Levels of lists and objects. Documents of the platform have fewer than ten.
_MAX_DEPTH_LEVELS = 64
# Texts, and runs of brackets outside of texts.
_TOKEN_PATTERN = re.compile(
    r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+', re.DOTALL
)


def read_json(data: bytes) -> Result[Any, str]:
    """Returns the value of a document in UTF-8, or an error text."""
    text = data.decode(errors="replace")
    try:
        value = _decode(text)
    except RecursionError:
        return _read_deep(text)
    except ValueError:
        return Err("not JSON")
    if "\\ud" in text or "\\uD" in text:
        value = _replace_surrogates(value)
    return Ok(value)


def _read_deep(text: str) -> Result[Any, str]:
    try:
        value = _decode(_remove_deep_values(text))
    except (ValueError, RecursionError):
        return Err("not JSON")
    return Ok(_replace_surrogates(value))


def _parse_integer(text: str) -> int | None:
    if len(text) > _MAX_INTEGER_CHARACTERS:
        return None
    value = int(text)
    return value if abs(value) < _MAX_INTEGER else None


def _parse_float(text: str) -> float | None:
    value = float(text)
    return value if math.isfinite(value) else None


_decode = json.JSONDecoder(
    parse_int=_parse_integer,
    parse_float=_parse_float,
    parse_constant=lambda _: None,
).decode


def _replace_surrogates(value: Any) -> Any:
    """Returns a value without surrogates that have no partner.

    An escape in a text may stand for one; UTF-8 has none.
    """
    text = json.dumps(value, ensure_ascii=False)
    encoded = text.encode("utf-16", "surrogatepass")
    return json.loads(encoded.decode("utf-16", "replace"))


def _remove_deep_values(text: str) -> str:
    """Returns a document with null in place of what is nested too deeply."""
    parts = []
    depth, kept_from = 0, 0
    for token in _TOKEN_PATTERN.finditer(text):
        start, length = token.start(), len(token[0])
        if text[start] in "[{":
            if depth <= _MAX_DEPTH_LEVELS < depth + length:
                cut_at = start + _MAX_DEPTH_LEVELS - depth
                parts += [text[kept_from:cut_at], "null"]
                kept_from = len(text)
            depth += length
        elif text[start] in "]}":
            if depth - length <= _MAX_DEPTH_LEVELS < depth:
                kept_from = start + depth - _MAX_DEPTH_LEVELS
            depth -= length
    return "".join((*parts, text[kept_from:]))


__all__ = ["read_json"]
