"""This VM's shares of all quotas: who waits for units, who lends and borrows.

Pure state: clocks are passed in, messages are returned, and the caller locks.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Callable, Mapping, Sequence

from burdockspan.gateway.accounts import quota_messages
from burdockspan.gateway.accounts.quota_demand import (
    HighestCount,
    SmoothedRate,
)
from burdockspan.gateway.accounts.quota_ledger import LOAN_S, QuotaBucket
from burdockspan.gateway.accounts.quota_messages import (
    MAX_ACCOUNTS,
    CountStatement,
    Loan,
    Message,
    Want,
)
from burdockspan.gateway.accounts.values import Quota
from burdockspan.placement.sampling import RandomFloat

# Requests of one account that wait for units at a time.
_MAX_WAITING = 32
# A VM asks its peers again after this time while a request waits.
_ROUND_S = 0.02
# Limit of the wants that a VM sends, so that a fleet of any size bears them.
_WANTS_PER_S = 200.0
_MAX_WANTS = 400.0
# The first round asks this many peers; each further one, more of them.
_FIRST_PEERS = 4
_GROWTH = 4
# Peers are asked for a little more than their equal part, since some have less.
# What arrives beyond the need is lost at the end of the loan if it has no room.
_ASKED_RATIO = 1.25
# Requests to come count from this rate on: fewer are seldom followed by
# another one before the loan ends.
_MIN_REQUESTS_PER_S = 3.0
# A VM with requests of the account keeps its own refill of this time.
_KEPT_S = 0.5
# After a request has waited without success, others do not wait for peers for
# this time.
_PEER_BACKOFF_S = 0.1
# A lower number of VMs is used after this time.
_COUNT_KEPT_S = 10.0
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 60.0
# Entries of the memory of repeated messages.
_MAX_SEEN = 10_000
# A request of at most this share of the first waiting one may go before it, as
# long as those that do so cost no more than the second share of it.
_SMALL_SHARE = 0.1
_MAX_OVERTAKEN_SHARE = 0.5
_UNITS_OF_ROOM = 1000


@dataclasses.dataclass
class Ticket:
    """A request that asks for units.

    Attributes:
      account: its account.
      units: what it costs.
      asked_s: when it asked.
      until_s: until when it may wait.
      taken: whether it has the units; None while it waits.
      retry_after_s: when units are expected, for one that got none.
      held: units at this VM when it was decided.
      overtaken: units that small requests have taken before it.
    """

    account: str
    units: float
    asked_s: float
    until_s: float
    taken: bool | None = None
    retry_after_s: float = 0.0
    held: float = 0.0
    overtaken: float = 0.0


class _AccountShare:
    """This VM's share of one account, and the requests that wait for it."""

    def __init__(self, bucket: QuotaBucket, now_s: float) -> None:
        self.bucket = bucket
        self.demand = SmoothedRate(now_s)
        self.requests = SmoothedRate(now_s)
        self.received = SmoothedRate(now_s)
        self.waiting: collections.deque[Ticket] = collections.deque()
        self.peer_count = _FIRST_PEERS
        self.next_want_s = now_s
        self.skip_peers_until_s = now_s

    def kept(self, now_s: float) -> float:
        """Returns what this VM keeps for its own requests to come."""
        rate = min(self.demand.measure(now_s), self.bucket.rate_per_s)
        return rate * _KEPT_S

    def waited_ms(self, now_s: float) -> int:
        """Returns how long the first request has waited."""
        if not self.waiting:
            return 0
        return 1 + int(1000 * max(0.0, now_s - self.waiting[0].asked_s))

    def missing(self, now_s: float) -> float:
        """Returns the units that waiting and expected requests lack."""
        bucket = self.bucket
        waiting = sum(ticket.units for ticket in self.waiting)
        lacking = waiting - bucket.measure(now_s)
        if self.requests.measure(now_s) < _MIN_REQUESTS_PER_S:
            return lacking
        demand = min(self.demand.measure(now_s), bucket.quota.rate_per_s)
        horizon_s = max(_ROUND_S, self.peer_count / _WANTS_PER_S)
        return lacking + max(0.0, demand - bucket.rate_per_s) * horizon_s

    def room_ratio(self, asked: float, now_s: float) -> int:
        """Returns the room that 1,000 of the units asked for need here."""
        lacking = self.bucket.measure(now_s) + asked - self.bucket.capacity
        if lacking <= 0.0:
            return 0
        return min(_UNITS_OF_ROOM, math.ceil(_UNITS_OF_ROOM * lacking / asked))

    def decide(self, ticket: Ticket, taken: bool, now_s: float) -> None:
        """Ends a ticket."""
        ticket.held = self.bucket.measure(now_s)
        if not taken:
            ticket.retry_after_s = self._retry_after_s(ticket)
        ticket.taken = taken

    def _retry_after_s(self, ticket: Ticket) -> float:
        ahead = sum(
            other.units for other in self.waiting if other is not ticket
        )
        lacking = ticket.units + ahead - ticket.held
        income = self.bucket.rate_per_s
        income += self.received.measure(ticket.asked_s)
        if ticket.units > self.bucket.largest or income <= 0.0:
            return _MAX_RETRY_AFTER_S if income else 1.0
        return min(
            _MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, lacking / income)
        )

    def settle_waiting(self, now_s: float) -> None:
        """Serves waiting requests in their order; ends those that are due.

        Small requests go before a large one that lacks units, up to a part of
        what it costs, so that neither keeps the other waiting for long.
        """
        while self.waiting and self.bucket.try_take(
            self.waiting[0].units, now_s
        ):
            self.decide(self.waiting.popleft(), True, now_s)
        for ticket in list(self.waiting)[1:]:
            first = self.waiting[0]
            overtaken = first.overtaken + ticket.units
            if (
                ticket.units <= _SMALL_SHARE * first.units
                and overtaken <= _MAX_OVERTAKEN_SHARE * first.units
                and self.bucket.try_take(ticket.units, now_s)
            ):
                first.overtaken = overtaken
                self.waiting.remove(ticket)
                self.decide(ticket, True, now_s)
        due = [ticket for ticket in self.waiting if ticket.until_s <= now_s]
        for ticket in due:
            self.waiting.remove(ticket)
            self.decide(ticket, False, now_s)
            if ticket.until_s > ticket.asked_s:
                self.skip_peers_until_s = now_s + _PEER_BACKOFF_S


class QuotaShares:
    """This VM's shares of the quotas of all accounts.

    All times are seconds of this VM's boot clock.
    """

    def __init__(
        self,
        run: int,
        slack: float,
        list_peers: Callable[[], Sequence[str]],
        random_float: RandomFloat,
    ) -> None:
        self._run = run
        self._slack = slack
        self._list_peers = list_peers
        self._random_float = random_float
        self._share_by_account: dict[str, _AccountShare] = {}
        self._account_by_id: dict[str, str | None] = {}
        self._own_count: int | None = None
        self._counts = HighestCount(_COUNT_KEPT_S)
        self._loans = 0
        self._asked_ms = 0
        self._next_peer = 0
        self._wants = _MAX_WANTS
        self._wants_at_s = 0.0
        self._last_want_by_vm: dict[str, tuple[int, int]] = {}
        self._seen_loans: dict[tuple[str, int, int], float] = {}

    @property
    def accounts(self) -> tuple[str, ...]:
        """The accounts that have a quota."""
        return tuple(self._share_by_account)

    def held(self, account: str, now_s: float) -> float:
        """Returns the units of an account at this VM."""
        share = self._share_by_account.get(account)
        return share.bucket.measure(now_s) if share is not None else 0.0

    def set_quotas(
        self, quota_by_account: Mapping[str, Quota], now_s: float
    ) -> None:
        """Replaces the limits; accounts without one are forgotten."""
        for account in self._share_by_account.keys() - quota_by_account.keys():
            share = self._share_by_account.pop(account)
            for ticket in share.waiting:
                share.decide(ticket, True, now_s)
        vm_count = self._vm_count(now_s)
        for account, quota in quota_by_account.items():
            known = self._share_by_account.get(account)
            if known is None:
                bucket = QuotaBucket(quota, self._slack, vm_count, now_s)
                self._share_by_account[account] = _AccountShare(bucket, now_s)
            elif known.bucket.quota != quota:
                known.bucket.set_quota(quota, self._slack, now_s)
        self._account_by_id = {}
        for account in quota_by_account:
            id_ = quota_messages.make_id(account)
            # Accounts with the same identity neither lend nor borrow.
            is_new = id_ not in self._account_by_id
            self._account_by_id[id_] = account if is_new else None

    def set_vm_count(self, vm_count: int, now_s: float) -> None:
        """Sets the number of VMs that this VM counts itself."""
        self._own_count = vm_count
        self._counts.add("", vm_count, now_s)
        self._apply_count(now_s)

    def state_count(self) -> Message | None:
        """Returns what this VM tells all others; None without quotas."""
        if self._own_count is None or not self._share_by_account:
            return None
        return CountStatement(self._own_count)

    def _vm_count(self, now_s: float) -> int | None:
        if self._own_count is None:
            return None
        return self._counts.measure(now_s, self._own_count)

    def _apply_count(self, now_s: float) -> None:
        vm_count = self._vm_count(now_s)
        for share in self._share_by_account.values():
            share.bucket.set_vm_count(vm_count, now_s)

    def request(
        self, account: str, units: float, wait_s: float, now_s: float
    ) -> Ticket:
        """Returns the ticket of a request; it may have to wait.

        Args:
          account: its account.
          units: what it costs.
          wait_s: how long it may wait.
          now_s: present time.
        """
        ticket = Ticket(account, units, now_s, now_s + wait_s)
        share = self._share_by_account.get(account)
        if share is None:
            ticket.taken = True
            return ticket
        share.demand.add(units, now_s)
        share.requests.add(1.0, now_s)
        share.settle_waiting(now_s)
        may_wait = self._may_wait(share, ticket, now_s)
        share.waiting.append(ticket)
        share.settle_waiting(now_s)
        if ticket.taken is None and not may_wait:
            share.waiting.remove(ticket)
            share.decide(ticket, False, now_s)
        return ticket

    def _may_wait(
        self, share: _AccountShare, ticket: Ticket, now_s: float
    ) -> bool:
        if ticket.units > share.bucket.largest or ticket.until_s <= now_s:
            return False
        if len(share.waiting) >= _MAX_WAITING:
            return False
        if self._list_peers() and now_s >= share.skip_peers_until_s:
            return True
        ahead = sum(other.units for other in share.waiting)
        lacking = ticket.units + ahead - share.bucket.measure(now_s)
        return lacking <= share.bucket.rate_per_s * (ticket.until_s - now_s)

    def give_back(self, account: str, units: float, now_s: float) -> None:
        """Returns the units of a request that certainly has not run."""
        share = self._share_by_account.get(account)
        if share is not None:
            share.bucket.give_back(units, now_s)

    def withdraw(self, ticket: Ticket, now_s: float) -> None:
        """Ends a ticket that waits no longer."""
        share = self._share_by_account.get(ticket.account)
        if ticket.taken is None and share is not None:
            share.waiting.remove(ticket)
            share.decide(ticket, False, now_s)

    def advance(self, now_s: float) -> list[tuple[str, Message]]:
        """Settles the waiting requests; returns messages to send, with VMs."""
        lacking: list[tuple[float, str, _AccountShare]] = []
        for id_, account in self._account_by_id.items():
            share = self._share_by_account.get(account or "")
            if share is None:
                continue
            share.settle_waiting(now_s)
            if now_s < share.next_want_s:
                continue
            missing = share.missing(now_s)
            if missing > 0.0:
                lacking.append((missing, id_, share))
        if not lacking:
            return []
        lacking.sort(key=lambda entry: (-entry[2].waited_ms(now_s), -entry[0]))
        return self._ask(lacking[:MAX_ACCOUNTS], now_s)

    def _ask(
        self, lacking: list[tuple[float, str, _AccountShare]], now_s: float
    ) -> list[tuple[str, Message]]:
        for _, _, share in lacking:
            share.next_want_s = now_s + _ROUND_S
        elapsed_s = max(0.0, now_s - self._wants_at_s)
        self._wants_at_s = now_s
        self._wants = min(_MAX_WANTS, self._wants + elapsed_s * _WANTS_PER_S)
        wished = max(share.peer_count for _, _, share in lacking)
        peers = self._choose_peers(min(wished, int(self._wants)))
        if not peers:
            return []
        self._wants -= len(peers)
        self._asked_ms = max(self._asked_ms + 1, int(now_s * 1000))
        want = Want(
            self._run,
            self._asked_ms,
            {
                id_: missing * _ASKED_RATIO / len(peers)
                for missing, id_, _ in lacking
            },
            {
                id_: share.room_ratio(missing * _ASKED_RATIO, now_s)
                for missing, id_, share in lacking
            },
            {id_: share.waited_ms(now_s) for _, id_, share in lacking},
        )
        for _, _, share in lacking:
            if share.waiting:
                grown = share.peer_count * _GROWTH
                share.peer_count = min(grown, int(_MAX_WANTS))
            else:
                share.peer_count = max(_FIRST_PEERS, share.peer_count // 2)
        return [(peer, want) for peer in peers]

    def _choose_peers(self, count: int) -> list[str]:
        """Returns the next peers in turn, from a random one."""
        peers = sorted(self._list_peers())
        if not peers or count <= 0:
            return []
        if not self._next_peer:
            self._next_peer = 1 + int(self._random_float() * len(peers))
        first = self._next_peer
        count = min(count, len(peers))
        self._next_peer = 1 + (first - 1 + count) % len(peers)
        return [peers[(first - 1 + i) % len(peers)] for i in range(count)]

    def receive(
        self, vm: str, message: Message, now_s: float
    ) -> list[tuple[str, Message]]:
        """Applies a message of another VM; returns the answer, if any."""
        match message:
            case CountStatement(vm_count):
                self._counts.add(vm, vm_count, now_s)
                self._apply_count(now_s)
            case Loan():
                self._borrow(vm, message, now_s)
            case Want():
                loan = self._lend(vm, message, now_s)
                return [] if loan is None else [(vm, loan)]
        return []

    def _lend(self, vm: str, want: Want, now_s: float) -> Loan | None:
        last = self._last_want_by_vm.get(vm)
        if last and last[0] == want.run and want.asked_ms <= last[1]:
            return None
        if len(self._last_want_by_vm) >= _MAX_SEEN:
            self._last_want_by_vm.clear()
        self._last_want_by_vm[vm] = (want.run, want.asked_ms)
        units_by_id, room_by_id = {}, {}
        for id_, wanted in want.units_by_id.items():
            share = self._find_share(id_)
            if share is None:
                continue
            share.settle_waiting(now_s)
            kept = share.kept(now_s)
            if share.waiting:
                if share.waited_ms(now_s) >= want.waited_ms_by_id.get(id_, 0):
                    continue
                kept = 0.0
            room = min(want.room_by_id.get(id_, 0), _UNITS_OF_ROOM)
            lent = share.bucket.lend(wanted, room / _UNITS_OF_ROOM, kept, now_s)
            if lent > 0.0:
                units_by_id[id_] = lent
                room_by_id[id_] = room
        if not units_by_id:
            return None
        self._loans += 1
        return Loan(
            self._run,
            self._loans,
            want.run,
            want.asked_ms,
            units_by_id,
            room_by_id,
        )

    def _find_share(self, id_: str) -> _AccountShare | None:
        account = self._account_by_id.get(id_)
        return None if account is None else self._share_by_account.get(account)

    def _borrow(self, vm: str, loan: Loan, now_s: float) -> None:
        asked_s = loan.asked_ms / 1000.0
        if loan.borrower_run != self._run or loan.asked_ms > self._asked_ms:
            return
        self._seen_loans = {
            seen: end_s
            for seen, end_s in self._seen_loans.items()
            if end_s > now_s
        }
        seen = (vm, loan.run, loan.number)
        if seen in self._seen_loans:
            return
        self._seen_loans[seen] = asked_s + LOAN_S
        for id_, units in loan.units_by_id.items():
            share = self._find_share(id_)
            if share is None:
                continue
            ratio = loan.room_by_id.get(id_, 0) / _UNITS_OF_ROOM
            if not share.bucket.borrow(units, ratio, asked_s, now_s):
                continue
            share.received.add(units, now_s)
            share.skip_peers_until_s = min(share.skip_peers_until_s, now_s)
            share.settle_waiting(now_s)


__all__ = ["QuotaShares", "Ticket"]
