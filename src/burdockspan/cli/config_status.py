"""`burdockspan config status`: a summary of the configuration in force."""

from __future__ import annotations

import click

from burdockspan.cli import exits, options


@click.command(epilog=exits.EXIT_CODES_HELP)
@options.platform_option
@options.json_option
def status(platform_url: str, as_json: bool) -> None:
    """Prints a summary of the configuration in force.

    The platform stores only the configuration in force, without history.
    `burdockspan status` prints the generation that each entry VM uses. With
    --json, prints {generation, team, accepted_by, accepted_at, clients,
    services, drains, stops, roles}; generation is 0 if no configuration has
    been accepted yet.
    """
    import json

    from burdockspan.cli import documents
    from burdockspan.cli.store import open_store

    current = documents.require_current(open_store(platform_url), as_json)
    value: dict[str, object] = {"generation": 0}
    if current is not None:
        value = {
            "generation": current.generation,
            "team": current.team,
            "accepted_by": current.accepted_by,
            "accepted_at": documents.render_time(current.accepted_at_s),
            "clients": len(current.clients),
            "services": [service.name for service in current.services],
            "drains": [drain.vm for drain in current.drains],
            "stops": [stop.stop_id for stop in current.stops],
            "roles": [f"{item.vm}={item.pool.value}" for item in current.roles],
        }
    if as_json:
        click.echo(json.dumps(value, indent=2))
        return
    for key, item in value.items():
        text = ", ".join(item) or "none" if isinstance(item, list) else item
        click.echo(f"{key}: {text}")


__all__ = ["status"]
