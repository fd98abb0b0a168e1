"""Monotonic adoption of configurations and VM lists.

A generation is stored first, offered to peers of the zone, and activated once
a peer holds it too or a second has passed. A generation that was in force
therefore outlives the VM that first activated it, and a fresh process that
asks its peers finds it even while the platform is out.
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

# One peer is enough; more cover peers that are slow or just died. Offering to
# a whole zone would send a document of 100 KB to 50 peers per change.
_OFFERS = 3

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True)
class VersionedDocument(Generic[_T]):
    """A shared document with the version that orders it.

    Attributes:
      version: position in the total order of its versions.
      value: the document.
    """

    version: int
    value: _T


@dataclasses.dataclass(frozen=True)
class Adoption:
    """What a process holds of the configuration.

    Attributes:
      active: configuration in force, None before the first.
      stored: newest configuration held; its generation is at least that of
        the active one, and it is the one that peers are given.
      pending_since_s: when the oldest generation that waits for activation
        was stored, on the monotonic clock; None if none waits.
      confirmed: whether another process holds the stored generation too.
    """

    active: Configuration | None = None
    stored: Configuration | None = None
    pending_since_s: float | None = None
    confirmed: bool = False


def choose_newer(
    held: Configuration | None, offered: Configuration
) -> Configuration:
    """Returns the one of the higher generation, the held one if equal."""
    if held is None or offered.generation > held.generation:
        return offered
    return held


def choose_newer_version(
    held: VersionedDocument[_T] | None, offered: VersionedDocument[_T]
) -> VersionedDocument[_T]:
    """Returns the one of the higher version, the held one if equal."""
    if held is None or offered.version > held.version:
        return offered
    return held


def parse_offer(generation: int, data: bytes) -> Result[Configuration, str]:
    """Returns the configuration that a peer sent, or why it is refused.

    Args:
      generation: generation that the peer named.
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
    """Returns its generation, 0 for none."""
    return 0 if configuration is None else configuration.generation


def store_configuration(
    adoption: Adoption,
    offered: Configuration,
    now_s: float,
    *,
    from_peer: bool,
) -> Adoption:
    """Stores a higher generation; returns the same object for any other.

    Args:
      adoption: what is held.
      offered: configuration that arrived.
      now_s: monotonic clock.
      from_peer: whether a peer sent it, which then holds it already.
    """
    if choose_newer(adoption.stored, offered) is not offered:
        if from_peer:
            return record_confirmation(adoption, offered.generation)
        return adoption
    since_s = adoption.pending_since_s
    return Adoption(
        active=adoption.active,
        stored=offered,
        # A run of changes must not postpone the activation of the first.
        pending_since_s=now_s if since_s is None else since_s,
        confirmed=from_peer,
    )


def record_confirmation(adoption: Adoption, generation: int) -> Adoption:
    """Takes in that a peer holds a generation, at least the stored one."""
    if adoption.confirmed or generation < generation_of(adoption.stored):
        return adoption
    return dataclasses.replace(adoption, confirmed=True)


def activate(
    adoption: Adoption, now_s: float, zone_peers: Iterable[str]
) -> Adoption:
    """Activates the stored generation if it may take effect.

    Args:
      adoption: what is held.
      now_s: monotonic clock.
      zone_peers: live entry VMs of the zone without this one. Where there are
        none, nobody can confirm and nothing is waited for.
    """
    since_s = adoption.pending_since_s
    if since_s is None:
        return adoption
    waited = now_s - since_s >= CONFIRMATION_TIMEOUT_S
    if not (adoption.confirmed or waited or not tuple(zone_peers)):
        return adoption
    return dataclasses.replace(
        adoption, active=adoption.stored, pending_since_s=None
    )


def choose_offer_targets(
    adoption: Adoption, vm: str, zone_peers: Iterable[str]
) -> tuple[str, ...]:
    """Returns the peers to offer the stored generation to, at most three.

    None once a peer holds it: the others see the new generation in the next
    datagrams and pull it.

    Args:
      adoption: what is held.
      vm: this VM. Each VM prefers other peers.
      zone_peers: live entry VMs of the zone without this one.
    """
    if adoption.pending_since_s is None or adoption.confirmed:
        return ()
    generation = generation_of(adoption.stored)
    return rank(f"offer/{vm}/{generation}", zone_peers)[:_OFFERS]


@dataclasses.dataclass(frozen=True)
class InitialFetch:
    """The search of a fresh process for its first configuration.

    Attributes:
      began_s: start on the monotonic clock.
      asked: peers and the platform, by the name they were asked under.
      waiting: those that have neither answered nor failed.
      best: highest generation among the answers.
      confirmed: whether a peer holds the best one.
    """

    began_s: float
    asked: frozenset[str] = frozenset()
    waiting: frozenset[str] = frozenset()
    best: Configuration | None = None
    confirmed: bool = False


def add_sources(
    start: InitialFetch, sources: Iterable[str]
) -> tuple[InitialFetch, tuple[str, ...]]:
    """Adds sources; returns those that have to be asked now.

    Peers become known while others answer, so this is called repeatedly.
    """
    fresh = frozenset(sources) - start.asked
    start = dataclasses.replace(
        start, asked=start.asked | fresh, waiting=start.waiting | fresh
    )
    return start, tuple(sorted(fresh))


def record_answer(
    start: InitialFetch,
    source: str,
    configuration: Configuration | None,
    *,
    from_peer: bool,
) -> InitialFetch:
    """Takes in an answer; None if the source failed or holds nothing."""
    start = dataclasses.replace(start, waiting=start.waiting - {source})
    if configuration is None:
        return start
    if choose_newer(start.best, configuration) is configuration:
        return dataclasses.replace(
            start, best=configuration, confirmed=from_peer
        )
    if from_peer and configuration.generation == generation_of(start.best):
        return dataclasses.replace(start, confirmed=True)
    return start


def allow_retry(start: InitialFetch, source: str) -> InitialFetch:
    """Forgets that a source was asked, so that `ask` names it again."""
    return dataclasses.replace(start, asked=start.asked - {source})


def finish_initial_fetch(start: InitialFetch, now_s: float) -> Adoption | None:
    """Returns what the process starts with, None while it must not serve.

    It starts once all sources have answered or failed, or after two seconds,
    and in both cases only if an answer carried a configuration. A document
    that a peer offers before the sources were asked may be an old one.
    """
    if start.best is None:
        return None
    answered = bool(start.asked) and not start.waiting
    if not answered and now_s - start.began_s < INITIAL_FETCH_TIMEOUT_S:
        return None
    return store_configuration(
        Adoption(), start.best, now_s, from_peer=start.confirmed
    )


__all__ = [
    "CONFIRMATION_TIMEOUT_S",
    "Adoption",
    "VersionedDocument",
    "INITIAL_FETCH_TIMEOUT_S",
    "InitialFetch",
    "activate",
    "choose_newer",
    "record_answer",
    "add_sources",
    "finish_initial_fetch",
    "record_confirmation",
    "generation_of",
    "choose_newer_version",
    "choose_offer_targets",
    "parse_offer",
    "allow_retry",
    "store_configuration",
]
