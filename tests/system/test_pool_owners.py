from __future__ import annotations

import concurrent.futures
import signal
import unittest
from collections.abc import Callable

from burdockspan.membership import ownership
from standins import launcher, tokens
from standins.launcher import Fleet, Process
from tests.support.fleets import (
    AUTHORIZATION,
    MODEL,
    MODEL_SERVICE,
    read_status,
    running_fleet,
)

_CALLS_COUNT = 60
_CONCURRENCY = 12


class PoolOwnersTest(unittest.TestCase):
    def test_calls_are_answered_while_the_owner_of_the_pool_is_killed(
        self,
    ) -> None:
        """Guards against calls that wait for an owner that has crashed."""
        with running_fleet() as fleet:
            owner, others = _find_owner(fleet)
            _check_all_complete(self, others, owner.kill)

    def test_calls_are_answered_while_the_owner_of_the_pool_is_frozen(
        self,
    ) -> None:
        """Guards against an owner that neither responds nor disconnects."""
        with running_fleet() as fleet:
            owner, others = _find_owner(fleet)
            _check_all_complete(
                self, others, lambda: owner.signal(signal.SIGSTOP)
            )
            owner.signal(signal.SIGCONT)
            _check_all_complete(self, others, lambda: None)

    def test_calls_wait_in_the_queue_of_the_owner(self) -> None:
        """Guards against entry VMs that place calls without the owner."""
        with running_fleet() as fleet:
            owner, others = _find_owner(fleet)
            _check_all_complete(self, others, lambda: None)
            metrics = fleet.collector.call("GET", "/metrics").json()
            delegation_count = metrics["counters"][
                "burdockspan.delegation.asked"
            ]
            self.assertGreaterEqual(delegation_count, _CALLS_COUNT)
            launcher.wait_until(
                lambda: read_status(owner)["remote_calls"] == 0,
                "the owner has removed the ended calls",
            )


def _find_owner(fleet: Fleet) -> tuple[Process, tuple[Process, ...]]:
    """Returns the owner of the model service pool, and the other entry VMs."""
    name = ownership.owner_of(
        f"pool/{MODEL_SERVICE}", fleet.plan.zone_by_entry_name
    )
    others = tuple(entry for entry in fleet.entries if entry.name != name)
    return fleet.processes_by_name[name or ""], others


def _check_all_complete(
    case: unittest.TestCase,
    entries: tuple[Process, ...],
    on_first_completed: Callable[[], object],
) -> None:
    """Sends calls; checks that each is complete despite a disturbance."""
    with concurrent.futures.ThreadPoolExecutor(_CONCURRENCY) as pool:
        calls = [
            pool.submit(_complete, entries[number % len(entries)], number)
            for number in range(_CALLS_COUNT)
        ]
        concurrent.futures.wait(
            calls, return_when=concurrent.futures.FIRST_COMPLETED
        )
        on_first_completed()
        for call in calls:
            status, text, expected = call.result()
            case.assertEqual(status, 200, text)
            case.assertEqual(text, expected)


def _complete(entry: Process, number: int) -> tuple[int, str, str]:
    body = {"model": MODEL, "prompt": f"call {number}", "max_tokens": 20}
    response = entry.call("POST", "/v1/completions", body, AUTHORIZATION)
    if response.status != 200:
        return response.status, response.body.decode(), ""
    text = response.json()["choices"][0]["text"]
    return response.status, text, tokens.expected_text(body)
