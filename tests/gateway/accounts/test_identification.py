"""Who a request is from, and which requests are denied."""

from __future__ import annotations

import dataclasses
import math
import unittest

from result import Err, Ok

from burdockspan.gateway.accounts.identification import (
    Denial,
    ProofLimits,
    holds_key,
    identify,
    make_account_table,
)
from burdockspan.gateway.accounts.values import (
    Account,
    PresentedKey,
    digest_key,
)
from burdockspan.gateway.callers.messages import CallerConnection, RawRequest
from burdockspan.gateway.values import (
    InboundCall,
    RelayNote,
    RequestKind,
    Route,
    WeightedService,
)
from burdockspan.platform.ingress import decode_call

_KEY = "secret-1"
_NAME = "Tenant"
_TABLE = make_account_table(
    (
        Account("acme", frozenset((digest_key(_KEY.encode()),))),
        Account("other", frozenset((digest_key(b"secret-2"),))),
    )
)
_ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RequestKind.IDEMPOTENT,
    timeout_s=1.0,
    objective_s=1.0,
    gap_objective_s=0.0,
    priority=1,
    max_attempts=1,
    resumable=False,
    services=(WeightedService("app", 1.0),),
)
_PUBLIC = dataclasses.replace(_ROUTE, public=True)
_LIMITS = ProofLimits(known_key_s=4.8, unknown_key_s=3.0)


def _decode(*headers: tuple[str, str]) -> InboundCall:
    raw = RawRequest(
        method="GET",
        target="/",
        headers=(("Request-Id", "r1"), *headers),
        body=b"",
        client="10.0.0.1",
        arrived_s=0.0,
        caller=CallerConnection(),
    )
    return decode_call(raw).unwrap()


def _bearer(key: str) -> tuple[str, str]:
    return "Authorization", f"Bearer {key}"


def _relay(account: str, key: str) -> RelayNote:
    presented = PresentedKey(digest_key(key.encode()))
    return RelayNote(account=account, key=presented)


class TestIdentify(unittest.TestCase):
    def check(
        self,
        call: InboundCall,
        route: Route = _ROUTE,
        relay: RelayNote | None = None,
        age_s: float = 0.1,
    ) -> str | Denial | None:
        """Returns the account that endpoints see, or the denial."""
        outcome = identify(_TABLE, route, call, relay, age_s, _LIMITS)
        if isinstance(outcome, Err):
            return outcome.err_value
        seen = outcome.ok_value.call
        names = {name.lower() for name, _ in seen.headers}
        self.assertFalse(names & {"authorization", "tenant"})
        return seen.account

    def test_without_accounts_nothing_changes(self) -> None:
        """Guards against headers that other deployments rely on."""
        call = _decode(_bearer(_KEY), (_NAME, "mine"), ("X", "1"))
        outcome = identify(None, _ROUTE, call, None, math.inf, _LIMITS)
        assert isinstance(outcome, Ok)
        self.assertEqual(
            outcome.ok_value.call.headers,
            (("Request-Id", "r1"), _bearer(_KEY), (_NAME, "mine"), ("X", "1")),
        )
        self.assertIsNone(outcome.ok_value.call.account)

    def test_key_names_its_account(self) -> None:
        """Guards against an account that a caller chooses."""
        self.assertEqual(self.check(_decode(_bearer(_KEY))), "acme")
        forged = _decode((_NAME, "other"), _bearer(_KEY), ("tenant", "other"))
        self.assertEqual(self.check(forged), "acme")
        lower = _decode(("AUTHORIZATION", f"bearer  {_KEY} "))
        self.assertEqual(self.check(lower), "acme")

    def test_unknown_key_is_denied(self) -> None:
        """Guards against requests that nobody answers for."""
        for headers in (
            (_bearer("secret"),),
            (_bearer(_KEY.upper()),),
            (_bearer(digest_key(_KEY.encode()).hex()),),
            (("Authorization", _KEY),),
            (("Authorization", ""),),
            (("Authorization", f"Basic {_KEY}"),),
            (_bearer(_KEY), _bearer("secret-2")),
        ):
            with self.subTest(headers):
                denial = self.check(_decode(*headers))
                self.assertIs(denial, Denial.UNKNOWN_KEY)
        self.assertIs(self.check(_decode((_NAME, "acme"))), Denial.NO_KEY)

    def test_public_route_needs_no_key(self) -> None:
        """Guards against a forged account on a route that is public."""
        forged = _decode((_NAME, "acme"))
        self.assertIsNone(self.check(forged, _PUBLIC))
        self.assertIsNone(self.check(_decode(_bearer("no")), _PUBLIC))
        known = _decode(_bearer(_KEY))
        self.assertEqual(self.check(known, _PUBLIC), "acme")
        # The account may not hold the key any more.
        self.assertIsNone(self.check(known, _PUBLIC, age_s=4.9))

    def test_added_key_is_not_denied_without_a_recent_proof(self) -> None:
        """Guards against 401 for a new key at a VM out of touch."""
        call = _decode(_bearer("new"))
        self.assertIs(self.check(call, age_s=3.0), Denial.UNKNOWN_KEY)
        self.assertIs(self.check(call, age_s=3.1), Denial.NOT_PROVED)
        self.assertIs(self.check(call, age_s=math.inf), Denial.NOT_PROVED)

    def test_removed_key_is_not_served_without_a_proof(self) -> None:
        """Guards against a removed key at a VM out of touch."""
        call = _decode(_bearer(_KEY))
        self.assertEqual(self.check(call, age_s=4.8), "acme")
        self.assertIs(self.check(call, age_s=4.9), Denial.NOT_PROVED)

    def test_relayed_request_is_checked_again(self) -> None:
        """Guards against a key that only the VM before still knew."""
        call = _decode()
        check = self.check
        self.assertEqual(check(call, relay=_relay("acme", _KEY)), "acme")
        for account, key in (("acme", "secret-2"), ("acme", "gone")):
            denial = check(call, relay=_relay(account, key))
            self.assertIs(denial, Denial.UNKNOWN_KEY)
        # An earlier release passes on what the caller sent.
        earlier = _decode(_bearer(_KEY))
        self.assertEqual(check(earlier, relay=RelayNote(7)), "acme")
        self.assertIs(check(call, relay=RelayNote(7)), Denial.NO_KEY)

    def test_key_that_is_gone_or_moved_is_noticed(self) -> None:
        """Guards against a later attempt with a key removed meanwhile."""
        outcome = identify(
            _TABLE, _ROUTE, _decode(_bearer(_KEY)), None, 0.0, _LIMITS
        ).unwrap()
        digests = frozenset((digest_key(_KEY.encode()),))
        for accounts, expected in (
            ((Account("acme", digests),), True),
            ((Account("acme", frozenset()),), False),
            ((Account("other", digests),), False),
            ((), False),
            (None, True),
        ):
            table = make_account_table(accounts)
            held = holds_key(table, outcome.account, outcome.call)
            self.assertEqual(held, expected, accounts)

    def test_key_is_not_in_the_text_of_values(self) -> None:
        """Guards against keys in logs and traces of failures."""
        call = _decode(_bearer(_KEY))
        assert call.key is not None
        for value in (call, call.key, _TABLE, _relay("acme", _KEY)):
            for text in (repr(value), str(value)):
                self.assertNotIn(_KEY, text)
                self.assertNotIn(str(call.key.digest), text)


if __name__ == "__main__":
    unittest.main()
