from __future__ import annotations

import dataclasses
import threading
import unittest

from burdockspan.configuration.codec import encode_configuration
from burdockspan.configuration.document import Configuration, RoleChange
from burdockspan.values.endpoint import Pool
from standins import launcher, tokens
from standins.launcher import Fleet
from tests.support.fleets import (
    AUTHORIZATION,
    MODEL,
    make_configuration,
    make_plan,
    read_status,
    running_fleet,
    wait_until_usable,
)

_ENGINE = "decode-2"


class RolesTest(unittest.TestCase):
    def test_engine_changes_its_role_and_back_without_a_failed_call(
        self,
    ) -> None:
        """Guards against work sent to an engine in its previous role.

        The engine is killed in its new role, restarts in its initial role and
        is ordered to change again.
        """
        plan = make_plan(entries=2, prefill=1, services=())
        with running_fleet(plan) as fleet:
            stopping, failures = threading.Event(), list[str]()
            caller = threading.Thread(
                target=send_completions, args=(fleet, stopping, failures)
            )
            caller.start()
            try:
                accept(
                    fleet, 2, (RoleChange(_ENGINE, Pool.PREFILL, "amal", 1.0),)
                )
                wait_until_used(fleet, "prefill")
                tokens_before = count_prefilled_tokens(fleet)
                launcher.wait_until(
                    lambda: count_prefilled_tokens(fleet) > tokens_before,
                    "the engine prefills",
                )
            finally:
                stopping.set()
                caller.join()
            self.assertEqual(failures, [])

            fleet.processes_by_name[_ENGINE].kill()
            endpoint = next(e for e in plan.endpoints if e.name == _ENGINE)
            fleet.start_endpoint(endpoint)
            fleet.set_vm_list()
            wait_until_used(fleet, "prefill")

            accept(fleet, 3, ())
            wait_until_used(fleet, "decode")
            wait_until_usable(fleet)


def accept(
    fleet: Fleet, generation: int, roles: tuple[RoleChange, ...]
) -> Configuration:
    document = dataclasses.replace(
        make_configuration(), generation=generation, roles=roles
    )
    launcher.put_configuration(fleet.platform, encode_configuration(document))
    return document


def wait_until_used(fleet: Fleet, pool: str) -> None:
    """Waits until the engine has a role and all entry VMs can use it so."""
    health = lambda: (  # noqa: E731
        fleet.processes_by_name[_ENGINE].call("GET", "/health").json()
    )

    def is_used(entry: launcher.Process) -> bool:
        return any(
            endpoint["vm"] == _ENGINE
            and endpoint["pool"] == pool
            and endpoint["usable"]
            for endpoint in read_status(entry)["endpoints"]
        )

    launcher.wait_until(
        lambda: health()["role"] == pool and all(map(is_used, fleet.entries)),
        f"{_ENGINE} is used as {pool}",
        60.0,
    )


def count_prefilled_tokens(fleet: Fleet) -> int:
    stats = fleet.processes_by_name[_ENGINE].call("GET", "/stats").json()
    return int(stats["prefill_done_tokens"])


def send_completions(
    fleet: Fleet, stopping: threading.Event, failures: list[str]
) -> None:
    number = 0
    while not stopping.is_set():
        number += 1
        body = {"model": MODEL, "prompt": f"p{number}", "max_tokens": 2}
        entry = fleet.entries[number % 2]
        response = entry.call("POST", "/v1/completions", body, AUTHORIZATION)
        if response.status != 200:
            failures.append(str(response.body))
        elif response.json()["choices"][0]["text"] != tokens.expected_text(
            body
        ):
            failures.append("wrong text")
