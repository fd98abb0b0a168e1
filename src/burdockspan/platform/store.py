"""HTTP client of the platform's object store."""

from __future__ import annotations

import dataclasses
import json
import re
import urllib.parse
from collections.abc import Mapping
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.ports import (
    Consistency,
    Listing,
    Store,
    StoredObject,
    StoreError,
)
from burdockspan.object_api.transport import Request, Transport, make_transport
from burdockspan.platform import headers as header_names
from burdockspan.values.clock import Clock
from burdockspan.values.json_reader import read_json

_OBJECTS_PATH = "/v1/objects/"
_JSON_HEADERS = (("Content-Type", "application/json"),)
# The store usually responds within milliseconds, and within half a second when
# it is slow.
_CALL_TIMEOUT_S = 1.0
# Added to the duration of a watch for the network round trip.
_WATCH_MARGIN_S = 0.6
# Limits the pages of a list in case the store returns a cursor that repeats.
_MAX_PAGES = 200
# Raised by values of another type than those of an object or a list.
_MALFORMED_ERRORS = (AttributeError, LookupError, TypeError, ValueError)
_ERA_PATTERN = re.compile(r"[0-9]{1,15}")
_ERROR_BY_STATUS = {
    404: StoreError.NOT_FOUND,
    409: StoreError.CONFLICT,
    410: StoreError.COMPACTED,
    429: StoreError.LIMITED,
}


@dataclasses.dataclass(frozen=True)
class _Answer:
    """A JSON value of the store, and its era."""

    value: Any
    era: int | None


def make_store(address: str, clock: Clock) -> Store:
    """Returns the client of the store at `ip:port`; it does not connect yet.

    Each call opens a new connection, since an idle one may have become
    unresponsive.
    """
    transport = make_transport(address, {}, clock, keeps_connections=False)

    def list_objects(
        kind: str, consistency: Consistency
    ) -> Result[Listing, StoreError]:
        objects: list[StoredObject] = []
        after: str | None = None
        revision, era = None, None
        for _ in range(_MAX_PAGES):
            query = _make_read_query(consistency)
            if after is not None:
                query["after"] = after
            page = _send_request(
                transport, "GET", _make_path(kind, query=query)
            )
            if isinstance(page, Err):
                return page
            try:
                items = [
                    _decode_object(item, page.ok_value.era)
                    for item in page.ok_value.value["items"]
                ]
                page_revision = int(page.ok_value.value["current_rev"])
                has_more = page.ok_value.value.get("has_more") is True
            except _MALFORMED_ERRORS:
                return Err(StoreError.MALFORMED)
            # The next watch starts at the revision of the first page, so that
            # it reports the changes between the pages.
            if revision is None:
                revision, era = page_revision, page.ok_value.era
            elif page.ok_value.era != era:
                # Pages of two eras make no list.
                return Err(StoreError.UNAVAILABLE)
            objects.extend(items)
            if not has_more or not items:
                return Ok(Listing(tuple(objects), revision, era))
            after = items[-1].name
        return Err(StoreError.MALFORMED)

    def watch(
        kind: str, revision: int, wait_s: float, consistency: Consistency
    ) -> Result[Listing, StoreError]:
        query = {
            **_make_read_query(consistency),
            "watch": str(revision),
            "wait_ms": str(int(wait_s * 1000)),
        }
        response = _send_request(
            transport,
            "GET",
            _make_path(kind, query=query),
            timeout_s=wait_s + _WATCH_MARGIN_S,
        )
        if isinstance(response, Err):
            return response
        try:
            answer = response.ok_value
            changes = tuple(
                _decode_object(
                    event["object"], answer.era, event.get("removed") is True
                )
                for event in answer.value["events"]
            )
            revision = int(answer.value["current_rev"])
            return Ok(Listing(changes, revision, answer.era))
        except _MALFORMED_ERRORS:
            return Err(StoreError.MALFORMED)

    def create(
        kind: str, name: str, value: Any
    ) -> Result[StoredObject, StoreError]:
        body = {"metadata": {"name": name}, "spec": value}
        return _write(transport, "POST", _make_path(kind), body)

    def replace(
        kind: str, name: str, value: Any, revision: int | None
    ) -> Result[StoredObject, StoreError]:
        metadata: dict[str, Any] = {"name": name, "finalizers": []}
        if revision is not None:
            metadata["revision"] = revision
        body = {"metadata": metadata, "spec": value}
        return _write(transport, "PUT", _make_path(kind, name), body)

    def remove(kind: str, name: str) -> Result[None, StoreError]:
        response = _send_request(transport, "DELETE", _make_path(kind, name))
        return response if isinstance(response, Err) else Ok(None)

    return Store(list_objects, watch, create, replace, remove)


def _make_read_query(consistency: Consistency) -> dict[str, str]:
    return {"allow_stale": "1"} if consistency is Consistency.EVENTUAL else {}


def _write(
    transport: Transport, method: str, path: str, body: Any
) -> Result[StoredObject, StoreError]:
    response = _send_request(transport, method, path, body)
    if isinstance(response, Err):
        return response
    try:
        return Ok(
            _decode_object(response.ok_value.value, response.ok_value.era)
        )
    except _MALFORMED_ERRORS:
        return Err(StoreError.MALFORMED)


def _make_path(
    kind: str, name: str | None = None, query: dict[str, str] | None = None
) -> str:
    path = _OBJECTS_PATH + urllib.parse.quote(kind, safe="")
    if name is not None:
        path += "/" + urllib.parse.quote(name, safe="")
    return path + ("?" + urllib.parse.urlencode(query) if query else "")


def _send_request(
    transport: Transport,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = _CALL_TIMEOUT_S,
) -> Result[_Answer, StoreError]:
    content = None if body is None else json.dumps(body).encode()
    headers = () if body is None else _JSON_HEADERS
    exchanged = transport(Request(method, path, timeout_s, content, headers))
    if isinstance(exchanged, Err):
        return Err(StoreError.UNAVAILABLE)
    response = exchanged.ok_value
    if not 200 <= response.status < 300:
        return Err(
            _ERROR_BY_STATUS.get(response.status, StoreError.UNAVAILABLE)
        )
    read = read_json(response.body or b"{}")
    if isinstance(read, Err):
        return Err(StoreError.MALFORMED)
    return Ok(_Answer(read.ok_value, _decode_era(response.headers)))


def _decode_era(headers: Mapping[str, str]) -> int | None:
    text = headers.get(header_names.STORE_ERA, "").strip()
    return int(text) if _ERA_PATTERN.fullmatch(text) else None


def _decode_object(
    value: Any, era: int | None, removed: bool = False
) -> StoredObject:
    metadata = value["metadata"]
    return StoredObject(
        name=str(metadata["name"]),
        revision=int(metadata.get("revision", 0)),
        value=value.get("spec"),
        removed=removed,
        era=era,
    )


__all__ = ["make_store"]
