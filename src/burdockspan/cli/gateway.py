"""`burdockspan gateway`: runs a gateway process on the users' platform."""

from __future__ import annotations

import click

from burdockspan.cli import exits


@click.command(epilog=exits.EXIT_CODES_HELP)
@click.option(
    "--settings",
    "path",
    required=True,
    metavar="FILE",
    help="YAML settings of this VM.",
)
@click.option(
    "--check", is_flag=True, help="Only check the settings, then exit."
)
def gateway(path: str, check: bool) -> None:
    """Runs the gateway process of this VM until SIGTERM or SIGINT."""
    from result import Err

    from burdockspan.gateway.settings import load_gateway_settings

    settings = load_gateway_settings(path)
    if isinstance(settings, Err):
        exits.exit_with_problems(settings.err_value)
    if check:
        click.echo(f"{path}: settings are valid")
        return

    from burdockspan.gateway.process import run_gateway
    from burdockspan.platform.adapter import make_platform

    code = run_gateway(
        settings.ok_value, make_platform, lambda: load_gateway_settings(path)
    )
    raise click.exceptions.Exit(code)


__all__ = ["gateway"]
