"""Decodes what endpoints say about themselves in the headers of answers."""

from __future__ import annotations

import re
from collections.abc import Mapping

from burdockspan.gateway.ports import EndpointSignals
from burdockspan.platform import headers as header_names

_UNAVAILABLE = 503
_DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
# Value of the header of an endpoint that leaves.
_LEAVING = "1"


def decode_signals(
    status: int, headers: Mapping[str, str], answers_request: bool
) -> EndpointSignals:
    """Returns the signals of an answer, with the problems of malformed ones.

    Args:
      status: HTTP status of the answer.
      headers: headers of the answer; their names are compared without case.
      answers_request: whether the answer is to a caller's request.
    """
    problems: list[str] = []
    pause_s = None
    if status == _UNAVAILABLE:
        # Elsewhere the header tells a caller when to come back.
        pause_s = _decode_number(headers, header_names.RETRY_AFTER, problems)
    return EndpointSignals(
        answers_request=answers_request,
        limit_per_s=_decode_number(
            headers, header_names.SERVER_LIMIT, problems
        ),
        leaving=headers.get(header_names.SERVER_LEAVING, "").strip()
        == _LEAVING,
        pause_s=pause_s,
        problems=tuple(problems),
    )


def _decode_number(
    headers: Mapping[str, str], name: str, problems: list[str]
) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    if not _DECIMAL_PATTERN.fullmatch(text.strip()):
        problems.append(f"{name} {text[:40]!r} is not a decimal number")
        return None
    return float(text)


__all__ = ["decode_signals"]
