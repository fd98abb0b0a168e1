"""Accounts and keys at a whole gateway."""

from __future__ import annotations

import contextlib
import http.client
import json
import threading
import time
import unittest
from collections.abc import Iterable
from typing import Any

from burdockspan.gateway import readiness
from burdockspan.gateway.requests import application
from burdockspan.gateway.settings import ChangeLimits
from standins.object_store import ObjectStore
from standins.scripted_endpoint import (
    Action,
    Received,
    ScriptedEndpoint,
    Step,
    respond,
)
from tests.gateway.requests.test_generations import EngineScript, make_stream
from tests.support.gateways import (
    HOST,
    Gateway,
    ReceivedResponse,
    make_document,
    make_route,
    run_gateway,
    wait_for,
)

_OK = respond(200, b"done", {"Response-Stamp": "s"})
_NOT_STARTED = respond(503, b"", {"Not-Executed": "1"})
_SIZES: dict[str, Any] = {"Token-Count": "5200,1760", "Length-Hint": "600"}
_KEY = "secret-of-acme"
_REMOVED_KEY_S = 5.0
_LIMITS = ChangeLimits(3.0, 3.0, 4.0, _REMOVED_KEY_S)


def _make_document(version: int = 1, *keys: str) -> dict[str, Any]:
    document = make_document(version)
    document["routes"].append(make_route("open", public=True))
    keys = keys or (_KEY,)
    document["tenants"] = [
        {"name": "acme", "api_keys": list(keys), "priority": 0},
        {"name": "other", "api_keys": ["secret-of-other"]},
    ]
    return document


class _BootClock:
    """A boot clock that a test advances, as a freeze of the VM does."""

    def __init__(self) -> None:
        self.offset_s = 0.0

    def __call__(self) -> float:
        return time.monotonic() + self.offset_s


class AccountsCase(unittest.TestCase):
    def setUp(self) -> None:
        self.boot_clock = _BootClock()
        self.gateway = self.run_gateway(boot_clock=self.boot_clock)

    def run_gateway(self, **options: Any) -> Gateway:
        return self.enterContext(
            contextlib.contextmanager(run_gateway)(
                _make_document(), change_limits=_LIMITS, **options
            )
        )

    def call(
        self,
        target: str,
        key: str | None = _KEY,
        gateway: Gateway | None = None,
        **headers: Any,
    ) -> ReceivedResponse:
        """Sends a request with a key."""
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        method = "GET" if target.startswith(("/read", "/open")) else "POST"
        return (gateway or self.gateway).call(method, target, b"", headers)

    def add(self, script: Any, name: str = "i-1") -> ScriptedEndpoint:
        return self.gateway.add_endpoint(ScriptedEndpoint(name, script))

    def assert_identity(
        self, received: Received, account: str | None = "acme"
    ) -> None:
        """Checks that an endpoint sees the account, once, and no key."""
        names = [name.lower() for name, _ in received.headers]
        self.assertEqual(received.header("Tenant"), account)
        self.assertLessEqual(names.count("tenant"), 1)
        self.assertNotIn("authorization", names)


class TestIdentity(AccountsCase):
    def test_endpoint_sees_the_account_and_no_key(self) -> None:
        """Guards against an account that the caller chose, on each attempt."""
        scripts = [_NOT_STARTED, _OK]
        endpoint = self.add(lambda _: scripts.pop(0))
        second = self.add(lambda _: scripts.pop(0), "i-2")
        response = self.call("/read/x", Tenant="other")
        self.assertEqual(response.status, 200)
        received = endpoint.received + second.received
        self.assertEqual(len(received), 2)
        for request in received:
            self.assert_identity(request)

    def test_engines_see_the_account_and_no_key(self) -> None:
        """Guards against a prefill or a generation without the account."""
        scripts = {
            stage: EngineScript(make_stream(1))
            for stage in ("prefill", "decode")
        }
        for stage, script in scripts.items():
            self.gateway.add_endpoint(
                ScriptedEndpoint(f"i-{stage}", script),
                service="llm",
                stage=stage,
            )
        response = self.call("/draft/x", Tenant="other", **_SIZES)
        self.assertEqual(response.status, 200)
        self.assertEqual(len(scripts["prefill"].prefills), 1)
        for received in (*scripts["prefill"].prefills, *scripts["decode"].runs):
            self.assert_identity(received)

    def test_resumed_stream_has_the_account(self) -> None:
        """Guards against a stream that goes on without its account."""
        broken = EngineScript([*make_stream(1)[:-1], Action.RESET])
        whole = EngineScript(make_stream(2))
        engines = [broken, whole]

        def take_turns(received: Received) -> Iterable[Step]:
            is_run = received.target.startswith("/review/")
            return (engines.pop(0) if is_run else whole)(received)

        for number in range(2):
            self.gateway.add_endpoint(
                ScriptedEndpoint(f"i-{number}", take_turns), service="llm"
            )
        response = self.call("/review/x", Tenant="other", **_SIZES)
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertEqual(len(broken.runs + whole.runs), 2)
        for received in broken.runs + whole.runs:
            self.assert_identity(received)

    def test_key_is_needed_where_the_route_is_not_public(self) -> None:
        """Guards against a run without a key, and needless denials."""
        endpoint = self.add(lambda _: _OK)
        for target, key, status in (
            ("/read/x", "unknown", 401),
            ("/read/x", None, 401),
            ("/nowhere/x", _KEY, 404),
            ("/open/x", None, 200),
            ("/open/x", "unknown", 200),
        ):
            response = self.call(target, key, Tenant="acme")
            self.assertEqual(response.status, status, (target, key))
            if status == 401:
                value = json.loads(response.body)
                self.assertEqual(value["reason"], "not_run")
        self.assertEqual(len(endpoint.received), 2)
        for received in endpoint.received:
            self.assert_identity(received, None)
        self.assertEqual(self.call("/open/x").status, 200)
        self.assert_identity(endpoint.received[-1])

    def test_denied_caller_keeps_its_connection(self) -> None:
        """Guards against a new connection after each denial."""
        connection = http.client.HTTPConnection(self.gateway.address)
        self.addCleanup(connection.close)
        headers = {
            "Host": HOST,
            "Request-Id": "r1",
            "Authorization": "Bearer x",
        }
        connection.connect()
        opened = connection.sock
        for _ in range(2):
            connection.request("GET", "/read/x", headers=headers)
            response = connection.getresponse()
            response.read()
            self.assertEqual(response.status, 401)
            self.assertIs(connection.sock, opened)

    def test_priority_of_the_account_goes_first(self) -> None:
        """Guards against an order of requests by their routes alone."""
        priorities = []
        forward = application.forward

        def record(context: Any, request: Any) -> Any:
            priorities.append(request.priority)
            return forward(context, request)

        self.addCleanup(setattr, application, "forward", forward)
        application.forward = record
        self.call("/read/x")
        self.call("/read/x", "secret-of-other")
        self.assertEqual(priorities, [0, 1])

    def test_key_is_in_no_log_line(self) -> None:
        """Guards against keys that readers of logs could use."""
        self.add(lambda _: _NOT_STARTED)
        self.call("/read/x")
        self.call("/pay/x", "unknown-secret")
        self.call("/nowhere/x")
        wait_for(lambda: len(self.gateway.events_named("answered")) == 3)
        text = json.dumps(self.gateway.log_events, default=repr)
        metrics = self.gateway.components.context.registry.render().decode()
        for secret in (_KEY, "unknown-secret", "secret-of-other"):
            self.assertNotIn(secret, text)
            self.assertNotIn(secret, metrics)

    def test_malformed_accounts_leave_the_old_ones_in_force(self) -> None:
        """Guards against an outage, or open access, by a malformed list."""
        self.add(lambda _: _OK)
        document = _make_document(2)
        document["tenants"][1]["api_keys"].append(_KEY)
        self.gateway.store.put("config", "main", document)
        wait_for(
            lambda: bool(self.gateway.events_named("configuration ignored"))
        )
        self.assertEqual(self.call("/read/x").status, 200)
        self.assertEqual(self.call("/read/x", None).status, 401)


class TestRemovedKeys(AccountsCase):
    def test_removed_key_is_denied_and_new_one_served(self) -> None:
        """Guards against a key that outlives its removal."""
        self.add(lambda _: _OK)
        self.assertEqual(self.call("/read/x").status, 200)
        self.gateway.configure(_make_document(2, "new"))
        self.assertEqual(self.call("/read/x").status, 401)
        self.assertEqual(self.call("/read/x", "new").status, 200)

    def test_key_removed_between_attempts_ends_the_request(self) -> None:
        """Guards against a second attempt with a removed key."""
        endpoints = []

        def remove_key(_: Received) -> Iterable[Step]:
            self.gateway.configure(_make_document(2, "new"))
            return _NOT_STARTED

        endpoints = [self.add(remove_key, f"i-{n}") for n in range(2)]
        self.assertEqual(self.call("/read/x").status, 401)
        self.assertEqual(sum(len(e.received) for e in endpoints), 1)

    def test_key_removed_while_waiting_for_memory(self) -> None:
        """Guards against a generation that leaves a queue without its key."""
        engine = EngineScript(make_stream(1))
        engine.is_full = True
        self.gateway.add_endpoint(
            ScriptedEndpoint("i-d", engine), service="llm", stage="decode"
        )
        removal = threading.Timer(
            0.2, self.gateway.configure, [_make_document(2, "new")]
        )
        removal.start()
        response = self.call("/draft/x", **_SIZES)
        removal.join()
        self.assertEqual(response.status, 401)
        self.assertEqual(engine.runs, [])

    def test_vm_without_the_store_stops_serving_keys(self) -> None:
        """Guards against a removed key at a VM that cannot know it."""
        endpoint = self.add(lambda _: _OK)
        self.gateway.store.status = 503
        wait_for(lambda: bool(self.gateway.events_named("store lost")))
        self.assertEqual(self.call("/read/x").status, 200)
        self.boot_clock.offset_s += _REMOVED_KEY_S
        for key in (_KEY, "unknown"):
            response = self.call("/read/x", key)
            self.assertEqual(response.status, 503)
            self.assertIn("Retry-After", response.headers)
        self.assertEqual(self.call("/open/x").status, 200)
        self.assert_identity(endpoint.received[-1], None)
        (refused, _) = self.gateway.events_named("refused")
        self.assertEqual(refused["reason"], "configuration not proved")
        self.assertGreaterEqual(refused["proof_age_s"], _REMOVED_KEY_S)
        self.gateway.store.status = None
        wait_for(lambda: self.call("/read/x").status == 200)

    def test_vm_leaves_the_rotation_before_it_refuses_keys(self) -> None:
        """Guards against callers that are refused here and served late."""
        self.add(lambda _: _OK)
        context = self.gateway.components.context
        self.assertTrue(readiness.is_ready(context))
        self.gateway.store.status = 503
        wait_for(lambda: bool(self.gateway.events_named("store lost")))
        self.boot_clock.offset_s += 0.8 * _REMOVED_KEY_S
        self.assertFalse(readiness.is_ready(context))
        response = self.call("/read/x")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers.get("Connection"), "close")
        self.gateway.store.status = None
        wait_for(lambda: readiness.is_ready(context))

    def test_store_that_answers_keeps_the_proof_fresh(self) -> None:
        """Guards against refusals between two answers of the store."""
        proof = self.gateway.components.context.configuration_proof
        oldest_s = 0.0
        end_s = time.monotonic() + 4.0
        while time.monotonic() < end_s:
            oldest_s = max(oldest_s, proof.age_s())
            time.sleep(0.01)
        self.assertLess(oldest_s, 3.0)


class TestStatements(AccountsCase):
    def test_other_vm_keeps_a_vm_without_the_store_serving(self) -> None:
        """Guards against refusals at a VM that another one informs."""
        store = ObjectStore()
        self.addCleanup(store.close)
        options = {"exchange_address": "127.0.0.1:0", "shared_store": store}
        clock = _BootClock()
        other = self.run_gateway(vm="vm-1", **options)
        vm = self.run_gateway(vm="vm-2", boot_clock=clock, **options)
        vm.add_endpoint(ScriptedEndpoint("i-1", lambda _: _OK))
        for gateway in (other, vm):
            exchange = gateway.components.context.exchange
            wait_for(lambda known=exchange: bool(known.list_peers()))  # type: ignore[misc]
        # The VM goes on without the store, which its watcher no longer reaches.
        proof = vm.components.context.configuration_proof
        proof.record_store_answer = lambda sent_s: None  # type: ignore[method-assign]
        clock.offset_s += 60.0
        self.assertEqual(self.call("/read/x", gateway=vm).status, 503)
        wait_for(lambda: self.call("/read/x", gateway=vm).status == 200)
        # Once the other VM is behind, it proves nothing.
        other.components.stopped.set()
        clock.offset_s += 60.0
        self.assertEqual(self.call("/read/x", gateway=vm).status, 503)


if __name__ == "__main__":
    unittest.main()
