"""Software versions of the endpoints that the store lists now."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping

from result import Err, Ok, Result

from burdockspan.gateway.ports import (
    Consistency,
    ObjectKinds,
    Store,
    StoredObject,
)
from burdockspan.gateway.values import Endpoint
from burdockspan.observe.registry import Registry
from burdockspan.values.clock import Clock


class LatestVersions:
    """Lists the endpoints where the table of this VM may lag behind.

    A list serves all requests that arrived before it began, so that there is
    never more than one at a time.
    """

    def __init__(
        self,
        store: Store,
        kinds: ObjectKinds,
        decode_endpoint: Callable[[StoredObject], Result[Endpoint, str]],
        clock: Clock,
        registry: Registry,
    ) -> None:
        self._store = store
        self._kinds = kinds
        self._decode_endpoint = decode_endpoint
        self._clock = clock
        self._registry = registry
        self._lock = threading.Lock()
        self._began_s: float | None = None
        self._versions_by_service: Mapping[str, set[str]] | None = None

    def find(self, service: str, since_s: float) -> frozenset[str] | None:
        """Returns the versions of a service's endpoints.

        Args:
          service: name of the service.
          since_s: earliest begin of the list, in monotonic seconds.

        Returns:
          The versions; None if the store does not answer.
        """
        with self._lock:
            if self._began_s is None or self._began_s < since_s:
                self._began_s = self._clock()
                self._versions_by_service = self._list()
            if self._versions_by_service is None:
                return None
            return frozenset(self._versions_by_service.get(service, ()))

    def _list(self) -> Mapping[str, set[str]] | None:
        listed = self._store.list_objects(
            self._kinds.endpoints, Consistency.LATEST
        )
        self._registry.count(
            "latest_versions",
            "list_failed" if isinstance(listed, Err) else "listed",
        )
        if isinstance(listed, Err):
            return None
        versions_by_service: dict[str, set[str]] = {}
        for stored in listed.ok_value.objects:
            decoded = self._decode_endpoint(stored)
            if isinstance(decoded, Ok):
                endpoint = decoded.ok_value
                versions = versions_by_service.setdefault(
                    endpoint.service, set()
                )
                versions.add(endpoint.software_version)
        return versions_by_service


__all__ = ["LatestVersions"]
