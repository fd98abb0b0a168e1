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
# Promise P1 of the design page.
RELEASE_LIMIT_S = 2.0
MODEL = "qalam-large"
AUTHORIZATION = {"Authorization": "Bearer demo-token"}

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "atlas.yaml"


def make_configuration(policy: Policy | None = None) -> Configuration:
    """Returns the example's configuration as generation 1."""
    answers = parse_questionnaire(EXAMPLE.read_text()).unwrap()
    made = generate(answers, None)
    if policy is None:
        return made
    return dataclasses.replace(made, policy=policy)


def make_plan(
    entries: int = 4,
    prefill: int = 2,
    decode: int = 2,
    services: Sequence[tuple[str, ...]] = ((),),
    token_gap_ms: int = 5,
    zones: Sequence[str] = (ZONE,),
    engine_options: Sequence[str] = (),
) -> FleetPlan:
    """Returns a plan; entry VMs and engines take the zones in turn.

    Args:
      entries: number of entry VMs, named entry-1 and on.
      prefill: number of prefill engines, named prefill-1 and on.
      decode: number of decode engines, named decode-1 and on.
      services: stand-in options of each replica, named service-1 and on.
      token_gap_ms: time between two tokens.
      zones: availability zones.
      engine_options: further stand-in options of each engine.
    """
    gap = ("--token-gap-ms", str(token_gap_ms), *engine_options)

    def zone_of(number: int) -> str:
        return zones[number % len(zones)]

    engines = [
        EndpointPlan(
            f"{pool}-{number + 1}", MODEL_SERVICE, pool, zone_of(number), gap
        )
        for pool, count in (("prefill", prefill), ("decode", decode))
        for number in range(count)
    ]
    replicas = [
        EndpointPlan(
            f"service-{number + 1}",
            PLAIN_SERVICE,
            "service",
            zone_of(number),
            options,
        )
        for number, options in enumerate(services)
    ]
    return FleetPlan(
        endpoints=(*engines, *replicas),
        zone_by_entry_name={
            f"entry-{number + 1}": zone_of(number) for number in range(entries)
        },
        command=(sys.executable, "-m", "burdockspan"),
        region="maghreb-north",
    )


@contextlib.contextmanager
def running_fleet(
    plan: FleetPlan | None = None, configuration: Configuration | None = None
) -> Iterator[Fleet]:
    """Runs a fleet until left; each entry VM can use every endpoint."""
    document = encode_configuration(configuration or make_configuration())
    with launcher.run_fleet(plan or make_plan(), document) as fleet:
        wait_usable(fleet)
        yield fleet


def wait_usable(fleet: Fleet) -> None:
    """Waits until each entry VM knows each other and can use all endpoints."""
    for entry in fleet.entries:
        launcher.wait_until(
            lambda entry=entry: _is_complete(fleet, entry),
            f"{entry.name} can use all endpoints; its log: {entry.log_path}",
        )


def read_status(entry: Process) -> dict[str, Any]:
    """Returns what an entry VM says at /admin/status."""
    status: dict[str, Any] = launcher.call(
        entry.admin_address, "GET", "/admin/status"
    ).json()
    return status


def count_reserved_pieces(fleet: Fleet, names: Sequence[str]) -> int:
    """Returns the decode memory held at some engines."""
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
    """Checks that the decode memory of some engines is free within 2 s."""
    took_s = launcher.wait_until(
        lambda: count_reserved_pieces(fleet, names) == 0, "memory is free"
    )
    case.assertLessEqual(took_s, RELEASE_LIMIT_S)


def _is_complete(fleet: Fleet, entry: Process) -> bool:
    status = read_status(entry)
    usable = [row for row in status["endpoints"] if row["usable"]]
    alive = [row for row in status["members"] if row["state"] == "alive"]
    complete = len(usable) == len(fleet.plan.endpoints)
    return complete and len(alive) == len(fleet.plan.zone_by_entry_name)


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
    "wait_usable",
]
