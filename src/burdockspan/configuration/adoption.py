"""Adoption of configurations and VM lists, always towards higher versions.

A process first stores a new generation and offers it to peers of its zone. It
activates the generation once a peer has stored it too, or after
CONFIRMATION_TIMEOUT_S. A generation that was in force therefore survives the
loss of the VM that activated it first: a new process fetches it from its
peers, even during an outage of the platform.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Generic, TypeVar

from result import Err, Result

from burdockspan.configuration.codec import load_configuration
from burdockspan.configuration.document import Configuration
from burdockspan.membership.ownership import rank

CONFIRMATION_TIMEOUT_S = 1.0
INITIAL_FETCH_TIMEOUT_S = 2.0

# A generation needs the confirmation of one peer. It is offered to three, since
# a peer can be slow or have just failed. Offers to a whole zone would send a
# document of 100 KB to 50 peers for each change.
_OFFER_TARGETS = 3

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True)
class VersionedDocument(Generic[_T]):
    """A shared document and its version.

    Attributes:
      version: position in the total order of the document's versions.
      value: the document.
    """

    version: int
    value: _T


@dataclasses.dataclass(frozen=True)
class Adoption:
    """The configurations of a process.

    Attributes:
      active: configuration in force, None before the first.
      stored: newest configuration; its generation is at least that of the
        active one. Peers that request the configuration receive this one.
      pending_since_s: monotonic time at which the oldest generation that is
        not active yet was stored; None if there is none.
      confirmed: whether another process has stored the same generation.
    """

    active: Configuration | None = None
    stored: Configuration | None = None
    pending_since_s: float | None = None
    confirmed: bool = False


def choose_newer(
    current: Configuration | None, offered: Configuration
) -> Configuration:
    """Returns the one of the higher generation, the current one if equal."""
    if current is None or offered.generation > current.generation:
        return offered
    return current


def choose_newer_version(
    current: VersionedDocument[_T] | None, offered: VersionedDocument[_T]
) -> VersionedDocument[_T]:
    """Returns the one of the higher version, the current one if equal."""
    if current is None or offered.version > current.version:
        return offered
    return current


def parse_offer(generation: int, data: bytes) -> Result[Configuration, str]:
    """Returns the configuration that a peer offers, or why it is refused.

    Args:
      generation: generation that the peer states.
      data: document as UTF-8 JSON.
    """
    loaded = load_configuration(data)
    if isinstance(loaded, Err):
        return loaded
    document = loaded.ok_value
    if document.generation != generation or generation < 1:
        return Err(
            f"generation {generation} was offered with a document of "
            f"generation {document.generation}"
        )
    return loaded


def generation_of(configuration: Configuration | None) -> int:
    """Returns the generation of a configuration, 0 for None."""
    return 0 if configuration is None else configuration.generation


def store_configuration(
    adoption: Adoption,
    offered: Configuration,
    now_s: float,
    *,
    from_peer: bool,
) -> Adoption:
    """Stores a configuration of a higher generation; ignores any other.

    Args:
      adoption: the configurations of this process.
      offered: configuration that was received.
      now_s: monotonic clock.
      from_peer: whether a peer sent it, which has then stored it already.
    """
    if choose_newer(adoption.stored, offered) is not offered:
        if from_peer:
            return record_confirmation(adoption, offered.generation)
        return adoption
    pending_since_s = adoption.pending_since_s
    return Adoption(
        active=adoption.active,
        stored=offered,
        # The timeout runs from the oldest pending generation, so that further
        # changes do not postpone the activation.
        pending_since_s=now_s if pending_since_s is None else pending_since_s,
        confirmed=from_peer,
    )


def record_confirmation(adoption: Adoption, generation: int) -> Adoption:
    """Records that a peer has stored this generation or a higher one.

    A lower generation than the stored one changes nothing.
    """
    if adoption.confirmed or generation < generation_of(adoption.stored):
        return adoption
    return dataclasses.replace(adoption, confirmed=True)


def activate(
    adoption: Adoption, now_s: float, zone_peers: Iterable[str]
) -> Adoption:
    """Activates the stored generation once it is confirmed or timed out.

    Args:
      adoption: the configurations of this process.
      now_s: monotonic clock.
      zone_peers: live entry VMs of the zone without this one. Without any, no
        peer can confirm, so the generation is activated at once.
    """
    pending_since_s = adoption.pending_since_s
    if pending_since_s is None:
        return adoption
    timed_out = now_s - pending_since_s >= CONFIRMATION_TIMEOUT_S
    if not (adoption.confirmed or timed_out or not tuple(zone_peers)):
        return adoption
    return dataclasses.replace(
        adoption, active=adoption.stored, pending_since_s=None
    )


def choose_offer_targets(
    adoption: Adoption, vm: str, zone_peers: Iterable[str]
) -> tuple[str, ...]:
    """Returns the peers to offer the stored generation to, at most three.

    Returns no peer once one has stored it: the others learn of the new
    generation from the next membership datagrams and pull it.

    Args:
      adoption: the configurations of this process.
      vm: this VM. Each VM has its own order of preference.
      zone_peers: live entry VMs of the zone without this one.
    """
    if adoption.pending_since_s is None or adoption.confirmed:
        return ()
    generation = generation_of(adoption.stored)
    return rank(f"offer/{vm}/{generation}", zone_peers)[:_OFFER_TARGETS]


@dataclasses.dataclass(frozen=True)
class InitialFetch:
    """A new process's requests for its first configuration.

    Attributes:
      started_s: start on the monotonic clock.
      requested: names of the sources (peers and the platform) that a request
        was sent to.
      pending: sources that have neither answered nor failed.
      newest: configuration of the highest generation among the answers.
      confirmed: whether a peer has stored the newest one.
    """

    started_s: float
    requested: frozenset[str] = frozenset()
    pending: frozenset[str] = frozenset()
    newest: Configuration | None = None
    confirmed: bool = False


def add_sources(
    fetch: InitialFetch, sources: Iterable[str]
) -> tuple[InitialFetch, tuple[str, ...]]:
    """Adds sources; returns those to send a request to now.

    New peers become known while others answer, so this is called repeatedly.
    """
    added = frozenset(sources) - fetch.requested
    fetch = dataclasses.replace(
        fetch, requested=fetch.requested | added, pending=fetch.pending | added
    )
    return fetch, tuple(sorted(added))


def record_answer(
    fetch: InitialFetch,
    source: str,
    configuration: Configuration | None,
    *,
    from_peer: bool,
) -> InitialFetch:
    """Records that a source has answered or failed.

    Args:
      fetch: the requests of this process.
      source: name of the source.
      configuration: the configuration in its answer; None if the source failed
        or has no configuration.
      from_peer: True if the source is a peer, False if it is the platform.
    """
    fetch = dataclasses.replace(fetch, pending=fetch.pending - {source})
    if configuration is None:
        return fetch
    if choose_newer(fetch.newest, configuration) is configuration:
        return dataclasses.replace(
            fetch, newest=configuration, confirmed=from_peer
        )
    if from_peer and configuration.generation == generation_of(fetch.newest):
        return dataclasses.replace(fetch, confirmed=True)
    return fetch


def allow_retry(fetch: InitialFetch, source: str) -> InitialFetch:
    """Lets `add_sources` return a source once more: it had no configuration."""
    return dataclasses.replace(fetch, requested=fetch.requested - {source})


def finish_initial_fetch(fetch: InitialFetch, now_s: float) -> Adoption | None:
    """Returns the first adoption, None while the fetch is not finished.

    The fetch is finished once all sources have answered or failed, or after
    INITIAL_FETCH_TIMEOUT_S, and in both cases only if an answer carried a
    configuration. Until then, the process must not serve. If a peer offers a
    configuration before any request was sent, the fetch still waits for the
    answers or the timeout, since that configuration may be stale.
    """
    if fetch.newest is None:
        return None
    answered = bool(fetch.requested) and not fetch.pending
    if not answered and now_s - fetch.started_s < INITIAL_FETCH_TIMEOUT_S:
        return None
    return store_configuration(
        Adoption(), fetch.newest, now_s, from_peer=fetch.confirmed
    )


__all__ = [
    "CONFIRMATION_TIMEOUT_S",
    "INITIAL_FETCH_TIMEOUT_S",
    "Adoption",
    "InitialFetch",
    "VersionedDocument",
    "activate",
    "add_sources",
    "allow_retry",
    "choose_newer",
    "choose_newer_version",
    "choose_offer_targets",
    "finish_initial_fetch",
    "generation_of",
    "parse_offer",
    "record_answer",
    "record_confirmation",
    "store_configuration",
]
