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
    def test_engines_get_their_models_through_every_fault(self) -> None:
        """Guards against an engine that stays without its models.

        A dead owner, a restarted engine and a refused fencing token each end
        with the models loaded, and a refused token is never sent again.
        """
        plan = make_plan(entries=2, decode=1, services=())
        with running_fleet(plan) as fleet:
            for name in _ENGINES:
                wait_orders(fleet, name, {(1, "1")})
            owner = find_owner(fleet)
            sent = len(read_taken(fleet, _ENGINE))
            fleet.processes_by_name.pop(owner).kill()
            launcher.wait_until(
                lambda: len(read_taken(fleet, _ENGINE)) > sent,
                "the new owner ordered again",
            )

            fleet.processes_by_name[_ENGINE].kill()
            endpoint = next(e for e in plan.endpoints if e.name == _ENGINE)
            fleet.start_endpoint(endpoint)
            fleet.set_vm_list()
            wait_orders(fleet, _ENGINE, {(1, "1")})

            # The stand-in refuses one order, so that a repetition of the
            # refused generation would be taken and seen below.
            fleet.processes_by_name[_ENGINE].set_faults(refuse_fencing=1)
            accept(fleet, make_document(2))
            launcher.wait_until(
                lambda: read_orders(fleet)[_ENGINE]["refused_generation"] == 2,
                "the owner knows that generation 2 was refused",
            )
            wait_orders(fleet, "prefill-1", {(1, "1"), (2, "2")})
            accept(fleet, make_document(3))
            wait_orders(fleet, _ENGINE, {(1, "1"), (3, "2")})
            for name in _ENGINES:
                taken = read_taken(fleet, name)
                self.assertEqual(taken, sorted(taken))


def make_document(generation: int) -> Configuration:
    held = make_configuration()
    services = tuple(
        dataclasses.replace(
            service,
            models=tuple(
                dataclasses.replace(model, version="2")
                for model in service.models
            ),
        )
        for service in held.services
    )
    return dataclasses.replace(held, generation=generation, services=services)


def accept(fleet: Fleet, configuration: Configuration) -> None:
    launcher.put_configuration(
        fleet.platform, encode_configuration(configuration)
    )


def read_taken(fleet: Fleet, name: str) -> list[tuple[int, str]]:
    """Returns fencing token and version of each order that an engine took."""
    stats = fleet.processes_by_name[name].call("GET", "/stats").json()
    return [
        (one["fencing"], one["version"])
        for one in stats["orders"]
        if one["kind"] == "load_model"
    ]


def wait_orders(fleet: Fleet, name: str, wanted: set[tuple[int, str]]) -> None:
    launcher.wait_until(
        lambda: set(read_taken(fleet, name)) == wanted, f"{name} took {wanted}"
    )


def read_orders(fleet: Fleet) -> dict[str, dict[str, Any]]:
    """Returns what the owners say of each engine."""
    return {
        row["vm"]: row
        for process in fleet.processes_by_name.values()
        if process.admin_address
        for row in read_status(process)["orders"]
    }


def find_owner(fleet: Fleet) -> str:
    """Returns the entry VM that owns the decode engine."""
    return next(
        entry.name
        for entry in fleet.entries
        for row in read_status(entry)["orders"]
        if row["vm"] == _ENGINE
    )
