from __future__ import annotations

import http.client
import json
import threading
import unittest

from standins import tokens
from tests.support.processes import StandIn, running, wait_until


def _prefilled(
    prefill: StandIn, decode: StandIn, body: dict[str, object]
) -> str:
    """Reserves, prefills and imports one attempt; returns its identity."""
    attempt = f"vm-1:1:{body['seed']}"
    call = {"attempt": attempt, "path": "/v1/completions", "body": body}
    reserved = decode.call(
        "POST", "/reservations", {"attempt": attempt, "pieces": 2}
    )
    cache = prefill.call("POST", "/prefill", call).json()["cache"]
    imported = decode.call(
        "POST",
        "/imports",
        {"attempt": attempt, "source": prefill.address, "cache": cache},
    )
    assert (reserved.status, imported.status) == (201, 200)
    return attempt


def _text_of(stream: bytes) -> str:
    lines = stream.decode().splitlines()
    data = [line.removeprefix("data: ") for line in lines if "data: {" in line]
    return "".join(json.loads(line)["choices"][0]["text"] for line in data)


class EngineTest(unittest.TestCase):
    def setUp(self) -> None:
        engine = ("engine", "--name", "e", "--pool")
        self.prefill = self.enterContext(running(*engine, "prefill"))
        self.decode = self.enterContext(running(*engine, "decode"))

    def test_engine_answers_each_prompt_with_its_own_tokens(self) -> None:
        """Guards against answers that a test cannot tell apart."""
        for seed in (1, 2):
            body = {"prompt": f"p{seed}", "stream": True, "seed": seed}
            attempt = _prefilled(self.prefill, self.decode, body)
            reply = self.decode.call(
                "POST",
                "/v1/completions",
                body,
                {"Burdockspan-Attempt": attempt},
            )
            self.assertEqual(_text_of(reply.body), tokens.expected_text(body))
            self.assertTrue(reply.body.endswith(b"data: [DONE]\n\n"))
            seen = self.decode.call("GET", "/seen").json()["requests"]
            self.assertEqual(seen[-1]["body"]["seed"], seed)

    def test_engine_keeps_memory_and_resumes_after_a_lost_stream(self) -> None:
        """Guards against a stand-in that hides leaks of engine memory."""
        body = {"prompt": "p", "stream": True, "seed": 3, "max_tokens": 8}
        attempt = _prefilled(self.prefill, self.decode, body)
        self.decode.fault(truncate=1)
        with self.assertRaises(http.client.IncompleteRead):
            self.decode.call(
                "POST",
                "/v1/completions",
                body,
                {"Burdockspan-Attempt": attempt},
            )
        held = self.decode.call("GET", "/attempts").json()["attempts"]
        self.assertEqual(held, [{"attempt": attempt, "pieces": 2}])
        path = f"/attempts/{attempt}"
        resumed = self.decode.call("GET", f"{path}/stream?after=1")
        expected = "".join(tokens.token("p", i) for i in range(2, 8))
        self.assertEqual(_text_of(resumed.body), expected)
        self.assertEqual(self.decode.call("DELETE", path).status, 200)
        held = self.decode.call("GET", "/attempts").json()["attempts"]
        self.assertEqual(held, [])

    def test_engine_refuses_a_reservation_beyond_its_memory(self) -> None:
        """Guards against a stand-in that overcommits decode memory."""
        call = {"attempt": "vm-1:1:1", "pieces": 21}
        reply = self.decode.call("POST", "/reservations", call)
        self.assertEqual(reply.status, 409)
        self.assertEqual(reply.json()["outcome"], "not_run")

    def test_engine_crashes_on_a_marked_body(self) -> None:
        """Guards against a crash fault that spares the process."""
        self.prefill.fault(crash_marker="poison")
        body = {"prompt": "poison", "seed": 1}
        with self.assertRaises((http.client.HTTPException, OSError)):
            self.prefill.call(
                "POST", "/prefill", {"attempt": "a", "body": body}
            )
        self.assertEqual(self.prefill.process.wait(10), 3)


class PlatformTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = self.enterContext(running("platform"))

    def test_platform_loses_the_answer_of_an_applied_write(self) -> None:
        """Guards against a fault that drops the write with its answer."""
        self.platform.fault(lose_answers=1)
        with self.assertRaises((http.client.HTTPException, OSError)):
            self.platform.call("PUT", "/objects/claims/x", {"a": 1})
        found = self.platform.call("GET", "/objects/claims/x").json()
        self.assertEqual(found["value"], {"a": 1})

    def test_platform_counts_a_waiting_watch_as_one_call(self) -> None:
        """Guards against counts that hide the cost of watches."""
        replies = []

        def watch() -> None:
            path = "/watch?kinds=k&after=0&timeout_s=20"
            headers = {"Burdockspan-VM": "vm-1"}
            reply = self.platform.call("GET", path, None, headers, 30.0)
            replies.append(reply.json())

        thread = threading.Thread(target=watch)
        thread.start()
        wait_until(
            lambda: self._calls()["by_caller"] == {"vm-1": {"watch": 1}},
            "the watch is counted",
        )
        self.platform.call("PUT", "/objects/k/n", 7)
        thread.join()
        self.assertEqual([e["value"] for e in replies[0]["events"]], [7])
        self.assertEqual(self._calls()["by_kind"]["watch"], 1)

    def test_platform_holds_conditional_writes_to_their_version(self) -> None:
        """Guards against a stand-in that applies a stale update."""
        path = "/objects/k/n"
        create = {"If-None-Match": "*"}
        first = self.platform.call("PUT", path, 1, create).json()["version"]
        second = self.platform.call("PUT", path, 2, create)
        self.assertEqual(second.status, 412)
        match = {"If-Match": str(first)}
        self.assertEqual(self.platform.call("PUT", path, 2, match).status, 200)
        self.assertEqual(self.platform.call("PUT", path, 3, match).status, 412)

    def _calls(self) -> dict[str, dict[str, object]]:
        calls: dict[str, dict[str, object]] = self.platform.call(
            "GET", "/calls"
        ).json()
        return calls


class ServiceTest(unittest.TestCase):
    def test_service_counts_runs_and_refuses_an_old_fencing(self) -> None:
        """Guards against a double run that no count shows."""
        service = self.enterContext(
            running("service", "--name", "s", "--checks-fencing")
        )
        statuses = [
            service.call(
                "POST",
                "/book",
                {"n": fencing},
                {"Idempotency-Key": "k", "Burdockspan-Fencing": str(fencing)},
            ).status
            for fencing in (5, 4, 6)
        ]
        self.assertEqual(statuses, [200, 409, 200])
        runs = service.call("GET", "/runs").json()
        self.assertEqual(runs["by_key"], {"k": 2})

    def test_service_goes_silent_on_open_connections_only(self) -> None:
        """Guards against a silence fault that also hits new connections."""
        service = self.enterContext(running("service", "--name", "s"))
        old = http.client.HTTPConnection(service.address, timeout=0.3)
        self.addCleanup(old.close)
        old.request("GET", "/a")
        self.assertEqual(old.getresponse().read()[:1], b"{")
        service.fault(silent_open=True)
        old.request("GET", "/b")
        with self.assertRaises(TimeoutError):
            old.getresponse()
        self.assertEqual(service.call("GET", "/c").status, 200)


class CollectorTest(unittest.TestCase):
    def test_collector_returns_statsd_counters(self) -> None:
        """Guards against metrics that are sent and never seen."""
        import socket

        collector = self.enterContext(running("collector"))
        host, _, port = collector.address.partition(":")
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        sender.sendto(b"a.b:2|c\na.b:3|c", (host, int(port)))
        wait_until(
            lambda: (
                collector.call("GET", "/metrics").json()["counters"]
                == {"a.b": 5.0}
            ),
            "both counts have arrived",
        )
