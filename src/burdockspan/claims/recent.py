"""The claims that this process made last, to write them again if lost."""

from __future__ import annotations

import collections
import threading

from burdockspan.claims.record import HeldClaim

# At the write limit of a VM, ten claims/s, these are the claims of 20 s. With
# the largest stored bodies they take 13 MB.
RECENT_CLAIMS_LIMIT = 200


class RecentClaims:
    """The latest claims of this process; may be used from any thread."""

    def __init__(self, limit: int = RECENT_CLAIMS_LIMIT) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._by_key: collections.OrderedDict[tuple[str, str], HeldClaim] = (
            collections.OrderedDict()
        )

    def remember(self, claim: HeldClaim) -> None:
        """Keeps a claim with its latest record, as the newest one."""
        key = (claim.client, claim.key)
        with self._lock:
            self._by_key[key] = claim
            self._by_key.move_to_end(key)
            while len(self._by_key) > self._limit:
                self._by_key.popitem(last=False)

    def forget(self, claim: HeldClaim) -> None:
        """Drops a claim that is given up, as others may claim its key."""
        key = (claim.client, claim.key)
        with self._lock:
            kept = self._by_key.get(key)
            if kept and kept.record.holder == claim.record.holder:
                del self._by_key[key]

    def find(self, client: str, key: str) -> HeldClaim | None:
        """Returns the claim of a key, with its latest record."""
        with self._lock:
            return self._by_key.get((client, key))

    def newest_first(self) -> tuple[HeldClaim, ...]:
        """Returns all claims."""
        with self._lock:
            return tuple(reversed(self._by_key.values()))


__all__ = ["RECENT_CLAIMS_LIMIT", "RecentClaims"]
