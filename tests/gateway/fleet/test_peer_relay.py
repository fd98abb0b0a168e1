"""Requests that one VM relays to another one."""

from __future__ import annotations

import concurrent.futures
import socket
import threading
import time
import unittest
from collections.abc import Iterable

from burdockspan.gateway.fleet.peers import Peers
from burdockspan.gateway.fleet.relay_messages import (
    encode_note,
    find_declined,
    make_declined,
    split_note,
)
from burdockspan.gateway.settings import RetryBudgetSettings
from burdockspan.gateway.values import RelayNote
from standins.scripted_endpoint import (
    Action,
    Received,
    ScriptedEndpoint,
    Step,
    respond,
)
from tests.gateway.fleet.test_cut_off_vms import CutOffCase
from tests.gateway.requests.test_generations import EngineScript, make_stream
from tests.support.gateways import HOST, ReceivedResponse, wait_for
from tests.support.partitions import Cut

_OK = respond(200, b"done", {"Response-Stamp": "s"})
_SIZES = {"Token-Count": "5200,1760", "Length-Hint": "600"}
_TRUNCATED = [
    b"HTTP/1.1 200 X\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n",
    Action.RESET,
]


class RelayCase(CutOffCase):
    def setUp(self) -> None:
        super().setUp()
        self.add_plain_endpoints()

    def cut_off(self) -> None:
        """Cuts the VM off, and waits until it has noticed."""
        self.partition.cut = Cut.REFUSE
        reachability = self.vm.components.context.reachability
        self.send(0, "/read/x")
        wait_for(lambda: reachability.is_out_of_reach("app"))

    def replace_peers(self, *peers: ScriptedEndpoint) -> None:
        """Makes endpoints the only VMs that the VM knows."""
        for peer in peers:
            self.addCleanup(peer.close)
        value_by_vm = {
            peer.id: {"relay_address": peer.address, "zone": "zone-a"}
            for peer in peers
        }
        known = self.vm.components.context.peers
        known._peer_by_vm.clear()
        known.set_values(value_by_vm)


class TestRelayedRequests(RelayCase):
    def test_endpoint_gets_the_request_as_the_caller_sent_it(self) -> None:
        """Guards against traces of the relay in a request."""
        self.cut_off()
        headers = {"X-Caller": "1", "Host": HOST}
        response = self.vm.call(
            "POST",
            "/pay/x?a=%20b",
            b"body",
            {"Request-Id": "r7", "Deadline-Ms": "2000", **headers},
        )
        self.assertEqual(response.status, 200)
        (received,) = [
            received
            for endpoint in self.other.endpoints
            for received in endpoint.received
            if received.header("Request-Id") == "r7"
        ]
        self.assertEqual(received.target, "/pay/x?a=%20b")
        self.assertEqual(received.body, b"body")
        self.assertEqual(received.header("X-Caller"), "1")
        self.assertEqual(received.header("Host"), HOST)
        self.assertLessEqual(int(received.header("Deadline-Ms") or 0), 2000)
        names = [name.lower() for name, _ in received.headers]
        self.assertFalse([n for n in names if n.startswith("burdockspan")])

    def test_request_is_logged_at_both_vms_under_its_id(self) -> None:
        """Guards against a request whose way cannot be found in the logs."""
        self.cut_off()
        self.send(7, "/pay/x")
        relays = [
            event
            for event in self.vm.events_named("relay")
            if event["request_id"] == "r7"
        ]
        self.assertEqual([event["peer"] for event in relays], ["vm-1"])

        def find_answers() -> list[bool]:
            return [
                event["relayed"]
                for event in self.other.events_named("answered")
                if event["request_id"] == "r7"
            ]

        wait_for(lambda: bool(find_answers()))
        self.assertEqual(find_answers(), [True])

    def test_request_counts_once_in_the_retry_budget(self) -> None:
        """Guards against a budget that relayed requests raise twice."""
        self.cut_off()
        for gateway in (self.vm, self.other):
            gateway.components.context.retry_budget.set_settings(
                RetryBudgetSettings(1.0, 0.0, 10.0)
            )
        for number in range(1, 7):
            self.assertEqual(self.send(number, "/read/x").status, 200)
        granted = 0
        for gateway in (self.vm, self.other):
            budget = gateway.components.context.retry_budget
            while budget.try_spend("app") is not None:
                granted += 1
        # Six requests, and the one that showed the partition.
        self.assertLessEqual(granted, 7)

    def test_service_is_called_here_again_after_the_partition(self) -> None:
        """Guards against relays that go on once the endpoints are in reach."""
        self.cut_off()
        self.assertEqual(self.send(1, "/pay/x").status, 200)
        self.partition.cut = None
        end_s = time.monotonic() + 2.0
        reachability = self.vm.components.context.reachability
        wait_for(lambda: not reachability.is_out_of_reach("app"))
        self.assertLess(time.monotonic(), end_s)
        self.assertEqual(self.send(2, "/pay/x").status, 200)
        ids = [event["request_id"] for event in self.vm.events_named("relay")]
        self.assertNotIn("r2", ids)

    def test_caller_that_leaves_ends_the_work_at_the_endpoint(self) -> None:
        """Guards against work for a caller who has left, across two VMs."""
        self.cut_off()
        for endpoint in self.other.endpoints:
            endpoint.script = lambda _: [Action.WAIT_FOR_CALLER]
        connection = self.vm.connect()
        connection.sendall(
            b"POST /pay/x HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\n"
            b"Request-Id: r7\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
        )

        def has_arrived() -> bool:
            return any(
                received.header("Request-Id") == "r7"
                for endpoint in self.other.endpoints
                for received in endpoint.received
            )

        wait_for(has_arrived)
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()
        wait_for(
            lambda: any(
                endpoint.caller_closed.is_set()
                for endpoint in self.other.endpoints
            )
        )

    def test_broken_stream_does_not_look_complete(self) -> None:
        """Guards against an end of the first hop that hides a lost rest."""
        self.cut_off()
        for endpoint in self.other.endpoints:
            endpoint.script = lambda _: _TRUNCATED
        response = self.send(7, "/draft/x")
        self.assertFalse(response.status == 200 and response.complete)

    def test_generation_begins_again_only_at_the_other_vm(self) -> None:
        """Guards against two runs of a stream that may run once."""
        engine = EngineScript(make_stream(1, 2))
        self.add_endpoint("i-d", engine, service="llm", stage="decode")
        self.partition.cut = Cut.REFUSE
        self.send(1, "/draft/x", **_SIZES)
        response = self.send(2, "/draft/x", **_SIZES)
        self.assertEqual(response.status, 200)
        self.assertTrue(response.complete)
        ids = [run.header("Request-Id") for run in engine.runs]
        self.assertEqual(ids.count("r2"), 1)


class TestWorkThatAPartitionInterrupts(CutOffCase):
    def call_until_cut(
        self, started: threading.Event, target: str, **headers: str
    ) -> ReceivedResponse:
        """Sends a request, and cuts the VM off once it has started."""
        with concurrent.futures.ThreadPoolExecutor(2) as executor:
            call = executor.submit(self.send, 7, target, **headers)
            self.assertTrue(started.wait(5.0))
            self.partition.cut = Cut.HANG
            while not call.done():
                self.send(8, target, **headers)
            return call.result()

    def test_stream_goes_on_at_another_vm(self) -> None:
        """Guards against streams that end with the path to their engine."""
        started = threading.Event()

        def script(received: Received) -> Iterable[Step]:
            if received.header("Request-Id") != "r7":
                return make_stream(1)
            if received.header("Last-Event-Id") == "2":
                return make_stream(3, 4)
            head = make_stream(1, 2)[:-1]
            started.set()
            return [*head, Action.WAIT_FOR_CALLER]

        engine = EngineScript([])
        answer_other = engine.__call__

        def answer(received: Received) -> Iterable[Step]:
            if received.header("Deadline-Ms") is None:
                return answer_other(received)
            if received.header("Stage") == "prefill":
                return answer_other(received)
            return script(received)

        self.add_endpoint("i-d", answer, service="llm", stage="decode")
        sizes = {**_SIZES, "Deadline-Ms": "5000"}
        response = self.call_until_cut(started, "/review/x", **sizes)
        self.assertEqual(response.status, 200)
        self.assertTrue(response.complete)
        events = b"".join(
            b"id: %d\ndata: t%d\n\n" % (number, number)
            for number in range(1, 5)
        )
        self.assertEqual(response.body, events)
        self.assertTrue(
            any(
                event["after_event"] == "2" and event["runs"] == 1
                for event in self.vm.events_named("relay")
            )
        )

    def test_stream_without_an_event_goes_on_at_its_version(self) -> None:
        """Guards against a begin at another version after a published one."""
        # The other VM started first, and takes statements of known VMs only.
        self.other.components.vm_heartbeats.send_and_count()
        started = threading.Event()
        engine = EngineScript([])

        def answer(received: Received) -> Iterable[Step]:
            is_run = received.header("Deadline-Ms") is not None
            if not is_run or received.header("Stage") == "prefill":
                return engine(received)
            if received.header("Request-Id") != "r7" or started.is_set():
                return make_stream(1, 2)
            started.set()
            return [*make_stream(1)[:1], Action.WAIT_FOR_CALLER]

        self.add_endpoint("i-d", answer, service="llm", stage="decode")
        sizes = {**_SIZES, "Deadline-Ms": "5000"}
        response = self.call_until_cut(started, "/review/x", **sizes)
        self.assertEqual(response.status, 200)
        self.assertTrue(response.complete)
        resumed = self.other.events_named("stream to resume")
        self.assertEqual(
            [(event["resumes"], event["known_from"]) for event in resumed],
            [("r7", "record")],
        )

    def test_stream_without_time_for_another_vm_waits_on(self) -> None:
        """Guards against a stream that is left for a VM that refuses it."""
        started = threading.Event()
        silence_ends = threading.Event()

        def answer(received: Received) -> Iterable[Step]:
            if received.header("Stage") or received.header("Deadline-Ms"):
                started.set()
                whole = make_stream(1, 2, 3)
                return [*whole[:2], silence_ends, *whole[2:]]
            return engine(received)

        engine = EngineScript([])
        self.add_endpoint("i-d", answer, service="llm", stage="decode")
        timer = threading.Timer(1.7, silence_ends.set)
        timer.start()
        # The silence counts after 1.2 s, when less than the objective is left.
        sizes = {**_SIZES, "Deadline-Ms": "3000"}
        response = self.call_until_cut(started, "/review/x", **sizes)
        self.assertEqual(response.status, 200)
        self.assertTrue(response.complete)

    def test_read_goes_on_at_another_vm(self) -> None:
        """Guards against reads that wait for an endpoint behind the cut."""
        started = threading.Event()

        def script(received: Received) -> Iterable[Step]:
            if received.header("Request-Id") != "r7" or started.is_set():
                return _OK
            started.set()
            return [Action.WAIT_FOR_CALLER]

        for number in range(3):
            self.add_endpoint(f"i-{number}", script)
        response = self.call_until_cut(started, "/read/x")
        self.assertEqual(response.status, 200)

    def test_payment_is_not_sent_to_another_vm(self) -> None:
        """Guards against a second run of a request that may have run."""
        started = threading.Event()
        runs = []

        def script(received: Received) -> Iterable[Step]:
            if received.header("Request-Id") != "r7":
                return _OK
            runs.append(received)
            started.set()
            return [Action.WAIT_FOR_CALLER]

        for number in range(3):
            self.add_endpoint(f"i-{number}", script)
        deadline = {"Deadline-Ms": "1500"}
        response = self.call_until_cut(started, "/pay/x", **deadline)
        self.assertEqual(response.status, 504)
        self.assertEqual(len(runs), 1)


class TestVmsThatDecline(RelayCase):
    def test_request_is_not_relayed_twice(self) -> None:
        """Guards against requests that circle between VMs."""
        self.cut_off()
        other = self.other.components.context.reachability
        for endpoint in self.other.components.context.state.list_usable("app"):
            other.record_failure(endpoint, time.monotonic() + 1.0)
        self.assertEqual(self.send(7, "/pay/x").status, 503)
        self.assertEqual(self.other.events_named("relay"), [])
        (declined,) = self.other.events_named("relayed request declined")
        self.assertEqual(declined["request_id"], "r7")

    def test_vm_with_an_older_configuration_declines(self) -> None:
        """Guards against requests that are handled as an older version says."""
        note = encode_note(RelayNote(configuration_version=99))
        address = self.other.components.relay_server
        assert address is not None
        host, _, port = address.address.rpartition(":")
        with socket.create_connection((host, int(port)), 5.0) as connection:
            lines = [f"{name}: {value}" for name, value in note]
            connection.sendall(
                (
                    f"GET /read/x HTTP/1.1\r\nHost: {HOST}\r\n"
                    "Request-Id: r1\r\n" + "\r\n".join(lines) + "\r\n\r\n"
                ).encode()
            )
            head = connection.recv(4096)
        self.assertIn(b"Burdockspan-Declined", head)
        self.assertIn(b" 503 ", head.split(b"\r\n")[0])

    def test_stopping_vm_declines(self) -> None:
        """Guards against requests that a planned stop cuts off."""
        self.cut_off()
        self.other.components.context.graceful_stop.begin()
        self.assertEqual(self.send(7, "/pay/x").status, 503)
        (declined,) = self.other.events_named("relayed request declined")
        self.assertIn("stopping", declined["reason"])

    def test_another_vm_takes_what_the_first_ones_decline(self) -> None:
        """Guards against a refusal while one VM of several could serve."""
        self.cut_off()

        def decline(_: Received) -> list[bytes]:
            return list(respond(503, b"", {"Burdockspan-Declined": "full"}))

        peers = [ScriptedEndpoint(f"vm-{n}", decline) for n in range(3, 6)]
        peers.append(ScriptedEndpoint("vm-6", lambda _: _OK))
        self.replace_peers(*peers)
        self.assertEqual(self.send(7, "/pay/x").status, 200)

    def test_payment_is_not_run_if_no_vm_reaches_the_service(self) -> None:
        """Guards against an unknown outcome instead of a refusal.

        The connections open and are reset, so that a payment that is sent may
        have run.
        """
        self.partition.cut = Cut.RESET
        reachability = self.vm.components.context.reachability
        self.send(0, "/read/x")
        wait_for(lambda: reachability.is_disconnected("app"))

        def decline(_: Received) -> list[Step]:
            return list(respond(503, b"", {"Burdockspan-Declined": "lost"}))

        self.replace_peers(ScriptedEndpoint("vm-3", decline))
        response = self.send(7, "/pay/x")
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)

    def test_generation_waits_on_if_no_vm_takes_it(self) -> None:
        """Guards against a refusal because all engines are silent a while."""
        engine = EngineScript(make_stream(1, 2))
        self.add_endpoint("i-d", engine, service="llm", stage="decode")

        def decline(_: Received) -> list[Step]:
            return list(respond(503, b"", {"Burdockspan-Declined": "lost"}))

        self.replace_peers(ScriptedEndpoint("vm-3", decline))
        self.partition.cut = Cut.SILENT
        timer = threading.Timer(1.6, setattr, (self.partition, "cut", None))
        timer.start()
        sizes = {**_SIZES, "Deadline-Ms": "5000"}
        response = self.send(7, "/draft/x", **sizes)
        self.assertEqual(response.status, 200)
        # The belief arose while the generation waited.
        lost = self.vm.events_named("service out of reach")
        self.assertEqual([event["service"] for event in lost], ["llm"])


class TestVmsThatFail(RelayCase):
    def test_payment_runs_once_if_the_other_vm_is_lost(self) -> None:
        """Guards against a second run, and against a refusal as not run."""
        self.cut_off()
        peers = [
            ScriptedEndpoint(f"vm-{number}", lambda _: [Action.RESET])
            for number in (3, 4)
        ]
        self.replace_peers(*peers)
        self.assertEqual(self.send(7, "/pay/x").status, 502)
        self.assertEqual(sum(len(peer.received) for peer in peers), 1)

    def test_read_of_a_lost_vm_goes_to_a_further_one(self) -> None:
        """Guards against reads that end with the VM that relays them."""
        self.cut_off()
        lost = ScriptedEndpoint("vm-3", lambda _: [Action.RESET])
        self.replace_peers(lost, ScriptedEndpoint("vm-4", lambda _: _OK))
        for number in range(7, 10):
            self.assertEqual(self.send(number, "/read/x").status, 200)

    def test_vm_that_passes_on_broken_streams_is_asked_again(self) -> None:
        """Guards against refusals for seconds after one engine has crashed."""
        self.cut_off()
        crashed = threading.Event()

        def answer(received: Received) -> Iterable[Step]:
            if received.target.startswith("/draft/") and not crashed.is_set():
                return [*make_stream(1, 2)[:-1], Action.RESET]
            return _OK

        self.lose_engines()
        self.replace_peers(ScriptedEndpoint("vm-3", answer))
        for number in range(7, 15):
            response = self.send(number, "/draft/x", **_SIZES)
            self.assertFalse(response.status == 200 and response.complete)
        crashed.set()
        for number in range(20, 23):
            self.assertEqual(self.send(number, "/pay/x").status, 200)

    def test_stream_of_a_lost_vm_goes_on_at_a_further_one(self) -> None:
        """Guards against streams that end with the VM that relays them."""

        def answer(received: Received) -> Iterable[Step]:
            if received.header("Last-Event-Id") == "2":
                self.assertEqual(received.header("Resumes"), "r7")
                self.assertEqual(received.header("Burdockspan-Runs"), "1")
                return make_stream(3, 4)
            return [*make_stream(1, 2)[:-1], Action.RESET]

        self.partition.cut = Cut.REFUSE
        engine = EngineScript([])
        self.add_endpoint("i-d", engine, service="llm", stage="decode")
        reachability = self.vm.components.context.reachability
        for endpoint in self.vm.components.context.state.list_usable("llm"):
            reachability.record_failure(endpoint, time.monotonic())
        self.replace_peers(
            *(ScriptedEndpoint(f"vm-{n}", answer) for n in (3, 4))
        )
        response = self.send(7, "/review/x", **_SIZES)
        self.assertTrue(response.complete)
        events = [b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 5)]
        self.assertEqual(response.body, b"".join(events))

    def test_stream_that_may_have_begun_is_bound_at_a_further_vm(self) -> None:
        """Guards against one request that begins at two versions.

        A link that breaks before the head arrives, and one that breaks before
        the first event, hide that the VM has published the version.
        """
        for begun in ([], make_stream(1)[:1]):
            with self.subTest(begun=begun):
                resumes: list[str | None] = []

                def answer(
                    received: Received,
                    begun: list[Step] = begun,
                    resumes: list[str | None] = resumes,
                ) -> Iterable[Step]:
                    resumes.append(received.header("Resumes"))
                    if len(resumes) == 1:
                        return [*begun, Action.RESET]
                    return make_stream(1, 2)

                self.lose_engines()
                self.replace_peers(
                    *(ScriptedEndpoint(f"vm-{n}", answer) for n in (3, 4))
                )
                response = self.send(7, "/review/x", **_SIZES)
                self.assertTrue(response.complete)
                self.assertEqual(resumes, [None, "r7"])

    def test_stream_that_may_have_begun_begins_here_at_its_version(
        self,
    ) -> None:
        """Guards against a begin here after one at another VM, unheard of."""
        engines = self.lose_engines()
        lost = ScriptedEndpoint("vm-3", lambda _: [Action.RESET])
        self.replace_peers(lost)
        self.partition.cut = None
        response = self.send(7, "/review/x", **_SIZES)
        self.assertEqual(response.status, 502)
        self.assertEqual(len(lost.received), 1)
        self.assertEqual([engine.runs for engine in engines], [[], []])

    def lose_engines(self) -> list[EngineScript]:
        """Adds engines of two versions, which the VM believes out of reach."""
        self.partition.cut = Cut.REFUSE
        engines = [EngineScript(make_stream(1, 2)) for _ in range(2)]
        state = self.vm.components.context.state
        for number, engine in enumerate(engines):
            if f"i-d{number}" not in state.endpoint_table().by_id:
                self.add_endpoint(
                    f"i-d{number}",
                    engine,
                    service="llm",
                    stage="decode",
                    version=f"v{number}",
                )
        reachability = self.vm.components.context.reachability
        for endpoint in state.list_usable("llm"):
            reachability.record_failure(endpoint, time.monotonic())
        return engines

    def test_vm_that_takes_no_connection_costs_no_answer(self) -> None:
        """Guards against a refusal after the end of one VM."""
        self.cut_off()
        gone = ScriptedEndpoint("vm-3", lambda _: _OK)
        gone.close()
        self.replace_peers(gone, ScriptedEndpoint("vm-4", lambda _: _OK))
        for number in range(7, 12):
            self.assertEqual(self.send(number, "/pay/x").status, 200)

    def test_silent_vm_ends_at_the_deadline(self) -> None:
        """Guards against a request that is held past its time."""
        self.cut_off()
        silent = ScriptedEndpoint("vm-3", lambda _: [Action.WAIT_FOR_CALLER])
        self.replace_peers(silent)
        started_s = time.monotonic()
        response = self.send(7, "/pay/x", **{"Deadline-Ms": "600"})
        self.assertEqual(response.status, 504)
        self.assertLess(time.monotonic() - started_s, 0.6 + 0.5)

    def test_success_without_a_stamp_is_no_answer(self) -> None:
        """Guards against bytes that no endpoint has sent."""
        self.cut_off()
        self.replace_peers(ScriptedEndpoint("vm-3", lambda _: respond(200)))
        self.assertEqual(self.send(7, "/pay/x").status, 502)


class TestPeers(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 10.0
        self.peers = Peers("vm-1", "a", lambda: self.now_s, lambda: 0.5)

    def set_vms(self, count: int) -> None:
        """Sets other VMs, each in a zone of its own."""
        value_by_vm = {
            f"vm-{number}": {"relay_address": "10.0.0.1:1", "zone": f"{number}"}
            for number in range(1, count + 1)
        }
        self.peers.set_values(value_by_vm)

    def test_this_vm_is_not_chosen(self) -> None:
        """Guards against a VM that relays to itself."""
        self.set_vms(1)
        self.assertIsNone(self.peers.choose("app", ()))

    def test_requests_spread_over_the_vms(self) -> None:
        """Guards against one VM that gets all requests of another one."""
        self.set_vms(5)
        chosen = []
        for _ in range(8):
            peer = self.peers.choose("app", ())
            assert peer is not None
            self.peers.begin_work(peer)
            chosen.append(peer.vm)
        counts = {chosen.count(vm) for vm in set(chosen)}
        self.assertEqual(counts, {2})
        self.assertEqual(len(set(chosen)), 4)

    def test_vm_that_declined_is_asked_again_later(self) -> None:
        """Guards against a VM that is left out for good."""
        self.set_vms(2)
        peer = self.peers.choose("app", ())
        assert peer is not None
        self.peers.record_declined(peer, "app")
        self.assertIsNone(self.peers.choose("app", ()))
        self.assertIsNotNone(self.peers.choose("llm", ()))
        self.now_s += 2.0
        self.assertIsNotNone(self.peers.choose("app", ()))

    def test_proven_vm_is_preferred_after_a_decline(self) -> None:
        """Guards against a search through all VMs for each request."""
        self.set_vms(30)
        proven = self.peers.choose("app", ())
        assert proven is not None
        self.peers.record_served(proven)
        self.peers.begin_work(proven)
        chosen = self.peers.choose("app", ("vm-x",))
        self.assertEqual(chosen, proven)

    def test_vm_without_a_recent_heartbeat_is_kept_for_a_while(self) -> None:
        """Guards against refusals until a restarted VM has written again."""
        self.set_vms(2)
        self.now_s += 8.0
        self.peers.set_values({})
        self.assertIsNotNone(self.peers.choose("app", ()))
        self.now_s += 60.0
        self.peers.set_values({})
        self.assertIsNone(self.peers.choose("app", ()))

    def test_malformed_heartbeats_name_no_vm(self) -> None:
        """Guards against a heartbeat that ends the thread that reads it."""
        self.peers.set_values(
            {
                "vm-2": {"relay_address": None},
                "vm-3": {"relay_address": 7},
                "vm-4": {},
                "vm-5": {"relay_address": "nowhere"},
                "vm-6": {"relay_address": "10.0.0.1:port"},
                "vm-7": {"relay_address": "10.0.0.1:70000"},
                "vm-8": {"relay_address": ":80"},
            }
        )
        self.assertIsNone(self.peers.choose("app", ()))

    def test_concurrent_ends_count_once(self) -> None:
        """Guards against a load that falls below what is in flight."""
        self.set_vms(3)
        peer = self.peers.choose("app", ())
        assert peer is not None
        self.peers.begin_work(peer)
        end = self.peers.begin_work(peer)
        threads = [threading.Thread(target=end) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        chosen = self.peers.choose("app", ())
        assert chosen is not None
        self.assertNotEqual(chosen.vm, peer.vm)


class TestNotes(unittest.TestCase):
    def test_note_survives_its_headers(self) -> None:
        """Guards against a note that the other VM reads differently."""
        note = RelayNote(configuration_version=12, runs=1)
        headers = (("Host", "h"), *encode_note(note), ("X-A", "1"))
        self.assertEqual(
            split_note(headers), (note, (("Host", "h"), ("X-A", "1")))
        )

    def test_malformed_note_is_ignored(self) -> None:
        """Guards against a header that ends the request."""
        headers = (("Burdockspan-Runs", "x" * 99), ("Burdockspan-New", "1"))
        self.assertEqual(split_note(headers), (RelayNote(), ()))

    def test_declined_answer_says_not_run(self) -> None:
        """Guards against a declined request that reaches a caller as run."""
        response = make_declined("full", 1.0)
        self.assertEqual(response.status, 503)
        self.assertEqual(find_declined(response.headers), "full")
