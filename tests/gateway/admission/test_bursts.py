"""Admission during bursts, when decode memory is full and callers retry.

Callers wait for 0.85 to 1.0 of their route's timeout. In a burst of twice the
usual load, some are refused and retry after a fifth of the timeout. Generations
that can still meet their objective must go first.
"""

from __future__ import annotations

import concurrent.futures
import threading
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockspan.gateway.admission.admission_queue import (
    AdmissionQueue,
    is_retry_after_refusal,
)
from burdockspan.gateway.requests.reservations import (
    estimate_headroom,
    estimate_tokens,
)
from burdockspan.gateway.values import (
    GenerationSize,
    InboundCall,
    RequestKind,
    Route,
    WeightedService,
)
from tests.support.gateways import wait_for

ROUTE = Route(
    name="draft",
    host="app.example",
    path_prefix="/draft/",
    kind=RequestKind.STREAM,
    timeout_s=14.0,
    objective_s=0.9,
    gap_objective_s=0.3,
    priority=1,
    max_attempts=1,
    resumable=False,
    services=(WeightedService("llm", 1.0),),
)


def _call(caller_timeout_s: float) -> InboundCall:
    return InboundCall(
        method="POST",
        target="/draft/x",
        host="app.example",
        headers=(),
        body=b"",
        request_id="r",
        caller_timeout_s=caller_timeout_s,
        generation_size=GenerationSize(5_200, 1_760, 700),
        client="10.0.0.1",
        arrived_s=0.0,
    )


class TestRetries(unittest.TestCase):
    @given(st.floats(0.85, 1.0))
    def test_usual_deadline_is_a_first_attempt(self, share: float) -> None:
        """Guards against first attempts that are queued as retries."""
        call = _call(share * ROUTE.timeout_s)
        self.assertFalse(is_retry_after_refusal(call, ROUTE))

    @given(st.floats(0.85, 1.0), st.floats(0.0, 0.45))
    def test_short_deadline_is_a_retry(
        self, share: float, waited_s: float
    ) -> None:
        """Guards against retries that go before first attempts."""
        timeout_s = ROUTE.timeout_s
        caller_timeout_s = share * timeout_s - waited_s - 0.2 * timeout_s
        self.assertTrue(is_retry_after_refusal(_call(caller_timeout_s), ROUTE))


class TestAdmissionQueue(unittest.TestCase):
    def test_first_attempts_reserve_before_retries(self) -> None:
        """Guards against late generations that make others late."""
        queue = AdmissionQueue(time.monotonic)
        free_memory = threading.Semaphore(0)
        served: list[str] = []

        def wait(name: str, is_late: bool, arrived_s: float) -> None:
            def try_reserve() -> bool | None:
                return free_memory.acquire(blocking=False) or None

            give_up_s = time.monotonic() + 20.0
            if queue.wait(
                is_late, arrived_s, give_up_s, try_reserve, lambda: False
            ):
                served.append(name)

        waits = [("retry", True, 1.0), ("b", False, 3.0), ("a", False, 2.0)]
        threads = []
        for number, arguments in enumerate(waits, start=1):
            threads.append(threading.Thread(target=wait, args=arguments))
            threads[-1].start()
            wait_for(lambda number=number: queue.length() == number)
        for number in range(1, 4):
            free_memory.release()
            queue.wake()
            wait_for(lambda number=number: len(served) == number)
        for thread in threads:
            thread.join()
        self.assertEqual(served, ["a", "b", "retry"])

    def test_caller_that_has_gone_leaves_the_queue(self) -> None:
        """Guards against a queue that a missing caller blocks."""
        queue = AdmissionQueue(time.monotonic)
        give_up_s = time.monotonic() + 20.0
        reservation = queue.wait(
            False, 1.0, give_up_s, lambda: None, lambda: True
        )
        self.assertIsNone(reservation)
        self.assertEqual(queue.length(), 0)

    def test_silent_engine_does_not_hold_up_the_queue(self) -> None:
        """Guards against refusals while one request waits for an engine."""
        queue = AdmissionQueue(time.monotonic)
        give_up_s = time.monotonic() + 20.0
        is_silent = threading.Event()
        answered = threading.Event()

        def wait_for_engine() -> str:
            is_silent.set()
            answered.wait(20.0)
            return "late"

        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            first = executor.submit(
                queue.wait,
                False,
                1.0,
                give_up_s,
                wait_for_engine,
                lambda: False,
            )
            is_silent.wait(20.0)
            second = queue.wait(
                False,
                2.0,
                time.monotonic() + 2.0,
                lambda: "memory",
                lambda: False,
            )
            answered.set()
            self.assertEqual(first.result(), "late")
        self.assertEqual(second, "memory")


class TestMemory(unittest.TestCase):
    def test_reservation_covers_the_prompt_and_half_of_the_output(
        self,
    ) -> None:
        """Guards against reserving memory that only later output needs."""
        self.assertEqual(
            estimate_tokens(GenerationSize(5_200, 1_760, 700)), 5_552
        )
        self.assertEqual(estimate_tokens(GenerationSize(16, 0, 0)), 16)

    def test_headroom_covers_one_output(self) -> None:
        """Guards against engines that run out of memory while they decode."""
        self.assertEqual(
            estimate_headroom(GenerationSize(5_200, 1_760, 700)), 700
        )
        self.assertEqual(estimate_headroom(GenerationSize(16, 0, 0)), 0)
