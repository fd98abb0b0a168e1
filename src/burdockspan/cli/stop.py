"""`burdockspan stop`: planned stops of VMs."""

from __future__ import annotations

import click

from burdockspan.cli import exits, options


@click.group(name="stop")
def stop() -> None:
    """Schedules, lists and cancels planned stops of VMs."""


@stop.command(epilog=exits.EXIT_CODES_HELP)
@click.argument("vm")
@click.option(
    "--at",
    "at_text",
    metavar="TIME",
    help="ISO 8601 time with offset, such as 2030-01-31T21:00+01:00.",
)
@click.option(
    "--in",
    "delay_text",
    metavar="DURATION",
    help="Time from now with a unit (s, min, h, d), such as '10 min'.",
)
@options.operator_option
@options.platform_option
@options.json_option
def schedule(
    *,
    vm: str,
    at_text: str | None,
    delay_text: str | None,
    operator: str,
    platform_url: str,
    as_json: bool,
) -> None:
    """Schedules a stop of VM: from that time it takes no new work.

    Stop the VM once `burdockspan status` shows no requests on it; work in
    progress is never interrupted. Give one of --at and --in. Prints the
    identifier of the stop, by which it is cancelled. Cancel the stop when the
    VM is back or replaced. With --json, prints {"generation": N, "stop":
    {stop_id, vm, at, by}}.
    """
    import secrets
    import time

    from burdockspan.cli.edits import run_edit
    from burdockspan.cli.stops import parse_moment, print_stop
    from burdockspan.cli.store import warn_of_unknown_vms
    from burdockspan.configuration.document import PlannedStop
    from burdockspan.configuration.maintenance import make_schedule

    at_s = parse_moment(at_text, delay_text, time.time())
    stop_id = f"stop-{secrets.token_hex(4)}"
    planned = PlannedStop(stop_id, vm, at_s, operator)
    current = run_edit(
        platform_url, operator, lambda _now_s: make_schedule(planned), as_json
    )
    print_stop(current.generation, planned, as_json)
    warn_of_unknown_vms(platform_url, (vm,))


@stop.command(name="list", epilog=exits.EXIT_CODES_HELP)
@options.platform_option
@options.json_option
def list_stops(platform_url: str, as_json: bool) -> None:
    """Lists planned stops, sorted by time.

    With --json, prints {"stops": [{stop_id, vm, at, by}]}.
    """
    from burdockspan.cli import documents
    from burdockspan.cli.stops import print_stops
    from burdockspan.cli.store import open_store

    current = documents.require_current(open_store(platform_url), as_json)
    print_stops(current.stops if current else (), as_json)


@stop.command(epilog=exits.EXIT_CODES_HELP)
@click.argument("stop_id")
@options.operator_option
@options.platform_option
@options.json_option
def cancel(
    stop_id: str, operator: str, platform_url: str, as_json: bool
) -> None:
    """Cancels the planned stop STOP_ID; its VM takes work again.

    With --json, prints the stops that remain, as `stop list` does.
    """
    from burdockspan.cli.edits import run_edit
    from burdockspan.cli.stops import print_stops
    from burdockspan.configuration.maintenance import make_cancel

    current = run_edit(
        platform_url, operator, lambda _now_s: make_cancel(stop_id), as_json
    )
    print_stops(current.stops, as_json)


__all__ = ["stop"]
