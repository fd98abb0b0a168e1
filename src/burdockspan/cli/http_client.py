"""HTTP requests to entry VMs."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

import urllib3
from result import Err, Ok, Result

_CONNECT_TIMEOUT_S = 1.0
_READ_TIMEOUT_S = 5.0
_BODY_LIMIT_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """An HTTP response.

    Attributes:
      status: HTTP status code.
      value: JSON value of the body, None if it is not JSON.
      text: body as text.
    """

    status: int
    value: Any
    text: str


def fetch(
    address: str,
    path: str,
    headers: Mapping[str, str] | None = None,
    posted: Any = None,
) -> Result[HttpResponse, str]:
    """Sends a request to an `ip:port`.

    Args:
      address: `ip:port`.
      path: path of the request.
      headers: its headers.
      posted: JSON value to send with POST; None sends a GET request.

    Returns:
      The response, whatever its status, or why there is none.
    """
    timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=_READ_TIMEOUT_S)
    with urllib3.PoolManager(timeout=timeout, retries=False) as pool:
        try:
            response = pool.request(
                "GET" if posted is None else "POST",
                f"http://{address}{path}",
                headers=dict(headers or {}),
                body=None if posted is None else json.dumps(posted),
                redirect=False,
                preload_content=False,
            )
            data = response.read(_BODY_LIMIT_BYTES)
            response.close()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Err(f"{address}: not reachable: {error}")
    text = data.decode("utf-8", "replace")
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        value = None
    return Ok(HttpResponse(response.status, value, text))


__all__ = ["HttpResponse", "fetch"]
