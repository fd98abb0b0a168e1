from __future__ import annotations

import unittest

from burdockspan.admission.queue import WaitingCall
from burdockspan.configuration.document import Service
from burdockspan.placement.pair import EnginePair, TransferLinks, choose_pair
from burdockspan.values.endpoint import Pool
from burdockspan.values.submission import Priority
from tests.support.views import make_random_float, make_view

_CALL = WaitingCall("r", Priority.PATIENT, 2, 0.0, 9.0, 5.0)
_DECODE = make_view("d", Pool.DECODE, free_pieces=4)
_PREFILL = [make_view(name, Pool.PREFILL) for name in ("p1", "p2")]


def _choose(
    links: TransferLinks, free_pieces: int = 4, now_s: float = 0.0
) -> EnginePair | None:
    decode = make_view("d", Pool.DECODE, free_pieces=free_pieces)
    return choose_pair(
        _CALL,
        prompt_tokens=2000,
        decode_views=[decode],
        prefill_views=_PREFILL,
        service=Service("s"),
        links=links,
        now_s=now_s,
        random_float=make_random_float(),
    )


class PairTest(unittest.TestCase):
    def test_pair_avoids_a_link_on_which_the_cache_would_expire(self) -> None:
        # If the KV cache expires on the way, its prefill was for nothing.
        for busy, free in (("p1", "p2"), ("p2", "p1")):
            pair = _choose(TransferLinks({busy: 8e9}, lambda a, b: 1.5))
            assert pair is not None
            self.assertEqual(pair.prefill.endpoint.name, free)
            self.assertEqual(pair.decode, _DECODE)

    def test_pair_counts_the_link_backlog_against_the_time_left(self) -> None:
        # While its KV cache is queued on the link, a call reserves decode
        # memory and may become late.
        links = TransferLinks({"p1": 4e9, "p2": 4e9}, lambda a, b: 1.5)
        self.assertIsNotNone(_choose(links, now_s=4.5))
        self.assertIsNone(_choose(links, now_s=4.7))

    def test_pair_is_none_without_suitable_engines(self) -> None:
        idle = TransferLinks({}, lambda a, b: 1.5)
        self.assertIsNone(_choose(idle, free_pieces=1))
        self.assertIsNone(_choose(TransferLinks({}, lambda a, b: 500.0)))
        self.assertIsNotNone(_choose(idle, now_s=5.0))
