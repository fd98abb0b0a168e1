"""`burdockspan explain`: where a request would go now, and why."""

from __future__ import annotations

from typing import TYPE_CHECKING, TextIO

import click

from burdockspan.cli import exits, options

if TYPE_CHECKING:
    from collections.abc import Iterable


@click.command(epilog=exits.EXIT_CODES_HELP)
@click.option(
    "--address",
    required=True,
    metavar="IP:PORT",
    envvar="BURDOCKSPAN_METRICS",
    show_envvar=True,
    callback=options.check_addresses,
    help="Metrics address of a VM of the gateway role.",
)
@click.option("--method", default="GET", show_default=True, metavar="METHOD")
@click.option("--target", required=True, metavar="PATH", help="Path and query.")
@click.option("--host", required=True, help="Value of the Host header.")
@click.option(
    "--header",
    "headers",
    multiple=True,
    metavar="'NAME: VALUE'",
    help="A header of the request; repeat it for several. Requests need those "
    "of the platform, such as Request-Id.",
)
@click.option(
    "--header-file",
    type=click.File("r", encoding="latin-1"),
    metavar="FILE",
    help="File with further headers, one a line, `-` for stdin. Other users "
    "of the machine can read a key in `--header` while the command runs.",
)
@options.json_option
def explain(
    address: str,
    method: str,
    target: str,
    host: str,
    headers: tuple[str, ...],
    header_file: TextIO | None,
    as_json: bool,
) -> None:
    """Explains where a request would go now, and why, without sending it.

    Reads the state of one VM. Prints what would happen, then the endpoints in
    the order in which they would be tried, each with the reason that it is not
    the first. Exits with 2 if the VM rejects the request as malformed.
    """
    import json

    from result import Err

    from burdockspan.cli.explanation import render_explanation
    from burdockspan.cli.http_client import fetch

    lines = [*headers, *(header_file or ())]
    request = {
        "method": method,
        "target": target,
        "headers": [["Host", host], *_parse_headers(lines)],
    }
    fetched = fetch(address, "/explain", posted=request)
    if isinstance(fetched, Err):
        exits.exit_with(exits.UNREACHABLE, fetched.err_value)
    response = fetched.ok_value
    if response.status == 400 and isinstance(response.value, dict):
        field, detail = response.value.get("field"), response.value["detail"]
        exits.exit_with(exits.BAD_INPUT, f"{field}: {detail}")
    if response.status != 200 or not isinstance(response.value, dict):
        exits.exit_with(
            exits.FAILED,
            f"{address}: no explanation: HTTP status {response.status}",
        )
    if as_json:
        click.echo(json.dumps(response.value, indent=2))
    else:
        click.echo(render_explanation(response.value))


def _parse_headers(lines: Iterable[str]) -> list[list[str]]:
    """Returns names and values; a message names a line but never repeats it."""
    parsed = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        name, colon, value = line.partition(":")
        if not colon or not name.strip():
            raise click.BadParameter(f"header {number} is not 'NAME: VALUE'")
        parsed.append([name.strip(), value.strip()])
    return parsed


__all__ = ["explain"]
