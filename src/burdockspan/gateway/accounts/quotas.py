"""Charges requests to the quotas of their accounts."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Iterable

from result import Err, Ok, Result

from burdockspan.gateway.accounts import quota_messages
from burdockspan.gateway.accounts.quota_messages import Message
from burdockspan.gateway.accounts.quota_shares import QuotaShares, Ticket
from burdockspan.gateway.accounts.values import Account, Quota, QuotaUnit
from burdockspan.gateway.fleet.exchange import Exchange, Received
from burdockspan.gateway.values import GenerationSize
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.values.clock import Clock

TOPIC = "quota"
_MAX_RUN = 2**53
# Longest wait of a request for units, and its share of the objective.
_MAX_WAIT_S = 0.3
_MAX_WAIT_SHARE = 0.2
# A waiting request looks for units after this time, also without a message.
_CHECK_INTERVAL_S = 0.01
# An account counts as limited here until none of its requests has been refused
# for this time.
_LIMITED_S = 5.0


@dataclasses.dataclass(eq=False)
class Charge:
    """What a request has paid.

    Attributes:
      account: its account.
      units: what it cost.
      returned: whether it has been returned.
    """

    account: str
    units: float
    returned: bool = False


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A request lacks units.

    Attributes:
      retry_after_s: when units are expected.
    """

    retry_after_s: float


def count_units(quota: Quota, size: GenerationSize | None) -> float:
    """Returns what a request costs."""
    if quota.unit is QuotaUnit.REQUESTS:
        return 1.0
    if size is None:
        return quota.plain_units
    return float(size.prompt_tokens + size.max_output_tokens)


class AccountQuotas:
    """Charges requests, and exchanges units with the other VMs."""

    def __init__(
        self,
        slack: float,
        max_waiting: int,
        exchange: Exchange,
        boot_clock: Clock,
        log: WriteEvent,
        registry: Registry,
    ) -> None:
        self._exchange = exchange
        self._boot_clock = boot_clock
        self._log = log
        self._registry = registry
        self._changed = threading.Condition()
        self._max_waiting = max_waiting
        self._waiting = 0
        self._limited_until_s: dict[str, float] = {}
        self._shares = QuotaShares(
            random.SystemRandom().randrange(_MAX_RUN),
            slack,
            exchange.list_peers,
            random.Random().random,
        )
        exchange.add_topic(TOPIC, self._make_statement, self._receive)

    def set_accounts(self, accounts: Iterable[Account] | None) -> None:
        """Replaces the limits; those of other accounts are forgotten."""
        quotas = {
            account.name: account.quota
            for account in accounts or ()
            if account.quota is not None
        }
        with self._changed:
            self._shares.set_quotas(quotas, self._boot_clock())
            for account in self._limited_until_s.keys() - quotas.keys():
                del self._limited_until_s[account]
            self._changed.notify_all()

    def set_vm_count(self, vm_count: int) -> None:
        """Sets the number of VMs that share the quotas."""
        with self._changed:
            self._shares.set_vm_count(vm_count, self._boot_clock())
            self._changed.notify_all()

    def charge(
        self,
        account: Account,
        size: GenerationSize | None,
        objective_s: float,
        request_id: str,
    ) -> Result[Charge | None, Refusal]:
        """Charges a request, which may wait a little for units.

        Args:
          account: its account.
          size: size of a generation; None for other requests.
          objective_s: latency objective of its route.
          request_id: its identity, for the log.

        Returns:
          The charge, None if the account has no quota, or the refusal.
        """
        if account.quota is None:
            return Ok(None)
        units = count_units(account.quota, size)
        wait_s = min(_MAX_WAIT_S, _MAX_WAIT_SHARE * objective_s)
        ticket = self._take(account.name, units, wait_s)
        now_s = self._boot_clock()
        waited_s = now_s - ticket.asked_s
        if ticket.taken:
            outcome = "granted" if waited_s < _CHECK_INTERVAL_S else "waited"
            self._registry.count("quota", outcome)
            self._record_unlimited(account.name, now_s)
            return Ok(Charge(account.name, units))
        self._registry.count("quota", "refused")
        self._record_limited(account.name, now_s)
        self._log(
            "quota refused",
            request_id=request_id,
            account=account.name,
            units=round(units, 1),
            held=round(ticket.held, 1),
            rate_per_s=account.quota.rate_per_s,
            waited_s=round(waited_s, 3),
            retry_after_s=round(ticket.retry_after_s, 2),
        )
        return Err(Refusal(ticket.retry_after_s))

    def give_back(self, charge: Charge) -> None:
        """Returns a charge, once, of a request that certainly has not run."""
        with self._changed:
            if charge.returned:
                return
            charge.returned = True
            self._shares.give_back(
                charge.account, charge.units, self._boot_clock()
            )
            self._changed.notify_all()
        self._registry.count("quota", "returned")

    def _take(self, account: str, units: float, wait_s: float) -> Ticket:
        with self._changed:
            if self._waiting >= self._max_waiting:
                wait_s = 0.0
            now_s = self._boot_clock()
            ticket = self._shares.request(account, units, wait_s, now_s)
            messages = self._shares.advance(now_s)
            self._waiting += 1
        try:
            self._send(messages)
            while ticket.taken is None:
                with self._changed:
                    if ticket.taken is None:
                        self._changed.wait(_CHECK_INTERVAL_S)
                    messages = self._shares.advance(self._boot_clock())
                    self._changed.notify_all()
                self._send(messages)
        finally:
            with self._changed:
                self._waiting -= 1
                self._shares.withdraw(ticket, self._boot_clock())
        return ticket

    def _send(self, messages: Iterable[tuple[str, Message]]) -> None:
        for vm, message in messages:
            self._exchange.send(vm, TOPIC, quota_messages.encode(message))

    def _make_statement(self) -> object:
        with self._changed:
            statement = self._shares.state_count()
        return None if statement is None else quota_messages.encode(statement)

    def _receive(self, received: Received) -> Result[None, str]:
        decoded = quota_messages.decode(received.value)
        if isinstance(decoded, Err):
            return decoded
        with self._changed:
            answer = self._shares.receive(
                received.vm, decoded.ok_value, self._boot_clock()
            )
            if isinstance(decoded.ok_value, quota_messages.Loan):
                self._registry.count("quota", "borrowed")
                self._changed.notify_all()
        if answer:
            self._registry.count("quota", "lent")
        self._send(answer)
        return Ok(None)

    def _record_limited(self, account: str, now_s: float) -> None:
        with self._changed:
            is_new = account not in self._limited_until_s
            self._limited_until_s[account] = now_s + _LIMITED_S
        if is_new:
            self._log("account limited", account=account)
        self._set_gauge()

    def _record_unlimited(self, account: str, now_s: float) -> None:
        if account not in self._limited_until_s:
            return
        with self._changed:
            until_s = self._limited_until_s.get(account)
            if until_s is None or until_s > now_s:
                return
            del self._limited_until_s[account]
        self._log("account no longer limited", account=account)
        self._set_gauge()

    def _set_gauge(self) -> None:
        self._registry.set_gauge("limited_accounts", len(self._limited_until_s))


__all__ = ["TOPIC", "AccountQuotas", "Charge", "Refusal", "count_units"]
