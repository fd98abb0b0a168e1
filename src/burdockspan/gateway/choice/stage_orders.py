"""Orders engines to change their stage, as the holder of a lease in the store.

Some engines do not check fencing tokens, so a holder must not act on an expired
lease. Each lease is therefore for one batch of orders. Its holder sends them
within a short time after writing the lease, and another VM acquires the lease
only after it has been unchanged for much longer. A VM whose write of the lease
got no response sends no orders.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

from result import Err, Ok

from burdockspan.gateway.ports import Consistency, EndpointClient, Store
from burdockspan.gateway.values import Endpoint, Stage
from burdockspan.observe.event_log import WriteEvent
from burdockspan.values.clock import Clock

KIND = "burdockspan-leases"
_OBJECT_NAME = "orders"
# Limit of the time from acquiring the lease to the last order. It is measured
# with the boot clock, which includes time during which the VM was suspended.
SEND_WINDOW_S = 1.0
# Safety margin in the time that must pass between the leases of two holders.
_LEASE_MARGIN_S = 2.0
# After an order, an engine gets no second one for this time. An order that got
# no response may still be executed within it.
_RECENT_ORDER_S = 20.0
# Fencing tokens of one era of the store. A store that comes back from a copy
# may have lost the latest tokens, so that those of the next era begin above all
# of them.
_TOKENS_PER_ERA = 1_000_000


@dataclasses.dataclass(frozen=True)
class Lease:
    """The lease as stored.

    Attributes:
      revision: revision of the stored object.
      holder: VM that acquired it last.
      fencing_token: increases with each batch of orders.
      engines: engines that the latest batch was for.
    """

    revision: int
    holder: str
    fencing_token: int
    engines: tuple[str, ...]


class OrderSender:
    """Acquires the lease and sends orders."""

    def __init__(
        self,
        vm: str,
        store: Store,
        endpoints: EndpointClient,
        lease_s: float,
        boot_clock: Clock,
        log: WriteEvent,
    ) -> None:
        self._vm = vm
        self._store = store
        self._endpoints = endpoints
        self._lease_s = lease_s
        self._boot_clock = boot_clock
        self._log = log
        self._lease: Lease | None = None
        self._lease_observed_s = 0.0
        self._era: int | None = None
        # When the store came back from a copy, which may have lost a lease.
        self._era_rose_s: float | None = None
        self._ordered_s_by_engine: dict[str, float] = {}

    def set_lease_s(self, lease_s: float) -> None:
        """Changes the time between orders of two different VMs."""
        self._lease_s = lease_s

    def read_lease(self) -> bool:
        """Reads the lease; returns False if the store is unavailable."""
        listing = self._store.list_objects(KIND, Consistency.LATEST)
        if isinstance(listing, Err) or not self._observe_era(
            listing.ok_value.era
        ):
            return False
        stored = next(
            (
                listed
                for listed in listing.ok_value.objects
                if listed.name == _OBJECT_NAME
            ),
            None,
        )
        lease = (
            None if stored is None else _decode(stored.revision, stored.value)
        )
        if self._lease is None or lease != self._lease:
            self._lease = lease
            self._lease_observed_s = self._boot_clock()
            if lease is not None and lease.holder != self._vm:
                for engine in lease.engines:
                    self._ordered_s_by_engine[engine] = self._lease_observed_s
        return True

    def _observe_era(self, era: int | None) -> bool:
        """Records the era of an answer; returns False for an earlier one."""
        if era is None or era == self._era:
            return True
        if self._era is not None:
            if era < self._era:
                return False
            self._era_rose_s = self._boot_clock()
            self._log("store era rose", watching="leases", era=era)
        self._era = era
        return True

    def exclude_ordered(
        self, engines: Sequence[Endpoint]
    ) -> tuple[Endpoint, ...]:
        """Returns the engines without a recent order of any VM.

        Returns none if the store is unavailable, since the orders of other VMs
        are then unknown.
        """
        if not self.read_lease():
            return ()
        now_s = self._boot_clock()
        return tuple(
            engine
            for engine in engines
            if self._has_no_recent_order(engine, now_s)
        )

    def send_orders(
        self, engines: Sequence[Endpoint], stage: Stage
    ) -> tuple[Endpoint, ...]:
        """Orders engines to change their stage if this VM gets the lease.

        Returns:
          The engines that an order was sent to.
        """
        if not self.read_lease():
            return ()
        started_s = self._boot_clock()
        orderable = [
            engine
            for engine in engines
            if self._has_no_recent_order(engine, started_s)
        ]
        if not orderable or not self._may_acquire(started_s):
            return ()
        fencing_token = self._acquire([engine.id for engine in orderable])
        if fencing_token is None:
            return ()
        return tuple(
            engine
            for engine in orderable
            if self._send_order(engine, stage, fencing_token, started_s)
        )

    def _has_no_recent_order(self, engine: Endpoint, now_s: float) -> bool:
        ordered_s = self._ordered_s_by_engine.get(engine.id)
        return ordered_s is None or now_s - ordered_s > _RECENT_ORDER_S

    def _may_acquire(self, now_s: float) -> bool:
        expiry_s = self._lease_s + SEND_WINDOW_S + _LEASE_MARGIN_S
        if (
            self._era_rose_s is not None
            and now_s - self._era_rose_s <= expiry_s
        ):
            # The lease of another VM may have been lost.
            return False
        lease = self._lease
        if lease is None or lease.holder == self._vm:
            return True
        return now_s - self._lease_observed_s > expiry_s

    def _acquire(self, engines: list[str]) -> int | None:
        lease = self._lease
        fencing_token = max(
            1 if lease is None else lease.fencing_token + 1,
            _TOKENS_PER_ERA * (self._era or 0) + 1,
        )
        value = {"holder": self._vm, "fence": fencing_token, "engines": engines}
        if lease is None:
            outcome = self._store.create(KIND, _OBJECT_NAME, value)
        else:
            outcome = self._store.replace(
                KIND, _OBJECT_NAME, value, lease.revision
            )
        if isinstance(outcome, Err):
            # If there was no response, the write may still be applied. No order
            # is sent with its fencing token, however.
            self._log("lease not taken", cause=outcome.err_value.value)
            return None
        if outcome.ok_value.era != self._era:
            # The store has come back from a copy between the read of the lease
            # and this write: its revisions cannot be compared.
            self._log("lease not taken", cause="store era rose")
            return None
        self._lease = _decode(outcome.ok_value.revision, value)
        self._lease_observed_s = self._boot_clock()
        self._log("lease taken", fence=fencing_token, engines=engines)
        return fencing_token

    def _send_order(
        self,
        engine: Endpoint,
        stage: Stage,
        fencing_token: int,
        started_s: float,
    ) -> bool:
        load_report = self._endpoints.fetch_load(engine)
        if isinstance(load_report, Err) or load_report.ok_value.busy:
            self._log("order withheld", endpoint=engine.id)
            return False
        if self._boot_clock() - started_s > SEND_WINDOW_S:
            self._log("lease ran out", endpoint=engine.id, fence=fencing_token)
            return False
        self._ordered_s_by_engine[engine.id] = self._boot_clock()
        outcome = self._endpoints.order_stage(
            engine, stage, self._vm, fencing_token, load_report.ok_value.orders
        )
        accepted = isinstance(outcome, Ok)
        self._log(
            "order sent",
            endpoint=engine.id,
            stage=stage.value,
            fence=fencing_token,
            expected_orders=load_report.ok_value.orders,
            outcome="accepted" if accepted else "failed",
            detail=None
            if isinstance(outcome, Ok)
            else outcome.err_value.detail,
        )
        return True


def _decode(revision: int, value: Any) -> Lease | None:
    """Returns the lease; one without a holder if the object is malformed."""
    if not isinstance(value, Mapping):
        return Lease(revision, "", 0, ())
    fencing_token = value.get("fence")
    engines = value.get("engines")
    return Lease(
        revision=revision,
        holder=str(value.get("holder", "")),
        fencing_token=fencing_token if isinstance(fencing_token, int) else 0,
        engines=tuple(engine for engine in engines if isinstance(engine, str))
        if isinstance(engines, list)
        else (),
    )


__all__ = ["KIND", "SEND_WINDOW_S", "Lease", "OrderSender"]
