"""Configurations, VM lists, settings and reports for histories of nodes."""

from __future__ import annotations

from collections.abc import Sequence

from result import Ok

from burdockspan.configuration.document import (
    Client,
    Configuration,
    Drain,
    PlannedStop,
    Route,
    Service,
)
from burdockspan.node.messages import LoadPolled
from burdockspan.object_api.vms import Vm, VmList, VmRole
from burdockspan.settings import Settings
from burdockspan.values.endpoint import LoadReport
from burdockspan.values.submission import CallKind, Priority, Submission

VMS = ("entry-1", "entry-2", "entry-3")
ENDPOINTS = ("service-1", "service-2")
ZONE = "zone"
SERVICE = "orders"
CLIENT = "client"
# Rate per second and burst of the client account; no history reaches them.
_CALL_LIMIT = 1e6
# No call of a history ends, so the concurrency limit must not refuse any.
_CONCURRENCY = 10_000
_DEADLINE_S = 30.0


def make_address(vm: str) -> str:
    """Returns the peer address of an entry VM."""
    return f"127.0.0.1:{9000 + VMS.index(vm)}"


def make_settings(vm: str) -> Settings:
    """Returns the settings of an entry VM."""
    address = make_address(vm)
    return Settings(
        vm=vm,
        availability_zone=ZONE,
        region="region",
        caller_address="127.0.0.1:0",
        admin_address="127.0.0.1:0",
        peer_address=address,
        platform_url="http://127.0.0.1:1",
        peers=tuple(map(make_address, VMS)),
    )


def make_configuration(
    generation: int, drained: Sequence[str] = (), stop_at_s: float = 0.0
) -> Configuration:
    """Returns a configuration.

    The VMs in `drained` get a planned stop at `stop_at_s` in odd generations
    and a drain in even ones.
    """
    has_stops = generation % 2 == 1
    return Configuration(
        generation,
        "team",
        clients=(Client(CLIENT, "", _CALL_LIMIT, int(_CALL_LIMIT)),),
        services=(Service(SERVICE, routes=(Route("/", ("GET",), True),)),),
        drains=()
        if has_stops
        else tuple(Drain(vm, "operator", stop_at_s) for vm in drained),
        stops=tuple(
            PlannedStop(f"stop-{vm}", vm, stop_at_s, "operator")
            for vm in drained
        )
        if has_stops
        else (),
    )


def make_vm_list(version: int, leaving: frozenset[str]) -> VmList:
    """Returns a VM list of all endpoints."""
    return VmList(
        version,
        tuple(
            Vm(
                name,
                ZONE,
                f"127.0.0.1:{8000 + number}",
                SERVICE,
                VmRole.SERVICE,
                name in leaving,
            )
            for number, name in enumerate(ENDPOINTS)
        ),
    )


def make_report(
    name: str, boot: int, leaving: bool, measured_s: float
) -> LoadReport:
    """Returns a load report of an endpoint."""
    return LoadReport(name, f"boot-{boot}", leaving, 0, 0, 0, 0, measured_s)


def make_polled(report: LoadReport, sent_s: float) -> LoadPolled:
    """Returns the result of a load poll."""
    return LoadPolled(report.endpoint, Ok(report), 0.0, sent_s)


def make_submission(request_id: str, now_s: float) -> Submission:
    """Returns an idempotent call to the plain service."""
    return Submission(
        request_id=request_id,
        client=CLIENT,
        kind=CallKind.SERVICE,
        target=SERVICE,
        path="/status",
        priority=Priority.URGENT,
        arrived_s=now_s,
        deadline_s=now_s + _DEADLINE_S,
    )


__all__ = [
    "CLIENT",
    "ENDPOINTS",
    "SERVICE",
    "VMS",
    "ZONE",
    "make_address",
    "make_configuration",
    "make_polled",
    "make_report",
    "make_settings",
    "make_submission",
    "make_vm_list",
]
