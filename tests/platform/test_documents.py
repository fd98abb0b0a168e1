"""Documents of the store are decoded, and malformed ones are refused."""

from __future__ import annotations

import contextlib
import time
import unittest
from typing import Any

from hypothesis import given

from burdockspan.gateway.accounts.identification import (
    find_account,
    make_account_table,
)
from burdockspan.gateway.accounts.values import (
    Account,
    PresentedKey,
    Quota,
    QuotaUnit,
    digest_key,
)
from burdockspan.gateway.values import RequestKind, Stage
from burdockspan.platform import documents
from tests.support.gateways import make_document
from tests.support.json_values import (
    JSON_VALUES,
    list_variants,
    nearly,
)

_ENTRY: dict[str, Any] = {
    "service": "llm",
    "address": "10.1.2.3:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "stage": "prefill",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "born": 1_700_000_000_000,
}


class TestConfiguration(unittest.TestCase):
    def test_configuration_is_decoded(self) -> None:
        """Guards against milliseconds that are mistaken for seconds."""
        decoded = documents.decode_configuration(make_document(7))
        by_name = {route.name: route for route in decoded.routes}
        self.assertEqual(decoded.version, 7)
        self.assertEqual(by_name["read"].timeout_s, 5.0)
        self.assertIs(by_name["pay"].kind, RequestKind.NON_IDEMPOTENT)
        self.assertTrue(by_name["review"].repeatable)
        self.assertFalse(by_name["draft"].repeatable)
        self.assertEqual(decoded.limits.header_timeout_s, 0.3)
        engine = decoded.services_by_name["llm"].engine
        assert engine is not None
        self.assertEqual(engine.reservation_ttl_s, 2.0)

    def test_split_route_has_all_its_services(self) -> None:
        """Guards against a split route that sends all to one service."""
        document = make_document()
        shares = [
            {"service": "app", "weight": 90},
            {"service": "llm", "weight": 10},
        ]
        document["routes"][0]["backends"] = shares
        decoded = documents.decode_configuration(document)
        self.assertEqual(len(decoded.routes[0].services), 2)

    def test_unknown_kind_is_refused(self) -> None:
        """Guards against a route without a rule for retries."""
        document = make_document()
        document["routes"][0]["kind"] = "other"
        with self.assertRaises(documents.MalformedError):
            documents.decode_configuration(document)

    @given(JSON_VALUES)
    def test_any_value_decodes_or_is_refused(self, value: Any) -> None:
        """Guards against an object that crashes the thread that reads it."""
        with contextlib.suppress(documents.MalformedError):
            documents.decode_configuration(value)

    def test_configuration_with_an_extreme_field_decodes_or_is_refused(
        self,
    ) -> None:
        """Guards against a field that ends the watch of the configuration."""
        for value in list_variants(make_document()):
            with contextlib.suppress(documents.MalformedError):
                documents.decode_configuration(value)

    @given(nearly(make_document()))
    def test_configuration_with_any_field_decodes_or_is_refused(
        self, value: Any
    ) -> None:
        """Guards against a field that ends the watch of the configuration."""
        with contextlib.suppress(documents.MalformedError):
            documents.decode_configuration(value)


def _decode_accounts(tenants: Any) -> tuple[Account, ...] | None:
    document = make_document(1, tenants=tenants)
    return documents.decode_configuration(document).accounts


class TestAccounts(unittest.TestCase):
    def test_document_without_accounts_has_none(self) -> None:
        """Guards against a key that is asked for where there are none."""
        document = make_document()
        self.assertIsNone(documents.decode_configuration(document).accounts)
        self.assertIsNone(_decode_accounts(None))

    def test_accounts_are_decoded(self) -> None:
        """Guards against limits in the wrong unit, and limits of zero."""
        limits = {"rate_per_s": 50, "burst": 200.5, "plain_tokens": 200}
        tokens, requests, unlimited = _decode_accounts(
            [
                {
                    "name": "a",
                    "api_keys": ["k1", "k2"],
                    "priority": 2,
                    "unit": "token_stream",
                    **limits,
                },
                {"name": "b", "api_keys": [], "unit": "other", **limits},
                {"name": "Café", "api_keys": ["k3"], "rate_per_s": 0},
            ]
        ) or ((None,) * 3)
        assert tokens and requests and unlimited
        self.assertEqual(
            tokens.key_digests, {digest_key(b"k1"), digest_key(b"k2")}
        )
        self.assertEqual(tokens.priority, 2)
        self.assertEqual(
            tokens.quota, Quota(QuotaUnit.TOKENS, 50.0, 200.5, 200.0)
        )
        self.assertEqual(
            requests.quota, Quota(QuotaUnit.REQUESTS, 50.0, 200.5, 1.0)
        )
        self.assertIsNone(unlimited.quota)
        self.assertIsNone(unlimited.priority)

    def test_malformed_account_is_refused_without_its_key(self) -> None:
        """Guards against an account with a limit or keys that nobody set."""
        good = {"name": "a", "api_keys": ["secret-1"]}
        for tenants, field in (
            ({}, "tenants"),
            ("secret-1", "tenants"),
            ([7], "tenant"),
            ([good, {**good, "api_keys": ["secret-2"]}], "name"),
            ([good, {**good, "name": "b"}], "api_keys"),
            ([{**good, "api_keys": ["secret-1"] * 2}], "api_keys"),
            ([{**good, "api_keys": ["secret-1", ""]}], "api_keys"),
            ([{**good, "api_keys": ["secret-1\ud800"]}], "api_keys"),
            ([{**good, "api_keys": "secret-1"}], "api_keys"),
            ([{**good, "api_keys": ["secret-1", 7]}], "api_keys"),
            ([{"name": "a"}], "api_keys"),
            ([{**good, "name": ""}], "name"),
            ([{**good, "name": "a\r\nX: y"}], "name"),
            ([{**good, "priority": -1}], "priority"),
            ([{**good, "priority": "high"}], "priority"),
            ([{**good, "unit": 7}], "unit"),
            ([{**good, "rate_per_s": -1}], "rate_per_s"),
            ([{**good, "rate_per_s": True}], "rate_per_s"),
            ([{**good, "burst": -0.5}], "burst"),
            ([{**good, "plain_tokens": "200"}], "plain_tokens"),
        ):
            with self.subTest(tenants=tenants):
                with self.assertRaises(documents.MalformedError) as raised:
                    _decode_accounts(tenants)
                self.assertIn(field, str(raised.exception))
                self.assertNotIn("secret", str(raised.exception))

    def test_many_accounts_cost_no_pause(self) -> None:
        """Guards against pauses at each of hundreds of changes a day."""
        tenants = [
            {"name": f"a{n}", "api_keys": [f"old-{n}", f"new-{n}"]}
            for n in range(440)
        ]
        durations_s = []
        for _ in range(5):
            started_s = time.perf_counter()
            table = make_account_table(_decode_accounts(tenants))
            durations_s.append(time.perf_counter() - started_s)
        self.assertLess(min(durations_s), 0.02)
        assert table is not None
        found = find_account(table, PresentedKey(digest_key(b"new-439")))
        assert found is not None
        self.assertEqual(found.name, "a439")
        self.assertEqual(len(table.account_by_digest), 880)

    @given(JSON_VALUES)
    def test_any_value_decodes_or_is_refused(self, value: Any) -> None:
        """Guards against accounts that crash the thread that reads them."""
        with contextlib.suppress(documents.MalformedError):
            _decode_accounts(value)


class TestEntry(unittest.TestCase):
    def test_entry_is_decoded(self) -> None:
        """Guards against fields that are mixed up."""
        endpoint = documents.decode_endpoint("i-1", _ENTRY)
        self.assertEqual(endpoint.incarnation, ("i-1", 1_700_000_000_000))
        self.assertEqual(endpoint.address, "10.1.2.3:8080")
        self.assertIs(endpoint.stage, Stage.PREFILL)
        self.assertFalse(endpoint.leaving)

    def test_entry_with_an_invalid_field_is_refused(self) -> None:
        """Guards against requests to an endpoint that does not exist."""
        for key, value in (
            ("state", "sleeping"),
            ("state", None),
            ("stage", "both"),
            ("address", "10.1.2.3"),
            ("address", "10.1.2.3:99999"),
            ("address", "example.com:80"),
            ("address", 7),
            ("service", ""),
            ("service", ["llm"]),
            ("zone", None),
            ("slots", "many"),
            ("slots", True),
            ("born", 1.5),
            ("born", "yesterday"),
            # No fixed-size integer or float holds it.
            ("slots", 10**400),
            ("born", 10**400),
            ("slots", 1e300),
            ("address", "10.1.2.3:" + "9" * 5000),
            ("address", "10.1.2.256:80"),
            ("address", "10.1.2.٣:80"),
            ("address", "10.1.2.3:0"),
            ("service", "x" * 70_000),
            ("zone", "a\r\nb"),
        ):
            with self.subTest(key=key, value=repr(value)[:40]):
                entry = {**_ENTRY, key: value}
                with self.assertRaises(documents.MalformedError):
                    documents.decode_endpoint("i-1", entry)

    def test_entry_without_a_required_field_is_refused(self) -> None:
        """Guards against defaults for required fields."""
        for key in ("service", "address", "zone", "state"):
            entry = {name: v for name, v in _ENTRY.items() if name != key}
            with self.subTest(key), self.assertRaises(documents.MalformedError):
                documents.decode_endpoint("i-1", entry)

    @given(JSON_VALUES)
    def test_any_value_decodes_or_is_refused(self, value: Any) -> None:
        """Guards against an entry that crashes the thread that reads it."""
        with contextlib.suppress(documents.MalformedError):
            documents.decode_endpoint("i-1", value)

    def test_entry_with_an_extreme_field_decodes_or_is_refused(self) -> None:
        """Guards against a field that ends the watch of the endpoints."""
        for value in list_variants(_ENTRY):
            with contextlib.suppress(documents.MalformedError):
                documents.decode_endpoint("i-1", value)

    @given(nearly(_ENTRY))
    def test_entry_with_any_field_decodes_or_is_refused(
        self, value: Any
    ) -> None:
        """Guards against a field that ends the watch of the endpoints."""
        with contextlib.suppress(documents.MalformedError):
            documents.decode_endpoint("i-1", value)

    def test_entry_whose_name_fits_no_header_is_refused(self) -> None:
        """Guards against headers that another program could add."""
        for name in ("", "a b", "i-1\r\nX: y", "ü", "x" * 300):
            with (
                self.subTest(name),
                self.assertRaises(documents.MalformedError),
            ):
                documents.decode_endpoint(name, _ENTRY)
