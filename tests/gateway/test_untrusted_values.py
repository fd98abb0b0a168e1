"""Values of other programs, at each place where a gateway receives them.

They come from the store, from other VMs, from endpoints and from callers. None
of them may end the thread that reads it.
"""

from __future__ import annotations

import contextlib
import json
import threading
import unittest
from collections.abc import Callable, Iterator
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from burdockspan.gateway.accounts import quota_messages
from burdockspan.gateway.accounts.quota_messages import Loan, Want
from burdockspan.gateway.choice import stage_orders
from burdockspan.gateway.discovery import watch_messages
from burdockspan.gateway.endpoints.part_quarantine import Part
from burdockspan.gateway.fleet import exchange_messages, vm_heartbeats
from burdockspan.gateway.fleet.exchange import Received
from burdockspan.gateway.fleet.exchange_messages import Moment
from burdockspan.gateway.ports import StoredObject
from burdockspan.gateway.streams import origin_messages, origin_records
from burdockspan.gateway.streams.origin_messages import OriginStatement
from burdockspan.gateway.streams.stream_origins import Origin
from burdockspan.platform import documents
from burdockspan.platform.signals import decode_signals
from burdockspan.values.json_reader import read_json
from standins.scripted_endpoint import ScriptedEndpoint, respond
from tests.support.gateways import (
    Gateway,
    make_document,
    run_gateway,
    wait_for,
)
from tests.support.json_values import JSON_VALUES, list_variants

_SENDER = ("127.0.0.1", 9)
_PEER = "vm-9"
_CHANGES = (StoredObject("i-1", 7, {"service": "app"}),)
_SEGMENT = watch_messages.divide(1, 5, 7, _CHANGES)[0]
_STATEMENT = watch_messages.Statement(1, 7, 7, 0.1)
_QUOTA_MESSAGES = (
    Want(1, 2, {"ab": 3.0}, {"ab": 4}, {"ab": 5}),
    Loan(1, 2, 3, 4, {"ab": 3.0}, {"ab": 4}),
)
# A valid value of each topic that VMs tell each other of.
_VALUES_BY_TOPIC: dict[str, tuple[Any, ...]] = {
    "store": (
        {"at": {"servers": watch_messages.encode_statement(_STATEMENT)}},
        {"changes": watch_messages.encode_segment("servers", _SEGMENT)},
    ),
    "capacity": (
        {"r": 1, "i": 2, "n": 3, "s": [[1, 2.5, 3]], "w": [[1, 2.5, 3]]},
    ),
    "demand": ({"llm": [1, 2.5, 3, 4, 5.5]},),
    "quota": (
        {"vms": 3},
        *(quota_messages.encode(message) for message in _QUOTA_MESSAGES),
    ),
    "configuration": ([1, 100],),
    "waiting": ({"llm": [1, 100]},),
}
_HEARTBEAT = {
    "beat": 3,
    "demand": {"llm": [1, 2.5, 3, 4, 5.5]},
    "peer_address": "10.0.0.9:7001",
    "exchange_address": "10.0.0.9:7002",
    "relay_address": "10.0.0.9:7003",
    "zone": "zone-a",
    "versions": {"llm": ["v1"]},
    "routes": {"app.example/review/": ["llm"]},
    "version_ages_s": {"llm": {"v1": 0.5}},
    "route_ages_s": {"app.example/review/": {"llm": 0.5}},
}
_PART = Part("llm", "ab")
_ORIGINS = {"origins": [["llm", "v1"]], "streams": {"r1": 0}}
_LEASE = {"holder": _PEER, "fence": 3, "engines": ["i-1"]}
_CRASHES = {"crashes": [["i-1", "17"]]}
_PART_CRASHES = {"service": "llm", "part": "ab", "trials": 1, **_CRASHES}


def _read_variants(value: Any) -> Iterator[Any]:
    """Yields extreme variants of a value, as they are read from bytes."""
    for variant in list_variants(value):
        yield read_json(json.dumps(variant).encode()).ok()


class UntrustedValuesTest(unittest.TestCase):
    gateway: Gateway

    @classmethod
    def setUpClass(cls) -> None:
        cls.gateway = cls.enterClassContext(
            contextlib.contextmanager(run_gateway)(
                make_document(),
                exchange_address="127.0.0.1:0",
                endpoint_capacity="learned",
            )
        )
        cls.context = cls.gateway.components.context
        cls.context.exchange.set_peers({_PEER: "127.0.0.1:9"})
        cls.gateway.components.shared_watches.set_vms({_PEER: "zone-a"})

    def apply_all(self, value: Any, apply: Callable[[Any], object]) -> None:
        """Applies all extreme variants of a value, then the value itself."""
        for variant in (*_read_variants(value), value):
            apply(variant)

    def test_statements_of_vms_end_no_thread(self) -> None:
        """Guards against a VM of another release that stops the exchange."""
        receive_by_topic = self.context.exchange._receive_by_topic
        self.assertEqual(receive_by_topic.keys(), _VALUES_BY_TOPIC.keys())
        for topic, values in _VALUES_BY_TOPIC.items():
            for value in values:
                with self.subTest(topic):
                    self.apply_all(
                        value,
                        lambda variant, receive=receive_by_topic[topic]: (
                            receive(Received(_PEER, variant, 100.0))
                        ),
                    )

    def test_datagrams_end_no_thread(self) -> None:
        """Guards against one datagram that stops the sharing of origins."""
        deep = b"[" * 1300
        self.context.origins.receive(deep, _SENDER)
        self.context.exchange.receive(deep, _SENDER)
        statement = OriginStatement("r1", Origin("llm", "v1"))
        origin = json.loads(origin_messages.encode(statement))
        envelope = json.loads(
            exchange_messages.encode(_PEER, Moment(1, 2), Moment(3, 4), ())
        )
        for valid, receive in (
            (origin, self.context.origins.receive),
            (envelope, self.context.exchange.receive),
        ):
            for variant in list_variants(valid):
                receive(json.dumps(variant).encode()[:1400], _SENDER)

    def test_heartbeats_end_no_thread(self) -> None:
        """Guards against an object that stops the heartbeats of all VMs."""
        heartbeats = self.gateway.components.vm_heartbeats

        def apply(value: Any) -> None:
            heartbeats._count((StoredObject(_PEER, 1, value),), {})
            heartbeats._on_first_list([value])
            self.context.exchange.send(_PEER, "x", 1)
            self.context.origins.publish("r1", Origin("llm", "v1"))

        self.apply_all(_HEARTBEAT, apply)

    def test_records_in_the_store_end_no_thread(self) -> None:
        """Guards against an object that stops the watch of crash records."""
        watcher = self.context.crash_records.make_watcher()
        for name, value in (
            ("ab" * 16, _CRASHES),
            (_PART.object_name, _PART_CRASHES),
        ):
            self.apply_all(
                value,
                lambda variant, name=name: watcher.apply_change(
                    StoredObject(name, 1, variant)
                ),
            )
        self.context.crash_records.decide_pending()
        self.context.part_quarantine.maintain()

    def test_origins_and_leases_in_the_store_end_no_thread(self) -> None:
        """Guards against an object that stops the records of streams."""
        self.apply_all(
            _ORIGINS,
            lambda value: self.context.origin_records._take_over(
                StoredObject(_PEER, 1, value)
            ),
        )
        self.context.origin_records.write()
        orders = self.gateway.components.order_sender
        for variant in (*_read_variants(_LEASE), _LEASE):
            lease = stage_orders._decode(1, variant)
            orders._lease = lease
            self.assertIsNotNone(lease)
            orders._may_acquire(1000.0)

    def test_headers_of_endpoints_are_decoded_or_reported(self) -> None:
        """Guards against a header that fails the request it answers."""
        for name in ("Retry-After", "Server-Limit", "Server-Leaving"):
            for text in ("9" * 5000, "1e9", "٣", "-1", "nan", "", "\x00"):
                signals = decode_signals(503, {name: text}, True)
                self.assertIsNone(signals.limit_per_s)
                self.assertIsNone(signals.pause_s)

    @given(JSON_VALUES.map(json.dumps) | st.text(max_size=40))
    def test_answers_of_endpoints_are_read_or_failures(self, body: str) -> None:
        """Guards against an engine that fails the threads of the balance."""
        answer = respond(200, body.encode("utf-8", "surrogatepass"))
        with contextlib.closing(
            ScriptedEndpoint("i-1", lambda _: answer)
        ) as server:
            entry = server.as_store_entry("llm", "zone-a")
            endpoint = documents.decode_endpoint("i-1", entry)
            client = self.context.platform.endpoints
            client.fetch_load(endpoint)
            client.reserve(endpoint, 10, 1.0, 1.0, lambda: None)


class UnreadableObjectsTest(unittest.TestCase):
    def test_threads_live_on_beside_unreadable_objects(self) -> None:
        """Guards against a thread that ends while its process lives."""
        before = set(threading.enumerate())
        gateway: Gateway = self.enterContext(
            contextlib.contextmanager(run_gateway)(
                make_document(), exchange_address="127.0.0.1:0"
            )
        )
        started = {
            thread
            for thread in set(threading.enumerate()) - before
            if not thread.name.startswith("Thread-")
        }
        for kind in ("servers", "config", vm_heartbeats.KIND):
            for number, variant in enumerate(list_variants(_HEARTBEAT)):
                if number % 7 == 0:
                    gateway.store.put(kind, f"x-{number}", variant)
        gateway.store.put(origin_records.KIND, "vm-9", 10**400)
        gateway.store.put(vm_heartbeats.KIND, "vm-9", [10**400])
        gateway.add_endpoint(
            ScriptedEndpoint("i-1", lambda _: respond(200, b""))
        )
        wait_for(lambda: len(gateway.events_named("vms counted")) >= 1)
        ended = [thread.name for thread in started if not thread.is_alive()]
        self.assertEqual(ended, [])
