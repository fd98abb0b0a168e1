"""Origins of streams outlive the restart of all VMs during a release."""

from __future__ import annotations

import contextlib
import dataclasses
import threading
import time
import unittest
from collections.abc import Iterator
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.fleet import vm_heartbeats
from burdockspan.gateway.ports import (
    Consistency,
    Listing,
    StoredObject,
    StoreError,
)
from burdockspan.gateway.streams import origin_records
from burdockspan.gateway.streams.origin_records import (
    MAX_HOLD_S,
    OriginRecords,
)
from burdockspan.gateway.streams.stream_origins import Origin
from burdockspan.observe.registry import make_registry
from burdockspan.platform.store import make_store
from standins.object_store import ObjectStore
from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    Action,
    ScriptedEndpoint,
    chunk,
)
from tests.gateway.requests.test_generations import EngineScript
from tests.support.gateways import (
    HOST,
    Gateway,
    ReceivedResponse,
    make_document,
    run_gateway,
    wait_for,
)

_OLD, _NEW = Origin("llm", "v1"), Origin("llm", "v1.1")
# Upper bound of a wait on a loaded machine: the hold, and a thread's turn.
_HOLD_AND_TURN_S = MAX_HOLD_S + 0.1


def _event(number: int) -> bytes:
    return b"id: %d\ndata: t%d\n\n" % (number, number)


class TestRestartOfAllVms(unittest.TestCase):
    """All VMs restart, and callers resume streams that the old VMs began."""

    def setUp(self) -> None:
        """Starts two VMs."""
        self.store = ObjectStore()
        self.addCleanup(self.store.close)
        self.fleet = contextlib.ExitStack()
        self.addCleanup(self.close_fleet)
        self.gateways = self.start_fleet()

    def close_fleet(self) -> None:
        """Stops the VMs that run now."""
        self.fleet.close()

    def start_fleet(self) -> list[Gateway]:
        """Starts two VMs, which read what the store has at once."""
        gateways = [
            self.fleet.enter_context(self.run_vm(f"vm-{number}"))
            for number in range(2)
        ]
        for gateway in gateways:
            history = gateway.components.context.state.version_history
            wait_for(lambda history=history: history.is_complete)
        return gateways

    @contextlib.contextmanager
    def run_vm(self, vm: str) -> Iterator[Gateway]:
        """Runs a VM; what it left in the store stays there."""
        kept = self.store.read(vm_heartbeats.KIND).get(vm)
        run = run_gateway(make_document(), _KeepsHeartbeat(self.store), vm=vm)
        if kept is None:
            self.store.put(vm_heartbeats.KIND, vm, {"beat": 1})
        yield from run

    def restart_fleet(self) -> None:
        """Stops all VMs at once, then starts them."""
        self.close_fleet()
        self.fleet = contextlib.ExitStack()
        self.gateways = self.start_fleet()

    def add_engine(self, name: str, version: str) -> EngineScript:
        """Adds an engine that all VMs know."""
        script = EngineScript(
            [CHUNKED_HEAD, *(chunk(_event(n)) for n in (2, 3)), LAST_CHUNK]
        )
        endpoint = ScriptedEndpoint(name, script)
        self.addCleanup(endpoint.close)
        entry = endpoint.as_store_entry(
            "llm", "zone-a", stage="decode", version=version
        )
        self.store.put("servers", name, entry)
        self.wait_until_known(name, True)
        return script

    def remove_engine(self, name: str) -> None:
        """Removes the entry of an engine."""
        self.store.remove("servers", name)
        self.wait_until_known(name, False)

    def wait_until_known(self, name: str, is_known: bool) -> None:
        """Waits until all VMs know that an engine came or left."""
        for gateway in self.gateways:
            table = gateway.components.context.state.endpoint_table
            wait_for(lambda table=table: (name in table().by_id) is is_known)

    def begin(self, engine: EngineScript) -> None:
        """Begins a stream at the only engine, and leaves after an event."""
        rest = engine.stream
        engine.stream = [
            CHUNKED_HEAD,
            chunk(_event(1)),
            Action.WAIT_FOR_CALLER,
        ]
        with self.gateways[0].connect() as caller:
            caller.sendall(
                f"POST /review/x HTTP/1.1\r\nHost: {HOST}\r\n"
                "Request-Id: r-first\r\nDeadline-Ms: 5000\r\n"
                "Token-Count: 5200,1760\r\nLength-Hint: 600\r\n"
                "Content-Length: 6\r\n\r\nprompt".encode()
            )
            received = b""
            while _event(1) not in received:
                received += caller.recv(65_536)
        engine.stream = rest
        engine.runs.clear()

    def resume(self) -> ReceivedResponse:
        """Resumes the stream at the other VM."""
        headers = {
            "Token-Count": "5200,1760",
            "Length-Hint": "600",
            "Request-Id": "r-again",
            "Resumes": "r-first",
            "Last-Event-Id": "1",
        }
        return self.gateways[1].call("POST", "/review/x", b"prompt", headers)

    def test_stream_goes_on_at_its_version(self) -> None:
        """Guards against refusals of all streams that broke off with the VMs.

        Of 30 resumed streams none went on, although endpoints of their version
        served.
        """
        old = self.add_engine("i-1", "v1")
        self.begin(old)
        new = self.add_engine("i-2", "v1.1")
        wait_for(lambda: bool(self.store.read(origin_records.KIND)))
        self.restart_fleet()
        self.wait_until_known("i-1", True)
        response = self.resume()
        self.assertEqual(response.body, _event(2) + _event(3))
        self.assertEqual((len(old.runs), len(new.runs)), (1, 0))

    def test_stream_is_refused_after_its_version_has_left(self) -> None:
        """Guards against text that is joined from two versions.

        Each VM overwrote the history in the store before it read it, and took
        the version that serves for the only one.
        """
        old = self.add_engine("i-1", "v1")
        self.begin(old)
        new = self.add_engine("i-2", "v1.1")
        self.close_fleet()
        self.store.remove("servers", "i-1")
        self.restart_fleet()
        self.wait_until_known("i-2", True)
        self.assertEqual(self.resume().status, 503)
        self.assertEqual(new.runs, [])

    def test_version_of_a_moment_is_in_the_store(self) -> None:
        """Guards against a version that served between two heartbeats.

        The history was written with the next heartbeat, up to 37 s later at
        300 VMs.
        """
        for number in range(2, 200):
            self.store.put(vm_heartbeats.KIND, f"vm-{number}", {"beat": 1})
        self.restart_fleet()
        self.add_engine("i-1", "v1")
        self.add_engine("i-2", "v1.1")
        wait_for(
            lambda: any(
                value.get("versions") == {"llm": ["v1", "v1.1"]}
                for value in self.store.read(vm_heartbeats.KIND).values()
            )
        )

    def test_no_store_calls_while_one_version_serves(self) -> None:
        """Guards against a call to the store for each stream."""
        engine = self.add_engine("i-1", "v1")
        for gateway in self.gateways:
            history = gateway.components.context.state.version_history
            wait_for(lambda history=history: not history.has_unstored())
        for _ in range(5):
            self.begin(engine)
        self.assertEqual(self.resume().body, _event(2) + _event(3))
        calls = [
            path for _, path in self.store.calls if origin_records.KIND in path
        ]
        self.assertEqual(calls, [])


class _KeepsHeartbeat:
    """The store of a VM that has run before: it keeps its heartbeat."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def __getattr__(self, name: str) -> Any:
        return getattr(self._store, name)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object, unless it is a heartbeat."""
        if kind != vm_heartbeats.KIND:
            self._store.put(kind, name, spec)


class TestFirstHeartbeat(unittest.TestCase):
    def test_history_is_read_before_it_is_replaced(self) -> None:
        """Guards against VMs that overwrite the only record of a version."""
        platform = ObjectStore()
        self.addCleanup(platform.close)
        for number in range(4):
            platform.put(vm_heartbeats.KIND, f"vm-{number}", {"old": number})
        found: dict[str, list[Any]] = {}
        store = make_store(platform.address, time.monotonic)
        # The VM that comes last finds only what the others have written.
        for number in range(4):
            vm_heartbeats.VmHeartbeats(
                f"vm-{number}",
                store,
                time.monotonic,
                lambda number=number: {"new": number},
                lambda live, values: None,
                lambda event, **fields: None,
                on_first_list=lambda values, number=number: found.update(
                    {f"vm-{number}": list(values)}
                ),
            ).send_and_count()
        for number in range(4):
            self.assertIn({"old": number}, found[f"vm-{number}"])

    def test_nothing_is_replaced_while_the_list_fails(self) -> None:
        """Guards against a history that is lost while the store is away."""
        platform = ObjectStore()
        self.addCleanup(platform.close)
        platform.status = 503
        heartbeats = vm_heartbeats.VmHeartbeats(
            "vm-1",
            make_store(platform.address, time.monotonic),
            time.monotonic,
            dict,
            lambda live, values: None,
            lambda event, **fields: None,
        )
        heartbeats.send_and_count()
        self.assertEqual({method for method, _ in platform.calls}, {"GET"})
        self.assertLess(heartbeats.interval_s(), 1.0)


@dataclasses.dataclass
class _FakeStore:
    """A store whose calls fail with `error`, or wait for `gate`."""

    objects: dict[str, StoredObject] = dataclasses.field(default_factory=dict)
    error: StoreError | None = None
    gate: threading.Event = dataclasses.field(default_factory=threading.Event)
    writes: int = 0
    lists: int = 0

    def list_objects(
        self, kind: str, consistency: Consistency
    ) -> Result[Listing, StoreError]:
        """Lists the objects."""
        self.lists += 1
        if self.error is not None:
            return Err(self.error)
        return Ok(Listing(tuple(self.objects.values()), 1))

    def create(
        self, kind: str, name: str, value: Any
    ) -> Result[StoredObject, StoreError]:
        """Creates an object."""
        if name in self.objects:
            return Err(StoreError.CONFLICT)
        return self.replace(kind, name, value, None)

    def replace(
        self, kind: str, name: str, value: Any, revision: int | None
    ) -> Result[StoredObject, StoreError]:
        """Replaces an object."""
        self.writes += 1
        self.gate.wait(5.0)
        if self.error is not None:
            return Err(self.error)
        current = self.objects.get(name)
        if revision is not None and (
            current is None or current.revision != revision
        ):
            return Err(StoreError.CONFLICT)
        self.objects[name] = StoredObject(name, self.writes, value)
        return Ok(self.objects[name])

    def remove(self, kind: str, name: str) -> Result[None, StoreError]:
        """Removes an object."""
        self.objects.pop(name, None)
        return Ok(None)


class TestOriginRecords(unittest.TestCase):
    def setUp(self) -> None:
        self.store = _FakeStore()
        self.store.gate.set()
        self.has_several = True
        self.stopped = threading.Event()
        self.addCleanup(self.stopped.set)

    def make_records(
        self, vm: str = "vm-1", starts: bool = True
    ) -> OriginRecords:
        """Returns the records of a VM."""
        records = OriginRecords(
            vm,
            self.store,  # type: ignore[arg-type]
            time.monotonic,
            lambda service: self.has_several,
            lambda event, **fields: None,
            make_registry(),
        )
        if starts:
            threading.Thread(
                target=records.run, args=(self.stopped,), daemon=True
            ).start()
        return records

    def test_stream_is_in_the_store_before_its_first_event(self) -> None:
        """Guards against a kill just after the first event."""
        records = self.make_records()
        records.record("r1", _OLD, 5.0)
        self.assertEqual(self.make_records("vm-2").find("r1"), _OLD)

    def test_stream_is_not_held_up_by_an_unresponsive_store(self) -> None:
        """Guards against streams that wait for a store that is away."""
        self.store.gate.clear()
        records = self.make_records()
        for number in range(3):
            began_s = time.monotonic()
            records.record(f"r{number}", _OLD, 5.0)
            self.assertLess(time.monotonic() - began_s, _HOLD_AND_TURN_S)
        self.store.gate.set()

    def test_stream_is_not_held_up_while_writes_fail(self) -> None:
        """Guards against a delay of each stream during an outage."""
        self.store.error = StoreError.UNAVAILABLE
        records = self.make_records(starts=False)
        records.write()
        began_s = time.monotonic()
        records.record("r1", _OLD, 5.0)
        self.assertLess(time.monotonic() - began_s, MAX_HOLD_S)
        self.assertIsNone(records.find("r1"))

    def test_streams_from_before_a_release_are_recorded(self) -> None:
        """Guards against a kill just after a second version appeared."""
        self.has_several = False
        records = self.make_records()
        records.record("r1", _OLD, 5.0)
        self.assertEqual(self.store.writes, 0)
        self.has_several = True
        wait_for(lambda: self.store.writes > 0)
        wait_for(lambda: self.make_records("vm-2").find("r1") == _OLD)

    def test_many_streams_share_writes(self) -> None:
        """Guards against a write for each stream under load."""
        records = self.make_records()
        began_s = time.monotonic()
        threads = [
            threading.Thread(
                target=records.record, args=(f"r{number}", _OLD, 5.0)
            )
            for number in range(100)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        wait_for(lambda: records.find("r99") == _OLD)
        elapsed_s = time.monotonic() - began_s
        self.assertLessEqual(self.store.writes, 4 + 4 * elapsed_s)

    def test_many_resumed_streams_share_a_list(self) -> None:
        """Guards against a list for each caller that returns after a kill."""
        records = self.make_records(starts=False)
        for number in range(50):
            self.assertIsNone(records.find(f"r{number}"))
        self.assertEqual(self.store.lists, 1)

    def test_restarted_vm_keeps_the_streams_of_its_last_process(self) -> None:
        """Guards against a second kill, and against late writes."""
        self.make_records(starts=False).record("r0", _OLD, 5.0)
        first = self.make_records(starts=False)
        self.has_several = False
        first.record("r1", _OLD, 5.0)
        first.write()
        second = self.make_records(starts=False)
        second.record("r2", _NEW, 5.0)
        second.write()
        # A late write of the first process changes the revision.
        self.store.objects["vm-1"] = dataclasses.replace(
            self.store.objects["vm-1"], revision=99
        )
        second.record("r3", _NEW, 5.0)
        second.write()
        second.write()
        reader = self.make_records("vm-2", starts=False)
        found = [reader.find(f"r{number}") for number in (1, 2, 3)]
        self.assertEqual(found, [_OLD, _NEW, _NEW])

    def test_object_is_removed_after_the_release(self) -> None:
        """Guards against objects that stay for ever."""
        records = self.make_records()
        records.record("r1", _OLD, 5.0)
        wait_for(lambda: bool(self.store.objects))
        self.has_several = False
        wait_for(lambda: not self.store.objects)

    def test_object_is_bounded(self) -> None:
        """Guards against an object that the store refuses for its size."""
        self.has_several = False
        records = self.make_records(starts=False)
        for number in range(5000):
            records.record(f"{number:048}", _OLD, 5.0)
        records.record("x" * 10_000, _OLD, 5.0)
        records.write()
        self.assertLess(len(str(self.store.objects)), 150_000)
        self.assertEqual(records.find(f"{4999:048}"), _OLD)

    def test_disagreeing_and_malformed_objects_tell_no_version(self) -> None:
        """Guards against a version that another writer made up."""
        for name, value in {
            "vm-1": {"origins": [["llm", "v1"]], "streams": {"r1": 0}},
            "vm-2": {"origins": [["llm", "v2"]], "streams": {"r1": 0}},
            "vm-3": {"origins": [["llm"], 3], "streams": {"r2": 0, "r3": 1}},
            "vm-4": {"origins": [["llm", "v1"]], "streams": {"r4": True}},
            "vm-5": [],
            "vm-6": {"origins": 1, "streams": {"r5": -1}},
        }.items():
            self.store.objects[name] = StoredObject(name, 1, value)
        records = self.make_records(starts=False)
        for number in range(1, 6):
            self.assertIsNone(records.find(f"r{number}"))


if __name__ == "__main__":
    unittest.main()
