"""Priority of a request where those of its service differ in priority."""

from __future__ import annotations

import bisect
import hashlib
from collections.abc import Iterable

from burdockspan.gateway.accounts.values import Account
from burdockspan.gateway.admission.precedence import (
    UNORDERED,
    Precedence,
    combine_priorities,
    list_priorities,
)
from burdockspan.gateway.context import Context
from burdockspan.gateway.requests.attempts import RoutedRequest
from burdockspan.gateway.values import GenerationSize, Route

_KEY_DIGITS = 8


def choose_priority(route: Route, account: Account | None) -> int:
    """Returns the priority of an account's requests to a route."""
    if account is None or account.priority is None:
        return route.priority
    return account.priority


def find_engine_priority(
    context: Context, request: RoutedRequest
) -> int | None:
    """Returns the priority of a request at engines; None for the default."""
    active = context.state.active_configuration()
    if active is None:
        return None
    priorities = list_priorities(active.configuration, request.service)
    if len(priorities) <= 1:
        return None
    # Engines know few priorities, so that those in use are numbered.
    return bisect.bisect_left(priorities, _combine(request))


def find_precedence(
    context: Context, request: RoutedRequest, size: GenerationSize
) -> Precedence:
    """Returns the place of a generation among those that wait for memory.

    A stream that is resumed waits in the queue of its version, which knows no
    order.
    """
    active = context.state.active_configuration()
    if active is None or request.software_version is not None:
        return UNORDERED
    configuration = active.configuration
    priorities = list_priorities(configuration, request.service)
    accounts = configuration.accounts or ()
    if len(priorities) <= 1 and len(accounts) <= 1:
        return UNORDERED
    return Precedence(
        is_ordered=True,
        priority=_combine(request),
        account=_make_key(request.account.name) if request.account else None,
        tokens=size.prompt_tokens,
        weight=_find_weight(accounts, request.account),
    )


def _combine(request: RoutedRequest) -> int:
    return combine_priorities(request.priority, request.route.priority)


def _find_weight(accounts: Iterable[Account], account: Account | None) -> float:
    """Returns the largest quota relative to that of an account."""
    if account is None or account.quota is None:
        return 1.0
    rates = [item.quota.rate_per_s for item in accounts if item.quota]
    return max(rates, default=1.0) / account.quota.rate_per_s


def _make_key(account: str) -> str:
    """Returns a key of few bytes, which the VMs tell each other."""
    return hashlib.sha256(account.encode()).hexdigest()[:_KEY_DIGITS]


__all__ = ["choose_priority", "find_engine_priority", "find_precedence"]
