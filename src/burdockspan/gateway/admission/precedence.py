"""Order of the generations of one service that wait for decode memory.

More urgent generations go first, then accounts that were served fewer tokens
lately. A priority that is served far less often than the average goes before
all others, an account or the large prompts before others of their priority.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from burdockspan.gateway.values import Configuration
from burdockspan.values.clock import Clock

# Overloads last for some seconds. Counts of the time before say little about
# who is served during one.
_SHARE_HALF_LIFE_S = 8.0
_TOKENS_HALF_LIFE_S = 5.0
# A group that is served less often than this share of the average goes first.
# The users' bound is a quarter; the rest allows for the sampling error of the
# few generations that one VM sees.
_MIN_SERVED_SHARE = 0.4
# Weight of the assumption, before anything is known of a group, that it is
# served; two refusals in a row do not reach the share above.
_PRIOR = 1.0
# A prompt that is longer than this multiple of the mean counts as large.
_LARGE_PROMPT_FACTOR = 1.4
# Ranks are computed again after this time, or once a generation is decided.
# Each generation of a queue compares itself with all others at each poll.
_RANK_TTL_S = 0.1
# How many accounts a VM names to the others: those that it served most.
_MAX_STATED_ACCOUNTS = 8
# Priorities from 0 to 9 are told apart.
_PRIORITIES = 10
# Counts below this have no effect, and their groups are forgotten.
_NEGLIGIBLE = 0.01


@dataclasses.dataclass(frozen=True)
class Precedence:
    """What decides a generation's place besides its arrival.

    Attributes:
      is_ordered: whether generations of its service differ in priority or
        account; otherwise the fields below have no effect.
      priority: combined priority; the least is the most urgent.
      account: short key of the client account; None if there is none.
      tokens: length of the prompt.
      weight: factor of its tokens when accounts are compared, which is smaller
        for accounts with larger quotas.
    """

    is_ordered: bool = False
    priority: int = 0
    account: str | None = None
    tokens: int = 0
    weight: float = 1.0

    @property
    def cost(self) -> float:
        """Returns what its account is charged."""
        return self.weight * self.tokens


UNORDERED = Precedence()

Rank = tuple[bool, int, bool, float]
"""Sort key; the least goes first."""


def combine_priorities(priority: int, route_priority: int) -> int:
    """Returns a priority that decides first by the first one.

    Args:
      priority: that of the account, or else of the route.
      route_priority: that of the route, which decides between accounts of the
        same priority.
    """
    return _PRIORITIES * _limit(priority) + _limit(route_priority)


def _limit(priority: int) -> int:
    return max(0, min(priority, _PRIORITIES - 1))


def list_priorities(
    configuration: Configuration, service: str
) -> tuple[int, ...]:
    """Returns the combined priorities that requests for a service may have."""
    account_priorities = {
        account.priority for account in configuration.accounts or ()
    } or {None}
    return tuple(
        sorted(
            {
                combine_priorities(
                    route.priority if priority is None else priority,
                    route.priority,
                )
                for route in configuration.routes
                if any(item.name == service for item in route.services)
                for priority in account_priorities
            }
        )
    )


class _DecayingCounts:
    """Sums by key that lose half of their value in each half-life."""

    def __init__(self, half_life_s: float, clock: Clock) -> None:
        self._half_life_s = half_life_s
        self._clock = clock
        self._by_key: dict[object, tuple[float, float]] = {}

    def add(self, key: object, amount: float) -> None:
        """Adds an amount to a key."""
        now_s = self._clock()
        self._by_key[key] = (self.value(key) + amount, now_s)
        if len(self._by_key) > 1000:
            self._by_key = {
                key: pair
                for key, pair in self._by_key.items()
                if self.value(key) > _NEGLIGIBLE
            }

    def value(self, key: object) -> float:
        """Returns the present sum of a key."""
        amount, since_s = self._by_key.get(key, (0.0, 0.0))
        elapsed_s = max(0.0, self._clock() - since_s)
        return amount * math.pow(0.5, elapsed_s / self._half_life_s)

    def items(self) -> list[tuple[object, float]]:
        """Returns all keys with their present sums."""
        return [(key, self.value(key)) for key in self._by_key]


class ServiceOrder:
    """Who was served lately, and who goes first; not thread-safe."""

    def __init__(
        self,
        clock: Clock,
        fleet_tokens: Callable[[str], float] = lambda _: 0.0,
    ) -> None:
        """Starts without counts.

        Args:
          clock: monotonic clock, in seconds.
          fleet_tokens: returns the tokens that the other VMs served to an
            account lately.
        """
        self._fleet_tokens = fleet_tokens
        self._clock = clock
        self._ranked_s = -math.inf
        self._rank_by_precedence: dict[Precedence, Rank] = {}
        self._decided = _DecayingCounts(_SHARE_HALF_LIFE_S, clock)
        self._served = _DecayingCounts(_SHARE_HALF_LIFE_S, clock)
        self._tokens = _DecayingCounts(_TOKENS_HALF_LIFE_S, clock)
        self._prompt_tokens = _DecayingCounts(_SHARE_HALF_LIFE_S, clock)

    def rank(self, precedence: Precedence) -> Rank:
        """Returns a sort key; the least goes first."""
        if not precedence.is_ordered:
            return False, 0, False, 0.0
        now_s = self._clock()
        if now_s - self._ranked_s >= _RANK_TTL_S:
            self._ranked_s = now_s
            self._rank_by_precedence.clear()
        rank = self._rank_by_precedence.get(precedence)
        if rank is None:
            rank = self._compute_rank(precedence)
            self._rank_by_precedence[precedence] = rank
        return rank

    def _compute_rank(self, precedence: Precedence) -> Rank:
        tokens = self.tokens(precedence.account)
        return (
            not self.is_priority_starved(precedence),
            precedence.priority,
            not self.is_starved(precedence),
            tokens,
        )

    def tokens(self, account: str | None) -> float:
        """Returns the tokens that all VMs served to an account lately."""
        if account is None:
            return 0.0
        return self._tokens.value(account) + self._fleet_tokens(account)

    def list_own_tokens(self) -> dict[str, int]:
        """Returns the tokens of the accounts that this VM served most."""
        items = sorted(
            self._tokens.items(), key=lambda item: item[1], reverse=True
        )
        return {
            str(account): int(tokens)
            for account, tokens in items[:_MAX_STATED_ACCOUNTS]
            if tokens >= 1.0
        }

    def record(self, precedence: Precedence, is_served: bool) -> None:
        """Records that a generation was admitted, or gave up waiting."""
        if not precedence.is_ordered:
            return
        self._rank_by_precedence.clear()
        for group in (None, *self._list_groups(precedence)):
            self._decided.add(group, 1.0)
            self._served.add(group, float(is_served))
        self._prompt_tokens.add(None, float(precedence.tokens))
        if is_served and precedence.account is not None:
            self._tokens.add(precedence.account, precedence.cost)

    def is_priority_starved(self, precedence: Precedence) -> bool:
        """Returns whether generations of a priority are served too seldom."""
        return precedence.is_ordered and self._is_below_bound(
            ("priority", precedence.priority)
        )

    def is_starved(self, precedence: Precedence) -> bool:
        """Returns whether a group of a generation is served too seldom."""
        if not precedence.is_ordered:
            return False
        return any(
            self._is_below_bound(group)
            for group in self._list_groups(precedence)
        )

    def _is_below_bound(self, group: object) -> bool:
        bound = _MIN_SERVED_SHARE * self._served_share(None)
        return self._served_share(group) < bound

    def _served_share(self, group: object) -> float:
        served, decided = self._served.value(group), self._decided.value(group)
        return (served + _PRIOR) / (decided + _PRIOR)

    def _list_groups(self, precedence: Precedence) -> tuple[object, ...]:
        decided = self._decided.value(None)
        mean_tokens = self._prompt_tokens.value(None) / max(_PRIOR, decided)
        is_large = precedence.tokens > _LARGE_PROMPT_FACTOR * mean_tokens
        return (
            ("priority", precedence.priority),
            ("account", precedence.account),
            ("large", is_large),
        )


__all__ = [
    "UNORDERED",
    "Precedence",
    "ServiceOrder",
    "combine_priorities",
    "list_priorities",
]
