"""Messages between VMs about the origins of streams, one in each datagram.

A VM ignores messages and fields that it does not know, so that VMs of several
releases can exchange messages.
"""

from __future__ import annotations

import dataclasses
import json
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.streams.stream_origins import Origin
from burdockspan.values.json_reader import read_json

# Below the size at which datagrams are fragmented.
MAX_DATAGRAM_BYTES = 1400
_MAX_TEXT_CHARACTERS = 256


@dataclasses.dataclass(frozen=True)
class OriginQuestion:
    """Asks for the origin of a stream, by the request that began it."""

    request_id: str


@dataclasses.dataclass(frozen=True)
class OriginStatement:
    """Says where a stream began.

    Attributes:
      request_id: request that began the stream.
      origin: where it began; None if the sender does not know.
      is_disputed: whether the sender knows several origins.
    """

    request_id: str
    origin: Origin | None
    is_disputed: bool = False


OriginMessage = OriginQuestion | OriginStatement


def encode(message: OriginMessage) -> bytes:
    """Returns the datagram of a message."""
    value: dict[str, Any] = {"request_id": message.request_id}
    if isinstance(message, OriginQuestion):
        value["type"] = "origin_question"
    else:
        value["type"] = "origin"
        if message.is_disputed:
            value["disputed"] = True
        if message.origin is not None:
            value["service"] = message.origin.service
            value["software_version"] = message.origin.software_version
    return json.dumps(value, separators=(",", ":")).encode()


def decode(datagram: bytes) -> Result[OriginMessage, str]:
    """Returns the message in a datagram, or an error text."""
    read = read_json(datagram)
    if isinstance(read, Err):
        return read
    value = read.ok_value
    if not isinstance(value, dict):
        return Err("the message is not an object")
    request_id = _read_text(value, "request_id")
    if not request_id:
        return Err("request_id is missing or malformed")
    if value.get("type") == "origin_question":
        return Ok(OriginQuestion(request_id))
    if value.get("type") != "origin":
        return Err("the type of the message is unknown")
    if value.get("disputed") is True:
        return Ok(OriginStatement(request_id, None, is_disputed=True))
    if "service" not in value:
        return Ok(OriginStatement(request_id, None))
    service = _read_text(value, "service")
    version = _read_text(value, "software_version")
    if service is None or version is None:
        return Err("service or software_version is malformed")
    return Ok(OriginStatement(request_id, Origin(service, version)))


def _read_text(value: dict[str, Any], key: str) -> str | None:
    text = value.get(key)
    if not isinstance(text, str) or len(text) > _MAX_TEXT_CHARACTERS:
        return None
    return text


__all__ = [
    "MAX_DATAGRAM_BYTES",
    "OriginMessage",
    "OriginQuestion",
    "OriginStatement",
    "decode",
    "encode",
]
