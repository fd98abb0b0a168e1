"""Choice of the engines for one call by the options of a variant."""

from __future__ import annotations

from collections.abc import Sequence

from bench.local_view import LocalView
from bench.variants import Variant
from bench.workload import SERVICE, Call
from burdockspan.placement.decode import choose_decode
from burdockspan.placement.prefill import choose_prefill, with_short_queue
from burdockspan.placement.transfer import arrives_before_expiry
from burdockspan.values.endpoint import EndpointView
from burdockspan.values.randomness import RandomFloat
from burdockspan.values.submission import Priority


class Chooser:
    """Chooses engines for one entry VM; keeps the round-robin position."""

    def __init__(
        self, variant: Variant, local_view: LocalView, random_float: RandomFloat
    ) -> None:
        self._variant = variant
        self._local_view = local_view
        self._random_float = random_float
        self._next_index = 0

    def choose_decode_engine(
        self, call: Call, excluded: Sequence[str] = ()
    ) -> EndpointView | None:
        """Returns a decode engine, None if the variant allows none now."""
        views = [
            view
            for view in self._local_view.decode_views()
            if view.endpoint.name not in excluded
        ]
        if self._variant.placement != "sampled":
            return self._choose_baseline(
                [view for view in views if view.usable]
            )
        if self._variant.sharing == "fresh":
            fitting = [v for v in views if v.free_pieces >= call.pieces]
            return max(fitting, key=lambda v: v.free_pieces, default=None)
        return choose_decode(views, call.pieces, self._random_float)

    def choose_prefill_engine(
        self, call: Call, slack_s: float = float("inf")
    ) -> EndpointView | None:
        """Returns a prefill engine, None if the variant allows none now."""
        views = self._local_view.prefill_views(call)
        if self._variant.placement != "sampled":
            return self._choose_baseline(views)
        fitting = [
            view
            for view in with_short_queue(
                views,
                SERVICE.prefill_tokens_per_s,
                slack_s,
                call.priority is Priority.URGENT,
            )
            if not 0 < self._variant.max_prefills <= view.running
            and self._arrives_in_time(view, call, slack_s)
        ]
        if self._variant.prefix == "sticky":
            best = max(views, key=lambda view: view.cached_tokens)
            if best.cached_tokens > 0:
                return best if best in fitting else None
        if self._variant.sharing == "fresh":
            return min(
                fitting,
                key=lambda v: v.waiting_tokens - v.cached_tokens,
                default=None,
            )
        return choose_prefill(fitting, call.prompt_tokens, self._random_float)

    def _arrives_in_time(
        self, view: EndpointView, call: Call, slack_s: float
    ) -> bool:
        backlog = self._local_view.backlog_bytes(view, call)
        wait_s = view.waiting_tokens / SERVICE.prefill_tokens_per_s
        wait_s += backlog / SERVICE.link_bytes_per_s
        return wait_s <= max(0.0, slack_s) and arrives_before_expiry(
            call.prompt_tokens, SERVICE, backlog, view.distance_ms
        )

    def _choose_baseline(
        self, views: list[EndpointView]
    ) -> EndpointView | None:
        if not views:
            return None
        if self._variant.placement == "least_outstanding":
            return min(views, key=lambda view: view.running)
        self._next_index += 1
        return views[self._next_index % len(views)]


__all__ = ["Chooser"]
