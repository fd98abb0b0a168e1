"""VMs that are cut off from all endpoints, while other VMs reach them."""

from __future__ import annotations

import concurrent.futures
import contextlib
import time
import unittest

from burdockspan.gateway.choice import stage_orders
from burdockspan.gateway.choice.stage_balance import (
    balance_stages,
    read_measurements,
)
from burdockspan.gateway.choice.stages import SettledEngines
from burdockspan.gateway.fleet import vm_heartbeats
from standins.object_store import ObjectStore
from standins.scripted_endpoint import Script, ScriptedEndpoint, respond
from tests.gateway.requests.test_generations import EngineScript, make_stream
from tests.support.gateways import (
    Gateway,
    ReceivedResponse,
    make_document,
    make_route,
    run_gateway,
    wait_for,
)
from tests.support.partitions import Cut, Partition

_OK = respond(200, b"done", {"Response-Stamp": "s"})
_SIZES = {"Token-Count": "5200,1760", "Length-Hint": "600"}
# Time after the begin of a partition from which callers are served as by the
# other VMs.
_STABLE_S = 3.0
# The objective leaves no time for a connection that hangs.
_OBJECTIVE_MS = 200
_CALLS = 6


def _make_document() -> dict[str, object]:
    changes = {"target_latency_ms": _OBJECTIVE_MS, "timeout_ms": 3000}
    document = make_document()
    document["routes"] = [
        make_route("read", **changes),
        make_route("pay", kind="unsafe", max_attempts=1, **changes),
        make_route("draft", kind="streaming", service="llm", max_attempts=1),
        make_route("review", kind="streaming", service="llm", resumable=True),
    ]
    return document


class CutOffCase(unittest.TestCase):
    """Two VMs of one fleet; a partition cuts the second one off."""

    def setUp(self) -> None:
        store = ObjectStore()
        self.addCleanup(store.close)
        self.partition = Partition()
        self.other = self._run(store, "vm-1")
        # The first list of the second VM tells it the first one's addresses.
        wait_for(
            lambda: "relay_address" in store.read(vm_heartbeats.KIND)["vm-1"]
        )
        self.vm = self._run(
            store, "vm-2", make_platform=self.partition.make_platform
        )

    def _run(self, store: ObjectStore, vm: str, **options: object) -> Gateway:
        context = contextlib.contextmanager(run_gateway)(
            _make_document(), shared_store=store, vm=vm, **options
        )
        return self.enterContext(context)

    def add_endpoint(
        self, name: str, script: Script, **entry: str
    ) -> ScriptedEndpoint:
        """Adds an endpoint that both VMs know."""
        endpoint = self.other.add_endpoint(
            ScriptedEndpoint(name, script), **entry
        )
        state = self.vm.components.context.state
        wait_for(lambda: endpoint.id in state.endpoint_table().by_id)
        return endpoint

    def add_plain_endpoints(self) -> list[ScriptedEndpoint]:
        """Adds three endpoints of the plain service."""
        return [
            self.add_endpoint(f"i-{number}", lambda _: _OK)
            for number in range(3)
        ]

    def send(
        self, number: int, target: str, **headers: str
    ) -> ReceivedResponse:
        """Sends one request to the VM that is cut off."""
        method = "GET" if target.startswith("/read/") else "POST"
        body = b"" if method == "GET" else b"%d" % number
        identity = {"Request-Id": f"r{number}", "Deadline-Ms": "3000"}
        return self.vm.call(method, target, body, {**identity, **headers})

    def send_after_cut(
        self, cut: Cut, target: str, **headers: str
    ) -> list[int]:
        """Cuts the VM off; returns the statuses of the calls after a while."""
        self.partition.cut = cut
        end_s = time.monotonic() + _STABLE_S
        earlier = concurrent.futures.ThreadPoolExecutor(_CALLS)
        self.addCleanup(earlier.shutdown)
        number = 0
        while time.monotonic() < end_s:
            earlier.submit(self.send, number, target, **headers)
            number += 1
            time.sleep(0.1)
        with concurrent.futures.ThreadPoolExecutor(_CALLS) as executor:
            responses = executor.map(
                lambda call: self.send(call, target, **headers),
                range(1000, 1000 + _CALLS),
            )
            return [response.status for response in responses]


class TestServiceWhileCutOff(CutOffCase):
    """Guards against refusals of requests that another VM could serve."""

    def test_reads_are_served_while_connections_hang(self) -> None:
        self.add_plain_endpoints()
        statuses = self.send_after_cut(Cut.HANG, "/read/x")
        self.assertEqual(statuses, [200] * _CALLS)

    def test_payments_are_served_once_while_connections_hang(self) -> None:
        endpoints = self.add_plain_endpoints()
        statuses = self.send_after_cut(Cut.HANG, "/pay/x")
        self.assertEqual(statuses, [200] * _CALLS)
        runs = [
            received.header("Request-Id")
            for endpoint in endpoints
            for received in endpoint.received
            if received.method == "POST"
        ]
        self.assertEqual(len(runs), len(set(runs)))

    def test_payments_are_served_while_connections_are_refused(self) -> None:
        self.add_plain_endpoints()
        statuses = self.send_after_cut(Cut.REFUSE, "/pay/x")
        self.assertEqual(statuses, [200] * _CALLS)

    def test_payments_are_served_while_connections_are_reset(self) -> None:
        self.add_plain_endpoints()
        statuses = self.send_after_cut(Cut.RESET, "/pay/x")
        self.assertEqual(statuses, [200] * _CALLS)

    def test_payments_are_served_while_connections_are_silent(self) -> None:
        self.add_plain_endpoints()
        statuses = self.send_after_cut(Cut.SILENT, "/pay/x")
        self.assertEqual(statuses, [200] * _CALLS)

    def test_generations_are_served_while_connections_hang(self) -> None:
        for name, stage in (("i-p", "prefill"), ("i-d", "decode")):
            engine = EngineScript(make_stream(1, 2))
            self.add_endpoint(name, engine, service="llm", stage=stage)
        statuses = self.send_after_cut(Cut.HANG, "/draft/x", **_SIZES)
        self.assertEqual(statuses, [200] * _CALLS)


class TestBeliefsOfOthers(CutOffCase):
    def test_resets_at_a_cut_off_vm_quarantine_no_request(self) -> None:
        """Guards against refusals of a whole route at all VMs.

        A VM that is cut off sees lost connections and endpoints that accept no
        new ones, like those of crashed endpoints.
        """
        self.add_plain_endpoints()
        context = self.vm.components.context
        self.partition.cut = Cut.REFUSE
        for endpoint in context.state.list_usable("app"):
            context.crash_records.check_endpoint("request-1", endpoint)
        self.assertEqual(self.vm.events_named("crash noted"), [])

    def test_crash_is_noted_once_the_store_drops_the_endpoint(self) -> None:
        """Guards against a crash that a VM without a path never reports."""
        endpoints = self.add_plain_endpoints()
        context = self.vm.components.context
        (suspect, *_) = context.state.list_usable("app")
        self.partition.cut = Cut.REFUSE
        context.crash_records.check_endpoint("request-1", suspect)
        context.crash_records.decide_pending()
        self.assertEqual(self.vm.events_named("crash noted"), [])
        self.other.store.remove("servers", suspect.id)
        wait_for(lambda: bool(self.vm.events_named("crash noted")))
        self.assertEqual(len(endpoints), 3)

    def test_crash_of_one_endpoint_is_noted_at_once(self) -> None:
        """Guards against a check that waits although the path is sound."""
        endpoints = self.add_plain_endpoints()
        context = self.vm.components.context
        by_id = {item.id: item for item in context.state.list_usable("app")}
        endpoints[0].close()
        suspect = by_id[endpoints[0].id]
        context.crash_records.check_endpoint("request-1", suspect)
        self.assertEqual(len(self.vm.events_named("crash noted")), 1)

    def test_vm_without_a_path_takes_no_lease_for_orders(self) -> None:
        """Guards against stages that nobody changes during a partition."""
        document = _make_document()
        engine = {"slots": 8, "kv_tokens": 50_000, "stage_switch_s": 1.0}
        document["version"] = 2
        document["services"] = [
            {"name": "llm", "health_path": "/health", "engine": engine}
        ]
        self.vm.configure(document)
        for number in range(6):
            self.add_endpoint(
                f"i-{number}",
                EngineScript([]),
                service="llm",
                stage="prefill",
            )
        self.partition.cut = Cut.REFUSE
        components = self.vm.components
        reachability = components.context.reachability
        for endpoint in components.context.state.list_usable("llm"):
            reachability.record_failure(endpoint, time.monotonic())
        measured = {"llm": [10_000, 20.0, 100, 0, 50_000.0]}
        settled = SettledEngines()
        for _ in range(2):
            balance_stages(
                components.context,
                components.order_sender,
                settled,
                read_measurements({"vm-1": {"demand": measured}}),
                True,
            )
        self.assertEqual(len(self.vm.events_named("stages not balanced")), 1)
        self.assertEqual(self.vm.store.read(stage_orders.KIND), {})
