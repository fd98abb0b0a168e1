"""Model of KV cache transfers over links of limited bandwidth."""

from __future__ import annotations

import dataclasses

from burdockspan.configuration.document import Service


@dataclasses.dataclass(frozen=True)
class Link:
    """Transfer queue on the outgoing link of one prefill engine.

    Attributes:
      backlog_bytes: bytes queued and not yet sent at `updated_s`.
      updated_s: time of the last change, monotonic seconds.
    """

    backlog_bytes: float = 0.0
    updated_s: float = 0.0


def backlog_bytes(link: Link, service: Service, now_s: float) -> float:
    """Returns the bytes that are still queued at `now_s`."""
    sent = max(0.0, now_s - link.updated_s) * service.link_bytes_per_s
    return max(0.0, link.backlog_bytes - sent)


def expected_backlog_bytes(
    link: Link,
    prefilling_tokens: int,
    wait_s: float,
    service: Service,
    now_s: float,
) -> float:
    """Returns the backlog expected on the link when a prefill ends.

    Args:
      link: link of the prefill engine.
      prefilling_tokens: prompt tokens ahead of the call in that engine. Their
        KV caches are sent over the same link first.
      wait_s: time until the call's prefill ends.
      service: speeds of the engines.
      now_s: monotonic seconds.
    """
    ahead_bytes = prefilling_tokens * service.kv_bytes_per_token
    queued = backlog_bytes(link, service, now_s) + ahead_bytes
    return max(0.0, queued - wait_s * service.link_bytes_per_s)


def enqueue_transfer(
    link: Link, prompt_tokens: int, service: Service, now_s: float
) -> Link:
    """Returns the link after one more transfer has been queued on it."""
    queued = backlog_bytes(link, service, now_s)
    return Link(queued + prompt_tokens * service.kv_bytes_per_token, now_s)


def transfer_time_s(
    prompt_tokens: int, service: Service, link_backlog_bytes: float
) -> float:
    """Returns the time until a KV cache that is queued now arrives."""
    size = prompt_tokens * service.kv_bytes_per_token
    return (link_backlog_bytes + size) / service.link_bytes_per_s


def arrives_before_expiry(
    prompt_tokens: int,
    service: Service,
    link_backlog_bytes: float,
    distance_ms: float,
) -> bool:
    """Returns whether a KV cache arrives before it expires.

    Args:
      prompt_tokens: tokens of the prompt.
      service: speeds of the engines.
      link_backlog_bytes: bytes queued ahead of the KV cache on its link.
      distance_ms: one-way delay between the two engines. It counts twice,
        since the decode engine imports the cache by a request and a response.
    """
    arrival_s = transfer_time_s(prompt_tokens, service, link_backlog_bytes)
    return arrival_s + 2 * distance_ms / 1000 < service.cache_life_s


__all__ = [
    "Link",
    "arrives_before_expiry",
    "backlog_bytes",
    "transfer_time_s",
    "expected_backlog_bytes",
    "enqueue_transfer",
]
