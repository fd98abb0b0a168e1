from __future__ import annotations

import dataclasses
import unittest
from typing import Any

from burdockspan.configuration.codec import encode_configuration
from burdockspan.configuration.document import Configuration
from standins import launcher
from standins.launcher import Fleet
from tests.support.fleets import (
    make_configuration,
    make_plan,
    read_status,
    running_fleet,
)

_ENGINE = "decode-1"
_ENGINES = ("prefill-1", "prefill-2", _ENGINE)


class OrdersTest(unittest.TestCase):
    def test_engines_load_their_models_after_every_fault(self) -> None:
        """Guards against an engine that never loads its models.

        After the crash of the owner, a restart of the engine and a refused
        fencing token, the models are loaded again, and the refused token is
        not sent again.
        """
        plan = make_plan(entries=2, decode=1, services=())
        with running_fleet(plan) as fleet:
            for name in _ENGINES:
                wait_for_orders(fleet, name, {(1, "1")})
            owner = find_owner(fleet)
            order_count = len(list_accepted_orders(fleet, _ENGINE))
            fleet.processes_by_name.pop(owner).kill()
            launcher.wait_until(
                lambda: len(list_accepted_orders(fleet, _ENGINE)) > order_count,
                "the new owner has sent an order",
            )

            fleet.processes_by_name[_ENGINE].kill()
            endpoint = next(e for e in plan.endpoints if e.name == _ENGINE)
            fleet.start_endpoint(endpoint)
            fleet.set_vm_list()
            wait_for_orders(fleet, _ENGINE, {(1, "1")})

            # The stand-in refuses only one order, so it would accept and list
            # a repetition of the refused generation.
            fleet.processes_by_name[_ENGINE].set_faults(refuse_fencing=1)
            accept(fleet, make_configuration_with_model_version_2(2))
            launcher.wait_until(
                lambda: (
                    read_order_states(fleet)[_ENGINE]["refused_generation"] == 2
                ),
                "the owner has recorded that generation 2 was refused",
            )
            wait_for_orders(fleet, "prefill-1", {(1, "1"), (2, "2")})
            accept(fleet, make_configuration_with_model_version_2(3))
            wait_for_orders(fleet, _ENGINE, {(1, "1"), (3, "2")})
            for name in _ENGINES:
                accepted = list_accepted_orders(fleet, name)
                self.assertEqual(accepted, sorted(accepted))


def make_configuration_with_model_version_2(generation: int) -> Configuration:
    configuration = make_configuration()
    services = tuple(
        dataclasses.replace(
            service,
            models=tuple(
                dataclasses.replace(model, version="2")
                for model in service.models
            ),
        )
        for service in configuration.services
    )
    return dataclasses.replace(
        configuration, generation=generation, services=services
    )


def accept(fleet: Fleet, configuration: Configuration) -> None:
    """Writes a configuration to the platform."""
    launcher.put_configuration(
        fleet.platform, encode_configuration(configuration)
    )


def list_accepted_orders(fleet: Fleet, name: str) -> list[tuple[int, str]]:
    """Returns fencing token and version of the accepted load orders."""
    stats = fleet.processes_by_name[name].call("GET", "/stats").json()
    return [
        (order["fencing"], order["version"])
        for order in stats["orders"]
        if order["kind"] == "load_model"
    ]


def wait_for_orders(
    fleet: Fleet, name: str, expected: set[tuple[int, str]]
) -> None:
    launcher.wait_until(
        lambda: set(list_accepted_orders(fleet, name)) == expected,
        f"{name} accepted {expected}",
    )


def read_order_states(fleet: Fleet) -> dict[str, dict[str, Any]]:
    """Returns the order states of the owners by name of the engine."""
    return {
        state["vm"]: state
        for process in fleet.processes_by_name.values()
        if process.admin_address
        for state in read_status(process)["orders"]
    }


def find_owner(fleet: Fleet) -> str:
    """Returns the name of the entry VM that owns the decode engine.

    The owner sends the orders of the engine.
    """
    return next(
        entry.name
        for entry in fleet.entries
        for state in read_status(entry)["orders"]
        if state["vm"] == _ENGINE
    )
