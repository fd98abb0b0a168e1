"""The platform's object store over HTTP."""

from __future__ import annotations

import json
import urllib.parse
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.ports import (
    Listing,
    Store,
    StoredObject,
    StoreError,
)
from burdockspan.object_api.transport import Request, Transport, make_transport
from burdockspan.values.clock import Clock

_OBJECTS = "/v1/objects/"
_JSON = (("Content-Type", "application/json"),)
# The store answers in milliseconds; a slow one takes up to half a second.
_CALL_TIMEOUT_S = 1.0
# Added to the time that a watch waits, for the way there and back.
_WATCH_MARGIN_S = 0.6
# Bounds the pages of one list, so that a faulty cursor cannot repeat forever.
_MOST_PAGES = 200
_ERRORS = {
    404: StoreError.NOT_FOUND,
    409: StoreError.CONFLICT,
    410: StoreError.COMPACTED,
    429: StoreError.LIMITED,
}


def make_store(address: str, clock: Clock) -> Store:
    """Returns the store at `ip:port`; nothing is sent before its first call.

    Each call takes a new connection: an idle one may have gone silent.
    """
    transport = make_transport(address, {}, clock, idle_limit_s=0.0)

    def list_objects(kind: str) -> Result[Listing, StoreError]:
        found: list[StoredObject] = []
        after: str | None = None
        revision = None
        for _ in range(_MOST_PAGES):
            query = {} if after is None else {"after": after}
            page = _call(transport, "GET", _path(kind, query=query))
            if isinstance(page, Err):
                return page
            try:
                items = [_decode_object(one) for one in page.ok_value["items"]]
                at = int(page.ok_value["current_rev"])
                more = page.ok_value.get("has_more") is True
            except (KeyError, TypeError, ValueError):
                return Err(StoreError.MALFORMED)
            # Changes between two pages are seen again by the watch that
            # starts at the revision of the first.
            revision = at if revision is None else revision
            found.extend(items)
            if not more or not items:
                return Ok(Listing(tuple(found), revision))
            after = items[-1].name
        return Err(StoreError.MALFORMED)

    def watch(
        kind: str, revision: int, wait_s: float
    ) -> Result[Listing, StoreError]:
        query = {"watch": str(revision), "wait_ms": str(int(wait_s * 1000))}
        answer = _call(
            transport,
            "GET",
            _path(kind, query=query),
            timeout_s=wait_s + _WATCH_MARGIN_S,
        )
        if isinstance(answer, Err):
            return answer
        try:
            changes = tuple(
                _decode_object(event["object"], event.get("removed") is True)
                for event in answer.ok_value["events"]
            )
            return Ok(Listing(changes, int(answer.ok_value["current_rev"])))
        except (KeyError, TypeError, ValueError):
            return Err(StoreError.MALFORMED)

    def create(
        kind: str, name: str, value: Any
    ) -> Result[StoredObject, StoreError]:
        body = {"metadata": {"name": name}, "spec": value}
        return _write(transport, "POST", _path(kind), body)

    def replace(
        kind: str, name: str, value: Any, revision: int | None
    ) -> Result[StoredObject, StoreError]:
        metadata: dict[str, Any] = {"name": name, "finalizers": []}
        if revision is not None:
            metadata["revision"] = revision
        body = {"metadata": metadata, "spec": value}
        return _write(transport, "PUT", _path(kind, name), body)

    def remove(kind: str, name: str) -> Result[None, StoreError]:
        answer = _call(transport, "DELETE", _path(kind, name))
        return answer if isinstance(answer, Err) else Ok(None)

    return Store(list_objects, watch, create, replace, remove)


def _write(
    transport: Transport, method: str, path: str, body: Any
) -> Result[StoredObject, StoreError]:
    answer = _call(transport, method, path, body)
    if isinstance(answer, Err):
        return answer
    try:
        return Ok(_decode_object(answer.ok_value))
    except (KeyError, TypeError, ValueError):
        return Err(StoreError.MALFORMED)


def _path(
    kind: str, name: str | None = None, query: dict[str, str] | None = None
) -> str:
    path = _OBJECTS + urllib.parse.quote(kind, safe="")
    if name is not None:
        path += "/" + urllib.parse.quote(name, safe="")
    return path + ("?" + urllib.parse.urlencode(query) if query else "")


def _call(
    transport: Transport,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = _CALL_TIMEOUT_S,
) -> Result[Any, StoreError]:
    content = None if body is None else json.dumps(body).encode()
    headers = () if body is None else _JSON
    answer = transport(Request(method, path, timeout_s, content, headers))
    if isinstance(answer, Err):
        return Err(StoreError.UNAVAILABLE)
    response = answer.ok_value
    if not 200 <= response.status < 300:
        return Err(_ERRORS.get(response.status, StoreError.UNAVAILABLE))
    try:
        return Ok(json.loads(response.body) if response.body else {})
    except ValueError:
        return Err(StoreError.MALFORMED)


def _decode_object(value: Any, removed: bool = False) -> StoredObject:
    metadata = value["metadata"]
    return StoredObject(
        name=str(metadata["name"]),
        revision=int(metadata.get("revision", 0)),
        value=value.get("spec"),
        removed=removed,
    )


__all__ = ["make_store"]
