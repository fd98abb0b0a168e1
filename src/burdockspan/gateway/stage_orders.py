"""Orders to engines, from one holder at a time.

Engines may not check fencing tokens, so that the holder itself must not act on
a lease that has run out. A lease is therefore taken for one batch of orders:
its holder sends them within a short time after it wrote the lease, and nobody
else takes the lease until it has seen it unchanged for much longer. A holder
whose write got no answer sends nothing.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

from result import Err, Ok

from burdockspan.gateway.ports import EndpointClient, Store
from burdockspan.gateway.values import Endpoint, Stage
from burdockspan.observe.event_log import WriteEvent
from burdockspan.values.clock import Clock

KIND = "burdockspan-leases"
_NAME = "orders"
# Time from the write of the lease to the last order; the clock includes the
# time in which the VM was suspended.
SEND_WINDOW_S = 1.0
# Added to the time in which two holders must not take turns.
_MARGIN_S = 2.0
# An order without an answer may be carried out this much later.
_ORDER_SETTLE_S = 20.0


@dataclasses.dataclass(frozen=True)
class Lease:
    """The lease as the store holds it.

    Attributes:
      revision: revision of the object.
      holder: VM that took it last.
      fence: fencing token, higher for each batch.
      engines: engines that were sent orders lately.
    """

    revision: int
    holder: str
    fence: int
    engines: tuple[str, ...]


class OrderSender:
    """Sends orders as the holder of the lease."""

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
        self._lease_seen_s = 0.0
        self._ordered_s_by_engine: dict[str, float] = {}

    def read_lease(self) -> bool:
        """Reads the lease; False if the store does not answer."""
        listed = self._store.list_objects(KIND)
        if isinstance(listed, Err):
            return False
        held = next(
            (one for one in listed.ok_value.objects if one.name == _NAME), None
        )
        lease = None if held is None else _decode(held.revision, held.value)
        if self._lease is None or lease != self._lease:
            self._lease = lease
            self._lease_seen_s = self._boot_clock()
            if lease is not None and lease.holder != self._vm:
                for engine in lease.engines:
                    self._ordered_s_by_engine[engine] = self._lease_seen_s
        return True

    def exclude_ordered(
        self, engines: Sequence[Endpoint]
    ) -> tuple[Endpoint, ...]:
        """Returns the engines that nobody ordered lately.

        Returns none if the store does not tell what others ordered.
        """
        if not self.read_lease():
            return ()
        now_s = self._boot_clock()
        return tuple(one for one in engines if self._is_settled(one, now_s))

    def send(
        self, engines: Sequence[Endpoint], stage: Stage
    ) -> tuple[Endpoint, ...]:
        """Orders engines to change their stage, if this VM gets the lease.

        Returns:
          The engines that an order was sent to.
        """
        if not self.read_lease():
            return ()
        begun_s = self._boot_clock()
        due = [one for one in engines if self._is_settled(one, begun_s)]
        if not due or not self._may_acquire(begun_s):
            return ()
        fence = self._acquire([one.id for one in due])
        if fence is None:
            return ()
        return tuple(
            one for one in due if self._send(one, stage, fence, begun_s)
        )

    def _is_settled(self, engine: Endpoint, now_s: float) -> bool:
        last_s = self._ordered_s_by_engine.get(engine.id)
        return last_s is None or now_s - last_s > _ORDER_SETTLE_S

    def _may_acquire(self, now_s: float) -> bool:
        lease = self._lease
        if lease is None or lease.holder == self._vm:
            return True
        return (
            now_s - self._lease_seen_s
            > self._lease_s + SEND_WINDOW_S + _MARGIN_S
        )

    def _acquire(self, engines: list[str]) -> int | None:
        lease = self._lease
        fence = 1 if lease is None else lease.fence + 1
        value = {"holder": self._vm, "fence": fence, "engines": engines}
        if lease is None:
            written = self._store.create(KIND, _NAME, value)
        else:
            written = self._store.replace(KIND, _NAME, value, lease.revision)
        if isinstance(written, Err):
            # Without an answer the write may still be applied; the token in
            # it is then never used.
            self._log("lease not taken", cause=written.err_value.value)
            return None
        self._lease = _decode(written.ok_value.revision, value)
        self._lease_seen_s = self._boot_clock()
        self._log("lease taken", fence=fence, engines=engines)
        return fence

    def _send(
        self, engine: Endpoint, stage: Stage, fence: int, begun_s: float
    ) -> bool:
        loaded = self._endpoints.fetch_load(engine)
        if isinstance(loaded, Err) or loaded.ok_value.busy:
            self._log("order withheld", endpoint=engine.id)
            return False
        if self._boot_clock() - begun_s > SEND_WINDOW_S:
            self._log("lease ran out", endpoint=engine.id, fence=fence)
            return False
        self._ordered_s_by_engine[engine.id] = self._boot_clock()
        given = self._endpoints.order_stage(
            engine, stage, self._vm, fence, loaded.ok_value.orders
        )
        accepted = isinstance(given, Ok)
        self._log(
            "order sent",
            endpoint=engine.id,
            stage=stage.value,
            fence=fence,
            expected_orders=loaded.ok_value.orders,
            outcome="accepted" if accepted else "failed",
            detail=None if isinstance(given, Ok) else given.err_value.detail,
        )
        return True


def _decode(revision: int, value: Any) -> Lease | None:
    if not isinstance(value, Mapping):
        return Lease(revision, "", 0, ())
    fence = value.get("fence")
    engines = value.get("engines")
    return Lease(
        revision=revision,
        holder=str(value.get("holder", "")),
        fence=fence if isinstance(fence, int) else 0,
        engines=tuple(one for one in engines if isinstance(one, str))
        if isinstance(engines, list)
        else (),
    )


__all__ = ["KIND", "SEND_WINDOW_S", "Lease", "OrderSender"]
