"""The client of the store reads pages with objects of other programs."""

from __future__ import annotations

import time
import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import Err

from burdockspan.gateway.ports import Consistency, Listing, Store, StoreError
from burdockspan.platform.store import make_store
from standins.scripted_endpoint import ScriptedEndpoint, respond

_NAMES = ("a", "foreign", "z")


def _make_object(name: str, spec: str) -> str:
    return f'{{"metadata":{{"name":"{name}","revision":5}},"spec":{spec}}}'


class StoreClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.body = b""
        server = ScriptedEndpoint("store", lambda _: respond(200, self.body))
        self.addCleanup(server.close)
        self.store: Store = make_store(server.address, time.monotonic)

    def list_objects(self, body: str | bytes) -> Listing | StoreError:
        """Returns what the client reads of a page."""
        self.body = body.encode() if isinstance(body, str) else body
        listed = self.store.list_objects("servers", Consistency.LATEST)
        return listed.err_value if isinstance(listed, Err) else listed.ok_value

    def test_object_with_unreadable_contents_leaves_the_others(self) -> None:
        """Guards against one entry that hides all others from all VMs."""
        for spec in (
            "[" * 100_000 + "]" * 100_000,
            '{"slots":' + "9" * 5000 + "}",
            '{"slots":1e999}',
            '"\\ud800"',
            b'"\xff\xfe"',
        ):
            with self.subTest(spec[:12]):
                text = (
                    spec.decode("latin-1") if isinstance(spec, bytes) else spec
                )
                items = [
                    _make_object(name, text if name == "foreign" else "{}")
                    for name in _NAMES
                ]
                page = f'{{"items":[{",".join(items)}],"current_rev":9}}'
                listing = self.list_objects(page.encode("latin-1"))
                assert isinstance(listing, Listing)
                names = tuple(stored.name for stored in listing.objects)
                self.assertEqual(names, _NAMES)

    def test_page_of_another_shape_is_malformed(self) -> None:
        """Guards against a page that ends the thread of a watch."""
        for page in (
            "[]",
            "null",
            "7",
            '{"items":[7],"current_rev":9}',
            '{"items":[{"metadata":7}],"current_rev":9}',
            '{"items":{},"current_rev":1e999}',
            '{"items":[],"current_rev":null}',
            '{"items":[{"metadata":{"name":"a","revision":[]}}],"current_rev":1}',
        ):
            with self.subTest(page):
                self.assertIs(self.list_objects(page), StoreError.MALFORMED)

    @given(st.binary(max_size=40))
    def test_any_bytes_are_a_page_or_malformed(self, body: bytes) -> None:
        """Guards against bytes that end the thread of a watch."""
        listed = self.list_objects(body)
        self.assertIsInstance(listed, Listing | StoreError)
