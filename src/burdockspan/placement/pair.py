"""Joint choice of the prefill and the decode engine for a completion."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping, Sequence

from burdockspan.admission.queue import WaitingCall
from burdockspan.configuration.document import Service
from burdockspan.placement.decode import choose_decode
from burdockspan.placement.prefill import choose_prefill, with_short_queue
from burdockspan.placement.transfer import arrives_before_expiry
from burdockspan.values.endpoint import Endpoint, EndpointView
from burdockspan.values.randomness import RandomFloat
from burdockspan.values.submission import Priority


@dataclasses.dataclass(frozen=True)
class EnginePair:
    """The two engines of one attempt."""

    prefill: EndpointView
    decode: EndpointView


@dataclasses.dataclass(frozen=True)
class TransferLinks:
    """Links that carry KV caches between the engines of a service.

    Attributes:
      backlog_bytes: bytes expected to be queued on the link ahead of the
        call's KV cache (`transfer.expected_backlog_bytes`), by prefill engine.
      distance_ms: returns the one-way delay between two engines.
    """

    backlog_bytes: Mapping[str, float]
    distance_ms: Callable[[Endpoint, Endpoint], float]


def choose_pair(
    call: WaitingCall,
    *,
    prompt_tokens: int,
    decode_views: Sequence[EndpointView],
    prefill_views: Sequence[EndpointView],
    service: Service,
    links: TransferLinks,
    now_s: float,
    random_float: RandomFloat,
) -> EnginePair | None:
    """Returns two engines such that the KV cache arrives before it expires.

    Args:
      call: the waiting call.
      prompt_tokens: tokens of its prompt.
      decode_views: decode engines of the service.
      prefill_views: prefill engines of the service; their `cached_tokens` are
        those of the call's prompt.
      service: speeds of the engines.
      links: transfer links between them.
      now_s: monotonic seconds.
      random_float: source of randomness.

    Returns:
      None if the call has to wait for memory, for a shorter prefill queue or
      for a shorter link backlog.
    """
    decode = choose_decode(decode_views, call.pieces, random_float)
    if decode is None:
        return None
    slack_s = call.latest_start_s - now_s
    short_queue_views = with_short_queue(
        prefill_views,
        service.prefill_tokens_per_s,
        slack_s,
        call.priority is Priority.URGENT,
    )
    candidates = []
    for view in short_queue_views:
        backlog = links.backlog_bytes.get(view.endpoint.name, 0.0)
        distance_ms = links.distance_ms(view.endpoint, decode.endpoint)
        wait_s = view.waiting_tokens / service.prefill_tokens_per_s
        wait_s += backlog / service.link_bytes_per_s
        if wait_s <= max(0.0, slack_s) and arrives_before_expiry(
            prompt_tokens, service, backlog, distance_ms
        ):
            candidates.append(view)
    prefill = choose_prefill(candidates, prompt_tokens, random_float)
    return None if prefill is None else EnginePair(prefill, decode)


__all__ = ["EnginePair", "TransferLinks", "choose_pair"]
