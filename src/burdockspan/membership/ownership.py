"""Assigns names to live VMs by rendezvous hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

_WATCHERS_PER_ZONE = 2


def rank(name: str, live_vms: Iterable[str]) -> tuple[str, ...]:
    """Returns the VMs in their order of precedence as owner of the name.

    The order depends only on the set of VMs. When a VM is added or removed,
    only the names that it owns change their owner.
    """
    return tuple(sorted(set(live_vms), key=lambda vm: _weight(name, vm)))


def owner_of(name: str, live_vms: Iterable[str]) -> str | None:
    """Returns the VM that owns the name, None if no VM is live."""
    return min(live_vms, key=lambda vm: _weight(name, vm), default=None)


def watchers(zone: str, live_vms: Iterable[str]) -> tuple[str, ...]:
    """Returns the VMs that watch the platform for a zone, at most two of them.

    Args:
      zone: name of the availability zone.
      live_vms: live entry VMs of that zone.
    """
    return rank(f"watch/{zone}", live_vms)[:_WATCHERS_PER_ZONE]


def _weight(name: str, vm: str) -> tuple[bytes, str]:
    text = f"{name}\0{vm}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), vm


__all__ = ["owner_of", "rank", "watchers"]
