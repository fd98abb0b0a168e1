"""Processor time to place a call at the owner of its pool.

Usage: python -m bench.delegation

Two nodes without threads exchange the product's messages in memory. The time of
each node is measured separately, from the arrival of the call at the requester
to its end, without encoding and sockets. Prints medians of several rounds.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Sequence

from burdockspan.membership import ownership
from burdockspan.node import messages
from burdockspan.values.placement import AttemptEvent
from burdockspan.values.refusal import Execution
from tests.support.nodes import SERVICE, Network, make_submission

_VMS = ("entry-1", "entry-2")
_SIZES = (12, 24, 48, 96, 192)
_CALLS = 200
_ROUNDS = 5
# Reports arrive after every 20 calls, as at 80 calls/s. Without reports the
# reservations of ended calls would accumulate.
_REPORT_INTERVAL_S = 0.25
_CALLS_PER_REPORT = 20
_EVENTS = (
    AttemptEvent.RESERVED,
    AttemptEvent.PREFILL_SENT,
    AttemptEvent.PREFILLED,
    AttemptEvent.TRANSFERRED,
    AttemptEvent.DECODE_SENT,
    AttemptEvent.FIRST_BYTE,
)


class TimedNetwork(Network):
    """A network that measures the processor time of each node."""

    def __init__(self, vms: Sequence[str], engines: int) -> None:
        self.spent_s_by_vm = dict.fromkeys(vms, 0.0)
        self._running_vms: list[str] = []
        self._since_s = time.process_time()
        super().__init__(vms, engines)

    def handle(self, vm: str, message: object) -> None:
        """Handles a message.

        The time of messages that it causes counts for their receivers.
        """
        self._count_elapsed()
        self._running_vms.append(vm)
        super().handle(vm, message)
        self._count_elapsed()
        self._running_vms.pop()

    def _count_elapsed(self) -> None:
        now_s = time.process_time()
        if self._running_vms:
            self.spent_s_by_vm[self._running_vms[-1]] += now_s - self._since_s
        self._since_s = now_s


def main() -> None:
    """Prints the time for each call at the owner and at the requester."""
    owner = ownership.owner_of(f"pool/{SERVICE}", _VMS)
    assert owner is not None
    requester = next(vm for vm in _VMS if vm != owner)
    print(f"median of {_ROUNDS} rounds of {_CALLS} calls")
    print("endpoints  owner ms/call  requester ms/call")
    for size in _SIZES:
        rounds = [_run(size, owner, requester) for _ in range(_ROUNDS)]
        owner_ms, requester_ms = zip(*rounds, strict=True)
        print(
            f"{size:9d}  {statistics.median(owner_ms):13.3f}"
            f"  {statistics.median(requester_ms):17.3f}"
        )


def _run(engines: int, owner: str, requester: str) -> tuple[float, float]:
    """Returns the ms for each call at the owner and at the requester."""
    network = TimedNetwork(_VMS, engines)
    network.spent_s_by_vm = dict.fromkeys(_VMS, 0.0)
    for number in range(_CALLS):
        if number % _CALLS_PER_REPORT == 0:
            network.clock.now_s += _REPORT_INTERVAL_S
            network.report_all()
        request_id = f"r{number}"
        future = network.submit(requester, make_submission(network, request_id))
        attempt = future.result(timeout=0).unwrap().attempt
        for event in _EVENTS:
            network.handle(requester, messages.RecordEvent(attempt, event))
        network.handle(
            requester, messages.FinishRequest(request_id, Execution.RAN, 200)
        )
    spent = network.spent_s_by_vm
    return (
        spent[owner] / _CALLS * 1000,
        spent[requester] / _CALLS * 1000,
    )


if __name__ == "__main__":
    main()
