"""Headers of requests that one VM relays to another, and of their answers.

A VM ignores headers that it does not know, so that VMs of several releases can
relay for each other.
"""

from __future__ import annotations

import dataclasses
import re
import urllib.parse
from collections.abc import Iterable, Mapping

from burdockspan.gateway.accounts.values import PresentedKey
from burdockspan.gateway.callers.messages import Response, make_problem
from burdockspan.gateway.values import RelayNote

Headers = tuple[tuple[str, str], ...]

_PREFIX = "burdockspan-"
_CONFIGURATION = "Burdockspan-Configuration"
_RUNS = "Burdockspan-Runs"
_CALLS = "Burdockspan-Calls"
_ACCOUNT = "Burdockspan-Account"
_KEY_DIGEST = "Burdockspan-Key-Digest"
_DECLINED = "Burdockspan-Declined"
_DIGEST_PATTERN = re.compile(r"(?:[0-9a-f]{2}){1,64}")
_INTEGER_PATTERN = re.compile(r"[0-9]{1,15}")


def encode_note(note: RelayNote) -> Headers:
    """Returns the headers of a note."""
    headers: Headers = (
        (_CONFIGURATION, str(note.configuration_version)),
        (_RUNS, str(note.runs)),
        (_CALLS, str(note.calls)),
    )
    if note.account is not None and note.key is not None:
        headers += (
            (_ACCOUNT, urllib.parse.quote(note.account, safe="")),
            (_KEY_DIGEST, note.key.digest.hex()),
        )
    return headers


def split_note(headers: Headers) -> tuple[RelayNote, Headers]:
    """Returns the note of a relayed request, and its other headers."""
    value_by_name = {
        name.lower(): value
        for name, value in headers
        if name.lower().startswith(_PREFIX)
    }
    others = tuple(
        header for header in headers if header[0].lower() not in value_by_name
    )
    note = RelayNote(
        _read_integer(value_by_name.get(_CONFIGURATION.lower(), "")),
        _read_integer(value_by_name.get(_RUNS.lower(), "")),
        _read_integer(value_by_name.get(_CALLS.lower(), "")),
        *_read_account(value_by_name),
    )
    return note, others


def _read_account(
    value_by_name: Mapping[str, str],
) -> tuple[str | None, PresentedKey | None]:
    account = value_by_name.get(_ACCOUNT.lower(), "")
    digest = value_by_name.get(_KEY_DIGEST.lower(), "")
    if not account or not _DIGEST_PATTERN.fullmatch(digest):
        return None, None
    key = PresentedKey(bytes.fromhex(digest))
    return urllib.parse.unquote(account), key


def remove_note(headers: Headers) -> Headers:
    """Returns the headers of a caller without any that belong to a note."""
    return tuple(
        header
        for header in headers
        if not header[0].lower().startswith(_PREFIX)
    )


def make_declined(reason: str, retry_after_s: float) -> Response:
    """Returns the answer of a VM that does not take a relayed request."""
    response = make_problem(503, "not_run", reason, retry_after_s)
    return dataclasses.replace(
        response, headers=(*response.headers, (_DECLINED, reason))
    )


def find_declined(headers: Iterable[tuple[str, str]]) -> str | None:
    """Returns why a VM did not take a request; None if it took it."""
    return next(
        (value for name, value in headers if name.lower() == _DECLINED.lower()),
        None,
    )


def _read_integer(text: str) -> int:
    return int(text) if _INTEGER_PATTERN.fullmatch(text) else 0


__all__ = [
    "encode_note",
    "find_declined",
    "make_declined",
    "remove_note",
    "split_note",
]
