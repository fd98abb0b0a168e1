"""Choice of the prefill engine of a completion."""

from __future__ import annotations

from collections.abc import Sequence

from burdockspan.placement.sampling import RandomFloat, sample_two
from burdockspan.values.endpoint import EndpointView

# Prompt tokens that an engine of 20,000 tokens/s computes in a millisecond.
_TOKENS_PER_MS = 20.0

# Measured in bench/: 0.15 s keeps calls from engines that would be in time.
_LONGEST_QUEUE_S = 0.25
_URGENT_FACTOR = 2.0


def choose_prefill(
    views: Sequence[EndpointView], prompt_tokens: int, random_float: RandomFloat
) -> EndpointView | None:
    """Returns the engine that is expected to finish the prompt first.

    The candidates are two random engines and the one with the longest cached
    prefix. The cost counts waiting work and the uncached tokens alike, so
    affinity ends where the holder's queue exceeds the prefill it would save.

    Args:
      views: prefill engines of the service.
      prompt_tokens: tokens of the prompt.
      random_float: source of randomness.

    Returns:
      None if no engine is usable.
    """
    usable = [view for view in views if view.usable]
    candidates = list(sample_two(usable, random_float))
    holder = max(usable, key=_cached, default=None)
    if holder is not None and holder.cached_tokens > 0:
        candidates.append(holder)
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
    """Returns the engines whose queue a call can wait for.

    A call behind a longer queue would hold decode memory and still miss its
    first-token target, so it waits at the router, where its class counts.

    Args:
      views: prefill engines of the service.
      tokens_per_s: speed of one prefill engine.
      slack_s: time until the call's latest start.
      urgent: whether the call is urgent.
    """
    limit_s = _LONGEST_QUEUE_S * (_URGENT_FACTOR if urgent else 1.0)
    limit = min(limit_s, max(0.0, slack_s)) * tokens_per_s
    return tuple(view for view in views if view.waiting_tokens <= limit)


def remaining_tokens(view: EndpointView, prompt_tokens: int) -> float:
    """Returns the work until the prompt is done there, in prompt tokens."""
    uncached = max(0, prompt_tokens - view.cached_tokens)
    return view.waiting_tokens + uncached + view.distance_ms * _TOKENS_PER_MS


def _cached(view: EndpointView) -> tuple[int, int]:
    return view.cached_tokens, -view.waiting_tokens


__all__ = ["choose_prefill", "remaining_tokens", "with_short_queue"]
