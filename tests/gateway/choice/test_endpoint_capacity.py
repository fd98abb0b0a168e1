"""VMs of a fleet that learn what endpoints take well, on a test clock.

Prefill engines have speeds 0.6, 1.0 and 1.6, and 15 in 100 periods of 0.6 s in
which they take 2.5 times as long. 63 VMs state their work once a second.
"""

from __future__ import annotations

import statistics
import unittest

from burdockspan.gateway.choice.ranking import Candidate
from burdockspan.gateway.fleet.exchange import Received
from burdockspan.gateway.values import Endpoint
from tests.support.capacity_fleets import Fleet, make_engine

_SPEEDS = (0.6, 1.0, 1.6) * 4
_PROMPTS_PER_S = 60
# When the estimates have settled.
_SETTLED_S = 6.0
_END_S = 20.0


def _run(**changes: object) -> Fleet:
    fleet = Fleet(_SPEEDS, **changes)  # type: ignore[arg-type]
    fleet.run(_END_S, _PROMPTS_PER_S)
    return fleet


class TestFleet(unittest.TestCase):
    def test_work_follows_speed_and_prompts_get_faster(self) -> None:
        """Guards against equal shares, which queue at the slow engines."""
        fixed, learned = _run(learned=False), _run()
        shares = learned.shares(_SETTLED_S)
        by_speed = [sum(shares[index::3]) for index in range(3)]
        self.assertGreater(by_speed[1], 1.5 * by_speed[0])
        self.assertGreater(by_speed[2], 1.3 * by_speed[1])
        self.assertLess(
            learned.s_per_1000_tokens(_SETTLED_S, 0.9),
            0.75 * fixed.s_per_1000_tokens(_SETTLED_S, 0.9),
        )

    def test_fresh_estimate_attracts_no_herd(self) -> None:
        """Guards against 63 VMs that all choose the engine just learned."""
        fleet = _run(noise_share=0.0)
        queued_s = [
            statistics.mean(
                prompt.queued_s
                for prompt in fleet.since(_SETTLED_S)
                if prompt.endpoint == engine.endpoint
            )
            for engine in fleet.engines
        ]
        self.assertLess(max(queued_s), 3.0 * statistics.mean(queued_s))
        chosen = {fleet.choose(index, 5000).id for index in range(63)}
        self.assertGreaterEqual(len(chosen), 6)

    def test_halved_speed_is_left_and_found_again(self) -> None:
        """One fast engine has half its speed from 8 s to 14 s."""
        speeds = list(_SPEEDS)
        fleet = Fleet(
            [lambda now_s: 0.8 if 8 <= now_s < 14 else 1.6, *speeds[1:]]
        )
        shares = []
        for begin_s, end_s in ((5.0, 8.0), (11.0, 14.0), (17.0, 20.0)):
            fleet.run(begin_s, _PROMPTS_PER_S)
            count = len(fleet.prompts)
            fleet.run(end_s, _PROMPTS_PER_S)
            new = fleet.prompts[count:]
            shares.append(
                sum(p.endpoint == fleet.engines[0].endpoint for p in new)
                / len(new)
            )
        self.assertLess(shares[1], 0.75 * shares[0])
        self.assertGreater(shares[2], 1.3 * shares[1])
        self.assertGreater(shares[1], 0.01)

    def test_lost_statuses_slow_no_prompts(self) -> None:
        """A third of the statuses is lost."""
        fleet = Fleet(_SPEEDS)
        fleet.loses_status = lambda: fleet.random.random() < 0.33
        fleet.run(_END_S, _PROMPTS_PER_S)
        self.assertLess(
            fleet.s_per_1000_tokens(_SETTLED_S, 0.9),
            _run(learned=False).s_per_1000_tokens(_SETTLED_S, 0.9),
        )

    def test_explanation_is_plain_data(self) -> None:
        fleet = _run()
        explained = fleet.vms[0].explain(fleet.engines[0].endpoint)
        self.assertLess(explained["speed"], 0.85)
        self.assertGreater(explained["samples"], 10)
        self.assertLess(explained["age_s"], 3.0)


class TestPlainChoice(unittest.TestCase):
    """Plain endpoints, as one VM chooses them."""

    def setUp(self) -> None:
        self.fleet = Fleet((), vms=2)
        self.vm = self.fleet.vms[0]
        self.endpoints = [
            Endpoint(f"i-{name}", 1, "app", "a:1", zone, False, 8)
            for name, zone in (("local", "zone-a"), ("other", "zone-b"))
        ]
        self.vm._list_endpoints = lambda: self.endpoints

    def count_local(self, running: int) -> int:
        """Returns how many of 200 requests stay in the zone of their VM."""
        count = 0
        for _ in range(200):
            load = self.vm.make_plain_load()
            candidates = tuple(
                Candidate(
                    endpoint,
                    load(endpoint, running if index == 0 else 0, 0),
                    0.0,
                    endpoint.zone == "zone-a",
                )
                for index, endpoint in enumerate(self.endpoints)
            )
            count += self.vm.rank_plain(candidates)[0].zone == "zone-a"
        return count

    def learn(self, slow_from: float, factor: float) -> None:
        """Teaches it that the local endpoint slows down from a load."""
        for step in range(80):
            load = step % 8 / 8
            for index, endpoint in enumerate(self.endpoints):
                is_slow = index == 0 and load >= slow_from
                self.vm.record_plain(
                    endpoint, load * 8, 0.06 * (factor if is_slow else 1.0)
                )
        self.vm.renew()

    def test_equal_endpoints_are_chosen_as_before(self) -> None:
        """Guards against a change of deployments of equal endpoints."""
        self.learn(2.0, 1.0)
        self.assertEqual(self.count_local(1), 200)
        self.assertEqual(self.count_local(2), 0)

    def test_work_leaves_an_endpoint_that_slows_down_when_half_full(
        self,
    ) -> None:
        """Guards against load beyond the half that it takes well."""
        self.state_work(6)
        self.assertGreater(self.count_local(0), 190)
        self.learn(0.5, 2.0)
        self.assertEqual(self.vm.explain(self.endpoints[0])["knee"], 0.5)
        self.assertLess(self.count_local(0), 120)

    def test_no_work_leaves_equal_endpoints_beside_work_of_others(
        self,
    ) -> None:
        """Guards against random choices that leave the zone for no gain.

        Two idle endpoints are in each zone, and others state work there, first
        little and then as much as makes requests wait.
        """
        self.endpoints += [
            Endpoint(f"i-{zone}", 1, "app", "a:1", zone, False, 8)
            for zone in ("zone-a", "zone-b")
        ]
        self.learn(2.0, 1.0)
        for requests in (1, 3, 7):
            for endpoint in self.endpoints:
                self.state_work(requests, endpoint)
            with self.subTest(requests=requests):
                self.assertEqual(self.count_local(0), 200)

    def test_no_prompt_leaves_equal_engines_beside_work_of_others(
        self,
    ) -> None:
        """Guards against prompts that leave the zone of their decode engine."""
        self.endpoints = [
            make_engine(f"i-{number}", f"zone-{'ab'[number % 2]}")
            for number in range(4)
        ]
        for tokens in (1000, 1000, 20_000):
            self.state_work(1, self.endpoints[0], tokens)
            self.state_work(1, self.endpoints[1], tokens)
            chosen = []
            for _ in range(200):
                load = self.vm.make_prefill_load(4000)
                candidates = tuple(
                    Candidate(endpoint, load(endpoint, 0, 0), 0.0, True)
                    for endpoint in self.endpoints
                )
                ranked = self.vm.rank_prefill(candidates, "zone-a")
                chosen.append(ranked[0])
            with self.subTest(tokens=tokens):
                self.assertEqual({e.zone for e in chosen}, {"zone-a"})

    def test_part_of_the_work_leaves_a_queue(self) -> None:
        """Guards against a zone whose VMs all leave its endpoint at once."""
        counts = []
        for requests in (4, 8, 8, 8):
            self.state_work(requests)
            counts.append(self.count_local(0))
        self.assertEqual(counts, sorted(counts, reverse=True))
        self.assertEqual(counts[0], 200)
        self.assertGreater(counts[1], 50)
        self.assertEqual(counts[-1], 0)

    def state_work(
        self, requests: int, endpoint: Endpoint | None = None, tokens: int = 0
    ) -> None:
        """Has another VM begin requests, by default at the local endpoint."""
        other = self.fleet.vms[1]
        for _ in range(requests):
            other.change_work(endpoint or self.endpoints[0], 1, tokens)
        other.make_value()
        self.fleet.now_s += 1.0
        self.vm.receive(Received("vm-1", other.make_value(), None))
