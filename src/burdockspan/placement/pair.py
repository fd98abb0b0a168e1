"""Choice of the two engines of a completion together."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping, Sequence

from burdockspan.admission.queue import WaitingCall
from burdockspan.configuration.document import Service
from burdockspan.placement.decode import choose_decode
from burdockspan.placement.prefill import choose_prefill, with_short_queue
from burdockspan.placement.sampling import RandomFloat
from burdockspan.placement.transfer import arrives_before_expiry
from burdockspan.values.endpoint import Endpoint, EndpointView
from burdockspan.values.submission import Priority


@dataclasses.dataclass(frozen=True)
class Pair:
    """Engines for one attempt."""

    prefill: EndpointView
    decode: EndpointView


@dataclasses.dataclass(frozen=True)
class Links:
    """Transfer links between the engines of a service.

    Attributes:
      backlog_bytes: bytes that the call's KV cache is expected to find on
        the link (`transfer.expected_backlog_bytes`), by prefill engine.
      distance_ms: one-way delay between two engines.
    """

    backlog_bytes: Mapping[str, float]
    distance_ms: Callable[[Endpoint, Endpoint], float]


def choose_pair(
    row: WaitingCall,
    *,
    prompt_tokens: int,
    decode_views: Sequence[EndpointView],
    prefill_views: Sequence[EndpointView],
    service: Service,
    links: Links,
    now_s: float,
    random_float: RandomFloat,
) -> Pair | None:
    """Returns two engines between which the KV cache arrives in its life.

    Args:
      row: the waiting call.
      prompt_tokens: tokens of its prompt.
      decode_views: decode engines of the service.
      prefill_views: prefill engines of the service, with the call's prefix.
      service: speeds of the engines.
      links: transfer links between them.
      now_s: monotonic seconds.
      random_float: source of randomness.

    Returns:
      None if the call has to wait for memory, for a shorter prefill queue or
      for a shorter link backlog.
    """
    decode = choose_decode(decode_views, row.pieces, random_float)
    if decode is None:
        return None
    slack_s = row.latest_start_s - now_s
    queued = with_short_queue(
        prefill_views,
        service.prefill_tokens_per_s,
        slack_s,
        row.priority is Priority.URGENT,
    )
    reachable = []
    for view in queued:
        backlog = links.backlog_bytes.get(view.endpoint.name, 0.0)
        distance_ms = links.distance_ms(view.endpoint, decode.endpoint)
        wait_s = view.waiting_tokens / service.prefill_tokens_per_s
        wait_s += backlog / service.link_bytes_per_s
        if wait_s <= max(0.0, slack_s) and arrives_before_expiry(
            prompt_tokens, service, backlog, distance_ms
        ):
            reachable.append(view)
    prefill = choose_prefill(reachable, prompt_tokens, random_float)
    return None if prefill is None else Pair(prefill, decode)


__all__ = ["Links", "Pair", "choose_pair"]
