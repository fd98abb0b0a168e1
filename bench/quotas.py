"""Measures how much of a quota a fleet uses, and by how much it exceeds it.

Run: PYTHONPATH=src:. python -m bench.quotas
"""

from __future__ import annotations

import random
import sys
from collections.abc import Iterator

from bench.quota_fleet import Fleet, Links, measure_excess
from burdockspan.gateway.accounts.values import Quota, QuotaUnit

_SLACK = 190_000.0
_OVERAGE = 0.1
_WINDOW_S = 8.0
_REQUEST_UNITS = 5_200.0
_WAIT_S = 0.16
_WARM_UP_S = 10.0
_LENGTH_S = 40.0
_CHANGE_S = 20.0
# Whether the limit is used is measured with more arrivals than it allows,
# whether nothing is refused below it with fewer.
_LOADS = (0.9, 1.3)
_FAULTS = ("none", "third cut", "vm dies", "limit halves")
_ACCOUNT = "account"


def _quota(rate_per_s: float) -> Quota:
    return Quota(QuotaUnit.TOKENS, rate_per_s, rate_per_s)


def _arrivals(
    draw: random.Random, rate_per_s: float, load: float
) -> Iterator[float]:
    now_s = _WARM_UP_S
    while True:
        now_s += draw.expovariate(load * rate_per_s / _REQUEST_UNITS)
        if now_s >= _LENGTH_S:
            return
        yield now_s


def _apply_fault(fleet: Fleet, fault: str, rate_per_s: float) -> None:
    vms = list(fleet.vms.values())

    def cut() -> None:
        for vm in vms[: len(vms) // 3]:
            vm.group = 1

    def heal() -> None:
        for vm in vms:
            vm.group = 0

    if fault == "third cut":
        fleet.call_at(_CHANGE_S, cut)
        fleet.call_at(_CHANGE_S + 10.0, heal)
    elif fault == "vm dies":
        fleet.call_at(_CHANGE_S, lambda: fleet.kill(vms[-1]))
    elif fault == "limit halves":
        halved = {_ACCOUNT: _quota(rate_per_s / 2)}
        fleet.call_at(_CHANGE_S, lambda: fleet.set_quotas(halved))


def _measure(
    vm_count: int, rate_per_s: float, is_even: bool, fault: str, load: float
) -> str:
    draw = random.Random(1)
    fleet = Fleet(
        vm_count, {_ACCOUNT: _quota(rate_per_s)}, _SLACK, 2, Links(lost=0.002)
    )
    _apply_fault(fleet, fault, rate_per_s)
    vms = list(fleet.vms.values())
    offered: list[tuple[float, float]] = []
    for at_s in _arrivals(draw, rate_per_s, load):
        vm = vms[0]
        if is_even or draw.random() < 0.1:
            vm = draw.choice(vms)
        if fault == "vm dies" and vm is vms[-1] and at_s >= _CHANGE_S:
            vm = vms[1]
        offered.append((at_s, _REQUEST_UNITS))
        fleet.call_at(
            at_s,
            lambda vm=vm: fleet.request(  # type: ignore[misc]
                vm, _ACCOUNT, _REQUEST_UNITS, _WAIT_S
            ),
        )
    fleet.run(_LENGTH_S + 1.0)
    granted = fleet.granted[_ACCOUNT]
    owed = _count_owed(offered, rate_per_s, fault)
    used = sum(units for _, units in granted)
    excess = _measure_window_excess(granted, rate_per_s, fault)
    rate_s = _LENGTH_S - _WARM_UP_S
    waits = sorted(fleet.waits_s) or [0.0]
    strict = measure_excess(granted, rate_per_s, rate_per_s + _SLACK)
    return (
        f"{vm_count:4} {rate_per_s:8.0f} {'even' if is_even else 'skewed':7}"
        f"{fault:13}{load:5.1f} {used / owed:6.3f} {excess:8.0f}"
        f" {strict:8.0f} {waits[int(0.9 * len(waits))] * 1000:6.0f}"
        f" {fleet.datagrams / (_LENGTH_S + 1.0) / vm_count:7.1f}"
        f" {used / rate_s:9.0f}"
    )


def _rate_at(at_s: float, rate_per_s: float, fault: str) -> float:
    has_halved = fault == "limit halves" and at_s >= _CHANGE_S
    return rate_per_s / 2 if has_halved else rate_per_s


def _count_owed(
    offered: list[tuple[float, float]], rate_per_s: float, fault: str
) -> float:
    """Returns what one bucket of the limit, without slack, would grant."""
    level, last_s, owed = rate_per_s, 0.0, 0.0
    for at_s, units in offered:
        rate = _rate_at(at_s, rate_per_s, fault)
        level = min(rate, level + rate * (at_s - last_s))
        last_s = at_s
        if level >= units:
            level -= units
            owed += units
    return owed


def _measure_window_excess(
    granted: list[tuple[float, float]], rate_per_s: float, fault: str
) -> float:
    """Returns the excess over the rule; a lower limit binds a window later."""
    excess, first, total = 0.0, 0, 0.0
    for at_s, units in granted:
        total += units
        while granted[first][0] <= at_s - _WINDOW_S:
            total -= granted[first][1]
            first += 1
        rate = _rate_at(at_s - _WINDOW_S, rate_per_s, fault)
        limit = (rate * _WINDOW_S + rate) * (1.0 + _OVERAGE) + _SLACK
        excess = max(excess, total - limit)
    return excess


def main() -> None:
    """Prints the table."""
    counts = [int(text) for text in sys.argv[1:]] or [4, 24, 63, 300]
    print(
        f"{_REQUEST_UNITS:.0f} units a request, slack {_SLACK:.0f}, burst 1 s,"
        f" window {_WINDOW_S:.0f} s, overage {_OVERAGE}. used: of what one"
        " bucket without slack grants.\nexcess: over the rule; strict: over"
        " rate x window + burst + slack in windows of any length (before a"
        " halved limit).\nwait: 90th percentile of the granted, ms; sent:"
        " datagrams a VM a second."
    )
    print(
        " vms     rate arrive fault         load   used   excess   strict"
        "   wait    sent   units/s"
    )
    for vm_count in counts:
        for rate_per_s in (47_000.0, 200_000.0):
            for is_even in (True, False):
                for fault in _FAULTS:
                    for load in _LOADS:
                        print(
                            _measure(
                                vm_count, rate_per_s, is_even, fault, load
                            ),
                            flush=True,
                        )


if __name__ == "__main__":
    main()
