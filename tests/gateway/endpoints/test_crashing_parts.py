"""A part of prompts that crashes engines is refused at all VMs."""

from __future__ import annotations

import contextlib
import itertools
import json
import threading
import unittest
from collections.abc import Iterable, Iterator

from standins.object_store import ObjectStore
from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    Action,
    Received,
    Script,
    ScriptedEndpoint,
    Step,
    chunk,
    respond,
    respond_json,
)
from tests.support.gateways import (
    Gateway,
    ReceivedResponse,
    make_document,
    run_gateway,
    wait_for,
)

_VMS = ("vm-1", "vm-2", "vm-3", "vm-4")
_BAD_PART = "bad0"
_SOUND_PARTS = "aa01:200"
_EVENTS = b"".join(b"id: %d\ndata: t\n\n" % number for number in range(1, 4))
_READ = respond(200, b"done", {"Response-Stamp": "s"})
# Crashes until the part is refused, and those of requests on their way then.
_CRASH_LIMIT = 5


class _Engines:
    """Engines that crash when they begin a run with the bad part.

    Attributes:
      crashes: number of engines that have crashed.
      bad_arrivals: calls with the bad part that have reached an engine.
    """

    def __init__(self, gateways: list[Gateway], store: ObjectStore) -> None:
        self._gateways = gateways
        self._store = store
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self.crashes = 0
        self.bad_arrivals: list[Received] = []
        self.crashing_part = _BAD_PART

    def add(self, count: int, stage: str = "decode") -> list[ScriptedEndpoint]:
        """Adds engines and waits until all VMs know them."""
        engines = []
        for _ in range(count):
            name = f"i-{next(self._numbers)}"
            engine = ScriptedEndpoint(name, lambda _: [])
            engine.script = self._make_script(engine)
            entry = engine.as_store_entry("llm", "zone-a", stage)
            self._store.put("servers", name, entry)
            self._gateways[0].endpoints.append(engine)
            engines.append(engine)
        for gateway in self._gateways:
            table = gateway.components.context.state.endpoint_table
            wait_for(lambda table=table: name in table().by_id)  # type: ignore[misc]
        return engines

    def crash(self, engine: ScriptedEndpoint) -> None:
        """Ends an engine; its entry stays for a while."""
        with self._lock:
            self.crashes += 1
        engine.close()

    def _make_script(self, engine: ScriptedEndpoint) -> Script:
        def script(received: Received) -> Iterable[Step]:
            if received.target == "/v1/hold-take":
                return respond_json(200, {"hold": "h"})
            if received.method in ("DELETE", "GET"):
                return respond(404)
            parts = received.header("Prompt-Prefix") or ""
            is_bad = self.crashing_part in parts
            if is_bad:
                self.bad_arrivals.append(received)
            if received.header("Stage") == "prefill":
                return respond_json(200, {"handle": "k", "tokens": 5200})
            if is_bad:
                return self._end(engine)
            return [CHUNKED_HEAD, chunk(_EVENTS), LAST_CHUNK]

        return script

    def _end(self, engine: ScriptedEndpoint) -> Iterator[Step]:
        yield CHUNKED_HEAD
        self.crash(engine)
        yield Action.RESET


class CrashingPartsCase(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ObjectStore()
        self.addCleanup(self.store.close)
        self.gateways: list[Gateway] = [
            self.enterContext(
                contextlib.contextmanager(run_gateway)(
                    make_document(), shared_store=self.store, vm=vm
                )
            )
            for vm in _VMS
        ]
        self.engines = _Engines(self.gateways, self.store)
        self._numbers = itertools.count(1)

    def generate(
        self, gateway: Gateway, parts: str, path: str = "/draft/x"
    ) -> ReceivedResponse:
        """Sends a generation request that is like no other."""
        number = next(self._numbers)
        headers = {
            "Request-Id": f"r{number}",
            "Token-Count": "5200,1760",
            "Prompt-Prefix": f"{parts},{number:04x}:250",
        }
        return gateway.call("POST", path, b"prompt %d" % number, headers)

    def send_bad_requests(
        self, count: int, parts: str = f"{_SOUND_PARTS},{_BAD_PART}:40"
    ) -> list[ReceivedResponse]:
        """Sends requests with the bad part, in turn at all VMs."""
        responses = []
        for _, gateway in zip(
            range(count), itertools.cycle(self.gateways), strict=False
        ):
            responses.append(self.generate(gateway, parts))
            # Each VM has a sound request between those that crash engines.
            self.generate(gateway, _SOUND_PARTS)
        return responses


class TestCrashingParts(CrashingPartsCase):
    def test_requests_with_a_crashing_part_are_refused_at_all_vms(self) -> None:
        """Guards against requests that crash engines and are never alike."""
        self.engines.add(16)
        responses = self.send_bad_requests(14)
        self.assertLessEqual(self.engines.crashes, _CRASH_LIMIT)
        for response in responses[-4:]:
            self.assertEqual(response.status, 503)
            self.assertEqual(json.loads(response.body)["reason"], "not_run")
            self.assertGreater(float(response.headers["Retry-After"]), 1.0)
        for gateway in self.gateways:
            response = self.generate(gateway, _SOUND_PARTS)
            self.assertEqual(response.status, 200)
            self.assertTrue(response.complete)

    def test_crashing_part_that_stands_first_is_refused(self) -> None:
        """Guards against a first part that is taken for sound unseen."""
        self.engines.add(16)
        responses = self.send_bad_requests(14, f"{_BAD_PART}:40,cc03:10")
        self.assertLessEqual(self.engines.crashes, _CRASH_LIMIT)
        self.assertEqual(responses[-1].status, 503)

    def test_no_call_with_a_refused_part_reaches_an_engine(self) -> None:
        """Guards against prompts that are read for requests in vain."""
        self.engines.add(16)
        self.engines.add(2, "prefill")
        self.send_bad_requests(10)
        arrivals = len(self.engines.bad_arrivals)
        self.send_bad_requests(4)
        self.assertEqual(len(self.engines.bad_arrivals), arrivals)

    def test_resumable_request_does_not_crash_an_engine_after_the_verdict(
        self,
    ) -> None:
        """Guards against a second attempt of a request that is refused."""
        self.engines.add(16)
        for _, gateway in zip(
            range(8), itertools.cycle(self.gateways), strict=False
        ):
            parts = f"{_SOUND_PARTS},{_BAD_PART}:40"
            self.generate(gateway, parts, "/review/x")
        self.assertLessEqual(self.engines.crashes, _CRASH_LIMIT)

    def test_vm_that_starts_later_refuses_the_part(self) -> None:
        """Guards against a verdict that a new process does not know."""
        self.engines.add(16)
        self.send_bad_requests(10)
        late = contextlib.contextmanager(run_gateway)(
            make_document(), shared_store=self.store, vm="vm-5"
        )
        arrivals = len(self.engines.bad_arrivals)
        with late as gateway:
            state = gateway.components.context.state
            wait_for(lambda: bool(state.endpoint_table().by_id))
            wait_for(lambda: bool(gateway.events_named("crashes learned")))
            parts = f"{_SOUND_PARTS},{_BAD_PART}:40"
            self.assertEqual(self.generate(gateway, parts).status, 503)
        self.assertEqual(len(self.engines.bad_arrivals), arrivals)


class TestSoundParts(CrashingPartsCase):
    def test_crashes_with_another_cause_refuse_no_part(self) -> None:
        """Guards against blaming what all prompts have in common."""
        self.engines.crashing_part = "ended"
        self.engines.add(16)
        for round_number in range(10):
            gateway = self.gateways[round_number % len(self.gateways)]
            # The request that is lost with its engine is one of many.
            self.generate(gateway, f"{_SOUND_PARTS},ended{round_number}:9")
            for other in self.gateways:
                response = self.generate(other, _SOUND_PARTS)
                self.assertEqual(response.status, 200)
        self.assertEqual(self.engines.crashes, 10)
        for gateway in self.gateways:
            reasons = [
                event.get("reason") for event in gateway.events_named("refused")
            ]
            self.assertNotIn("crashes endpoints", reasons)

    def test_request_that_all_callers_send_is_not_refused(self) -> None:
        """Guards against blaming a common read for the crashes around it."""
        for round_number in range(6):
            name = f"app-{round_number}"
            crashing = ScriptedEndpoint(name, lambda _: [])
            crashing.script = self._make_crash(crashing)
            sound = ScriptedEndpoint(f"sound-{round_number}", lambda _: _READ)
            for endpoint in (crashing, sound):
                entry = endpoint.as_store_entry("app", "zone-a")
                self.store.put("servers", endpoint.id, entry)
                self.gateways[0].endpoints.append(endpoint)
            for gateway in self.gateways:
                table = gateway.components.context.state.endpoint_table
                wait_for(lambda name=name, table=table: name in table().by_id)  # type: ignore[misc]
                for number in range(4):
                    headers = {"Request-Id": f"{round_number}-{number}"}
                    response = gateway.call("GET", "/read/x", b"", headers)
                    self.assertNotEqual(response.status, 503, response.body)
        crashes = sum(
            len(gateway.events_named("crash noted"))
            for gateway in self.gateways
        )
        self.assertGreaterEqual(crashes, 3)

    def _make_crash(self, endpoint: ScriptedEndpoint) -> Script:
        def script(_: Received) -> Iterator[Step]:
            endpoint.close()
            yield Action.RESET

        return script


if __name__ == "__main__":
    unittest.main()
