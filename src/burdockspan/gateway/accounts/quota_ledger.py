"""A VM's share of an account's quota: a token bucket whose room can be lent.

Each of N VMs owns 1/N of the refill rate and of the capacity, which is the
burst and the slack. The bucket of a new process is empty. So all VMs together
spend in each window at most the refill of the window and the capacity, whether
they are connected or not.

Units move between VMs. A VM that needs more than its capacity borrows room as
well: the lender's capacity is lower for a fixed time, and the borrower has
given the room up before that.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

from burdockspan.gateway.accounts.values import Quota

# How long after its request for a loan a borrower may use the lent room.
LOAN_S = 1.0
# The lender takes its room back later than the borrower gives it up.
_MARGIN_S = 0.2
# Loans that an earlier run of this process made have ended after this time.
_OPENING_S = LOAN_S + _MARGIN_S
# The rest of the room is certainly not lent, also by an earlier run.
_MAX_LENT_SHARE = 0.5
_ROUNDING = 1e-6

_Loans = collections.deque[tuple[float, float]]
"""Ends and room of loans, in the order of their ends."""


class QuotaBucket:
    """This VM's share of one account's quota.

    All times are seconds of the boot clock, so that a suspended VM does not
    prolong a loan.
    """

    def __init__(
        self, quota: Quota, slack: float, vm_count: int | None, now_s: float
    ) -> None:
        self._quota = quota
        self._slack = slack
        self._vm_count = vm_count
        self._holding = 0.0
        self._settled_s = now_s
        self._opened_s = now_s + _OPENING_S
        self._borrowed: _Loans = collections.deque()
        self._lent: _Loans = collections.deque()

    @property
    def quota(self) -> Quota:
        """The quota of the account."""
        return self._quota

    @property
    def rate_per_s(self) -> float:
        """This VM's refill; 0 until the VMs are counted."""
        if self._vm_count is None:
            return 0.0
        return self._quota.rate_per_s / self._vm_count

    @property
    def capacity(self) -> float:
        """This VM's own room; 0 until the VMs are counted."""
        if self._vm_count is None:
            return 0.0
        return (self._quota.burst + self._slack) / self._vm_count

    @property
    def largest(self) -> float:
        """Units that all VMs together can hold, the most a request can have."""
        return self._quota.burst + self._slack

    def set_vm_count(self, vm_count: int | None, now_s: float) -> None:
        """Sets the number of VMs that share the quota."""
        self._settle(now_s)
        self._vm_count = vm_count
        self._clip()

    def set_quota(self, quota: Quota, slack: float, now_s: float) -> None:
        """Replaces the limit, and drops what is held above it."""
        self._settle(now_s)
        if quota.unit is not self._quota.unit:
            self._holding = 0.0
        self._quota, self._slack = quota, slack
        self._borrowed.clear()
        self._clip()

    def measure(self, now_s: float) -> float:
        """Returns the units held."""
        self._settle(now_s)
        return self._holding

    def try_take(self, units: float, now_s: float) -> bool:
        """Spends units; returns False if fewer are held."""
        self._settle(now_s)
        if self._holding + _ROUNDING < units:
            return False
        self._holding = max(0.0, self._holding - units)
        return True

    def give_back(self, units: float, now_s: float) -> None:
        """Returns units that were taken and have not been used."""
        self._settle(now_s)
        self._holding += units
        self._clip()

    def lend(
        self, wanted: float, room_ratio: float, kept: float, now_s: float
    ) -> float:
        """Gives away at most `wanted` units, and returns how many.

        Args:
          wanted: units that the borrower asks for.
          room_ratio: room that it needs for each of them.
          kept: units that this VM needs itself.
          now_s: present time.
        """
        self._settle(now_s)
        free = min(wanted, self._holding - kept)
        if room_ratio > 0.0:
            if now_s < self._opened_s:
                return 0.0
            room = self.capacity * _MAX_LENT_SHARE - _sum(self._lent)
            free = min(free, room / room_ratio)
        if free <= _ROUNDING:
            return 0.0
        self._holding -= free
        if room_ratio > 0.0:
            end_s = self._settled_s + LOAN_S + _MARGIN_S
            self._lent.append((end_s, free * room_ratio))
        return free

    def borrow(
        self, units: float, room_ratio: float, asked_s: float, now_s: float
    ) -> bool:
        """Takes over units that another VM has lent.

        Args:
          units: lent units.
          room_ratio: room that was lent with each of them.
          asked_s: a time before the other VM lent them.
          now_s: present time.

        Returns:
          Whether the loan had not ended.
        """
        self._settle(now_s)
        end_s = asked_s + LOAN_S
        if end_s <= self._settled_s:
            return False
        if room_ratio > 0.0:
            self._borrowed.append((end_s, units * room_ratio))
            self._borrowed = collections.deque(sorted(self._borrowed))
        self._holding += units
        self._clip()
        return True

    def _settle(self, now_s: float) -> None:
        """Refills until now; each end of a loan changes the room on the way."""
        while True:
            end_s = min(_first_end_s(self._lent), _first_end_s(self._borrowed))
            if self._settled_s < self._opened_s:
                end_s = min(end_s, self._opened_s)
            if end_s > now_s:
                break
            self._refill(end_s)
            for loans in (self._lent, self._borrowed):
                while loans and loans[0][0] <= end_s:
                    loans.popleft()
            self._clip()
        self._refill(now_s)

    def _refill(self, until_s: float) -> None:
        elapsed_s = max(0.0, until_s - self._settled_s)
        self._holding += self.rate_per_s * elapsed_s
        self._clip()
        self._settled_s = max(self._settled_s, until_s)

    def _clip(self) -> None:
        own = self.capacity
        if self._settled_s < self._opened_s:
            own *= 1.0 - _MAX_LENT_SHARE
        room = own + _sum(self._borrowed) - _sum(self._lent)
        self._holding = max(0.0, min(self._holding, room))


def _sum(loans: Iterable[tuple[float, float]]) -> float:
    return sum(room for _, room in loans)


def _first_end_s(loans: _Loans) -> float:
    return loans[0][0] if loans else float("inf")


__all__ = ["LOAN_S", "QuotaBucket"]
