"""Fleets of real processes for tests."""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import sys
import unittest
from collections.abc import Iterator, Sequence
from typing import Any

from burdockspan.configuration.codec import encode_configuration
from burdockspan.configuration.document import Configuration, Policy
from burdockspan.configuration.generate import generate
from burdockspan.configuration.questionnaire import parse_questionnaire
from standins import launcher
from standins.launcher import EndpointPlan, Fleet, FleetPlan, Process

ZONE = "fes-a"
MODEL_SERVICE = "qalam-models"
PLAIN_SERVICE = "hajz-app"
# Guarantee P1: engines release the memory of a call that was disconnected or
# whose entry VM failed within this time.
RELEASE_LIMIT_S = 2.0
MODEL = "qalam-large"
AUTHORIZATION = {"Authorization": "Bearer demo-token"}

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "atlas.yaml"


def make_configuration(policy: Policy | None = None) -> Configuration:
    """Returns the configuration of the example as generation 1."""
    questionnaire = parse_questionnaire(EXAMPLE.read_text()).unwrap()
    configuration = generate(questionnaire, None)
    if policy is None:
        return configuration
    return dataclasses.replace(configuration, policy=policy)


def make_plan(
    entries: int = 4,
    prefill: int = 2,
    decode: int = 2,
    services: Sequence[tuple[str, ...]] = ((),),
    token_gap_ms: int = 5,
    zones: Sequence[str] = (ZONE,),
    engine_options: Sequence[str] = (),
) -> FleetPlan:
    """Returns a plan that distributes the VMs round-robin over the zones.

    Args:
      entries: number of entry VMs, named entry-1, entry-2 and so on.
      prefill: number of prefill engines, named prefill-1 and so on.
      decode: number of decode engines, named decode-1 and so on.
      services: stand-in options of each endpoint of the plain service,
        named service-1 and so on.
      token_gap_ms: time between two tokens of an engine.
      zones: availability zones.
      engine_options: additional stand-in options of each engine.
    """
    common_options = ("--token-gap-ms", str(token_gap_ms), *engine_options)

    def choose_zone(number: int) -> str:
        return zones[number % len(zones)]

    engines = [
        EndpointPlan(
            f"{pool}-{number + 1}",
            MODEL_SERVICE,
            pool,
            choose_zone(number),
            common_options,
        )
        for pool, count in (("prefill", prefill), ("decode", decode))
        for number in range(count)
    ]
    service_endpoints = [
        EndpointPlan(
            f"service-{number + 1}",
            PLAIN_SERVICE,
            "service",
            choose_zone(number),
            options,
        )
        for number, options in enumerate(services)
    ]
    return FleetPlan(
        endpoints=(*engines, *service_endpoints),
        zone_by_entry_name={
            f"entry-{number + 1}": choose_zone(number)
            for number in range(entries)
        },
        command=(sys.executable, "-m", "burdockspan"),
        region="maghreb-north",
    )


@contextlib.contextmanager
def running_fleet(
    plan: FleetPlan | None = None, configuration: Configuration | None = None
) -> Iterator[Fleet]:
    """Runs a fleet in which every entry VM can use every endpoint."""
    document = encode_configuration(configuration or make_configuration())
    with launcher.run_fleet(plan or make_plan(), document) as fleet:
        wait_until_usable(fleet)
        yield fleet


def wait_until_usable(fleet: Fleet) -> None:
    """Waits until all entry VMs are members and can use all endpoints."""
    for entry in fleet.entries:
        launcher.wait_until(
            lambda entry=entry: _can_use_all(fleet, entry),
            f"{entry.name} can use all endpoints; its log: {entry.log_path}",
        )


def read_status(entry: Process) -> dict[str, Any]:
    """Returns the response of an entry VM to /admin/status."""
    status: dict[str, Any] = launcher.call(
        entry.admin_address, "GET", "/admin/status"
    ).json()
    return status


def count_reserved_pieces(fleet: Fleet, names: Sequence[str]) -> int:
    """Returns the memory that is reserved on some engines, in pieces."""
    return sum(
        attempt["pieces"]
        for name in names
        for attempt in fleet.processes_by_name[name]
        .call("GET", "/attempts")
        .json()["attempts"]
    )


def assert_released(
    case: unittest.TestCase, fleet: Fleet, names: Sequence[str]
) -> None:
    """Checks that some engines release all memory within 2 s."""
    elapsed_s = launcher.wait_until(
        lambda: count_reserved_pieces(fleet, names) == 0,
        "all memory is released",
    )
    case.assertLessEqual(elapsed_s, RELEASE_LIMIT_S)


def _can_use_all(fleet: Fleet, entry: Process) -> bool:
    status = read_status(entry)
    usable_endpoints = [
        endpoint for endpoint in status["endpoints"] if endpoint["usable"]
    ]
    alive_members = [
        member for member in status["members"] if member["state"] == "alive"
    ]
    has_all_endpoints = len(usable_endpoints) == len(fleet.plan.endpoints)
    return has_all_endpoints and len(alive_members) == len(
        fleet.plan.zone_by_entry_name
    )


__all__ = [
    "AUTHORIZATION",
    "EXAMPLE",
    "RELEASE_LIMIT_S",
    "MODEL",
    "MODEL_SERVICE",
    "PLAIN_SERVICE",
    "ZONE",
    "assert_released",
    "count_reserved_pieces",
    "make_configuration",
    "make_plan",
    "read_status",
    "running_fleet",
    "wait_until_usable",
]
