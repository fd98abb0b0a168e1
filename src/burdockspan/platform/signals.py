"""Decodes what endpoints say about themselves in the headers of answers."""

from __future__ import annotations

import re
from collections.abc import Mapping

from result import Err, Ok, Result

from burdockspan.gateway.ports import EndpointSignals
from burdockspan.platform import headers as header_names

_DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")


def decode_signals(
    headers: Mapping[str, str], answers_request: bool
) -> Result[EndpointSignals, str]:
    """Returns the signals of an answer, or an error text.

    Args:
      headers: headers of the answer; their names are compared without case.
      answers_request: whether the answer is to a caller's request.
    """
    limit = headers.get(header_names.SERVER_LIMIT)
    if limit is None:
        return Ok(EndpointSignals(answers_request))
    if not _DECIMAL_PATTERN.fullmatch(limit.strip()):
        return Err(
            f"{header_names.SERVER_LIMIT} {limit[:40]!r} is not a decimal "
            "number of requests a second"
        )
    return Ok(EndpointSignals(answers_request, float(limit)))


__all__ = ["decode_signals"]
