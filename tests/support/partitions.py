"""Partitions of a gateway from all endpoints."""

from __future__ import annotations

import dataclasses
import enum
import time
from collections.abc import Callable
from typing import Any

from result import Err

from burdockspan.gateway.ports import (
    AttemptOptions,
    EndpointClient,
    ObserveSignals,
    Platform,
)
from burdockspan.gateway.values import Endpoint
from burdockspan.platform.adapter import make_platform
from burdockspan.values.clock import Clock
from burdockspan.values.placement import Failure, FailureKind

_CONNECT_TIMEOUT_S = 0.25
_CONTROL_TIMEOUT_S = 0.5


class Cut(enum.Enum):
    """What happens to a new connection during a partition.

    HANG: it is never opened.
    REFUSE: it is refused at once.
    RESET: it is opened, and reset before the response.
    SILENT: it is opened, and nothing arrives on it.
    """

    HANG = "hang"
    REFUSE = "refuse"
    RESET = "reset"
    SILENT = "silent"


class Partition:
    """Cuts one gateway off from all endpoints while it is in force.

    Attributes:
      cut: what happens to new connections; None while there is no partition.
      calls: number of calls that it has cut.
    """

    def __init__(self) -> None:
        self.cut: Cut | None = None
        self.calls = 0

    def make_platform(
        self, store_address: str, clock: Clock, observe_signals: ObserveSignals
    ) -> Platform:
        """Returns the adapter of the gateway that is cut off."""
        platform = make_platform(store_address, clock, observe_signals)
        return dataclasses.replace(
            platform, endpoints=self._guard(platform.endpoints)
        )

    def _guard(self, client: EndpointClient) -> EndpointClient:
        return EndpointClient(
            **{
                field.name: self._guard_call(
                    field.name, getattr(client, field.name)
                )
                for field in dataclasses.fields(client)
            }
        )

    def _guard_call(
        self, name: str, call: Callable[..., Any]
    ) -> Callable[..., Any]:
        def guarded(endpoint: Endpoint, *args: Any) -> Any:
            cut = self.cut
            if cut is None:
                return call(endpoint, *args)
            self.calls += 1
            if cut is Cut.HANG:
                time.sleep(_CONNECT_TIMEOUT_S)
            if name == "is_reachable":
                return cut in (Cut.RESET, Cut.SILENT)
            if name.startswith("release"):
                return None
            kind = FailureKind.NOT_CONNECTED
            if cut is Cut.RESET:
                kind = FailureKind.CONNECTION_LOST
            if cut is Cut.SILENT:
                kind = FailureKind.UNRESPONSIVE
                _wait_in_silence(args)
            return Err(Failure(kind, endpoint.id, f"partition: {cut.value}"))

        return guarded


def _wait_in_silence(args: tuple[Any, ...]) -> None:
    """Waits like a call without a response, until its time has passed."""
    options = next((a for a in args if isinstance(a, AttemptOptions)), None)
    if options is None:
        time.sleep(_CONTROL_TIMEOUT_S)
        return
    end_s = time.monotonic() + options.remaining_s
    limit_s: float | None = options.head_silence_limit_s
    while limit_s is not None and time.monotonic() < end_s:
        time.sleep(max(0.0, min(limit_s, end_s - time.monotonic())))
        limit_s = options.on_silence()


__all__ = ["Cut", "Partition"]
