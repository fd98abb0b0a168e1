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
_CALLS_AT_A_TIME = 12


class PoolOwnersTest(unittest.TestCase):
    def test_calls_are_answered_while_the_owner_of_the_pool_is_killed(
        self,
    ) -> None:
        """Guards against calls that wait for an owner that is gone."""
        with running_fleet() as fleet:
            owner, others = _split(fleet)
            _answer_all(self, others, owner.kill)

    def test_calls_are_answered_while_the_owner_of_the_pool_is_frozen(
        self,
    ) -> None:
        """Guards against an owner that neither answers nor closes."""
        with running_fleet() as fleet:
            owner, others = _split(fleet)
            _answer_all(self, others, lambda: owner.signal(signal.SIGSTOP))
            owner.signal(signal.SIGCONT)
            _answer_all(self, others, lambda: None)

    def test_calls_wait_in_the_queue_of_the_owner(self) -> None:
        """Guards against entry VMs that place calls past the owner."""
        with running_fleet() as fleet:
            owner, others = _split(fleet)
            _answer_all(self, others, lambda: None)
            counters = fleet.collector.call("GET", "/metrics").json()
            asked = counters["counters"]["burdockspan.delegation.asked"]
            self.assertGreaterEqual(asked, _CALLS_COUNT)
            launcher.wait_until(
                lambda: read_status(owner)["remote_calls"] == 0,
                "the owner has forgotten the ended calls",
            )


def _split(fleet: Fleet) -> tuple[Process, tuple[Process, ...]]:
    """Returns the owner of the pool of models, and the other entry VMs."""
    name = ownership.owner_of(
        f"pool/{MODEL_SERVICE}", fleet.plan.zone_by_entry_name
    )
    others = tuple(entry for entry in fleet.entries if entry.name != name)
    return fleet.processes_by_name[name or ""], others


def _answer_all(
    test: unittest.TestCase,
    entries: tuple[Process, ...],
    disturb: Callable[[], object],
) -> None:

    with concurrent.futures.ThreadPoolExecutor(_CALLS_AT_A_TIME) as pool:
        calls = [
            pool.submit(_complete, entries[number % len(entries)], number)
            for number in range(_CALLS_COUNT)
        ]
        concurrent.futures.wait(
            calls, return_when=concurrent.futures.FIRST_COMPLETED
        )
        disturb()
        for call in calls:
            status, text, expected = call.result()
            test.assertEqual(status, 200, text)
            test.assertEqual(text, expected)


def _complete(entry: Process, number: int) -> tuple[int, str, str]:
    body = {"model": MODEL, "prompt": f"call {number}", "max_tokens": 20}
    response = entry.call("POST", "/v1/completions", body, AUTHORIZATION)
    if response.status != 200:
        return response.status, response.body.decode(), ""
    text = response.json()["choices"][0]["text"]
    return response.status, text, tokens.expected_text(body)
