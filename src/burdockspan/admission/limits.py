"""Rate limits of client accounts, divided among the entry VMs."""

from __future__ import annotations

import dataclasses

from result import Err, Ok, Result

from burdockspan.configuration.document import Client
from burdockspan.values.refusal import Execution, Reason, Refusal


@dataclasses.dataclass(frozen=True)
class Limit:
    """This node's share of a client account's rate limit.

    Attributes:
      requests_per_s: sustained rate.
      burst: capacity of the token bucket, at least 1.
    """

    requests_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True)
class Bucket:
    """Token bucket of one client account.

    Attributes:
      tokens: tokens at `updated_s`; each call takes one.
      updated_s: time of the last call, monotonic seconds.
    """

    tokens: float
    updated_s: float


def share_limit(client: Client, live_entry_vms: int) -> Limit:
    """Returns the share of a client's limit that one entry VM enforces."""
    shares = max(1, live_entry_vms)
    return Limit(
        client.requests_per_s / shares, max(1.0, client.burst / shares)
    )


def make_bucket(limit: Limit, now_s: float) -> Bucket:
    """Returns a full bucket."""
    return Bucket(limit.burst, now_s)


def spend(
    bucket: Bucket, limit: Limit, now_s: float
) -> Result[Bucket, Refusal]:
    """Takes one token for a call, or refuses the call.

    The refusal has a Retry-After unless the rate is 0.
    """
    elapsed_s = max(0.0, now_s - bucket.updated_s)
    tokens = min(limit.burst, bucket.tokens + elapsed_s * limit.requests_per_s)
    if tokens >= 1.0:
        return Ok(Bucket(tokens - 1.0, max(now_s, bucket.updated_s)))
    return Err(_refuse(limit, tokens))


def _refuse(limit: Limit, tokens: float) -> Refusal:
    rate = limit.requests_per_s
    return Refusal(
        status=429,
        execution=Execution.NOT_RUN,
        reason=Reason.CLIENT_LIMIT,
        detail="The client account has passed its request rate.",
        retry_after_s=(1.0 - tokens) / rate if rate > 0 else None,
        limit=f"{rate:g} requests/s at this entry VM",
    )


__all__ = ["Bucket", "Limit", "make_bucket", "share_limit", "spend"]
