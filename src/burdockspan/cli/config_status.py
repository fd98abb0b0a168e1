"""`burdockspan config status`: which generation is in force."""

from __future__ import annotations

import click

from burdockspan.cli import exits, options


@click.command(epilog=exits.EXIT_CODES_HELP)
@options.platform_option
@options.json_option
def status(platform_url: str, as_json: bool) -> None:
    """Prints generation, operator and time of what is in force.

    The platform holds only the configuration in force, without history.
    Which generation each entry VM holds is printed by `burdockspan status`.
    With --json, prints {generation, team, accepted_by, accepted_at, clients,
    services, drains, stops, roles}; generation is 0 when none has been
    accepted.
    """
    import json

    from burdockspan.cli import documents
    from burdockspan.cli.store import open_store

    held = documents.require_current(open_store(platform_url), as_json)
    value: dict[str, object] = {"generation": 0}
    if held is not None:
        value = {
            "generation": held.generation,
            "team": held.team,
            "accepted_by": held.accepted_by,
            "accepted_at": documents.render_time(held.accepted_at_s),
            "clients": len(held.clients),
            "services": [service.name for service in held.services],
            "drains": [drain.vm for drain in held.drains],
            "stops": [stop.stop_id for stop in held.stops],
            "roles": [f"{item.vm}={item.pool.value}" for item in held.roles],
        }
    if as_json:
        click.echo(json.dumps(value, indent=2))
        return
    for key, item in value.items():
        text = ", ".join(item) or "none" if isinstance(item, list) else item
        click.echo(f"{key}: {text}")


__all__ = ["status"]
