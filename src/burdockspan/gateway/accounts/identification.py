"""Finds the account of a request by the key that it presents."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

from result import Err, Ok, Result

from burdockspan.gateway.accounts.values import Account, PresentedKey
from burdockspan.gateway.values import InboundCall, RelayNote, Route


@dataclasses.dataclass(frozen=True)
class AccountTable:
    """Lookup table of the accounts of one configuration.

    Attributes:
      account_by_digest: the accounts by the digests of their keys.
    """

    account_by_digest: Mapping[bytes, Account] = dataclasses.field(repr=False)


class Denial(enum.Enum):
    """Why a request is not served for want of an account."""

    NO_KEY = "no key"
    UNKNOWN_KEY = "unknown key"
    NOT_PROVED = "configuration not proved"


@dataclasses.dataclass(frozen=True)
class Identity:
    """Who a request is from, and the request as endpoints see it."""

    call: InboundCall
    account: Account | None = None


@dataclasses.dataclass(frozen=True)
class ProofLimits:
    """Limits of the age of the proof that a configuration is the newest.

    Attributes:
      known_key_s: above it, a key may have been removed, so that its request
        is not served; infinite if the operator sets no limit.
      unknown_key_s: above it, a key may have been added, so that its request
        is not denied for good.
    """

    known_key_s: float
    unknown_key_s: float


def make_account_table(
    accounts: tuple[Account, ...] | None,
) -> AccountTable | None:
    """Returns the lookup table; None if requests need no key."""
    if accounts is None:
        return None
    return AccountTable(
        {
            digest: account
            for account in accounts
            for digest in account.key_digests
        }
    )


def identify(
    table: AccountTable | None,
    route: Route,
    call: InboundCall,
    relay: RelayNote | None,
    proof_age_s: float,
    limits: ProofLimits,
) -> Result[Identity, Denial]:
    """Returns who a request is from, or why it is not served.

    Args:
      table: accounts of the configuration in force; None if it has none.
      route: route of the request.
      call: the request as received.
      relay: note of the VM that relayed the request; None without one. A note
        without an account comes from a VM that has read no key, so that the
        request is treated like one of a caller.
      proof_age_s: how long ago that configuration was the newest; infinite if
        unknown.
      limits: limits of that age.
    """
    if table is None:
        return Ok(Identity(call))
    key, name = call.key, None
    if relay is not None and relay.key is not None:
        key, name = relay.key, relay.account
    account = find_account(table, key, name)
    is_proved = proof_age_s <= limits.known_key_s
    if route.public:
        known = account if is_proved else None
        return Ok(Identity(_rewrite(call, known, key), known))
    if key is None:
        return Err(Denial.NO_KEY)
    if account is None:
        is_recent = proof_age_s <= limits.unknown_key_s
        return Err(Denial.UNKNOWN_KEY if is_recent else Denial.NOT_PROVED)
    if not is_proved:
        return Err(Denial.NOT_PROVED)
    return Ok(Identity(_rewrite(call, account, key), account))


def find_account(
    table: AccountTable, key: PresentedKey | None, name: str | None = None
) -> Account | None:
    """Returns the account that holds a key, if it has the given name."""
    if key is None:
        return None
    account = table.account_by_digest.get(key.digest)
    if account is None or name not in (None, account.name):
        return None
    return account


def holds_key(
    table: AccountTable | None, account: Account | None, call: InboundCall
) -> bool:
    """Returns whether an identified request may still run.

    Args:
      table: accounts of the configuration in force now.
      account: account that the request was found to be from.
      call: the request.
    """
    if table is None or account is None:
        return True
    return find_account(table, call.key, account.name) is not None


def _rewrite(
    call: InboundCall, account: Account | None, key: PresentedKey | None
) -> InboundCall:
    return dataclasses.replace(
        call,
        headers=call.headers_without_identity,
        account=None if account is None else account.name,
        key=None if account is None else key,
    )


__all__ = [
    "AccountTable",
    "Denial",
    "Identity",
    "ProofLimits",
    "find_account",
    "holds_key",
    "identify",
    "make_account_table",
]
