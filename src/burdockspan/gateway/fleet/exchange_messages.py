"""Datagrams in which the VMs of a fleet tell each other what they know.

A VM ignores topics that it does not know, so that VMs of several releases can
exchange messages.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterable, Mapping
from typing import Any

from result import Err, Ok, Result

from burdockspan.values.json_reader import read_json

# Below the size at which datagrams are fragmented.
MAX_DATAGRAM_BYTES = 1400
# What an envelope takes besides its topics.
_ENVELOPE_BYTES = 300
_MAX_NAME_CHARACTERS = 128


@dataclasses.dataclass(frozen=True)
class Moment:
    """A moment on the clock of one VM.

    Attributes:
      run: number that tells runs of the VM's process apart.
      boot_ms: milliseconds since the VM's boot, including time suspended.
    """

    run: int
    boot_ms: int


@dataclasses.dataclass(frozen=True)
class Envelope:
    """A datagram.

    Attributes:
      vm: name of the sender.
      sent: when it was sent, on the sender's clock.
      echo: `sent` of the latest datagram that the sender has received from the
        receiver; None if there is none.
      value_by_topic: JSON values by topic.
    """

    vm: str
    sent: Moment
    echo: Moment | None
    value_by_topic: Mapping[str, Any]


def encode(
    vm: str, sent: Moment, echo: Moment | None, topics: Iterable[str]
) -> bytes:
    """Returns a datagram.

    Args:
      vm: name of the sender.
      sent: when it is sent.
      echo: see `Envelope`.
      topics: topics that `encode_topic` has encoded.
    """
    head = json.dumps(
        {
            "vm": vm,
            "sent": [sent.run, sent.boot_ms],
            "echo": None if echo is None else [echo.run, echo.boot_ms],
        },
        separators=(",", ":"),
    )
    return f'{head[:-1]},"topics":{{{",".join(topics)}}}}}'.encode()


def encode_topic(topic: str, value: Any) -> str:
    """Returns a topic and its value as a member of a JSON object."""
    encoded = json.dumps(value, separators=(",", ":"))
    return f"{json.dumps(topic)}:{encoded}"


def pack(topics: Iterable[str]) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the encoded topics of one datagram, and those that do not fit."""
    room_bytes = MAX_DATAGRAM_BYTES - _ENVELOPE_BYTES
    packed, rest = [], []
    for topic in topics:
        size_bytes = len(topic.encode()) + 1
        if size_bytes <= room_bytes:
            room_bytes -= size_bytes
            packed.append(topic)
        else:
            rest.append(topic)
    return tuple(packed), tuple(rest)


def decode(datagram: bytes) -> Result[Envelope, str]:
    """Returns the envelope in a datagram, or an error text."""
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return Err("the datagram is too long")
    read = read_json(datagram)
    if isinstance(read, Err):
        return read
    value = read.ok_value
    if not isinstance(value, dict):
        return Err("not an object")
    vm, topics = value.get("vm"), value.get("topics")
    sent = _decode_moment(value.get("sent"))
    if not isinstance(vm, str) or not 0 < len(vm) <= _MAX_NAME_CHARACTERS:
        return Err("vm is not a name")
    if sent is None:
        return Err("sent is not a moment")
    if not isinstance(topics, dict):
        return Err("topics is not an object")
    return Ok(Envelope(vm, sent, _decode_moment(value.get("echo")), topics))


def _decode_moment(value: Any) -> Moment | None:
    if not isinstance(value, list) or len(value) != 2:
        return None
    if not all(type(part) is int and 0 <= part < 2**63 for part in value):
        return None
    return Moment(*value)


__all__ = [
    "MAX_DATAGRAM_BYTES",
    "Envelope",
    "Moment",
    "decode",
    "encode",
    "encode_topic",
    "pack",
]
