"""Client accounts, and the limits that the operator sets for them."""

from __future__ import annotations

import dataclasses
import enum
import hashlib


class QuotaUnit(enum.Enum):
    """What a quota counts.

    REQUESTS: each request as one.
    TOKENS: a generation by the tokens of its prompt and its largest output,
      other requests by a fixed number of tokens.
    """

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True)
class PresentedKey:
    """The key that a request presents, of which only a digest is kept.

    Attributes:
      digest: what `digest_key` returns for it.
    """

    digest: bytes = dataclasses.field(repr=False)


def digest_key(key: bytes) -> bytes:
    """Returns the digest under which a key is known."""
    return hashlib.sha256(key).digest()


@dataclasses.dataclass(frozen=True)
class Quota:
    """Limit of what an account may use, over all VMs.

    Attributes:
      unit: what is counted.
      rate_per_s: units per second; positive.
      burst: units that may be used at once after a time without requests.
      plain_units: units of a request that declares no tokens.
    """

    unit: QuotaUnit
    rate_per_s: float
    burst: float
    plain_units: float = 1.0


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account.

    Attributes:
      name: unique name, which endpoints see.
      key_digests: digests of its keys; the keys themselves are not kept.
      priority: 0 is the highest, and goes before the priority of the route;
        None leaves the route's in force.
      quota: None if the account is not limited.
    """

    name: str
    key_digests: frozenset[bytes] = dataclasses.field(repr=False)
    priority: int | None = None
    quota: Quota | None = None


__all__ = ["Account", "PresentedKey", "Quota", "QuotaUnit", "digest_key"]
