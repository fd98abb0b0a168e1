from __future__ import annotations

import collections
import unittest

from burdockspan.placement.decode import choose_decode
from burdockspan.placement.prefill import choose_prefill, with_short_queue
from burdockspan.placement.sampling import sample_two
from burdockspan.placement.service import choose_service
from burdockspan.values.endpoint import EndpointView, Pool
from tests.support.views import make_random_float, make_view


def _name(view: EndpointView | None) -> str | None:
    return view.endpoint.name if view else None


class ChoicesTest(unittest.TestCase):
    def test_sampling_returns_each_pair_equally_often(self) -> None:
        # With a bias, all nodes would send their calls to the same endpoints.
        random_float = make_random_float()
        counts = collections.Counter(
            frozenset(sample_two("abcd", random_float)) for _ in range(6000)
        )
        self.assertEqual(len(counts), 6)
        self.assertTrue(all(850 < n < 1150 for n in counts.values()))

    def test_decode_prefers_free_memory_then_distance(self) -> None:
        views = [
            make_view("full", Pool.DECODE, free_pieces=1),
            make_view("free", Pool.DECODE, free_pieces=9),
        ]
        self.assertEqual(
            _name(choose_decode(views, 1, make_random_float())), "free"
        )
        views = [
            make_view("far", Pool.DECODE, free_pieces=9, distance_ms=1.5),
            make_view("near", Pool.DECODE, free_pieces=9),
        ]
        self.assertEqual(
            _name(choose_decode(views, 1, make_random_float())), "near"
        )

    def test_decode_refuses_unusable_and_full(self) -> None:
        # Such an engine would probably refuse the call or fail it.
        views = [
            make_view("open", Pool.DECODE, free_pieces=9, usable=False),
            make_view("full", Pool.DECODE, free_pieces=1),
        ]
        self.assertIsNone(choose_decode(views, 2, make_random_float()))

    def test_prefill_prefers_cached_prefix_only_behind_short_queue(
        self,
    ) -> None:
        # Otherwise all calls with a common prefix would queue at the one
        # engine that has cached it.
        others = [make_view(str(n), Pool.PREFILL) for n in range(8)]
        for waiting, chosen in ((1500, True), (2500, False)):
            cached = make_view(
                "cached",
                Pool.PREFILL,
                cached_tokens=2000,
                waiting_tokens=waiting,
            )
            choice = choose_prefill(
                [*others, cached], 3000, make_random_float()
            )
            self.assertEqual(_name(choice) == "cached", chosen)

    def test_prefill_queue_must_fit_the_time_left(self) -> None:
        # Behind a long queue, a call reserves decode memory and is late anyway.
        view = make_view("p", Pool.PREFILL, waiting_tokens=6000)
        for slack_s, urgent, fits in (
            (1.0, False, False),
            (1.0, True, True),
            (0.2, True, False),
            (-1.0, True, False),
        ):
            joinable = with_short_queue([view], 20_000.0, slack_s, urgent)
            self.assertEqual(bool(joinable), fits)

    def test_prefill_without_usable_engine_is_none(self) -> None:
        views = [make_view("p", Pool.PREFILL, usable=False)]
        self.assertIsNone(choose_prefill(views, 10, make_random_float()))

    def test_service_honours_concurrency(self) -> None:
        # Calls beyond the limit would queue inside the endpoint, where their
        # priority has no effect.
        full = make_view("full", Pool.SERVICE, running=3, waiting=1)
        self.assertIsNone(choose_service([full], make_random_float()))
        idle = make_view("idle", Pool.SERVICE, running=1)
        self.assertEqual(
            _name(choose_service([full, idle], make_random_float())), "idle"
        )
