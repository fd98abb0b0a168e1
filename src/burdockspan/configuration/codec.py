"""Conversion of configuration documents to and from JSON values."""

from __future__ import annotations

import json
from typing import Any

import cattrs
from result import Err, Ok, Result

from burdockspan.configuration.document import Configuration

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def encode_configuration(configuration: Configuration) -> dict[str, Any]:
    """Returns the document as JSON values."""
    encoded: dict[str, Any] = _CONVERTER.unstructure(configuration)
    return encoded


def decode_configuration(value: object) -> Result[Configuration, str]:
    """Returns the document of JSON values, or what is wrong with them."""
    try:
        return Ok(_CONVERTER.structure(value, Configuration))
    except Exception as error:  # cattrs raises several unrelated types.
        return Err("; ".join(cattrs.transform_error(error)))


def dump_configuration(configuration: Configuration) -> bytes:
    """Returns the document as UTF-8 JSON with sorted keys."""
    encoded = encode_configuration(configuration)
    text = json.dumps(encoded, sort_keys=True, separators=(",", ":"))
    return text.encode()


def load_configuration(data: bytes) -> Result[Configuration, str]:
    """Returns the document of UTF-8 JSON, or what is wrong with it."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Err(f"configuration is not JSON: {error}")
    return decode_configuration(value)


__all__ = [
    "decode_configuration",
    "dump_configuration",
    "encode_configuration",
    "load_configuration",
]
