"""Choice of the prefill engine for a completion."""

from __future__ import annotations

from collections.abc import Sequence

from burdockspan.placement.sampling import sample_two
from burdockspan.values.endpoint import EndpointView
from burdockspan.values.randomness import RandomFloat

# Converts network distance to prompt tokens: an engine with 20,000 tokens/s
# computes this many in a millisecond.
_TOKENS_PER_MS = 20.0

# Longest queue, in time to prefill it, that a patient call may join at an
# engine. A limit of 0.15 s excludes engines that would still be in time.
_MAX_QUEUE_S = 0.25
_URGENT_QUEUE_FACTOR = 2.0


def choose_prefill(
    views: Sequence[EndpointView], prompt_tokens: int, random_float: RandomFloat
) -> EndpointView | None:
    """Returns the engine that is expected to finish the prompt first.

    The candidates are two random engines and the one with the longest cached
    prefix. The cost is the sum of the queued tokens and the uncached tokens of
    the prompt, so a cached prefix attracts a call only while the queue there
    is shorter than the prefill that it saves.

    Args:
      views: prefill engines of the service.
      prompt_tokens: tokens of the prompt.
      random_float: source of randomness.

    Returns:
      None if no engine is usable.
    """
    usable = [view for view in views if view.usable]
    candidates = list(sample_two(usable, random_float))
    best_cached = max(usable, key=_cache_rank, default=None)
    if best_cached is not None and best_cached.cached_tokens > 0:
        candidates.append(best_cached)
    return min(
        candidates,
        key=lambda view: remaining_tokens(view, prompt_tokens),
        default=None,
    )


def with_short_queue(
    views: Sequence[EndpointView],
    tokens_per_s: float,
    slack_s: float,
    urgent: bool,
) -> tuple[EndpointView, ...]:
    """Returns the engines whose queue is short enough for a call to join.

    Behind a longer queue, a call would keep decode memory reserved and still
    miss its target for the first token. It waits at the router instead, where
    calls are ordered by their priority.

    Args:
      views: prefill engines of the service.
      tokens_per_s: speed of one prefill engine.
      slack_s: time until the call's latest start.
      urgent: whether the call is urgent.
    """
    limit_s = _MAX_QUEUE_S * (_URGENT_QUEUE_FACTOR if urgent else 1.0)
    limit = min(limit_s, max(0.0, slack_s)) * tokens_per_s
    return tuple(view for view in views if view.waiting_tokens <= limit)


def remaining_tokens(view: EndpointView, prompt_tokens: int) -> float:
    """Returns the work until the prompt's prefill has ended, in tokens."""
    uncached = max(0, prompt_tokens - view.cached_tokens)
    return view.waiting_tokens + uncached + view.distance_ms * _TOKENS_PER_MS


def _cache_rank(view: EndpointView) -> tuple[int, int]:
    return view.cached_tokens, -view.waiting_tokens


__all__ = ["choose_prefill", "remaining_tokens", "with_short_queue"]
