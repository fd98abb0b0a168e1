"""Choice of the prefill engine of a completion."""

from __future__ import annotations

from collections.abc import Sequence

from burdockspan.placement.sampling import Draw, sample_two
from burdockspan.values.endpoint import EndpointView

# Prompt tokens that an engine of 20,000 tokens/s computes in a millisecond.
_TOKENS_PER_MS = 20.0


def choose_prefill(
    views: Sequence[EndpointView], prompt_tokens: int, draw: Draw
) -> EndpointView | None:
    """Returns the engine that is expected to finish the prompt first.

    The candidates are two random engines and the one with the longest cached
    prefix. The cost counts waiting work and the uncached tokens alike, so
    affinity ends where the holder's queue exceeds the prefill it would save.

    Args:
      views: prefill engines of the service.
      prompt_tokens: tokens of the prompt.
      draw: source of randomness.

    Returns:
      None if no engine is usable.
    """
    usable = [view for view in views if view.usable]
    candidates = list(sample_two(usable, draw))
    holder = max(usable, key=_cached, default=None)
    if holder is not None and holder.cached_tokens > 0:
        candidates.append(holder)
    return min(
        candidates,
        key=lambda view: remaining_tokens(view, prompt_tokens),
        default=None,
    )


def remaining_tokens(view: EndpointView, prompt_tokens: int) -> float:
    """Returns the work until the prompt is done there, in prompt tokens."""
    uncached = max(0, prompt_tokens - view.cached_tokens)
    return view.waiting_tokens + uncached + view.distance_ms * _TOKENS_PER_MS


def _cached(view: EndpointView) -> tuple[int, int]:
    return view.cached_tokens, -view.waiting_tokens


__all__ = ["choose_prefill", "remaining_tokens"]
