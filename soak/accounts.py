"""Client accounts of a soak, and the keys that callers present."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Sequence

TOKENS = 140
"""Tokens that each stream declares."""
_PLAIN_TOKENS = 20
# Share of the requests without a key, and shares with a wrong one.
_NO_KEY_SHARE = 0.05
_UNKNOWN_KEY_SHARE = 0.05
_REMOVED_KEY_SHARE = 0.2
# Share of the requests that name an account themselves.
_CLAIM_SHARE = 0.2


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account.

    Attributes:
      name: name that endpoints see.
      keys: keys that it holds, oldest first.
      rate_per_s: units per second of its quota; 0 without a quota.
      burst: units that its quota allows at once.
      counts_tokens: whether a unit is a token instead of a request.
    """

    name: str
    keys: tuple[str, ...]
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False

    def count_units(self, is_stream: bool) -> int:
        """Returns what a request costs."""
        if not self.counts_tokens:
            return 1
        return TOKENS if is_stream else _PLAIN_TOKENS

    def as_document(self) -> dict[str, object]:
        """Returns the account as the operator writes it."""
        return {
            "name": self.name,
            "api_keys": [*self.keys],
            "rate_per_s": self.rate_per_s,
            "burst": self.burst,
            "unit": "token_stream" if self.counts_tokens else "requests",
            "plain_tokens": _PLAIN_TOKENS,
        }


@dataclasses.dataclass
class KeyLife:
    """When the store acknowledged that a key was added and removed."""

    account: Account
    added_s: float
    removed_s: float = math.inf


ACCOUNTS = (
    Account("museum", ("museum-1", "museum-2")),
    Account("school", ("school-1", "school-2"), 2.0, 4.0),
    Account("office", ("office-1", "office-2"), 150.0, 400.0, True),
)
"""The accounts at the start; the first one has no quota."""
_CHANCES = (2, 1, 1)


def replace_key(
    accounts: Sequence[Account], target: int
) -> tuple[Account, ...]:
    """Returns accounts of which one has a new key for its oldest one."""
    index = target % len(accounts)
    account = accounts[index]
    number = int(account.keys[-1].rpartition("-")[2]) + 1
    keys = (*account.keys[1:], f"{account.name}-{number}")
    changed = dataclasses.replace(account, keys=keys)
    return (*accounts[:index], changed, *accounts[index + 1 :])


def choose_key(
    accounts: Sequence[Account], removed: Sequence[str], rng: random.Random
) -> str:
    """Returns the key that a request presents; empty for none."""
    draw = rng.random()
    if draw < _NO_KEY_SHARE:
        return ""
    draw -= _NO_KEY_SHARE
    if draw < _UNKNOWN_KEY_SHARE:
        return "unknown"
    if draw < _UNKNOWN_KEY_SHARE + _REMOVED_KEY_SHARE and removed:
        return rng.choice(removed)
    return rng.choice(rng.choices(accounts, _CHANCES)[0].keys)


def make_headers(key: str, rng: random.Random) -> dict[str, str]:
    """Returns the headers of a request; some name an account themselves."""
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    if rng.random() < _CLAIM_SHARE:
        headers["Tenant"] = rng.choice(ACCOUNTS).name
    return headers


__all__ = [
    "ACCOUNTS",
    "TOKENS",
    "Account",
    "KeyLife",
    "choose_key",
    "make_headers",
    "replace_key",
]
