"""Applies changes of the settings file while the process runs."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from result import Err, Result

from burdockspan.configuration.problem import Problem
from burdockspan.gateway.admission.retry_budget import RetryBudget
from burdockspan.gateway.choice.stage_orders import OrderSender
from burdockspan.gateway.graceful_stop import GracefulStop
from burdockspan.gateway.settings import GatewaySettings
from burdockspan.observe.event_log import WriteEvent

LoadSettings = Callable[[], Result[GatewaySettings, tuple[Problem, ...]]]
"""Reads the settings file again."""

# The other settings are addresses that sockets are bound to, the identity of
# the VM, and the number of threads.
_APPLIED_WHILE_RUNNING = frozenset(("grace_s", "lease_s", "retry_budget"))


def make_reload(
    settings: GatewaySettings,
    load_settings: LoadSettings,
    retry_budget: RetryBudget,
    graceful_stop: GracefulStop,
    order_sender: OrderSender,
    log: WriteEvent,
) -> Callable[[], None]:
    """Returns a function that reloads the settings.

    It applies the limits at once and reports other changes, which apply at the
    next start. If the file is invalid, all settings in force stay in force.
    Requests in flight are not affected.

    Args:
      settings: settings in force.
      load_settings: reads the settings file.
      retry_budget: limit of retries.
      graceful_stop: limit of the time after SIGTERM.
      order_sender: time between orders of two VMs.
      log: writes a log event.
    """
    in_force = [settings]

    def reload() -> None:
        loaded = load_settings()
        if isinstance(loaded, Err):
            log(
                "settings not reloaded",
                problems=[str(problem) for problem in loaded.err_value],
            )
            return
        previous, new = in_force[0], loaded.ok_value
        changed = [
            field.name
            for field in dataclasses.fields(GatewaySettings)
            if getattr(previous, field.name) != getattr(new, field.name)
        ]
        retry_budget.set_settings(new.retry_budget)
        graceful_stop.set_grace_s(new.grace_s)
        order_sender.set_lease_s(new.lease_s)
        in_force[0] = dataclasses.replace(
            previous,
            **{name: getattr(new, name) for name in _APPLIED_WHILE_RUNNING},
        )
        log(
            "settings reloaded",
            applied=[
                name for name in changed if name in _APPLIED_WHILE_RUNNING
            ],
            applied_at_next_start=[
                name for name in changed if name not in _APPLIED_WHILE_RUNNING
            ],
        )

    return reload


__all__ = ["LoadSettings", "make_reload"]
