"""Requests with keys that one VM relays to another one."""

from __future__ import annotations

import dataclasses
import unittest
from typing import Any

from burdockspan.gateway.accounts.identification import ProofLimits
from burdockspan.gateway.accounts.values import PresentedKey, digest_key
from burdockspan.gateway.fleet.relay_messages import encode_note, split_note
from burdockspan.gateway.values import RelayNote
from standins.scripted_endpoint import Received
from tests.gateway.fleet.test_peer_relay import RelayCase
from tests.support.gateways import Gateway, make_document, wait_for

_KEY = "secret-of-acme"
_DIGEST = digest_key(_KEY.encode())


def _make_document(version: int, key: str = _KEY) -> dict[str, Any]:
    tenants = [{"name": "Café 1", "api_keys": [key]}]
    return make_document(version, tenants=tenants)


class TestRelayedKeys(RelayCase):
    def setUp(self) -> None:
        super().setUp()
        self.other.configure(_make_document(2))
        wait_for(lambda: self.vm.configuration_version() == 2)
        self.authorization = {"Authorization": f"Bearer {_KEY}"}
        self.cut_off_with_key()

    def cut_off_with_key(self) -> None:
        """Cuts the VM off; it notices by calls that present the key."""
        send = self.send

        def send_with_key(number: int, target: str, **headers: str) -> Any:
            return send(number, target, **self.authorization, **headers)

        self.send = send_with_key  # type: ignore[method-assign]
        self.cut_off()

    def find_received(self, request_id: str) -> list[Received]:
        return [
            received
            for endpoint in self.other.endpoints
            for received in endpoint.received
            if received.header("Request-Id") == request_id
        ]

    def relay_directly(self, *headers: tuple[str, str]) -> int:
        """Sends a request to the relay server of a VM, as another VM would."""
        server = self.other.components.relay_server
        assert server is not None
        components = dataclasses.replace(self.other.components, ingress=server)
        direct = Gateway(components, self.other.store, [], [])
        return direct.call("GET", "/read/x", b"", dict(headers)).status

    def test_account_is_relayed_and_the_key_is_not(self) -> None:
        """Guards against an account that is lost, or a key that spreads."""
        sent = []
        relay = self.vm.components.context.platform.relay

        def record(peer: Any, call: Any, options: Any) -> Any:
            sent.append((call.headers, options.note))
            return relay(peer, call, options)

        object.__setattr__(self.vm.components.context.platform, "relay", record)
        forged = {"Tenant": "other", "Burdockspan-Account": "other"}
        self.assertEqual(self.send(7, "/pay/x", **forged).status, 200)
        (received,) = self.find_received("r7")
        tenant = (received.header("Tenant") or "").encode("latin-1").decode()
        self.assertEqual(tenant, "Café 1")
        self.assertIsNone(received.header("Authorization"))
        ((headers, note),) = sent
        self.assertEqual(note.account, "Café 1")
        self.assertNotIn(_KEY, str(headers))

    def test_vm_that_serves_checks_the_key_itself(self) -> None:
        """Guards against a key that only the VM before still knows."""
        context = self.vm.components.context
        object.__setattr__(context.state, "activate", lambda _: False)
        self.other.configure(_make_document(3, "new"))
        self.assertEqual(self.send(7, "/pay/x").status, 401)
        self.assertEqual(self.find_received("r7"), [])

    def test_vm_without_a_proof_declines(self) -> None:
        """Guards against a refusal while a further VM could serve."""
        context = self.other.components.context
        object.__setattr__(context, "proof_limits", ProofLimits(-1.0, -1.0))
        self.assertEqual(self.send(7, "/pay/x").status, 503)
        self.assertEqual(self.find_received("r7"), [])
        failed = self.vm.events_named("relay failed")[-1]
        self.assertEqual(failed["kind"], "refused")
        self.assertIn("configuration not proved", failed["detail"])

    def test_vm_of_an_earlier_release_is_treated_like_a_caller(self) -> None:
        """Guards against denials while releases run side by side."""
        version = ("Burdockspan-Configuration", "2")
        authorization = ("Authorization", f"Bearer {_KEY}")
        self.assertEqual(self.relay_directly(version, authorization), 200)
        self.assertEqual(self.relay_directly(version), 401)
        self.assertEqual(
            self.relay_directly(version, ("Authorization", "Bearer no")), 401
        )

    def test_note_names_account_and_digest(self) -> None:
        """Guards against accounts that a header cannot carry."""
        for account in ("acme", "Café 1", "a%2C,\u00a0b"):
            note = RelayNote(7, 1, 2, account, PresentedKey(_DIGEST))
            headers = encode_note(note)
            text = "".join(value for _, value in headers)
            self.assertTrue(text.isascii())
            self.assertNotIn(_KEY, text)
            self.assertEqual(split_note(headers), (note, ()))
        for digest in ("", "xyz", "a" * 129):
            headers = (
                ("Burdockspan-Account", "acme"),
                ("Burdockspan-Key-Digest", digest),
            )
            self.assertEqual(split_note(headers), (RelayNote(), ()))


if __name__ == "__main__":
    unittest.main()
