"""Identifiers of requests and of their attempts."""

from __future__ import annotations

import dataclasses
import re
import secrets

from result import Err, Ok, Result

_NUMBER_PATTERN = re.compile(r"[0-9]{1,19}")
_REQUEST_ID_BYTES = 16


@dataclasses.dataclass(frozen=True, order=True)
class AttemptId:
    """Identifies one attempt of one request across the fleet.

    Attributes:
      vm: name of the entry VM that made the attempt.
      incarnation: incarnation of that VM's process in the membership protocol.
        It distinguishes the attempts of a crashed process from those of the
        process that replaces it on the same VM.
      sequence: counter within the incarnation, starting at 1.
    """

    vm: str
    incarnation: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.vm}:{self.incarnation}:{self.sequence}"


def parse_attempt_id(text: str) -> Result[AttemptId, str]:
    """Parses the text form `vm:incarnation:sequence`."""
    parts = text.split(":")
    if len(parts) != 3 or not parts[0]:
        return Err(f"attempt identity {text!r} is not vm:incarnation:sequence")
    if not all(map(_NUMBER_PATTERN.fullmatch, parts[1:])):
        return Err(f"attempt identity {text!r} has a non-numeric part")
    return Ok(AttemptId(parts[0], int(parts[1]), int(parts[2])))


def make_request_id() -> str:
    """Returns a random request identity of 32 hexadecimal digits."""
    return secrets.token_hex(_REQUEST_ID_BYTES)


__all__ = ["AttemptId", "make_request_id", "parse_attempt_id"]
