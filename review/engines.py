"""Model replicas as stand-ins, for the cases 6 to 10."""

from __future__ import annotations

import itertools
import json
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from deployment import Deployment

from standins.scripted_endpoint import (
    LAST_CHUNK,
    Action,
    Received,
    ScriptedEndpoint,
    Step,
    chunk,
    respond,
)

_BORN_MS = 1_700_000_000_000
_HEARTBEAT_S = 1.2
_PREFILL_TOKENS_PER_S = 55_555.6
_GAP_S = 0.018
_CHECK_S = 0.01

_STAGE_SWITCH_S = 6.0
# An order without an answer is carried out 2 to 12 s later.
_LATE_S = 5.0

HandlePrefill = Callable[[Received], Iterable[Step]]
HandleRun = Callable[[Received, str], Iterable[Step]]


class Engine:
    """A model replica that registers itself in the store.

    Attributes:
      id: its id.
      stage: `prefill` or `decode`.
      version: version of its software, which its events name.
      has_ended: set once the process has ended; its connections are reset.
      arrivals: times and ids of the requests that reached it, without those
        that it answered 421.
      prompts: the same for requests that it was asked to prefill.
      orders: times and contents of the orders that reached it.
      holds: number of reservations that it has granted.
    """

    def __init__(
        self,
        deployment: Deployment,
        id: str,
        stage: str,
        zone: str,
        version: str = "v1",
    ) -> None:
        self.id = id
        self.stage = stage
        self.version = version
        self.has_ended = threading.Event()
        self.prompts: list[tuple[float, str]] = []
        self.arrivals: list[tuple[float, str]] = []
        self.orders: list[tuple[float, dict[str, Any]]] = []
        self.holds = 0
        self.prefill: HandlePrefill = self.prefill_at_once
        self.run: HandleRun = self.run_to_the_end
        # Whether an order that it has accepted is in progress.
        self.is_busy = False
        self.accepted_orders = 0
        self.answers_orders = True
        self._deployment = deployment
        self._record = deployment.record
        self._numbers = itertools.count(1)
        self._zone = zone
        self._state = "ready"
        self._seq = itertools.count(1)
        self._lock = threading.Lock()
        self._endpoint = ScriptedEndpoint(id, self._handle)
        self.write_entry()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    @property
    def address(self) -> str:
        """Its `ip:port`."""
        return self._endpoint.address

    def write_entry(self) -> None:
        """Writes its entry in the store."""
        entry = self._endpoint.as_store_entry(
            "llm",
            self._zone,
            stage=self.stage,
            state=self._state,
            version=self.version,
            slots=64,
            seq=next(self._seq),
            born=_BORN_MS,
            models=[{"name": "m", "version": 1, "adapters": []}],
        )
        self._deployment.store.put("servers", self.id, entry)

    def drain(self) -> float:
        """Reports that it leaves; returns when the store has accepted that."""
        with self._lock:
            self._state = "draining"
            self.write_entry()
        return self._record.add(f"{self.id} is draining, the store accepted it")

    def end(self) -> None:
        """Ends the process: its connections are reset, new ones refused."""
        self._record.add(f"{self.id} ends")
        self.has_ended.set()
        self._endpoint.close()

    def _send_heartbeats(self) -> None:
        while not self.has_ended.wait(_HEARTBEAT_S):
            # The write fails while the store is away.
            if self._deployment.store.status is None:
                with self._lock:
                    self.write_entry()

    def sleep(self, duration_s: float) -> bool:
        """Waits; returns whether the process still runs."""
        return not self.has_ended.wait(duration_s)

    def _handle(self, received: Received) -> Iterator[Step]:
        if self.has_ended.is_set():
            yield Action.RESET
            return
        expected = received.header("Expect-Instance")
        if expected not in (None, self.id):
            yield from respond(421, b"", {"Instance-Id": self.id})
            return
        request_id = received.header("Request-Id")
        if request_id is None:
            yield from self._control(received)
            return
        if received.header("Stage") == "prefill":
            at_s = self._record.add(
                f"{self.id} is asked to prefill {request_id}"
            )
            self.prompts.append((at_s, request_id))
            yield from self.prefill(received)
            return
        at_s = self._record.add(f"{self.id} gets {request_id}, and runs it")
        self.arrivals.append((at_s, request_id))
        yield from self.run(received, request_id)

    def _control(self, received: Received) -> Iterable[Step]:
        path = received.target.partition("?")[0]
        if path == "/v1/hold-take":
            self.holds += 1
            hold = f"h-{self.id}-{next(self._numbers)}"
            return self._respond_json({"hold": hold})
        if path == "/v1/order":
            return self._take_order(json.loads(received.body))
        if path == "/v1/report":
            return self._respond_json(
                {
                    "stage": self.stage,
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": self.is_busy,
                    "seq": self.accepted_orders,
                    "waiting": 0,
                    "running": 0,
                    "kv_used": 0,
                    "kv_total": 53_072,
                    "kv_handles": 0,
                    "born": _BORN_MS,
                }
            )
        if path == "/health" and self._state != "ready":
            return respond(503, b"", {"Instance-Id": self.id})
        return self._respond_json({})

    def _respond_json(self, value: Any, status: int = 200) -> Iterable[Step]:
        headers = {
            "Content-Type": "application/json",
            "Instance-Id": self.id,
            **self._leaving_header(),
        }
        return respond(status, json.dumps(value).encode(), headers)

    def _take_order(self, order: dict[str, Any]) -> Iterable[Step]:
        """Accepts an order, or leaves it unanswered until later."""
        text = " ".join(f"{key}={order[key]}" for key in sorted(order))
        at_s = self._record.add(f"{self.id} gets an order: {text}")
        self.orders.append((at_s, order))
        if self.answers_orders:
            return self._respond_json({}, 202 if self._accept(order) else 409)
        timer = threading.Timer(_LATE_S, self._accept, (order,))
        timer.daemon = True
        timer.start()
        return self._leave_unanswered()

    def _leave_unanswered(self) -> Iterator[Step]:
        self.sleep(_LATE_S)
        yield Action.CLOSE

    def _accept(self, order: dict[str, Any]) -> bool:
        """Begins to carry out an order, if its conditions hold."""
        with self._lock:
            expected = order.get("precondition", self.accepted_orders)
            if self.is_busy or expected != self.accepted_orders:
                return False
            self.is_busy = True
            self.accepted_orders += 1
        self._record.add(
            f"{self.id} carries out the order of {order['holder']}"
        )

        def complete() -> None:
            with self._lock:
                self.is_busy = False
                self.stage = order["stage"]
                if not self.has_ended.is_set():
                    self.write_entry()

        timer = threading.Timer(_STAGE_SWITCH_S, complete)
        timer.daemon = True
        timer.start()
        return True

    def _leaving_header(self) -> dict[str, str]:
        return {} if self._state == "ready" else {"Server-Leaving": "1"}

    def prefill_at_once(self, received: Received) -> Iterator[Step]:
        """Prefills a prompt at the usual rate, and answers with a handle."""
        tokens = int((received.header("Token-Count") or "0,0").split(",")[0])
        time.sleep(tokens / _PREFILL_TOKENS_PER_S)
        if self.has_ended.is_set():
            yield Action.RESET
            return
        handle = f"k{next(self._numbers)}x{self.id}"
        value = {"handle": handle, "tokens": tokens, "version": 1}
        headers = {
            "Content-Type": "application/json",
            "Request-Id": received.header("Request-Id") or "",
        }
        yield from respond(200, json.dumps(value).encode(), headers)

    def make_head(self, request_id: str) -> bytes:
        """Returns the head of a stream."""
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Request-Id: {request_id}",
            f"Response-Stamp: {self.id}.{next(self._numbers)}",
            "Weight-Versions: 1",
            "Transfer-Encoding: chunked",
            *(f"{k}: {v}" for k, v in self._leaving_header().items()),
        ]
        return "\r\n".join(head).encode() + b"\r\n\r\n"

    def run_to_the_end(
        self, received: Received, request_id: str
    ) -> Iterator[Step]:
        """Streams events until the end of the run or of the process."""
        output = int((received.header("Token-Count") or "0,68").split(",")[1])
        first = int(received.header("Last-Event-Id") or "0") + 1
        yield self.make_head(request_id)
        for number in range(first, output + 1):
            if not self.sleep(_GAP_S):
                self._record.add(f"{self.id} breaks {request_id} off")
                yield Action.RESET
                return
            event = f"id: {number}\ndata: {self.version}\n\n"
            yield chunk(event.encode())
        self._record.add(f"{self.id} has run {request_id} to its end")
        yield LAST_CHUNK
